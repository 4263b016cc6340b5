// The copy of published items.
#include "magnoliatide/fleet/published.h"

#include <algorithm>
#include <limits>

namespace magnoliatide::fleet {

std::vector<wire::PublishedItem>
Published::Take(const std::vector<wire::PublishedItem>& aItems)
{
  std::vector<wire::PublishedItem> news;
  for (const auto& item : aItems) {
    const auto known = mItems.find(item.key);
    const auto held = known == mItems.end() ? 0 : known->second.revision;
    // What is not held although everything of its time is, has been removed
    // since: the sender is behind.
    if (item.revision <= std::max(held, mRevision)) {
      continue;
    }
    Keep(mItems[item.key], item);
    news.push_back(item);
  }
  ForgetRemoved();
  return news;
}

/// Forgets the oldest removals. Those who ask from before are told everything.
void
Published::ForgetRemoved()
{
  for (auto at = mByRevision.begin();
       mRemoved > kMostRemoved && at != mByRevision.end();) {
    const auto [revision, key] = *at;
    const auto found = mItems.find(key);
    if (!found->second.removed || revision > mRevision) {
      ++at;
      continue;
    }
    mForgotten = std::max(mForgotten, revision);
    mRemoved -= 1;
    mItems.erase(found);
    at = mByRevision.erase(at);
  }
}

std::vector<wire::PublishedItem>
Published::TakeList(const std::vector<wire::PublishedItem>& aItems,
                    std::uint64_t aRevision)
{
  auto news = Take(aItems);
  std::set<std::string> listed;
  for (const auto& item : aItems) {
    listed.insert(item.key);
  }
  RemoveMissing(listed, aRevision, news);
  return news;
}

std::vector<wire::PublishedItem>
Published::TakePart(const wire::PublishedItems& aPart, PartialAnswer& aAnswer)
{
  auto news = Take(aPart.items);
  if (aAnswer.begun && aAnswer.whole != aPart.whole) {
    // The other copy has lost removals meanwhile.
    aAnswer.broken = true;
  }
  aAnswer.begun = true;
  aAnswer.whole = aPart.whole;
  for (const auto& item : aPart.items) {
    if (item.removed) {
      aAnswer.named.erase(item.key);
    } else {
      aAnswer.named.insert(item.key);
    }
  }
  if (aPart.partUpTo > 0 || aAnswer.broken) {
    return news;
  }
  if (aPart.whole) {
    RemoveMissing(aAnswer.named, aPart.upTo, news);
  }
  if (aPart.whole || aPart.after <= mRevision) {
    NoteRevision(aPart.upTo);
  }
  return news;
}

/// Removes what a list of a revision does not name. Removals of what was never
/// known here remain unknown.
void
Published::RemoveMissing(const std::set<std::string>& aNamed,
                         std::uint64_t aRevision,
                         std::vector<wire::PublishedItem>& aNews)
{
  if (aRevision > mRevision) {
    mForgotten = std::max(mForgotten, aRevision);
  }
  for (auto& [key, item] : mItems) {
    const bool missing =
      !item.removed && aNamed.count(key) == 0 && item.revision <= aRevision;
    if (missing) {
      wire::PublishedItem removed;
      removed.key = key;
      removed.revision = aRevision;
      removed.removed = true;
      Keep(item, removed);
      aNews.push_back(std::move(removed));
    }
  }
}

void
Published::Keep(wire::PublishedItem& aKnown, const wire::PublishedItem& aNew)
{
  mByRevision.erase({ aKnown.revision, aNew.key });
  mByRevision.insert({ aNew.revision, aNew.key });
  mRemoved -= aKnown.removed ? 1 : 0;
  mRemoved += aNew.removed ? 1 : 0;
  aKnown = aNew;
}

void
Published::NoteRevision(std::uint64_t aRevision)
{
  mRevision = std::max(mRevision, aRevision);
}

wire::PublishedItems
Published::Since(std::uint64_t aRevision) const
{
  return PartOf({ aRevision, 0 }, std::numeric_limits<std::size_t>::max());
}

wire::PublishedItems
Published::PartOf(const wire::PublishedRequest& aRequest,
                  std::size_t aMostBytes) const
{
  wire::PublishedItems part;
  part.after = aRequest.after;
  part.upTo = mRevision;
  part.whole = aRequest.after < mForgotten;
  const auto beyond =
    part.whole ? aRequest.beyond : std::max(aRequest.after, aRequest.beyond);
  std::size_t bytes = 0;
  for (auto at = mByRevision.lower_bound({ beyond + 1, "" });
       at != mByRevision.end();
       ++at) {
    const auto& [revision, key] = *at;
    // Behind the revision that is claimed, changes may still come before
    // others.
    const bool mayEnd = !part.items.empty() &&
                        part.items.back().revision != revision &&
                        part.items.back().revision <= mRevision;
    if (mayEnd && bytes >= aMostBytes) {
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
