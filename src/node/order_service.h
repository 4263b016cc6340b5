// Gives orders to the engines that the document says are managed, reads them
// back, and repeats what was undone. On the control loop.
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

struct OrderServiceParts
{
  boost::asio::io_context* loop = nullptr;
  telemetry::Metrics* metrics = nullptr;
  telemetry::AuditTrail* audit = nullptr;
  const RcuCell<document::Document>* document = nullptr;
  std::string slot;
  std::string localHost;
  /// Returns the live VMs, this one included.
  std::function<std::vector<wire::MemberRecord>()> live;
};

class OrderService
{
public:
  explicit OrderService(OrderServiceParts aParts);

  void Start();

private:
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> Visit(document::BackendServer aEngine,
                                     std::uint64_t aGeneration);
  boost::asio::awaitable<std::optional<orders::Standing>> ReadBack(
    document::BackendServer aEngine);
  bool IsGiver(const document::BackendServer& aEngine) const;

  OrderServiceParts mParts;
};

} // namespace magnoliatide::node

#endif
