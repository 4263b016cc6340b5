// Tracks the health, measured speed and slots of the backend servers as seen by
// one VM, and selects the server that runs a request. Used by the Scheduler;
// ServerPool is the counterpart for the Allocator.
#ifndef MAGNOLIATIDE_POLICY_BACKEND_SELECTOR_H
#define MAGNOLIATIDE_POLICY_BACKEND_SELECTOR_H

#include "magnoliatide/document/document.h"
#include "magnoliatide/policy/scheduler_types.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace magnoliatide::policy {

/// How a server is selected among those with a free slot.
enum class SelectionPolicy
{
  kPredicted,        ///< Earliest predicted completion. The default.
  kRoundRobin,       ///< Baseline for comparisons.
  kLeastOutstanding, ///< Baseline: fewest requests in flight.
  kTwoChoices,       ///< Baseline: less loaded of two servers picked at random.
};

/// How the run of a request at its backend server ended.
enum class RunResult
{
  kWhole,     ///< With a complete response.
  kFailed,    ///< With an error response of the server.
  kCut,       ///< The connection was closed or timed out.
  kCancelled, ///< This VM cancelled it.
  kNotSent,   ///< No byte was sent: the connection could not be made.
};

/// Result and measurements of one run.
struct RunReport
{
  RunResult result = RunResult::kWhole;
  double promptTokens = 0;
  double outputTokens = 0;
  Duration toFirstToken{}; ///< Zero if there was no token.
  Duration toEnd{};
};

/// The load that this VM puts on one backend server, as reported to slot
/// owners.
struct BackendLoad
{
  std::string name;
  int inFlight = 0;
  /// Complete responses since the last report. Not counted for plain services.
  int finished = 0;
  int late = 0; ///< Those of them that missed a latency target.
};

/// Status of one backend server, for reports to operators.
struct BackendStatus
{
  std::string name;
  std::string service;
  std::string zone;
  std::string standing; ///< "good", "leaving", "down" or "straggler".
  int inFlight = 0;
  double slotLimit = 0;
  double tokenMillis = 0; ///< Time per output token.
  double prefillTokensPerSecond = 0;
};

struct BackendSelectorOptions
{
  SelectionPolicy selectionPolicy = SelectionPolicy::kPredicted;
  std::string zone; ///< Zone of this VM.
  /// Whether slot limits follow the measured latency. Otherwise each VM uses
  /// its static share of the slots.
  bool learnSlotLimits = true;
  std::uint64_t seed = 1;
  /// Minimum time between two requests sent to a straggler.
  Duration stragglerProbeInterval = Seconds(2);
};

/// The server selected for a request, or why there is none.
struct Choice
{
  std::string backend; ///< Empty if there is none.
  /// Whether a suitable server had a free slot. Without a backend, this means
  /// that the deadline ruled out all of them.
  bool hadFreeSlot = false;
};

/// Selects backend servers for requests and records their results.
class BackendSelector
{
public:
  explicit BackendSelector(BackendSelectorOptions aOptions);

  /// Replaces the backend servers by those of a document. State of servers that
  /// keep their name and address is preserved.
  void Apply(const document::Document& aDocument);

  /// Sets the number of VMs that share the backend servers, at least 1.
  void SetVmCount(int aVms);

  /// Replaces the set of leaving backend servers, which get no new requests.
  void SetLeaving(std::set<std::string> aNames);

  /// Sets the number of slots that the slot owner granted this VM.
  ///
  /// @param aUntil When the grant expires. From then on the learned limit or
  ///     the static share applies.
  void SetGrant(const std::string& aName, int aSlots, TimePoint aUntil);

  /// Returns whether any backend server can serve a request, free slot or not.
  bool AnyCanServe(const SchedulerRequest& aRequest) const;

  /// Returns whether every server of the service that is not leaving can serve
  /// a request. If so, no other request has more servers to run on.
  bool AllCanServe(const SchedulerRequest& aRequest);

  /// Selects a backend server with a free slot that can meet the deadline.
  ///
  /// @param aAlone Whether the request must not share the server with another
  ///     request of this VM.
  /// @param aOnly The only server to consider; empty for all.
  Choice Choose(const SchedulerRequest& aRequest,
                bool aAlone,
                TimePoint aNow,
                const std::string& aOnly = "");

  /// Records that a request was assigned to a backend server.
  void RecordStart(const std::string& aName,
                   const SchedulerRequest& aRequest,
                   bool aAlone,
                   TimePoint aNow);

  /// Records that a request produced its first token.
  void RecordFirstToken(const std::string& aName,
                        const SchedulerRequest& aRequest);

  /// Records that a request ended.
  void RecordEnd(const std::string& aName,
                 const SchedulerRequest& aRequest,
                 const RunReport& aReport,
                 TimePoint aNow);

  /// Returns the loads of the named servers, in the order of aNames, and resets
  /// their counts of finished and late runs.
  std::vector<BackendLoad> TakeLoads(const std::vector<std::string>& aNames);

  /// Returns the shortest run time of a request at the measured speeds of the
  /// servers. Zero if a server of the service has not been measured yet, or if
  /// the selection policy is not kPredicted.
  Duration MinRunTime(const SchedulerRequest& aRequest, TimePoint aNow);

  /// Returns the status of every backend server, ordered by name.
  std::vector<BackendStatus> Statuses(TimePoint aNow) const;

private:
  struct Speed
  {
    double prefillRate = 4000; ///< Prompt tokens per second.
    double tokenTime = 0.02;   ///< Seconds between tokens.
    /// Slowly rising minimum of the token time in seconds; 0 without samples.
    double bestTokenTime = 0;
    int samples = 0;
  };

  struct Pool;

  struct State
  {
    document::BackendServer config;
    const document::Service* service = nullptr;
    Pool* pool = nullptr;
    Speed speed;
    bool leaving = false;
    int grantedSlots = -1; ///< Valid until grantedUntil; -1 without a grant.
    TimePoint grantedUntil{};
    double learnedSlots = 1;  ///< Slot limit learned by this VM; at least 1.
    TimePoint lastDecrease{}; ///< Of learnedSlots.
    int inFlight = 0;
    /// Prompt tokens of requests that have not produced a token yet.
    double pendingPrefill = 0;
    bool exclusive = false; ///< Runs one suspected request alone.
    /// Runs that were cut or not sent since the last complete response.
    int failures = 0;
    TimePoint downUntil{};    ///< Gets no requests before this time.
    TimePoint lastAssigned{}; ///< When a request was last assigned to it.
    int finished = 0;         ///< See BackendLoad.
    int late = 0;             ///< See BackendLoad.
    /// Hashes of the prompt prefixes in `prefixes`, the oldest first.
    std::deque<std::uint64_t> prefixOrder;
    std::unordered_set<std::uint64_t> prefixes;
  };

  using StateList = std::vector<State*>;

  /// The backend servers of one service.
  struct Pool
  {
    StateList states;
    double medianTokenTime = 0; ///< Seconds; 0 without samples.
    /// Shortest token time of all servers in seconds, as of bestUpdated; 0 if a
    /// server has no samples.
    double bestTokenTime = 0;
    TimePoint bestUpdated{};
    /// Cached results of AllCanServe() by model and adapter, until servers
    /// change.
    std::map<std::string, bool> allCanServe;
  };

  bool CanServe(const State& aState, const SchedulerRequest& aRequest) const;
  int SlotLimit(const State& aState, TimePoint aNow) const;
  bool ConsiderCandidate(State& aState,
                         const SchedulerRequest& aRequest,
                         bool aAlone,
                         TimePoint aNow,
                         StateList& aCandidates) const;
  /// Returns whether the server has a free slot and may be given a request: it
  /// is not down, not reserved, and no straggler that was probed recently.
  bool HasFreeSlot(const State& aState, bool aAlone, TimePoint aNow) const;
  bool IsStraggler(const State& aState) const;
  bool MeetsDeadline(const State& aState,
                     const SchedulerRequest& aRequest,
                     TimePoint aNow) const;
  static void UpdateBestTokenTime(Pool& aPool, TimePoint aNow);
  double CachedTokens(const State& aState,
                      const SchedulerRequest& aRequest) const;
  double Predict(const State& aState, const SchedulerRequest& aRequest) const;
  State* PickCandidate(const StateList& aStates,
                       const SchedulerRequest& aRequest);
  void LearnSpeed(State& aState, const RunReport& aReport);
  void AdjustSlotLimit(State& aState, const RunReport& aReport, TimePoint aNow);
  void RecordFailure(State& aState, TimePoint aNow);
  void AddPrefixes(State& aState, const SchedulerRequest& aRequest);
  static double MedianTokenTime(const Pool& aPool);

  BackendSelectorOptions mOptions;
  std::mt19937_64 mRandom;
  std::shared_ptr<const document::Document> mDocument;
  std::map<std::string, State> mStates;
  /// By service; rebuilt by Apply(). Pools point into mStates.
  std::unordered_map<std::string, Pool> mPools;
  std::set<std::string> mLeaving;
  int mVmCount = 1;
  std::uint64_t mNextRoundRobin = 0;
};

} // namespace magnoliatide::policy

#endif
