// Allocation of requests to servers.
#include "magnoliatide/policy/allocator.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Part of a service's slots that must be free for requests beyond a quota.
constexpr double kSpareForSurplus = 0.12;

/// Waiting requests from which on servers are kept busy by one request more
/// than they run.
constexpr std::size_t kLoadedLine = 4;
constexpr int kLoadedQueue = 1;

/// Waiting requests that one pass looks at; the ones behind have no better
/// chance.
constexpr std::size_t kMostPerPass = 48;

/// Slots that a waiting request looks for one that frees in time.
constexpr std::size_t kMostFreeings = 12;

constexpr Duration kLeastRetryAfter = Milliseconds(100);
constexpr Duration kMostRetryAfter = Seconds(5);
constexpr Duration kNoServerRetryAfter = Milliseconds(500);

/// By how much the times to come back differ, so that callers do not return
/// together.
constexpr double kLeastSpread = 0.8;
constexpr double kMostSpread = 1.4;

std::string
Millis(Duration aTime)
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
Allocator::ServiceOf(const std::string& aName)
{
  const auto [at, fresh] = mServices.try_emplace(aName, mOptions.pool);
  if (fresh) {
    at->second.pool.SetPart(mPart);
  }
  return at->second;
}

Allocator::Service*
Allocator::ServiceOfRunning(const JobKey& aKey)
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
    auto& pool = ServiceOf(name).pool;
    for (const auto& [id, server] : servers) {
      const auto* known = pool.Find(id);
      if (known != nullptr && known->facts.started != server.started) {
        mSuspects.NoteGone(id, aNow);
      }
      pool.SetServer(server);
    }
    pool.RemoveMissing(servers);
  }
  return Tick(aNow);
}

void
Allocator::SetPart(double aPart)
{
  mPart = aPart;
  for (auto& [name, service] : mServices) {
    service.pool.SetPart(aPart);
  }
}

Allocations
Allocator::Submit(const JobKey& aKey,
                  const Job& aJob,
                  const std::string& aZone,
                  TimePoint aNow)
{
  Allocations out;
  auto& service = ServiceOf(aJob.service);
  auto waiting = service.backlog.Prepare(aKey, aJob, aZone, aNow);
  if (mSuspects.IsHarmful(aJob.fingerprint, aNow)) {
    Reject(waiting,
           RejectReason::kHarmful,
           kMostRetryAfter,
           "it ran at three crashes of servers",
           out);
    return out;
  }
  Pass pass{ service, std::nullopt, aNow, out };
  if (aJob.surplus) {
    SendSurplus(pass, waiting);
  } else if (TrySend(pass, waiting) != Attempt::kDecided) {
    const auto refusal = service.backlog.Enter(waiting, aNow);
    if (refusal) {
      Reject(waiting,
             RejectReason::kTooLate,
             Spread(refusal->room),
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

void
Allocator::FirstEvent(const JobKey& aKey)
{
  auto* service = ServiceOfRunning(aKey);
  if (service != nullptr) {
    service->pool.NoteFirst(*service->pool.FindRunning(aKey));
  }
}

Allocations
Allocator::Finish(const JobKey& aKey, const SendReport& aReport, TimePoint aNow)
{
  Allocations out;
  auto* service = ServiceOfRunning(aKey);
  if (service == nullptr) {
    return out;
  }
  const auto& running = *service->pool.FindRunning(aKey);
  NoteCrash(running, aReport.result, aNow);
  LearnFrom(*service, running, aReport, aNow);
  if (aReport.result == SendResult::kWhole) {
    service->pool.LearnOverhead(running, aReport, aNow);
  }
  service->pool.End(aKey);
  Pump(*service, aNow, out);
  return out;
}

void
Allocator::NoteCrash(const RunningJob& aRunning,
                     SendResult aResult,
                     TimePoint aNow)
{
  const auto& server = aRunning.server->facts.id;
  if (aResult == SendResult::kCut) {
    mSuspects.NoteCut(server, aRunning.job.fingerprint, aNow);
  } else if (aResult == SendResult::kNotSent || aResult == SendResult::kMoved) {
    mSuspects.NoteGone(server, aNow);
  } else if (aResult == SendResult::kWhole) {
    mSuspects.NoteWhole(aRunning.job.fingerprint);
  }
}

void
Allocator::Adopt(const JobKey& aKey,
                 const Job& aJob,
                 const std::string& aZone,
                 const std::string& aServer,
                 bool aFirstSeen,
                 TimePoint aSent)
{
  auto& pool = ServiceOf(aJob.service).pool;
  auto* server = pool.Find(aServer);
  if (server == nullptr || pool.FindRunning(aKey) != nullptr) {
    return;
  }
  RunningJob running;
  running.key = aKey;
  running.job = aJob;
  running.zone = aZone;
  running.sent = aSent;
  running.firstSeen = aFirstSeen;
  pool.Start(*server, std::move(running));
}

Allocations
Allocator::Reconcile(std::uint64_t aVm,
                     const std::set<JobId>& aAlive,
                     TimePoint aBefore,
                     TimePoint aNow)
{
  Allocations out;
  for (auto& [name, service] : mServices) {
    bool ended = false;
    for (const auto& key : service.pool.RunningOf(aVm, aBefore)) {
      if (aAlive.count(key.job) == 0) {
        service.pool.End(key);
        ended = true;
      }
    }
    if (ended) {
      Pump(service, aNow, out);
    }
  }
  return out;
}

Allocations
Allocator::ForgetVm(std::uint64_t aVm, TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    service.backlog.ForgetVm(aVm);
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
  auto& service = ServiceOf(aJob.service);
  RunningJob running;
  running.server = service.pool.Find(aServer);
  if (running.server == nullptr) {
    return;
  }
  running.job = aJob;
  running.zone = aZone;
  running.prefillTokens = aJob.promptTokens;
  LearnFrom(service, running, aReport, aNow);
}

void
Allocator::LearnFrom(Service& aService,
                     const RunningJob& aRunning,
                     const SendReport& aReport,
                     TimePoint aNow)
{
  const auto& job = aRunning.job;
  aService.pool.Learn(aRunning, aReport, aNow);
  const bool whole = aReport.result == SendResult::kWhole;
  if (job.failed && (whole || aReport.result == SendResult::kFailed)) {
    aService.repeats.Note(job.kind, whole);
  }
  if (whole && job.stream && job.outputTokens > 0) {
    aService.backlog.NoteOutput(job.outputTokens, aReport.outputTokens);
  }
}

bool
Allocator::RepeatHelps(const Job& aJob)
{
  return ServiceOf(aJob.service).repeats.Helps(aJob.kind);
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
  for (auto& [name, service] : mServices) {
    if (!service.backlog.empty()) {
      Pump(service, aNow, out);
      Shed(service, aNow, out);
    }
  }
  return out;
}

/// Sends what fits, in order.
void
Allocator::Pump(Service& aService, TimePoint aNow, Allocations& aOut)
{
  if (aService.backlog.empty()) {
    return;
  }
  const bool loaded = aService.backlog.size() >= kLoadedLine;
  aService.pool.SetQueued(loaded ? kLoadedQueue : 0);
  Pass pass{ aService, std::nullopt, aNow, aOut };
  std::vector<JobKey> decided;
  std::set<std::string> full; // Zones whose requests find no free server.
  std::size_t looked = 0;
  int free = aService.pool.FreeSlots();
  for (const auto& [place, waiting] : aService.backlog.InOrder()) {
    if (free <= 0 || ++looked > kMostPerPass) {
      break;
    }
    if (full.count(waiting.zone) > 0) {
      continue;
    }
    const auto attempt = TrySend(pass, waiting);
    if (attempt == Attempt::kDecided) {
      decided.push_back(waiting.key);
      free -= 1;
    } else if (attempt == Attempt::kNoneFree && waiting.job.avoid.empty()) {
      full.insert(waiting.zone);
    }
  }
  aService.pool.SetQueued(0);
  for (const auto& key : decided) {
    aService.backlog.Leave(key, aNow);
  }
}

/// Refuses what has waited as long as its caller does.
void
Allocator::Shed(Service& aService, TimePoint aNow, Allocations& aOut)
{
  for (const auto& shed : aService.backlog.Shed(aNow)) {
    Reject(shed.job,
           RejectReason::kTooLate,
           Spread(shed.refusal.room),
           shed.refusal.why,
           aOut);
  }
}

/// Sends a request, or refuses one that no server may run.
Allocator::Attempt
Allocator::TrySend(Pass& aPass, const WaitingJob& aWaiting)
{
  auto& pool = aPass.service.pool;
  const auto best = pool.BestFree(aWaiting.job, aWaiting.zone, aPass.now);
  if (best.server == nullptr) {
    if (pool.AnyUsable(aWaiting.job, aWaiting.zone, aPass.now)) {
      return Attempt::kNoneFree;
    }
    Reject(aWaiting,
           RejectReason::kNoServer,
           Spread(kNoServerRetryAfter),
           "no server may take it",
           aPass.out);
    return Attempt::kDecided;
  }
  if (!best.inTime && WaitsInTime(aPass, aWaiting)) {
    return Attempt::kWaits;
  }
  Send(aPass.service, aWaiting, best, aPass.now, aPass.out);
  return Attempt::kDecided;
}

/// Returns whether a request that would be late at the free servers is in time
/// at one that frees soon, and claims that slot.
bool
Allocator::WaitsInTime(Pass& aPass, const WaitingJob& aWaiting)
{
  auto& pool = aPass.service.pool;
  if (!aPass.freeings) {
    aPass.freeings = pool.Freeings(aPass.now);
  }
  const auto& job = aWaiting.job;
  const Duration slack = job.arrival + job.target - aPass.now;
  std::size_t looked = 0;
  for (auto& freeing : *aPass.freeings) {
    if (freeing.time > slack || looked >= kMostFreeings) {
      break;
    }
    if (freeing.claimed) {
      continue;
    }
    looked += 1;
    const bool inTime =
      pool.MayUse(*freeing.server, job, aWaiting.zone, aPass.now) &&
      pool.ToFirstAfter(freeing, job, aWaiting.zone) <= slack;
    if (inTime) {
      freeing.claimed = true;
      return true;
    }
  }
  return false;
}

/// Sends a request beyond its team's quota if nobody else needs the servers,
/// else refuses it.
bool
Allocator::SendSurplus(Pass& aPass, const WaitingJob& aWaiting)
{
  auto& service = aPass.service;
  const auto best =
    service.pool.BestFree(aWaiting.job, aWaiting.zone, aPass.now);
  const bool spare =
    best.server != nullptr && best.inTime && service.backlog.empty() &&
    service.pool.FreeSlots() >= kSpareForSurplus * service.pool.Slots();
  if (spare) {
    Send(service, aWaiting, best, aPass.now, aPass.out);
  } else {
    Reject(aWaiting,
           RejectReason::kSurplus,
           Duration::zero(),
           "beyond the team's quota, and the servers are needed",
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
    aService.pool.NoteProbe(server, aWaiting.zone, aNow);
  }
  Allocation allocation;
  allocation.key = aWaiting.key;
  allocation.send = true;
  allocation.server = server.facts.id;
  allocation.probe = aForecast.probe;
  allocation.why = "first event in " + Millis(aForecast.toFirst) +
                   " ms, beside " + std::to_string(server.running.size()) +
                   (aForecast.probe ? ", probe" : "");
  aOut.push_back(std::move(allocation));
  aService.backlog.NoteSent(aWaiting);
  RunningJob running;
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
  allocation.retryAfter =
    std::clamp<Duration>(aRetryAfter, kLeastRetryAfter, kMostRetryAfter);
  allocation.why = std::move(aWhy);
  aOut.push_back(std::move(allocation));
}

/// Spreads a time, so that callers do not return together.
Duration
Allocator::Spread(Duration aTime)
{
  std::uniform_real_distribution<double> factor(kLeastSpread, kMostSpread);
  return FromSeconds(ToSeconds(aTime) * factor(mRandom));
}

} // namespace magnoliatide::policy
