// Puts the parts of a VM on the operators' platform together. Everything runs
// on one event loop, as the VM has a part of one processor only.
#include "magnoliatide/node/vm.h"

#include "local_dispatcher.h"
#include "peer_link.h"
#include "published_service.h"
#include "work_service.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/fleet/ranking.h"
#include "magnoliatide/forward/forwarder.h"
#include "magnoliatide/membership/membership.h"
#include "magnoliatide/telemetry/audit.h"
#include "magnoliatide/telemetry/log.h"
#include "platform/dialect.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr Duration kHousekeeping = Milliseconds(50);
constexpr Duration kSyncBound = Seconds(2);

/// How long the VM still accepts connections after it said that it is not
/// ready: the balancer asks once a second and believes the second miss.
constexpr Duration kLameDuck = Milliseconds(2600);

/// Kept of the time until the platform kills the process.
constexpr Duration kStopMargin = Milliseconds(300);

/// How long a server's host may leave packets unanswered.
constexpr Duration kDeadPeerBound = Seconds(3);

backend::PoolOptions
PoolOptionsFor(const document::Settings& aSettings)
{
  backend::PoolOptions options;
  options.connection.localHost = aSettings.callerAddress.host;
  options.connection.deadPeerBound = kDeadPeerBound;
  options.connection.closeEndsAnswer = true;
  options.idleBound = Seconds(30);
  return options;
}

std::uint64_t
WallMillis()
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                      WallClock::now().time_since_epoch())
                                      .count());
}

class EntryVm : public Vm
{
public:
  explicit EntryVm(const document::Settings& aSettings)
    : mSettings(aSettings)
    , mProcess(RandomId())
    , mAudit(aSettings.slot + "#" + ToHex(mProcess))
    , mThreads(1)
    , mLoop(mThreads.At(0))
    , mDialect(platform::MakeDialect())
    , mPool(PoolOptionsFor(aSettings))
    , mLink(mLoop, mSettings, mMetrics)
    , mMembers(MembershipOptionsNow())
    , mPublished(PartsForPublished())
    , mWork(PartsForWork())
    , mAlone([this] { return mPublished.Roster(); })
    , mForwarder(PartsForForwarder())
  {
    mAudit.Add("vm", "", "started", "process start");
    StartServers();
    asio::post(mLoop, [this] { StartControl(); });
  }

  ~EntryVm() override { mThreads.Stop(); }

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
    mAudit.Add("settings", "", "read again", aCause);
    asio::post(
      mLoop, [this, seeds = aSettings.seedTexts] { mMembers.AddSeeds(seeds); });
  }

private:
  forward::ForwarderParts PartsForForwarder()
  {
    forward::ForwarderParts parts;
    parts.table = &mTable;
    parts.dispatcher = mSettings.choiceRule == "least-own"
                         ? static_cast<forward::Dispatcher*>(&mAlone)
                         : &mWork;
    parts.pool = &mPool;
    parts.dialect = mDialect.get();
    parts.metrics = &mMetrics;
    parts.eventDelay = mSettings.bounds.relay * 3 / 4;
    parts.onLeaving = [this](const forward::ServerNotice& aNotice) {
      NoteLeaving(aNotice);
    };
    parts.serversRevision = [this] { return mPublished.Revision(); };
    parts.usable = [this](const routing::Server& aServer) {
      const auto roster = mPublished.Roster();
      const auto found = roster->find(aServer.id);
      return found != roster->end() && !found->second.leaving &&
             found->second.started == aServer.started;
    };
    return parts;
  }

  PublishedServiceParts PartsForPublished()
  {
    PublishedServiceParts parts;
    parts.loop = &mLoop;
    parts.link = &mLink;
    parts.metrics = &mMetrics;
    parts.audit = &mAudit;
    parts.table = &mTable;
    parts.follower.store.address = mSettings.platformAddress;
    parts.follower.store.localHost = mSettings.callerAddress.host;
    // A watch that has gone silent must be noticed, and replaced, in time.
    parts.follower.pingPeriod = std::min<Duration>(
      parts.follower.pingPeriod, mSettings.bounds.drainNotice / 2);
    parts.directory.returnGrace = mSettings.bounds.returnGrace;
    parts.seed = IsSeed(document::Format(mSettings.peerAddress));
    parts.peersInZone = [this] { return PeersInZone(); };
    parts.onTable = [this](const routing::TablePointer& aTable) {
      mWork.SetTable(aTable);
    };
    parts.onServers = [this] { mWork.ServersChanged(); };
    return parts;
  }

  WorkServiceParts PartsForWork()
  {
    const auto& bounds = mSettings.bounds;
    WorkServiceParts parts;
    parts.loop = &mLoop;
    parts.link = &mLink;
    parts.metrics = &mMetrics;
    parts.roster = [this] { return mPublished.Roster(); };
    parts.onSuspects = [this](const auto& aCounts) { Spread(aCounts); };
    parts.client.self = mProcess;
    parts.client.zone = mSettings.Zone();
    parts.client.quotaWindow = bounds.quotaWindow;
    parts.client.retryWindow = bounds.retryWindow;
    parts.authority.allocator.seed = mProcess;
    parts.authority.quotas = { bounds.quotaWindow,
                               bounds.quotaOverage,
                               bounds.quotaSlack };
    parts.authority.retries = { bounds.retryRatio,
                                bounds.retrySlack,
                                bounds.retryWindow };
    return parts;
  }

  membership::MembershipOptions MembershipOptionsNow() const
  {
    membership::MembershipOptions options;
    options.self.slot = mSettings.slot;
    options.self.address = document::Format(mSettings.peerAddress);
    options.self.process = mProcess;
    options.self.incarnation = WallMillis();
    options.self.processor =
      static_cast<std::uint32_t>(mSettings.processorShare * 1000);
    options.seed = mProcess;
    for (const auto& seed : mSettings.seeds) {
      options.seeds.push_back(document::Format(seed));
    }
    return options;
  }

  void StartControl()
  {
    mLink.Start(
      [this](wire::Header& aHeader) {
        aHeader.sender = mMembers.Self();
        aHeader.revision = mPublished.Revision();
      },
      [this](const wire::Header& aHeader, const wire::DatagramBody& aBody) {
        TakeDatagram(aHeader, aBody);
      },
      [this](const wire::Header& aHeader, const wire::FrameBody& aBody) {
        return TakeFrame(aHeader, aBody);
      });
    mPublished.Start();
    TakeMemberEvents();
    asio::co_spawn(mLoop, Housekeeping(), asio::detached);
  }

  void TakeDatagram(const wire::Header& aHeader,
                    const wire::DatagramBody& aBody)
  {
    SendAll(mMembers.Receive(aHeader, aBody, Clock::now()));
    TakeMemberEvents();
    if (const auto* items = std::get_if<wire::PublishedItems>(&aBody)) {
      mPublished.Take(
        *items, aHeader.sender.address, IsInZone(aHeader.sender.slot));
    }
    mPublished.NoteRevision(
      aHeader.sender.address, aHeader.revision, IsInZone(aHeader.sender.slot));
    mWork.Handle(aHeader, aBody);
  }

  wire::FrameBody TakeFrame(const wire::Header&, const wire::FrameBody& aBody)
  {
    if (const auto* request = std::get_if<wire::PublishedRequest>(&aBody)) {
      return mPublished.Answer(*request);
    }
    if (const auto* sync = std::get_if<wire::SyncRequest>(&aBody)) {
      mMembers.Absorb(sync->gossip, Clock::now());
      TakeMemberEvents();
    }
    return wire::SyncReply{ mMembers.Everything() };
  }

  void SendAll(const std::vector<membership::Outgoing>& aMessages)
  {
    for (const auto& message : aMessages) {
      mLink.Send(message.address, message.body);
    }
  }

  void TakeMemberEvents()
  {
    const auto changes = mMembers.TakeChanges();
    for (const auto& change : changes) {
      const auto state = change.record.state;
      mAudit.Add("vm " + change.record.slot,
                 membership::Name(change.from),
                 membership::Name(state),
                 "membership, process " + ToHex(change.record.process));
      const bool ended =
        state == wire::MemberState::kDead || state == wire::MemberState::kLeft;
      if (ended) {
        mWork.ForgetVm(change.record.process);
      }
    }
    if (!changes.empty() || !mMembersTold) {
      mMembersTold = true;
      mWork.SetMembers(mMembers.Live(), VmsInAll());
      mPublished.SetPlace(PlaceInZone());
    }
    for (const auto& rumour : mMembers.TakeNews()) {
      if (rumour.kind == wire::RumourKind::kBackendState) {
        mPublished.NoteLeaving(rumour.key, rumour.version, "told by a VM");
      } else {
        mWork.MergeSuspect(
          { FromHex(rumour.key), static_cast<int>(rumour.version) });
      }
    }
    if (mMembers.TakeWoke()) {
      mAudit.Add("vm", "paused", "awake", "a step of time was too long");
      mWork.Restart();
    }
  }

  /// Returns the VMs that there are when none is lost: all but those that
  /// stopped as planned.
  std::size_t VmsInAll() const
  {
    std::size_t vms = 0;
    for (const auto& record : mMembers.All()) {
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

  /// Returns this VM's place among the live ones of its zone that read the
  /// store: the second in rank goes first, as the first one coordinates.
  std::size_t PlaceInZone() const
  {
    const auto& self = mMembers.Self();
    std::size_t before = 0;
    std::size_t all = 0;
    for (const auto& record : mMembers.Live()) {
      const bool near = IsInZone(record.slot);
      before += near && fleet::RanksBefore(record, self) ? 1 : 0;
      all += near ? 1 : 0;
    }
    return before > 0 ? before - 1 : all - 1;
  }

  std::vector<std::string> PeersInZone() const
  {
    std::vector<std::string> addresses;
    for (const auto& record : mMembers.Live()) {
      if (IsInZone(record.slot) && record.process != mProcess) {
        addresses.push_back(record.address);
      }
    }
    return addresses;
  }

  void StartServers()
  {
    http::ServerOptions callers;
    callers.address = mSettings.callerAddress;
    callers.tellIdleTimeout = true;
    callers.limits = [this] { return LimitsNow(); };
    mCallers =
      http::StartServer(mThreads, callers, [this](http::Exchange& aExchange) {
        return mForwarder.Handle(aExchange);
      });
    if (!mSettings.metricsText.empty()) {
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

  http::ServerLimits LimitsNow() const
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

  void NoteLeaving(const forward::ServerNotice& aNotice)
  {
    if (mPublished.NoteLeaving(aNotice.server, aNotice.started, aNotice.why)) {
      mMembers.Spread({ wire::RumourKind::kBackendState,
                        aNotice.server,
                        aNotice.started,
                        "leaving" },
                      Clock::now());
      SendAll(mMembers.Push(Clock::now()));
    }
  }

  /// Tells the other VMs how many crashes requests are suspected of.
  void Spread(const std::vector<policy::CrashCount>& aCounts)
  {
    for (const auto& count : aCounts) {
      telemetry::LogWarning("crash-suspect",
                            { { "content", ToHex(count.fingerprint) },
                              { "crashes", count.crashes } });
      mMembers.Spread({ wire::RumourKind::kSuspect,
                        ToHex(count.fingerprint),
                        static_cast<std::uint64_t>(count.crashes),
                        "crash" },
                      Clock::now());
    }
    SendAll(mMembers.Push(Clock::now()));
  }

  asio::awaitable<void> Housekeeping()
  {
    asio::steady_timer timer(mLoop);
    while (true) {
      timer.expires_after(kHousekeeping);
      co_await timer.async_wait(kNoThrow);
      const auto now = Clock::now();
      SendAll(mMembers.Tick(now));
      TakeMemberEvents();
      mPublished.Tick(now);
      for (const auto& address : mMembers.TakeSyncPeers()) {
        asio::co_spawn(mLoop, SyncWith(address), asio::detached);
        break;
      }
    }
  }

  /// Exchanges everything with a VM whose rumours differ.
  asio::awaitable<void> SyncWith(std::string aAddress)
  {
    wire::FrameBody request = wire::SyncRequest{ mMembers.Everything() };
    const auto answer =
      co_await mLink.Ask(aAddress, std::move(request), kSyncBound);
    const auto* reply =
      answer ? std::get_if<wire::SyncReply>(&*answer) : nullptr;
    if (reply != nullptr) {
      mMembers.Absorb(reply->gossip, Clock::now());
      TakeMemberEvents();
    }
  }

  void Drain()
  {
    const auto end = Clock::now() + mSettings.drainTime - kStopMargin;
    mAudit.Add("vm", "serving", "draining", "planned stop");
    mDraining.store(true);
    mCallers->CloseAfterAnswers();
    std::this_thread::sleep_for(kLameDuck);
    mCallers->Drain();
    while (mCallers->Counters().inProgress.load() > 0 && Clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
    asio::post(mLoop, asio::use_future([this] { SendAll(mMembers.Leave()); }))
      .wait();
    mAudit.Add("vm",
               "draining",
               "stopped",
               std::to_string(mCallers->Counters().inProgress.load()) +
                 " requests in progress");
  }

  document::Settings mSettings;
  std::uint64_t mProcess;
  telemetry::AuditTrail mAudit;
  telemetry::Metrics mMetrics;
  /// Null until the first configuration is known; its version never falls.
  RcuCell<routing::Table> mTable;
  http::Threads mThreads;
  asio::io_context& mLoop;
  std::unique_ptr<forward::Dialect> mDialect;
  backend::Pool mPool;
  // The members from here on are touched on the loop only.
  PeerLink mLink;
  membership::Membership mMembers;
  PublishedService mPublished;
  WorkService mWork;
  LocalDispatcher mAlone;
  forward::Forwarder mForwarder;
  bool mMembersTold = false;
  // End of the members of the loop.
  std::atomic<bool> mDraining{ false };
  std::unique_ptr<http::Server> mCallers;
  std::unique_ptr<http::Server> mReadyServer;
  std::unique_ptr<http::Server> mMetricsServer; ///< Null: no address is set.
  std::mutex mStopMutex;
  std::condition_variable mStopSignal;
  bool mStopping = false;
};

} // namespace

std::unique_ptr<Vm>
StartEntryVm(const document::Settings& aSettings)
{
  return std::make_unique<EntryVm>(aSettings);
}

} // namespace magnoliatide::node
