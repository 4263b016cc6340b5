// Implementation of the load simulation.
#include "load_model.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy::testing {

namespace {

constexpr const char* kService = "service";
constexpr Duration kTickInterval = Milliseconds(15);

/// Times of an engine of factor 1.
constexpr double kSecondsPerPrefillToken = 1.6e-5; ///< Per prompt token.
constexpr double kSecondsPerOutputToken = 0.004;   ///< Per output token.
constexpr double kSecondsPerRequest = 0.005;       ///< Fixed overhead.

constexpr std::uint64_t kVm = 1;

/// How long a server is down after a crash by kDeadlyPart.
constexpr Duration kDownTime = Seconds(3);

/// How long a server is down before it starts again cold.
constexpr Duration kColdDownTime = Seconds(1);

/// The operators' bound of the requests to a cold server.
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5;

/// Servers that a caller with kDeadlyPart tries.
constexpr std::size_t kDeadlyAttempts = 2;

} // namespace

LoadModel::LoadModel(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mAllocator([&] {
    AllocatorOptions options;
    options.seed = aSeed;
    options.pool.coldBounds = { kColdOverage, kColdSlack };
    return options;
  }())
{
}

void
LoadModel::Add(const EngineGroup& aEngines)
{
  for (int i = 0; i < aEngines.count; ++i) {
    Engine engine;
    engine.descriptor.id =
      aEngines.zone + "-" + std::to_string(mEngines.size() + 1);
    engine.descriptor.service = kService;
    engine.descriptor.zone = aEngines.zone;
    engine.descriptor.slots = aEngines.slots;
    engine.factor = aEngines.factor;
    mEngines[engine.descriptor.id] = engine;
  }
  PublishServers();
}

void
LoadModel::PublishServers()
{
  routing::Roster roster;
  for (const auto& [id, engine] : mEngines) {
    roster[id] = engine.descriptor;
  }
  Apply(mAllocator.SetServers(roster, mNow));
}

void
LoadModel::Add(const Traffic& aTraffic)
{
  mTraffic.push_back(aTraffic);
  const Traffic& traffic = mTraffic.back();
  Schedule(mNow + traffic.from, [this, &traffic] { ScheduleArrival(traffic); });
}

void
LoadModel::SetServerUp(const std::string& aServer, bool aUp, Duration aAt)
{
  Schedule(mNow + aAt, [this, aServer, aUp] {
    auto& engine = mEngines.at(aServer);
    engine.up = aUp;
    if (!aUp) {
      Crash(engine);
    }
  });
}

void
LoadModel::SetRateLimit(const std::string& aServer,
                        std::optional<double> aPerSecond,
                        Duration aAt)
{
  Schedule(mNow + aAt, [this, aServer, aPerSecond] {
    const auto started = mEngines.at(aServer).descriptor.started;
    mAllocator.MergeRateLimit({ aServer, started, aPerSecond, mNow }, mNow);
  });
}

void
LoadModel::SetColdLimit(const ColdLimit& aLimit)
{
  mColdLimit = aLimit;
  routing::Service service;
  service.name = kService;
  service.coldTime = aLimit.time;
  service.coldRequestsPerSecond = aLimit.perSecond;
  mAllocator.SetServices({ service }, mNow);
  mAllocator.SetColdPermitted(true, mNow);
}

void
LoadModel::RestartCold(const std::string& aServer, Duration aAt)
{
  Schedule(mNow + aAt,
           [this, aServer] { CrashAndRestart(mEngines.at(aServer)); });
}

/// Crashes a server, which starts again as a new and cold incarnation.
void
LoadModel::CrashAndRestart(Engine& aEngine)
{
  aEngine.up = false;
  Crash(aEngine);
  Schedule(mNow + kColdDownTime, [this, &aEngine] {
    aEngine.up = true;
    aEngine.prefillFree = mNow;
    aEngine.coldUntil = mNow + mColdLimit.time;
    aEngine.descriptor.started += 1;
    aEngine.descriptor.warmup = mColdLimit.time;
    PublishServers();
  });
}

void
LoadModel::SetEvacuated(const std::string& aZone, bool aEvacuated, Duration aAt)
{
  Schedule(mNow + aAt, [this, aZone, aEvacuated] {
    for (auto& [id, engine] : mEngines) {
      if (engine.descriptor.zone == aZone) {
        engine.descriptor.evacuated = aEvacuated;
        engine.coldUntil = aEvacuated ? TimePoint() : mNow + mColdLimit.time;
      }
    }
    PublishServers();
  });
}

/// Returns whether a server gets twice as many requests as it tolerates while
/// it is cold.
bool
LoadModel::IsOverloadedCold(const Engine& aEngine) const
{
  if (mNow >= aEngine.coldUntil) {
    return false;
  }
  const auto recent =
    std::count_if(aEngine.arrivals.rbegin(),
                  aEngine.arrivals.rend(),
                  [&](TimePoint aAt) { return mNow - aAt < Seconds(1); });
  return static_cast<double>(recent) > 2 * mColdLimit.perSecond;
}

void
LoadModel::Schedule(TimePoint aTime, std::function<void()> aAction)
{
  mEvents.push({ aTime, ++mLastEventOrder, std::move(aAction) });
}

void
LoadModel::Run(Duration aTime)
{
  const TimePoint end = mNow + aTime;
  if (!mTickScheduled) {
    mTickScheduled = true;
    Schedule(mNow + kTickInterval, [this] {
      mTickScheduled = false;
      Apply(mAllocator.Tick(mNow));
    });
  }
  while (!mEvents.empty() && mEvents.top().at <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.at;
    event.action();
    if (!mTickScheduled) {
      mTickScheduled = true;
      Schedule(mNow + kTickInterval, [this] {
        mTickScheduled = false;
        Apply(mAllocator.Tick(mNow));
      });
    }
  }
  mNow = end;
}

void
LoadModel::ScheduleArrival(const Traffic& aTraffic)
{
  std::exponential_distribution<double> pause(aTraffic.perSecond);
  const TimePoint next = mNow + FromSeconds(pause(mRandom));
  if (next - kStart > aTraffic.until) {
    return;
  }
  Schedule(next, [this, &aTraffic] {
    Arrive(aTraffic);
    ScheduleArrival(aTraffic);
  });
}

double
LoadModel::RandomSize(double aMean, double aSigma)
{
  // This mu gives the log-normal distribution a mean of aMean.
  std::lognormal_distribution<double> size(
    std::log(aMean) - aSigma * aSigma / 2, aSigma);
  return std::max(1.0, size(mRandom));
}

void
LoadModel::Arrive(const Traffic& aTraffic)
{
  Caller caller;
  caller.traffic = &aTraffic;
  caller.first = mNow;
  auto& job = caller.job;
  job.service = kService;
  job.kind = aTraffic.kind;
  job.team = aTraffic.team;
  job.tier = aTraffic.tier;
  job.stream = aTraffic.plainTime == Duration::zero();
  if (job.stream) {
    job.promptTokens = RandomSize(aTraffic.promptTokens, aTraffic.sizeSigma);
    job.outputTokens = RandomSize(aTraffic.outputTokens, aTraffic.sizeSigma);
  }
  job.target = aTraffic.target;
  job.gapTarget = Milliseconds(300);
  job.deadline = mNow + aTraffic.deadline;
  job.fingerprint = mRandom();
  if (aTraffic.firstParts > 0) {
    job.sharedParts.push_back(1 + mRandom() % aTraffic.firstParts);
  }
  if (aTraffic.deadly) {
    job.sharedParts.push_back(kDeadlyPart);
  }
  OutcomeFor(caller, 0).submitted += 1;
  OutcomeFor(caller, 1).submitted += 1;
  Submit(std::move(caller));
}

Outcome&
LoadModel::OutcomeFor(const Caller& aCaller, int aIndex)
{
  return aIndex == 0 ? mKindOutcomes[aCaller.job.kind]
                     : mTeamOutcomes[aCaller.job.team];
}

void
LoadModel::Submit(Caller aCaller)
{
  const JobId id = ++mLastId;
  aCaller.job.id = id;
  aCaller.job.arrival = mNow;
  aCaller.submitted = mNow;
  aCaller.tries += 1;
  const Job job = aCaller.job;
  mCallers[id] = std::move(aCaller);
  Apply(mAllocator.Submit({ kVm, id }, job, "z", mNow));
}

void
LoadModel::Apply(const Allocations& aAllocations)
{
  for (const auto& allocation : aAllocations) {
    mDecisions += 1;
    const JobId id = allocation.key.job;
    if (allocation.send) {
      const auto server = allocation.server;
      Schedule(mNow + mNetworkDelay,
               [this, id, server] { ArriveAtServer(id, server); });
      continue;
    }
    Caller caller = mCallers.at(id);
    mCallers.erase(id);
    Reject(std::move(caller), allocation);
  }
}

void
LoadModel::Reject(Caller aCaller, const Allocation& aAllocation)
{
  int free = 0;
  for (const auto& [id, engine] : mEngines) {
    free += engine.up ? engine.descriptor.slots - engine.busy : 0;
  }
  if (free > 0 && mAllocator.Waiting() == 0) {
    mRejectedWithFreeSlots += 1;
  }
  for (int i = 0; i < 2; ++i) {
    auto& outcome = OutcomeFor(aCaller, i);
    outcome.rejectedOnce += aCaller.wasRejected ? 0 : 1;
    outcome.waitedSeconds += ToSeconds(mNow - aCaller.submitted);
    outcome.rejectedAsHarmful +=
      aAllocation.reason == RejectReason::kHarmful ? 1 : 0;
  }
  aCaller.wasRejected = true;
  const TimePoint end = aCaller.first + aCaller.traffic->deadline;
  // Callers wait for retryAfter, but at most a third of their remaining time.
  const Duration pause =
    aCaller.traffic->ignoresRetryAfter
      ? Duration(Milliseconds(50))
      : std::min<Duration>(aAllocation.retryAfter, (end - mNow) / 3);
  const int maxTries = aCaller.traffic->ignoresRetryAfter ? 4 : 2;
  if (aCaller.tries < maxTries && mNow + pause < end) {
    Schedule(mNow + pause, [this, aCaller] { Submit(aCaller); });
    return;
  }
  for (int i = 0; i < 2; ++i) {
    auto& outcome = OutcomeFor(aCaller, i);
    outcome.rejected += 1;
    outcome.rejectedAgain += aCaller.tries > 1 ? 1 : 0;
  }
}

void
LoadModel::ArriveAtServer(JobId aId, const std::string& aServer)
{
  auto& engine = mEngines.at(aServer);
  mArrivedAt[aId] = mNow;
  engine.arrivals.push_back(mNow);
  if (engine.up && IsOverloadedCold(engine)) {
    mColdCrashes += 1;
    CrashAndRestart(engine);
  }
  if (!engine.up) {
    End(engine, aId, SendResult::kNotSent, Duration::zero());
    return;
  }
  if (engine.busy >= engine.descriptor.slots) {
    engine.queue.push_back(aId);
    return;
  }
  StartRun(engine, aId);
}

void
LoadModel::StartRun(Engine& aEngine, JobId aId)
{
  const auto& job = mCallers.at(aId).job;
  const bool deadly = mCallers.at(aId).traffic->deadly;
  mDeadlyArrivals += deadly ? 1 : 0;
  aEngine.busy += 1;
  aEngine.running.push_back(aId);
  TimePoint first;
  TimePoint end;
  if (job.stream) {
    const double prefill =
      aEngine.factor *
      (kSecondsPerRequest + kSecondsPerPrefillToken * job.promptTokens);
    // An engine processes its prompts sequentially.
    aEngine.prefillFree =
      std::max(aEngine.prefillFree, mNow) + FromSeconds(prefill);
    first = aEngine.prefillFree;
    end = first + FromSeconds(aEngine.factor * kSecondsPerOutputToken *
                              job.outputTokens);
  } else {
    constexpr double kMillis = 1000;
    const auto plain = ToSeconds(mCallers.at(aId).traffic->plainTime);
    first = mNow + FromSeconds(aEngine.factor *
                               RandomSize(plain * kMillis, 0.5) / kMillis);
    end = first;
  }
  if (deadly) {
    Schedule(first, [this, &aEngine, aId] { CrashByPart(aEngine, aId); });
    return;
  }
  Schedule(first + mNetworkDelay, [this, aId] {
    if (mCallers.count(aId) > 0) {
      mFirstEventAt[aId] = mNow;
      mAllocator.RecordFirstEvent({ kVm, aId });
    }
  });
  Schedule(end, [this, &aEngine, aId] {
    const auto at =
      std::find(aEngine.running.begin(), aEngine.running.end(), aId);
    if (at != aEngine.running.end()) {
      aEngine.running.erase(at);
      ReleaseSlot(aEngine);
      const Duration run = mNow - mArrivedAt[aId];
      Schedule(mNow + mNetworkDelay, [this, &aEngine, aId, run] {
        End(aEngine, aId, SendResult::kWhole, run);
      });
    }
  });
}

/// Releases a slot of an engine and starts the next request of its queue.
void
LoadModel::ReleaseSlot(Engine& aEngine)
{
  aEngine.busy -= 1;
  if (!aEngine.queue.empty()) {
    const JobId next = aEngine.queue.front();
    aEngine.queue.pop_front();
    StartRun(aEngine, next);
  }
}

/// Crashes the engine that begins to answer a request, unless the request does
/// not run there any more, and restarts it later as a new incarnation.
void
LoadModel::CrashByPart(Engine& aEngine, JobId aId)
{
  const auto& running = aEngine.running;
  if (std::find(running.begin(), running.end(), aId) == running.end()) {
    return;
  }
  mPartCrashes += 1;
  aEngine.up = false;
  Crash(aEngine);
  Schedule(mNow + kDownTime, [this, &aEngine] {
    aEngine.up = true;
    aEngine.prefillFree = mNow;
    aEngine.descriptor.started += 1;
    PublishServers();
  });
}

void
LoadModel::Crash(Engine& aEngine)
{
  auto interrupted = aEngine.running;
  interrupted.insert(
    interrupted.end(), aEngine.queue.begin(), aEngine.queue.end());
  aEngine.running.clear();
  aEngine.queue.clear();
  aEngine.busy = 0;
  for (const auto id : interrupted) {
    End(aEngine, id, SendResult::kCut, mNow - mArrivedAt[id]);
  }
}

void
LoadModel::End(Engine& aEngine, JobId aId, SendResult aResult, Duration aRun)
{
  Caller caller = mCallers.at(aId);
  mCallers.erase(aId);
  SendReport report;
  report.result = aResult;
  report.toEnd = aRun;
  report.serverDown = aResult == SendResult::kCut && !aEngine.up;
  const auto first = mFirstEventAt.find(aId);
  if (first != mFirstEventAt.end()) {
    report.toFirstEvent = first->second - mNetworkDelay - mArrivedAt[aId];
    report.outputTokens = caller.job.outputTokens;
    report.laterTokens = std::max(0.0, caller.job.outputTokens - 4);
  }
  if (aResult == SendResult::kWhole) {
    const bool inTime = first->second - caller.first <= caller.job.target;
    for (int i = 0; i < 2; ++i) {
      auto& outcome = OutcomeFor(caller, i);
      (inTime ? outcome.inTime : outcome.late) += 1;
    }
  }
  mFirstEventAt.erase(aId);
  mArrivedAt.erase(aId);
  Apply(mAllocator.Finish({ kVm, aId }, report, mNow));
  const bool givesUp = caller.traffic->deadly &&
                       caller.job.excludedServers.size() + 1 >= kDeadlyAttempts;
  if (aResult != SendResult::kWhole && !givesUp) {
    // The VM that accepted the request tries another server.
    caller.job.excludedServers.push_back(aEngine.descriptor.id);
    caller.tries -= 1;
    Submit(std::move(caller));
  }
}

} // namespace magnoliatide::policy::testing
