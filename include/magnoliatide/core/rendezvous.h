// Rendezvous hashing: all processes with the same set of names rank them for a
// key in the same order, and adding or removing a name moves only the keys of
// that name.
#ifndef MAGNOLIATIDE_CORE_RENDEZVOUS_H
#define MAGNOLIATIDE_CORE_RENDEZVOUS_H

#include <string>
#include <string_view>
#include <vector>

namespace magnoliatide {

/// Returns the names by descending rank for a key.
std::vector<std::string>
RankByRendezvous(std::string_view aKey, std::vector<std::string> aNames);

} // namespace magnoliatide

#endif
