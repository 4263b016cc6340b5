// The independent check of a run: what callers were told against what the
// backend servers ran.
#ifndef MAGNOLIATIDE_LOAD_CHECKER_H
#define MAGNOLIATIDE_LOAD_CHECKER_H

#include "callers.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// What the backend servers ran. Survives their ends.
class RunLog
{
public:
  /// Adds the runs that a backend server reports. Called at the end, and
  /// before a backend server is ended on purpose.
  void Collect(Fleet& aFleet, std::size_t aBackend);

  /// Adds the runs of all backend servers that answer.
  void CollectAll(Fleet& aFleet);

  /// Returns how often a request id or key ran, over all servers.
  int RunsOf(const std::string& aId) const;

  /// Returns the largest number of runs of any id or key.
  int MostRuns() const;

  double PrefilledTokens() const;

  std::size_t size() const;

private:
  struct ServerRuns
  {
    std::map<std::string, int> runs;
    double prefilled = 0;
  };

  /// Latest report of each life of each server: "name#process".
  std::map<std::string, ServerRuns> mServers;
};

/// Findings of a check; zero in all but `sends` is a pass.
struct Findings
{
  int sends = 0;
  int crossed = 0;
  int misframed = 0;      ///< Framed as whole, and incomplete.
  int doubleRuns = 0;     ///< Request ids or keys that ran more than once.
  int falseNotRun = 0;    ///< Told "not-run" and ran.
  int unrunWhole = 0;     ///< Answered whole and never ran.
  int tierInversions = 0; ///< A lower tier waited while a higher was shed.
  std::vector<std::string> examples;

  bool Passed() const;
};

struct CheckOptions
{
  /// Whether the log holds every run: false where a backend server ended
  /// before its runs were collected.
  bool completeLog = true;
  /// Time in which tier order may be broken between VMs.
  Duration tierWindow = Seconds(1);
};

/// Checks records against runs.
Findings
Check(const std::vector<Record>& aRecords,
      const RunLog& aLog,
      const CheckOptions& aOptions = {});

} // namespace magnoliatide::load

#endif
