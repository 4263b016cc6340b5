// The document in force never goes back, whatever is offered in which order.
#include "magnoliatide/document/in_force.h"

#include "magnoliatide/core/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace magnoliatide::document {
namespace {

std::string
TextOf(int aGeneration, int aVariant)
{
  return "; variant " + std::to_string(aVariant) +
         "\n[environment]\nname = trial\ngeneration = " +
         std::to_string(aGeneration) +
         "\n[tiers]\nnames = urgent\n[vms]\nslots = a/1\n";
}

RC_GTEST_PROP(InForce, NeverRevertsAndAllOrdersEndAlike, ())
{
  const auto offers =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
  InForce first("trial");
  std::vector<Fault> faults;
  std::uint64_t generation = 0;
  std::string digest;
  for (const int offer : offers) {
    first.Offer("test", TextOf(1 + offer / 3, offer % 3), faults);
    const auto current = first.Current();
    RC_ASSERT(
      !Supersedes(generation, digest, current->generation, current->digest));
    generation = current->generation;
    digest = current->digest;
  }
  InForce second("trial");
  auto shuffled = offers;
  std::reverse(shuffled.begin(), shuffled.end());
  for (const int offer : shuffled) {
    second.Offer("test", TextOf(1 + offer / 3, offer % 3), faults);
  }
  if (!offers.empty()) {
    RC_ASSERT(second.Current()->digest == first.Current()->digest);
  }
}

TEST(InForce, RefusesInvalidForeignAndOlderDocuments)
{
  InForce inForce("trial");
  std::vector<Fault> faults;
  EXPECT_EQ(inForce.Offer("t", TextOf(5, 0), faults), OfferResult::kAccepted);
  EXPECT_EQ(inForce.Offer("t", TextOf(4, 0), faults), OfferResult::kOlder);
  EXPECT_EQ(inForce.Offer("t", TextOf(6, 0) + "[x]\ny = 1\n", faults),
            OfferResult::kInvalid);
  EXPECT_FALSE(faults.empty());
  auto foreign = TextOf(9, 0);
  foreign.replace(foreign.find("trial"), 5, "other");
  EXPECT_EQ(inForce.Offer("t", foreign, faults), OfferResult::kForeign);
  EXPECT_EQ(inForce.Current()->generation, 5u);
}

} // namespace
} // namespace magnoliatide::document
