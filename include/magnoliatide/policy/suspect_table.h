// Requests that were running when a backend server crashed. A suspected
// request is run alone; one that crashes a server while alone is dropped. Used
// by the Scheduler; CrashSuspects is the counterpart for the Allocator.
#ifndef MAGNOLIATIDE_POLICY_SUSPECT_TABLE_H
#define MAGNOLIATIDE_POLICY_SUSPECT_TABLE_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace magnoliatide::policy {

/// How strongly a request is suspected of crashing servers.
enum class SuspectLevel
{
  kNone,    ///< Not suspected.
  kSuspect, ///< Was running, with others, when a server crashed.
  kHarmful, ///< Crashed a server while it was run alone.
};

/// Suspicion level of one request content.
struct SuspectEntry
{
  std::uint64_t fingerprint = 0;
  SuspectLevel level = SuspectLevel::kNone;
};

/// A request that was running when a server crashed.
struct CrashedRun
{
  std::uint64_t fingerprint = 0;
  bool alone = false; ///< It was run alone because it was suspected.
};

/// Suspicion levels by request fingerprint, with expiry.
class SuspectTable
{
public:
  /// @param aLifetime Time after which an entry expires.
  explicit SuspectTable(Duration aLifetime = std::chrono::minutes(30));

  /// Returns the current level of a request.
  SuspectLevel LevelOf(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// Records that a server crashed while these requests were running.
  ///
  /// @return The entries that changed.
  std::vector<SuspectEntry> RecordCrash(const std::vector<CrashedRun>& aRunning,
                                        TimePoint aNow);

  /// Clears a request after a successful response. Returns whether it had an
  /// entry.
  bool ClearSuspect(std::uint64_t aFingerprint);

  /// Merges an entry from another VM. The higher level wins, except that kNone
  /// clears kSuspect.
  void Merge(const SuspectEntry& aEntry, TimePoint aNow);

  /// Returns all entries that have not expired.
  std::vector<SuspectEntry> Entries(TimePoint aNow) const;

private:
  struct Entry
  {
    SuspectLevel level = SuspectLevel::kNone;
    TimePoint until;
  };

  void Trim();

  Duration mLifetime;
  /// At most kMaxEntries entries; those closest to expiry are evicted first.
  std::map<std::uint64_t, Entry> mEntries;
};

} // namespace magnoliatide::policy

#endif
