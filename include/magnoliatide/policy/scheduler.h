// Decides which request starts where and when, and which is refused. Does no
// I/O; the current time is an argument. Safe to call from several threads.
#ifndef MAGNOLIATIDE_POLICY_SCHEDULER_H
#define MAGNOLIATIDE_POLICY_SCHEDULER_H

#include "magnoliatide/policy/backend_book.h"
#include "magnoliatide/policy/rate_limit.h"
#include "magnoliatide/policy/suspects.h"
#include "magnoliatide/policy/wait_queue.h"
#include "magnoliatide/policy/work.h"

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>

namespace magnoliatide::policy {

/// In which order waiting requests are served.
enum class QueueRule
{
  kTieredFair, ///< Tiers, then fair shares; the product's rule.
  kArrival,    ///< Baseline: one queue in order of arrival.
};

struct SchedulerOptions
{
  BookOptions book;
  QueueRule queueRule = QueueRule::kTieredFair;
  /// How long lower tiers are not queued after a request was shed.
  Duration floorTime = Milliseconds(500);
  std::uint64_t seed = 1;
};

/// Demand of a service at this VM, as it is reported to slot owners.
struct ServiceDemand
{
  std::vector<int> waitingByTier;
  /// Highest tier shed lately, or -1.
  int shedTier = -1;
};

/// Totals since the start.
struct SchedulerCounters
{
  std::uint64_t submitted = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t dropped = 0;
  std::uint64_t retries = 0;
};

class Scheduler
{
public:
  explicit Scheduler(SchedulerOptions aOptions);

  void Apply(const document::Document& aDocument);
  void SetSharers(int aVms);
  void SetLeaving(std::set<std::string> aNames);
  void SetGrant(const std::string& aName, int aSlots, TimePoint aUntil);

  /// Notes that a request of a tier was shed somewhere in the fleet, and
  /// sheds what waits in lower tiers.
  Decisions NoteFleetShed(const std::string& aService,
                          int aTier,
                          TimePoint aNow);

  /// Offers a request. It is started, left waiting, or dropped, now or in a
  /// later decision; each request gets exactly one Start or Drop.
  Decisions Submit(const Work& aWork, TimePoint aNow);

  /// Does what time brings: expires requests and starts what fits.
  Decisions Tick(TimePoint aNow);

  /// Withdraws a request that still waits. Returns whether it did.
  bool Withdraw(RequestId aId);

  /// Notes the first token of a started request.
  void FirstToken(RequestId aId);

  /// Notes the end of a started request and starts what fits.
  Decisions Finish(RequestId aId, const RunReport& aReport, TimePoint aNow);

  /// Gives a request whose bytes were never sent to another server, if the
  /// retry budget and its deadline allow. Otherwise drops it.
  Decisions Reassign(RequestId aId, TimePoint aNow);

  /// Notes that a server crashed. Every request running on it is suspected;
  /// further notices of the same crash change nothing.
  ///
  /// @return The suspicions that changed.
  std::vector<SuspectEntry> Crashed(const std::string& aBackend,
                                    TimePoint aNow);

  void MergeSuspect(const SuspectEntry& aEntry, TimePoint aNow);
  std::vector<SuspectEntry> SuspectEntries(TimePoint aNow);

  ServiceDemand Demand(const std::string& aService, TimePoint aNow);
  std::vector<BackendLoad> TakeLoads(const std::vector<std::string>& aNames);
  std::vector<BackendView> Backends(TimePoint aNow);
  std::map<std::string, std::vector<int>> Waiting();
  SchedulerCounters Counters();

private:
  struct Running
  {
    Work work;
    std::string backend;
    bool alone = false;
  };

  struct ServiceState
  {
    WaitQueue queue;
    int queueLimit = 512;
    int floorTier = -1;     ///< Highest tier shed lately, or -1.
    TimePoint floorUntil{}; ///< Until when floorTier holds.
    int shedTier = -1;      ///< Highest tier that this VM shed lately, or -1.
    TimePoint shedUntil{};  ///< Until when shedTier holds.
    bool full = false;      ///< No server has room; see ForgetFull().
    /// The only server that can have room, as all others were full when a
    /// request ended there; empty where any can.
    std::string onlyRoom;
    double startedCost = 0; ///< Decaying sum of started cost.
    TimePoint rateUpdated{};
    TimePoint busySince{};
  };

  struct TeamState
  {
    RateLimiter limiter;
    int inFlight = 0;
    int maxConcurrent = 1;
  };

  ServiceState& StateOf(const std::string& aService);
  TeamState& TeamOf(const std::string& aTeam);
  bool AdmitTeam(const Work& aWork, TimePoint aNow, Decisions& aOut);
  void Admit(const Work& aWork, TimePoint aNow, Decisions& aOut);
  Fit StartNow(const Work& aWork, TimePoint aNow, Decisions& aOut);
  Work Sized(const Work& aWork) const;
  void LearnOutput(const Work& aWork, const RunReport& aReport);
  void MakeRoom(ServiceState& aState,
                const Work& aWork,
                TimePoint aNow,
                Decisions& aOut);
  void Pump(const std::string& aService, TimePoint aNow, Decisions& aOut);
  void Expire(ServiceState& aState, TimePoint aNow, Decisions& aOut);
  void Shed(ServiceState& aState,
            const Work& aWork,
            DropReason aReason,
            TimePoint aNow,
            Decisions& aOut);
  void Reject(const Work& aWork,
              DropReason aReason,
              Duration aRetryAfter,
              Decisions& aOut);
  void RaiseFloor(ServiceState& aState, int aTier, TimePoint aNow) const;
  void EvictBelow(ServiceState& aState,
                  int aTier,
                  TimePoint aNow,
                  Decisions& aOut);
  bool NeedsAlone(const Work& aWork, TimePoint aNow) const;
  Duration PredictWait(ServiceState& aState, const Work& aWork, TimePoint aNow);
  void NoteStarted(ServiceState& aState, const Work& aWork, TimePoint aNow);
  void ForgetFull();
  void NoteRoomAt(const Running& aRunning);
  Duration SpreadRetry(Duration aBase);
  void Release(const Work& aWork);

  std::mutex mMutex;
  SchedulerOptions mOptions;
  BackendBook mBook;
  Suspects mSuspects;
  std::mt19937_64 mRandom;
  std::unordered_map<std::string, ServiceState> mServices;
  /// Holds teams with a request in progress or a rate to remember.
  std::unordered_map<std::string, TeamState> mTeams;
  std::unordered_map<std::string, document::Team> mTeamConfigs;
  /// Holds exactly the requests that were started and have not ended.
  std::unordered_map<RequestId, Running> mRunning;
  /// Kind to the part of the tokens asked for that answers have.
  std::unordered_map<std::string, double> mOutputShares;
  /// When each server was last seen to crash.
  std::unordered_map<std::string, TimePoint> mCrashes;
  SchedulerCounters mCounters;
  /// Tokens of the retry budget; one request adds a part of a token.
  double mRetryTokens = 10;
};

} // namespace magnoliatide::policy

#endif
