// Child processes of tests and experiments.
#ifndef MAGNOLIATIDE_LOAD_PROCESS_H
#define MAGNOLIATIDE_LOAD_PROCESS_H

#include "magnoliatide/core/time.h"

#include <string>
#include <vector>

namespace magnoliatide::load {

/// One child process. Ends with its owner.
class Process
{
public:
  Process() = default;

  /// Starts a program. Its output goes to a file.
  Process(const std::vector<std::string>& aCommand,
          const std::string& aOutputFile);
  ~Process();

  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  /// Sends a signal, for example SIGKILL, SIGSTOP or SIGTERM.
  void Signal(int aNumber);

  /// Waits for the end. Returns whether it came within the bound.
  bool Wait(Duration aBound);

  bool Running();

  int Id() const { return mId; }

  /// Returns the exit status, or 128 plus the signal that ended it.
  int ExitStatus() const { return mStatus; }

private:
  bool Reap();

  /// 0 when no child is held.
  int mId = 0;
  int mStatus = 0;
};

/// Processor time and memory of a process, from /proc.
struct ProcessUsage
{
  double cpuSeconds = 0;
  double residentMegabytes = 0;
};

ProcessUsage
UsageOf(int aProcessId);

/// Returns a TCP and UDP port that is free on an address at present.
std::uint16_t
FreePort(const std::string& aHost);

} // namespace magnoliatide::load

#endif
