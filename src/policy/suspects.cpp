// Suspicions against the content of requests.
#include "magnoliatide/policy/suspects.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

constexpr std::size_t kMostHeld = 4096;

} // namespace

Suspects::Suspects(Duration aLifetime)
  : mLifetime(aLifetime)
{
}

Suspicion
Suspects::LevelOf(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mHeld.find(aFingerprint);
  const bool holds = found != mHeld.end() && aNow < found->second.until;
  return holds ? found->second.level : Suspicion::kNone;
}

std::vector<SuspectEntry>
Suspects::Crashed(const std::vector<CrashedRun>& aRunning, TimePoint aNow)
{
  std::vector<SuspectEntry> changed;
  for (const auto& run : aRunning) {
    const auto level = run.alone ? Suspicion::kHarmful : Suspicion::kSuspect;
    auto& held = mHeld[run.fingerprint];
    held.level = std::max(held.level, level);
    held.until = aNow + mLifetime;
    changed.push_back({ run.fingerprint, held.level });
  }
  Trim();
  return changed;
}

bool
Suspects::Completed(std::uint64_t aFingerprint)
{
  return mHeld.erase(aFingerprint) > 0;
}

void
Suspects::Merge(const SuspectEntry& aEntry, TimePoint aNow)
{
  const auto found = mHeld.find(aEntry.fingerprint);
  if (aEntry.level == Suspicion::kNone) {
    if (found != mHeld.end() && found->second.level == Suspicion::kSuspect) {
      mHeld.erase(found);
    }
    return;
  }
  auto& held = mHeld[aEntry.fingerprint];
  held.level = std::max(held.level, aEntry.level);
  held.until = aNow + mLifetime;
  Trim();
}

std::vector<SuspectEntry>
Suspects::Entries(TimePoint aNow) const
{
  std::vector<SuspectEntry> entries;
  for (const auto& [fingerprint, held] : mHeld) {
    if (aNow < held.until) {
      entries.push_back({ fingerprint, held.level });
    }
  }
  return entries;
}

void
Suspects::Trim()
{
  while (mHeld.size() > kMostHeld) {
    const auto first = std::min_element(
      mHeld.begin(), mHeld.end(), [](const auto& aL, const auto& aR) {
        return aL.second.until < aR.second.until;
      });
    mHeld.erase(first);
  }
}

} // namespace magnoliatide::policy
