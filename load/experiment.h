// Experiments, defined by INI files that describe a fleet, traffic and faults.
#ifndef MAGNOLIATIDE_LOAD_EXPERIMENT_H
#define MAGNOLIATIDE_LOAD_EXPERIMENT_H

#include "callers.h"
#include "checker.h"
#include "fleet.h"

#include <string>
#include <vector>

namespace magnoliatide::load {

/// An action taken while traffic is sent, for example a fault or its end.
struct FaultStep
{
  Duration at{}; ///< Offset from the start of the traffic.
  /// kill-vm, start-vm, pause-vm, resume-vm, stop-vm, kill-backend,
  /// start-backend, faults, leaving, publish or platform.
  std::string action;
  int target = 0; ///< Zero-based index of the VM or backend server.
  /// For faults and platform: the query of Fleet::SetFaults(). For publish:
  /// lines to add to the document.
  std::string query;
};

/// A VM configuration to compare with others on the same traffic.
struct Variant
{
  std::string name = "product";
  std::vector<std::string> policy; ///< Lines of the [policy] section.
};

/// The content of an experiment file.
struct Experiment
{
  std::string name;
  FleetOptions fleet;
  std::vector<Traffic> traffic;
  std::vector<FaultStep> faults;
  std::vector<Variant> variants;
  /// Factors applied to the rates of calls without a key.
  std::vector<double> loads = { 1 };
};

/// Results of one variant at one load. The token counts are sums over the VMs.
struct RunResultSet
{
  std::string variant;
  double load = 1; ///< Factor on the rates.
  std::vector<Record> records;
  Findings findings;
  double prefilledTokens = 0;
  double wastedTokens = 0;
};

/// Returns the build folder of this program, which also holds the other
/// programs.
std::string
BuildFolder();

/// Reads an experiment file and the document base that it names, in the same
/// folder. Fails with the faults of the sections, or if a file is unreadable.
leaf::result<Experiment>
ReadExperiment(const std::string& aPath);

/// Runs every variant at every load, each with a new fleet. Throws
/// std::runtime_error if a fleet does not become ready.
std::vector<RunResultSet>
RunExperiment(const Experiment& aExperiment, std::uint64_t aSeed);

} // namespace magnoliatide::load

#endif
