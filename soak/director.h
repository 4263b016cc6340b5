// What a soak does to a deployment: faults and planned work at times that a
// seed decides, in series and overlapping.
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

class Director
{
public:
  Director(tests::PlatformFleet& aFleet,
           load::Network& aNetwork,
           Callers& aCallers,
           Quota aQuota,
           std::uint64_t aSeed);

  /// Publishes the first configuration.
  static std::uint64_t PublishFirst(tests::PlatformFleet& aFleet,
                                    const Quota& aQuota);

  /// Harms the deployment for a time; ends when all is whole again.
  void Run(int aFaults, Duration aTime);

  /// Adds what was done to a history.
  void AddTo(History& aHistory) const;

private:
  using Act = std::function<void()>;

  void At(TimePoint aTime, Act aAct);
  void Until(TimePoint aTime);
  void ActOnWhatIsDue();
  void Note(const std::string& aWhat,
            const std::string& aHost,
            Duration aTime,
            bool aPlanned = false);
  void Choose();
  void KillVm();
  void StopVm();
  void AwaitStopped(std::size_t aVm, TimePoint aBound);
  void PauseVm();
  void ReloadVm();
  void KillAll();
  void CrashServer();
  void Retire();
  void HarmAnswers();
  void HarmStore();
  void Compact();
  void CutVm();
  void CutFromStore();
  void CutServer();
  void Change();

  std::size_t FreeVm();
  std::size_t FreeServer();
  void Renew(std::size_t aServer);
  Duration Time(int aLeastMillis, int aMostMillis);
  std::size_t Below(std::size_t aBound);
  load::Way BadWay();

  tests::PlatformFleet& mFleet;
  load::Network& mNetwork;
  Callers& mCallers;
  Quota mQuota;
  std::mt19937_64 mRandom;
  std::multimap<TimePoint, Act> mPlan;
  std::map<std::size_t, TimePoint> mVmBusy; ///< Until when, by VM.
  std::map<std::size_t, TimePoint> mServerBusy;
  std::vector<std::string> mServerNames;
  std::vector<Disturbance> mDisturbances;
  std::vector<Published> mPublished;
  std::vector<Notice> mNotices;
  std::uint64_t mVersions = 1;
  std::uint64_t mLives = 0;
};

} // namespace magnoliatide::soak

#endif
