// Collection of runs and comparison with the records of callers.
#include "checker.h"

#include <boost/json.hpp>

#include <set>

namespace magnoliatide::load {

namespace {

constexpr std::size_t kMaxExamples = 10;

void
AddExample(Findings& aFindings, std::string aText)
{
  if (aFindings.examples.size() < kMaxExamples) {
    aFindings.examples.push_back(std::move(aText));
  }
}

/// Returns the id under which backend servers count the runs of a record: its
/// key, or else its request id.
const std::string&
RunId(const Record& aRecord)
{
  return aRecord.key.empty() ? aRecord.requestId : aRecord.key;
}

/// Returns whether backend servers count the runs of this request.
bool
IsCounted(const Record& aRecord)
{
  return !aRecord.plain || !aRecord.key.empty();
}

/// All sends with the same key, or the single send with a request id.
struct Sends
{
  std::vector<const Record*> records;
};

using SendsById = std::map<std::string, Sends>;

SendsById
GroupSends(const std::vector<Record>& aRecords)
{
  SendsById groups;
  for (const auto& record : aRecords) {
    if (IsCounted(record) && !RunId(record).empty()) {
      groups[RunId(record)].records.push_back(&record);
    }
  }
  return groups;
}

/// Returns whether a refusal as "not-run" was false. It was if the call had
/// already been answered before that send, or if the call ran although every
/// send was refused or never connected.
bool
HasFalseNotRun(const Sends& aSends, int aRuns)
{
  bool explained = aRuns == 0;
  for (const auto* record : aSends.records) {
    explained = explained || (record->outcome != SendOutcome::kNotRun &&
                              record->outcome != SendOutcome::kUnreached);
  }
  for (const auto* late : aSends.records) {
    if (late->outcome != SendOutcome::kNotRun) {
      continue;
    }
    for (const auto* early : aSends.records) {
      const bool before = early->sent + early->timeToEnd < late->sent;
      if (before && early->outcome == SendOutcome::kComplete) {
        return true;
      }
    }
  }
  return !explained;
}

/// Returns whether a request was refused because of overload.
bool
IsShed(const Record& aRecord)
{
  static const std::set<std::string> kShedReasons = {
    "queue-full", "displaced", "deadline-unreachable", "expired", "tier-floor"
  };
  return aRecord.outcome == SendOutcome::kNotRun &&
         kShedReasons.count(aRecord.reason) > 0;
}

/// Counts the requests that waited in a queue while a request of a more
/// urgent tier was shed. The first and the last aWindow of the wait are
/// ignored.
int
CountInversions(const std::vector<Record>& aRecords, Duration aWindow)
{
  std::vector<const Record*> shed;
  for (const auto& record : aRecords) {
    if (IsShed(record)) {
      shed.push_back(&record);
    }
  }
  int inversions = 0;
  for (const auto& kept : aRecords) {
    const auto begin = kept.sent + aWindow;
    const auto end = kept.sent + kept.queueTime - aWindow;
    if (kept.outcome == SendOutcome::kNotRun || begin >= end || kept.plain) {
      continue;
    }
    for (const auto* record : shed) {
      const auto at = record->sent + record->timeToEnd;
      const bool higher = record->tier < kept.tier && !record->plain;
      if (higher && at > begin && at < end) {
        inversions += 1;
        break;
      }
    }
  }
  return inversions;
}

} // namespace

void
RunLog::Collect(Fleet& aFleet, std::size_t aBackend)
{
  const auto& member = aFleet.Backends()[aBackend];
  const auto result = aFleet.Get(member.address, "/control/runs");
  if (result.status != http::CallStatus::kDone) {
    return;
  }
  boost::system::error_code error;
  const auto value = boost::json::parse(result.response.body, error);
  if (error) {
    return;
  }
  const auto& body = value.as_object();
  auto& server =
    mServers[member.name + "#" + std::to_string(member.process.Id())];
  for (const auto& entry : body.at("runs").as_object()) {
    server.runs[std::string(entry.key())] =
      static_cast<int>(entry.value().to_number<std::int64_t>());
  }
  if (const auto* prefilled = body.if_contains("prefilled")) {
    server.prefilled = prefilled->to_number<double>();
  }
}

void
RunLog::CollectAll(Fleet& aFleet)
{
  for (std::size_t i = 0; i < aFleet.Backends().size(); ++i) {
    Collect(aFleet, i);
  }
}

int
RunLog::RunsOf(const std::string& aId) const
{
  int count = 0;
  for (const auto& [name, server] : mServers) {
    const auto found = server.runs.find(aId);
    count += found == server.runs.end() ? 0 : found->second;
  }
  return count;
}

int
RunLog::MaxRuns() const
{
  std::map<std::string, int> totals;
  int maxRuns = 0;
  for (const auto& [name, server] : mServers) {
    for (const auto& [id, count] : server.runs) {
      maxRuns = std::max(maxRuns, totals[id] += count);
    }
  }
  return maxRuns;
}

double
RunLog::PrefilledTokens() const
{
  double tokens = 0;
  for (const auto& [name, server] : mServers) {
    tokens += server.prefilled;
  }
  return tokens;
}

std::size_t
RunLog::size() const
{
  std::set<std::string> ids;
  for (const auto& [name, server] : mServers) {
    for (const auto& [id, count] : server.runs) {
      ids.insert(id);
    }
  }
  return ids.size();
}

bool
Findings::Passed() const
{
  return crossed == 0 && misframed == 0 && doubleRuns == 0 &&
         falseNotRun == 0 && answeredButNotRun == 0 && tierInversions == 0;
}

Findings
Check(const std::vector<Record>& aRecords,
      const RunLog& aLog,
      const CheckOptions& aOptions)
{
  Findings findings;
  findings.sends = static_cast<int>(aRecords.size());
  for (const auto& record : aRecords) {
    if (record.outcome == SendOutcome::kCrossed) {
      findings.crossed += 1;
      AddExample(findings, "crossed: " + record.requestId);
    }
    if (record.outcome == SendOutcome::kMisframed) {
      findings.misframed += 1;
      AddExample(findings,
                 "framed as complete but incomplete: " + record.requestId);
    }
  }
  for (const auto& [name, sends] : GroupSends(aRecords)) {
    const int runs = aLog.RunsOf(name);
    bool isComplete = false;
    for (const auto* record : sends.records) {
      isComplete = isComplete || record->outcome == SendOutcome::kComplete;
    }
    if (runs > 1) {
      findings.doubleRuns += 1;
      AddExample(findings, "ran " + std::to_string(runs) + " times: " + name);
    }
    if (HasFalseNotRun(sends, runs)) {
      findings.falseNotRun += 1;
      AddExample(findings, "reported not-run but ran: " + name);
    }
    if (isComplete && runs == 0 && aOptions.completeLog) {
      findings.answeredButNotRun += 1;
      AddExample(findings, "answered but never ran: " + name);
    }
  }
  findings.tierInversions = CountInversions(aRecords, aOptions.tierWindow);
  return findings;
}

} // namespace magnoliatide::load
