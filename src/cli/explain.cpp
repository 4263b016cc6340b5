// Parses log lines and prints the timeline of a request.
#include "explain.h"

#include "log_events.h"
#include "request_cause.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace magnoliatide::cli {

namespace {

/// A request is shown with the changes from kMarginBefore before its first log
/// line to kMarginAfter after its last one.
constexpr Duration kMarginBefore = Seconds(5);
constexpr Duration kMarginAfter = Seconds(1);

constexpr std::string_view kTimeField = "time=";

/// Ends of requests whose id was not read, or that have none.
constexpr std::string_view kNamelessEnds[] = { "request-dropped",
                                               "handler-failed",
                                               "refuse",
                                               "caller-left" };

/// Maximum number of such ends that are printed.
constexpr std::size_t kMaxNamelessEnds = 20;

/// Parses the field value at a position and moves the position past it.
std::string
ReadValue(std::string_view aLine, std::size_t& aPosition)
{
  std::string value;
  const bool quoted = aPosition < aLine.size() && aLine[aPosition] == '"';
  if (!quoted) {
    const auto end = std::min(aLine.find(' ', aPosition), aLine.size());
    value = aLine.substr(aPosition, end - aPosition);
    aPosition = end;
    return value;
  }
  aPosition += 1;
  while (aPosition < aLine.size() && aLine[aPosition] != '"') {
    aPosition += aLine[aPosition] == '\\' ? 1 : 0;
    if (aPosition < aLine.size()) {
      value += aLine[aPosition];
    }
    aPosition += 1;
  }
  aPosition += 1;
  return value;
}

std::optional<WallClock::time_point>
ParseTime(const std::string& aText)
{
  std::tm calendar{};
  std::istringstream stream(aText);
  stream >> std::get_time(&calendar, "%Y-%m-%dT%H:%M:%S");
  int millis = 0;
  char separator = 0;
  stream >> separator >> millis;
  if (stream.fail() || separator != '.') {
    return std::nullopt;
  }
  return WallClock::from_time_t(::timegm(&calendar)) + Milliseconds(millis);
}

Duration
TimeBetween(const LogRecord& aRecord, const LogRecord& aFirst)
{
  return std::chrono::duration_cast<Duration>(aRecord.time - aFirst.time);
}

void
SortByTime(std::vector<TimelineStep>& aSteps)
{
  std::stable_sort(
    aSteps.begin(), aSteps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.record.time < aRight.record.time;
    });
}

/// Prints the last ends of requests without an id.
void
PrintNamelessEnds(const std::vector<TimelineStep>& aEnds)
{
  if (aEnds.empty()) {
    return;
  }
  std::cerr
    << "lines of ends without an id, of requests that were read only in "
       "part or had none: "
    << aEnds.size() << "; the last ones:\n";
  const auto count = std::min(aEnds.size(), kMaxNamelessEnds);
  for (auto i = aEnds.size() - count; i < aEnds.size(); ++i) {
    std::cerr << "  " << FormatTime(aEnds[i].record.time) << "  "
              << aEnds[i].record.vm << "  " << aEnds[i].text << "\n";
  }
}

void
PrintTimeline(const std::string& aRequest, const Timeline& aTimeline)
{
  const auto first = std::find_if(aTimeline.steps.begin(),
                                  aTimeline.steps.end(),
                                  [](const auto& aStep) { return aStep.own; });
  std::cout << "request " << aRequest << "\n";
  for (const auto& step : aTimeline.steps) {
    std::cout << (step.own ? "  " : "    context: ") << std::showpos
              << std::fixed << std::setprecision(3)
              << ToSeconds(TimeBetween(step.record, first->record))
              << std::noshowpos << " s  " << step.record.vm << "  " << step.text
              << "\n";
  }
  std::cout << "cause: " << aTimeline.cause << "\n";
}

void
PrintTimelineJson(const std::string& aRequest, const Timeline& aTimeline)
{
  boost::json::array steps;
  for (const auto& step : aTimeline.steps) {
    boost::json::object fields;
    for (const auto& [name, value] : step.record.fields) {
      fields[name] = value;
    }
    steps.push_back(
      boost::json::object{ { "time", FormatTime(step.record.time) },
                           { "vm", step.record.vm },
                           { "event", step.record.event },
                           { "own", step.own },
                           { "text", step.text },
                           { "fields", std::move(fields) } });
  }
  std::cout << boost::json::serialize(
                 boost::json::object{ { "request", aRequest },
                                      { "steps", std::move(steps) },
                                      { "cause", aTimeline.cause } })
            << "\n";
}

void
ReadRecords(std::istream& aInput, std::vector<LogRecord>& aRecords)
{
  std::string line;
  while (std::getline(aInput, line)) {
    auto record = ParseLogLine(line);
    if (record) {
      aRecords.push_back(std::move(*record));
    }
  }
}

} // namespace

const std::string&
LogRecord::Field(const std::string& aName) const
{
  static const std::string sEmpty;
  const auto found = fields.find(aName);
  return found == fields.end() ? sEmpty : found->second;
}

std::optional<LogRecord>
ParseLogLine(std::string_view aLine)
{
  auto position = aLine.find(kTimeField);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  LogRecord record;
  while (position < aLine.size()) {
    const auto equals = aLine.find('=', position);
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string name(aLine.substr(position, equals - position));
    position = equals + 1;
    record.fields[name] = ReadValue(aLine, position);
    position += 1; // Skips the space.
  }
  const auto time = ParseTime(record.Field("time"));
  if (!time || record.Field("event").empty()) {
    return std::nullopt;
  }
  record.time = *time;
  record.vm = record.Field("vm");
  record.event = record.Field("event");
  for (const char* name : { "time", "vm", "event" }) {
    record.fields.erase(name);
  }
  return record;
}

Timeline
BuildTimeline(const std::vector<LogRecord>& aRecords,
              const std::string& aRequest)
{
  Timeline timeline;
  std::vector<LogRecord> own;
  Participants participants;
  for (const auto& record : aRecords) {
    if (aRequest.empty() || record.Field("request") != aRequest) {
      continue;
    }
    own.push_back(record);
    participants.vms.insert(record.vm);
    if (!record.Field("server").empty()) {
      participants.servers.insert(record.Field("server"));
    }
  }
  if (own.empty()) {
    return timeline;
  }
  std::stable_sort(
    own.begin(), own.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.time < aRight.time;
    });
  timeline.cause = DescribeCause(own, aRecords);
  for (const auto& record : own) {
    timeline.steps.push_back({ record, Describe(record), true });
  }
  const auto from = own.front().time - kMarginBefore;
  const auto to = own.back().time + kMarginAfter;
  for (const auto& record : aRecords) {
    const bool inWindow = record.time >= from && record.time <= to;
    const bool ofOther = !record.Field("request").empty();
    if (inWindow && !ofOther && MayAffectRequest(record, participants)) {
      timeline.steps.push_back({ record, Describe(record), false });
    }
  }
  SortByTime(timeline.steps);
  return timeline;
}

std::vector<TimelineStep>
FindNamelessEnds(const std::vector<LogRecord>& aRecords)
{
  std::vector<TimelineStep> ends;
  for (const auto& record : aRecords) {
    const auto& names = kNamelessEnds;
    const bool isEnd =
      std::find(std::begin(names), std::end(names), record.event) !=
      std::end(names);
    if (isEnd && record.Field("request").empty()) {
      ends.push_back({ record, Describe(record), true });
    }
  }
  SortByTime(ends);
  return ends;
}

ExitCode
ExplainRequest(const std::string& aRequest,
               const std::vector<std::string>& aFiles,
               bool aJson)
{
  std::vector<LogRecord> records;
  for (const auto& path : aFiles) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << path
                << ": the file cannot be read; check the path and its "
                   "permissions\n";
      return ExitCode::kFaults;
    }
    ReadRecords(file, records);
  }
  if (aFiles.empty()) {
    ReadRecords(std::cin, records);
  }
  const auto timeline = BuildTimeline(records, aRequest);
  if (timeline.steps.empty()) {
    std::cerr
      << "none of the " << records.size() << " log lines names request "
      << aRequest
      << "; check the ID, and pass the logs of all VMs from the time of the "
         "request\n";
    PrintNamelessEnds(FindNamelessEnds(records));
    return ExitCode::kRefused;
  }
  (aJson ? PrintTimelineJson : PrintTimeline)(aRequest, timeline);
  return ExitCode::kSuccess;
}

} // namespace magnoliatide::cli
