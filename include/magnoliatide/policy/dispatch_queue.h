// Priority queue of the requests of one service that wait for a server. They
// are ordered by quota (within quota before over quota), tier, rank, and fair
// share among teams. Used by the Allocator; WaitQueue is the counterpart for
// the Scheduler.
#ifndef MAGNOLIATIDE_POLICY_DISPATCH_QUEUE_H
#define MAGNOLIATIDE_POLICY_DISPATCH_QUEUE_H

#include "magnoliatide/policy/server_pool.h"

#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace magnoliatide::policy {

/// Priority among the requests of a tier, the highest first.
enum class WaitRank
{
  /// Reached a server before; its caller may have part of a response.
  kRedispatched,
  /// Its response can still begin in time.
  kInTime,
  /// Late already or refused before. Serving it first would make others late.
  kLate,
};

/// A request with the values that determine its position in the queue.
struct WaitingJob
{
  JobKey key;
  Job job;
  std::string zone;           ///< Zone of the VM that accepted it.
  double work = 0;            ///< See ServerPool::WorkOf.
  double startTag = 0;        ///< Virtual start time, see TeamVirtualTime.
  double cost = 0;            ///< Charged to its team, in prompt tokens.
  std::uint64_t sequence = 0; ///< Orders requests with equal start tags.
  TimePoint queuedAt;         ///< Zero if it was never queued.
  Duration expectedWait{};    ///< Estimated at queuedAt.
  WaitRank rank = WaitRank::kInTime;
  bool refusedBefore = false; ///< See RecentRefusals.
  TimePoint latestStart;      ///< If sent later, its response begins late.
  TimePoint giveUpAt;         ///< When its caller is expected to give up.
};

/// Total of a set of queued requests.
struct QueuedWork
{
  double work = 0; ///< Sum of WaitingJob::work.
  std::size_t requests = 0;
};

/// Holds the waiting requests in order of service.
class DispatchQueue
{
public:
  /// Whether over quota, tier, rank, start tag, sequence.
  using QueueKey = std::tuple<bool, int, WaitRank, double, std::uint64_t>;
  using Jobs = std::map<QueueKey, WaitingJob>;

  void Add(WaitingJob aJob);

  /// Removes a request. Returns whether it was queued.
  bool Remove(const JobKey& aKey);

  /// Removes and returns the requests of a VM.
  std::vector<WaitingJob> RemoveOfVm(std::uint64_t aVm);

  /// Returns the total of the requests ahead of a queued request, or of those
  /// that would be ahead of it if it were queued.
  QueuedWork Ahead(const WaitingJob& aJob) const;

  /// Returns the requests in order of service.
  const Jobs& InOrder() const { return mJobs; }

  /// Returns a waiting request, or null.
  const WaitingJob* Find(const JobKey& aKey) const;

  bool empty() const { return mJobs.empty(); }
  std::size_t size() const { return mJobs.size(); }
  void Clear();

private:
  /// Whether over quota, tier, rank.
  using GroupKey = std::tuple<bool, int, WaitRank>;

  static QueueKey QueueKeyOf(const WaitingJob& aJob);
  static GroupKey GroupKeyOf(const WaitingJob& aJob);

  void Erase(Jobs::iterator aPosition);

  Jobs mJobs;
  std::map<JobKey, Jobs::iterator> mByJob; ///< Index of mJobs.
  std::map<GroupKey, QueuedWork> mGroups;  ///< Totals of mJobs.
};

/// Moving average of the work that arrives per second, by tier.
class ArrivalRate
{
public:
  void Record(int aTier, double aWork, TimePoint aNow);

  /// Returns the work per second of all tiers more urgent than a tier.
  ///
  /// @param aIncludeOwn Whether to include the tier itself.
  double RateAbove(int aTier, bool aIncludeOwn, TimePoint aNow) const;

private:
  struct Tier
  {
    double rate = 0; ///< At the time of the last arrival.
    TimePoint at{};
  };

  std::map<int, Tier> mTiers;
};

} // namespace magnoliatide::policy

#endif
