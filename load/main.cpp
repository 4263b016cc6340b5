// The magnoliatide-load program: experiments, latency and scale measurements.
#include "experiment.h"
#include "latency.h"
#include "report.h"
#include "scale.h"

#include "magnoliatide/document/ini.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of arrival times, lengths and prompts (run)");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_string(plot, "", "path of an SVG file to write a plot to (run)");
DEFINE_string(vms, "2,4,8,16", "comma-separated numbers of VMs (scale)");
DEFINE_string(teams, "5", "comma-separated numbers of teams (scale)");
DEFINE_string(engines,
              "12",
              "comma-separated numbers of engines in the document (scale)");
DEFINE_int32(pairs, 2000, "number of call pairs (latency)");
DEFINE_int32(connections, 64, "number of concurrent connections (latency)");
DEFINE_int32(trials,
             5,
             "number of document changes, and of VM kills, to time (scale)");

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

std::vector<int>
ParseNumbers(const std::string& aText)
{
  std::vector<int> numbers;
  for (const auto& item : document::SplitList(aText)) {
    numbers.push_back(std::atoi(item.c_str()));
  }
  return numbers;
}

std::string
ScratchFolder(const std::string& aName)
{
  return std::filesystem::temp_directory_path().string() + "/magnoliatide-" +
         aName + "-" + std::to_string(getpid());
}

int
Latency()
{
  PrintLatency(std::cout,
               MeasureLatency(BuildFolder(),
                              ScratchFolder("latency"),
                              FLAGS_pairs,
                              FLAGS_connections,
                              Seconds(5)));
  return 0;
}

int
Scale()
{
  ScaleOptions options;
  options.binaries = BuildFolder();
  options.folder = ScratchFolder("scale");
  options.trials = FLAGS_trials;
  std::vector<ScaleRow> rows;
  for (const int vms : ParseNumbers(FLAGS_vms)) {
    for (const int teams : ParseNumbers(FLAGS_teams)) {
      for (const int engines : ParseNumbers(FLAGS_engines)) {
        std::cerr << "measuring " << vms << " VMs, " << teams << " teams, "
                  << engines << " engines\n";
        rows.push_back(MeasureScale({ vms, teams, engines }, options));
      }
    }
  }
  PrintScale(std::cout, rows, FLAGS_json);
  return 0;
}

} // namespace
} // namespace magnoliatide::load

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage(
    "Usage:\nmagnoliatide-load run FILE [--seed N] [--json] [--plot FILE.svg]\n"
    "magnoliatide-load latency [--pairs N] [--connections N]\n"
    "magnoliatide-load scale [--vms N,N] [--teams N,N] [--engines N,N]");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const std::string command = aArgc > 1 ? aArgv[1] : "";
  try {
    if (command == "run" && aArgc == 3) {
      return magnoliatide::load::Run(aArgv[2]);
    }
    if (command == "latency" && aArgc == 2) {
      return magnoliatide::load::Latency();
    }
    if (command == "scale" && aArgc == 2) {
      return magnoliatide::load::Scale();
    }
  } catch (const std::exception& error) {
    std::cerr << "magnoliatide-load: " << error.what() << "\n";
    return 1;
  }
  std::cerr << gflags::ProgramUsage() << "\n";
  return 2;
}
