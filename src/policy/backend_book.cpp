// Standing, speed and choice of backend servers.
#include "magnoliatide/policy/backend_book.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy {

namespace {

constexpr double kSpeedGain = 0.2;         ///< Weight of a new sample.
constexpr double kBestDrift = 1.002;       ///< Growth of a low mark a sample.
constexpr double kStragglerOverOwn = 4;    ///< Times its own best.
constexpr double kStragglerOverMedian = 6; ///< Times the service's median.
constexpr int kSamplesToJudge = 5;
constexpr double kCapDecrease = 0.85;
constexpr double kCrossZoneSeconds = 0.005;
constexpr std::size_t kPrefixesHeld = 4096;
constexpr std::size_t kMostCandidates = 16;
constexpr Duration kJudgeInterval = Milliseconds(200);
constexpr double kTokensPerPrefixBlock = 64;
constexpr Duration kFirstDownTime = Milliseconds(500);
constexpr Duration kLongestDownTime = Seconds(10);
constexpr Duration kDecreaseInterval = Milliseconds(300);

double
Blend(double aOld, double aNew, double aGain)
{
  return aOld + (aNew - aOld) * aGain;
}

bool
Contains(const std::vector<std::string>& aItems, const std::string& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

} // namespace

BackendBook::BackendBook(BookOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
}

void
BackendBook::Apply(const document::Document& aDocument)
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
      state.cap = std::max(1.0, static_cast<double>(backend.slots) / mSharers);
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
BackendBook::SetSharers(int aVms)
{
  mSharers = std::max(1, aVms);
}

void
BackendBook::SetLeaving(std::set<std::string> aNames)
{
  mLeaving = std::move(aNames);
  for (auto& [name, state] : mStates) {
    state.leaving = mLeaving.count(name) > 0;
    state.pool->fitsAll.clear();
  }
}

void
BackendBook::SetGrant(const std::string& aName, int aSlots, TimePoint aUntil)
{
  const auto found = mStates.find(aName);
  if (found != mStates.end()) {
    found->second.granted = aSlots;
    found->second.grantedUntil = aUntil;
  }
}

bool
BackendBook::Fits(const State& aState, const Work& aWork) const
{
  if (aState.leaving || aState.config.service != aWork.service) {
    return false;
  }
  const bool plain = aState.service->type == document::ServiceType::kPlain;
  if (plain) {
    return true;
  }
  const bool model =
    aWork.model.empty() || Contains(aState.config.models, aWork.model);
  const bool adapter =
    aWork.adapter.empty() || Contains(aState.config.adapters, aWork.adapter);
  return model && adapter && aState.config.role != "standby";
}

bool
BackendBook::AnyFits(const Work& aWork) const
{
  const auto found = mPools.find(aWork.service);
  if (found == mPools.end()) {
    return false;
  }
  return std::any_of(found->second.states.begin(),
                     found->second.states.end(),
                     [&](const auto* aState) { return Fits(*aState, aWork); });
}

bool
BackendBook::FitsAll(const Work& aWork)
{
  const auto found = mPools.find(aWork.service);
  if (found == mPools.end()) {
    return false;
  }
  auto& pool = found->second;
  const auto [answer, fresh] =
    pool.fitsAll.try_emplace(aWork.model + "\n" + aWork.adapter, false);
  if (fresh) {
    answer->second = std::all_of(
      pool.states.begin(), pool.states.end(), [&](const auto* aState) {
        return aState->leaving || Fits(*aState, aWork);
      });
  }
  return answer->second;
}

int
BackendBook::CapNow(const State& aState, TimePoint aNow) const
{
  if (aState.granted >= 0 && aNow < aState.grantedUntil) {
    return aState.granted;
  }
  const double share =
    std::max(1.0, static_cast<double>(aState.config.slots) / mSharers);
  const double cap = mOptions.learnLimits ? aState.cap : share;
  return static_cast<int>(std::max(1.0, std::floor(cap)));
}

bool
BackendBook::HasRoom(const State& aState, bool aAlone, TimePoint aNow) const
{
  if (aState.inFlight >= CapNow(aState, aNow) || aState.exclusive ||
      aNow < aState.downUntil) {
    return false;
  }
  // After a failure a single request tells whether the server is back.
  const bool single = aAlone || aState.failures > 0;
  if (single && aState.inFlight > 0) {
    return false;
  }
  const bool probing =
    aState.inFlight > 0 || aNow - aState.lastProbe < mOptions.probeInterval;
  return !(probing && IsStraggler(aState));
}

bool
BackendBook::IsStraggler(const State& aState) const
{
  if (mOptions.rule != ChoiceRule::kPredicted ||
      aState.speed.samples < kSamplesToJudge) {
    return false;
  }
  const double time = aState.speed.tokenTime;
  const double median = aState.pool->medianTokenTime;
  return (median > 0 && time > kStragglerOverMedian * median) ||
         time > kStragglerOverOwn * aState.speed.bestTokenTime;
}

bool
BackendBook::MeetsDeadline(const State& aState,
                           const Work& aWork,
                           TimePoint aNow) const
{
  const auto& speed = aState.speed;
  if (mOptions.rule != ChoiceRule::kPredicted || speed.samples == 0) {
    return true;
  }
  const double prefill =
    aState.prefillAhead + aWork.size.promptTokens - HitTokens(aState, aWork);
  const double run =
    prefill / speed.prefillRate + aWork.size.outputTokens * speed.tokenTime;
  return aNow + FromSeconds(run) <= aWork.deadline;
}

double
BackendBook::HitTokens(const State& aState, const Work& aWork) const
{
  double tokens = 0;
  for (const auto hash : aWork.prefix) {
    if (aState.prefixes.count(hash) == 0) {
      break;
    }
    tokens += kTokensPerPrefixBlock;
  }
  return std::min(tokens, aWork.size.promptTokens);
}

double
BackendBook::Predict(const State& aState, const Work& aWork) const
{
  const auto& speed = aState.speed;
  const double prefill =
    aState.prefillAhead + aWork.size.promptTokens - HitTokens(aState, aWork);
  const int cap = std::max(1, aState.config.slots);
  const double crowding = 1.0 + static_cast<double>(aState.inFlight) / cap;
  const double far =
    aState.config.zone == mOptions.zone ? 0 : kCrossZoneSeconds;
  return far + prefill / speed.prefillRate +
         aWork.size.outputTokens * speed.tokenTime * crowding;
}

/// Adds a server to the candidates if it fits. Returns whether it had room.
bool
BackendBook::Consider(State& aState,
                      const Work& aWork,
                      bool aAlone,
                      TimePoint aNow,
                      Fitting& aCandidates) const
{
  if (!HasRoom(aState, aAlone, aNow) || !Fits(aState, aWork)) {
    return false;
  }
  if (MeetsDeadline(aState, aWork, aNow)) {
    aCandidates.push_back(&aState);
  }
  return true;
}

Choice
BackendBook::Choose(const Work& aWork,
                    bool aAlone,
                    TimePoint aNow,
                    const std::string& aOnly)
{
  Choice choice;
  Fitting candidates;
  const auto only = mStates.find(aOnly);
  if (only != mStates.end()) {
    choice.hadRoom = Consider(only->second, aWork, aAlone, aNow, candidates);
    choice.backend = candidates.empty() ? "" : aOnly;
    return choice;
  }
  const auto found = mPools.find(aWork.service);
  if (found == mPools.end() || found->second.states.empty()) {
    return choice;
  }
  const auto& states = found->second.states;
  // Starting at a random place spreads equal predictions over the servers,
  // and lets a bounded number of candidates stand for all.
  const auto offset = mRandom() % states.size();
  for (std::size_t i = 0;
       i < states.size() && candidates.size() < kMostCandidates;
       ++i) {
    auto& state = *states[(i + offset) % states.size()];
    const bool room = Consider(state, aWork, aAlone, aNow, candidates);
    choice.hadRoom = choice.hadRoom || room;
  }
  if (!candidates.empty()) {
    choice.backend = Pick(candidates, aWork)->config.name;
  }
  return choice;
}

BackendBook::State*
BackendBook::Pick(const Fitting& aStates, const Work& aWork)
{
  const auto count = aStates.size();
  switch (mOptions.rule) {
    case ChoiceRule::kRoundRobin:
      return aStates[mTurn++ % count];
    case ChoiceRule::kLeastOutstanding:
      return *std::min_element(
        aStates.begin(), aStates.end(), [](const auto* aL, const auto* aR) {
          return aL->inFlight < aR->inFlight;
        });
    case ChoiceRule::kTwoChoices: {
      auto* first = aStates[mRandom() % count];
      auto* second = aStates[mRandom() % count];
      return first->inFlight <= second->inFlight ? first : second;
    }
    case ChoiceRule::kPredicted:
      break;
  }
  State* best = nullptr;
  double bestTime = 0;
  for (auto* state : aStates) {
    const double time = Predict(*state, aWork);
    if (best == nullptr || time < bestTime) {
      best = state;
      bestTime = time;
    }
  }
  return best;
}

void
BackendBook::Started(const std::string& aName,
                     const Work& aWork,
                     bool aAlone,
                     TimePoint aNow)
{
  const auto found = mStates.find(aName);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.inFlight += 1;
  state.prefillAhead += aWork.size.promptTokens;
  state.exclusive = state.exclusive || aAlone;
  state.lastProbe = aNow;
  RememberPrefix(state, aWork);
}

void
BackendBook::FirstToken(const std::string& aName, const Work& aWork)
{
  const auto found = mStates.find(aName);
  if (found != mStates.end()) {
    auto& ahead = found->second.prefillAhead;
    ahead = std::max(0.0, ahead - aWork.size.promptTokens);
  }
}

void
BackendBook::Finished(const std::string& aName,
                      const Work& aWork,
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
    state.prefillAhead = 0;
  } else if (aReport.toFirstToken == Duration::zero()) {
    FirstToken(aName, aWork);
  }
  if (aReport.result == RunResult::kCut ||
      aReport.result == RunResult::kNotSent) {
    NoteFailure(state, aNow);
    return;
  }
  if (aReport.result == RunResult::kWhole) {
    state.failures = 0;
    Learn(state, aReport);
    AdjustCap(state, aReport, aNow);
  }
}

void
BackendBook::NoteFailure(State& aState, TimePoint aNow)
{
  aState.failures += 1;
  const int doublings = std::min(aState.failures - 1, 8);
  aState.downUntil =
    aNow + std::min(kLongestDownTime, kFirstDownTime * (1 << doublings));
}

void
BackendBook::Learn(State& aState, const RunReport& aReport)
{
  auto& speed = aState.speed;
  const double first = ToSeconds(aReport.toFirstToken);
  if (first > 0 && aReport.promptTokens > 0) {
    const double rate = aReport.promptTokens / first;
    // A short prompt's first token is mostly overhead, so it says little.
    const double gain =
      kSpeedGain * std::min(1.0, aReport.promptTokens / 1000.0);
    speed.prefillRate = Blend(speed.prefillRate, rate, gain);
  }
  if (aReport.outputTokens >= 2) {
    const double rest = ToSeconds(aReport.toEnd - aReport.toFirstToken);
    const double time = rest / (aReport.outputTokens - 1);
    const double gain = speed.samples == 0 ? 1.0 : kSpeedGain;
    speed.tokenTime = Blend(speed.tokenTime, time, gain);
    speed.bestTokenTime = speed.samples == 0
                            ? time
                            : std::min(speed.bestTokenTime * kBestDrift, time);
    speed.samples += 1;
    aState.pool->medianTokenTime = MedianTokenTime(*aState.pool);
  }
}

double
BackendBook::MedianTokenTime(const Pool& aPool)
{
  constexpr std::size_t kMostSampled = 31;
  std::vector<double> times;
  const auto& states = aPool.states;
  const std::size_t step = 1 + states.size() / kMostSampled;
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
BackendBook::AdjustCap(State& aState, const RunReport& aReport, TimePoint aNow)
{
  const auto& service = *aState.service;
  if (service.type == document::ServiceType::kPlain) {
    return;
  }
  const double target = ToSeconds(service.firstTokenTarget) +
                        aReport.promptTokens / aState.speed.prefillRate;
  const bool lateFirst = ToSeconds(aReport.toFirstToken) > target;
  const double rest = ToSeconds(aReport.toEnd - aReport.toFirstToken);
  const bool lateTokens =
    aReport.outputTokens >= 2 &&
    rest / (aReport.outputTokens - 1) > ToSeconds(service.interTokenTarget);
  aState.finished += 1;
  if (lateFirst || lateTokens) {
    aState.late += 1;
    if (aNow - aState.lastDecrease >= kDecreaseInterval) {
      aState.cap = std::max(1.0, aState.cap * kCapDecrease);
      aState.lastDecrease = aNow;
    }
  } else if (aState.inFlight + 1 >= static_cast<int>(aState.cap)) {
    const double most =
      std::max(1.0, static_cast<double>(aState.config.maxSlots) / mSharers);
    aState.cap = std::min(most, aState.cap + 1 / aState.cap);
  }
}

void
BackendBook::RememberPrefix(State& aState, const Work& aWork)
{
  for (const auto hash : aWork.prefix) {
    if (aState.prefixes.insert(hash).second) {
      aState.prefixOrder.push_back(hash);
    }
  }
  while (aState.prefixOrder.size() > kPrefixesHeld) {
    aState.prefixes.erase(aState.prefixOrder.front());
    aState.prefixOrder.pop_front();
  }
}

std::vector<BackendLoad>
BackendBook::TakeLoads(const std::vector<std::string>& aNames)
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
BackendBook::ShortestRun(const Work& aWork, TimePoint aNow)
{
  const auto found = mPools.find(aWork.service);
  if (found == mPools.end() || mOptions.rule != ChoiceRule::kPredicted) {
    return Duration::zero();
  }
  auto& pool = found->second;
  if (aNow - pool.judged >= kJudgeInterval) {
    Judge(pool, aNow);
  }
  if (pool.bestTokenTime <= 0) {
    return Duration::zero();
  }
  // Known prefixes may save the whole prefill.
  return FromSeconds(aWork.size.outputTokens * pool.bestTokenTime);
}

void
BackendBook::Judge(Pool& aPool, TimePoint aNow)
{
  aPool.judged = aNow;
  aPool.bestTokenTime = 0;
  for (const auto* state : aPool.states) {
    const auto& speed = state->speed;
    if (speed.samples == 0) {
      // A server that was not measured may be faster than all others.
      aPool.bestTokenTime = 0;
      return;
    }
    const bool first = aPool.bestTokenTime <= 0;
    aPool.bestTokenTime =
      first ? speed.tokenTime : std::min(aPool.bestTokenTime, speed.tokenTime);
  }
}

std::vector<BackendView>
BackendBook::View(TimePoint aNow) const
{
  std::vector<BackendView> views;
  for (const auto& [name, state] : mStates) {
    std::string standing = "good";
    if (state.leaving) {
      standing = "leaving";
    } else if (state.failures > 0) {
      standing = "down";
    } else if (IsStraggler(state)) {
      standing = "straggler";
    }
    views.push_back({ name,
                      state.config.service,
                      state.config.zone,
                      standing,
                      state.inFlight,
                      static_cast<double>(CapNow(state, aNow)),
                      state.speed.tokenTime * 1000,
                      state.speed.prefillRate });
  }
  return views;
}

} // namespace magnoliatide::policy
