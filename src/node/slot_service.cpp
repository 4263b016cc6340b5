// Demands and grants of slots.
#include "slot_service.h"

#include "magnoliatide/core/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace magnoliatide::node {

namespace {

constexpr Duration kIdlePeriod = Milliseconds(400);
constexpr Duration kBusyPeriod = Milliseconds(150);
constexpr Duration kWaitingPeriod = Milliseconds(40);
constexpr Duration kLease = Seconds(1);
constexpr std::size_t kBackendsPerShard = 24;
/// Up to this many shards, a VM asks the owners of all zones at any time;
/// beyond, those of other zones only while it uses or needs them.
constexpr std::size_t kShardsAskedAlways = 8;

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

SlotService::SlotService(SlotServiceParts aParts)
  : mParts(std::move(aParts))
{
}

void
SlotService::AddBackend(std::map<ShardName, Shard>& aShards,
                        const document::BackendServer& aBackend) const
{
  ShardName name{ aBackend.service, aBackend.zone, 0 };
  while (aShards[name].names.size() == kBackendsPerShard) {
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
  const auto live = mParts.live();
  mVms = std::max(1, static_cast<int>(live.size()));
  for (auto& [name, shard] : mShards) {
    ChooseOwner(name, shard, live);
    if (shard.ownerSlot != mParts.slot) {
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
  aShard.ownerSlot = ranked.empty() ? mParts.slot : ranked.front();
  for (const auto& record : aLive) {
    if (record.slot == aShard.ownerSlot) {
      aShard.ownerAddress = record.address;
    }
  }
}

bool
SlotService::IsNear(const ShardName& aName) const
{
  return mShards.size() <= kShardsAskedAlways || aName.zone == mParts.zone;
}

void
SlotService::Tick(TimePoint aNow)
{
  std::map<std::string, policy::ServiceDemand> demands;
  for (auto& [name, shard] : mShards) {
    const auto [demand, fresh] = demands.try_emplace(name.service);
    if (fresh) {
      demand->second = mParts.scheduler->Demand(demand->first, aNow);
    }
    const bool waiting = !demand->second.waitingByTier.empty();
    const bool early = waiting && aNow - shard.lastDemand >= kWaitingPeriod;
    if (aNow < shard.nextDemand && !early) {
      continue;
    }
    if (IsNear(name) || waiting || shard.busy) {
      SendDemand(name, shard, demand->second, aNow);
      FallBack(shard, aNow);
    } else {
      Renounce(shard, aNow);
    }
  }
}

/// Uses none of a shard's servers for a while, without asking their owner.
void
SlotService::Renounce(Shard& aShard, TimePoint aNow)
{
  aShard.askedSince = {};
  aShard.nextDemand = aNow + kLease / 2;
  for (const auto& backend : aShard.names) {
    mParts.scheduler->SetGrant(backend, 0, aNow + kLease);
  }
}

/// Where no owner answers for a lease time, the equal part that each VM has
/// without one is used.
void
SlotService::FallBack(Shard& aShard, TimePoint aNow)
{
  if (aNow - aShard.askedSince < kLease) {
    return;
  }
  for (const auto& backend : aShard.backends) {
    const int part = std::max(1, backend.slots / mVms);
    mParts.scheduler->SetGrant(backend.name, part, aNow + kLease);
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
  const auto loads = mParts.scheduler->TakeLoads(aShard.names);
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const auto& load = loads[i];
    if (load.inFlight == 0 && load.finished == 0) {
      continue;
    }
    aShard.busy = aShard.busy || load.inFlight > 0;
    demand.uses.push_back({ static_cast<std::uint8_t>(i),
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
  aShard.nextDemand = aNow + (aShard.busy ? kBusyPeriod : kIdlePeriod);
  if (aShard.askedSince == TimePoint{}) {
    aShard.askedSince = aNow;
  }
  if (aShard.ownerSlot == mParts.slot) {
    auto& owner = OwnerOf(aName, aShard, aNow);
    TakeGrants(owner.Handle(mParts.slot, demand, aNow), aNow);
  } else {
    mParts.link->Send(aShard.ownerAddress, demand);
  }
  mParts.metrics->Count("slot_demands_total");
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
  if (aHeader.head.generation != mGeneration) {
    return; // Indexes mean servers of one document only.
  }
  const auto now = Clock::now();
  if (const auto* demand = std::get_if<wire::SlotDemand>(&aBody)) {
    const auto shard =
      mShards.find({ demand->service, demand->zone, demand->shard });
    if (shard != mShards.end()) {
      auto& owner = OwnerOf(shard->first, shard->second, now);
      mParts.link->Send(aHeader.sender.address,
                        owner.Handle(aHeader.sender.slot, *demand, now));
    }
  } else if (const auto* grants = std::get_if<wire::SlotGrants>(&aBody)) {
    TakeGrants(*grants, now);
  }
}

void
SlotService::TakeGrants(const wire::SlotGrants& aGrants, TimePoint aNow)
{
  const auto found =
    mShards.find({ aGrants.service, aGrants.zone, aGrants.shard });
  if (found == mShards.end()) {
    return;
  }
  auto& shard = found->second;
  shard.askedSince = {};
  // Counted from the demand, so that the lease ends here before its owner
  // takes it to have ended.
  const auto begun = std::min(aNow, shard.lastDemand);
  const auto until = begun + Milliseconds(aGrants.leaseMillis);
  for (const auto& grant : aGrants.grants) {
    if (grant.index < shard.names.size()) {
      mParts.scheduler->SetGrant(shard.names[grant.index], grant.slots, until);
      shard.limits[grant.index] = grant.limit;
    }
  }
  if (aGrants.shedTier >= 0) {
    mParts.apply(
      mParts.scheduler->NoteFleetShed(aGrants.service, aGrants.shedTier, aNow));
  }
}

void
SlotService::DropGrants()
{
  const auto now = Clock::now();
  for (auto& [name, shard] : mShards) {
    for (const auto& backend : shard.names) {
      mParts.scheduler->SetGrant(backend, 0, now);
    }
    shard.nextDemand = now;
  }
  mOwners.clear();
}

} // namespace magnoliatide::node
