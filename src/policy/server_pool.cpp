// Load tracking, response time forecasts and server selection.
#include "magnoliatide/policy/server_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

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

/// Added to the score of a server that would miss the target, so that any
/// server that meets it is preferred.
constexpr double kLatePenaltySeconds = 100;

/// Lower bound of a running request's expected remaining time, as a fraction of
/// its expected total time. Applies also to requests that run longer than
/// expected.
constexpr double kMinRemainingFraction = 0.125;

/// A zone counts as unreachable once this many of its servers leave connections
/// unanswered.
constexpr std::size_t kMinUnansweredServers = 2;

/// Maximum number of expected slot releases considered for waiting requests.
constexpr std::size_t kMaxReleases = 64;

/// How long expected slot releases are cached.
constexpr Duration kMaxReleasesAge = Milliseconds(10);

/// How long the total capacity is cached.
constexpr Duration kMaxCapacityAge = Milliseconds(50);

/// Decay of the overhead sums with each completed request.
constexpr double kOverheadDecay = 0.98;

/// The in-transit ratio is rounded to a multiple of 1 / kInTransitSteps.
constexpr double kInTransitSteps = 8;

/// Weight of the newest result in the failure rate of a kind.
constexpr double kFailureSampleWeight = 0.05;

/// Weight of the newest request in the mean work.
constexpr double kWorkSampleWeight = 0.02;

constexpr int kSamplesPerMedianUpdate = 8;

bool
Contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

} // namespace

void
ServerPool::SetServer(const routing::Server& aServer)
{
  auto& entry = mServers[aServer.id];
  if (!entry) {
    entry = std::make_unique<PoolServer>();
  } else if (entry->descriptor.started != aServer.started) {
    entry->healthByZone.clear();
    entry->speed = ServerSpeed();
    entry->rateLimit = ServerRateLimit();
    entry->backoff = ServerBackoff();
  }
  entry->rateLimit.SetShare(mRateLimitShare);
  entry->descriptor = aServer;
  mCapacities.clear();
  UpdateOpenList(*entry);
}

/// Adds a server to the open list or removes it, depending on whether it
/// accepts requests and on its load.
void
ServerPool::UpdateOpenList(PoolServer& aServer)
{
  const int limit = SlotsOf(aServer) + InTransitOf(aServer) + kMaxQueueDepth;
  const bool open = !aServer.descriptor.leaving &&
                    static_cast<int>(aServer.running.size()) < limit;
  if (open && !aServer.inOpenList) {
    aServer.inOpenList = true;
    mOpenServers.push_back(&aServer);
  } else if (!open) {
    RemoveFromOpenList(aServer);
  }
}

void
ServerPool::RemoveFromOpenList(PoolServer& aServer)
{
  if (aServer.inOpenList) {
    aServer.inOpenList = false;
    std::erase(mOpenServers, &aServer);
  }
}

void
ServerPool::SetShare(double aShare)
{
  if (aShare == mShare) {
    return;
  }
  mShare = aShare;
  mCapacities.clear();
  for (auto& [id, server] : mServers) {
    UpdateOpenList(*server);
  }
}

void
ServerPool::SetRateLimitShare(double aShare)
{
  if (aShare == mRateLimitShare) {
    return;
  }
  mRateLimitShare = aShare;
  mCapacities.clear();
  for (auto& [id, server] : mServers) {
    server->rateLimit.SetShare(aShare);
  }
}

void
ServerPool::MergeRateLimit(const RateLimitNotice& aNotice, TimePoint aNow)
{
  auto* server = Find(aNotice.server);
  if (server != nullptr && server->descriptor.started == aNotice.started) {
    server->rateLimit.Merge(aNotice, aNow);
  }
}

void
ServerPool::MergeBackoff(const BackoffNotice& aNotice, TimePoint aNow)
{
  auto* server = Find(aNotice.server);
  if (server != nullptr && server->descriptor.started == aNotice.started) {
    server->backoff.Merge(aNotice, aNow);
    std::erase_if(mHeldBackUntil,
                  [&](const auto& aEntry) { return aEntry.second <= aNow; });
    auto& until = mHeldBackUntil[aNotice.vm];
    until = std::max(until, aNotice.until);
  }
}

bool
ServerPool::HoldsBack(std::uint64_t aVm, TimePoint aNow) const
{
  const auto found = mHeldBackUntil.find(aVm);
  return found != mHeldBackUntil.end() && found->second > aNow;
}

std::optional<TimePoint>
ServerPool::BackoffEnd(const Job& aJob,
                       const std::string& aZone,
                       TimePoint aNow) const
{
  std::optional<TimePoint> first;
  for (const auto& [id, server] : mServers) {
    if (!IsUsable(*server, aJob, aZone, aNow)) {
      continue;
    }
    const auto end = server->backoff.EndFor(aJob.vm, aNow);
    if (end <= aNow) {
      return std::nullopt;
    }
    first = first ? std::min(*first, end) : end;
  }
  return first;
}

void
ServerPool::RemoveMissing(const routing::Roster& aRoster)
{
  mReleasesAt = TimePoint{};
  for (auto at = mServers.begin(); at != mServers.end();) {
    const bool missing = aRoster.count(at->first) == 0;
    if (missing) {
      at->second->descriptor.leaving = true;
      RemoveFromOpenList(*at->second);
    }
    if (missing && at->second->running.empty()) {
      at = mServers.erase(at);
      continue;
    }
    ++at;
  }
}

PoolServer*
ServerPool::Find(const std::string& aId)
{
  const auto found = mServers.find(aId);
  return found == mServers.end() ? nullptr : found->second.get();
}

RunningJob&
ServerPool::Start(PoolServer& aServer, RunningJob aRunning)
{
  aRunning.server = &aServer;
  aRunning.serverStarted = aServer.descriptor.started;
  aRunning.prefillTokens =
    aServer.pendingPrefillTokens + aRunning.job.promptTokens;
  aServer.rateLimit.RecordSend(aRunning.sent);
  const double work = WorkOf(aRunning.job);
  mMeanWork =
    mMeanWork > 0 ? mMeanWork + kWorkSampleWeight * (work - mMeanWork) : work;
  const auto key = aRunning.key;
  auto& running = mRunning[key] = std::move(aRunning);
  if (!running.firstEventSeen) {
    aServer.pendingPrefillTokens += running.job.promptTokens;
  }
  aServer.running.push_back(&running);
  UpdateOpenList(aServer);
  return running;
}

RunningJob*
ServerPool::FindRunning(const JobKey& aKey)
{
  const auto found = mRunning.find(aKey);
  return found == mRunning.end() ? nullptr : &found->second;
}

void
ServerPool::RecordFirstEvent(RunningJob& aRunning)
{
  if (!aRunning.firstEventSeen) {
    aRunning.firstEventSeen = true;
    aRunning.server->pendingPrefillTokens -= aRunning.job.promptTokens;
  }
}

void
ServerPool::End(const JobKey& aKey)
{
  const auto found = mRunning.find(aKey);
  if (found == mRunning.end()) {
    return;
  }
  RecordFirstEvent(found->second);
  auto& server = *found->second.server;
  std::erase(server.running, &found->second);
  mRunning.erase(found);
  UpdateOpenList(server);
}

std::vector<JobKey>
ServerPool::RunningJobsOf(std::uint64_t aVm, TimePoint aBefore) const
{
  std::vector<JobKey> keys;
  for (auto at = mRunning.lower_bound({ aVm, 0 });
       at != mRunning.end() && at->first.vm == aVm;
       ++at) {
    if (at->second.sent < aBefore) {
      keys.push_back(at->first);
    }
  }
  return keys;
}

void
ServerPool::Learn(const RunningJob& aRunning,
                  const SendReport& aReport,
                  TimePoint aNow)
{
  const auto& job = aRunning.job;
  auto& failureRate = mFailureRates[job.kind];
  const auto result = aReport.result;
  aRunning.server->healthByZone[aRunning.zone].Record(
    result, failureRate, aNow);
  UpdateReachability(aRunning, result, aNow);
  if (result == SendResult::kFull) {
    aRunning.server->backoff.RecordFull(aNow);
  }
  if (result == SendResult::kWhole || result == SendResult::kFailed) {
    aRunning.server->backoff.RecordAccepted();
    const double failed = result == SendResult::kFailed ? 1 : 0;
    failureRate += kFailureSampleWeight * (failed - failureRate);
  }
  if (result != SendResult::kWhole) {
    return;
  }
  SpeedSample sample;
  sample.plain = !job.stream;
  sample.prefillTokens = aRunning.prefillTokens;
  sample.toFirst = std::max<Duration>(
    aReport.toFirstEvent - NetworkDelay(*aRunning.server, aRunning.zone),
    Duration::zero());
  sample.outputTokens = aReport.laterTokens;
  sample.output = aReport.toEnd - aReport.toFirstEvent;
  mSpeed.Learn(aRunning.server->speed, sample);
  UpdateMedianSpeed();
}

void
ServerPool::RecordSilence(const RunningJob& aRunning, TimePoint aNow)
{
  aRunning.server->healthByZone[aRunning.zone].RecordSilence(
    mFailureRates[aRunning.job.kind], aNow);
  UpdateReachability(aRunning, SendResult::kSilent, aNow);
}

void
ServerPool::RecordSilenceEnd(const RunningJob& aRunning, TimePoint aNow)
{
  const auto& server = *aRunning.server;
  aRunning.server->healthByZone[aRunning.zone].RecordSilenceEnd();
  const auto fromZone = mReachability.find(aRunning.zone);
  if (fromZone == mReachability.end()) {
    return;
  }
  const auto found = fromZone->second.find(server.descriptor.zone);
  if (found != fromZone->second.end() &&
      found->second.unanswered.erase(server.descriptor.id) > 0) {
    found->second.health.Record(SendResult::kWhole, 0, aNow);
  }
}

void
ServerPool::LearnOverhead(const RunningJob& aRunning,
                          const SendReport& aReport,
                          TimePoint aNow)
{
  const Duration counted = aNow - aRunning.sent;
  const Duration busy =
    aReport.toEnd - NetworkDelay(*aRunning.server, aRunning.zone);
  if (busy <= Duration::zero() || counted <= busy) {
    return;
  }
  // Bounds the overhead of a single request: a delay caused by a lost message
  // says nothing about other requests.
  const Duration overhead = std::min(counted - busy, busy);
  mBusySeconds = mBusySeconds * kOverheadDecay + ToSeconds(busy);
  mOverheadSeconds = mOverheadSeconds * kOverheadDecay + ToSeconds(overhead);
  const double steps =
    std::round(mOverheadSeconds / mBusySeconds * kInTransitSteps);
  const double inTransitRatio = steps / kInTransitSteps;
  if (inTransitRatio != mInTransitRatio) {
    mInTransitRatio = inTransitRatio;
    for (auto& [id, server] : mServers) {
      UpdateOpenList(*server);
    }
  }
}

/// Returns the expected number of running requests in transit to or from a
/// server while all its slots are busy. Rounds down: one request too many would
/// wait for a slot of a server that is busy with long requests.
int
ServerPool::InTransitOf(const PoolServer& aServer) const
{
  return static_cast<int>(SlotsOf(aServer) * mInTransitRatio);
}

/// Updates the reachability of a server's zone. If several servers of a zone
/// leave connections unanswered, the zone counts as unreachable, regardless of
/// the health of its servers.
void
ServerPool::UpdateReachability(const RunningJob& aRunning,
                               SendResult aResult,
                               TimePoint aNow)
{
  const auto& zone = aRunning.server->descriptor.zone;
  if (zone == aRunning.zone) {
    return;
  }
  auto& reachability = mReachability[aRunning.zone][zone];
  if (aResult == SendResult::kUnreachable || aResult == SendResult::kSilent) {
    reachability.unanswered.insert(aRunning.server->descriptor.id);
    if (reachability.unanswered.size() >= kMinUnansweredServers) {
      reachability.health.Record(SendResult::kUnreachable, 0, aNow);
    }
  } else if (aResult == SendResult::kWhole) {
    reachability.unanswered.clear();
    reachability.health.Record(aResult, 0, aNow);
  }
}

/// Returns the worse of a server's own health and the reachability of its zone.
HealthState
ServerPool::HealthSeenFrom(const PoolServer& aServer,
                           const std::string& aZone,
                           TimePoint aNow) const
{
  HealthState state = HealthState::kGood;
  const auto health = aServer.healthByZone.find(aZone);
  if (health != aServer.healthByZone.end()) {
    state = health->second.StateAt(aNow);
  }
  const auto fromZone = mReachability.find(aZone);
  if (fromZone == mReachability.end()) {
    return state;
  }
  const auto reachability = fromZone->second.find(aServer.descriptor.zone);
  return reachability == fromZone->second.end()
           ? state
           : std::max(state, reachability->second.health.StateAt(aNow));
}

void
ServerPool::RecordProbe(PoolServer& aServer,
                        const std::string& aZone,
                        TimePoint aNow)
{
  aServer.healthByZone[aZone].RecordProbe(aNow);
  const auto fromZone = mReachability.find(aZone);
  if (fromZone == mReachability.end()) {
    return;
  }
  const auto reachability = fromZone->second.find(aServer.descriptor.zone);
  if (reachability != fromZone->second.end()) {
    reachability->second.health.RecordProbe(aNow);
  }
}

void
ServerPool::UpdateMedianSpeed()
{
  mSamplesSinceMedian += 1;
  if (mSamplesSinceMedian < kSamplesPerMedianUpdate) {
    return;
  }
  mSamplesSinceMedian = 0;
  std::vector<ServerSpeed> speeds;
  for (const auto& [id, server] : mServers) {
    speeds.push_back(server->speed);
  }
  mSpeed.UpdateMedianFactor(speeds);
}

Duration
ServerPool::NetworkDelay(const PoolServer& aServer,
                         const std::string& aZone) const
{
  return aServer.descriptor.zone == aZone ? Duration::zero()
                                          : mOptions.crossZoneRoundTrip;
}

bool
ServerPool::IsEligible(const PoolServer& aServer,
                       const Job& aJob,
                       const std::string& aZone,
                       TimePoint aNow) const
{
  return aServer.backoff.EndFor(aJob.vm, aNow) <= aNow &&
         IsUsable(aServer, aJob, aZone, aNow);
}

/// As IsEligible(), also for a server that holds the request back.
bool
ServerPool::IsUsable(const PoolServer& aServer,
                     const Job& aJob,
                     const std::string& aZone,
                     TimePoint aNow) const
{
  if (aServer.descriptor.leaving ||
      Contains(aJob.excludedServers, aServer.descriptor.id)) {
    return false;
  }
  if (!aJob.onlyServer.empty()) {
    return aServer.descriptor.id == aJob.onlyServer;
  }
  return HealthSeenFrom(aServer, aZone, aNow) != HealthState::kDown;
}

bool
ServerPool::AnyEligible(const Job& aJob,
                        const std::string& aZone,
                        TimePoint aNow) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
    return IsEligible(*aEntry.second, aJob, aZone, aNow);
  });
}

bool
ServerPool::CanServe(const Job& aJob,
                     const std::string& aZone,
                     TimePoint aNow) const
{
  if (AnyEligible(aJob, aZone, aNow)) {
    return true;
  }
  return AnyPresent() && aJob.IsUnrestricted();
}

bool
ServerPool::AnyPresent() const
{
  return std::any_of(mServers.begin(), mServers.end(), [](const auto& aEntry) {
    return !aEntry.second->descriptor.leaving;
  });
}

int
ServerPool::SlotsOf(const PoolServer& aServer) const
{
  return std::max(1, static_cast<int>(aServer.descriptor.slots * mShare));
}

/// Returns how many more requests a server may be sent now; not positive if
/// there are none.
int
ServerPool::FreeSlotsOf(const PoolServer& aServer, TimePoint aNow) const
{
  const int free = SlotsOf(aServer) + InTransitOf(aServer) + mQueueDepth -
                   static_cast<int>(aServer.running.size());
  if (aServer.backoff.HoldsAll(aNow)) {
    return 0;
  }
  if (!aServer.rateLimit.IsActive()) {
    return free;
  }
  return aServer.rateLimit.Allows(aNow) ? std::min(free, 1) : 0;
}

int
ServerPool::FreeSlots(TimePoint aNow) const
{
  int free = 0;
  for (const auto* server : mOpenServers) {
    free += std::max(0, FreeSlotsOf(*server, aNow));
  }
  return free;
}

int
ServerPool::Slots() const
{
  int slots = 0;
  for (const auto& [id, server] : mServers) {
    slots += server->descriptor.leaving ? 0 : SlotsOf(*server);
  }
  return slots;
}

Forecast
ServerPool::BestFreeServer(const Job& aJob,
                           const std::string& aZone,
                           TimePoint aNow)
{
  Forecast best;
  Forecast probe;
  double lowestScore = std::numeric_limits<double>::max();
  for (auto* server : mOpenServers) {
    if (FreeSlotsOf(*server, aNow) <= 0 ||
        !IsEligible(*server, aJob, aZone, aNow)) {
      continue;
    }
    const auto forecast = Predict(*server, aJob, aZone, aNow);
    if (forecast.probe) {
      probe = forecast;
      continue;
    }
    const double score = ScoreOf(forecast, aJob, aZone);
    if (score < lowestScore) {
      lowestScore = score;
      best = forecast;
    }
  }
  // A probe is sent only with a request that can be retried, or if there is no
  // other server.
  const bool useProbe =
    probe.server != nullptr && (aJob.retryAllowed || best.server == nullptr);
  if (best.server == nullptr && !useProbe) {
    return LastResort(aJob, aZone, aNow);
  }
  return useProbe ? probe : best;
}

Forecast
ServerPool::EmptiestFreeServer(const Job& aJob,
                               const std::string& aZone,
                               TimePoint aNow)
{
  Forecast emptiest;
  for (auto* server : mOpenServers) {
    if (FreeSlotsOf(*server, aNow) <= 0 ||
        !IsEligible(*server, aJob, aZone, aNow)) {
      continue;
    }
    const auto forecast = Predict(*server, aJob, aZone, aNow);
    const bool emptier =
      emptiest.server == nullptr ||
      server->running.size() < emptiest.server->running.size();
    if (!forecast.probe && emptier) {
      emptiest = forecast;
    }
  }
  return emptiest.server != nullptr ? emptiest
                                    : BestFreeServer(aJob, aZone, aNow);
}

/// Returns the server with the fewest running requests, as a probe, if no
/// server is eligible: rejecting every request would be worse than trying an
/// unhealthy server.
Forecast
ServerPool::LastResort(const Job& aJob,
                       const std::string& aZone,
                       TimePoint aNow)
{
  Forecast best;
  if (!aJob.IsUnrestricted() || AnyEligible(aJob, aZone, aNow)) {
    return best;
  }
  for (auto* server : mOpenServers) {
    const bool emptier = best.server == nullptr ||
                         server->running.size() < best.server->running.size();
    const bool heldBack = server->backoff.EndFor(aJob.vm, aNow) > aNow;
    if (FreeSlotsOf(*server, aNow) > 0 && emptier && !heldBack) {
      best = Predict(*server, aJob, aZone, aNow);
      best.probe = true;
    }
  }
  return best;
}

Forecast
ServerPool::Predict(PoolServer& aServer,
                    const Job& aJob,
                    const std::string& aZone,
                    TimePoint aNow) const
{
  Forecast forecast;
  forecast.server = &aServer;
  forecast.probe = HealthSeenFrom(aServer, aZone, aNow) == HealthState::kProbe;
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
    if (server.descriptor.leaving || server.rateLimit.IsActive()) {
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
    if (server->descriptor.leaving) {
      continue;
    }
    const double slots = SlotsOf(*server) / mSpeed.FactorOf(server->speed);
    const auto rate = server->rateLimit.Rate();
    const double capacity = rate ? std::min(slots, *rate * mMeanWork) : slots;
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
