// Admission, queueing, dispatch and load shedding.
#include "magnoliatide/policy/scheduler.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy {

namespace {

/// Retries allowed per submitted request.
constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 50;
/// Time constant of the decaying sum of started cost.
constexpr Duration kRateTimeConstant = Seconds(2);
constexpr Duration kMinRetryAfter = Milliseconds(200);
/// Number of teams above which idle ones are removed.
constexpr std::size_t kTeamCleanupThreshold = 256;
/// Number of queued requests found blocked at which a search ends.
constexpr int kMaxBlockedTries = 16;
/// Weight of a new sample in the output ratio of a kind.
constexpr double kOutputSampleWeight = 0.05;
constexpr double kMinOutputRatio = 0.05;
/// Reports of a server's crash within this time refer to the same crash.
constexpr Duration kCrashReportWindow = Seconds(1);

std::vector<RateWindow>
WindowsOf(const document::Team& aTeam)
{
  return { { aTeam.ratePerSecond, Seconds(1) },
           { aTeam.ratePerMinute, std::chrono::minutes(1) } };
}

} // namespace

Scheduler::Scheduler(SchedulerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mSelector(mOptions.selector)
  , mRandom(mOptions.seed)
{
}

void
Scheduler::Apply(const document::Document& aDocument)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mSelector.Apply(aDocument);
  ClearFull();
  for (const auto& service : aDocument.services) {
    mServices[service.name].queueLimit = service.queueLimit;
  }
  mTeamConfigs.clear();
  for (const auto& team : aDocument.teams) {
    mTeamConfigs[team.name] = team;
  }
  std::unordered_map<std::string, TeamState> kept;
  for (auto& [name, state] : mTeams) {
    const auto config = mTeamConfigs.find(name);
    const auto team =
      config == mTeamConfigs.end() ? document::Team{} : config->second;
    kept.emplace(name,
                 TeamState{ RateLimiter(WindowsOf(team)),
                            state.inFlight,
                            team.maxConcurrent });
  }
  mTeams = std::move(kept);
}

void
Scheduler::SetVmCount(int aVms)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mSelector.SetVmCount(aVms);
  ClearFull();
}

void
Scheduler::SetLeaving(std::set<std::string> aNames)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mSelector.SetLeaving(std::move(aNames));
  ClearFull();
}

void
Scheduler::SetGrant(const std::string& aName, int aSlots, TimePoint aUntil)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mSelector.SetGrant(aName, aSlots, aUntil);
  ClearFull();
}

Decisions
Scheduler::RecordFleetShed(const std::string& aService,
                           int aTier,
                           TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  if (mOptions.queueDiscipline == QueueDiscipline::kTieredFair) {
    auto& state = StateOf(aService);
    EvictLessUrgentTiers(state, aTier, aNow, out);
    RaiseTierFloor(state, aTier, aNow);
  }
  return out;
}

void
Scheduler::RaiseTierFloor(ServiceState& aState, int aTier, TimePoint aNow) const
{
  const bool active = aNow < aState.floorUntil && aState.floorTier >= 0;
  aState.floorTier = active ? std::min(aState.floorTier, aTier) : aTier;
  aState.floorUntil = aNow + mOptions.tierFloorTime;
}

Scheduler::ServiceState&
Scheduler::StateOf(const std::string& aService)
{
  return mServices[aService];
}

Scheduler::TeamState&
Scheduler::TeamOf(const std::string& aTeam)
{
  const auto found = mTeams.find(aTeam);
  if (found != mTeams.end()) {
    return found->second;
  }
  const auto config = mTeamConfigs.find(aTeam);
  const auto team =
    config == mTeamConfigs.end() ? document::Team{} : config->second;
  TeamState state{ RateLimiter(WindowsOf(team)), 0, team.maxConcurrent };
  return mTeams.emplace(aTeam, std::move(state)).first->second;
}

Decisions
Scheduler::Submit(const SchedulerRequest& aRequest, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  mCounters.submitted += 1;
  mRetryTokens =
    std::min(kMaxRetryTokens, mRetryTokens + kRetryTokensPerRequest);
  if (AdmitTeam(aRequest, aNow, out)) {
    Admit(WithLearnedOutput(aRequest), aNow, out);
  }
  return out;
}

SchedulerRequest
Scheduler::WithLearnedOutput(const SchedulerRequest& aRequest) const
{
  SchedulerRequest request = aRequest;
  const auto ratio = mOutputRatios.find(aRequest.kind);
  if (ratio != mOutputRatios.end()) {
    request.size.outputTokens *= ratio->second;
  }
  return request;
}

void
Scheduler::LearnOutputRatio(const SchedulerRequest& aRequest,
                            const RunReport& aReport)
{
  const auto [ratio, inserted] = mOutputRatios.try_emplace(aRequest.kind, 1.0);
  const double requested = aRequest.size.outputTokens / ratio->second;
  if (aReport.outputTokens <= 0 || requested <= 0) {
    return;
  }
  const double sample = std::min(1.0, aReport.outputTokens / requested);
  ratio->second += (sample - ratio->second) * kOutputSampleWeight;
  ratio->second = std::max(ratio->second, kMinOutputRatio);
}

void
Scheduler::ClearFull()
{
  for (auto& [name, state] : mServices) {
    state.full = false;
    state.onlyFreeServer.clear();
  }
}

void
Scheduler::RecordFreedSlot(const Running& aRunning)
{
  auto& state = StateOf(aRunning.request.service);
  if (state.full) {
    state.onlyFreeServer = aRunning.backend;
  } else if (state.onlyFreeServer != aRunning.backend) {
    state.onlyFreeServer.clear();
  }
  state.full = false;
}

bool
Scheduler::AdmitTeam(const SchedulerRequest& aRequest,
                     TimePoint aNow,
                     Decisions& aOut)
{
  auto& team = TeamOf(aRequest.team);
  if (team.inFlight >= team.maxConcurrent) {
    mCounters.dropped += 1;
    aOut.drops.push_back({ aRequest.id,
                           DropReason::kTeamInFlight,
                           JitterRetryAfter(kMinRetryAfter) });
    return false;
  }
  const Duration wait = team.limiter.Admit(aNow);
  if (wait > Duration::zero()) {
    mCounters.dropped += 1;
    aOut.drops.push_back(
      { aRequest.id, DropReason::kTeamRate, JitterRetryAfter(wait) });
    return false;
  }
  team.inFlight += 1;
  return true;
}

void
Scheduler::Admit(const SchedulerRequest& aRequest,
                 TimePoint aNow,
                 Decisions& aOut)
{
  auto& state = StateOf(aRequest.service);
  if (mSuspects.LevelOf(aRequest.fingerprint, aNow) == SuspectLevel::kHarmful) {
    // Suspect entries expire after 30 minutes.
    DropRequest(aRequest, DropReason::kHarmful, std::chrono::minutes(30), aOut);
    return;
  }
  if (!mSelector.AnyCanServe(aRequest)) {
    DropRequest(
      aRequest, DropReason::kNoBackend, JitterRetryAfter(Seconds(2)), aOut);
    return;
  }
  DropExpired(state, aNow, aOut);
  const bool noneAhead = !state.queue.AnyAhead(aRequest.tier);
  if (noneAhead && TryStart(aRequest, aNow, aOut) == StartResult::kStarted) {
    return;
  }
  const bool belowTierFloor = aNow < state.floorUntil && state.floorTier >= 0 &&
                              aRequest.tier > state.floorTier;
  if (belowTierFloor &&
      mOptions.queueDiscipline == QueueDiscipline::kTieredFair) {
    DropRequest(
      aRequest, DropReason::kTierFloor, JitterRetryAfter(Seconds(1)), aOut);
    return;
  }
  if (mOptions.queueDiscipline == QueueDiscipline::kTieredFair) {
    const Duration minTime =
      PredictWait(state, aRequest, aNow) + mSelector.MinRunTime(aRequest, aNow);
    if (aNow + minTime > aRequest.deadline) {
      Shed(state, aRequest, DropReason::kTooLate, aNow, aOut);
      return;
    }
  }
  Enqueue(state, aRequest, aNow, aOut);
}

void
Scheduler::Enqueue(ServiceState& aState,
                   const SchedulerRequest& aRequest,
                   TimePoint aNow,
                   Decisions& aOut)
{
  const auto limit = static_cast<std::size_t>(aState.queueLimit);
  if (aState.queue.size() >= limit) {
    const bool fair = mOptions.queueDiscipline == QueueDiscipline::kTieredFair;
    const SchedulerRequest* candidate =
      fair ? aState.queue.EvictionCandidate(aRequest) : nullptr;
    if (candidate == nullptr) {
      Shed(aState, aRequest, DropReason::kQueueFull, aNow, aOut);
      return;
    }
    const auto removed = aState.queue.Remove(candidate->id);
    Shed(aState, *removed, DropReason::kDisplaced, aNow, aOut);
  }
  aState.queue.Push(aRequest,
                    aRequest.deadline - mSelector.MinRunTime(aRequest, aNow));
  StartFromQueue(aRequest.service, aNow, aOut);
}

StartResult
Scheduler::TryStart(const SchedulerRequest& aRequest,
                    TimePoint aNow,
                    Decisions& aOut)
{
  auto& state = StateOf(aRequest.service);
  if (state.full) {
    return StartResult::kNoneCanStart;
  }
  const bool alone = MustRunAlone(aRequest, aNow);
  const auto choice =
    mSelector.Choose(aRequest, alone, aNow, state.onlyFreeServer);
  if (choice.backend.empty()) {
    // If every server can serve this request and none has a free slot, no
    // other request of the service can start either.
    state.full =
      !choice.hadFreeSlot && !alone && mSelector.AllCanServe(aRequest);
    return state.full ? StartResult::kNoneCanStart : StartResult::kBlocked;
  }
  mSelector.RecordStart(choice.backend, aRequest, alone, aNow);
  mRunning[aRequest.id] = { aRequest, choice.backend, alone };
  mCounters.started += 1;
  AddStartedCost(state, aRequest, aNow);
  aOut.starts.push_back({ aRequest.id, choice.backend });
  return StartResult::kStarted;
}

bool
Scheduler::MustRunAlone(const SchedulerRequest& aRequest, TimePoint aNow) const
{
  return mSuspects.LevelOf(aRequest.fingerprint, aNow) ==
         SuspectLevel::kSuspect;
}

void
Scheduler::StartFromQueue(const std::string& aService,
                          TimePoint aNow,
                          Decisions& aOut)
{
  auto& state = StateOf(aService);
  while (state.queue.size() > 0) {
    int blocked = 0;
    const auto popped = state.queue.Pop([&](const SchedulerRequest& aRequest) {
      const StartResult result = TryStart(aRequest, aNow, aOut);
      const bool stopSearch =
        result == StartResult::kBlocked && ++blocked >= kMaxBlockedTries;
      return stopSearch ? StartResult::kNoneCanStart : result;
    });
    if (!popped) {
      break;
    }
  }
}

void
Scheduler::DropExpired(ServiceState& aState, TimePoint aNow, Decisions& aOut)
{
  for (const auto id : aState.queue.Expired(aNow)) {
    const auto request = aState.queue.Remove(id);
    if (request) {
      Shed(aState, *request, DropReason::kExpired, aNow, aOut);
    }
  }
}

void
Scheduler::Shed(ServiceState& aState,
                const SchedulerRequest& aRequest,
                DropReason aReason,
                TimePoint aNow,
                Decisions& aOut)
{
  if (mOptions.queueDiscipline == QueueDiscipline::kTieredFair) {
    EvictLessUrgentTiers(aState, aRequest.tier, aNow, aOut);
    RaiseTierFloor(aState, aRequest.tier, aNow);
    // Reports only tiers that this VM shed itself. Forwarding those received
    // from other VMs would let them circulate forever.
    const bool active = aNow < aState.shedUntil && aState.shedTier >= 0;
    aState.shedTier =
      active ? std::min(aState.shedTier, aRequest.tier) : aRequest.tier;
    aState.shedUntil = aNow + mOptions.tierFloorTime;
  }
  const Duration wait = PredictWait(aState, aRequest, aNow);
  DropRequest(aRequest, aReason, JitterRetryAfter(wait), aOut);
}

void
Scheduler::EvictLessUrgentTiers(ServiceState& aState,
                                int aTier,
                                TimePoint aNow,
                                Decisions& aOut)
{
  for (const auto id : aState.queue.RequestsBelow(aTier)) {
    const auto request = aState.queue.Remove(id);
    const Duration wait = PredictWait(aState, *request, aNow);
    DropRequest(*request, DropReason::kDisplaced, JitterRetryAfter(wait), aOut);
  }
}

void
Scheduler::DropRequest(const SchedulerRequest& aRequest,
                       DropReason aReason,
                       Duration aRetryAfter,
                       Decisions& aOut)
{
  mCounters.dropped += 1;
  ReleaseTeamConcurrency(aRequest);
  aOut.drops.push_back({ aRequest.id, aReason, aRetryAfter });
}

void
Scheduler::ReleaseTeamConcurrency(const SchedulerRequest& aRequest)
{
  const auto found = mTeams.find(aRequest.team);
  if (found != mTeams.end()) {
    found->second.inFlight -= 1;
  }
}

void
Scheduler::AddStartedCost(ServiceState& aState,
                          const SchedulerRequest& aRequest,
                          TimePoint aNow)
{
  const double age = ToSeconds(aNow - aState.costUpdated);
  aState.startedCostSum *= std::exp(-age / ToSeconds(kRateTimeConstant));
  aState.startedCostSum += CostOf(aRequest.size);
  aState.costUpdated = aNow;
}

Duration
Scheduler::PredictWait(ServiceState& aState,
                       const SchedulerRequest& aRequest,
                       TimePoint aNow)
{
  if (!aState.queue.AnyAhead(aRequest.tier)) {
    aState.queuedSince = aNow;
    return Duration::zero();
  }
  const double ahead = aState.queue.CostAhead(aRequest);
  // The rate is reliable only once requests have been queued for a whole time
  // constant.
  if (aNow - aState.queuedSince < kRateTimeConstant ||
      aState.startedCostSum <= 0) {
    return Duration::zero();
  }
  const double rate = aState.startedCostSum / ToSeconds(kRateTimeConstant);
  return FromSeconds(std::min(3600.0, ahead / rate));
}

Duration
Scheduler::JitterRetryAfter(Duration aBase)
{
  const double base = ToSeconds(std::max(aBase, kMinRetryAfter));
  std::uniform_real_distribution<double> factor(1.0, 2.0);
  return FromSeconds(base * factor(mRandom));
}

Decisions
Scheduler::Tick(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  ClearFull();
  for (auto& [name, state] : mServices) {
    DropExpired(state, aNow, out);
    StartFromQueue(name, aNow, out);
  }
  if (mTeams.size() > kTeamCleanupThreshold) {
    std::erase_if(mTeams, [&](const auto& aEntry) {
      return aEntry.second.inFlight == 0 && aEntry.second.limiter.Idle(aNow);
    });
  }
  return out;
}

bool
Scheduler::Withdraw(RequestId aId)
{
  std::lock_guard<std::mutex> lock(mMutex);
  for (auto& [name, state] : mServices) {
    const auto request = state.queue.Remove(aId);
    if (request) {
      ReleaseTeamConcurrency(*request);
      return true;
    }
  }
  return false;
}

void
Scheduler::RecordFirstToken(RequestId aId)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mRunning.find(aId);
  if (found != mRunning.end()) {
    mSelector.RecordFirstToken(found->second.backend, found->second.request);
  }
}

Decisions
Scheduler::Finish(RequestId aId, const RunReport& aReport, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return out;
  }
  const Running running = std::move(found->second);
  mRunning.erase(found);
  mCounters.finished += 1;
  mSelector.RecordEnd(running.backend, running.request, aReport, aNow);
  RecordFreedSlot(running);
  if (aReport.result == RunResult::kWhole) {
    LearnOutputRatio(running.request, aReport);
    mSuspects.ClearSuspect(running.request.fingerprint);
  }
  ReleaseTeamConcurrency(running.request);
  StartFromQueue(running.request.service, aNow, out);
  return out;
}

Decisions
Scheduler::Reassign(RequestId aId, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return out;
  }
  const Running running = std::move(found->second);
  mRunning.erase(found);
  RunReport report;
  report.result = RunResult::kNotSent;
  mSelector.RecordEnd(running.backend, running.request, report, aNow);
  RecordFreedSlot(running);
  auto& state = StateOf(running.request.service);
  if (mRetryTokens < 1 || !mSelector.AnyCanServe(running.request)) {
    DropRequest(running.request,
                DropReason::kNoBackend,
                JitterRetryAfter(Seconds(1)),
                out);
  } else if (aNow >= running.request.deadline) {
    Shed(state, running.request, DropReason::kExpired, aNow, out);
  } else {
    mRetryTokens -= 1;
    mCounters.retries += 1;
    Enqueue(state, running.request, aNow, out);
  }
  return out;
}

std::vector<SuspectEntry>
Scheduler::RecordCrash(const std::string& aBackend, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto last = mLastCrashes.find(aBackend);
  if (last != mLastCrashes.end() && aNow - last->second < kCrashReportWindow) {
    return {};
  }
  mLastCrashes[aBackend] = aNow;
  std::vector<CrashedRun> running;
  for (const auto& [id, entry] : mRunning) {
    if (entry.backend == aBackend) {
      running.push_back({ entry.request.fingerprint, entry.alone });
    }
  }
  return mSuspects.RecordCrash(running, aNow);
}

void
Scheduler::MergeSuspect(const SuspectEntry& aEntry, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mSuspects.Merge(aEntry, aNow);
}

std::vector<SuspectEntry>
Scheduler::SuspectEntries(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mSuspects.Entries(aNow);
}

ServiceDemand
Scheduler::Demand(const std::string& aService, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  auto& state = StateOf(aService);
  ServiceDemand demand;
  for (int tier = 0; tier <= state.queue.LeastUrgentTier(); ++tier) {
    demand.waitingByTier.push_back(static_cast<int>(state.queue.CountOf(tier)));
  }
  demand.shedTier = aNow < state.shedUntil ? state.shedTier : -1;
  return demand;
}

std::vector<BackendLoad>
Scheduler::TakeLoads(const std::vector<std::string>& aNames)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mSelector.TakeLoads(aNames);
}

std::vector<BackendStatus>
Scheduler::Backends(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mSelector.Statuses(aNow);
}

std::map<std::string, std::vector<int>>
Scheduler::Waiting()
{
  std::lock_guard<std::mutex> lock(mMutex);
  std::map<std::string, std::vector<int>> waiting;
  for (auto& [name, state] : mServices) {
    auto& counts = waiting[name];
    for (int tier = 0; tier <= state.queue.LeastUrgentTier(); ++tier) {
      counts.push_back(static_cast<int>(state.queue.CountOf(tier)));
    }
  }
  return waiting;
}

SchedulerCounters
Scheduler::Counters()
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mCounters;
}

} // namespace magnoliatide::policy
