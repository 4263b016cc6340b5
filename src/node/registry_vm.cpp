// Wires the services of a VM together and runs its control loop: timers,
// messages of peers, and changes of the configuration and the membership.
#include "magnoliatide/node/vm.h"

#include "admin_service.h"
#include "claim_service.h"
#include "config_service.h"
#include "connection_record.h"
#include "control_task.h"
#include "notice_service.h"
#include "order_service.h"
#include "peer_link.h"
#include "slot_service.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/entry/gateway.h"
#include "magnoliatide/membership/membership.h"
#include "magnoliatide/telemetry/audit.h"

#include <boost/asio.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kTickPeriod = Milliseconds(5);
/// Time between two removals of expired idempotency keys.
constexpr Duration kExpiryPeriod = Seconds(10);
constexpr Duration kSyncPeriod = Milliseconds(500);
constexpr Duration kSyncTimeout = Seconds(2);
/// A VM that receives no message of a peer within this time of its start serves
/// alone.
constexpr Duration kJoinTimeout = Seconds(2);
/// How long the VM still accepts connections after it reports that it is not
/// ready, so that load balancers stop sending to it before.
constexpr Duration kDrainDelay = Seconds(1);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

policy::SchedulerOptions
SchedulerOptionsFor(const document::Settings& aSettings)
{
  static const std::map<std::string, policy::SelectionPolicy>
    kSelectionPolicies = {
      { "predicted", policy::SelectionPolicy::kPredicted },
      { "round-robin", policy::SelectionPolicy::kRoundRobin },
      { "least-outstanding", policy::SelectionPolicy::kLeastOutstanding },
      { "two-choices", policy::SelectionPolicy::kTwoChoices },
    };
  policy::SchedulerOptions options;
  options.seed = RandomId();
  options.selector.seed = RandomId();
  options.selector.zone = aSettings.Zone();
  options.selector.selectionPolicy =
    kSelectionPolicies.at(aSettings.selectionPolicy);
  options.selector.learnSlotLimits = aSettings.slotScheme == "guess";
  options.queueDiscipline = aSettings.queueDiscipline == "arrival"
                              ? policy::QueueDiscipline::kArrival
                              : policy::QueueDiscipline::kTieredFair;
  return options;
}

std::uint64_t
WallClockMillis()
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                      WallClock::now().time_since_epoch())
                                      .count());
}

membership::MembershipOptions
MembershipOptionsFor(const document::Settings& aSettings,
                     std::uint64_t aProcess)
{
  membership::MembershipOptions options;
  options.self.slot = aSettings.slot;
  options.self.address = document::Format(aSettings.peerAddress);
  options.self.process = aProcess;
  options.self.incarnation = WallClockMillis();
  options.seed = aProcess;
  for (const auto& seed : aSettings.seeds) {
    options.seeds.push_back(document::Format(seed));
  }
  return options;
}

/// A VM with the platform kind "registry". One thread runs the control loop,
/// the others serve callers.
class RegistryVm : public Vm
{
public:
  explicit RegistryVm(const document::Settings& aSettings)
    : mSettings(aSettings)
    , mProcessId(RandomId())
    , mStartedAt(Clock::now())
    , mAudit(aSettings.slot + "#" + ToHex(mProcessId))
    , mControlThread(1)
    , mCallerThreads(static_cast<std::size_t>(aSettings.threads))
    , mScheduler(SchedulerOptionsFor(aSettings))
    , mPool({ .connection = { .localHost = aSettings.callerAddress.host } })
    , mMembership(MembershipOptionsFor(aSettings, mProcessId))
    , mLink(mControlThread.At(0), mSettings, mMetrics)
    , mClaims(MakeClaimParams())
    , mSlots(MakeSlotParams())
    , mConfig(MakeConfigParams())
    , mOrders(MakeOrderParams())
    , mNotices(MakeNoticeParams())
    , mGateway(MakeGatewayParams())
    , mAdmin(MakeAdminParams())
  {
    mAudit.Add("vm", "", "started", "process start");
    asio::post(mControlThread.At(0), [this] { StartControl(); });
    StartServers();
  }

  ~RegistryVm() override
  {
    mCallerThreads.Stop();
    mControlThread.Stop();
  }

  void Run() override
  {
    std::unique_lock<std::mutex> lock(mStopMutex);
    mStopSignal.wait(lock, [this] { return mStopping; });
    lock.unlock();
    DrainCallers();
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
    asio::post(mControlThread.At(0), [this, seeds = aSettings.seedTexts] {
      mMembership.AddSeeds(seeds);
    });
  }

private:
  ClaimServiceParams MakeClaimParams()
  {
    ClaimServiceParams params;
    params.loop = &mControlThread.At(0);
    params.link = &mLink;
    params.metrics = &mMetrics;
    params.slot = mSettings.slot;
    params.process = mProcessId;
    params.firstIncarnation = mMembership.Self().incarnation;
    params.addressOf = [this](const std::string& aSlot) {
      for (const auto& record : mMembership.LiveMembers()) {
        if (record.slot == aSlot) {
          return record.address;
        }
      }
      return std::string();
    };
    return params;
  }

  SlotServiceParams MakeSlotParams()
  {
    SlotServiceParams params;
    params.link = &mLink;
    params.metrics = &mMetrics;
    params.scheduler = &mScheduler;
    params.slot = mSettings.slot;
    params.zone = mSettings.Zone();
    params.live = [this] { return mMembership.LiveMembers(); };
    params.apply = [this](const policy::Decisions& aDecisions) {
      mGateway.Apply(aDecisions);
    };
    return params;
  }

  ConfigServiceParams MakeConfigParams()
  {
    ConfigServiceParams params;
    params.loop = &mControlThread.At(0);
    params.link = &mLink;
    params.metrics = &mMetrics;
    params.audit = &mAudit;
    params.documentCell = &mDocument;
    params.settings = mSettings;
    params.liveInZone = [this] { return LiveInZone(); };
    params.onAccepted = [this](const document::Document& aDocument) {
      ApplyDocument(aDocument);
    };
    params.onVmList = [this](const platform::VmList& aList) {
      ApplyVmList(aList);
    };
    return params;
  }

  OrderServiceParams MakeOrderParams()
  {
    OrderServiceParams params;
    params.loop = &mControlThread.At(0);
    params.metrics = &mMetrics;
    params.audit = &mAudit;
    params.document = &mDocument;
    params.slot = mSettings.slot;
    params.localHost = mSettings.peerBind.host;
    params.live = [this] { return mMembership.LiveMembers(); };
    return params;
  }

  NoticeServiceParams MakeNoticeParams()
  {
    NoticeServiceParams params;
    params.membership = &mMembership;
    params.scheduler = &mScheduler;
    params.audit = &mAudit;
    params.document = &mDocument;
    params.pushGossip = [this] {
      SendAll(mMembership.PushGossip(Clock::now()));
      ApplyMembershipEvents();
    };
    return params;
  }

  entry::GatewayParams MakeGatewayParams()
  {
    entry::GatewayParams params;
    params.document = &mDocument;
    params.scheduler = &mScheduler;
    params.pool = &mPool;
    params.metrics = &mMetrics;
    params.guard = &mClaims;
    params.idPrefix = ToHex(mProcessId);
    params.ready = [this] { return mReady.load(); };
    params.onLeaving = [this](const std::string& aName) {
      asio::post(mControlThread.At(0),
                 [this, aName] { mNotices.RecordLeaving(aName); });
    };
    params.onSuspects = [this](std::vector<policy::SuspectEntry> aEntries) {
      asio::post(mControlThread.At(0), [this, entries = std::move(aEntries)] {
        mNotices.SpreadSuspects(entries);
      });
    };
    params.onCrash = [this](const std::string& aName) {
      mAudit.Add("backend " + aName, "good", "down", "crash detected");
    };
    return params;
  }

  AdminServiceParams MakeAdminParams()
  {
    AdminServiceParams params;
    params.settings = &mSettings;
    params.metrics = &mMetrics;
    params.audit = &mAudit;
    params.document = &mDocument;
    params.scheduler = &mScheduler;
    params.process = mProcessId;
    params.members = [this] { return mMembership.AllMembers(); };
    params.claimsComplete = [this] { return mClaims.IsComplete(); };
    params.claimKeyCount = [this] { return mClaims.KeyCount(); };
    params.leaving = [this] { return mNotices.Leaving(); };
    return params;
  }

  void StartServers()
  {
    http::ServerOptions callers;
    callers.address = mSettings.callerAddress;
    callers.onConnectionEnd = [this](const http::ConnectionEnd& aEnd) {
      RecordConnectionEnd(mMetrics, aEnd, "");
    };
    mCallerServer = http::StartServer(
      mCallerThreads, callers, [this](http::Exchange& aExchange) {
        return mGateway.Handle(aExchange);
      });
    http::ServerOptions admin;
    admin.address = mSettings.adminAddress;
    mAdminServer = http::StartServer(
      mControlThread, admin, [this](http::Exchange& aExchange) {
        return mAdmin.Handle(aExchange);
      });
  }

  void StartControl()
  {
    mLink.Start(
      [this](wire::Header& aHeader) {
        aHeader.sender = mMembership.Self();
        aHeader.documentVersion = mConfig.ActiveVersion();
      },
      [this](const wire::Header& aHeader, const wire::DatagramBody& aBody) {
        HandleDatagram(aHeader, aBody);
      },
      [this](const wire::Header& aHeader, const wire::FrameBody& aBody) {
        return HandleFrame(aHeader, aBody);
      });
    mConfig.Start();
    mClaims.Start();
    mOrders.Start();
    StartControlTask(
      mControlThread.At(0), "tick", [this] { return TickLoop(); });
    StartControlTask(
      mControlThread.At(0), "sync", [this] { return SyncLoop(); });
  }

  asio::awaitable<void> Sleep(Duration aDuration)
  {
    asio::steady_timer timer(mControlThread.At(0), aDuration);
    co_await timer.async_wait(kNoThrow);
  }

  asio::awaitable<void> TickLoop()
  {
    TimePoint nextExpiry = Clock::now() + kExpiryPeriod;
    while (true) {
      co_await Sleep(kTickPeriod);
      const auto now = Clock::now();
      SendAll(mMembership.Tick(now));
      ApplyMembershipEvents();
      if (mSettings.slotScheme == "lease") {
        mSlots.Tick(now);
      }
      mGateway.Apply(mScheduler.Tick(now));
      UpdateReadiness(now);
      if (now >= nextExpiry) {
        nextExpiry = now + kExpiryPeriod;
        mClaims.RemoveExpired();
      }
    }
  }

  /// Marks the VM ready once it has a document and has received a message of a
  /// peer, so that it does not serve under an old document that the platform
  /// has yet to replace. If no peer answers within kJoinTimeout, or the
  /// document has at most one slot, the VM serves alone.
  void UpdateReadiness(TimePoint aNow)
  {
    if (mReady.load() || !mDocument.Load()) {
      return;
    }
    const bool single = mDocument.Load()->slots.size() <= 1;
    if (mPeerSeen || single || aNow - mStartedAt >= kJoinTimeout) {
      mReady.store(true);
      mAudit.Add("vm", "started", "serving", mPeerSeen ? "joined" : "alone");
    }
  }

  void SendAll(const std::vector<membership::OutgoingMessage>& aMessages)
  {
    for (const auto& message : aMessages) {
      mLink.Send(message.address, message.body);
    }
  }

  void HandleDatagram(const wire::Header& aHeader,
                      const wire::DatagramBody& aBody)
  {
    mPeerSeen = true;
    mConfig.RecordPeerVersion(aHeader.sender.address, aHeader.documentVersion);
    SendAll(mMembership.Receive(aHeader, aBody, Clock::now()));
    mClaims.Handle(aHeader, aBody);
    mSlots.Handle(aHeader, aBody);
    ApplyMembershipEvents();
  }

  wire::FrameBody HandleFrame(const wire::Header& aHeader,
                              const wire::FrameBody& aBody)
  {
    mConfig.RecordPeerVersion(aHeader.sender.address, aHeader.documentVersion);
    if (const auto* request = std::get_if<wire::DocumentRequest>(&aBody)) {
      return mConfig.HandleRequest(*request);
    }
    if (const auto* sync = std::get_if<wire::SyncRequest>(&aBody)) {
      mMembership.MergeGossip(sync->gossip, Clock::now());
      ApplyMembershipEvents();
      return wire::SyncReply{ mMembership.FullState() };
    }
    if (const auto* copy = std::get_if<wire::CopyRequest>(&aBody)) {
      return mClaims.HandleCopy(*copy);
    }
    if (const auto* outcome = std::get_if<wire::OutcomeRequest>(&aBody)) {
      return mClaims.HandleOutcome(*outcome);
    }
    return wire::SyncReply{};
  }

  void ApplyMembershipEvents()
  {
    const auto changes = mMembership.TakeChanges();
    for (const auto& change : changes) {
      mAudit.Add("vm " + change.record.slot,
                 membership::Name(change.from),
                 membership::Name(change.record.state),
                 "membership, process " + ToHex(change.record.process));
    }
    if (!changes.empty()) {
      mScheduler.SetVmCount(static_cast<int>(mMembership.LiveMembers().size()));
      mSlots.MembersChanged();
    }
    mNotices.HandleNewRumours();
    if (mMembership.TakePauseDetected()) {
      mAudit.Add(
        "vm", "paused", "awake", "the event loop did not run for too long");
      mSlots.DropGrants();
    }
    if (mMembership.Superseded() && !mSupersededHandled) {
      mSupersededHandled = true;
      mAudit.Add(
        "vm", "serving", "superseded", "a newer process holds the slot");
      BeginStop();
    }
  }

  void ApplyDocument(const document::Document& aDocument)
  {
    mScheduler.Apply(aDocument);
    mClaims.Configure(aDocument);
    mSlots.Configure(aDocument);
    mNotices.ApplyLeaving();
    SendAll(mMembership.PushGossip(Clock::now()));
  }

  void ApplyVmList(const platform::VmList& aList)
  {
    std::vector<std::string> seeds;
    for (const auto& vm : aList.vms) {
      seeds.push_back(document::Format(vm.peer));
    }
    mMembership.AddSeeds(seeds);
    mNotices.ApplyVmList(aList);
  }

  /// Exchanges the full gossip state with a peer whose rumours differ.
  asio::awaitable<void> SyncLoop()
  {
    while (true) {
      co_await Sleep(kSyncPeriod);
      const auto peers = mMembership.TakeSyncPeers();
      if (peers.empty()) {
        continue;
      }
      mMetrics.Count("peer_syncs_total");
      // A variable, because GCC 12 destroys a temporary in the operand of
      // co_await twice.
      wire::FrameBody request = wire::SyncRequest{ mMembership.FullState() };
      const auto frame =
        co_await mLink.Call(peers.back(), std::move(request), kSyncTimeout);
      const auto* reply =
        frame ? std::get_if<wire::SyncReply>(&*frame) : nullptr;
      if (reply != nullptr) {
        mMembership.MergeGossip(reply->gossip, Clock::now());
        ApplyMembershipEvents();
      }
    }
  }

  std::vector<std::string> LiveInZone() const
  {
    std::vector<std::string> slots;
    for (const auto& record : mMembership.LiveMembers()) {
      if (record.slot.starts_with(mSettings.Zone() + "/")) {
        slots.push_back(record.slot);
      }
    }
    return slots;
  }

  void DrainCallers()
  {
    mAudit.Add("vm", "serving", "draining", "planned stop");
    mGateway.SetDraining();
    mCallerServer->CloseAfterResponses();
    const auto deadline = Clock::now() + mSettings.drainTime;
    std::this_thread::sleep_for(kDrainDelay);
    mCallerServer->Drain();
    while (!mCallerServer->Drained() && Clock::now() < deadline) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    asio::post(mControlThread.At(0),
               asio::use_future([this] { SendAll(mMembership.Leave()); }))
      .wait();
    mAudit.Add(
      "vm", "draining", "stopped", "all requests ended or drain time expired");
  }

  document::Settings mSettings;
  std::uint64_t mProcessId;
  TimePoint mStartedAt;
  telemetry::AuditTrail mAudit;
  telemetry::Metrics mMetrics;
  /// The active document; null until the first one is accepted.
  RcuCell<document::Document> mDocument;
  http::Threads mControlThread;
  http::Threads mCallerThreads;
  policy::Scheduler mScheduler;
  backend::Pool mPool;
  // The members below are accessed on the control loop only.
  membership::Membership mMembership;
  PeerLink mLink;
  ClaimService mClaims;
  SlotService mSlots;
  ConfigService mConfig;
  OrderService mOrders;
  NoticeService mNotices;
  bool mPeerSeen = false;
  bool mSupersededHandled = false;
  // The members below are also used outside the control loop.
  std::atomic<bool> mReady{ false };
  entry::Gateway mGateway;
  AdminService mAdmin;
  std::unique_ptr<http::Server> mCallerServer;
  std::unique_ptr<http::Server> mAdminServer;
  std::mutex mStopMutex;
  std::condition_variable mStopSignal;
  bool mStopping = false;
};

} // namespace

std::unique_ptr<Vm>
StartRegistryVm(const document::Settings& aSettings)
{
  return std::make_unique<RegistryVm>(aSettings);
}

} // namespace magnoliatide::node
