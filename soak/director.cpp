// Fault injection and planned changes.
#include "director.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

namespace magnoliatide::soak {

namespace {

/// Returned instead of an index.
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

/// Time from SIGTERM until the platform kills a process that still runs.
constexpr Duration kStopTimeout = Seconds(8);

/// Time for which a server keeps serving after it was marked as leaving.
constexpr Duration kLeaveTime = Seconds(3);

constexpr Duration kPollInterval = Milliseconds(10);

/// Time after its start in which a process may not handle signals yet.
constexpr Duration kStartTime = Seconds(1);

/// How long a sound server may send nothing.
constexpr int kMinPauseMillis = 800;
constexpr int kMaxPauseMillis = 2000;

} // namespace

Director::Director(tests::PlatformFleet& aFleet,
                   load::Network& aNetwork,
                   Callers& aCallers,
                   Quota aQuota,
                   std::uint64_t aSeed)
  : mFleet(aFleet)
  , mNetwork(aNetwork)
  , mCallers(aCallers)
  , mQuota(std::move(aQuota))
  , mRandom(aSeed)
  , mSeriesRandom(~aSeed)
{
  for (const auto& server : aFleet.Engines()) {
    mServerNames.push_back(server->Options().id);
  }
  const auto first = StandardConfiguration(mVersions, mQuota);
  mPublished.push_back({ Clock::now(), mVersions, TermsOf(first) });
  mCallers.SetVersion(mVersions, first.limits.idleTimeout);
}

std::uint64_t
Director::PublishFirst(tests::PlatformFleet& aFleet, const Quota& aQuota)
{
  const auto first = StandardConfiguration(1, aQuota);
  aFleet.Publish(first.routes, first.teams, first.limits);
  return 1;
}

void
Director::Schedule(TimePoint aTime, Action aAction)
{
  mSchedule.emplace(aTime, std::move(aAction));
}

void
Director::RunUntil(TimePoint aTime)
{
  RunDueActions();
  while (Clock::now() < aTime) {
    std::this_thread::sleep_for(kPollInterval);
    RunDueActions();
  }
}

void
Director::RunDueActions()
{
  while (!mSchedule.empty() && mSchedule.begin()->first <= Clock::now()) {
    const auto action = std::move(mSchedule.begin()->second);
    mSchedule.erase(mSchedule.begin());
    action();
  }
}

void
Director::Run(int aFaults, int aSeries, Duration aTime)
{
  const TimePoint start = Clock::now();
  const auto millis =
    static_cast<int>(std::chrono::duration_cast<Milliseconds>(aTime).count());
  for (int i = 0; i < aFaults; ++i) {
    Schedule(start + RandomTime(0, millis), [this] { InjectRandomFault(); });
  }
  for (int i = 0; i < aSeries; ++i) {
    Schedule(start + RandomTime(mSeriesRandom, 0, millis),
             [this] { StartRandomSeries(); });
  }
  RunUntil(start + aTime);
  while (!mSchedule.empty()) {
    RunUntil(mSchedule.begin()->first + kPollInterval);
  }
  if (aSeries > 0) {
    PublishChange();
  }
}

void
Director::AddTo(History& aHistory) const
{
  aHistory.disturbances = mDisturbances;
  aHistory.published = mPublished;
  aHistory.notices = mNotices;
  aHistory.pauses = mPauses;
  aHistory.serverEnds = mServerEnds;
  for (std::size_t i = 0; i < mServerNames.size(); ++i) {
    aHistory.services[mServerNames[i]] = mFleet.Engines()[i]->Options().service;
    for (const auto& run : mFleet.Engines()[i]->Runs()) {
      aHistory.runs.push_back({ mServerNames[i], run });
    }
  }
  for (const auto& vm : mFleet.Vms()) {
    aHistory.vms.push_back(vm.name);
  }
}

void
Director::RecordDisturbance(const std::string& aKind,
                            const std::string& aHost,
                            Duration aTime,
                            bool aPlanned)
{
  const TimePoint now = Clock::now();
  mDisturbances.push_back({ now, now + aTime, aKind, aHost, aPlanned });
}

void
Director::InjectRandomFault()
{
  using Fault = void (Director::*)();
  // Entries that occur twice are twice as likely.
  constexpr Fault kFaults[] = {
    &Director::KillVm,
    &Director::StopRandomVm,
    &Director::PauseVm,
    &Director::ReloadVm,
    &Director::KillAll,
    &Director::CrashServer,
    &Director::RetireServer,
    &Director::RetireServer,
    &Director::DisturbAnswers,
    &Director::DisturbAnswers,
    &Director::DisturbStore,
    &Director::CompactStore,
    &Director::DisconnectVm,
    &Director::DisconnectVm,
    &Director::DisconnectFromStore,
    &Director::DisconnectServer,
    &Director::PublishChange,
    &Director::PublishChange,
    &Director::StopRandomVm,
  };
  (this->*kFaults[RandomBelow(std::size(kFaults))])();
}

/// Returns a random number that is smaller than aBound.
std::size_t
Director::RandomBelow(std::size_t aBound)
{
  return mRandom() % aBound;
}

Duration
Director::RandomTime(int aMinMillis, int aMaxMillis)
{
  return RandomTime(mRandom, aMinMillis, aMaxMillis);
}

Duration
Director::RandomTime(std::mt19937_64& aRandom, int aMinMillis, int aMaxMillis)
{
  return Milliseconds(
    std::uniform_int_distribution<int>(aMinMillis, aMaxMillis)(aRandom));
}

load::LinkMode
Director::RandomLinkFault()
{
  constexpr load::LinkMode kModes[] = { load::LinkMode::kSilent,
                                        load::LinkMode::kReset,
                                        load::LinkMode::kSlow };
  return kModes[RandomBelow(std::size(kModes))];
}

/// Returns a random VM, or kNone if it is being disturbed already.
std::size_t
Director::RandomIdleVm()
{
  const auto vm = RandomBelow(mFleet.Vms().size());
  return mVmBusy[vm] > Clock::now() ? kNone : vm;
}

/// Returns a random server, or kNone if it is being disturbed already.
std::size_t
Director::RandomIdleServer()
{
  const auto server = RandomBelow(mServerNames.size());
  return mServerBusy[server] > Clock::now() ? kNone : server;
}

void
Director::KillVm()
{
  const auto vm = RandomIdleVm();
  if (vm == kNone) {
    return;
  }
  auto& process = mFleet.Vms()[vm].process;
  const Duration down = RandomTime(200, 1500);
  RecordDisturbance("kill", mFleet.Vms()[vm].name, down);
  mVmBusy[vm] = Clock::now() + down;
  process.Signal(SIGKILL);
  process.Wait(Seconds(2));
  Schedule(mVmBusy[vm], [this, vm] { StartVm(vm); });
}

/// Kills all VMs at once, unless one is being disturbed already.
void
Director::KillAll()
{
  const Duration down = RandomTime(200, 1000);
  for (const auto& [vm, busy] : mVmBusy) {
    if (busy > Clock::now()) {
      return;
    }
  }
  RecordDisturbance("kill", "", down);
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    mVmBusy[vm] = Clock::now() + down;
    mFleet.Vms()[vm].process.Signal(SIGKILL);
  }
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    mFleet.Vms()[vm].process.Wait(Seconds(2));
    Schedule(mVmBusy[vm], [this, vm] { StartVm(vm); });
  }
}

void
Director::StopRandomVm()
{
  const auto vm = RandomIdleVm();
  if (vm != kNone) {
    StopVm(vm);
  }
}

/// Stops a VM with SIGTERM and restarts it once it has ended.
void
Director::StopVm(std::size_t aVm)
{
  RecordDisturbance("stop", mFleet.Vms()[aVm].name, kStopTimeout, true);
  mVmBusy[aVm] = Clock::now() + kStopTimeout;
  mFleet.Vms()[aVm].process.Signal(SIGTERM);
  RestartWhenStopped(aVm, mDisturbances.size() - 1);
}

void
Director::RestartWhenStopped(std::size_t aVm, std::size_t aDisturbance)
{
  auto& process = mFleet.Vms()[aVm].process;
  auto& stop = mDisturbances[aDisturbance];
  if (process.Running() && Clock::now() < stop.until) {
    Schedule(Clock::now() + kPollInterval, [this, aVm, aDisturbance] {
      RestartWhenStopped(aVm, aDisturbance);
    });
    return;
  }
  process.Signal(SIGKILL);
  process.Wait(Seconds(2));
  stop.until = Clock::now();
  mVmBusy[aVm] = stop.until;
  StartVm(aVm);
}

void
Director::StartVm(std::size_t aVm)
{
  mFleet.StartVm(aVm);
  mVmStarted[aVm] = Clock::now();
}

void
Director::PauseVm()
{
  const auto vm = RandomIdleVm();
  if (vm == kNone) {
    return;
  }
  const Duration time = RandomTime(300, 4000);
  RecordDisturbance("pause", mFleet.Vms()[vm].name, time);
  mVmBusy[vm] = Clock::now() + time;
  mFleet.Vms()[vm].process.Signal(SIGSTOP);
  Schedule(mVmBusy[vm],
           [this, vm] { mFleet.Vms()[vm].process.Signal(SIGCONT); });
}

/// Sends SIGHUP to a VM. It is not recorded as a disturbance, because callers
/// must not notice it.
void
Director::ReloadVm()
{
  const auto vm = RandomIdleVm();
  if (vm != kNone) {
    mFleet.Vms()[vm].process.Signal(SIGHUP);
  }
}

void
Director::CrashNow(std::size_t aServer)
{
  mServerEnds.push_back({ Clock::now(), mServerNames[aServer] });
  mFleet.Engines()[aServer]->Crash();
}

/// Starts a new incarnation of a server under a new id.
void
Director::RestartServer(std::size_t aServer)
{
  auto& server = *mFleet.Engines()[aServer];
  mFleet.Store().Remove("servers/" + server.Options().id);
  server.Restart(mServerNames[aServer] + "-life-" +
                 std::to_string(++mIncarnations));
  mFleet.WriteEntry(server);
}

void
Director::CrashServer()
{
  const auto server = RandomIdleServer();
  if (server == kNone) {
    return;
  }
  const Duration down = RandomTime(300, 2000);
  RecordDisturbance("crash", mServerNames[server], down);
  mServerBusy[server] = Clock::now() + down;
  CrashNow(server);
  Schedule(mServerBusy[server], [this, server] { RestartServer(server); });
}

/// Makes a server leave as planned; a new incarnation then takes its address.
void
Director::RetireServer()
{
  const auto server = RandomIdleServer();
  if (server == kNone) {
    return;
  }
  mFleet.WriteEntry(*mFleet.Engines()[server], true);
  const TimePoint replacedAt = Clock::now() + kLeaveTime;
  mNotices.push_back({ Clock::now(), mServerNames[server], replacedAt });
  mServerBusy[server] = replacedAt;
  Schedule(replacedAt, [this, server] {
    CrashNow(server);
    RestartServer(server);
  });
}

/// Makes a server mishandle its next one to four requests.
void
Director::DisturbAnswers()
{
  using standins::EngineFault;
  // The last three apply to answers that are not streamed.
  constexpr EngineFault kFaults[] = {
    EngineFault::kFailed,   EngineFault::kLost,        EngineFault::kCut,
    EngineFault::kGarbage,  EngineFault::kFull,        EngineFault::kSilent,
    EngineFault::kUnsigned, EngineFault::kExtraAnswer, EngineFault::kUnframed,
  };
  constexpr std::size_t kOfStreams = 6;
  const auto server = RandomBelow(mServerNames.size());
  const bool stream = mFleet.Engines()[server]->Options().stream;
  const auto fault = RandomBelow(stream ? kOfStreams : std::size(kFaults));
  RecordDisturbance("answers", mServerNames[server], Seconds(2));
  mFleet.Engines()[server]->SetFault(kFaults[fault],
                                     static_cast<int>(1 + RandomBelow(4)));
}

void
Director::DisturbStore()
{
  using standins::StoreFault;
  constexpr StoreFault kFaults[] = { StoreFault::kSilent,
                                     StoreFault::kUnavailable,
                                     StoreFault::kTooManyRequests,
                                     StoreFault::kReset };
  const Duration time = RandomTime(300, 4000);
  RecordDisturbance("store", "store", time);
  mFleet.Store().SetFault(kFaults[RandomBelow(std::size(kFaults))]);
  Schedule(Clock::now() + time,
           [this] { mFleet.Store().SetFault(standins::StoreFault::kNone); });
}

/// Makes the store forget its history of changes.
void
Director::CompactStore()
{
  RecordDisturbance("compact", "store", Duration::zero());
  mFleet.Store().Compact();
}

/// Drops, resets or delays the traffic from a VM, to it, or both.
void
Director::DisconnectVm()
{
  const auto vm = RandomBelow(mFleet.Vms().size());
  const auto name = mFleet.Vms()[vm].name;
  const Duration time = RandomTime(300, 4000);
  const auto mode = RandomLinkFault();
  const bool outgoing = RandomBelow(3) != 0;
  const bool incoming = !outgoing || RandomBelow(2) == 0;
  RecordDisturbance("link fault", name, time);
  const auto set = [this, name, outgoing, incoming](load::LinkMode aMode) {
    if (outgoing) {
      mNetwork.SetLinkMode(name, "*", aMode);
    }
    if (incoming) {
      mNetwork.SetLinkMode("*", name, aMode);
    }
  };
  set(mode);
  Schedule(Clock::now() + time, [set] { set(load::LinkMode::kPass); });
}

/// Disturbs the traffic between a VM and the store in one direction.
void
Director::DisconnectFromStore()
{
  const auto name = mFleet.Vms()[RandomBelow(mFleet.Vms().size())].name;
  const Duration time = RandomTime(300, 5000);
  const bool incoming = RandomBelow(2) == 0;
  const auto from = incoming ? std::string("store") : name;
  const auto to = incoming ? name : std::string("store");
  RecordDisturbance("store link fault", name, time);
  mNetwork.SetLinkMode(from, to, RandomLinkFault());
  Schedule(Clock::now() + time, [this, from, to] {
    mNetwork.SetLinkMode(from, to, load::LinkMode::kPass);
  });
}

/// Disturbs the traffic to a server.
void
Director::DisconnectServer()
{
  const auto name = mServerNames[RandomBelow(mServerNames.size())];
  const Duration time = RandomTime(300, 3000);
  RecordDisturbance("link fault", name, time);
  mNetwork.SetLinkMode("*", name, RandomLinkFault());
  Schedule(Clock::now() + time, [this, name] {
    mNetwork.SetLinkMode("*", name, load::LinkMode::kPass);
  });
}

/// Publishes the standard configuration, with a probe route of its own.
void
Director::PublishChange()
{
  Publish(StandardConfiguration(++mVersions, mQuota));
}

/// Publishes the configuration of the version mVersions.
void
Director::Publish(const Configuration& aConfiguration)
{
  mFleet.Publish(
    aConfiguration.routes, aConfiguration.teams, aConfiguration.limits);
  mPublished.push_back({ Clock::now(), mVersions, TermsOf(aConfiguration) });
  mCallers.SetVersion(mVersions, aConfiguration.limits.idleTimeout);
}

void
Director::StartRandomSeries()
{
  using Series = void (Director::*)();
  constexpr Series kSeries[] = {
    &Director::PauseServers,        &Director::PauseServers,
    &Director::ConfigurationSeries, &Director::ReloadSeries,
    &Director::StopSeries,          &Director::MixedSeries,
    &Director::MixedSeries,
  };
  (this->*kSeries[mSeriesRandom() % std::size(kSeries)])();
}

/// Pauses one server, those of a zone, those of a service, or all at once. A
/// pause is not recorded as a disturbance, because callers must not lose
/// anything by it.
void
Director::PauseServers()
{
  const auto& chosen =
    mFleet.Engines()[mSeriesRandom() % mServerNames.size()]->Options();
  const auto scope = mSeriesRandom() % 4;
  const Duration time =
    RandomTime(mSeriesRandom, kMinPauseMillis, kMaxPauseMillis);
  for (std::size_t i = 0; i < mServerNames.size(); ++i) {
    const auto& options = mFleet.Engines()[i]->Options();
    const bool affected = scope == 0   ? &options == &chosen
                          : scope == 1 ? options.zone == chosen.zone
                          : scope == 2 ? options.service == chosen.service
                                       : true;
    if (affected) {
      const TimePoint now = Clock::now();
      mPauses.push_back({ now, now + time, mServerNames[i] });
      mFleet.Engines()[i]->FallSilent(time);
    }
  }
}

/// Publishes several random configurations, one shortly after the other.
void
Director::ConfigurationSeries()
{
  TimePoint next = Clock::now();
  for (auto left = 2 + mSeriesRandom() % 5; left > 0; --left) {
    Schedule(next, [this] {
      Publish(RandomConfiguration(++mVersions, mQuota, mSeriesRandom));
    });
    next += RandomTime(mSeriesRandom, 30, 900);
  }
}

/// Sends several SIGHUPs to random VMs, also to VMs that are stopping.
void
Director::ReloadSeries()
{
  TimePoint next = Clock::now();
  for (auto left = 2 + mSeriesRandom() % 5; left > 0; --left) {
    const auto vm = mSeriesRandom() % mFleet.Vms().size();
    Schedule(next, [this, vm] {
      if (Clock::now() > mVmStarted[vm] + kStartTime) {
        mFleet.Vms()[vm].process.Signal(SIGHUP);
      }
    });
    next += RandomTime(mSeriesRandom, 30, 500);
  }
}

/// Stops up to a third of the VMs, one shortly after the other. One that is
/// disturbed already gets the signal only; if it stops, that is a repetition.
void
Director::StopSeries()
{
  TimePoint next = Clock::now();
  const auto third = std::max<std::size_t>(1, mFleet.Vms().size() / 3);
  for (auto left = 1 + mSeriesRandom() % third; left > 0; --left) {
    const auto vm = mSeriesRandom() % mFleet.Vms().size();
    Schedule(next, [this, vm] {
      if (mVmBusy[vm] <= Clock::now()) {
        StopVm(vm);
      } else {
        mFleet.Vms()[vm].process.Signal(SIGTERM);
      }
    });
    next += RandomTime(mSeriesRandom, 100, 1500);
  }
}

/// Overlaps pauses of servers, configurations, SIGHUPs and SIGTERMs.
void
Director::MixedSeries()
{
  const auto delay = [this] { return RandomTime(mSeriesRandom, 0, 1200); };
  const TimePoint now = Clock::now();
  Schedule(now + delay(), [this] { PauseServers(); });
  Schedule(now + delay(), [this] { PauseServers(); });
  Schedule(now + delay(), [this] { ConfigurationSeries(); });
  Schedule(now + delay(), [this] { ReloadSeries(); });
  if (mSeriesRandom() % 2 == 0) {
    Schedule(now + delay(), [this] { StopSeries(); });
  }
}

} // namespace magnoliatide::soak
