// Grants the slots of a shard, some of the backend servers of one service in
// one zone, to the VMs that share them, for a lease time. Knows no requests. No
// I/O.
#ifndef MAGNOLIATIDE_SLOTS_SLOT_OWNER_H
#define MAGNOLIATIDE_SLOTS_SLOT_OWNER_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::slots {

/// A backend server as the owner needs to know it.
struct OwnedBackend
{
  std::string name;
  int slots = 8;      ///< First limit.
  int maxSlots = 64;  ///< Upper bound of the learned limit.
  bool learns = true; ///< Whether the limit follows the reports.
};

struct SlotOwnerOptions
{
  Duration lease = Seconds(1);
  double lateShare = 0.1; ///< Part of late runs above which a limit falls.
  double decrease = 0.9;  ///< Factor of a fall.
  double busyShare = 0.8; ///< Use above which a limit may rise.
  Duration adjustInterval = Milliseconds(400);
};

class SlotOwner
{
public:
  SlotOwner(SlotOwnerOptions aOptions, TimePoint aNow);

  /// Takes over the backend servers of a document, in the order of their
  /// names. Limits of those that stay
  /// are kept.
  void SetBackends(const std::vector<OwnedBackend>& aBackends);

  /// Takes a VM's demand and returns its grants.
  ///
  /// @param aVm The VM's slot.
  wire::SlotGrants Handle(const std::string& aVm,
                          const wire::SlotDemand& aDemand,
                          TimePoint aNow);

  /// Returns the slots of a backend server that are leased at a time.
  int Leased(const std::string& aBackend, TimePoint aNow) const;

  /// Returns the limit of a backend server.
  double Limit(const std::string& aBackend) const;

private:
  struct Lease
  {
    int slots = 0;
    int inFlight = 0;
    TimePoint until{};
  };

  struct Backend
  {
    OwnedBackend config;
    double limit = 1;
    bool adopted = false; ///< The limit was taken over from a VM's report.
    int finished = 0;     ///< Since the last adjustment.
    int late = 0;
    TimePoint adjusted{};
    /// By VM; leases that ended are dropped.
    std::map<std::string, Lease> leases;
  };

  struct VmDemand
  {
    std::vector<std::uint16_t> waiting;
    int shedTier = -1;
    TimePoint seen{};
  };

  void ForgetUse(const std::string& aVm);
  void NoteUse(const std::string& aVm,
               const wire::SlotUse& aUse,
               TimePoint aNow);
  void Adjust(Backend& aBackend, TimePoint aNow);
  void DropOld(TimePoint aNow);
  int IdealFor(const std::string& aVm, const Backend& aBackend) const;
  int GrantFor(const std::string& aVm, Backend& aBackend, TimePoint aNow);
  int NeedOf(const VmDemand& aDemand, std::size_t aTier) const;

  SlotOwnerOptions mOptions;
  TimePoint mSince;
  std::map<std::string, Backend> mBackends;
  /// Names of the servers; their places are their indexes on the wire.
  std::vector<std::string> mNames;
  /// VMs heard of within a lease time.
  std::map<std::string, VmDemand> mVms;
};

} // namespace magnoliatide::slots

#endif
