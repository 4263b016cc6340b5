// Parser of experiment files, fault actions and execution of experiments.
#include "experiment.h"

#include "magnoliatide/document/ini.h"
#include "magnoliatide/document/settings.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>

namespace magnoliatide::load {

namespace {

/// The [experiment] section.
struct Header
{
  std::string name;
  std::string base;
  std::vector<std::string> zones;
  std::vector<std::string> loads = { "1" };
  int vms = 3;
  int threads = 1;
};

const document::Field<Header> kHeaderFields[] = {
  { "name", &Header::name, true },
  { "base", &Header::base, true },
  { "zones", &Header::zones, true },
  { "vms", &Header::vms, false, 1, 64 },
  { "threads", &Header::threads, false, 1, 8 },
  { "loads", &Header::loads },
};

const document::Field<BackendGroup> kGroupFields[] = {
  { "service", &BackendGroup::service, true },
  { "plain", &BackendGroup::plain },
  { "count", &BackendGroup::count, false, 1, 700 },
  { "prefill-rate", &BackendGroup::prefillRate, false, 1, 1e7 },
  { "token-time", &BackendGroup::tokenTime, false, 0.0001, 10 },
  { "batch", &BackendGroup::batch, false, 1, 1024 },
  { "slots", &BackendGroup::slots, false, 1, 1024 },
  { "max-slots", &BackendGroup::maxSlots, false, 1, 4096 },
  { "models", &BackendGroup::models },
  { "delay", &BackendGroup::delay, false, 0, 60 },
  { "checks-fencing", &BackendGroup::checksFencing },
};

const document::Field<Traffic> kTrafficFields[] = {
  { "kind", &Traffic::kind, true },
  { "team", &Traffic::team, true },
  { "tier", &Traffic::tier, false, 0, 15 },
  { "model", &Traffic::model },
  { "service", &Traffic::service },
  { "method", &Traffic::method },
  { "path", &Traffic::path },
  { "keyed", &Traffic::keyed },
  { "sends", &Traffic::sends, false, 1, 16 },
  { "rate", &Traffic::rate, false, 0, 20000 },
  { "least-prompt", &Traffic::minPromptTokens, false, 1, 100000 },
  { "most-prompt", &Traffic::maxPromptTokens, false, 1, 100000 },
  { "least-output", &Traffic::minOutputTokens, false, 1, 10000 },
  { "most-output", &Traffic::maxOutputTokens, false, 1, 10000 },
  { "stream", &Traffic::stream },
  { "deadline", &Traffic::deadline, false, 0.05, 600 },
  { "begin", &Traffic::begin, false, 0, 600 },
  { "length", &Traffic::length, false, 0.1, 600 },
  { "prompt-text", &Traffic::promptText },
  { "vm", &Traffic::vm, false, 0, 1000 },
};

const document::Field<FaultStep> kFaultFields[] = {
  { "at", &FaultStep::at, true, 0, 600 },
  { "action", &FaultStep::action, true },
  { "target", &FaultStep::target, false, 0, 1000 },
  { "query", &FaultStep::query },
};

const document::Field<Variant> kVariantFields[] = {
  { "policy", &Variant::policy, true },
};

template<typename T, std::size_t N>
T
Bind(const document::IniText& aIni,
     const document::IniSection& aSection,
     const document::Field<T> (&aFields)[N],
     std::vector<Fault>& aFaults)
{
  T value;
  document::BindSection(aIni.source, aSection, aFields, value, aFaults);
  return value;
}

void
ReadHeader(const Header& aHeader, Experiment& aOut)
{
  aOut.name = aHeader.name;
  aOut.fleet.zones = aHeader.zones;
  aOut.fleet.vms = aHeader.vms;
  aOut.fleet.threads = aHeader.threads;
  aOut.loads.clear();
  for (const auto& load : aHeader.loads) {
    aOut.loads.push_back(std::atof(load.c_str()));
  }
}

std::string
JoinLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const auto& line : aLines) {
    text += line + "\n";
  }
  return text;
}

/// Runs the fault steps of an experiment at their times.
class FaultInjector
{
public:
  FaultInjector(Fleet& aFleet, RunLog& aLog)
    : mFleet(aFleet)
    , mLog(aLog)
  {
  }

  void Apply(const std::vector<FaultStep>& aSteps, TimePoint aStart)
  {
    for (const auto& step : aSteps) {
      std::this_thread::sleep_until(aStart + step.at);
      Apply(step);
    }
  }

  /// Returns false once a backend server was killed, because runs after the
  /// last Collect() are lost with it.
  bool IsLogComplete() const { return mLogComplete; }

private:
  struct Action
  {
    const char* name;
    void (FaultInjector::*run)(const FaultStep&);
  };

  void Apply(const FaultStep& aStep)
  {
    static constexpr Action kActions[] = {
      { "kill-vm", &FaultInjector::KillVm },
      { "start-vm", &FaultInjector::StartVm },
      { "pause-vm", &FaultInjector::PauseVm },
      { "resume-vm", &FaultInjector::ResumeVm },
      { "stop-vm", &FaultInjector::StopVm },
      { "kill-backend", &FaultInjector::KillBackend },
      { "start-backend", &FaultInjector::StartBackend },
      { "faults", &FaultInjector::SetFaults },
      { "leaving", &FaultInjector::MarkLeaving },
      { "publish", &FaultInjector::Publish },
      { "platform", &FaultInjector::SetPlatform },
    };
    for (const auto& action : kActions) {
      if (aStep.action == action.name) {
        (this->*action.run)(aStep);
      }
    }
  }

  Member& Vm(const FaultStep& aStep)
  {
    return mFleet.Vms().at(static_cast<std::size_t>(aStep.target));
  }

  Member& Backend(const FaultStep& aStep)
  {
    return mFleet.Backends().at(static_cast<std::size_t>(aStep.target));
  }

  void KillVm(const FaultStep& aStep) { Vm(aStep).process.Signal(SIGKILL); }
  void StopVm(const FaultStep& aStep) { Vm(aStep).process.Signal(SIGTERM); }
  void PauseVm(const FaultStep& aStep) { Vm(aStep).process.Signal(SIGSTOP); }
  void ResumeVm(const FaultStep& aStep) { Vm(aStep).process.Signal(SIGCONT); }

  void StartVm(const FaultStep& aStep)
  {
    Vm(aStep).process.Wait(Seconds(10));
    mFleet.StartVm(static_cast<std::size_t>(aStep.target));
  }

  void KillBackend(const FaultStep& aStep)
  {
    mLog.Collect(mFleet, static_cast<std::size_t>(aStep.target));
    mLogComplete = false;
    Backend(aStep).process.Signal(SIGKILL);
  }

  void StartBackend(const FaultStep& aStep)
  {
    Backend(aStep).process.Wait(Seconds(10));
    mFleet.StartBackend(static_cast<std::size_t>(aStep.target));
  }

  void SetFaults(const FaultStep& aStep)
  {
    mFleet.SetFaults(Backend(aStep).address, aStep.query);
  }

  void MarkLeaving(const FaultStep& aStep)
  {
    mFleet.PublishVmList({ Backend(aStep).name });
  }

  void Publish(const FaultStep& aStep)
  {
    mFleet.Publish(++mGeneration, aStep.query);
  }

  void SetPlatform(const FaultStep& aStep)
  {
    mFleet.SetFaults(mFleet.Platform().address, aStep.query);
  }

  Fleet& mFleet;
  RunLog& mLog;
  std::uint64_t mGeneration = 1;
  bool mLogComplete = true;
};

/// Returns traffic with the rates of calls without a key multiplied.
std::vector<Traffic>
ScaleRates(std::vector<Traffic> aTraffic, double aLoad)
{
  for (auto& traffic : aTraffic) {
    traffic.rate *= traffic.keyed ? 1 : aLoad;
  }
  return aTraffic;
}

/// Returns the sum of all series whose name begins with aName, over all VMs.
double
SumMetric(Fleet& aFleet, const std::string& aName)
{
  double sum = 0;
  for (auto& vm : aFleet.Vms()) {
    const auto result = aFleet.Get(vm.admin, "/metrics");
    std::istringstream lines(result.response.body);
    std::string name;
    double value = 0;
    while (lines >> name >> value) {
      sum += name.starts_with(aName) ? value : 0;
    }
  }
  return sum;
}

RunResultSet
RunOnce(const Experiment& aExperiment,
        const Variant& aVariant,
        double aLoad,
        std::uint64_t aSeed)
{
  FleetOptions options = aExperiment.fleet;
  options.binaries = BuildFolder();
  options.folder = std::filesystem::temp_directory_path().string() +
                   "/magnoliatide-" + aExperiment.name + "-" +
                   std::to_string(getpid());
  options.policyLines = JoinLines(aVariant.policy);
  Fleet fleet(options);
  RunResultSet set;
  set.variant = aVariant.name;
  set.load = aLoad;
  if (!fleet.Start()) {
    throw std::runtime_error(
      "the fleet was not ready in time; see the logs in " + options.folder);
  }
  RunLog log;
  FaultInjector injector(fleet, log);
  set.records = SendAll(
    fleet,
    ScaleRates(aExperiment.traffic, aLoad),
    aSeed,
    [&](TimePoint aStart) { injector.Apply(aExperiment.faults, aStart); });
  log.CollectAll(fleet);
  CheckOptions check;
  check.completeLog = injector.IsLogComplete();
  set.findings = Check(set.records, log, check);
  set.prefilledTokens = SumMetric(fleet, "magnoliatide_prefill_tokens_total");
  set.wastedTokens =
    SumMetric(fleet, "magnoliatide_wasted_prefill_tokens_total");
  return set;
}

} // namespace

std::string
BuildFolder()
{
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path().string();
}

leaf::result<Experiment>
ReadExperiment(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, document::ReadFile(aPath));
  BOOST_LEAF_AUTO(ini, document::ReadIni(aPath, text));
  Experiment experiment;
  std::vector<Fault> faults;
  std::string base;
  for (const auto& section : ini.sections) {
    if (section.type == "experiment") {
      const auto header = Bind(ini, section, kHeaderFields, faults);
      ReadHeader(header, experiment);
      base = header.base;
    } else if (section.type == "backends") {
      auto group = Bind(ini, section, kGroupFields, faults);
      group.name = section.name;
      experiment.fleet.groups.push_back(group);
    } else if (section.type == "traffic") {
      auto traffic = Bind(ini, section, kTrafficFields, faults);
      traffic.name = section.name;
      experiment.traffic.push_back(traffic);
    } else if (section.type == "fault") {
      experiment.faults.push_back(Bind(ini, section, kFaultFields, faults));
    } else if (section.type == "variant") {
      auto variant = Bind(ini, section, kVariantFields, faults);
      variant.name = section.name;
      experiment.variants.push_back(variant);
    }
  }
  if (!faults.empty()) {
    return leaf::new_error(FaultList{ std::move(faults) });
  }
  const auto folder = std::filesystem::path(aPath).parent_path();
  BOOST_LEAF_ASSIGN(experiment.fleet.base,
                    document::ReadFile((folder / base).string()));
  if (experiment.variants.empty()) {
    experiment.variants.push_back({});
  }
  return experiment;
}

std::vector<RunResultSet>
RunExperiment(const Experiment& aExperiment, std::uint64_t aSeed)
{
  std::vector<RunResultSet> sets;
  for (const double load : aExperiment.loads) {
    for (const auto& variant : aExperiment.variants) {
      std::cerr << "running " << variant.name << " at load " << load << "\n";
      sets.push_back(RunOnce(aExperiment, variant, load, aSeed));
    }
  }
  return sets;
}

} // namespace magnoliatide::load
