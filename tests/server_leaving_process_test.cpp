// Guards against new requests to a server that says in its answers that it
// leaves (Server-Leaving: 1), while the store still lists it as ready. Real VM
// processes run with test doubles of the store and the servers.
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

/// Time in which a VM must stop sending requests after it has passed on an
/// answer that announces the leaving: `drain-ms` of the smallest deployment.
constexpr Duration kDrainNotice = Seconds(2);

/// Time in which the notice reaches the other VMs.
constexpr Duration kSpreadTime = Seconds(1);

class ServerLeaving : public ::testing::Test
{
protected:
  ServerLeaving()
    : mFleet(NameOfTest(), { "kariakoo", "temeke", "mikocheni" })
  {
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  standins::BatchEngine& AddEngine(const std::string& aId)
  {
    BatchEngineOptions options;
    options.id = aId;
    options.slots = 8;
    return mFleet.AddEngine(options);
  }

  void Start()
  {
    mFleet.PublishDefaultRoutes();
    ASSERT_TRUE(mFleet.Start());
  }

  /// Sends requests to all VMs in turn. Returns how many got a whole answer.
  int Send(int aRequests)
  {
    int whole = 0;
    for (int i = 0; i < aRequests; ++i) {
      CallSpec call;
      call.path = "/quotes/" + std::to_string(++mLastNumber);
      const auto answer = mFleet.Call(i % mFleet.Vms().size(), call);
      whole +=
        answer.status == CallStatus::kDone && answer.response.status == 200 ? 1
                                                                            : 0;
    }
    return whole;
  }

  /// Sends requests until a server has got one that announces its leaving.
  void SendUntilAnnounced(const standins::BatchEngine& aEngine)
  {
    const auto before = aEngine.Arrivals();
    for (int i = 0; i < 100 && aEngine.Arrivals() == before; ++i) {
      Send(1);
    }
    ASSERT_GT(aEngine.Arrivals(), before);
  }

  PlatformFleet mFleet;
  int mLastNumber = 0;
};

TEST_F(ServerLeaving, AnAnswerThatSaysSoEndsNewRequestsFromAllVms)
{
  auto& leaving = AddEngine("i-1");
  AddEngine("i-2");
  Start();
  Send(12);
  leaving.AnnounceLeaving();
  SendUntilAnnounced(leaving);
  std::this_thread::sleep_for(kSpreadTime);
  const auto arrivals = leaving.Arrivals();
  EXPECT_EQ(Send(60), 60);
  EXPECT_EQ(leaving.Arrivals(), arrivals);
}

// The store's entry is written again, as ready, by heartbeats that were on
// their way.
TEST_F(ServerLeaving, ALaterEntryAsReadyDoesNotBringTheServerBack)
{
  auto& leaving = AddEngine("i-1");
  AddEngine("i-2");
  Start();
  leaving.AnnounceLeaving();
  SendUntilAnnounced(leaving);
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.WriteEntry(leaving);
  const auto arrivals = leaving.Arrivals();
  const auto end = Clock::now() + kDrainNotice;
  while (Clock::now() < end) {
    EXPECT_EQ(Send(3), 3);
    mFleet.WriteEntry(leaving);
  }
  EXPECT_EQ(leaving.Arrivals(), arrivals);
}

// Work that a leaving server runs goes on to its end.
TEST_F(ServerLeaving, RunningStreamsAreNotCut)
{
  BatchEngineOptions options;
  options.id = "i-1";
  options.slots = 8;
  options.events = 40;
  options.eventInterval = Milliseconds(40);
  auto& leaving = mFleet.AddEngine(options);
  Start();
  CallSpec call;
  call.path = "/quotes/long";
  auto running = mFleet.StartCall(0, call);
  std::this_thread::sleep_for(Milliseconds(300));
  leaving.AnnounceLeaving();
  options.id = "i-2";
  options.eventInterval = Milliseconds(5);
  options.events = 10;
  auto& other = mFleet.AddEngine(options);
  std::this_thread::sleep_for(Milliseconds(300));
  SendUntilAnnounced(leaving);
  Send(6);
  const auto answer = running.Result();
  EXPECT_EQ(answer.status, CallStatus::kDone);
  EXPECT_EQ(answer.response.body,
            standins::ExpectedEvents("/quotes/long", 0, 40));
  EXPECT_GT(other.Arrivals(), 0);
  EXPECT_TRUE(std::none_of(leaving.Runs().begin(),
                           leaving.Runs().end(),
                           [](const auto& aRun) { return aRun.dropped; }));
}

// Refusals and errors announce it as well as whole answers.
TEST_F(ServerLeaving, ErrorsAnnounceItToo)
{
  for (const auto fault : { EngineFault::kFull, EngineFault::kFailed }) {
    SCOPED_TRACE(static_cast<int>(fault));
    const auto id = "i-" + std::to_string(static_cast<int>(fault));
    auto& leaving = AddEngine(id);
    if (fault == EngineFault::kFull) {
      AddEngine("i-sound");
      Start();
    } else {
      std::this_thread::sleep_for(Milliseconds(500));
    }
    leaving.SetFault(fault);
    leaving.AnnounceLeaving();
    SendUntilAnnounced(leaving);
    std::this_thread::sleep_for(kSpreadTime);
    leaving.SetFault(EngineFault::kNone);
    const auto arrivals = leaving.Arrivals();
    EXPECT_EQ(Send(30), 30);
    EXPECT_EQ(leaving.Arrivals(), arrivals);
  }
}

// After a restart under the same id, the server is a new one.
TEST_F(ServerLeaving, ANewIncarnationIsUsed)
{
  auto& leaving = AddEngine("i-1");
  Start();
  leaving.AnnounceLeaving();
  SendUntilAnnounced(leaving);
  std::this_thread::sleep_for(kSpreadTime);
  const auto arrivals = leaving.Arrivals();
  EXPECT_EQ(Send(3), 0);
  EXPECT_EQ(leaving.Arrivals(), arrivals);
  leaving.Crash();
  leaving.Restart("i-1");
  mFleet.WriteEntry(leaving);
  std::this_thread::sleep_for(kSpreadTime);
  EXPECT_EQ(Send(12), 12);
}

// A VM that starts later learns of it from the others.
TEST_F(ServerLeaving, ARestartedVmLearnsOfIt)
{
  auto& leaving = AddEngine("i-1");
  AddEngine("i-2");
  Start();
  leaving.AnnounceLeaving();
  SendUntilAnnounced(leaving);
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Vms()[1].process.Signal(SIGKILL);
  ASSERT_TRUE(mFleet.Vms()[1].process.Wait(Seconds(5)));
  mFleet.StartVm(1);
  const auto end = Clock::now() + Seconds(10);
  while (!mFleet.IsReady(1) && Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(50));
  }
  std::this_thread::sleep_for(kSpreadTime);
  const auto arrivals = leaving.Arrivals();
  EXPECT_EQ(Send(30), 30);
  EXPECT_EQ(leaving.Arrivals(), arrivals);
}

} // namespace
} // namespace magnoliatide::tests
