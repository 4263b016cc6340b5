// Implementation of the allocator: queue passes, over-quota admission and
// rejections.
#include "magnoliatide/policy/allocator.h"

#include <algorithm>
#include <iterator>

namespace magnoliatide::policy {

namespace {

/// Fraction of a service's slots that must be free to admit an over-quota
/// request.
constexpr double kMinFreeFractionForOverQuota = 0.12;

/// From kQueueAheadThreshold queued requests on, each server may be sent
/// kQueuedPerServer requests beyond its slots, so that no slot idles between
/// two requests.
constexpr std::size_t kQueueAheadThreshold = 4;
constexpr int kQueuedPerServer = 1;

/// Queued requests that one pass examines; those further back are no more
/// likely to find a slot.
constexpr std::size_t kMaxScannedPerPass = 48;

/// Upcoming slot releases examined for each queued request.
constexpr std::size_t kMaxReleasesScanned = 12;

/// A request that is late anyway waits this long for servers that are all full.
constexpr Duration kMaxWaitForFullServers = Milliseconds(500);

constexpr Duration kMinRetryAfter = Milliseconds(100);
constexpr Duration kMaxRetryAfter = Seconds(5);
constexpr Duration kNoServerRetryAfter = Milliseconds(500);

/// Range of the random factor applied to retry times, so that callers do not
/// retry at the same moment.
constexpr double kMinJitterFactor = 0.8;
constexpr double kMaxJitterFactor = 1.4;

/// Prompts above this size wait for a warm server if one is free in time.
constexpr double kLargePromptTokens = 8192;

/// Returns whether a request that a crash would cost much waits for a warm
/// server, if one becomes free in time.
bool
AvoidsColdServers(const Job& aJob)
{
  return aJob.tier <= 0 || aJob.promptTokens > kLargePromptTokens;
}

std::string
FormatMilliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aTime).count());
}

} // namespace

Allocator::Allocator(AllocatorOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
{
}

Allocator::Service&
Allocator::FindOrAddService(const std::string& aName)
{
  const auto [at, inserted] = mServices.try_emplace(aName, mOptions.pool);
  if (inserted) {
    at->second.pool.SetShare(mShare);
    at->second.pool.SetRateLimitShare(mRateLimitShare);
    at->second.pool.SetColdPermitted(mColdPermitted, TimePoint());
  }
  return at->second;
}

Allocator::Service*
Allocator::FindServiceRunning(const JobKey& aKey)
{
  for (auto& [name, service] : mServices) {
    if (service.pool.FindRunning(aKey) != nullptr) {
      return &service;
    }
  }
  return nullptr;
}

Allocations
Allocator::SetServers(const routing::Roster& aRoster, TimePoint aNow)
{
  std::map<std::string, routing::Roster> byService;
  for (const auto& [name, service] : mServices) {
    byService[name];
  }
  for (const auto& [id, server] : aRoster) {
    byService[server.service].emplace(id, server);
  }
  for (const auto& [name, servers] : byService) {
    auto& pool = FindOrAddService(name).pool;
    for (const auto& [id, server] : servers) {
      const auto* known = pool.Find(id);
      if (known != nullptr && known->descriptor.started != server.started) {
        mSuspects.RecordServerLoss(id, aNow);
      }
      pool.SetServer(server, aNow);
    }
    pool.RemoveMissing(servers);
  }
  return Tick(aNow);
}

void
Allocator::SetShare(double aShare)
{
  mShare = aShare;
  for (auto& [name, service] : mServices) {
    service.pool.SetShare(aShare);
  }
}

void
Allocator::SetRateLimitShare(double aShare)
{
  mRateLimitShare = aShare;
  for (auto& [name, service] : mServices) {
    service.pool.SetRateLimitShare(aShare);
  }
}

void
Allocator::SetServices(const std::vector<routing::Service>& aServices,
                       TimePoint aNow)
{
  for (const auto& service : aServices) {
    FindOrAddService(service.name)
      .pool.SetColdLimit({ service.coldRequestsPerSecond, service.coldTime },
                         aNow);
  }
}

void
Allocator::SetColdPermitted(bool aPermitted, TimePoint aNow)
{
  if (aPermitted == mColdPermitted) {
    return;
  }
  mColdPermitted = aPermitted;
  for (auto& [name, service] : mServices) {
    service.pool.SetColdPermitted(aPermitted, aNow);
  }
}

std::vector<ServiceWarmup>
Allocator::Warmups(TimePoint aNow) const
{
  std::vector<ServiceWarmup> warmups;
  for (const auto& [name, service] : mServices) {
    if (service.pool.HasColdLimit()) {
      warmups.push_back(
        { name, service.pool.ColdServers(aNow), service.pool.ColdSkips() });
    }
  }
  return warmups;
}

void
Allocator::MergeRateLimit(const RateLimitNotice& aNotice, TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    service.pool.MergeRateLimit(aNotice, aNow);
  }
}

void
Allocator::RecordRateLimit(const JobKey& aKey,
                           std::optional<double> aPerSecond,
                           TimePoint aNow)
{
  auto* service = FindServiceRunning(aKey);
  if (service == nullptr) {
    return;
  }
  const auto& running = *service->pool.FindRunning(aKey);
  RateLimitNotice notice;
  notice.server = running.server->descriptor.id;
  notice.started = running.serverStarted;
  notice.perSecond = aPerSecond;
  notice.at = aPerSecond ? aNow : running.sent;
  service->pool.MergeRateLimit(notice, aNow);
}

void
Allocator::MergeBackoff(const BackoffNotice& aNotice, TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    service.pool.MergeBackoff(aNotice, aNow);
  }
}

void
Allocator::RecordBackoff(const JobKey& aKey, Duration aTime, TimePoint aNow)
{
  auto* service = FindServiceRunning(aKey);
  if (service == nullptr) {
    return;
  }
  const auto& running = *service->pool.FindRunning(aKey);
  BackoffNotice notice;
  notice.server = running.server->descriptor.id;
  notice.started = running.serverStarted;
  notice.vm = aKey.vm;
  notice.until = aNow + std::min(aTime, kMaxServerBackoff);
  service->pool.MergeBackoff(notice, aNow);
}

Allocations
Allocator::Submit(const JobKey& aKey,
                  const Job& aJob,
                  const std::string& aZone,
                  TimePoint aNow)
{
  Allocations out;
  auto& service = FindOrAddService(aJob.service);
  auto waiting = service.backlog.Prepare(aKey, aJob, aZone, aNow);
  if (RejectHarmful(waiting, TraitsOf(aJob), aNow, out)) {
    return out;
  }
  DispatchPass pass{ service, std::nullopt, aNow, out };
  if (aJob.overQuota) {
    SendOrRejectOverQuota(pass, waiting);
  } else if (TrySend(pass, waiting) != TrySendResult::kDecided) {
    const auto refusal = service.backlog.TryEnqueue(waiting, aNow);
    if (refusal) {
      Reject(waiting,
             RejectReason::kTooLate,
             AddJitter(refusal->retryDelay),
             refusal->why,
             out);
    }
  }
  return out;
}

bool
Allocator::Withdraw(const JobKey& aKey)
{
  for (auto& [name, service] : mServices) {
    if (service.backlog.Withdraw(aKey)) {
      return true;
    }
  }
  return false;
}

void
Allocator::DropWaiting()
{
  for (auto& [name, service] : mServices) {
    service.backlog.Clear();
  }
}

std::optional<Allocation>
Allocator::FindGrant(const JobKey& aKey)
{
  auto* service = FindServiceRunning(aKey);
  if (service == nullptr) {
    return std::nullopt;
  }
  const auto& running = *service->pool.FindRunning(aKey);
  Allocation allocation;
  allocation.key = aKey;
  allocation.send = true;
  allocation.server = running.server->descriptor.id;
  allocation.trial = running.trial;
  allocation.why = "granted before";
  return allocation;
}

void
Allocator::RecordFirstEvent(const JobKey& aKey)
{
  auto* service = FindServiceRunning(aKey);
  if (service != nullptr) {
    service->pool.RecordFirstEvent(*service->pool.FindRunning(aKey));
    if (!mSuspects.Empty()) {
      mBegunTrials.try_emplace(aKey);
    }
  }
}

void
Allocator::RecordSilence(const JobKey& aKey, TimePoint aNow)
{
  auto* service = FindServiceRunning(aKey);
  if (service != nullptr) {
    service->pool.RecordSilence(*service->pool.FindRunning(aKey), aNow);
  }
}

void
Allocator::RecordSilenceEnd(const JobKey& aKey, TimePoint aNow)
{
  auto* service = FindServiceRunning(aKey);
  if (service != nullptr) {
    service->pool.RecordSilenceEnd(*service->pool.FindRunning(aKey), aNow);
  }
}

Allocations
Allocator::Finish(const JobKey& aKey, const SendReport& aReport, TimePoint aNow)
{
  Allocations out;
  auto* service = FindServiceRunning(aKey);
  if (service == nullptr) {
    return out;
  }
  const auto& running = *service->pool.FindRunning(aKey);
  InterruptedRun run;
  run.incarnation = { running.server->descriptor.id, running.serverStarted };
  run.key = aKey;
  run.trial = running.trial;
  // A crash makes a warm server cold, too, so the state at the send counts.
  const bool overloaded =
    running.cold && running.server->warmup.IsOverloaded(aNow);
  RecordCrashEvidence(std::move(run), running.job, aReport, overloaded, aNow);
  UpdateEstimates(*service, running, aReport, aNow);
  if (aReport.result == SendResult::kWhole) {
    service->pool.LearnOverhead(running, aReport, aNow);
  }
  service->pool.End(aKey);
  DispatchWaiting(*service, aNow, out);
  return out;
}

void
Allocator::Adopt(const JobKey& aKey,
                 const Job& aJob,
                 const std::string& aZone,
                 const std::string& aServer,
                 bool aFirstEventSeen,
                 TimePoint aSent)
{
  auto& pool = FindOrAddService(aJob.service).pool;
  auto* server = pool.Find(aServer);
  if (server == nullptr || pool.FindRunning(aKey) != nullptr) {
    return;
  }
  RunningJob running;
  running.key = aKey;
  running.job = aJob;
  running.zone = aZone;
  running.sent = aSent;
  running.firstEventSeen = aFirstEventSeen;
  pool.Start(*server, std::move(running));
}

Allocations
Allocator::Reconcile(std::uint64_t aVm,
                     const std::set<JobId>& aStillRunning,
                     TimePoint aBefore,
                     TimePoint aNow)
{
  Allocations out;
  for (auto& [name, service] : mServices) {
    bool ended = false;
    for (const auto& key : service.pool.RunningJobsOf(aVm, aBefore)) {
      if (aStillRunning.count(key.job) == 0) {
        service.pool.End(key);
        ended = true;
      }
    }
    if (ended) {
      DispatchWaiting(service, aNow, out);
    }
  }
  return out;
}

Allocations
Allocator::RemoveVm(std::uint64_t aVm, TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    service.backlog.RemoveVm(aVm);
  }
  return Reconcile(aVm, {}, TimePoint::max(), aNow);
}

void
Allocator::Learn(const Job& aJob,
                 const std::string& aZone,
                 const std::string& aServer,
                 const SendReport& aReport,
                 TimePoint aNow)
{
  auto& service = FindOrAddService(aJob.service);
  RunningJob running;
  running.server = service.pool.Find(aServer);
  if (running.server == nullptr) {
    return;
  }
  running.job = aJob;
  running.zone = aZone;
  running.prefillTokens = aJob.promptTokens;
  running.cold = running.server->warmup.IsCold(aNow);
  UpdateEstimates(service, running, aReport, aNow);
}

void
Allocator::UpdateEstimates(Service& aService,
                           const RunningJob& aRunning,
                           const SendReport& aReport,
                           TimePoint aNow)
{
  const auto& job = aRunning.job;
  aService.pool.Learn(aRunning, aReport, aNow);
  const bool complete = aReport.result == SendResult::kWhole;
  if (job.failed && (complete || aReport.result == SendResult::kFailed)) {
    aService.retryGate.Record(job.kind, complete);
  }
  if (complete && job.stream && job.outputTokens > 0) {
    aService.backlog.RecordOutput(job.outputTokens, aReport.outputTokens);
  }
}

bool
Allocator::ShouldRetry(const Job& aJob)
{
  return FindOrAddService(aJob.service).retryGate.Allows(aJob.kind);
}

std::uint64_t
Allocator::StartOf(const std::string& aService, const std::string& aServer)
{
  const auto* server = FindOrAddService(aService).pool.Find(aServer);
  return server != nullptr ? server->descriptor.started : 0;
}

std::size_t
Allocator::Waiting() const
{
  std::size_t waiting = 0;
  for (const auto& [name, service] : mServices) {
    waiting += service.backlog.size();
  }
  return waiting;
}

Allocations
Allocator::Tick(TimePoint aNow)
{
  Allocations out;
  ClearBegunTrials(aNow);
  for (auto& [name, service] : mServices) {
    if (service.backlog.empty()) {
      continue;
    }
    if (!service.pool.AnyPresent()) {
      RejectWaiting(service, out);
    }
    DispatchWaiting(service, aNow, out);
    Shed(service, aNow, out);
  }
  return out;
}

/// Sends queued requests in order while there are free slots, and rejects those
/// that no server is usable for.
void
Allocator::DispatchWaiting(Service& aService, TimePoint aNow, Allocations& aOut)
{
  if (aService.backlog.empty()) {
    return;
  }
  const bool queueAhead = aService.backlog.size() >= kQueueAheadThreshold;
  aService.pool.SetQueueDepth(queueAhead ? kQueuedPerServer : 0);
  DispatchPass pass{ aService, std::nullopt, aNow, aOut };
  std::vector<JobKey> decided;
  // Caller zones from which no free server is usable.
  std::set<std::string> busyZones;
  // Servers that are not free, of requests that may not be sent to another one.
  std::set<std::string> busyServers;
  std::size_t scanned = 0;
  int free = aService.pool.FreeSlots(aNow);
  for (const auto& [position, waiting] : aService.backlog.InOrder()) {
    if (busyServers.count(waiting.job.onlyServer) > 0) {
      continue;
    }
    if (free <= 0 || ++scanned > kMaxScannedPerPass) {
      break;
    }
    if (busyZones.count(waiting.zone) > 0) {
      continue;
    }
    const auto result = TrySend(pass, waiting);
    if (result == TrySendResult::kDecided) {
      decided.push_back(waiting.key);
      free -= 1;
    } else if (result == TrySendResult::kAllBusy &&
               waiting.job.IsUnrestricted() &&
               !aService.pool.HoldsBack(waiting.job.vm, aNow)) {
      busyZones.insert(waiting.zone);
    } else if (result == TrySendResult::kAllBusy &&
               !waiting.job.onlyServer.empty()) {
      busyServers.insert(waiting.job.onlyServer);
    }
  }
  aService.pool.SetQueueDepth(0);
  for (const auto& key : decided) {
    aService.backlog.RemoveDecided(key, aNow);
  }
}

/// Rejects queued requests whose callers are not expected to wait long enough.
void
Allocator::Shed(Service& aService, TimePoint aNow, Allocations& aOut)
{
  for (const auto& shed : aService.backlog.Shed(aNow)) {
    Reject(shed.job,
           RejectReason::kTooLate,
           AddJitter(shed.refusal.retryDelay),
           shed.refusal.why,
           aOut);
  }
}

/// Rejects the queued requests of a service without servers, as new ones would
/// be. Those that have reached a server wait on: they may have begun, and
/// another server may replace the last one in time.
void
Allocator::RejectWaiting(Service& aService, Allocations& aOut)
{
  std::vector<JobKey> rejected;
  for (const auto& [position, waiting] : aService.backlog.InOrder()) {
    if (waiting.job.serversReached > 0) {
      continue;
    }
    rejected.push_back(waiting.key);
    Reject(waiting,
           RejectReason::kNoServer,
           AddJitter(kNoServerRetryAfter),
           "the service has no server any more",
           aOut);
  }
  for (const auto& key : rejected) {
    aService.backlog.Withdraw(key);
  }
}

/// Sends a request if a server is free, or rejects it if none is usable or it
/// is known to crash servers.
Allocator::TrySendResult
Allocator::TrySend(DispatchPass& aPass, const WaitingJob& aWaiting)
{
  if (aPass.now < aWaiting.job.notBefore) {
    return TrySendResult::kWaitForSlot;
  }
  auto& pool = aPass.service.pool;
  const auto traits =
    mSuspects.Empty() ? std::vector<Trait>() : TraitsOf(aWaiting.job);
  const auto standing = mSuspects.StandingOf(traits, aPass.now);
  if (standing == CrashStanding::kHarmful) {
    RejectHarmful(aWaiting, traits, aPass.now, aPass.out);
    return TrySendResult::kDecided;
  }
  const bool suspect = standing == CrashStanding::kSuspect;
  if (suspect && IsTrialRunning(aPass.service, traits, aPass.now)) {
    return TrySendResult::kWaitForTrial;
  }
  const auto best =
    suspect ? pool.EmptiestFreeServer(aWaiting.job, aWaiting.zone, aPass.now)
            : pool.BestFreeServer(aWaiting.job, aWaiting.zone, aPass.now);
  if (best.server == nullptr) {
    const auto backoffEnd =
      pool.BackoffEnd(aWaiting.job, aWaiting.zone, aPass.now);
    if (backoffEnd && RejectHeldBack(aPass, aWaiting, *backoffEnd)) {
      return TrySendResult::kDecided;
    }
    if (backoffEnd || pool.CanServe(aWaiting.job, aWaiting.zone, aPass.now)) {
      return TrySendResult::kAllBusy;
    }
    Reject(aWaiting,
           RejectReason::kNoServer,
           AddJitter(kNoServerRetryAfter),
           "no usable server",
           aPass.out);
    return TrySendResult::kDecided;
  }
  const bool prefersOther =
    !best.inTime || (best.cold && AvoidsColdServers(aWaiting.job));
  if (prefersOther && !suspect && ReserveTimelySlot(aPass, aWaiting)) {
    return TrySendResult::kWaitForSlot;
  }
  Send(aPass.service, aWaiting, best, aPass.now, aPass.out);
  return TrySendResult::kDecided;
}

/// Rejects a request that all usable servers hold back for long, if it would be
/// late when the first one takes requests again. Returns whether it did. Its
/// caller is told that time.
bool
Allocator::RejectHeldBack(DispatchPass& aPass,
                          const WaitingJob& aWaiting,
                          TimePoint aEnd)
{
  const bool isShort = aEnd <= aPass.now + kMaxWaitForFullServers;
  if (aEnd <= aWaiting.giveUpAt && (isShort || aEnd <= aWaiting.latestStart)) {
    return false;
  }
  const Duration wait = aEnd - aPass.now;
  Reject(aWaiting,
         RejectReason::kServersFull,
         std::max(wait, AddJitter(wait)),
         "all usable servers want no requests for " + FormatMilliseconds(wait) +
           " ms",
         aPass.out);
  return true;
}

/// Reserves a slot that is released soon enough for a request that would be
/// late at the free servers. Returns whether there is one.
bool
Allocator::ReserveTimelySlot(DispatchPass& aPass, const WaitingJob& aWaiting)
{
  auto& pool = aPass.service.pool;
  if (!aPass.releases) {
    aPass.releases = pool.ExpectedReleases(aPass.now);
  }
  const auto& job = aWaiting.job;
  const Duration timeToTarget = job.arrival + job.target - aPass.now;
  std::size_t scanned = 0;
  for (auto& release : *aPass.releases) {
    if (release.time > timeToTarget || scanned >= kMaxReleasesScanned) {
      break;
    }
    if (release.reserved) {
      continue;
    }
    scanned += 1;
    const bool inTime =
      pool.IsEligible(*release.server, job, aWaiting.zone, aPass.now) &&
      pool.TimeToFirstAfter(release, job, aWaiting.zone) <= timeToTarget;
    if (inTime) {
      release.reserved = true;
      return true;
    }
  }
  return false;
}

/// Sends an over-quota request if there is spare capacity, otherwise rejects
/// it. Always returns true.
bool
Allocator::SendOrRejectOverQuota(DispatchPass& aPass,
                                 const WaitingJob& aWaiting)
{
  auto& service = aPass.service;
  const auto best =
    service.pool.BestFreeServer(aWaiting.job, aWaiting.zone, aPass.now);
  const bool spare =
    best.server != nullptr && best.inTime &&
    !IsTrialRunning(service, TraitsOf(aWaiting.job), aPass.now) &&
    service.backlog.empty() &&
    service.pool.FreeSlots(aPass.now) >=
      kMinFreeFractionForOverQuota * service.pool.Slots();
  if (spare) {
    Send(service, aWaiting, best, aPass.now, aPass.out);
  } else {
    Reject(aWaiting,
           RejectReason::kOverQuota,
           Duration::zero(),
           "over the team's quota, and the servers lack spare capacity",
           aPass.out);
  }
  return true;
}

void
Allocator::Send(Service& aService,
                const WaitingJob& aWaiting,
                const Forecast& aForecast,
                TimePoint aNow,
                Allocations& aOut)
{
  auto& server = *aForecast.server;
  if (aForecast.probe) {
    aService.pool.RecordProbe(server, aWaiting.zone, aNow);
  }
  Allocation allocation;
  allocation.key = aWaiting.key;
  allocation.send = true;
  allocation.server = server.descriptor.id;
  allocation.probe = aForecast.probe;
  allocation.trial =
    !mSuspects.Empty() &&
    mSuspects.StandingOf(TraitsOf(aWaiting.job), aNow) != CrashStanding::kNone;
  allocation.why =
    "first event in " + FormatMilliseconds(aForecast.toFirst) +
    " ms, running there: " + std::to_string(server.running.size()) +
    (aForecast.cold ? ", cold" : "") + (aForecast.probe ? ", probe" : "") +
    (allocation.trial ? ", trial" : "");
  RunningJob running;
  running.trial = allocation.trial;
  aOut.push_back(std::move(allocation));
  aService.backlog.RecordSent(aWaiting);
  running.key = aWaiting.key;
  running.job = aWaiting.job;
  running.zone = aWaiting.zone;
  running.sent = aNow;
  aService.pool.Start(server, std::move(running));
}

void
Allocator::Reject(const WaitingJob& aWaiting,
                  RejectReason aReason,
                  Duration aRetryAfter,
                  std::string aWhy,
                  Allocations& aOut)
{
  Allocation allocation;
  allocation.key = aWaiting.key;
  allocation.reason = aReason;
  // A server's own time is not shortened: before its end, the caller would only
  // be rejected again.
  const Duration most =
    aReason == RejectReason::kServersFull ? kMaxServerBackoff : kMaxRetryAfter;
  allocation.retryAfter =
    std::clamp<Duration>(aRetryAfter, kMinRetryAfter, most);
  allocation.why = std::move(aWhy);
  aOut.push_back(std::move(allocation));
}

/// Applies random jitter to a retry time.
Duration
Allocator::AddJitter(Duration aTime)
{
  std::uniform_real_distribution<double> factor(kMinJitterFactor,
                                                kMaxJitterFactor);
  return FromSeconds(ToSeconds(aTime) * factor(mRandom));
}

} // namespace magnoliatide::policy
