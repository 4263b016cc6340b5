// Runs VM processes on loopback, injects faults into them and their
// dependencies, and checks what callers and servers see.
#include "checker.h"
#include "director.h"

#include <gflags/gflags.h>

#include <iostream>
#include <thread>

DEFINE_uint64(seed, 1, "determines the faults and their times");
DEFINE_int32(rounds, 1, "number of rounds, each with the next seed");
DEFINE_int32(seconds, 18, "seconds of fault injection per round");
DEFINE_int32(faults, 16, "faults and planned changes per round");
DEFINE_int32(callers, 24, "concurrent callers");
DEFINE_bool(history, false, "print the faults and planned changes");

namespace magnoliatide::soak {
namespace {

constexpr int kEngineCount = 6;
constexpr int kOrderServerCount = 2;

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

void
AddServers(tests::PlatformFleet& aFleet)
{
  const char* zones[] = { "kariakoo", "temeke", "mikocheni" };
  for (int i = 0; i < kEngineCount + kOrderServerCount; ++i) {
    standins::BatchEngineOptions options;
    options.stream = i < kEngineCount;
    options.service = options.stream ? "language" : "orders";
    options.id = (options.stream ? "i-" : "o-") + std::to_string(i + 1);
    options.zone = zones[i % 3];
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
    "soak-" + std::to_string(aSeed),
    { "kariakoo", "temeke", "mikocheni", "kariakoo", "temeke", "mikocheni" },
    &network);
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
  director.Run(FLAGS_faults, Seconds(FLAGS_seconds));
  History history;
  history.faultsEndedAt = Clock::now();
  std::this_thread::sleep_for(kRecoveryTime);
  history.calls = callers.Stop();
  history.quota = quota;
  director.AddTo(history);
  const auto findings = Check(history);
  std::cout << "seed " << aSeed << ": " << history.calls.size() << " calls, "
            << history.runs.size() << " runs, " << history.disturbances.size()
            << " faults, " << findings.size() << " findings" << std::endl;
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
    "magnoliatide-soak [--seed N] [--rounds N] [--seconds N] [--faults N]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  int failed = 0;
  for (int i = 0; i < FLAGS_rounds; ++i) {
    const auto seed = FLAGS_seed + static_cast<std::uint64_t>(i);
    failed += magnoliatide::soak::RunRound(seed) ? 0 : 1;
  }
  std::cout << FLAGS_rounds << " rounds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
