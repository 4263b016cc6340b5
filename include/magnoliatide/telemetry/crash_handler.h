// Writes a log line with a stack trace when the process crashes. A VM stores
// nothing on disk, so this line is the only record of the crash.
#ifndef MAGNOLIATIDE_TELEMETRY_CRASH_HANDLER_H
#define MAGNOLIATIDE_TELEMETRY_CRASH_HANDLER_H

namespace magnoliatide::telemetry {

/// Installs a handler for SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT. It
/// writes one line, then ends the process by the signal's default action.
/// Addresses are offsets in the module's file, as addr2line expects them.
void
InstallCrashHandler();

} // namespace magnoliatide::telemetry

#endif
