// Properties of the scheduler over random work, and its rules one by one.
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

Work
WorkOf(RequestId aId, int aTier, TimePoint aNow)
{
  Work work;
  work.id = aId;
  work.service = "s";
  work.kind = "k" + std::to_string(aTier);
  work.team = "large";
  work.model = "m";
  work.tier = aTier;
  work.size = { 100, 10 };
  work.fingerprint = aId;
  work.arrival = aNow;
  work.deadline = aNow + Seconds(10);
  return work;
}

/// Follows what the scheduler decided of each request.
class Ledger
{
public:
  void Submitted(const Work& aWork)
  {
    mWork[aWork.id] = aWork;
    mWaiting.insert(aWork.id);
  }

  void Take(const Decisions& aDecisions)
  {
    for (const auto& drop : aDecisions.drops) {
      RC_ASSERT(mWaiting.erase(drop.id) == 1u);
      if (IsShed(drop.reason)) {
        mShed.push_back(mWork.at(drop.id).tier);
      }
    }
    for (const auto& start : aDecisions.starts) {
      RC_ASSERT(mWaiting.erase(start.id) == 1u);
      mRunning.insert(start.id);
    }
  }

  /// No request of a lower tier waits once one of a higher tier was shed.
  void CheckTierOrder()
  {
    for (const int tier : mShed) {
      for (const auto id : mWaiting) {
        RC_ASSERT(mWork.at(id).tier <= tier);
      }
    }
    mShed.clear();
  }

  std::set<RequestId>& Running() { return mRunning; }
  const std::set<RequestId>& Waiting() const { return mWaiting; }

private:
  std::map<RequestId, Work> mWork;
  std::set<RequestId> mWaiting;
  std::set<RequestId> mRunning;
  std::vector<int> mShed;
};

RC_GTEST_PROP(Scheduler, DecidesOnceAndShedsInTierOrder, ())
{
  const int queueLimit = *rc::gen::inRange(1, 12);
  const int slots = *rc::gen::inRange(1, 4);
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(queueLimit, slots));
  Ledger ledger;
  TimePoint now = TimePoint{} + Seconds(1000);
  RequestId next = 1;
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (const int step : steps) {
    now += Milliseconds(step % 7);
    if (step < 60) {
      auto work = WorkOf(next++, step % kTiers, now);
      work.deadline = now + Milliseconds(20 + step * 10);
      work.team = step % 2 == 0 ? "large" : "small";
      ledger.Submitted(work);
      ledger.Take(scheduler.Submit(work, now));
    } else if (step < 85 && !ledger.Running().empty()) {
      const auto id = *ledger.Running().begin();
      ledger.Running().erase(id);
      RunReport report;
      report.result = step < 80 ? RunResult::kWhole : RunResult::kCut;
      report.promptTokens = 100;
      report.outputTokens = 10;
      report.toFirstToken = Milliseconds(5);
      report.toEnd = Milliseconds(50);
      ledger.Take(scheduler.Finish(id, report, now));
    } else if (step < 90) {
      now += Milliseconds(200);
      ledger.Take(scheduler.Tick(now));
    } else if (step < 95) {
      ledger.Take(scheduler.NoteFleetShed("s", step % kTiers, now));
    } else {
      ledger.Take(scheduler.Tick(now));
    }
    ledger.CheckTierOrder();
    std::size_t waiting = 0;
    auto queues = scheduler.Waiting();
    for (const int count : queues["s"]) {
      waiting += static_cast<std::size_t>(count);
    }
    RC_ASSERT(waiting == ledger.Waiting().size());
    RC_ASSERT(waiting <= static_cast<std::size_t>(queueLimit));
  }
}

TEST(Scheduler, EvictsTheLowestTierBeforeItRefusesAHigherOne)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(2, 1));
  const TimePoint now = TimePoint{} + Seconds(1000);
  for (RequestId id = 1; id <= 3; ++id) {
    EXPECT_EQ(scheduler.Submit(WorkOf(id, 2, now), now).starts.size(), 1u);
  }
  scheduler.Submit(WorkOf(4, 2, now), now);
  scheduler.Submit(WorkOf(5, 2, now), now);
  const auto decisions = scheduler.Submit(WorkOf(6, 0, now), now);
  ASSERT_EQ(decisions.drops.size(), 1u);
  EXPECT_EQ(decisions.drops[0].id, 5u);
  EXPECT_EQ(decisions.drops[0].reason, DropReason::kDisplaced);
}

TEST(Scheduler, ASmallTeamIsServedBesideALargeOne)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(200, 1));
  TimePoint now = TimePoint{} + Seconds(1000);
  for (RequestId id = 1; id <= 100; ++id) {
    scheduler.Submit(WorkOf(id, 0, now), now);
  }
  auto small = WorkOf(1000, 0, now);
  small.team = "small";
  scheduler.Submit(small, now);
  // The small team's request is among the next to start, behind none but
  // those that hold equal virtual time.
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

TEST(Scheduler, ALeavingServerGetsNothing)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(10, 4));
  scheduler.SetLeaving({ "e0", "e1" });
  const TimePoint now = TimePoint{} + Seconds(1000);
  for (RequestId id = 1; id <= 4; ++id) {
    for (const auto& start : scheduler.Submit(WorkOf(id, 0, now), now).starts) {
      EXPECT_EQ(start.backend, "e2");
    }
  }
}

TEST(Scheduler, ASuspectRunsAloneAndIsRefusedOnceProvedHarmful)
{
  Scheduler scheduler({});
  scheduler.Apply(DocumentOf(10, 4));
  TimePoint now = TimePoint{} + Seconds(1000);
  const auto first = scheduler.Submit(WorkOf(1, 0, now), now);
  ASSERT_EQ(first.starts.size(), 1u);
  scheduler.Crashed(first.starts[0].backend, now);
  RunReport cut;
  cut.result = RunResult::kCut;
  scheduler.Finish(1, cut, now);
  now += Seconds(5);
  auto again = WorkOf(2, 0, now);
  again.fingerprint = 1;
  const auto second = scheduler.Submit(again, now);
  ASSERT_EQ(second.starts.size(), 1u);
  scheduler.Crashed(second.starts[0].backend, now);
  scheduler.Finish(2, cut, now);
  again.id = 3;
  const auto third = scheduler.Submit(again, now);
  ASSERT_EQ(third.drops.size(), 1u);
  EXPECT_EQ(third.drops[0].reason, DropReason::kHarmful);
}

TEST(Scheduler, ThreadsShareItWithoutLosingARequest)
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
        auto work = WorkOf(thread * 1000 + i, 0, now);
        auto decisions = scheduler.Submit(work, now);
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
  const double part = static_cast<double>(served["heavy"]) / served["light"];
  RC_ASSERT(std::abs(part - weight) < 0.1 * weight);
}

RC_GTEST_PROP(RateLimiter, NeverAdmitsMoreThanAWindowHoldsTwice, ())
{
  const int most = *rc::gen::inRange(1, 20);
  RateLimiter limiter({ { static_cast<double>(most), Seconds(1) } });
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
    RC_ASSERT(inWindow <= 2 * most);
  }
}

} // namespace
} // namespace magnoliatide::policy
