// Informs all VMs by gossip of backend servers that leave and of requests that
// are suspected of crashing servers. Runs on the control loop.
#ifndef MAGNOLIATIDE_SRC_NODE_NOTICE_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_NOTICE_SERVICE_H

#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/document/document.h"
#include "magnoliatide/membership/membership.h"
#include "magnoliatide/policy/scheduler.h"
#include "magnoliatide/telemetry/audit.h"
#include "platform/reader.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies and callbacks of a NoticeService.
struct NoticeServiceParams
{
  membership::Membership* membership = nullptr;
  policy::Scheduler* scheduler = nullptr;
  telemetry::AuditTrail* audit = nullptr;
  const RcuCell<document::Document>* document = nullptr;
  /// Sends gossip to a few members without delay.
  std::function<void()> pushGossip;
};

/// Sends, receives and applies notices.
class NoticeService
{
public:
  explicit NoticeService(NoticeServiceParams aParams);

  /// Applies the rumours that were received since the last call.
  void HandleNewRumours();

  /// Spreads the states of the backend servers in the platform's list.
  void ApplyVmList(const platform::VmList& aList);

  /// Spreads the notice of a backend server that reported that it leaves.
  void RecordLeaving(const std::string& aName);

  /// Spreads suspicions raised by this VM.
  void SpreadSuspects(const std::vector<policy::SuspectEntry>& aEntries);

  /// Reports the leaving servers of the active document to the scheduler.
  void ApplyLeaving();

  /// Returns the leaving servers, as "name@address".
  const std::set<std::string>& Leaving() const { return mLeaving; }

private:
  void HandleSuspect(const wire::Rumour& aRumour);
  void HandleBackendState(const wire::Rumour& aRumour);

  NoticeServiceParams mParams;
  /// A notice applies to a name and an address, so that a server that returns
  /// at another address under its old name does not count as leaving.
  std::set<std::string> mLeaving;
};

} // namespace magnoliatide::node

#endif
