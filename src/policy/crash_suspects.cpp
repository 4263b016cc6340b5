// Implementation of the crash counts by request.
#include "magnoliatide/policy/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace magnoliatide::policy {

namespace {

/// Number of crashes at which a request is considered harmful.
constexpr int kHarmfulCrashCount = 3;

/// Interruptions older than this when a server is found to be down are not
/// attributed to its crash.
constexpr Duration kInterruptionLifetime = Milliseconds(1500);

/// Two interruptions at one server within this time are attributed to a crash.
constexpr Duration kSimultaneousWindow = Milliseconds(30);

/// How long a request stays harmful after its last crash.
constexpr Duration kSuspectLifetime = std::chrono::minutes(30);

/// Above this number of requests, those that are expired or not harmful are
/// removed.
constexpr std::size_t kMaxSuspects = 4096;

/// Above this number of servers, those with only expired interruptions are
/// removed.
constexpr std::size_t kMaxServers = 1024;

} // namespace

void
CrashSuspects::RecordInterruption(const std::string& aServer,
                                  std::uint64_t aFingerprint,
                                  TimePoint aNow)
{
  if (mInterruptions.size() > kMaxServers) {
    std::erase_if(mInterruptions, [&](const auto& aEntry) {
      return aNow - aEntry.second.back().at > kInterruptionLifetime;
    });
  }
  auto& interruptions = mInterruptions[aServer];
  while (!interruptions.empty() &&
         aNow - interruptions.front().at > kInterruptionLifetime) {
    interruptions.pop_front();
  }
  const bool simultaneous =
    !interruptions.empty() &&
    aNow - interruptions.back().at <= kSimultaneousWindow;
  interruptions.push_back({ aFingerprint, aNow });
  if (simultaneous) {
    RecordServerLoss(aServer, aNow);
  }
}

void
CrashSuspects::RecordServerLoss(const std::string& aServer, TimePoint aNow)
{
  const auto found = mInterruptions.find(aServer);
  if (found == mInterruptions.end()) {
    return;
  }
  const auto interruptions = std::move(found->second);
  mInterruptions.erase(found);
  for (const auto& interruption : interruptions) {
    if (aNow - interruption.at <= kInterruptionLifetime) {
      SetCrashCount(interruption.fingerprint,
                    mSuspects[interruption.fingerprint].crashes + 1,
                    aNow);
    }
  }
}

void
CrashSuspects::SetCrashCount(std::uint64_t aFingerprint,
                             int aCrashes,
                             TimePoint aNow)
{
  if (mSuspects.size() > kMaxSuspects) {
    std::erase_if(mSuspects, [&](const auto& aEntry) {
      return aEntry.second.crashes < kHarmfulCrashCount ||
             aNow - aEntry.second.at > kSuspectLifetime;
    });
  }
  mSuspects[aFingerprint] = { aCrashes, aNow };
  mChangedCounts.push_back({ aFingerprint, aCrashes });
}

void
CrashSuspects::RecordSuccess(std::uint64_t aFingerprint)
{
  mSuspects.erase(aFingerprint);
}

void
CrashSuspects::Merge(const CrashCount& aCount, TimePoint aNow)
{
  auto& suspect = mSuspects[aCount.fingerprint];
  if (aCount.crashes > suspect.crashes) {
    suspect = { aCount.crashes, aNow };
  }
}

bool
CrashSuspects::IsHarmful(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mSuspects.find(aFingerprint);
  return found != mSuspects.end() &&
         found->second.crashes >= kHarmfulCrashCount &&
         aNow - found->second.at <= kSuspectLifetime;
}

std::vector<CrashCount>
CrashSuspects::TakeChangedCounts()
{
  return std::exchange(mChangedCounts, {});
}

} // namespace magnoliatide::policy
