// Requests slots of engines from the VMs that own them, and grants the slots of
// the engines that this VM owns. Runs on the control loop.
#ifndef MAGNOLIATIDE_SRC_NODE_SLOT_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_SLOT_SERVICE_H

#include "peer_link.h"

#include "magnoliatide/document/document.h"
#include "magnoliatide/policy/scheduler.h"
#include "magnoliatide/slots/slot_owner.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies and callbacks of a SlotService.
struct SlotServiceParams
{
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  policy::Scheduler* scheduler = nullptr;
  std::string slot;
  std::string zone;
  /// Applies decisions of the scheduler.
  std::function<void(const policy::Decisions&)> apply;
  /// Returns the live VMs, this one included.
  std::function<std::vector<wire::MemberRecord>()> live;
};

/// Exchanges slot demands and grants with the owners of the shards.
class SlotService
{
public:
  explicit SlotService(SlotServiceParams aParams);

  /// Applies a configuration document.
  void Configure(const document::Document& aDocument);

  /// Chooses the shards' owners again after the live VMs changed.
  void MembersChanged();

  /// Sends due demands.
  void Tick(TimePoint aNow);

  /// Processes a demand or grants from a VM with the same document generation.
  void Handle(const wire::Header& aHeader, const wire::DatagramBody& aBody);

  /// After a pause of the process, releases all slots granted to this VM and
  /// drops the leases that it granted as an owner.
  void DropGrants();

private:
  /// Identifies a shard.
  struct ShardName
  {
    std::string service;
    std::string zone;
    std::uint16_t number = 0;

    bool operator<(const ShardName& aOther) const;
  };

  /// A group of engines of one service in one zone, small enough for their
  /// grants to fit a datagram.
  struct Shard
  {
    std::vector<slots::OwnedBackend> backends;
    std::vector<std::string> names; ///< Of the backends, in the same order.
    std::string ownerSlot;
    std::string ownerAddress;
    TimePoint nextDemand{};
    TimePoint lastDemand{};
    /// Time of the first demand since the last grant.
    TimePoint unansweredSince{};
    bool busy = false;
    /// Limits that the owner sent last, by backend index.
    std::vector<int> limits;
  };

  void AddBackend(std::map<ShardName, Shard>& aShards,
                  const document::BackendServer& aBackend) const;
  void ChooseOwner(const ShardName& aName,
                   Shard& aShard,
                   const std::vector<wire::MemberRecord>& aLive) const;
  bool IsAlwaysPolled(const ShardName& aName) const;
  void SendDemand(const ShardName& aName,
                  Shard& aShard,
                  const policy::ServiceDemand& aLocal,
                  TimePoint aNow);
  void UseFallbackShare(Shard& aShard, TimePoint aNow);
  void StopUsing(Shard& aShard, TimePoint aNow);
  wire::SlotDemand DemandOf(const ShardName& aName,
                            Shard& aShard,
                            const policy::ServiceDemand& aLocal);
  void ApplyGrants(const wire::SlotGrants& aGrants, TimePoint aNow);
  slots::SlotOwner& OwnerOf(const ShardName& aName,
                            const Shard& aShard,
                            TimePoint aNow);

  SlotServiceParams mParams;
  std::uint64_t mGeneration = 0;
  int mLiveVms = 1;
  std::map<ShardName, Shard> mShards;
  std::map<ShardName, slots::SlotOwner> mOwners;
};

} // namespace magnoliatide::node

#endif
