// Child processes for tests and experiments.
#ifndef MAGNOLIATIDE_LOAD_PROCESS_H
#define MAGNOLIATIDE_LOAD_PROCESS_H

#include "magnoliatide/core/time.h"

#include <string>
#include <vector>

namespace magnoliatide::load {

/// A child process, killed when its owner is destroyed.
class Process
{
public:
  Process() = default;

  /// Starts a program and appends its output to a file. Throws
  /// std::runtime_error if the program cannot be started.
  Process(const std::vector<std::string>& aCommand,
          const std::string& aOutputFile);
  ~Process();

  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  /// Sends a signal, for example SIGKILL, SIGSTOP or SIGTERM.
  void Signal(int aNumber);

  /// Waits for the process to exit. Returns false if the timeout expires.
  bool Wait(Duration aTimeout);

  /// Returns whether the process has not exited yet.
  bool Running();

  int Id() const { return mId; }

  /// Returns the exit status, or 128 plus the number of the signal that ended
  /// the process.
  int ExitStatus() const { return mStatus; }

private:
  bool Reap();

  /// Process id; 0 if there is no child.
  int mId = 0;
  int mStatus = 0;
};

/// CPU time and resident memory of a process, read from /proc.
struct ProcessUsage
{
  double cpuSeconds = 0;
  double residentMegabytes = 0;
};

/// Returns the usage of a process, all zero if there is no such process.
ProcessUsage
UsageOf(int aProcessId);

/// Returns a port that is currently free for TCP and UDP on an address. The
/// port is not reserved, so another process may take it before the caller does.
std::uint16_t
FreePort(const std::string& aHost);

} // namespace magnoliatide::load

#endif
