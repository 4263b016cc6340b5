// Names and costs of work.
#include "magnoliatide/policy/work.h"

namespace magnoliatide::policy {

namespace {

/// Time to prefill one prompt token over time to generate one token.
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
CostOf(const WorkSize& aSize)
{
  return 1 + aSize.promptTokens * kPrefillCost + aSize.outputTokens;
}

} // namespace magnoliatide::policy
