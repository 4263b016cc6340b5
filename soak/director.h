// Injects faults and planned changes into a deployment. The seed determines
// their kinds and times; they may overlap.
#ifndef MAGNOLIATIDE_SOAK_DIRECTOR_H
#define MAGNOLIATIDE_SOAK_DIRECTOR_H

#include "callers.h"
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

  /// Injects faults at random times within aTime. Returns when all of them have
  /// ended.
  void Run(int aFaults, Duration aTime);

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
  void KillVm();
  void StopVm();
  void RestartWhenStopped(std::size_t aVm, TimePoint aDeadline);
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

  std::size_t RandomIdleVm();
  std::size_t RandomIdleServer();
  void RestartServer(std::size_t aServer);
  Duration RandomTime(int aMinMillis, int aMaxMillis);
  std::size_t RandomBelow(std::size_t aBound);
  load::LinkMode RandomLinkFault();

  tests::PlatformFleet& mFleet;
  load::Network& mNetwork;
  Callers& mCallers;
  Quota mQuota;
  std::mt19937_64 mRandom;
  std::multimap<TimePoint, Action> mSchedule;
  /// End of the fault or planned change that affects the process of a VM or a
  /// server, by index.
  std::map<std::size_t, TimePoint> mVmBusy;
  std::map<std::size_t, TimePoint> mServerBusy;
  std::vector<std::string> mServerNames; ///< The first id of each server.
  std::vector<Disturbance> mDisturbances;
  std::vector<Published> mPublished;
  std::vector<Notice> mNotices;
  std::uint64_t mVersions = 1;     ///< Number of published configurations.
  std::uint64_t mIncarnations = 0; ///< Number of restarts of servers.
};

} // namespace magnoliatide::soak

#endif
