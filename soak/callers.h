// Callers that use their connections until these end, and a balancer that
// chooses VMs for new ones.
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
  Quota quota; ///< Of the team that a part of the callers is of.
};

class Callers
{
public:
  Callers(tests::PlatformFleet& aFleet, CallersOptions aOptions);
  ~Callers();

  /// Sets which configuration's route is probed at all VMs.
  void SetVersion(std::uint64_t aVersion) { mVersion.store(aVersion); }

  /// Ends all callers once their calls have ended, and returns the calls in
  /// order of their ends.
  std::vector<CallRecord> Stop();

private:
  struct Caller;

  boost::asio::awaitable<void> Call(std::uint64_t aSeed);
  boost::asio::awaitable<void> Probe(std::size_t aVm);
  boost::asio::awaitable<void> Balance(std::size_t aVm);
  boost::asio::awaitable<void> One(Caller& aCaller);
  boost::asio::awaitable<bool> Connect(Caller& aCaller);
  boost::asio::awaitable<void> Exchange(Caller& aCaller,
                                        CallRecord& aRecord,
                                        Duration aLeaveAfter);
  CallRecord NewCall(Caller& aCaller);
  tests::CallText TextOf(const CallRecord& aRecord) const;
  void Note(CallRecord aRecord);

  tests::PlatformFleet& mFleet;
  CallersOptions mOptions;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mRunning{ 0 };
  std::atomic<std::uint64_t> mVersion{ 0 };
  std::atomic<std::uint64_t> mNumber{ 0 };
  std::vector<std::atomic<bool>> mInRotation; ///< By VM.
  std::mutex mMutex;                          ///< Of mCalls.
  std::vector<CallRecord> mCalls;
  http::Threads mThreads{ 2 };
};

} // namespace magnoliatide::soak

#endif
