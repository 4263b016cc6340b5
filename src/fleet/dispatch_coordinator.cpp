// Decisions on dispatch requests: budgets, queueing and reports.
#include "magnoliatide/fleet/dispatch_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace magnoliatide::fleet {

namespace {

/// How long a final answer is kept in case its request is resent.
constexpr Duration kDecisionLifetime = Seconds(2);
/// Interval at which old answers and the requests of silent VMs are dropped.
constexpr Duration kCleanupPeriod = Milliseconds(500);

/// Requests dispatched within this time may be missing from a VM's report.
constexpr Duration kReportLag = Milliseconds(400);

/// A VM that has not reported for this time runs no requests: busy VMs report
/// several times per second.
constexpr Duration kReportTimeout = Seconds(2);

/// Retry-after time when the retry budget is used up.
constexpr Duration kRetryBudgetPause = Seconds(1);

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
    case policy::RejectReason::kHarmful:
      return wire::DispatchDecision::kHarmful;
  }
  return wire::DispatchDecision::kNoServer;
}

wire::DispatchReply
ToVerdict(const policy::Allocation& aAllocation)
{
  wire::DispatchReply verdict;
  verdict.number = aAllocation.key.job;
  verdict.server = aAllocation.server;
  verdict.probe = aAllocation.probe;
  verdict.retryAfterMillis = ToMillis(aAllocation.retryAfter);
  verdict.why = aAllocation.why;
  verdict.decision = aAllocation.send ? wire::DispatchDecision::kSend
                                      : DecisionFor(aAllocation.reason);
  return verdict;
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
  job.arrival = aNow - Milliseconds(aRequest.ageMillis);
  job.target = Milliseconds(aRequest.targetMillis);
  job.gapTarget = Milliseconds(aRequest.gapTargetMillis);
  job.deadline = aNow + Milliseconds(aRequest.remainingMillis);
  job.excludedServers = aRequest.excludedServers;
  job.serversReached = aRequest.serversReached;
  job.failed = aRequest.failed;
  job.retryAllowed = aRequest.retryAllowed;
  job.quotaUnits = aRequest.units;
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
  request.ageMillis = ToMillis(aNow - aJob.arrival);
  request.targetMillis = ToMillis(aJob.target);
  request.gapTargetMillis = ToMillis(aJob.gapTarget);
  request.remainingMillis = ToMillis(aJob.deadline - aNow);
  request.excludedServers = aJob.excludedServers;
  request.serversReached =
    static_cast<std::uint8_t>(std::min(aJob.serversReached, 255));
  request.failed = aJob.failed;
  request.retryAllowed = aJob.retryAllowed;
  request.units = static_cast<float>(aJob.quotaUnits);
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
DispatchCoordinator::SetTable(routing::TablePointer aTable)
{
  mTable = std::move(aTable);
}

void
DispatchCoordinator::SetServers(const routing::Roster& aRoster, TimePoint aNow)
{
  ApplyAllocations(mAllocator.SetServers(aRoster, aNow), aNow);
}

void
DispatchCoordinator::SetShares(double aSlotShare, double aQuotaShare)
{
  mAllocator.SetShare(aSlotShare);
  mQuotas.SetShare(aQuotaShare);
  mRetries.SetShare(aQuotaShare);
}

void
DispatchCoordinator::Submit(std::uint64_t aVm,
                            const std::string& aZone,
                            const wire::DispatchRequest& aRequest,
                            TimePoint aNow)
{
  const policy::JobKey key{ aVm, aRequest.number };
  const auto record = mDecisions.find(key);
  if (record != mDecisions.end()) {
    mVerdicts.push_back({ aVm, record->second.verdict });
    return;
  }
  policy::Job job = FromWire(aRequest, aNow);
  if (!CheckBudgets(aVm, job, aNow)) {
    return;
  }
  mLastReports.try_emplace(aVm, aNow);
  wire::DispatchReply wait;
  wait.number = aRequest.number;
  mDecisions[key] = { wait, aNow, job.team, job.quotaUnits };
  ApplyAllocations(mAllocator.Submit(key, job, aZone, aNow), aNow);
  const auto& current = mDecisions[key].verdict;
  if (current.decision == wire::DispatchDecision::kWait) {
    mVerdicts.push_back({ aVm, current });
  }
}

/// Charges a request to the retry budget and its team's quota. Rejects it and
/// returns false if either is used up.
bool
DispatchCoordinator::CheckBudgets(std::uint64_t aVm,
                                  policy::Job& aJob,
                                  TimePoint aNow)
{
  wire::DispatchReply verdict;
  verdict.number = aJob.id;
  if (aJob.failed && !mAllocator.ShouldRetry(aJob)) {
    verdict.decision = wire::DispatchDecision::kNoRetry;
    verdict.why = "such requests fail wherever they run";
    Answer(aVm, std::move(verdict), aNow);
    return false;
  }
  if (aJob.serversReached == 0) {
    mRetries.RecordRequest(aJob.service, aNow);
  } else if (!mRetries.Take(aJob.service, aNow)) {
    verdict.decision = wire::DispatchDecision::kNoRetry;
    verdict.retryAfterMillis = ToMillis(kRetryBudgetPause);
    verdict.why = "the retry budget of the service is used up";
    Answer(aVm, std::move(verdict), aNow);
    return false;
  }
  const auto* team = aJob.quotaUnits > 0 ? FindTeam(aJob.team) : nullptr;
  if (team == nullptr) {
    return true;
  }
  const auto quota = mQuotas.Take(*team, aJob.quotaUnits, aNow);
  if (quota != policy::QuotaVerdict::kOverLimit) {
    aJob.overQuota = quota == policy::QuotaVerdict::kOverQuota;
    return true;
  }
  verdict.decision = wire::DispatchDecision::kOverQuota;
  verdict.retryAfterMillis =
    ToMillis(mQuotas.UntilWithinQuota(*team, aJob.quotaUnits, aNow));
  verdict.why =
    "quota of team " + aJob.team + ": " + mQuotas.Describe(*team, aNow);
  Answer(aVm, std::move(verdict), aNow);
  return false;
}

/// Refunds the quota units charged for a request.
void
DispatchCoordinator::RefundQuota(const policy::JobKey& aKey,
                                 wire::DispatchReply& aVerdict,
                                 TimePoint aNow)
{
  const auto record = mDecisions.find(aKey);
  if (record == mDecisions.end() || record->second.units <= 0) {
    return;
  }
  const auto* team = FindTeam(record->second.team);
  if (team == nullptr) {
    return;
  }
  const double units = record->second.units;
  record->second.units = 0;
  mQuotas.RefundUnits(*team, units);
  if (aVerdict.decision == wire::DispatchDecision::kOverQuota) {
    aVerdict.retryAfterMillis =
      ToMillis(mQuotas.UntilWithinQuota(*team, units, aNow));
  }
}

void
DispatchCoordinator::Answer(std::uint64_t aVm,
                            wire::DispatchReply aVerdict,
                            TimePoint aNow)
{
  auto& record = mDecisions[{ aVm, aVerdict.number }];
  record.verdict = aVerdict;
  record.at = aNow;
  mVerdicts.push_back({ aVm, std::move(aVerdict) });
}

void
DispatchCoordinator::ApplyAllocations(const policy::Allocations& aAllocations,
                                      TimePoint aNow)
{
  for (const auto& allocation : aAllocations) {
    auto verdict = ToVerdict(allocation);
    if (!allocation.send) {
      RefundQuota(allocation.key, verdict, aNow);
    }
    Answer(allocation.key.vm, std::move(verdict), aNow);
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
  }
  mDecisions.erase(key);
}

void
DispatchCoordinator::Progress(std::uint64_t aVm,
                              const wire::DispatchProgress& aProgress,
                              TimePoint aNow)
{
  const policy::JobKey key{ aVm, aProgress.number };
  if (!aProgress.ended) {
    mAllocator.RecordFirstEvent(key);
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
  // The request may still wait here if its VM turned to another coordinator.
  mAllocator.Withdraw(key);
  ApplyAllocations(mAllocator.Finish(key, report, aNow), aNow);
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
  MergeRemoteUsage(aVm, aReport, aNow);
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
  std::erase_if(mDecisions,
                [&](const auto& aEntry) { return aEntry.first.vm == aVm; });
  ApplyAllocations(mAllocator.RemoveVm(aVm, aNow), aNow);
}

void
DispatchCoordinator::DropWaiting()
{
  mAllocator.DropWaiting();
  mDecisions.clear();
  mVerdicts.clear();
}

void
DispatchCoordinator::Tick(TimePoint aNow)
{
  ApplyAllocations(mAllocator.Tick(aNow), aNow);
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
  std::erase_if(mDecisions, [&](const auto& aEntry) {
    const bool waits =
      aEntry.second.verdict.decision == wire::DispatchDecision::kWait;
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
DispatchCoordinator::MergeSuspect(const policy::CrashCount& aCount,
                                  TimePoint aNow)
{
  mAllocator.Suspects().Merge(aCount, aNow);
}

std::vector<policy::CrashCount>
DispatchCoordinator::TakeSuspects()
{
  return mAllocator.Suspects().TakeChangedCounts();
}

std::vector<AddressedVerdict>
DispatchCoordinator::TakeVerdicts()
{
  return std::exchange(mVerdicts, {});
}

} // namespace magnoliatide::fleet
