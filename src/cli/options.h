// What the commands share.
#ifndef MAGNOLIATIDE_SRC_CLI_OPTIONS_H
#define MAGNOLIATIDE_SRC_CLI_OPTIONS_H

#include "magnoliatide/core/fault.h"

#include <string>
#include <vector>

namespace magnoliatide::cli {

/// How to reach the VMs of an environment.
struct FleetOptions
{
  std::string vms;       ///< Admin addresses, separated by commas.
  std::string tokenFile; ///< File that holds the operators' token.
  bool json = false;
};

/// Prints errors, a line each or as JSON, to the standard error stream.
void
PrintFaults(const std::vector<Fault>& aFaults, bool aJson);

} // namespace magnoliatide::cli

#endif
