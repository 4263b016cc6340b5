// Wait estimates and load shedding.
#include "magnoliatide/policy/backlog.h"

#include <algorithm>
#include <limits>

namespace magnoliatide::policy {

namespace {

/// Subtracted from a caller's wait limit for the network delay and the time to
/// the first event.
constexpr Duration kCallerWaitMargin = Milliseconds(250);

/// Minimum fraction of the capacity that is assumed to be available to a tier.
constexpr double kMinCapacityFraction = 0.05;

/// Fair-share cost of an output token relative to a prompt token.
constexpr double kOutputCost = 10;

/// Weight of the newest request in the output ratio.
constexpr double kOutputSampleWeight = 0.02;
/// Upper bound of the ratio of a single request.
constexpr double kMaxOutputRatio = 4;

std::string
FormatMilliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aTime).count());
}

WaitClass
ClassOf(const WaitingJob& aWaiting)
{
  return { aWaiting.job.tier, aWaiting.job.team };
}

} // namespace

Duration
CallerWaitLimit(const Job& aJob)
{
  // Callers abandon a stream after a gap of kMinGap, four times the target or
  // eight times the gap target, whichever is longest.
  constexpr Duration kMinGap = Seconds(2);
  constexpr int kTargetMultiple = 4;
  constexpr int kGapMultiple = 8;
  const Duration untilDeadline = aJob.deadline - aJob.arrival;
  if (!aJob.stream) {
    return untilDeadline;
  }
  const Duration gap = std::max(
    { kMinGap, aJob.target * kTargetMultiple, aJob.gapTarget * kGapMultiple });
  return std::min<Duration>(gap, untilDeadline);
}

WaitingJob
Backlog::Prepare(const JobKey& aKey,
                 const Job& aJob,
                 const std::string& aZone,
                 TimePoint aNow)
{
  WaitingJob waiting;
  waiting.key = aKey;
  waiting.job = aJob;
  waiting.job.vm = aKey.vm;
  waiting.job.outputTokens = std::max(1.0, aJob.outputTokens * mOutputRatio);
  waiting.zone = aZone;
  waiting.work = mPool.WorkOf(waiting.job);
  waiting.sequence = ++mLastSequence;
  waiting.giveUpAt = aJob.arrival + CallerWaitLimit(aJob) - kCallerWaitMargin;
  waiting.latestStart =
    aJob.arrival + aJob.target - mPool.MedianTimeToFirst(waiting.job);
  waiting.refusedBefore = mRefusals.MarkRetried(aJob.fingerprint, aNow);
  if (aJob.serversReached > 0) {
    waiting.rank = WaitRank::kRedispatched;
  } else if (waiting.refusedBefore || aNow > waiting.latestStart) {
    waiting.rank = WaitRank::kLate;
  }
  if (aJob.overQuota) {
    return waiting;
  }
  waiting.startTag = mTeamVirtualTime.StartTag(aJob.team);
  waiting.cost = 1 + aJob.promptTokens + kOutputCost * waiting.job.outputTokens;
  if (waiting.rank == WaitRank::kInTime) {
    mArrivals.Record(aJob.tier, waiting.work, aNow);
  }
  return waiting;
}

std::optional<OverloadRefusal>
Backlog::TryEnqueue(WaitingJob aWaiting, TimePoint aNow)
{
  auto& waiting = aWaiting;
  const auto assignRank = [&](WaitRank aRank, TimePoint aDeadline) {
    return AssignRank(waiting, aRank, aDeadline, aNow);
  };
  // A request that is not expected to be sent in time at its own rank may still
  // wait at the late rank.
  const auto initialRank = waiting.rank;
  const bool waits = (initialRank == WaitRank::kRedispatched &&
                      assignRank(WaitRank::kRedispatched, waiting.giveUpAt)) ||
                     (initialRank == WaitRank::kInTime &&
                      assignRank(WaitRank::kInTime, waiting.latestStart)) ||
                     assignRank(WaitRank::kLate, waiting.giveUpAt);
  if (!waits) {
    return Refuse(waiting, "would wait", aNow);
  }
  mTeamVirtualTime.Charge(waiting.job.team, waiting.startTag, waiting.cost);
  mQueue.Add(std::move(aWaiting));
  return std::nullopt;
}

/// Sets a request's rank and expected wait. Returns whether it is expected to
/// be sent by a deadline.
bool
Backlog::AssignRank(WaitingJob& aWaiting,
                    WaitRank aRank,
                    TimePoint aDeadline,
                    TimePoint aNow)
{
  aWaiting.rank = aRank;
  aWaiting.queuedAt = aNow;
  aWaiting.expectedWait = EstimateWait(aWaiting, aNow);
  const double bias = mBias.Factor(ClassOf(aWaiting), aNow);
  return aNow + FromSeconds(ToSeconds(aWaiting.expectedWait) * bias) <=
         aDeadline;
}

OverloadRefusal
Backlog::Refuse(const WaitingJob& aWaiting,
                const std::string& aReason,
                TimePoint aNow)
{
  const auto& job = aWaiting.job;
  OverloadRefusal refusal;
  refusal.retryDelay = EstimateRetryAfter(aWaiting, aNow);
  refusal.why =
    aReason + " " + FormatMilliseconds(EstimateWait(aWaiting, aNow)) +
    " ms behind " + std::to_string(mQueue.Ahead(aWaiting).requests) +
    (aWaiting.refusedBefore ? " requests, retried" : " requests");
  if (!aWaiting.refusedBefore) {
    mRefusals.Record(job.fingerprint, job.tier, aWaiting.work, aNow);
  }
  return refusal;
}

void
Backlog::RecordSent(const WaitingJob& aWaiting)
{
  const bool waited = aWaiting.queuedAt != TimePoint{};
  if (!waited && !aWaiting.job.overQuota) {
    mTeamVirtualTime.Charge(
      aWaiting.job.team, aWaiting.startTag, aWaiting.cost);
  }
  mTeamVirtualTime.Advance(aWaiting.startTag);
}

void
Backlog::RemoveDecided(const JobKey& aKey, TimePoint aNow)
{
  const auto* waiting = mQueue.Find(aKey);
  mBias.Record(ClassOf(*waiting),
               waiting->expectedWait,
               aNow - waiting->queuedAt,
               true,
               aNow);
  mQueue.Remove(aKey);
}

bool
Backlog::Withdraw(const JobKey& aKey)
{
  const auto* waiting = mQueue.Find(aKey);
  if (waiting == nullptr) {
    return false;
  }
  mTeamVirtualTime.Refund(waiting->job.team, waiting->cost);
  return mQueue.Remove(aKey);
}

void
Backlog::RemoveVm(std::uint64_t aVm)
{
  for (const auto& waiting : mQueue.RemoveOfVm(aVm)) {
    mTeamVirtualTime.Refund(waiting.job.team, waiting.cost);
  }
}

std::vector<ShedJob>
Backlog::Shed(TimePoint aNow)
{
  std::vector<WaitingJob> overdue;
  for (const auto& [queueKey, waiting] : mQueue.InOrder()) {
    const bool late =
      waiting.rank == WaitRank::kInTime && aNow >= waiting.latestStart;
    if (late || aNow >= waiting.giveUpAt) {
      overdue.push_back(waiting);
    }
  }
  std::vector<ShedJob> shed;
  for (auto& waiting : overdue) {
    auto refusal = Demote(waiting, aNow);
    if (refusal) {
      shed.push_back({ std::move(waiting), std::move(*refusal) });
    }
  }
  return shed;
}

/// Moves a request to the late rank, or removes it from the queue and returns
/// why it is refused.
std::optional<OverloadRefusal>
Backlog::Demote(WaitingJob aWaiting, TimePoint aNow)
{
  mQueue.Remove(aWaiting.key);
  mBias.Record(ClassOf(aWaiting),
               aWaiting.expectedWait,
               aNow - aWaiting.queuedAt,
               false,
               aNow);
  const bool waits =
    aNow < aWaiting.giveUpAt &&
    AssignRank(aWaiting, WaitRank::kLate, aWaiting.giveUpAt, aNow);
  if (waits) {
    mQueue.Add(std::move(aWaiting));
    return std::nullopt;
  }
  mTeamVirtualTime.Refund(aWaiting.job.team, aWaiting.cost);
  return Refuse(aWaiting, "waited, and would wait", aNow);
}

void
Backlog::RecordOutput(double aExpected, double aTokens)
{
  const double ratio = std::min(kMaxOutputRatio, aTokens / aExpected);
  mOutputRatio *= 1 + kOutputSampleWeight * (ratio - 1);
}

/// Returns the capacity of the servers reachable from a request's zone that
/// remains after the arrivals of more urgent tiers.
///
/// @param aIncludeOwn Whether to also subtract the arrivals of its own tier
///     that can be in time.
double
Backlog::AvailableCapacity(const WaitingJob& aWaiting,
                           bool aIncludeOwn,
                           TimePoint aNow)
{
  const double capacity = mPool.Capacity(aWaiting.zone, aNow);
  const double reserved =
    mArrivals.RateAbove(aWaiting.job.tier, aIncludeOwn, aNow);
  return std::max(capacity - reserved, capacity * kMinCapacityFraction);
}

/// Returns the time until the work queued before a request is completed by the
/// capacity that remains after new arrivals of higher priority.
Duration
Backlog::EstimateWait(const WaitingJob& aWaiting, TimePoint aNow)
{
  const bool late = aWaiting.rank == WaitRank::kLate;
  return FromSeconds(mQueue.Ahead(aWaiting).work /
                     AvailableCapacity(aWaiting, late, aNow));
}

/// Returns the time until the servers complete the work of a request's tier and
/// more urgent tiers that is queued or expected as retries of refused requests.
Duration
Backlog::EstimateRetryAfter(const WaitingJob& aWaiting, TimePoint aNow)
{
  WaitingJob last;
  last.job.tier = aWaiting.job.tier;
  last.rank = WaitRank::kLate;
  last.startTag = std::numeric_limits<double>::max();
  const double work =
    mQueue.Ahead(last).work + mRefusals.PendingWork(last.job.tier, aNow);
  return FromSeconds(work / AvailableCapacity(aWaiting, true, aNow));
}

} // namespace magnoliatide::policy
