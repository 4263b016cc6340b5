// Tests of requests that arrive while servers pause.
#include "magnoliatide/policy/allocator.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::policy {
namespace {

constexpr std::uint64_t kVm = 1;
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

} // namespace
} // namespace magnoliatide::policy
