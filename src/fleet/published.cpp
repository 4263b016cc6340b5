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
    auto& known = mItems[item.key];
    if (item.revision <= known.revision) {
      continue;
    }
    Keep(known, item);
    news.push_back(item);
  }
  return news;
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
  for (auto& [key, item] : mItems) {
    const bool missing =
      !item.removed && listed.count(key) == 0 && item.revision <= aRevision;
    if (missing) {
      wire::PublishedItem removed;
      removed.key = key;
      removed.revision = aRevision;
      removed.removed = true;
      Keep(item, removed);
      news.push_back(std::move(removed));
    }
  }
  return news;
}

void
Published::Keep(wire::PublishedItem& aKnown, const wire::PublishedItem& aNew)
{
  mByRevision.erase({ aKnown.revision, aNew.key });
  mByRevision.insert({ aNew.revision, aNew.key });
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
  const auto beyond = std::max(aRequest.after, aRequest.beyond);
  std::size_t bytes = 0;
  for (auto at = mByRevision.lower_bound({ beyond + 1, "" });
       at != mByRevision.end();
       ++at) {
    const auto& [revision, key] = *at;
    const bool next =
      !part.items.empty() && part.items.back().revision != revision;
    if (next && bytes >= aMostBytes) {
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
