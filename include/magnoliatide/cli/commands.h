// The commands of the magnoliatide program.
#ifndef MAGNOLIATIDE_CLI_COMMANDS_H
#define MAGNOLIATIDE_CLI_COMMANDS_H

namespace magnoliatide::cli {

/// Exit codes of every command.
enum class ExitCode
{
  kDone = 0,
  kFaults = 1,      ///< A document or settings file has errors.
  kUsage = 2,       ///< The command line is wrong.
  kUnreachable = 3, ///< A VM or the platform did not answer.
  kRefused = 4,     ///< The action was refused by its rules.
};

/// Runs the program.
ExitCode
RunCommand(int aCount, char** aWords);

} // namespace magnoliatide::cli

#endif
