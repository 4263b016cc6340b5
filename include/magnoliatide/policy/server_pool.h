// The servers of one service: the requests running on each, their measured
// speed and health, and forecasts of response times. Used by the Allocator;
// BackendSelector is the counterpart for the Scheduler. Does no I/O.
#ifndef MAGNOLIATIDE_POLICY_SERVER_POOL_H
#define MAGNOLIATIDE_POLICY_SERVER_POOL_H

#include "magnoliatide/policy/job.h"
#include "magnoliatide/policy/server_backoff.h"
#include "magnoliatide/policy/server_health.h"
#include "magnoliatide/policy/server_rate_limit.h"
#include "magnoliatide/policy/server_warmup.h"
#include "magnoliatide/policy/service_speed.h"
#include "magnoliatide/routing/roster.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliatide::policy {

struct PoolServer;

/// A request that was sent to a server and has not completed.
struct RunningJob
{
  JobKey key;
  Job job;
  std::string zone;             ///< Zone of the VM that sent it.
  PoolServer* server = nullptr; ///< Never null in a pool.
  /// Start of the server's incarnation that it was sent to.
  std::uint64_t serverStarted = 0;
  bool trial = false; ///< As in CrashSuspect.
  bool cold = false;  ///< The server was cold when it was sent.
  TimePoint sent;
  bool firstEventSeen = false; ///< The first event has arrived.
  double prefillTokens = 0; ///< Its own prompt and pending prompts ahead of it.
};

/// A server, its running requests, and its measured speed and health.
struct PoolServer
{
  routing::Server descriptor; ///< As listed in the roster.
  ServerSpeed speed;
  ServerRateLimit rateLimit;
  ServerBackoff backoff;
  ServerWarmup warmup;
  std::vector<RunningJob*> running;
  /// Prompt tokens of running requests without a first event.
  double pendingPrefillTokens = 0;
  std::map<std::string, ServerHealth> healthByZone; ///< By caller zone.
  bool inOpenList = false; ///< Whether mOpenServers contains it.
};

/// Expected response time of a request at one server.
struct Forecast
{
  PoolServer* server = nullptr; ///< Null if no server can take the request.
  Duration toFirst{};           ///< Time from now to the first event.
  bool inTime = false;          ///< The target is expected to be met.
  bool probe = false;           ///< The request probes an unhealthy server.
  bool cold = false;            ///< The server is cold.
};

/// The expected release of a slot.
struct SlotRelease
{
  Duration time{}; ///< Time from now.
  PoolServer* server = nullptr;
  bool reserved = false; ///< Planned for a waiting request.
};

/// A server that is cold, for logs and metrics.
struct ColdServer
{
  std::string id;
  double perSecond = 0; ///< Requests that this VM may send to it per second.
  Duration timeLeft{};  ///< How long it remains cold.
};

/// Whether the servers of one zone can be reached from another zone.
struct ZoneReachability
{
  /// Ids of servers that left a request unanswered since any server of the zone
  /// last answered one completely.
  std::set<std::string> unanswered;
  ServerHealth health;
};

struct ServerPoolOptions
{
  /// Network round-trip time between two zones.
  Duration crossZoneRoundTrip = Milliseconds(10);
  ColdBounds coldBounds;
};

/// Tracks the load of a service's servers and selects servers for requests.
class ServerPool
{
public:
  explicit ServerPool(ServerPoolOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// Adds or updates a server. Discards the measured speed, the health, the
  /// rate limit and the backoff if the server was restarted.
  void SetServer(const routing::Server& aServer, TimePoint aNow);

  /// Sets what cold servers of this service tolerate.
  void SetColdLimit(const ColdLimit& aLimit, TimePoint aNow);

  /// Sets whether this VM may send requests to cold servers.
  void SetColdPermitted(bool aPermitted, TimePoint aNow);

  /// Returns whether cold servers have a limit.
  bool HasColdLimit() const { return mColdRate > 0; }

  /// Returns the servers that are cold.
  std::vector<ColdServer> ColdServers(TimePoint aNow) const;

  /// Returns how often a cold server was passed over because of its limit.
  std::uint64_t ColdSkips() const { return mColdSkips; }

  /// Stops sending requests to servers missing from a roster, and removes those
  /// that run no requests.
  void RemoveMissing(const routing::Roster& aRoster);

  /// Limits the pool to a fraction of each server's slots, at least one slot.
  void SetShare(double aShare);

  /// Sets the fraction of the rate limits of servers that this pool may use.
  void SetRateLimitShare(double aShare);

  /// Merges what an answer of a server tells about its rate limit. Ignores
  /// unknown incarnations.
  void MergeRateLimit(const RateLimitNotice& aNotice, TimePoint aNow);

  /// Merges a time for which a server wants no requests. Ignores unknown
  /// incarnations.
  void MergeBackoff(const BackoffNotice& aNotice, TimePoint aNow);

  /// Returns whether some servers may hold back requests of a VM that they
  /// would take from others.
  bool HoldsBack(std::uint64_t aVm, TimePoint aNow) const;

  /// Returns when the first server can be sent a request, if all that are
  /// usable for it hold it back now. Nothing if there is one that does not, or
  /// none at all.
  std::optional<TimePoint> BackoffEnd(const Job& aJob,
                                      const std::string& aZone,
                                      TimePoint aNow) const;

  /// Sets how many requests beyond its slots a server may be sent, so that it
  /// does not idle until the next one arrives.
  ///
  /// @param aDepth Requests per server, at most kMaxQueueDepth.
  void SetQueueDepth(int aDepth) { mQueueDepth = aDepth; }

  static constexpr int kMaxQueueDepth = 1;

  /// Records that the server of a running request has been silent for a while.
  void RecordSilence(const RunningJob& aRunning, TimePoint aNow);

  /// Records that the server has sent an event, which ends its silence.
  void RecordSilenceEnd(const RunningJob& aRunning, TimePoint aNow);

  /// Updates the dispatch overhead from a completed request. The overhead is
  /// the time in which a request counts as running although its server does not
  /// process it. It is caused by the network and by processing on VMs.
  void LearnOverhead(const RunningJob& aRunning,
                     const SendReport& aReport,
                     TimePoint aNow);

  /// Returns a server by its id, or null.
  PoolServer* Find(const std::string& aId);

  /// Records that a request is sent as a probe of an unhealthy server.
  void RecordProbe(PoolServer& aServer,
                   const std::string& aZone,
                   TimePoint aNow);

  /// Records that a request runs at a server.
  RunningJob& Start(PoolServer& aServer, RunningJob aRunning);

  /// Returns a running request, or null.
  RunningJob* FindRunning(const JobKey& aKey);

  /// Records the first event of a request. Later calls have no effect.
  void RecordFirstEvent(RunningJob& aRunning);

  /// Removes a running request, if it is known.
  void End(const JobKey& aKey);

  /// Returns the keys of a VM's requests that were sent before a time.
  std::vector<JobKey> RunningJobsOf(std::uint64_t aVm, TimePoint aBefore) const;

  /// Updates a server's health and speed from the result of a request.
  void Learn(const RunningJob& aRunning,
             const SendReport& aReport,
             TimePoint aNow);

  /// Returns the best server that has a free slot. If no server is eligible
  /// and the request excludes none, returns an unhealthy one as a probe.
  Forecast BestFreeServer(const Job& aJob,
                          const std::string& aZone,
                          TimePoint aNow);

  /// Returns the server that runs the fewest requests, of those with a free
  /// slot that are eligible. If there is none, as BestFreeServer().
  Forecast EmptiestFreeServer(const Job& aJob,
                              const std::string& aZone,
                              TimePoint aNow);

  /// Returns whether a predicate holds for any running request.
  template<typename Predicate>
  bool AnyRunning(Predicate aPredicate) const
  {
    return std::any_of(mRunning.begin(), mRunning.end(), [&](const auto& aJob) {
      return aPredicate(aJob.second);
    });
  }

  /// Returns whether any server can run a request, now or once it has a free
  /// slot. Unhealthy servers count only for a request that excludes none.
  bool CanServe(const Job& aJob,
                const std::string& aZone,
                TimePoint aNow) const;

  /// Returns the time from now to a request's first event if the request gets a
  /// slot when that is released.
  Duration TimeToFirstAfter(const SlotRelease& aRelease,
                            const Job& aJob,
                            const std::string& aZone) const;

  /// Returns whether a server accepts new requests, does not hold back the
  /// request and is not excluded by it, and is healthy or due for a probe as
  /// seen from a zone.
  bool IsEligible(const PoolServer& aServer,
                  const Job& aJob,
                  const std::string& aZone,
                  TimePoint aNow) const;

  /// Returns the next expected slot releases, the earliest first. The result
  /// is cached for a few milliseconds.
  const std::vector<SlotRelease>& ExpectedReleases(TimePoint aNow);

  /// Returns the time to the first event at a server of median speed that has
  /// a free slot and no pending prompts.
  Duration MedianTimeToFirst(const Job& aJob) const;

  /// Returns the work of a request: the seconds for which it occupies a slot of
  /// a server with slowdown factor 1.
  double WorkOf(const Job& aJob) const;

  /// Returns the work that all healthy servers complete per second, in seconds
  /// of one slot of a server with slowdown factor 1. Without a healthy server,
  /// returns the work of all that are present.
  ///
  /// @param aZone The zone from which the servers must be healthy.
  double Capacity(const std::string& aZone, TimePoint aNow);

  /// Returns how many more requests the servers may be sent now, regardless of
  /// their health, within their rate limits. Besides unused slots, counts the
  /// allowance for requests in transit and the queue depth.
  int FreeSlots(TimePoint aNow) const;

  /// Returns whether a server accepts requests, healthy or not.
  bool AnyPresent() const;

  /// Returns the number of slots of all servers that are not leaving.
  int Slots() const;

  /// Returns the number of running requests.
  std::size_t Running() const { return mRunning.size(); }

private:
  struct CachedCapacity
  {
    double capacity = 0;
    TimePoint at; ///< When it was computed.
  };

  bool IsUsable(const PoolServer& aServer,
                const Job& aJob,
                const std::string& aZone,
                TimePoint aNow) const;
  Forecast LastResort(const Job& aJob,
                      const std::string& aZone,
                      TimePoint aNow);
  bool AnyEligible(const Job& aJob,
                   const std::string& aZone,
                   TimePoint aNow) const;
  void UpdateWarmup(PoolServer& aServer,
                    const routing::Server& aReported,
                    bool aKnown,
                    TimePoint aNow);
  void RecordPossibleRestart(const RunningJob& aRunning,
                             const SendReport& aReport,
                             TimePoint aNow);
  void UpdateOpenList(PoolServer& aServer);
  void RemoveFromOpenList(PoolServer& aServer);
  int FreeSlotsOf(const PoolServer& aServer, TimePoint aNow) const;
  int SlotsOf(const PoolServer& aServer) const;
  int InTransitOf(const PoolServer& aServer) const;
  double DelayedStreams(const PoolServer& aServer, const Job& aJob) const;
  double ScoreOf(const Forecast& aForecast,
                 const Job& aJob,
                 const std::string& aZone) const;
  Forecast Predict(PoolServer& aServer,
                   const Job& aJob,
                   const std::string& aZone,
                   TimePoint aNow) const;
  void UpdateReachability(const RunningJob& aRunning,
                          SendResult aResult,
                          TimePoint aNow);
  HealthState HealthSeenFrom(const PoolServer& aServer,
                             const std::string& aZone,
                             TimePoint aNow) const;
  Duration NetworkDelay(const PoolServer& aServer,
                        const std::string& aZone) const;
  void UpdateMedianSpeed();

  ServerPoolOptions mOptions;
  double mShare = 1; ///< Usable fraction of each server's slots, 0 to 1.
  double mRateLimitShare = 1; ///< Usable fraction of rate limits, 0 to 1.
  ColdLimit mColdLimit;
  double mColdRate = 0; ///< As PermittedColdRate(); 0: no limit.
  bool mColdPermitted = false;
  std::uint64_t mColdSkips = 0;
  double mMeanWork = 0; ///< Moving average of WorkOf() over sent requests.
  int mQueueDepth = 0;
  ServiceSpeed mSpeed;
  /// Decaying sums over completed requests: seconds in which servers processed
  /// them, and other seconds in which they counted as running.
  double mBusySeconds = 0;
  double mOverheadSeconds = 0;
  /// Requests in transit to or from a server, per request being processed.
  double mInTransitRatio = 0;
  /// Latest end of a time that a server has named to a VM, by its process.
  std::map<std::uint64_t, TimePoint> mHeldBackUntil;
  std::map<std::string, std::unique_ptr<PoolServer>> mServers;
  /// Contains exactly the requests that PoolServer::running points to.
  std::map<JobKey, RunningJob> mRunning;
  /// Servers that accept new requests and run fewer than the sum of their
  /// slots, the requests in transit and kMaxQueueDepth.
  std::vector<PoolServer*> mOpenServers;
  /// By caller zone, then by server zone.
  std::map<std::string, std::map<std::string, ZoneReachability>> mReachability;
  /// By kind: moving average of the fraction of requests that servers fail.
  std::map<std::string, double> mFailureRates;
  int mSamplesSinceMedian = 0;
  std::vector<SlotRelease> mReleases;
  TimePoint mReleasesAt{}; ///< When mReleases was computed, zero if outdated.
  std::map<std::string, CachedCapacity> mCapacities; ///< By caller zone.
};

} // namespace magnoliatide::policy

#endif
