// Options and error output shared by the commands.
#ifndef MAGNOLIATIDE_SRC_CLI_OPTIONS_H
#define MAGNOLIATIDE_SRC_CLI_OPTIONS_H

#include "magnoliatide/core/fault.h"

#include <string>
#include <vector>

namespace magnoliatide::cli {

/// How to reach the VMs of an environment, and the format of the output.
struct FleetOptions
{
  std::string vms;       ///< Comma-separated admin addresses.
  std::string tokenFile; ///< File that contains the operator token.
  bool json = false;     ///< Whether to print JSON instead of text.
};

/// Prints errors to standard error, one per line or as a JSON array.
void
PrintFaults(const std::vector<Fault>& aFaults, bool aJson);

} // namespace magnoliatide::cli

#endif
