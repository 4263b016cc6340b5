// Implementation of the rumour store.
#include "magnoliatide/membership/rumour_store.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>

namespace magnoliatide::membership {

namespace {

constexpr std::size_t kMaxRumours = 8192;

/// Returns the hash of a rumour without its age, which differs between VMs.
std::uint64_t
HashOf(const wire::Rumour& aRumour)
{
  return Hash64(aRumour.key + "\n" + std::to_string(aRumour.version) + "\n" +
                  aRumour.value,
                static_cast<std::uint64_t>(aRumour.kind));
}

bool
IsNewer(const wire::Rumour& aNew, const wire::Rumour& aOld)
{
  return aNew.version != aOld.version ? aNew.version > aOld.version
                                      : aNew.value > aOld.value;
}

} // namespace

bool
RumourStore::Add(const wire::Rumour& aRumour, int aSends, TimePoint aNow)
{
  const TimePoint publishedAt = aNow - Seconds(aRumour.ageSeconds);
  if (aNow - publishedAt >= mLifetime) {
    return false;
  }
  const Id id{ aRumour.kind, aRumour.key };
  const auto found = mEntries.find(id);
  if (found != mEntries.end()) {
    if (!IsNewer(aRumour, found->second.rumour)) {
      return false;
    }
    mDigest -= HashOf(found->second.rumour);
  } else if (mEntries.size() >= kMaxRumours) {
    RemoveOldest();
  }
  mDigest += HashOf(aRumour);
  mEntries[id] = { aRumour, aSends, publishedAt };
  return true;
}

wire::Rumour
RumourStore::WithAge(const Entry& aEntry, TimePoint aNow)
{
  auto rumour = aEntry.rumour;
  rumour.ageSeconds = WholeSecondsSince(aEntry.publishedAt, aNow);
  return rumour;
}

std::vector<wire::Rumour>
RumourStore::Next(std::size_t aLimit, TimePoint aNow)
{
  std::vector<wire::Rumour> rumours;
  for (auto& [id, entry] : mEntries) {
    if (rumours.size() >= aLimit) {
      break;
    }
    if (entry.sendsLeft > 0) {
      entry.sendsLeft -= 1;
      rumours.push_back(WithAge(entry, aNow));
    }
  }
  return rumours;
}

std::vector<wire::Rumour>
RumourStore::AllRumours(TimePoint aNow) const
{
  std::vector<wire::Rumour> rumours;
  for (const auto& [id, entry] : mEntries) {
    rumours.push_back(WithAge(entry, aNow));
  }
  return rumours;
}

void
RumourStore::Expire(TimePoint aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    const bool expired = aNow - aItem.second.publishedAt >= mLifetime;
    mDigest -= expired ? HashOf(aItem.second.rumour) : 0;
    return expired;
  });
}

void
RumourStore::RemoveOldest()
{
  const auto oldest = std::min_element(
    mEntries.begin(), mEntries.end(), [](const auto& aL, const auto& aR) {
      return aL.second.publishedAt < aR.second.publishedAt;
    });
  mDigest -= HashOf(oldest->second.rumour);
  mEntries.erase(oldest);
}

const wire::Rumour*
RumourStore::Find(wire::RumourKind aKind, const std::string& aKey) const
{
  const auto found = mEntries.find({ aKind, aKey });
  return found == mEntries.end() ? nullptr : &found->second.rumour;
}

} // namespace magnoliatide::membership
