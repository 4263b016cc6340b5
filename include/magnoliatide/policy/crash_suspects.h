// Counts, for each request content, the server crashes during which it ran. A
// request that reaches the limit is considered harmful and is not run again; a
// request that succeeds is cleared. Used by the Allocator; SuspectTable is the
// counterpart for the Scheduler.
#ifndef MAGNOLIATIDE_POLICY_CRASH_SUSPECTS_H
#define MAGNOLIATIDE_POLICY_CRASH_SUSPECTS_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace magnoliatide::policy {

/// Number of server crashes during which a request was running.
struct CrashCount
{
  std::uint64_t fingerprint = 0;
  int crashes = 0;
};

/// Crash counts by request fingerprint.
class CrashSuspects
{
public:
  /// Records that the connection to a server was lost during a request. Two
  /// such losses at nearly the same time count as a crash of the server.
  void RecordInterruption(const std::string& aServer,
                          std::uint64_t aFingerprint,
                          TimePoint aNow);

  /// Records that a server is down or was restarted. Requests interrupted there
  /// shortly before are counted as running during a crash.
  void RecordServerLoss(const std::string& aServer, TimePoint aNow);

  /// Records a successful response, which clears the request's count.
  void RecordSuccess(std::uint64_t aFingerprint);

  /// Merges a count from another VM; the higher count wins.
  void Merge(const CrashCount& aCount, TimePoint aNow);

  /// Returns whether a request has reached the crash limit.
  bool IsHarmful(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// Returns the counts raised locally since the last call.
  std::vector<CrashCount> TakeChangedCounts();

private:
  struct Interruption
  {
    std::uint64_t fingerprint = 0;
    TimePoint at;
  };

  struct Suspect
  {
    int crashes = 0;
    TimePoint at; ///< Time of the last crash.
  };

  void SetCrashCount(std::uint64_t aFingerprint, int aCrashes, TimePoint aNow);

  /// By server id.
  std::map<std::string, std::deque<Interruption>> mInterruptions;
  std::map<std::uint64_t, Suspect> mSuspects;
  std::vector<CrashCount> mChangedCounts;
};

} // namespace magnoliatide::policy

#endif
