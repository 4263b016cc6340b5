// Exponential smoothing and decay of the wait factors.
#include "magnoliatide/policy/wait_bias.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy {

namespace {

/// Shorter expected waits are ignored: their relative error carries no
/// information.
constexpr Duration kMinExpectedWait = Milliseconds(20);

/// Weight of the newest wait in the logarithm of the factor.
constexpr double kSampleWeight = 0.1;

/// Bounds of the ratio of a single wait, and so of the factor.
constexpr double kMinFactor = 0.7;
constexpr double kMaxFactor = 6;

/// Time in which a factor decays to its square root. Without decay, a factor
/// that causes all requests to be refused would never be corrected.
constexpr double kHalfLifeSeconds = 2;

/// Above this number of classes, those not updated for kEntryLifetime are
/// removed, as their factors have decayed to about 1.
constexpr std::size_t kMaxEntries = 1024;
constexpr Duration kEntryLifetime = Seconds(20);

} // namespace

void
WaitBias::Record(const WaitClass& aClass,
                 Duration aExpectedWait,
                 Duration aActualWait,
                 bool aServed,
                 TimePoint aNow)
{
  if (aExpectedWait < kMinExpectedWait) {
    return;
  }
  const double ratio = std::clamp(
    ToSeconds(aActualWait) / ToSeconds(aExpectedWait), kMinFactor, kMaxFactor);
  const double before = std::log(Factor(aClass, aNow));
  const double sample = std::log(ratio);
  auto& entry = mEntries[aClass];
  const bool informative = aServed || sample > before;
  entry.logFactor =
    informative ? before + kSampleWeight * (sample - before) : before;
  entry.at = aNow;
  if (mEntries.size() > kMaxEntries) {
    std::erase_if(mEntries, [&](const auto& aEntry) {
      return aNow - aEntry.second.at > kEntryLifetime;
    });
  }
}

double
WaitBias::Factor(const WaitClass& aClass, TimePoint aNow) const
{
  const auto found = mEntries.find(aClass);
  if (found == mEntries.end()) {
    return 1;
  }
  const double age = ToSeconds(aNow - found->second.at);
  return std::exp(found->second.logFactor * std::exp2(-age / kHalfLifeSeconds));
}

} // namespace magnoliatide::policy
