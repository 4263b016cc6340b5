// Guards against sending a backend server more requests than the limit that it
// names in its answers. Real VM processes run with test doubles of the store
// and the servers.
#include "platform_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;
using standins::BatchEngineOptions;

constexpr int kEngines = 4;

/// Number of engines that name a limit in some tests.
constexpr std::size_t kLimited = 2;

/// Requests per second that a limited server names.
constexpr double kLimit = 2;

/// Time from the first answer with a limit until the limit binds.
constexpr Duration kReactionTime = Seconds(3);

/// The most requests that a limited server may get in kWindow.
constexpr Duration kWindow = Seconds(4);
constexpr double kMaxInWindow = 1.5 * 4 * kLimit + 5;

/// Time between two requests.
constexpr Duration kStep = Milliseconds(25);
constexpr Duration kSaturatingStep = Milliseconds(10);

class ServerLimits : public ::testing::Test
{
protected:
  ServerLimits()
    : mFleet(NameOfTest(), { "kariakoo", "temeke", "mikocheni" })
  {
    mOptions.slots = 6;
    mOptions.events = 6;
    mOptions.firstByteDelay = Milliseconds(20);
    mOptions.eventInterval = Milliseconds(10);
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  void Start()
  {
    for (int i = 1; i <= kEngines; ++i) {
      mOptions.id = "i-" + std::to_string(i);
      mOptions.zone = i % 2 == 0 ? "kariakoo" : "temeke";
      mFleet.AddEngine(mOptions);
    }
    mFleet.PublishDefaultRoutes();
    ASSERT_TRUE(mFleet.Start());
  }

  /// Makes requests so long that traffic with kSaturatingStep fills all slots.
  void MakeRequestsLong()
  {
    mOptions.slots = 3;
    mOptions.events = 12;
    mOptions.eventInterval = Milliseconds(15);
  }

  void NameLimit(const std::string& aLimit)
  {
    for (std::size_t i = 0; i < kLimited; ++i) {
      mFleet.Engines()[i]->NameRateLimit(aLimit);
    }
    mNamed = Clock::now();
  }

  /// Sends requests to the given VMs in turn, one in each step.
  void Send(const std::vector<std::size_t>& aVms,
            Duration aTime,
            Duration aStep = kStep)
  {
    const auto end = Clock::now() + aTime;
    while (Clock::now() < end) {
      CallSpec call;
      call.path = "/quotes/" + std::to_string(++mLastNumber);
      mPending.push_back(
        mFleet.StartCall(aVms[mLastNumber % aVms.size()], call));
      std::this_thread::sleep_for(aStep);
    }
  }

  /// Returns the most requests that a server got within kWindow, from the given
  /// time on.
  static std::size_t MostInWindow(const standins::BatchEngine& aEngine,
                                  TimePoint aFrom)
  {
    const auto times = aEngine.ArrivalTimes();
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      if (*first >= aFrom) {
        const auto last =
          std::lower_bound(first, times.end(), *first + kWindow);
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  void ExpectLimitKept()
  {
    for (std::size_t i = 0; i < kLimited; ++i) {
      const auto& engine = *mFleet.Engines()[i];
      EXPECT_LE(MostInWindow(engine, mNamed + kReactionTime), kMaxInWindow)
        << engine.Options().id;
    }
  }

  /// Returns the index of the VM that decided on the last request of the first
  /// VM.
  std::size_t DecidingVm()
  {
    const auto log = mFleet.Log(0);
    const auto at = log.rfind(" by=");
    for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
      const auto address = document::Format(mFleet.Vms()[vm].peerAddress);
      if (at != std::string::npos &&
          log.compare(at + 4, address.size(), address) == 0) {
        return vm;
      }
    }
    return mFleet.Vms().size();
  }

  /// Returns the fraction of the requests so far that got a whole answer.
  double WholeShare()
  {
    int whole = 0;
    for (auto& pending : mPending) {
      const auto result = pending.Result();
      whole +=
        result.status == CallStatus::kDone && result.response.status == 200 ? 1
                                                                            : 0;
    }
    const auto share = whole / static_cast<double>(mPending.size());
    mPending.clear();
    return share;
  }

  BatchEngineOptions mOptions; ///< Of the engines that are started.
  PlatformFleet mFleet;
  std::size_t mLastNumber = 0;
  std::vector<PlatformFleet::Pending> mPending;
  TimePoint mNamed{};
};

// Guards against a limit that is not read, or is kept by one VM only: the sum
// over all VMs counts. The other servers can take the rest.
TEST_F(ServerLimits, ALimitHoldsOverAllVmsAndOtherServersTakeTheRest)
{
  Start();
  NameLimit("2.0");
  Send({ 0, 1, 2 }, Seconds(9));
  ExpectLimitKept();
  EXPECT_EQ(WholeShare(), 1);
}

// Guards against a limit that is forgotten with the VM that decides, and
// against a new one that starts with a burst.
TEST_F(ServerLimits, ALimitSurvivesAStopOfTheVmThatDecides)
{
  Start();
  NameLimit("2.0");
  Send({ 0, 1, 2 }, Seconds(5));
  EXPECT_EQ(WholeShare(), 1);
  const auto decides = DecidingVm();
  ASSERT_LT(decides, mFleet.Vms().size());
  mFleet.Vms()[decides].process.Signal(SIGTERM);
  std::vector<std::size_t> others;
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    if (vm != decides) {
      others.push_back(vm);
    }
  }
  Send(others, Seconds(12));
  ExpectLimitKept();
  EXPECT_EQ(WholeShare(), 1);
}

// Guards against a limit that stays in force after the server names none.
TEST_F(ServerLimits, ALimitEndsWhenTheServerNamesNone)
{
  MakeRequestsLong();
  Start();
  NameLimit("2");
  Send({ 0, 1, 2 }, Seconds(4));
  NameLimit("");
  Send({ 0, 1, 2 }, Seconds(2));
  const auto from = Clock::now();
  Send({ 0, 1, 2 }, Seconds(5), kSaturatingStep);
  for (std::size_t i = 0; i < kLimited; ++i) {
    const auto& engine = *mFleet.Engines()[i];
    EXPECT_GT(MostInWindow(engine, from), kMaxInWindow) << engine.Options().id;
  }
}

// Guards against values that are no limit: they must not end the traffic to a
// server.
TEST_F(ServerLimits, ValuesThatAreNoLimitAreIgnored)
{
  MakeRequestsLong();
  Start();
  for (const char* value :
       { "-1", "nan", "inf", "1e300", "", " ", "2x", "0x10", "1e-400", "," }) {
    NameLimit(value);
    Send({ 0, 1, 2 }, Milliseconds(500));
  }
  EXPECT_EQ(WholeShare(), 1);
  const auto from = Clock::now();
  Send({ 0, 1, 2 }, Seconds(5), kSaturatingStep);
  for (std::size_t i = 0; i < kLimited; ++i) {
    const auto& engine = *mFleet.Engines()[i];
    EXPECT_GT(MostInWindow(engine, from), kMaxInWindow) << engine.Options().id;
  }
}

// Guards against requests that wait for a limited server and get no answer, or
// are refused although they run, because the servers pause, a change moves
// their route and the VM that decides stops meanwhile.
TEST_F(ServerLimits, RequestsThatWaitAreAnsweredBesideAPauseAndAChange)
{
  Start();
  for (auto& engine : mFleet.Engines()) {
    engine->NameRateLimit("2.0");
  }
  Send({ 0, 1, 2 }, Seconds(2));
  const auto decides = DecidingVm();
  ASSERT_LT(decides, mFleet.Vms().size());
  for (auto& engine : mFleet.Engines()) {
    engine->FallSilent(Milliseconds(1500));
  }
  Send({ 0, 1, 2 }, Milliseconds(300));
  RouteConfig moved;
  moved.service = "elsewhere";
  mFleet.Publish({ moved }, { TeamConfig() });
  mFleet.Vms()[decides].process.Signal(SIGTERM);
  std::vector<http::CallResult> results;
  for (auto& pending : mPending) {
    results.push_back(pending.Result());
  }
  std::set<std::string> ran;
  for (auto& engine : mFleet.Engines()) {
    for (const auto& run : engine->Runs()) {
      ran.insert(run.target);
    }
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    const auto path = "/quotes/" + std::to_string(i + 1);
    const int status = results[i].response.status;
    EXPECT_EQ(results[i].status, CallStatus::kDone) << path;
    EXPECT_EQ(status, ran.count(path) > 0 ? 200 : 503)
      << path << " " << results[i].response.body;
  }
  EXPECT_TRUE(mFleet.Vms()[decides].process.Wait(Seconds(9)));
}

} // namespace
} // namespace magnoliatide::tests
