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

/// The parts of another copy's answer that have been taken.
struct PartialAnswer
{
  bool begun = false;
  bool whole = false;          ///< It names everything.
  bool broken = false;         ///< Its parts do not fit: it claims nothing.
  std::set<std::string> named; ///< Keys that are not removed.
};

class Published
{
public:
  /// Takes changes over.
  ///
  /// @return The items that are news. Those known with the same or a later
  ///     revision, and those removed since, are left out.
  std::vector<wire::PublishedItem> Take(
    const std::vector<wire::PublishedItem>& aItems);

  /// Takes a whole list over: items that it does not name and that did not
  /// change after it are removed.
  std::vector<wire::PublishedItem> TakeList(
    const std::vector<wire::PublishedItem>& aItems,
    std::uint64_t aRevision);

  /// Takes a part of another copy's answer over; the parts come in order.
  ///
  /// @param aAnswer The parts before, updated.
  /// @return The items that are news.
  std::vector<wire::PublishedItem> TakePart(const wire::PublishedItems& aPart,
                                            PartialAnswer& aAnswer);

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
  void ForgetRemoved();
  void RemoveMissing(const std::set<std::string>& aNamed,
                     std::uint64_t aRevision,
                     std::vector<wire::PublishedItem>& aNews);

  /// Removals held for VMs that are behind.
  static constexpr std::size_t kMostRemoved = 1000;

  std::map<std::string, wire::PublishedItem> mItems;
  /// The revision and key of every item of mItems.
  std::set<std::pair<std::uint64_t, std::string>> mByRevision;
  /// Every item that changed up to this revision is in mItems, but for removals
  /// that were forgotten.
  std::uint64_t mRevision = 0;
  std::size_t mRemoved = 0; ///< Items of mItems that are removed.
  /// Removals up to this revision may not be known.
  std::uint64_t mForgotten = 0;
};

} // namespace magnoliatide::fleet

#endif
