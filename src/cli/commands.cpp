// Table of commands, their help texts and dispatch, and the serve command.
#include "magnoliatide/cli/commands.h"

#include "document_commands.h"
#include "explain.h"
#include "fleet_commands.h"
#include "options.h"
#include "settings_overrides.h"

#include "magnoliatide/document/settings.h"
#include "magnoliatide/node/vm.h"
#include "magnoliatide/telemetry/crash_handler.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "path of the VM's settings file (serve)");
DEFINE_string(
  set,
  "",
  "settings in addition to the file: SECTION/KEY=VALUE,... (serve); "
  "those without a value are ignored");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_string(vms, "", "admin addresses of the VMs: IP:PORT,IP:PORT,...");
DEFINE_string(token_file,
              "",
              "path of the file that contains the operator token");
DEFINE_string(target,
              "production",
              "environment to promote the document to (promote)");
DEFINE_uint64(generation, 0, "generation of the promoted document (promote)");

namespace magnoliatide::cli {

namespace {

using Arguments = std::vector<std::string>;

/// A command of the program and its help text.
struct Command
{
  const char* name;
  const char* arguments; ///< Arguments and flags, as shown in the usage line.
  const char* summary;   ///< One line without a full stop.
  const char* details;
  const char* example;
  std::size_t minArguments;
  std::size_t maxArguments;
  ExitCode (*run)(const Arguments&);
};

/// Environment variable with the path of the settings file, used if --settings
/// is not given.
constexpr char kSettingsVariable[] = "MAGNOLIATIDE_CONFIG";

std::string
SettingsPath()
{
  const char* path = std::getenv(kSettingsVariable);
  return FLAGS_settings.empty() && path != nullptr ? path : FLAGS_settings;
}

std::unique_ptr<node::Vm>
StartVmForPlatform(const document::Settings& aSettings)
{
  return aSettings.platformKind == "metadata-store"
           ? node::StartMetadataStoreVm(aSettings)
           : node::StartRegistryVm(aSettings);
}

document::Settings
ReadSettings(const std::string& aPath, std::vector<Fault>& aFaults)
{
  return ValueOrFaults(
    [&aPath]() -> leaf::result<document::Settings> {
      BOOST_LEAF_AUTO(text, document::ReadFile(aPath));
      return document::ParseSettings(aPath, AddSettings(text, FLAGS_set));
    },
    aFaults);
}

/// Whether SIGHUP has arrived before a SignalMonitor handles it.
volatile std::sig_atomic_t sEarlyReload = 0;

/// Keeps SIGHUP from ending the process while it starts.
void
CatchEarlyReload()
{
  std::signal(SIGHUP, [](int) { sEarlyReload = 1; });
}

/// Stops a VM on SIGINT or SIGTERM, and reloads its settings on SIGHUP or when
/// polling finds that the settings file has changed.
class SignalMonitor
{
public:
  SignalMonitor(node::Vm& aVm, std::string aPath)
    : mVm(aVm)
    , mPath(std::move(aPath))
    , mLastText(ReadText())
    , mStopSignals(mContext, SIGINT, SIGTERM)
    , mReloadSignals(mContext, SIGHUP)
    , mPollTimer(mContext)
  {
    mStopSignals.async_wait([this](auto, int) { mVm.BeginStop(); });
    WaitForReloadSignal();
    PollFile();
    if (sEarlyReload != 0) {
      boost::asio::post(mContext, [this] { Reload("signal"); });
    }
    mThread = std::thread([this] { mContext.run(); });
  }

  ~SignalMonitor()
  {
    mContext.stop();
    mThread.join();
  }

  SignalMonitor(const SignalMonitor&) = delete;
  SignalMonitor& operator=(const SignalMonitor&) = delete;

private:
  static constexpr Duration kPollPeriod = Seconds(1);

  std::string ReadText() const
  {
    std::vector<Fault> faults;
    return ValueOrFaults([this] { return document::ReadFile(mPath); }, faults);
  }

  void WaitForReloadSignal()
  {
    mReloadSignals.async_wait([this](const auto& aError, int) {
      if (!aError) {
        Reload("signal");
        WaitForReloadSignal();
      }
    });
  }

  void PollFile()
  {
    mPollTimer.expires_after(kPollPeriod);
    mPollTimer.async_wait([this](const auto& aError) {
      if (aError) {
        return;
      }
      auto text = ReadText();
      if (text != mLastText && !text.empty()) {
        Reload("changed file");
      }
      PollFile();
    });
  }

  void Reload(const std::string& aCause)
  {
    mLastText = ReadText();
    std::vector<Fault> faults;
    const auto settings = ReadSettings(mPath, faults);
    for (const auto& fault : faults) {
      telemetry::LogError("settings-refused", { { "fault", Describe(fault) } });
    }
    if (faults.empty()) {
      mVm.Reload(settings, aCause);
    }
  }

  node::Vm& mVm;
  std::string mPath;
  std::string mLastText; ///< Contents of the settings file when last read.
  boost::asio::io_context mContext;
  boost::asio::signal_set mStopSignals;
  boost::asio::signal_set mReloadSignals;
  boost::asio::steady_timer mPollTimer;
  std::thread mThread;
};

ExitCode
Serve(const Arguments&)
{
  CatchEarlyReload();
  std::vector<Fault> faults;
  const auto path = SettingsPath();
  const auto settings = ReadSettings(path, faults);
  if (!faults.empty()) {
    PrintFaults(faults, FLAGS_json);
    return ExitCode::kFaults;
  }
  telemetry::StartLog(settings.logLevel, settings.slot);
  telemetry::InstallCrashHandler();
  const auto vm = StartVmForPlatform(settings);
  const SignalMonitor monitor(*vm, path);
  vm->Run();
  // Exits without running destructors, so that the VM can be restarted at once.
  // The process holds nothing that outlives it, and the operating system closes
  // what is still open.
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(static_cast<int>(ExitCode::kSuccess));
}

ExitCode
Version(const Arguments&)
{
  std::cout << "magnoliatide " << MAGNOLIATIDE_VERSION << "\n";
  return ExitCode::kSuccess;
}

FleetOptions
FleetOptionsFromFlags()
{
  return { FLAGS_vms, FLAGS_token_file, FLAGS_json };
}

ExitCode
Check(const Arguments& aFiles)
{
  return CheckDocuments(aFiles, FLAGS_json);
}

ExitCode
Diff(const Arguments& aFiles)
{
  return DiffDocuments(aFiles[0], aFiles[1], FLAGS_json);
}

ExitCode
Promote(const Arguments& aFiles)
{
  return PromoteDocument(
    aFiles[0], FLAGS_target, FLAGS_generation, FleetOptionsFromFlags());
}

ExitCode
Status(const Arguments&)
{
  return ShowStatus(FleetOptionsFromFlags());
}

ExitCode
Audit(const Arguments&)
{
  return ShowAudit(FleetOptionsFromFlags());
}

ExitCode
CheckSettings(const Arguments& aFiles)
{
  std::vector<Fault> faults;
  for (const auto& path : aFiles) {
    ReadSettings(path, faults);
  }
  if (!faults.empty()) {
    PrintFaults(faults, FLAGS_json);
    return ExitCode::kFaults;
  }
  std::cout << aFiles.size() << " settings file(s) valid\n";
  return ExitCode::kSuccess;
}

ExitCode
Explain(const Arguments& aArguments)
{
  return ExplainRequest(aArguments[0],
                        Arguments(aArguments.begin() + 1, aArguments.end()),
                        FLAGS_json);
}

ExitCode
Help(const Arguments& aArguments);

constexpr std::size_t kMaxArguments = 1000;

constexpr Command kCommands[] = {
  { "serve",
    "--settings FILE [--set SECTION/KEY=VALUE,...]",
    "Run a VM until it receives SIGINT or SIGTERM",
    "If --settings is not given, MAGNOLIATIDE_CONFIG names the settings "
    "file.\n"
    "SIGINT and SIGTERM start a planned stop. The settings are reloaded on "
    "SIGHUP\n"
    "and when the file changes.",
    "magnoliatide serve --settings /etc/magnoliatide/vm.ini",
    0,
    0,
    Serve },
  { "check",
    "FILE...",
    "Validate configuration documents",
    "Prints each error with its line and a remedy, as JSON with --json.",
    "magnoliatide check trial.ini production.ini",
    1,
    kMaxArguments,
    Check },
  { "check-settings",
    "FILE...",
    "Validate settings files",
    "Prints each error with its line and a remedy, as JSON with --json.",
    "magnoliatide check-settings /etc/magnoliatide/vm.ini",
    1,
    kMaxArguments,
    CheckSettings },
  { "diff",
    "FROM TO",
    "Show the differences between two documents",
    "Compares the parsed configuration, not lines of text.\n"
    "Prints JSON with --json.",
    "magnoliatide diff active.ini trial.ini",
    2,
    2,
    Diff },
  { "promote",
    "TRIAL --target ENVIRONMENT --generation N --vms ADDRESSES --token_file "
    "FILE",
    "Print a trial document converted for another environment",
    "Fails unless TRIAL is the active document on every VM in --vms.",
    "magnoliatide promote trial.ini --target production --generation 12 \\\n"
    "    --vms 10.0.0.1:8500,10.0.0.2:8500 --token_file token",
    1,
    1,
    Promote },
  { "status",
    "--vms ADDRESSES --token_file FILE",
    "Show the active document and state of each VM",
    "ADDRESSES is a comma-separated list of admin addresses.\n"
    "Prints JSON with --json.",
    "magnoliatide status --vms 10.0.0.1:8500 --token_file token",
    0,
    0,
    Status },
  { "audit",
    "--vms ADDRESSES --token_file FILE",
    "Show the audit trails of the VMs, merged by time",
    "Reports trails in which a record is missing or was changed.\n"
    "Prints JSON with --json.",
    "magnoliatide audit --vms 10.0.0.1:8500 --token_file token",
    0,
    0,
    Audit },
  { "explain",
    "ID [FILE...]",
    "Show from the logs what happened to a request",
    "Reads VM logs from the files, or from standard input if none is given. "
    "Prints\n"
    "each step of the request in order with the reason for it, and changes of\n"
    "servers, configuration and VM state near that time. Prints JSON with "
    "--json.",
    "magnoliatide explain 9c41d07be2a35f68 vm-*.log",
    1,
    kMaxArguments,
    Explain },
  { "help",
    "[COMMAND]",
    "List the commands, or describe one command",
    "Equivalent to: magnoliatide COMMAND --help",
    "magnoliatide help explain",
    0,
    1,
    Help },
  { "version",
    "",
    "Print the version",
    "",
    "magnoliatide version",
    0,
    0,
    Version },
};

const Command*
FindCommand(const std::string& aName)
{
  for (const auto& command : kCommands) {
    if (aName == command.name) {
      return &command;
    }
  }
  return nullptr;
}

/// Returns the Levenshtein distance between two strings.
std::size_t
EditDistance(const std::string& aFrom, const std::string& aTo)
{
  std::vector<std::size_t> costs(aTo.size() + 1);
  std::iota(costs.begin(), costs.end(), std::size_t{ 0 });
  for (std::size_t i = 1; i <= aFrom.size(); ++i) {
    std::size_t diagonal = costs[0];
    costs[0] = i;
    for (std::size_t j = 1; j <= aTo.size(); ++j) {
      const std::size_t substituted =
        diagonal + (aFrom[i - 1] == aTo[j - 1] ? 0 : 1);
      diagonal = costs[j];
      costs[j] = std::min({ substituted, costs[j] + 1, costs[j - 1] + 1 });
    }
  }
  return costs.back();
}

const Command&
NearestCommand(const std::string& aName)
{
  return *std::min_element(std::begin(kCommands),
                           std::end(kCommands),
                           [&](const auto& aL, const auto& aR) {
                             return EditDistance(aName, aL.name) <
                                    EditDistance(aName, aR.name);
                           });
}

void
PrintCommands(std::ostream& aOut)
{
  constexpr int kNameWidth = 16;
  aOut << "Usage: magnoliatide COMMAND [FLAGS]\n\nCommands:\n";
  for (const auto& command : kCommands) {
    aOut << "  " << std::left << std::setw(kNameWidth) << command.name
         << command.summary << "\n";
  }
  aOut << "\nRun 'magnoliatide help COMMAND' for details of a command.\n";
}

void
PrintCommand(std::ostream& aOut, const Command& aCommand)
{
  aOut << "Usage: magnoliatide " << aCommand.name << " " << aCommand.arguments
       << "\n\n"
       << aCommand.summary << ".\n"
       << aCommand.details << (*aCommand.details != '\0' ? "\n" : "")
       << "\nExample:\n  " << aCommand.example
       << "\n\nExit codes: 0 success, 1 invalid file, 2 invalid command line,\n"
          "3 a VM did not answer, 4 refused or not found.\n";
}

ExitCode
ReportUnknownCommand(const std::string& aName)
{
  if (aName.empty()) {
    PrintCommands(std::cerr);
  } else {
    std::cerr << "magnoliatide: unknown command \"" << aName
              << "\"; did you mean \"" << NearestCommand(aName).name << "\"?\n";
  }
  return ExitCode::kUsage;
}

ExitCode
Help(const Arguments& aArguments)
{
  if (aArguments.empty()) {
    PrintCommands(std::cout);
    return ExitCode::kSuccess;
  }
  const auto* command = FindCommand(aArguments[0]);
  if (command == nullptr) {
    return ReportUnknownCommand(aArguments[0]);
  }
  PrintCommand(std::cout, *command);
  return ExitCode::kSuccess;
}

/// Returns whether the command line contains a help flag. These are handled
/// here because gflags would print its own flags too.
bool
HasHelpFlag(int aArgc, char** aArgv)
{
  return std::any_of(aArgv + 1, aArgv + aArgc, [](const char* aArgument) {
    const std::string argument = aArgument;
    return argument == "--help" || argument == "-help" || argument == "-h";
  });
}

} // namespace

ExitCode
RunCommand(int aArgc, char** aArgv)
{
  if (aArgc > 1 && HasHelpFlag(aArgc, aArgv)) {
    const std::string first = aArgv[1];
    return Help(first.starts_with('-') ? Arguments{} : Arguments{ first });
  }
  gflags::SetVersionString(MAGNOLIATIDE_VERSION);
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const std::string name = aArgc > 1 ? aArgv[1] : "";
  Arguments args;
  for (int i = 2; i < aArgc; ++i) {
    args.push_back(aArgv[i]);
  }
  const auto* command = FindCommand(name);
  if (command == nullptr) {
    return ReportUnknownCommand(name);
  }
  if (args.size() < command->minArguments ||
      args.size() > command->maxArguments) {
    PrintCommand(std::cerr, *command);
    return ExitCode::kUsage;
  }
  return command->run(args);
}

} // namespace magnoliatide::cli
