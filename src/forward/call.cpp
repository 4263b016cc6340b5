// Names and properties of refusal kinds.
#include "magnoliatide/forward/call.h"

namespace magnoliatide::forward {

const char*
Name(RefusalKind aKind)
{
  switch (aKind) {
    case RefusalKind::kNoConfiguration:
      return "no-configuration";
    case RefusalKind::kMalformed:
      return "malformed";
    case RefusalKind::kNoRoute:
      return "no-route";
    case RefusalKind::kUnauthenticated:
      return "unauthenticated";
    case RefusalKind::kOverQuota:
      return "over-quota";
    case RefusalKind::kNoServer:
      return "no-server";
    case RefusalKind::kOverloaded:
      return "overloaded";
    case RefusalKind::kExpired:
      return "expired";
    case RefusalKind::kHarmful:
      return "harmful";
    case RefusalKind::kStopping:
      return "stopping";
    case RefusalKind::kNotAServer:
      return "not-a-server";
    case RefusalKind::kLost:
      return "lost";
    case RefusalKind::kTimedOut:
      return "timed-out";
  }
  return "unknown";
}

bool
IsNotRun(RefusalKind aKind)
{
  return aKind != RefusalKind::kLost && aKind != RefusalKind::kTimedOut;
}

} // namespace magnoliatide::forward
