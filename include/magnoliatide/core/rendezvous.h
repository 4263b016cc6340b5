// Rendezvous hashing: every process that knows the same names ranks them for
// a key in the same order, and a name that comes or goes moves only its keys.
#ifndef MAGNOLIATIDE_CORE_RENDEZVOUS_H
#define MAGNOLIATIDE_CORE_RENDEZVOUS_H

#include <string>
#include <string_view>
#include <vector>

namespace magnoliatide {

/// Returns the names ordered by their rank for a key, best first.
std::vector<std::string>
RankByRendezvous(std::string_view aKey, std::vector<std::string> aNames);

} // namespace magnoliatide

#endif
