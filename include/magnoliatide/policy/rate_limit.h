// Request rate limit of one team at one VM, over several windows at once.
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
  double requests = 0; ///< Maximum number of requests in the window.
  Duration length{};
};

/// Admits a request only if no window is at its limit, and counts it in all
/// windows or in none. Each window is a leaky bucket, so that up to twice its
/// maximum can be admitted in a period of its length.
class RateLimiter
{
public:
  explicit RateLimiter(const std::vector<RateWindow>& aWindows);

  /// Counts the request and returns zero, or returns the time until one can be
  /// admitted.
  Duration Admit(TimePoint aNow);

  /// Returns whether all windows are empty, so that the limiter can be
  /// discarded.
  bool Idle(TimePoint aNow) const;

private:
  struct Bucket
  {
    RateWindow window;
    double level = 0; ///< Requests that had not leaked out at mUpdated.
  };

  double LevelAt(const Bucket& aBucket, TimePoint aNow) const;

  std::vector<Bucket> mBuckets;
  TimePoint mUpdated{};
};

} // namespace magnoliatide::policy

#endif
