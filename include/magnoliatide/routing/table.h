// The active configuration as plain structs: routes, services, teams with
// their quotas, and limits on callers. Immutable once built.
#ifndef MAGNOLIATIDE_ROUTING_TABLE_H
#define MAGNOLIATIDE_ROUTING_TABLE_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliatide::routing {

/// A service that receives a weighted share of a route's traffic.
struct ServiceShare
{
  std::string service;
  double weight = 1;
};

/// Settings for all requests to a host and path prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string prefix; ///< Begins and ends with a slash.
  /// Never empty.
  std::vector<ServiceShare> shares;
  bool idempotent = false; ///< Requests may be executed more than once.
  bool stream = false;     ///< Answers are server-sent events.
  bool resumable = false;  ///< Streams can be resumed on another server.
  bool anonymous = false;  ///< Requires no credential.
  bool affinity = false;   ///< Requests share prompt prefixes.
  int attempts = 1;        ///< Maximum number of servers per request.
  int tier = 0;            ///< 0 is the most urgent.
  /// Longest time until the answer is complete. Callers may set a shorter one.
  Duration timeout = Seconds(30);
  Duration target = Seconds(1); ///< Until the answer or its first event.
  Duration gapTarget{};         ///< Between events; zero if unlimited.

  /// Returns whether a request may be retried after it may have been executed.
  bool IsRetryable() const { return stream ? resumable : idempotent; }

  /// Returns the service for a request, chosen by weight. The same seed always
  /// gives the same service.
  const std::string& PickService(std::uint64_t aSeed) const;
};

/// Properties of the engines of a model service.
struct ModelTraits
{
  int slots = 1;       ///< Maximum number of concurrent requests.
  double kvTokens = 0; ///< Capacity of the KV cache, in tokens.
  double kvBytesPerToken = 0;
  double linkMegabits = 0; ///< Per second, for transfers of KV cache.
  double tokensPerEvent = 1;
  bool supportsMoves = false;   ///< Running requests can be moved.
  bool supportsBackups = false; ///< KV cache can be copied as it grows.
  int maxEventCalls = 0;  ///< Maximum number of pending calls for cache events.
  Duration maxPinTime{};  ///< Maximum duration of a pin.
  Duration maxHoldTime{}; ///< Maximum duration of a hold.
  Duration handleLifetime{}; ///< Lifetime of a handle.
};

struct Service
{
  std::string name;
  std::string healthPath;
  int maxConnections = 0; ///< Per server, from all callers.
  /// How long a server is cold after its start.
  Duration coldTime{};
  /// Requests per second that a cold server tolerates; 0 if unlimited.
  double coldRequestsPerSecond = 0;
  std::optional<ModelTraits> model;
};

/// Rate limit of a team for the whole fleet.
struct Quota
{
  bool byTokens = false;  ///< In tokens; in requests if false.
  double perSecond = 0;   ///< 0 if unlimited.
  double burst = 0;       ///< Units allowed in excess of the rate.
  double plainTokens = 1; ///< Charged for calls without a token count.

  bool IsBounded() const { return perSecond > 0; }
};

struct Team
{
  std::string name;
  std::optional<int> tier; ///< Overrides the route's tier.
  Quota quota;
};

/// Size and time limits for requests from callers.
struct CallerLimits
{
  std::uint64_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 * 1024 * 1024;
  Duration headerTimeout = Seconds(3);
  Duration idleTimeout = Seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

/// The complete routing configuration.
struct Table
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Team> teams;
  CallerLimits limits;
  /// Index in teams by credential.
  std::unordered_map<std::string, std::size_t> teamByCredential;

  /// Builds the index of routes. Must be called once the routes are complete.
  void Index();

  /// Returns the host's route with the longest matching prefix, or null. A port
  /// in the host is ignored.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /// Returns the service with a name, or null.
  const Service* FindService(std::string_view aName) const;

  /// Returns the team that a credential belongs to, or null.
  const Team* FindTeam(const std::string& aCredential) const;

private:
  /// Indexes of routes by lower-case host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
};

using TablePointer = std::shared_ptr<const Table>;

} // namespace magnoliatide::routing

#endif
