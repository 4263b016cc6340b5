// The guarded calls that this VM took on: what became of each.
#ifndef MAGNOLIATIDE_CLAIMS_ATTEMPTS_H
#define MAGNOLIATIDE_CLAIMS_ATTEMPTS_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace magnoliatide::claims {

/// The life of an attempt. It moves downwards only; kNotRun, kAnswered and
/// kUnknown are final.
enum class AttemptState
{
  kClaiming, ///< The key is being claimed.
  kOwned,    ///< The key is claimed and nothing was sent.
  kSent,     ///< The first byte may have been written.
  kNotRun,   ///< Nothing was sent, and nothing will be.
  kAnswered, ///< The answer is recorded.
  kUnknown,  ///< It was sent and has no whole answer.
};

/// An answer as it was given to the caller.
struct RecordedAnswer
{
  int status = 0;
  std::string contentType;
  std::string body;
};

/// One attempt to run the call of a key.
struct Attempt
{
  std::uint64_t number = 0;
  std::string key;
  std::uint64_t fingerprint = 0;
  AttemptState state = AttemptState::kClaiming;
  RecordedAnswer answer;
  TimePoint begun;
};

/// Safe to use from several threads.
class Attempts
{
public:
  /// @param aLifetime How long a key is remembered.
  explicit Attempts(Duration aLifetime);

  void SetLifetime(Duration aLifetime);

  /// Returns the latest attempt of a key that is not kNotRun.
  std::optional<Attempt> Find(const std::string& aKey, TimePoint aNow);

  /// Returns an attempt by its number.
  std::optional<Attempt> FindNumber(std::uint64_t aNumber);

  /// Begins an attempt unless Find() would return one.
  std::optional<std::uint64_t> Begin(const std::string& aKey,
                                     std::uint64_t aFingerprint,
                                     TimePoint aNow);

  /// Moves kClaiming to kOwned.
  bool Own(std::uint64_t aNumber);

  /// Moves kOwned to kSent. Refuses, and moves to kNotRun, when the claim is
  /// older than half of a key's lifetime: by then others may forget it.
  bool MaySend(std::uint64_t aNumber, TimePoint aNow);

  /// Ends an attempt. An attempt that was sent cannot become kNotRun.
  void End(std::uint64_t aNumber, AttemptState aState, RecordedAnswer aAnswer);

  /// Drops attempts older than the lifetime.
  void Forget(TimePoint aNow);

  std::size_t size();

private:
  std::mutex mMutex;
  Duration mLifetime;
  std::uint64_t mLast = 0;
  std::map<std::uint64_t, Attempt> mByNumber;
  /// Key to the number of its latest attempt.
  std::map<std::string, std::uint64_t> mLatest;
};

} // namespace magnoliatide::claims

#endif
