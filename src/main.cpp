// The magnoliatide program.
#include "magnoliatide/cli/commands.h"

#include <exception>
#include <iostream>

int
main(int aCount, char** aWords)
{
  try {
    return static_cast<int>(magnoliatide::cli::RunCommand(aCount, aWords));
  } catch (const std::exception& error) {
    std::cerr << "magnoliatide: " << error.what() << "\n";
    return static_cast<int>(magnoliatide::cli::ExitCode::kUnreachable);
  }
}
