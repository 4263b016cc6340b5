// Limits of one team at one VM: requests in progress, and rates over several
// windows at once.
#ifndef MAGNOLIATIDE_POLICY_RATE_LIMIT_H
#define MAGNOLIATIDE_POLICY_RATE_LIMIT_H

#include "magnoliatide/core/time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliatide::policy {

/// One window of a rate limit.
struct RateWindow
{
  double requests = 0; ///< Most requests in the window.
  Duration length{};
};

/// Admits a request only if every window has room, and counts it in all of
/// them or in none.
class RateLimiter
{
public:
  explicit RateLimiter(const std::vector<RateWindow>& aWindows);

  /// Returns zero and counts the request, or the time until there is room.
  Duration Admit(TimePoint aNow);

  /// Returns whether nothing is remembered of the past.
  bool Idle(TimePoint aNow) const;

private:
  struct Bucket
  {
    RateWindow window;
    double level = 0; ///< Requests counted and not yet leaked, at mUpdated.
  };

  double LevelAt(const Bucket& aBucket, TimePoint aNow) const;

  std::vector<Bucket> mBuckets;
  TimePoint mUpdated{};
};

} // namespace magnoliatide::policy

#endif
