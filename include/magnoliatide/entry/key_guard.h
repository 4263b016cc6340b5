// Interface that makes calls with an idempotency key run at most once. The
// gateway claims the key before it queues the call and reports how the call
// ended.
#ifndef MAGNOLIATIDE_ENTRY_KEY_GUARD_H
#define MAGNOLIATIDE_ENTRY_KEY_GUARD_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/message.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace magnoliatide::entry {

/// Result of claiming an idempotency key.
enum class KeyVerdict
{
  kRun,           ///< This attempt owns the key and may run.
  kRunning,       ///< An earlier attempt is running.
  kRecorded,      ///< The answer to an earlier attempt is known.
  kUnknown,       ///< An earlier attempt may have run; this one will not.
  kDifferentCall, ///< The key was used for a different call.
  kUndecided,     ///< Too few VMs answered; this attempt will not run.
};

/// Result of KeyGuard::Begin().
struct KeyDecision
{
  KeyVerdict verdict = KeyVerdict::kUndecided;
  std::uint64_t attempt = 0; ///< For kRun: its number, for later calls.
  http::Response recorded;   ///< For kRecorded: the known answer.
};

/// How a guarded call ended.
enum class KeyEnd
{
  kNotRun,   ///< No byte was sent, and none will be.
  kAnswered, ///< The answer is complete and to be recorded.
  kUnknown,  ///< It was sent, and the answer is incomplete.
};

/// Decides which attempt to execute a call may run, and records its answer. An
/// attempt is one request of a caller that carries the call's key.
class KeyGuard
{
public:
  virtual ~KeyGuard() = default;

  /// Claims a key for an attempt.
  ///
  /// @param aKey The team's name and the idempotency key.
  /// @param aFingerprint Hash of the call's content.
  /// @param aTimeout Maximum time for the decision.
  virtual boost::asio::awaitable<KeyDecision> Begin(std::string aKey,
                                                    std::uint64_t aFingerprint,
                                                    Duration aTimeout) = 0;

  /// Returns whether the call may still be sent, and if so marks it as sent.
  /// Called right before the first byte is written.
  virtual bool TryMarkSent(const std::string& aKey, std::uint64_t aAttempt) = 0;

  /// Records how the call ended. Called before the caller is answered.
  virtual boost::asio::awaitable<void> End(std::string aKey,
                                           std::uint64_t aAttempt,
                                           KeyEnd aEnd,
                                           http::Response aAnswer) = 0;
};

} // namespace magnoliatide::entry

#endif
