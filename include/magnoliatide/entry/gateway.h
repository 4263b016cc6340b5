// The path of a request: classify, wait, dispatch once, relay the answer.
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

/// What the gateway works with. All outlive it.
struct GatewayParts
{
  const RcuCell<document::Document>* document = nullptr;
  policy::Scheduler* scheduler = nullptr;
  backend::Pool* pool = nullptr;
  telemetry::Metrics* metrics = nullptr;
  KeyGuard* guard = nullptr;
  /// Called when a backend server says that it is leaving.
  std::function<void(const std::string&)> onLeaving;
  /// Called when suspicions against requests changed.
  std::function<void(const std::vector<policy::SuspectEntry>&)> onSuspects;
  /// Called when a backend server is seen to crash.
  std::function<void(const std::string&)> onCrash;
  /// Returns whether the VM may serve; empty for always.
  std::function<bool()> ready;
  std::string idPrefix; ///< Makes request ids unique over VMs and restarts.
};

class Gateway
{
public:
  explicit Gateway(GatewayParts aParts);
  ~Gateway();

  /// Serves one request of a caller.
  boost::asio::awaitable<void> Handle(http::Exchange& aExchange);

  /// Carries out decisions that were made outside of Handle.
  void Apply(const policy::Decisions& aDecisions);

  /// Makes the health check fail from now on.
  void SetDraining();

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace magnoliatide::entry

#endif
