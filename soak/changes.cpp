// Configurations of the soak test.
#include "changes.h"

namespace magnoliatide::soak {

namespace {

/// The kinds of calls.
constexpr Kind kKinds[] = { Kind::kQuote, Kind::kLetter, Kind::kDeposit,
                            Kind::kStock, Kind::kTrend,  Kind::kProbe };

int
Between(std::mt19937_64& aRandom, int aMin, int aMax)
{
  return std::uniform_int_distribution<int>(aMin, aMax)(aRandom);
}

/// Moves a route to one of its services, splits it, or, rarely, moves it to the
/// service without servers.
void
Move(tests::RouteConfig& aRoute, std::mt19937_64& aRandom)
{
  const auto& services =
    aRoute.kind == "stream" ? kStreamServices : kOtherServices;
  constexpr int kEmptyPercent = 4;
  aRoute.split.clear();
  if (Between(aRandom, 1, 100) <= kEmptyPercent) {
    aRoute.service = kEmptyService;
  } else if (Between(aRandom, 0, 1) == 0) {
    aRoute.service = services[Between(aRandom, 0, 1)];
  } else {
    aRoute.split = { { services[0], Between(aRandom, 1, 9) },
                     { services[1], Between(aRandom, 1, 9) } };
  }
}

} // namespace

Configuration
StandardConfiguration(std::uint64_t aVersion, const Quota& aQuota)
{
  Configuration result;
  for (const auto kind : kKinds) {
    const auto& traits = TraitsOf(kind);
    const auto& services = traits.stream ? kStreamServices : kOtherServices;
    tests::RouteConfig route;
    route.prefix = traits.prefix;
    if (kind == Kind::kProbe) {
      route.prefix += std::to_string(aVersion) + "/";
    }
    route.name = "route-" + std::to_string(static_cast<int>(kind));
    route.kind = traits.stream ? "stream"
                 : traits.once ? "non_idempotent"
                               : "idempotent";
    route.split = { { services[0], traits.stream ? 2 : 1 },
                    { services[1], 1 } };
    route.resumable = traits.stream && !traits.once;
    route.attempts = traits.once ? 1 : kMaxServers;
    route.tier = traits.stream ? 1 : 0;
    result.routes.push_back(route);
  }
  tests::TeamConfig limited;
  limited.name = aQuota.team;
  limited.keys = { "key-of-" + aQuota.team };
  limited.perSecond = aQuota.perSecond;
  limited.burst = aQuota.burst;
  result.teams = { tests::TeamConfig(), limited };
  return result;
}

Configuration
RandomConfiguration(std::uint64_t aVersion,
                    const Quota& aQuota,
                    std::mt19937_64& aRandom)
{
  auto result = StandardConfiguration(aVersion, aQuota);
  for (auto& route : result.routes) {
    Move(route, aRandom);
    route.timeoutMillis = Between(aRandom, 2500, 6000);
    route.targetMillis = Between(aRandom, 300, 2000);
    if (route.kind != "non_idempotent" &&
        (route.kind != "stream" || route.resumable)) {
      route.attempts = Between(aRandom, 1, 3);
    }
  }
  if (Between(aRandom, 0, 2) == 0) {
    std::erase_if(result.routes, [](const auto& aRoute) {
      return aRoute.prefix == TraitsOf(Kind::kTrend).prefix;
    });
  }
  // The quota never exceeds the one that the checks allow.
  auto& limited = result.teams.back();
  const double part = Between(aRandom, 4, 10) / 10.0;
  limited.perSecond *= part;
  limited.burst *= part;
  result.limits.headerBytes = Between(aRandom, 4096, 8192);
  result.limits.bodyBytes = Between(aRandom, 32768, 65536);
  result.limits.headerTimeout = Milliseconds(Between(aRandom, 1000, 3000));
  result.limits.idleTimeout = Milliseconds(Between(aRandom, 1000, 5000));
  return result;
}

std::map<Kind, RouteTerms>
TermsOf(const Configuration& aConfiguration)
{
  std::map<Kind, RouteTerms> terms;
  for (const auto& route : aConfiguration.routes) {
    for (const auto kind : kKinds) {
      if (route.prefix.starts_with(TraitsOf(kind).prefix)) {
        RouteTerms term;
        for (const auto& [service, weight] : route.split) {
          term.services.push_back(service);
        }
        if (term.services.empty()) {
          term.services.push_back(route.service);
        }
        term.timeout = Milliseconds(route.timeoutMillis);
        term.attempts = route.attempts;
        terms[kind] = term;
      }
    }
  }
  return terms;
}

} // namespace magnoliatide::soak
