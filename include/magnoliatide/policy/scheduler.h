// Admission control and scheduling: decides when and on which backend server a
// request starts, and which requests are dropped. Used with the platform kind
// "registry", where each VM schedules only its own requests; Allocator is the
// counterpart for "metadata-store". Performs no I/O and takes the current time
// as an argument. Thread-safe.
#ifndef MAGNOLIATIDE_POLICY_SCHEDULER_H
#define MAGNOLIATIDE_POLICY_SCHEDULER_H

#include "magnoliatide/policy/backend_selector.h"
#include "magnoliatide/policy/rate_limit.h"
#include "magnoliatide/policy/scheduler_types.h"
#include "magnoliatide/policy/suspect_table.h"
#include "magnoliatide/policy/wait_queue.h"

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>

namespace magnoliatide::policy {

/// The order in which queued requests are started.
enum class QueueDiscipline
{
  kTieredFair, ///< By tier, then by weighted fair share. The default.
  kArrival,    ///< Baseline for comparisons: first in, first out.
};

struct SchedulerOptions
{
  BackendSelectorOptions selector;
  QueueDiscipline queueDiscipline = QueueDiscipline::kTieredFair;
  /// Time after a request was shed in which no requests of less urgent tiers
  /// are queued.
  Duration tierFloorTime = Milliseconds(500);
  std::uint64_t seed = 1;
};

/// The demand for a service at this VM, as reported to the slot owners.
struct ServiceDemand
{
  std::vector<int> waitingByTier; ///< Queued requests; the index is the tier.
  /// The most urgent tier shed within the last `tierFloorTime`, or -1.
  int shedTier = -1;
};

/// Totals since the process started.
struct SchedulerCounters
{
  std::uint64_t submitted = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t dropped = 0;
  std::uint64_t retries = 0;
};

/// Schedules the requests that one VM accepts.
class Scheduler
{
public:
  explicit Scheduler(SchedulerOptions aOptions);

  /// Replaces the backend servers, services and teams by those of a document.
  void Apply(const document::Document& aDocument);

  // See the functions of the same name in BackendSelector.

  void SetVmCount(int aVms);
  void SetLeaving(std::set<std::string> aNames);
  void SetGrant(const std::string& aName, int aSlots, TimePoint aUntil);

  /// Records that some VM of the fleet shed a request of a tier, and drops the
  /// queued requests of less urgent tiers.
  Decisions RecordFleetShed(const std::string& aService,
                            int aTier,
                            TimePoint aNow);

  /// Submits a request. It is started, queued or dropped. A queued request is
  /// started or dropped by a later call; each request gets exactly one Start or
  /// Drop, unless it is withdrawn or reassigned.
  Decisions Submit(const SchedulerRequest& aRequest, TimePoint aNow);

  /// Drops expired requests and starts queued ones. Must be called
  /// periodically.
  Decisions Tick(TimePoint aNow);

  /// Removes a request from the queue. Returns whether it was queued.
  bool Withdraw(RequestId aId);

  /// Records that a started request produced its first token.
  void RecordFirstToken(RequestId aId);

  /// Records the end of a started request and starts queued ones.
  Decisions Finish(RequestId aId, const RunReport& aReport, TimePoint aNow);

  /// Schedules a request again after its server could not be reached. Drops it
  /// if its deadline has passed, the retry budget is used up or no server can
  /// serve it. Must not be called if any byte of the request was sent.
  Decisions Reassign(RequestId aId, TimePoint aNow);

  /// Records that a server crashed and marks every request that runs on it as
  /// a suspect. Repeated reports of the same crash have no effect.
  ///
  /// @return The suspect entries that changed.
  std::vector<SuspectEntry> RecordCrash(const std::string& aBackend,
                                        TimePoint aNow);

  /// Merges a suspect entry from another VM, see SuspectTable::Merge.
  void MergeSuspect(const SuspectEntry& aEntry, TimePoint aNow);

  /// Returns all suspect entries that have not expired.
  std::vector<SuspectEntry> SuspectEntries(TimePoint aNow);

  /// Returns the current demand for a service at this VM.
  ServiceDemand Demand(const std::string& aService, TimePoint aNow);

  /// See BackendSelector::TakeLoads.
  std::vector<BackendLoad> TakeLoads(const std::vector<std::string>& aNames);

  /// Returns the status of every backend server, ordered by name.
  std::vector<BackendStatus> Backends(TimePoint aNow);

  /// Returns the number of queued requests by service and tier.
  std::map<std::string, std::vector<int>> Waiting();

  SchedulerCounters Counters();

private:
  struct Running
  {
    SchedulerRequest request;
    std::string backend;
    bool alone = false; ///< Started alone because it was suspected.
  };

  struct ServiceState
  {
    WaitQueue queue;
    int queueLimit = 512;
    /// The most urgent tier shed in the fleet, valid until floorUntil, or -1.
    /// Less urgent tiers are not queued.
    int floorTier = -1;
    TimePoint floorUntil{};
    /// The most urgent tier shed by this VM, valid until shedUntil, or -1.
    int shedTier = -1;
    TimePoint shedUntil{};
    /// Whether no server has a free slot, so that none needs to be examined.
    /// Reset by ClearFull() and RecordFreedSlot().
    bool full = false;
    /// The only server that can have a free slot: a request ended there while
    /// the service was full. Empty if any server can have one.
    std::string onlyFreeServer;
    /// Cost of started requests, decaying exponentially.
    double startedCostSum = 0;
    TimePoint costUpdated{};
    /// When PredictWait() last found nothing queued ahead of a request.
    TimePoint queuedSince{};
  };

  struct TeamState
  {
    RateLimiter limiter;
    int inFlight = 0;
    int maxConcurrent = 1;
  };

  ServiceState& StateOf(const std::string& aService);
  TeamState& TeamOf(const std::string& aTeam);
  bool AdmitTeam(const SchedulerRequest& aRequest,
                 TimePoint aNow,
                 Decisions& aOut);
  void Admit(const SchedulerRequest& aRequest, TimePoint aNow, Decisions& aOut);
  StartResult TryStart(const SchedulerRequest& aRequest,
                       TimePoint aNow,
                       Decisions& aOut);
  SchedulerRequest WithLearnedOutput(const SchedulerRequest& aRequest) const;
  void LearnOutputRatio(const SchedulerRequest& aRequest,
                        const RunReport& aReport);
  void Enqueue(ServiceState& aState,
               const SchedulerRequest& aRequest,
               TimePoint aNow,
               Decisions& aOut);
  void StartFromQueue(const std::string& aService,
                      TimePoint aNow,
                      Decisions& aOut);
  void DropExpired(ServiceState& aState, TimePoint aNow, Decisions& aOut);
  void Shed(ServiceState& aState,
            const SchedulerRequest& aRequest,
            DropReason aReason,
            TimePoint aNow,
            Decisions& aOut);
  void DropRequest(const SchedulerRequest& aRequest,
                   DropReason aReason,
                   Duration aRetryAfter,
                   Decisions& aOut);
  void RaiseTierFloor(ServiceState& aState, int aTier, TimePoint aNow) const;
  void EvictLessUrgentTiers(ServiceState& aState,
                            int aTier,
                            TimePoint aNow,
                            Decisions& aOut);
  bool MustRunAlone(const SchedulerRequest& aRequest, TimePoint aNow) const;
  Duration PredictWait(ServiceState& aState,
                       const SchedulerRequest& aRequest,
                       TimePoint aNow);
  void AddStartedCost(ServiceState& aState,
                      const SchedulerRequest& aRequest,
                      TimePoint aNow);
  void ClearFull();
  void RecordFreedSlot(const Running& aRunning);
  Duration JitterRetryAfter(Duration aBase);
  void ReleaseTeamConcurrency(const SchedulerRequest& aRequest);

  std::mutex mMutex;
  SchedulerOptions mOptions;
  BackendSelector mSelector;
  SuspectTable mSuspects;
  std::mt19937_64 mRandom;
  std::unordered_map<std::string, ServiceState> mServices;
  /// Teams with requests in progress or with rate limiter state.
  std::unordered_map<std::string, TeamState> mTeams;
  std::unordered_map<std::string, document::Team> mTeamConfigs;
  /// Exactly the requests that were started and have not ended.
  std::unordered_map<RequestId, Running> mRunning;
  /// By kind: the learned ratio of output tokens to requested tokens.
  std::unordered_map<std::string, double> mOutputRatios;
  /// By server: when its last crash was reported.
  std::unordered_map<std::string, TimePoint> mLastCrashes;
  SchedulerCounters mCounters;
  /// Token bucket of the retry budget: a submitted request adds a fraction of a
  /// token, a retry takes one.
  double mRetryTokens = 10;
};

} // namespace magnoliatide::policy

#endif
