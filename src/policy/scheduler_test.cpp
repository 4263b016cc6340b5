// Property tests of the scheduler with random requests, and tests of single
// rules.
#include "magnoliatide/policy/scheduler.h"

#include "magnoliatide/core/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace magnoliatide::policy {
namespace {

constexpr int kTiers = 3;
constexpr int kEngines = 3;

std::string
DocumentText(int aQueueLimit, int aSlots)
{
  std::string text = "[environment]\nname = t\ngeneration = 1\n"
                     "[tiers]\nnames = t0, t1, t2\n[vms]\nslots = a/1\n"
                     "[service s]\ntype = model\nqueue-limit = " +
                     std::to_string(aQueueLimit) + "\n";
  for (const char* team : { "large", "small" }) {
    text += std::string("[team ") + team +
            "]\ntoken-digest = " + Sha256Hex(team) + "\n";
  }
  for (int i = 0; i < kTiers; ++i) {
    const auto number = std::to_string(i);
    text += "[kind k" + number + "]\nservice = s\ntier = t" + number +
            "\nteams = *\n";
  }
  for (int i = 0; i < kEngines; ++i) {
    const auto number = std::to_string(i);
    text += "[engine e" + number + "]\nservice = s\naddress = 127.0.0.1:900" +
            number +
            "\nzone = a\nmodels = m\nslots = " + std::to_string(aSlots) + "\n";
  }
  return text;
}

document::Document
DocumentOf(int aQueueLimit, int aSlots)
{
  std::vector<Fault> faults;
  return ValueOrFaults(
    [&] {
      return document::ParseDocument("t", DocumentText(aQueueLimit, aSlots));
    },
    faults);
}

SchedulerRequest
MakeRequest(RequestId aId, int aTier, TimePoint aNow)
{
  SchedulerRequest request;
  request.id = aId;
  request.service = "s";
  request.kind = "k" + std::to_string(aTier);
  request.team = "large";
  request.model = "m";
  request.tier = aTier;
  request.size = { 100, 10 };
  request.fingerprint = aId;
  request.arrival = aNow;
  request.deadline = aNow + Seconds(10);
  return request;
}

/// Tracks the state of each request according to the decisions of the
/// scheduler, and checks that a request is decided only while it waits.
class DecisionTracker
{
public:
  void Submitted(const SchedulerRequest& aRequest)
  {
    mRequests[aRequest.id] = aRequest;
    mWaiting.insert(aRequest.id);
  }

  void Apply(const Decisions& aDecisions)
  {
    for (const auto& drop : aDecisions.drops) {
      RC_ASSERT(mWaiting.erase(drop.id) == 1u);
      if (IsShed(drop.reason)) {
        mShed.push_back(mRequests.at(drop.id).tier);
      }
    }
    for (const auto& start : aDecisions.starts) {
      RC_ASSERT(mWaiting.erase(start.id) == 1u);
      mRunning.insert(start.id);
    }
  }

  /// Checks that no request of a tier waits after one of a more urgent tier was
  /// shed.
  void CheckTierOrder()
  {
    for (const int tier : mShed) {
      for (const auto id : mWaiting) {
        RC_ASSERT(mRequests.at(id).tier <= tier);
      }
    }
    mShed.clear();
  }

  std::set<RequestId>& Running() { return mRunning; }
  const std::set<RequestId>& Waiting() const { return mWaiting; }

private:
  std::map<RequestId, SchedulerRequest> mRequests;
  std::set<RequestId> mWaiting;
  std::set<RequestId> mRunning;
  std::vector<int> mShed;
};

RC_GTEST_PROP(Scheduler, DecidesEachRequestOnceAndShedsInTierOrder, ())
{
  const int queueLimit = *rc::gen::inRange(1, 12);
  const int slots = *rc::gen::inRange(1, 4);
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(queueLimit, slots));
  DecisionTracker tracker;
  TimePoint now = TimePoint{} + Seconds(1000);
  RequestId next = 1;
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (const int step : steps) {
    now += Milliseconds(step % 7);
    if (step < 60) {
      auto request = MakeRequest(next++, step % kTiers, now);
      request.deadline = now + Milliseconds(20 + step * 10);
      request.team = step % 2 == 0 ? "large" : "small";
      tracker.Submitted(request);
      tracker.Apply(scheduler.Submit(request, now));
    } else if (step < 85 && !tracker.Running().empty()) {
      const auto id = *tracker.Running().begin();
      tracker.Running().erase(id);
      RunReport report;
      report.result = step < 80 ? RunResult::kWhole : RunResult::kCut;
      report.promptTokens = 100;
      report.outputTokens = 10;
      report.toFirstToken = Milliseconds(5);
      report.toEnd = Milliseconds(50);
      tracker.Apply(scheduler.Finish(id, report, now));
    } else if (step < 90) {
      now += Milliseconds(200);
      tracker.Apply(scheduler.Tick(now));
    } else if (step < 95) {
      tracker.Apply(scheduler.RecordFleetShed("s", step % kTiers, now));
    } else {
      tracker.Apply(scheduler.Tick(now));
    }
    tracker.CheckTierOrder();
    std::size_t waiting = 0;
    auto queues = scheduler.Waiting();
    for (const int count : queues["s"]) {
      waiting += static_cast<std::size_t>(count);
    }
    RC_ASSERT(waiting == tracker.Waiting().size());
    RC_ASSERT(waiting <= static_cast<std::size_t>(queueLimit));
  }
}

TEST(Scheduler, EvictsLowestTierBeforeRejectingHigherTier)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(2, 1));
  const TimePoint now = TimePoint{} + Seconds(1000);
  for (RequestId id = 1; id <= 3; ++id) {
    EXPECT_EQ(scheduler.Submit(MakeRequest(id, 2, now), now).starts.size(), 1u);
  }
  scheduler.Submit(MakeRequest(4, 2, now), now);
  scheduler.Submit(MakeRequest(5, 2, now), now);
  const auto decisions = scheduler.Submit(MakeRequest(6, 0, now), now);
  ASSERT_EQ(decisions.drops.size(), 1u);
  EXPECT_EQ(decisions.drops[0].id, 5u);
  EXPECT_EQ(decisions.drops[0].reason, DropReason::kDisplaced);
}

TEST(Scheduler, SmallTeamIsServedWhileLargeTeamIsBacklogged)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(200, 1));
  TimePoint now = TimePoint{} + Seconds(1000);
  for (RequestId id = 1; id <= 100; ++id) {
    scheduler.Submit(MakeRequest(id, 0, now), now);
  }
  auto small = MakeRequest(1000, 0, now);
  small.team = "small";
  scheduler.Submit(small, now);
  // The request of the small team is among the next three to start. Only
  // requests with an equal virtual start time may start before it.
  bool started = false;
  for (RequestId id = 1; id <= 3 && !started; ++id) {
    RunReport report;
    report.promptTokens = 100;
    for (const auto& start : scheduler.Finish(id, report, now).starts) {
      started = started || start.id == 1000;
    }
  }
  EXPECT_TRUE(started);
}

TEST(Scheduler, LeavingServerGetsNoRequests)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(10, 4));
  scheduler.SetLeaving({ "e0", "e1" });
  const TimePoint now = TimePoint{} + Seconds(1000);
  for (RequestId id = 1; id <= 4; ++id) {
    for (const auto& start :
         scheduler.Submit(MakeRequest(id, 0, now), now).starts) {
      EXPECT_EQ(start.backend, "e2");
    }
  }
}

TEST(Scheduler, RejectsSuspectThatCrashesServerWhileRunningAlone)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(10, 4));
  TimePoint now = TimePoint{} + Seconds(1000);
  const auto first = scheduler.Submit(MakeRequest(1, 0, now), now);
  ASSERT_EQ(first.starts.size(), 1u);
  scheduler.RecordCrash(first.starts[0].backend, now);
  RunReport cut;
  cut.result = RunResult::kCut;
  scheduler.Finish(1, cut, now);
  now += Seconds(5);
  auto again = MakeRequest(2, 0, now);
  again.fingerprint = 1;
  const auto second = scheduler.Submit(again, now);
  ASSERT_EQ(second.starts.size(), 1u);
  scheduler.RecordCrash(second.starts[0].backend, now);
  scheduler.Finish(2, cut, now);
  again.id = 3;
  const auto third = scheduler.Submit(again, now);
  ASSERT_EQ(third.drops.size(), 1u);
  EXPECT_EQ(third.drops[0].reason, DropReason::kHarmful);
}

TEST(Scheduler, ConcurrentCallsDecideEveryRequest)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(1000, 4));
  std::atomic<int> decided{ 0 };
  std::vector<std::thread> threads;
  for (RequestId thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&, thread] {
      const TimePoint now = TimePoint{} + Seconds(1000);
      RunReport report;
      for (RequestId i = 1; i <= 200; ++i) {
        auto request = MakeRequest(thread * 1000 + i, 0, now);
        auto decisions = scheduler.Submit(request, now);
        while (!decisions.starts.empty() || !decisions.drops.empty()) {
          decided +=
            static_cast<int>(decisions.starts.size() + decisions.drops.size());
          Decisions next;
          for (const auto& start : decisions.starts) {
            const auto more = scheduler.Finish(start.id, report, now);
            next.starts.insert(
              next.starts.end(), more.starts.begin(), more.starts.end());
          }
          decisions = std::move(next);
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(decided.load(), 800);
}

RC_GTEST_PROP(FairOrder, ServesInProportionToWeights, ())
{
  const int weight = *rc::gen::inRange(1, 6);
  FairOrder order;
  order.Activate("light");
  order.Activate("heavy");
  std::map<std::string, int> served;
  for (int i = 0; i < 600; ++i) {
    std::string next;
    order.Visit([&](const std::string& aName) {
      next = aName;
      return true;
    });
    served[next] += 1;
    order.Charge(next, 1, next == "heavy" ? weight : 1);
  }
  const double ratio = static_cast<double>(served["heavy"]) / served["light"];
  RC_ASSERT(std::abs(ratio - weight) < 0.1 * weight);
}

RC_GTEST_PROP(RateLimiter, AdmitsAtMostTwiceTheLimitInAnyWindow, ())
{
  const int limit = *rc::gen::inRange(1, 20);
  RateLimiter limiter({ { static_cast<double>(limit), Seconds(1) } });
  const auto gaps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
  TimePoint now = TimePoint{} + Seconds(1);
  std::vector<TimePoint> admitted;
  for (const int gap : gaps) {
    now += Milliseconds(gap);
    if (limiter.Admit(now) == Duration::zero()) {
      admitted.push_back(now);
    }
  }
  for (std::size_t i = 0; i < admitted.size(); ++i) {
    int inWindow = 0;
    for (std::size_t k = i;
         k < admitted.size() && admitted[k] - admitted[i] < Seconds(1);
         ++k) {
      inWindow += 1;
    }
    RC_ASSERT(inWindow <= 2 * limit);
  }
}

} // namespace
} // namespace magnoliatide::policy
