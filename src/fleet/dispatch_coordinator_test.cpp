// Repeated dispatch requests at the coordinator.
#include "magnoliatide/fleet/dispatch_coordinator.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace magnoliatide::fleet {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));
constexpr std::uint64_t kVm = 7;
constexpr char kZone[] = "kariakoo";

class RepeatedRequests : public ::testing::Test
{
protected:
  RepeatedRequests()
    : mCoordinator(DispatchCoordinatorOptions{})
  {
    routing::Roster roster;
    for (const std::string id : { "i-1", "i-2" }) {
      routing::Server server;
      server.id = id;
      server.service = "language";
      server.zone = kZone;
      roster[id] = server;
    }
    mCoordinator.SetServers(roster, kStart);
  }

  /// Submits a request and returns the last reply to it.
  wire::DispatchReply Submit(std::uint64_t aNumber)
  {
    policy::Job job;
    job.id = aNumber;
    job.service = "language";
    job.arrival = kStart;
    job.target = Seconds(5);
    job.deadline = kStart + Seconds(5);
    mCoordinator.Submit(kVm, kZone, ToWire(aNumber, job, kStart), kStart);
    const auto replies = mCoordinator.TakeReplies();
    EXPECT_FALSE(replies.empty());
    return replies.empty() ? wire::DispatchReply() : replies.back().reply;
  }

  void Finish(std::uint64_t aNumber)
  {
    wire::DispatchProgress progress;
    progress.number = aNumber;
    progress.ended = true;
    progress.totalMicros = 1000;
    mCoordinator.Progress(kVm, progress, kStart);
  }

  /// Expects that a request can be sent to each of the servers.
  void ExpectAllFree()
  {
    const auto first = Submit(101);
    const auto second = Submit(102);
    EXPECT_EQ(first.decision, wire::DispatchDecision::kSend);
    EXPECT_EQ(second.decision, wire::DispatchDecision::kSend);
    EXPECT_NE(first.server, second.server);
  }

  DispatchCoordinator mCoordinator;
};

// Guards against a slot that is never released, and memory that is used after
// its release, because a request that comes again after a pause of this VM is
// sent a second time under the same number.
TEST_F(RepeatedRequests, ARequestThatComesAgainAfterAPauseKeepsItsServer)
{
  const auto first = Submit(1);
  ASSERT_EQ(first.decision, wire::DispatchDecision::kSend);
  mCoordinator.DropWaiting();
  const auto again = Submit(1);
  EXPECT_EQ(again.decision, wire::DispatchDecision::kSend);
  EXPECT_EQ(again.server, first.server);
  Finish(1);
  ExpectAllFree();
}

// Guards against the same for a request that was withdrawn while the reply was
// on its way, and whose repetition arrives later.
TEST_F(RepeatedRequests, ARequestThatComesAgainAfterItsEndLeavesNoRunBehind)
{
  ASSERT_EQ(Submit(1).decision, wire::DispatchDecision::kSend);
  mCoordinator.Withdraw(kVm, wire::DispatchCancel{ 1 });
  ASSERT_EQ(Submit(1).decision, wire::DispatchDecision::kSend);
  Finish(1);
  ExpectAllFree();
}

/// A coordinator with many servers and a retry budget of a tenth of the
/// requests, less the margin.
class RetryBudgetOfACoordinator : public ::testing::Test
{
protected:
  RetryBudgetOfACoordinator()
    : mCoordinator(DispatchCoordinatorOptions{})
  {
    mCoordinator.SetShares(1, 1, 0);
    routing::Roster roster;
    for (int i = 0; i < 400; ++i) {
      routing::Server server;
      server.id = "i-" + std::to_string(i);
      server.service = "language";
      server.zone = kZone;
      roster[server.id] = server;
    }
    mCoordinator.SetServers(roster, kStart);
    mJob.service = "language";
    mJob.arrival = kStart;
    mJob.deadline = kStart + Seconds(5);
  }

  /// Submits a request like mJob and returns its number.
  std::uint64_t Submit()
  {
    mJob.id += 1;
    mCoordinator.Submit(kVm, kZone, ToWire(mJob.id, mJob, mNow), mNow);
    TakeReplies();
    return mJob.id;
  }

  /// Submits a retry of a tier and returns its number.
  std::uint64_t Retry(int aTier = 0)
  {
    const auto fresh = mJob;
    mJob.serversReached = 1;
    mJob.tier = aTier;
    const auto number = Submit();
    mJob = fresh;
    mJob.id = number;
    return number;
  }

  void SubmitMany(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Submit();
    }
  }

  void Tick(Duration aLater)
  {
    mNow += aLater;
    mCoordinator.Tick(mNow);
    TakeReplies();
  }

  /// Returns the last decision on a request.
  wire::DispatchDecision Of(std::uint64_t aNumber)
  {
    return mDecisions.at(aNumber);
  }

  DispatchCoordinator mCoordinator;
  policy::Job mJob;
  TimePoint mNow = kStart;

private:
  void TakeReplies()
  {
    for (const auto& reply : mCoordinator.TakeReplies()) {
      mDecisions[reply.reply.number] = reply.reply.decision;
    }
  }

  std::map<std::uint64_t, wire::DispatchDecision> mDecisions;
};

TEST_F(RetryBudgetOfACoordinator, GrowsWithRequestsThatNoOtherCounted)
{
  const auto granted = [&] {
    int count = 0;
    while (Of(Retry()) == wire::DispatchDecision::kSend) {
      count += 1;
    }
    return count;
  };
  mJob.counted = true;
  SubmitMany(100);
  EXPECT_EQ(granted(), 0);
  Tick(Seconds(2));
  mJob.counted = false;
  SubmitMany(100);
  EXPECT_EQ(granted(), 7);
}

// Guards against refusals of requests that no server has run, with the whole
// time until their deadline left, because the budget is used up for a moment.
TEST_F(RetryBudgetOfACoordinator, LetsRetriesWaitMoreUrgentOnesFirst)
{
  const auto late = Retry(2);
  const auto early = Retry(1);
  EXPECT_EQ(Of(late), wire::DispatchDecision::kWait);
  EXPECT_EQ(Of(early), wire::DispatchDecision::kWait);
  SubmitMany(15);
  const auto last = Retry(2);
  EXPECT_EQ(Of(last), wire::DispatchDecision::kWait);
  Tick(Milliseconds(300));
  EXPECT_EQ(Of(early), wire::DispatchDecision::kSend);
  EXPECT_EQ(Of(late), wire::DispatchDecision::kWait);
  SubmitMany(15);
  Tick(Milliseconds(300));
  EXPECT_EQ(Of(late), wire::DispatchDecision::kSend);
  EXPECT_EQ(Of(last), wire::DispatchDecision::kWait);
}

TEST_F(RetryBudgetOfACoordinator, RejectsARetryThatHasWaitedOrFailed)
{
  const auto waits = Retry();
  mJob.failed = true;
  EXPECT_EQ(Of(Retry()), wire::DispatchDecision::kNoRetry);
  mJob.failed = false;
  mJob.deadline = mNow + Milliseconds(200);
  EXPECT_EQ(Of(Retry()), wire::DispatchDecision::kNoRetry);
  Tick(Milliseconds(900));
  EXPECT_EQ(Of(waits), wire::DispatchDecision::kWait);
  Tick(Milliseconds(100));
  EXPECT_EQ(Of(waits), wire::DispatchDecision::kNoRetry);
  EXPECT_FALSE(mCoordinator.Busy());
}

TEST_F(RetryBudgetOfACoordinator, ForgetsARetryThatIsWithdrawn)
{
  mCoordinator.Withdraw(kVm, wire::DispatchCancel{ Retry() });
  EXPECT_FALSE(mCoordinator.Busy());
  Retry();
  mCoordinator.RemoveVm(kVm, mNow);
  EXPECT_FALSE(mCoordinator.Busy());
  Retry();
  mCoordinator.DropWaiting();
  EXPECT_FALSE(mCoordinator.Busy());
}

} // namespace
} // namespace magnoliatide::fleet
