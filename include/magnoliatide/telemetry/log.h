// Structured log lines by log4cplus, written for changes of state only.
#ifndef MAGNOLIATIDE_TELEMETRY_LOG_H
#define MAGNOLIATIDE_TELEMETRY_LOG_H

#include <string>
#include <vector>

namespace magnoliatide::telemetry {

/// A named value of a log line.
struct LogField
{
  std::string name;
  std::string value;
};

/// Prepares logging to the standard error stream.
///
/// @param aLevel One of "error", "warn", "info", "off".
/// @param aSource The slot, written on each line.
void
StartLog(const std::string& aLevel, const std::string& aSource);

/// Ends logging and its threads.
void
StopLog();

/// Writes a line name="value" name="value" at level info.
void
LogChange(const std::vector<LogField>& aFields);

/// The same, at level error.
void
LogError(const std::vector<LogField>& aFields);

} // namespace magnoliatide::telemetry

#endif
