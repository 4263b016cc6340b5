// Sends demands for slots, and applies and issues grants.
#include "slot_service.h"

#include "magnoliatide/core/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace magnoliatide::node {

namespace {

/// Time between demands while no request of this VM waits or runs.
constexpr Duration kIdleDemandPeriod = Milliseconds(400);
/// Time between demands while requests of this VM run on the shard.
constexpr Duration kBusyDemandPeriod = Milliseconds(150);
/// Time between demands while requests of this VM wait.
constexpr Duration kWaitingDemandPeriod = Milliseconds(40);
constexpr Duration kLeaseTime = Seconds(1);
constexpr std::size_t kMaxBackendsPerShard = 24;
/// Up to this number of shards, a VM always sends demands to the owners in all
/// zones. With more shards, it sends demands to other zones only while it uses
/// or needs their slots.
constexpr std::size_t kMaxAlwaysPolledShards = 8;

std::vector<std::string>
SlotsIn(const std::vector<wire::MemberRecord>& aLive, const std::string& aZone)
{
  std::vector<std::string> slots;
  for (const auto& record : aLive) {
    const bool inZone = record.slot.starts_with(aZone + "/");
    if (inZone && record.state == wire::MemberState::kAlive) {
      slots.push_back(record.slot);
    }
  }
  return slots;
}

} // namespace

bool
SlotService::ShardName::operator<(const ShardName& aOther) const
{
  return std::tie(service, zone, number) <
         std::tie(aOther.service, aOther.zone, aOther.number);
}

SlotService::SlotService(SlotServiceParams aParams)
  : mParams(std::move(aParams))
{
}

void
SlotService::AddBackend(std::map<ShardName, Shard>& aShards,
                        const document::BackendServer& aBackend) const
{
  ShardName name{ aBackend.service, aBackend.zone, 0 };
  while (aShards[name].names.size() == kMaxBackendsPerShard) {
    name.number += 1;
  }
  auto& shard = aShards[name];
  shard.names.push_back(aBackend.name);
  shard.backends.push_back(
    { aBackend.name, aBackend.slots, aBackend.maxSlots, true });
}

void
SlotService::Configure(const document::Document& aDocument)
{
  std::vector<const document::BackendServer*> engines;
  for (const auto& backend : aDocument.backends) {
    const auto* service = aDocument.FindService(backend.service);
    if (service->type == document::ServiceType::kModel) {
      engines.push_back(&backend);
    }
  }
  std::sort(engines.begin(), engines.end(), [](const auto* aL, const auto* aR) {
    return aL->name < aR->name;
  });
  std::map<ShardName, Shard> next;
  for (const auto* engine : engines) {
    AddBackend(next, *engine);
  }
  for (auto& [name, shard] : next) {
    shard.limits.assign(shard.names.size(), 0);
    const auto owner = mOwners.find(name);
    if (owner != mOwners.end()) {
      owner->second.SetBackends(shard.backends);
    }
  }
  mShards = std::move(next);
  mGeneration = aDocument.generation;
  MembersChanged();
}

void
SlotService::MembersChanged()
{
  const auto live = mParams.live();
  mLiveVms = std::max(1, static_cast<int>(live.size()));
  for (auto& [name, shard] : mShards) {
    ChooseOwner(name, shard, live);
    if (shard.ownerSlot != mParams.slot) {
      mOwners.erase(name);
    }
  }
}

void
SlotService::ChooseOwner(const ShardName& aName,
                         Shard& aShard,
                         const std::vector<wire::MemberRecord>& aLive) const
{
  auto candidates = SlotsIn(aLive, aName.zone);
  if (candidates.empty()) {
    for (const auto& record : aLive) {
      candidates.push_back(record.slot);
    }
  }
  const auto ranked =
    RankByRendezvous("slots " + aName.service + " " + aName.zone + " " +
                       std::to_string(aName.number),
                     std::move(candidates));
  aShard.ownerSlot = ranked.empty() ? mParams.slot : ranked.front();
  for (const auto& record : aLive) {
    if (record.slot == aShard.ownerSlot) {
      aShard.ownerAddress = record.address;
    }
  }
}

bool
SlotService::IsAlwaysPolled(const ShardName& aName) const
{
  return mShards.size() <= kMaxAlwaysPolledShards || aName.zone == mParams.zone;
}

void
SlotService::Tick(TimePoint aNow)
{
  std::map<std::string, policy::ServiceDemand> demands;
  for (auto& [name, shard] : mShards) {
    const auto [demand, isNew] = demands.try_emplace(name.service);
    if (isNew) {
      demand->second = mParams.scheduler->Demand(demand->first, aNow);
    }
    const bool waiting = !demand->second.waitingByTier.empty();
    const bool early =
      waiting && aNow - shard.lastDemand >= kWaitingDemandPeriod;
    if (aNow < shard.nextDemand && !early) {
      continue;
    }
    if (IsAlwaysPolled(name) || waiting || shard.busy) {
      SendDemand(name, shard, demand->second, aNow);
      UseFallbackShare(shard, aNow);
    } else {
      StopUsing(shard, aNow);
    }
  }
}

/// Stops using a shard's servers for a lease time and sends no demand.
void
SlotService::StopUsing(Shard& aShard, TimePoint aNow)
{
  aShard.unansweredSince = {};
  aShard.nextDemand = aNow + kLeaseTime / 2;
  for (const auto& backend : aShard.names) {
    mParams.scheduler->SetGrant(backend, 0, aNow + kLeaseTime);
  }
}

/// If the owner has not answered for a lease time, uses an equal share of the
/// slots, as every VM does without an owner.
void
SlotService::UseFallbackShare(Shard& aShard, TimePoint aNow)
{
  if (aNow - aShard.unansweredSince < kLeaseTime) {
    return;
  }
  for (const auto& backend : aShard.backends) {
    const int share = std::max(1, backend.slots / mLiveVms);
    mParams.scheduler->SetGrant(backend.name, share, aNow + kLeaseTime);
  }
}

wire::SlotDemand
SlotService::DemandOf(const ShardName& aName,
                      Shard& aShard,
                      const policy::ServiceDemand& aLocal)
{
  wire::SlotDemand demand;
  demand.service = aName.service;
  demand.zone = aName.zone;
  demand.shard = aName.number;
  demand.shedTier = static_cast<std::int8_t>(aLocal.shedTier);
  for (const int count : aLocal.waitingByTier) {
    demand.waitingByTier.push_back(
      static_cast<std::uint16_t>(std::min(count, 65535)));
  }
  aShard.busy = !aLocal.waitingByTier.empty();
  const auto loads = mParams.scheduler->TakeLoads(aShard.names);
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const auto& load = loads[i];
    if (load.inFlight == 0 && load.finished == 0) {
      continue;
    }
    aShard.busy = aShard.busy || load.inFlight > 0;
    demand.usages.push_back({ static_cast<std::uint8_t>(i),
                              static_cast<std::uint16_t>(load.inFlight),
                              static_cast<std::uint16_t>(load.finished),
                              static_cast<std::uint16_t>(load.late),
                              static_cast<std::uint16_t>(aShard.limits[i]) });
  }
  return demand;
}

void
SlotService::SendDemand(const ShardName& aName,
                        Shard& aShard,
                        const policy::ServiceDemand& aLocal,
                        TimePoint aNow)
{
  const auto demand = DemandOf(aName, aShard, aLocal);
  aShard.lastDemand = aNow;
  aShard.nextDemand =
    aNow + (aShard.busy ? kBusyDemandPeriod : kIdleDemandPeriod);
  if (aShard.unansweredSince == TimePoint{}) {
    aShard.unansweredSince = aNow;
  }
  if (aShard.ownerSlot == mParams.slot) {
    auto& owner = OwnerOf(aName, aShard, aNow);
    ApplyGrants(owner.Handle(mParams.slot, demand, aNow), aNow);
  } else {
    mParams.link->Send(aShard.ownerAddress, demand);
  }
  mParams.metrics->Count("slot_demands_total");
}

slots::SlotOwner&
SlotService::OwnerOf(const ShardName& aName,
                     const Shard& aShard,
                     TimePoint aNow)
{
  const auto found = mOwners.find(aName);
  if (found != mOwners.end()) {
    return found->second;
  }
  auto& owner =
    mOwners.emplace(aName, slots::SlotOwner({}, aNow)).first->second;
  owner.SetBackends(aShard.backends);
  return owner;
}

void
SlotService::Handle(const wire::Header& aHeader,
                    const wire::DatagramBody& aBody)
{
  if (aHeader.documentVersion.generation != mGeneration) {
    return; // Server indexes are valid within one document only.
  }
  const auto now = Clock::now();
  if (const auto* demand = std::get_if<wire::SlotDemand>(&aBody)) {
    const auto shard =
      mShards.find({ demand->service, demand->zone, demand->shard });
    if (shard != mShards.end()) {
      auto& owner = OwnerOf(shard->first, shard->second, now);
      mParams.link->Send(aHeader.sender.address,
                         owner.Handle(aHeader.sender.slot, *demand, now));
    }
  } else if (const auto* grants = std::get_if<wire::SlotGrants>(&aBody)) {
    ApplyGrants(*grants, now);
  }
}

void
SlotService::ApplyGrants(const wire::SlotGrants& aGrants, TimePoint aNow)
{
  const auto found =
    mShards.find({ aGrants.service, aGrants.zone, aGrants.shard });
  if (found == mShards.end()) {
    return;
  }
  auto& shard = found->second;
  shard.unansweredSince = {};
  // The lease starts at the demand, so that it ends here before it ends at the
  // owner.
  const auto leaseStart = std::min(aNow, shard.lastDemand);
  const auto until = leaseStart + Milliseconds(aGrants.leaseMillis);
  for (const auto& grant : aGrants.grants) {
    if (grant.index < shard.names.size()) {
      mParams.scheduler->SetGrant(shard.names[grant.index], grant.slots, until);
      shard.limits[grant.index] = grant.limit;
    }
  }
  if (aGrants.shedTier >= 0) {
    mParams.apply(mParams.scheduler->RecordFleetShed(
      aGrants.service, aGrants.shedTier, aNow));
  }
}

void
SlotService::DropGrants()
{
  const auto now = Clock::now();
  for (auto& [name, shard] : mShards) {
    for (const auto& backend : shard.names) {
      mParams.scheduler->SetGrant(backend, 0, now);
    }
    shard.nextDemand = now;
  }
  mOwners.clear();
}

} // namespace magnoliatide::node
