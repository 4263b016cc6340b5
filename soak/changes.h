// Random configurations for the soak test.
#ifndef MAGNOLIATIDE_SOAK_CHANGES_H
#define MAGNOLIATIDE_SOAK_CHANGES_H

#include "platform_fleet.h"
#include "record.h"

#include <random>
#include <vector>

namespace magnoliatide::soak {

/// The services of streams and those of other calls. Each kind of call can be
/// served by both services of its row.
constexpr const char* kStreamServices[] = { "language", "speech" };
constexpr const char* kOtherServices[] = { "orders", "stores" };

/// A service that has no servers.
constexpr char kEmptyService[] = "elsewhere";

/// A configuration of all routes, teams and limits.
struct Configuration
{
  std::vector<tests::RouteConfig> routes;
  std::vector<tests::TeamConfig> teams;
  tests::LimitsConfig limits;
};

/// Returns the configuration with which a run starts and ends: all routes,
/// split over both of their services.
Configuration
StandardConfiguration(std::uint64_t aVersion, const Quota& aQuota);

/// Returns a configuration that differs from the standard one at random:
/// services, splits, timeouts, attempts, quota, limits and one route that may
/// be missing.
Configuration
RandomConfiguration(std::uint64_t aVersion,
                    const Quota& aQuota,
                    std::mt19937_64& aRandom);

/// Returns what a configuration states about each kind of call.
std::map<Kind, RouteTerms>
TermsOf(const Configuration& aConfiguration);

} // namespace magnoliatide::soak

#endif
