// Connects the dispatch client and coordinator with timers and messages.
#include "dispatch_service.h"

#include "magnoliatide/fleet/ranking.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <tuple>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kBusyTickPeriod = Milliseconds(15);
constexpr Duration kIdleTickPeriod = Milliseconds(250);

/// A request whose assigned server this VM knows as leaving or full, or does
/// not know at all, is refused once this number of servers is excluded for it,
/// those of failed sends included.
constexpr std::size_t kMaxUnknownServers = 4;

std::string
ZoneOf(const std::string& aSlot)
{
  return aSlot.substr(0, aSlot.find('/'));
}

forward::RefusalKind
RefusalKindOf(wire::DispatchDecision aDecision)
{
  switch (aDecision) {
    case wire::DispatchDecision::kTooLate:
      return forward::RefusalKind::kOverloaded;
    case wire::DispatchDecision::kServersFull:
      return forward::RefusalKind::kOverloaded;
    case wire::DispatchDecision::kOverQuota:
      return forward::RefusalKind::kOverQuota;
    case wire::DispatchDecision::kHarmful:
      return forward::RefusalKind::kHarmful;
    default:
      return forward::RefusalKind::kNoServer;
  }
}

} // namespace

DispatchService::DispatchService(DispatchServiceParams aParams)
  : mParams(std::move(aParams))
  , mCoordinator(mParams.coordinator)
  , mClient(mParams.client, mCoordinator, Clock::now())
  , mShares(mParams.client.self)
  , mTimer(*mParams.loop)
{
  ArmTimer();
}

void
DispatchService::SetTable(const routing::TablePointer& aTable)
{
  mCoordinator.SetTable(aTable, Clock::now());
}

void
DispatchService::ServersChanged()
{
  mCoordinator.SetServers(*mParams.roster(), Clock::now());
  ScheduleFlush();
}

void
DispatchService::SetMembers(const std::vector<wire::MemberRecord>& aLive,
                            std::size_t aExpected)
{
  auto ranked = aLive;
  std::sort(ranked.begin(), ranked.end(), fleet::RanksBefore);
  std::vector<fleet::CoordinatorCandidate> candidates;
  for (const auto& record : ranked) {
    candidates.push_back(
      { record.process, ZoneOf(record.slot), record.address });
  }
  mShares.SetMembers(aLive, aExpected, Clock::now());
  mClient.SetCandidates(std::move(candidates), Clock::now());
  UpdateShares();
  ScheduleFlush();
}

void
DispatchService::UpdateShares()
{
  const auto now = Clock::now();
  mShares.SetServers(mParams.roster()->size());
  mCoordinator.SetShares(
    mShares.SlotShare(now), mShares.LimitShare(now), mShares.RetryShare(now));
  mCoordinator.SetColdPermitted(mShares.DecidesForMost(now), now);
}

/// Logs which servers became cold or warm, on the VM that may use them, and
/// updates the metrics.
void
DispatchService::ReportWarmups(TimePoint aNow)
{
  std::map<std::string, std::string> cold;
  for (const auto& warmup : mCoordinator.Allocator().Warmups(aNow)) {
    const std::vector<telemetry::Label> labels{ { "service", warmup.service } };
    mParams.metrics->Set("cold_servers", labels, warmup.servers.size());
    auto& counted = mColdSkips[warmup.service];
    mParams.metrics->Count(
      "cold_server_skips_total", labels, warmup.skips - counted);
    counted = warmup.skips;
    for (const auto& server : warmup.servers) {
      cold[server.id] = warmup.service;
      if (mShares.DecidesForMost(aNow) && mColdServers.count(server.id) == 0) {
        telemetry::LogInfo("server-cold",
                           { { "server", server.id },
                             { "service", warmup.service },
                             { "per_second", std::to_string(server.perSecond) },
                             { "for_ms", server.timeLeft } });
      }
    }
  }
  for (const auto& [id, service] : mColdServers) {
    if (cold.count(id) == 0) {
      telemetry::LogInfo("server-warm",
                         { { "server", id }, { "service", service } });
    }
  }
  mColdServers = mShares.DecidesForMost(aNow)
                   ? std::move(cold)
                   : std::map<std::string, std::string>();
}

void
DispatchService::RemoveVm(std::uint64_t aProcess)
{
  mCoordinator.RemoveVm(aProcess, Clock::now());
  ScheduleFlush();
}

void
DispatchService::Restart()
{
  mCoordinator.DropWaiting();
  mClient.Restart(Clock::now());
  ScheduleFlush();
}

void
DispatchService::Handle(const wire::Header& aHeader,
                        const wire::DatagramBody& aBody)
{
  const auto now = Clock::now();
  const auto vm = aHeader.sender.process;
  if (const auto* request = std::get_if<wire::DispatchRequest>(&aBody)) {
    mShares.RecordRequest(vm, now);
    UpdateShares();
    mCoordinator.Submit(vm, ZoneOf(aHeader.sender.slot), *request, now);
  } else if (const auto* reply = std::get_if<wire::DispatchReply>(&aBody)) {
    mClient.Receive(vm, *reply, now);
  } else if (const auto* cancel = std::get_if<wire::DispatchCancel>(&aBody)) {
    mCoordinator.Withdraw(vm, *cancel);
  } else if (const auto* progress =
               std::get_if<wire::DispatchProgress>(&aBody)) {
    mCoordinator.Progress(vm, *progress, now);
  } else if (const auto* report = std::get_if<wire::DispatchReport>(&aBody)) {
    mCoordinator.Report(vm, ZoneOf(aHeader.sender.slot), *report, now);
  } else {
    return;
  }
  ScheduleFlush();
}

void
DispatchService::Submit(const policy::Job& aJob, OnDecision aOnDecision)
{
  SubmitToClient(aJob, std::move(aOnDecision));
  ScheduleFlush();
}

void
DispatchService::SubmitToClient(const policy::Job& aJob, OnDecision aOnDecision)
{
  mClient.Submit(
    aJob,
    [this, job = aJob, onDecision = std::move(aOnDecision)](
      const wire::DispatchReply& aReply, const std::string& aDecidedBy) {
      HandleReply(job, onDecision, aReply, aDecidedBy);
    },
    Clock::now());
}

void
DispatchService::HandleReply(policy::Job aJob,
                             const OnDecision& aOnDecision,
                             const wire::DispatchReply& aReply,
                             const std::string& aDecidedBy)
{
  forward::Decision decision;
  decision.why = aReply.why;
  decision.by = aDecidedBy;
  if (aReply.decision != wire::DispatchDecision::kSend) {
    decision.refusal.kind = RefusalKindOf(aReply.decision);
    decision.refusal.message = aReply.why;
    decision.refusal.retryAfter = Milliseconds(aReply.retryAfterMillis);
    aOnDecision(std::move(decision));
    return;
  }
  const auto roster = mParams.roster();
  const auto server = roster->find(aReply.server);
  if (server != roster->end() && server->second.AcceptsRequests() &&
      MayUse(server->second)) {
    decision.send = true;
    decision.probe = aReply.probe;
    decision.server = server->second;
    aOnDecision(std::move(decision));
    return;
  }
  // The coordinator did not know yet what this VM knows of the server.
  policy::SendReport report;
  report.result = policy::SendResult::kNotRun;
  mClient.Finish(aJob.id, report, Clock::now());
  aJob.excludedServers.push_back(aReply.server);
  aJob.quotaUnits = 0;
  if (aJob.excludedServers.size() < kMaxUnknownServers) {
    SubmitToClient(aJob, aOnDecision);
    return;
  }
  decision.refusal.message =
    "the chosen servers are unknown to this VM, leaving or full";
  decision.refusal.retryAfter = Milliseconds(500);
  aOnDecision(std::move(decision));
}

void
DispatchService::Withdraw(policy::JobId aId)
{
  mClient.Withdraw(aId, Clock::now());
  ScheduleFlush();
}

void
DispatchService::RecordFirstEvent(policy::JobId aId)
{
  mClient.RecordFirstEvent(aId, Clock::now());
  ScheduleFlush();
}

void
DispatchService::RecordRateLimit(policy::JobId aId,
                                 std::optional<double> aPerSecond)
{
  const auto change = mClient.RecordRateLimit(aId, aPerSecond, Clock::now());
  if (change) {
    const auto limit =
      change->perSecond ? std::to_string(*change->perSecond) : "none";
    telemetry::LogInfo(
      "server-limit",
      { { "server", change->server }, { "per_second", limit } });
    ScheduleFlush();
  }
}

void
DispatchService::RecordBackoff(policy::JobId aId, Duration aTime)
{
  const auto notice = mClient.RecordBackoff(aId, aTime, Clock::now());
  if (notice) {
    mParams.metrics->Count("server_backoffs_total",
                           { { "server", notice->server } });
    telemetry::LogInfo("server-backoff",
                       { { "server", notice->server }, { "for_ms", aTime } });
  }
}

bool
DispatchService::MayUse(const routing::Server& aServer) const
{
  return mClient.MayUse(aServer.id, aServer.started, Clock::now());
}

void
DispatchService::RecordSilence(policy::JobId aId)
{
  mClient.RecordSilence(aId);
  ScheduleFlush();
}

void
DispatchService::RecordSilenceEnd(policy::JobId aId)
{
  mClient.RecordSilenceEnd(aId);
  ScheduleFlush();
}

void
DispatchService::Finish(policy::JobId aId, const policy::SendReport& aReport)
{
  mClient.Finish(aId, aReport, Clock::now());
  ScheduleFlush();
}

/// Posts a flush to the event loop, so that no callback runs within the call
/// that causes it.
void
DispatchService::ScheduleFlush()
{
  if (mFlushPosted) {
    return;
  }
  mFlushPosted = true;
  asio::post(*mParams.loop, [this] {
    mFlushPosted = false;
    Flush();
  });
}

void
DispatchService::Flush()
{
  for (const auto& message : mClient.TakeMessages(Clock::now())) {
    std::visit(
      [&](const auto& aBody) { mParams.link->Send(message.address, aBody); },
      message.body);
  }
  auto& suspects = mCoordinator.Suspects();
  const auto crashes = suspects.TakeCrashes();
  const auto cleared = suspects.TakeClearances();
  if (!crashes.empty() || !cleared.empty()) {
    mParams.onSuspects(crashes, cleared);
  }
  const bool busy = mClient.Busy() || mCoordinator.Busy();
  if (busy && !mTimerFast) {
    ArmTimer();
  }
}

void
DispatchService::ArmTimer()
{
  mTimerFast = mClient.Busy() || mCoordinator.Busy();
  mTimer.expires_after(mTimerFast ? kBusyTickPeriod : kIdleTickPeriod);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const auto now = Clock::now();
    UpdateShares();
    mClient.Tick(now);
    mCoordinator.Tick(now);
    if (now >= mNextWarmupReport) {
      mNextWarmupReport = now + kIdleTickPeriod;
      ReportWarmups(now);
    }
    Flush();
    ArmTimer();
  });
}

} // namespace magnoliatide::node
