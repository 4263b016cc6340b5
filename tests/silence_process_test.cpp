// Guards against answers that end before their time because a sound server sent
// nothing for a moment. Real VM processes run with test doubles of the store
// and the servers.
#include "platform_fleet.h"

#include <gtest/gtest.h>

#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;
using standins::BatchEngineOptions;
using standins::EngineFault;

/// Longer than the silence after which another server is looked for.
constexpr Duration kSilence = Milliseconds(1500);

/// Ends while another server, which is looked for after 900 ms of silence, is
/// given 150 ms for a sign of life.
constexpr Duration kSilenceUntilProbe = Milliseconds(970);

constexpr int kEventCount = 100;
constexpr Duration kEventInterval = Milliseconds(10);

class Silence : public ::testing::Test
{
protected:
  Silence()
    : mFleet(NameOfTest())
  {
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  void StartWith(int aEngines, Duration aFirstByteDelay = Milliseconds(20))
  {
    for (int i = 1; i <= aEngines; ++i) {
      BatchEngineOptions options;
      options.id = "i-" + std::to_string(i);
      options.events = kEventCount;
      options.eventInterval = kEventInterval;
      options.firstByteDelay = aFirstByteDelay;
      mFleet.AddEngine(options);
    }
    mFleet.PublishDefaultRoutes();
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
    return call;
  }

  void StartQuotes(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mPending.push_back(mFleet.StartCall(0, Quote(i)));
    }
    std::this_thread::sleep_for(Milliseconds(300));
  }

  /// Expects that each started call gets all events of its stream.
  void ExpectCompleteQuotes()
  {
    for (std::size_t i = 0; i < mPending.size(); ++i) {
      const auto result = mPending[i].Result();
      const auto path = Quote(static_cast<int>(i)).path;
      EXPECT_EQ(result.status, CallStatus::kDone) << path;
      EXPECT_EQ(result.response.status, 200) << path;
      const auto expected = standins::ExpectedEvents(path, 0, kEventCount);
      EXPECT_TRUE(result.response.body == expected)
        << path << ": " << result.response.body.size() << " bytes of "
        << expected.size();
    }
  }

  void FallSilentEverywhere(Duration aTime)
  {
    for (auto& engine : mFleet.Engines()) {
      engine->FallSilent(aTime);
    }
  }

  PlatformFleet mFleet;
  std::vector<PlatformFleet::Pending> mPending;
};

// Guards against a stream that is aborted when its server pauses and no other
// server can continue it.
TEST_F(Silence, AStreamContinuesAfterAPauseOfItsOnlyServer)
{
  StartWith(1);
  StartQuotes(3);
  At(0).FallSilent(kSilence);
  ExpectCompleteQuotes();
  for (const auto& run : At(0).Runs()) {
    EXPECT_FALSE(run.dropped) << run.target;
  }
}

// Guards against streams that are aborted, or moved to a server that is silent
// as well, when all servers pause at the same time.
TEST_F(Silence, StreamsContinueAfterAPauseOfAllServers)
{
  StartWith(3);
  StartQuotes(9);
  FallSilentEverywhere(kSilence);
  ExpectCompleteQuotes();
  for (auto& engine : mFleet.Engines()) {
    for (const auto& run : engine->Runs()) {
      EXPECT_FALSE(run.dropped) << run.target;
    }
  }
  EXPECT_EQ(mFleet.Call(0, Quote(10)).status, CallStatus::kDone);
}

// Guards against a stream that is sent to another server although its own one
// is about to continue: both pause, and the other one continues a moment
// earlier, while it is asked for a sign of life.
TEST_F(Silence, AStreamStaysIfItsServerContinuesJustAfterAnother)
{
  StartWith(2);
  StartQuotes(1);
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(1 - busy).FallSilent(kSilenceUntilProbe);
  At(busy).FallSilent(kSilenceUntilProbe + Milliseconds(5));
  ExpectCompleteQuotes();
  EXPECT_EQ(At(busy).Runs().size(), 1u);
  EXPECT_TRUE(At(1 - busy).Runs().empty());
}

// Guards against streams that are aborted when their server pauses while a new
// configuration moves their route to a service without servers.
TEST_F(Silence, StreamsContinueAfterAPauseBesideAConfigurationChange)
{
  StartWith(2);
  StartQuotes(6);
  FallSilentEverywhere(kSilence);
  RouteConfig moved;
  moved.service = "elsewhere";
  mFleet.Publish({ moved }, { TeamConfig() });
  std::this_thread::sleep_for(Milliseconds(700));
  RouteConfig removed;
  removed.prefix = "/other/";
  mFleet.Publish({ removed }, { TeamConfig() });
  ExpectCompleteQuotes();
}

// Guards against a stream that is aborted because the server that should
// continue it rejects the request.
TEST_F(Silence, AStreamContinuesIfTheOtherServerIsFull)
{
  StartWith(2);
  StartQuotes(1);
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(1 - busy).SetFault(EngineFault::kFull);
  At(busy).FallSilent(kSilence);
  ExpectCompleteQuotes();
}

// Guards against a stream that is taken from its server for one that is silent
// as well and rejects the request only after its own pause.
TEST_F(Silence, AStreamContinuesIfTheOtherServerIsSilentAndFull)
{
  StartWith(2);
  StartQuotes(1);
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(1 - busy).SetFault(EngineFault::kFull);
  At(1 - busy).FallSilent(kSilence + Milliseconds(300));
  At(busy).FallSilent(kSilence);
  ExpectCompleteQuotes();
}

// Guards against a stream that is aborted because the server that should
// continue it cannot be reached.
TEST_F(Silence, AStreamContinuesIfTheOtherServerIsGone)
{
  StartWith(2);
  StartQuotes(1);
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(busy).FallSilent(kSilence);
  At(1 - busy).Crash();
  ExpectCompleteQuotes();
}

// Guards against a request that fails because its server pauses before the
// first event.
TEST_F(Silence, ARequestIsAnsweredAfterAPauseBeforeItsFirstEvent)
{
  StartWith(1);
  At(0).FallSilent(kSilence);
  mPending.push_back(mFleet.StartCall(0, Quote(0)));
  ExpectCompleteQuotes();
}

// Guards against callers that wait in vain for a server that never sends again
// although another server could continue the stream.
TEST_F(Silence, AStreamMovesAwayFromAServerThatStaysSilent)
{
  StartWith(2);
  StartQuotes(4);
  const std::size_t silent = At(0).Runs().empty() ? 1 : 0;
  At(silent).FallSilent(Seconds(20));
  ExpectCompleteQuotes();
}

// Guards against a request that two servers work on at the same time, because
// the first one was not released when the second one continued the stream.
TEST_F(Silence, AServerIsReleasedWhenAnotherContinuesItsStream)
{
  StartWith(2);
  StartQuotes(1);
  const std::size_t silent = At(0).Runs().empty() ? 1 : 0;
  At(silent).FallSilent(kSilence);
  ExpectCompleteQuotes();
  std::this_thread::sleep_for(kSilence);
  const auto first = At(silent).Runs();
  const auto second = At(1 - silent).Runs();
  ASSERT_EQ(first.size(), 1u);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_TRUE(first[0].dropped);
  EXPECT_FALSE(second[0].dropped);
  EXPECT_FALSE(second[0].lastEventId.empty());
}

// Guards against a stream that is aborted because its server pauses and the one
// that continues the stream fails: the first one is sound.
TEST_F(Silence, AStreamReturnsToItsServerIfTheOtherOneFails)
{
  // The failure comes later than a rejection may.
  StartWith(2, Milliseconds(400));
  StartQuotes(1);
  std::this_thread::sleep_for(Milliseconds(300));
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(1 - busy).SetFault(EngineFault::kFailed);
  At(busy).FallSilent(kSilence);
  ExpectCompleteQuotes();
  EXPECT_EQ(At(1 - busy).Runs().size(), 1u);
}

// Guards against a stream that is ended before its deadline because the server
// that took it over pauses as well, and no further server may be tried.
TEST_F(Silence, AStreamWaitsForASuccessorThatPausesAsWell)
{
  StartWith(2, Milliseconds(400));
  StartQuotes(1);
  std::this_thread::sleep_for(Milliseconds(300));
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(busy).FallSilent(Seconds(20));
  const TimePoint end = Clock::now() + Seconds(2);
  while (At(1 - busy).Runs().empty() && Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  ASSERT_EQ(At(1 - busy).Runs().size(), 1u);
  // The takeover counts as accepted by then.
  std::this_thread::sleep_for(Milliseconds(250));
  At(1 - busy).FallSilent(kSilence);
  ExpectCompleteQuotes();
}

class BrokenSuccessor
  : public Silence
  , public ::testing::WithParamInterface<EngineFault>
{};

// Guards against a stream that is aborted because its server pauses and the one
// that continues the stream breaks it off: the first one is sound.
TEST_P(BrokenSuccessor, ReturnsTheStreamToItsServer)
{
  // The end comes later than a rejection may.
  StartWith(2, Milliseconds(400));
  StartQuotes(1);
  std::this_thread::sleep_for(Milliseconds(300));
  const std::size_t busy = At(0).Runs().empty() ? 1 : 0;
  At(1 - busy).SetFault(GetParam());
  At(busy).FallSilent(kSilence);
  ExpectCompleteQuotes();
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         BrokenSuccessor,
                         ::testing::Values(EngineFault::kLost,
                                           EngineFault::kCut,
                                           EngineFault::kGarbage,
                                           EngineFault::kUnsigned,
                                           EngineFault::kFalsePromise),
                         [](const auto& aInfo) {
                           return "Fault" +
                                  std::to_string(static_cast<int>(aInfo.param));
                         });

// Guards against a request that is sent to a server once more although that
// server, which was silent before, has itself answered it with an error.
TEST_F(Silence, AServerThatFailedARequestDoesNotGetItAgain)
{
  StartWith(2, Milliseconds(1000));
  At(0).SetFault(EngineFault::kFailed);
  At(1).SetFault(EngineFault::kFailed);
  const auto result = mFleet.Call(0, Quote(0));
  EXPECT_EQ(result.response.status, 500);
  EXPECT_EQ(At(0).Runs().size() + At(1).Runs().size(), 2u);
}

} // namespace
} // namespace magnoliatide::tests
