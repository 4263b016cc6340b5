// The request queue of one service: strict priority between tiers, weighted
// fair queueing between the kinds of a tier (by guaranteed share) and between
// the teams of a kind (by weight). The caller limits its size. Used by the
// Scheduler; DispatchQueue is the counterpart for the Allocator.
#ifndef MAGNOLIATIDE_POLICY_WAIT_QUEUE_H
#define MAGNOLIATIDE_POLICY_WAIT_QUEUE_H

#include "magnoliatide/policy/fair_queue.h"
#include "magnoliatide/policy/scheduler_types.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace magnoliatide::policy {

/// Result of trying to start a queued request.
enum class StartResult
{
  kStarted,      ///< The request was started.
  kBlocked,      ///< It cannot start now, but other requests may.
  kNoneCanStart, ///< No request can start now.
};

/// The queued requests of one service.
class WaitQueue
{
public:
  /// Adds a request behind those of the same team and kind.
  ///
  /// @param aLatestStart When the request expires: from then on, it cannot meet
  ///     its deadline.
  void Push(const SchedulerRequest& aRequest, TimePoint aLatestStart);

  /// Tries to start requests in service order and removes the first one that
  /// was started. Only the oldest request of each team and kind is tried;
  /// kNoneCanStart ends the search.
  std::optional<SchedulerRequest> Pop(
    const std::function<StartResult(const SchedulerRequest&)>& aTryStart);

  /// Removes a request. Returns it, or nothing if it is not queued.
  std::optional<SchedulerRequest> Remove(RequestId aId);

  /// Returns the request to evict in favor of an arriving one, or null. It is
  /// the newest request of the team with the largest backlog relative to its
  /// weight in the least urgent nonempty tier. If that is the tier of the
  /// arriving request, the backlog must exceed that of the arriving request's
  /// team, including the arriving request. Null if that tier is more urgent.
  const SchedulerRequest* EvictionCandidate(
    const SchedulerRequest& aArriving) const;

  /// Returns the requests of tiers that are less urgent than the given one.
  std::vector<RequestId> RequestsBelow(int aTier) const;

  /// Returns the requests whose latest start has passed.
  std::vector<RequestId> Expired(TimePoint aNow) const;

  /// Returns the number of queued requests of all tiers.
  std::size_t size() const { return mItems.size(); }

  /// Returns the number of queued requests of a tier.
  std::size_t CountOf(int aTier) const;

  /// Estimates the cost that is served before a request that arrives now: that
  /// of all more urgent tiers, and what fair queueing serves first in its tier.
  double CostAhead(const SchedulerRequest& aRequest) const;

  /// Returns whether a request is queued in a tier or a more urgent one.
  bool AnyAhead(int aTier) const;

  /// Returns the number of the least urgent nonempty tier, or -1.
  int LeastUrgentTier() const;

private:
  struct TeamQueue
  {
    std::deque<RequestId> ids;
    double cost = 0;
    double weight = 1;
  };

  struct KindQueue
  {
    FairOrder order;
    std::map<std::string, TeamQueue> teams;
    double weight = 1;
    double cost = 0;       ///< Sum over all teams.
    double teamWeight = 0; ///< Sum over all teams.
  };

  struct TierQueue
  {
    FairOrder order;
    std::map<std::string, KindQueue> kinds;
    std::size_t count = 0;
    double cost = 0;
  };

  struct Item
  {
    SchedulerRequest request;
    double cost = 0;
    TimePoint latestStart;
  };

  std::optional<SchedulerRequest> PopFromTier(
    TierQueue& aTier,
    const std::function<StartResult(const SchedulerRequest&)>& aTryStart,
    bool& aStop);
  static double CostAheadInTier(const TierQueue& aTier,
                                const SchedulerRequest& aRequest);
  SchedulerRequest Extract(RequestId aId, bool aCharge);

  /// All queued requests; the team queues hold the same ids.
  std::unordered_map<RequestId, Item> mItems;
  std::map<int, TierQueue> mTiers;
  /// All queued requests by latest start.
  std::set<std::pair<TimePoint, RequestId>> mLatestStarts;
};

} // namespace magnoliatide::policy

#endif
