// Entry point of the magnoliatide program.
#include "magnoliatide/cli/commands.h"

#include <exception>
#include <iostream>

int
main(int aArgc, char** aArgv)
{
  try {
    return static_cast<int>(magnoliatide::cli::RunCommand(aArgc, aArgv));
  } catch (const std::exception& error) {
    std::cerr << "magnoliatide: " << error.what() << "\n";
    return static_cast<int>(magnoliatide::cli::ExitCode::kUnreachable);
  }
}
