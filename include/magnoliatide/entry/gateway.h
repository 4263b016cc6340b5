// HTTP entry point for callers: classifies a request, waits for the scheduler's
// decision, sends the request once and relays the answer. Used with the
// platform kind "registry"; forward::Forwarder is the counterpart for
// "metadata-store".
#ifndef MAGNOLIATIDE_ENTRY_GATEWAY_H
#define MAGNOLIATIDE_ENTRY_GATEWAY_H

#include "magnoliatide/backend/pool.h"
#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/document/document.h"
#include "magnoliatide/entry/key_guard.h"
#include "magnoliatide/http/server.h"
#include "magnoliatide/policy/scheduler.h"
#include "magnoliatide/telemetry/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace magnoliatide::entry {

/// Dependencies of the gateway. All outlive it.
struct GatewayParams
{
  const RcuCell<document::Document>* document = nullptr;
  policy::Scheduler* scheduler = nullptr;
  backend::Pool* pool = nullptr;
  telemetry::Metrics* metrics = nullptr;
  KeyGuard* guard = nullptr;
  /// Called with a backend server's name when it announces that it is leaving.
  std::function<void(const std::string&)> onLeaving;
  /// Called with the changed entries of requests that are suspected of crashing
  /// backend servers.
  std::function<void(const std::vector<policy::SuspectEntry>&)> onSuspects;
  /// Called with a backend server's name when a crash of it is detected.
  std::function<void(const std::string&)> onCrash;
  /// Returns whether the VM may serve; if empty, it always may.
  std::function<bool()> ready;
  std::string idPrefix; ///< Makes request ids unique over VMs and restarts.
};

/// Serves the requests of callers.
class Gateway
{
public:
  explicit Gateway(GatewayParams aParams);
  ~Gateway();

  /// Serves one request of a caller.
  boost::asio::awaitable<void> Handle(http::Exchange& aExchange);

  /// Passes decisions of the scheduler to the requests that wait for them.
  void Apply(const policy::Decisions& aDecisions);

  /// Makes /healthz return 503 from now on, as the VM is draining.
  void SetDraining();

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace magnoliatide::entry

#endif
