// Demands and grants of slots.
#include "slot_service.h"

#include "magnoliatide/core/rendezvous.h"

#include <algorithm>

namespace magnoliatide::node {

namespace {

constexpr Duration kIdlePeriod = Milliseconds(400);
constexpr Duration kBusyPeriod = Milliseconds(150);
constexpr Duration kWaitingPeriod = Milliseconds(40);

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

SlotService::SlotService(SlotServiceParts aParts)
  : mParts(std::move(aParts))
{
}

void
SlotService::Configure(const document::Document& aDocument)
{
  std::map<PoolName, Pool> next;
  for (const auto& backend : aDocument.backends) {
    const auto* service = aDocument.FindService(backend.service);
    if (service->type != document::ServiceType::kModel) {
      continue;
    }
    auto& pool = next[{ backend.service, backend.zone }];
    pool.service = backend.service;
    pool.zone = backend.zone;
    pool.backends.push_back(
      { backend.name, backend.slots, backend.maxSlots, true });
  }
  for (auto& [name, pool] : next) {
    const auto owner = mOwners.find(name);
    if (owner != mOwners.end()) {
      owner->second.SetBackends(pool.backends);
    }
    const auto old = mPools.find(name);
    if (old != mPools.end()) {
      pool.limits = old->second.limits;
    }
  }
  mPools = std::move(next);
  MembersChanged();
}

void
SlotService::MembersChanged()
{
  for (auto& [name, pool] : mPools) {
    ChooseOwner(pool);
    if (pool.ownerSlot != mParts.slot) {
      mOwners.erase(name);
    }
  }
}

void
SlotService::ChooseOwner(Pool& aPool) const
{
  const auto live = mParts.live();
  auto candidates = SlotsIn(live, aPool.zone);
  if (candidates.empty()) {
    for (const auto& record : live) {
      candidates.push_back(record.slot);
    }
  }
  const auto ranked = RankByRendezvous(
    "slots " + aPool.service + " " + aPool.zone, std::move(candidates));
  aPool.ownerSlot = ranked.empty() ? mParts.slot : ranked.front();
  for (const auto& record : live) {
    if (record.slot == aPool.ownerSlot) {
      aPool.ownerAddress = record.address;
    }
  }
}

void
SlotService::Tick(TimePoint aNow)
{
  for (auto& [name, pool] : mPools) {
    const auto demand = mParts.scheduler->Demand(pool.service, aNow);
    const bool waiting = !demand.waitingByTier.empty();
    const bool early = waiting && aNow - pool.lastDemand >= kWaitingPeriod;
    if (aNow >= pool.nextDemand || early) {
      SendDemand(pool, aNow);
    }
  }
}

wire::SlotDemand
SlotService::DemandOf(Pool& aPool, TimePoint aNow)
{
  const auto local = mParts.scheduler->Demand(aPool.service, aNow);
  wire::SlotDemand demand;
  demand.service = aPool.service;
  demand.zone = aPool.zone;
  demand.shedTier = static_cast<std::int8_t>(local.shedTier);
  for (const int count : local.waitingByTier) {
    demand.waitingByTier.push_back(
      static_cast<std::uint16_t>(std::min(count, 65535)));
  }
  aPool.busy = !local.waitingByTier.empty();
  for (const auto& load :
       mParts.scheduler->TakeLoads(aPool.service, aPool.zone)) {
    aPool.busy = aPool.busy || load.inFlight > 0;
    demand.uses.push_back(
      { load.name,
        static_cast<std::uint16_t>(load.inFlight),
        static_cast<std::uint16_t>(load.finished),
        static_cast<std::uint16_t>(load.late),
        static_cast<std::uint16_t>(aPool.limits[load.name]) });
  }
  return demand;
}

void
SlotService::SendDemand(Pool& aPool, TimePoint aNow)
{
  const auto demand = DemandOf(aPool, aNow);
  aPool.lastDemand = aNow;
  aPool.nextDemand = aNow + (aPool.busy ? kBusyPeriod : kIdlePeriod);
  if (aPool.ownerSlot == mParts.slot) {
    TakeGrants(OwnerOf(aPool, aNow).Handle(mParts.slot, demand, aNow), aNow);
  } else {
    mParts.link->Send(aPool.ownerAddress, demand);
  }
  mParts.metrics->Count("slot_demands_total");
}

slots::SlotOwner&
SlotService::OwnerOf(const Pool& aPool, TimePoint aNow)
{
  const PoolName name{ aPool.service, aPool.zone };
  const auto found = mOwners.find(name);
  if (found != mOwners.end()) {
    return found->second;
  }
  auto& owner = mOwners.emplace(name, slots::SlotOwner({}, aNow)).first->second;
  owner.SetBackends(aPool.backends);
  return owner;
}

void
SlotService::Handle(const wire::Header& aHeader,
                    const wire::DatagramBody& aBody)
{
  const auto now = Clock::now();
  if (const auto* demand = std::get_if<wire::SlotDemand>(&aBody)) {
    const auto pool = mPools.find({ demand->service, demand->zone });
    if (pool != mPools.end()) {
      mParts.link->Send(
        aHeader.sender.address,
        OwnerOf(pool->second, now).Handle(aHeader.sender.slot, *demand, now));
    }
  } else if (const auto* grants = std::get_if<wire::SlotGrants>(&aBody)) {
    TakeGrants(*grants, now);
  }
}

void
SlotService::TakeGrants(const wire::SlotGrants& aGrants, TimePoint aNow)
{
  const auto pool = mPools.find({ aGrants.service, aGrants.zone });
  if (pool == mPools.end()) {
    return;
  }
  // Counted from the demand, so that the lease ends here before its owner
  // takes it to have ended.
  const auto begun = std::min(aNow, pool->second.lastDemand);
  const auto until = begun + Milliseconds(aGrants.leaseMillis);
  for (const auto& grant : aGrants.grants) {
    mParts.scheduler->SetGrant(grant.backend, grant.slots, until);
    pool->second.limits[grant.backend] = grant.limit;
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
  for (auto& [name, pool] : mPools) {
    for (const auto& backend : pool.backends) {
      mParts.scheduler->SetGrant(backend.name, 0, now);
    }
    pool.nextDemand = now;
  }
  mOwners.clear();
}

} // namespace magnoliatide::node
