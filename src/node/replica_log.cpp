// Comparison of the directory with its last recorded state.
#include "replica_log.h"

#include "magnoliatide/core/store_revision.h"
#include "magnoliatide/telemetry/log.h"

#include <utility>

namespace magnoliatide::node {

void
ReplicaLog::RecordChanges(const fleet::Directory& aDirectory,
                          std::uint64_t aRevision,
                          const std::string& aFrom)
{
  LogEvacuations(aDirectory, aFrom);
  LogServers(aDirectory.Roster(), aRevision, aFrom);
}

void
ReplicaLog::RecordEra(std::uint64_t aRevision, const std::string& aFrom)
{
  const auto era = EraOf(aRevision);
  if (era <= mEra) {
    return;
  }
  const auto before = std::exchange(mEra, era);
  mMetrics.Set("store_era", {}, era);
  if (before > 0) {
    mAudit.Add("platform store",
               "era " + std::to_string(before),
               "era " + std::to_string(era),
               "it came back from an older copy; revision " +
                 FormatRevision(aRevision) + " from " + aFrom);
  }
}

void
ReplicaLog::LogEvacuations(const fleet::Directory& aDirectory,
                           const std::string& aFrom)
{
  auto evacuations = aDirectory.Evacuations();
  for (const auto& [zone, evacuation] : evacuations) {
    if (mEvacuations.count(zone) == 0) {
      mAudit.Add("zone " + zone,
                 "in use",
                 "evacuated",
                 "revision " + FormatRevision(evacuation.revision) + " from " +
                   aFrom);
      mMetrics.Set("zone_evacuated", { { "zone", zone } }, 1);
    }
  }
  for (const auto& [zone, evacuation] : mEvacuations) {
    if (evacuations.count(zone) == 0) {
      mAudit.Add("zone " + zone, "evacuated", "in use", "from " + aFrom);
      mMetrics.Set("zone_evacuated", { { "zone", zone } }, 0);
    }
  }
  mEvacuations = std::move(evacuations);
}

/// Logs the servers that were added (+), started to leave (!) or were removed
/// (-).
void
ReplicaLog::LogServers(const routing::RosterPointer& aRoster,
                       std::uint64_t aRevision,
                       const std::string& aFrom)
{
  const auto before = std::exchange(mRoster, aRoster);
  std::string changes;
  const auto add = [&](const char* aPrefix, const std::string& aId) {
    changes += (changes.empty() ? "" : " ") + std::string(aPrefix) + aId;
  };
  for (const auto& [id, server] : *aRoster) {
    const auto previous = before->find(id);
    if (previous == before->end()) {
      add("+", id);
    } else if (server.leaving && !previous->second.leaving) {
      add("!", id);
    }
  }
  for (const auto& [id, server] : *before) {
    if (aRoster->count(id) == 0) {
      add("-", id);
      mMetrics.RemoveSeries({ "server", id });
    }
  }
  telemetry::LogInfo("servers",
                     { { "revision", FormatRevision(aRevision) },
                       { "from", aFrom },
                       { "count", aRoster->size() },
                       { "changes", changes } });
}

} // namespace magnoliatide::node
