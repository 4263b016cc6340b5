// Forecasts and bookkeeping for the servers of one service.
#include "magnoliatide/policy/server_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace magnoliatide::policy {

namespace {

/// Tokens of a prompt that an engine reads between two output tokens of the
/// other requests.
constexpr double kPrefillChunk = 2048;

/// Output tokens of one event, for the longest pause of a stream.
constexpr double kTokensPerEvent = 4;

/// Part of a target that a forecast may use, as forecasts err.
constexpr double kTargetPart = 0.85;

/// Added to a forecast for each request there that it would make late.
constexpr double kHarmSeconds = 0.5;

/// Part of a request's time at a server that counts beside the time to the
/// first event when servers are compared.
constexpr double kTotalWeight = 0.5;

/// Seconds that a send to another zone costs when servers are compared, beside
/// the time that it takes.
constexpr double kOtherZoneSeconds = 0.01;

/// Added for a server that would be late, so that any other goes before it.
constexpr double kLateSeconds = 100;

/// A run that lasts longer than expected is expected to go on for this part.
constexpr double kOverdue = 0.125;

/// Servers of a zone that must leave connections unanswered.
constexpr std::size_t kUnansweredServers = 2;

/// Slots that are looked at when a request waits for one that frees soon.
constexpr std::size_t kMostFreeings = 64;

/// How long a forecast of freeing slots may stay as it was.
constexpr Duration kFreeingsAge = Milliseconds(10);

/// How long the sum of what all servers do may stay as it was.
constexpr Duration kCapacityAge = Milliseconds(50);

/// By how much older requests count less with each new one, in the part of
/// their time that they are on the way.
constexpr double kOverheadForget = 0.98;

/// Steps in which that part is followed.
constexpr double kOnTheWaySteps = 8;

constexpr double kFailureFollow = 0.05;
constexpr int kLearnsPerTypical = 8;

bool
Contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

} // namespace

void
ServerPool::SetServer(const routing::Server& aServer)
{
  auto& slot = mServers[aServer.id];
  if (!slot) {
    slot = std::make_unique<PoolServer>();
  } else if (slot->facts.started != aServer.started) {
    slot->standings.clear();
    slot->speed = ServerSpeed();
  }
  slot->facts = aServer;
  mCapacities.clear();
  Relist(*slot);
}

/// Keeps a server among the open ones or takes it off them, by what it runs.
void
ServerPool::Relist(PoolServer& aServer)
{
  const int room = SlotsOf(aServer) + OnTheWayOf(aServer) + kMostQueued;
  const bool open =
    !aServer.facts.leaving && static_cast<int>(aServer.running.size()) < room;
  if (open && !aServer.listed) {
    aServer.listed = true;
    mOpen.push_back(&aServer);
  } else if (!open) {
    Unlist(aServer);
  }
}

void
ServerPool::Unlist(PoolServer& aServer)
{
  if (aServer.listed) {
    aServer.listed = false;
    std::erase(mOpen, &aServer);
  }
}

void
ServerPool::SetPart(double aPart)
{
  if (aPart == mPart) {
    return;
  }
  mPart = aPart;
  mCapacities.clear();
  for (auto& [id, server] : mServers) {
    Relist(*server);
  }
}

void
ServerPool::RemoveMissing(const routing::Roster& aRoster)
{
  mFreeingsAt = TimePoint{};
  for (auto at = mServers.begin(); at != mServers.end();) {
    const bool gone = aRoster.count(at->first) == 0;
    if (gone) {
      at->second->facts.leaving = true;
      Unlist(*at->second);
    }
    if (gone && at->second->running.empty()) {
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
ServerPool::Start(PoolServer& aServer, RunningJob aJob)
{
  aJob.server = &aServer;
  aJob.prefillTokens = aServer.prefillAhead + aJob.job.promptTokens;
  const auto key = aJob.key;
  auto& running = mRunning[key] = std::move(aJob);
  if (!running.firstSeen) {
    aServer.prefillAhead += running.job.promptTokens;
  }
  aServer.running.push_back(&running);
  Relist(aServer);
  return running;
}

RunningJob*
ServerPool::FindRunning(const JobKey& aKey)
{
  const auto found = mRunning.find(aKey);
  return found == mRunning.end() ? nullptr : &found->second;
}

void
ServerPool::NoteFirst(RunningJob& aJob)
{
  if (!aJob.firstSeen) {
    aJob.firstSeen = true;
    aJob.server->prefillAhead -= aJob.job.promptTokens;
  }
}

void
ServerPool::End(const JobKey& aKey)
{
  const auto found = mRunning.find(aKey);
  if (found == mRunning.end()) {
    return;
  }
  NoteFirst(found->second);
  auto& server = *found->second.server;
  std::erase(server.running, &found->second);
  mRunning.erase(found);
  Relist(server);
}

std::vector<JobKey>
ServerPool::RunningOf(std::uint64_t aVm, TimePoint aBefore) const
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
ServerPool::Learn(const RunningJob& aJob,
                  const SendReport& aReport,
                  TimePoint aNow)
{
  const auto& job = aJob.job;
  auto& failures = mFailures[job.kind];
  const auto result = aReport.result;
  aJob.server->standings[aJob.zone].Note(result, failures, aNow);
  LearnWay(aJob, result, aNow);
  if (result == SendResult::kWhole || result == SendResult::kFailed) {
    const double failed = result == SendResult::kFailed ? 1 : 0;
    failures += kFailureFollow * (failed - failures);
  }
  if (result != SendResult::kWhole) {
    return;
  }
  SpeedSample sample;
  sample.plain = !job.stream;
  sample.prefillTokens = aJob.prefillTokens;
  sample.toFirst = std::max<Duration>(
    aReport.toFirstEvent - Way(*aJob.server, aJob.zone), Duration::zero());
  sample.outputTokens = aReport.laterTokens;
  sample.output = aReport.toEnd - aReport.toFirstEvent;
  mSpeed.Learn(aJob.server->speed, sample);
  UpdateTypical();
}

void
ServerPool::LearnOverhead(const RunningJob& aJob,
                          const SendReport& aReport,
                          TimePoint aNow)
{
  const Duration counted = aNow - aJob.sent;
  const Duration busy = aReport.toEnd - Way(*aJob.server, aJob.zone);
  if (busy <= Duration::zero() || counted <= busy) {
    return;
  }
  // One that was held up, as a message was lost, tells nothing of the others.
  const Duration overhead = std::min(counted - busy, busy);
  mBusySeconds = mBusySeconds * kOverheadForget + ToSeconds(busy);
  mOverheadSeconds = mOverheadSeconds * kOverheadForget + ToSeconds(overhead);
  const double steps =
    std::round(mOverheadSeconds / mBusySeconds * kOnTheWaySteps);
  const double onTheWay = steps / kOnTheWaySteps;
  if (onTheWay != mOnTheWay) {
    mOnTheWay = onTheWay;
    for (auto& [id, server] : mServers) {
      Relist(*server);
    }
  }
}

/// Returns how many requests that count as running are not at a server yet or
/// any more while all its slots are busy. Parts of one are left out: it would
/// wait for a slot of a server that is busy with long requests.
int
ServerPool::OnTheWayOf(const PoolServer& aServer) const
{
  return static_cast<int>(SlotsOf(aServer) * mOnTheWay);
}

/// Several servers of a zone that leave connections unanswered mean that there
/// is no way to the zone, whatever the servers do.
void
ServerPool::LearnWay(const RunningJob& aJob, SendResult aResult, TimePoint aNow)
{
  const auto& zone = aJob.server->facts.zone;
  if (zone == aJob.zone) {
    return;
  }
  auto& way = mWays[aJob.zone][zone];
  if (aResult == SendResult::kNoWay || aResult == SendResult::kSilent) {
    way.unanswered.insert(aJob.server->facts.id);
    if (way.unanswered.size() >= kUnansweredServers) {
      way.standing.Note(SendResult::kNoWay, 0, aNow);
    }
  } else if (aResult == SendResult::kWhole) {
    way.unanswered.clear();
    way.standing.Note(aResult, 0, aNow);
  }
}

/// Returns the lesser of the trust in a server and in the way to its zone.
Trust
ServerPool::TrustIn(const PoolServer& aServer,
                    const std::string& aZone,
                    TimePoint aNow) const
{
  Trust trust = Trust::kGood;
  const auto standing = aServer.standings.find(aZone);
  if (standing != aServer.standings.end()) {
    trust = standing->second.TrustAt(aNow);
  }
  const auto ways = mWays.find(aZone);
  if (ways == mWays.end()) {
    return trust;
  }
  const auto way = ways->second.find(aServer.facts.zone);
  return way == ways->second.end()
           ? trust
           : std::max(trust, way->second.standing.TrustAt(aNow));
}

void
ServerPool::NoteProbe(PoolServer& aServer,
                      const std::string& aZone,
                      TimePoint aNow)
{
  aServer.standings[aZone].NoteProbe(aNow);
  const auto ways = mWays.find(aZone);
  if (ways == mWays.end()) {
    return;
  }
  const auto way = ways->second.find(aServer.facts.zone);
  if (way != ways->second.end()) {
    way->second.standing.NoteProbe(aNow);
  }
}

void
ServerPool::UpdateTypical()
{
  mLearnedSinceTypical += 1;
  if (mLearnedSinceTypical < kLearnsPerTypical) {
    return;
  }
  mLearnedSinceTypical = 0;
  std::vector<ServerSpeed> speeds;
  for (const auto& [id, server] : mServers) {
    speeds.push_back(server->speed);
  }
  mSpeed.SetTypical(speeds);
}

Duration
ServerPool::Way(const PoolServer& aServer, const std::string& aZone) const
{
  return aServer.facts.zone == aZone ? Duration::zero() : mOptions.betweenZones;
}

bool
ServerPool::MayUse(const PoolServer& aServer,
                   const Job& aJob,
                   const std::string& aZone,
                   TimePoint aNow) const
{
  if (aServer.facts.leaving || Contains(aJob.avoid, aServer.facts.id)) {
    return false;
  }
  return TrustIn(aServer, aZone, aNow) != Trust::kDown;
}

bool
ServerPool::AnyTrusted(const Job& aJob,
                       const std::string& aZone,
                       TimePoint aNow) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
    return MayUse(*aEntry.second, aJob, aZone, aNow);
  });
}

bool
ServerPool::AnyUsable(const Job& aJob,
                      const std::string& aZone,
                      TimePoint aNow) const
{
  if (AnyTrusted(aJob, aZone, aNow)) {
    return true;
  }
  const bool present =
    std::any_of(mServers.begin(), mServers.end(), [](const auto& aEntry) {
      return !aEntry.second->facts.leaving;
    });
  return present && aJob.avoid.empty();
}

int
ServerPool::SlotsOf(const PoolServer& aServer) const
{
  return std::max(1, static_cast<int>(aServer.facts.slots * mPart));
}

int
ServerPool::FreeSlotsOf(const PoolServer& aServer) const
{
  return SlotsOf(aServer) + OnTheWayOf(aServer) + mQueued -
         static_cast<int>(aServer.running.size());
}

int
ServerPool::FreeSlots() const
{
  int free = 0;
  for (const auto* server : mOpen) {
    free += std::max(0, FreeSlotsOf(*server));
  }
  return free;
}

int
ServerPool::Slots() const
{
  int slots = 0;
  for (const auto& [id, server] : mServers) {
    slots += server->facts.leaving ? 0 : SlotsOf(*server);
  }
  return slots;
}

Forecast
ServerPool::BestFree(const Job& aJob, const std::string& aZone, TimePoint aNow)
{
  Forecast best;
  Forecast probe;
  double least = std::numeric_limits<double>::max();
  for (auto* server : mOpen) {
    if (FreeSlotsOf(*server) <= 0 || !MayUse(*server, aJob, aZone, aNow)) {
      continue;
    }
    const auto forecast = Predict(*server, aJob, aZone, aNow);
    if (forecast.probe) {
      probe = forecast;
      continue;
    }
    const double score = ScoreOf(forecast, aJob, aZone);
    if (score < least) {
      least = score;
      best = forecast;
    }
  }
  // A server that is not trusted is tried by a request that has another chance,
  // or where there is no other server.
  const bool tries =
    probe.server != nullptr && (aJob.spare || best.server == nullptr);
  if (best.server == nullptr && !tries) {
    return LastResort(aJob, aZone, aNow);
  }
  return tries ? probe : best;
}

/// Returns a server that is not trusted, where none is: to refuse everything
/// would be worse than one try.
Forecast
ServerPool::LastResort(const Job& aJob,
                       const std::string& aZone,
                       TimePoint aNow)
{
  Forecast best;
  if (!aJob.avoid.empty() || AnyTrusted(aJob, aZone, aNow)) {
    return best;
  }
  for (auto* server : mOpen) {
    const bool sooner = best.server == nullptr ||
                        server->running.size() < best.server->running.size();
    if (FreeSlotsOf(*server) > 0 && sooner) {
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
  forecast.probe = TrustIn(aServer, aZone, aNow) == Trust::kProbe;
  const double factor = mSpeed.FactorOf(aServer.speed);
  const double seconds =
    aJob.stream ? mSpeed.ToFirst(aServer.prefillAhead + aJob.promptTokens)
                : mSpeed.Plain();
  forecast.toFirst = Way(aServer, aZone) + FromSeconds(factor * seconds);
  const double slack = ToSeconds(aJob.arrival + aJob.target - aNow);
  forecast.inTime = ToSeconds(forecast.toFirst) <= kTargetPart * slack;
  return forecast;
}

double
ServerPool::ScoreOf(const Forecast& aForecast,
                    const Job& aJob,
                    const std::string& aZone) const
{
  const auto& server = *aForecast.server;
  const double first = ToSeconds(aForecast.toFirst);
  const double output = aJob.stream ? mSpeed.FactorOf(server.speed) *
                                        mSpeed.Output(aJob.outputTokens)
                                    : 0;
  double score =
    first + kTotalWeight * (first + output) + kHarmSeconds * Harm(server, aJob);
  if (server.facts.zone != aZone) {
    score += kOtherZoneSeconds;
  }
  return aForecast.inTime ? score : score + kLateSeconds;
}

/// Returns how many streams at a server would pause for too long while a
/// request's prompt is read: each of their tokens waits for a chunk of it.
double
ServerPool::Harm(const PoolServer& aServer, const Job& aJob) const
{
  if (!aJob.stream) {
    return 0;
  }
  const double chunk = std::min(aJob.promptTokens, kPrefillChunk);
  const double chunks = std::clamp(
    std::ceil(aJob.promptTokens / kPrefillChunk), 1.0, kTokensPerEvent);
  const double pause =
    mSpeed.FactorOf(aServer.speed) * mSpeed.Prefill(chunk) * chunks;
  double harmed = 0;
  for (const auto* other : aServer.running) {
    const double bound = ToSeconds(other->job.gapTarget);
    harmed += other->firstSeen && bound > 0 && pause > bound ? 1 : 0;
  }
  return harmed;
}

Duration
ServerPool::ToFirstAfter(const Freeing& aFreeing,
                         const Job& aJob,
                         const std::string& aZone) const
{
  const auto& server = *aFreeing.server;
  const double seconds =
    aJob.stream ? mSpeed.ToFirst(server.prefillAhead + aJob.promptTokens)
                : mSpeed.Plain();
  return aFreeing.time + Way(server, aZone) +
         FromSeconds(mSpeed.FactorOf(server.speed) * seconds);
}

const std::vector<Freeing>&
ServerPool::Freeings(TimePoint aNow)
{
  if (mFreeingsAt != TimePoint{} && aNow - mFreeingsAt < kFreeingsAge) {
    return mFreeings;
  }
  mFreeingsAt = aNow;
  auto& freeings = mFreeings;
  freeings.clear();
  freeings.reserve(mRunning.size());
  for (const auto& [key, running] : mRunning) {
    auto& server = *running.server;
    if (server.facts.leaving) {
      continue;
    }
    const double total = mSpeed.FactorOf(server.speed) * WorkOf(running.job);
    const double left = total - ToSeconds(aNow - running.sent);
    freeings.push_back(
      { FromSeconds(std::max(left, total * kOverdue)), &server });
  }
  const auto kept = std::min(freeings.size(), kMostFreeings);
  std::partial_sort(
    freeings.begin(),
    freeings.begin() + static_cast<std::ptrdiff_t>(kept),
    freeings.end(),
    [](const auto& aL, const auto& aR) { return aL.time < aR.time; });
  freeings.resize(kept);
  return freeings;
}

Duration
ServerPool::TypicalFirst(const Job& aJob) const
{
  const double seconds =
    aJob.stream ? mSpeed.ToFirst(aJob.promptTokens) : mSpeed.Plain();
  return FromSeconds(mSpeed.Typical() * seconds);
}

double
ServerPool::WorkOf(const Job& aJob) const
{
  if (!aJob.stream) {
    return mSpeed.Plain();
  }
  return mSpeed.ToFirst(aJob.promptTokens) + mSpeed.Output(aJob.outputTokens);
}

double
ServerPool::Capacity(const std::string& aZone, TimePoint aNow)
{
  constexpr double kLeast = 0.01;
  const auto known = mCapacities.find(aZone);
  if (known != mCapacities.end() && aNow - known->second.at < kCapacityAge) {
    return known->second.capacity;
  }
  double capacity = 0;
  for (const auto& [id, server] : mServers) {
    const bool counts =
      !server->facts.leaving && TrustIn(*server, aZone, aNow) == Trust::kGood;
    if (counts) {
      capacity += SlotsOf(*server) / mSpeed.FactorOf(server->speed);
    }
  }
  capacity = std::max(capacity, kLeast);
  mCapacities[aZone] = { capacity, aNow };
  return capacity;
}

} // namespace magnoliatide::policy
