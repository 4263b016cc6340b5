// Injects faults, planned changes and pauses of servers into a deployment. The
// seed determines their kinds and times; they may overlap.
#ifndef MAGNOLIATIDE_SOAK_DIRECTOR_H
#define MAGNOLIATIDE_SOAK_DIRECTOR_H

#include "callers.h"
#include "changes.h"
#include "network.h"
#include "platform_fleet.h"
#include "record.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace magnoliatide::soak {

/// Injects the faults of a run and records them.
class Director
{
public:
  Director(tests::PlatformFleet& aFleet,
           load::Network& aNetwork,
           Callers& aCallers,
           Quota aQuota,
           std::uint64_t aSeed);

  /// Publishes the first configuration, without which no VM becomes ready.
  /// Returns its version.
  static std::uint64_t PublishFirst(tests::PlatformFleet& aFleet,
                                    const Quota& aQuota);

  /// Injects faults, and series of planned changes and pauses, at random times
  /// within aTime. Returns when all of them have ended.
  void Run(int aFaults, int aSeries, Duration aTime);

  /// Adds the faults, the planned changes, the runs of the servers and the
  /// names of the VMs to a history.
  void AddTo(History& aHistory) const;

private:
  using Action = std::function<void()>;

  void Schedule(TimePoint aTime, Action aAction);
  void RunUntil(TimePoint aTime);
  void RunDueActions();
  void RecordDisturbance(const std::string& aKind,
                         const std::string& aHost,
                         Duration aTime,
                         bool aPlanned = false);
  void InjectRandomFault();
  void StartRandomSeries();
  void PauseServers();
  void ConfigurationSeries();
  void ReloadSeries();
  void StopSeries();
  void MixedSeries();
  void KillVm();
  void StopRandomVm();
  void StopVm(std::size_t aVm);
  void RestartWhenStopped(std::size_t aVm, std::size_t aDisturbance);
  void StartVm(std::size_t aVm);
  void PauseVm();
  void ReloadVm();
  void KillAll();
  void CrashServer();
  void RetireServer();
  void DisturbAnswers();
  void DisturbStore();
  void CompactStore();
  void DisconnectVm();
  void DisconnectFromStore();
  void DisconnectServer();
  void PublishChange();
  void Publish(const Configuration& aConfiguration);

  std::size_t RandomIdleVm();
  std::size_t RandomIdleServer();
  void CrashNow(std::size_t aServer);
  void RestartServer(std::size_t aServer);
  Duration RandomTime(int aMinMillis, int aMaxMillis);
  static Duration RandomTime(std::mt19937_64& aRandom,
                             int aMinMillis,
                             int aMaxMillis);
  std::size_t RandomBelow(std::size_t aBound);
  load::LinkMode RandomLinkFault();

  tests::PlatformFleet& mFleet;
  load::Network& mNetwork;
  Callers& mCallers;
  Quota mQuota;
  std::mt19937_64 mRandom;       ///< Determines the faults.
  std::mt19937_64 mSeriesRandom; ///< Determines all else.
  std::multimap<TimePoint, Action> mSchedule;
  /// End of the fault or planned change that affects the process of a VM or a
  /// server, by index.
  std::map<std::size_t, TimePoint> mVmBusy;
  std::map<std::size_t, TimePoint> mServerBusy;
  std::map<std::size_t, TimePoint> mVmStarted; ///< Last start, by index.
  std::vector<std::string> mServerNames;       ///< The first id of each server.
  std::vector<Disturbance> mDisturbances;
  std::vector<Published> mPublished;
  std::vector<Notice> mNotices;
  std::vector<ServerPause> mPauses;
  std::vector<ServerEnd> mServerEnds;
  std::uint64_t mVersions = 1;     ///< Number of published configurations.
  std::uint64_t mIncarnations = 0; ///< Number of restarts of servers.
};

} // namespace magnoliatide::soak

#endif
