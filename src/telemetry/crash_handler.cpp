// The crash handler. It runs as a signal handler, which must not allocate
// memory or take a lock of the program, nor call functions that do.
#include "magnoliatide/telemetry/crash_handler.h"

#include <dlfcn.h>
#include <execinfo.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstring>

namespace magnoliatide::telemetry {

namespace {

constexpr int kMaxFrames = 24;
constexpr int kCrashSignals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };

/// A text of limited length, built without memory allocation. Excess text is
/// cut off.
class CrashLine
{
public:
  void Add(const char* aText)
  {
    while (*aText != '\0' && mSize < sizeof(mBytes)) {
      mBytes[mSize++] = *aText++;
    }
  }

  void AddNumber(std::uintptr_t aValue, unsigned aBase)
  {
    char digits[24];
    int at = sizeof(digits) - 1;
    digits[at] = '\0';
    do {
      digits[--at] = "0123456789abcdef"[aValue % aBase];
      aValue /= aBase;
    } while (aValue > 0);
    Add(digits + at);
  }

  void Write() const
  {
    const auto written = ::write(STDOUT_FILENO, mBytes, mSize);
    static_cast<void>(written); // A failed write cannot be reported.
  }

private:
  char mBytes[1024];
  std::size_t mSize = 0;
};

void
OnCrashSignal(int aSignal)
{
  void* frames[kMaxFrames];
  const int count = ::backtrace(frames, kMaxFrames);
  CrashLine line;
  line.Add("level=error event=crashed signal=");
  line.AddNumber(static_cast<std::uintptr_t>(aSignal), 10);
  line.Add(" frames=");
  for (int i = 0; i < count; ++i) {
    Dl_info module{};
    std::uintptr_t address = reinterpret_cast<std::uintptr_t>(frames[i]);
    if (::dladdr(frames[i], &module) != 0) {
      address -= reinterpret_cast<std::uintptr_t>(module.dli_fbase);
    }
    line.Add(i > 0 ? "," : "");
    line.AddNumber(address, 16);
  }
  line.Add("\n");
  line.Write();
  std::signal(aSignal, SIG_DFL);
  std::raise(aSignal);
}

} // namespace

void
InstallCrashHandler()
{
  // The first call of backtrace() loads libgcc, which allocates memory. A
  // signal handler must not do that.
  void* frame = nullptr;
  ::backtrace(&frame, 1);
  for (const int number : kCrashSignals) {
    std::signal(number, OnCrashSignal);
  }
}

} // namespace magnoliatide::telemetry
