// A zone that is cut off from the others serves on, does no harm, and joins
// again by itself.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using load::Ending;

load::FleetOptions
CuttableFleet(const std::string& aName)
{
  auto options = SmallFleet(aName);
  options.vms = 5;
  options.cuttable = true;
  return options;
}

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

TEST(Cut, BothPartsServeAndJoinAgain)
{
  load::Fleet fleet(CuttableFleet("cut-serve"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  fleet.PeerNetwork().SetCut("kariakoo", true);
  EXPECT_TRUE(
    Await([&] { return StateSeenBy(fleet, 1, fleet.Vms()[0].name) == "dead"; },
          Seconds(5)));
  const auto records = SendAll(fleet, { Quotes(30, Seconds(2)) }, 51);
  EXPECT_EQ(CountOf(records, Ending::kWhole), static_cast<int>(records.size()))
    << Endings(records);
  fleet.PeerNetwork().SetCut("kariakoo", false);
  EXPECT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
}

TEST(Cut, AKeyRunsAtMostOnceOverACut)
{
  load::Fleet fleet(CuttableFleet("cut-keys"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  const auto records =
    SendAll(fleet, { Deposits(50, Seconds(6), 5) }, 52, [&](TimePoint aStart) {
      std::this_thread::sleep_until(aStart + Seconds(1));
      fleet.PeerNetwork().SetCut("kariakoo", true);
      std::this_thread::sleep_until(aStart + Seconds(4));
      fleet.PeerNetwork().SetCut("kariakoo", false);
    });
  load::RunLog log;
  log.CollectAll(fleet);
  const auto findings = load::Check(records, log);
  EXPECT_EQ(findings.doubleRuns, 0) << Examples(findings);
  EXPECT_EQ(findings.falseNotRun, 0) << Examples(findings);
  EXPECT_EQ(findings.crossed, 0) << Examples(findings);
  // The part with a majority of electors served first sends throughout.
  EXPECT_GT(log.size(), 200u) << Endings(records);
}

TEST(Cut, ADocumentReachesTheCutZoneWhenItJoinsAgain)
{
  load::Fleet fleet(CuttableFleet("cut-document"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  fleet.PeerNetwork().SetCut("kariakoo", true);
  // Nobody can read the platform once the others have the change.
  fleet.Publish(2);
  ASSERT_TRUE(Await([&] { return GenerationAt(fleet, 1) == 2; }, Seconds(4)));
  fleet.SetFaults(fleet.Platform().address, "outage=1");
  fleet.PeerNetwork().SetCut("kariakoo", false);
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

TEST(Cut, AVmWithoutADocumentDoesNotSpeakForAKey)
{
  load::Fleet fleet(CuttableFleet("cut-blank"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return AllSeeAllAlive(fleet); }, Seconds(10)));
  const auto deposits = Deposits(1, Seconds(1), 1);
  ASSERT_EQ(SendOne(fleet, deposits, 1, "blank-key").ending, Ending::kWhole);
  // The new process finds neither a peer nor the platform.
  fleet.SetFaults(fleet.Platform().address, "outage=1");
  fleet.PeerNetwork().SetCut("kariakoo", true);
  for (const std::size_t vm : { 0, 3 }) {
    fleet.Vms()[vm].process.Signal(SIGKILL);
    fleet.Vms()[vm].process.Wait(Seconds(5));
  }
  fleet.StartVm(0);
  load::Record record;
  ASSERT_TRUE(Await(
    [&] {
      record = SendOne(fleet, deposits, 0, "blank-key");
      return record.ending != Ending::kUnreached;
    },
    Seconds(5)));
  EXPECT_EQ(record.reason, "no-configuration");
  EXPECT_EQ(record.ending, Ending::kUnknown);
}

} // namespace
} // namespace magnoliatide::tests
