// Whole answers to their own callers, one dispatch a request, and planned
// stops that cut off nothing.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using load::Ending;

load::Findings
CheckRun(load::Fleet& aFleet,
         const std::vector<load::Record>& aRecords,
         load::RunLog& aLog,
         bool aComplete = true)
{
  aLog.CollectAll(aFleet);
  load::CheckOptions options;
  options.completeLog = aComplete;
  return load::Check(aRecords, aLog, options);
}

TEST(Answers, AreWholeAndTheCallersOwn)
{
  load::Fleet fleet(SmallFleet("whole"));
  ASSERT_TRUE(fleet.Start());
  auto whole = Quotes(20, Seconds(2));
  whole.name = "unstreamed";
  whole.stream = false;
  const auto records = SendAll(fleet, { Quotes(40, Seconds(2)), whole }, 1);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, Ending::kWhole), static_cast<int>(records.size()));
}

TEST(Answers, CrossedOnesAreNeverPassedOn)
{
  load::Fleet fleet(SmallFleet("crossed"));
  ASSERT_TRUE(fleet.Start());
  for (int i = 0; i < 3; ++i) {
    fleet.SetFaults(fleet.Backends()[static_cast<std::size_t>(i)].address,
                    "cross=5");
  }
  const auto records = SendAll(fleet, { Quotes(40, Seconds(2)) }, 2);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, Ending::kCrossed), 0);
  EXPECT_EQ(CountOf(records, Ending::kUnknown), 15);
}

TEST(Answers, CutOnesAreShownAsCut)
{
  load::Fleet fleet(SmallFleet("cut"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Backends()[0].address, "cut=4");
  auto whole = Quotes(20, Seconds(2));
  whole.stream = false;
  const auto records = SendAll(fleet, { Quotes(20, Seconds(2)), whole }, 3);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, Ending::kCut) + CountOf(records, Ending::kUnknown),
            4);
}

TEST(Answers, SilentConnectionsEndWithinTheProgressBound)
{
  load::Fleet fleet(SmallFleet("silent"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Backends()[0].address, "silent-answers=3");
  const auto records = SendAll(fleet, { Quotes(90, Seconds(2)) }, 4);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, Ending::kCut), 3) << Endings(records);
  // The server answers on new connections, so it keeps its standing.
  const auto after = SendAll(fleet, { Quotes(30, Seconds(1)) }, 5);
  EXPECT_EQ(CountOf(after, Ending::kWhole), static_cast<int>(after.size()));
  EXPECT_GT(load::RunLog().size() + log.size(), 0u);
}

TEST(Answers, OneDispatchWhileAnEngineIsKilledAndRestarted)
{
  load::Fleet fleet(SmallFleet("engine-kill"));
  ASSERT_TRUE(fleet.Start());
  load::RunLog log;
  const auto records =
    SendAll(fleet, { Quotes(60, Seconds(4)) }, 6, [&](TimePoint aStart) {
      std::this_thread::sleep_until(aStart + Seconds(1));
      log.Collect(fleet, 0);
      fleet.Backends()[0].process.Signal(SIGKILL);
      fleet.Backends()[0].process.Wait(Seconds(5));
      std::this_thread::sleep_until(aStart + Seconds(2));
      fleet.StartBackend(0);
    });
  const auto findings = CheckRun(fleet, records, log, false);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  const int whole = CountOf(records, Ending::kWhole);
  EXPECT_GT(whole, static_cast<int>(records.size()) * 8 / 10)
    << Endings(records);
}

TEST(Answers, APlannedStopOfAVmCutsOffNothing)
{
  load::Fleet fleet(SmallFleet("planned-stop"));
  ASSERT_TRUE(fleet.Start());
  auto letters = Quotes(30, Seconds(4));
  letters.leastOutput = 100;
  letters.mostOutput = 250;
  const auto records = SendAll(fleet, { letters }, 7, [&](TimePoint aStart) {
    std::this_thread::sleep_until(aStart + Seconds(1));
    fleet.Vms()[0].process.Signal(SIGTERM);
  });
  EXPECT_TRUE(fleet.Vms()[0].process.Wait(Seconds(20)));
  EXPECT_EQ(fleet.Vms()[0].process.ExitStatus(), 0);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, Ending::kCut), 0);
  EXPECT_EQ(CountOf(records, Ending::kLost), 0);
}

TEST(Answers, ToldNotRunMeansNotRunInAFlood)
{
  auto options = SmallFleet("flood");
  load::Fleet fleet(options);
  ASSERT_TRUE(fleet.Start());
  auto quotes = Quotes(150, Seconds(4));
  quotes.deadline = Seconds(2);
  quotes.leastOutput = 40;
  quotes.mostOutput = 200;
  auto colours = Colours(150, Seconds(4));
  colours.leastOutput = 40;
  colours.mostOutput = 200;
  const auto records = SendAll(fleet, { quotes, colours }, 8);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_GT(CountOf(records, Ending::kNotRun), 50);
  EXPECT_EQ(findings.falseNotRun, 0) << Examples(findings);
  EXPECT_EQ(findings.doubleRuns, 0) << Examples(findings);
  EXPECT_EQ(findings.tierInversions, 0);
}

TEST(Answers, NoVmKeepsLowerTiersWhileAnotherShedsHigherOnes)
{
  load::Fleet fleet(SmallFleet("fleet-tiers"));
  ASSERT_TRUE(fleet.Start());
  auto quotes = Quotes(300, Seconds(5));
  quotes.deadline = Seconds(2);
  quotes.leastOutput = 60;
  quotes.mostOutput = 200;
  quotes.vm = 0;
  auto colours = Colours(60, Seconds(5));
  colours.leastOutput = 100;
  colours.mostOutput = 300;
  auto others = colours;
  colours.vm = 1;
  others.vm = 2;
  const auto records = SendAll(fleet, { quotes, colours, others }, 9);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_GT(CountOf(records, Ending::kNotRun), 50) << Endings(records);
  EXPECT_EQ(findings.tierInversions, 0);
}

} // namespace
} // namespace magnoliatide::tests
