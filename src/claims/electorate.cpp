// Choice of electors.
#include "magnoliatide/claims/electorate.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/rendezvous.h"

#include <algorithm>
#include <map>

namespace magnoliatide::claims {

std::uint64_t
Electorate::Hash() const
{
  return HashOfSlots(slots);
}

bool
Electorate::Contains(const std::string& aSlot) const
{
  return std::find(slots.begin(), slots.end(), aSlot) != slots.end();
}

std::uint64_t
HashOfSlots(const std::vector<std::string>& aSlots)
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
  for (std::size_t row = 0; chosen.size() < aCount; ++row) {
    bool any = false;
    for (const auto& zone : zones) {
      const auto& members = byZone[zone];
      if (row < members.size() && chosen.size() < aCount) {
        chosen.push_back(members[row]);
        any = true;
      }
    }
    if (!any) {
      break;
    }
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

std::size_t
MajorityOf(std::size_t aCount)
{
  return aCount / 2 + 1;
}

} // namespace magnoliatide::claims
