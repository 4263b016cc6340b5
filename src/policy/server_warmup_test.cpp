// A cold server gets no more than it tolerates from all VMs together, whichever
// VM decides and whatever the VMs believe of each other.
#include "magnoliatide/policy/server_warmup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace magnoliatide::policy {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));
constexpr ColdLimit kLimit{ 5.2, Seconds(3) };
constexpr ColdBounds kBounds{ 1.5, 5 };
constexpr double kMaxPerSecond = 1.5 * 5.2 + 5;
constexpr Duration kStep = Milliseconds(5);

/// Returns the most sends within any second.
std::size_t
MostInSecond(std::vector<TimePoint> aSends)
{
  std::sort(aSends.begin(), aSends.end());
  std::size_t most = 0;
  for (auto first = aSends.begin(); first != aSends.end(); ++first) {
    const auto last =
      std::lower_bound(first, aSends.end(), *first + Seconds(1));
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

/// Sends as much as is allowed in a span of time, and returns when.
std::vector<TimePoint>
SendAll(ServerWarmup& aWarmup, TimePoint aFrom, TimePoint aUntil)
{
  std::vector<TimePoint> sends;
  for (auto now = aFrom; now < aUntil; now += kStep) {
    while (aWarmup.IsLimited(now) && aWarmup.Allows(now)) {
      aWarmup.RecordSend(now);
      sends.push_back(now);
    }
  }
  return sends;
}

ServerWarmup
Cold(TimePoint aNow, bool aPermitted = true)
{
  ServerWarmup warmup;
  warmup.SetPermitted(aPermitted, aNow);
  warmup.BeginCold(PermittedColdRate(kLimit, kBounds), kLimit.time, aNow);
  return warmup;
}

TEST(ServerWarmup, AWarmServerIsNotLimited)
{
  ServerWarmup warmup;
  EXPECT_TRUE(warmup.Allows(kStart));
  EXPECT_FALSE(warmup.Rate(kStart).has_value());
  EXPECT_FALSE(warmup.IsCold(kStart));
}

TEST(ServerWarmup, TheToleratedRateIsUsed)
{
  auto warmup = Cold(kStart);
  const auto sends = SendAll(warmup, kStart, kStart + kLimit.time);
  EXPECT_GE(sends.size(), 13U);
  EXPECT_LE(sends.size(), 16U);
  EXPECT_LE(MostInSecond(sends), 6U);
}

// Guards against servers that crash because each of many VMs that decide alone
// sends them a few requests.
TEST(ServerWarmup, AVmThatDoesNotDecideForMostSendsNothing)
{
  auto warmup = Cold(kStart, false);
  EXPECT_TRUE(SendAll(warmup, kStart, kStart + kLimit.time).empty());
  EXPECT_EQ(warmup.Rate(kStart), 0);
  EXPECT_TRUE(warmup.Allows(kStart + kLimit.time + Seconds(1)));
}

// Guards against a step from the cold rate to the full load: the time that a
// server names may be outdated.
TEST(ServerWarmup, TheRateRisesAfterTheColdTime)
{
  auto warmup = Cold(kStart);
  SendAll(warmup, kStart, kStart + kLimit.time);
  const auto warm = kStart + kLimit.time;
  const auto early = SendAll(warmup, warm, warm + Milliseconds(300)).size();
  const auto late =
    SendAll(warmup, warm + Milliseconds(300), warm + Milliseconds(600)).size();
  EXPECT_LE(early, 6U);
  EXPECT_GT(late, early);
  EXPECT_FALSE(warmup.IsLimited(warm + Seconds(1)));
}

// Guards against the full load at a server that becomes cold again.
TEST(ServerWarmup, AServerMayBecomeColdAgain)
{
  auto warmup = Cold(kStart);
  const auto again = kStart + Seconds(10);
  EXPECT_TRUE(warmup.Allows(again));
  warmup.BeginCold(5.2, kLimit.time, again);
  EXPECT_FALSE(warmup.Allows(again));
  EXPECT_LE(MostInSecond(SendAll(warmup, again, again + kLimit.time)), 6U);
}

// Guards against an earlier report with a shorter time that ends the cold time.
TEST(ServerWarmup, AShorterTimeDoesNotEndTheColdTime)
{
  auto warmup = Cold(kStart);
  warmup.BeginCold(5.2, Milliseconds(100), kStart + Milliseconds(200));
  EXPECT_TRUE(warmup.IsCold(kStart + Seconds(2)));
}

TEST(ServerWarmup, TheRateStaysWithinHalfOfTheBound)
{
  EXPECT_DOUBLE_EQ(PermittedColdRate(kLimit, kBounds), 5.2);
  EXPECT_DOUBLE_EQ(PermittedColdRate(kLimit, { 1, 1 }), 2.1);
  EXPECT_EQ(PermittedColdRate({ 0, Seconds(3) }, kBounds), 0);
  EXPECT_GT(PermittedColdRate(kLimit, { 0, 0 }), 0);
}

// Guards against a crash by too many requests that counts as evidence against
// what the server was running.
TEST(ServerWarmup, MoreThanToleratedIsAnOverload)
{
  auto warmup = Cold(kStart);
  for (int i = 0; i < 6; ++i) {
    warmup.RecordSend(kStart + Milliseconds(10 * i));
  }
  EXPECT_FALSE(warmup.IsOverloaded(kStart + Milliseconds(60)));
  warmup.RecordSend(kStart + Milliseconds(70));
  EXPECT_TRUE(warmup.IsOverloaded(kStart + Milliseconds(80)));
  EXPECT_FALSE(warmup.IsOverloaded(kStart + Milliseconds(1200)));
}

// Guards against a bound that is exceeded while two VMs believe that they
// decide for most: each of them takes over and gives up at any moment, and
// learns of the cold server at any moment.
RC_GTEST_PROP(ServerWarmup, TwoVmsTogetherKeepTheBound, ())
{
  struct Vm
  {
    ServerWarmup warmup;
    TimePoint learns;
    TimePoint takesOver;
    TimePoint givesUp;
  };
  std::vector<Vm> vms(2);
  const auto moment = [] {
    return kStart + Milliseconds(*rc::gen::inRange(0, 3000));
  };
  for (auto& vm : vms) {
    vm.learns = kStart + Milliseconds(*rc::gen::inRange(0, 800));
    vm.takesOver = moment();
    vm.givesUp = moment();
  }
  std::vector<TimePoint> sends;
  for (auto now = kStart; now < kStart + kLimit.time; now += kStep) {
    for (auto& vm : vms) {
      if (now >= vm.learns && !vm.warmup.IsLimited(now)) {
        vm.warmup.BeginCold(
          PermittedColdRate(kLimit, kBounds), kLimit.time, now);
      }
      vm.warmup.SetPermitted(now >= vm.takesOver && now < vm.givesUp, now);
      while (vm.warmup.IsCold(now) && vm.warmup.Allows(now)) {
        vm.warmup.RecordSend(now);
        sends.push_back(now);
      }
    }
  }
  RC_ASSERT(static_cast<double>(MostInSecond(sends)) <= kMaxPerSecond);
}

} // namespace
} // namespace magnoliatide::policy
