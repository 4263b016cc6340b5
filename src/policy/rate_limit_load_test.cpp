// Simulated load with servers that name a rate limit: the limit is kept and
// used, and urgent requests go where there is room.
#include "testing/load_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace magnoliatide::policy {
namespace {

using testing::EngineGroup;
using testing::LoadModel;
using testing::Traffic;

constexpr int kServers = 12;
constexpr int kLimited = 8;
constexpr double kLimit = 4; ///< Requests per second.
constexpr Duration kNamed = Seconds(6);
constexpr Duration kLifted = Seconds(25);
constexpr Duration kEnd = Seconds(32);

/// Time from the first answer with a limit until the limit binds.
constexpr Duration kReactionTime = Seconds(3);
constexpr Duration kWindow = Seconds(4);
constexpr double kMaxInWindow = 1.5 * 4 * kLimit + 5;

std::string
ServerName(int aIndex)
{
  return "z-" + std::to_string(aIndex + 1);
}

Traffic
MakeTraffic(const char* aName, int aTier, double aPerSecond)
{
  Traffic traffic;
  traffic.kind = aName;
  traffic.team = std::string("team-of-") + aName;
  traffic.tier = aTier;
  traffic.perSecond = aPerSecond;
  return traffic;
}

class RateLimitLoad : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  RateLimitLoad()
    : mModel(GetParam())
  {
    mModel.Add(EngineGroup{ kServers, 5 });
    for (int i = 0; i < kLimited; ++i) {
      mModel.SetRateLimit(ServerName(i), kLimit, kNamed);
      // The model takes the time of this call as that of the send.
      mModel.SetRateLimit(ServerName(i), std::nullopt, kLifted);
    }
  }

  /// Returns how many requests arrived at a server between two times.
  std::size_t ArrivalsBetween(int aServer, Duration aFrom, Duration aTo)
  {
    const auto& times = mModel.ArrivalsAt(ServerName(aServer));
    return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(), [&](TimePoint aTime) {
        const auto at = LoadModel::SinceStart(aTime);
        return at >= aFrom && at < aTo;
      }));
  }

  void ExpectLimitKept()
  {
    for (int i = 0; i < kLimited; ++i) {
      for (Duration from = kNamed + kReactionTime; from + kWindow <= kLifted;
           from += Milliseconds(100)) {
        EXPECT_LE(ArrivalsBetween(i, from, from + kWindow), kMaxInWindow)
          << ServerName(i);
      }
    }
  }

  LoadModel mModel;
};

INSTANTIATE_TEST_SUITE_P(Seeds, RateLimitLoad, ::testing::Values(1, 2, 3));

// Load that the other servers and the limits can take together. Guards against
// urgent requests that wait for a server that may not take them.
TEST_P(RateLimitLoad, UrgentRequestsAreServedWithinTheLimits)
{
  mModel.Add(MakeTraffic("quote", 0, 18));
  mModel.Add(MakeTraffic("idea", 2, 35));
  mModel.Run(kEnd);
  ExpectLimitKept();
  const auto& quotes = mModel.OutcomeOfKind("quote");
  EXPECT_GT(quotes.Share(quotes.inTime), 0.95);
  EXPECT_EQ(quotes.rejected, 0);
}

// Load beyond what the limits leave. Guards against limits that are not used
// although requests are refused, and against refusals after long waits.
TEST_P(RateLimitLoad, AnOverloadUsesTheLimitsAndIsRefusedEarly)
{
  mModel.Add(MakeTraffic("quote", 0, 18));
  mModel.Add(MakeTraffic("idea", 2, 120));
  mModel.Run(kEnd);
  ExpectLimitKept();
  const Duration from = kNamed + kReactionTime;
  for (int i = 0; i < kLimited; ++i) {
    const auto arrivals =
      static_cast<double>(ArrivalsBetween(i, from, kLifted));
    EXPECT_GT(arrivals, 0.8 * kLimit * ToSeconds(kLifted - from))
      << ServerName(i);
  }
  const auto& quotes = mModel.OutcomeOfKind("quote");
  EXPECT_GT(quotes.Share(quotes.inTime), 0.9);
  const auto& ideas = mModel.OutcomeOfKind("idea");
  ASSERT_GT(ideas.rejectedOnce, 0);
  EXPECT_LT(ideas.waitedSeconds / ideas.rejectedOnce, 0.25);
}

// Guards against a limit that stays in force after the server names none.
TEST_P(RateLimitLoad, AServerIsUsedFullyOnceItsLimitHasEnded)
{
  mModel.Add(MakeTraffic("quote", 0, 120));
  mModel.Run(kEnd);
  for (int i = 0; i < kLimited; ++i) {
    EXPECT_GT(ArrivalsBetween(i, kLifted + Seconds(1), kEnd),
              1.5 * kLimit * ToSeconds(kEnd - kLifted))
      << ServerName(i);
  }
}

} // namespace
} // namespace magnoliatide::policy
