// The bounded queue of one service.
#include "magnoliatide/policy/wait_queue.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Weight of a kind that has no guaranteed share.
constexpr double kUnsharedWeight = 0.05;

} // namespace

void
WaitQueue::Push(const Work& aWork, TimePoint aLatestStart)
{
  const double cost = CostOf(aWork.size);
  auto& tier = mTiers[aWork.tier];
  auto& kind = tier.kinds[aWork.kind];
  auto& team = kind.teams[aWork.team];
  kind.weight = std::max(aWork.kindShare, kUnsharedWeight);
  if (team.ids.empty()) {
    team.weight = aWork.teamWeight;
    kind.teamWeight += team.weight;
  }
  team.ids.push_back(aWork.id);
  team.cost += cost;
  kind.cost += cost;
  tier.count += 1;
  tier.cost += cost;
  kind.order.Activate(aWork.team);
  tier.order.Activate(aWork.kind);
  mLatestStarts.insert({ aLatestStart, aWork.id });
  mItems[aWork.id] = { aWork, cost, aLatestStart };
}

std::optional<Work>
WaitQueue::Pop(const std::function<Fit(const Work&)>& aFits)
{
  bool stop = false;
  for (auto& [number, tier] : mTiers) {
    if (tier.count == 0) {
      continue;
    }
    auto work = PopFromTier(tier, aFits, stop);
    if (work || stop) {
      return work;
    }
  }
  return std::nullopt;
}

std::optional<Work>
WaitQueue::PopFromTier(TierLine& aTier,
                       const std::function<Fit(const Work&)>& aFits,
                       bool& aStop)
{
  RequestId chosen = 0;
  aTier.order.Visit([&](const std::string& aKind) {
    const auto& kind = aTier.kinds.at(aKind);
    return kind.order.Visit([&](const std::string& aTeam) {
      const RequestId front = kind.teams.at(aTeam).ids.front();
      const Fit fit = aFits(mItems.at(front).work);
      chosen = fit == Fit::kStarts ? front : chosen;
      aStop = fit == Fit::kStop;
      return fit != Fit::kWaits;
    });
  });
  if (chosen == 0) {
    return std::nullopt;
  }
  return Take(chosen, true);
}

Work
WaitQueue::Take(RequestId aId, bool aCharge)
{
  const auto node = mItems.extract(aId);
  const Work& work = node.mapped().work;
  const double cost = node.mapped().cost;
  auto& tier = mTiers.at(work.tier);
  auto& kind = tier.kinds.at(work.kind);
  auto& team = kind.teams.at(work.team);
  if (aCharge) {
    kind.order.Charge(work.team, cost, team.weight);
    tier.order.Charge(work.kind, cost, kind.weight);
  }
  team.ids.erase(std::find(team.ids.begin(), team.ids.end(), aId));
  team.cost -= cost;
  kind.cost -= cost;
  tier.count -= 1;
  tier.cost = tier.count == 0 ? 0 : tier.cost - cost;
  mLatestStarts.erase({ node.mapped().latestStart, aId });
  if (team.ids.empty()) {
    kind.order.Deactivate(work.team);
    kind.teamWeight -= team.weight;
    kind.teams.erase(work.team);
  }
  if (kind.teams.empty()) {
    kind.cost = 0;
    kind.teamWeight = 0;
    tier.order.Deactivate(work.kind);
  }
  return work;
}

std::optional<Work>
WaitQueue::Remove(RequestId aId)
{
  if (mItems.count(aId) == 0) {
    return std::nullopt;
  }
  return Take(aId, false);
}

const Work*
WaitQueue::Victim(const Work& aArriving) const
{
  const int lowest = LowestTier();
  if (lowest < aArriving.tier) {
    return nullptr;
  }
  const auto& tier = mTiers.at(lowest);
  const TeamLine* worst = nullptr;
  double arrivingBacklog = 0;
  double worstBacklog = 0;
  std::map<std::string, double> backlogs;
  for (const auto& [kindName, kind] : tier.kinds) {
    for (const auto& [teamName, team] : kind.teams) {
      const double backlog = (backlogs[teamName] += team.cost / team.weight);
      if (worst == nullptr || backlog > worstBacklog) {
        worst = &team;
        worstBacklog = backlog;
      }
    }
  }
  const auto own = backlogs.find(aArriving.team);
  arrivingBacklog = own == backlogs.end() ? 0 : own->second;
  arrivingBacklog += CostOf(aArriving.size) / aArriving.teamWeight;
  if (worst == nullptr ||
      (lowest == aArriving.tier && worstBacklog <= arrivingBacklog)) {
    return nullptr;
  }
  return &mItems.at(worst->ids.back()).work;
}

std::vector<RequestId>
WaitQueue::Below(int aTier) const
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
WaitQueue::CostAhead(const Work& aWork) const
{
  double cost = 0;
  for (const auto& [number, tier] : mTiers) {
    if (number < aWork.tier) {
      cost += tier.cost;
    } else if (number == aWork.tier && tier.count > 0) {
      cost += CostAheadInTier(tier, aWork);
    }
  }
  return cost;
}

double
WaitQueue::CostAheadInTier(const TierLine& aTier, const Work& aWork)
{
  double weights = 0;
  for (const auto& [name, kind] : aTier.kinds) {
    weights += kind.teams.empty() ? 0 : kind.weight;
  }
  const auto kind = aTier.kinds.find(aWork.kind);
  const bool kindWaits =
    kind != aTier.kinds.end() && !kind->second.teams.empty();
  if (!kindWaits) {
    return 0; // Its kind is served next.
  }
  const auto& line = kind->second;
  const auto team = line.teams.find(aWork.team);
  const bool teamWaits = team != line.teams.end();
  const double own = teamWaits ? team->second.cost : 0;
  const double others = line.teamWeight - (teamWaits ? team->second.weight : 0);
  const double passing = own * others / aWork.teamWeight;
  const double inKind = std::min(line.cost, own + passing);
  return std::min(aTier.cost, inKind * weights / line.weight);
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
WaitQueue::LowestTier() const
{
  for (auto at = mTiers.rbegin(); at != mTiers.rend(); ++at) {
    if (at->second.count > 0) {
      return at->first;
    }
  }
  return -1;
}

} // namespace magnoliatide::policy
