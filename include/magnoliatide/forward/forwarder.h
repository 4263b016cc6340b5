// Handles a caller's request from arrival to answer: authentication, routing,
// sends and retries to servers, and the response to the caller. Used with the
// platform kind "metadata-store"; entry::Gateway is the counterpart for
// "registry".
#ifndef MAGNOLIATIDE_FORWARD_FORWARDER_H
#define MAGNOLIATIDE_FORWARD_FORWARDER_H

#include "magnoliatide/backend/pool.h"
#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/forward/call.h"
#include "magnoliatide/forward/dispatcher.h"
#include "magnoliatide/http/server.h"
#include "magnoliatide/routing/table.h"
#include "magnoliatide/telemetry/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace magnoliatide::forward {

/// An observation about a server that other components act on.
struct ServerNotice
{
  std::string server;        ///< Id of the server.
  std::uint64_t started = 0; ///< Start time; identifies its incarnation.
  const char* why = "";      ///< What was observed.
};

/// Dependencies of the forwarder. All outlive it.
struct ForwarderParams
{
  const RcuCell<routing::Table>* table = nullptr;
  Dispatcher* dispatcher = nullptr;
  backend::Pool* pool = nullptr;
  const Dialect* dialect = nullptr;
  telemetry::Metrics* metrics = nullptr;
  /// Maximum time for which an event of a stream is buffered.
  Duration eventDelay{};
  /// Called when an answer shows that another server has taken over the address
  /// of the selected one.
  std::function<void(const ServerNotice&)> onLeaving;
  /// Returns the revision of the server list, for the log.
  std::function<std::string()> serversRevision;
  /// Returns whether a server still accepts new requests.
  std::function<bool(const routing::Server&)> usable;
  /// Returns whether the entry of a server gives this VM's own address.
  std::function<bool(const std::string& aServer)> isOwnAddress;
};

/// Forwards requests to the servers that the dispatcher selects. Used on one
/// event loop only.
class Forwarder
{
public:
  explicit Forwarder(ForwarderParams aParams);
  ~Forwarder();

  /// Refuses further requests that may not end before EndAll() is called.
  ///
  /// @param aEnd When that will be.
  void BeginStop(TimePoint aEnd);

  /// Serves one request of a caller.
  boost::asio::awaitable<void> Handle(http::Exchange& aExchange);

  /// Ends all requests as if their deadlines had passed, so that each one that
  /// has no answer yet gets one.
  void EndAll();

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace magnoliatide::forward

#endif
