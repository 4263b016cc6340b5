// Fault injection and planned changes.
#include "director.h"

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

std::vector<tests::RouteConfig>
RoutesOf(std::uint64_t aVersion)
{
  std::vector<tests::RouteConfig> routes;
  for (const auto kind : { Kind::kQuote,
                           Kind::kLetter,
                           Kind::kDeposit,
                           Kind::kStock,
                           Kind::kProbe }) {
    const auto& traits = TraitsOf(kind);
    tests::RouteConfig route;
    route.prefix = traits.prefix;
    if (kind == Kind::kProbe) {
      route.prefix += std::to_string(aVersion) + "/";
    }
    route.name = "route-" + std::to_string(static_cast<int>(kind));
    route.kind = traits.stream ? "stream"
                 : traits.once ? "non_idempotent"
                               : "idempotent";
    route.service = traits.stream ? "language" : "orders";
    route.resumable = traits.stream && !traits.once;
    route.attempts = traits.once ? 1 : kMaxServers;
    route.tier = traits.stream ? 1 : 0;
    routes.push_back(route);
  }
  return routes;
}

std::vector<tests::TeamConfig>
TeamsOf(const Quota& aQuota)
{
  tests::TeamConfig limited;
  limited.name = aQuota.team;
  limited.keys = { "key-of-" + aQuota.team };
  limited.perSecond = aQuota.perSecond;
  limited.burst = aQuota.burst;
  return { tests::TeamConfig(), limited };
}

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
{
  for (const auto& server : aFleet.Engines()) {
    mServerNames.push_back(server->Options().id);
  }
  mCallers.SetVersion(mVersions);
}

std::uint64_t
Director::PublishFirst(tests::PlatformFleet& aFleet, const Quota& aQuota)
{
  aFleet.Publish(RoutesOf(1), TeamsOf(aQuota));
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
Director::Run(int aFaults, Duration aTime)
{
  const TimePoint start = Clock::now();
  for (int i = 0; i < aFaults; ++i) {
    const auto millis = std::chrono::duration_cast<Milliseconds>(aTime).count();
    Schedule(start + RandomTime(0, static_cast<int>(millis)),
             [this] { InjectRandomFault(); });
  }
  RunUntil(start + aTime);
  while (!mSchedule.empty()) {
    RunUntil(mSchedule.begin()->first + kPollInterval);
  }
}

void
Director::AddTo(History& aHistory) const
{
  aHistory.disturbances = mDisturbances;
  aHistory.published = mPublished;
  aHistory.notices = mNotices;
  for (std::size_t i = 0; i < mServerNames.size(); ++i) {
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
    &Director::StopVm,
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
    &Director::StopVm,
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
  return Milliseconds(
    std::uniform_int_distribution<int>(aMinMillis, aMaxMillis)(mRandom));
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
  Schedule(mVmBusy[vm], [this, vm] { mFleet.StartVm(vm); });
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
    Schedule(mVmBusy[vm], [this, vm] { mFleet.StartVm(vm); });
  }
}

/// Stops a VM with SIGTERM and restarts it once it has ended.
void
Director::StopVm()
{
  const auto vm = RandomIdleVm();
  if (vm == kNone) {
    return;
  }
  RecordDisturbance("stop", mFleet.Vms()[vm].name, kStopTimeout, true);
  mVmBusy[vm] = Clock::now() + kStopTimeout;
  mFleet.Vms()[vm].process.Signal(SIGTERM);
  RestartWhenStopped(vm, Clock::now() + kStopTimeout);
}

void
Director::RestartWhenStopped(std::size_t aVm, TimePoint aDeadline)
{
  auto& process = mFleet.Vms()[aVm].process;
  if (process.Running() && Clock::now() < aDeadline) {
    Schedule(Clock::now() + kPollInterval,
             [this, aVm, aDeadline] { RestartWhenStopped(aVm, aDeadline); });
    return;
  }
  process.Signal(SIGKILL);
  process.Wait(Seconds(2));
  mVmBusy[aVm] = Clock::now();
  mFleet.StartVm(aVm);
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
  mFleet.Engines()[server]->Crash();
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
    mFleet.Engines()[server]->Crash();
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

/// Publishes a configuration with a probe route of its own.
void
Director::PublishChange()
{
  mVersions += 1;
  mFleet.Publish(RoutesOf(mVersions), TeamsOf(mQuota));
  mPublished.push_back({ Clock::now(), mVersions });
  mCallers.SetVersion(mVersions);
}

} // namespace magnoliatide::soak
