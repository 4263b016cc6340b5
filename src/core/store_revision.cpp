// Formatting of store revisions.
#include "magnoliatide/core/store_revision.h"

namespace magnoliatide {

std::string
FormatRevision(std::uint64_t aRevision)
{
  const auto counter = std::to_string(CounterOf(aRevision));
  const auto era = EraOf(aRevision);
  return era > 0 ? std::to_string(era) + "." + counter : counter;
}

} // namespace magnoliatide
