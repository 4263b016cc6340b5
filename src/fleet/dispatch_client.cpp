// Requests, timeouts and reports of a dispatch client.
#include "magnoliatide/fleet/dispatch_client.h"

#include <algorithm>

namespace magnoliatide::fleet {

namespace {

/// Number of running requests that fit into a report.
constexpr std::size_t kMaxReportedRequests = 30;

/// Number of unresponsive coordinators of another zone from which on its other
/// VMs are not tried.
constexpr std::size_t kMaxUnresponsiveOfZone = 2;

/// Number of other zones with unresponsive coordinators from which on only VMs
/// of this zone are tried.
constexpr std::size_t kMaxUnresponsiveZones = 2;

/// Number of rate limits, and of backoffs, that fit into a report.
constexpr std::size_t kMaxReportedNotices = 40;

/// Reports that contain a rate limit or a backoff, in case one is lost.
constexpr int kReportsPerNotice = 2;

/// Higher rate limits are treated as this one.
constexpr double kMaxRateLimit = 1e6;

/// A rate limit that was named longer ago is forgotten by the VM. If it is
/// still in force, the server names it again.
constexpr Duration kLimitLifetime = std::chrono::minutes(2);

/// Returns the index of a name, which is appended if it is missing.
std::uint8_t
FindOrAdd(std::vector<std::string>& aNames, const std::string& aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  const auto index = static_cast<std::uint8_t>(found - aNames.begin());
  if (found == aNames.end()) {
    aNames.push_back(aName);
  }
  return index;
}

std::uint32_t
ToMicros(Duration aTime)
{
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(micros, 0, 0xffffffff));
}

/// Adds what the head of an answer tells about the server's rate limit.
void
AddHead(std::optional<double> aRateLimit, wire::DispatchProgress& aProgress)
{
  aProgress.hasHead = true;
  if (aRateLimit) {
    aProgress.rateLimit = static_cast<float>(*aRateLimit);
  }
}

wire::DispatchProgress
EndProgress(std::uint64_t aNumber, const policy::SendReport& aReport)
{
  wire::DispatchProgress progress;
  progress.number = aNumber;
  progress.ended = true;
  progress.result = static_cast<std::uint8_t>(aReport.result);
  progress.outputTokens = static_cast<float>(aReport.outputTokens);
  progress.laterTokens = static_cast<float>(aReport.laterTokens);
  progress.firstEventMicros = ToMicros(aReport.toFirstEvent);
  progress.totalMicros = ToMicros(aReport.toEnd);
  progress.serverDown = aReport.serverDown;
  return progress;
}

} // namespace

DispatchClient::DispatchClient(DispatchClientOptions aOptions,
                               DispatchCoordinator& aLocal,
                               TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mLocal(aLocal)
  , mStarted(aNow)
{
}

void
DispatchClient::SetCandidates(std::vector<CoordinatorCandidate> aCandidates,
                              TimePoint aNow)
{
  mCandidates = std::move(aCandidates);
  std::erase_if(mUnresponsive, [&](const auto& aEntry) {
    return FindCandidate(aEntry.first) == nullptr;
  });
  for (auto& [id, pending] : mPending) {
    const bool known = pending.coordinator == mOptions.self ||
                       FindCandidate(pending.coordinator) != nullptr;
    if (!known) {
      SendRequest(pending, aNow);
    }
  }
}

const CoordinatorCandidate*
DispatchClient::FindCandidate(std::uint64_t aProcess) const
{
  const auto found =
    std::find_if(mCandidates.begin(), mCandidates.end(), [&](const auto& aC) {
      return aC.process == aProcess;
    });
  return found == mCandidates.end() ? nullptr : &*found;
}

std::uint64_t
DispatchClient::ChooseCoordinator(TimePoint aNow) const
{
  // A zone whose preferred coordinators do not reply may be cut off: the others
  // turn to the first VM of another zone, which is the same for all of them. If
  // several zones do not reply, this one may be cut off.
  std::map<std::string, std::size_t> unresponsive;
  for (const auto& candidate : mCandidates) {
    const auto entry = mUnresponsive.find(candidate.process);
    if (entry != mUnresponsive.end() && aNow < entry->second) {
      unresponsive[candidate.zone] += 1;
      continue;
    }
    const bool sameZone = candidate.zone == mOptions.zone;
    const auto zone = unresponsive.find(candidate.zone);
    const bool zoneReplies =
      zone == unresponsive.end() || zone->second < kMaxUnresponsiveOfZone;
    const bool othersReply =
      unresponsive.size() - unresponsive.count(mOptions.zone) <
      kMaxUnresponsiveZones;
    if (sameZone || (zoneReplies && othersReply)) {
      return candidate.process;
    }
  }
  return mOptions.self;
}

void
DispatchClient::Submit(const policy::Job& aJob,
                       OnDecision aOnDecision,
                       TimePoint aNow)
{
  PendingRequest pending;
  pending.job = aJob;
  pending.onDecision = std::move(aOnDecision);
  const auto [at, inserted] = mPending.emplace(aJob.id, std::move(pending));
  static_cast<void>(inserted);
  SendRequest(at->second, aNow);
}

void
DispatchClient::SendRequest(PendingRequest& aPending, TimePoint aNow)
{
  mByNumber.erase(aPending.number);
  // A further coordinator must not count the request once more.
  aPending.job.counted = aPending.number != 0;
  aPending.number = ++mLastNumber;
  mByNumber[aPending.number] = aPending.job.id;
  aPending.coordinator = ChooseCoordinator(aNow);
  if (aPending.coordinator != mLastCoordinator) {
    // The new coordinator has to count what others granted before it grants
    // more.
    mLastCoordinator = aPending.coordinator;
    Enqueue(aPending.coordinator, ReportFor(aPending.coordinator, aNow));
  }
  aPending.firstSentAt = aNow;
  aPending.lastWaitAt = TimePoint{};
  aPending.nextSendAt = aNow + mOptions.requestRetryInterval;
  Enqueue(aPending.coordinator, ToWire(aPending.number, aPending.job, aNow));
}

void
DispatchClient::Enqueue(std::uint64_t aTo,
                        decltype(DispatchMessage::body) aBody)
{
  mMessages.push_back({ aTo, "", std::move(aBody) });
}

void
DispatchClient::Withdraw(policy::JobId aJob, TimePoint)
{
  const auto found = mPending.find(aJob);
  if (found == mPending.end()) {
    return;
  }
  Enqueue(found->second.coordinator,
          wire::DispatchCancel{ found->second.number });
  mByNumber.erase(found->second.number);
  mPending.erase(found);
}

void
DispatchClient::RecordFirstEvent(policy::JobId aJob, TimePoint)
{
  const auto found = mDispatched.find(aJob);
  if (found == mDispatched.end() || found->second.firstEventSeen) {
    return;
  }
  found->second.firstEventSeen = true;
  wire::DispatchProgress progress;
  progress.number = found->second.number;
  if (found->second.hasHead) {
    AddHead(found->second.rateLimit, progress);
  }
  Enqueue(found->second.coordinator, progress);
}

std::optional<policy::RateLimitNotice>
DispatchClient::RecordRateLimit(policy::JobId aJob,
                                std::optional<double> aPerSecond,
                                TimePoint aNow)
{
  const auto found = mDispatched.find(aJob);
  if (found == mDispatched.end()) {
    return std::nullopt;
  }
  auto& sent = found->second;
  sent.hasHead = true;
  sent.rateLimit = aPerSecond;
  if (sent.rateLimit) {
    sent.rateLimit = std::min(*sent.rateLimit, kMaxRateLimit);
  }
  const auto known = mLimits.find(sent.server);
  policy::RateLimitNotice notice;
  notice.server = sent.server;
  notice.started = mLocal.StartOf(sent.job.service, sent.server);
  notice.perSecond = sent.rateLimit;
  notice.at = sent.rateLimit ? aNow : sent.at;
  if (!sent.rateLimit) {
    if (known == mLimits.end() || notice.at <= known->second.notice.at) {
      return std::nullopt;
    }
    mLimits.erase(known);
    return notice;
  }
  const bool changed = known == mLimits.end() ||
                       known->second.notice.started != notice.started ||
                       known->second.notice.perSecond != notice.perSecond;
  mLimits[sent.server] = { notice, kReportsPerNotice };
  if (!changed) {
    return std::nullopt;
  }
  // The coordinator must not wait for the first event of the answer.
  mNextReport = std::min(mNextReport, aNow);
  return notice;
}

std::optional<policy::BackoffNotice>
DispatchClient::RecordBackoff(policy::JobId aJob,
                              Duration aTime,
                              TimePoint aNow)
{
  const auto found = mDispatched.find(aJob);
  if (found == mDispatched.end() || aTime <= Duration::zero()) {
    return std::nullopt;
  }
  auto& sent = found->second;
  sent.backoff = std::min(aTime, policy::kMaxServerBackoff);
  policy::BackoffNotice notice;
  notice.server = sent.server;
  notice.started = mLocal.StartOf(sent.job.service, sent.server);
  notice.vm = mOptions.self;
  notice.until = aNow + sent.backoff;
  auto& known = mBackoffs[sent.server];
  const bool longer =
    known.notice.started != notice.started || known.notice.until < notice.until;
  if (longer) {
    known = { notice, kReportsPerNotice };
    // The coordinator that decides next may be this VM or another one.
    mLocal.MergeBackoff(notice, aNow);
  }
  return notice;
}

bool
DispatchClient::MayUse(const std::string& aServer,
                       std::uint64_t aStarted,
                       TimePoint aNow) const
{
  const auto found = mBackoffs.find(aServer);
  return found == mBackoffs.end() || found->second.notice.until <= aNow ||
         found->second.notice.started != aStarted;
}

void
DispatchClient::RecordSilence(policy::JobId aJob)
{
  EnqueueActivity(aJob, policy::SendResult::kSilent);
}

void
DispatchClient::RecordSilenceEnd(policy::JobId aJob)
{
  EnqueueActivity(aJob, policy::SendResult::kWhole);
}

/// Reports to the coordinator whether the server of a running request is silent
/// (kSilent) or has sent an event (kWhole).
void
DispatchClient::EnqueueActivity(policy::JobId aJob,
                                policy::SendResult aActivity)
{
  const auto found = mDispatched.find(aJob);
  if (found == mDispatched.end()) {
    return;
  }
  wire::DispatchProgress progress;
  progress.number = found->second.number;
  progress.result = static_cast<std::uint8_t>(aActivity);
  Enqueue(found->second.coordinator, progress);
}

void
DispatchClient::Finish(policy::JobId aJob,
                       const policy::SendReport& aReport,
                       TimePoint aNow)
{
  const auto found = mDispatched.find(aJob);
  if (found == mDispatched.end()) {
    return;
  }
  const auto& sent = found->second;
  auto progress = EndProgress(sent.number, aReport);
  if (sent.hasHead && !sent.firstEventSeen) {
    AddHead(sent.rateLimit, progress);
  }
  progress.backoffMillis = static_cast<std::uint32_t>(
    std::chrono::duration_cast<Milliseconds>(sent.backoff).count());
  Enqueue(sent.coordinator, progress);
  // The coordinator may be lost before it can tell the other VMs.
  mLocal.RecordOwnRun({ mOptions.self, sent.number },
                      sent.job,
                      sent.server,
                      sent.trial,
                      aReport,
                      aNow);
  if (sent.coordinator != mOptions.self) {
    mLocal.Learn(sent.job, mOptions.zone, sent.server, aReport, aNow);
  }
  mDispatched.erase(found);
}

void
DispatchClient::Receive(std::uint64_t aFrom,
                        const wire::DispatchReply& aReply,
                        TimePoint aNow)
{
  mUnresponsive.erase(aFrom);
  HandleReply(aFrom, aReply, aNow);
}

void
DispatchClient::HandleReply(std::uint64_t aFrom,
                            const wire::DispatchReply& aReply,
                            TimePoint aNow)
{
  const auto number = mByNumber.find(aReply.number);
  if (number == mByNumber.end()) {
    ReleaseSlot(aFrom, aReply.number, aNow);
    return;
  }
  const auto found = mPending.find(number->second);
  auto& pending = found->second;
  if (pending.coordinator != aFrom) {
    ReleaseSlot(aFrom, aReply.number, aNow);
    return;
  }
  if (aReply.decision == wire::DispatchDecision::kWait) {
    pending.lastWaitAt = aNow;
    pending.nextSendAt = aNow + mOptions.waitPollInterval;
    return;
  }
  const bool granted = aReply.decision == wire::DispatchDecision::kSend;
  RecordUsage(pending, aFrom, granted, aNow);
  const PendingRequest decided = std::move(pending);
  mByNumber.erase(number);
  mPending.erase(found);
  if (granted) {
    Dispatched sent;
    sent.job = decided.job;
    sent.number = decided.number;
    sent.coordinator = aFrom;
    sent.server = aReply.server;
    sent.trial = aReply.trial;
    sent.at = aNow;
    mDispatched[decided.job.id] = std::move(sent);
  }
  const auto* candidate = FindCandidate(aFrom);
  decided.onDecision(aReply, candidate != nullptr ? candidate->address : "own");
}

/// Ends a request at a coordinator whose reply is not used, so that it
/// releases the granted slot or removes the waiting request. Does nothing if a
/// request was dispatched under that number.
void
DispatchClient::ReleaseSlot(std::uint64_t aFrom,
                            std::uint64_t aNumber,
                            TimePoint)
{
  const bool used = std::any_of(
    mDispatched.begin(), mDispatched.end(), [&](const auto& aEntry) {
      return aEntry.second.number == aNumber;
    });
  if (used) {
    return;
  }
  policy::SendReport report;
  report.result = policy::SendResult::kCancelled;
  Enqueue(aFrom, EndProgress(aNumber, report));
}

void
DispatchClient::RecordUsage(const PendingRequest& aPending,
                            std::uint64_t aCoordinator,
                            bool aGranted,
                            TimePoint aNow)
{
  const auto& job = aPending.job;
  if (job.quotaUnits > 0 && aGranted) {
    mCharges.push_back({ aNow, job.team, job.quotaUnits, aCoordinator });
  }
  if (aGranted || job.serversReached == 0) {
    mGrants.push_back(
      { aNow, job.service, job.serversReached > 0, aCoordinator });
  }
}

void
DispatchClient::Tick(TimePoint aNow)
{
  Expire(aNow);
  for (auto& [id, pending] : mPending) {
    if (pending.coordinator == mOptions.self || aNow < pending.nextSendAt) {
      continue;
    }
    const TimePoint since = std::max(pending.firstSentAt, pending.lastWaitAt);
    const Duration timeout =
      pending.lastWaitAt == TimePoint{}
        ? mOptions.requestTimeout
        : mOptions.waitPollInterval + mOptions.requestTimeout;
    if (aNow - since >= timeout) {
      mUnresponsive[pending.coordinator] = aNow + mOptions.failureBackoff;
      Enqueue(pending.coordinator, wire::DispatchCancel{ pending.number });
      SendRequest(pending, aNow);
      continue;
    }
    pending.nextSendAt = aNow + mOptions.requestRetryInterval;
    Enqueue(pending.coordinator, ToWire(pending.number, pending.job, aNow));
  }
  if (aNow >= mNextReport) {
    mNextReport = aNow + mOptions.reportPeriod;
    EnqueueReport(aNow);
  }
}

void
DispatchClient::Restart(TimePoint aNow)
{
  for (auto& [id, pending] : mPending) {
    SendRequest(pending, aNow);
  }
}

void
DispatchClient::Expire(TimePoint aNow)
{
  while (!mCharges.empty() &&
         aNow - mCharges.front().at > mOptions.quotaWindow) {
    mCharges.pop_front();
  }
  while (!mGrants.empty() && aNow - mGrants.front().at > mOptions.retryWindow) {
    mGrants.pop_front();
  }
}

void
DispatchClient::EnqueueReport(TimePoint aNow)
{
  const auto coordinator = ChooseCoordinator(aNow);
  const bool busy = Busy();
  if (!busy && !mReportedBusy) {
    return;
  }
  mReportedBusy = busy;
  Enqueue(coordinator, ReportFor(coordinator, aNow));
}

wire::DispatchReport
DispatchClient::ReportFor(std::uint64_t aCoordinator, TimePoint aNow)
{
  wire::DispatchReport report;
  report.ageMillis = static_cast<std::uint32_t>(
    std::chrono::duration_cast<Milliseconds>(aNow - mStarted).count());
  for (const auto& [id, sent] : mDispatched) {
    if (report.running.size() >= kMaxReportedRequests) {
      report.complete = false;
      break;
    }
    wire::RunningRequest running;
    running.number = sent.number;
    running.service = FindOrAdd(report.names, sent.job.service);
    running.server = FindOrAdd(report.names, sent.server);
    running.promptTokens = static_cast<float>(sent.job.promptTokens);
    running.outputTokens = static_cast<float>(sent.job.outputTokens);
    running.gapTargetMillis = static_cast<std::uint16_t>(
      std::chrono::duration_cast<Milliseconds>(sent.job.gapTarget).count());
    running.ageMillis = static_cast<std::uint32_t>(
      std::chrono::duration_cast<Milliseconds>(aNow - sent.at).count());
    running.stream = sent.job.stream;
    running.firstEventSeen = sent.firstEventSeen;
    report.running.push_back(running);
  }
  std::map<std::string, double> units;
  for (const auto& charge : mCharges) {
    if (charge.coordinator != aCoordinator) {
      units[charge.team] += charge.units;
    }
  }
  for (const auto& [team, amount] : units) {
    report.quotas.push_back({ team, static_cast<float>(amount) });
  }
  std::map<std::string, wire::RetryUsage> retries;
  for (const auto& grant : mGrants) {
    if (grant.coordinator != aCoordinator) {
      auto& usage = retries[grant.service];
      usage.service = grant.service;
      (grant.isRetry ? usage.retries : usage.requests) += 1;
    }
  }
  for (const auto& [service, usage] : retries) {
    report.retries.push_back(usage);
  }
  report.rateLimits = LimitsFor(aCoordinator, aNow);
  report.backoffs = BackoffsFor(aCoordinator, aNow);
  mNoticesReportedTo = aCoordinator;
  return report;
}

/// Returns the rate limits that a coordinator may not have received. A new one
/// gets all of them.
std::vector<wire::ServerRateLimit>
DispatchClient::LimitsFor(std::uint64_t aCoordinator, TimePoint aNow)
{
  std::erase_if(mLimits, [&](const auto& aEntry) {
    return aNow - aEntry.second.notice.at > kLimitLifetime;
  });
  std::vector<wire::ServerRateLimit> limits;
  for (auto& [server, limit] : mLimits) {
    if (aCoordinator != mNoticesReportedTo) {
      limit.reportsLeft = kReportsPerNotice;
    }
    const auto& notice = limit.notice;
    if (limit.reportsLeft > 0 && limits.size() < kMaxReportedNotices) {
      limit.reportsLeft -= 1;
      const auto age =
        std::chrono::duration_cast<Milliseconds>(aNow - notice.at).count();
      limits.push_back({ server,
                         notice.started,
                         static_cast<float>(*notice.perSecond),
                         static_cast<std::uint32_t>(age) });
    }
  }
  return limits;
}

/// Returns the backoffs that a coordinator may not have received. A new one
/// gets all of them.
std::vector<wire::ServerBackoff>
DispatchClient::BackoffsFor(std::uint64_t aCoordinator, TimePoint aNow)
{
  std::erase_if(mBackoffs, [&](const auto& aEntry) {
    return aEntry.second.notice.until <= aNow;
  });
  std::vector<wire::ServerBackoff> backoffs;
  for (auto& [server, backoff] : mBackoffs) {
    if (aCoordinator != mNoticesReportedTo) {
      backoff.reportsLeft = kReportsPerNotice;
    }
    const auto& notice = backoff.notice;
    if (backoff.reportsLeft > 0 && backoffs.size() < kMaxReportedNotices) {
      backoff.reportsLeft -= 1;
      const auto remaining =
        std::chrono::duration_cast<Milliseconds>(notice.until - aNow).count();
      backoffs.push_back(
        { server, notice.started, static_cast<std::uint32_t>(remaining) });
    }
  }
  return backoffs;
}

std::vector<DispatchMessage>
DispatchClient::TakeMessages(TimePoint aNow)
{
  std::vector<DispatchMessage> outgoing;
  // Local replies may cause further messages, also to the local coordinator.
  while (true) {
    auto messages = std::exchange(mMessages, {});
    for (auto& message : messages) {
      if (message.to != mOptions.self) {
        const auto* candidate = FindCandidate(message.to);
        if (candidate != nullptr) {
          message.address = candidate->address;
          outgoing.push_back(std::move(message));
        }
        continue;
      }
      if (const auto* request =
            std::get_if<wire::DispatchRequest>(&message.body)) {
        mLocal.Submit(mOptions.self, mOptions.zone, *request, aNow);
      } else if (const auto* cancel =
                   std::get_if<wire::DispatchCancel>(&message.body)) {
        mLocal.Withdraw(mOptions.self, *cancel);
      } else if (const auto* progress =
                   std::get_if<wire::DispatchProgress>(&message.body)) {
        mLocal.Progress(mOptions.self, *progress, aNow);
      } else if (const auto* report =
                   std::get_if<wire::DispatchReport>(&message.body)) {
        mLocal.Report(mOptions.self, mOptions.zone, *report, aNow);
      }
    }
    const auto replies = mLocal.TakeReplies();
    for (const auto& addressed : replies) {
      if (addressed.vm == mOptions.self) {
        HandleReply(mOptions.self, addressed.reply, aNow);
        continue;
      }
      const auto* candidate = FindCandidate(addressed.vm);
      if (candidate != nullptr) {
        outgoing.push_back(
          { addressed.vm, candidate->address, addressed.reply });
      }
    }
    if (mMessages.empty() && replies.empty()) {
      return outgoing;
    }
  }
}

} // namespace magnoliatide::fleet
