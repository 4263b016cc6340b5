// Chooses the server with the fewest of this VM's requests in progress.
#include "local_dispatcher.h"

#include <algorithm>
#include <limits>

namespace magnoliatide::node {

namespace {

constexpr Duration kNoServerRetryAfter = Milliseconds(500);

bool
IsExcluded(const policy::Job& aJob, const std::string& aId)
{
  if (!aJob.onlyServer.empty() && aId != aJob.onlyServer) {
    return true;
  }
  return std::find(aJob.excludedServers.begin(),
                   aJob.excludedServers.end(),
                   aId) != aJob.excludedServers.end();
}

} // namespace

LocalDispatcher::LocalDispatcher(RosterSource aRoster)
  : mRoster(std::move(aRoster))
{
}

void
LocalDispatcher::Submit(const policy::Job& aJob, OnDecision aOnDecision)
{
  const auto roster = mRoster();
  std::vector<const routing::Server*> best;
  int fewest = std::numeric_limits<int>::max();
  for (const auto& [id, server] : *roster) {
    const bool canServe = server.service == aJob.service &&
                          server.AcceptsRequests() && !IsExcluded(aJob, id);
    if (!canServe) {
      continue;
    }
    const auto found = mInProgress.find(id);
    const int own = found == mInProgress.end() ? 0 : found->second;
    if (own < fewest) {
      fewest = own;
      best.clear();
    }
    if (own == fewest) {
      best.push_back(&server);
    }
  }
  forward::Decision decision;
  if (best.empty()) {
    decision.refusal.kind = forward::RefusalKind::kNoServer;
    decision.refusal.message =
      "no backend server of the service can accept the request";
    decision.refusal.retryAfter = kNoServerRetryAfter;
    aOnDecision(std::move(decision));
    return;
  }
  decision.send = true;
  decision.server = *best[mTieCounter++ % best.size()];
  decision.why =
    "fewest requests in progress from this VM: " + std::to_string(fewest);
  mInProgress[decision.server.id] += 1;
  mServerByJob[aJob.id] = decision.server.id;
  aOnDecision(std::move(decision));
}

void
LocalDispatcher::Withdraw(policy::JobId)
{
}

void
LocalDispatcher::RecordFirstEvent(policy::JobId)
{
}

void
LocalDispatcher::RecordRateLimit(policy::JobId, std::optional<double>)
{
}

void
LocalDispatcher::RecordBackoff(policy::JobId, Duration)
{
}

bool
LocalDispatcher::MayUse(const routing::Server&) const
{
  return true;
}

void
LocalDispatcher::RecordSilence(policy::JobId)
{
}

void
LocalDispatcher::RecordSilenceEnd(policy::JobId)
{
}

void
LocalDispatcher::Finish(policy::JobId aId, const policy::SendReport&)
{
  const auto sent = mServerByJob.find(aId);
  if (sent == mServerByJob.end()) {
    return;
  }
  const auto server = mInProgress.find(sent->second);
  if (server != mInProgress.end() && --server->second <= 0) {
    mInProgress.erase(server);
  }
  mServerByJob.erase(sent);
}

} // namespace magnoliatide::node
