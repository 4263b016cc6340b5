// Experiments: INI files that describe a fleet, its traffic and its faults.
#ifndef MAGNOLIATIDE_LOAD_EXPERIMENT_H
#define MAGNOLIATIDE_LOAD_EXPERIMENT_H

#include "callers.h"
#include "checker.h"
#include "fleet.h"

#include <string>
#include <vector>

namespace magnoliatide::load {

/// One change while the traffic flows.
struct FaultStep
{
  Duration at{};
  /// kill-vm, start-vm, pause-vm, resume-vm, stop-vm, kill-backend,
  /// start-backend, faults, leaving, publish or platform.
  std::string action;
  int target = 0;    ///< Index of the VM or backend server, from 0.
  std::string query; ///< Faults to set, or lines to add to the document.
};

/// A way to configure the VMs, compared with others on the same traffic.
struct Variant
{
  std::string name = "product";
  std::vector<std::string> policy; ///< Lines for [policy].
};

struct Experiment
{
  std::string name;
  FleetOptions fleet;
  std::vector<Traffic> traffic;
  std::vector<FaultStep> faults;
  std::vector<Variant> variants;
  std::vector<double> loads = { 1 }; ///< Factors on the rates that scale.
};

/// What one variant did at one load.
struct RunResultSet
{
  std::string variant;
  double load = 1;
  std::vector<Record> records;
  Findings findings;
  double prefilledTokens = 0;
  double wastedTokens = 0;
};

/// Returns the folder of this program's build, where the others are.
std::string
BuildFolder();

/// Reads an experiment.
leaf::result<Experiment>
ReadExperiment(const std::string& aPath);

/// Runs every variant at every load.
std::vector<RunResultSet>
RunExperiment(const Experiment& aExperiment, std::uint64_t aSeed);

} // namespace magnoliatide::load

#endif
