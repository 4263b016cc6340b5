// Selects the VM slots that decide which attempt owns a key.
#ifndef MAGNOLIATIDE_CLAIMS_ELECTORATE_H
#define MAGNOLIATIDE_CLAIMS_ELECTORATE_H

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliatide::claims {

/// The slots that vote on the owner of a key. A decision needs a majority.
struct Electorate
{
  std::vector<std::string> slots;

  /// Returns a hash of the slots, by which VMs detect that they use different
  /// electorates for a key.
  std::uint64_t Hash() const;

  bool Contains(const std::string& aSlot) const;
};

/// Chooses the electors of a key: by rendezvous hashing, taking one slot of
/// each availability zone in turn, so that the electors are spread evenly over
/// the zones. Returns them sorted.
///
/// @param aSlots All slots of the configuration document, as "zone/name".
/// @param aCount How many to choose.
std::vector<std::string>
ChooseElectors(const std::string& aKey,
               const std::vector<std::string>& aSlots,
               std::size_t aCount);

/// Returns a hash of a list of slots that depends on their order.
std::uint64_t
HashSlots(const std::vector<std::string>& aSlots);

/// Returns the smallest number of votes that is more than half of aCount.
std::size_t
MajoritySize(std::size_t aCount);

} // namespace magnoliatide::claims

#endif
