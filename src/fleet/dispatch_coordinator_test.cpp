// Repeated dispatch requests at the coordinator.
#include "magnoliatide/fleet/dispatch_coordinator.h"

#include <gtest/gtest.h>

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

/// Returns how many retries of a service a coordinator grants after requests.
int
RetriesAfter(int aRequests, bool aCounted)
{
  DispatchCoordinator coordinator{ DispatchCoordinatorOptions{} };
  coordinator.SetShares(1, 1, 0);
  routing::Roster roster;
  for (int i = 0; i < 2 * aRequests; ++i) {
    routing::Server server;
    server.id = "i-" + std::to_string(i);
    server.service = "language";
    server.zone = kZone;
    roster[server.id] = server;
  }
  coordinator.SetServers(roster, kStart);
  std::uint64_t number = 0;
  const auto submit = [&](int aServersReached) {
    policy::Job job;
    job.id = ++number;
    job.service = "language";
    job.arrival = kStart;
    job.deadline = kStart + Seconds(5);
    job.serversReached = aServersReached;
    job.counted = aCounted;
    coordinator.Submit(kVm, kZone, ToWire(number, job, kStart), kStart);
    const auto replies = coordinator.TakeReplies();
    return !replies.empty() &&
           replies.back().reply.decision != wire::DispatchDecision::kNoRetry;
  };
  for (int i = 0; i < aRequests; ++i) {
    submit(0);
  }
  int granted = 0;
  while (granted < aRequests && submit(1)) {
    granted += 1;
  }
  return granted;
}

TEST(RetryBudgetOfACoordinator, GrowsWithRequestsThatNoOtherCounted)
{
  // A tenth of the requests, less the margin.
  EXPECT_EQ(RetriesAfter(200, false), 14);
  EXPECT_EQ(RetriesAfter(200, true), 0);
}

} // namespace
} // namespace magnoliatide::fleet
