// The HTTP endpoints for operators' tools: the state, the metrics, the audit
// trail and the document of a VM.
#ifndef MAGNOLIATIDE_SRC_NODE_ADMIN_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_ADMIN_SERVICE_H

#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/document/settings.h"
#include "magnoliatide/http/server.h"
#include "magnoliatide/policy/scheduler.h"
#include "magnoliatide/telemetry/audit.h"
#include "magnoliatide/telemetry/metrics.h"
#include "magnoliatide/wire/messages.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies and callbacks of an AdminService.
struct AdminServiceParams
{
  const document::Settings* settings = nullptr;
  telemetry::Metrics* metrics = nullptr;
  telemetry::AuditTrail* audit = nullptr;
  const RcuCell<document::Document>* document = nullptr;
  policy::Scheduler* scheduler = nullptr;
  std::uint64_t process = 0; ///< Random id of this process.
  // These are called on the control loop, where the admin server runs.
  std::function<std::vector<wire::MemberRecord>()> members;
  std::function<bool()> claimsComplete;
  std::function<std::size_t()> claimKeyCount;
  std::function<std::set<std::string>()> leaving;
};

/// Handles the requests to the admin address.
class AdminService
{
public:
  explicit AdminService(AdminServiceParams aParams);

  /// Serves /metrics, /status, /audit and /document to holders of the
  /// operators' token.
  boost::asio::awaitable<void> Handle(http::Exchange& aExchange);

private:
  /// Returns whether a request carries the operators' token.
  bool IsAuthorized(const http::Request& aRequest) const;
  std::string StatusJson() const;

  AdminServiceParams mParams;
};

} // namespace magnoliatide::node

#endif
