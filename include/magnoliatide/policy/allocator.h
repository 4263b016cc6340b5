// Decides for each request of a set of VMs whether it is sent to a server,
// queued or rejected. Used with the platform kind "metadata-store", where one
// VM decides for the others; with "registry", each VM has a Scheduler of its
// own. Performs no I/O and takes the current time as an argument.
#ifndef MAGNOLIATIDE_POLICY_ALLOCATOR_H
#define MAGNOLIATIDE_POLICY_ALLOCATOR_H

#include "magnoliatide/policy/backlog.h"
#include "magnoliatide/policy/crash_suspects.h"
#include "magnoliatide/policy/retry_gate.h"
#include "magnoliatide/routing/table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::policy {

/// Why a request was rejected. Converted to a forward::Refusal for its caller.
enum class RejectReason
{
  kNoServer,  ///< No server of the service is usable for it.
  kTooLate,   ///< Its caller is expected to give up before it is sent.
  kOverQuota, ///< Over quota, and there is no spare capacity.
  /// All usable servers want no requests until it would be late.
  kServersFull,
  kHarmful, ///< It ran during too many server crashes, see CrashSuspects.
};

/// The decision on one request: a server to send it to, or a rejection.
struct Allocation
{
  JobKey key;
  bool send = false;
  std::string server; ///< The chosen server's id.
  bool probe = false; ///< The request probes an unhealthy server.
  bool trial = false; ///< As in CrashSuspect.
  RejectReason reason = RejectReason::kNoServer;
  Duration retryAfter{}; ///< If rejected: recommended delay before a retry.
  std::string why;       ///< Explanation for the log.
};

/// Decisions that the caller of the allocator must carry out.
using Allocations = std::vector<Allocation>;

struct AllocatorOptions
{
  std::uint64_t seed = 1; ///< For the jitter of retry times.
  ServerPoolOptions pool;
};

/// The cold servers of a service.
struct ServiceWarmup
{
  std::string service;
  std::vector<ColdServer> servers;
  /// How often a cold server was passed over because of its limit.
  std::uint64_t skips = 0;
};

/// Schedules the requests of all services over their servers.
class Allocator
{
public:
  explicit Allocator(AllocatorOptions aOptions = {});

  /// Replaces the set of servers.
  Allocations SetServers(const routing::Roster& aRoster, TimePoint aNow);

  /// Sets the services of the configuration.
  void SetServices(const std::vector<routing::Service>& aServices,
                   TimePoint aNow);

  /// Sets whether this allocator may send requests to cold servers, as only one
  /// may in the whole fleet.
  void SetColdPermitted(bool aPermitted, TimePoint aNow);

  /// Returns the cold servers of the services whose servers start cold.
  std::vector<ServiceWarmup> Warmups(TimePoint aNow) const;

  /// Limits this allocator to a fraction of each server's slots. The rest is
  /// left to allocators with which it exchanges no state.
  void SetShare(double aShare);

  /// Sets the fraction of the rate limits of servers that this allocator may
  /// use.
  void SetRateLimitShare(double aShare);

  /// Merges what an answer of a server tells about its rate limit.
  void MergeRateLimit(const RateLimitNotice& aNotice, TimePoint aNow);

  /// Records the rate limit that the answer to a running request names, or that
  /// it names none.
  void RecordRateLimit(const JobKey& aKey,
                       std::optional<double> aPerSecond,
                       TimePoint aNow);

  /// Merges a time for which a server wants no requests of a VM.
  void MergeBackoff(const BackoffNotice& aNotice, TimePoint aNow);

  /// Records that the server of a running request wants no requests of its VM
  /// for a time.
  void RecordBackoff(const JobKey& aKey, Duration aTime, TimePoint aNow);

  /// Submits a request that is neither queued nor running. Exactly one
  /// allocation is returned for it, by this or a later call, unless Withdraw(),
  /// DropWaiting() or RemoveVm() removes it first.
  ///
  /// @param aZone The zone of the VM that accepted the request.
  Allocations Submit(const JobKey& aKey,
                     const Job& aJob,
                     const std::string& aZone,
                     TimePoint aNow);

  /// Removes a queued request. Returns whether it was queued.
  bool Withdraw(const JobKey& aKey);

  /// Removes all queued requests, without returning allocations for them.
  void DropWaiting();

  /// Returns the allocation of a running request, without its forecast.
  std::optional<Allocation> FindGrant(const JobKey& aKey);

  /// Records the first event of the response to a running request.
  void RecordFirstEvent(const JobKey& aKey);

  /// Records that the server of a sent request has been silent for a while. The
  /// request keeps its slot.
  void RecordSilence(const JobKey& aKey, TimePoint aNow);

  /// Records that the server of a sent request has sent an event.
  void RecordSilenceEnd(const JobKey& aKey, TimePoint aNow);

  /// Records the result of a running request and dispatches queued ones.
  Allocations Finish(const JobKey& aKey,
                     const SendReport& aReport,
                     TimePoint aNow);

  /// Adds a running request that another allocator sent.
  void Adopt(const JobKey& aKey,
             const Job& aJob,
             const std::string& aZone,
             const std::string& aServer,
             bool aFirstEventSeen,
             TimePoint aSent);

  /// Removes running requests that their VM no longer runs. The reports of
  /// their completion were lost.
  ///
  /// @param aStillRunning The requests that the VM reports as running.
  /// @param aBefore Only requests sent before this time are removed.
  Allocations Reconcile(std::uint64_t aVm,
                        const std::set<JobId>& aStillRunning,
                        TimePoint aBefore,
                        TimePoint aNow);

  /// Removes all requests of a VM.
  Allocations RemoveVm(std::uint64_t aVm, TimePoint aNow);

  /// Updates the estimates with a result that another allocator received.
  void Learn(const Job& aJob,
             const std::string& aZone,
             const std::string& aServer,
             const SendReport& aReport,
             TimePoint aNow);

  /// Records what the end of a run of this VM tells about crashes of its
  /// server, whichever allocator sent it.
  ///
  /// @param aTrial As in Allocation.
  void RecordOwnRun(const JobKey& aKey,
                    const Job& aJob,
                    const std::string& aServer,
                    bool aTrial,
                    const SendReport& aReport,
                    TimePoint aNow);

  /// Returns whether a request that a server answered with a failure should be
  /// retried at another server, based on how earlier retries ended.
  bool ShouldRetry(const Job& aJob);

  /// Sends queued requests to servers with a free slot, and rejects those whose
  /// callers are not expected to wait long enough. Must be called periodically.
  Allocations Tick(TimePoint aNow);

  /// Returns the start of a server's known incarnation, or zero.
  std::uint64_t StartOf(const std::string& aService,
                        const std::string& aServer);

  /// Returns the number of queued requests.
  std::size_t Waiting() const;

  /// Requests suspected of crashing servers, across all services.
  CrashSuspects& Suspects() { return mSuspects; }

private:
  struct Service
  {
    explicit Service(ServerPoolOptions aOptions)
      : pool(aOptions)
    {
    }

    ServerPool pool;
    Backlog backlog{ pool };
    RetryGate retryGate;
  };

  /// State of one pass over a service's queue.
  struct DispatchPass
  {
    Service& service;
    /// Computed on first use.
    std::optional<std::vector<SlotRelease>> releases;
    TimePoint now;
    Allocations& out;
  };

  enum class TrySendResult
  {
    kDecided, ///< Sent or rejected.
    kAllBusy, ///< All usable servers are busy.
    /// Would be late at the free servers, but in time at a slot that is about
    /// to be released; or may not be sent yet.
    kWaitForSlot,
    /// It is suspected of crashing servers, and a request with the same suspect
    /// trait is running that has not begun its answer.
    kWaitForTrial,
  };

  Service& FindOrAddService(const std::string& aName);
  Service* FindServiceRunning(const JobKey& aKey);
  void DispatchWaiting(Service& aService, TimePoint aNow, Allocations& aOut);
  void Shed(Service& aService, TimePoint aNow, Allocations& aOut);
  void RejectWaiting(Service& aService, Allocations& aOut);
  TrySendResult TrySend(DispatchPass& aPass, const WaitingJob& aWaiting);
  bool RejectHeldBack(DispatchPass& aPass,
                      const WaitingJob& aWaiting,
                      TimePoint aEnd);
  bool ReserveTimelySlot(DispatchPass& aPass, const WaitingJob& aWaiting);
  bool SendOrRejectOverQuota(DispatchPass& aPass, const WaitingJob& aWaiting);
  void Send(Service& aService,
            const WaitingJob& aWaiting,
            const Forecast& aForecast,
            TimePoint aNow,
            Allocations& aOut);
  void Reject(const WaitingJob& aWaiting,
              RejectReason aReason,
              Duration aRetryAfter,
              std::string aWhy,
              Allocations& aOut);
  Duration AddJitter(Duration aTime);
  bool RejectHarmful(const WaitingJob& aWaiting,
                     const std::vector<Trait>& aTraits,
                     TimePoint aNow,
                     Allocations& aOut);
  bool IsTrialRunning(const Service& aService,
                      const std::vector<Trait>& aTraits,
                      TimePoint aNow) const;
  void ClearBegunTrials(TimePoint aNow);
  void RecordCrashEvidence(InterruptedRun aRun,
                           const Job& aJob,
                           const SendReport& aReport,
                           bool aOverloaded,
                           TimePoint aNow);
  void UpdateEstimates(Service& aService,
                       const RunningJob& aRunning,
                       const SendReport& aReport,
                       TimePoint aNow);

  AllocatorOptions mOptions;
  std::mt19937_64 mRandom;
  double mShare = 1; ///< Usable fraction of each server's slots, 0 to 1.
  double mRateLimitShare = 1; ///< Usable fraction of rate limits, 0 to 1.
  bool mColdPermitted = false;
  std::map<std::string, Service> mServices;
  CrashSuspects mSuspects;
  /// Running requests with suspect traits whose answers have begun, and since
  /// when that is known; zero until the next tick.
  std::map<JobKey, TimePoint> mBegunTrials;
};

} // namespace magnoliatide::policy

#endif
