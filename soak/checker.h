// Checks whether a deployment kept its guarantees, from the records of callers
// and servers.
#ifndef MAGNOLIATIDE_SOAK_CHECKER_H
#define MAGNOLIATIDE_SOAK_CHECKER_H

#include "record.h"

#include <string>
#include <vector>

namespace magnoliatide::soak {

/// A violated guarantee.
struct Finding
{
  std::string guarantee; ///< Name of the guarantee.
  std::string detail;    ///< The call or server, and what it shows.
};

/// Returns all violations in a history.
std::vector<Finding>
Check(const History& aHistory);

} // namespace magnoliatide::soak

#endif
