// Puts the parts of a VM together.
#include "magnoliatide/node/vm.h"

#include "local_guard.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/entry/gateway.h"
#include "magnoliatide/platform/reader.h"
#include "magnoliatide/telemetry/audit.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kTick = Milliseconds(5);
constexpr Duration kWatchWait = Seconds(20);
constexpr Duration kRetryRead = Milliseconds(500);
constexpr Duration kLameDuck = Seconds(1);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

policy::SchedulerOptions
OptionsFor(const document::Settings& aSettings)
{
  static const std::map<std::string, policy::ChoiceRule> kRules = {
    { "predicted", policy::ChoiceRule::kPredicted },
    { "round-robin", policy::ChoiceRule::kRoundRobin },
    { "least-outstanding", policy::ChoiceRule::kLeastOutstanding },
    { "two-choices", policy::ChoiceRule::kTwoChoices },
  };
  policy::SchedulerOptions options;
  options.seed = RandomId();
  options.book.seed = RandomId();
  options.book.zone = aSettings.Zone();
  options.book.rule = kRules.at(aSettings.choiceRule);
  options.book.learnLimits = aSettings.slotScheme != "static";
  options.queueRule = aSettings.queueRule == "arrival"
                        ? policy::QueueRule::kArrival
                        : policy::QueueRule::kTieredFair;
  return options;
}

class AsioVm : public Vm
{
public:
  explicit AsioVm(const document::Settings& aSettings)
    : mSettings(aSettings)
    , mProcess(RandomId())
    , mAudit(aSettings.slot + "#" + ToHex(mProcess))
    , mControl(1)
    , mThreads(static_cast<std::size_t>(aSettings.threads))
    , mScheduler(OptionsFor(aSettings))
    , mPool({ .localHost = aSettings.callerAddress.host })
    , mGateway(PartsForGateway())
  {
    StartServers();
    mAudit.Add("vm", "", "started", "process start");
    asio::co_spawn(mControl.At(0), TickLoop(), asio::detached);
    asio::co_spawn(mControl.At(0), ConfigLoop(), asio::detached);
    asio::co_spawn(mControl.At(0), VmListLoop(), asio::detached);
  }

  ~AsioVm() override
  {
    mThreads.Stop();
    mControl.Stop();
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

private:
  entry::GatewayParts PartsForGateway()
  {
    entry::GatewayParts parts;
    parts.document = &mDocument;
    parts.scheduler = &mScheduler;
    parts.pool = &mPool;
    parts.metrics = &mMetrics;
    parts.guard = &mGuard;
    parts.idPrefix = ToHex(mProcess);
    parts.onLeaving = [this](const std::string& aName) {
      asio::post(mControl.At(0), [this, aName] {
        NoteLeaving(aName, "the backend server's own notice");
      });
    };
    parts.onSuspects = [](const auto&) {};
    parts.onCrash = [this](const std::string& aName) {
      mAudit.Add("backend " + aName, "good", "down", "crash seen");
    };
    return parts;
  }

  void StartServers()
  {
    http::ServerOptions callers;
    callers.address = mSettings.callerAddress;
    mCallers =
      http::StartServer(mThreads, callers, [this](http::Exchange& aExchange) {
        return mGateway.Handle(aExchange);
      });
    http::ServerOptions admin;
    admin.address = mSettings.adminAddress;
    mAdmin =
      http::StartServer(mControl, admin, [this](http::Exchange& aExchange) {
        return ServeAdmin(aExchange);
      });
  }

  asio::awaitable<void> ServeAdmin(http::Exchange& aExchange)
  {
    if (http::PathOf(aExchange.Incoming()) == "/metrics") {
      co_await aExchange.Respond(http::TextResponse(200, mMetrics.Render()));
      co_return;
    }
    co_await aExchange.Respond(http::TextResponse(404, "no such path\n"));
  }

  asio::awaitable<void> TickLoop()
  {
    asio::steady_timer timer(mControl.At(0));
    while (true) {
      timer.expires_after(kTick);
      co_await timer.async_wait(kNoThrow);
      mGateway.Apply(mScheduler.Tick(Clock::now()));
    }
  }

  asio::awaitable<void> Pause(Duration aTime)
  {
    asio::steady_timer timer(mControl.At(0), aTime);
    co_await timer.async_wait(kNoThrow);
  }

  platform::ReaderOptions Reader() const
  {
    return { mSettings.platformAddress,
             mSettings.environment,
             mSettings.peerAddress.host };
  }

  asio::awaitable<void> ConfigLoop()
  {
    std::uint64_t index = 0;
    while (true) {
      const Duration wait = index == 0 ? Duration::zero() : kWatchWait;
      auto value = co_await platform::ReadConfig(Reader(), index, wait);
      if (value.status == platform::ReadStatus::kValue) {
        index = value.index;
        Offer(value.text);
      } else if (value.status == platform::ReadStatus::kFailed) {
        index = 0;
        co_await Pause(kRetryRead);
      }
    }
  }

  void Offer(const std::string& aText)
  {
    std::vector<Fault> faults;
    auto document = ValueOrFaults(
      [&] { return document::ParseDocument("platform", aText); }, faults);
    if (!faults.empty()) {
      mAudit.Add("configuration", "", "refused", Describe(faults.front()));
      return;
    }
    const auto current = mDocument.Load();
    if (current && document.generation <= current->generation) {
      return;
    }
    mScheduler.Apply(document);
    mAudit.Add("configuration",
               current ? std::to_string(current->generation) : "none",
               std::to_string(document.generation),
               "platform");
    mDocument.Store(std::make_shared<document::Document>(std::move(document)));
  }

  asio::awaitable<void> VmListLoop()
  {
    std::uint64_t index = 0;
    while (true) {
      const Duration wait = index == 0 ? Duration::zero() : kWatchWait;
      const auto list = co_await platform::ReadVmList(Reader(), index, wait);
      if (list.status == platform::ReadStatus::kValue) {
        index = list.index;
        TakeList(list);
      } else if (list.status == platform::ReadStatus::kFailed) {
        index = 0;
        co_await Pause(kRetryRead);
      }
    }
  }

  void TakeList(const platform::VmList& aList)
  {
    for (const auto& backend : aList.backends) {
      if (backend.leaving) {
        NoteLeaving(backend.name, "the platform's list");
      }
    }
    mScheduler.SetSharers(static_cast<int>(aList.vms.size()));
  }

  void NoteLeaving(const std::string& aName, const std::string& aCause)
  {
    if (!mLeaving.insert(aName).second) {
      return;
    }
    mScheduler.SetLeaving(mLeaving);
    mAudit.Add("backend " + aName, "serving", "leaving", aCause);
  }

  void DrainCallers()
  {
    mAudit.Add("vm", "serving", "draining", "planned stop");
    mGateway.SetDraining();
    const auto end = Clock::now() + mSettings.drainTime;
    std::this_thread::sleep_for(kLameDuck);
    mCallers->Drain();
    while (mCallers->Counters().inProgress.load() > 0 && Clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    mAudit.Add("vm", "draining", "stopped", "no request in progress");
  }

  document::Settings mSettings;
  std::uint64_t mProcess;
  telemetry::AuditTrail mAudit;
  telemetry::Metrics mMetrics;
  /// Null until the first document was accepted.
  RcuCell<document::Document> mDocument;
  http::Threads mControl;
  http::Threads mThreads;
  policy::Scheduler mScheduler;
  backend::Pool mPool;
  LocalGuard mGuard;
  entry::Gateway mGateway;
  std::unique_ptr<http::Server> mCallers;
  std::unique_ptr<http::Server> mAdmin;
  std::set<std::string> mLeaving;
  std::mutex mStopMutex;
  std::condition_variable mStopSignal;
  bool mStopping = false;
};

} // namespace

std::unique_ptr<Vm>
StartVm(const document::Settings& aSettings)
{
  return std::make_unique<AsioVm>(aSettings);
}

} // namespace magnoliatide::node
