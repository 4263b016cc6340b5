// Merging of what is heard of the configuration and the servers.
#include "magnoliatide/fleet/directory.h"

namespace magnoliatide::fleet {

namespace {

/// Servers known before those that are gone are forgotten.
constexpr std::size_t kMostServers = 4096;

} // namespace

Directory::Directory(DirectoryOptions aOptions)
  : mOptions(aOptions)
{
}

bool
Directory::OfferTable(const routing::TablePointer& aTable)
{
  if (!aTable || (mTable && aTable->version <= mTable->version)) {
    return false;
  }
  mTable = aTable;
  return true;
}

bool
Directory::OfferServer(const ServerEntry& aEntry, TimePoint aNow)
{
  auto& state = mServers[aEntry.id];
  if (aEntry.revision <= state.entry.revision && state.entry.revision != 0) {
    return false;
  }
  const bool changed = Apply(state, aEntry, aNow);
  if (changed) {
    mRoster.reset();
  }
  if (mServers.size() > kMostServers) {
    std::erase_if(mServers, [](const auto& aServer) {
      return !aServer.second.entry.server && !aServer.second.held;
    });
  }
  return changed;
}

bool
Directory::Apply(State& aState, const ServerEntry& aEntry, TimePoint aNow)
{
  const auto before = aState.entry.server;
  if (!aEntry.server) {
    aState.entry = aEntry;
    if (before && HoldsRemovals(aNow)) {
      aState.held = true;
      aState.lastKnown = *before;
    }
    return before.has_value();
  }
  const auto& server = *aEntry.server;
  const bool older =
    server.started < aState.started || (before && !server.Follows(*before));
  if (older) {
    // A report of an earlier time that reached the store late.
    aState.entry.revision = aEntry.revision;
    return false;
  }
  if (server.started > aState.started) {
    aState.left = false;
  }
  aState.started = server.started;
  aState.entry = aEntry;
  aState.held = false;
  return !before || !(*before == server);
}

bool
Directory::NoteLeaving(const std::string& aId, std::uint64_t aStarted)
{
  const auto found = mServers.find(aId);
  if (found == mServers.end()) {
    return false;
  }
  auto& state = found->second;
  if (aStarted < state.started || state.left) {
    return false;
  }
  state.left = true;
  mRoster.reset();
  return true;
}

void
Directory::NoteStore(bool aAnswers, TimePoint aNow)
{
  if (aAnswers && !mStoreAnswers) {
    mStoreReturned = aNow;
  }
  mStoreAnswers = aAnswers;
}

void
Directory::NoteStoreElsewhere(TimePoint aSince)
{
  mStoreAnswers = true;
  mStoreReturned = aSince;
}

bool
Directory::HoldsRemovals(TimePoint aNow) const
{
  if (!mStoreAnswers) {
    return true;
  }
  return mStoreReturned != TimePoint{} &&
         aNow - mStoreReturned < mOptions.returnGrace;
}

bool
Directory::Tick(TimePoint aNow)
{
  if (HoldsRemovals(aNow)) {
    return false;
  }
  bool changed = false;
  for (auto& [id, state] : mServers) {
    changed |= state.held;
    state.held = false;
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
    const bool present = state.entry.server || state.held;
    if (!present) {
      continue;
    }
    auto server = state.entry.server ? *state.entry.server : state.lastKnown;
    server.leaving |= state.left;
    roster->emplace(id, std::move(server));
  }
  mRoster = std::move(roster);
  return mRoster;
}

} // namespace magnoliatide::fleet
