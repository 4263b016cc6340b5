// Guards against requests to servers of a zone that operators have evacuated,
// and against a flood when the zone is taken back. Real VM processes run with
// test doubles of the store and the servers.
#include "platform_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;

constexpr char kEvacuation[] = "op/evacuate/temeke";

/// From the change in the store until it is known everywhere here.
constexpr Duration kSpreadTime = Milliseconds(1500);

class Evacuations : public ::testing::Test
{
protected:
  Evacuations()
    : mFleet(NameOfTest(), { "kariakoo", "temeke" })
  {
    for (const char* zone : { "kariakoo", "temeke" }) {
      standins::BatchEngineOptions options;
      options.id = std::string("i-") + zone;
      options.zone = zone;
      options.eventInterval = Milliseconds(20);
      mFleet.AddEngine(options);
    }
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  standins::BatchEngine& Stays() { return *mFleet.Engines()[0]; }
  standins::BatchEngine& Evacuated() { return *mFleet.Engines()[1]; }

  /// Calls each VM a number of times. Returns how many calls were served.
  int CallAll(int aCalls)
  {
    int served = 0;
    for (int i = 0; i < aCalls; ++i) {
      for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
        CallSpec call;
        call.path = "/quotes/" + std::to_string(++mCalls);
        const auto result = mFleet.Call(vm, call);
        served +=
          result.status == CallStatus::kDone && result.response.status == 200
            ? 1
            : 0;
      }
    }
    return served;
  }

  PlatformFleet mFleet;
  int mCalls = 0;
};

// Guards against requests to the evacuated zone by its own VMs and by others,
// and against callers of the zone that are not served.
TEST_F(Evacuations, AnEvacuatedZoneGetsNothingAndItsCallersAreServed)
{
  mFleet.PublishDefaultRoutes();
  ASSERT_TRUE(mFleet.Start());
  EXPECT_EQ(CallAll(5), 10);
  EXPECT_GT(Evacuated().Runs().size(), 0U);
  mFleet.Store().Put(kEvacuation, "{}");
  std::this_thread::sleep_for(kSpreadTime);
  const auto runs = Evacuated().Runs().size();
  EXPECT_EQ(CallAll(10), 20);
  EXPECT_EQ(Evacuated().Runs().size(), runs);
  EXPECT_NE(mFleet.Metrics(0).find("zone_evacuated{zone=\"temeke\"} 1"),
            std::string::npos);
  mFleet.Store().Remove(kEvacuation);
  std::this_thread::sleep_for(kSpreadTime);
  EXPECT_EQ(CallAll(10), 20);
  EXPECT_GT(Evacuated().Runs().size(), runs);
}

// Guards against work that is cut off in an evacuated zone.
TEST_F(Evacuations, WorkInAnEvacuatedZoneGoesOnToItsEnd)
{
  mFleet.PublishDefaultRoutes();
  ASSERT_TRUE(mFleet.Start());
  mFleet.Store().Put("op/evacuate/kariakoo", "{}");
  std::this_thread::sleep_for(kSpreadTime);
  CallSpec call;
  call.path = "/quotes/1";
  auto pending = mFleet.StartCall(0, call);
  std::this_thread::sleep_for(Milliseconds(60));
  mFleet.Store().Put(kEvacuation, "{}");
  const auto result = pending.Result();
  EXPECT_EQ(result.status, CallStatus::kDone);
  EXPECT_EQ(
    result.response.body,
    standins::ExpectedEvents("/quotes/1", 0, Evacuated().Options().events));
}

// Guards against calls that wait or fail without a promise when all zones are
// evacuated, and against a VM that starts meanwhile and sends requests there.
TEST_F(Evacuations, WithoutAZoneCallsAreRefusedAlsoByAVmThatStarts)
{
  mFleet.PublishDefaultRoutes();
  mFleet.Store().Put("op/evacuate/kariakoo", "{}");
  mFleet.Store().Put(kEvacuation, "{}");
  ASSERT_TRUE(mFleet.Start());
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    const auto result = mFleet.Call(vm, CallSpec());
    EXPECT_EQ(result.response.status, 503);
    EXPECT_FALSE(http::Find(result.response.headers, "Retry-After").empty());
  }
  EXPECT_TRUE(Stays().Runs().empty());
  EXPECT_TRUE(Evacuated().Runs().empty());
}

// Guards against a zone that is taken back because the store is away: the
// removal of the request is not known then.
TEST_F(Evacuations, AnOutageOfTheStoreEndsNoEvacuation)
{
  mFleet.PublishDefaultRoutes();
  ASSERT_TRUE(mFleet.Start());
  mFleet.Store().Put(kEvacuation, "{}");
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Store().SetFault(standins::StoreFault::kUnavailable);
  // A watch that waits would still return the removal.
  mFleet.Store().CutWatches();
  std::this_thread::sleep_for(Milliseconds(500));
  mFleet.Store().Remove(kEvacuation);
  std::this_thread::sleep_for(Seconds(3));
  const auto runs = Evacuated().Runs().size();
  EXPECT_EQ(CallAll(5), 10);
  EXPECT_EQ(Evacuated().Runs().size(), runs);
  mFleet.Store().SetFault(standins::StoreFault::kNone);
  std::this_thread::sleep_for(Seconds(3));
  EXPECT_EQ(CallAll(10), 20);
  EXPECT_GT(Evacuated().Runs().size(), runs);
}

} // namespace
} // namespace magnoliatide::tests
