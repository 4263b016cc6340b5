// The load and experiment program.
#include "experiment.h"
#include "report.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "fixes arrivals, lengths and prompts");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_string(plot, "", "write a plot to this SVG file");

namespace magnoliatide::load {
namespace {

int
Run(const std::string& aPath)
{
  std::vector<Fault> faults;
  const auto experiment =
    ValueOrFaults([&] { return ReadExperiment(aPath); }, faults);
  for (const auto& fault : faults) {
    std::cerr << Describe(fault) << "\n";
  }
  if (!faults.empty()) {
    return 2;
  }
  const auto sets = RunExperiment(experiment, FLAGS_seed);
  if (FLAGS_json) {
    PrintJson(std::cout, sets);
  } else {
    PrintTable(std::cout, sets);
  }
  if (!FLAGS_plot.empty()) {
    WritePlot(FLAGS_plot, sets);
  }
  bool passed = true;
  for (const auto& set : sets) {
    passed = passed && set.findings.Passed();
  }
  return passed ? 0 : 1;
}

} // namespace
} // namespace magnoliatide::load

int
main(int aCount, char** aWords)
{
  gflags::SetUsageMessage("magnoliatide-load run FILE [--seed N] [--json] "
                          "[--plot FILE.svg]");
  gflags::ParseCommandLineFlags(&aCount, &aWords, true);
  if (aCount != 3 || std::string(aWords[1]) != "run") {
    std::cerr << gflags::ProgramUsage() << "\n";
    return 2;
  }
  try {
    return magnoliatide::load::Run(aWords[2]);
  } catch (const std::exception& error) {
    std::cerr << "magnoliatide-load: " << error.what() << "\n";
    return 1;
  }
}
