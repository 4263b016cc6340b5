// Guards against calls with an idempotency key that run twice, or lose their
// recorded answer, when they are sent again through other VMs while VMs are
// killed, paused or unreachable.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using load::SendOutcome;

load::FleetOptions
FiveVms(const std::string& aName)
{
  auto options = SmallFleet(aName);
  options.vms = 5;
  return options;
}

/// Waits until every VM can vote on claims.
bool
AwaitVoters(load::Fleet& aFleet)
{
  return Await(
    [&] {
      for (std::size_t i = 0; i < aFleet.Vms().size(); ++i) {
        const auto status = StatusOf(aFleet, i);
        const auto* complete = status.if_contains("claims_complete");
        if (complete == nullptr || !complete->as_bool()) {
          return false;
        }
      }
      return true;
    },
    Seconds(15));
}

/// Collects the runs of all servers and checks the records.
load::Findings
CheckKeys(load::Fleet& aFleet, const std::vector<load::Record>& aRecords)
{
  load::RunLog log;
  log.CollectAll(aFleet);
  return load::Check(aRecords, log);
}

// Guards against duplicate runs when a caller sends a key repeatedly through
// different VMs.
TEST(Claims, AKeySentManyTimesRunsOnceAndAllGetTheAnswer)
{
  load::Fleet fleet(FiveVms("resend"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  const auto records = SendAll(fleet, { Deposits(40, Seconds(2), 5) }, 11);
  const auto findings = CheckKeys(fleet, records);
  EXPECT_TRUE(findings.Passed()) << Examples(findings);
  EXPECT_EQ(CountOf(records, SendOutcome::kComplete) +
              CountOf(records, SendOutcome::kRunning),
            static_cast<int>(records.size()));
}

// Guards against duplicate runs when VMs lose their votes and recorded outcomes
// in a crash and restart while keys are sent again.
TEST(Claims, RunAtMostOnceWhileVmsAreKilledAndReplaced)
{
  load::Fleet fleet(FiveVms("vm-kill"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  const auto records =
    SendAll(fleet, { Deposits(60, Seconds(6), 5) }, 12, [&](TimePoint aStart) {
      for (std::size_t vm = 0; vm < 4; ++vm) {
        std::this_thread::sleep_until(aStart + Seconds(1) +
                                      Milliseconds(1200) * vm);
        fleet.Vms()[vm].process.Signal(SIGKILL);
        fleet.Vms()[vm].process.Wait(Seconds(5));
        fleet.StartVm(vm);
      }
    });
  const auto findings = CheckKeys(fleet, records);
  EXPECT_EQ(findings.doubleRuns, 0) << Examples(findings);
  EXPECT_EQ(findings.falseNotRun, 0) << Examples(findings);
  EXPECT_EQ(findings.crossed, 0) << Examples(findings);
  EXPECT_GT(CountOf(records, SendOutcome::kComplete),
            static_cast<int>(records.size()) / 2);
}

// Guards against duplicate runs when a paused VM resumes and continues with
// claims that other VMs have taken over.
TEST(Claims, RunAtMostOnceWhileVmsArePausedAndWakeLate)
{
  load::Fleet fleet(FiveVms("vm-pause"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  const auto records =
    SendAll(fleet, { Deposits(60, Seconds(5), 5) }, 13, [&](TimePoint aStart) {
      for (std::size_t vm = 0; vm < 2; ++vm) {
        std::this_thread::sleep_until(aStart + Seconds(1) + Seconds(2) * vm);
        fleet.Vms()[vm].process.Signal(SIGSTOP);
        std::this_thread::sleep_for(Milliseconds(1500));
        fleet.Vms()[vm].process.Signal(SIGCONT);
      }
    });
  const auto findings = CheckKeys(fleet, records);
  EXPECT_EQ(findings.doubleRuns, 0) << Examples(findings);
  EXPECT_EQ(findings.falseNotRun, 0) << Examples(findings);
}

// Guards against keyed calls that fail although a majority of VMs remains after
// the loss of an availability zone.
TEST(Claims, AreServedWhileAnyOneZoneIsGone)
{
  load::Fleet fleet(FiveVms("zone-gone"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  // Kills the two VMs of the first zone.
  fleet.Vms()[0].process.Signal(SIGKILL);
  fleet.Vms()[3].process.Signal(SIGKILL);
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    const std::size_t vm = i % 2 == 0 ? 1 : 2;
    const auto record = SendOne(
      fleet, Deposits(1, Seconds(1), 1), vm, "zone-" + std::to_string(i));
    served += record.outcome == SendOutcome::kComplete ? 1 : 0;
  }
  EXPECT_EQ(served, 20);
}

// Guards against a minority of VMs that runs a keyed call, or answers "not run"
// for it. The call may have run through the unreachable VMs.
TEST(Claims, WithoutAMajorityNothingRunsAndNothingIsPromised)
{
  load::Fleet fleet(FiveVms("minority"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  for (const std::size_t vm : { 1, 2, 3 }) {
    fleet.Vms()[vm].process.Signal(SIGKILL);
  }
  const auto record =
    SendOne(fleet, Deposits(1, Seconds(1), 1), 0, "minority-key");
  EXPECT_EQ(record.outcome, SendOutcome::kUnknown);
  EXPECT_EQ(record.reason, "key-undecided");
  load::RunLog log;
  log.CollectAll(fleet);
  EXPECT_EQ(log.RunsOf("minority-key"), 0);
}

// Guards against a second run of a call whose server ran it but lost the
// connection before its answer ended.
TEST(Claims, ACutCallIsNotSentAgain)
{
  load::Fleet fleet(FiveVms("cut-call"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  // Backend 3 is the ledger.
  fleet.SetFaults(fleet.Backends()[3].address, "cut=1");
  const auto deposits = Deposits(1, Seconds(1), 1);
  const auto first = SendOne(fleet, deposits, 0, "cut-key");
  EXPECT_EQ(first.outcome, SendOutcome::kUnknown);
  for (std::size_t vm = 0; vm < 5; ++vm) {
    const auto again = SendOne(fleet, deposits, vm, "cut-key");
    EXPECT_EQ(again.outcome, SendOutcome::kUnknown) << again.reason;
  }
  load::RunLog log;
  log.CollectAll(fleet);
  EXPECT_EQ(log.RunsOf("cut-key"), 1);
}

// Guards against recorded answers that are lost when the VM that dispatched the
// call is killed.
TEST(Claims, AnAnswerOutlivesTheVmThatGaveIt)
{
  load::Fleet fleet(FiveVms("outlive"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(AwaitVoters(fleet));
  const auto deposits = Deposits(1, Seconds(1), 1);
  const auto first = SendOne(fleet, deposits, 0, "outlive-key");
  ASSERT_EQ(first.outcome, SendOutcome::kComplete);
  fleet.Vms()[0].process.Signal(SIGKILL);
  const auto again = SendOne(fleet, deposits, 1, "outlive-key");
  EXPECT_EQ(again.outcome, SendOutcome::kComplete) << again.reason;
  EXPECT_TRUE(again.recorded);
  load::RunLog log;
  log.CollectAll(fleet);
  EXPECT_EQ(log.RunsOf("outlive-key"), 1);
}

} // namespace
} // namespace magnoliatide::tests
