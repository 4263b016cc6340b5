// Asks the owners of backend servers for slots, and is the owner of some.
// On the control loop.
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

struct SlotServiceParts
{
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  policy::Scheduler* scheduler = nullptr;
  std::string slot;
  std::string zone;
  /// Carries out decisions of the scheduler.
  std::function<void(const policy::Decisions&)> apply;
  /// Returns the live VMs, this one included.
  std::function<std::vector<wire::MemberRecord>()> live;
};

class SlotService
{
public:
  explicit SlotService(SlotServiceParts aParts);

  void Configure(const document::Document& aDocument);

  /// Takes over a change of the live VMs.
  void MembersChanged();

  /// Sends the demands that are due.
  void Tick(TimePoint aNow);

  void Handle(const wire::Header& aHeader, const wire::DatagramBody& aBody);

  /// Gives back what was granted, after a pause of the process.
  void DropGrants();

private:
  /// Names a shard.
  struct ShardName
  {
    std::string service;
    std::string zone;
    std::uint16_t number = 0;

    bool operator<(const ShardName& aOther) const;
  };

  /// Some of the backend servers of one service in one zone: few enough for
  /// their grants to fit a datagram.
  struct Shard
  {
    std::vector<slots::OwnedBackend> backends;
    std::vector<std::string> names; ///< Of the backends, in their order.
    std::string ownerSlot;
    std::string ownerAddress;
    TimePoint nextDemand{};
    TimePoint lastDemand{};
    TimePoint askedSince{}; ///< First demand since the last grant.
    bool busy = false;
    std::vector<int> limits; ///< As the owner told last, by index.
  };

  void AddBackend(std::map<ShardName, Shard>& aShards,
                  const document::BackendServer& aBackend) const;
  void ChooseOwner(const ShardName& aName,
                   Shard& aShard,
                   const std::vector<wire::MemberRecord>& aLive) const;
  bool IsNear(const ShardName& aName) const;
  void SendDemand(const ShardName& aName,
                  Shard& aShard,
                  const policy::ServiceDemand& aLocal,
                  TimePoint aNow);
  void FallBack(Shard& aShard, TimePoint aNow);
  void Renounce(Shard& aShard, TimePoint aNow);
  wire::SlotDemand DemandOf(const ShardName& aName,
                            Shard& aShard,
                            const policy::ServiceDemand& aLocal);
  void TakeGrants(const wire::SlotGrants& aGrants, TimePoint aNow);
  slots::SlotOwner& OwnerOf(const ShardName& aName,
                            const Shard& aShard,
                            TimePoint aNow);

  SlotServiceParts mParts;
  std::uint64_t mGeneration = 0;
  int mVms = 1;
  std::map<ShardName, Shard> mShards;
  std::map<ShardName, slots::SlotOwner> mOwners;
};

} // namespace magnoliatide::node

#endif
