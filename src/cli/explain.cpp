// Parses log lines and prints the timeline of a request.
#include "explain.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>

namespace magnoliatide::cli {

namespace {

/// A request is shown with the changes from kMarginBefore before its first log
/// line to kMarginAfter after its last one.
constexpr Duration kMarginBefore = Seconds(5);
constexpr Duration kMarginAfter = Seconds(1);

constexpr std::string_view kTimeField = "time=";

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

bool
Contains(const std::string& aText, const std::string& aSubstring)
{
  return !aSubstring.empty() && aText.find(aSubstring) != std::string::npos;
}

std::string
DescribeSend(const LogRecord& aRecord)
{
  return "sent to server " + aRecord.Field("server") + " in zone " +
         aRecord.Field("zone") + " (" + aRecord.Field("why") +
         "); decided by " + aRecord.Field("by") + ", configuration " +
         aRecord.Field("config") + ", servers as of revision " +
         aRecord.Field("servers") + "; waited " + aRecord.Field("age_ms") +
         " ms, " + aRecord.Field("left_ms") + " ms left";
}

std::string
DescribeRun(const LogRecord& aRecord)
{
  std::string text =
    "run at " + aRecord.Field("server") + " ended: " + aRecord.Field("result");
  if (aRecord.Field("status") != "0") {
    text += ", status " + aRecord.Field("status");
  }
  if (!aRecord.Field("detail").empty()) {
    text += ", " + aRecord.Field("detail");
  }
  return text + "; first event after " + aRecord.Field("first_ms") + " ms, " +
         aRecord.Field("tokens") + " tokens in " + aRecord.Field("run_ms") +
         " ms, longest gap " + aRecord.Field("gap_ms") + " ms";
}

std::string
DescribeRefusal(const LogRecord& aRecord)
{
  std::string text = "refused: " + aRecord.Field("reason") + " (" +
                     aRecord.Field("detail") + ")";
  if (!aRecord.Field("credential").empty()) {
    text += ", key " + aRecord.Field("credential");
  }
  text += ", configuration " + aRecord.Field("config") + ", after " +
          aRecord.Field("age_ms") + " ms";
  if (aRecord.Field("answer") == "aborted") {
    text += "; the answer had begun and was aborted";
  }
  if (aRecord.Field("retry_after_ms") != "0") {
    text += "; retry after " + aRecord.Field("retry_after_ms") + " ms";
  }
  return text;
}

std::string
DescribeChange(const LogRecord& aRecord)
{
  std::string text = aRecord.Field("subject") + ": ";
  if (!aRecord.Field("from").empty()) {
    text += aRecord.Field("from") + " to ";
  }
  return text + aRecord.Field("to") + " (" + aRecord.Field("cause") + ")";
}

std::string
Describe(const LogRecord& aRecord)
{
  if (aRecord.event == "send") {
    return DescribeSend(aRecord);
  }
  if (aRecord.event == "answered" || aRecord.event == "run-ended") {
    return DescribeRun(aRecord);
  }
  if (aRecord.event == "refuse") {
    return DescribeRefusal(aRecord);
  }
  if (aRecord.event == "silent") {
    return "server " + aRecord.Field("server") + " has sent nothing for " +
           aRecord.Field("silent_ms") + " ms";
  }
  if (aRecord.event == "no-takeover") {
    return "no other server can continue the stream: " +
           aRecord.Field("reason") + " (" + aRecord.Field("detail") + ")";
  }
  if (aRecord.event == "caller-left") {
    return "the caller disconnected after " + aRecord.Field("age_ms") + " ms";
  }
  if (aRecord.event == "change") {
    return DescribeChange(aRecord);
  }
  if (aRecord.event == "configuration") {
    return "configuration " + aRecord.Field("version") + ", revision " +
           aRecord.Field("revision") + " from " + aRecord.Field("from") + ": " +
           aRecord.Field("changes");
  }
  if (aRecord.event == "servers") {
    return "list of servers, revision " + aRecord.Field("revision") + " from " +
           aRecord.Field("from") + ": " + aRecord.Field("changes");
  }
  std::string text = aRecord.event;
  for (const auto& [name, value] : aRecord.fields) {
    text += " " + name + "=" + value;
  }
  return text;
}

/// Returns whether a record describes a change that may have affected a request
/// handled by the given VMs and servers.
bool
MayAffectRequest(const LogRecord& aRecord,
                 const std::set<std::string>& aVms,
                 const std::set<std::string>& aServers)
{
  if (aVms.count(aRecord.vm) == 0) {
    return false;
  }
  if (aRecord.event == "servers") {
    return std::any_of(aServers.begin(), aServers.end(), [&](const auto& aId) {
      return Contains(aRecord.Field("changes"), aId);
    });
  }
  if (aRecord.event != "change") {
    return aRecord.event == "crashed" || aRecord.event == "crash-suspect" ||
           aRecord.event == "configuration";
  }
  const auto& subject = aRecord.Field("subject");
  const bool server =
    std::any_of(aServers.begin(), aServers.end(), [&](const auto& aId) {
      return Contains(subject, aId);
    });
  return server || subject == "platform store" || subject == "vm";
}

std::string
DescribeCause(const LogRecord& aLast)
{
  if (aLast.event == "answered" && aLast.Field("result") == "whole") {
    return "the request was answered";
  }
  if (aLast.event == "caller-left" || aLast.Field("result") == "cancelled") {
    return "the caller disconnected";
  }
  if (aLast.event == "refuse") {
    return aLast.Field("reason") + ": " + aLast.Field("detail");
  }
  if (aLast.event == "run-ended") {
    return aLast.Field("result") + ": " + aLast.Field("detail");
  }
  return "the log ends before the request does: the VM exited, or log lines "
         "were dropped";
}

Duration
TimeBetween(const LogRecord& aRecord, const LogRecord& aFirst)
{
  return std::chrono::duration_cast<Duration>(aRecord.time - aFirst.time);
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
  std::set<std::string> vms;
  std::set<std::string> servers;
  for (const auto& record : aRecords) {
    if (record.Field("request") != aRequest) {
      continue;
    }
    timeline.steps.push_back({ record, Describe(record), true });
    vms.insert(record.vm);
    if (!record.Field("server").empty()) {
      servers.insert(record.Field("server"));
    }
  }
  if (timeline.steps.empty()) {
    return timeline;
  }
  const auto byTime = [](const auto& aLeft, const auto& aRight) {
    return aLeft.record.time < aRight.record.time;
  };
  std::stable_sort(timeline.steps.begin(), timeline.steps.end(), byTime);
  timeline.cause = DescribeCause(timeline.steps.back().record);
  const auto from = timeline.steps.front().record.time - kMarginBefore;
  const auto to = timeline.steps.back().record.time + kMarginAfter;
  for (const auto& record : aRecords) {
    const bool inWindow = record.time >= from && record.time <= to;
    if (inWindow && MayAffectRequest(record, vms, servers)) {
      timeline.steps.push_back({ record, Describe(record), false });
    }
  }
  std::stable_sort(timeline.steps.begin(), timeline.steps.end(), byTime);
  return timeline;
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
    return ExitCode::kRefused;
  }
  (aJson ? PrintTimelineJson : PrintTimeline)(aRequest, timeline);
  return ExitCode::kSuccess;
}

} // namespace magnoliatide::cli
