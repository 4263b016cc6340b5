// Playing load against the allocator.
#include "load_model.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::policy::testing {

namespace {

constexpr const char* kService = "service";
constexpr Duration kTick = Milliseconds(15);

/// Seconds of an engine of factor 1.
constexpr double kPrefillSeconds = 1.6e-5; ///< For a prompt token.
constexpr double kTokenSeconds = 0.004;    ///< For an output token.
constexpr double kBaseSeconds = 0.005;     ///< For each request.

constexpr std::uint64_t kVm = 1;

} // namespace

LoadModel::LoadModel(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mAllocator([&] {
    AllocatorOptions options;
    options.seed = aSeed;
    return options;
  }())
{
}

void
LoadModel::Add(const Engines& aEngines)
{
  for (int i = 0; i < aEngines.count; ++i) {
    Engine engine;
    engine.facts.id = aEngines.zone + "-" + std::to_string(mEngines.size() + 1);
    engine.facts.service = kService;
    engine.facts.zone = aEngines.zone;
    engine.facts.slots = aEngines.slots;
    engine.factor = aEngines.factor;
    mEngines[engine.facts.id] = engine;
  }
  PublishServers();
}

void
LoadModel::PublishServers()
{
  routing::Roster roster;
  for (const auto& [id, engine] : mEngines) {
    roster[id] = engine.facts;
  }
  Take(mAllocator.SetServers(roster, mNow));
}

void
LoadModel::Add(const Traffic& aTraffic)
{
  mTraffic.push_back(aTraffic);
  const Traffic& traffic = mTraffic.back();
  At(mNow + traffic.from, [this, &traffic] { ScheduleArrival(traffic); });
}

void
LoadModel::SetUp(const std::string& aServer, bool aUp, Duration aAt)
{
  At(mNow + aAt, [this, aServer, aUp] {
    auto& engine = mEngines.at(aServer);
    engine.up = aUp;
    if (!aUp) {
      Crash(engine);
    }
  });
}

void
LoadModel::At(TimePoint aTime, std::function<void()> aAct)
{
  mEvents.push({ aTime, ++mOrder, std::move(aAct) });
}

void
LoadModel::Run(Duration aTime)
{
  const TimePoint end = mNow + aTime;
  if (!mTicking) {
    mTicking = true;
    At(mNow + kTick, [this] {
      mTicking = false;
      Take(mAllocator.Tick(mNow));
    });
  }
  while (!mEvents.empty() && mEvents.top().at <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.at;
    event.act();
    if (!mTicking) {
      mTicking = true;
      At(mNow + kTick, [this] {
        mTicking = false;
        Take(mAllocator.Tick(mNow));
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
  if (next - TimePoint(Seconds(1000)) > aTraffic.until) {
    return;
  }
  At(next, [this, &aTraffic] {
    Arrive(aTraffic);
    ScheduleArrival(aTraffic);
  });
}

double
LoadModel::Sized(double aMean, double aSpread)
{
  // The mean of the logarithmic normal distribution is the given one.
  std::lognormal_distribution<double> size(
    std::log(aMean) - aSpread * aSpread / 2, aSpread);
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
    job.promptTokens = Sized(aTraffic.promptTokens, aTraffic.spread);
    job.outputTokens = Sized(aTraffic.outputTokens, aTraffic.spread);
  }
  job.target = aTraffic.target;
  job.gapTarget = Milliseconds(300);
  job.end = mNow + aTraffic.deadline;
  job.fingerprint = mRandom();
  Both(caller, 0).asked += 1;
  Both(caller, 1).asked += 1;
  Submit(std::move(caller));
}

Outcome&
LoadModel::Both(const Caller& aCaller, int aIndex)
{
  return aIndex == 0 ? mOutcomes[aCaller.job.kind] : mTeams[aCaller.job.team];
}

void
LoadModel::Submit(Caller aCaller)
{
  const JobId id = ++mLastId;
  aCaller.job.id = id;
  aCaller.job.arrival = mNow;
  aCaller.asked = mNow;
  aCaller.tries += 1;
  const Job job = aCaller.job;
  mCallers[id] = std::move(aCaller);
  Take(mAllocator.Submit({ kVm, id }, job, "z", mNow));
}

void
LoadModel::Take(const Allocations& aAllocations)
{
  for (const auto& allocation : aAllocations) {
    mDecisions += 1;
    const JobId id = allocation.key.job;
    if (allocation.send) {
      const auto server = allocation.server;
      At(mNow + mWay, [this, id, server] { Reach(id, server); });
      continue;
    }
    Caller caller = mCallers.at(id);
    mCallers.erase(id);
    Refuse(std::move(caller), allocation);
  }
}

void
LoadModel::Refuse(Caller aCaller, const Allocation& aAllocation)
{
  int free = 0;
  for (const auto& [id, engine] : mEngines) {
    free += engine.up ? engine.facts.slots - engine.busy : 0;
  }
  if (free > 0 && mAllocator.Waiting() == 0) {
    mRefusedWithFreeSlots += 1;
  }
  for (int i = 0; i < 2; ++i) {
    auto& outcome = Both(aCaller, i);
    outcome.refusedOnce += aCaller.wasRefused ? 0 : 1;
    outcome.heldSeconds += ToSeconds(mNow - aCaller.asked);
  }
  aCaller.wasRefused = true;
  const TimePoint end = aCaller.first + aCaller.traffic->deadline;
  // Callers honour the time to come back up to a third of what they have left.
  const Duration pause =
    aCaller.traffic->stubborn
      ? Duration(Milliseconds(50))
      : std::min<Duration>(aAllocation.retryAfter, (end - mNow) / 3);
  const int most = aCaller.traffic->stubborn ? 4 : 2;
  if (aCaller.tries < most && mNow + pause < end) {
    At(mNow + pause, [this, aCaller] { Submit(aCaller); });
    return;
  }
  for (int i = 0; i < 2; ++i) {
    auto& outcome = Both(aCaller, i);
    outcome.refused += 1;
    outcome.refusedAgain += aCaller.tries > 1 ? 1 : 0;
  }
}

void
LoadModel::Reach(JobId aId, const std::string& aServer)
{
  auto& engine = mEngines.at(aServer);
  mSent[aId] = mNow;
  if (!engine.up) {
    End(engine, aId, SendResult::kNotSent, Duration::zero());
    return;
  }
  if (engine.busy >= engine.facts.slots) {
    engine.queue.push_back(aId);
    return;
  }
  Begin(engine, aId);
}

void
LoadModel::Begin(Engine& aEngine, JobId aId)
{
  const auto& job = mCallers.at(aId).job;
  aEngine.busy += 1;
  aEngine.running.push_back(aId);
  TimePoint first;
  TimePoint end;
  if (job.stream) {
    const double prefill =
      aEngine.factor * (kBaseSeconds + kPrefillSeconds * job.promptTokens);
    // Prompts of one engine are read one after the other.
    aEngine.prefillFree =
      std::max(aEngine.prefillFree, mNow) + FromSeconds(prefill);
    first = aEngine.prefillFree;
    end =
      first + FromSeconds(aEngine.factor * kTokenSeconds * job.outputTokens);
  } else {
    constexpr double kMillis = 1000;
    const auto plain = ToSeconds(mCallers.at(aId).traffic->plainTime);
    first = mNow +
            FromSeconds(aEngine.factor * Sized(plain * kMillis, 0.5) / kMillis);
    end = first;
  }
  At(first + mWay, [this, aId] {
    if (mCallers.count(aId) > 0) {
      mFirst[aId] = mNow;
      mAllocator.FirstEvent({ kVm, aId });
    }
  });
  At(end, [this, &aEngine, aId] {
    const auto at =
      std::find(aEngine.running.begin(), aEngine.running.end(), aId);
    if (at != aEngine.running.end()) {
      aEngine.running.erase(at);
      Free(aEngine);
      const Duration run = mNow - mSent[aId];
      At(mNow + mWay, [this, &aEngine, aId, run] {
        End(aEngine, aId, SendResult::kWhole, run);
      });
    }
  });
}

/// Ends a run at a server, which goes on with what waits there.
void
LoadModel::Free(Engine& aEngine)
{
  aEngine.busy -= 1;
  if (!aEngine.queue.empty()) {
    const JobId next = aEngine.queue.front();
    aEngine.queue.pop_front();
    Begin(aEngine, next);
  }
}

void
LoadModel::Crash(Engine& aEngine)
{
  auto lost = aEngine.running;
  lost.insert(lost.end(), aEngine.queue.begin(), aEngine.queue.end());
  aEngine.running.clear();
  aEngine.queue.clear();
  aEngine.busy = 0;
  for (const auto id : lost) {
    End(aEngine, id, SendResult::kCut, mNow - mSent[id]);
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
  const auto first = mFirst.find(aId);
  if (first != mFirst.end()) {
    report.toFirstEvent = first->second - mWay - mSent[aId];
    report.outputTokens = caller.job.outputTokens;
    report.laterTokens = std::max(0.0, caller.job.outputTokens - 4);
  }
  if (aResult == SendResult::kWhole) {
    const bool inTime = first->second - caller.first <= caller.job.target;
    for (int i = 0; i < 2; ++i) {
      auto& outcome = Both(caller, i);
      (inTime ? outcome.inTime : outcome.late) += 1;
    }
  }
  mFirst.erase(aId);
  mSent.erase(aId);
  Take(mAllocator.Finish({ kVm, aId }, report, mNow));
  if (aResult != SendResult::kWhole) {
    // The VM that holds it tries another server.
    caller.job.avoid.push_back(aEngine.facts.id);
    caller.tries -= 1;
    Submit(std::move(caller));
  }
}

} // namespace magnoliatide::policy::testing
