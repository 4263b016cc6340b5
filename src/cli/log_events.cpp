// The table of the events with their descriptions.
#include "log_events.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace magnoliatide::cli {

namespace {

bool
Contains(const std::string& aText, const std::string& aSubstring)
{
  return !aSubstring.empty() && aText.find(aSubstring) != std::string::npos;
}

/// Returns ", VALUE" or nothing if the line lacks the field.
std::string
Appended(const LogRecord& aRecord, const char* aField)
{
  const auto& value = aRecord.Field(aField);
  return value.empty() ? "" : ", " + value;
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
  text += Appended(aRecord, "detail");
  return text + "; first event after " + aRecord.Field("first_ms") + " ms, " +
         aRecord.Field("tokens") + " tokens in " + aRecord.Field("run_ms") +
         " ms, longest gap " + aRecord.Field("gap_ms") + " ms";
}

std::string
DescribeSilence(const LogRecord& aRecord)
{
  return "server " + aRecord.Field("server") + " has sent nothing for " +
         aRecord.Field("silent_ms") + " ms" +
         (aRecord.Field("status") == "0" ? ", its answer has not begun" : "");
}

std::string
DescribeNoTakeover(const LogRecord& aRecord)
{
  return "no other server can continue the stream: " + aRecord.Field("reason") +
         " (" + aRecord.Field("detail") + "); decided by " +
         aRecord.Field("by");
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
  } else if (aRecord.Field("answer") == "none") {
    text += "; the caller had disconnected";
  }
  if (aRecord.Field("retry_after_ms") != "0") {
    text += "; retry after " + aRecord.Field("retry_after_ms") + " ms";
  }
  return text;
}

std::string
DescribeCallerLeft(const LogRecord& aRecord)
{
  return "the caller disconnected after " + aRecord.Field("age_ms") +
         " ms, while its request waited";
}

std::string
DescribeDrop(const LogRecord& aRecord)
{
  return "the caller's connection ended after " + aRecord.Field("age_ms") +
         " ms, before its answer was complete: " +
         DescribeConnectionEnd(aRecord) +
         (aRecord.Field("read") == "part" ? "; only a part of the request was "
                                            "read"
                                          : "");
}

std::string
DescribeHandlerFault(const LogRecord& aRecord)
{
  return "a fault in magnoliatide ended the request after " +
         aRecord.Field("age_ms") + " ms: " + aRecord.Field("detail");
}

std::string
DescribeWriteFault(const LogRecord& aRecord)
{
  return "a fault in magnoliatide ended the writing of a stream: " +
         aRecord.Field("detail");
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
DescribeConfiguration(const LogRecord& aRecord)
{
  return "configuration " + aRecord.Field("version") + ", revision " +
         aRecord.Field("revision") + " from " + aRecord.Field("from") + ": " +
         aRecord.Field("changes");
}

std::string
DescribeConfigurationProblem(const LogRecord& aRecord)
{
  return "a part of the configuration of revision " +
         aRecord.Field("revision") +
         " cannot be used: " + aRecord.Field("problem");
}

std::string
DescribeServers(const LogRecord& aRecord)
{
  return "list of servers, revision " + aRecord.Field("revision") + " from " +
         aRecord.Field("from") + ": " + aRecord.Field("changes");
}

std::string
DescribeColdServer(const LogRecord& aRecord)
{
  return "server " + aRecord.Field("server") + " is cold for " +
         aRecord.Field("for_ms") + " ms and gets " +
         aRecord.Field("per_second") + " requests per second";
}

std::string
DescribeWarmServer(const LogRecord& aRecord)
{
  return "server " + aRecord.Field("server") + " is warm";
}

std::string
DescribeSkippedEntry(const LogRecord& aRecord)
{
  return "the store's entry " + aRecord.Field("key") + " of revision " +
         aRecord.Field("revision") +
         " cannot be used: " + aRecord.Field("problem");
}

std::string
DescribeFailedStoreCall(const LogRecord& aRecord)
{
  return "a " + aRecord.Field("call") +
         " of the store failed: " + aRecord.Field("status") +
         "; known revision " + aRecord.Field("known") +
         ", the store counts as " + aRecord.Field("store");
}

std::string
DescribeTaskFault(const LogRecord& aRecord)
{
  return "the control loop " + aRecord.Field("task") +
         " met an error and starts again after a second: " +
         aRecord.Field("problem");
}

std::string
DescribeSuspect(const LogRecord& aRecord)
{
  return "server " + aRecord.Field("server") +
         " crashed before answers to requests of this VM had begun; suspected "
         "parts: " +
         aRecord.Field("traits");
}

std::string
DescribeClearance(const LogRecord& aRecord)
{
  return "the part " + aRecord.Field("trait") + " is no longer suspected";
}

std::string
DescribeServerLimit(const LogRecord& aRecord)
{
  const auto& limit = aRecord.Field("per_second");
  return "server " + aRecord.Field("server") +
         (limit == "none" ? " names no rate limit any more"
                          : " names a rate limit of " + limit + " per second");
}

std::string
DescribeServerBackoff(const LogRecord& aRecord)
{
  return "server " + aRecord.Field("server") +
         " is full and wants no requests of this VM for " +
         aRecord.Field("for_ms") + " ms";
}

std::string
DescribeCrash(const LogRecord& aRecord)
{
  return "the process crashed with signal " + aRecord.Field("signal") + " at " +
         aRecord.Field("frames");
}

std::string
DescribeDroppedLines(const LogRecord& aRecord)
{
  return aRecord.Field("lines") + " log lines were dropped";
}

bool
NeverAffects(const LogRecord&, const Participants&)
{
  return false;
}

bool
AlwaysAffects(const LogRecord&, const Participants&)
{
  return true;
}

bool
NamesServer(const LogRecord& aRecord,
            const Participants& aParticipants,
            const char* aField)
{
  const auto& servers = aParticipants.servers;
  return std::any_of(servers.begin(), servers.end(), [&](const auto& aId) {
    return Contains(aRecord.Field(aField), aId);
  });
}

bool
ChangesServer(const LogRecord& aRecord, const Participants& aParticipants)
{
  return NamesServer(aRecord, aParticipants, "changes");
}

bool
SkipsServer(const LogRecord& aRecord, const Participants& aParticipants)
{
  return NamesServer(aRecord, aParticipants, "key");
}

bool
LimitsServer(const LogRecord& aRecord, const Participants& aParticipants)
{
  return NamesServer(aRecord, aParticipants, "server");
}

bool
IsRelevantChange(const LogRecord& aRecord, const Participants& aParticipants)
{
  const auto& subject = aRecord.Field("subject");
  return subject == "platform store" || subject == "vm" ||
         subject.starts_with("zone ") ||
         NamesServer(aRecord, aParticipants, "subject");
}

struct Event
{
  std::string_view name;
  std::string (*describe)(const LogRecord&);
  /// Whether a line that does not name the request, of a VM that handled it,
  /// may have affected it.
  bool (*affects)(const LogRecord&, const Participants&);
};

constexpr Event kEvents[] = {
  { "send", DescribeSend, NeverAffects },
  { "answered", DescribeRun, NeverAffects },
  { "run-ended", DescribeRun, NeverAffects },
  { "silent", DescribeSilence, NeverAffects },
  { "no-takeover", DescribeNoTakeover, NeverAffects },
  { "refuse", DescribeRefusal, NeverAffects },
  { "caller-left", DescribeCallerLeft, NeverAffects },
  { "request-dropped", DescribeDrop, NeverAffects },
  { "handler-failed", DescribeHandlerFault, NeverAffects },
  { "write-fault", DescribeWriteFault, AlwaysAffects },
  { "configuration", DescribeConfiguration, AlwaysAffects },
  { "configuration-problem", DescribeConfigurationProblem, AlwaysAffects },
  { "servers", DescribeServers, ChangesServer },
  { "entry-skipped", DescribeSkippedEntry, SkipsServer },
  { "store-call-failed", DescribeFailedStoreCall, AlwaysAffects },
  { "task-failed", DescribeTaskFault, AlwaysAffects },
  { "crash-suspect", DescribeSuspect, AlwaysAffects },
  { "crash-cleared", DescribeClearance, AlwaysAffects },
  { "server-limit", DescribeServerLimit, LimitsServer },
  { "server-backoff", DescribeServerBackoff, LimitsServer },
  { "server-cold", DescribeColdServer, LimitsServer },
  { "server-warm", DescribeWarmServer, LimitsServer },
  { "change", DescribeChange, IsRelevantChange },
  { "crashed", DescribeCrash, AlwaysAffects },
  { "log-dropped", DescribeDroppedLines, AlwaysAffects },
};

const Event*
FindEvent(const std::string& aName)
{
  const auto found =
    std::find_if(std::begin(kEvents),
                 std::end(kEvents),
                 [&](const auto& aEvent) { return aEvent.name == aName; });
  return found == std::end(kEvents) ? nullptr : found;
}

/// A cause of `request-dropped`; see http::CloseCause.
struct CloseCauseText
{
  std::string_view cause;
  const char* text;
};

constexpr CloseCauseText kCloseCauses[] = {
  { "answered", "it was closed after an answer" },
  { "caller", "the caller closed it, or it failed" },
  { "idle", "no request arrived within the idle timeout" },
  { "drain", "the VM stops" },
  { "read-timeout",
    "the request arrived too slowly, and the refusal could not be written" },
  { "malformed",
    "the request was invalid or too large, and the refusal could not be "
    "written" },
  { "write-failed", "the answer could not be written" },
  { "handler-failed", "a fault in magnoliatide" },
  { "aborted", "this VM cut the answer that had begun" },
  { "limit", "too many connections were open" },
};

std::string
ListFields(const LogRecord& aRecord)
{
  std::string text = aRecord.event;
  for (const auto& [name, value] : aRecord.fields) {
    text += " " + name + "=" + value;
  }
  return text;
}

} // namespace

std::string
Describe(const LogRecord& aRecord)
{
  const Event* event = FindEvent(aRecord.event);
  std::string text =
    event != nullptr ? event->describe(aRecord) : ListFields(aRecord);
  if (event != nullptr && !aRecord.Field("suppressed").empty()) {
    text += "; " + aRecord.Field("suppressed") +
            " earlier lines of this event were not written";
  }
  return text;
}

std::string
DescribeRunBriefly(const LogRecord& aRecord)
{
  if (aRecord.event == "send") {
    return aRecord.Field("server") + " (no line of its end)";
  }
  std::string text = aRecord.Field("server") + " " + aRecord.Field("result") +
                     " after " + aRecord.Field("run_ms") + " ms";
  if (!aRecord.Field("detail").empty()) {
    text += " (" + aRecord.Field("detail") + ")";
  }
  return text;
}

std::string
DescribeConnectionEnd(const LogRecord& aRecord)
{
  const auto& cause = aRecord.Field("cause");
  const auto found =
    std::find_if(std::begin(kCloseCauses),
                 std::end(kCloseCauses),
                 [&](const auto& aCause) { return aCause.cause == cause; });
  std::string text = found == std::end(kCloseCauses) ? cause : found->text;
  if (!aRecord.Field("detail").empty()) {
    text += " (" + aRecord.Field("detail") + ")";
  }
  return text;
}

bool
MayAffectRequest(const LogRecord& aRecord, const Participants& aParticipants)
{
  const Event* event = FindEvent(aRecord.event);
  return event != nullptr && aParticipants.vms.count(aRecord.vm) > 0 &&
         event->affects(aRecord, aParticipants);
}

} // namespace magnoliatide::cli
