// Priority and fair queueing of the requests of one service.
#include "magnoliatide/policy/wait_queue.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Weight of a kind without a guaranteed share.
constexpr double kDefaultKindWeight = 0.05;

} // namespace

void
WaitQueue::Push(const SchedulerRequest& aRequest, TimePoint aLatestStart)
{
  const double cost = CostOf(aRequest.size);
  auto& tier = mTiers[aRequest.tier];
  auto& kind = tier.kinds[aRequest.kind];
  auto& team = kind.teams[aRequest.team];
  kind.weight = std::max(aRequest.kindShare, kDefaultKindWeight);
  if (team.ids.empty()) {
    team.weight = aRequest.teamWeight;
    kind.teamWeight += team.weight;
  }
  team.ids.push_back(aRequest.id);
  team.cost += cost;
  kind.cost += cost;
  tier.count += 1;
  tier.cost += cost;
  kind.order.Activate(aRequest.team);
  tier.order.Activate(aRequest.kind);
  mLatestStarts.insert({ aLatestStart, aRequest.id });
  mItems[aRequest.id] = { aRequest, cost, aLatestStart };
}

std::optional<SchedulerRequest>
WaitQueue::Pop(
  const std::function<StartResult(const SchedulerRequest&)>& aTryStart)
{
  bool stop = false;
  for (auto& [number, tier] : mTiers) {
    if (tier.count == 0) {
      continue;
    }
    auto request = PopFromTier(tier, aTryStart, stop);
    if (request || stop) {
      return request;
    }
  }
  return std::nullopt;
}

std::optional<SchedulerRequest>
WaitQueue::PopFromTier(
  TierQueue& aTier,
  const std::function<StartResult(const SchedulerRequest&)>& aTryStart,
  bool& aStop)
{
  RequestId chosen = 0;
  aTier.order.Visit([&](const std::string& aKind) {
    const auto& kind = aTier.kinds.at(aKind);
    return kind.order.Visit([&](const std::string& aTeam) {
      const RequestId front = kind.teams.at(aTeam).ids.front();
      const StartResult result = aTryStart(mItems.at(front).request);
      chosen = result == StartResult::kStarted ? front : chosen;
      aStop = result == StartResult::kNoneCanStart;
      return result != StartResult::kBlocked;
    });
  });
  if (chosen == 0) {
    return std::nullopt;
  }
  return Extract(chosen, true);
}

SchedulerRequest
WaitQueue::Extract(RequestId aId, bool aCharge)
{
  const auto node = mItems.extract(aId);
  const SchedulerRequest& request = node.mapped().request;
  const double cost = node.mapped().cost;
  auto& tier = mTiers.at(request.tier);
  auto& kind = tier.kinds.at(request.kind);
  auto& team = kind.teams.at(request.team);
  if (aCharge) {
    kind.order.Charge(request.team, cost, team.weight);
    tier.order.Charge(request.kind, cost, kind.weight);
  }
  team.ids.erase(std::find(team.ids.begin(), team.ids.end(), aId));
  team.cost -= cost;
  kind.cost -= cost;
  tier.count -= 1;
  tier.cost = tier.count == 0 ? 0 : tier.cost - cost;
  mLatestStarts.erase({ node.mapped().latestStart, aId });
  if (team.ids.empty()) {
    kind.order.Deactivate(request.team);
    kind.teamWeight -= team.weight;
    kind.teams.erase(request.team);
  }
  if (kind.teams.empty()) {
    kind.cost = 0;
    kind.teamWeight = 0;
    tier.order.Deactivate(request.kind);
  }
  return request;
}

std::optional<SchedulerRequest>
WaitQueue::Remove(RequestId aId)
{
  if (mItems.count(aId) == 0) {
    return std::nullopt;
  }
  return Extract(aId, false);
}

const SchedulerRequest*
WaitQueue::EvictionCandidate(const SchedulerRequest& aArriving) const
{
  const int leastUrgentTier = LeastUrgentTier();
  if (leastUrgentTier < aArriving.tier) {
    return nullptr;
  }
  const auto& tier = mTiers.at(leastUrgentTier);
  const TeamQueue* largest = nullptr;
  double arrivingBacklog = 0;
  double largestBacklog = 0;
  std::map<std::string, double> backlogs;
  for (const auto& [kindName, kind] : tier.kinds) {
    for (const auto& [teamName, team] : kind.teams) {
      const double backlog = (backlogs[teamName] += team.cost / team.weight);
      if (largest == nullptr || backlog > largestBacklog) {
        largest = &team;
        largestBacklog = backlog;
      }
    }
  }
  const auto own = backlogs.find(aArriving.team);
  arrivingBacklog = own == backlogs.end() ? 0 : own->second;
  arrivingBacklog += CostOf(aArriving.size) / aArriving.teamWeight;
  if (largest == nullptr || (leastUrgentTier == aArriving.tier &&
                             largestBacklog <= arrivingBacklog)) {
    return nullptr;
  }
  return &mItems.at(largest->ids.back()).request;
}

std::vector<RequestId>
WaitQueue::RequestsBelow(int aTier) const
{
  std::vector<RequestId> ids;
  for (auto at = mTiers.upper_bound(aTier); at != mTiers.end(); ++at) {
    for (const auto& [kindName, kind] : at->second.kinds) {
      for (const auto& [teamName, team] : kind.teams) {
        ids.insert(ids.end(), team.ids.begin(), team.ids.end());
      }
    }
  }
  return ids;
}

std::vector<RequestId>
WaitQueue::Expired(TimePoint aNow) const
{
  std::vector<RequestId> ids;
  for (const auto& [latest, id] : mLatestStarts) {
    if (latest > aNow) {
      break;
    }
    ids.push_back(id);
  }
  return ids;
}

std::size_t
WaitQueue::CountOf(int aTier) const
{
  const auto found = mTiers.find(aTier);
  return found == mTiers.end() ? 0 : found->second.count;
}

double
WaitQueue::CostAhead(const SchedulerRequest& aRequest) const
{
  double cost = 0;
  for (const auto& [number, tier] : mTiers) {
    if (number < aRequest.tier) {
      cost += tier.cost;
    } else if (number == aRequest.tier && tier.count > 0) {
      cost += CostAheadInTier(tier, aRequest);
    }
  }
  return cost;
}

double
WaitQueue::CostAheadInTier(const TierQueue& aTier,
                           const SchedulerRequest& aRequest)
{
  double weights = 0;
  for (const auto& [name, kind] : aTier.kinds) {
    weights += kind.teams.empty() ? 0 : kind.weight;
  }
  const auto kind = aTier.kinds.find(aRequest.kind);
  const bool kindWaits =
    kind != aTier.kinds.end() && !kind->second.teams.empty();
  if (!kindWaits) {
    return 0; // A kind that was idle is served next.
  }
  const auto& queue = kind->second;
  const auto team = queue.teams.find(aRequest.team);
  const bool teamWaits = team != queue.teams.end();
  const double ownCost = teamWaits ? team->second.cost : 0;
  const double otherWeight =
    queue.teamWeight - (teamWaits ? team->second.weight : 0);
  // Cost of other teams that is served while the team's own queue is.
  const double overtaking = ownCost * otherWeight / aRequest.teamWeight;
  const double inKind = std::min(queue.cost, ownCost + overtaking);
  return std::min(aTier.cost, inKind * weights / queue.weight);
}

bool
WaitQueue::AnyAhead(int aTier) const
{
  for (const auto& [number, tier] : mTiers) {
    if (number <= aTier && tier.count > 0) {
      return true;
    }
  }
  return false;
}

int
WaitQueue::LeastUrgentTier() const
{
  for (auto at = mTiers.rbegin(); at != mTiers.rend(); ++at) {
    if (at->second.count > 0) {
      return at->first;
    }
  }
  return -1;
}

} // namespace magnoliatide::policy
