// Guards against requests that end without an answer, or are refused although
// they ran, because servers pause beside planned work: a new configuration, a
// stop or a reload of a VM. Real VM processes run with test doubles of the
// store and the servers; their callers keep their connections.
#include "platform_fleet.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <thread>

namespace magnoliatide::tests {
namespace {

namespace asio = boost::asio;
using http::CallStatus;
using standins::BatchEngineOptions;

constexpr int kEventCount = 60;
constexpr Duration kEventInterval = Milliseconds(10);
constexpr int kDeadlineMillis = 5000;

/// A request that has not reached a server crosses the close of its connection
/// if it ends within this time.
constexpr Duration kCrossingTime = Milliseconds(500);

constexpr Milliseconds kLowTimeout{ 700 };

/// A request of a caller that keeps its connection.
struct Outcome
{
  std::string id;
  std::string path;
  std::size_t vm = 0;
  bool first = false; ///< The first one on its connection.
  CallStatus status = CallStatus::kNotSent;
  http::Response response;
  TimePoint sent;
  TimePoint ended;
};

/// What changes while servers pause.
struct Plan
{
  int callers = 18;
  int slots = 40;
  Duration pause = Milliseconds(1200);
  bool allPause = true;
  std::string change;     ///< Name of a change, or empty.
  int signal = 0;         ///< Sent to a VM, or 0.
  std::size_t target = 0; ///< The VM that gets it.
  bool unplanned = false; ///< Callers of the target are not judged.
  Duration leadTime{};    ///< From the pause to the signal.
  std::string leaving;    ///< Server that leaves during the pause, or empty.
};

class PlannedSilence : public ::testing::Test
{
protected:
  explicit PlannedSilence(std::vector<std::string> aZones = { "kariakoo" })
    : mFleet(NameOfTest(), std::move(aZones))
  {
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  static std::vector<RouteConfig> DefaultRoutes()
  {
    RouteConfig deposits;
    deposits.name = "deposits";
    deposits.prefix = "/deposits/";
    deposits.kind = "non_idempotent";
    deposits.service = "orders";
    deposits.attempts = 1;
    RouteConfig stock = deposits;
    stock.name = "stock";
    stock.prefix = "/stock/";
    stock.kind = "idempotent";
    stock.attempts = 2;
    return { RouteConfig(), deposits, stock };
  }

  void Start(const Plan& aPlan)
  {
    for (int i = 1; i <= 4; ++i) {
      BatchEngineOptions options;
      options.id = "i-" + std::to_string(i);
      options.stream = i <= 2;
      options.service = i <= 2 ? "language" : "orders";
      options.slots = aPlan.slots;
      options.queue = 0;
      options.events = kEventCount;
      options.eventInterval = kEventInterval;
      options.firstByteDelay = Milliseconds(30);
      mFleet.AddEngine(options);
    }
    mFleet.Publish(DefaultRoutes(), { TeamConfig() });
    ASSERT_TRUE(mFleet.Start());
  }

  /// Publishes a configuration that differs from the default one.
  void Change(const std::string& aChange)
  {
    auto routes = DefaultRoutes();
    TeamConfig team;
    LimitsConfig limits;
    if (aChange == "moved") {
      routes[0].service = "elsewhere";
      routes[1].service = "elsewhere";
      routes[2].service = "elsewhere";
    } else if (aChange == "removed") {
      routes = { routes[0] };
      routes[0].prefix = "/other/";
    } else if (aChange == "timeout") {
      for (auto& route : routes) {
        route.timeoutMillis = static_cast<int>(kLowTimeout.count());
      }
    } else if (aChange == "limits") {
      limits.headerBytes = 256;
      limits.bodyBytes = 2;
      limits.headerTimeout = Milliseconds(300);
    } else if (aChange == "key") {
      team.keys = { "key-of-others" };
    } else if (aChange == "team") {
      team.name = "others";
      team.keys = { "key-of-others" };
    } else if (aChange == "idle") {
      limits.idleTimeout = Milliseconds(1000);
    }
    mFleet.Publish(routes, { team }, limits);
  }

  /// Sends requests on kept connections until the callers are stopped or their
  /// VM accepts no connection.
  asio::awaitable<void> RunCaller(int aNumber, std::size_t aVm)
  {
    const auto executor = co_await asio::this_coro::executor;
    const auto& address = mFleet.Vms()[aVm].callerAddress;
    const char* prefixes[] = { "/quotes/", "/deposits/", "/stock/" };
    std::shared_ptr<http::ClientConnection> connection;
    for (int i = 0; !mStopping; ++i) {
      Outcome outcome;
      outcome.first = !connection;
      if (!connection) {
        connection = http::MakeConnection(executor, address);
        const bool connected = co_await connection->Connect(Seconds(1));
        if (!connected) {
          co_return;
        }
      }
      CallSpec call;
      call.path = prefixes[(aNumber + i) % 3] + std::to_string(aNumber) + "-" +
                  std::to_string(i);
      call.deadlineMillis = kDeadlineMillis;
      auto request = mFleet.RequestOf(call);
      outcome.id = std::string(http::Find(request.headers, "Attempt-Id"));
      outcome.path = call.path;
      outcome.vm = aVm;
      outcome.sent = Clock::now();
      connection->EndBy(outcome.sent + Seconds(9));
      outcome.status =
        co_await connection->Send(std::move(request), Seconds(9));
      if (outcome.status == CallStatus::kDone) {
        outcome.status =
          co_await connection->ReadHead(outcome.response, Seconds(9));
      }
      if (outcome.status == CallStatus::kDone) {
        outcome.status = co_await connection->ReadRest(
          outcome.response.body, 1024 * 1024, Seconds(9));
      }
      outcome.ended = Clock::now();
      if (!connection->Reusable()) {
        connection.reset();
      }
      mOutcomes.push_back(std::move(outcome));
      asio::steady_timer timer(executor, Milliseconds(5 + 13 * aNumber % 90));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  void StartCallers(const Plan& aPlan)
  {
    for (int i = 0; i < aPlan.callers; ++i) {
      const auto vm = static_cast<std::size_t>(i) % mFleet.Vms().size();
      asio::co_spawn(mLoop, RunCaller(i, vm), asio::detached);
    }
    mCallers = std::thread([this] { mLoop.run(); });
  }

  void StopCallers()
  {
    asio::post(mLoop, [this] { mStopping = true; });
    mCallers.join();
  }

  static void Sleep(Duration aTime) { std::this_thread::sleep_for(aTime); }

  /// Carries out a plan under the requests of callers and expects that none is
  /// lost.
  void Run(const Plan& aPlan)
  {
    Start(aPlan);
    StartCallers(aPlan);
    Sleep(Milliseconds(700));
    const TimePoint begin = Clock::now();
    for (std::size_t i = 0; i < mFleet.Engines().size(); ++i) {
      if (aPlan.allPause || i % 2 == 0) {
        mFleet.Engines()[i]->FallSilent(aPlan.pause);
      }
    }
    if (!aPlan.leaving.empty()) {
      for (auto& engine : mFleet.Engines()) {
        if (engine->Options().id == aPlan.leaving) {
          mFleet.WriteEntry(*engine, true);
        }
      }
    }
    Sleep(Milliseconds(150));
    if (!aPlan.change.empty()) {
      mChangedAt = Clock::now();
      Change(aPlan.change);
    }
    std::this_thread::sleep_until(begin + aPlan.leadTime);
    if (aPlan.signal != 0) {
      mFleet.Vms()[aPlan.target].process.Signal(aPlan.signal);
    }
    Sleep(Milliseconds(700));
    if (!aPlan.change.empty()) {
      mFleet.Publish(DefaultRoutes(), { TeamConfig() });
    }
    Sleep(aPlan.pause + Milliseconds(700));
    if (aPlan.signal == SIGTERM) {
      EXPECT_TRUE(mFleet.Vms()[aPlan.target].process.Wait(Seconds(9)));
    }
    StopCallers();
    Judge(aPlan);
  }

  void Judge(const Plan& aPlan)
  {
    std::map<std::string, int> runs;
    for (auto& engine : mFleet.Engines()) {
      for (const auto& run : engine->Runs()) {
        runs[run.requestId] += 1;
      }
    }
    std::map<int, int> statuses;
    for (const auto& outcome : mOutcomes) {
      const bool judged = !aPlan.unplanned || outcome.vm != aPlan.target;
      const auto ran = runs.count(outcome.id) > 0 ? runs.at(outcome.id) : 0;
      const auto text = outcome.path + " " + outcome.id + " ran " +
                        std::to_string(ran) + " status " +
                        std::to_string(outcome.response.status);
      if (outcome.path.starts_with("/deposits/")) {
        EXPECT_LE(ran, 1) << text;
      }
      if (!judged) {
        continue;
      }
      if (outcome.status != CallStatus::kDone) {
        const Duration age = outcome.ended - outcome.sent;
        if (outcome.sent >= mChangedAt && aPlan.change == "timeout" &&
            age >= kLowTimeout - Milliseconds(10)) {
          continue;
        }
        EXPECT_EQ(ran, 0) << text;
        EXPECT_LT(age, kCrossingTime) << text;
        continue;
      }
      const int status = outcome.response.status;
      statuses[status] += 1;
      if (status == 503 || status == 429 || status == 408 || status == 421) {
        EXPECT_EQ(ran, 0) << text;
      }
      if (status == 200 && outcome.path.starts_with("/quotes/")) {
        EXPECT_TRUE(outcome.response.body ==
                    standins::ExpectedEvents(outcome.path, 0, kEventCount))
          << text;
      }
    }
    EXPECT_GT(statuses[200], 0);
  }

  PlatformFleet mFleet;
  TimePoint mChangedAt{};
  asio::io_context mLoop;
  std::thread mCallers;
  bool mStopping = false;         ///< Used on mLoop.
  std::vector<Outcome> mOutcomes; ///< Used on mLoop.
};

// Guards against requests that end without an answer because servers pause
// while a change moves their routes and a planned stop begins.
TEST_F(PlannedSilence, NoRequestIsLostBesideAChangeAndAStop)
{
  Plan plan;
  plan.slots = 2;
  plan.change = "moved";
  plan.signal = SIGTERM;
  plan.leadTime = Milliseconds(500);
  Run(plan);
}

// Guards against requests that end without an answer because servers pause
// while a change removes their key and the VM reloads its settings.
TEST_F(PlannedSilence, NoRequestIsLostBesideAChangeAndAReload)
{
  Plan plan;
  plan.change = "key";
  plan.signal = SIGHUP;
  plan.leadTime = Milliseconds(300);
  plan.leaving = "i-1";
  Run(plan);
}

// Guards against a connection that is closed under its caller's request after a
// pause, because a change has lowered the idle timeout that the caller was
// told.
TEST_F(PlannedSilence, NoRequestIsLostBesideALowerIdleTimeout)
{
  Plan plan;
  plan.change = "idle";
  plan.allPause = false;
  Run(plan);
}

class PlannedSilencePair : public PlannedSilence
{
protected:
  PlannedSilencePair()
    : PlannedSilence({ "kariakoo", "kariakoo" })
  {
  }
};

// Guards against requests of one VM that end without an answer because the
// other one, which may decide on them, is killed while servers pause and a
// change removes their routes.
TEST_F(PlannedSilencePair, NoRequestIsLostBesideAChangeAndTheEndOfAnotherVm)
{
  Plan plan;
  plan.callers = 30;
  plan.slots = 2;
  plan.change = "removed";
  plan.signal = SIGKILL;
  plan.unplanned = true;
  plan.leadTime = Milliseconds(400);
  Run(plan);
}

/// Requests that wait for the only slot of a server, at two VMs.
class WaitingRequests : public PlannedSilence
{
protected:
  static constexpr int kWaiting = 4;
  static constexpr Duration kRunTime = Milliseconds(500);

  WaitingRequests()
    : PlannedSilence({ "kariakoo", "kariakoo" })
  {
  }

  static std::vector<RouteConfig> PatientRoutes()
  {
    auto routes = DefaultRoutes();
    for (auto& route : routes) {
      // Later than the deadlines, so that no request is refused as too late.
      route.targetMillis = 8000;
      route.timeoutMillis = 8000;
    }
    return routes;
  }

  /// Starts one run and requests at each VM that wait for its end.
  void StartWaiting(const std::string& aPrefix)
  {
    BatchEngineOptions options;
    options.id = "o-1";
    options.service = "orders";
    options.stream = false;
    options.slots = 1;
    options.firstByteDelay = kRunTime;
    mFleet.AddEngine(options);
    mFleet.Publish(PatientRoutes(), { TeamConfig() });
    ASSERT_TRUE(mFleet.Start());
    // Both VMs must know each other, or each decides for itself.
    Sleep(Milliseconds(500));
    for (int i = 0; i < kWaiting; ++i) {
      for (std::size_t vm = 0; vm < 2; ++vm) {
        CallSpec call;
        call.path = aPrefix + std::to_string(i) + "-" + std::to_string(vm);
        call.deadlineMillis = 8000;
        mPending[vm].push_back(mFleet.StartCall(vm, call));
        Sleep(Milliseconds(10));
      }
    }
    Sleep(Milliseconds(100));
  }

  /// Returns the VM that has decided on the first request.
  std::size_t Decider()
  {
    const auto log = mFleet.Log(0) + mFleet.Log(1);
    for (std::size_t vm = 0; vm < 2; ++vm) {
      const auto address = document::Format(mFleet.Vms()[vm].peerAddress);
      if (log.find(" by=" + address) != std::string::npos) {
        return vm;
      }
    }
    return mFleet.Vms().size();
  }

  void ExpectAnswers(std::size_t aVm, Duration aWithin)
  {
    const TimePoint end = Clock::now() + aWithin;
    for (auto& pending : mPending[aVm]) {
      const auto result = pending.Result();
      EXPECT_EQ(result.status, CallStatus::kDone);
      EXPECT_EQ(result.response.status, 200) << result.response.body;
    }
    EXPECT_LT(Clock::now(), end);
  }

  std::vector<PlatformFleet::Pending> mPending[2];
};

// Guards against waiting requests that are lost or refused because a change
// removes their route and their key, or moves the route, while they wait.
TEST_F(WaitingRequests, AreServedAsTheyWereReadWhileTheConfigurationChanges)
{
  StartWaiting("/deposits/");
  auto routes = PatientRoutes();
  routes[1].service = "elsewhere";
  mFleet.Publish(routes, { TeamConfig() });
  Sleep(Milliseconds(300));
  routes.resize(1);
  TeamConfig others;
  others.name = "others";
  others.keys = { "key-of-others" };
  mFleet.Publish(routes, { others });
  ExpectAnswers(0, Seconds(7));
  ExpectAnswers(1, Seconds(1));
  EXPECT_EQ(mFleet.Engines()[0]->Runs().size(), 2u * kWaiting);
}

// Guards against waiting requests that are lost with the VM that decides on
// them, while a change removes their route.
TEST_F(WaitingRequests, AreServedAfterTheVmThatDecidesEndsBesideAChange)
{
  StartWaiting("/deposits/");
  const auto decider = Decider();
  ASSERT_LT(decider, 2u);
  auto routes = PatientRoutes();
  routes.resize(1);
  mFleet.Publish(routes, { TeamConfig() });
  mFleet.Vms()[decider].process.Signal(SIGKILL);
  ExpectAnswers(1 - decider, Seconds(7));
  std::map<std::string, int> runs;
  for (const auto& run : mFleet.Engines()[0]->Runs()) {
    runs[run.requestId] += 1;
    EXPECT_EQ(runs[run.requestId], 1) << run.target;
  }
}

// Guards against waiting requests that get no answer in a planned stop of the
// VM that decides on them and has taken a half of them.
TEST_F(WaitingRequests, AreServedWhileTheVmThatDecidesStopsBesideAPause)
{
  StartWaiting("/deposits/");
  const auto decider = Decider();
  ASSERT_LT(decider, 2u);
  mFleet.Engines()[0]->FallSilent(Milliseconds(1500));
  auto routes = PatientRoutes();
  routes.resize(1);
  mFleet.Publish(routes, { TeamConfig() });
  mFleet.Vms()[decider].process.Signal(SIGTERM);
  ExpectAnswers(0, Seconds(8));
  ExpectAnswers(1, Seconds(1));
  EXPECT_TRUE(mFleet.Vms()[decider].process.Wait(Seconds(9)));
  EXPECT_EQ(mFleet.Engines()[0]->Runs().size(), 2u * kWaiting);
}

// Guards against requests that wait until their deadline for a service whose
// last server has left, while new requests for it are refused at once.
TEST_F(WaitingRequests, AreRefusedWhenTheLastServerLeaves)
{
  StartWaiting("/deposits/");
  mFleet.WriteEntry(*mFleet.Engines()[0], true);
  const TimePoint left = Clock::now();
  int refused = 0;
  for (auto& pending : mPending) {
    for (auto& each : pending) {
      const auto result = each.Result();
      EXPECT_EQ(result.status, CallStatus::kDone);
      refused += result.response.status == 503 ? 1 : 0;
    }
  }
  EXPECT_GE(refused, 2 * kWaiting - 2);
  // A VM learns of the entry within a second.
  EXPECT_LT(Clock::now() - left, Seconds(2));
}

} // namespace
} // namespace magnoliatide::tests
