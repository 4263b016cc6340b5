// Tests that the active document never reverts, and that it does not depend on
// the order in which documents are offered.
#include "magnoliatide/document/active_document.h"

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

RC_GTEST_PROP(ActiveDocument, NeverRevertsAndAllOrdersEndAlike, ())
{
  const auto offeredVariants =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
  ActiveDocument first("trial");
  std::vector<Fault> faults;
  std::uint64_t generation = 0;
  std::string digest;
  for (const int variant : offeredVariants) {
    first.Offer("test", TextOf(1 + variant / 3, variant % 3), faults);
    const auto current = first.Current();
    RC_ASSERT(
      !Supersedes(generation, digest, current->generation, current->digest));
    generation = current->generation;
    digest = current->digest;
  }
  ActiveDocument second("trial");
  auto reversed = offeredVariants;
  std::reverse(reversed.begin(), reversed.end());
  for (const int variant : reversed) {
    second.Offer("test", TextOf(1 + variant / 3, variant % 3), faults);
  }
  if (!offeredVariants.empty()) {
    RC_ASSERT(second.Current()->digest == first.Current()->digest);
  }
}

TEST(ActiveDocument, RefusesInvalidForeignAndOlderDocuments)
{
  ActiveDocument activeDocument("trial");
  std::vector<Fault> faults;
  EXPECT_EQ(activeDocument.Offer("t", TextOf(5, 0), faults),
            OfferResult::kAccepted);
  EXPECT_EQ(activeDocument.Offer("t", TextOf(4, 0), faults),
            OfferResult::kOlder);
  EXPECT_EQ(activeDocument.Offer("t", TextOf(6, 0) + "[x]\ny = 1\n", faults),
            OfferResult::kInvalid);
  EXPECT_FALSE(faults.empty());
  auto foreign = TextOf(9, 0);
  foreign.replace(foreign.find("trial"), 5, "other");
  EXPECT_EQ(activeDocument.Offer("t", foreign, faults), OfferResult::kForeign);
  EXPECT_EQ(activeDocument.Current()->generation, 5u);
}

} // namespace
} // namespace magnoliatide::document
