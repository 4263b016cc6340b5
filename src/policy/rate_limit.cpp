// Implements the rate limit with one leaky bucket per window.
#include "magnoliatide/policy/rate_limit.h"

#include <algorithm>

namespace magnoliatide::policy {

RateLimiter::RateLimiter(const std::vector<RateWindow>& aWindows)
{
  for (const auto& window : aWindows) {
    mBuckets.push_back({ window, 0 });
  }
}

double
RateLimiter::LevelAt(const Bucket& aBucket, TimePoint aNow) const
{
  const double age = ToSeconds(aNow - mUpdated);
  const double leak =
    age * aBucket.window.requests / ToSeconds(aBucket.window.length);
  return std::max(0.0, aBucket.level - leak);
}

Duration
RateLimiter::Admit(TimePoint aNow)
{
  double wait = 0;
  for (const auto& bucket : mBuckets) {
    const double limit = std::max(1.0, bucket.window.requests);
    const double excess = LevelAt(bucket, aNow) + 1 - limit;
    const double rate =
      bucket.window.requests / ToSeconds(bucket.window.length);
    wait = std::max(wait, excess > 1e-9 ? excess / rate : 0.0);
  }
  if (wait > 0) {
    // At least 1 ms, as zero would mean that the request is admitted.
    return std::max(FromSeconds(wait), Duration(Milliseconds(1)));
  }
  for (auto& bucket : mBuckets) {
    bucket.level = LevelAt(bucket, aNow) + 1;
  }
  mUpdated = aNow;
  return Duration::zero();
}

bool
RateLimiter::Idle(TimePoint aNow) const
{
  return std::all_of(mBuckets.begin(), mBuckets.end(), [&](const auto& aB) {
    return LevelAt(aB, aNow) <= 0;
  });
}

} // namespace magnoliatide::policy
