// Implementation of the attempt table.
#include "magnoliatide/claims/attempt_table.h"

namespace magnoliatide::claims {

AttemptTable::AttemptTable(Duration aKeyLifetime)
  : mKeyLifetime(aKeyLifetime)
{
}

void
AttemptTable::SetLifetime(Duration aKeyLifetime)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mKeyLifetime = aKeyLifetime;
}

std::optional<Attempt>
AttemptTable::Find(const std::string& aKey, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto latest = mLatestByKey.find(aKey);
  if (latest == mLatestByKey.end()) {
    return std::nullopt;
  }
  const auto& attempt = mByNumber.at(latest->second);
  const bool expired = aNow - attempt.startedAt >= mKeyLifetime;
  const bool sent = attempt.state == AttemptState::kSent;
  if (attempt.state == AttemptState::kNotRun || (expired && !sent)) {
    return std::nullopt;
  }
  return attempt;
}

std::optional<Attempt>
AttemptTable::FindByNumber(std::uint64_t aNumber)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mByNumber.find(aNumber);
  if (found == mByNumber.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::uint64_t>
AttemptTable::Begin(const std::string& aKey,
                    std::uint64_t aFingerprint,
                    TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto latest = mLatestByKey.find(aKey);
  if (latest != mLatestByKey.end()) {
    const auto& attempt = mByNumber.at(latest->second);
    const bool expired = aNow - attempt.startedAt >= mKeyLifetime &&
                         attempt.state != AttemptState::kSent;
    if (attempt.state != AttemptState::kNotRun && !expired) {
      return std::nullopt;
    }
  }
  const auto number = ++mLastNumber;
  mByNumber[number] = { number, aKey, aFingerprint, AttemptState::kClaiming,
                        {},     aNow };
  mLatestByKey[aKey] = number;
  return number;
}

bool
AttemptTable::MarkOwned(std::uint64_t aNumber)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mByNumber.find(aNumber);
  if (found == mByNumber.end() ||
      found->second.state != AttemptState::kClaiming) {
    return false;
  }
  found->second.state = AttemptState::kOwned;
  return true;
}

bool
AttemptTable::TryMarkSent(std::uint64_t aNumber, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mByNumber.find(aNumber);
  if (found == mByNumber.end() || found->second.state != AttemptState::kOwned) {
    return false;
  }
  const bool fresh = aNow - found->second.startedAt < mKeyLifetime / 2;
  found->second.state = fresh ? AttemptState::kSent : AttemptState::kNotRun;
  return fresh;
}

void
AttemptTable::End(std::uint64_t aNumber,
                  AttemptState aState,
                  RecordedAnswer aAnswer)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mByNumber.find(aNumber);
  if (found == mByNumber.end()) {
    return;
  }
  auto& attempt = found->second;
  const bool sent = attempt.state == AttemptState::kSent;
  if (aState == AttemptState::kNotRun && sent) {
    attempt.state = AttemptState::kUnknown;
    return;
  }
  if (attempt.state == AttemptState::kAnswered) {
    return;
  }
  attempt.state = aState;
  attempt.answer = std::move(aAnswer);
}

void
AttemptTable::RemoveExpired(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  for (auto at = mByNumber.begin(); at != mByNumber.end();) {
    const auto& attempt = at->second;
    if (aNow - attempt.startedAt < mKeyLifetime) {
      break; // Attempts are numbered in the order of their start.
    }
    if (attempt.state == AttemptState::kSent) {
      ++at;
      continue;
    }
    const auto latest = mLatestByKey.find(attempt.key);
    if (latest != mLatestByKey.end() && latest->second == attempt.number) {
      mLatestByKey.erase(latest);
    }
    at = mByNumber.erase(at);
  }
}

std::size_t
AttemptTable::size()
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mByNumber.size();
}

} // namespace magnoliatide::claims
