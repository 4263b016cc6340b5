// Tests that request timelines are built from log lines as VMs write them.
#include "explain.h"

#include "magnoliatide/http/server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
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
ParseRecords(const std::string& aLog = kLog)
{
  std::vector<LogRecord> records;
  std::istringstream text(aLog);
  std::string line;
  while (std::getline(text, line)) {
    auto record = ParseLogLine(line);
    if (record) {
      records.push_back(*record);
    }
  }
  return records;
}

/// Returns the start of a log line, some milliseconds after the first one.
std::string
At(int aMillis, const std::string& aVm = "a/front-1")
{
  const auto millis = std::to_string(aMillis % 1000);
  return "\ntime=2026-06-11T07:14:0" + std::to_string(aMillis / 1000) + "." +
         std::string(3 - millis.size(), '0') + millis +
         "Z level=info vm=" + aVm + " event=";
}

/// Returns a line of a send at an age of 1 ms with 4,499 ms left.
std::string
Send(int aMillis, const std::string& aServer)
{
  return At(aMillis) + "send request=r1 server=" + aServer +
         " zone=a why=x by=own config=4 servers=9 age_ms=1 left_ms=4499";
}

std::string
RunEnd(int aMillis,
       const std::string& aEvent,
       const std::string& aServer,
       const std::string& aResult)
{
  return At(aMillis) + aEvent + " request=r1 server=" + aServer +
         " result=" + aResult +
         " tokens=9 first_ms=5 gap_ms=7 run_ms=" + std::to_string(aMillis) +
         " age_ms=" + std::to_string(aMillis);
}

Timeline
TimelineOf(const std::string& aLog)
{
  return BuildTimeline(ParseRecords(aLog), "r1");
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
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
            "lost: it may have run: would wait 300 ms behind 4 requests; after "
            "303 ms, with 8332 ms of its time left; runs: i-7 cut after 289 ms "
            "(the connection ended, or what came was \"no answer\")");
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

// Guards against a timeout that is explained as an exit of the VM, because the
// end of the caller's connection is logged after the refusal.
TEST(Explain, ACutAnswerHasTheCauseOfItsRefusal)
{
  const auto timeline = TimelineOf(
    Send(1, "i-7") +
    RunEnd(4500,
           "run-ended",
           "i-7",
           "silent status=200 detail=\"the deadline passed\"") +
    At(4500) +
    "refuse request=r1 reason=timed-out detail=\"it may have run: x\" config=4 "
    "answer=aborted age_ms=4500 retry_after_ms=0" +
    At(4501) +
    "request-dropped request=r1 cause=aborted read=whole age_ms=4501");
  EXPECT_EQ(timeline.cause,
            "timed-out: it may have run: x; after 4500 ms, when its time of "
            "4500 ms (by the caller's deadline or the route's timeout) was up; "
            "runs: i-7 silent after 4500 ms (the deadline passed); the answer "
            "had begun, and the caller's connection was cut");
  EXPECT_EQ(
    timeline.steps.back().text,
    "the caller's connection ended after 4501 ms, before its answer was "
    "complete: this VM cut the answer that had begun");
}

// Guards against an end by a planned stop that is taken for the caller's
// deadline.
TEST(Explain, AnEndBeforeTheDeadlineNamesTheTimeLeftAndThePlannedStop)
{
  const auto timeline = TimelineOf(
    Send(1, "i-7") + At(800) +
    "change subject=vm from=serving to=draining cause=\"planned stop\" "
    "record=3" +
    RunEnd(2000,
           "run-ended",
           "i-7",
           "silent status=200 detail=\"the deadline passed\"") +
    At(2000) +
    "refuse request=r1 reason=timed-out detail=x config=4 answer=complete "
    "age_ms=2000 retry_after_ms=0");
  EXPECT_TRUE(Contains(timeline.cause, "with 2500 ms of its time left"))
    << timeline.cause;
  EXPECT_TRUE(Contains(timeline.cause, "the VM was in a planned stop"))
    << timeline.cause;
}

// Guards against a run that was given up for another one and is taken for the
// end of the request, whichever line comes first.
TEST(Explain, AnAbandonedRunIsNotTheEnd)
{
  const auto answered = RunEnd(1300, "answered", "i-7", "whole status=200");
  const auto abandoned =
    RunEnd(1300, "run-ended", "i-8", "cancelled status=0 detail=cancelled");
  const auto begin = Send(1, "i-7") + At(900) +
                     "silent request=r1 server=i-7 silent_ms=899 status=200 "
                     "age_ms=900" +
                     Send(1000, "i-8");
  for (const auto& end : { answered + abandoned, abandoned + answered }) {
    EXPECT_EQ(TimelineOf(begin + end).cause,
              "the request was answered: status 200 from server i-7; after "
              "1300 ms");
  }
  // The end of the request is not in the log.
  EXPECT_EQ(TimelineOf(begin + abandoned).cause,
            "the log ends before the request does: the VM exited, or log lines "
            "were dropped; runs: i-7 (no line of its end), i-8 cancelled after "
            "1300 ms (cancelled)");
}

// Guards against a cause that is taken from a VM to which the request was sent
// as to a server.
TEST(Explain, ARefusalToAnotherVmIsNotTheEnd)
{
  const auto timeline = TimelineOf(
    Send(1, "i-7") + At(3, "a/front-2") +
    "refuse request=r1 reason=not-a-server detail=x config=4 answer=complete "
    "age_ms=0 retry_after_ms=0");
  EXPECT_EQ(timeline.cause.substr(0, 12), "the log ends");
}

// Guards against an answer that is called complete though the caller did not
// get all of it.
TEST(Explain, AnAnswerThatCouldNotBeWrittenHasTheCauseOfTheConnection)
{
  const auto begin =
    Send(1, "i-7") + RunEnd(700, "answered", "i-7", "whole status=200") +
    At(701) + "request-dropped request=r1 read=whole age_ms=701 detail=";
  EXPECT_EQ(TimelineOf(begin + "\"Broken pipe\" cause=write-failed").cause,
            "write-failed: the answer could not be written (Broken pipe); its "
            "connection was closed after 701 ms, before its answer was "
            "complete; runs: i-7 whole after 700 ms");
  EXPECT_TRUE(Contains(TimelineOf(begin + "\"End of file\" cause=caller").cause,
                       "the caller disconnected"));
}

// Guards against a relayed error of a server that is explained as an open end.
TEST(Explain, AnErrorAnswerOfTheServerIsTheCause)
{
  const auto failed =
    RunEnd(30,
           "run-ended",
           "i-7",
           "failed status=500 detail=\"the server returned an error\"");
  EXPECT_EQ(TimelineOf(Send(1, "i-7") + failed).cause,
            "server i-7 answered with status 500, which the caller got; after "
            "30 ms; runs: i-7 failed after 30 ms (the server returned an "
            "error)");
  const auto retried = TimelineOf(Send(1, "i-7") + failed + Send(40, "i-8"));
  EXPECT_EQ(retried.cause.substr(0, 12), "the log ends");
}

// Guards against a fault in the program that is explained as an exit of the VM.
TEST(Explain, AFaultInTheProgramIsTheCause)
{
  const auto timeline = TimelineOf(
    Send(1, "i-7") + At(50) +
    "handler-failed request=r1 age_ms=50 detail=\"bad allocation\"" + At(50) +
    "request-dropped request=r1 cause=handler-failed read=whole age_ms=50 "
    "detail=\"bad allocation\"");
  EXPECT_EQ(
    timeline.cause,
    "a fault in magnoliatide: bad allocation; after 50 ms, with 4450 ms "
    "of its time left; runs: i-7 (no line of its end); the caller's "
    "connection was cut");
}

// Guards against a caller's leave that is explained as an exit of the VM.
TEST(Explain, ACallerThatLeftIsTheCause)
{
  EXPECT_EQ(TimelineOf(At(70) + "caller-left request=r1 age_ms=70" + At(71) +
                       "request-dropped request=r1 cause=caller read=whole "
                       "age_ms=71")
              .cause,
            "the caller disconnected while its request waited; after 70 ms");
}

// Guards against causes of a connection's end that have no words.
TEST(Explain, EachEndOfAConnectionIsDescribed)
{
  for (int i = 0; i <= static_cast<int>(http::CloseCause::kLimit); ++i) {
    const std::string cause = http::Name(static_cast<http::CloseCause>(i));
    const auto timeline = TimelineOf(
      At(9) + "request-dropped request=r1 read=part age_ms=9 cause=" + cause);
    const auto& text = timeline.steps.at(0).text;
    EXPECT_FALSE(Contains(text, "complete: " + cause + ";")) << text;
    EXPECT_TRUE(Contains(text, "only a part of the request was read")) << text;
    const auto expected =
      cause == "caller" ? "the caller disconnected" : cause + ": ";
    EXPECT_EQ(timeline.cause.substr(0, expected.size()), expected);
  }
}

// Guards against requests whose end cannot be found because they were read only
// in part, so that no line names them.
TEST(Explain, FindsEndsWithoutAnId)
{
  const auto records = ParseRecords(
    Send(1, "i-7") + At(2000) +
    "request-dropped cause=read-timeout read=part age_ms=2000 detail=x");
  EXPECT_TRUE(BuildTimeline(records, "").steps.empty());
  const auto ends = FindNamelessEnds(records);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_TRUE(Contains(ends[0].text, "arrived too slowly")) << ends[0].text;
}

/// Returns the names in backquotes at the beginnings of the rows of a page.
std::vector<std::string>
EventsOf(const std::string& aPage)
{
  std::ifstream page(aPage);
  std::vector<std::string> events;
  std::string line;
  while (std::getline(page, line)) {
    if (line.rfind("| `", 0) == 0) {
      events.push_back(line.substr(3, line.find('`', 3) - 3));
    }
  }
  return events;
}

// Guards against an event of docs/LOGS.md that is printed as raw fields.
TEST(Explain, EachEventOfThePageIsDescribed)
{
  const auto events = EventsOf(MAGNOLIATIDE_SOURCE "/docs/LOGS.md");
  EXPECT_EQ(std::count(events.begin(), events.end(), "send"), 1);
  EXPECT_EQ(std::count(events.begin(), events.end(), "log-dropped"), 1);
  for (const auto& event : events) {
    const auto timeline = TimelineOf(At(5) + event + " request=r1 detail=x");
    ASSERT_EQ(timeline.steps.size(), 1u) << event;
    EXPECT_FALSE(Contains(timeline.steps[0].text, "request=r1")) << event;
  }
}

} // namespace
} // namespace magnoliatide::cli
