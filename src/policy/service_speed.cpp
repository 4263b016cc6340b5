// Implementation of the speed estimates.
#include "magnoliatide/policy/service_speed.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Interference from other requests only ever makes samples longer, so faster
/// samples get a larger weight than slower ones.
constexpr double kFasterSampleWeight = 0.4;
constexpr double kSlowerSampleWeight = 0.12;

/// A sample of a stream is clamped to at most kMaxStepRatio times, and at least
/// 1 / kMaxStepRatio of, the current factor. All samples are clamped to the
/// range from kMinFactor to kMaxFactor.
constexpr double kMaxStepRatio = 4;
constexpr double kMinFactor = 0.05;
constexpr double kMaxFactor = 50;

/// Samples with fewer tokens carry too little information.
constexpr double kMinOutputTokens = 4;
constexpr double kMinPrefillTokens = 100;

/// Each new sample multiplies the weight of older ones by kSampleDecay. Below
/// kMinFitWeight there are too few samples to fit a line, and only the mean
/// time per token is used.
constexpr double kSampleDecay = 0.98;
constexpr double kMinFitWeight = 4;

/// Defaults in seconds, used until a sample is available.
constexpr double kDefaultSecondsPerOutputToken = 0.005;
constexpr double kDefaultPlainCallSeconds = 0.03;

/// Weight of a plain sample in the moving average, see UpdatePlainFactor.
constexpr double kMinPlainSampleWeight = 0.03;
constexpr double kMinPlainCallSeconds = 1e-4;

} // namespace

void
ServiceSpeed::Learn(ServerSpeed& aServer, const SpeedSample& aSample)
{
  const double first = ToSeconds(aSample.toFirst);
  if (aSample.plain) {
    // The service-wide time is fixed by the first sample. If it were updated
    // from the samples that also update the factors, both would drift.
    if (mPlainCallSeconds <= 0) {
      mPlainCallSeconds = std::max(first, kMinPlainCallSeconds);
    }
    UpdatePlainFactor(aServer, first / mPlainCallSeconds);
    return;
  }
  if (aSample.outputTokens >= kMinOutputTokens) {
    const double perToken = ToSeconds(aSample.output) / aSample.outputTokens;
    if (mSecondsPerOutputToken <= 0) {
      mSecondsPerOutputToken = std::max(perToken, 1e-5);
    }
    UpdateStreamFactor(aServer, perToken / mSecondsPerOutputToken);
  }
  if (aSample.prefillTokens >= kMinPrefillTokens && aServer.samples > 0) {
    FitPrefill(aSample.prefillTokens, first / aServer.factor);
  }
}

void
ServiceSpeed::UpdateStreamFactor(ServerSpeed& aServer, double aRatio)
{
  const double ratio = std::clamp(aRatio, kMinFactor, kMaxFactor);
  if (aServer.samples == 0) {
    aServer.factor = ratio;
  } else {
    const double weight =
      ratio < aServer.factor ? kFasterSampleWeight : kSlowerSampleWeight;
    const double bounded = std::clamp(
      ratio, aServer.factor / kMaxStepRatio, aServer.factor * kMaxStepRatio);
    aServer.factor += weight * (bounded - aServer.factor);
  }
  aServer.samples += 1;
}

/// The times of plain calls vary even without interference, so the factor
/// follows their mean: of all samples at first, then a moving average.
void
ServiceSpeed::UpdatePlainFactor(ServerSpeed& aServer, double aRatio)
{
  const double ratio = std::clamp(aRatio, kMinFactor, kMaxFactor);
  aServer.samples += 1;
  const double weight = std::max(kMinPlainSampleWeight, 1.0 / aServer.samples);
  aServer.factor += weight * (ratio - aServer.factor);
}

void
ServiceSpeed::FitPrefill(double aTokens, double aSeconds)
{
  const double predicted = mBaseSeconds + mSecondsPerPrefillToken * aTokens;
  // Limits outliers, which reflect interference from other requests and not
  // the server's own speed.
  const double seconds =
    mSumWeights > kMinFitWeight ? std::min(aSeconds, predicted * 2) : aSeconds;
  mSumWeights = mSumWeights * kSampleDecay + 1;
  mSumTokens = mSumTokens * kSampleDecay + aTokens;
  mSumSeconds = mSumSeconds * kSampleDecay + seconds;
  mSumTokensSquared = mSumTokensSquared * kSampleDecay + aTokens * aTokens;
  mSumTokensSeconds = mSumTokensSeconds * kSampleDecay + aTokens * seconds;
  if (mSumWeights < kMinFitWeight) {
    mSecondsPerPrefillToken = mSumSeconds / std::max(mSumTokens, 1.0);
    mBaseSeconds = 0;
    return;
  }
  const double determinant =
    mSumWeights * mSumTokensSquared - mSumTokens * mSumTokens;
  if (determinant <= 1) {
    return;
  }
  const double slope =
    (mSumWeights * mSumTokensSeconds - mSumTokens * mSumSeconds) / determinant;
  mSecondsPerPrefillToken = std::max(slope, 1e-7);
  mBaseSeconds = std::max(
    0.0, (mSumSeconds - mSecondsPerPrefillToken * mSumTokens) / mSumWeights);
}

void
ServiceSpeed::UpdateMedianFactor(const std::vector<ServerSpeed>& aServers)
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
  mMedianFactor = *middle;
}

double
ServiceSpeed::OutputSeconds(double aTokens) const
{
  return (mSecondsPerOutputToken > 0 ? mSecondsPerOutputToken
                                     : kDefaultSecondsPerOutputToken) *
         aTokens;
}

double
ServiceSpeed::PlainCallSeconds() const
{
  return mPlainCallSeconds > 0 ? mPlainCallSeconds : kDefaultPlainCallSeconds;
}

} // namespace magnoliatide::policy
