// Implementation of the choice of electors.
#include "magnoliatide/claims/electorate.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/rendezvous.h"

#include <algorithm>
#include <map>

namespace magnoliatide::claims {

std::uint64_t
Electorate::Hash() const
{
  return HashSlots(slots);
}

bool
Electorate::Contains(const std::string& aSlot) const
{
  return std::find(slots.begin(), slots.end(), aSlot) != slots.end();
}

std::uint64_t
HashSlots(const std::vector<std::string>& aSlots)
{
  std::string text;
  for (const auto& slot : aSlots) {
    text += slot + ",";
  }
  return Hash64(text);
}

std::vector<std::string>
ChooseElectors(const std::string& aKey,
               const std::vector<std::string>& aSlots,
               std::size_t aCount)
{
  std::map<std::string, std::vector<std::string>> byZone;
  std::vector<std::string> zones;
  for (const auto& slot : RankByRendezvous(aKey, aSlots)) {
    const auto zone = slot.substr(0, slot.find('/'));
    auto& members = byZone[zone];
    if (members.empty()) {
      zones.push_back(zone);
    }
    members.push_back(slot);
  }
  std::vector<std::string> chosen;
  for (std::size_t rank = 0; chosen.size() < aCount; ++rank) {
    bool added = false;
    for (const auto& zone : zones) {
      const auto& members = byZone[zone];
      if (rank < members.size() && chosen.size() < aCount) {
        chosen.push_back(members[rank]);
        added = true;
      }
    }
    if (!added) {
      break;
    }
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

std::size_t
MajoritySize(std::size_t aCount)
{
  return aCount / 2 + 1;
}

} // namespace magnoliatide::claims
