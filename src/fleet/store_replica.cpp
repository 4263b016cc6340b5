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

/// Drops the oldest removals above kMaxRemovals. A request for the changes
/// since an earlier revision then gets a snapshot.
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
StoreReplica::ApplyPage(const wire::ReplicaUpdate& aPage, PartialReply& aReply)
{
  auto changes = Apply(aPage.items);
  if (aReply.started && aReply.isSnapshot != aPage.isSnapshot) {
    // The other replica dropped removals between the pages.
    aReply.inconsistent = true;
  }
  aReply.started = true;
  aReply.isSnapshot = aPage.isSnapshot;
  for (const auto& item : aPage.items) {
    if (item.removed) {
      aReply.presentKeys.erase(item.key);
    } else {
      aReply.presentKeys.insert(item.key);
    }
  }
  if (aPage.pageUpTo > 0 || aReply.inconsistent) {
    return changes;
  }
  if (aPage.isSnapshot) {
    RemoveMissing(aReply.presentKeys, aPage.upTo, changes);
  }
  if (aPage.isSnapshot || aPage.after <= mRevision) {
    RecordRevision(aPage.upTo);
  }
  return changes;
}

/// Removes the items that are missing from a complete list of the store.
/// Removals of items that were never known here cannot be recorded, so all
/// removals up to the list's revision count as dropped.
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
  return PageAfter({ aRevision, 0 }, std::numeric_limits<std::size_t>::max());
}

wire::ReplicaUpdate
StoreReplica::PageAfter(const wire::ReplicaRequest& aRequest,
                        std::size_t aMaxBytes) const
{
  wire::ReplicaUpdate page;
  page.after = aRequest.after;
  page.upTo = mRevision;
  page.isSnapshot = aRequest.after < mRemovalsDroppedUpTo;
  const auto resumeAfter = page.isSnapshot
                             ? aRequest.resumeAfter
                             : std::max(aRequest.after, aRequest.resumeAfter);
  std::size_t bytes = 0;
  for (auto at = mByRevision.lower_bound({ resumeAfter + 1, "" });
       at != mByRevision.end();
       ++at) {
    const auto& [revision, key] = *at;
    // Above mRevision, changes may be missing. One that arrives later may have
    // a lower revision than these, so the page cannot end there.
    const bool canEndPage = !page.items.empty() &&
                            page.items.back().revision != revision &&
                            page.items.back().revision <= mRevision;
    if (canEndPage && bytes >= aMaxBytes) {
      page.pageUpTo = page.items.back().revision;
      page.upTo = page.after;
      break;
    }
    const auto& item = mItems.at(key);
    bytes += item.key.size() + item.value.size();
    page.items.push_back(item);
  }
  return page;
}

} // namespace magnoliatide::fleet
