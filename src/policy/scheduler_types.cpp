// Names of drop reasons and costs of requests.
#include "magnoliatide/policy/scheduler_types.h"

namespace magnoliatide::policy {

namespace {

/// Ratio of the time to prefill a token to the time to generate one.
constexpr double kPrefillCost = 0.05;

} // namespace

const char*
Name(DropReason aReason)
{
  switch (aReason) {
    case DropReason::kQueueFull:
      return "queue-full";
    case DropReason::kDisplaced:
      return "displaced";
    case DropReason::kTooLate:
      return "deadline-unreachable";
    case DropReason::kExpired:
      return "expired";
    case DropReason::kTierFloor:
      return "tier-floor";
    case DropReason::kTeamRate:
      return "team-rate";
    case DropReason::kTeamInFlight:
      return "team-concurrency";
    case DropReason::kNoBackend:
      return "no-backend";
    case DropReason::kHarmful:
      return "harmful-request";
    case DropReason::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool
IsShed(DropReason aReason)
{
  switch (aReason) {
    case DropReason::kQueueFull:
    case DropReason::kDisplaced:
    case DropReason::kTooLate:
    case DropReason::kExpired:
    case DropReason::kTierFloor:
      return true;
    default:
      return false;
  }
}

double
CostOf(const RequestSize& aSize)
{
  return 1 + aSize.promptTokens * kPrefillCost + aSize.outputTokens;
}

} // namespace magnoliatide::policy
