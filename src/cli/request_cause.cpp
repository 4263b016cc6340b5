// The table of the lines that decide the end of a request.
#include "request_cause.h"

#include "log_events.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <string_view>

namespace magnoliatide::cli {

namespace {

/// Times are logged in whole milliseconds, so that the sum of two is up to this
/// much less than the sum of the exact times.
constexpr long kRoundingMillis = 2;

// Details of `run-ended` lines.
constexpr std::string_view kServerErrorDetail = "the server returned an error";
constexpr std::string_view kCallerLeftDetail = "the caller disconnected";

/// The lines from which the cause of an end is told.
struct End
{
  const std::vector<LogRecord>& own;
  const std::vector<LogRecord>& all;
  const LogRecord* decision = nullptr; ///< Null if no line decides the end.
  /// The `request-dropped` line that belongs to the end, or null.
  const LogRecord* drop = nullptr;
};

long
Number(const LogRecord& aRecord, const char* aField)
{
  return std::strtol(aRecord.Field(aField).c_str(), nullptr, 10);
}

std::string
After(const LogRecord& aRecord)
{
  return "; after " + aRecord.Field("age_ms") + " ms";
}

/// Describes the time that a request had left when a line was written.
std::string
TimeLeft(const LogRecord& aRecord, const End& aEnd)
{
  const auto send =
    std::find_if(aEnd.own.rbegin(), aEnd.own.rend(), [&](const auto& aOwn) {
      return aOwn.event == "send" && aOwn.vm == aRecord.vm;
    });
  if (send == aEnd.own.rend() || send->Field("left_ms").empty()) {
    return "";
  }
  const long time = Number(*send, "age_ms") + Number(*send, "left_ms");
  const long left = time - Number(aRecord, "age_ms");
  if (left < kRoundingMillis) {
    return ", when its time of " + std::to_string(time) +
           " ms (by the caller's deadline or the route's timeout) was up";
  }
  return ", with " + std::to_string(left) + " ms of its time left";
}

/// Tells whether the VM was in a planned stop when a line was written.
std::string
PlannedStop(const LogRecord& aRecord, const End& aEnd)
{
  const LogRecord* state = nullptr;
  for (const auto& record : aEnd.all) {
    const bool relevant = record.event == "change" && record.vm == aRecord.vm &&
                          record.Field("subject") == "vm" &&
                          record.time <= aRecord.time;
    if (relevant && (state == nullptr || state->time <= record.time)) {
      state = &record;
    }
  }
  const bool stopping = state != nullptr && (state->Field("to") == "draining" ||
                                             state->Field("to") == "stopped");
  return stopping ? "; the VM was in a planned stop" : "";
}

/// Lists the runs of the request, with those that have no line of their end.
std::string
Runs(const End& aEnd)
{
  std::string text;
  for (const auto& record : aEnd.own) {
    const bool ended =
      record.event == "run-ended" || record.event == "answered";
    const bool open =
      record.event == "send" &&
      std::none_of(aEnd.own.begin(), aEnd.own.end(), [&](const auto& aOther) {
        return (aOther.event == "run-ended" || aOther.event == "answered") &&
               aOther.vm == record.vm &&
               aOther.Field("server") == record.Field("server");
      });
    if (ended || open) {
      text += (text.empty() ? "; runs: " : ", ") + DescribeRunBriefly(record);
    }
  }
  return text;
}

std::string
CauseOfRefusal(const LogRecord& aRecord, const End& aEnd)
{
  std::string text = aRecord.Field("reason") + ": " + aRecord.Field("detail") +
                     After(aRecord) + TimeLeft(aRecord, aEnd) + Runs(aEnd) +
                     PlannedStop(aRecord, aEnd);
  if (aRecord.Field("answer") == "aborted") {
    return text + "; the answer had begun, and the caller's connection was cut";
  }
  if (aRecord.Field("answer") == "none") {
    return text + "; the caller had disconnected before";
  }
  if (aEnd.drop != nullptr) {
    text += "; the refusal did not reach the caller: " +
            DescribeConnectionEnd(*aEnd.drop);
  }
  return text;
}

std::string
CauseOfFault(const LogRecord& aRecord, const End& aEnd)
{
  return "a fault in magnoliatide: " + aRecord.Field("detail") +
         After(aRecord) + TimeLeft(aRecord, aEnd) + Runs(aEnd) +
         (aEnd.drop != nullptr ? "; the caller's connection was cut"
                               : "; the caller got a complete answer");
}

std::string
CauseOfDrop(const LogRecord& aRecord, const End& aEnd)
{
  const auto& cause = aRecord.Field("cause");
  std::string text = cause == "caller"
                       ? "the caller disconnected"
                       : cause + ": " + DescribeConnectionEnd(aRecord);
  if (cause == "caller" && !aRecord.Field("detail").empty()) {
    text += ", or its connection failed (" + aRecord.Field("detail") + ")";
  }
  if (cause == "aborted") {
    text += "; the line that tells why is missing";
  }
  return text + "; its connection was closed after " + aRecord.Field("age_ms") +
         " ms, before its answer was complete" + Runs(aEnd) +
         PlannedStop(aRecord, aEnd);
}

std::string
CauseOfAnswer(const LogRecord& aRecord, const End& aEnd)
{
  if (aEnd.drop != nullptr) {
    return CauseOfDrop(*aEnd.drop, aEnd);
  }
  if (aRecord.Field("result") == "whole") {
    return "the request was answered: status " + aRecord.Field("status") +
           " from server " + aRecord.Field("server") + After(aRecord);
  }
  return aRecord.Field("result") + ": " + aRecord.Field("detail") +
         After(aRecord) + TimeLeft(aRecord, aEnd) + Runs(aEnd);
}

std::string
CauseOfLeaving(const LogRecord& aRecord, const End& aEnd)
{
  return "the caller disconnected while its request waited" + After(aRecord) +
         Runs(aEnd);
}

bool
Always(const LogRecord&)
{
  return true;
}

/// A VM to which a request was sent as to a server is not the caller's.
bool
IsToCaller(const LogRecord& aRecord)
{
  return aRecord.Field("reason") != "not-a-server";
}

/// A line that may decide the end of a request.
struct Decision
{
  std::string_view event;
  bool (*decides)(const LogRecord&);
  std::string (*cause)(const LogRecord&, const End&);
};

/// The last line of these events decides. The end of a run does not: others may
/// go on or follow.
constexpr Decision kDecisions[] = {
  { "refuse", IsToCaller, CauseOfRefusal },
  { "answered", Always, CauseOfAnswer },
  { "caller-left", Always, CauseOfLeaving },
  { "handler-failed", Always, CauseOfFault },
};

const Decision*
FindDecision(const LogRecord& aRecord)
{
  const auto found = std::find_if(
    std::begin(kDecisions), std::end(kDecisions), [&](const auto& aDecision) {
      return aDecision.event == aRecord.event && aDecision.decides(aRecord);
    });
  return found == std::end(kDecisions) ? nullptr : found;
}

/// Finds the lines that belong to the end of the request's last attempt. A
/// later send, or the end of a connection to another VM, belongs to a new
/// attempt with the same id.
End
FindEnd(const std::vector<LogRecord>& aOwn, const std::vector<LogRecord>& aAll)
{
  End end{ aOwn, aAll };
  for (const auto& record : aOwn) {
    if (FindDecision(record) != nullptr) {
      end.decision = &record;
      end.drop = nullptr;
    } else if (record.event == "request-dropped") {
      const bool otherVm =
        end.decision != nullptr && end.decision->vm != record.vm;
      end.decision = otherVm ? nullptr : end.decision;
      end.drop = &record;
    } else if (record.event == "send") {
      end.decision = nullptr;
      end.drop = nullptr;
    }
  }
  return end;
}

/// Returns the run whose error answer the caller got, or null. Such an end has
/// no line of its own.
const LogRecord*
FindRelayedError(const std::vector<LogRecord>& aOwn)
{
  const auto found =
    std::find_if(aOwn.rbegin(), aOwn.rend(), [](const auto& aRecord) {
      return aRecord.event == "run-ended" &&
             aRecord.Field("detail") == kServerErrorDetail;
    });
  const bool goesOn = aOwn.back().event != "run-ended";
  return found == aOwn.rend() || goesOn ? nullptr : &*found;
}

/// Describes an end for which no line was found.
std::string
CauseWithoutEnd(const End& aEnd)
{
  const auto& last = aEnd.own.back();
  if (last.event == "run-ended" && last.Field("detail") == kCallerLeftDetail) {
    return "the caller disconnected" + After(last) + Runs(aEnd);
  }
  const bool sent =
    std::any_of(aEnd.own.begin(), aEnd.own.end(), [](const auto& aRecord) {
      return aRecord.event == "send";
    });
  if (last.event == "refuse" && !sent) {
    return CauseOfRefusal(last, aEnd);
  }
  return "the log ends before the request does: the VM exited, or log lines "
         "were dropped" +
         Runs(aEnd) + PlannedStop(last, aEnd);
}

} // namespace

std::string
DescribeCause(const std::vector<LogRecord>& aOwn,
              const std::vector<LogRecord>& aAll)
{
  const End end = FindEnd(aOwn, aAll);
  if (end.decision != nullptr) {
    return FindDecision(*end.decision)->cause(*end.decision, end);
  }
  if (end.drop != nullptr) {
    return CauseOfDrop(*end.drop, end);
  }
  const LogRecord* error = FindRelayedError(aOwn);
  if (error != nullptr) {
    return "server " + error->Field("server") + " answered with status " +
           error->Field("status") + ", which the caller got" + After(*error) +
           Runs(end);
  }
  return CauseWithoutEnd(end);
}

} // namespace magnoliatide::cli
