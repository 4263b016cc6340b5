// Attribution of server crashes to what the interrupted requests have in
// common.
#include "magnoliatide/policy/crash_suspects.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <utility>

namespace magnoliatide::policy {

namespace {

/// Interruptions older than this when a server is found to be down are not
/// attributed to its crash. Covers the time until the store shows that a server
/// is gone.
constexpr Duration kInterruptionLifetime = Seconds(6);

/// Two interruptions at one server within this time are attributed to a crash.
constexpr Duration kSimultaneousWindow = Milliseconds(30);

/// A crash interrupts all runs of a server at once; VMs report them within this
/// time.
constexpr Duration kBurstWindow = Milliseconds(500);

/// How long a crash is remembered.
constexpr Duration kCrashLifetime = std::chrono::minutes(30);

/// VMs give the age of what they report in whole seconds.
constexpr Duration kAgePrecision = Seconds(1);

constexpr std::size_t kMaxCrashes = 1024;

/// Suspects of one crash; a server runs fewer requests at once.
constexpr std::size_t kMaxSuspectsPerCrash = 256;

/// Above this number of servers, those with only expired interruptions are
/// removed.
constexpr std::size_t kMaxServers = 1024;

/// Above this number of traits, those of which nothing recent is known are
/// removed.
constexpr std::size_t kMaxTraits = 4096;

bool
Contains(const std::vector<Trait>& aTraits, Trait aTrait)
{
  return std::find(aTraits.begin(), aTraits.end(), aTrait) != aTraits.end();
}

} // namespace

std::vector<Trait>
TraitsOf(const Job& aJob)
{
  std::vector<Trait> traits = aJob.sharedParts;
  if (aJob.fingerprint != 0) {
    traits.push_back(aJob.fingerprint);
  }
  return traits;
}

void
CrashSuspects::RecordInterruption(const InterruptedRun& aRun, TimePoint aNow)
{
  Trim(aNow);
  const auto* crash = FindRecentCrash(aRun.incarnation, aNow);
  if (crash != nullptr) {
    AttributeRun(*crash, aRun);
    return;
  }
  auto& interruptions = mInterruptions[aRun.incarnation.server];
  while (!interruptions.empty() &&
         aNow - interruptions.front().at > kInterruptionLifetime) {
    interruptions.pop_front();
  }
  const bool known =
    std::any_of(interruptions.begin(),
                interruptions.end(),
                [&](const auto& aOther) { return aOther.run.key == aRun.key; });
  if (known) {
    return;
  }
  const bool simultaneous = std::any_of(
    interruptions.begin(), interruptions.end(), [&](const auto& aOther) {
      return aNow - aOther.at <= kSimultaneousWindow;
    });
  interruptions.push_back({ aRun, aNow });
  for (const auto trait : aRun.traits) {
    mInterruptedAt[trait] = aNow;
  }
  if (simultaneous) {
    RecordServerLoss(aRun.incarnation.server, aNow);
  }
}

void
CrashSuspects::RecordServerLoss(const std::string& aServer, TimePoint aNow)
{
  const auto runs = TakeBurst(aServer, aNow);
  if (runs.empty()) {
    return;
  }
  const auto key = KeyForCrash(runs.back().run.incarnation, runs.back().at);
  for (const auto& interruption : runs) {
    AttributeRun(key, interruption.run);
  }
}

/// Removes the interruptions at a server and returns those that happened
/// together with the latest one, if it has not expired.
std::deque<CrashSuspects::Interruption>
CrashSuspects::TakeBurst(const std::string& aServer, TimePoint aNow)
{
  const auto found = mInterruptions.find(aServer);
  if (found == mInterruptions.end()) {
    return {};
  }
  auto runs = std::move(found->second);
  mInterruptions.erase(found);
  if (runs.empty() || aNow - runs.back().at > kInterruptionLifetime) {
    return {};
  }
  const Interruption last = runs.back();
  std::erase_if(runs, [&](const auto& aRun) {
    return last.at - aRun.at > kBurstWindow ||
           aRun.run.incarnation.started != last.run.incarnation.started;
  });
  return runs;
}

/// Adds a crash and returns its key.
CrashSuspects::CrashKey
CrashSuspects::KeyForCrash(const ServerIncarnation& aIncarnation, TimePoint aAt)
{
  CrashKey key{ aIncarnation, 0 };
  for (auto found = mCrashes.find(key); found != mCrashes.end();
       found = mCrashes.find(key)) {
    if (aAt - found->second.at <= kBurstWindow) {
      return key;
    }
    key.ordinal += 1;
  }
  mCrashes[key].at = aAt;
  return key;
}

/// Returns the crash of an incarnation that a run interrupted now belongs to,
/// or null.
const CrashSuspects::CrashKey*
CrashSuspects::FindRecentCrash(const ServerIncarnation& aIncarnation,
                               TimePoint aNow) const
{
  const CrashKey first{ aIncarnation, 0 };
  for (auto at = mCrashes.lower_bound(first);
       at != mCrashes.end() && !(aIncarnation < at->first.incarnation);
       ++at) {
    if (aNow - at->second.at <= kBurstWindow) {
      return &at->first;
    }
  }
  return nullptr;
}

void
CrashSuspects::AttributeRun(const CrashKey& aKey, const InterruptedRun& aRun)
{
  for (const auto trait : aRun.traits) {
    AddSuspect(aKey, { trait, aRun.trial });
  }
  if (!aRun.own || aRun.traits.empty()) {
    return;
  }
  auto& own = mCrashes[aKey].own;
  for (const auto trait : aRun.traits) {
    own[trait] |= aRun.trial;
  }
  std::erase_if(mNewCrashes, [&](const auto& aRecord) {
    return aRecord.ordinal == aKey.ordinal &&
           !(aRecord.incarnation < aKey.incarnation) &&
           !(aKey.incarnation < aRecord.incarnation);
  });
  CrashRecord record{ aKey.incarnation, aKey.ordinal, {} };
  for (const auto& [trait, trial] : own) {
    record.suspects.push_back({ trait, trial });
  }
  mNewCrashes.push_back(std::move(record));
}

void
CrashSuspects::AddSuspect(const CrashKey& aKey, const CrashSuspect& aSuspect)
{
  auto& suspects = mCrashes[aKey].suspects;
  if (suspects.size() < kMaxSuspectsPerCrash) {
    suspects[aSuspect.trait] |= aSuspect.trial;
    mCrashesByTrait[aSuspect.trait].insert(aKey);
  }
}

void
CrashSuspects::RecordBegin(const std::vector<Trait>& aTraits, TimePoint aNow)
{
  for (const auto trait : aTraits) {
    if (Clear(trait, aNow)) {
      mCleared[trait] = aNow;
      mNewClearances.push_back(trait);
    }
  }
}

/// Clears a trait of the crashes up to a time. Returns whether it was suspected
/// of causing one.
bool
CrashSuspects::Clear(Trait aTrait, TimePoint aUpTo)
{
  const auto interrupted = mInterruptedAt.find(aTrait);
  if (interrupted != mInterruptedAt.end() && interrupted->second <= aUpTo) {
    mInterruptedAt.erase(interrupted);
    for (auto& [server, interruptions] : mInterruptions) {
      for (auto& interruption : interruptions) {
        std::erase(interruption.run.traits, aTrait);
      }
    }
  }
  const auto found = mCrashesByTrait.find(aTrait);
  if (found == mCrashesByTrait.end()) {
    return false;
  }
  std::erase_if(found->second, [&](const auto& aKey) {
    auto& crash = mCrashes.at(aKey);
    const bool earlier = crash.at <= aUpTo;
    if (earlier) {
      crash.suspects.erase(aTrait);
      crash.own.erase(aTrait);
    }
    return earlier;
  });
  if (found->second.empty()) {
    mCrashesByTrait.erase(found);
  }
  return true;
}

void
CrashSuspects::Merge(const CrashRecord& aRecord, TimePoint aAt, TimePoint aNow)
{
  Trim(aNow);
  if (aNow - aAt > kCrashLifetime) {
    return;
  }
  const CrashKey key{ aRecord.incarnation, aRecord.ordinal };
  const auto [crash, inserted] = mCrashes.try_emplace(key);
  if (inserted) {
    crash->second.at = aAt;
  }
  for (const auto& suspect : aRecord.suspects) {
    const auto cleared = mCleared.find(suspect.trait);
    if (cleared == mCleared.end() || cleared->second < aAt) {
      AddSuspect(key, suspect);
    }
  }
  // The crash of another VM's run explains the interruptions here.
  const auto& server = aRecord.incarnation.server;
  const auto own = mInterruptions.find(server);
  const bool confirms =
    own != mInterruptions.end() && !own->second.empty() &&
    own->second.back().run.incarnation.started == aRecord.incarnation.started;
  if (confirms) {
    for (const auto& interruption : TakeBurst(server, aNow)) {
      AttributeRun(key, interruption.run);
    }
  }
}

void
CrashSuspects::MergeClearance(Trait aTrait, TimePoint aAt, TimePoint aNow)
{
  Trim(aNow);
  auto& cleared = mCleared[aTrait];
  cleared = std::max(cleared, aAt);
  Clear(aTrait, aAt + kAgePrecision);
}

/// Returns the crashes that a trait is suspected of, or null if there are none
/// or all have expired.
const std::set<CrashSuspects::CrashKey>*
CrashSuspects::CrashesOf(Trait aTrait, TimePoint aNow) const
{
  const auto found = mCrashesByTrait.find(aTrait);
  if (found == mCrashesByTrait.end()) {
    return nullptr;
  }
  const bool active = std::any_of(
    found->second.begin(), found->second.end(), [&](const auto& aKey) {
      return aNow - mCrashes.at(aKey).at <= kCrashLifetime;
    });
  return active ? &found->second : nullptr;
}

/// Returns whether a trait that the given ones do not include is suspected of
/// all crashes that this one is suspected of.
bool
CrashSuspects::IsExplained(Trait aTrait,
                           const std::vector<Trait>& aTraits) const
{
  const auto& crashes = mCrashesByTrait.at(aTrait);
  const auto& candidates = mCrashes.at(*crashes.begin()).suspects;
  return std::any_of(candidates.begin(), candidates.end(), [&](const auto& aC) {
    if (Contains(aTraits, aC.first)) {
      return false;
    }
    const auto& others = mCrashesByTrait.at(aC.first);
    return std::includes(
      others.begin(), others.end(), crashes.begin(), crashes.end());
  });
}

bool
CrashSuspects::IsHarmful(Trait aTrait,
                         const std::vector<Trait>& aTraits,
                         TimePoint aNow) const
{
  const auto* crashes = CrashesOf(aTrait, aNow);
  if (crashes == nullptr ||
      crashes->size() < static_cast<std::size_t>(kHarmfulCrashCount)) {
    return false;
  }
  const bool tried =
    std::any_of(crashes->begin(), crashes->end(), [&](const auto& aKey) {
      return mCrashes.at(aKey).suspects.at(aTrait);
    });
  return tried && !IsExplained(aTrait, aTraits);
}

bool
CrashSuspects::IsSuspect(Trait aTrait, TimePoint aNow) const
{
  if (CrashesOf(aTrait, aNow) != nullptr) {
    return true;
  }
  const auto interrupted = mInterruptedAt.find(aTrait);
  return interrupted != mInterruptedAt.end() &&
         aNow - interrupted->second <= kInterruptionLifetime;
}

CrashStanding
CrashSuspects::StandingOf(const std::vector<Trait>& aTraits,
                          TimePoint aNow) const
{
  auto standing = CrashStanding::kNone;
  for (const auto trait : aTraits) {
    if (IsHarmful(trait, aTraits, aNow)) {
      return CrashStanding::kHarmful;
    }
    if (IsSuspect(trait, aNow)) {
      standing = CrashStanding::kSuspect;
    }
  }
  return standing;
}

std::string
CrashSuspects::Describe(const std::vector<Trait>& aTraits, TimePoint aNow) const
{
  for (const auto trait : aTraits) {
    if (IsHarmful(trait, aTraits, aNow)) {
      const bool content = trait == aTraits.back();
      return std::string(content ? "the content " : "the prompt part ") +
             ToHex(trait) + " was in requests at " +
             std::to_string(mCrashesByTrait.at(trait).size()) +
             " server crashes";
    }
  }
  return "";
}

/// Removes expired crashes, the oldest ones beyond the maximum, and what else
/// has expired if there is much of it.
void
CrashSuspects::Trim(TimePoint aNow)
{
  if (mInterruptions.size() > kMaxServers) {
    std::erase_if(mInterruptions, [&](const auto& aEntry) {
      return aEntry.second.empty() ||
             aNow - aEntry.second.back().at > kInterruptionLifetime;
    });
  }
  if (mInterruptedAt.size() > kMaxTraits) {
    std::erase_if(mInterruptedAt, [&](const auto& aEntry) {
      return aNow - aEntry.second > kInterruptionLifetime;
    });
  }
  if (mCleared.size() > kMaxTraits) {
    std::erase_if(mCleared, [&](const auto& aEntry) {
      return aNow - aEntry.second > kInterruptionLifetime;
    });
  }
  while (!mCrashes.empty()) {
    const auto oldest = std::min_element(
      mCrashes.begin(), mCrashes.end(), [](const auto& aL, const auto& aR) {
        return aL.second.at < aR.second.at;
      });
    if (mCrashes.size() <= kMaxCrashes &&
        aNow - oldest->second.at <= kCrashLifetime) {
      break;
    }
    for (const auto& [trait, trial] : oldest->second.suspects) {
      auto& keys = mCrashesByTrait.at(trait);
      keys.erase(oldest->first);
      if (keys.empty()) {
        mCrashesByTrait.erase(trait);
      }
    }
    mCrashes.erase(oldest);
  }
}

std::vector<CrashRecord>
CrashSuspects::TakeCrashes()
{
  return std::exchange(mNewCrashes, {});
}

std::vector<Trait>
CrashSuspects::TakeClearances()
{
  return std::exchange(mNewClearances, {});
}

} // namespace magnoliatide::policy
