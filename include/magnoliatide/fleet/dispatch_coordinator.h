// The coordinator side of dispatching: decides on the requests of all VMs from
// a single queue. Every VM has a coordinator, so that it can decide locally
// when no other one is reachable. No I/O.
#ifndef MAGNOLIATIDE_FLEET_DISPATCH_COORDINATOR_H
#define MAGNOLIATIDE_FLEET_DISPATCH_COORDINATOR_H

#include "magnoliatide/policy/allocator.h"
#include "magnoliatide/policy/quota_tracker.h"
#include "magnoliatide/policy/retry_budget.h"
#include "magnoliatide/routing/table.h"
#include "magnoliatide/wire/messages.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::fleet {

struct DispatchCoordinatorOptions
{
  policy::AllocatorOptions allocator;
  policy::RetryBudgetOptions retries;
  policy::QuotaOptions quotas;
};

/// A reply and the VM process that receives it.
struct AddressedReply
{
  std::uint64_t vm = 0; ///< Id of the VM's process, not its slot.
  wire::DispatchReply reply;
};

/// Grants server slots to requests within quotas and retry budgets. A VM is
/// identified by the id of its process.
class DispatchCoordinator
{
public:
  explicit DispatchCoordinator(DispatchCoordinatorOptions aOptions);

  void SetTable(routing::TablePointer aTable, TimePoint aNow);
  void SetServers(const routing::Roster& aRoster, TimePoint aNow);

  /// Sets the fractions that this coordinator may grant: of each server's
  /// slots, and of quotas, rate limits of servers and the slack of retry
  /// budgets.
  void SetShares(double aSlotShare, double aQuotaShare, double aRetryShare);

  /// Sets whether this coordinator may send requests to cold servers.
  void SetColdPermitted(bool aPermitted, TimePoint aNow);

  /// Submits a request of a VM. TakeReplies() returns the reply, which may be
  /// to wait. A resent request gets the current reply again.
  void Submit(std::uint64_t aVm,
              const std::string& aZone,
              const wire::DispatchRequest& aRequest,
              TimePoint aNow);

  /// Removes a waiting request and refunds its quota units.
  void Withdraw(std::uint64_t aVm, const wire::DispatchCancel& aCancel);

  /// Handles the first event or the end of a running request.
  void Progress(std::uint64_t aVm,
                const wire::DispatchProgress& aProgress,
                TimePoint aNow);

  /// Adopts the running requests of a VM and merges the grants that it got from
  /// other coordinators. Slots of requests missing from a complete report are
  /// released.
  void Report(std::uint64_t aVm,
              const std::string& aZone,
              const wire::DispatchReport& aReport,
              TimePoint aNow);

  /// Removes all requests and records of a VM.
  void RemoveVm(std::uint64_t aVm, TimePoint aNow);

  /// Dispatches waiting requests and drops outdated records. Called
  /// periodically.
  void Tick(TimePoint aNow);

  /// Drops waiting requests after a pause of the process: their VMs have turned
  /// to another coordinator by then.
  void DropWaiting();

  /// Merges a time for which a server wants no requests of a VM.
  void MergeBackoff(const policy::BackoffNotice& aNotice, TimePoint aNow);

  /// Updates the estimates with the result of a request of this VM that another
  /// coordinator decided on.
  void Learn(const policy::Job& aJob,
             const std::string& aZone,
             const std::string& aServer,
             const policy::SendReport& aReport,
             TimePoint aNow);

  /// Records what the end of a run of this VM tells about crashes of its
  /// server, whichever coordinator decided on it.
  void RecordOwnRun(const policy::JobKey& aKey,
                    const policy::Job& aJob,
                    const std::string& aServer,
                    bool aTrial,
                    const policy::SendReport& aReport,
                    TimePoint aNow);

  /// What is known of requests that crash servers, to be exchanged with other
  /// VMs.
  policy::CrashSuspects& Suspects() { return mAllocator.Suspects(); }

  /// Returns and clears the replies to deliver.
  std::vector<AddressedReply> TakeReplies();

  /// Returns the start of a server's known incarnation, or zero.
  std::uint64_t StartOf(const std::string& aService, const std::string& aServer)
  {
    return mAllocator.StartOf(aService, aServer);
  }

  const policy::Allocator& Allocator() const { return mAllocator; }

  /// Returns whether requests wait for a server or for a retry budget.
  bool Busy() const
  {
    return mAllocator.Waiting() > 0 || !mWaitingRetries.empty();
  }

private:
  struct ReplyRecord
  {
    wire::DispatchReply reply;
    TimePoint at;
    std::string team; ///< The team whose quota was charged.
    double units = 0; ///< Charged units; zero: none, or refunded.
    /// Service whose retry budget was charged; empty: none, or refunded.
    std::string retriedService;
  };

  /// A retry that waits for the budget of its service.
  struct WaitingRetry
  {
    std::string zone; ///< Of the VM that asks.
    policy::Job job;
    TimePoint until; ///< It is rejected then.
  };

  bool CheckRetryBudget(const policy::JobKey& aKey,
                        const std::string& aZone,
                        const policy::Job& aJob,
                        TimePoint aNow);
  void RejectRetry(const policy::JobKey& aKey, TimePoint aNow);
  void SubmitWithinBudget(const policy::JobKey& aKey,
                          const std::string& aZone,
                          policy::Job aJob,
                          TimePoint aNow);
  void SubmitWaitingRetries(TimePoint aNow);
  bool CheckQuota(std::uint64_t aVm, policy::Job& aJob, TimePoint aNow);
  void RefundQuota(const policy::JobKey& aKey,
                   wire::DispatchReply& aReply,
                   TimePoint aNow);
  void RefundRetry(const policy::JobKey& aKey);
  void RecordHead(const policy::JobKey& aKey,
                  const wire::DispatchProgress& aProgress,
                  TimePoint aNow);
  void EnqueueReply(std::uint64_t aVm,
                    wire::DispatchReply aReply,
                    TimePoint aNow);
  void ApplyAllocations(const policy::Allocations& aAllocations,
                        TimePoint aNow);
  void MergeRemoteUsage(std::uint64_t aVm,
                        const wire::DispatchReport& aReport,
                        TimePoint aNow);
  void UpdateKnownHistory(TimePoint aNow);
  const routing::Team* FindTeam(const std::string& aName) const;

  DispatchCoordinatorOptions mOptions;
  policy::Allocator mAllocator;
  policy::QuotaTracker mQuotas;
  policy::RetryBudget mRetries;
  routing::TablePointer mTable;
  /// The last reply to each request, in case it is resent.
  std::map<policy::JobKey, ReplyRecord> mLastReplies;
  std::map<policy::JobKey, WaitingRetry> mWaitingRetries;
  /// Start times of the VMs that have sent a report.
  std::map<std::uint64_t, TimePoint> mStartTimes;
  /// Times of the last report or, before any, of the first request.
  std::map<std::uint64_t, TimePoint> mLastReports;
  std::vector<AddressedReply> mReplies;
  TimePoint mLastCleanup{};
};

/// Converts a dispatch request to a job. Its times are relative to its arrival
/// here, aNow.
policy::Job
FromWire(const wire::DispatchRequest& aRequest, TimePoint aNow);

/// Converts a job to a dispatch request with times relative to aNow.
wire::DispatchRequest
ToWire(std::uint64_t aNumber, const policy::Job& aJob, TimePoint aNow);

} // namespace magnoliatide::fleet

#endif
