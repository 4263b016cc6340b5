// Descriptions of the events in the logs, and the events that may affect a
// request without naming it. docs/LOGS.md lists all events.
#ifndef MAGNOLIATIDE_SRC_CLI_LOG_EVENTS_H
#define MAGNOLIATIDE_SRC_CLI_LOG_EVENTS_H

#include "explain.h"

#include <set>
#include <string>

namespace magnoliatide::cli {

/// The VMs and the servers that the log lines of a request name.
struct Participants
{
  std::set<std::string> vms;
  std::set<std::string> servers;
};

/// Describes a log line in words. Lists the fields if the event is unknown.
std::string
Describe(const LogRecord& aRecord);

/// Describes the run of a `send`, `answered` or `run-ended` line in a few
/// words.
std::string
DescribeRunBriefly(const LogRecord& aRecord);

/// Describes why the connection of a `request-dropped` line ended.
std::string
DescribeConnectionEnd(const LogRecord& aRecord);

/// Returns whether a line that does not name a request may have affected it.
bool
MayAffectRequest(const LogRecord& aRecord, const Participants& aParticipants);

} // namespace magnoliatide::cli

#endif
