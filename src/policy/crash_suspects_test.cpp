// A request or prompt part that runs during three server crashes is harmful;
// those that ran on the same servers and later begin their answers are not.
#include "magnoliatide/policy/crash_suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>

namespace magnoliatide::policy {
namespace {

constexpr Trait kHarmful = 7;
constexpr TimePoint kStart = TimePoint(Seconds(1000));

/// Records crashes at one VM.
class Crashes
{
public:
  explicit Crashes(CrashSuspects& aSuspects, std::uint64_t aVm = 1)
    : Crashes(aSuspects, aVm, aSuspects)
  {
  }

  /// @param aDecider What the VM knows that decides on the requests. A request
  ///     that it suspects is sent in a trial.
  Crashes(CrashSuspects& aSuspects,
          std::uint64_t aVm,
          const CrashSuspects& aDecider)
    : mSuspects(aSuspects)
    , mVm(aVm)
    , mDecider(aDecider)
  {
  }

  void Interrupt(const ServerIncarnation& aServer,
                 const std::vector<Trait>& aTraits,
                 TimePoint aNow)
  {
    InterruptedRun run;
    run.incarnation = aServer;
    run.key = { mVm, ++mLastJob };
    run.traits = aTraits;
    run.own = true;
    run.trial = mDecider.StandingOf(aTraits, aNow) != CrashStanding::kNone;
    mSuspects.RecordInterruption(run, aNow);
  }

  /// Simulates a server crash while requests with one trait each run.
  void Crash(const ServerIncarnation& aServer,
             const std::vector<Trait>& aBatch,
             TimePoint aNow)
  {
    for (const auto trait : aBatch) {
      Interrupt(aServer, { trait }, aNow);
    }
    mSuspects.RecordServerLoss(aServer.server, aNow + Milliseconds(100));
  }

private:
  CrashSuspects& mSuspects;
  std::uint64_t mVm;
  const CrashSuspects& mDecider;
  JobId mLastJob = 0;
};

bool
IsHarmful(const CrashSuspects& aSuspects, Trait aTrait, TimePoint aNow)
{
  return aSuspects.StandingOf({ aTrait }, aNow) == CrashStanding::kHarmful;
}

TEST(CrashSuspects, ThirdCrashMakesRequestHarmful)
{
  CrashSuspects suspects;
  Crashes crashes(suspects);
  crashes.Crash({ "a", 1 }, { kHarmful }, kStart);
  crashes.Crash({ "b", 1 }, { kHarmful }, kStart + Seconds(1));
  EXPECT_FALSE(IsHarmful(suspects, kHarmful, kStart + Seconds(2)));
  crashes.Crash({ "c", 1 }, { kHarmful }, kStart + Seconds(2));
  EXPECT_TRUE(IsHarmful(suspects, kHarmful, kStart + Seconds(3)));
}

// The roster may still show the old incarnation of a server that crashes again.
TEST(CrashSuspects, SimultaneousInterruptionsCountAsCrash)
{
  CrashSuspects suspects;
  Crashes crashes(suspects);
  for (int i = 0; i < 3; ++i) {
    const auto now = kStart + Seconds(i);
    crashes.Interrupt({ "a", 1 }, { kHarmful }, now);
    crashes.Interrupt({ "a", 1 }, { 100 + static_cast<Trait>(i) }, now);
  }
  EXPECT_TRUE(IsHarmful(suspects, kHarmful, kStart + Seconds(3)));
  EXPECT_FALSE(IsHarmful(suspects, 100, kStart + Seconds(3)));
}

TEST(CrashSuspects, InterruptionAtLiveServerIsNotACrash)
{
  CrashSuspects suspects;
  Crashes crashes(suspects);
  for (int i = 0; i < 10; ++i) {
    crashes.Interrupt({ "a", 1 }, { kHarmful }, kStart + Seconds(i));
  }
  EXPECT_FALSE(IsHarmful(suspects, kHarmful, kStart + Seconds(11)));
}

TEST(CrashSuspects, CrashesFromOtherVmsAreMerged)
{
  CrashSuspects here;
  CrashSuspects there;
  Crashes crashes(there);
  for (const char* server : { "a", "b", "c" }) {
    crashes.Crash({ server, 1 }, { kHarmful }, kStart);
  }
  for (const auto& crash : there.TakeCrashes()) {
    here.Merge(crash, kStart, kStart);
  }
  EXPECT_TRUE(IsHarmful(here, kHarmful, kStart));
  EXPECT_TRUE(there.TakeCrashes().empty());
}

// Guards against counts that are merged by their maximum: crashes seen by
// different VMs never add up.
TEST(CrashSuspects, CrashesSeenByDifferentVmsAddUp)
{
  CrashSuspects here;
  std::uint64_t vm = 1;
  for (const char* server : { "a", "b", "c" }) {
    EXPECT_FALSE(IsHarmful(here, kHarmful, kStart));
    CrashSuspects there;
    Crashes(there, ++vm, here).Crash({ server, 1 }, { kHarmful }, kStart);
    for (const auto& crash : there.TakeCrashes()) {
      here.Merge(crash, kStart, kStart);
    }
  }
  EXPECT_TRUE(IsHarmful(here, kHarmful, kStart));
}

// Guards against a crash that counts once for each VM that has seen it.
TEST(CrashSuspects, ACrashCountsOnceWhoeverReportsIt)
{
  CrashSuspects here;
  for (std::uint64_t vm = 1; vm <= 5; ++vm) {
    CrashSuspects there;
    Crashes(there, vm).Crash({ "a", 1 }, { kHarmful, 100 + vm }, kStart);
    for (const auto& crash : there.TakeCrashes()) {
      here.Merge(crash, kStart, kStart + Milliseconds(20));
    }
  }
  Crashes(here, 9).Crash({ "a", 1 }, { kHarmful }, kStart + Milliseconds(30));
  EXPECT_FALSE(IsHarmful(here, kHarmful, kStart + Seconds(1)));
  EXPECT_EQ(here.StandingOf({ kHarmful }, kStart + Seconds(1)),
            CrashStanding::kSuspect);
}

// Guards against a suspicion that begins seconds after the crash, when the
// store shows that the server is gone.
TEST(CrashSuspects, AnInterruptedRequestIsSuspectedAtOnce)
{
  CrashSuspects suspects;
  Crashes crashes(suspects);
  crashes.Interrupt({ "a", 1 }, { kHarmful, 100 }, kStart);
  EXPECT_EQ(suspects.StandingOf({ kHarmful }, kStart), CrashStanding::kSuspect);
  suspects.RecordServerLoss("a", kStart + Seconds(5));
  crashes.Crash({ "b", 1 }, { kHarmful }, kStart + Seconds(5));
  crashes.Crash({ "c", 1 }, { kHarmful }, kStart + Seconds(6));
  EXPECT_TRUE(IsHarmful(suspects, kHarmful, kStart + Seconds(7)));
}

// Guards against a sound part that is refused because it was in each request
// with the harmful one, and against refusing neither.
TEST(CrashSuspects, RequestsThatCanTellTwoPartsApartAreTried)
{
  constexpr Trait kShared = 50;
  CrashSuspects suspects;
  Crashes crashes(suspects);
  for (Trait i = 0; i < 3; ++i) {
    crashes.Interrupt({ "a", i }, { kShared, kHarmful, 100 + i }, kStart);
    suspects.RecordServerLoss("a", kStart);
  }
  const auto now = kStart + Seconds(1);
  EXPECT_EQ(suspects.StandingOf({ kShared, kHarmful, 200 }, now),
            CrashStanding::kHarmful);
  EXPECT_EQ(suspects.StandingOf({ kShared, 201 }, now),
            CrashStanding::kSuspect);
  suspects.RecordBegin({ kShared, 201 }, now);
  EXPECT_EQ(suspects.StandingOf({ kShared, 201 }, now), CrashStanding::kNone);
  EXPECT_EQ(suspects.StandingOf({ 51, kHarmful, 202 }, now),
            CrashStanding::kHarmful);
}

// Guards against a sound part that is refused because servers that run requests
// with it crash together for another reason.
TEST(CrashSuspects, CrashesAtOnceMakeNothingHarmfulWithoutATrial)
{
  CrashSuspects suspects;
  for (std::uint64_t i = 0; i < 5; ++i) {
    InterruptedRun run;
    run.incarnation = { "s-" + std::to_string(i), 1 };
    run.key = { 1, i };
    run.traits = { 50 };
    suspects.RecordInterruption(run, kStart);
    suspects.RecordServerLoss(run.incarnation.server, kStart);
  }
  EXPECT_EQ(suspects.StandingOf({ 50 }, kStart), CrashStanding::kSuspect);
  Crashes crashes(suspects);
  crashes.Crash({ "s-9", 1 }, { 50 }, kStart + Seconds(1));
  EXPECT_TRUE(IsHarmful(suspects, 50, kStart + Seconds(2)));
}

// Guards against a part that stays refused at one VM because another one has
// cleared it, in whatever order the reports arrive.
TEST(CrashSuspects, ClearancesFromOtherVmsHold)
{
  CrashSuspects there;
  Crashes crashes(there);
  for (const char* server : { "a", "b", "c" }) {
    crashes.Crash({ server, 1 }, { 50 }, kStart);
  }
  const auto records = there.TakeCrashes();
  there.RecordBegin({ 50 }, kStart + Seconds(2));
  EXPECT_EQ(there.TakeClearances(), std::vector<Trait>{ 50 });
  for (const bool clearanceFirst : { false, true }) {
    CrashSuspects here;
    const auto now = kStart + Seconds(3);
    if (clearanceFirst) {
      here.MergeClearance(50, kStart + Seconds(2), now);
    }
    for (const auto& record : records) {
      here.Merge(record, kStart, now);
    }
    if (!clearanceFirst) {
      EXPECT_TRUE(IsHarmful(here, 50, now));
      here.MergeClearance(50, kStart + Seconds(2), now);
    }
    EXPECT_EQ(here.StandingOf({ 50 }, now), CrashStanding::kNone);
  }
}

/// Requests that succeed between crashes never become harmful, even if they run
/// alongside one that crashes every server; that one is harmful from the third
/// crash on.
RC_GTEST_PROP(CrashSuspects, SuccessfulRequestsAreNeverHarmful, ())
{
  CrashSuspects suspects;
  Crashes recorder(suspects);
  TimePoint now = kStart;
  const int crashes = *rc::gen::inRange(3, 12);
  for (int i = 0; i < crashes; ++i) {
    const auto generated = *rc::gen::container<std::vector<Trait>>(
      rc::gen::inRange<Trait>(100, 120));
    const std::set<Trait> batch(generated.begin(), generated.end());
    std::vector<Trait> all(batch.begin(), batch.end());
    all.push_back(kHarmful);
    recorder.Crash({ "server-" + std::to_string(i % 4), 1 }, all, now);
    for (const auto trait : batch) {
      suspects.RecordBegin({ trait }, now + Milliseconds(200));
    }
    now += Milliseconds(*rc::gen::inRange(1600, 9000));
    for (const auto trait : batch) {
      RC_ASSERT(!IsHarmful(suspects, trait, now));
    }
    RC_ASSERT(IsHarmful(suspects, kHarmful, now) == (i >= 2));
  }
}

/// Each VM sees some of the runs that a crash interrupts, and hears from the
/// others late, repeatedly and in any order. Once all reports have arrived, a
/// part that was in three crashes is harmful at every VM, and parts that have
/// begun elsewhere are not.
RC_GTEST_PROP(CrashSuspects, AllVmsAgreeOnTheHarmfulPart, ())
{
  constexpr std::size_t kVms = 4;
  constexpr Trait kFirstShared = 50;
  std::vector<CrashSuspects> suspects(kVms);
  std::vector<Crashes> recorders;
  // The VM that decides hears of each interruption at once.
  CrashSuspects decider;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    recorders.emplace_back(suspects[vm], vm + 1, decider);
  }
  struct Report
  {
    std::size_t from;
    std::optional<CrashRecord> crash;
    Trait cleared;
    TimePoint at;
  };
  std::vector<Report> reports;
  const auto collect = [&](TimePoint aAt) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      for (const auto& crash : suspects[vm].TakeCrashes()) {
        reports.push_back({ vm, crash, 0, aAt });
      }
      for (const auto trait : suspects[vm].TakeClearances()) {
        reports.push_back({ vm, std::nullopt, trait, aAt });
      }
    }
  };
  const int crashes = *rc::gen::inRange(3, 6);
  TimePoint now = kStart;
  for (int i = 0; i < crashes; ++i) {
    now += Seconds(5);
    const ServerIncarnation server{ "s", static_cast<std::uint64_t>(i) };
    const auto shared = kFirstShared + *rc::gen::inRange<Trait>(0, 3);
    const Trait unique = 1000 + static_cast<Trait>(i);
    const bool known =
      decider.StandingOf({ kHarmful }, now) != CrashStanding::kNone;
    RC_ASSERT(known == (i > 0));
    recorders[*rc::gen::inRange<std::size_t>(0, kVms)].Interrupt(
      server, { shared, kHarmful, unique }, now);
    // A sound request beside it, at another VM or the same one.
    recorders[*rc::gen::inRange<std::size_t>(0, kVms)].Interrupt(
      server, { kFirstShared, unique + 500 }, now + Milliseconds(50));
    for (auto& one : suspects) {
      one.RecordServerLoss("s", now + Milliseconds(60));
    }
    decider.RecordInterruption({ server, { 9, unique }, { kHarmful } }, now);
    collect(now);
  }
  now += Seconds(5);
  for (Trait part = kFirstShared; part < kFirstShared + 3; ++part) {
    for (auto& one : suspects) {
      one.RecordBegin({ part, 2000 + part }, now);
    }
  }
  collect(now);
  const auto seed = *rc::gen::arbitrary<unsigned>();
  std::mt19937 random(seed);
  auto deliveries = reports;
  deliveries.insert(deliveries.end(), reports.begin(), reports.end());
  std::shuffle(deliveries.begin(), deliveries.end(), random);
  now += Seconds(1);
  for (const auto& report : deliveries) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (vm == report.from) {
        continue;
      }
      if (report.crash) {
        suspects[vm].Merge(*report.crash, report.at, now);
      } else {
        suspects[vm].MergeClearance(report.cleared, report.at, now);
      }
    }
  }
  for (const auto& one : suspects) {
    for (Trait part = kFirstShared; part < kFirstShared + 3; ++part) {
      RC_ASSERT(one.StandingOf({ part, kHarmful, 3000 }, now) ==
                CrashStanding::kHarmful);
      RC_ASSERT(one.StandingOf({ part, 3001 }, now) == CrashStanding::kNone);
    }
  }
}

} // namespace
} // namespace magnoliatide::policy
