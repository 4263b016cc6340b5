// Guards against faults of takeovers: a stream or another request that is lost
// because a server is silent for a moment. Real VM processes run with test
// doubles of the store and the servers.
#include "platform_fleet.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;
using standins::BatchEngineOptions;
using standins::EngineFault;

class Takeovers : public ::testing::Test
{
protected:
  Takeovers()
    : mFleet(NameOfTest())
  {
    mOptions.events = 300;
    mOptions.eventInterval = Milliseconds(10);
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  void StartWith(int aEngines, int aAttempts)
  {
    for (int i = 1; i <= aEngines; ++i) {
      mOptions.id = "i-" + std::to_string(i);
      mFleet.AddEngine(mOptions);
    }
    RouteConfig quotes;
    quotes.attempts = aAttempts;
    quotes.timeoutMillis = 9000;
    RouteConfig deposits;
    deposits.name = "deposits";
    deposits.prefix = "/deposits/";
    deposits.kind = "non_idempotent";
    deposits.attempts = 1;
    RouteConfig stock = deposits;
    stock.name = "stock";
    stock.prefix = "/stock/";
    stock.kind = "idempotent";
    mFleet.Publish({ quotes, deposits, stock }, { TeamConfig() });
    ASSERT_TRUE(mFleet.Start());
  }

  standins::BatchEngine& At(std::size_t aIndex)
  {
    return *mFleet.Engines()[aIndex];
  }

  static CallSpec Quote(int aNumber)
  {
    CallSpec call;
    call.path = "/quotes/" + std::to_string(aNumber);
    call.deadlineMillis = 9000;
    return call;
  }

  void StartQuotes(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mPending.push_back(
        mFleet.StartCall(0, Quote(static_cast<int>(mPending.size()))));
    }
    Sleep(300);
  }

  static void Sleep(int aMillis)
  {
    std::this_thread::sleep_for(Milliseconds(aMillis));
  }

  void ExpectCompleteQuotes()
  {
    for (std::size_t i = 0; i < mPending.size(); ++i) {
      const auto result = mPending[i].Result();
      const auto path = Quote(static_cast<int>(i)).path;
      EXPECT_EQ(result.status, CallStatus::kDone) << path;
      EXPECT_EQ(result.response.status, 200) << path;
      const auto expected = standins::ExpectedEvents(path, 0, mOptions.events);
      EXPECT_TRUE(result.response.body == expected)
        << path << ": " << result.response.body.size() << " bytes of "
        << expected.size();
    }
  }

  void ExpectNoRunDropped()
  {
    for (auto& engine : mFleet.Engines()) {
      for (const auto& run : engine->Runs()) {
        EXPECT_FALSE(run.dropped) << engine->Options().id << " " << run.target;
      }
    }
  }

  /// Returns the index of an engine with a run.
  std::size_t Busy()
  {
    std::size_t index = 0;
    while (index + 1 < mFleet.Engines().size() && At(index).Runs().empty()) {
      index += 1;
    }
    return index;
  }

  BatchEngineOptions mOptions; ///< Of the engines that are started.
  PlatformFleet mFleet;
  std::vector<PlatformFleet::Pending> mPending;
};

// Guards against a stream that is aborted when its server crashes, because the
// only other server paused for a moment and has continued since.
TEST_F(Takeovers, AStreamMovesToAServerThatHasContinuedAfterAPause)
{
  StartWith(2, 2);
  StartQuotes(2);
  ASSERT_EQ(At(0).Runs().size(), 1u);
  ASSERT_EQ(At(1).Runs().size(), 1u);
  At(1).FallSilent(Milliseconds(850));
  Sleep(1050);
  At(0).Crash();
  ExpectCompleteQuotes();
}

// Guards against streams that are aborted when a server crashes, because the
// only other server counts as down since all servers paused.
TEST_F(Takeovers, StreamsMoveToAServerThatManyStreamsFoundSilent)
{
  StartWith(2, 3);
  StartQuotes(4);
  ASSERT_EQ(At(0).Runs().size(), 2u);
  for (auto& engine : mFleet.Engines()) {
    engine->FallSilent(Seconds(1));
  }
  Sleep(2000);
  At(0).Crash();
  ExpectCompleteQuotes();
}

// Guards against a stream that is taken from a server that pauses and given to
// one that is silent for longer and has accepted nothing.
TEST_F(Takeovers, AStreamStaysIfTheOtherServerGivesNoSignOfLife)
{
  StartWith(2, 2);
  StartQuotes(1);
  const auto busy = Busy();
  At(1 - busy).FallSilent(Seconds(20));
  At(busy).FallSilent(Milliseconds(1300));
  ExpectCompleteQuotes();
}

// Guards against a stream that is aborted when its server crashes, because an
// earlier takeover by the only other server was abandoned.
TEST_F(Takeovers, AStreamMovesToAServerOfAnAbandonedTakeover)
{
  StartWith(2, 3);
  StartQuotes(1);
  const auto busy = Busy();
  At(1 - busy).FallSilent(Milliseconds(1100));
  At(busy).FallSilent(Milliseconds(1000));
  Sleep(1500);
  At(busy).Crash();
  ExpectCompleteQuotes();
}

// Guards against a call that is lost because a takeover closes a connection
// that its sender has returned to the pool.
TEST_F(Takeovers, ATakeoverLeavesConnectionsOfOtherRequestsOpen)
{
  // The stream and the takeover fill the slots of one server, so that the call
  // goes to the other one.
  mOptions.slots = 2;
  mOptions.firstByteDelay = Milliseconds(180);
  StartWith(2, 2);
  mPending.push_back(mFleet.StartCall(0, Quote(0)));
  Sleep(60);
  const auto busy = Busy();
  auto& rejecting = At(1 - busy);
  rejecting.SetFault(EngineFault::kFull, 1);
  rejecting.FallSilent(Milliseconds(950));
  mPending.push_back(mFleet.StartCall(0, Quote(1)));
  Sleep(990);
  CallSpec deposit;
  deposit.path = "/deposits/1";
  deposit.deadlineMillis = 5000;
  const auto result = mFleet.Call(0, deposit);
  EXPECT_EQ(result.status, CallStatus::kDone);
  EXPECT_EQ(result.response.status, 200) << result.response.body;
  ExpectCompleteQuotes();
  for (const auto& run : rejecting.Runs()) {
    EXPECT_FALSE(run.dropped) << run.target;
  }
}

// Guards against a run that is ended because its VM was delayed, so that the
// other server's rejection and the end of the overlap are handled together.
TEST_F(Takeovers, ARejectionOutweighsTheEndOfTheOverlap)
{
  mOptions.rejectionBody = "full";
  StartWith(2, 2);
  StartQuotes(1);
  const auto busy = Busy();
  auto& rejecting = At(1 - busy);
  rejecting.SetFault(EngineFault::kFull);
  rejecting.FallSilent(Milliseconds(1060));
  At(busy).FallSilent(Milliseconds(1700));
  Sleep(1000);
  auto& vm = mFleet.Vms()[0].process;
  vm.Signal(SIGSTOP);
  Sleep(300);
  vm.Signal(SIGCONT);
  ExpectCompleteQuotes();
  ExpectNoRunDropped();
}

// Guards against searches that use up the retry budget although nothing is
// sent, so that a stream whose server crashes is aborted.
TEST_F(Takeovers, SearchesWithoutASendLeaveTheRetryBudget)
{
  StartWith(6, 2);
  StartQuotes(6);
  for (auto& engine : mFleet.Engines()) {
    ASSERT_EQ(engine->Runs().size(), 1u);
  }
  for (auto& engine : mFleet.Engines()) {
    engine->FallSilent(Milliseconds(1600));
  }
  Sleep(2200);
  At(0).Crash();
  ExpectCompleteQuotes();
}

// Guards against a stream that is aborted when its server crashes, because an
// abandoned takeover has used up its attempts. Its server has ended and need
// not count as one.
TEST_F(Takeovers, AnAbandonedTakeoverLeavesAnAttemptAfterACrash)
{
  // The head comes after the silent server has continued.
  mOptions.firstByteDelay = Milliseconds(250);
  StartWith(2, 2);
  StartQuotes(1);
  Sleep(100);
  const auto busy = Busy();
  // The other server answers the last check for a sign of life.
  At(1 - busy).FallSilent(Milliseconds(1550));
  At(busy).FallSilent(Milliseconds(1720));
  Sleep(2200);
  EXPECT_EQ(At(1 - busy).Runs().size(), 1u);
  At(busy).Crash();
  ExpectCompleteQuotes();
}

// Guards against streams that are aborted when their server crashes, because
// the time that they may wait for a slot is counted from their arrival.
TEST_F(Takeovers, AnOldStreamMayWaitForASlot)
{
  mOptions.slots = 2;
  mOptions.queue = 0;
  mOptions.events = 450;
  StartWith(2, 2);
  StartQuotes(4);
  Sleep(3700);
  At(0).Crash();
  ExpectCompleteQuotes();
}

// Guards against a run that is ended because its first event takes longer than
// a silence, although the server has sent the head of its answer.
TEST_F(Takeovers, AStreamStaysDuringALongPrefill)
{
  mOptions.firstByteDelay = Milliseconds(500);
  mOptions.firstEventDelay = Milliseconds(800);
  mOptions.events = 50;
  StartWith(2, 2);
  StartQuotes(1);
  ExpectCompleteQuotes();
  ExpectNoRunDropped();
}

// Guards against streams that move to a server that is silent as well, because
// their last events arrived earlier than those of its streams.
TEST_F(Takeovers, StreamsWithSlowEventsStayDuringAPauseOfAllServers)
{
  mOptions.events = 12;
  mOptions.eventInterval = Milliseconds(280);
  StartWith(3, 2);
  for (int i = 0; i < 6; ++i) {
    mPending.push_back(mFleet.StartCall(0, Quote(i)));
    Sleep(70);
  }
  Sleep(300);
  for (auto& engine : mFleet.Engines()) {
    engine->FallSilent(Milliseconds(1300));
  }
  ExpectCompleteQuotes();
  ExpectNoRunDropped();
}

// Guards against a stream that is given to a server that is suspected to be
// down, although a good one is free.
TEST_F(Takeovers, AStreamDoesNotMoveToASuspectedServer)
{
  mOptions.events = 400;
  StartWith(3, 3);
  StartQuotes(3);
  for (auto& engine : mFleet.Engines()) {
    ASSERT_EQ(engine->Runs().size(), 1u);
  }
  At(1).FallSilent(Seconds(20));
  Sleep(2200);
  At(0).FallSilent(Milliseconds(1500));
  ExpectCompleteQuotes();
  EXPECT_EQ(mFleet.Log(0).find(", probe"), std::string::npos);
}

// Guards against a stream that waits for its deadline because the server that
// took it over sends nothing, although a third one is free.
TEST_F(Takeovers, AStreamMovesOnFromASilentSuccessor)
{
  StartWith(3, 3);
  StartQuotes(1);
  ASSERT_EQ(Busy(), 0u);
  At(1).FallSilent(Seconds(20));
  At(0).FallSilent(Seconds(20));
  ExpectCompleteQuotes();
}

// Guards against a stream that stays at a server that never sends again,
// because the only other server was full for a moment.
TEST_F(Takeovers, ASearchTriesAServerAgainThatWasFull)
{
  StartWith(2, 2);
  StartQuotes(1);
  const auto busy = Busy();
  At(1 - busy).SetFault(EngineFault::kFull, 1);
  At(busy).FallSilent(Seconds(20));
  ExpectCompleteQuotes();
}

// Guards against requests that a change of the configuration ends. No server
// pauses, so that a failure has another cause than a silence.
TEST_F(Takeovers, ConfigurationChangesAloneEndNoRequest)
{
  // Enough that no call waits for a slot until its deadline.
  mOptions.slots = 20;
  StartWith(3, 2);
  StartQuotes(6);
  std::vector<PlatformFleet::Pending> deposits;
  for (int i = 0; i < 30; ++i) {
    CallSpec deposit;
    deposit.path = "/deposits/" + std::to_string(i);
    deposits.push_back(mFleet.StartCall(0, deposit));
    RouteConfig moved;
    moved.service = i % 3 == 0 ? "elsewhere" : "language";
    moved.timeoutMillis = 9000 + i;
    RouteConfig plain;
    plain.name = "deposits";
    plain.prefix = "/deposits/";
    plain.kind = "non_idempotent";
    plain.attempts = 1;
    std::vector<RouteConfig> routes = { plain };
    if (i % 2 == 0) {
      routes.push_back(moved);
    }
    TeamConfig team;
    team.keys.push_back("key-" + std::to_string(i));
    mFleet.Publish(routes, { team });
    Sleep(80);
  }
  for (auto& deposit : deposits) {
    const auto result = deposit.Result();
    EXPECT_EQ(result.status, CallStatus::kDone);
    const auto status = result.response.status;
    EXPECT_TRUE(status == 200 || status == 503) << status;
  }
  ExpectCompleteQuotes();
}

// Guards against a caller whose disconnection goes unnoticed, because the
// header timeout of its request expired while the last bytes arrived.
TEST_F(Takeovers, ADisconnectionIsNoticedAfterALateRequest)
{
  mOptions.firstByteDelay = Seconds(4);
  StartWith(1, 2);
  auto& vm = mFleet.Vms()[0];
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket caller(loop);
  caller.connect({ boost::asio::ip::make_address(vm.callerAddress.host),
                   vm.callerAddress.port });
  const std::string head = "POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
                           "Attempt-Id: 0123456789abcdef\r\n"
                           "Deadline-Ms: 5000\r\n"
                           "Authorization: Token key-of-planners\r\n"
                           "Content-Length: 10\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(head + "12345"));
  Sleep(1900);
  vm.process.Signal(SIGSTOP);
  Sleep(20);
  boost::asio::write(caller, boost::asio::buffer(std::string("67890")));
  Sleep(1000);
  vm.process.Signal(SIGCONT);
  Sleep(300);
  ASSERT_EQ(At(0).Runs().size(), 1u);
  caller.close();
  Sleep(500);
  EXPECT_NE(mFleet.Log(0).find("result=cancelled"), std::string::npos);
}

} // namespace
} // namespace magnoliatide::tests
