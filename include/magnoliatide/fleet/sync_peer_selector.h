// Selects the VM from which to fetch store items when other VMs have a newer
// revision than this one. No I/O.
#ifndef MAGNOLIATIDE_FLEET_SYNC_PEER_SELECTOR_H
#define MAGNOLIATIDE_FLEET_SYNC_PEER_SELECTOR_H

#include "magnoliatide/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace magnoliatide::fleet {

struct SyncPeerSelectorOptions
{
  /// Delay before a VM of another zone is selected while no VM of this zone is
  /// ahead: cross-zone traffic is expensive.
  Duration crossZoneDelay = Milliseconds(200);
};

/// Tracks the VMs that have a newer revision of the store than this one.
class SyncPeerSelector
{
public:
  explicit SyncPeerSelector(SyncPeerSelectorOptions aOptions,
                            std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {
  }

  /// Records the revision up to which a VM has every change.
  ///
  /// @param aSameZone Whether that VM is in the zone of this one.
  /// @param aOwnRevision The revision up to which this VM has every change.
  void RecordRevision(const std::string& aAddress,
                      std::uint64_t aRevision,
                      bool aSameZone,
                      std::uint64_t aOwnRevision,
                      TimePoint aNow);

  /// Drops a VM from which no newer items could be fetched.
  void RecordFailure(const std::string& aAddress)
  {
    mPeersAhead.erase(aAddress);
  }

  /// Returns the address of the VM to fetch from now, if there is one. It is
  /// chosen at random among those of this zone, or else of other zones, so that
  /// VMs that start together do not all query the same one.
  std::optional<std::string> Choose(std::uint64_t aOwnRevision, TimePoint aNow);

  /// Returns whether a VM of this zone has a newer revision.
  bool HasPeerInZone(std::uint64_t aOwnRevision) const;

private:
  struct Peer
  {
    std::uint64_t revision = 0;
    bool sameZone = false;
  };

  void DropCaughtUp(std::uint64_t aOwnRevision);

  SyncPeerSelectorOptions mOptions;
  std::mt19937_64 mRandom;
  std::map<std::string, Peer> mPeersAhead; ///< By address; at most kMaxPeers.
  TimePoint mBehindSince{}; ///< When mPeersAhead last became non-empty.
  static constexpr std::size_t kMaxPeers = 16;
};

} // namespace magnoliatide::fleet

#endif
