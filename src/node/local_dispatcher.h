// Baseline dispatcher without coordination between VMs: sends each request at
// once to the server with the fewest requests in progress from this VM. It has
// no queue and no limits.
#ifndef MAGNOLIATIDE_SRC_NODE_LOCAL_DISPATCHER_H
#define MAGNOLIATIDE_SRC_NODE_LOCAL_DISPATCHER_H

#include "magnoliatide/forward/dispatcher.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace magnoliatide::node {

/// Implements the selection policy "least-own".
class LocalDispatcher : public forward::Dispatcher
{
public:
  using RosterSource = std::function<routing::RosterPointer()>;

  explicit LocalDispatcher(RosterSource aRoster);

  void Submit(const policy::Job& aJob, OnDecision aOnDecision) override;
  void Withdraw(policy::JobId aId) override;
  void RecordFirstEvent(policy::JobId aId) override;
  void RecordRateLimit(policy::JobId aId,
                       std::optional<double> aPerSecond) override;
  void RecordBackoff(policy::JobId aId, Duration aTime) override;
  bool MayUse(const routing::Server& aServer) const override;
  void RecordSilence(policy::JobId aId) override;
  void RecordSilenceEnd(policy::JobId aId) override;
  void Finish(policy::JobId aId, const policy::SendReport& aReport) override;

private:
  RosterSource mRoster;
  /// Number of this VM's requests in progress by server id, without zeros.
  std::map<std::string, int> mInProgress;
  std::unordered_map<policy::JobId, std::string> mServerByJob;
  /// Rotates the choice among servers with equally many requests in progress.
  std::uint64_t mTieCounter = 0;
};

} // namespace magnoliatide::node

#endif
