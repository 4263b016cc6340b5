// Finds why a request ended: from the line that decided its end, which need not
// be its last line.
#ifndef MAGNOLIATIDE_SRC_CLI_REQUEST_CAUSE_H
#define MAGNOLIATIDE_SRC_CLI_REQUEST_CAUSE_H

#include "explain.h"

#include <string>
#include <vector>

namespace magnoliatide::cli {

/// Returns what ended a request, with its age and the time that it had left.
///
/// @param aOwn The lines that name the request, ordered by time; not empty.
/// @param aAll All lines.
std::string
DescribeCause(const std::vector<LogRecord>& aOwn,
              const std::vector<LogRecord>& aAll);

} // namespace magnoliatide::cli

#endif
