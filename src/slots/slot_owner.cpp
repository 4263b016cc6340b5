// Division of slots: work in progress first, then waiting work by tier, then
// what is left in equal parts, so that a new request finds a slot at once.
#include "magnoliatide/slots/slot_owner.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <cmath>

namespace magnoliatide::slots {

namespace {

constexpr std::size_t kMostTiers = 16;

} // namespace

SlotOwner::SlotOwner(SlotOwnerOptions aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mSince(aNow)
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
  mVms[aVm] = { aDemand.waitingByTier, aDemand.shedTier, aNow };
  ForgetUse(aVm);
  for (const auto& use : aDemand.uses) {
    NoteUse(aVm, use, aNow);
  }
  DropOld(aNow);
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
  for (const auto& [vm, demand] : mVms) {
    if (demand.shedTier >= 0 && (shed < 0 || demand.shedTier < shed)) {
      shed = demand.shedTier;
    }
  }
  grants.shedTier = static_cast<std::int8_t>(shed);
  return grants;
}

/// A server that a demand leaves out is not used by its VM.
void
SlotOwner::ForgetUse(const std::string& aVm)
{
  for (auto& [name, backend] : mBackends) {
    const auto lease = backend.leases.find(aVm);
    if (lease != backend.leases.end()) {
      lease->second.inFlight = 0;
    }
  }
}

void
SlotOwner::NoteUse(const std::string& aVm,
                   const wire::SlotUse& aUse,
                   TimePoint aNow)
{
  if (aUse.index >= mNames.size()) {
    return;
  }
  auto& backend = mBackends.at(mNames[aUse.index]);
  if (!backend.adopted && aUse.limit > 0 && aNow - mSince < mOptions.lease) {
    backend.limit = aUse.limit;
    backend.adopted = true;
  }
  backend.finished += aUse.finished;
  backend.late += aUse.late;
  auto& lease = backend.leases[aVm];
  lease.inFlight = aUse.inFlight;
  lease.until = std::max(lease.until, aNow + mOptions.lease);
  lease.slots = std::max(lease.slots, lease.inFlight);
}

void
SlotOwner::Adjust(Backend& aBackend, TimePoint aNow)
{
  if (!aBackend.config.learns ||
      aNow - aBackend.adjusted < mOptions.adjustInterval ||
      aBackend.finished == 0) {
    return;
  }
  int inFlight = 0;
  for (const auto& [vm, lease] : aBackend.leases) {
    inFlight += lease.inFlight;
  }
  const double late = static_cast<double>(aBackend.late) / aBackend.finished;
  if (late > mOptions.lateShare) {
    aBackend.limit = std::max(1.0, aBackend.limit * mOptions.decrease);
  } else if (inFlight >= mOptions.busyShare * aBackend.limit) {
    const double most = aBackend.config.maxSlots;
    aBackend.limit = std::min(most, aBackend.limit + 1);
  }
  aBackend.finished = 0;
  aBackend.late = 0;
  aBackend.adjusted = aNow;
}

void
SlotOwner::DropOld(TimePoint aNow)
{
  std::erase_if(mVms, [&](const auto& aEntry) {
    return aNow - aEntry.second.seen >= mOptions.lease;
  });
  for (auto& [name, backend] : mBackends) {
    std::erase_if(backend.leases, [&](const auto& aEntry) {
      return aNow >= aEntry.second.until;
    });
  }
}

int
SlotOwner::NeedOf(const VmDemand& aDemand, std::size_t aTier) const
{
  if (aTier >= aDemand.waiting.size()) {
    return 0;
  }
  const auto servers = std::max<std::size_t>(1, mBackends.size());
  const auto waiting = static_cast<std::size_t>(aDemand.waiting[aTier]);
  return static_cast<int>((waiting + servers - 1) / servers);
}

int
SlotOwner::IdealFor(const std::string& aVm, const Backend& aBackend) const
{
  int left = static_cast<int>(aBackend.limit);
  for (const auto& [vm, lease] : aBackend.leases) {
    left -= lease.inFlight;
  }
  const auto own = aBackend.leases.find(aVm);
  int ideal = own == aBackend.leases.end() ? 0 : own->second.inFlight;
  for (std::size_t tier = 0; tier < kMostTiers && left > 0; ++tier) {
    int need = 0;
    for (const auto& [vm, demand] : mVms) {
      need += NeedOf(demand, tier);
    }
    if (need == 0) {
      continue;
    }
    const int mine = NeedOf(mVms.at(aVm), tier);
    const int given = std::min(need, left);
    // Rounded up: what others hold bounds the grant in the end.
    ideal += (mine * given + need - 1) / need;
    left -= given;
  }
  if (left <= 0) {
    return ideal;
  }
  // Equal parts; the rest goes to some VMs by their rank for this server.
  const int vms = static_cast<int>(mVms.size());
  const int rest = left % vms;
  int rank = 0;
  const auto mine = Hash64(aVm + aBackend.config.name);
  for (const auto& [vm, demand] : mVms) {
    rank += Hash64(vm + aBackend.config.name) < mine ? 1 : 0;
  }
  return ideal + left / vms + (rank < rest ? 1 : 0);
}

int
SlotOwner::GrantFor(const std::string& aVm, Backend& aBackend, TimePoint aNow)
{
  auto& own = aBackend.leases[aVm];
  int others = 0;
  for (const auto& [vm, lease] : aBackend.leases) {
    others += vm == aVm ? 0 : lease.slots;
  }
  const int free = static_cast<int>(aBackend.limit) - others;
  int grant = std::min(IdealFor(aVm, aBackend), std::max(0, free));
  if (aNow - mSince < mOptions.lease) {
    // Leases of a former owner may still hold: grant no more than what this
    // VM uses, or its equal part.
    const int vms = std::max(1, static_cast<int>(mVms.size()));
    const int part = static_cast<int>(aBackend.limit) / vms;
    grant = std::min(grant, std::max(own.inFlight, part));
  }
  own.slots = std::max(grant, own.inFlight);
  own.until = aNow + mOptions.lease;
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
    slots += aNow < lease.until ? lease.slots : 0;
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
