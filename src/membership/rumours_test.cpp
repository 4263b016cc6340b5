// Rumours matter for a while, also where VMs run for months.
#include "magnoliatide/membership/rumours.h"

#include <gtest/gtest.h>

namespace magnoliatide::membership {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));
constexpr Duration kMemory = Seconds(600);

wire::Rumour
Leaving(int aServer)
{
  return { wire::RumourKind::kBackendState,
           "server-" + std::to_string(aServer),
           1,
           "leaving" };
}

// After as many notices as fit, further ones were not spread any more: a server
// that left got new work from VMs that had not seen its notice.
TEST(Rumours, FurtherOnesAreTakenAfterMonths)
{
  constexpr int kMany = 20000;
  Rumours rumours(kMemory);
  for (int i = 0; i < kMany; ++i) {
    EXPECT_TRUE(rumours.Add(Leaving(i), 1, kStart + Milliseconds(i)));
  }
  EXPECT_LT(rumours.All(kStart).size(), 10000u);
  EXPECT_NE(rumours.Find(wire::RumourKind::kBackendState,
                         "server-" + std::to_string(kMany - 1)),
            nullptr);
}

TEST(Rumours, OldOnesAreForgottenByAll)
{
  Rumours first(kMemory);
  Rumours second(kMemory);
  const auto empty = first.Digest();
  first.Add(Leaving(1), 1, kStart);
  const TimePoint later = kStart + Seconds(500);
  for (const auto& rumour : first.All(later)) {
    EXPECT_EQ(rumour.ageSeconds, 500u);
    EXPECT_TRUE(second.Add(rumour, 1, later));
  }
  EXPECT_EQ(first.Digest(), second.Digest());
  // One forgets it; the other, that is asked just before, does not bring it
  // back.
  const TimePoint end = kStart + kMemory;
  const auto last = second.All(end);
  first.Expire(end);
  EXPECT_EQ(first.Digest(), empty);
  EXPECT_FALSE(first.Add(last.at(0), 1, end));
  second.Expire(end + Seconds(1));
  EXPECT_EQ(second.Digest(), empty);
}

TEST(Rumours, TheNewerOneStands)
{
  Rumours rumours(kMemory);
  auto newer = Leaving(1);
  newer.version = 2;
  EXPECT_TRUE(rumours.Add(newer, 1, kStart));
  EXPECT_FALSE(rumours.Add(Leaving(1), 1, kStart));
  EXPECT_EQ(rumours.Next(8, kStart).size(), 1u);
  EXPECT_TRUE(rumours.Next(8, kStart).empty());
}

} // namespace
} // namespace magnoliatide::membership
