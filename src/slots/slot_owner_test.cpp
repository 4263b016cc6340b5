// Grants stay within the limit, and waiting requests get slots by tier.
#include "magnoliatide/slots/slot_owner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace magnoliatide::slots {
namespace {

const TimePoint kStart = TimePoint{} + Seconds(1000);

SlotOwner
OwnerWith(int aSlots)
{
  SlotOwner owner({}, kStart);
  owner.SetBackends({ { "e", aSlots, 64, false } });
  return owner;
}

wire::SlotDemand
DemandOf(int aInFlight, std::vector<std::uint16_t> aWaiting)
{
  wire::SlotDemand demand;
  demand.service = "s";
  demand.zone = "z";
  demand.waitingByTier = std::move(aWaiting);
  demand.usages.push_back(
    { 0, static_cast<std::uint16_t>(aInFlight), 0, 0, 0 });
  return demand;
}

RC_GTEST_PROP(SlotOwner, LeasesStayWithinTheLimit, ())
{
  const int slots = *rc::gen::inRange(1, 20);
  auto owner = OwnerWith(slots);
  TimePoint now = kStart + Seconds(10);
  std::map<std::string, int> granted;
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (const int step : steps) {
    now += Milliseconds(step % 60);
    const std::string vm = "vm" + std::to_string(step % 5);
    const int maxInFlight = granted[vm];
    const int inFlight = maxInFlight == 0 ? 0 : step % (maxInFlight + 1);
    const auto waiting = static_cast<std::uint16_t>(step % 9);
    const auto grants = owner.Handle(vm, DemandOf(inFlight, { waiting }), now);
    granted[vm] = grants.grants.at(0).slots;
    RC_ASSERT(granted[vm] >= inFlight);
    RC_ASSERT(owner.Leased("e", now) <= slots);
  }
}

TEST(SlotOwner, WaitingRequestsOfAHigherTierComeFirst)
{
  auto owner = OwnerWith(8);
  const TimePoint now = kStart + Seconds(10);
  owner.Handle("low", DemandOf(0, {}), now);
  owner.Handle("high", DemandOf(0, {}), now);
  // Both lease four idle slots. "low" loses its slots when it renews.
  owner.Handle("high", DemandOf(4, { 8 }), now);
  const auto low = owner.Handle("low", DemandOf(0, { 0, 8 }), now);
  EXPECT_EQ(low.grants[0].slots, 0);
  const auto high = owner.Handle("high", DemandOf(4, { 8 }), now);
  EXPECT_EQ(high.grants[0].slots, 8);
}

TEST(SlotOwner, ExpiredLeasesAreReleased)
{
  auto owner = OwnerWith(4);
  const TimePoint now = kStart + Seconds(10);
  EXPECT_EQ(owner.Handle("gone", DemandOf(0, { 9 }), now).grants[0].slots, 4);
  const auto later = now + Seconds(2);
  EXPECT_EQ(owner.Handle("next", DemandOf(0, { 9 }), later).grants[0].slots, 4);
}

TEST(SlotOwner, ANewOwnerGrantsOnlyEqualSharesForOneLease)
{
  auto owner = OwnerWith(8);
  owner.Handle("a", DemandOf(1, { 9 }), kStart);
  owner.Handle("b", DemandOf(1, { 9 }), kStart);
  const auto grants = owner.Handle("a", DemandOf(1, { 9 }), kStart);
  EXPECT_LE(grants.grants[0].slots, 4);
}

} // namespace
} // namespace magnoliatide::slots
