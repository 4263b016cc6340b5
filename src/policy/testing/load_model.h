// A small model of servers and callers for tests and benchmarks of the
// allocator: engines that run a few requests at once and admit as they arrive,
// callers that come back once when they are refused. No network, no threads;
// the same seed gives the same run.
#ifndef MAGNOLIATIDE_POLICY_TESTING_LOAD_MODEL_H
#define MAGNOLIATIDE_POLICY_TESTING_LOAD_MODEL_H

#include "magnoliatide/policy/allocator.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::policy::testing {

/// One kind of request and how much of it arrives.
struct Traffic
{
  std::string kind = "kind";
  std::string team = "team";
  int tier = 0;
  double perSecond = 1;
  double promptTokens = 1000; ///< Mean; sizes spread around it.
  double outputTokens = 100;  ///< The same.
  double spread = 0.5;        ///< Of the logarithm of sizes.
  Duration target = Milliseconds(500);
  Duration deadline = Seconds(10);
  Duration from{}; ///< When it begins.
  Duration until = Seconds(1000000);
  bool stubborn = false; ///< Comes back at once, three times.
  /// Of a call without a stream, at a server of factor 1; zero: it is a stream.
  Duration plainTime{};
};

/// A group of like servers.
struct Engines
{
  int count = 1;
  int slots = 4;
  std::string zone = "z";
  double factor = 1; ///< How much slower than the fastest.
};

/// What became of the requests of one kind.
struct Outcome
{
  int asked = 0;
  int inTime = 0;
  int late = 0;
  int refusedOnce = 0;    ///< Whose first try was refused.
  int refused = 0;        ///< Never served.
  int refusedAgain = 0;   ///< Of these, refused more than once.
  double heldSeconds = 0; ///< Waited before refusals.

  double Share(int aPart) const
  {
    return asked > 0 ? static_cast<double>(aPart) / asked : 0;
  }
};

class LoadModel
{
public:
  explicit LoadModel(std::uint64_t aSeed);

  void Add(const Engines& aEngines);
  void Add(const Traffic& aTraffic);

  /// Sets the time between a verdict and its VM, and back, and what that takes
  /// to act.
  void SetWay(Duration aWay) { mWay = aWay; }

  /// Takes a server down, or back up, at a time.
  void SetUp(const std::string& aServer, bool aUp, Duration aAt);

  /// Plays a span of time from where the last call ended.
  void Run(Duration aTime);

  const Outcome& Of(const std::string& aKind) { return mOutcomes[aKind]; }

  /// Returns the outcome of the requests of one team.
  const Outcome& OfTeam(const std::string& aTeam) { return mTeams[aTeam]; }

  Allocator& Work() { return mAllocator; }

  /// Requests refused although a slot was free and nothing waited.
  int RefusedWithFreeSlots() const { return mRefusedWithFreeSlots; }

  std::uint64_t Decisions() const { return mDecisions; }

private:
  struct Caller
  {
    const Traffic* traffic = nullptr;
    Job job;
    TimePoint first; ///< When it asked first.
    TimePoint asked; ///< When it asked last.
    int tries = 0;
    bool wasRefused = false;
  };

  struct Engine
  {
    routing::Server facts;
    double factor = 1;
    bool up = true;
    int busy = 0;
    TimePoint prefillFree{}; ///< When its prompts so far are read.
    std::deque<JobId> queue;
    std::vector<JobId> running;
  };

  struct Event
  {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> act;

    bool operator>(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  void At(TimePoint aTime, std::function<void()> aAct);
  void Arrive(const Traffic& aTraffic);
  void ScheduleArrival(const Traffic& aTraffic);
  void Submit(Caller aCaller);
  void Take(const Allocations& aAllocations);
  void Reach(JobId aId, const std::string& aServer);
  void Begin(Engine& aEngine, JobId aId);
  void End(Engine& aEngine, JobId aId, SendResult aResult, Duration aRun);
  void Free(Engine& aEngine);
  void Crash(Engine& aEngine);
  void Refuse(Caller aCaller, const Allocation& aAllocation);
  Outcome& Both(const Caller& aCaller, int aIndex);
  double Sized(double aMean, double aSpread);
  void PublishServers();

  std::mt19937_64 mRandom;
  Allocator mAllocator;
  TimePoint mNow = TimePoint(Seconds(1000));
  Duration mWay = Milliseconds(1);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  std::deque<Traffic> mTraffic;
  std::map<std::string, Engine> mEngines;
  std::map<JobId, Caller> mCallers; ///< Waiting or running.
  std::map<JobId, TimePoint> mSent;
  std::map<JobId, TimePoint> mFirst;
  std::map<std::string, Outcome> mOutcomes; ///< By kind.
  std::map<std::string, Outcome> mTeams;    ///< By team.
  JobId mLastId = 0;
  bool mTicking = false;
  int mRefusedWithFreeSlots = 0;
  std::uint64_t mDecisions = 0;
};

} // namespace magnoliatide::policy::testing

#endif
