// A delta makes the new text from the old one, and is small for small changes.
#include "magnoliatide/document/delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace magnoliatide::document {
namespace {

std::string
TextOf(const std::vector<int>& aSections)
{
  std::string text = "; head\n";
  for (const int section : aSections) {
    text += "[team " + std::to_string(section) + "]\nweight = 1\n";
  }
  return text;
}

RC_GTEST_PROP(Delta, MakesTheNewTextFromTheOld, ())
{
  const auto some =
    rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  const auto from = TextOf(*some);
  const auto to = TextOf(*some);
  RC_ASSERT(ApplyDelta(from, MakeDelta(from, to)) == to);
}

RC_GTEST_PROP(Delta,
              BearsAnyTexts,
              (const std::string& aFrom, const std::string& aTo))
{
  RC_ASSERT(ApplyDelta(aFrom, MakeDelta(aFrom, aTo)) == aTo);
}

TEST(Delta, RefusesPartsThatDoNotFit)
{
  EXPECT_FALSE(ApplyDelta("[a]\n", { { 0, 9, "" } }));
  EXPECT_FALSE(ApplyDelta("[a]\n", { { 7, 1, "" } }));
}

TEST(Delta, OfOneChangedSectionIsSmall)
{
  std::vector<int> sections;
  for (int i = 0; i < 3800; ++i) {
    sections.push_back(i);
  }
  const auto from = TextOf(sections);
  sections[1900] = 9999;
  std::size_t size = 0;
  for (const auto& part : MakeDelta(from, TextOf(sections))) {
    size += sizeof(part) + part.text.size();
  }
  EXPECT_LT(size, 300u);
}

} // namespace
} // namespace magnoliatide::document
