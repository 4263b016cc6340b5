// Command line interface of the magnoliatide program.
#ifndef MAGNOLIATIDE_CLI_COMMANDS_H
#define MAGNOLIATIDE_CLI_COMMANDS_H

namespace magnoliatide::cli {

/// Exit codes shared by all commands.
enum class ExitCode
{
  kSuccess = 0,
  kFaults = 1,      ///< A file has errors or cannot be read.
  kUsage = 2,       ///< The command line is invalid.
  kUnreachable = 3, ///< A VM did not answer, or the program failed.
  kRefused = 4,     ///< Refused by a rule, or nothing was found.
};

/// Parses the command line, runs the command it names and returns the exit
/// code. Throws std::runtime_error if the serve command cannot bind an address.
ExitCode
RunCommand(int aArgc, char** aArgv);

} // namespace magnoliatide::cli

#endif
