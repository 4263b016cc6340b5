// Reconstructs the timeline of one request from log lines: each step in order
// with the reason for it, and the changes near that time that may have affected
// the request.
#ifndef MAGNOLIATIDE_SRC_CLI_EXPLAIN_H
#define MAGNOLIATIDE_SRC_CLI_EXPLAIN_H

#include "magnoliatide/cli/commands.h"
#include "magnoliatide/core/time.h"

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliatide::cli {

/// One line of a VM's log.
struct LogRecord
{
  WallClock::time_point time;
  std::string vm;
  std::string event;
  std::map<std::string, std::string> fields; ///< All other fields, by name.

  /// Returns the value of a field, or an empty string if it is missing.
  const std::string& Field(const std::string& aName) const;
};

/// Parses one log line. Text before the time field is skipped, since log
/// collectors add prefixes.
///
/// @return std::nullopt for lines of another format.
std::optional<LogRecord>
ParseLogLine(std::string_view aLine);

/// One entry of a timeline.
struct TimelineStep
{
  LogRecord record;
  std::string text; ///< Description for display.
  bool own = false; ///< The log line names the request.
};

/// The log records that concern one request.
struct Timeline
{
  std::vector<TimelineStep> steps; ///< Ordered by time.
  /// What ended the request, with figures.
  std::string cause;
};

/// Builds the timeline of a request.
///
/// @return A timeline without steps if no record names the request. An empty id
/// names none.
Timeline
BuildTimeline(const std::vector<LogRecord>& aRecords,
              const std::string& aRequest);

/// Returns the ends of requests that have no id in the log, ordered by time.
std::vector<TimelineStep>
FindNamelessEnds(const std::vector<LogRecord>& aRecords);

/// Reads log files, or standard input if none are given, and prints the
/// timeline of a request.
ExitCode
ExplainRequest(const std::string& aRequest,
               const std::vector<std::string>& aFiles,
               bool aJson);

} // namespace magnoliatide::cli

#endif
