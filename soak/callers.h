// Simulated callers that reuse connections, and a load balancer that selects
// the VMs for new connections.
#ifndef MAGNOLIATIDE_SOAK_CALLERS_H
#define MAGNOLIATIDE_SOAK_CALLERS_H

#include "platform_fleet.h"
#include "record.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace magnoliatide::soak {

struct CallersOptions
{
  int callers = 24;
  std::uint64_t seed = 1;
  Quota quota; ///< Its team makes about half of the kQuote calls.
};

/// Calls the fleet from its construction until Stop().
class Callers
{
public:
  Callers(tests::PlatformFleet& aFleet, CallersOptions aOptions);
  ~Callers();

  /// Sets the configuration version whose route is probed at all VMs, 0 for
  /// none, and the time for which VMs keep idle connections.
  void SetVersion(std::uint64_t aVersion, Milliseconds aIdleTimeout)
  {
    mVersion.store(aVersion);
    mIdleMillis.store(static_cast<int>(aIdleTimeout.count()));
  }

  /// Waits for the running calls, stops all callers and returns the calls
  /// sorted by the time they were sent.
  std::vector<CallRecord> Stop();

private:
  struct Caller;

  boost::asio::awaitable<void> RunCaller(std::uint64_t aSeed);
  boost::asio::awaitable<void> Probe(std::size_t aVm);
  boost::asio::awaitable<void> Balance(std::size_t aVm);
  boost::asio::awaitable<void> SendNextCall(Caller& aCaller);
  boost::asio::awaitable<bool> Connect(Caller& aCaller);
  boost::asio::awaitable<void> Exchange(Caller& aCaller,
                                        CallRecord& aRecord,
                                        Duration aLeaveAfter);
  CallRecord NewCall(Caller& aCaller);
  tests::CallSpec MakeCallSpec(const CallRecord& aRecord) const;
  void RecordCall(CallRecord aRecord);

  tests::PlatformFleet& mFleet;
  CallersOptions mOptions;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mRunning{ 0 }; ///< Number of running coroutines.
  std::atomic<std::uint64_t> mVersion{ 0 };
  std::atomic<int> mIdleMillis{ 1000 };
  std::atomic<std::uint64_t> mNumber{ 0 };    ///< Number of the last call.
  std::vector<std::atomic<bool>> mInRotation; ///< By index of the VM.
  std::mutex mMutex;                          ///< Guards mCalls.
  std::vector<CallRecord> mCalls;
  http::Threads mThreads{ 2 };
};

} // namespace magnoliatide::soak

#endif
