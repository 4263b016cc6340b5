// Tests that a delta rebuilds the new text exactly, that one which does not fit
// the old text is refused, and that a small change gives a small delta.
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

RC_GTEST_PROP(Delta, RebuildsTheNewText, ())
{
  const auto sectionLists =
    rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  const auto from = TextOf(*sectionLists);
  const auto to = TextOf(*sectionLists);
  RC_ASSERT(ApplyDelta(from, MakeDelta(from, to)) == to);
}

RC_GTEST_PROP(Delta,
              RoundTripsArbitraryTexts,
              (const std::string& aFrom, const std::string& aTo))
{
  RC_ASSERT(ApplyDelta(aFrom, MakeDelta(aFrom, aTo)) == aTo);
}

TEST(Delta, RefusesSectionsThatDoNotExist)
{
  EXPECT_FALSE(ApplyDelta("[a]\n", { { 0, 9, "" } }));
  EXPECT_FALSE(ApplyDelta("[a]\n", { { 7, 1, "" } }));
}

TEST(Delta, IsSmallForOneChangedSection)
{
  std::vector<int> sections;
  for (int i = 0; i < 3800; ++i) {
    sections.push_back(i);
  }
  const auto from = TextOf(sections);
  sections[1900] = 9999;
  std::size_t deltaBytes = 0;
  for (const auto& op : MakeDelta(from, TextOf(sections))) {
    deltaBytes += sizeof(op) + op.text.size();
  }
  EXPECT_LT(deltaBytes, 300u);
}

} // namespace
} // namespace magnoliatide::document
