// Slots go to requests in progress first, then to waiting requests by tier. The
// remainder is divided equally, so that a new request finds a free slot.
#include "magnoliatide/slots/slot_owner.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::slots {

namespace {

/// Waiting requests of further tiers get no slots of their own.
constexpr std::size_t kMaxTiers = 16;

} // namespace

SlotOwner::SlotOwner(SlotOwnerOptions aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mOwnerSince(aNow)
{
}

void
SlotOwner::SetBackends(const std::vector<OwnedBackend>& aBackends)
{
  std::map<std::string, Backend> next;
  mNames.clear();
  for (const auto& config : aBackends) {
    const auto old = mBackends.find(config.name);
    Backend backend;
    if (old != mBackends.end()) {
      backend = std::move(old->second);
    } else {
      backend.limit = config.slots;
    }
    backend.config = config;
    mNames.push_back(config.name);
    next.emplace(config.name, std::move(backend));
  }
  mBackends = std::move(next);
}

wire::SlotGrants
SlotOwner::Handle(const std::string& aVm,
                  const wire::SlotDemand& aDemand,
                  TimePoint aNow)
{
  mDemands[aVm] = { aDemand.waitingByTier, aDemand.shedTier, aNow };
  ClearUsage(aVm);
  for (const auto& usage : aDemand.usages) {
    ApplyUsage(aVm, usage, aNow);
  }
  DropExpired(aNow);
  wire::SlotGrants grants;
  grants.service = aDemand.service;
  grants.zone = aDemand.zone;
  grants.shard = aDemand.shard;
  grants.leaseMillis = static_cast<std::uint32_t>(
    std::chrono::duration_cast<Milliseconds>(mOptions.lease).count());
  for (std::size_t i = 0; i < mNames.size(); ++i) {
    auto& backend = mBackends.at(mNames[i]);
    Adjust(backend, aNow);
    grants.grants.push_back(
      { static_cast<std::uint8_t>(i),
        static_cast<std::uint16_t>(GrantFor(aVm, backend, aNow)),
        static_cast<std::uint16_t>(backend.limit) });
  }
  int shed = -1;
  for (const auto& [vm, demand] : mDemands) {
    if (demand.shedTier >= 0 && (shed < 0 || demand.shedTier < shed)) {
      shed = demand.shedTier;
    }
  }
  grants.shedTier = static_cast<std::int8_t>(shed);
  return grants;
}

/// Resets the usage of a VM, as a demand omits the servers it does not use.
void
SlotOwner::ClearUsage(const std::string& aVm)
{
  for (auto& [name, backend] : mBackends) {
    const auto lease = backend.leases.find(aVm);
    if (lease != backend.leases.end()) {
      lease->second.inFlight = 0;
    }
  }
}

void
SlotOwner::ApplyUsage(const std::string& aVm,
                      const wire::SlotUsage& aUsage,
                      TimePoint aNow)
{
  if (aUsage.index >= mNames.size()) {
    return;
  }
  auto& backend = mBackends.at(mNames[aUsage.index]);
  if (!backend.limitAdopted && aUsage.limit > 0 &&
      aNow - mOwnerSince < mOptions.lease) {
    backend.limit = aUsage.limit;
    backend.limitAdopted = true;
  }
  backend.finished += aUsage.finished;
  backend.late += aUsage.late;
  auto& lease = backend.leases[aVm];
  lease.inFlight = aUsage.inFlight;
  lease.expiry = std::max(lease.expiry, aNow + mOptions.lease);
  lease.slots = std::max(lease.slots, lease.inFlight);
}

void
SlotOwner::Adjust(Backend& aBackend, TimePoint aNow)
{
  if (!aBackend.config.adaptive ||
      aNow - aBackend.lastAdjusted < mOptions.adjustInterval ||
      aBackend.finished == 0) {
    return;
  }
  int inFlight = 0;
  for (const auto& [vm, lease] : aBackend.leases) {
    inFlight += lease.inFlight;
  }
  const double lateShare =
    static_cast<double>(aBackend.late) / aBackend.finished;
  if (lateShare > mOptions.maxLateShare) {
    aBackend.limit = std::max(1.0, aBackend.limit * mOptions.decreaseFactor);
  } else if (inFlight >= mOptions.increaseThreshold * aBackend.limit) {
    const double maxLimit = aBackend.config.maxSlots;
    aBackend.limit = std::min(maxLimit, aBackend.limit + 1);
  }
  aBackend.finished = 0;
  aBackend.late = 0;
  aBackend.lastAdjusted = aNow;
}

void
SlotOwner::DropExpired(TimePoint aNow)
{
  std::erase_if(mDemands, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt >= mOptions.lease;
  });
  for (auto& [name, backend] : mBackends) {
    std::erase_if(backend.leases, [&](const auto& aEntry) {
      return aNow >= aEntry.second.expiry;
    });
  }
}

/// Returns the slots that a VM needs on each server for its waiting requests of
/// a tier, if they are spread evenly.
int
SlotOwner::SlotsNeeded(const DemandRecord& aDemand, std::size_t aTier) const
{
  if (aTier >= aDemand.waiting.size()) {
    return 0;
  }
  const auto servers = std::max<std::size_t>(1, mBackends.size());
  const auto waiting = static_cast<std::size_t>(aDemand.waiting[aTier]);
  return static_cast<int>((waiting + servers - 1) / servers);
}

/// Returns the slots of a server that a VM should have, whatever slots the
/// other VMs still lease.
int
SlotOwner::IdealGrant(const std::string& aVm, const Backend& aBackend) const
{
  int remaining = static_cast<int>(aBackend.limit);
  for (const auto& [vm, lease] : aBackend.leases) {
    remaining -= lease.inFlight;
  }
  const auto own = aBackend.leases.find(aVm);
  int ideal = own == aBackend.leases.end() ? 0 : own->second.inFlight;
  for (std::size_t tier = 0; tier < kMaxTiers && remaining > 0; ++tier) {
    int need = 0;
    for (const auto& [vm, demand] : mDemands) {
      need += SlotsNeeded(demand, tier);
    }
    if (need == 0) {
      continue;
    }
    const int ownNeed = SlotsNeeded(mDemands.at(aVm), tier);
    const int granted = std::min(need, remaining);
    // Rounding up is safe: GrantFor limits the grant to the unleased slots.
    ideal += (ownNeed * granted + need - 1) / need;
    remaining -= granted;
  }
  if (remaining <= 0) {
    return ideal;
  }
  // Equal shares; the remainder goes to VMs by their hash rank for this server.
  const int vms = static_cast<int>(mDemands.size());
  const int remainder = remaining % vms;
  int rank = 0;
  const auto ownHash = Hash64(aVm + aBackend.config.name);
  for (const auto& [vm, demand] : mDemands) {
    rank += Hash64(vm + aBackend.config.name) < ownHash ? 1 : 0;
  }
  return ideal + remaining / vms + (rank < remainder ? 1 : 0);
}

/// Renews the lease of a VM on a server and returns the granted slots.
int
SlotOwner::GrantFor(const std::string& aVm, Backend& aBackend, TimePoint aNow)
{
  auto& own = aBackend.leases[aVm];
  int others = 0;
  for (const auto& [vm, lease] : aBackend.leases) {
    others += vm == aVm ? 0 : lease.slots;
  }
  const int available = static_cast<int>(aBackend.limit) - others;
  int grant = std::min(IdealGrant(aVm, aBackend), std::max(0, available));
  if (aNow - mOwnerSince < mOptions.lease) {
    // Leases of a previous owner may still be valid: grant no more than the
    // slots that this VM uses or its equal share.
    const int vms = std::max(1, static_cast<int>(mDemands.size()));
    const int equalShare = static_cast<int>(aBackend.limit) / vms;
    grant = std::min(grant, std::max(own.inFlight, equalShare));
  }
  own.slots = std::max(grant, own.inFlight);
  own.expiry = aNow + mOptions.lease;
  return std::max(grant, own.inFlight);
}

int
SlotOwner::Leased(const std::string& aBackend, TimePoint aNow) const
{
  int slots = 0;
  const auto found = mBackends.find(aBackend);
  if (found == mBackends.end()) {
    return slots;
  }
  for (const auto& [vm, lease] : found->second.leases) {
    slots += aNow < lease.expiry ? lease.slots : 0;
  }
  return slots;
}

double
SlotOwner::Limit(const std::string& aBackend) const
{
  const auto found = mBackends.find(aBackend);
  return found == mBackends.end() ? 0 : found->second.limit;
}

} // namespace magnoliatide::slots
