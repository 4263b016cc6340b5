// Guards against answers that are incomplete, reach the wrong caller or are
// reported wrongly, and against requests that run twice. The causes are faulty
// or killed engines, planned stops of VMs, and overload.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using load::SendOutcome;

/// Collects the runs of all servers and checks the records.
///
/// @param aComplete Whether no runs were lost with a killed server.
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

// Guards against lost or mixed-up answers in normal operation, streamed or not.
TEST(Answers, AreWholeAndTheCallersOwn)
{
  load::Fleet fleet(SmallFleet("whole"));
  ASSERT_TRUE(fleet.Start());
  auto unstreamed = Quotes(20, Seconds(2));
  unstreamed.name = "unstreamed";
  unstreamed.stream = false;
  const auto records =
    SendAll(fleet, { Quotes(40, Seconds(2)), unstreamed }, 1);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kComplete),
            static_cast<int>(records.size()));
}

// Guards against passing on an answer whose id is that of another request.
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
  EXPECT_EQ(CountOf(records, SendOutcome::kCrossed), 0);
  // Five answers of each engine were refused.
  EXPECT_EQ(CountOf(records, SendOutcome::kUnknown), 15);
}

// Guards against reporting an answer as complete although the connection to the
// engine was lost.
TEST(Answers, CutOnesAreShownAsCut)
{
  load::Fleet fleet(SmallFleet("cut"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Backends()[0].address, "cut=4");
  auto unstreamed = Quotes(20, Seconds(2));
  unstreamed.stream = false;
  const auto records =
    SendAll(fleet, { Quotes(20, Seconds(2)), unstreamed }, 3);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kCut) +
              CountOf(records, SendOutcome::kUnknown),
            4);
}

// Guards against callers that wait forever because an engine stops sending in
// the middle of an answer but keeps the connection open.
TEST(Answers, SilentConnectionsEndWithinTheProgressBound)
{
  load::Fleet fleet(SmallFleet("silent"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Backends()[0].address, "silent-answers=3");
  const auto records = SendAll(fleet, { Quotes(90, Seconds(2)) }, 4);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kCut), 3) << OutcomeCounts(records);
  // The server answers on new connections, so it stays healthy.
  const auto after = SendAll(fleet, { Quotes(30, Seconds(1)) }, 5);
  EXPECT_EQ(CountOf(after, SendOutcome::kComplete),
            static_cast<int>(after.size()));
  EXPECT_GT(load::RunLog().size() + log.size(), 0u);
}

// Guards against callers that wait forever because an engine goes on to send
// bytes that are no part of an answer.
TEST(Answers, BytesWithoutContentAreNoProgress)
{
  load::Fleet fleet(SmallFleet("dripped"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Backends()[0].address, "drip=3");
  const auto records = SendAll(fleet, { Quotes(90, Seconds(2)) }, 10);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kCut), 3) << OutcomeCounts(records);
}

// Guards against callers that wait beyond their deadline because an engine
// sends an unstreamed answer without end.
TEST(Answers, AnUnstreamedAnswerWithoutEndIsUnknownAtTheDeadline)
{
  load::Fleet fleet(SmallFleet("dripped-unstreamed"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Backends()[0].address, "drip=2");
  auto unstreamed = Quotes(20, Seconds(2));
  unstreamed.stream = false;
  unstreamed.deadline = Seconds(4);
  const auto records = SendAll(fleet, { unstreamed }, 11);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kUnknown), 2)
    << OutcomeCounts(records);
}

// Guards against a second dispatch of requests that were running at an engine
// when it was killed.
TEST(Answers, OneDispatchWhileAnEngineIsKilledAndRestarted)
{
  load::Fleet fleet(SmallFleet("engine-kill"));
  ASSERT_TRUE(fleet.Start());
  load::RunLog log;
  const auto records =
    SendAll(fleet, { Quotes(60, Seconds(4)) }, 6, [&](TimePoint aStart) {
      std::this_thread::sleep_until(aStart + Seconds(1));
      // The counts are lost with the process.
      log.Collect(fleet, 0);
      fleet.Backends()[0].process.Signal(SIGKILL);
      fleet.Backends()[0].process.Wait(Seconds(5));
      std::this_thread::sleep_until(aStart + Seconds(2));
      fleet.StartBackend(0);
    });
  const auto findings = CheckRun(fleet, records, log, false);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  const int completed = CountOf(records, SendOutcome::kComplete);
  EXPECT_GT(completed, static_cast<int>(records.size()) * 8 / 10)
    << OutcomeCounts(records);
}

// Guards against a VM that exits on SIGTERM before its streams have ended.
TEST(Answers, APlannedStopOfAVmCutsOffNothing)
{
  load::Fleet fleet(SmallFleet("planned-stop"));
  ASSERT_TRUE(fleet.Start());
  auto letters = Quotes(30, Seconds(4));
  letters.minOutputTokens = 100;
  letters.maxOutputTokens = 250;
  const auto records = SendAll(fleet, { letters }, 7, [&](TimePoint aStart) {
    std::this_thread::sleep_until(aStart + Seconds(1));
    fleet.Vms()[0].process.Signal(SIGTERM);
  });
  EXPECT_TRUE(fleet.Vms()[0].process.Wait(Seconds(20)));
  EXPECT_EQ(fleet.Vms()[0].process.ExitStatus(), 0);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kCut), 0);
  EXPECT_EQ(CountOf(records, SendOutcome::kLost), 0);
}

// Guards against refusals that say "not run" for requests that ran, when
// overload makes requests expire or be displaced.
TEST(Answers, ToldNotRunMeansNotRunInAFlood)
{
  auto options = SmallFleet("flood");
  load::Fleet fleet(options);
  ASSERT_TRUE(fleet.Start());
  auto quotes = Quotes(150, Seconds(4));
  quotes.deadline = Seconds(2);
  quotes.minOutputTokens = 40;
  quotes.maxOutputTokens = 200;
  auto colours = Colours(150, Seconds(4));
  colours.minOutputTokens = 40;
  colours.maxOutputTokens = 200;
  const auto records = SendAll(fleet, { quotes, colours }, 8);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_GT(CountOf(records, SendOutcome::kNotRun), 50);
  EXPECT_EQ(findings.falseNotRun, 0) << Examples(findings);
  EXPECT_EQ(findings.doubleRuns, 0) << Examples(findings);
  EXPECT_EQ(findings.tierInversions, 0);
}

// Guards against VMs that shed load independently of each other, so that one
// refuses the most urgent tier while others still serve the least urgent.
TEST(Answers, NoVmKeepsLowerTiersWhileAnotherShedsHigherOnes)
{
  load::Fleet fleet(SmallFleet("fleet-tiers"));
  ASSERT_TRUE(fleet.Start());
  auto quotes = Quotes(300, Seconds(5));
  quotes.deadline = Seconds(2);
  quotes.minOutputTokens = 60;
  quotes.maxOutputTokens = 200;
  quotes.vm = 0;
  auto colours = Colours(60, Seconds(5));
  colours.minOutputTokens = 100;
  colours.maxOutputTokens = 300;
  auto others = colours;
  colours.vm = 1;
  others.vm = 2;
  const auto records = SendAll(fleet, { quotes, colours, others }, 9);
  load::RunLog log;
  const auto findings = CheckRun(fleet, records, log);
  EXPECT_GT(CountOf(records, SendOutcome::kNotRun), 50)
    << OutcomeCounts(records);
  EXPECT_EQ(findings.tierInversions, 0);
}

} // namespace
} // namespace magnoliatide::tests
