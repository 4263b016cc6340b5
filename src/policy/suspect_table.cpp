// Implementation of the table of requests suspected of crashing servers.
#include "magnoliatide/policy/suspect_table.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

constexpr std::size_t kMaxEntries = 4096;

} // namespace

SuspectTable::SuspectTable(Duration aLifetime)
  : mLifetime(aLifetime)
{
}

SuspectLevel
SuspectTable::LevelOf(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mEntries.find(aFingerprint);
  const bool active = found != mEntries.end() && aNow < found->second.until;
  return active ? found->second.level : SuspectLevel::kNone;
}

std::vector<SuspectEntry>
SuspectTable::RecordCrash(const std::vector<CrashedRun>& aRunning,
                          TimePoint aNow)
{
  std::vector<SuspectEntry> changed;
  for (const auto& run : aRunning) {
    const auto level =
      run.alone ? SuspectLevel::kHarmful : SuspectLevel::kSuspect;
    auto& entry = mEntries[run.fingerprint];
    entry.level = std::max(entry.level, level);
    entry.until = aNow + mLifetime;
    changed.push_back({ run.fingerprint, entry.level });
  }
  Trim();
  return changed;
}

bool
SuspectTable::ClearSuspect(std::uint64_t aFingerprint)
{
  return mEntries.erase(aFingerprint) > 0;
}

void
SuspectTable::Merge(const SuspectEntry& aEntry, TimePoint aNow)
{
  const auto found = mEntries.find(aEntry.fingerprint);
  if (aEntry.level == SuspectLevel::kNone) {
    if (found != mEntries.end() &&
        found->second.level == SuspectLevel::kSuspect) {
      mEntries.erase(found);
    }
    return;
  }
  auto& entry = mEntries[aEntry.fingerprint];
  entry.level = std::max(entry.level, aEntry.level);
  entry.until = aNow + mLifetime;
  Trim();
}

std::vector<SuspectEntry>
SuspectTable::Entries(TimePoint aNow) const
{
  std::vector<SuspectEntry> entries;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (aNow < entry.until) {
      entries.push_back({ fingerprint, entry.level });
    }
  }
  return entries;
}

void
SuspectTable::Trim()
{
  while (mEntries.size() > kMaxEntries) {
    const auto earliest = std::min_element(
      mEntries.begin(), mEntries.end(), [](const auto& aL, const auto& aR) {
        return aL.second.until < aR.second.until;
      });
    mEntries.erase(earliest);
  }
}

} // namespace magnoliatide::policy
