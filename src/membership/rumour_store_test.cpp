// Tests of the rumour store: limits, expiry and versions.
#include "magnoliatide/membership/rumour_store.h"

#include <gtest/gtest.h>

namespace magnoliatide::membership {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));
constexpr Duration kLifetime = Seconds(600);

wire::Rumour
Leaving(int aIndex)
{
  return { wire::RumourKind::kBackendState,
           "server-" + std::to_string(aIndex),
           1,
           "leaving" };
}

// Guards against a store that rejects new rumours once it is full, which it is
// after months. The notice of a leaving server was then not spread, and VMs
// kept sending it requests.
TEST(Rumours, AFullStoreAcceptsNewRumours)
{
  constexpr int kCount = 20000; ///< More than a store holds.
  RumourStore rumours(kLifetime);
  for (int i = 0; i < kCount; ++i) {
    EXPECT_TRUE(rumours.Add(Leaving(i), 1, kStart + Milliseconds(i)));
  }
  EXPECT_LT(rumours.AllRumours(kStart).size(), 10000u);
  EXPECT_NE(rumours.Find(wire::RumourKind::kBackendState,
                         "server-" + std::to_string(kCount - 1)),
            nullptr);
}

TEST(Rumours, ExpiredRumoursDoNotComeBack)
{
  RumourStore first(kLifetime);
  RumourStore second(kLifetime);
  const auto empty = first.Digest();
  first.Add(Leaving(1), 1, kStart);
  const TimePoint later = kStart + Seconds(500);
  for (const auto& rumour : first.AllRumours(later)) {
    EXPECT_EQ(rumour.ageSeconds, 500u);
    EXPECT_TRUE(second.Add(rumour, 1, later));
  }
  EXPECT_EQ(first.Digest(), second.Digest());
  // The first store drops the rumour at the end of its lifetime, and does not
  // accept it again from the second store, which sent it just before.
  const TimePoint end = kStart + kLifetime;
  const auto last = second.AllRumours(end);
  first.Expire(end);
  EXPECT_EQ(first.Digest(), empty);
  EXPECT_FALSE(first.Add(last.at(0), 1, end));
  second.Expire(end + Seconds(1));
  EXPECT_EQ(second.Digest(), empty);
}

TEST(Rumours, TheNewerVersionIsKept)
{
  RumourStore rumours(kLifetime);
  auto newer = Leaving(1);
  newer.version = 2;
  EXPECT_TRUE(rumours.Add(newer, 1, kStart));
  EXPECT_FALSE(rumours.Add(Leaving(1), 1, kStart));
  EXPECT_EQ(rumours.Next(8, kStart).size(), 1u);
  EXPECT_TRUE(rumours.Next(8, kStart).empty());
}

} // namespace
} // namespace magnoliatide::membership
