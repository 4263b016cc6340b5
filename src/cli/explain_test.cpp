// Tests that request timelines are built from log lines as VMs write them.
#include "explain.h"

#include <gtest/gtest.h>

#include <sstream>

namespace magnoliatide::cli {
namespace {

constexpr char kLog[] = R"(
   5.08 front-1 time=2026-06-11T07:14:02.000Z level=info vm=a/front-1 event=servers revision=9 from=store count=3 changes="+i-7"
   5.08 front-1 time=2026-06-11T07:14:02.100Z level=info vm=a/front-1 event=send request=r1 kind=quotes team=t tier=100 server=i-7 zone=a why="first event in 65 ms, running there: 0" by=10.3.0.8:8081 config=4 servers=9 age_ms=30 left_ms=8605
   5.08 front-2 time=2026-06-11T07:14:02.150Z level=info vm=a/front-2 event=send request=r2 kind=quotes server=i-7 zone=a why=x by=10.3.0.8:8081 config=4 servers=9 age_ms=30 left_ms=8605
not a line of a log
   5.08 front-1 time=2026-06-11T07:14:02.400Z level=info vm=a/front-1 event=run-ended request=r1 server=i-7 result=cut status=200 detail="the connection ended, or what came was \"no answer\"" tokens=84 first_ms=56 gap_ms=37 run_ms=289 age_ms=303
   5.08 front-1 time=2026-06-11T07:14:02.401Z level=info vm=a/front-1 event=refuse request=r1 kind=quotes team=t reason=lost detail="it may have run: would wait 300 ms behind 4 requests" config=4 age_ms=303 retry_after_ms=0
   5.08 front-1 time=2026-06-11T07:14:02.500Z level=info vm=a/front-1 event=change subject="backend i-7" from=good to=leaving cause="reported by a VM" record=12
   5.08 front-1 time=2026-06-11T07:14:09.500Z level=info vm=a/front-1 event=change subject=configuration from=4 to=6 cause="revision 12 from store" record=13
)";

std::vector<LogRecord>
ParseRecords()
{
  std::vector<LogRecord> records;
  std::istringstream text(kLog);
  std::string line;
  while (std::getline(text, line)) {
    auto record = ParseLogLine(line);
    if (record) {
      records.push_back(*record);
    }
  }
  return records;
}

TEST(Explain, ParsesQuotedValuesAndSkipsOtherLines)
{
  const auto records = ParseRecords();
  ASSERT_EQ(records.size(), 7u);
  EXPECT_EQ(records[3].Field("detail"),
            "the connection ended, or what came was \"no answer\"");
  EXPECT_EQ(records[3].vm, "a/front-1");
  EXPECT_EQ(records[0].Field("missing"), "");
}

TEST(Explain, OrdersStepsAndIncludesNearbyChanges)
{
  const auto timeline = BuildTimeline(ParseRecords(), "r1");
  ASSERT_EQ(timeline.steps.size(), 5u);
  EXPECT_FALSE(timeline.steps[0].own);
  EXPECT_TRUE(timeline.steps[1].own);
  EXPECT_NE(timeline.steps[1].text.find("decided by 10.3.0.8:8081"),
            std::string::npos);
  EXPECT_TRUE(timeline.steps[3].own);
  EXPECT_NE(timeline.steps[4].text.find("good to leaving"), std::string::npos);
  EXPECT_EQ(timeline.cause,
            "lost: it may have run: would wait 300 ms behind 4 requests");
}

TEST(Explain, ReportsThatTheLogEndsBeforeTheRequest)
{
  const auto timeline = BuildTimeline(ParseRecords(), "r2");
  ASSERT_EQ(timeline.steps.size(), 1u);
  EXPECT_EQ(timeline.cause.substr(0, 12), "the log ends");
}

TEST(Explain, HasNoStepsForUnknownRequest)
{
  EXPECT_TRUE(BuildTimeline(ParseRecords(), "r3").steps.empty());
}

} // namespace
} // namespace magnoliatide::cli
