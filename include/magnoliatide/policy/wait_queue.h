// The bounded queue of one service: tiers in strict order, inside a tier the
// kinds by guaranteed share, inside a kind the teams by weight.
#ifndef MAGNOLIATIDE_POLICY_WAIT_QUEUE_H
#define MAGNOLIATIDE_POLICY_WAIT_QUEUE_H

#include "magnoliatide/policy/fair_queue.h"
#include "magnoliatide/policy/work.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace magnoliatide::policy {

/// What a test says of a waiting request.
enum class Fit
{
  kStarts, ///< It starts now.
  kWaits,  ///< It cannot start now; others may.
  kStop,   ///< Nothing can start now.
};

class WaitQueue
{
public:
  /// Adds a request behind its team's others of the same kind.
  ///
  /// @param aLatestStart The time from which it is too late to start it.
  void Push(const Work& aWork, TimePoint aLatestStart);

  /// Takes the first request, in service order, that the test accepts. Each
  /// team offers its oldest request only.
  ///
  /// @param aFits Returns whether a request can start now.
  std::optional<Work> Pop(const std::function<Fit(const Work&)>& aFits);

  /// Removes a request. Returns it, or nothing if it does not wait here.
  std::optional<Work> Remove(RequestId aId);

  /// Returns the request to evict for one of the given tier: the newest of
  /// the most backlogged team in the lowest tier that holds any, provided
  /// that it is of a lower tier, or of the same tier and a team with a larger
  /// backlog for its weight. Nothing if there is no such request.
  const Work* Victim(const Work& aArriving) const;

  /// Returns the requests of tiers lower than the given one.
  std::vector<RequestId> Below(int aTier) const;

  /// Returns the requests that it is too late to start.
  std::vector<RequestId> Expired(TimePoint aNow) const;

  std::size_t size() const { return mItems.size(); }

  /// Returns the number of waiting requests of a tier.
  std::size_t CountOf(int aTier) const;

  /// Returns the cost that will be served before a request that arrives now:
  /// the tiers above, and in its tier what fair shares let pass before it.
  double CostAhead(const Work& aWork) const;

  /// Returns whether anything waits in a tier or the tiers above it.
  bool AnyAhead(int aTier) const;

  /// Returns the highest number of a tier that holds a request, or -1.
  int LowestTier() const;

private:
  struct TeamLine
  {
    std::deque<RequestId> ids;
    double cost = 0;
    double weight = 1;
  };

  struct KindLine
  {
    FairOrder order;
    std::map<std::string, TeamLine> teams;
    double weight = 1;
    double cost = 0;       ///< Sum over the teams.
    double teamWeight = 0; ///< Sum over the teams.
  };

  struct TierLine
  {
    FairOrder order;
    std::map<std::string, KindLine> kinds;
    std::size_t count = 0;
    double cost = 0;
  };

  struct Item
  {
    Work work;
    double cost = 0;
    TimePoint latestStart;
  };

  std::optional<Work> PopFromTier(TierLine& aTier,
                                  const std::function<Fit(const Work&)>& aFits,
                                  bool& aStop);
  static double CostAheadInTier(const TierLine& aTier, const Work& aWork);
  Work Take(RequestId aId, bool aCharge);

  /// Holds every waiting request; the lines hold the same ids.
  std::unordered_map<RequestId, Item> mItems;
  std::map<int, TierLine> mTiers;
  /// Holds every waiting request by its latest start.
  std::set<std::pair<TimePoint, RequestId>> mLatestStarts;
};

} // namespace magnoliatide::policy

#endif
