// Rendezvous hashing with xxHash.
#include "magnoliatide/core/rendezvous.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <cstdint>

namespace magnoliatide {

namespace {

struct Ranked
{
  std::uint64_t score;
  std::string name;
};

} // namespace

std::vector<std::string>
RankByRendezvous(std::string_view aKey, std::vector<std::string> aNames)
{
  const std::uint64_t seed = Hash64(aKey);
  std::vector<Ranked> ranked;
  ranked.reserve(aNames.size());
  for (auto& name : aNames) {
    ranked.push_back({ Hash64(name, seed), std::move(name) });
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aL, const auto& aR) {
    return aL.score != aR.score ? aL.score > aR.score : aL.name < aR.name;
  });
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& entry : ranked) {
    names.push_back(std::move(entry.name));
  }
  return names;
}

} // namespace magnoliatide
