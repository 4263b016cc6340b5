// Measurement of control plane overhead from metrics and process statistics.
#include "scale.h"

#include <boost/json.hpp>

#include <csignal>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace magnoliatide::load {

namespace {

/// Limit for the time that one trial may take.
constexpr Duration kTrialTimeout = Seconds(20);
constexpr Duration kPollInterval = Milliseconds(5);

std::string
DocumentBase(const ScaleSize& aSize, const std::vector<std::string>& aZones)
{
  std::string text = "[tiers]\nnames = urgent, standard, batch, idle\n"
                     "[service language]\ntype = model\n"
                     "[kind quotes]\nservice = language\ntier = urgent\n"
                     "teams = *\n";
  for (int i = 0; i < aSize.teams; ++i) {
    text += TeamSection("team" + std::to_string(i));
  }
  for (int i = 0; i < aSize.engines; ++i) {
    const auto zone = aZones[static_cast<std::size_t>(i) % aZones.size()];
    text += "[engine scale-" + std::to_string(i) +
            "]\nservice = language\naddress = 127.200." +
            std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) +
            ":9\nzone = " + zone + "\nmodels = small\n";
  }
  return text;
}

/// Totals over all VMs at one point in time. CPU time is in seconds, memory in
/// megabytes; platformCalls counts the calls that the platform received.
struct Sample
{
  TimePoint at;
  double sent = 0;
  double received = 0;
  double datagrams = 0;
  double cpu = 0;
  double resident = 0;
  double platformCalls = 0;
};

/// Returns the value of a series without labels, given without the prefix
/// "magnoliatide_".
double
ReadMetric(const std::string& aText, const std::string& aName)
{
  std::istringstream lines(aText);
  std::string series;
  double value = 0;
  double sum = 0;
  while (lines >> series >> value) {
    sum += series == "magnoliatide_" + aName ? value : 0;
  }
  return sum;
}

Sample
TakeSample(Fleet& aFleet)
{
  Sample sample;
  for (auto& vm : aFleet.Vms()) {
    const auto text = aFleet.Get(vm.admin, "/metrics").response.body;
    sample.sent += ReadMetric(text, "peer_bytes_sent_total");
    sample.received += ReadMetric(text, "peer_bytes_received_total");
    sample.datagrams += ReadMetric(text, "peer_datagrams_sent_total");
    const auto usage = UsageOf(vm.process.Id());
    sample.cpu += usage.cpuSeconds;
    sample.resident += usage.residentMegabytes;
  }
  const auto counts =
    aFleet.Get(aFleet.Platform().address, "/control/counts").response.body;
  boost::system::error_code error;
  const auto value = boost::json::parse(counts, error);
  sample.platformCalls = error ? 0 : value.at("calls").to_number<double>();
  sample.at = Clock::now();
  return sample;
}

boost::json::value
FetchStatus(Fleet& aFleet, const Member& aVm)
{
  boost::system::error_code error;
  auto value =
    boost::json::parse(aFleet.Get(aVm.admin, "/status").response.body, error);
  return error ? boost::json::value(boost::json::object{}) : value;
}

bool
HasGeneration(Fleet& aFleet, const Member& aVm, std::uint64_t aGeneration)
{
  const auto status = FetchStatus(aFleet, aVm);
  const auto* value = status.as_object().if_contains("generation");
  return value && value->to_number<std::uint64_t>() == aGeneration;
}

bool
HasMemberState(Fleet& aFleet,
               const Member& aVm,
               const std::string& aSlot,
               const std::string& aState)
{
  const auto status = FetchStatus(aFleet, aVm);
  const auto* members = status.as_object().if_contains("members");
  if (members == nullptr) {
    return false;
  }
  for (const auto& member : members->as_array()) {
    if (member.at("slot").as_string() == aSlot) {
      return member.at("state").as_string() == aState;
    }
  }
  return false;
}

/// Waits until a condition holds on every VM except the one with index aExcept,
/// or on every VM if there is no such index. Returns the elapsed seconds, or
/// kTrialTimeout if the limit is exceeded.
template<typename Condition>
double
SecondsUntilAll(Fleet& aFleet, std::size_t aExcept, Condition aHolds)
{
  const auto begin = Clock::now();
  for (std::size_t i = 0; i < aFleet.Vms().size(); ++i) {
    while (i != aExcept && !aHolds(aFleet.Vms()[i])) {
      if (Clock::now() - begin > kTrialTimeout) {
        return ToSeconds(kTrialTimeout);
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return ToSeconds(Clock::now() - begin);
}

/// Publishes documents. Returns the maximum time until one is active
/// everywhere.
double
MaxChangeSeconds(Fleet& aFleet, int aTrials)
{
  double maxSeconds = 0;
  for (int i = 0; i < aTrials; ++i) {
    const auto generation = static_cast<std::uint64_t>(i) + 2;
    aFleet.Publish(generation);
    const double seconds =
      SecondsUntilAll(aFleet, aFleet.Vms().size(), [&](const Member& aVm) {
        return HasGeneration(aFleet, aVm, generation);
      });
    maxSeconds = std::max(maxSeconds, seconds);
  }
  return maxSeconds;
}

/// Kills and restarts VMs one after another. Returns the maximum time until the
/// others report one as dead.
double
MaxDetectionSeconds(Fleet& aFleet, int aTrials)
{
  double maxSeconds = 0;
  for (int i = 0; i < aTrials; ++i) {
    const auto target = static_cast<std::size_t>(i) % aFleet.Vms().size();
    auto& vm = aFleet.Vms()[target];
    vm.process.Signal(SIGKILL);
    maxSeconds = std::max(
      maxSeconds, SecondsUntilAll(aFleet, target, [&](const Member& aVm) {
        return HasMemberState(aFleet, aVm, vm.name, "dead");
      }));
    vm.process.Wait(Seconds(5));
    aFleet.StartVm(target);
    SecondsUntilAll(aFleet, target, [&](const Member& aVm) {
      return HasMemberState(aFleet, aVm, vm.name, "alive");
    });
  }
  return maxSeconds;
}

} // namespace

ScaleRow
MeasureScale(const ScaleSize& aSize, const ScaleOptions& aOptions)
{
  FleetOptions options;
  options.binaries = aOptions.binaries;
  options.folder = aOptions.folder;
  options.vms = aSize.vms;
  options.threads = 1;
  options.logLevel = "off";
  options.base = DocumentBase(aSize, options.zones);
  Fleet fleet(options);
  if (!fleet.Start(Seconds(60))) {
    throw std::runtime_error("scale: the fleet was not ready in time");
  }
  std::this_thread::sleep_for(aOptions.settle);
  const auto before = TakeSample(fleet);
  std::this_thread::sleep_for(aOptions.measure);
  const auto after = TakeSample(fleet);
  const double seconds = ToSeconds(after.at - before.at);
  const double vms = aSize.vms;
  ScaleRow row;
  row.size = aSize;
  row.sentBytesPerSecond = (after.sent - before.sent) / seconds / vms;
  row.receivedBytesPerSecond =
    (after.received - before.received) / seconds / vms;
  row.datagramsPerSecond = (after.datagrams - before.datagrams) / seconds / vms;
  row.corePercent = 100 * (after.cpu - before.cpu) / seconds / vms;
  row.residentMegabytes = after.resident / vms;
  row.platformCallsPerSecond =
    (after.platformCalls - before.platformCalls) / seconds;
  row.documentKilobytes =
    static_cast<double>(fleet.DocumentText(1).size()) / 1000;
  row.changeSeconds = MaxChangeSeconds(fleet, aOptions.trials);
  row.detectionSeconds = MaxDetectionSeconds(fleet, aOptions.trials);
  return row;
}

void
PrintScale(std::ostream& aOut, const std::vector<ScaleRow>& aRows, bool aJson)
{
  if (aJson) {
    boost::json::array rows;
    for (const auto& row : aRows) {
      rows.push_back(boost::json::object{
        { "vms", row.size.vms },
        { "teams", row.size.teams },
        { "engines", row.size.engines },
        { "sent_bytes_per_s", row.sentBytesPerSecond },
        { "received_bytes_per_s", row.receivedBytesPerSecond },
        { "datagrams_per_s", row.datagramsPerSecond },
        { "core_percent", row.corePercent },
        { "resident_mb", row.residentMegabytes },
        { "platform_calls_per_s", row.platformCallsPerSecond },
        { "document_kb", row.documentKilobytes },
        { "change_s_worst", row.changeSeconds },
        { "detection_s_worst", row.detectionSeconds } });
    }
    aOut << boost::json::serialize(rows) << "\n";
    return;
  }
  aOut << "  vms teams engines  sent B/s  recv B/s  dgram/s  core %  RSS MB  "
          "platform/s  doc kB  change s  detect s\n"
       << std::fixed << std::setprecision(2);
  for (const auto& row : aRows) {
    aOut << std::setw(5) << row.size.vms << std::setw(6) << row.size.teams
         << std::setw(8) << row.size.engines << std::setw(10)
         << row.sentBytesPerSecond << std::setw(10)
         << row.receivedBytesPerSecond << std::setw(9) << row.datagramsPerSecond
         << std::setw(8) << row.corePercent << std::setw(8)
         << row.residentMegabytes << std::setw(12) << row.platformCallsPerSecond
         << std::setw(8) << row.documentKilobytes << std::setw(10)
         << row.changeSeconds << std::setw(10) << row.detectionSeconds << "\n";
  }
}

} // namespace magnoliatide::load
