// Tests of the queue order, the work ahead of a request, and the correction of
// expected waits.
#include "magnoliatide/policy/dispatch_queue.h"
#include "magnoliatide/policy/wait_bias.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace magnoliatide::policy {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));

WaitingJob
Waiting(std::uint64_t aSequence, int aTier, double aStartTag, double aWork)
{
  WaitingJob waiting;
  waiting.key = { aSequence % 3, aSequence };
  waiting.sequence = aSequence;
  waiting.job.tier = aTier;
  waiting.startTag = aStartTag;
  waiting.work = aWork;
  return waiting;
}

TEST(DispatchQueue, OrdersByQuotaThenTierThenStartTag)
{
  DispatchQueue queue;
  auto overQuota = Waiting(1, 0, 0, 1);
  overQuota.job.overQuota = true;
  queue.Add(overQuota);
  queue.Add(Waiting(2, 1, 0, 1));
  queue.Add(Waiting(3, 0, 7, 1));
  queue.Add(Waiting(4, 0, 2, 1));
  std::vector<std::uint64_t> order;
  for (const auto& [queueKey, waiting] : queue.InOrder()) {
    order.push_back(waiting.sequence);
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{ 4, 3, 2, 1 }));
}

/// The cached sums equal those of an iteration over the queue after random
/// additions and removals.
RC_GTEST_PROP(DispatchQueue, AheadSumsTheRequestsBefore, ())
{
  DispatchQueue queue;
  std::vector<WaitingJob> all;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 1; i <= steps; ++i) {
    const int tier = *rc::gen::inRange(0, 3);
    const int startTag = *rc::gen::inRange(0, 5);
    const int work = *rc::gen::inRange(1, 9);
    all.push_back(Waiting(static_cast<std::uint64_t>(i), tier, startTag, work));
    queue.Add(all.back());
    const bool removes = *rc::gen::inRange(0, 3) == 0;
    if (removes) {
      const auto at = *rc::gen::inRange<std::size_t>(0, all.size());
      RC_ASSERT(queue.Remove(all[at].key));
      RC_ASSERT(!queue.Remove(all[at].key));
      all.erase(all.begin() + static_cast<std::ptrdiff_t>(at));
    }
  }
  QueuedWork expected;
  for (const auto& [queueKey, waiting] : queue.InOrder()) {
    const auto ahead = queue.Ahead(waiting);
    RC_ASSERT(std::abs(ahead.work - expected.work) < 1e-6);
    RC_ASSERT(ahead.requests == expected.requests);
    expected.work += waiting.work;
    expected.requests += 1;
  }
  RC_ASSERT(queue.size() == all.size());
}

TEST(DispatchQueue, RemovesRequestsOfVm)
{
  DispatchQueue queue;
  for (std::uint64_t i = 1; i <= 9; ++i) {
    queue.Add(Waiting(i, 0, 0, 1));
  }
  EXPECT_EQ(queue.RemoveOfVm(2).size(), 3u);
  EXPECT_EQ(queue.size(), 6u);
  for (const auto& [queueKey, waiting] : queue.InOrder()) {
    EXPECT_NE(waiting.key.vm, 2u);
  }
}

TEST(WaitBias, FactorFollowsWaitsLongerThanExpected)
{
  WaitBias bias;
  EXPECT_EQ(bias.Factor({ 2, "a" }, kStart), 1);
  for (int i = 0; i < 60; ++i) {
    bias.Record({ 2, "a" }, Milliseconds(100), Milliseconds(300), true, kStart);
  }
  EXPECT_NEAR(bias.Factor({ 2, "a" }, kStart), 3, 0.2);
  EXPECT_EQ(bias.Factor({ 1, "a" }, kStart), 1);
}

TEST(WaitBias, UnservedRequestNeverLowersFactor)
{
  WaitBias bias;
  for (int i = 0; i < 60; ++i) {
    bias.Record({ 0, "a" }, Milliseconds(100), Milliseconds(300), true, kStart);
  }
  const double before = bias.Factor({ 0, "a" }, kStart);
  bias.Record({ 0, "a" }, Milliseconds(100), Milliseconds(50), false, kStart);
  EXPECT_EQ(bias.Factor({ 0, "a" }, kStart), before);
}

TEST(WaitBias, FactorDecaysToOne)
{
  WaitBias bias;
  for (int i = 0; i < 60; ++i) {
    bias.Record({ 0, "a" }, Milliseconds(100), Milliseconds(400), true, kStart);
  }
  EXPECT_NEAR(bias.Factor({ 0, "a" }, kStart + Seconds(2)), 2, 0.2);
  EXPECT_NEAR(bias.Factor({ 0, "a" }, kStart + Seconds(20)), 1, 0.01);
}

} // namespace
} // namespace magnoliatide::policy
