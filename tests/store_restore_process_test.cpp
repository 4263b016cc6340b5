// Guards against VMs that go back to an earlier state, or ignore new changes,
// when the store comes back from a copy that is some seconds old. Real VM
// processes run with test doubles of the store and the servers.
#include "platform_fleet.h"

#include <gtest/gtest.h>

#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;

/// From a change in the store until it is known everywhere here.
constexpr Duration kSpreadTime = Milliseconds(2500);

class StoreRestores : public ::testing::Test
{
protected:
  StoreRestores()
    : mFleet(NameOfTest(), { "kariakoo", "temeke" })
  {
    Add("i-1");
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  standins::BatchEngine& Add(const std::string& aId)
  {
    standins::BatchEngineOptions options;
    options.id = aId;
    options.eventInterval = Milliseconds(10);
    return mFleet.AddEngine(options);
  }

  /// Writes changes that the store loses, so that its revision goes back.
  void WriteLostChanges()
  {
    for (int i = 0; i < 20; ++i) {
      mFleet.Store().Put("other/" + std::to_string(i), "x");
    }
  }

  /// Returns how many calls are served, half of them by each VM.
  int Served(int aCalls)
  {
    int served = 0;
    for (int i = 0; i < aCalls; ++i) {
      CallSpec call;
      call.path = "/quotes/" + std::to_string(++mCalls);
      const auto result = mFleet.Call(static_cast<std::size_t>(i % 2), call);
      served +=
        result.status == CallStatus::kDone && result.response.status == 200 ? 1
                                                                            : 0;
    }
    return served;
  }

  PlatformFleet mFleet;
  int mCalls = 0;
};

// Guards against a configuration that reverts with the store, such as a key
// that was withdrawn, and against later ones that are ignored because their
// revisions are lower than known ones.
TEST_F(StoreRestores, TheConfigurationDoesNotGoBack)
{
  TeamConfig team;
  team.keys = { "key-of-planners", "old-key" };
  mFleet.Publish({ RouteConfig() }, { team });
  ASSERT_TRUE(mFleet.Start());
  mFleet.Store().SaveCopy();
  team.keys = { "key-of-planners" };
  mFleet.Publish({ RouteConfig() }, { team });
  WriteLostChanges();
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Store().RestoreCopy();
  std::this_thread::sleep_for(kSpreadTime);
  CallSpec withdrawn;
  withdrawn.key = "old-key";
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    EXPECT_EQ(mFleet.Call(vm, withdrawn).response.status, 401);
  }
  EXPECT_EQ(Served(4), 4);
  team.keys = { "key-of-planners", "new-key" };
  mFleet.Publish({ RouteConfig() }, { team });
  std::this_thread::sleep_for(kSpreadTime);
  CallSpec added;
  added.key = "new-key";
  for (std::size_t vm = 0; vm < mFleet.Vms().size(); ++vm) {
    EXPECT_EQ(mFleet.Call(vm, added).response.status, 200);
  }
  EXPECT_NE(mFleet.Metrics(0).find("store_era 2"), std::string::npos);
}

// Guards against requests to a server that has left, as the copy still has its
// entry, and against the loss of one that the copy does not have yet.
TEST_F(StoreRestores, ServersThatLeftStayAwayAndNewOnesStay)
{
  mFleet.PublishDefaultRoutes();
  auto& leaves = Add("i-2");
  ASSERT_TRUE(mFleet.Start());
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Store().SaveCopy();
  auto& arrives = Add("i-3");
  mFleet.WriteEntry(leaves, true);
  std::this_thread::sleep_for(Milliseconds(500));
  mFleet.Store().Remove("servers/i-2");
  WriteLostChanges();
  std::this_thread::sleep_for(kSpreadTime);
  const auto runs = leaves.Runs().size();
  mFleet.Store().RestoreCopy();
  // Live servers write their entries again.
  std::this_thread::sleep_for(Milliseconds(800));
  mFleet.WriteEntry(*mFleet.Engines()[0]);
  mFleet.WriteEntry(arrives);
  std::this_thread::sleep_for(kSpreadTime);
  const auto runsOfNew = arrives.Runs().size();
  EXPECT_EQ(Served(20), 20);
  EXPECT_EQ(leaves.Runs().size(), runs);
  EXPECT_GT(arrives.Runs().size(), runsOfNew);
}

// Guards against requests to an evacuated zone whose evacuation the copy does
// not have, and against an evacuation that returns with the copy.
TEST_F(StoreRestores, EvacuationsStayAndDoNotReturn)
{
  mFleet.PublishDefaultRoutes();
  standins::BatchEngineOptions options;
  options.id = "i-2";
  options.zone = "temeke";
  options.eventInterval = Milliseconds(10);
  auto& evacuated = mFleet.AddEngine(options);
  ASSERT_TRUE(mFleet.Start());
  mFleet.Store().SaveCopy();
  WriteLostChanges();
  mFleet.Store().Put("op/evacuate/temeke", "{}");
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Store().RestoreCopy();
  mFleet.WriteEntry(*mFleet.Engines()[0]);
  mFleet.WriteEntry(evacuated);
  std::this_thread::sleep_for(kSpreadTime);
  const auto runs = evacuated.Runs().size();
  EXPECT_EQ(Served(10), 10);
  EXPECT_EQ(evacuated.Runs().size(), runs);
  // The operator writes the request again. It is in the next copy, but taken
  // back before the store is restored.
  mFleet.Store().Put("op/evacuate/temeke", "{}");
  mFleet.Store().SaveCopy();
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Store().Remove("op/evacuate/temeke");
  std::this_thread::sleep_for(kSpreadTime);
  mFleet.Store().RestoreCopy();
  mFleet.WriteEntry(*mFleet.Engines()[0]);
  mFleet.WriteEntry(evacuated);
  std::this_thread::sleep_for(kSpreadTime);
  EXPECT_EQ(Served(20), 20);
  EXPECT_GT(evacuated.Runs().size(), runs);
}

} // namespace
} // namespace magnoliatide::tests
