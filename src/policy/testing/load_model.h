// Discrete-event simulation of servers and callers for allocator tests and
// benchmarks. Engines run a few requests concurrently and admit the rest in
// order of arrival; callers retry once after a rejection. Uses no network and
// no threads, and is deterministic for a given seed.
#ifndef MAGNOLIATIDE_POLICY_TESTING_LOAD_MODEL_H
#define MAGNOLIATIDE_POLICY_TESTING_LOAD_MODEL_H

#include "magnoliatide/policy/allocator.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::policy::testing {

/// One kind of request and its arrival rate.
struct Traffic
{
  std::string kind = "kind";
  std::string team = "team";
  int tier = 0;
  double perSecond = 1;       ///< Mean of a Poisson process.
  double promptTokens = 1000; ///< Mean of a log-normal distribution.
  double outputTokens = 100;  ///< The same.
  double sizeSigma = 0.5;     ///< Standard deviation of the log of sizes.
  Duration target = Milliseconds(500);
  Duration deadline = Seconds(10);
  Duration from{}; ///< Start of arrivals, from the call of Add().
  /// End of arrivals, from the start of the simulation.
  Duration until = Seconds(1000000);
  bool ignoresRetryAfter = false; ///< Retries after 50 ms, three times.
  /// Mean time of a plain (not streamed) call at a server of factor 1; zero for
  /// streams.
  Duration plainTime{};
  /// Number of different first parts of the prompts; zero for none.
  std::uint64_t firstParts = 0;
  /// The prompts have kDeadlyPart, which crashes each server that begins to
  /// answer. Such callers try one more server.
  bool deadly = false;
};

/// Id of a prompt part, beyond those of first parts.
constexpr std::uint64_t kDeadlyPart = 0xdead;

/// A group of identical servers.
struct EngineGroup
{
  int count = 1;
  int slots = 4;
  std::string zone = "z";
  double factor = 1; ///< Slowdown: multiplies all times.
};

/// Results of the requests of one kind or team.
struct Outcome
{
  int submitted = 0;
  int inTime = 0; ///< First event within the target.
  int late = 0;
  int rejectedOnce = 0;      ///< Whose first attempt was rejected.
  int rejected = 0;          ///< Never served.
  int rejectedAgain = 0;     ///< Those of them that were retried.
  int rejectedAsHarmful = 0; ///< Rejections for this reason.
  double waitedSeconds = 0;  ///< Total time in the queue before rejections.

  /// Returns a count as a share of the submitted requests.
  double Share(int aCount) const
  {
    return submitted > 0 ? static_cast<double>(aCount) / submitted : 0;
  }
};

/// The simulation, driving one allocator.
class LoadModel
{
public:
  explicit LoadModel(std::uint64_t aSeed);

  void Add(const EngineGroup& aEngines);
  void Add(const Traffic& aTraffic);

  /// Sets the one-way delay between the allocator and a VM, including the VM's
  /// processing time.
  void SetNetworkDelay(Duration aDelay) { mNetworkDelay = aDelay; }

  /// Crashes or restarts a server at a time from now.
  void SetServerUp(const std::string& aServer, bool aUp, Duration aAt);

  /// Names a rate limit of a server, or none, at a time from now.
  void SetRateLimit(const std::string& aServer,
                    std::optional<double> aPerSecond,
                    Duration aAt);

  /// Sets what cold servers tolerate. One that gets twice as many requests in a
  /// second crashes.
  void SetColdLimit(const ColdLimit& aLimit);

  /// Crashes a server at a time from now. It is cold when it is back, a second
  /// later.
  void RestartCold(const std::string& aServer, Duration aAt);

  /// Evacuates the servers of a zone, or takes them back, at a time from now.
  void SetEvacuated(const std::string& aZone, bool aEvacuated, Duration aAt);

  /// Returns how often cold servers have crashed.
  int ColdCrashes() const { return mColdCrashes; }

  /// Returns the times at which requests arrived at a server.
  const std::vector<TimePoint>& ArrivalsAt(const std::string& aServer)
  {
    return mEngines.at(aServer).arrivals;
  }

  /// Returns the time from the start of the simulation to a time.
  static Duration SinceStart(TimePoint aTime) { return aTime - kStart; }

  /// Returns how often servers have crashed because of kDeadlyPart.
  int PartCrashes() const { return mPartCrashes; }

  /// Returns how many requests with kDeadlyPart have reached servers.
  int DeadlyArrivals() const { return mDeadlyArrivals; }

  /// Continues the simulation for a span of time.
  void Run(Duration aTime);

  /// Returns the outcome of the requests of one kind.
  const Outcome& OutcomeOfKind(const std::string& aKind)
  {
    return mKindOutcomes[aKind];
  }

  /// Returns the outcome of the requests of one team.
  const Outcome& OutcomeOfTeam(const std::string& aTeam)
  {
    return mTeamOutcomes[aTeam];
  }

  Allocator& AllocatorUnderTest() { return mAllocator; }

  /// Returns the number of rejections while a slot was free and the queue was
  /// empty.
  int RejectedWithFreeSlots() const { return mRejectedWithFreeSlots; }

  /// Returns the number of allocations so far.
  std::uint64_t Decisions() const { return mDecisions; }

private:
  struct Caller
  {
    const Traffic* traffic = nullptr;
    Job job;
    TimePoint first;     ///< Time of the first attempt.
    TimePoint submitted; ///< Time of the latest attempt.
    int tries = 0;
    bool wasRejected = false;
  };

  struct Engine
  {
    routing::Server descriptor;
    double factor = 1;
    bool up = true;
    int busy = 0;
    TimePoint prefillFree{}; ///< When all its prompts are processed.
    std::deque<JobId> queue;
    std::vector<JobId> running;
    std::vector<TimePoint> arrivals;
    TimePoint coldUntil{};
  };

  static constexpr TimePoint kStart = TimePoint(Seconds(1000));

  struct Event
  {
    TimePoint at;
    std::uint64_t order = 0; ///< Orders events of the same time.
    std::function<void()> action;

    bool operator>(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  void Schedule(TimePoint aTime, std::function<void()> aAction);
  void Arrive(const Traffic& aTraffic);
  void ScheduleArrival(const Traffic& aTraffic);
  void Submit(Caller aCaller);
  void Apply(const Allocations& aAllocations);
  void ArriveAtServer(JobId aId, const std::string& aServer);
  void StartRun(Engine& aEngine, JobId aId);
  void End(Engine& aEngine, JobId aId, SendResult aResult, Duration aRun);
  void ReleaseSlot(Engine& aEngine);
  void Crash(Engine& aEngine);
  void CrashByPart(Engine& aEngine, JobId aId);
  void CrashAndRestart(Engine& aEngine);
  bool IsOverloadedCold(const Engine& aEngine) const;
  void Reject(Caller aCaller, const Allocation& aAllocation);
  /// Returns the outcome of a caller's kind (index 0) or team (index 1).
  Outcome& OutcomeFor(const Caller& aCaller, int aIndex);
  double RandomSize(double aMean, double aSigma);
  void PublishServers();

  std::mt19937_64 mRandom;
  Allocator mAllocator;
  TimePoint mNow = kStart;
  Duration mNetworkDelay = Milliseconds(1);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mLastEventOrder = 0;
  std::deque<Traffic> mTraffic;
  std::map<std::string, Engine> mEngines;
  std::map<JobId, Caller> mCallers;             ///< Queued or running.
  std::map<JobId, TimePoint> mArrivedAt;        ///< Arrival at the server.
  std::map<JobId, TimePoint> mFirstEventAt;     ///< Arrival of the first event.
  std::map<std::string, Outcome> mKindOutcomes; ///< By kind.
  std::map<std::string, Outcome> mTeamOutcomes; ///< By team.
  JobId mLastId = 0;
  bool mTickScheduled = false; ///< Whether an event for a tick is pending.
  int mRejectedWithFreeSlots = 0;
  std::uint64_t mDecisions = 0;
  int mPartCrashes = 0;
  int mDeadlyArrivals = 0;
  ColdLimit mColdLimit;
  int mColdCrashes = 0;
};

} // namespace magnoliatide::policy::testing

#endif
