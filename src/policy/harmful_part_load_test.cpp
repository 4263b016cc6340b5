// Simulated load with prompts that crash servers: the harmful part is found
// beside the sound parts of the same callers, which are served.
#include "testing/load_model.h"

#include <gtest/gtest.h>

#include <string>

namespace magnoliatide::policy {
namespace {

using testing::EngineGroup;
using testing::LoadModel;
using testing::Outcome;
using testing::Traffic;

/// Crashes after which the part must be known, and the requests with it that
/// may reach servers then.
constexpr int kCrashesToLearn = 5;
constexpr int kArrivalsAfterwards = 3;

constexpr Duration kFirstDeadly = Seconds(4);

Traffic
MakeTraffic(const char* aName,
            int aTier,
            double aPerSecond,
            std::uint64_t aFirstParts)
{
  Traffic traffic;
  traffic.kind = aName;
  traffic.team = "team";
  traffic.tier = aTier;
  traffic.perSecond = aPerSecond;
  traffic.firstParts = aFirstParts;
  return traffic;
}

/// Adds prompts with the deadly part, with the first parts and the team of the
/// quotes.
void
AddDeadly(LoadModel& aModel, double aPerSecond, std::uint64_t aFirstParts)
{
  auto traffic = MakeTraffic("deadly", 0, aPerSecond, aFirstParts);
  traffic.deadly = true;
  traffic.from = kFirstDeadly;
  aModel.Add(traffic);
}

class HarmfulPartLoad : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  static void ExpectSoundServed(LoadModel& aModel)
  {
    for (const char* kind : { "quote", "digest", "idea" }) {
      const auto& outcome = aModel.OutcomeOfKind(kind);
      EXPECT_EQ(outcome.rejectedAsHarmful, 0) << kind;
      EXPECT_GT(outcome.Share(outcome.inTime), 0.95) << kind;
    }
  }

  static void ExpectFound(LoadModel& aModel)
  {
    EXPECT_LE(aModel.PartCrashes(), kCrashesToLearn);
    EXPECT_LE(aModel.DeadlyArrivals(), kCrashesToLearn + kArrivalsAfterwards);
    EXPECT_GT(aModel.OutcomeOfKind("deadly").rejectedAsHarmful, 0);
  }
};

INSTANTIATE_TEST_SUITE_P(Seeds,
                         HarmfulPartLoad,
                         ::testing::Values(1, 2, 3, 4, 5));

// Guards against servers that crash one after the other because of one part.
TEST_P(HarmfulPartLoad, FewServersCrashAndSoundRequestsAreServed)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 12, 5 });
  model.Add(MakeTraffic("quote", 0, 18, 104));
  model.Add(MakeTraffic("digest", 1, 15, 4));
  model.Add(MakeTraffic("idea", 2, 31, 40));
  AddDeadly(model, 1, 104);
  model.Run(Seconds(30));
  ExpectFound(model);
  ExpectSoundServed(model);
}

// Guards against many crashes at once in a large fleet, where further requests
// with the part are sent before the first server has crashed.
TEST_P(HarmfulPartLoad, FewServersOfALargeFleetCrash)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 140, 4 });
  model.SetNetworkDelay(Milliseconds(5));
  model.Add(MakeTraffic("quote", 0, 268, 104));
  model.Add(MakeTraffic("digest", 1, 213, 4));
  model.Add(MakeTraffic("idea", 2, 329, 40));
  AddDeadly(model, 13, 104);
  model.Run(Seconds(15));
  ExpectFound(model);
  ExpectSoundServed(model);
}

// Guards against a sound first part that is refused because all requests with
// the deadly part have it.
TEST_P(HarmfulPartLoad, ASharedFirstPartIsNotBlamed)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 12, 5 });
  model.Add(MakeTraffic("quote", 0, 18, 1));
  model.Add(MakeTraffic("digest", 1, 15, 1));
  model.Add(MakeTraffic("idea", 2, 31, 1));
  AddDeadly(model, 2, 1);
  model.Run(Seconds(30));
  ExpectFound(model);
  for (const char* kind : { "quote", "digest", "idea" }) {
    EXPECT_EQ(model.OutcomeOfKind(kind).rejectedAsHarmful, 0) << kind;
  }
}

// Guards against sound requests that are refused because their servers crash
// for other reasons, one after the other.
TEST_P(HarmfulPartLoad, OrdinaryCrashesMakeNothingHarmful)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 12, 5 });
  model.Add(MakeTraffic("quote", 0, 18, 104));
  model.Add(MakeTraffic("digest", 1, 15, 4));
  model.Add(MakeTraffic("idea", 2, 31, 40));
  for (int i = 0; i < 36; ++i) {
    const auto server = "z-" + std::to_string(1 + i % 12);
    const Duration down = Milliseconds(3000 + 700 * i);
    model.SetServerUp(server, false, down);
    model.SetServerUp(server, true, down + Seconds(2));
  }
  model.Run(Seconds(35));
  for (const char* kind : { "quote", "digest", "idea" }) {
    EXPECT_EQ(model.OutcomeOfKind(kind).rejectedAsHarmful, 0) << kind;
  }
}

// Guards against a part that many requests have and that is refused because
// several servers with such requests crash at the same moment.
TEST_P(HarmfulPartLoad, CrashesOfManyServersAtOnceMakeNothingHarmful)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 40, 5 });
  model.Add(MakeTraffic("quote", 0, 60, 1));
  model.Add(MakeTraffic("digest", 1, 50, 2));
  model.Add(MakeTraffic("idea", 2, 100, 2));
  for (int round = 0; round < 6; ++round) {
    const Duration down = Seconds(3 + 4 * round);
    for (int i = 0; i < 12; ++i) {
      const auto server = "z-" + std::to_string(1 + (12 * round + i) % 40);
      model.SetServerUp(server, false, down);
      model.SetServerUp(server, true, down + Seconds(2));
    }
  }
  model.Run(Seconds(30));
  for (const char* kind : { "quote", "digest", "idea" }) {
    EXPECT_EQ(model.OutcomeOfKind(kind).rejectedAsHarmful, 0) << kind;
  }
}

} // namespace
} // namespace magnoliatide::policy
