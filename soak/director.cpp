// Faults and planned work.
#include "director.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace magnoliatide::soak {

namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);

/// Until the platform kills a process that was told to stop.
constexpr Duration kGrace = Seconds(8);

/// For which a server serves on after its notice.
constexpr Duration kServesOn = Seconds(3);

constexpr Duration kStep = Milliseconds(10);

std::vector<tests::RouteText>
RoutesOf(std::uint64_t aVersion)
{
  std::vector<tests::RouteText> routes;
  for (const auto kind : { Kind::kQuote,
                           Kind::kLetter,
                           Kind::kDeposit,
                           Kind::kStock,
                           Kind::kProbe }) {
    const auto& facts = FactsOf(kind);
    tests::RouteText route;
    route.prefix = facts.prefix;
    if (kind == Kind::kProbe) {
      route.prefix += std::to_string(aVersion) + "/";
    }
    route.name = "route-" + std::to_string(static_cast<int>(kind));
    route.kind = facts.stream ? "stream"
                 : facts.once ? "non_idempotent"
                              : "idempotent";
    route.service = facts.stream ? "language" : "orders";
    route.resumable = facts.stream && !facts.once;
    route.attempts = facts.once ? 1 : kMostServers;
    route.tier = facts.stream ? 1 : 0;
    routes.push_back(route);
  }
  return routes;
}

std::vector<tests::TeamText>
TeamsOf(const Quota& aQuota)
{
  tests::TeamText bounded;
  bounded.name = aQuota.team;
  bounded.keys = { "key-of-" + aQuota.team };
  bounded.perSecond = aQuota.perSecond;
  bounded.burst = aQuota.burst;
  return { tests::TeamText(), bounded };
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
Director::At(TimePoint aTime, Act aAct)
{
  mPlan.emplace(aTime, std::move(aAct));
}

void
Director::Until(TimePoint aTime)
{
  ActOnWhatIsDue();
  while (Clock::now() < aTime) {
    std::this_thread::sleep_for(kStep);
    ActOnWhatIsDue();
  }
}

void
Director::ActOnWhatIsDue()
{
  while (!mPlan.empty() && mPlan.begin()->first <= Clock::now()) {
    const auto act = std::move(mPlan.begin()->second);
    mPlan.erase(mPlan.begin());
    act();
  }
}

void
Director::Run(int aFaults, Duration aTime)
{
  const TimePoint start = Clock::now();
  for (int i = 0; i < aFaults; ++i) {
    const auto millis = std::chrono::duration_cast<Milliseconds>(aTime).count();
    At(start + Time(0, static_cast<int>(millis)), [this] { Choose(); });
  }
  Until(start + aTime);
  while (!mPlan.empty()) {
    Until(mPlan.begin()->first + kStep);
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
Director::Note(const std::string& aWhat,
               const std::string& aHost,
               Duration aTime,
               bool aPlanned)
{
  const TimePoint now = Clock::now();
  mDisturbances.push_back({ now, now + aTime, aWhat, aHost, aPlanned });
}

void
Director::Choose()
{
  using Fault = void (Director::*)();
  constexpr Fault kFaults[] = {
    &Director::KillVm,      &Director::StopVm,    &Director::PauseVm,
    &Director::ReloadVm,    &Director::KillAll,   &Director::CrashServer,
    &Director::Retire,      &Director::Retire,    &Director::HarmAnswers,
    &Director::HarmAnswers, &Director::HarmStore, &Director::Compact,
    &Director::CutVm,       &Director::CutVm,     &Director::CutFromStore,
    &Director::CutServer,   &Director::Change,    &Director::Change,
    &Director::StopVm,
  };
  (this->*kFaults[Below(std::size(kFaults))])();
}

std::size_t
Director::Below(std::size_t aBound)
{
  return mRandom() % aBound;
}

Duration
Director::Time(int aLeastMillis, int aMostMillis)
{
  return Milliseconds(
    std::uniform_int_distribution<int>(aLeastMillis, aMostMillis)(mRandom));
}

load::Way
Director::BadWay()
{
  constexpr load::Way kWays[] = { load::Way::kSilent,
                                  load::Way::kReset,
                                  load::Way::kSlow };
  return kWays[Below(std::size(kWays))];
}

/// Returns a VM to which nothing is being done, or kNone.
std::size_t
Director::FreeVm()
{
  const auto vm = Below(mFleet.Vms().size());
  return mVmBusy[vm] > Clock::now() ? kNone : vm;
}

std::size_t
Director::FreeServer()
{
  const auto server = Below(mServerNames.size());
  return mServerBusy[server] > Clock::now() ? kNone : server;
}

void
Director::KillVm()
{
  const auto vm = FreeVm();
  if (vm == kNone) {
    return;
  }
  auto& process = mFleet.Vms()[vm].process;
  const Duration down = Time(200, 1500);
  Note("kill", mFleet.Vms()[vm].name, down);
  mVmBusy[vm] = Clock::now() + down;
  process.Signal(SIGKILL);
  process.Wait(Seconds(2));
  At(mVmBusy[vm], [this, vm] { mFleet.StartVm(vm); });
}

void
Director::KillAll()
{
  const Duration down = Time(200, 1000);
  for (const auto& [vm, busy] : mVmBusy) {
    if (busy > Clock::now()) {
      return;
    }
  }
  Note("kill", "", down);
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    mVmBusy[vm] = Clock::now() + down;
    mFleet.Vms()[vm].process.Signal(SIGKILL);
  }
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    mFleet.Vms()[vm].process.Wait(Seconds(2));
    At(mVmBusy[vm], [this, vm] { mFleet.StartVm(vm); });
  }
}

/// Tells a VM to stop, and starts it again when it has.
void
Director::StopVm()
{
  const auto vm = FreeVm();
  if (vm == kNone) {
    return;
  }
  Note("stop", mFleet.Vms()[vm].name, kGrace, true);
  mVmBusy[vm] = Clock::now() + kGrace;
  mFleet.Vms()[vm].process.Signal(SIGTERM);
  AwaitStopped(vm, Clock::now() + kGrace);
}

void
Director::AwaitStopped(std::size_t aVm, TimePoint aBound)
{
  auto& process = mFleet.Vms()[aVm].process;
  if (process.Running() && Clock::now() < aBound) {
    At(Clock::now() + kStep,
       [this, aVm, aBound] { AwaitStopped(aVm, aBound); });
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
  const auto vm = FreeVm();
  if (vm == kNone) {
    return;
  }
  const Duration time = Time(300, 4000);
  Note("pause", mFleet.Vms()[vm].name, time);
  mVmBusy[vm] = Clock::now() + time;
  mFleet.Vms()[vm].process.Signal(SIGSTOP);
  At(mVmBusy[vm], [this, vm] { mFleet.Vms()[vm].process.Signal(SIGCONT); });
}

void
Director::ReloadVm()
{
  const auto vm = FreeVm();
  if (vm != kNone) {
    mFleet.Vms()[vm].process.Signal(SIGHUP);
  }
}

/// Gives a server another life under a new id.
void
Director::Renew(std::size_t aServer)
{
  auto& server = *mFleet.Engines()[aServer];
  mFleet.Store().Remove("servers/" + server.Options().id);
  server.Restart(mServerNames[aServer] + "-life-" + std::to_string(++mLives));
  mFleet.Enter(server);
}

void
Director::CrashServer()
{
  const auto server = FreeServer();
  if (server == kNone) {
    return;
  }
  const Duration down = Time(300, 2000);
  Note("crash", mServerNames[server], down);
  mServerBusy[server] = Clock::now() + down;
  mFleet.Engines()[server]->Crash();
  At(mServerBusy[server], [this, server] { Renew(server); });
}

/// Lets a server leave as planned; another takes its address.
void
Director::Retire()
{
  const auto server = FreeServer();
  if (server == kNone) {
    return;
  }
  mFleet.Enter(*mFleet.Engines()[server], true);
  const TimePoint gone = Clock::now() + kServesOn;
  mNotices.push_back({ Clock::now(), mServerNames[server], gone });
  mServerBusy[server] = gone;
  At(gone, [this, server] {
    mFleet.Engines()[server]->Crash();
    Renew(server);
  });
}

void
Director::HarmAnswers()
{
  using standins::EngineFault;
  // The last three are of answers that are no streams.
  constexpr EngineFault kFaults[] = {
    EngineFault::kFailed,   EngineFault::kLost,  EngineFault::kCut,
    EngineFault::kGarbage,  EngineFault::kFull,  EngineFault::kSilent,
    EngineFault::kUnsigned, EngineFault::kExtra, EngineFault::kUnframed,
  };
  constexpr std::size_t kOfStreams = 6;
  const auto server = Below(mServerNames.size());
  const bool stream = mFleet.Engines()[server]->Options().stream;
  const auto fault = Below(stream ? kOfStreams : std::size(kFaults));
  Note("answers", mServerNames[server], Seconds(2));
  mFleet.Engines()[server]->SetFault(kFaults[fault],
                                     static_cast<int>(1 + Below(4)));
}

void
Director::HarmStore()
{
  using standins::StoreFault;
  constexpr StoreFault kFaults[] = { StoreFault::kSilent,
                                     StoreFault::kBusy,
                                     StoreFault::kMany,
                                     StoreFault::kReset };
  const Duration time = Time(300, 4000);
  Note("store", "store", time);
  mFleet.Store().SetFault(kFaults[Below(std::size(kFaults))]);
  At(Clock::now() + time,
     [this] { mFleet.Store().SetFault(standins::StoreFault::kNone); });
}

void
Director::Compact()
{
  Note("compact", "store", Duration::zero());
  mFleet.Store().Compact();
}

/// Cuts a VM from the other VMs, or from everything, one way or both.
void
Director::CutVm()
{
  const auto vm = Below(mFleet.Vms().size());
  const auto name = mFleet.Vms()[vm].name;
  const Duration time = Time(300, 4000);
  const auto way = BadWay();
  const bool forth = Below(3) != 0;
  const bool back = !forth || Below(2) == 0;
  Note("cut", name, time);
  const auto set = [this, name, forth, back](load::Way aWay) {
    if (forth) {
      mNetwork.SetWay(name, "*", aWay);
    }
    if (back) {
      mNetwork.SetWay("*", name, aWay);
    }
  };
  set(way);
  At(Clock::now() + time, [set] { set(load::Way::kPass); });
}

void
Director::CutFromStore()
{
  const auto name = mFleet.Vms()[Below(mFleet.Vms().size())].name;
  const Duration time = Time(300, 5000);
  const bool back = Below(2) == 0;
  const auto from = back ? std::string("store") : name;
  const auto to = back ? name : std::string("store");
  Note("cut from store", name, time);
  mNetwork.SetWay(from, to, BadWay());
  At(Clock::now() + time,
     [this, from, to] { mNetwork.SetWay(from, to, load::Way::kPass); });
}

void
Director::CutServer()
{
  const auto name = mServerNames[Below(mServerNames.size())];
  const Duration time = Time(300, 3000);
  Note("cut", name, time);
  mNetwork.SetWay("*", name, BadWay());
  At(Clock::now() + time,
     [this, name] { mNetwork.SetWay("*", name, load::Way::kPass); });
}

/// Publishes a configuration with a route of its own.
void
Director::Change()
{
  mVersions += 1;
  mFleet.Publish(RoutesOf(mVersions), TeamsOf(mQuota));
  mPublished.push_back({ Clock::now(), mVersions });
  mCallers.SetVersion(mVersions);
}

} // namespace magnoliatide::soak
