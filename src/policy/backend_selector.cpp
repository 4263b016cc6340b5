// Health, speed and selection of backend servers.
#include "magnoliatide/policy/backend_selector.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy {

namespace {

/// Weight of a new sample in the moving averages of speed.
constexpr double kSpeedSampleWeight = 0.2;
/// Growth of a server's best token time per sample, which lets it adapt to a
/// server that has become slower.
constexpr double kBestTimeGrowthPerSample = 1.002;
/// A server is a straggler if its token time is more than
/// kStragglerBestTimeFactor times its own best token time, or more than
/// kStragglerMedianFactor times the median of the service.
constexpr double kStragglerBestTimeFactor = 4;
constexpr double kStragglerMedianFactor = 6;
/// A server with fewer samples is never a straggler.
constexpr int kMinStragglerSamples = 5;
/// Applied to the learned slot limit after a run that missed a latency target.
constexpr double kSlotLimitDecreaseFactor = 0.85;
/// Added to the predicted run time at servers of other zones.
constexpr double kCrossZoneSeconds = 0.005;
constexpr std::size_t kMaxPrefixBlocks = 4096; ///< Per server.
constexpr std::size_t kMaxCandidates = 16;
/// How long the best token time of a service is cached.
constexpr Duration kBestTimeUpdateInterval = Milliseconds(200);
/// Prompt tokens that each further prefix hash covers. The hashes are made from
/// blocks of 256 bytes, at 4 bytes per token, see entry/classify.cpp.
constexpr double kTokensPerPrefixBlock = 64;
/// Time without requests after a failure. Doubles with each further failure
/// until a complete response, up to kMaxDownTime.
constexpr Duration kInitialDownTime = Milliseconds(500);
constexpr Duration kMaxDownTime = Seconds(10);
/// Minimum time between two decreases of a server's slot limit.
constexpr Duration kMinDecreaseInterval = Milliseconds(300);

double
Blend(double aOld, double aNew, double aWeight)
{
  return aOld + (aNew - aOld) * aWeight;
}

bool
Contains(const std::vector<std::string>& aItems, const std::string& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

} // namespace

BackendSelector::BackendSelector(BackendSelectorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
}

void
BackendSelector::Apply(const document::Document& aDocument)
{
  mDocument = std::make_shared<document::Document>(aDocument);
  std::map<std::string, State> next;
  for (const auto& backend : mDocument->backends) {
    const auto old = mStates.find(backend.name);
    State state;
    const bool same =
      old != mStates.end() && old->second.config.address == backend.address;
    if (same) {
      state = std::move(old->second);
    } else {
      state.learnedSlots =
        std::max(1.0, static_cast<double>(backend.slots) / mVmCount);
    }
    state.config = backend;
    state.service = mDocument->FindService(backend.service);
    state.leaving = mLeaving.count(backend.name) > 0;
    next.emplace(backend.name, std::move(state));
  }
  mStates = std::move(next);
  mPools.clear();
  for (auto& [name, state] : mStates) {
    auto& pool = mPools[state.config.service];
    pool.states.push_back(&state);
    state.pool = &pool;
  }
  for (auto& [service, pool] : mPools) {
    pool.medianTokenTime = MedianTokenTime(pool);
  }
}

void
BackendSelector::SetVmCount(int aVms)
{
  mVmCount = std::max(1, aVms);
}

void
BackendSelector::SetLeaving(std::set<std::string> aNames)
{
  mLeaving = std::move(aNames);
  for (auto& [name, state] : mStates) {
    state.leaving = mLeaving.count(name) > 0;
    state.pool->allCanServe.clear();
  }
}

void
BackendSelector::SetGrant(const std::string& aName,
                          int aSlots,
                          TimePoint aUntil)
{
  const auto found = mStates.find(aName);
  if (found != mStates.end()) {
    found->second.grantedSlots = aSlots;
    found->second.grantedUntil = aUntil;
  }
}

bool
BackendSelector::CanServe(const State& aState,
                          const SchedulerRequest& aRequest) const
{
  if (aState.leaving || aState.config.service != aRequest.service) {
    return false;
  }
  const bool plain = aState.service->type == document::ServiceType::kPlain;
  if (plain) {
    return true;
  }
  const bool hasModel =
    aRequest.model.empty() || Contains(aState.config.models, aRequest.model);
  const bool hasAdapter = aRequest.adapter.empty() ||
                          Contains(aState.config.adapters, aRequest.adapter);
  return hasModel && hasAdapter && aState.config.role != "standby";
}

bool
BackendSelector::AnyCanServe(const SchedulerRequest& aRequest) const
{
  const auto found = mPools.find(aRequest.service);
  if (found == mPools.end()) {
    return false;
  }
  return std::any_of(
    found->second.states.begin(),
    found->second.states.end(),
    [&](const auto* aState) { return CanServe(*aState, aRequest); });
}

bool
BackendSelector::AllCanServe(const SchedulerRequest& aRequest)
{
  const auto found = mPools.find(aRequest.service);
  if (found == mPools.end()) {
    return false;
  }
  auto& pool = found->second;
  const auto [cached, inserted] = pool.allCanServe.try_emplace(
    aRequest.model + "\n" + aRequest.adapter, false);
  if (inserted) {
    cached->second = std::all_of(
      pool.states.begin(), pool.states.end(), [&](const auto* aState) {
        return aState->leaving || CanServe(*aState, aRequest);
      });
  }
  return cached->second;
}

int
BackendSelector::SlotLimit(const State& aState, TimePoint aNow) const
{
  if (aState.grantedSlots >= 0 && aNow < aState.grantedUntil) {
    return aState.grantedSlots;
  }
  const double share =
    std::max(1.0, static_cast<double>(aState.config.slots) / mVmCount);
  const double limit = mOptions.learnSlotLimits ? aState.learnedSlots : share;
  return static_cast<int>(std::max(1.0, std::floor(limit)));
}

bool
BackendSelector::HasFreeSlot(const State& aState,
                             bool aAlone,
                             TimePoint aNow) const
{
  if (aState.inFlight >= SlotLimit(aState, aNow) || aState.exclusive ||
      aNow < aState.downUntil) {
    return false;
  }
  // After a failure, a single request probes whether the server has recovered.
  const bool mustBeIdle = aAlone || aState.failures > 0;
  if (mustBeIdle && aState.inFlight > 0) {
    return false;
  }
  const bool probedRecently =
    aState.inFlight > 0 ||
    aNow - aState.lastAssigned < mOptions.stragglerProbeInterval;
  return !(probedRecently && IsStraggler(aState));
}

bool
BackendSelector::IsStraggler(const State& aState) const
{
  if (mOptions.selectionPolicy != SelectionPolicy::kPredicted ||
      aState.speed.samples < kMinStragglerSamples) {
    return false;
  }
  const double time = aState.speed.tokenTime;
  const double median = aState.pool->medianTokenTime;
  return (median > 0 && time > kStragglerMedianFactor * median) ||
         time > kStragglerBestTimeFactor * aState.speed.bestTokenTime;
}

bool
BackendSelector::MeetsDeadline(const State& aState,
                               const SchedulerRequest& aRequest,
                               TimePoint aNow) const
{
  const auto& speed = aState.speed;
  if (mOptions.selectionPolicy != SelectionPolicy::kPredicted ||
      speed.samples == 0) {
    return true;
  }
  const double prefillTokens = aState.pendingPrefill +
                               aRequest.size.promptTokens -
                               CachedTokens(aState, aRequest);
  const double runSeconds = prefillTokens / speed.prefillRate +
                            aRequest.size.outputTokens * speed.tokenTime;
  return aNow + FromSeconds(runSeconds) <= aRequest.deadline;
}

double
BackendSelector::CachedTokens(const State& aState,
                              const SchedulerRequest& aRequest) const
{
  double tokens = 0;
  for (const auto hash : aRequest.prefix) {
    if (aState.prefixes.count(hash) == 0) {
      break;
    }
    tokens += kTokensPerPrefixBlock;
  }
  return std::min(tokens, aRequest.size.promptTokens);
}

double
BackendSelector::Predict(const State& aState,
                         const SchedulerRequest& aRequest) const
{
  const auto& speed = aState.speed;
  const double prefillTokens = aState.pendingPrefill +
                               aRequest.size.promptTokens -
                               CachedTokens(aState, aRequest);
  const int slots = std::max(1, aState.config.slots);
  const double loadFactor = 1.0 + static_cast<double>(aState.inFlight) / slots;
  const double zonePenalty =
    aState.config.zone == mOptions.zone ? 0 : kCrossZoneSeconds;
  return zonePenalty + prefillTokens / speed.prefillRate +
         aRequest.size.outputTokens * speed.tokenTime * loadFactor;
}

/// Adds a server to the candidates if it has a free slot and can serve the
/// request before its deadline. Returns whether it has a free slot and can
/// serve the request at all.
bool
BackendSelector::ConsiderCandidate(State& aState,
                                   const SchedulerRequest& aRequest,
                                   bool aAlone,
                                   TimePoint aNow,
                                   StateList& aCandidates) const
{
  if (!HasFreeSlot(aState, aAlone, aNow) || !CanServe(aState, aRequest)) {
    return false;
  }
  if (MeetsDeadline(aState, aRequest, aNow)) {
    aCandidates.push_back(&aState);
  }
  return true;
}

Choice
BackendSelector::Choose(const SchedulerRequest& aRequest,
                        bool aAlone,
                        TimePoint aNow,
                        const std::string& aOnly)
{
  Choice choice;
  StateList candidates;
  const auto only = mStates.find(aOnly);
  if (only != mStates.end()) {
    choice.hadFreeSlot =
      ConsiderCandidate(only->second, aRequest, aAlone, aNow, candidates);
    choice.backend = candidates.empty() ? "" : aOnly;
    return choice;
  }
  const auto found = mPools.find(aRequest.service);
  if (found == mPools.end() || found->second.states.empty()) {
    return choice;
  }
  const auto& states = found->second.states;
  // A random offset balances servers with equal predictions and makes a bounded
  // number of candidates a random sample of all servers.
  const auto offset = mRandom() % states.size();
  for (std::size_t i = 0;
       i < states.size() && candidates.size() < kMaxCandidates;
       ++i) {
    auto& state = *states[(i + offset) % states.size()];
    const bool free =
      ConsiderCandidate(state, aRequest, aAlone, aNow, candidates);
    choice.hadFreeSlot = choice.hadFreeSlot || free;
  }
  if (!candidates.empty()) {
    choice.backend = PickCandidate(candidates, aRequest)->config.name;
  }
  return choice;
}

BackendSelector::State*
BackendSelector::PickCandidate(const StateList& aStates,
                               const SchedulerRequest& aRequest)
{
  const auto count = aStates.size();
  switch (mOptions.selectionPolicy) {
    case SelectionPolicy::kRoundRobin:
      return aStates[mNextRoundRobin++ % count];
    case SelectionPolicy::kLeastOutstanding:
      return *std::min_element(
        aStates.begin(), aStates.end(), [](const auto* aL, const auto* aR) {
          return aL->inFlight < aR->inFlight;
        });
    case SelectionPolicy::kTwoChoices: {
      auto* first = aStates[mRandom() % count];
      auto* second = aStates[mRandom() % count];
      return first->inFlight <= second->inFlight ? first : second;
    }
    case SelectionPolicy::kPredicted:
      break;
  }
  State* best = nullptr;
  double bestTime = 0;
  for (auto* state : aStates) {
    const double time = Predict(*state, aRequest);
    if (best == nullptr || time < bestTime) {
      best = state;
      bestTime = time;
    }
  }
  return best;
}

void
BackendSelector::RecordStart(const std::string& aName,
                             const SchedulerRequest& aRequest,
                             bool aAlone,
                             TimePoint aNow)
{
  const auto found = mStates.find(aName);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.inFlight += 1;
  state.pendingPrefill += aRequest.size.promptTokens;
  state.exclusive = state.exclusive || aAlone;
  state.lastAssigned = aNow;
  AddPrefixes(state, aRequest);
}

void
BackendSelector::RecordFirstToken(const std::string& aName,
                                  const SchedulerRequest& aRequest)
{
  const auto found = mStates.find(aName);
  if (found != mStates.end()) {
    auto& pending = found->second.pendingPrefill;
    pending = std::max(0.0, pending - aRequest.size.promptTokens);
  }
}

void
BackendSelector::RecordEnd(const std::string& aName,
                           const SchedulerRequest& aRequest,
                           const RunReport& aReport,
                           TimePoint aNow)
{
  const auto found = mStates.find(aName);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.inFlight = std::max(0, state.inFlight - 1);
  if (state.inFlight == 0) {
    state.exclusive = false;
    state.pendingPrefill = 0;
  } else if (aReport.toFirstToken == Duration::zero()) {
    RecordFirstToken(aName, aRequest);
  }
  if (aReport.result == RunResult::kCut ||
      aReport.result == RunResult::kNotSent) {
    RecordFailure(state, aNow);
    return;
  }
  if (aReport.result == RunResult::kWhole) {
    state.failures = 0;
    LearnSpeed(state, aReport);
    AdjustSlotLimit(state, aReport, aNow);
  }
}

void
BackendSelector::RecordFailure(State& aState, TimePoint aNow)
{
  aState.failures += 1;
  const int doublings = std::min(aState.failures - 1, 8);
  aState.downUntil =
    aNow + std::min(kMaxDownTime, kInitialDownTime * (1 << doublings));
}

void
BackendSelector::LearnSpeed(State& aState, const RunReport& aReport)
{
  auto& speed = aState.speed;
  const double first = ToSeconds(aReport.toFirstToken);
  if (first > 0 && aReport.promptTokens > 0) {
    const double rate = aReport.promptTokens / first;
    // The time to the first token of a short prompt is mostly overhead, so the
    // sample gets less weight.
    const double weight =
      kSpeedSampleWeight * std::min(1.0, aReport.promptTokens / 1000.0);
    speed.prefillRate = Blend(speed.prefillRate, rate, weight);
  }
  if (aReport.outputTokens >= 2) {
    const double outputSeconds =
      ToSeconds(aReport.toEnd - aReport.toFirstToken);
    const double time = outputSeconds / (aReport.outputTokens - 1);
    const double weight = speed.samples == 0 ? 1.0 : kSpeedSampleWeight;
    speed.tokenTime = Blend(speed.tokenTime, time, weight);
    speed.bestTokenTime =
      speed.samples == 0
        ? time
        : std::min(speed.bestTokenTime * kBestTimeGrowthPerSample, time);
    speed.samples += 1;
    aState.pool->medianTokenTime = MedianTokenTime(*aState.pool);
  }
}

double
BackendSelector::MedianTokenTime(const Pool& aPool)
{
  constexpr std::size_t kMaxSampledServers = 31;
  std::vector<double> times;
  const auto& states = aPool.states;
  const std::size_t step = 1 + states.size() / kMaxSampledServers;
  for (std::size_t i = 0; i < states.size(); i += step) {
    if (states[i]->speed.samples > 0) {
      times.push_back(states[i]->speed.tokenTime);
    }
  }
  if (times.empty()) {
    return 0;
  }
  const auto middle = times.begin() + static_cast<long>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void
BackendSelector::AdjustSlotLimit(State& aState,
                                 const RunReport& aReport,
                                 TimePoint aNow)
{
  const auto& service = *aState.service;
  if (service.type == document::ServiceType::kPlain) {
    return;
  }
  const double target = ToSeconds(service.firstTokenTarget) +
                        aReport.promptTokens / aState.speed.prefillRate;
  const bool lateFirst = ToSeconds(aReport.toFirstToken) > target;
  const double outputSeconds = ToSeconds(aReport.toEnd - aReport.toFirstToken);
  const bool lateTokens =
    aReport.outputTokens >= 2 && outputSeconds / (aReport.outputTokens - 1) >
                                   ToSeconds(service.interTokenTarget);
  aState.finished += 1;
  if (lateFirst || lateTokens) {
    aState.late += 1;
    if (aNow - aState.lastDecrease >= kMinDecreaseInterval) {
      aState.learnedSlots =
        std::max(1.0, aState.learnedSlots * kSlotLimitDecreaseFactor);
      aState.lastDecrease = aNow;
    }
  } else if (aState.inFlight + 1 >= static_cast<int>(aState.learnedSlots)) {
    const double limit =
      std::max(1.0, static_cast<double>(aState.config.maxSlots) / mVmCount);
    aState.learnedSlots =
      std::min(limit, aState.learnedSlots + 1 / aState.learnedSlots);
  }
}

void
BackendSelector::AddPrefixes(State& aState, const SchedulerRequest& aRequest)
{
  for (const auto hash : aRequest.prefix) {
    if (aState.prefixes.insert(hash).second) {
      aState.prefixOrder.push_back(hash);
    }
  }
  while (aState.prefixOrder.size() > kMaxPrefixBlocks) {
    aState.prefixes.erase(aState.prefixOrder.front());
    aState.prefixOrder.pop_front();
  }
}

std::vector<BackendLoad>
BackendSelector::TakeLoads(const std::vector<std::string>& aNames)
{
  std::vector<BackendLoad> loads;
  for (const auto& name : aNames) {
    const auto found = mStates.find(name);
    if (found == mStates.end()) {
      loads.push_back({ name, 0, 0, 0 });
      continue;
    }
    auto& state = found->second;
    loads.push_back({ name, state.inFlight, state.finished, state.late });
    state.finished = 0;
    state.late = 0;
  }
  return loads;
}

Duration
BackendSelector::MinRunTime(const SchedulerRequest& aRequest, TimePoint aNow)
{
  const auto found = mPools.find(aRequest.service);
  if (found == mPools.end() ||
      mOptions.selectionPolicy != SelectionPolicy::kPredicted) {
    return Duration::zero();
  }
  auto& pool = found->second;
  if (aNow - pool.bestUpdated >= kBestTimeUpdateInterval) {
    UpdateBestTokenTime(pool, aNow);
  }
  if (pool.bestTokenTime <= 0) {
    return Duration::zero();
  }
  // Leaves out the prefill, which cached prefixes can make unnecessary.
  return FromSeconds(aRequest.size.outputTokens * pool.bestTokenTime);
}

void
BackendSelector::UpdateBestTokenTime(Pool& aPool, TimePoint aNow)
{
  aPool.bestUpdated = aNow;
  aPool.bestTokenTime = 0;
  for (const auto* state : aPool.states) {
    const auto& speed = state->speed;
    if (speed.samples == 0) {
      // A server without samples may be faster than all others.
      aPool.bestTokenTime = 0;
      return;
    }
    const bool first = aPool.bestTokenTime <= 0;
    aPool.bestTokenTime =
      first ? speed.tokenTime : std::min(aPool.bestTokenTime, speed.tokenTime);
  }
}

std::vector<BackendStatus>
BackendSelector::Statuses(TimePoint aNow) const
{
  std::vector<BackendStatus> statuses;
  for (const auto& [name, state] : mStates) {
    std::string health = "good";
    if (state.leaving) {
      health = "leaving";
    } else if (state.failures > 0) {
      health = "down";
    } else if (IsStraggler(state)) {
      health = "straggler";
    }
    statuses.push_back({ name,
                         state.config.service,
                         state.config.zone,
                         health,
                         state.inFlight,
                         static_cast<double>(SlotLimit(state, aNow)),
                         state.speed.tokenTime * 1000,
                         state.speed.prefillRate });
  }
  return statuses;
}

} // namespace magnoliatide::policy
