// Admission, waiting, starting and refusing.
#include "magnoliatide/policy/scheduler.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy {

namespace {

constexpr double kRetryShare = 0.1; ///< Retries for each submitted request.
constexpr double kMostRetryTokens = 50;
constexpr Duration kRateMemory = Seconds(2);
constexpr Duration kLeastRetryAfter = Milliseconds(200);
constexpr std::size_t kTeamsBeforeSweep = 256;
/// Waiting requests tried in turn before a pass ends.
constexpr int kMostTries = 16;
constexpr double kShareGain = 0.05;
constexpr double kLeastShare = 0.05;
/// Time within which notices of a crash tell of the same one.
constexpr Duration kOneCrash = Seconds(1);

std::vector<RateWindow>
WindowsOf(const document::Team& aTeam)
{
  return { { aTeam.ratePerSecond, Seconds(1) },
           { aTeam.ratePerMinute, std::chrono::minutes(1) } };
}

} // namespace

Scheduler::Scheduler(SchedulerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mBook(mOptions.book)
  , mRandom(mOptions.seed)
{
}

void
Scheduler::Apply(const document::Document& aDocument)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mBook.Apply(aDocument);
  ForgetFull();
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
Scheduler::SetSharers(int aVms)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mBook.SetSharers(aVms);
  ForgetFull();
}

void
Scheduler::SetLeaving(std::set<std::string> aNames)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mBook.SetLeaving(std::move(aNames));
  ForgetFull();
}

void
Scheduler::SetGrant(const std::string& aName, int aSlots, TimePoint aUntil)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mBook.SetGrant(aName, aSlots, aUntil);
  ForgetFull();
}

Decisions
Scheduler::NoteFleetShed(const std::string& aService, int aTier, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  if (mOptions.queueRule == QueueRule::kTieredFair) {
    auto& state = StateOf(aService);
    EvictBelow(state, aTier, aNow, out);
    RaiseFloor(state, aTier, aNow);
  }
  return out;
}

void
Scheduler::RaiseFloor(ServiceState& aState, int aTier, TimePoint aNow) const
{
  const bool held = aNow < aState.floorUntil && aState.floorTier >= 0;
  aState.floorTier = held ? std::min(aState.floorTier, aTier) : aTier;
  aState.floorUntil = aNow + mOptions.floorTime;
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
Scheduler::Submit(const Work& aWork, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  mCounters.submitted += 1;
  mRetryTokens = std::min(kMostRetryTokens, mRetryTokens + kRetryShare);
  if (AdmitTeam(aWork, aNow, out)) {
    Admit(Sized(aWork), aNow, out);
  }
  return out;
}

Work
Scheduler::Sized(const Work& aWork) const
{
  Work work = aWork;
  const auto share = mOutputShares.find(aWork.kind);
  if (share != mOutputShares.end()) {
    work.size.outputTokens *= share->second;
  }
  return work;
}

void
Scheduler::LearnOutput(const Work& aWork, const RunReport& aReport)
{
  const auto [share, fresh] = mOutputShares.try_emplace(aWork.kind, 1.0);
  const double asked = aWork.size.outputTokens / share->second;
  if (aReport.outputTokens <= 0 || asked <= 0) {
    return;
  }
  const double part = std::min(1.0, aReport.outputTokens / asked);
  share->second += (part - share->second) * kShareGain;
  share->second = std::max(share->second, kLeastShare);
}

void
Scheduler::ForgetFull()
{
  for (auto& [name, state] : mServices) {
    state.full = false;
    state.onlyRoom.clear();
  }
}

void
Scheduler::NoteRoomAt(const Running& aRunning)
{
  auto& state = StateOf(aRunning.work.service);
  if (state.full) {
    state.onlyRoom = aRunning.backend;
  } else if (state.onlyRoom != aRunning.backend) {
    state.onlyRoom.clear();
  }
  state.full = false;
}

bool
Scheduler::AdmitTeam(const Work& aWork, TimePoint aNow, Decisions& aOut)
{
  auto& team = TeamOf(aWork.team);
  if (team.inFlight >= team.maxConcurrent) {
    mCounters.dropped += 1;
    aOut.drops.push_back(
      { aWork.id, DropReason::kTeamInFlight, SpreadRetry(kLeastRetryAfter) });
    return false;
  }
  const Duration wait = team.limiter.Admit(aNow);
  if (wait > Duration::zero()) {
    mCounters.dropped += 1;
    aOut.drops.push_back(
      { aWork.id, DropReason::kTeamRate, SpreadRetry(wait) });
    return false;
  }
  team.inFlight += 1;
  return true;
}

void
Scheduler::Admit(const Work& aWork, TimePoint aNow, Decisions& aOut)
{
  auto& state = StateOf(aWork.service);
  if (mSuspects.LevelOf(aWork.fingerprint, aNow) == Suspicion::kHarmful) {
    Reject(aWork, DropReason::kHarmful, std::chrono::minutes(30), aOut);
    return;
  }
  if (!mBook.AnyFits(aWork)) {
    Reject(aWork, DropReason::kNoBackend, SpreadRetry(Seconds(2)), aOut);
    return;
  }
  Expire(state, aNow, aOut);
  const bool nobodyAhead = !state.queue.AnyAhead(aWork.tier);
  if (nobodyAhead && StartNow(aWork, aNow, aOut) == Fit::kStarts) {
    return;
  }
  const bool floored = aNow < state.floorUntil && state.floorTier >= 0 &&
                       aWork.tier > state.floorTier;
  if (floored && mOptions.queueRule == QueueRule::kTieredFair) {
    Reject(aWork, DropReason::kTierFloor, SpreadRetry(Seconds(1)), aOut);
    return;
  }
  if (mOptions.queueRule == QueueRule::kTieredFair) {
    const Duration least =
      PredictWait(state, aWork, aNow) + mBook.ShortestRun(aWork, aNow);
    if (aNow + least > aWork.deadline) {
      Shed(state, aWork, DropReason::kTooLate, aNow, aOut);
      return;
    }
  }
  MakeRoom(state, aWork, aNow, aOut);
}

void
Scheduler::MakeRoom(ServiceState& aState,
                    const Work& aWork,
                    TimePoint aNow,
                    Decisions& aOut)
{
  const auto limit = static_cast<std::size_t>(aState.queueLimit);
  if (aState.queue.size() >= limit) {
    const bool fair = mOptions.queueRule == QueueRule::kTieredFair;
    const Work* victim = fair ? aState.queue.Victim(aWork) : nullptr;
    if (victim == nullptr) {
      Shed(aState, aWork, DropReason::kQueueFull, aNow, aOut);
      return;
    }
    const auto removed = aState.queue.Remove(victim->id);
    Shed(aState, *removed, DropReason::kDisplaced, aNow, aOut);
  }
  aState.queue.Push(aWork, aWork.deadline - mBook.ShortestRun(aWork, aNow));
  Pump(aWork.service, aNow, aOut);
}

Fit
Scheduler::StartNow(const Work& aWork, TimePoint aNow, Decisions& aOut)
{
  auto& state = StateOf(aWork.service);
  if (state.full) {
    return Fit::kStop;
  }
  const bool alone = NeedsAlone(aWork, aNow);
  const auto choice = mBook.Choose(aWork, alone, aNow, state.onlyRoom);
  if (choice.backend.empty()) {
    // Without constraints of its own, a request that finds no room speaks
    // for all others.
    state.full = !choice.hadRoom && !alone && mBook.FitsAll(aWork);
    return state.full ? Fit::kStop : Fit::kWaits;
  }
  mBook.Started(choice.backend, aWork, alone, aNow);
  mRunning[aWork.id] = { aWork, choice.backend, alone };
  mCounters.started += 1;
  NoteStarted(state, aWork, aNow);
  aOut.starts.push_back({ aWork.id, choice.backend });
  return Fit::kStarts;
}

bool
Scheduler::NeedsAlone(const Work& aWork, TimePoint aNow) const
{
  return mSuspects.LevelOf(aWork.fingerprint, aNow) == Suspicion::kSuspect;
}

void
Scheduler::Pump(const std::string& aService, TimePoint aNow, Decisions& aOut)
{
  auto& state = StateOf(aService);
  while (state.queue.size() > 0) {
    int tries = 0;
    const auto popped = state.queue.Pop([&](const Work& aWork) {
      const Fit fit = StartNow(aWork, aNow, aOut);
      const bool enough = fit == Fit::kWaits && ++tries >= kMostTries;
      return enough ? Fit::kStop : fit;
    });
    if (!popped) {
      break;
    }
  }
}

void
Scheduler::Expire(ServiceState& aState, TimePoint aNow, Decisions& aOut)
{
  for (const auto id : aState.queue.Expired(aNow)) {
    const auto work = aState.queue.Remove(id);
    if (work) {
      Shed(aState, *work, DropReason::kExpired, aNow, aOut);
    }
  }
}

void
Scheduler::Shed(ServiceState& aState,
                const Work& aWork,
                DropReason aReason,
                TimePoint aNow,
                Decisions& aOut)
{
  if (mOptions.queueRule == QueueRule::kTieredFair) {
    EvictBelow(aState, aWork.tier, aNow, aOut);
    RaiseFloor(aState, aWork.tier, aNow);
    // Only what this VM shed itself is told to others; what it heard from
    // them would go round for ever.
    const bool held = aNow < aState.shedUntil && aState.shedTier >= 0;
    aState.shedTier = held ? std::min(aState.shedTier, aWork.tier) : aWork.tier;
    aState.shedUntil = aNow + mOptions.floorTime;
  }
  const Duration ahead = PredictWait(aState, aWork, aNow);
  Reject(aWork, aReason, SpreadRetry(ahead), aOut);
}

void
Scheduler::EvictBelow(ServiceState& aState,
                      int aTier,
                      TimePoint aNow,
                      Decisions& aOut)
{
  for (const auto id : aState.queue.Below(aTier)) {
    const auto work = aState.queue.Remove(id);
    const Duration ahead = PredictWait(aState, *work, aNow);
    Reject(*work, DropReason::kDisplaced, SpreadRetry(ahead), aOut);
  }
}

void
Scheduler::Reject(const Work& aWork,
                  DropReason aReason,
                  Duration aRetryAfter,
                  Decisions& aOut)
{
  mCounters.dropped += 1;
  Release(aWork);
  aOut.drops.push_back({ aWork.id, aReason, aRetryAfter });
}

void
Scheduler::Release(const Work& aWork)
{
  const auto found = mTeams.find(aWork.team);
  if (found != mTeams.end()) {
    found->second.inFlight -= 1;
  }
}

void
Scheduler::NoteStarted(ServiceState& aState, const Work& aWork, TimePoint aNow)
{
  const double age = ToSeconds(aNow - aState.rateUpdated);
  aState.startedCost *= std::exp(-age / ToSeconds(kRateMemory));
  aState.startedCost += CostOf(aWork.size);
  aState.rateUpdated = aNow;
}

Duration
Scheduler::PredictWait(ServiceState& aState, const Work& aWork, TimePoint aNow)
{
  if (!aState.queue.AnyAhead(aWork.tier)) {
    aState.busySince = aNow;
    return Duration::zero();
  }
  const double ahead = aState.queue.CostAhead(aWork);
  // The rate is known only after the queue was busy for its memory.
  if (aNow - aState.busySince < kRateMemory || aState.startedCost <= 0) {
    return Duration::zero();
  }
  const double rate = aState.startedCost / ToSeconds(kRateMemory);
  return FromSeconds(std::min(3600.0, ahead / rate));
}

Duration
Scheduler::SpreadRetry(Duration aBase)
{
  const double base = ToSeconds(std::max(aBase, kLeastRetryAfter));
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  return FromSeconds(base * spread(mRandom));
}

Decisions
Scheduler::Tick(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Decisions out;
  ForgetFull();
  for (auto& [name, state] : mServices) {
    Expire(state, aNow, out);
    Pump(name, aNow, out);
  }
  if (mTeams.size() > kTeamsBeforeSweep) {
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
    const auto work = state.queue.Remove(aId);
    if (work) {
      Release(*work);
      return true;
    }
  }
  return false;
}

void
Scheduler::FirstToken(RequestId aId)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mRunning.find(aId);
  if (found != mRunning.end()) {
    mBook.FirstToken(found->second.backend, found->second.work);
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
  mBook.Finished(running.backend, running.work, aReport, aNow);
  NoteRoomAt(running);
  if (aReport.result == RunResult::kWhole) {
    LearnOutput(running.work, aReport);
    mSuspects.Completed(running.work.fingerprint);
  }
  Release(running.work);
  Pump(running.work.service, aNow, out);
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
  mBook.Finished(running.backend, running.work, report, aNow);
  NoteRoomAt(running);
  auto& state = StateOf(running.work.service);
  if (mRetryTokens < 1 || !mBook.AnyFits(running.work)) {
    Reject(running.work, DropReason::kNoBackend, SpreadRetry(Seconds(1)), out);
  } else if (aNow >= running.work.deadline) {
    Shed(state, running.work, DropReason::kExpired, aNow, out);
  } else {
    mRetryTokens -= 1;
    mCounters.retries += 1;
    MakeRoom(state, running.work, aNow, out);
  }
  return out;
}

std::vector<SuspectEntry>
Scheduler::Crashed(const std::string& aBackend, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto last = mCrashes.find(aBackend);
  if (last != mCrashes.end() && aNow - last->second < kOneCrash) {
    return {};
  }
  mCrashes[aBackend] = aNow;
  std::vector<CrashedRun> running;
  for (const auto& [id, entry] : mRunning) {
    if (entry.backend == aBackend) {
      running.push_back({ entry.work.fingerprint, entry.alone });
    }
  }
  return mSuspects.Crashed(running, aNow);
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
  for (int tier = 0; tier <= state.queue.LowestTier(); ++tier) {
    demand.waitingByTier.push_back(static_cast<int>(state.queue.CountOf(tier)));
  }
  demand.shedTier = aNow < state.shedUntil ? state.shedTier : -1;
  return demand;
}

std::vector<BackendLoad>
Scheduler::TakeLoads(const std::vector<std::string>& aNames)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mBook.TakeLoads(aNames);
}

std::vector<BackendView>
Scheduler::Backends(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mBook.View(aNow);
}

std::map<std::string, std::vector<int>>
Scheduler::Waiting()
{
  std::lock_guard<std::mutex> lock(mMutex);
  std::map<std::string, std::vector<int>> waiting;
  for (auto& [name, state] : mServices) {
    auto& counts = waiting[name];
    for (int tier = 0; tier <= state.queue.LowestTier(); ++tier) {
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
