// Logs, audits and counts what changes in a VM's replica of the store: servers,
// evacuated zones, and the era of the store.
#ifndef MAGNOLIATIDE_SRC_NODE_REPLICA_LOG_H
#define MAGNOLIATIDE_SRC_NODE_REPLICA_LOG_H

#include "magnoliatide/fleet/directory.h"
#include "magnoliatide/telemetry/audit.h"
#include "magnoliatide/telemetry/metrics.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace magnoliatide::node {

class ReplicaLog
{
public:
  ReplicaLog(telemetry::Metrics& aMetrics, telemetry::AuditTrail& aAudit)
    : mMetrics(aMetrics)
    , mAudit(aAudit)
  {
  }

  /// Logs what differs from the last call, and drops the metrics of removed
  /// servers.
  ///
  /// @param aRevision The revision up to which the replica is complete.
  /// @param aFrom Where the changes come from.
  void RecordChanges(const fleet::Directory& aDirectory,
                     std::uint64_t aRevision,
                     const std::string& aFrom);

  /// Records the era of a revision up to which the replica is complete.
  void RecordEra(std::uint64_t aRevision, const std::string& aFrom);

private:
  void LogEvacuations(const fleet::Directory& aDirectory,
                      const std::string& aFrom);
  void LogServers(const routing::RosterPointer& aRoster,
                  std::uint64_t aRevision,
                  const std::string& aFrom);

  telemetry::Metrics& mMetrics;
  telemetry::AuditTrail& mAudit;
  std::uint64_t mEra = 0;
  std::map<std::string, fleet::Evacuation> mEvacuations;
  routing::RosterPointer mRoster = std::make_shared<routing::Roster>();
};

} // namespace magnoliatide::node

#endif
