// Whether a deployment kept its promises, judged by what callers and servers
// saw.
#ifndef MAGNOLIATIDE_SOAK_CHECKER_H
#define MAGNOLIATIDE_SOAK_CHECKER_H

#include "record.h"

#include <string>
#include <vector>

namespace magnoliatide::soak {

/// A promise that was not kept.
struct Finding
{
  std::string promise; ///< Its short name.
  std::string what;    ///< The call or server, and what was seen.
};

/// Returns all findings.
std::vector<Finding>
Check(const History& aHistory);

} // namespace magnoliatide::soak

#endif
