// Decisions on dispatch requests: budgets, queueing and reports.
#include "magnoliatide/fleet/dispatch_coordinator.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace magnoliatide::fleet {

namespace {

/// How long a final reply is kept in case its request is resent.
constexpr Duration kDecisionLifetime = Seconds(2);
/// Interval at which old replies and the requests of silent VMs are dropped.
constexpr Duration kCleanupPeriod = Milliseconds(500);

/// Requests dispatched within this time may be missing from a VM's report.
constexpr Duration kReportLag = Milliseconds(400);

/// A VM that has not reported for this time runs no requests: busy VMs report
/// several times per second.
constexpr Duration kReportTimeout = Seconds(2);

/// Retry-after time when the retry budget is used up.
constexpr Duration kRetryBudgetPause = Seconds(1);

/// Longest time for which a request that no server has run waits for the retry
/// budget. Its caller would not come back sooner if it were refused.
constexpr Duration kMaxWaitForBudget = kRetryBudgetPause;

/// Subtracted from a caller's wait limit, so that a rejection arrives in time.
constexpr Duration kRejectionMargin = Milliseconds(250);

std::uint32_t
ToMillis(Duration aTime)
{
  const auto millis = std::chrono::duration_cast<Milliseconds>(aTime).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(millis, 0, 0xffffffff));
}

wire::DispatchDecision
DecisionFor(policy::RejectReason aReason)
{
  switch (aReason) {
    case policy::RejectReason::kNoServer:
      return wire::DispatchDecision::kNoServer;
    case policy::RejectReason::kTooLate:
      return wire::DispatchDecision::kTooLate;
    case policy::RejectReason::kOverQuota:
      return wire::DispatchDecision::kOverQuota;
    case policy::RejectReason::kServersFull:
      return wire::DispatchDecision::kServersFull;
    case policy::RejectReason::kHarmful:
      return wire::DispatchDecision::kHarmful;
  }
  return wire::DispatchDecision::kNoServer;
}

wire::DispatchReply
ToReply(const policy::Allocation& aAllocation)
{
  wire::DispatchReply reply;
  reply.number = aAllocation.key.job;
  reply.server = aAllocation.server;
  reply.probe = aAllocation.probe;
  reply.trial = aAllocation.trial;
  reply.retryAfterMillis = ToMillis(aAllocation.retryAfter);
  reply.why = aAllocation.why;
  reply.decision = aAllocation.send ? wire::DispatchDecision::kSend
                                    : DecisionFor(aAllocation.reason);
  return reply;
}

} // namespace

policy::Job
FromWire(const wire::DispatchRequest& aRequest, TimePoint aNow)
{
  policy::Job job;
  job.id = aRequest.number;
  job.service = aRequest.service;
  job.kind = aRequest.kind;
  job.team = aRequest.team;
  job.tier = aRequest.tier;
  job.promptTokens = aRequest.promptTokens;
  job.outputTokens = aRequest.outputTokens;
  job.stream = aRequest.stream;
  job.eventTokens = std::max(1.0F, aRequest.eventTokens);
  job.fingerprint = aRequest.fingerprint;
  job.sharedParts = aRequest.sharedParts;
  job.sharedParts.resize(
    std::min(job.sharedParts.size(), policy::kMaxSharedParts));
  job.arrival = aNow - Milliseconds(aRequest.ageMillis);
  job.target = Milliseconds(aRequest.targetMillis);
  job.gapTarget = Milliseconds(aRequest.gapTargetMillis);
  job.deadline = aNow + Milliseconds(aRequest.remainingMillis);
  job.excludedServers = aRequest.excludedServers;
  job.onlyServer = aRequest.onlyServer;
  job.serversReached = aRequest.serversReached;
  job.failed = aRequest.failed;
  job.retryAllowed = aRequest.retryAllowed;
  job.counted = aRequest.counted;
  job.quotaUnits = aRequest.units;
  if (aRequest.delayMillis > 0) {
    job.notBefore = aNow + Milliseconds(aRequest.delayMillis);
  }
  return job;
}

wire::DispatchRequest
ToWire(std::uint64_t aNumber, const policy::Job& aJob, TimePoint aNow)
{
  wire::DispatchRequest request;
  request.number = aNumber;
  request.service = aJob.service;
  request.kind = aJob.kind;
  request.team = aJob.team;
  request.tier = aJob.tier;
  request.promptTokens = static_cast<float>(aJob.promptTokens);
  request.outputTokens = static_cast<float>(aJob.outputTokens);
  request.stream = aJob.stream;
  request.eventTokens = static_cast<float>(aJob.eventTokens);
  request.fingerprint = aJob.fingerprint;
  request.sharedParts = aJob.sharedParts;
  request.ageMillis = ToMillis(aNow - aJob.arrival);
  request.targetMillis = ToMillis(aJob.target);
  request.gapTargetMillis = ToMillis(aJob.gapTarget);
  request.remainingMillis = ToMillis(aJob.deadline - aNow);
  request.excludedServers = aJob.excludedServers;
  request.onlyServer = aJob.onlyServer;
  request.serversReached =
    static_cast<std::uint8_t>(std::min(aJob.serversReached, 255));
  request.failed = aJob.failed;
  request.retryAllowed = aJob.retryAllowed;
  request.counted = aJob.counted;
  request.units = static_cast<float>(aJob.quotaUnits);
  if (aJob.notBefore > aNow) {
    request.delayMillis = ToMillis(aJob.notBefore - aNow);
  }
  return request;
}

DispatchCoordinator::DispatchCoordinator(DispatchCoordinatorOptions aOptions)
  : mOptions(aOptions)
  , mAllocator(aOptions.allocator)
  , mQuotas(aOptions.quotas)
  , mRetries(aOptions.retries)
{
}

void
DispatchCoordinator::SetTable(routing::TablePointer aTable, TimePoint aNow)
{
  mTable = std::move(aTable);
  if (mTable) {
    mAllocator.SetServices(mTable->services, aNow);
  }
}

void
DispatchCoordinator::SetColdPermitted(bool aPermitted, TimePoint aNow)
{
  mAllocator.SetColdPermitted(aPermitted, aNow);
}

void
DispatchCoordinator::SetServers(const routing::Roster& aRoster, TimePoint aNow)
{
  ApplyAllocations(mAllocator.SetServers(aRoster, aNow), aNow);
}

void
DispatchCoordinator::SetShares(double aSlotShare,
                               double aQuotaShare,
                               double aRetryShare)
{
  mAllocator.SetShare(aSlotShare);
  mQuotas.SetShare(aQuotaShare);
  mRetries.SetShare(aRetryShare);
  mAllocator.SetRateLimitShare(aQuotaShare);
}

void
DispatchCoordinator::Submit(std::uint64_t aVm,
                            const std::string& aZone,
                            const wire::DispatchRequest& aRequest,
                            TimePoint aNow)
{
  const policy::JobKey key{ aVm, aRequest.number };
  const auto record = mLastReplies.find(key);
  if (record != mLastReplies.end()) {
    mReplies.push_back({ aVm, record->second.reply });
    return;
  }
  const auto granted = mAllocator.FindGrant(key);
  if (granted) {
    // The record was dropped, but the request may run at that server.
    EnqueueReply(aVm, ToReply(*granted), aNow);
    return;
  }
  auto job = FromWire(aRequest, aNow);
  if (CheckRetryBudget(key, aZone, job, aNow)) {
    SubmitWithinBudget(key, aZone, std::move(job), aNow);
  }
}

/// Charges a request to its team's quota and submits it to the allocator.
void
DispatchCoordinator::SubmitWithinBudget(const policy::JobKey& aKey,
                                        const std::string& aZone,
                                        policy::Job aJob,
                                        TimePoint aNow)
{
  if (!CheckQuota(aKey.vm, aJob, aNow)) {
    return;
  }
  mLastReports.try_emplace(aKey.vm, aNow);
  wire::DispatchReply wait;
  wait.number = aKey.job;
  mLastReplies[aKey] = { wait, aNow, aJob.team, aJob.quotaUnits, "" };
  if (aJob.serversReached > 0) {
    mLastReplies[aKey].retriedService = aJob.service;
  }
  ApplyAllocations(mAllocator.Submit(aKey, aJob, aZone, aNow), aNow);
  const auto& current = mLastReplies[aKey].reply;
  if (current.decision == wire::DispatchDecision::kWait) {
    mReplies.push_back({ aKey.vm, current });
  }
}

/// Charges a request to the retry budget, if it is a retry. If the budget is
/// used up, lets it wait or rejects it, and returns false.
bool
DispatchCoordinator::CheckRetryBudget(const policy::JobKey& aKey,
                                      const std::string& aZone,
                                      const policy::Job& aJob,
                                      TimePoint aNow)
{
  wire::DispatchReply reply;
  reply.number = aJob.id;
  if (aJob.failed && !mAllocator.ShouldRetry(aJob)) {
    reply.decision = wire::DispatchDecision::kNoRetry;
    reply.why = "such requests fail wherever they run";
    EnqueueReply(aKey.vm, std::move(reply), aNow);
    return false;
  }
  if (aJob.serversReached == 0) {
    if (!aJob.counted) {
      mRetries.RecordRequest(aJob.service, aNow);
    }
    return true;
  }
  // One that comes later must not take what a more urgent one waits for.
  const bool othersWait = std::any_of(
    mWaitingRetries.begin(), mWaitingRetries.end(), [&](const auto& aEntry) {
      return aEntry.second.job.service == aJob.service;
    });
  if (!othersWait && mRetries.Take(aJob.service, aNow)) {
    return true;
  }
  const auto until = std::min<TimePoint>(
    aNow + kMaxWaitForBudget,
    aJob.arrival + policy::CallerWaitLimit(aJob) - kRejectionMargin);
  // A failed answer is passed on at once.
  if (aJob.failed || until <= aNow) {
    RejectRetry(aKey, aNow);
  } else {
    mWaitingRetries[aKey] = { aZone, aJob, until };
    EnqueueReply(aKey.vm, std::move(reply), aNow);
  }
  return false;
}

void
DispatchCoordinator::RejectRetry(const policy::JobKey& aKey, TimePoint aNow)
{
  wire::DispatchReply reply;
  reply.number = aKey.job;
  reply.decision = wire::DispatchDecision::kNoRetry;
  reply.retryAfterMillis = ToMillis(kRetryBudgetPause);
  reply.why = "the retry budget of the service is used up";
  EnqueueReply(aKey.vm, std::move(reply), aNow);
}

/// Submits waiting retries as far as budgets allow, more urgent tiers first,
/// and rejects those that have waited too long.
void
DispatchCoordinator::SubmitWaitingRetries(TimePoint aNow)
{
  std::vector<policy::JobKey> order;
  for (const auto& [key, waiting] : mWaitingRetries) {
    order.push_back(key);
  }
  std::sort(order.begin(), order.end(), [&](const auto& aA, const auto& aB) {
    const auto& a = mWaitingRetries.at(aA).job;
    const auto& b = mWaitingRetries.at(aB).job;
    return std::tie(a.tier, a.arrival) < std::tie(b.tier, b.arrival);
  });
  for (const auto& key : order) {
    const auto found = mWaitingRetries.find(key);
    const auto waiting = found->second;
    if (mRetries.Take(waiting.job.service, aNow)) {
      mWaitingRetries.erase(found);
      SubmitWithinBudget(key, waiting.zone, waiting.job, aNow);
    } else if (aNow >= waiting.until) {
      mWaitingRetries.erase(found);
      RejectRetry(key, aNow);
    }
  }
}

/// Charges a request to its team's quota. Rejects it and returns false if the
/// quota is used up.
bool
DispatchCoordinator::CheckQuota(std::uint64_t aVm,
                                policy::Job& aJob,
                                TimePoint aNow)
{
  wire::DispatchReply reply;
  reply.number = aJob.id;
  const auto* team = aJob.quotaUnits > 0 ? FindTeam(aJob.team) : nullptr;
  if (team == nullptr) {
    return true;
  }
  const auto quota = mQuotas.Take(*team, aJob.quotaUnits, aNow);
  if (quota != policy::QuotaResult::kOverLimit) {
    aJob.overQuota = quota == policy::QuotaResult::kOverQuota;
    return true;
  }
  reply.decision = wire::DispatchDecision::kOverQuota;
  reply.retryAfterMillis =
    ToMillis(mQuotas.UntilWithinQuota(*team, aJob.quotaUnits, aNow));
  reply.why =
    "quota of team " + aJob.team + ": " + mQuotas.Describe(*team, aNow);
  EnqueueReply(aVm, std::move(reply), aNow);
  return false;
}

/// Refunds the quota units charged for a request.
void
DispatchCoordinator::RefundQuota(const policy::JobKey& aKey,
                                 wire::DispatchReply& aReply,
                                 TimePoint aNow)
{
  const auto record = mLastReplies.find(aKey);
  if (record == mLastReplies.end() || record->second.units <= 0) {
    return;
  }
  const auto* team = FindTeam(record->second.team);
  if (team == nullptr) {
    return;
  }
  const double units = record->second.units;
  record->second.units = 0;
  mQuotas.RefundUnits(*team, units);
  if (aReply.decision == wire::DispatchDecision::kOverQuota) {
    aReply.retryAfterMillis =
      ToMillis(mQuotas.UntilWithinQuota(*team, units, aNow));
  }
}

/// Refunds the retry charged for a request that is not sent.
void
DispatchCoordinator::RefundRetry(const policy::JobKey& aKey)
{
  const auto record = mLastReplies.find(aKey);
  if (record != mLastReplies.end() && !record->second.retriedService.empty()) {
    mRetries.Refund(record->second.retriedService);
    record->second.retriedService.clear();
  }
}

void
DispatchCoordinator::EnqueueReply(std::uint64_t aVm,
                                  wire::DispatchReply aReply,
                                  TimePoint aNow)
{
  auto& record = mLastReplies[{ aVm, aReply.number }];
  record.reply = aReply;
  record.at = aNow;
  mReplies.push_back({ aVm, std::move(aReply) });
}

void
DispatchCoordinator::ApplyAllocations(const policy::Allocations& aAllocations,
                                      TimePoint aNow)
{
  for (const auto& allocation : aAllocations) {
    auto reply = ToReply(allocation);
    if (!allocation.send) {
      RefundQuota(allocation.key, reply, aNow);
      RefundRetry(allocation.key);
    }
    EnqueueReply(allocation.key.vm, std::move(reply), aNow);
  }
}

void
DispatchCoordinator::Withdraw(std::uint64_t aVm,
                              const wire::DispatchCancel& aCancel)
{
  const policy::JobKey key{ aVm, aCancel.number };
  if (mAllocator.Withdraw(key)) {
    wire::DispatchReply unused;
    RefundQuota(key, unused, TimePoint{});
    RefundRetry(key);
  }
  mWaitingRetries.erase(key);
  mLastReplies.erase(key);
}

void
DispatchCoordinator::Progress(std::uint64_t aVm,
                              const wire::DispatchProgress& aProgress,
                              TimePoint aNow)
{
  const policy::JobKey key{ aVm, aProgress.number };
  constexpr auto kSilent =
    static_cast<std::uint8_t>(policy::SendResult::kSilent);
  RecordHead(key, aProgress, aNow);
  if (aProgress.backoffMillis > 0) {
    mAllocator.RecordBackoff(key, Milliseconds(aProgress.backoffMillis), aNow);
  }
  if (!aProgress.ended && aProgress.result == kSilent) {
    mAllocator.RecordSilence(key, aNow);
    return;
  }
  if (!aProgress.ended) {
    mAllocator.RecordFirstEvent(key);
    mAllocator.RecordSilenceEnd(key, aNow);
    return;
  }
  constexpr auto kLastResult =
    static_cast<std::uint8_t>(policy::SendResult::kUnreachable);
  policy::SendReport report;
  report.result =
    static_cast<policy::SendResult>(std::min(aProgress.result, kLastResult));
  report.outputTokens = aProgress.outputTokens;
  report.laterTokens = aProgress.laterTokens;
  report.toFirstEvent = std::chrono::microseconds(aProgress.firstEventMicros);
  report.toEnd = std::chrono::microseconds(aProgress.totalMicros);
  report.serverDown = aProgress.serverDown;
  if (aProgress.totalMicros == 0) {
    // The request was not sent.
    RefundRetry(key);
  }
  // The request may still wait here if its VM turned to another coordinator.
  mAllocator.Withdraw(key);
  ApplyAllocations(mAllocator.Finish(key, report, aNow), aNow);
}

/// Records what the head of an answer tells about its server's rate limit.
void
DispatchCoordinator::RecordHead(const policy::JobKey& aKey,
                                const wire::DispatchProgress& aProgress,
                                TimePoint aNow)
{
  if (aProgress.hasHead) {
    const bool named = aProgress.rateLimit >= 0;
    mAllocator.RecordRateLimit(
      aKey,
      named ? std::optional<double>(aProgress.rateLimit) : std::nullopt,
      aNow);
  }
}

void
DispatchCoordinator::Report(std::uint64_t aVm,
                            const std::string& aZone,
                            const wire::DispatchReport& aReport,
                            TimePoint aNow)
{
  std::set<policy::JobId> reported;
  for (const auto& running : aReport.running) {
    if (running.service >= aReport.names.size() ||
        running.server >= aReport.names.size()) {
      continue;
    }
    reported.insert(running.number);
    policy::Job job;
    job.id = running.number;
    job.service = aReport.names[running.service];
    job.promptTokens = running.promptTokens;
    job.outputTokens = running.outputTokens;
    job.stream = running.stream;
    job.gapTarget = Milliseconds(running.gapTargetMillis);
    job.arrival = aNow - Milliseconds(running.ageMillis);
    mAllocator.Adopt({ aVm, running.number },
                     job,
                     aZone,
                     aReport.names[running.server],
                     running.firstEventSeen,
                     job.arrival);
  }
  if (aReport.complete) {
    ApplyAllocations(
      mAllocator.Reconcile(aVm, reported, aNow - kReportLag, aNow), aNow);
  }
  for (const auto& limit : aReport.rateLimits) {
    if (limit.perSecond >= 0) {
      mAllocator.MergeRateLimit({ limit.server,
                                  limit.started,
                                  limit.perSecond,
                                  aNow - Milliseconds(limit.ageMillis) },
                                aNow);
    }
  }
  for (const auto& backoff : aReport.backoffs) {
    MergeBackoff({ backoff.server,
                   backoff.started,
                   aVm,
                   aNow + Milliseconds(backoff.remainingMillis) },
                 aNow);
  }
  MergeRemoteUsage(aVm, aReport, aNow);
}

void
DispatchCoordinator::MergeBackoff(const policy::BackoffNotice& aNotice,
                                  TimePoint aNow)
{
  mAllocator.MergeBackoff(aNotice, aNow);
}

/// Records the quota units and retries that other coordinators granted to a VM.
void
DispatchCoordinator::MergeRemoteUsage(std::uint64_t aVm,
                                      const wire::DispatchReport& aReport,
                                      TimePoint aNow)
{
  mStartTimes[aVm] = aNow - Milliseconds(aReport.ageMillis);
  mLastReports[aVm] = aNow;
  UpdateKnownHistory(aNow);
  for (const auto& usage : aReport.quotas) {
    mQuotas.SetRemoteUsage(usage.team, aVm, usage.units, aNow);
  }
  for (const auto& usage : aReport.retries) {
    const policy::RetryCounts counts{ static_cast<double>(usage.requests),
                                      static_cast<double>(usage.retries) };
    mRetries.SetRemoteUsage(usage.service, aVm, counts, aNow);
  }
}

/// Updates the fraction of the quota window that is covered by the uptime of
/// the reporting VMs.
void
DispatchCoordinator::UpdateKnownHistory(TimePoint aNow)
{
  const double window = ToSeconds(mQuotas.Window());
  double known = 0;
  for (const auto& [vm, started] : mStartTimes) {
    known += std::min(1.0, ToSeconds(aNow - started) / window);
  }
  const auto vms = static_cast<double>(mStartTimes.size());
  mQuotas.SetKnownFraction(vms > 0 ? known / vms : 1);
}

const routing::Team*
DispatchCoordinator::FindTeam(const std::string& aName) const
{
  if (!mTable) {
    return nullptr;
  }
  const auto& teams = mTable->teams;
  const auto found =
    std::find_if(teams.begin(), teams.end(), [&](const auto& aTeam) {
      return aTeam.name == aName;
    });
  return found == teams.end() ? nullptr : &*found;
}

void
DispatchCoordinator::RemoveVm(std::uint64_t aVm, TimePoint aNow)
{
  mStartTimes.erase(aVm);
  mLastReports.erase(aVm);
  std::erase_if(mLastReplies,
                [&](const auto& aEntry) { return aEntry.first.vm == aVm; });
  std::erase_if(mWaitingRetries,
                [&](const auto& aEntry) { return aEntry.first.vm == aVm; });
  ApplyAllocations(mAllocator.RemoveVm(aVm, aNow), aNow);
}

void
DispatchCoordinator::DropWaiting()
{
  mAllocator.DropWaiting();
  mWaitingRetries.clear();
  mLastReplies.clear();
  mReplies.clear();
}

void
DispatchCoordinator::Tick(TimePoint aNow)
{
  ApplyAllocations(mAllocator.Tick(aNow), aNow);
  SubmitWaitingRetries(aNow);
  if (aNow - mLastCleanup < kCleanupPeriod) {
    return;
  }
  mLastCleanup = aNow;
  UpdateKnownHistory(aNow);
  for (const auto& [vm, at] : mLastReports) {
    if (aNow - at > kReportTimeout) {
      ApplyAllocations(
        mAllocator.Reconcile(vm, {}, aNow - kReportTimeout, aNow), aNow);
    }
  }
  std::erase_if(mLastReplies, [&](const auto& aEntry) {
    const bool waits =
      aEntry.second.reply.decision == wire::DispatchDecision::kWait;
    return !waits && aNow - aEntry.second.at > kDecisionLifetime;
  });
}

void
DispatchCoordinator::Learn(const policy::Job& aJob,
                           const std::string& aZone,
                           const std::string& aServer,
                           const policy::SendReport& aReport,
                           TimePoint aNow)
{
  mAllocator.Learn(aJob, aZone, aServer, aReport, aNow);
}

void
DispatchCoordinator::RecordOwnRun(const policy::JobKey& aKey,
                                  const policy::Job& aJob,
                                  const std::string& aServer,
                                  bool aTrial,
                                  const policy::SendReport& aReport,
                                  TimePoint aNow)
{
  mAllocator.RecordOwnRun(aKey, aJob, aServer, aTrial, aReport, aNow);
}

std::vector<AddressedReply>
DispatchCoordinator::TakeReplies()
{
  return std::exchange(mReplies, {});
}

} // namespace magnoliatide::fleet
