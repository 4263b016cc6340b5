// Keeps the VM's replica of the platform's store, from which the configuration
// and the list of backend servers come. Changes are read from the store and
// exchanged with other VMs. Runs on the event loop.
#ifndef MAGNOLIATIDE_SRC_NODE_REPLICA_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_REPLICA_SERVICE_H

#include "peer_link.h"
#include "replica_log.h"
#include "store_follower.h"

#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/fleet/directory.h"
#include "magnoliatide/fleet/reader_election.h"
#include "magnoliatide/fleet/store_replica.h"
#include "magnoliatide/fleet/sync_peer_selector.h"
#include "magnoliatide/telemetry/audit.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies, options and callbacks of a ReplicaService.
struct ReplicaServiceParams
{
  boost::asio::io_context* loop = nullptr;
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  telemetry::AuditTrail* audit = nullptr;
  RcuCell<routing::Table>* table = nullptr;
  StoreFollowerOptions follower;
  fleet::DirectoryOptions directory;
  /// Whether this VM is a seed, which VMs that start contact first.
  bool isSeed = false;
  /// Returns the addresses of the other VMs of the zone.
  std::function<std::vector<std::string>()> peersInZone;
  /// Called with each new configuration.
  std::function<void(const routing::TablePointer&)> onTable;
  /// Called after the list of servers has changed.
  std::function<void()> onServers;
};

/// Keeps the store replica up to date and publishes what it contains.
class ReplicaService
{
public:
  explicit ReplicaService(ReplicaServiceParams aParams);

  void Start();

  /// Sets this VM's rank among the live VMs of its zone, from 0.
  void SetRank(std::size_t aRank) { mReaderElection.SetRank(aRank); }

  /// Records that another VM of the zone runs and is a seed.
  void RecordSeedRunning() { mSeedRunning = true; }

  /// Starts or stops reading the store, fetches missing changes, sends due
  /// announcements and applies deferred removals.
  void Tick(TimePoint aNow);

  routing::RosterPointer Roster() const { return mDirectory.Roster(); }

  std::uint64_t Revision() const { return mReplica.Revision(); }

  /// Records that one incarnation of a server is leaving. Returns whether that
  /// was not known before.
  bool RecordLeaving(const std::string& aServer,
                     std::uint64_t aStarted,
                     const std::string& aWhy);

  /// Records the revision up to which another VM has all changes, and fetches
  /// those that are missing here.
  ///
  /// @param aInZone Whether that VM belongs to this zone.
  void RecordRevision(const std::string& aAddress,
                      std::uint64_t aRevision,
                      bool aInZone);

  /// Applies changes that another VM sent.
  ///
  /// @param aInZone Whether that VM belongs to this zone.
  void Apply(const wire::ReplicaUpdate& aUpdate,
             const std::string& aFrom,
             bool aInZone);

  /// Returns one page of the changes that another VM requests.
  wire::ReplicaUpdate HandleRequest(const wire::ReplicaRequest& aRequest) const;

private:
  StoreFollowerParams MakeFollowerParams();
  void ApplyNewItems(const std::vector<wire::ReplicaItem>& aNewItems,
                     const std::string& aFrom);
  bool ApplyServer(const wire::ReplicaItem& aItem);
  bool ApplyEvacuation(const wire::ReplicaItem& aItem);
  void PublishTable();
  void ApplyConfiguration(const wire::ReplicaItem& aItem,
                          const std::string& aFrom);
  void PushChanges(std::uint64_t aBefore);
  std::uint32_t StoreUpMillis(TimePoint aNow) const;
  bool ReadsStore(TimePoint aNow) const;
  void FetchMissing();
  boost::asio::awaitable<void> Fetch(std::string aAddress);
  boost::asio::awaitable<void> FetchFrom(std::string aAddress);
  void SendAnnouncement(TimePoint aNow);

  ReplicaServiceParams mParams;
  fleet::StoreReplica mReplica;
  fleet::Directory mDirectory;
  fleet::ReaderElection mReaderElection;
  fleet::SyncPeerSelector mPeerSelector;
  std::uint64_t mSource; ///< Identifies this process in its replies.
  StoreFollower mFollower;
  TimePoint mStarted;
  /// How long another VM has to send its items before this one reads the store.
  Duration mFirstReadDelay;
  TimePoint mNextAnnouncement{};
  bool mSeedRunning = false;
  bool mFetching = false;
  /// The configuration has changed and is not published yet.
  bool mTableChanged = false;
  std::uint64_t mMaxPeerRevision = 0; ///< The highest that a VM reported.
  ReplicaLog mLog;
};

} // namespace magnoliatide::node

#endif
