// A request that runs during three server crashes is harmful; requests that ran
// on the same servers and later succeed are not.
#include "magnoliatide/policy/crash_suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace magnoliatide::policy {
namespace {

constexpr std::uint64_t kHarmfulRequest = 7;
constexpr TimePoint kStart = TimePoint(Seconds(1000));

/// Simulates a server crash while the given requests run.
void
Crash(CrashSuspects& aSuspects,
      const std::string& aServer,
      const std::vector<std::uint64_t>& aBatch,
      TimePoint aNow)
{
  for (const auto fingerprint : aBatch) {
    aSuspects.RecordInterruption(aServer, fingerprint, aNow);
  }
  aSuspects.RecordServerLoss(aServer, aNow + Milliseconds(100));
}

TEST(CrashSuspects, ThirdCrashMakesRequestHarmful)
{
  CrashSuspects suspects;
  Crash(suspects, "a", { kHarmfulRequest }, kStart);
  Crash(suspects, "b", { kHarmfulRequest }, kStart + Seconds(1));
  EXPECT_FALSE(suspects.IsHarmful(kHarmfulRequest, kStart + Seconds(2)));
  Crash(suspects, "c", { kHarmfulRequest }, kStart + Seconds(2));
  EXPECT_TRUE(suspects.IsHarmful(kHarmfulRequest, kStart + Seconds(3)));
}

TEST(CrashSuspects, SimultaneousInterruptionsCountAsCrash)
{
  CrashSuspects suspects;
  for (int i = 0; i < 3; ++i) {
    const auto now = kStart + Seconds(i);
    suspects.RecordInterruption("a", kHarmfulRequest, now);
    suspects.RecordInterruption("a", 100 + static_cast<std::uint64_t>(i), now);
  }
  EXPECT_TRUE(suspects.IsHarmful(kHarmfulRequest, kStart + Seconds(3)));
  EXPECT_FALSE(suspects.IsHarmful(100, kStart + Seconds(3)));
}

TEST(CrashSuspects, InterruptionAtLiveServerIsNotACrash)
{
  CrashSuspects suspects;
  for (int i = 0; i < 10; ++i) {
    suspects.RecordInterruption("a", kHarmfulRequest, kStart + Seconds(i));
  }
  EXPECT_FALSE(suspects.IsHarmful(kHarmfulRequest, kStart + Seconds(11)));
}

TEST(CrashSuspects, CountsFromOtherVmsAreMerged)
{
  CrashSuspects here;
  CrashSuspects there;
  for (const char* server : { "a", "b", "c" }) {
    Crash(there, server, { kHarmfulRequest }, kStart);
  }
  for (const auto& count : there.TakeChangedCounts()) {
    here.Merge(count, kStart);
  }
  EXPECT_TRUE(here.IsHarmful(kHarmfulRequest, kStart));
  EXPECT_TRUE(there.TakeChangedCounts().empty());
}

/// Requests that succeed between crashes never become harmful, even if they run
/// alongside one that crashes every server; that one is harmful from the third
/// crash on.
RC_GTEST_PROP(CrashSuspects, SuccessfulRequestsAreNeverHarmful, ())
{
  CrashSuspects suspects;
  TimePoint now = kStart;
  const int crashes = *rc::gen::inRange(3, 12);
  for (int i = 0; i < crashes; ++i) {
    const auto generated = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(100, 120));
    const std::set<std::uint64_t> batch(generated.begin(), generated.end());
    std::vector<std::uint64_t> all(batch.begin(), batch.end());
    all.push_back(kHarmfulRequest);
    Crash(suspects, "server-" + std::to_string(i % 4), all, now);
    for (const auto fingerprint : batch) {
      suspects.RecordSuccess(fingerprint);
    }
    now += Milliseconds(*rc::gen::inRange(1600, 9000));
    for (const auto fingerprint : batch) {
      RC_ASSERT(!suspects.IsHarmful(fingerprint, now));
    }
    RC_ASSERT(suspects.IsHarmful(kHarmfulRequest, now) == (i >= 2));
  }
}

} // namespace
} // namespace magnoliatide::policy
