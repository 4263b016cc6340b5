// Command line interface of the magnoliatide program.
#ifndef MAGNOLIATIDE_CLI_COMMANDS_H
#define MAGNOLIATIDE_CLI_COMMANDS_H

namespace magnoliatide::cli {

/// Exit codes shared by all commands.
enum class ExitCode
{
  kSuccess = 0,
  kFaults = 1,      ///< A document or settings file has errors.
  kUsage = 2,       ///< The command line is invalid.
  kUnreachable = 3, ///< A VM or the platform did not answer.
  kRefused = 4,     ///< Refused by a rule, or nothing was found.
};

/// Parses the command line, runs the command it names and returns the exit
/// code.
ExitCode
RunCommand(int aArgc, char** aArgv);

} // namespace magnoliatide::cli

#endif
