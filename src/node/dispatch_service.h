// Dispatches the requests of this VM, and those of other VMs that it
// coordinates, to backend servers. Runs on the event loop.
#ifndef MAGNOLIATIDE_SRC_NODE_DISPATCH_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_DISPATCH_SERVICE_H

#include "peer_link.h"

#include "magnoliatide/fleet/coordinator_shares.h"
#include "magnoliatide/fleet/dispatch_client.h"
#include "magnoliatide/forward/dispatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies, options and callbacks of a DispatchService.
struct DispatchServiceParams
{
  boost::asio::io_context* loop = nullptr;
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  std::function<routing::RosterPointer()> roster;
  /// Called with crashes that runs of this VM were interrupted by, and with
  /// traits that were suspected and are cleared, to send them to the other VMs.
  std::function<void(const std::vector<policy::CrashRecord>&,
                     const std::vector<policy::Trait>&)>
    onSuspects;
  fleet::DispatchClientOptions client;
  fleet::DispatchCoordinatorOptions coordinator;
};

/// Passes requests, messages and timer ticks to the dispatch client and the
/// local coordinator, and sends their messages to other VMs.
class DispatchService : public forward::Dispatcher
{
public:
  explicit DispatchService(DispatchServiceParams aParams);

  /// Sets the active configuration.
  void SetTable(const routing::TablePointer& aTable);

  /// Applies the current list of servers.
  void ServersChanged();

  /// Sets the live VMs and the number of VMs that should be running.
  void SetMembers(const std::vector<wire::MemberRecord>& aLive,
                  std::size_t aExpected);

  /// What is known of requests that crash servers.
  policy::CrashSuspects& Suspects() { return mCoordinator.Suspects(); }

  /// Drops the requests of a VM that left or died.
  void RemoveVm(std::uint64_t aProcess);

  /// After a pause of the process, drops the requests waiting here and submits
  /// the pending ones of this VM again.
  void Restart();

  /// Processes a message of the dispatch protocol and ignores others.
  void Handle(const wire::Header& aHeader, const wire::DatagramBody& aBody);

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
  void SubmitToClient(const policy::Job& aJob, OnDecision aOnDecision);
  void HandleReply(policy::Job aJob,
                   const OnDecision& aOnDecision,
                   const wire::DispatchReply& aReply,
                   const std::string& aDecidedBy);
  /// Sends the pending messages and crash counts to other VMs.
  void Flush();
  void ScheduleFlush();
  void ArmTimer();
  void UpdateShares();
  void ReportWarmups(TimePoint aNow);

  DispatchServiceParams mParams;
  fleet::DispatchCoordinator mCoordinator;
  fleet::DispatchClient mClient;
  fleet::CoordinatorShares mShares;
  /// Cold servers that were logged, with their services, while this VM decides
  /// for most VMs.
  std::map<std::string, std::string> mColdServers;
  std::map<std::string, std::uint64_t> mColdSkips; ///< Counted, by service.
  TimePoint mNextWarmupReport{};
  boost::asio::steady_timer mTimer;
  bool mFlushPosted = false;
  bool mTimerFast = false;
};

} // namespace magnoliatide::node

#endif
