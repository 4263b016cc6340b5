// Limits the rate of log lines for each event by a token bucket. Suppressed
// lines are counted, and the next line written reports their number.
#ifndef MAGNOLIATIDE_TELEMETRY_LOG_RATE_LIMITER_H
#define MAGNOLIATIDE_TELEMETRY_LOG_RATE_LIMITER_H

#include "magnoliatide/core/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace magnoliatide::telemetry {

/// Limits for each event.
struct LogRateLimits
{
  double linesPerSecond = 300;
  double burstLines = 600;
};

/// A token bucket for each event. Not safe to use from several threads.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(LogRateLimits aLimits = {})
    : mLimits(aLimits)
  {
  }

  /// Whether to write a line.
  struct Decision
  {
    bool write = false;
    /// Lines of this event suppressed since the last one that was written.
    std::uint64_t suppressed = 0;
  };

  /// Takes a token for a line of an event, if one is left.
  Decision Acquire(std::string_view aEvent, TimePoint aNow)
  {
    auto found = mBuckets.find(aEvent);
    if (found == mBuckets.end()) {
      found =
        mBuckets.emplace(aEvent, Bucket{ mLimits.burstLines, aNow, 0 }).first;
    }
    auto& bucket = found->second;
    bucket.tokens =
      std::min(mLimits.burstLines,
               bucket.tokens +
                 ToSeconds(aNow - bucket.refilledAt) * mLimits.linesPerSecond);
    bucket.refilledAt = aNow;
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      return {};
    }
    bucket.tokens -= 1;
    const auto suppressed = bucket.suppressed;
    bucket.suppressed = 0;
    return { true, suppressed };
  }

private:
  struct Bucket
  {
    double tokens = 0; ///< Lines that may be written now, up to burstLines.
    TimePoint refilledAt;
    std::uint64_t suppressed = 0;
  };

  LogRateLimits mLimits;
  std::map<std::string, Bucket, std::less<>> mBuckets;
};

} // namespace magnoliatide::telemetry

#endif
