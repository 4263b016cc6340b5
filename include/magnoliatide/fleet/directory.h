// A VM's merged view of the configuration and the backend servers. Its sources
// are the platform's store, other VMs and the servers' own answers; versions
// never decrease. No I/O.
#ifndef MAGNOLIATIDE_FLEET_DIRECTORY_H
#define MAGNOLIATIDE_FLEET_DIRECTORY_H

#include "magnoliatide/routing/roster.h"
#include "magnoliatide/routing/table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnoliatide::fleet {

/// The last known store entry of a server.
struct ServerEntry
{
  std::string id;
  std::optional<routing::Server> server; ///< Empty: removed.
  std::uint64_t revision = 0;            ///< Store revision of this change.
};

/// An operator's request that nothing be sent to the servers of a zone.
struct Evacuation
{
  TimePoint since;            ///< When this VM learned of it.
  std::uint64_t revision = 0; ///< Store revision of the request.
};

struct DirectoryOptions
{
  /// How long an evacuation stays in force that is missing after the store came
  /// back from an older copy. Its operator writes it again within seconds.
  Duration evacuationHold = Seconds(10);

  /// How long removals are deferred after the store becomes reachable again.
  /// Live servers write their entries again within this time.
  Duration returnGrace = Milliseconds(2000);
};

/// Merges updates that arrive late, repeated or out of order.
class Directory
{
public:
  explicit Directory(DirectoryOptions aOptions = {});

  /// Adopts a configuration if its version is higher than the active one.
  ///
  /// @return Whether it was adopted.
  bool MergeTable(const routing::TablePointer& aTable);

  const routing::TablePointer& Table() const { return mTable; }

  /// Applies a change of a server entry unless a later one is known.
  ///
  /// @return Whether the known entry changed.
  bool MergeServer(const ServerEntry& aEntry, TimePoint aNow);

  /// Sets whether a zone is evacuated. Its servers get no new requests then.
  /// If the store has entered a later era, an evacuation that is missing stays
  /// for a time, and one that was taken back does not return.
  ///
  /// @param aRevision Store revision of this change. An earlier one than the
  ///     last of the zone is ignored.
  /// @return Whether this is a change.
  bool SetEvacuated(const std::string& aZone,
                    bool aEvacuated,
                    std::uint64_t aRevision,
                    TimePoint aNow);

  /// Returns the evacuated zones.
  std::map<std::string, Evacuation> Evacuations() const;

  /// Marks an incarnation of a server as leaving or down, as observed in an
  /// answer or reported by another VM. It gets no new requests, whatever later
  /// versions of its entry say.
  ///
  /// @param aStarted Identifies the incarnation, as routing::Server::started.
  /// @return Whether the mark is new.
  bool RecordLeaving(const std::string& aId, std::uint64_t aStarted);

  /// Records whether this VM can reach the store.
  void RecordStoreAccess(bool aReachable, TimePoint aNow);

  /// Records that another VM can reach the store, and since when. This
  /// overrides what this VM last observed, which may be long ago.
  void RecordRemoteStoreAccess(TimePoint aSince);

  /// Returns since when the store can be reached, as far as this VM knows: zero
  /// if it was never unreachable.
  TimePoint StoreReachableSince() const { return mStoreReachableSince; }

  /// Applies deferred removals that are due, of servers and of evacuations.
  ///
  /// @return Whether any was due.
  bool Tick(TimePoint aNow);

  /// Returns the servers that exist, with the leaving ones marked. Every change
  /// results in a new object.
  routing::RosterPointer Roster() const;

private:
  struct State
  {
    ServerEntry entry;
    /// Start time of the latest known incarnation; outlives its entry.
    std::uint64_t started = 0;
    std::uint64_t report = 0;     ///< The latest known one of that incarnation.
    bool seenLeaving = false;     ///< This incarnation was seen to leave.
    bool removalDeferred = false; ///< Removed, but still in the roster.
    routing::Server lastKnown;    ///< Valid if removalDeferred is set.
  };

  /// The last change of a zone's evacuation.
  struct ZoneState
  {
    bool evacuated = false;
    Evacuation evacuation;       ///< Its revision is that of the last change.
    std::uint64_t requested = 0; ///< Revision of the last request.
    /// Counters of the latest requests that were taken back.
    std::set<std::uint64_t> withdrawn;
    /// The request is missing in a later era; it ends then. Zero: not missing.
    TimePoint heldUntil{};
  };

  bool IsEvacuated(const std::string& aZone) const;
  static void RecordWithdrawn(ZoneState& aState);
  void RecordEra(std::uint64_t aRevision, TimePoint aNow);
  static bool IsOlderReport(const State& aState, const ServerEntry& aEntry);
  bool ApplyEntry(State& aState, const ServerEntry& aEntry, TimePoint aNow);
  bool DefersRemovals(TimePoint aNow) const;

  DirectoryOptions mOptions;
  /// Its version never decreases.
  routing::TablePointer mTable;
  std::map<std::string, State> mServers;
  std::map<std::string, ZoneState> mZones; ///< Those that were ever evacuated.
  std::uint64_t mEra = 0;  ///< The highest era of the store that is known.
  TimePoint mEraBeganAt{}; ///< When it became known; zero in the first one.
  bool mStoreReachable = true;
  TimePoint mStoreReachableSince{};       ///< Zero: it was never unreachable.
  mutable routing::RosterPointer mRoster; ///< Null: must be rebuilt.
};

} // namespace magnoliatide::fleet

#endif
