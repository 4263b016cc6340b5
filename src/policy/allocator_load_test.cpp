// Simulated load patterns: which requests are served in time, queued or
// rejected by the allocator.
#include "testing/load_model.h"

#include <gtest/gtest.h>

namespace magnoliatide::policy {
namespace {

using testing::EngineGroup;
using testing::LoadModel;
using testing::Traffic;

// A request of the default size occupies one of these slots for about 0.42 s.
constexpr int kEngines = 12;
constexpr int kSlots = 5;

Traffic
MakeTraffic(const char* aName, int aTier, double aPerSecond)
{
  Traffic traffic;
  traffic.kind = aName;
  traffic.team = std::string("team-of-") + aName;
  traffic.tier = aTier;
  traffic.perSecond = aPerSecond;
  return traffic;
}

LoadModel
MakeModel(std::uint64_t aSeed)
{
  LoadModel model(aSeed);
  model.Add(EngineGroup{ kEngines, kSlots });
  return model;
}

class LoadTest : public ::testing::TestWithParam<std::uint64_t>
{};

INSTANTIATE_TEST_SUITE_P(Seeds, LoadTest, ::testing::Values(1, 2, 3));

// Load at half of the capacity.
TEST_P(LoadTest, HalfLoadIsServedInTime)
{
  auto model = MakeModel(GetParam());
  model.Add(MakeTraffic("quote", 0, 30));
  model.Add(MakeTraffic("idea", 2, 40));
  model.Run(Seconds(30));
  for (const char* kind : { "quote", "idea" }) {
    const auto& outcome = model.OutcomeOfKind(kind);
    EXPECT_GT(outcome.Share(outcome.inTime), 0.97) << kind;
    EXPECT_EQ(outcome.rejected, 0) << kind;
  }
  EXPECT_EQ(model.RejectedWithFreeSlots(), 0);
}

// A burst of requests of the least urgent tier.
TEST_P(LoadTest, LowTierBurstDoesNotDelayHighTier)
{
  auto model = MakeModel(GetParam());
  model.Add(MakeTraffic("quote", 0, 30));
  auto burst = MakeTraffic("idea", 2, 300);
  burst.from = Seconds(5);
  burst.until = Seconds(12);
  model.Add(burst);
  model.Run(Seconds(25));
  const auto& quotes = model.OutcomeOfKind("quote");
  EXPECT_GT(quotes.Share(quotes.inTime), 0.95);
  EXPECT_EQ(quotes.rejected, 0);
  // The burst uses the remaining capacity.
  const auto& ideas = model.OutcomeOfKind("idea");
  EXPECT_GT(ideas.inTime + ideas.late, 500);
}

// A burst of requests of the most urgent tier that exceeds the capacity.
TEST_P(LoadTest, HighTierBurstUsesFullCapacity)
{
  auto model = MakeModel(GetParam());
  auto quotes = MakeTraffic("quote", 0, 200);
  quotes.from = Seconds(5);
  quotes.until = Seconds(12);
  model.Add(quotes);
  model.Add(MakeTraffic("idea", 2, 40));
  model.Run(Seconds(25));
  const auto& outcome = model.OutcomeOfKind("quote");
  // 60 slots serve about 140 requests per second.
  EXPECT_GT(outcome.inTime + outcome.late, 850);
}

// Bursts in all tiers at once. Guards against shedding out of order: rejecting
// a request of a more urgent tier while one of a less urgent tier is served in
// time.
TEST_P(LoadTest, OverloadIsShedInTierOrder)
{
  auto model = MakeModel(GetParam());
  for (const auto& [name, tier] : { std::pair("quote", 0),
                                    std::pair("digest", 1),
                                    std::pair("idea", 2) }) {
    auto traffic = MakeTraffic(name, tier, 100);
    traffic.from = Seconds(3);
    traffic.until = Seconds(12);
    model.Add(traffic);
  }
  model.Run(Seconds(25));
  const auto share = [&](const char* aKind) {
    const auto& outcome = model.OutcomeOfKind(aKind);
    return outcome.Share(outcome.inTime);
  };
  EXPECT_GT(share("quote"), 0.95);
  EXPECT_GT(share("quote") + 0.05, share("digest"));
  EXPECT_GT(share("digest") + 0.05, share("idea"));
}

// One team floods its tier.
TEST_P(LoadTest, FloodOfOneTeamDoesNotStarveOthers)
{
  auto model = MakeModel(GetParam());
  auto flood = MakeTraffic("idea", 2, 300);
  flood.team = "large";
  model.Add(flood);
  auto small = MakeTraffic("idea", 2, 10);
  small.team = "small";
  model.Add(small);
  model.Run(Seconds(20));
  const auto& outcome = model.OutcomeOfTeam("small");
  EXPECT_GT(outcome.Share(outcome.inTime), 0.9);
  EXPECT_EQ(outcome.rejected, 0);
}

// Callers that ignore the retry time.
TEST_P(LoadTest, EarlyRetriesDoNotDelayHighTier)
{
  auto model = MakeModel(GetParam());
  model.Add(MakeTraffic("quote", 0, 40));
  auto flood = MakeTraffic("idea", 2, 150);
  flood.ignoresRetryAfter = true;
  model.Add(flood);
  model.Run(Seconds(20));
  const auto& quotes = model.OutcomeOfKind("quote");
  EXPECT_GT(quotes.Share(quotes.inTime), 0.95);
}

// Guards against late rejections: requests that were queued although others
// kept overtaking them waited for their whole target and were then rejected.
TEST_P(LoadTest, OverloadIsRefusedEarly)
{
  auto model = MakeModel(GetParam());
  auto large = MakeTraffic("idea", 2, 260);
  large.team = "large";
  model.Add(large);
  for (int i = 0; i < 12; ++i) {
    auto small = MakeTraffic("idea", 2, 6);
    small.team = "small-" + std::to_string(i);
    model.Add(small);
  }
  model.Run(Seconds(20));
  const auto& outcome = model.OutcomeOfTeam("large");
  const int rejections = outcome.rejectedOnce + outcome.rejectedAgain;
  ASSERT_GT(rejections, 500);
  EXPECT_LT(outcome.waitedSeconds / rejections, 0.1);
}

// Half of the engines are four times slower. They must not get requests that
// only a fast engine answers in time.
TEST_P(LoadTest, SlowEnginesGetOnlyTimelyRequests)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 6, kSlots, "z", 1 });
  model.Add(EngineGroup{ 6, kSlots, "z", 4 });
  model.Add(MakeTraffic("quote", 0, 40));
  model.Run(Seconds(30));
  const auto& outcome = model.OutcomeOfKind("quote");
  EXPECT_GT(outcome.Share(outcome.inTime), 0.93);
  EXPECT_EQ(outcome.rejected, 0);
}

// Long prompts mixed with short ones of a more urgent tier.
TEST_P(LoadTest, LongPromptsDoNotStarve)
{
  auto model = MakeModel(GetParam());
  auto longPrompts = MakeTraffic("letter", 1, 4);
  longPrompts.promptTokens = 15000;
  longPrompts.target = Milliseconds(800);
  model.Add(longPrompts);
  model.Add(MakeTraffic("quote", 0, 80));
  model.Run(Seconds(30));
  const auto& letters = model.OutcomeOfKind("letter");
  EXPECT_GT(letters.Share(letters.inTime + letters.late), 0.95);
}

// Short calls with long delays in the network and the VMs. A slot is free while
// its request or response is in transit; when such slots counted as occupied, a
// third of the calls was rejected while the servers were half idle.
TEST_P(LoadTest, NetworkDelayDoesNotWasteCapacity)
{
  LoadModel model(GetParam());
  model.Add(EngineGroup{ 3, 6 });
  model.SetNetworkDelay(Milliseconds(15));
  auto calls = MakeTraffic("order", 1, 420); // The capacity is 600.
  calls.plainTime = Milliseconds(30);
  calls.target = Milliseconds(250);
  calls.deadline = Seconds(1);
  model.Add(calls);
  model.Run(Seconds(20));
  const auto& outcome = model.OutcomeOfKind("order");
  EXPECT_GT(outcome.Share(outcome.inTime), 0.95);
  EXPECT_LT(outcome.Share(outcome.rejected), 0.01);
}

// A quarter of the engines crash under load and restart.
TEST_P(LoadTest, CrashedEnginesDoNotCauseRefusals)
{
  auto model = MakeModel(GetParam());
  model.Add(MakeTraffic("quote", 0, 60));
  for (const char* server : { "z-1", "z-2", "z-3" }) {
    model.SetServerUp(server, false, Seconds(10));
    model.SetServerUp(server, true, Seconds(14));
  }
  model.Run(Seconds(30));
  const auto& outcome = model.OutcomeOfKind("quote");
  EXPECT_GT(outcome.Share(outcome.inTime), 0.93);
  EXPECT_LT(outcome.Share(outcome.rejected), 0.01);
}

// A network partition between zones. Servers that a zone cannot reach must not
// count as its capacity, or its requests would be queued for slots that they
// cannot use.
TEST(ServerPool, CapacityExcludesUnreachableServers)
{
  ServerPool pool({});
  for (const char* zone : { "a", "b", "b", "b" }) {
    routing::Server server;
    server.id = zone + std::to_string(pool.Slots());
    server.zone = zone;
    server.slots = 4;
    pool.SetServer(server, TimePoint(Seconds(999)));
  }
  const TimePoint now(Seconds(1000));
  EXPECT_EQ(pool.Capacity("a", now), 16);
  RunningJob unreached;
  unreached.zone = "a";
  SendReport report;
  report.result = SendResult::kUnreachable;
  for (const char* id : { "b4", "b8" }) {
    unreached.server = pool.Find(id);
    ASSERT_NE(unreached.server, nullptr);
    pool.Learn(unreached, report, now);
  }
  const TimePoint soon = now + Milliseconds(100);
  EXPECT_EQ(pool.Capacity("a", soon), 4);
  EXPECT_EQ(pool.Capacity("b", soon), 16);
}

// Guards against rejecting all requests of a service once each of its servers
// has failed. Unhealthy servers are then sent requests as probes.
TEST(Allocator, FailedServerIsStillTried)
{
  Allocator allocator;
  routing::Server server;
  server.id = "only";
  server.service = "s";
  server.zone = "z";
  const TimePoint now(Seconds(1000));
  allocator.SetServers({ { server.id, server } }, now);
  Job job;
  job.service = "s";
  job.arrival = now;
  job.target = Seconds(1);
  job.deadline = now + Seconds(5);
  SendReport cut;
  cut.result = SendResult::kCut;
  for (JobId id = 1; id <= 6; ++id) {
    job.id = id;
    job.fingerprint = id;
    const auto allocations = allocator.Submit({ 1, id }, job, "z", now);
    ASSERT_EQ(allocations.size(), 1u);
    EXPECT_TRUE(allocations[0].send) << id;
    allocator.Finish({ 1, id }, cut, now);
  }
  // A request that already failed at the only server is not sent again.
  job.id = 7;
  job.fingerprint = 7;
  job.excludedServers = { "only" };
  const auto allocations = allocator.Submit({ 1, 7 }, job, "z", now);
  ASSERT_EQ(allocations.size(), 1u);
  EXPECT_FALSE(allocations[0].send);
}

/// An allocator with two servers, the first of which runs one request.
class SilentServer : public ::testing::Test
{
protected:
  void SetUp() override
  {
    routing::Roster roster;
    for (const char* id : { "a", "b" }) {
      routing::Server server;
      server.id = id;
      server.service = "s";
      server.zone = "z";
      server.slots = 4;
      roster.emplace(id, server);
    }
    mAllocator.SetServers(roster, mNow);
    const auto allocation = SubmitJob({ "b" }, 0);
    ASSERT_TRUE(allocation.send);
    ASSERT_EQ(allocation.server, "a");
    mRunning = allocation.key;
  }

  Allocation SubmitJob(std::vector<std::string> aExcluded,
                       int aServersReached,
                       const std::string& aOnly = "")
  {
    Job job;
    job.id = ++mLastId;
    job.service = "s";
    job.fingerprint = job.id;
    job.stream = true;
    job.arrival = mNow;
    job.target = Seconds(1);
    job.deadline = mNow + Seconds(5);
    job.excludedServers = std::move(aExcluded);
    job.onlyServer = aOnly;
    job.serversReached = aServersReached;
    auto allocations = mAllocator.Submit({ 1, job.id }, job, "z", mNow);
    return allocations.empty() ? Allocation() : allocations.front();
  }

  Allocator mAllocator;
  JobId mLastId = 0;
  TimePoint mNow{ Seconds(1000) };
  JobKey mRunning;
};

// Guards against a server that gets no requests although it has continued after
// a silence.
TEST_F(SilentServer, GetsRequestsAgainOnceItHasContinued)
{
  const auto second = SubmitJob({ "b" }, 0);
  mAllocator.RecordSilence(mRunning, mNow);
  mAllocator.RecordSilence(second.key, mNow);
  EXPECT_FALSE(SubmitJob({ "b" }, 1).send);
  mAllocator.RecordSilenceEnd(mRunning, mNow);
  EXPECT_TRUE(SubmitJob({ "b" }, 1).send);
}

// Guards against a stream that cannot return to the server that it was taken
// from, or that goes to another one instead.
TEST_F(SilentServer, GetsAStreamThatReturnsToIt)
{
  const auto second = SubmitJob({ "b" }, 0);
  mAllocator.RecordSilence(mRunning, mNow);
  mAllocator.RecordSilence(second.key, mNow);
  const auto returned = SubmitJob({}, 2, "a");
  EXPECT_TRUE(returned.send);
  EXPECT_EQ(returned.server, "a");
  EXPECT_FALSE(SubmitJob({ "a" }, 2, "a").send);
}

// Guards against free slots that stay idle, and requests that wait for them,
// behind requests that may only be sent to another server.
TEST_F(SilentServer, DoesNotHoldUpRequestsForOtherServers)
{
  constexpr int kReturning = 60;
  constexpr int kSlots = 4;
  std::vector<JobKey> atB;
  for (int i = 1; i < kSlots; ++i) {
    ASSERT_TRUE(SubmitJob({}, 0, "a").send);
  }
  for (int i = 0; i < kSlots; ++i) {
    const auto allocation = SubmitJob({ "a" }, 0);
    ASSERT_EQ(allocation.server, "b");
    atB.push_back(allocation.key);
  }
  int queued = 0;
  for (int i = 0; i < kReturning; ++i) {
    queued += SubmitJob({}, 2, "a").key.job == 0 ? 1 : 0;
  }
  const auto waiting = SubmitJob({}, 0);
  ASSERT_EQ(waiting.key.job, 0u) << waiting.why;
  SendReport whole;
  whole.result = SendResult::kWhole;
  const auto sent = mAllocator.Finish(atB.front(), whole, mNow);
  EXPECT_TRUE(std::any_of(
    sent.begin(),
    sent.end(),
    [](const auto& aSent) { return aSent.send && aSent.server == "b"; }))
    << queued << " returning requests are queued";
}

// Guards against a stream that has begun and is given up while it waits,
// because the last server leaves a moment before the one that replaces it is
// there.
TEST_F(SilentServer, AWaitingStreamIsContinuedByAServerThatReplacesTheLast)
{
  const auto rosterOf = [](const char* aId, bool aLeaving) {
    routing::Server server;
    server.id = aId;
    server.service = "s";
    server.zone = "z";
    server.slots = 4;
    server.leaving = aLeaving;
    return routing::Roster{ { server.id, server } };
  };
  mAllocator.SetServers(rosterOf("a", false), mNow);
  for (int i = 1; i < 4; ++i) {
    ASSERT_TRUE(SubmitJob({}, 0).send);
  }
  // Its server was cut.
  ASSERT_EQ(SubmitJob({ "x" }, 1).key.job, 0u);
  const auto waiting = mLastId;
  for (const auto& each : mAllocator.SetServers(rosterOf("a", true), mNow)) {
    EXPECT_NE(each.key.job, waiting) << each.why;
  }
  const auto later = mNow + Milliseconds(300);
  const auto sent = mAllocator.SetServers(rosterOf("c", false), later);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_TRUE(sent.front().send);
  EXPECT_EQ(sent.front().key.job, waiting);
}

// Guards against a server that loses its slots although it keeps its requests.
TEST_F(SilentServer, KeepsItsRequest)
{
  mAllocator.RecordSilence(mRunning, mNow);
  SendReport whole;
  whole.result = SendResult::kWhole;
  mAllocator.Finish(mRunning, whole, mNow + Seconds(1));
  EXPECT_TRUE(SubmitJob({ "b" }, 1).send);
}

// Guards against new requests that are sent to a server at which several
// requests wait for an event.
TEST_F(SilentServer, GetsNoNewRequestsAfterTwoReports)
{
  const auto second = SubmitJob({ "b" }, 0);
  mAllocator.RecordSilence(mRunning, mNow);
  mAllocator.RecordSilence(second.key, mNow);
  const auto next = SubmitJob({}, 0);
  ASSERT_TRUE(next.send);
  EXPECT_EQ(next.server, "b");
}

} // namespace
} // namespace magnoliatide::policy
