// Selection of the VM to fetch store items from.
#include "magnoliatide/fleet/sync_peer_selector.h"

#include <algorithm>
#include <vector>

namespace magnoliatide::fleet {

void
SyncPeerSelector::RecordRevision(const std::string& aAddress,
                                 std::uint64_t aRevision,
                                 bool aSameZone,
                                 std::uint64_t aOwnRevision,
                                 TimePoint aNow)
{
  if (aRevision <= aOwnRevision) {
    mPeersAhead.erase(aAddress);
    return;
  }
  DropCaughtUp(aOwnRevision);
  if (mPeersAhead.empty()) {
    mBehindSince = aNow;
  }
  const bool known = mPeersAhead.count(aAddress) > 0;
  if (!known && mPeersAhead.size() >= kMaxPeers) {
    const auto otherZone =
      std::find_if(mPeersAhead.begin(),
                   mPeersAhead.end(),
                   [](const auto& aEntry) { return !aEntry.second.sameZone; });
    if (!aSameZone || otherZone == mPeersAhead.end()) {
      return;
    }
    mPeersAhead.erase(otherZone);
  }
  mPeersAhead[aAddress] = { aRevision, aSameZone };
}

std::optional<std::string>
SyncPeerSelector::Choose(std::uint64_t aOwnRevision, TimePoint aNow)
{
  DropCaughtUp(aOwnRevision);
  std::vector<const std::string*> choices;
  for (const bool sameZone : { true, false }) {
    for (const auto& [address, peer] : mPeersAhead) {
      if (peer.sameZone == sameZone) {
        choices.push_back(&address);
      }
    }
    if (!choices.empty()) {
      break;
    }
    if (aNow - mBehindSince < mOptions.crossZoneDelay) {
      return std::nullopt;
    }
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, choices.size() - 1);
  return *choices[pick(mRandom)];
}

bool
SyncPeerSelector::HasPeerInZone(std::uint64_t aOwnRevision) const
{
  return std::any_of(
    mPeersAhead.begin(), mPeersAhead.end(), [&](const auto& aEntry) {
      return aEntry.second.sameZone && aEntry.second.revision > aOwnRevision;
    });
}

void
SyncPeerSelector::DropCaughtUp(std::uint64_t aOwnRevision)
{
  std::erase_if(mPeersAhead, [&](const auto& aEntry) {
    return aEntry.second.revision <= aOwnRevision;
  });
}

} // namespace magnoliatide::fleet
