// Runs VM processes on loopback, injects faults into them and their
// dependencies, and checks what callers and servers see.
#include "checker.h"
#include "director.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <thread>

DEFINE_uint64(seed, 1, "determines the faults and their times");
DEFINE_int32(rounds, 1, "number of rounds, each with the next seed");
DEFINE_int32(seconds, 18, "seconds of fault injection per round");
DEFINE_int32(faults, 16, "faults and planned changes per round");
DEFINE_int32(series,
             8,
             "series of pauses, configurations, reloads and stops per round");
DEFINE_int32(vms, 6, "number of VMs");
DEFINE_int32(servers, 8, "number of backend servers");
DEFINE_int32(callers, 24, "concurrent callers");
DEFINE_bool(history, false, "print the faults and planned changes");

namespace magnoliatide::soak {
namespace {

constexpr const char* kZones[] = { "kariakoo", "temeke", "mikocheni" };

/// Time for which calls go on after the faults, to check the recovery.
constexpr Duration kRecoveryTime = Seconds(8);
constexpr std::size_t kMaxPrintedFindings = 12;

Quota
MakeQuota()
{
  Quota quota;
  quota.team = "cutters";
  quota.perSecond = 1400;
  quota.burst = 1400;
  quota.unitsPerCall = 140;
  quota.window = Seconds(2);
  return quota;
}

std::vector<std::string>
ZonesOfVms()
{
  std::vector<std::string> zones;
  for (int i = 0; i < FLAGS_vms; ++i) {
    zones.emplace_back(kZones[i % 3]);
  }
  return zones;
}

/// Adds the servers. Three quarters of them stream. Each kind has
/// two services.
void
AddServers(tests::PlatformFleet& aFleet)
{
  const int streaming = FLAGS_servers * 3 / 4;
  for (int i = 0; i < FLAGS_servers; ++i) {
    standins::BatchEngineOptions options;
    options.stream = i < streaming;
    const int second = options.stream
                         ? streaming * 2 / 3
                         : streaming + (FLAGS_servers - streaming) / 2;
    const auto& services = options.stream ? kStreamServices : kOtherServices;
    options.service = services[i < second ? 0 : 1];
    options.id = (options.stream ? "i-" : "o-") + std::to_string(i + 1);
    options.zone = kZones[i % 3];
    options.events = kEvents;
    options.eventInterval = Milliseconds(12);
    aFleet.AddEngine(options);
  }
}

void
PrintHistory(const History& aHistory, TimePoint aStart)
{
  for (const auto& disturbance : aHistory.disturbances) {
    std::cout << "  " << ToSeconds(disturbance.from - aStart) << " to "
              << ToSeconds(disturbance.until - aStart) << " s "
              << disturbance.kind << " " << disturbance.host << "\n";
  }
  for (const auto& notice : aHistory.notices) {
    std::cout << "  " << ToSeconds(notice.at - aStart) << " s notice of "
              << notice.server << "\n";
  }
  for (const auto& pause : aHistory.pauses) {
    std::cout << "  " << ToSeconds(pause.from - aStart) << " to "
              << ToSeconds(pause.until - aStart) << " s pause of "
              << pause.server << "\n";
  }
  for (const auto& published : aHistory.published) {
    std::cout << "  " << ToSeconds(published.at - aStart) << " s configuration "
              << published.version << "\n";
  }
}

/// Runs one round. Returns whether the VMs became ready and all checks passed.
bool
RunRound(std::uint64_t aSeed)
{
  load::Network network;
  tests::PlatformFleet fleet(
    "soak-" + std::to_string(aSeed), ZonesOfVms(), &network);
  AddServers(fleet);
  const auto quota = MakeQuota();
  Director::PublishFirst(fleet, quota);
  if (!fleet.Start()) {
    std::cout << "seed " << aSeed << ": the VMs did not become ready\n";
    return false;
  }
  const TimePoint start = Clock::now();
  CallersOptions options;
  options.callers = FLAGS_callers;
  options.seed = aSeed;
  options.quota = quota;
  Callers callers(fleet, options);
  Director director(fleet, network, callers, quota, aSeed);
  director.Run(FLAGS_faults, FLAGS_series, Seconds(FLAGS_seconds));
  History history;
  history.faultsEndedAt = Clock::now();
  std::this_thread::sleep_for(kRecoveryTime);
  history.calls = callers.Stop();
  history.quota = quota;
  director.AddTo(history);
  const auto findings = Check(history);
  const auto cut = std::count_if(
    history.calls.begin(), history.calls.end(), [](const auto& aCall) {
      return aCall.status == http::CallStatus::kCut &&
             !aCall.callerDisconnected;
    });
  std::cout << "seed " << aSeed << ": " << history.calls.size() << " calls, "
            << history.runs.size() << " runs, " << history.disturbances.size()
            << " faults and stops, " << history.pauses.size() << " pauses, "
            << history.published.size() << " configurations, " << cut
            << " calls cut, " << findings.size() << " findings" << std::endl;
  if (FLAGS_history || !findings.empty()) {
    PrintHistory(history, start);
  }
  for (std::size_t i = 0; i < std::min(findings.size(), kMaxPrintedFindings);
       ++i) {
    std::cout << "  " << findings[i].guarantee << ": " << findings[i].detail
              << "\n";
  }
  return findings.empty();
}

} // namespace
} // namespace magnoliatide::soak

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "magnoliatide-soak [--seed N] [--rounds N] [--seconds N] [--faults N] "
    "[--series N] [--vms N] [--servers N] [--callers N]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  int failed = 0;
  for (int i = 0; i < FLAGS_rounds; ++i) {
    const auto seed = FLAGS_seed + static_cast<std::uint64_t>(i);
    failed += magnoliatide::soak::RunRound(seed) ? 0 : 1;
  }
  std::cout << FLAGS_rounds << " rounds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
