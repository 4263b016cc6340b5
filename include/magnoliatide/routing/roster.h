// The known backend servers with their last reported state.
#ifndef MAGNOLIATIDE_ROUTING_ROSTER_H
#define MAGNOLIATIDE_ROUTING_ROSTER_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/document/document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace magnoliatide::routing {

/// One incarnation of a backend server.
struct Server
{
  std::string id;
  std::string service;
  document::Endpoint address;
  std::string zone;
  int slots = 1;             ///< Maximum number of concurrent requests.
  bool leaving = false;      ///< About to stop; not assigned new requests.
  bool evacuated = false;    ///< Its zone is; not assigned new requests.
  Duration warmup{};         ///< Remaining time for which it is cold.
  std::uint64_t started = 0; ///< Start of this incarnation in Unix
                             ///< milliseconds; 0 if not reported.
  std::uint64_t report = 0;  ///< Number of this report in the incarnation.

  /// Returns whether this report is at least as recent as another one of the
  /// same server.
  bool Supersedes(const Server& aOther) const
  {
    return started != aOther.started ? started > aOther.started
                                     : report >= aOther.report;
  }

  /// Returns whether the server may be sent new requests.
  bool AcceptsRequests() const { return !leaving && !evacuated; }

  bool operator==(const Server&) const = default;
};

/// Servers by id.
using Roster = std::map<std::string, Server>;

using RosterPointer = std::shared_ptr<const Roster>;

} // namespace magnoliatide::routing

#endif
