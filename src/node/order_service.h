// Sends orders to the managed engines of the document. Reads back the order of
// each engine periodically and sends it again if it differs. Runs on the
// control loop.
#ifndef MAGNOLIATIDE_SRC_NODE_ORDER_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_ORDER_SERVICE_H

#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/document/document.h"
#include "magnoliatide/orders/plan.h"
#include "magnoliatide/telemetry/audit.h"
#include "magnoliatide/telemetry/metrics.h"
#include "magnoliatide/wire/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies and callbacks of an OrderService.
struct OrderServiceParams
{
  boost::asio::io_context* loop = nullptr;
  telemetry::Metrics* metrics = nullptr;
  telemetry::AuditTrail* audit = nullptr;
  const RcuCell<document::Document>* document = nullptr;
  std::string slot;
  std::string localHost; ///< Source address of calls to engines.
  /// Returns the live VMs, including this one.
  std::function<std::vector<wire::MemberRecord>()> live;
};

/// Reconciles the managed engines with the active document.
class OrderService
{
public:
  explicit OrderService(OrderServiceParams aParams);

  /// Starts the periodic check of engines.
  void Start();

private:
  boost::asio::awaitable<void> Loop();

  /// Compares the order of an engine with the document and sends it if they
  /// differ.
  boost::asio::awaitable<void> Reconcile(document::BackendServer aEngine,
                                         std::uint64_t aGeneration);

  /// Returns the last order of an engine, or nothing if it gives no valid
  /// answer.
  boost::asio::awaitable<std::optional<orders::ReportedOrder>> ReadOrder(
    document::BackendServer aEngine);

  /// Returns whether this VM sends the orders to an engine. Rendezvous hashing
  /// chooses one VM for each zone: one of the zone if any is live.
  bool IsResponsible(const document::BackendServer& aEngine) const;

  OrderServiceParams mParams;
};

} // namespace magnoliatide::node

#endif
