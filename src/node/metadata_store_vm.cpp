// Assembles the components of a VM that runs on the operators' platform. All of
// them share one event loop, because the VM has only a share of one processor.
#include "magnoliatide/node/vm.h"

#include "connection_record.h"
#include "control_task.h"
#include "dispatch_service.h"
#include "local_dispatcher.h"
#include "peer_link.h"
#include "replica_service.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/store_revision.h"
#include "magnoliatide/fleet/crash_rumours.h"
#include "magnoliatide/fleet/ranking.h"
#include "magnoliatide/forward/forwarder.h"
#include "magnoliatide/membership/membership.h"
#include "magnoliatide/telemetry/audit.h"
#include "magnoliatide/telemetry/log.h"
#include "platform/dialect.h"

#include <boost/asio.hpp>

#include <malloc.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr Duration kHousekeepingPeriod = Milliseconds(50);
constexpr Duration kSyncTimeout = Seconds(2);

/// How long the VM still accepts connections after its readiness check starts
/// to fail: the load balancer checks once a second and removes a VM after two
/// failed checks.
constexpr Duration kDrainDelay = Milliseconds(2600);

/// Reserved at the end of the drain time, before the platform kills the
/// process.
constexpr Duration kStopMargin = Milliseconds(300);

/// How much of kStopMargin the answers to the requests that are ended by the
/// stop may take.
constexpr Duration kLastAnswersTime = Milliseconds(150);

/// How long a server's host may leave packets unacknowledged before the
/// connection is closed.
constexpr Duration kDeadPeerTimeout = Seconds(3);

/// Part of the process's memory for the bodies of requests and responses. The
/// rest is for connections, the operating system's buffers and everything else.
constexpr double kBodyMemoryFraction = 0.4;

/// Part of the process's memory for what callers have sent and the process has
/// not read.
constexpr double kReceiveMemoryFraction = 0.25;
constexpr int kMinReceiveBufferBytes = 16 * 1024;
constexpr int kMaxReceiveBufferBytes = 64 * 1024;

/// How long a request may take to arrive, beyond the time of its body.
constexpr Duration kMaxRequestTime = Seconds(60);

/// Without a displaced body for this time, the memory of bodies suffices again.
constexpr Duration kMemoryCalmTime = Seconds(5);

/// Descriptors that are not for sockets.
constexpr int kFilesReserved = 200;

/// Larger blocks are returned to the operating system when they are freed.
/// Otherwise the freed bodies of a burst would stay with the process.
constexpr int kMaxPooledBlockBytes = 128 * 1024;

constexpr double kBytesPerMegabyte = 1024 * 1024;

/// Applies the limits of the machine to the server of callers.
void
LimitResources(const document::Settings& aSettings,
               http::ServerOptions& aCallers)
{
  if (aSettings.maxFiles > 0) {
    // A request needs a connection to a server, too.
    aCallers.maxConnections =
      std::max((aSettings.maxFiles - kFilesReserved) / 2, 1);
    aCallers.evictsWaiting = true;
  }
  if (aSettings.memoryMegabytes > 0) {
    const double bytes = aSettings.memoryMegabytes * kBytesPerMegabyte;
    http::BodyMemory::SetLimit(
      static_cast<std::size_t>(bytes * kBodyMemoryFraction));
    aCallers.maxRequestTime = kMaxRequestTime;
    aCallers.evictsWaiting = true;
    // Linux reserves twice the size that is set.
    const double received = bytes * kReceiveMemoryFraction / 2;
    aCallers.maxConnections =
      std::min(aCallers.maxConnections,
               static_cast<int>(received / kMinReceiveBufferBytes));
    const double perConnection = received / aCallers.maxConnections;
    aCallers.receiveBufferBytes = static_cast<int>(std::clamp<double>(
      perConnection, kMinReceiveBufferBytes, kMaxReceiveBufferBytes));
    ::mallopt(M_MMAP_THRESHOLD, kMaxPooledBlockBytes);
  }
}

backend::PoolOptions
PoolOptionsFor(const document::Settings& aSettings)
{
  backend::PoolOptions options;
  options.connection.localHost = aSettings.callerAddress.host;
  options.connection.deadPeerTimeout = kDeadPeerTimeout;
  options.connection.allowCloseDelimited = true;
  options.maxIdleTime = Seconds(30);
  return options;
}

std::uint64_t
WallClockMillis()
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                      WallClock::now().time_since_epoch())
                                      .count());
}

/// A VM with the platform kind "metadata-store". Its only thread runs the event
/// loop.
class MetadataStoreVm : public Vm
{
public:
  explicit MetadataStoreVm(const document::Settings& aSettings)
    : mSettings(aSettings)
    , mProcessId(RandomId())
    , mAudit(aSettings.slot + "#" + ToHex(mProcessId))
    , mThreads(1)
    , mLoop(mThreads.At(0))
    , mDialect(platform::MakeDialect())
    , mPool(PoolOptionsFor(aSettings))
    , mLink(mLoop, mSettings, mMetrics)
    , mMembership(MakeMembershipOptions())
    , mReplicaService(MakeReplicaServiceParams())
    , mDispatchService(MakeDispatchServiceParams())
    , mLocalDispatcher([this] { return mReplicaService.Roster(); })
    , mForwarder(MakeForwarderParams())
  {
    mAudit.Add("vm", "", "started", "process start");
    StartServers();
    asio::post(mLoop, [this] { StartControlTasks(); });
  }

  ~MetadataStoreVm() override { mThreads.Stop(); }

  void Run() override
  {
    std::unique_lock<std::mutex> lock(mStopMutex);
    mStopSignal.wait(lock, [this] { return mStopping; });
    lock.unlock();
    Drain();
  }

  void BeginStop() override
  {
    std::lock_guard<std::mutex> lock(mStopMutex);
    mStopping = true;
    mStopSignal.notify_all();
  }

  void Reload(const document::Settings& aSettings,
              const std::string& aCause) override
  {
    mAudit.Add("settings", "", "reloaded", aCause);
    asio::post(mLoop, [this, seeds = aSettings.seedTexts] {
      mMembership.AddSeeds(seeds);
    });
  }

private:
  forward::ForwarderParams MakeForwarderParams()
  {
    forward::ForwarderParams params;
    params.table = &mTable;
    params.dispatcher = mSettings.selectionPolicy == "least-own"
                          ? static_cast<forward::Dispatcher*>(&mLocalDispatcher)
                          : &mDispatchService;
    params.pool = &mPool;
    params.dialect = mDialect.get();
    params.metrics = &mMetrics;
    params.eventDelay = mSettings.bounds.relayDelay * 3 / 4;
    params.onLeaving = [this](const forward::ServerNotice& aNotice) {
      RecordLeaving(aNotice);
    };
    params.serversRevision = [this] {
      return FormatRevision(mReplicaService.Revision());
    };
    params.isOwnAddress = [this](const std::string& aServer) {
      const auto roster = mReplicaService.Roster();
      const auto found = roster->find(aServer);
      return found != roster->end() &&
             found->second.address == mSettings.callerAddress;
    };
    params.usable = [this](const routing::Server& aServer) {
      const auto roster = mReplicaService.Roster();
      const auto found = roster->find(aServer.id);
      return found != roster->end() && found->second.AcceptsRequests() &&
             found->second.started == aServer.started;
    };
    return params;
  }

  ReplicaServiceParams MakeReplicaServiceParams()
  {
    ReplicaServiceParams params;
    params.loop = &mLoop;
    params.link = &mLink;
    params.metrics = &mMetrics;
    params.audit = &mAudit;
    params.table = &mTable;
    params.follower.store.address = mSettings.platformAddress;
    params.follower.store.localHost = mSettings.callerAddress.host;
    // Pings detect a stalled watch; this period is short enough to replace the
    // watch within the drain notice.
    params.follower.pingPeriod = std::min<Duration>(
      params.follower.pingPeriod, mSettings.bounds.drainNotice / 2);
    params.directory.returnGrace = mSettings.bounds.returnGrace;
    params.isSeed = IsSeed(document::Format(mSettings.peerAddress));
    params.peersInZone = [this] { return PeersInZone(); };
    params.onTable = [this](const routing::TablePointer& aTable) {
      mDispatchService.SetTable(aTable);
    };
    params.onServers = [this] { mDispatchService.ServersChanged(); };
    return params;
  }

  DispatchServiceParams MakeDispatchServiceParams()
  {
    const auto& bounds = mSettings.bounds;
    DispatchServiceParams params;
    params.loop = &mLoop;
    params.link = &mLink;
    params.metrics = &mMetrics;
    params.roster = [this] { return mReplicaService.Roster(); };
    params.onSuspects = [this](const auto& aCrashes, const auto& aCleared) {
      SpreadSuspects(aCrashes, aCleared);
    };
    params.client.self = mProcessId;
    params.client.zone = mSettings.Zone();
    params.client.quotaWindow = bounds.quotaWindow;
    params.client.retryWindow = bounds.retryWindow;
    params.coordinator.allocator.seed = mProcessId;
    params.coordinator.allocator.pool.coldBounds = { bounds.coldOverage,
                                                     bounds.coldSlack };
    params.coordinator.quotas = { bounds.quotaWindow,
                                  bounds.quotaOverage,
                                  bounds.quotaSlack };
    params.coordinator.retries = { bounds.retryRatio,
                                   bounds.retrySlack,
                                   bounds.retryWindow };
    return params;
  }

  membership::MembershipOptions MakeMembershipOptions() const
  {
    membership::MembershipOptions options;
    options.self.slot = mSettings.slot;
    options.self.address = document::Format(mSettings.peerAddress);
    options.self.process = mProcessId;
    options.self.incarnation = WallClockMillis();
    options.self.cpuMillicores =
      static_cast<std::uint32_t>(mSettings.processorShare * 1000);
    options.seed = mProcessId;
    for (const auto& seed : mSettings.seeds) {
      options.seeds.push_back(document::Format(seed));
    }
    return options;
  }

  void StartControlTasks()
  {
    mLink.Start(
      [this](wire::Header& aHeader) {
        aHeader.sender = mMembership.Self();
        aHeader.revision = mReplicaService.Revision();
      },
      [this](const wire::Header& aHeader, const wire::DatagramBody& aBody) {
        HandleDatagram(aHeader, aBody);
      },
      [this](const wire::Header& aHeader, const wire::FrameBody& aBody) {
        return HandleFrame(aHeader, aBody);
      });
    mReplicaService.Start();
    ApplyMembershipEvents();
    StartControlTask(
      mLoop, "housekeeping", [this] { return RunHousekeeping(); });
  }

  void HandleDatagram(const wire::Header& aHeader,
                      const wire::DatagramBody& aBody)
  {
    SendAll(mMembership.Receive(aHeader, aBody, Clock::now()));
    ApplyMembershipEvents();
    if (const auto* update = std::get_if<wire::ReplicaUpdate>(&aBody)) {
      mReplicaService.Apply(
        *update, aHeader.sender.address, IsInZone(aHeader.sender.slot));
    }
    mReplicaService.RecordRevision(
      aHeader.sender.address, aHeader.revision, IsInZone(aHeader.sender.slot));
    mDispatchService.Handle(aHeader, aBody);
  }

  wire::FrameBody HandleFrame(const wire::Header&, const wire::FrameBody& aBody)
  {
    if (const auto* request = std::get_if<wire::ReplicaRequest>(&aBody)) {
      return mReplicaService.HandleRequest(*request);
    }
    if (const auto* sync = std::get_if<wire::SyncRequest>(&aBody)) {
      mMembership.MergeGossip(sync->gossip, Clock::now());
      ApplyMembershipEvents();
    }
    return wire::SyncReply{ mMembership.FullState() };
  }

  void SendAll(const std::vector<membership::OutgoingMessage>& aMessages)
  {
    for (const auto& message : aMessages) {
      mLink.Send(message.address, message.body);
    }
  }

  void ApplyMembershipEvents()
  {
    const auto changes = mMembership.TakeChanges();
    for (const auto& change : changes) {
      const auto state = change.record.state;
      mAudit.Add("vm " + change.record.slot,
                 membership::Name(change.from),
                 membership::Name(state),
                 "membership, process " + ToHex(change.record.process));
      const bool departed =
        state == wire::MemberState::kDead || state == wire::MemberState::kLeft;
      if (departed) {
        mDispatchService.RemoveVm(change.record.process);
      }
    }
    if (!changes.empty() || !mMembersApplied) {
      mMembersApplied = true;
      mDispatchService.SetMembers(mMembership.LiveMembers(), ExpectedVms());
      mReplicaService.SetRank(RankInZone());
    }
    for (const auto& rumour : mMembership.TakeNewRumours()) {
      if (rumour.kind == wire::RumourKind::kBackendState) {
        mReplicaService.RecordLeaving(
          rumour.key, rumour.version, "reported by a VM");
      } else {
        MergeSuspects(rumour);
      }
    }
    if (mMembership.TakePauseDetected()) {
      mAudit.Add(
        "vm", "paused", "awake", "the event loop did not run for too long");
      mDispatchService.Restart();
    }
  }

  /// Returns the number of VMs that should be running: all known ones except
  /// those that left in a planned stop.
  std::size_t ExpectedVms() const
  {
    std::size_t vms = 0;
    for (const auto& record : mMembership.AllMembers()) {
      vms += record.state != wire::MemberState::kLeft ? 1 : 0;
    }
    return vms;
  }

  bool IsSeed(const std::string& aAddress) const
  {
    return std::any_of(
      mSettings.seeds.begin(), mSettings.seeds.end(), [&](const auto& aSeed) {
        return document::Format(aSeed) == aAddress;
      });
  }

  bool IsInZone(const std::string& aSlot) const
  {
    return aSlot.starts_with(mSettings.Zone() + "/");
  }

  /// Returns this VM's rank, from 0, for reading the store on behalf of its
  /// zone. The VM that ranks first among the live ones coordinates requests, so
  /// it comes last here and the second one comes first.
  std::size_t RankInZone() const
  {
    const auto& self = mMembership.Self();
    std::size_t rank = 0;
    std::size_t count = 0;
    for (const auto& record : mMembership.LiveMembers()) {
      const bool inZone = IsInZone(record.slot);
      rank += inZone && fleet::RanksBefore(record, self) ? 1 : 0;
      count += inZone ? 1 : 0;
    }
    return rank > 0 ? rank - 1 : count - 1;
  }

  std::vector<std::string> PeersInZone() const
  {
    std::vector<std::string> addresses;
    for (const auto& record : mMembership.LiveMembers()) {
      if (IsInZone(record.slot) && record.process != mProcessId) {
        addresses.push_back(record.address);
      }
    }
    return addresses;
  }

  void StartServers()
  {
    http::ServerOptions callers;
    callers.address = mSettings.callerAddress;
    callers.advertiseIdleTimeout = true;
    LimitResources(mSettings, callers);
    callers.limits = [this] { return CurrentLimits(); };
    callers.onConnectionEnd = [this](const http::ConnectionEnd& aEnd) {
      RecordConnectionEnd(
        mMetrics,
        aEnd,
        aEnd.request != nullptr ? mDialect->DecodeCall(*aEnd.request).id : "");
    };
    mCallerServer =
      http::StartServer(mThreads, callers, [this](http::Exchange& aExchange) {
        return mForwarder.Handle(aExchange);
      });
    if (!mSettings.metricsAddressText.empty()) {
      http::ServerOptions metrics;
      metrics.address = mSettings.metricsAddress;
      mMetricsServer =
        http::StartServer(mThreads, metrics, [this](http::Exchange& aExchange) {
          return AnswerMetrics(aExchange);
        });
    }
    http::ServerOptions ready;
    ready.address = mSettings.readyAddress;
    mReadyServer =
      http::StartServer(mThreads, ready, [this](http::Exchange& aExchange) {
        return AnswerReadiness(aExchange);
      });
  }

  http::ServerLimits CurrentLimits() const
  {
    http::ServerLimits limits;
    const auto table = mTable.Load();
    if (table) {
      limits.headerBytes = table->limits.headerBytes;
      limits.bodyBytes = table->limits.bodyBytes;
      limits.headerTimeout = table->limits.headerTimeout;
      limits.idleTimeout = table->limits.idleTimeout;
    }
    return limits;
  }

  asio::awaitable<void> AnswerMetrics(http::Exchange& aExchange)
  {
    auto response = http::TextResponse(200, mMetrics.Render());
    co_await aExchange.Respond(std::move(response));
  }

  asio::awaitable<void> AnswerReadiness(http::Exchange& aExchange)
  {
    const bool ready = mTable.Load() != nullptr && !mDraining.load();
    auto response =
      http::TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    co_await aExchange.Respond(std::move(response));
  }

  void RecordLeaving(const forward::ServerNotice& aNotice)
  {
    if (mReplicaService.RecordLeaving(
          aNotice.server, aNotice.started, aNotice.why)) {
      mMembership.Spread({ wire::RumourKind::kBackendState,
                           aNotice.server,
                           aNotice.started,
                           "leaving" },
                         Clock::now());
      SendAll(mMembership.PushGossip(Clock::now()));
    }
  }

  /// Sends the other VMs what requests of this VM tell about crashes.
  void SpreadSuspects(const std::vector<policy::CrashRecord>& aCrashes,
                      const std::vector<policy::Trait>& aCleared)
  {
    for (const auto& crash : aCrashes) {
      const auto rumour = fleet::EncodeCrash(crash, mProcessId);
      telemetry::LogWarning(
        "crash-suspect",
        { { "server", crash.incarnation.server }, { "traits", rumour.value } });
      SpreadNextVersion(rumour);
    }
    for (const auto trait : aCleared) {
      const auto rumour = fleet::EncodeClearance(trait);
      telemetry::LogInfo("crash-cleared", { { "trait", rumour.key } });
      SpreadNextVersion(rumour);
    }
    SendAll(mMembership.PushGossip(Clock::now()));
  }

  /// Spreads a rumour so that it replaces the one with the same key.
  void SpreadNextVersion(wire::Rumour aRumour)
  {
    const auto* last = mMembership.FindRumour(aRumour.kind, aRumour.key);
    aRumour.version = last != nullptr ? last->version + 1 : 1;
    mMembership.Spread(aRumour, Clock::now());
  }

  /// Merges what other VMs tell about crashes.
  void MergeSuspects(const wire::Rumour& aRumour)
  {
    const auto now = Clock::now();
    const TimePoint at = now - Seconds(aRumour.ageSeconds);
    auto& suspects = mDispatchService.Suspects();
    if (aRumour.kind == wire::RumourKind::kCleared) {
      suspects.MergeClearance(fleet::DecodeClearance(aRumour), at, now);
      return;
    }
    const auto crash = fleet::DecodeCrash(aRumour);
    if (aRumour.kind == wire::RumourKind::kCrash && crash) {
      suspects.Merge(*crash, at, now);
    }
  }

  asio::awaitable<void> RunHousekeeping()
  {
    asio::steady_timer timer(mLoop);
    while (true) {
      timer.expires_after(kHousekeepingPeriod);
      co_await timer.async_wait(kNoThrow);
      const auto now = Clock::now();
      SendAll(mMembership.Tick(now));
      ApplyMembershipEvents();
      mReplicaService.Tick(now);
      ReportMemory();
      for (const auto& address : mMembership.TakeSyncPeers()) {
        asio::co_spawn(mLoop, SyncWith(address), asio::detached);
        break;
      }
    }
  }

  /// Reports the memory of bodies, and when it is used up and free again.
  void ReportMemory()
  {
    const auto used = http::BodyMemory::UsedBytes();
    const auto displaced = http::BodyMemory::Displaced();
    if (used != mReportedMemory) {
      mReportedMemory = used;
      mMetrics.Set("body_memory_bytes", {}, used);
    }
    if (displaced != mReportedDisplaced) {
      mMetrics.Count(
        "bodies_displaced_total", {}, displaced - mReportedDisplaced);
      mReportedDisplaced = displaced;
      mLastDisplaced = Clock::now();
      if (!std::exchange(mMemoryUsedUp, true)) {
        mAudit.Add("memory of bodies",
                   "free",
                   "used up",
                   std::to_string(used) + " bytes in use");
      }
    } else if (mMemoryUsedUp &&
               Clock::now() - mLastDisplaced >= kMemoryCalmTime) {
      mMemoryUsedUp = false;
      mAudit.Add("memory of bodies",
                 "used up",
                 "free",
                 std::to_string(used) + " bytes in use");
    }
  }

  /// Exchanges the full membership state with a VM whose rumours differ.
  asio::awaitable<void> SyncWith(std::string aAddress)
  {
    wire::FrameBody request = wire::SyncRequest{ mMembership.FullState() };
    const auto frame =
      co_await mLink.Call(aAddress, std::move(request), kSyncTimeout);
    const auto* reply = frame ? std::get_if<wire::SyncReply>(&*frame) : nullptr;
    if (reply != nullptr) {
      mMembership.MergeGossip(reply->gossip, Clock::now());
      ApplyMembershipEvents();
    }
  }

  /// Waits until the callers' connections have ended, or until aEnd.
  void AwaitDrained(TimePoint aEnd) const
  {
    while (!mCallerServer->Drained() && Clock::now() < aEnd) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  void Drain()
  {
    const auto drainEnd = Clock::now() + mSettings.drainTime - kStopMargin;
    mAudit.Add("vm", "serving", "draining", "planned stop");
    mDraining.store(true);
    mCallerServer->CloseAfterResponses();
    std::this_thread::sleep_for(kDrainDelay);
    asio::post(mLoop, [this, drainEnd] { mForwarder.BeginStop(drainEnd); });
    mCallerServer->Drain();
    AwaitDrained(drainEnd);
    if (!mCallerServer->Drained()) {
      asio::post(mLoop, [this] { mForwarder.EndAll(); });
      AwaitDrained(drainEnd + kLastAnswersTime);
    }
    asio::post(mLoop,
               asio::use_future([this] { SendAll(mMembership.Leave()); }))
      .wait();
    mAudit.Add("vm",
               "draining",
               "stopped",
               std::to_string(mCallerServer->Counters().inProgress.load()) +
                 " requests in progress, " +
                 std::to_string(mCallerServer->Counters().open.load()) +
                 " connections open");
  }

  document::Settings mSettings;
  std::uint64_t mProcessId;
  telemetry::AuditTrail mAudit;
  telemetry::Metrics mMetrics;
  /// Null until the first configuration is known. The version never decreases.
  RcuCell<routing::Table> mTable;
  http::Threads mThreads;
  asio::io_context& mLoop;
  std::unique_ptr<forward::Dialect> mDialect;
  backend::Pool mPool;
  // The members below are accessed on the event loop only.
  PeerLink mLink;
  membership::Membership mMembership;
  ReplicaService mReplicaService;
  DispatchService mDispatchService;
  LocalDispatcher mLocalDispatcher;
  forward::Forwarder mForwarder;
  bool mMembersApplied = false;
  std::size_t mReportedMemory = 0;
  std::uint64_t mReportedDisplaced = 0;
  TimePoint mLastDisplaced{};
  bool mMemoryUsedUp = false; ///< Since a body was displaced.
  // The members below are also used outside the event loop.
  std::atomic<bool> mDraining{ false };
  std::unique_ptr<http::Server> mCallerServer;
  std::unique_ptr<http::Server> mReadyServer;
  std::unique_ptr<http::Server> mMetricsServer; ///< Null if no address is set.
  std::mutex mStopMutex;
  std::condition_variable mStopSignal;
  bool mStopping = false;
};

} // namespace

std::unique_ptr<Vm>
StartMetadataStoreVm(const document::Settings& aSettings)
{
  return std::make_unique<MetadataStoreVm>(aSettings);
}

} // namespace magnoliatide::node
