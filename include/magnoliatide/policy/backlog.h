// Queueing and load shedding for the requests of one service. Here, to refuse a
// request means to reject it because of overload (RejectReason::kTooLate).
//
// Within a tier, requests that were dispatched before are served first, then
// those that can still meet their target, then those that are late or were
// refused before. A request that is not expected to be sent in time is queued
// as late if its caller waits that long. Otherwise it is refused at once, with
// the time after which a retry is expected to succeed.
#ifndef MAGNOLIATIDE_POLICY_BACKLOG_H
#define MAGNOLIATIDE_POLICY_BACKLOG_H

#include "magnoliatide/policy/dispatch_queue.h"
#include "magnoliatide/policy/recent_refusals.h"
#include "magnoliatide/policy/server_pool.h"
#include "magnoliatide/policy/team_virtual_time.h"
#include "magnoliatide/policy/wait_bias.h"

#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::policy {

/// Refusal of a request because the service is overloaded.
struct OverloadRefusal
{
  Duration retryDelay{}; ///< Time until a retry is expected to succeed.
  std::string why;       ///< Expected wait and queue length, for the log.
};

/// A queued request that is refused.
struct ShedJob
{
  WaitingJob job;
  OverloadRefusal refusal;
};

/// Decides which requests wait, in which order, and which are refused.
class Backlog
{
public:
  /// @param aPool The servers. Must outlive the backlog.
  explicit Backlog(ServerPool& aPool)
    : mPool(aPool)
  {
  }

  Backlog(const Backlog&) = delete;
  Backlog& operator=(const Backlog&) = delete;

  /// Creates the queue entry of a request, without adding it to the queue.
  WaitingJob Prepare(const JobKey& aKey,
                     const Job& aJob,
                     const std::string& aZone,
                     TimePoint aNow);

  /// Adds a request to the queue, or returns why it is refused.
  std::optional<OverloadRefusal> TryEnqueue(WaitingJob aWaiting,
                                            TimePoint aNow);

  /// Advances the virtual time for a request that is sent. Charges its team,
  /// unless the team was charged when the request was queued.
  void RecordSent(const WaitingJob& aWaiting);

  /// Removes a queued request that was sent, or that was rejected because no
  /// server is usable.
  void RemoveDecided(const JobKey& aKey, TimePoint aNow);

  /// Removes a request without serving it. Returns whether it was queued.
  bool Withdraw(const JobKey& aKey);

  /// Removes all queued requests of a VM.
  void RemoveVm(std::uint64_t aVm);

  void Clear() { mQueue.Clear(); }

  /// Moves requests that can no longer meet their target behind those that can.
  /// Removes and returns those whose callers are not expected to wait long
  /// enough.
  std::vector<ShedJob> Shed(TimePoint aNow);

  /// Updates the ratio of actual to expected output tokens.
  void RecordOutput(double aExpected, double aTokens);

  const DispatchQueue::Jobs& InOrder() const { return mQueue.InOrder(); }
  bool empty() const { return mQueue.empty(); }
  std::size_t size() const { return mQueue.size(); }

private:
  bool AssignRank(WaitingJob& aWaiting,
                  WaitRank aRank,
                  TimePoint aDeadline,
                  TimePoint aNow);
  std::optional<OverloadRefusal> Demote(WaitingJob aWaiting, TimePoint aNow);
  OverloadRefusal Refuse(const WaitingJob& aWaiting,
                         const std::string& aReason,
                         TimePoint aNow);
  Duration EstimateWait(const WaitingJob& aWaiting, TimePoint aNow);
  Duration EstimateRetryAfter(const WaitingJob& aWaiting, TimePoint aNow);
  double AvailableCapacity(const WaitingJob& aWaiting,
                           bool aIncludeOwn,
                           TimePoint aNow);

  ServerPool& mPool;
  DispatchQueue mQueue;
  /// Charged only for queued and sent requests.
  TeamVirtualTime mTeamVirtualTime;
  RecentRefusals mRefusals;
  ArrivalRate mArrivals; ///< Only of requests that can be in time.
  WaitBias mBias;
  double mOutputRatio = 1; ///< Actual to expected output tokens.
  std::uint64_t mLastSequence = 0;
};

/// Returns how long a caller is expected to wait for the next event of a
/// stream, or for a complete response, before it gives up.
Duration
CallerWaitLimit(const Job& aJob);

} // namespace magnoliatide::policy

#endif
