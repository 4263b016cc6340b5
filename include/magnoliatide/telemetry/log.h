// Structured logging to the standard output by log4cplus: one line for each
// decision that affects a request or the state of the process. The rate is
// limited. Writing never blocks: if the reader of the output is too slow, lines
// are dropped and counted. docs/LOGS.md describes the fields.
#ifndef MAGNOLIATIDE_TELEMETRY_LOG_H
#define MAGNOLIATIDE_TELEMETRY_LOG_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace magnoliatide::telemetry {

/// A named value of a log line. Fields with an empty value are omitted.
struct LogField
{
  LogField(std::string_view aName, std::string_view aValue)
    : name(aName)
    , value(aValue)
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : name(aName)
    , value(aValue)
  {
  }
  LogField(std::string_view aName, std::int64_t aValue)
    : name(aName)
    , value(std::to_string(aValue))
  {
  }
  LogField(std::string_view aName, std::uint64_t aValue)
    : name(aName)
    , value(std::to_string(aValue))
  {
  }
  LogField(std::string_view aName, int aValue)
    : name(aName)
    , value(std::to_string(aValue))
  {
  }
  /// In whole milliseconds.
  LogField(std::string_view aName, Duration aValue)
    : name(aName)
    , value(std::to_string(
        std::chrono::duration_cast<Milliseconds>(aValue).count()))
  {
  }

  std::string_view name;
  std::string value;
};

using LogFields = std::initializer_list<LogField>;

/// Starts logging to the standard output, which becomes non-blocking.
///
/// @param aLevel One of "error", "warn", "info" and "off".
/// @param aSource The VM's slot, which is written on each line.
void
StartLog(const std::string& aLevel, const std::string& aSource);

/// Stops logging and the threads of log4cplus.
void
StopLog();

/// Writes a line at level info.
///
/// @param aEvent The name of the event; the rate is limited for each event.
void
LogInfo(std::string_view aEvent, LogFields aFields);

/// Writes a line at level warn: a failure that the process recovers from.
void
LogWarning(std::string_view aEvent, LogFields aFields);

/// Writes a line at level error: an operator has to act.
void
LogError(std::string_view aEvent, LogFields aFields);

} // namespace magnoliatide::telemetry

#endif
