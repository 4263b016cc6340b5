// Which VM slots decide on a key.
#ifndef MAGNOLIATIDE_CLAIMS_ELECTORATE_H
#define MAGNOLIATIDE_CLAIMS_ELECTORATE_H

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliatide::claims {

/// The slots that vote on a key. A decision needs a majority of them.
struct Electorate
{
  std::vector<std::string> slots;

  /// Returns a hash by which two VMs tell whether they mean the same.
  std::uint64_t Hash() const;

  bool Contains(const std::string& aSlot) const;
};

/// Chooses the electors of a key: by rendezvous, one zone after the other, so
/// that no zone holds more of them than it must.
///
/// @param aKey The key.
/// @param aSlots All slots of the document, as "zone/name".
/// @param aCount How many to choose.
std::vector<std::string>
ChooseElectors(const std::string& aKey,
               const std::vector<std::string>& aSlots,
               std::size_t aCount);

/// Returns a hash of slots in their order.
std::uint64_t
HashOfSlots(const std::vector<std::string>& aSlots);

/// Returns the smallest number that is more than half.
std::size_t
MajorityOf(std::size_t aCount);

} // namespace magnoliatide::claims

#endif
