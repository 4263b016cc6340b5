// A VM's copy of what is published in the platform's store, filled from the
// store and from other VMs. Knows no meaning of the items. No I/O.
#ifndef MAGNOLIATIDE_FLEET_PUBLISHED_H
#define MAGNOLIATIDE_FLEET_PUBLISHED_H

#include "magnoliatide/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliatide::fleet {

class Published
{
public:
  /// Takes changes over.
  ///
  /// @return The items that are news; those known with the same or a later
  ///     revision are left out.
  std::vector<wire::PublishedItem> Take(
    const std::vector<wire::PublishedItem>& aItems);

  /// Takes a whole list over: items that it does not name and that did not
  /// change after it are removed.
  std::vector<wire::PublishedItem> TakeList(
    const std::vector<wire::PublishedItem>& aItems,
    std::uint64_t aRevision);

  /// Notes that every change up to a revision is known.
  void NoteRevision(std::uint64_t aRevision);

  std::uint64_t Revision() const { return mRevision; }

  /// Returns what changed after a revision.
  wire::PublishedItems Since(std::uint64_t aRevision) const;

  /// Returns a part of what changed after a revision. The parts of one answer
  /// must come from one copy, in order: an item that changes meanwhile moves to
  /// a later part, and another copy may hold it only where the parts taken are
  /// already past it.
  ///
  /// @param aMostBytes Of keys and values, after which no further revision is
  ///     begun.
  wire::PublishedItems PartOf(const wire::PublishedRequest& aRequest,
                              std::size_t aMostBytes) const;

private:
  void Keep(wire::PublishedItem& aKnown, const wire::PublishedItem& aNew);

  std::map<std::string, wire::PublishedItem> mItems;
  /// The revision and key of every item of mItems.
  std::set<std::pair<std::uint64_t, std::string>> mByRevision;
  /// Every item that changed up to this revision is in mItems.
  std::uint64_t mRevision = 0;
};

} // namespace magnoliatide::fleet

#endif
