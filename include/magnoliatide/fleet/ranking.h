// The order in which VMs are preferred as coordinators and as readers of the
// platform's store.
#ifndef MAGNOLIATIDE_FLEET_RANKING_H
#define MAGNOLIATIDE_FLEET_RANKING_H

#include "magnoliatide/wire/messages.h"

#include <tuple>

namespace magnoliatide::fleet {

/// Returns whether one VM is preferred to another. Live VMs rank before
/// suspected ones, then those with more processor capacity, then the longest
/// running one, which has the lowest incarnation number. It has the most
/// complete state, and a restarted VM does not replace one that is serving.
inline bool
RanksBefore(const wire::MemberRecord& aLeft, const wire::MemberRecord& aRight)
{
  return std::tie(
           aLeft.state, aRight.cpuMillicores, aLeft.incarnation, aLeft.slot) <
         std::tie(
           aRight.state, aLeft.cpuMillicores, aRight.incarnation, aRight.slot);
}

} // namespace magnoliatide::fleet

#endif
