// Guards calls that may run only once. The gateway asks it before it queues
// such a call and tells it how the call ended.
#ifndef MAGNOLIATIDE_ENTRY_KEY_GUARD_H
#define MAGNOLIATIDE_ENTRY_KEY_GUARD_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/message.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace magnoliatide::entry {

/// What a caller's key allows.
enum class KeyVerdict
{
  kRun,       ///< This send owns the key; it may run.
  kRunning,   ///< An earlier send runs.
  kRecorded,  ///< An earlier send's answer is known.
  kUnknown,   ///< An earlier send may have run; this one will not.
  kOtherCall, ///< The key belongs to a different call.
  kUndecided, ///< Too few VMs answered; this send will not run.
};

struct KeyDecision
{
  KeyVerdict verdict = KeyVerdict::kUndecided;
  std::uint64_t attempt = 0; ///< For kRun: names this send in later calls.
  http::Response recorded;   ///< For kRecorded.
};

/// How a guarded call ended.
enum class KeyEnd
{
  kNotRun,   ///< No byte was sent, and none will be.
  kAnswered, ///< The answer is recorded.
  kUnknown,  ///< It was sent and has no whole answer.
};

class KeyGuard
{
public:
  virtual ~KeyGuard() = default;

  /// Asks for a key.
  ///
  /// @param aKey The key with its team.
  /// @param aFingerprint Identity of the call's content.
  /// @param aBound The longest time to take.
  virtual boost::asio::awaitable<KeyDecision> Begin(std::string aKey,
                                                    std::uint64_t aFingerprint,
                                                    Duration aBound) = 0;

  /// Returns whether the call may still be sent. Asked right before the first
  /// byte is written; a true answer marks the call as sent.
  virtual bool MaySend(const std::string& aKey, std::uint64_t aAttempt) = 0;

  /// Tells how the call ended, before its caller is told.
  virtual boost::asio::awaitable<void> End(std::string aKey,
                                           std::uint64_t aAttempt,
                                           KeyEnd aEnd,
                                           http::Response aAnswer) = 0;
};

} // namespace magnoliatide::entry

#endif
