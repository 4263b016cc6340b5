// Independently checks a run by comparing the results that callers recorded
// with the requests that backend servers ran.
#ifndef MAGNOLIATIDE_LOAD_CHECKER_H
#define MAGNOLIATIDE_LOAD_CHECKER_H

#include "callers.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// Counts of the requests that backend servers ran. Entries are kept after a
/// server process ends.
class RunLog
{
public:
  /// Reads the runs that a backend server reports; ignores a server that does
  /// not answer. Must be called at the end of a run, and before a backend
  /// server is killed on purpose, because its process keeps the counts in
  /// memory.
  void Collect(Fleet& aFleet, std::size_t aBackend);

  /// Adds the runs of all reachable backend servers.
  void CollectAll(Fleet& aFleet);

  /// Returns how often a request id or key ran, summed over all servers.
  int RunsOf(const std::string& aId) const;

  /// Returns the maximum number of runs of any request id or key.
  int MaxRuns() const;

  /// Returns the number of prompt tokens that all engines processed.
  double PrefilledTokens() const;

  /// Returns the number of different request ids and keys that ran.
  std::size_t size() const;

private:
  struct ServerRuns
  {
    std::map<std::string, int> runs;
    double prefilled = 0;
  };

  /// Latest report of each server incarnation, by "name#process id".
  std::map<std::string, ServerRuns> mServers;
};

/// Result of a check. It passes if all counts but `sends` are zero.
struct Findings
{
  int sends = 0;
  int crossed = 0;           ///< Answers to another request.
  int misframed = 0;         ///< Framed as complete, but content is missing.
  int doubleRuns = 0;        ///< Request ids or keys that ran more than once.
  int falseNotRun = 0;       ///< Reported as "not-run" but ran.
  int answeredButNotRun = 0; ///< Answered completely but never ran.
  /// Requests that waited while one of a more urgent tier was shed.
  int tierInversions = 0;
  std::vector<std::string> examples; ///< The first findings, for reports.

  bool Passed() const;
};

struct CheckOptions
{
  /// Whether the log contains every run. False if a backend server ended before
  /// its runs were collected.
  bool completeLog = true;
  /// Time for which VMs may differ in the tiers that they shed. The check
  /// ignores this time after a request was sent and before its wait ended.
  Duration tierWindow = Seconds(1);
};

/// Compares records of callers with runs of backend servers.
Findings
Check(const std::vector<Record>& aRecords,
      const RunLog& aLog,
      const CheckOptions& aOptions = {});

} // namespace magnoliatide::load

#endif
