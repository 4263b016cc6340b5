// Leases the slots of a shard to the VMs that share it. A shard is a subset of
// the backend servers of one service in one zone. Individual requests are not
// tracked. No I/O.
#ifndef MAGNOLIATIDE_SLOTS_SLOT_OWNER_H
#define MAGNOLIATIDE_SLOTS_SLOT_OWNER_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::slots {

/// Settings of a backend server whose slots are leased.
struct OwnedBackend
{
  std::string name;
  int slots = 8;        ///< Initial limit.
  int maxSlots = 64;    ///< Upper bound of an adaptive limit.
  bool adaptive = true; ///< Whether reports adjust the limit.
};

struct SlotOwnerOptions
{
  Duration lease = Seconds(1);
  /// Share of late requests above which a limit decreases.
  double maxLateShare = 0.1;
  double decreaseFactor = 0.9;
  /// Utilization at or above which a limit increases by one.
  double increaseThreshold = 0.8;
  Duration adjustInterval = Milliseconds(400);
};

/// Grants leases within the concurrency limit of each server. Adapts the limits
/// by additive increase and multiplicative decrease.
class SlotOwner
{
public:
  SlotOwner(SlotOwnerOptions aOptions, TimePoint aNow);

  /// Sets the backend servers of the shard, in the order of their names.
  /// Servers that remain keep their limits.
  void SetBackends(const std::vector<OwnedBackend>& aBackends);

  /// Renews the leases of a VM according to its demand.
  ///
  /// @param aVm The VM's membership slot, not a server slot.
  /// @return A grant for each backend server.
  wire::SlotGrants Handle(const std::string& aVm,
                          const wire::SlotDemand& aDemand,
                          TimePoint aNow);

  /// Returns the number of leased slots of a backend server at a time.
  int Leased(const std::string& aBackend, TimePoint aNow) const;

  /// Returns the concurrency limit of a backend server, 0 if it is unknown.
  double Limit(const std::string& aBackend) const;

private:
  struct Lease
  {
    int slots = 0;
    int inFlight = 0;
    TimePoint expiry{};
  };

  struct Backend
  {
    OwnedBackend config;
    double limit = 1;
    /// The limit was taken from the report of a VM, which knows the limit of
    /// the previous owner.
    bool limitAdopted = false;
    int finished = 0; ///< Requests since the last adjustment.
    int late = 0;     ///< Of these, those that missed a target.
    TimePoint lastAdjusted{};
    /// By VM; expired leases are dropped.
    std::map<std::string, Lease> leases;
  };

  struct DemandRecord
  {
    std::vector<std::uint16_t> waiting; ///< Number of requests, by tier.
    int shedTier = -1; ///< Most urgent tier shed recently, or -1.
    TimePoint receivedAt{};
  };

  void ClearUsage(const std::string& aVm);
  void ApplyUsage(const std::string& aVm,
                  const wire::SlotUsage& aUsage,
                  TimePoint aNow);
  void Adjust(Backend& aBackend, TimePoint aNow);
  void DropExpired(TimePoint aNow);
  int IdealGrant(const std::string& aVm, const Backend& aBackend) const;
  int GrantFor(const std::string& aVm, Backend& aBackend, TimePoint aNow);
  int SlotsNeeded(const DemandRecord& aDemand, std::size_t aTier) const;

  SlotOwnerOptions mOptions;
  TimePoint mOwnerSince;
  std::map<std::string, Backend> mBackends;
  /// Server names; the positions are the indexes on the wire.
  std::vector<std::string> mNames;
  /// Last demand of each VM that sent one within the lease time, by VM.
  std::map<std::string, DemandRecord> mDemands;
};

} // namespace magnoliatide::slots

#endif
