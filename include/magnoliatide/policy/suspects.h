// Requests that were running when a backend server crashed. A suspected
// request runs alone; one that crashes a server while alone is refused.
#ifndef MAGNOLIATIDE_POLICY_SUSPECTS_H
#define MAGNOLIATIDE_POLICY_SUSPECTS_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace magnoliatide::policy {

enum class Suspicion
{
  kNone,    ///< Nothing is held against the request.
  kSuspect, ///< It was running, with others, when a server crashed.
  kHarmful, ///< It crashed a server while it ran alone.
};

/// What is held against one content.
struct SuspectEntry
{
  std::uint64_t fingerprint = 0;
  Suspicion level = Suspicion::kNone;
};

/// A request that ran when a server crashed.
struct CrashedRun
{
  std::uint64_t fingerprint = 0;
  bool alone = false; ///< It was run alone because it was suspected.
};

class Suspects
{
public:
  /// @param aLifetime How long a suspicion lasts.
  explicit Suspects(Duration aLifetime = std::chrono::minutes(30));

  Suspicion LevelOf(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// Notes that a server crashed while these ran.
  ///
  /// @return The entries that changed.
  std::vector<SuspectEntry> Crashed(const std::vector<CrashedRun>& aRunning,
                                    TimePoint aNow);

  /// Notes that a request ended well, which clears a suspicion. Returns
  /// whether there was one.
  bool Completed(std::uint64_t aFingerprint);

  /// Takes over an entry from another VM. The graver of two levels stands,
  /// except that kNone clears a kSuspect.
  void Merge(const SuspectEntry& aEntry, TimePoint aNow);

  std::vector<SuspectEntry> Entries(TimePoint aNow) const;

private:
  struct Held
  {
    Suspicion level = Suspicion::kNone;
    TimePoint until;
  };

  void Trim();

  Duration mLifetime;
  /// At most kMostHeld entries; the ones that end first go first.
  std::map<std::uint64_t, Held> mHeld;
};

} // namespace magnoliatide::policy

#endif
