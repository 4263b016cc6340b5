// Comparison of configurations.
#include "magnoliatide/routing/change.h"

#include "magnoliatide/core/digest.h"

#include <map>
#include <vector>

namespace magnoliatide::routing {

namespace {

/// Maximum number of names listed per category; the others are only counted.
constexpr std::size_t kMaxNames = 6;

/// Hexadecimal digits of a credential's SHA-256 that serve as its name.
constexpr std::size_t kCredentialNameDigits = 8;

/// The compared settings of each entry of one category as a string, by name.
using Summaries = std::map<std::string, std::string>;

std::string
Summary(const Route& aRoute)
{
  std::string text = aRoute.host + aRoute.prefix;
  for (const auto& share : aRoute.shares) {
    text += " " + share.service + ":" + std::to_string(share.weight);
  }
  for (const auto number : { static_cast<std::int64_t>(aRoute.attempts),
                             static_cast<std::int64_t>(aRoute.tier),
                             static_cast<std::int64_t>(aRoute.timeout.count()),
                             static_cast<std::int64_t>(aRoute.target.count()),
                             static_cast<std::int64_t>(aRoute.resumable),
                             static_cast<std::int64_t>(aRoute.anonymous) }) {
    text += " " + std::to_string(number);
  }
  return text;
}

std::string
Summary(const Team& aTeam)
{
  return std::to_string(aTeam.tier.value_or(-1)) + " " +
         std::to_string(aTeam.quota.perSecond) + " " +
         std::to_string(aTeam.quota.burst);
}

Summaries
SummarizeRoutes(const Table& aTable)
{
  Summaries routes;
  for (const auto& route : aTable.routes) {
    routes[route.name] = Summary(route);
  }
  return routes;
}

Summaries
SummarizeTeams(const Table& aTable)
{
  Summaries teams;
  for (const auto& team : aTable.teams) {
    teams[team.name] = Summary(team);
  }
  return teams;
}

Summaries
SummarizeCredentials(const Table& aTable)
{
  Summaries credentials;
  for (const auto& [credential, team] : aTable.teamByCredential) {
    credentials[CredentialName(credential)] = aTable.teams[team].name;
  }
  return credentials;
}

/// Appends the names of the entries that differ.
void
Compare(const char* aCategory,
        const Summaries& aBefore,
        const Summaries& aAfter,
        std::string& aText)
{
  std::vector<std::string> changes;
  for (const auto& [name, summary] : aAfter) {
    const auto found = aBefore.find(name);
    if (found == aBefore.end()) {
      changes.push_back("+" + name);
    } else if (found->second != summary) {
      changes.push_back("~" + name);
    }
  }
  for (const auto& [name, summary] : aBefore) {
    if (aAfter.count(name) == 0) {
      changes.push_back("-" + name);
    }
  }
  if (changes.empty()) {
    return;
  }
  aText += (aText.empty() ? "" : "; ") + std::string(aCategory);
  for (std::size_t i = 0; i < changes.size() && i < kMaxNames; ++i) {
    aText += " " + changes[i];
  }
  if (changes.size() > kMaxNames) {
    aText += " and " + std::to_string(changes.size() - kMaxNames) + " more";
  }
}

} // namespace

std::string
CredentialName(const std::string& aCredential)
{
  return Sha256Hex(aCredential).substr(0, kCredentialNameDigits);
}

std::string
DescribeChange(const TablePointer& aBefore, const Table& aAfter)
{
  const Table emptyTable;
  const Table& before = aBefore ? *aBefore : emptyTable;
  std::string text;
  Compare("routes", SummarizeRoutes(before), SummarizeRoutes(aAfter), text);
  Compare("teams", SummarizeTeams(before), SummarizeTeams(aAfter), text);
  Compare(
    "keys", SummarizeCredentials(before), SummarizeCredentials(aAfter), text);
  if (!(before.limits == aAfter.limits)) {
    text += (text.empty() ? "" : "; ") + std::string("limits ~");
  }
  return text;
}

} // namespace magnoliatide::routing
