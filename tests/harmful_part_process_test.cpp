// Guards against faults with requests whose prompts have a part that crashes
// servers. Real VM processes run with test doubles of the store and the
// servers.
#include "platform_fleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <optional>
#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;
using standins::BatchEngineOptions;

constexpr char kDeadlyPart[] = "deadbeef";

/// Crashes that the users accept before the part must be known.
constexpr int kCrashesToLearn = 5;

/// Requests with the part that may still reach servers afterwards.
constexpr int kRequestsAfterwards = 3;

constexpr int kEngines = 5;

/// How long a crashed server is down.
constexpr Duration kDownTime = Milliseconds(1200);

class HarmfulParts : public ::testing::Test
{
protected:
  explicit HarmfulParts(std::vector<std::string> aZones = { "kariakoo",
                                                            "temeke" })
    : mFleet(NameOfTest(), std::move(aZones))
  {
    mOptions.deadlyPart = kDeadlyPart;
    mOptions.firstByteDelay = Milliseconds(40);
    mOptions.firstEventDelay = Milliseconds(40);
    mOptions.events = 12;
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
    mDownSince.resize(kEngines);
    mCrashes.resize(kEngines, 0);
    mFleet.PublishDefaultRoutes();
    ASSERT_TRUE(mFleet.Start());
  }

  /// Returns a request whose first part other requests share.
  CallSpec Quote(bool aHarmful)
  {
    const int number = ++mLastNumber;
    const auto text = std::to_string(number);
    CallSpec call;
    call.path = "/quotes/" + text;
    call.body = "body " + text;
    call.usage = "700,40";
    std::string parts = "5a" + std::to_string(number % 3) + ":60,";
    parts += aHarmful ? std::string(kDeadlyPart) + ":500," : "";
    parts += "f" + text + ":100";
    call.headers.push_back({ "Prompt-Prefix", parts });
    return call;
  }

  int Crashes()
  {
    int crashes = 0;
    for (const auto& engine : mFleet.Engines()) {
      crashes += engine->PartCrashes();
    }
    return crashes;
  }

  /// Returns how many requests with the part have reached servers.
  int HarmfulRuns()
  {
    int runs = 0;
    for (const auto& engine : mFleet.Engines()) {
      for (const auto& run : engine->Runs()) {
        runs += run.promptParts.find(kDeadlyPart) != std::string::npos ? 1 : 0;
      }
    }
    return runs;
  }

  /// Starts crashed servers again, under a new id, after their down time.
  void ReviveEngines()
  {
    const auto now = Clock::now();
    for (std::size_t i = 0; i < mCrashes.size(); ++i) {
      auto& engine = *mFleet.Engines()[i];
      if (engine.PartCrashes() > mCrashes[i] && mDownSince[i] == TimePoint{}) {
        mDownSince[i] = now;
      }
      if (mDownSince[i] != TimePoint{} && now - mDownSince[i] >= kDownTime) {
        mDownSince[i] = TimePoint{};
        mCrashes[i] = engine.PartCrashes();
        engine.Restart(engine.Options().id);
        mFleet.WriteEntry(engine);
      }
    }
  }

  /// Sends harmful and sound requests to all VMs for a time.
  void SendBoth(Duration aTime)
  {
    constexpr Duration kStep = Milliseconds(60);
    constexpr int kStepsPerHarmful = 4;
    const auto end = Clock::now() + aTime;
    for (int i = 0; Clock::now() < end; ++i) {
      auto vm = static_cast<std::size_t>(i) % mFleet.Vms().size();
      vm = vm == mStopped ? (vm + 1) % mFleet.Vms().size() : vm;
      if (i % kStepsPerHarmful == 0) {
        mHarmful.push_back(mFleet.StartCall(vm, Quote(true)));
      }
      mSound.push_back(mFleet.StartCall(vm, Quote(false)));
      ReviveEngines();
      std::this_thread::sleep_for(kStep);
    }
  }

  /// Returns the fraction of the sound requests that got a whole answer, and
  /// forgets them.
  double SoundShare()
  {
    int whole = 0;
    for (auto& pending : mSound) {
      const auto result = pending.Result();
      whole +=
        result.status == CallStatus::kDone && result.response.status == 200 ? 1
                                                                            : 0;
    }
    const auto share = whole / static_cast<double>(mSound.size());
    mSound.clear();
    return share;
  }

  BatchEngineOptions mOptions; ///< Of the engines that are started.
  PlatformFleet mFleet;
  int mLastNumber = 0;
  std::optional<std::size_t> mStopped; ///< VM that gets no requests.
  std::vector<PlatformFleet::Pending> mHarmful;
  std::vector<PlatformFleet::Pending> mSound;
  std::vector<TimePoint> mDownSince; ///< By server; zero: up.
  std::vector<int> mCrashes;         ///< By server: those it came back from.
};

// Guards against a prompt part that crashes one server after the other, because
// only whole requests are counted and no two with that part are alike.
TEST_F(HarmfulParts, APartThatCrashesServersIsRefusedAndSoundRequestsAreNot)
{
  Start();
  SendBoth(Seconds(2));
  SoundShare();
  SendBoth(Seconds(5));
  EXPECT_LE(Crashes(), kCrashesToLearn);
  EXPECT_LE(HarmfulRuns(), kCrashesToLearn + kRequestsAfterwards);
  EXPECT_EQ(SoundShare(), 1);
}

// Guards against knowledge of a part that is lost with the VM that decides: the
// next one would let it crash servers again.
TEST_F(HarmfulParts, WhatIsKnownOfAPartSurvivesTheVmThatDecides)
{
  Start();
  SendBoth(Seconds(3));
  SoundShare();
  EXPECT_LE(Crashes(), kCrashesToLearn);
  const auto log = mFleet.Log(0);
  const auto by = log.rfind(" by=");
  ASSERT_NE(by, std::string::npos);
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    const auto address = document::Format(mFleet.Vms()[vm].peerAddress);
    if (log.compare(by + 4, address.size(), address) == 0) {
      mFleet.Vms()[vm].process.Signal(SIGKILL);
      mStopped = vm;
    }
  }
  ASSERT_TRUE(mStopped.has_value());
  const int before = HarmfulRuns();
  SendBoth(Seconds(4));
  EXPECT_LE(HarmfulRuns(), before + kRequestsAfterwards);
  EXPECT_EQ(SoundShare(), 1);
}

// Guards against requests that wait for the trial of a suspected part and get
// no answer, because the trial's server pauses, a change moves their route and
// the VM that decides stops meanwhile.
TEST_F(HarmfulParts, RequestsThatWaitForATrialAreAnsweredBesideAPauseAndAChange)
{
  Start();
  while (Crashes() == 0) {
    mHarmful.push_back(mFleet.StartCall(0, Quote(true)));
    std::this_thread::sleep_for(Milliseconds(200));
  }
  for (auto& engine : mFleet.Engines()) {
    engine->FallSilent(Milliseconds(1500));
  }
  for (std::size_t i = 0; i < 8; ++i) {
    mHarmful.push_back(mFleet.StartCall(i % 2, Quote(true)));
    std::this_thread::sleep_for(Milliseconds(20));
  }
  RouteConfig moved;
  moved.service = "elsewhere";
  mFleet.Publish({ moved }, { TeamConfig() });
  std::this_thread::sleep_for(Milliseconds(200));
  mFleet.Vms()[0].process.Signal(SIGTERM);
  for (auto& pending : mHarmful) {
    const auto result = pending.Result();
    EXPECT_EQ(result.status, CallStatus::kDone);
    const int status = result.response.status;
    EXPECT_TRUE(status == 502 || status == 503)
      << status << " " << result.response.body;
  }
  EXPECT_TRUE(mFleet.Vms()[0].process.Wait(Seconds(9)));
}

} // namespace
} // namespace magnoliatide::tests
