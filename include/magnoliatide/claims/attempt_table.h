// The calls with an idempotency key that this VM accepted, and their state.
#ifndef MAGNOLIATIDE_CLAIMS_ATTEMPT_TABLE_H
#define MAGNOLIATIDE_CLAIMS_ATTEMPT_TABLE_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace magnoliatide::claims {

/// The state of an attempt. Transitions go only to a later state of this list;
/// kNotRun, kAnswered and kUnknown are final.
enum class AttemptState
{
  kClaiming, ///< The electors have not decided yet.
  kOwned,    ///< This attempt owns the key; nothing was sent.
  kSent,     ///< The first byte may have been written.
  kNotRun,   ///< Nothing was sent, and nothing will be sent.
  kAnswered, ///< The complete answer is recorded.
  kUnknown,  ///< Sent, but no complete answer was received.
};

/// The answer that the caller received.
struct RecordedAnswer
{
  int status = 0;
  std::string contentType;
  std::string body;
};

/// One attempt to execute the call of a key: a caller's request with that key.
struct Attempt
{
  std::uint64_t number = 0;
  std::string key;
  std::uint64_t fingerprint = 0;
  AttemptState state = AttemptState::kClaiming;
  RecordedAnswer answer;
  TimePoint startedAt;
};

/// Holds the attempts of this VM. Thread-safe.
class AttemptTable
{
public:
  /// @param aKeyLifetime How long an attempt is kept after its start.
  explicit AttemptTable(Duration aKeyLifetime);

  void SetLifetime(Duration aKeyLifetime);

  /// Returns the latest attempt of a key, unless it is kNotRun or has
  /// expired. An attempt in kSent does not expire.
  std::optional<Attempt> Find(const std::string& aKey, TimePoint aNow);

  /// Returns an attempt by its number.
  std::optional<Attempt> FindByNumber(std::uint64_t aNumber);

  /// Starts an attempt and returns its number, or nothing if Find() would
  /// return an attempt.
  std::optional<std::uint64_t> Begin(const std::string& aKey,
                                     std::uint64_t aFingerprint,
                                     TimePoint aNow);

  /// Moves an attempt from kClaiming to kOwned. Returns whether it did.
  bool MarkOwned(std::uint64_t aNumber);

  /// Moves an attempt from kOwned to kSent. Returns whether it did. An attempt
  /// that is older than half of the key lifetime becomes kNotRun instead, as
  /// electors may drop the key from then on.
  bool TryMarkSent(std::uint64_t aNumber, TimePoint aNow);

  /// Ends an attempt. An attempt in kSent that is to become kNotRun becomes
  /// kUnknown instead; kAnswered does not change any more.
  void End(std::uint64_t aNumber, AttemptState aState, RecordedAnswer aAnswer);

  /// Removes attempts older than the key lifetime, except those in kSent.
  void RemoveExpired(TimePoint aNow);

  std::size_t size();

private:
  std::mutex mMutex;
  Duration mKeyLifetime;
  std::uint64_t mLastNumber = 0;
  std::map<std::uint64_t, Attempt> mByNumber;
  /// The number of the latest attempt, by key.
  std::map<std::string, std::uint64_t> mLatestByKey;
};

} // namespace magnoliatide::claims

#endif
