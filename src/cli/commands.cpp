// Dispatch of commands.
#include "magnoliatide/cli/commands.h"

#include "magnoliatide/core/fault.h"
#include "magnoliatide/document/settings.h"
#include "magnoliatide/node/vm.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "settings file of the VM (serve)");

namespace magnoliatide::cli {

namespace {

constexpr char kUsage[] =
  "magnoliatide COMMAND [FLAGS]\n"
  "  serve --settings FILE   serve requests until a termination signal\n"
  "  version                 print the version\n";

void
PrintFaults(const std::vector<Fault>& aFaults)
{
  for (const auto& fault : aFaults) {
    std::cerr << Describe(fault) << "\n";
  }
}

ExitCode
Serve()
{
  std::vector<Fault> faults;
  const auto settings = ValueOrFaults(
    []() -> leaf::result<document::Settings> {
      BOOST_LEAF_AUTO(text, document::ReadFile(FLAGS_settings));
      return document::ParseSettings(FLAGS_settings, text);
    },
    faults);
  if (!faults.empty()) {
    PrintFaults(faults);
    return ExitCode::kFaults;
  }
  telemetry::StartLog(settings.logLevel, settings.slot);
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  const auto vm = node::StartVm(settings);
  signals.async_wait([&](auto, int) { vm->BeginStop(); });
  std::thread waiter([&] { context.run(); });
  vm->Run();
  context.stop();
  waiter.join();
  return ExitCode::kDone;
}

} // namespace

ExitCode
RunCommand(int aCount, char** aWords)
{
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&aCount, &aWords, true);
  const std::string command = aCount > 1 ? aWords[1] : "";
  if (command == "serve") {
    return Serve();
  }
  if (command == "version") {
    std::cout << "magnoliatide " << MAGNOLIATIDE_VERSION << "\n";
    return ExitCode::kDone;
  }
  std::cerr << kUsage;
  return ExitCode::kUsage;
}

} // namespace magnoliatide::cli
