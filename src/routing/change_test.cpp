// Tests the description of configuration changes in the log.
#include "magnoliatide/routing/change.h"

#include <gtest/gtest.h>

namespace magnoliatide::routing {
namespace {

std::shared_ptr<Table>
SampleTable()
{
  auto table = std::make_shared<Table>();
  Route route;
  route.name = "quotes";
  route.shares = { { "language", 1 } };
  table->routes = { route };
  Team team;
  team.name = "planners";
  table->teams = { team };
  table->teamByCredential = { { "a-key", 0 } };
  return table;
}

TEST(Change, IsEmptyForEqualTables)
{
  EXPECT_EQ(DescribeChange(SampleTable(), *SampleTable()), "");
}

TEST(Change, ListsAddedRemovedAndChangedEntries)
{
  auto after = SampleTable();
  after->routes[0].shares = { { "elsewhere", 1 } };
  Route added;
  added.name = "stock";
  after->routes.push_back(added);
  after->teamByCredential.clear();
  EXPECT_EQ(DescribeChange(SampleTable(), *after),
            "routes ~quotes +stock; keys -" + CredentialName("a-key"));
}

TEST(Change, LimitsTheNumberOfListedEntries)
{
  auto after = SampleTable();
  for (int i = 0; i < 100; ++i) {
    Route route;
    route.name = "r" + std::to_string(i);
    after->routes.push_back(route);
  }
  const auto text = DescribeChange(SampleTable(), *after);
  EXPECT_NE(text.find("and 94 more"), std::string::npos) << text;
  EXPECT_LT(text.size(), 100u);
}

TEST(Change, DoesNotDiscloseCredentials)
{
  EXPECT_EQ(DescribeChange(nullptr, *SampleTable()).find("a-key"),
            std::string::npos);
}

} // namespace
} // namespace magnoliatide::routing
