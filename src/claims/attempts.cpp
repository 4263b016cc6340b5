// The table of attempts.
#include "magnoliatide/claims/attempts.h"

namespace magnoliatide::claims {

Attempts::Attempts(Duration aLifetime)
  : mLifetime(aLifetime)
{
}

void
Attempts::SetLifetime(Duration aLifetime)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mLifetime = aLifetime;
}

std::optional<Attempt>
Attempts::Find(const std::string& aKey, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto latest = mLatest.find(aKey);
  if (latest == mLatest.end()) {
    return std::nullopt;
  }
  const auto& attempt = mByNumber.at(latest->second);
  const bool old = aNow - attempt.begun >= mLifetime;
  const bool open = attempt.state == AttemptState::kSent;
  if (attempt.state == AttemptState::kNotRun || (old && !open)) {
    return std::nullopt;
  }
  return attempt;
}

std::optional<Attempt>
Attempts::FindNumber(std::uint64_t aNumber)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mByNumber.find(aNumber);
  if (found == mByNumber.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::uint64_t>
Attempts::Begin(const std::string& aKey,
                std::uint64_t aFingerprint,
                TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto latest = mLatest.find(aKey);
  if (latest != mLatest.end()) {
    const auto& attempt = mByNumber.at(latest->second);
    const bool old =
      aNow - attempt.begun >= mLifetime && attempt.state != AttemptState::kSent;
    if (attempt.state != AttemptState::kNotRun && !old) {
      return std::nullopt;
    }
  }
  const auto number = ++mLast;
  mByNumber[number] = { number, aKey, aFingerprint, AttemptState::kClaiming,
                        {},     aNow };
  mLatest[aKey] = number;
  return number;
}

bool
Attempts::Own(std::uint64_t aNumber)
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
Attempts::MaySend(std::uint64_t aNumber, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mByNumber.find(aNumber);
  if (found == mByNumber.end() || found->second.state != AttemptState::kOwned) {
    return false;
  }
  const bool fresh = aNow - found->second.begun < mLifetime / 2;
  found->second.state = fresh ? AttemptState::kSent : AttemptState::kNotRun;
  return fresh;
}

void
Attempts::End(std::uint64_t aNumber,
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
Attempts::Forget(TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  for (auto at = mByNumber.begin(); at != mByNumber.end();) {
    const auto& attempt = at->second;
    if (aNow - attempt.begun < mLifetime) {
      break;
    }
    if (attempt.state == AttemptState::kSent) {
      ++at;
      continue;
    }
    const auto latest = mLatest.find(attempt.key);
    if (latest != mLatest.end() && latest->second == attempt.number) {
      mLatest.erase(latest);
    }
    at = mByNumber.erase(at);
  }
}

std::size_t
Attempts::size()
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mByNumber.size();
}

} // namespace magnoliatide::claims
