// Forecasts of response times, of slots that become free and of the capacity of
// a service's servers.
#include "magnoliatide/policy/server_pool.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy {

namespace {

/// Prompt tokens that an engine prefills between two output tokens of its other
/// requests.
constexpr double kPrefillChunkTokens = 2048;

/// Output tokens per event, which bounds the prefill chunks that can delay one
/// event of a stream.
constexpr double kTokensPerEvent = 4;

/// Fraction of the time until the target that a forecast may use. The rest is a
/// margin for forecast errors.
constexpr double kTargetFraction = 0.85;

/// Added to a server's score for each of its streams that would be delayed.
constexpr double kDelayedStreamPenaltySeconds = 0.5;

/// Weight of the total response time in a server's score. The time to the first
/// event has weight 1.
constexpr double kTotalTimeWeight = 0.5;

/// Added to the score of a server in another zone, in addition to the network
/// delay.
constexpr double kCrossZonePenaltySeconds = 0.01;

/// Added to the score of a cold server: its requests are lost if it crashes.
constexpr double kColdPenaltySeconds = 0.2;

/// Added to the score of a server that would miss the target, so that any
/// server that meets it is preferred.
constexpr double kLatePenaltySeconds = 100;

/// Lower bound of a running request's expected remaining time, as a fraction of
/// its expected total time. Applies also to requests that run longer than
/// expected.
constexpr double kMinRemainingFraction = 0.125;

/// Maximum number of expected slot releases considered for waiting requests.
constexpr std::size_t kMaxReleases = 64;

/// How long expected slot releases are cached.
constexpr Duration kMaxReleasesAge = Milliseconds(10);

/// How long the total capacity is cached.
constexpr Duration kMaxCapacityAge = Milliseconds(50);

} // namespace

Forecast
ServerPool::Predict(PoolServer& aServer,
                    const Job& aJob,
                    const std::string& aZone,
                    TimePoint aNow) const
{
  Forecast forecast;
  forecast.server = &aServer;
  forecast.probe = HealthSeenFrom(aServer, aZone, aNow) == HealthState::kProbe;
  forecast.cold = aServer.warmup.IsCold(aNow);
  const double factor = mSpeed.FactorOf(aServer.speed);
  const double seconds = aJob.stream
                           ? mSpeed.FirstEventSeconds(
                               aServer.pendingPrefillTokens + aJob.promptTokens)
                           : mSpeed.PlainCallSeconds();
  forecast.toFirst =
    NetworkDelay(aServer, aZone) + FromSeconds(factor * seconds);
  const double secondsToTarget = ToSeconds(aJob.arrival + aJob.target - aNow);
  forecast.inTime =
    ToSeconds(forecast.toFirst) <= kTargetFraction * secondsToTarget;
  return forecast;
}

/// Returns the score of a server for a request, in seconds. The lowest is best.
double
ServerPool::ScoreOf(const Forecast& aForecast,
                    const Job& aJob,
                    const std::string& aZone) const
{
  const auto& server = *aForecast.server;
  const double first = ToSeconds(aForecast.toFirst);
  const double output = aJob.stream ? mSpeed.FactorOf(server.speed) *
                                        mSpeed.OutputSeconds(aJob.outputTokens)
                                    : 0;
  double score = first + kTotalTimeWeight * (first + output) +
                 kDelayedStreamPenaltySeconds * DelayedStreams(server, aJob);
  if (server.descriptor.zone != aZone) {
    score += kCrossZonePenaltySeconds;
  }
  if (aForecast.cold) {
    score += kColdPenaltySeconds;
  }
  return aForecast.inTime ? score : score + kLatePenaltySeconds;
}

/// Returns how many streams at a server would exceed their maximum gap during
/// the prefill of a request. Each token of a stream waits for one chunk of the
/// prompt.
double
ServerPool::DelayedStreams(const PoolServer& aServer, const Job& aJob) const
{
  if (!aJob.stream) {
    return 0;
  }
  const double chunk = std::min(aJob.promptTokens, kPrefillChunkTokens);
  const double chunks = std::clamp(
    std::ceil(aJob.promptTokens / kPrefillChunkTokens), 1.0, kTokensPerEvent);
  const double gap =
    mSpeed.FactorOf(aServer.speed) * mSpeed.PrefillSeconds(chunk) * chunks;
  double delayed = 0;
  for (const auto* other : aServer.running) {
    const double maxGap = ToSeconds(other->job.gapTarget);
    delayed += other->firstEventSeen && maxGap > 0 && gap > maxGap ? 1 : 0;
  }
  return delayed;
}

Duration
ServerPool::TimeToFirstAfter(const SlotRelease& aRelease,
                             const Job& aJob,
                             const std::string& aZone) const
{
  const auto& server = *aRelease.server;
  const double seconds = aJob.stream
                           ? mSpeed.FirstEventSeconds(
                               server.pendingPrefillTokens + aJob.promptTokens)
                           : mSpeed.PlainCallSeconds();
  return aRelease.time + NetworkDelay(server, aZone) +
         FromSeconds(mSpeed.FactorOf(server.speed) * seconds);
}

const std::vector<SlotRelease>&
ServerPool::ExpectedReleases(TimePoint aNow)
{
  if (mReleasesAt != TimePoint{} && aNow - mReleasesAt < kMaxReleasesAge) {
    return mReleases;
  }
  mReleasesAt = aNow;
  auto& releases = mReleases;
  releases.clear();
  releases.reserve(mRunning.size());
  for (const auto& [key, running] : mRunning) {
    auto& server = *running.server;
    if (!server.descriptor.AcceptsRequests() || server.rateLimit.IsActive() ||
        server.warmup.IsLimited(aNow)) {
      continue;
    }
    const double total = mSpeed.FactorOf(server.speed) * WorkOf(running.job);
    const double remaining = total - ToSeconds(aNow - running.sent);
    releases.push_back(
      { FromSeconds(std::max(remaining, total * kMinRemainingFraction)),
        &server });
  }
  const auto kept = std::min(releases.size(), kMaxReleases);
  std::partial_sort(
    releases.begin(),
    releases.begin() + static_cast<std::ptrdiff_t>(kept),
    releases.end(),
    [](const auto& aL, const auto& aR) { return aL.time < aR.time; });
  releases.resize(kept);
  return releases;
}

Duration
ServerPool::MedianTimeToFirst(const Job& aJob) const
{
  const double seconds = aJob.stream
                           ? mSpeed.FirstEventSeconds(aJob.promptTokens)
                           : mSpeed.PlainCallSeconds();
  return FromSeconds(mSpeed.MedianFactor() * seconds);
}

double
ServerPool::WorkOf(const Job& aJob) const
{
  if (!aJob.stream) {
    return mSpeed.PlainCallSeconds();
  }
  return mSpeed.FirstEventSeconds(aJob.promptTokens) +
         mSpeed.OutputSeconds(aJob.outputTokens);
}

double
ServerPool::Capacity(const std::string& aZone, TimePoint aNow)
{
  constexpr double kMinCapacity = 0.01; // Waits are divided by the capacity.
  const auto cached = mCapacities.find(aZone);
  if (cached != mCapacities.end() &&
      aNow - cached->second.at < kMaxCapacityAge) {
    return cached->second.capacity;
  }
  double healthy = 0;
  double present = 0;
  for (const auto& [id, server] : mServers) {
    if (!server->descriptor.AcceptsRequests()) {
      continue;
    }
    double capacity = SlotsOf(*server) / mSpeed.FactorOf(server->speed);
    for (const auto rate :
         { server->rateLimit.Rate(), server->warmup.Rate(aNow) }) {
      capacity = rate ? std::min(capacity, *rate * mMeanWork) : capacity;
    }
    present += capacity;
    if (HealthSeenFrom(*server, aZone, aNow) == HealthState::kGood) {
      healthy += capacity;
    }
  }
  // Servers that are all down mostly pause or are cut off together, for a short
  // time. A wait computed from no capacity would refuse whatever waits for
  // them.
  const double capacity =
    std::max(healthy > 0 ? healthy : present, kMinCapacity);
  mCapacities[aZone] = { capacity, aNow };
  return capacity;
}

} // namespace magnoliatide::policy
