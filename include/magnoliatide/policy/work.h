// Values that the decision logic works on.
#ifndef MAGNOLIATIDE_POLICY_WORK_H
#define MAGNOLIATIDE_POLICY_WORK_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliatide::policy {

/// Identity of a request at the VM that accepted it.
using RequestId = std::uint64_t;

/// Estimated size of a request, in tokens.
struct WorkSize
{
  double promptTokens = 1;
  double outputTokens = 0;
};

/// A classified request.
struct Work
{
  RequestId id = 0;
  std::string service;
  std::string kind;
  std::string team;
  std::string model;
  std::string adapter;
  int tier = 0;          ///< 0 is highest.
  double kindShare = 0;  ///< Guaranteed part of the tier, 0 to 1.
  double teamWeight = 1; ///< Share beside other teams.
  WorkSize size;
  std::vector<std::uint64_t> prefix; ///< Hashes of growing prompt prefixes.
  std::uint64_t fingerprint = 0;     ///< Identity of the content.
  TimePoint arrival;
  TimePoint deadline;
};

/// Why a request was not started.
enum class DropReason
{
  kQueueFull,    ///< The queue is full of work at least as urgent.
  kDisplaced,    ///< Evicted for more urgent work.
  kTooLate,      ///< Its deadline cannot be met.
  kExpired,      ///< Its deadline passed while it waited.
  kTierFloor,    ///< More urgent work is being refused in the fleet.
  kTeamRate,     ///< The team sends faster than its limit.
  kTeamInFlight, ///< The team holds too many requests.
  kNoBackend,    ///< No backend server fits the request.
  kHarmful,      ///< It crashed a backend server while it ran alone.
  kCancelled,    ///< Its caller left.
};

/// Returns the stable name of a reason, for example "queue-full".
const char*
Name(DropReason aReason);

/// Returns whether a reason sheds load, so that tier order applies to it.
bool
IsShed(DropReason aReason);

/// An order to dispatch a request now.
struct Start
{
  RequestId id = 0;
  std::string backend;
};

/// A request that will not be dispatched.
struct Drop
{
  RequestId id = 0;
  DropReason reason = DropReason::kQueueFull;
  Duration retryAfter{}; ///< When to come back.
};

/// What the caller of the scheduler has to carry out.
struct Decisions
{
  std::vector<Start> starts;
  std::vector<Drop> drops;
};

/// Cost of a request in tokens of generation.
double
CostOf(const WorkSize& aSize);

} // namespace magnoliatide::policy

#endif
