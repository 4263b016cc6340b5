// The rumours that the VMs exchange by gossip, each kept for a limited time. No
// I/O.
#ifndef MAGNOLIATIDE_MEMBERSHIP_RUMOUR_STORE_H
#define MAGNOLIATIDE_MEMBERSHIP_RUMOUR_STORE_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliatide::membership {

/// Stores the latest version of each rumour. Not thread-safe.
class RumourStore
{
public:
  /// @param aLifetime How long a rumour is kept after it was first published.
  explicit RumourStore(Duration aLifetime)
    : mLifetime(aLifetime)
  {
  }

  /// Stores a rumour unless it has expired or the stored version is at least as
  /// new. A full store drops its oldest rumour. Returns whether the rumour was
  /// stored.
  ///
  /// @param aSends Number of messages to piggyback it on.
  bool Add(const wire::Rumour& aRumour, int aSends, TimePoint aNow);

  /// Returns up to aLimit rumours that are still to be sent, and counts them as
  /// sent.
  std::vector<wire::Rumour> Next(std::size_t aLimit, TimePoint aNow);

  /// Returns all rumours with their age at aNow.
  std::vector<wire::Rumour> AllRumours(TimePoint aNow) const;

  /// Removes rumours older than the lifetime.
  void Expire(TimePoint aNow);

  /// Returns a hash of all rumours, which is equal on VMs that store the same
  /// ones.
  std::uint64_t Digest() const { return mDigest; }

  /// Returns a rumour, or null if it is not stored.
  const wire::Rumour* Find(wire::RumourKind aKind,
                           const std::string& aKey) const;

private:
  struct Entry
  {
    wire::Rumour rumour;
    int sendsLeft = 0; ///< Messages still to piggyback it on.
    TimePoint publishedAt;
  };

  using Id = std::pair<wire::RumourKind, std::string>;

  static wire::Rumour WithAge(const Entry& aEntry, TimePoint aNow);
  void RemoveOldest();

  Duration mLifetime;
  std::map<Id, Entry> mEntries;
  std::uint64_t mDigest = 0; ///< Sum of the hashes of all entries.
};

} // namespace magnoliatide::membership

#endif
