// Revisions of the platform's store that keep their order when the store comes
// back from an older copy: its counter goes back then, and its era rises by
// one. The era takes the upper bits, so that every revision of a later era is
// higher than all of an earlier one.
#ifndef MAGNOLIATIDE_CORE_STORE_REVISION_H
#define MAGNOLIATIDE_CORE_STORE_REVISION_H

#include <cstdint>
#include <string>

namespace magnoliatide {

/// Number of bits of the store's own counter. At a million changes per second,
/// it suffices for nine years.
constexpr int kStoreCounterBits = 48;

/// Largest value of the store's own counter.
constexpr std::uint64_t kMaxStoreCounter =
  (std::uint64_t{ 1 } << kStoreCounterBits) - 1;

/// Largest era.
constexpr std::uint64_t kMaxStoreEra =
  (std::uint64_t{ 1 } << (64 - kStoreCounterBits)) - 1;

/// Returns the revision for a value of the store's counter in an era. Without
/// eras (0), it is the counter itself.
constexpr std::uint64_t
StoreRevision(std::uint64_t aEra, std::uint64_t aCounter)
{
  return (aEra << kStoreCounterBits) | aCounter;
}

/// Returns the era of a revision.
constexpr std::uint64_t
EraOf(std::uint64_t aRevision)
{
  return aRevision >> kStoreCounterBits;
}

/// Returns the value that the store's counter had.
constexpr std::uint64_t
CounterOf(std::uint64_t aRevision)
{
  return aRevision & kMaxStoreCounter;
}

/// Returns a revision for logs: "COUNTER", or "ERA.COUNTER" with eras.
std::string
FormatRevision(std::uint64_t aRevision);

} // namespace magnoliatide

#endif
