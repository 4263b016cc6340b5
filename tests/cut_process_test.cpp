// Guards against a partitioned availability zone that stops serving, runs a
// keyed call twice, or does not rejoin by itself when the partition ends.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using load::SendOutcome;

load::FleetOptions
PartitionableFleet(const std::string& aName)
{
  auto options = SmallFleet(aName);
  options.vms = 5;
  options.partitionable = true;
  return options;
}

/// Returns whether every VM has all VMs in its member list as alive.
bool
AllSeeAllAlive(load::Fleet& aFleet)
{
  for (std::size_t by = 0; by < aFleet.Vms().size(); ++by) {
    for (const auto& vm : aFleet.Vms()) {
      if (StateSeenBy(aFleet, by, vm.name) != "alive") {
        return false;
      }
    }
  }
  return true;
}

// Guards against VMs that refuse calls during a partition, or keep the others
// as dead after it.
TEST(Cut, BothPartsServeAndJoinAgain)
{
  load::Fleet fleet(PartitionableFleet("cut-serve"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  fleet.PeerNetwork().SetPartitioned("kariakoo", true);
  EXPECT_TRUE(
    Await([&] { return StateSeenBy(fleet, 1, fleet.Vms()[0].name) == "dead"; },
          Seconds(5)));
  const auto records = SendAll(fleet, { Quotes(30, Seconds(2)) }, 51);
  EXPECT_EQ(CountOf(records, SendOutcome::kComplete),
            static_cast<int>(records.size()))
    << OutcomeCounts(records);
  fleet.PeerNetwork().SetPartitioned("kariakoo", false);
  EXPECT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
}

// Guards against a key that runs on both sides of a partition, or again after
// it.
TEST(Cut, AKeyRunsAtMostOnceOverACut)
{
  load::Fleet fleet(PartitionableFleet("cut-keys"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  const auto records =
    SendAll(fleet, { Deposits(50, Seconds(6), 5) }, 52, [&](TimePoint aStart) {
      std::this_thread::sleep_until(aStart + Seconds(1));
      fleet.PeerNetwork().SetPartitioned("kariakoo", true);
      std::this_thread::sleep_until(aStart + Seconds(4));
      fleet.PeerNetwork().SetPartitioned("kariakoo", false);
    });
  load::RunLog log;
  log.CollectAll(fleet);
  const auto findings = load::Check(records, log);
  EXPECT_EQ(findings.doubleRuns, 0) << Examples(findings);
  EXPECT_EQ(findings.falseNotRun, 0) << Examples(findings);
  EXPECT_EQ(findings.crossed, 0) << Examples(findings);
  // About 300 keys are sent. The side with a majority of electors must serve
  // first sends throughout.
  EXPECT_GT(log.size(), 200u) << OutcomeCounts(records);
}

// Guards against a zone that keeps an old document because it was partitioned
// when the new one was published.
TEST(Cut, ADocumentReachesTheCutZoneWhenItJoinsAgain)
{
  load::Fleet fleet(PartitionableFleet("cut-document"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  fleet.PeerNetwork().SetPartitioned("kariakoo", true);
  // The platform is down once the other zones have the document, so the
  // partitioned zone can get it only from other VMs.
  fleet.Publish(2);
  ASSERT_TRUE(Await([&] { return GenerationAt(fleet, 1) == 2; }, Seconds(4)));
  fleet.SetFaults(fleet.Platform().address, "outage=1");
  fleet.PeerNetwork().SetPartitioned("kariakoo", false);
  EXPECT_TRUE(Await(
    [&] {
      for (std::size_t vm = 0; vm < 5; ++vm) {
        if (GenerationAt(fleet, vm) != 2) {
          return false;
        }
      }
      return true;
    },
    Seconds(10)));
}

// Guards against a restarted VM without a document that answers "not run" for a
// key that has run elsewhere.
TEST(Cut, AVmWithoutADocumentDoesNotSpeakForAKey)
{
  load::Fleet fleet(PartitionableFleet("cut-blank"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  const auto deposits = Deposits(1, Seconds(1), 1);
  ASSERT_EQ(SendOne(fleet, deposits, 1, "blank-key").outcome,
            SendOutcome::kComplete);
  // The restarted VM reaches neither another VM nor the platform.
  fleet.SetFaults(fleet.Platform().address, "outage=1");
  fleet.PeerNetwork().SetPartitioned("kariakoo", true);
  for (const std::size_t vm : { 0, 3 }) {
    fleet.Vms()[vm].process.Signal(SIGKILL);
    fleet.Vms()[vm].process.Wait(Seconds(5));
  }
  fleet.StartVm(0);
  load::Record record;
  ASSERT_TRUE(Await(
    [&] {
      record = SendOne(fleet, deposits, 0, "blank-key");
      return record.outcome != SendOutcome::kUnreached;
    },
    Seconds(5)));
  EXPECT_EQ(record.reason, "no-configuration");
  EXPECT_EQ(record.outcome, SendOutcome::kUnknown);
}

} // namespace
} // namespace magnoliatide::tests
