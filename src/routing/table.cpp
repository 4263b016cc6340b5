// Route matching and lookup of services and teams.
#include "magnoliatide/routing/table.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>

namespace magnoliatide::routing {

const std::string&
Route::PickService(std::uint64_t aSeed) const
{
  double total = 0;
  for (const auto& share : shares) {
    total += share.weight;
  }
  // A seed selects one of a million points, over which the shares are laid out.
  constexpr double kResolution = 1e6;
  double point = total * static_cast<double>(aSeed % 1000000) / kResolution;
  for (const auto& share : shares) {
    point -= share.weight;
    if (point < 0) {
      return share.service;
    }
  }
  return shares.back().service;
}

void
Table::Index()
{
  mByHost.clear();
  for (std::size_t i = 0; i < routes.size(); ++i) {
    mByHost[boost::algorithm::to_lower_copy(routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : mByHost) {
    std::stable_sort(
      indexes.begin(), indexes.end(), [this](auto aLeft, auto aRight) {
        return routes[aLeft].prefix.size() > routes[aRight].prefix.size();
      });
  }
}

const Route*
Table::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto name = aHost.substr(0, aHost.find(':'));
  const auto found =
    mByHost.find(boost::algorithm::to_lower_copy(std::string(name)));
  if (found == mByHost.end()) {
    return nullptr;
  }
  for (const auto index : found->second) {
    if (aPath.starts_with(routes[index].prefix)) {
      return &routes[index];
    }
  }
  return nullptr;
}

const Service*
Table::FindService(std::string_view aName) const
{
  const auto found =
    std::find_if(services.begin(), services.end(), [&](const auto& aService) {
      return aService.name == aName;
    });
  return found == services.end() ? nullptr : &*found;
}

const Team*
Table::FindTeam(const std::string& aCredential) const
{
  const auto found = teamByCredential.find(aCredential);
  return found == teamByCredential.end() ? nullptr : &teams[found->second];
}

} // namespace magnoliatide::routing
