// Load tracking and server selection. Forecasts are in server_forecast.cpp.
#include "magnoliatide/policy/server_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace magnoliatide::policy {

namespace {

/// A zone counts as unreachable once this many of its servers leave connections
/// unanswered.
constexpr std::size_t kMinUnansweredServers = 2;

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
ServerPool::SetServer(const routing::Server& aServer, TimePoint aNow)
{
  auto& entry = mServers[aServer.id];
  bool known = entry != nullptr;
  if (!known) {
    entry = std::make_unique<PoolServer>();
  } else if (entry->descriptor.started != aServer.started) {
    known = false;
    entry->healthByZone.clear();
    entry->speed = ServerSpeed();
    entry->rateLimit = ServerRateLimit();
    entry->backoff = ServerBackoff();
    entry->warmup = ServerWarmup();
  }
  entry->rateLimit.SetShare(mRateLimitShare);
  entry->warmup.SetPermitted(mColdPermitted, aNow);
  UpdateWarmup(*entry, aServer, known, aNow);
  entry->descriptor = aServer;
  mCapacities.clear();
  UpdateOpenList(*entry);
}

/// Updates the warm-up from a report of a server. Servers of a zone that was
/// evacuated may be cold before they report it.
void
ServerPool::UpdateWarmup(PoolServer& aServer,
                         const routing::Server& aReported,
                         bool aKnown,
                         TimePoint aNow)
{
  const auto& last = aServer.descriptor;
  const bool repeated = aKnown && last.report == aReported.report &&
                        last.warmup == aReported.warmup;
  if (mColdRate > 0 && !repeated) {
    aServer.warmup.BeginCold(mColdRate, aReported.warmup, aNow);
  }
  if (!aKnown || !last.evacuated || aReported.evacuated) {
    return;
  }
  if (mColdRate > 0) {
    aServer.warmup.BeginCold(mColdRate, mColdLimit.time, aNow);
  } else {
    aServer.warmup.BeginRamp(aReported.slots, aNow);
  }
}

void
ServerPool::SetColdLimit(const ColdLimit& aLimit, TimePoint aNow)
{
  const double before = mColdRate;
  mColdLimit = aLimit;
  mColdRate = PermittedColdRate(aLimit, mOptions.coldBounds);
  if (before > 0 || mColdRate <= 0) {
    return;
  }
  // The servers may have been known before the configuration.
  for (auto& [id, server] : mServers) {
    server->warmup.BeginCold(mColdRate, server->descriptor.warmup, aNow);
  }
}

void
ServerPool::SetColdPermitted(bool aPermitted, TimePoint aNow)
{
  mColdPermitted = aPermitted;
  mCapacities.clear();
  for (auto& [id, server] : mServers) {
    server->warmup.SetPermitted(aPermitted, aNow);
  }
}

std::vector<ColdServer>
ServerPool::ColdServers(TimePoint aNow) const
{
  std::vector<ColdServer> cold;
  for (const auto& [id, server] : mServers) {
    if (server->warmup.IsCold(aNow) && server->descriptor.AcceptsRequests()) {
      cold.push_back({ id,
                       server->warmup.Rate(aNow).value_or(0),
                       server->warmup.TimeLeft(aNow) });
    }
  }
  return cold;
}

/// Adds a server to the open list or removes it, depending on whether it
/// accepts requests and on its load.
void
ServerPool::UpdateOpenList(PoolServer& aServer)
{
  const int limit = SlotsOf(aServer) + InTransitOf(aServer) + kMaxQueueDepth;
  const bool open = aServer.descriptor.AcceptsRequests() &&
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
  aRunning.cold = aServer.warmup.IsCold(aRunning.sent);
  aServer.rateLimit.RecordSend(aRunning.sent);
  aServer.warmup.RecordSend(aRunning.sent);
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
  RecordPossibleRestart(aRunning, aReport, aNow);
  if (result == SendResult::kFull) {
    aRunning.server->backoff.RecordFull(aNow);
  }
  if (result == SendResult::kWhole || result == SendResult::kFailed) {
    aRunning.server->backoff.RecordAccepted();
    const double failed = result == SendResult::kFailed ? 1 : 0;
    failureRate += kFailureSampleWeight * (failed - failureRate);
  }
  // A server that is cold is slower than later.
  if (result != SendResult::kWhole || aRunning.cold) {
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

/// Treats a server that was down as cold from now on: when it answers again, it
/// may have started before its report is known.
void
ServerPool::RecordPossibleRestart(const RunningJob& aRunning,
                                  const SendReport& aReport,
                                  TimePoint aNow)
{
  auto& server = *aRunning.server;
  const bool down =
    aReport.serverDown || (aReport.result == SendResult::kNotSent &&
                           aRunning.zone == server.descriptor.zone);
  if (down && mColdRate > 0) {
    server.warmup.BeginCold(mColdRate, mColdLimit.time, aNow);
  }
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
  if (!aServer.descriptor.AcceptsRequests() ||
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
    return aEntry.second->descriptor.AcceptsRequests();
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
  if (aServer.backoff.HoldsAll(aNow) || !aServer.warmup.Allows(aNow) ||
      !aServer.rateLimit.Allows(aNow)) {
    return 0;
  }
  return aServer.rateLimit.IsActive() || aServer.warmup.IsLimited(aNow)
           ? std::min(free, 1)
           : free;
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
    slots += server->descriptor.AcceptsRequests() ? SlotsOf(*server) : 0;
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
    mColdSkips += server->warmup.Allows(aNow) ? 0 : 1;
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

} // namespace magnoliatide::policy
