// A VM's replica of the items in the platform's store, filled from the store
// and from other VMs. Keys and values are opaque. No I/O.
#ifndef MAGNOLIATIDE_FLEET_STORE_REPLICA_H
#define MAGNOLIATIDE_FLEET_STORE_REPLICA_H

#include "magnoliatide/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliatide::fleet {

/// State of a reply that another replica sends in pages.
struct PartialReply
{
  bool started = false;
  bool isSnapshot = false; ///< The reply lists every item.
  /// The pages differ in isSnapshot, so the reply's revision is not recorded.
  bool inconsistent = false;
  std::set<std::string> presentKeys; ///< Keys that are not removed.
};

/// Holds the last change of each key, removals included.
class StoreReplica
{
public:
  /// Applies changes.
  ///
  /// @return The applied items. Items that are known with the same or a later
  ///     revision, or were removed since, are skipped.
  std::vector<wire::ReplicaItem> Apply(
    const std::vector<wire::ReplicaItem>& aItems);

  /// Applies a complete list of the store at a revision. Items that are not in
  /// it and did not change after that revision are removed.
  ///
  /// @return The applied items, removals included.
  std::vector<wire::ReplicaItem> ApplySnapshot(
    const std::vector<wire::ReplicaItem>& aItems,
    std::uint64_t aRevision);

  /// Applies the next page of another replica's reply.
  ///
  /// @param aReply The state of the reply, updated.
  /// @return The applied items, removals included.
  std::vector<wire::ReplicaItem> ApplyPage(const wire::ReplicaUpdate& aPage,
                                           PartialReply& aReply);

  /// Records that every change up to a revision is known.
  void RecordRevision(std::uint64_t aRevision);

  std::uint64_t Revision() const { return mRevision; }

  /// Returns the items that changed after a revision.
  wire::ReplicaUpdate ChangesAfter(std::uint64_t aRevision) const;

  /// Returns a page of the items that changed after a revision. All pages of a
  /// reply must come from the same replica, in order. With two replicas, an
  /// item could be missed: the first has it on a later page because it changed,
  /// the second, which lacks that change, on an earlier one.
  ///
  /// @param aMaxBytes Size of keys and values at which the page ends. Items of
  ///     one revision stay together, so a page may exceed it.
  wire::ReplicaUpdate PageAfter(const wire::ReplicaRequest& aRequest,
                                std::size_t aMaxBytes) const;

private:
  void ReplaceItem(wire::ReplicaItem& aKnown, const wire::ReplicaItem& aNew);
  void DropOldRemovals();
  void RemoveMissing(const std::set<std::string>& aListed,
                     std::uint64_t aRevision,
                     std::vector<wire::ReplicaItem>& aChanges);

  /// Number of removals kept for VMs that are behind.
  static constexpr std::size_t kMaxRemovals = 1000;

  std::map<std::string, wire::ReplicaItem> mItems;
  /// Revision and key of every item in mItems.
  std::set<std::pair<std::uint64_t, std::string>> mByRevision;
  /// mItems has every change up to this revision, except for dropped removals.
  std::uint64_t mRevision = 0;
  std::size_t mRemovalCount = 0; ///< Removed items in mItems.
  /// Removals up to this revision may be missing.
  std::uint64_t mRemovalsDroppedUpTo = 0;
};

} // namespace magnoliatide::fleet

#endif
