// Tests of requests that arrive while servers pause or hold requests back.
#include "magnoliatide/policy/allocator.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::policy {
namespace {

constexpr std::uint64_t kVm = 1;
constexpr std::uint64_t kOtherVm = 2;
constexpr char kZone[] = "kariakoo";

class AllocatorPause : public ::testing::Test
{
protected:
  void SetServers(int aCount, int aSlots)
  {
    routing::Roster roster;
    for (int i = 1; i <= aCount; ++i) {
      routing::Server server;
      server.id = "z-" + std::to_string(i);
      server.service = "language";
      server.zone = kZone;
      server.slots = aSlots;
      server.started = mStarted;
      roster[server.id] = server;
    }
    mAllocator.SetServers(roster, mNow);
  }

  Job MakeJob(Duration aTarget = Seconds(1), Duration aDeadline = Seconds(10))
  {
    Job job;
    job.id = ++mLastId;
    job.service = "language";
    job.kind = "quote";
    job.team = "atelier";
    job.promptTokens = 500;
    job.outputTokens = 20;
    job.stream = true;
    job.fingerprint = job.id;
    job.arrival = mNow;
    job.target = aTarget;
    job.deadline = mNow + aDeadline;
    return job;
  }

  /// Submits a request. Returns its allocation, or nothing if it waits.
  std::optional<Allocation> Submit(const Job& aJob, std::uint64_t aVm = kVm)
  {
    return Find(mAllocator.Submit({ aVm, aJob.id }, aJob, kZone, mNow),
                { aVm, aJob.id });
  }

  static std::optional<Allocation> Find(const Allocations& aAllocations,
                                        const JobKey& aKey)
  {
    for (const auto& allocation : aAllocations) {
      if (allocation.key == aKey) {
        return allocation;
      }
    }
    return std::nullopt;
  }

  void Advance(Duration aTime) { mNow += aTime; }

  /// Submits a request whose server rejects it and names a backoff.
  std::string RejectOne(Duration aBackoff, std::uint64_t aVm = kVm)
  {
    const auto job = MakeJob();
    const auto sent = Submit(job, aVm);
    EXPECT_TRUE(sent && sent->send);
    mAllocator.RecordBackoff({ aVm, job.id }, aBackoff, mNow);
    SendReport report;
    report.result = SendResult::kFull;
    mAllocator.Finish({ aVm, job.id }, report, mNow);
    return sent ? sent->server : "";
  }

  AllocatorOptions mOptions;
  Allocator mAllocator{ mOptions };
  TimePoint mNow = TimePoint{} + Seconds(100);
  std::uint64_t mStarted = 1;
  JobId mLastId = 0;
};

// Guards against waits of minutes that are computed from no capacity: while all
// servers pause, one waiting request made all others be refused.
TEST_F(AllocatorPause, RequestsWaitWhileAllServersPause)
{
  SetServers(2, 1);
  std::vector<Job> running;
  for (int i = 0; i < 2; ++i) {
    running.push_back(MakeJob());
    ASSERT_TRUE(Submit(running.back())->send);
  }
  for (int i = 0; i < 2; ++i) {
    Advance(Milliseconds(900));
    for (const auto& job : running) {
      mAllocator.RecordSilence({ kVm, job.id }, mNow);
    }
  }
  std::vector<Job> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(MakeJob());
    EXPECT_FALSE(Submit(waiting.back()).has_value()) << i;
  }
  for (const auto& job : running) {
    mAllocator.RecordSilenceEnd({ kVm, job.id }, mNow);
    const auto sent = mAllocator.Finish({ kVm, job.id }, SendReport(), mNow);
    EXPECT_EQ(sent.size(), 1U);
  }
}

// Guards against requests to a server before the end of the time that it has
// named to the VM (BUDGET).
TEST_F(AllocatorPause, AVmAvoidsAServerForTheTimeThatItNames)
{
  SetServers(2, 4);
  const auto full = RejectOne(Seconds(3));
  const TimePoint end = mNow + Seconds(3);
  while (mNow < end) {
    const auto job = MakeJob();
    const auto sent = Submit(job);
    ASSERT_TRUE(sent && sent->send);
    EXPECT_NE(sent->server, full) << ToSeconds(end - mNow);
    mAllocator.Finish({ kVm, job.id }, SendReport(), mNow);
    Advance(Milliseconds(100));
  }
  std::set<std::string> used;
  for (int i = 0; i < 8; ++i) {
    used.insert(Submit(MakeJob())->server);
  }
  EXPECT_EQ(used.count(full), 1U);
}

// Guards against a server that is taken from all VMs because it was full for
// one of them.
TEST_F(AllocatorPause, OtherVmsUseTheServerAgainSoon)
{
  SetServers(1, 4);
  RejectOne(Seconds(4));
  const auto early = MakeJob();
  EXPECT_FALSE(Submit(early, kOtherVm).has_value());
  Advance(Milliseconds(501));
  const auto sent = Find(mAllocator.Tick(mNow), { kOtherVm, early.id });
  ASSERT_TRUE(sent.has_value());
  EXPECT_TRUE(sent->send);
  EXPECT_FALSE(Submit(MakeJob(Seconds(9)), kVm).has_value());
}

// Guards against requests that wait until their deadline for servers that have
// all said that they are full for longer.
TEST_F(AllocatorPause, CallersAreToldTheShortestTimeIfAllServersAreFull)
{
  SetServers(3, 4);
  RejectOne(Seconds(8));
  RejectOne(Seconds(6));
  RejectOne(Seconds(7));
  const auto refused = Submit(MakeJob());
  ASSERT_TRUE(refused.has_value());
  EXPECT_FALSE(refused->send);
  EXPECT_EQ(refused->reason, RejectReason::kServersFull);
  EXPECT_GE(refused->retryAfter, Seconds(6));
  EXPECT_LE(refused->retryAfter, Seconds(9));
}

// Guards against refusing requests that would still be in time.
TEST_F(AllocatorPause, RequestsWaitForAServerThatIsFullForAShortTime)
{
  SetServers(1, 4);
  RejectOne(Milliseconds(300));
  const auto job = MakeJob();
  EXPECT_FALSE(Submit(job).has_value());
  Advance(Milliseconds(301));
  const auto sent = Find(mAllocator.Tick(mNow), { kVm, job.id });
  ASSERT_TRUE(sent.has_value());
  EXPECT_TRUE(sent->send);
}

// Guards against refusing a request that is late already although a server is
// only avoided for a moment.
TEST_F(AllocatorPause, ALateRequestWaitsForAServerThatIsAvoidedForAMoment)
{
  SetServers(1, 4);
  const auto rejected = MakeJob();
  ASSERT_TRUE(Submit(rejected)->send);
  SendReport report;
  report.result = SendResult::kFull;
  mAllocator.Finish({ kVm, rejected.id }, report, mNow);
  auto late = MakeJob();
  late.arrival = mNow - Seconds(2);
  EXPECT_FALSE(Submit(late).has_value());
  Advance(Milliseconds(51));
  const auto sent = Find(mAllocator.Tick(mNow), { kVm, late.id });
  ASSERT_TRUE(sent.has_value());
  EXPECT_TRUE(sent->send);
}

// Guards against requests of other VMs that are held up behind one that no
// server takes.
TEST_F(AllocatorPause, AVmThatIsHeldBackDoesNotHoldUpOthers)
{
  SetServers(1, 1);
  RejectOne(Milliseconds(700));
  Advance(Milliseconds(501));
  const auto running = MakeJob();
  ASSERT_TRUE(Submit(running, kOtherVm)->send);
  const auto heldBack = MakeJob();
  const auto other = MakeJob();
  EXPECT_FALSE(Submit(heldBack, kVm).has_value());
  EXPECT_FALSE(Submit(other, kOtherVm).has_value());
  const auto sent =
    mAllocator.Finish({ kOtherVm, running.id }, SendReport(), mNow);
  ASSERT_TRUE(Find(sent, { kOtherVm, other.id }).has_value());
}

// Guards against the next try at a full server at once, if the server names no
// time.
TEST_F(AllocatorPause, AFullServerIsAvoidedForATimeThatDoubles)
{
  SetServers(1, 4);
  const auto reject = [&] {
    const auto job = MakeJob();
    EXPECT_TRUE(Submit(job)->send);
    SendReport report;
    report.result = SendResult::kFull;
    mAllocator.Finish({ kVm, job.id }, report, mNow);
  };
  for (const auto delay : { 50, 100, 200, 400, 400 }) {
    reject();
    const auto early = MakeJob();
    EXPECT_FALSE(Submit(early).has_value()) << delay;
    Advance(Milliseconds(delay - 1));
    EXPECT_TRUE(mAllocator.Tick(mNow).empty()) << delay;
    Advance(Milliseconds(2));
    EXPECT_EQ(mAllocator.Tick(mNow).size(), 1U) << delay;
    SendReport cancelled;
    cancelled.result = SendResult::kCancelled;
    mAllocator.Finish({ kVm, early.id }, cancelled, mNow);
  }
  const auto whole = MakeJob();
  ASSERT_TRUE(Submit(whole)->send);
  mAllocator.Finish({ kVm, whole.id }, SendReport(), mNow);
  reject();
  Advance(Milliseconds(51));
  EXPECT_TRUE(Submit(MakeJob())->send);
}

// Guards against a request that tries one full server after the other within a
// few milliseconds, as in a partition in which several VMs decide.
TEST_F(AllocatorPause, ARequestIsNotSentBeforeItsDelay)
{
  SetServers(6, 4);
  auto job = MakeJob();
  job.serversReached = 2;
  job.excludedServers = { "z-1", "z-2" };
  job.notBefore = mNow + Milliseconds(25);
  EXPECT_FALSE(Submit(job).has_value());
  EXPECT_TRUE(Submit(MakeJob())->send);
  Advance(Milliseconds(24));
  EXPECT_TRUE(mAllocator.Tick(mNow).empty());
  Advance(Milliseconds(2));
  const auto sent = Find(mAllocator.Tick(mNow), { kVm, job.id });
  ASSERT_TRUE(sent.has_value());
  EXPECT_TRUE(sent->send);
}

// Guards against a backoff that outlives the server that named it.
TEST_F(AllocatorPause, ARestartedServerIsUsedAtOnce)
{
  SetServers(1, 4);
  RejectOne(Seconds(8));
  mStarted = 2;
  SetServers(1, 4);
  EXPECT_TRUE(Submit(MakeJob())->send);
  // A late report of the earlier incarnation.
  mAllocator.MergeBackoff({ "z-1", 1, kVm, mNow + Seconds(5) }, mNow);
  EXPECT_TRUE(Submit(MakeJob())->send);
}

// Guards against a retry or a return that reaches a full server because it may
// be sent to no other one.
TEST_F(AllocatorPause, RestrictedRequestsAreHeldBackToo)
{
  SetServers(2, 4);
  const auto full = RejectOne(Milliseconds(300));
  auto job = MakeJob();
  job.onlyServer = full;
  EXPECT_FALSE(Submit(job).has_value());
  Advance(Milliseconds(301));
  const auto sent = Find(mAllocator.Tick(mNow), { kVm, job.id });
  ASSERT_TRUE(sent.has_value());
  EXPECT_TRUE(sent->send);
}

} // namespace
} // namespace magnoliatide::policy
