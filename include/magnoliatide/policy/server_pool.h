// The servers of one service: what runs on each, how fast it is, whether it can
// be trusted, and how a request would fare there. No I/O.
#ifndef MAGNOLIATIDE_POLICY_SERVER_POOL_H
#define MAGNOLIATIDE_POLICY_SERVER_POOL_H

#include "magnoliatide/policy/job.h"
#include "magnoliatide/policy/service_speed.h"
#include "magnoliatide/policy/standing.h"
#include "magnoliatide/routing/roster.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace magnoliatide::policy {

/// A request in the whole fleet: the VM that holds it, and its number there.
struct JobKey
{
  std::uint64_t vm = 0;
  JobId job = 0;

  bool operator==(const JobKey& aOther) const
  {
    return vm == aOther.vm && job == aOther.job;
  }

  bool operator<(const JobKey& aOther) const
  {
    return std::tie(vm, job) < std::tie(aOther.vm, aOther.job);
  }
};

struct PoolServer;

/// A request that was sent to a server and has not ended.
struct RunningJob
{
  JobKey key;
  Job job;
  std::string zone;             ///< Of the VM that sent it.
  PoolServer* server = nullptr; ///< Never null in a pool.
  TimePoint sent;
  bool firstSeen = false;
  double prefillTokens = 0; ///< Its own and those ahead of it.
};

struct PoolServer
{
  routing::Server facts;
  ServerSpeed speed;
  std::vector<RunningJob*> running;
  double prefillAhead = 0; ///< Prompt tokens sent and not yet answered.
  std::map<std::string, Standing> standings; ///< By zone of callers.
  bool listed = false; ///< Among those that may have a free slot.
};

/// How a request would fare at one server.
struct Forecast
{
  PoolServer* server = nullptr; ///< Null: there is none.
  Duration toFirst{};           ///< From now to the first event.
  bool inTime = false;
  bool probe = false; ///< The server is being tried.
};

/// When a slot is expected to free, and where.
struct Freeing
{
  Duration time{}; ///< From now.
  PoolServer* server = nullptr;
  bool claimed = false; ///< A waiting request counts on it.
};

/// Whether the servers of one zone can be reached from another.
struct ZoneWay
{
  std::set<std::string> unanswered; ///< Servers since one answered last.
  Standing standing;
};

struct PoolOptions
{
  /// Time between two zones and back.
  Duration betweenZones = Milliseconds(10);
};

class ServerPool
{
public:
  explicit ServerPool(PoolOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// Adds a server or takes over what is new of it.
  void SetServer(const routing::Server& aServer);

  /// Gives no more work to servers that a roster does not name; forgets those
  /// that run nothing.
  void RemoveMissing(const routing::Roster& aRoster);

  /// Limits the pool to a part of each server's slots.
  void SetPart(double aPart);

  /// Sets how many requests beyond its slots a server may be sent, so that it
  /// need not wait for the next one.
  ///
  /// @param aRequests At most kMostQueued.
  void SetQueued(int aRequests) { mQueued = aRequests; }

  static constexpr int kMostQueued = 1;

  /// Learns how long a request that has ended counted as running while its
  /// server was not busy with it: the ways, and what VMs take to act.
  void LearnOverhead(const RunningJob& aJob,
                     const SendReport& aReport,
                     TimePoint aNow);

  PoolServer* Find(const std::string& aId);

  /// Notes that a request tries a server that was not trusted.
  void NoteProbe(PoolServer& aServer, const std::string& aZone, TimePoint aNow);

  /// Notes that a request runs at a server.
  RunningJob& Start(PoolServer& aServer, RunningJob aJob);

  /// Returns a running request, or null.
  RunningJob* FindRunning(const JobKey& aKey);

  void NoteFirst(RunningJob& aJob);

  /// Forgets a running request.
  void End(const JobKey& aKey);

  /// Returns the keys of a VM's requests that were sent before a time.
  std::vector<JobKey> RunningOf(std::uint64_t aVm, TimePoint aBefore) const;

  /// Judges a server by how a send to it ended, and learns its speed.
  void Learn(const RunningJob& aJob, const SendReport& aReport, TimePoint aNow);

  /// Returns the best server with a free slot.
  Forecast BestFree(const Job& aJob, const std::string& aZone, TimePoint aNow);

  /// Returns whether any server may run a request at all.
  bool AnyUsable(const Job& aJob,
                 const std::string& aZone,
                 TimePoint aNow) const;

  /// Returns how a request would fare from now on at a server that had a slot
  /// for it after a time.
  Duration ToFirstAfter(const Freeing& aFreeing,
                        const Job& aJob,
                        const std::string& aZone) const;

  bool MayUse(const PoolServer& aServer,
              const Job& aJob,
              const std::string& aZone,
              TimePoint aNow) const;

  /// Returns the slots that are expected to free first, the soonest first.
  const std::vector<Freeing>& Freeings(TimePoint aNow);

  /// Returns the time to the first event at a typical server that has a slot.
  Duration TypicalFirst(const Job& aJob) const;

  /// Returns the time that a request takes on a slot of a server of factor 1.
  double WorkOf(const Job& aJob) const;

  /// Returns the work that all servers do in a second, in seconds of one slot
  /// of a server of factor 1.
  ///
  /// @param aZone Whose callers must be able to trust the servers.
  double Capacity(const std::string& aZone, TimePoint aNow);

  int FreeSlots() const;
  int Slots() const;

  std::size_t Running() const { return mRunning.size(); }

private:
  struct KnownCapacity
  {
    double capacity = 0;
    TimePoint at; ///< When it was summed up.
  };

  Forecast LastResort(const Job& aJob,
                      const std::string& aZone,
                      TimePoint aNow);
  bool AnyTrusted(const Job& aJob,
                  const std::string& aZone,
                  TimePoint aNow) const;
  void Relist(PoolServer& aServer);
  void Unlist(PoolServer& aServer);
  int FreeSlotsOf(const PoolServer& aServer) const;
  int SlotsOf(const PoolServer& aServer) const;
  int OnTheWayOf(const PoolServer& aServer) const;
  double Harm(const PoolServer& aServer, const Job& aJob) const;
  double ScoreOf(const Forecast& aForecast,
                 const Job& aJob,
                 const std::string& aZone) const;
  Forecast Predict(PoolServer& aServer,
                   const Job& aJob,
                   const std::string& aZone,
                   TimePoint aNow) const;
  void LearnWay(const RunningJob& aJob, SendResult aResult, TimePoint aNow);
  Trust TrustIn(const PoolServer& aServer,
                const std::string& aZone,
                TimePoint aNow) const;
  Duration Way(const PoolServer& aServer, const std::string& aZone) const;
  void UpdateTypical();

  PoolOptions mOptions;
  double mPart = 1;
  int mQueued = 0;
  ServiceSpeed mSpeed;
  /// Moving sums of seconds in which servers were busy with requests, and in
  /// which these counted as running without.
  double mBusySeconds = 0;
  double mOverheadSeconds = 0;
  /// For each request that a server is busy with, those on their way to it or
  /// back.
  double mOnTheWay = 0;
  std::map<std::string, std::unique_ptr<PoolServer>> mServers;
  /// Holds exactly the requests that the servers' lists point to.
  std::map<JobKey, RunningJob> mRunning;
  /// Servers with fewer requests than slots, what is on the way, and
  /// kMostQueued.
  std::vector<PoolServer*> mOpen;
  /// By zone of callers, then of servers.
  std::map<std::string, std::map<std::string, ZoneWay>> mWays;
  /// Part of the requests of each kind that servers fail.
  std::map<std::string, double> mFailures;
  int mLearnedSinceTypical = 0;
  std::vector<Freeing> mFreeings;
  TimePoint mFreeingsAt{}; ///< When they were forecast; zero: to be.
  std::map<std::string, KnownCapacity> mCapacities; ///< By zone of callers.
};

} // namespace magnoliatide::policy

#endif
