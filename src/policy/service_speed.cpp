// Learning of speeds.
#include "magnoliatide/policy/service_speed.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Interference by other requests makes samples longer, never shorter: a
/// factor follows short samples sooner than long ones.
constexpr double kFollowDown = 0.4;
constexpr double kFollowUp = 0.12;

/// Bounds of one sample's part in a change of factor.
constexpr double kMostStep = 4;
constexpr double kLeastFactor = 0.05;
constexpr double kMostFactor = 50;

/// Least size of a sample that tells something.
constexpr double kLeastOutputTokens = 4;
constexpr double kLeastPrefillTokens = 100;

/// By how much older samples count less with each new one.
constexpr double kForget = 0.98;
constexpr double kLeastWeight = 4;

/// Assumed before anything was measured, in seconds.
constexpr double kFirstTokenSeconds = 0.005;
constexpr double kFirstPlainSeconds = 0.03;

constexpr double kPlainFollow = 0.03;
constexpr double kLeastPlainSeconds = 1e-4;

} // namespace

void
ServiceSpeed::Learn(ServerSpeed& aServer, const SpeedSample& aSample)
{
  const double first = ToSeconds(aSample.toFirst);
  if (aSample.plain) {
    // The unit stays what it was first: learned from the same samples as the
    // factors, it would drift with them.
    if (mPlainSeconds <= 0) {
      mPlainSeconds = std::max(first, kLeastPlainSeconds);
    }
    LearnMean(aServer, first / mPlainSeconds);
    return;
  }
  if (aSample.outputTokens >= kLeastOutputTokens) {
    const double each = ToSeconds(aSample.output) / aSample.outputTokens;
    if (mTokenSeconds <= 0) {
      mTokenSeconds = std::max(each, 1e-5);
    }
    LearnFactor(aServer, each / mTokenSeconds);
  }
  if (aSample.prefillTokens >= kLeastPrefillTokens && aServer.samples > 0) {
    LearnFirst(aSample.prefillTokens, first / aServer.factor);
  }
}

void
ServiceSpeed::LearnFactor(ServerSpeed& aServer, double aRatio)
{
  const double ratio = std::clamp(aRatio, kLeastFactor, kMostFactor);
  if (aServer.samples == 0) {
    aServer.factor = ratio;
  } else {
    const double follow = ratio < aServer.factor ? kFollowDown : kFollowUp;
    const double bounded =
      std::clamp(ratio, aServer.factor / kMostStep, aServer.factor * kMostStep);
    aServer.factor += follow * (bounded - aServer.factor);
  }
  aServer.samples += 1;
}

/// Calls take different times by themselves: a factor follows their mean, over
/// all samples at first.
void
ServiceSpeed::LearnMean(ServerSpeed& aServer, double aRatio)
{
  const double ratio = std::clamp(aRatio, kLeastFactor, kMostFactor);
  aServer.samples += 1;
  const double follow = std::max(kPlainFollow, 1.0 / aServer.samples);
  aServer.factor += follow * (ratio - aServer.factor);
}

void
ServiceSpeed::LearnFirst(double aTokens, double aSeconds)
{
  const double predicted = mBaseSeconds + mSecondsPerPrefillToken * aTokens;
  // A time that other work made long tells nothing of the server's own speed.
  const double seconds =
    mWeight > kLeastWeight ? std::min(aSeconds, predicted * 2) : aSeconds;
  mWeight = mWeight * kForget + 1;
  mTokens = mTokens * kForget + aTokens;
  mSeconds = mSeconds * kForget + seconds;
  mTokensSquared = mTokensSquared * kForget + aTokens * aTokens;
  mTokensSeconds = mTokensSeconds * kForget + aTokens * seconds;
  if (mWeight < kLeastWeight) {
    mSecondsPerPrefillToken = mSeconds / std::max(mTokens, 1.0);
    mBaseSeconds = 0;
    return;
  }
  const double spread = mWeight * mTokensSquared - mTokens * mTokens;
  if (spread <= 1) {
    return;
  }
  const double slope = (mWeight * mTokensSeconds - mTokens * mSeconds) / spread;
  mSecondsPerPrefillToken = std::max(slope, 1e-7);
  mBaseSeconds =
    std::max(0.0, (mSeconds - mSecondsPerPrefillToken * mTokens) / mWeight);
}

void
ServiceSpeed::SetTypical(const std::vector<ServerSpeed>& aServers)
{
  std::vector<double> factors;
  for (const auto& server : aServers) {
    if (server.samples > 0) {
      factors.push_back(server.factor);
    }
  }
  if (factors.empty()) {
    return;
  }
  const auto middle =
    factors.begin() + static_cast<std::ptrdiff_t>(factors.size() / 2);
  std::nth_element(factors.begin(), middle, factors.end());
  mTypical = *middle;
}

double
ServiceSpeed::Output(double aTokens) const
{
  return (mTokenSeconds > 0 ? mTokenSeconds : kFirstTokenSeconds) * aTokens;
}

double
ServiceSpeed::Plain() const
{
  return mPlainSeconds > 0 ? mPlainSeconds : kFirstPlainSeconds;
}

} // namespace magnoliatide::policy
