// Helpers of the process tests.
#include "support.h"

#include "magnoliatide/document/settings.h"

#include <sstream>
#include <thread>
#include <unistd.h>

namespace magnoliatide::tests {

load::FleetOptions
SmallFleet(const std::string& aName)
{
  load::FleetOptions options;
  options.binaries = MAGNOLIATIDE_BINARIES;
  options.folder =
    "/tmp/magnoliatide-test-" + aName + "-" + std::to_string(getpid());
  std::vector<Fault> faults;
  options.base = ValueOrFaults(
    [] {
      return document::ReadFile(std::string(MAGNOLIATIDE_SOURCE) +
                                "/experiments/mwambao.base.ini");
    },
    faults);
  options.base += "\n[limits]\nprogress-bound = 2s\n";
  load::BackendGroup engines;
  engines.name = "engine";
  engines.count = 3;
  engines.tokenTime = Milliseconds(4);
  load::BackendGroup ledger;
  ledger.name = "ledger";
  ledger.service = "ledger";
  ledger.plain = true;
  options.groups = { engines, ledger };
  return options;
}

boost::json::object
StatusOf(load::Fleet& aFleet, std::size_t aVm)
{
  const auto result = aFleet.Get(aFleet.Vms()[aVm].admin, "/status");
  boost::system::error_code error;
  const auto value = boost::json::parse(result.response.body, error);
  return error || !value.is_object() ? boost::json::object{}
                                     : value.get_object();
}

std::uint64_t
GenerationAt(load::Fleet& aFleet, std::size_t aVm)
{
  const auto status = StatusOf(aFleet, aVm);
  const auto* value = status.if_contains("generation");
  return value ? value->to_number<std::uint64_t>() : 0;
}

std::string
StateSeenBy(load::Fleet& aFleet, std::size_t aVm, const std::string& aSlot)
{
  const auto status = StatusOf(aFleet, aVm);
  const auto* members = status.if_contains("members");
  if (members == nullptr) {
    return "";
  }
  for (const auto& member : members->as_array()) {
    if (member.at("slot").as_string() == aSlot) {
      return std::string(member.at("state").as_string());
    }
  }
  return "";
}

double
CounterAt(load::Fleet& aFleet, std::size_t aVm, const std::string& aName)
{
  const auto result = aFleet.Get(aFleet.Vms()[aVm].admin, "/metrics");
  std::istringstream lines(result.response.body);
  std::string series;
  double value = 0;
  double sum = 0;
  while (lines >> series >> value) {
    sum += series.starts_with("magnoliatide_" + aName) ? value : 0;
  }
  return sum;
}

bool
Await(const std::function<bool()>& aCondition, Duration aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  while (!aCondition()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return true;
}

load::Traffic
Quotes(double aRate, Duration aLength)
{
  load::Traffic traffic;
  traffic.name = "quotes";
  traffic.kind = "quotes";
  traffic.team = "planners";
  traffic.rate = aRate;
  traffic.length = aLength;
  traffic.maxPromptTokens = 400;
  return traffic;
}

load::Traffic
Deposits(double aRate, Duration aLength, int aSends)
{
  load::Traffic traffic;
  traffic.name = "deposits";
  traffic.kind = "deposits";
  traffic.team = "books";
  traffic.service = "ledger";
  traffic.path = "/deposits";
  traffic.keyed = true;
  traffic.sends = aSends;
  traffic.rate = aRate;
  traffic.length = aLength;
  return traffic;
}

load::Traffic
Colours(double aRate, Duration aLength)
{
  auto traffic = Quotes(aRate, aLength);
  traffic.name = "colours";
  traffic.kind = "colours";
  traffic.team = "festivals";
  traffic.tier = 3;
  traffic.deadline = Seconds(20);
  return traffic;
}

int
CountOf(const std::vector<load::Record>& aRecords, load::SendOutcome aOutcome)
{
  return static_cast<int>(
    std::count_if(aRecords.begin(), aRecords.end(), [&](const auto& aRecord) {
      return aRecord.outcome == aOutcome;
    }));
}

std::string
OutcomeCounts(const std::vector<load::Record>& aRecords)
{
  std::map<std::string, int> counts;
  for (const auto& record : aRecords) {
    counts[std::string(Name(record.outcome)) + " " + record.reason] += 1;
  }
  std::string text;
  for (const auto& [name, count] : counts) {
    text += name + ": " + std::to_string(count) + "\n";
  }
  return text;
}

std::string
Examples(const load::Findings& aFindings)
{
  std::string text;
  for (const auto& example : aFindings.examples) {
    text += example + "\n";
  }
  return text;
}

} // namespace magnoliatide::tests
