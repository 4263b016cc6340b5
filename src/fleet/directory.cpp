// Merging of configuration and server updates.
#include "magnoliatide/fleet/directory.h"

#include "magnoliatide/core/store_revision.h"

#include <algorithm>

namespace magnoliatide::fleet {

namespace {

/// Number of known servers above which removed ones are dropped.
constexpr std::size_t kMaxServers = 4096;

/// What a copy of the store contains arrives with the first list of its era.
/// Later, counters that were used before are given out again.
constexpr Duration kCopyArrivalTime = Seconds(1);

/// Withdrawn requests that are remembered for each zone; a copy is only some
/// seconds old.
constexpr std::size_t kMaxWithdrawn = 16;

} // namespace

Directory::Directory(DirectoryOptions aOptions)
  : mOptions(aOptions)
{
}

bool
Directory::MergeTable(const routing::TablePointer& aTable)
{
  if (!aTable || (mTable && aTable->version <= mTable->version)) {
    return false;
  }
  mTable = aTable;
  return true;
}

bool
Directory::MergeServer(const ServerEntry& aEntry, TimePoint aNow)
{
  RecordEra(aEntry.revision, aNow);
  auto& state = mServers[aEntry.id];
  if (aEntry.revision <= state.entry.revision && state.entry.revision != 0) {
    return false;
  }
  const bool changed = ApplyEntry(state, aEntry, aNow);
  if (changed) {
    mRoster.reset();
  }
  if (mServers.size() > kMaxServers) {
    std::erase_if(mServers, [](const auto& aServer) {
      return !aServer.second.entry.server && !aServer.second.removalDeferred;
    });
  }
  return changed;
}

/// Records that the store is in an era. In a later one than before, servers and
/// operators first write again what the store has lost.
void
Directory::RecordEra(std::uint64_t aRevision, TimePoint aNow)
{
  const auto era = EraOf(aRevision);
  if (era <= mEra) {
    return;
  }
  const bool first = mServers.empty() && mZones.empty();
  mEra = era;
  mEraBeganAt = first ? TimePoint{} : aNow;
}

/// Returns whether an entry of a later era is a copy of a report of a server
/// that was known to be gone.
bool
Directory::IsOlderReport(const State& aState, const ServerEntry& aEntry)
{
  const bool laterEra = EraOf(aEntry.revision) > EraOf(aState.entry.revision);
  return laterEra && !aState.entry.server && aState.started > 0 &&
         aEntry.server->started == aState.started &&
         aEntry.server->report <= aState.report;
}

bool
Directory::ApplyEntry(State& aState, const ServerEntry& aEntry, TimePoint aNow)
{
  const auto before = aState.entry.server;
  if (!aEntry.server) {
    aState.entry = aEntry;
    if (before && DefersRemovals(aNow)) {
      aState.removalDeferred = true;
      aState.lastKnown = *before;
    }
    return before.has_value();
  }
  const auto& server = *aEntry.server;
  const bool stale = server.started < aState.started ||
                     (before && !server.Supersedes(*before)) ||
                     IsOlderReport(aState, aEntry);
  if (stale) {
    // An earlier server report that reached the store late.
    aState.entry.revision = aEntry.revision;
    return false;
  }
  aState.report = server.report;
  if (server.started > aState.started) {
    aState.seenLeaving = false;
  }
  aState.started = server.started;
  aState.entry = aEntry;
  aState.removalDeferred = false;
  return !before || !(*before == server);
}

bool
Directory::SetEvacuated(const std::string& aZone,
                        bool aEvacuated,
                        std::uint64_t aRevision,
                        TimePoint aNow)
{
  RecordEra(aRevision, aNow);
  if (!aEvacuated && mZones.count(aZone) == 0) {
    return false;
  }
  auto& state = mZones[aZone];
  if (aRevision <= state.evacuation.revision) {
    return false;
  }
  const bool laterEra = EraOf(aRevision) > EraOf(state.evacuation.revision) &&
                        state.evacuation.revision > 0;
  state.evacuation.revision = aRevision;
  if (aEvacuated) {
    const bool copied = laterEra &&
                        state.withdrawn.count(CounterOf(aRevision)) > 0 &&
                        aNow - mEraBeganAt < kCopyArrivalTime;
    if (copied && !state.evacuated) {
      // Taken back since; the operator removes the request again.
      return false;
    }
    state.requested = aRevision;
    state.heldUntil = TimePoint{};
  } else if (laterEra && state.evacuated) {
    state.heldUntil = aNow + mOptions.evacuationHold;
    return false;
  }
  if (state.evacuated == aEvacuated) {
    return false;
  }
  if (!aEvacuated) {
    RecordWithdrawn(state);
  }
  state.evacuated = aEvacuated;
  state.evacuation.since = aNow;
  mRoster.reset();
  return true;
}

/// Records that the last request for a zone was taken back.
void
Directory::RecordWithdrawn(ZoneState& aState)
{
  aState.withdrawn.insert(CounterOf(aState.requested));
  if (aState.withdrawn.size() > kMaxWithdrawn) {
    aState.withdrawn.erase(aState.withdrawn.begin());
  }
}

bool
Directory::IsEvacuated(const std::string& aZone) const
{
  const auto found = mZones.find(aZone);
  return found != mZones.end() && found->second.evacuated;
}

std::map<std::string, Evacuation>
Directory::Evacuations() const
{
  std::map<std::string, Evacuation> evacuations;
  for (const auto& [zone, state] : mZones) {
    if (state.evacuated) {
      evacuations.emplace(zone, state.evacuation);
    }
  }
  return evacuations;
}

bool
Directory::RecordLeaving(const std::string& aId, std::uint64_t aStarted)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return false;
  }
  auto& state = it->second;
  if (aStarted < state.started || state.seenLeaving) {
    return false;
  }
  state.seenLeaving = true;
  mRoster.reset();
  return true;
}

void
Directory::RecordStoreAccess(bool aReachable, TimePoint aNow)
{
  if (aReachable && !mStoreReachable) {
    mStoreReachableSince = aNow;
  }
  mStoreReachable = aReachable;
}

void
Directory::RecordRemoteStoreAccess(TimePoint aSince)
{
  mStoreReachable = true;
  mStoreReachableSince = aSince;
}

bool
Directory::DefersRemovals(TimePoint aNow) const
{
  const bool newEra =
    mEraBeganAt != TimePoint{} && aNow - mEraBeganAt < mOptions.returnGrace;
  if (!mStoreReachable || newEra) {
    return true;
  }
  return mStoreReachableSince != TimePoint{} &&
         aNow - mStoreReachableSince < mOptions.returnGrace;
}

bool
Directory::Tick(TimePoint aNow)
{
  bool changed = false;
  for (auto& [zone, state] : mZones) {
    if (state.heldUntil != TimePoint{} && !mStoreReachable) {
      // Whether it is written again cannot be seen now.
      state.heldUntil = aNow + mOptions.evacuationHold;
    }
    if (state.heldUntil != TimePoint{} && aNow >= state.heldUntil) {
      state.heldUntil = TimePoint{};
      state.evacuated = false;
      changed = true;
    }
  }
  if (DefersRemovals(aNow)) {
    if (changed) {
      mRoster.reset();
    }
    return changed;
  }
  for (auto& [id, state] : mServers) {
    changed |= state.removalDeferred;
    state.removalDeferred = false;
  }
  if (changed) {
    mRoster.reset();
  }
  return changed;
}

routing::RosterPointer
Directory::Roster() const
{
  if (mRoster) {
    return mRoster;
  }
  auto roster = std::make_shared<routing::Roster>();
  for (const auto& [id, state] : mServers) {
    const bool present = state.entry.server || state.removalDeferred;
    if (!present) {
      continue;
    }
    auto server = state.entry.server ? *state.entry.server : state.lastKnown;
    server.leaving |= state.seenLeaving;
    server.evacuated = IsEvacuated(server.zone);
    roster->emplace(id, std::move(server));
  }
  mRoster = std::move(roster);
  return mRoster;
}

} // namespace magnoliatide::fleet
