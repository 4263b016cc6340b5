// Guards against requests to a server that has rejected one as full and named a
// time for which it wants no others (Retry-After). Real VM processes run with
// test doubles of the store and the servers.
#include "platform_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;
using standins::BatchEngineOptions;
using standins::EngineFault;

/// Time from a rejection until it binds the VM, and the requests that the VM
/// may send between then and the end of the named time.
constexpr Duration kReactionTime = Milliseconds(500);
constexpr int kMaxRequests = 2;

class ServerBackoffs : public ::testing::Test
{
protected:
  void Start(std::vector<std::string> aZones, int aEngines)
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    mFleet = std::make_unique<PlatformFleet>(
      std::string(info->test_suite_name()) + "." + info->name(),
      std::move(aZones));
    for (int i = 1; i <= aEngines; ++i) {
      BatchEngineOptions options;
      options.id = "i-" + std::to_string(i);
      options.slots = 8;
      mFleet->AddEngine(options);
    }
    mFleet->PublishDefaultRoutes();
    ASSERT_TRUE(mFleet->Start());
  }

  standins::BatchEngine& Engine(std::size_t aIndex)
  {
    return *mFleet->Engines()[aIndex];
  }

  void RejectAll(std::size_t aEngine, const std::string& aRetryAfter)
  {
    Engine(aEngine).NameBackoff(aRetryAfter);
    Engine(aEngine).SetFault(EngineFault::kFull);
  }

  http::CallResult Call(std::size_t aVm)
  {
    CallSpec call;
    call.path = "/quotes/" + std::to_string(++mLastNumber);
    return mFleet->Call(aVm, call);
  }

  static bool IsWhole(const http::CallResult& aResult)
  {
    return aResult.status == CallStatus::kDone &&
           aResult.response.status == 200;
  }

  /// Calls the given VMs in turn for a time. Returns the share of whole
  /// answers.
  double Send(const std::vector<std::size_t>& aVms, Duration aTime)
  {
    int sent = 0;
    int whole = 0;
    const auto end = Clock::now() + aTime;
    while (Clock::now() < end) {
      whole += IsWhole(Call(aVms[sent % aVms.size()])) ? 1 : 0;
      sent += 1;
    }
    return whole / static_cast<double>(sent);
  }

  /// Expects that a server that rejects all its requests, and names a time in
  /// each rejection, gets few requests in each such time.
  static void ExpectKept(const standins::BatchEngine& aEngine,
                         Duration aNamed,
                         int aVms)
  {
    const auto times = aEngine.ArrivalTimes();
    for (const auto rejected : times) {
      const auto few =
        std::count_if(times.begin(), times.end(), [&](TimePoint aTime) {
          return aTime > rejected + kReactionTime && aTime < rejected + aNamed;
        });
      EXPECT_LE(few, kMaxRequests * aVms);
    }
  }

  std::unique_ptr<PlatformFleet> mFleet;
  int mLastNumber = 0;
};

TEST_F(ServerBackoffs, AFullServerGetsNoRequestsForTheTimeThatItNames)
{
  Start({ "kariakoo" }, 2);
  EXPECT_EQ(Send({ 0 }, Milliseconds(500)), 1);
  RejectAll(0, "2.5");
  EXPECT_EQ(Send({ 0 }, Seconds(6)), 1);
  ExpectKept(Engine(0), Milliseconds(2500), 1);
  EXPECT_GT(Engine(0).Arrivals(), 1);
  EXPECT_NE(mFleet->Log(0).find("event=server-backoff"), std::string::npos);
}

// The VM that decides remembers it for each VM, and the VMs tell the next one.
TEST_F(ServerBackoffs, TheTimeHoldsWhenTheVmThatDecidesIsKilled)
{
  Start({ "kariakoo", "temeke", "mikocheni" }, 2);
  EXPECT_EQ(Send({ 0, 1, 2 }, Milliseconds(500)), 1);
  const auto before = Engine(0).ArrivalTimes().size();
  RejectAll(0, "6");
  Send({ 0, 1, 2 }, Seconds(1));
  const auto log = mFleet->Log(0);
  const auto at = log.rfind(" by=");
  ASSERT_NE(at, std::string::npos);
  std::vector<std::size_t> others;
  std::size_t decides = mFleet->Vms().size();
  for (std::size_t vm = 0; vm < mFleet->Vms().size(); ++vm) {
    const auto address = document::Format(mFleet->Vms()[vm].peerAddress);
    if (log.compare(at + 4, address.size(), address) == 0) {
      decides = vm;
    } else {
      others.push_back(vm);
    }
  }
  ASSERT_LT(decides, mFleet->Vms().size());
  mFleet->Vms()[decides].process.Signal(SIGKILL);
  EXPECT_EQ(Send(others, Seconds(4)), 1);
  const auto arrivals = Engine(0).ArrivalTimes().size() - before;
  // One rejection for each VM, and what each of them may send after it.
  EXPECT_LE(arrivals, 3U * (1 + kMaxRequests));
}

// Callers do not wait until their deadline, and are told when to come back.
TEST_F(ServerBackoffs, CallersAreToldTheTimeIfAllServersAreFull)
{
  Start({ "kariakoo" }, 2);
  EXPECT_EQ(Send({ 0 }, Milliseconds(300)), 1);
  RejectAll(0, "4");
  RejectAll(1, "3");
  Call(0);
  const auto asked = Clock::now();
  const auto refused = Call(0);
  EXPECT_EQ(refused.status, CallStatus::kDone);
  EXPECT_EQ(refused.response.status, 503);
  EXPECT_LT(Clock::now() - asked, Seconds(1));
  const auto seconds =
    std::stod(std::string(http::Find(refused.response.headers, "Retry-After")));
  EXPECT_GE(seconds, 2);
  EXPECT_LE(seconds, 5);
  for (std::size_t i = 0; i < 2; ++i) {
    Engine(i).SetFault(EngineFault::kNone);
  }
  std::this_thread::sleep_for(Milliseconds(3100));
  EXPECT_TRUE(IsWhole(Call(0)));
}

// A value that is no time must not take a server away.
TEST_F(ServerBackoffs, ValuesThatAreNoTimeAreIgnored)
{
  Start({ "kariakoo" }, 1);
  for (const char* value : { "",
                             "0",
                             "-3",
                             "nan",
                             "inf",
                             "soon",
                             "5 s",
                             "0x10",
                             "Wed, 21 Oct 2026 07:28:00 GMT" }) {
    SCOPED_TRACE(value);
    Engine(0).NameBackoff(value);
    Engine(0).SetFault(EngineFault::kFull, 1);
    Call(0);
    EXPECT_TRUE(IsWhole(Call(0)));
  }
}

// A huge time is kept for as long as the test runs, and breaks nothing.
TEST_F(ServerBackoffs, AHugeTimeHoldsForItsServerOnly)
{
  Start({ "kariakoo" }, 2);
  EXPECT_EQ(Send({ 0 }, Milliseconds(500)), 1);
  RejectAll(0, "1e300");
  EXPECT_EQ(Send({ 0 }, Seconds(3)), 1);
  ExpectKept(Engine(0), Seconds(3), 1);
}

// What a server named does not bind the VM to its next incarnation.
TEST_F(ServerBackoffs, ARestartedServerIsUsedAtOnce)
{
  Start({ "kariakoo" }, 1);
  EXPECT_EQ(Send({ 0 }, Milliseconds(300)), 1);
  RejectAll(0, "30");
  Call(0);
  EXPECT_FALSE(IsWhole(Call(0)));
  Engine(0).Crash();
  Engine(0).SetFault(EngineFault::kNone);
  Engine(0).Restart("i-1");
  mFleet->WriteEntry(Engine(0));
  std::this_thread::sleep_for(Seconds(1));
  EXPECT_TRUE(IsWhole(Call(0)));
}

} // namespace
} // namespace magnoliatide::tests
