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
  /// The backend servers of one service in one zone.
  struct Pool
  {
    std::string service;
    std::string zone;
    std::vector<slots::OwnedBackend> backends;
    std::string ownerSlot;
    std::string ownerAddress;
    TimePoint nextDemand{};
    TimePoint lastDemand{};
    bool busy = false;
    std::map<std::string, int> limits; ///< As the owner told last.
  };

  using PoolName = std::pair<std::string, std::string>;

  void ChooseOwner(Pool& aPool) const;
  void SendDemand(Pool& aPool, TimePoint aNow);
  wire::SlotDemand DemandOf(Pool& aPool, TimePoint aNow);
  void TakeGrants(const wire::SlotGrants& aGrants, TimePoint aNow);
  slots::SlotOwner& OwnerOf(const Pool& aPool, TimePoint aNow);

  SlotServiceParts mParts;
  std::map<PoolName, Pool> mPools;
  std::map<PoolName, slots::SlotOwner> mOwners;
};

} // namespace magnoliatide::node

#endif
