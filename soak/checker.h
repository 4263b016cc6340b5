// Checks a deployment's guarantees against what callers and servers saw.
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
  std::string detail;    ///< The call or server and what was seen.
};

/// Returns all violations in a history.
std::vector<Finding>
Check(const History& aHistory);

} // namespace magnoliatide::soak

#endif
