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
  mByService.clear();
  for (auto& [name, state] : mStates) {
    mByService[state.config.service].push_back(&state);
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
  const auto found = mByService.find(aWork.service);
  if (found == mByService.end()) {
    return false;
  }
  return std::any_of(found->second.begin(),
                     found->second.end(),
                     [&](const auto* aState) { return Fits(*aState, aWork); });
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
  if (aState.exclusive || aNow < aState.downUntil) {
    return false;
  }
  if (aAlone && aState.inFlight > 0) {
    return false;
  }
  // After a failure a single request tells whether the server is back.
  if (aState.failures > 0 && aState.inFlight > 0) {
    return false;
  }
  if (IsStraggler(aState) &&
      (aState.inFlight > 0 ||
       aNow - aState.lastProbe < mOptions.probeInterval)) {
    return false;
  }
  return aState.inFlight < CapNow(aState, aNow);
}

bool
BackendBook::IsStraggler(const State& aState) const
{
  if (mOptions.rule != ChoiceRule::kPredicted ||
      aState.speed.samples < kSamplesToJudge) {
    return false;
  }
  const double time = aState.speed.tokenTime;
  const auto median = mMedians.find(aState.config.service);
  const bool overMedian = median != mMedians.end() && median->second > 0 &&
                          time > kStragglerOverMedian * median->second;
  return overMedian || time > kStragglerOverOwn * aState.speed.bestTokenTime;
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

std::optional<std::string>
BackendBook::Choose(const Work& aWork, bool aAlone, TimePoint aNow)
{
  const auto found = mByService.find(aWork.service);
  if (found == mByService.end()) {
    return std::nullopt;
  }
  Fitting room;
  for (auto* state : found->second) {
    if (Fits(*state, aWork) && HasRoom(*state, aAlone, aNow)) {
      room.push_back(state);
    }
  }
  if (room.empty()) {
    return std::nullopt;
  }
  return Pick(room, aWork)->config.name;
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
  // Starting at a random place spreads equal predictions over the servers.
  const auto offset = mRandom() % count;
  for (std::size_t i = 0; i < count; ++i) {
    auto* state = aStates[(i + offset) % count];
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
    auto& median = mMedians[aState.config.service];
    median = MedianTokenTime(aState.config.service);
  }
}

double
BackendBook::MedianTokenTime(const std::string& aService) const
{
  constexpr std::size_t kMostSampled = 31;
  std::vector<double> times;
  const auto& states = mByService.at(aService);
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
BackendBook::TakeLoads(const std::string& aService, const std::string& aZone)
{
  std::vector<BackendLoad> loads;
  const auto found = mByService.find(aService);
  if (found == mByService.end()) {
    return loads;
  }
  for (auto* state : found->second) {
    if (state->config.zone != aZone) {
      continue;
    }
    loads.push_back(
      { state->config.name, state->inFlight, state->finished, state->late });
    state->finished = 0;
    state->late = 0;
  }
  return loads;
}

Duration
BackendBook::ShortestRun(const Work& aWork) const
{
  const auto found = mByService.find(aWork.service);
  if (found == mByService.end()) {
    return Duration::zero();
  }
  double best = -1;
  for (const auto* state : found->second) {
    if (!Fits(*state, aWork) || state->speed.samples == 0) {
      continue;
    }
    const double time = (aWork.size.promptTokens - HitTokens(*state, aWork)) /
                        state->speed.prefillRate;
    best = best < 0 ? time : std::min(best, time);
  }
  return FromSeconds(std::max(0.0, best));
}

double
BackendBook::Capacity(const std::string& aService, TimePoint aNow) const
{
  double slots = 0;
  const auto found = mByService.find(aService);
  if (found == mByService.end()) {
    return slots;
  }
  for (const auto* state : found->second) {
    const bool usable = !state->leaving && aNow >= state->downUntil;
    slots += usable ? CapNow(*state, aNow) : 0;
  }
  return slots;
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
