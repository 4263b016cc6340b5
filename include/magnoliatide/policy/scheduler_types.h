// Requests and decisions of the Scheduler. Job is the counterpart of
// SchedulerRequest for the Allocator.
#ifndef MAGNOLIATIDE_POLICY_SCHEDULER_TYPES_H
#define MAGNOLIATIDE_POLICY_SCHEDULER_TYPES_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliatide::policy {

/// Identifies a request within the VM that accepted it. Must not be 0.
using RequestId = std::uint64_t;

/// Estimated size of a request, in tokens.
struct RequestSize
{
  double promptTokens = 1;
  double outputTokens = 0;
};

/// A classified request.
struct SchedulerRequest
{
  RequestId id = 0;
  std::string service;
  std::string kind;
  std::string team;
  std::string model;
  std::string adapter;
  int tier = 0; ///< 0 is the most urgent.
  /// Fraction of the tier's service guaranteed to the kind, 0 to 1.
  double kindShare = 0;
  double teamWeight = 1; ///< Relative to other teams.
  RequestSize size;
  std::vector<std::uint64_t> prefix; ///< Hashes of growing prompt prefixes.
  std::uint64_t fingerprint = 0;     ///< Identifies the content.
  TimePoint arrival;
  TimePoint deadline;
};

/// Why a request was dropped. Converted to an entry::Refusal for its caller.
enum class DropReason
{
  kQueueFull,    ///< The queue is full of requests at least as urgent.
  kDisplaced,    ///< Evicted in favor of a more urgent request.
  kTooLate,      ///< Its deadline cannot be met.
  kExpired,      ///< Its deadline passed while it was queued.
  kTierFloor,    ///< The fleet currently sheds more urgent requests.
  kTeamRate,     ///< The team exceeded its rate limit.
  kTeamInFlight, ///< The team exceeded its concurrency limit.
  kNoBackend,    ///< No backend server can run the request.
  kHarmful,      ///< It crashed a backend server on which it ran alone.
  kCancelled,    ///< Its caller disconnected.
};

/// Returns the stable name of a reason, for example "queue-full".
const char*
Name(DropReason aReason);

/// Returns whether a reason is load shedding, which must respect tier order.
bool
IsShed(DropReason aReason);

/// A decision to dispatch a request now.
struct Start
{
  RequestId id = 0;
  std::string backend;
};

/// A decision not to dispatch a request.
struct Drop
{
  RequestId id = 0;
  DropReason reason = DropReason::kQueueFull;
  Duration retryAfter{}; ///< Recommended delay before a retry.
};

/// Decisions that the caller of the scheduler must carry out.
struct Decisions
{
  std::vector<Start> starts;
  std::vector<Drop> drops;
};

/// Returns the cost of a request, in units of one generated token.
double
CostOf(const RequestSize& aSize);

} // namespace magnoliatide::policy

#endif
