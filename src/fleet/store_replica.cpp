// Replication of store items.
#include "magnoliatide/fleet/store_replica.h"

#include <algorithm>
#include <limits>

namespace magnoliatide::fleet {

std::vector<wire::ReplicaItem>
StoreReplica::Apply(const std::vector<wire::ReplicaItem>& aItems)
{
  std::vector<wire::ReplicaItem> changes;
  for (const auto& item : aItems) {
    const auto known = mItems.find(item.key);
    const auto knownRevision =
      known == mItems.end() ? 0 : known->second.revision;
    // An item that is missing here although mRevision covers it was removed
    // later: the sender is behind.
    if (item.revision <= std::max(knownRevision, mRevision)) {
      continue;
    }
    ReplaceItem(mItems[item.key], item);
    changes.push_back(item);
  }
  DropOldRemovals();
  return changes;
}

/// Drops the oldest removals. Requests from an earlier revision get every item.
void
StoreReplica::DropOldRemovals()
{
  for (auto at = mByRevision.begin();
       mRemovalCount > kMaxRemovals && at != mByRevision.end();) {
    const auto [revision, key] = *at;
    const auto found = mItems.find(key);
    if (!found->second.removed || revision > mRevision) {
      ++at;
      continue;
    }
    mRemovalsDroppedUpTo = std::max(mRemovalsDroppedUpTo, revision);
    mRemovalCount -= 1;
    mItems.erase(found);
    at = mByRevision.erase(at);
  }
}

std::vector<wire::ReplicaItem>
StoreReplica::ApplySnapshot(const std::vector<wire::ReplicaItem>& aItems,
                            std::uint64_t aRevision)
{
  auto changes = Apply(aItems);
  std::set<std::string> listed;
  for (const auto& item : aItems) {
    listed.insert(item.key);
  }
  RemoveMissing(listed, aRevision, changes);
  return changes;
}

std::vector<wire::ReplicaItem>
StoreReplica::ApplyPart(const wire::ReplicaUpdate& aPart,
                        PartialAnswer& aAnswer)
{
  auto changes = Apply(aPart.items);
  if (aAnswer.started && aAnswer.isSnapshot != aPart.isSnapshot) {
    // The other replica dropped removals between the parts.
    aAnswer.inconsistent = true;
  }
  aAnswer.started = true;
  aAnswer.isSnapshot = aPart.isSnapshot;
  for (const auto& item : aPart.items) {
    if (item.removed) {
      aAnswer.presentKeys.erase(item.key);
    } else {
      aAnswer.presentKeys.insert(item.key);
    }
  }
  if (aPart.partUpTo > 0 || aAnswer.inconsistent) {
    return changes;
  }
  if (aPart.isSnapshot) {
    RemoveMissing(aAnswer.presentKeys, aPart.upTo, changes);
  }
  if (aPart.isSnapshot || aPart.after <= mRevision) {
    RecordRevision(aPart.upTo);
  }
  return changes;
}

/// Removes the items that a list of a revision does not contain. Removals of
/// items that were never known here remain unknown.
void
StoreReplica::RemoveMissing(const std::set<std::string>& aListed,
                            std::uint64_t aRevision,
                            std::vector<wire::ReplicaItem>& aChanges)
{
  if (aRevision > mRevision) {
    mRemovalsDroppedUpTo = std::max(mRemovalsDroppedUpTo, aRevision);
  }
  for (auto& [key, item] : mItems) {
    const bool missing =
      !item.removed && aListed.count(key) == 0 && item.revision <= aRevision;
    if (missing) {
      wire::ReplicaItem removed;
      removed.key = key;
      removed.revision = aRevision;
      removed.removed = true;
      ReplaceItem(item, removed);
      aChanges.push_back(std::move(removed));
    }
  }
}

void
StoreReplica::ReplaceItem(wire::ReplicaItem& aKnown,
                          const wire::ReplicaItem& aNew)
{
  mByRevision.erase({ aKnown.revision, aNew.key });
  mByRevision.insert({ aNew.revision, aNew.key });
  mRemovalCount -= aKnown.removed ? 1 : 0;
  mRemovalCount += aNew.removed ? 1 : 0;
  aKnown = aNew;
}

void
StoreReplica::RecordRevision(std::uint64_t aRevision)
{
  mRevision = std::max(mRevision, aRevision);
}

wire::ReplicaUpdate
StoreReplica::ChangesAfter(std::uint64_t aRevision) const
{
  return PartAfter({ aRevision, 0 }, std::numeric_limits<std::size_t>::max());
}

wire::ReplicaUpdate
StoreReplica::PartAfter(const wire::ReplicaRequest& aRequest,
                        std::size_t aMaxBytes) const
{
  wire::ReplicaUpdate part;
  part.after = aRequest.after;
  part.upTo = mRevision;
  part.isSnapshot = aRequest.after < mRemovalsDroppedUpTo;
  const auto resumeAfter = part.isSnapshot
                             ? aRequest.resumeAfter
                             : std::max(aRequest.after, aRequest.resumeAfter);
  std::size_t bytes = 0;
  for (auto at = mByRevision.lower_bound({ resumeAfter + 1, "" });
       at != mByRevision.end();
       ++at) {
    const auto& [revision, key] = *at;
    // Above mRevision the changes are incomplete: one that arrives later may
    // sort before these, so the part cannot end there.
    const bool canEndPart = !part.items.empty() &&
                            part.items.back().revision != revision &&
                            part.items.back().revision <= mRevision;
    if (canEndPart && bytes >= aMaxBytes) {
      part.partUpTo = part.items.back().revision;
      part.upTo = part.after;
      break;
    }
    const auto& item = mItems.at(key);
    bytes += item.key.size() + item.value.size();
    part.items.push_back(item);
  }
  return part;
}

} // namespace magnoliatide::fleet
