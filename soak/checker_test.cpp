// Guards against soak checks that miss a violation or report a wrong one. Each
// test breaks one guarantee in a faultless history and expects exactly that
// finding.
#include "checker.h"

#include "magnoliatide/core/digest.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace magnoliatide::soak {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));

/// Returns a time by its offset from the start of the history.
TimePoint
At(int aMillis)
{
  return kStart + Milliseconds(aMillis);
}

std::string
SignatureOf(const CallRecord& aCall)
{
  return "i-1." + ToHex(Hash64(aCall.id + aCall.target));
}

/// A history of 20 s in which all calls were served correctly.
class Soak : public ::testing::Test
{
protected:
  Soak()
  {
    mHistory.vms = { "vm-1", "vm-2" };
    mHistory.faultsEndedAt = At(10000);
    mHistory.quota = { "cutters", 1000, 1000, 140, Seconds(2) };
    mHistory.services = { { "i-1", "language" }, { "i-2", "speech" } };
    for (int i = 0; i < 100; ++i) {
      Serve(static_cast<Kind>(i % 4), i * 200);
    }
  }

  /// Adds a call that was served correctly, with its run at the server i-1.
  CallRecord& Serve(Kind aKind, int aMillis, std::uint64_t aVersion = 0)
  {
    CallRecord call;
    call.kind = aKind;
    call.id = "call-" + std::to_string(mHistory.calls.size());
    call.team = "planners";
    call.version = aVersion;
    call.target = TraitsOf(aKind).prefix + std::to_string(aVersion) + "/" +
                  std::to_string(mHistory.calls.size());
    call.body = "body";
    call.deadline = Seconds(3);
    call.sentAt = At(aMillis);
    call.endedAt = At(aMillis + 100);
    call.status = http::CallStatus::kDone;
    call.httpStatus = 200;
    call.signature = SignatureOf(call);
    call.answer = TraitsOf(aKind).stream
                    ? standins::ExpectedEvents(call.target, 0, kEvents)
                    : "answer to " + call.target + " " + call.body;
    mHistory.calls.push_back(call);
    Run(call, "i-1", aMillis + 10, aMillis + 90);
    return mHistory.calls.back();
  }

  /// Adds a run of a call.
  standins::EngineRun& Run(const CallRecord& aCall,
                           const std::string& aServer,
                           int aFrom,
                           int aUntil)
  {
    standins::EngineRun run;
    run.requestId = aCall.id;
    run.target = aCall.target;
    run.body = aCall.body;
    run.method = TraitsOf(aCall.kind).method;
    run.team = aCall.team;
    run.arrived = At(aFrom);
    run.began = At(aFrom);
    run.ended = At(aUntil);
    mHistory.runs.push_back({ aServer, run });
    return mHistory.runs.back().run;
  }

  void Disturb(const char* aKind,
               const char* aHost,
               int aFrom,
               int aUntil,
               bool aPlanned = false)
  {
    mHistory.disturbances.push_back(
      { At(aFrom), At(aUntil), aKind, aHost, aPlanned });
  }

  /// Adds a configuration in which all routes have the same terms.
  Published& Publish(int aMillis, std::uint64_t aVersion)
  {
    Published published{ At(aMillis), aVersion, {} };
    for (const auto kind : { Kind::kQuote,
                             Kind::kLetter,
                             Kind::kDeposit,
                             Kind::kStock,
                             Kind::kTrend,
                             Kind::kProbe }) {
      published.routes[kind].services = { "language" };
    }
    mHistory.published.push_back(published);
    return mHistory.published.back();
  }

  /// Lets the call with an index end without an answer, after a time.
  CallRecord& Cut(std::size_t aCall, int aAfterMillis = 100)
  {
    auto& call = mHistory.calls[aCall];
    call.status = http::CallStatus::kCut;
    call.endedAt = call.sentAt + Milliseconds(aAfterMillis);
    return call;
  }

  /// Removes the run of the call with an index.
  void RemoveRun(std::size_t aCall)
  {
    std::erase_if(mHistory.runs, [&](const auto& aRun) {
      return aRun.run.requestId == mHistory.calls[aCall].id;
    });
  }

  /// Returns the names of the violated guarantees, each once.
  std::string ViolatedGuarantees() const
  {
    std::string names;
    for (const auto& finding : Check(mHistory)) {
      if (names.find(finding.guarantee) == std::string::npos) {
        names += (names.empty() ? "" : "; ") + finding.guarantee;
      }
    }
    return names;
  }

  History mHistory;
};

TEST_F(Soak, AGoodHistoryHasNoFindings)
{
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, ARefusalOfWhatRanIsFound)
{
  auto& call = mHistory.calls[4];
  call.httpStatus = 503;
  call.signature.clear();
  EXPECT_EQ(ViolatedGuarantees(), "a call refused as not run did not run");
}

TEST_F(Soak, ADenialIsFound)
{
  auto& call = mHistory.calls[4];
  call.httpStatus = 401;
  call.signature.clear();
  EXPECT_EQ(ViolatedGuarantees(), "a valid call is not denied");
}

TEST_F(Soak, AnAnswerOfAnotherIsFound)
{
  mHistory.calls[4].signature = mHistory.calls[8].signature;
  EXPECT_EQ(ViolatedGuarantees(), "an answer belongs to its request");
}

TEST_F(Soak, ASuccessWithoutAServerIsFound)
{
  mHistory.calls[4].signature.clear();
  EXPECT_EQ(ViolatedGuarantees(), "a successful answer is signed by a server");
}

TEST_F(Soak, AMissingEventIsFound)
{
  auto& call = mHistory.calls[0];
  ASSERT_TRUE(TraitsOf(call.kind).stream);
  call.answer = standins::ExpectedEvents(call.target, 0, 3) +
                standins::ExpectedEvents(call.target, 4, kEvents);
  EXPECT_EQ(ViolatedGuarantees(), "a successful answer is complete");
}

TEST_F(Soak, ASecondRunIsFound)
{
  for (const auto kind : { Kind::kDeposit, Kind::kLetter }) {
    const auto call = Serve(kind, 7000);
    Run(call, "i-2", 7020, 7080);
    EXPECT_EQ(ViolatedGuarantees(), "a call runs at most once");
    mHistory.runs.pop_back();
    EXPECT_EQ(ViolatedGuarantees(), "");
  }
  const auto idempotent = Serve(Kind::kStock, 7000);
  Run(idempotent, "i-2", 7020, 7080);
  EXPECT_EQ(ViolatedGuarantees(), "");
  Run(idempotent, "i-3", 7030, 7090);
  EXPECT_EQ(ViolatedGuarantees(),
            "a call is sent to a limited number of servers");
}

TEST_F(Soak, ALateEndIsFoundUnlessItsVmWasHarmed)
{
  // The limit is 3,800 ms: the deadline and the tolerances of the checker.
  mHistory.calls[4].endedAt = mHistory.calls[4].sentAt + Milliseconds(3900);
  EXPECT_EQ(ViolatedGuarantees(), "a call ends by its deadline");
  Disturb("pause", "vm-2", 0, 4000);
  EXPECT_EQ(ViolatedGuarantees(), "a call ends by its deadline");
  Disturb("pause", "vm-1", 0, 500);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, AServerThatIsHeldIsFound)
{
  auto& call = mHistory.calls[0];
  call.callerDisconnected = true;
  call.status = http::CallStatus::kClosedLocally;
  mHistory.runs[0].run.ended = call.endedAt + Milliseconds(900);
  EXPECT_EQ(ViolatedGuarantees(),
            "a server is released when the caller disconnects");
  // A paused server notices it only when the pause ends.
  mHistory.pauses.push_back({ At(50), At(300), "i-1" });
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.pauses[0] = { At(500), At(600), "i-1" };
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.pauses[0] = { At(50), At(150), "i-1" };
  EXPECT_EQ(ViolatedGuarantees(),
            "a server is released when the caller disconnects");
}

constexpr char kPassedOn[] = "a call that was passed on ends with an answer";

// The call with index 50 is sent at 10 s.
TEST_F(Soak, ACutByPlannedWorkIsFound)
{
  Cut(50);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
  Disturb("stop", "vm-1", 9000, 12000, true);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
  mHistory.pauses.push_back({ At(9500), At(11000), "i-1" });
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
}

// Guards against faults elsewhere that hide a lost call.
TEST_F(Soak, ACutBesideAFaultOfSomethingElseIsFound)
{
  Cut(50);
  Disturb("kill", "vm-2", 9000, 11000);
  Disturb("crash", "i-2", 9000, 11000);
  Disturb("store", "store", 9000, 11000);
  Disturb("store link fault", "vm-1", 9000, 11000);
  Disturb("answers", "i-1", 9000, 11000);
  Disturb("link fault", "vm-1", 5000, 6900);
  Disturb("link fault", "vm-1", 10200, 11000);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
}

TEST_F(Soak, ACutIsExcusedByWhatCausesIt)
{
  Cut(50);
  auto& run = mHistory.runs[50].run;
  ASSERT_EQ(run.requestId, mHistory.calls[50].id);
  for (const char* host : { "", "vm-1", "i-1" }) {
    Disturb("link fault", host, 9000, 9500);
    EXPECT_EQ(ViolatedGuarantees(), "") << host;
    mHistory.disturbances.clear();
  }
  run.fault = standins::EngineFault::kCut;
  EXPECT_EQ(ViolatedGuarantees(), "");
  run.fault = standins::EngineFault::kNone;
  mHistory.serverEnds = { { At(10050), "i-1" } };
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.serverEnds = { { At(10005), "i-1" }, { At(10150), "i-1" } };
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
  mHistory.serverEnds.clear();
  mHistory.calls[50].callerDisconnected = true;
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, ACutIsExcusedByTheDeadlineOrTheTimeout)
{
  Cut(50, 2900);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
  Cut(50, 2980);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
  Cut(50, 2990);
  EXPECT_EQ(ViolatedGuarantees(), "");
  Cut(50, 2900);
  Publish(0, 1).routes[Kind::kDeposit].timeout = Milliseconds(2850);
  EXPECT_EQ(ViolatedGuarantees(), "");
  // By then, that configuration is replaced.
  Publish(5000, 2);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
}

// A stop may cut what is sent early and still runs when the time is almost up.
TEST_F(Soak, ACutAtTheEndOfAStopIsExcusedForEarlyCallsOnly)
{
  mHistory.calls[50].deadline = Seconds(5);
  Disturb("stop", "vm-1", 7100, 15100, true);
  Cut(50, 4000);
  EXPECT_EQ(ViolatedGuarantees(), "");
  Cut(50, 3000);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
  mHistory.disturbances[0].from = At(6900);
  Cut(50, 4000);
  EXPECT_EQ(ViolatedGuarantees(), kPassedOn);
}

TEST_F(Soak, AReadCallWithoutAnyAnswerIsFound)
{
  RemoveRun(50);
  Cut(50, 190);
  EXPECT_EQ(ViolatedGuarantees(), "");
  Cut(50, 210);
  Disturb("stop", "vm-1", 9000, 12000, true);
  EXPECT_EQ(ViolatedGuarantees(),
            "a call that was read is answered or refused");
  Disturb("pause", "vm-1", 9000, 9500);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, AReplacedAnswerIsFound)
{
  for (const int status : { 502, 504 }) {
    auto& call = mHistory.calls[50];
    call.httpStatus = status;
    call.signature.clear();
    EXPECT_EQ(ViolatedGuarantees(), "a sound server's answer is not replaced");
  }
  mHistory.runs[50].run.fault = standins::EngineFault::kGarbage;
  EXPECT_EQ(ViolatedGuarantees(), "");
}

// Guards against a server that is avoided although its pause has ended and its
// service has no other one.
TEST_F(Soak, AServiceThatRunsNothingAfterAPauseIsFound)
{
  Publish(0, 1).routes[Kind::kStock].services = { "speech" };
  mHistory.pauses.push_back({ At(2000), At(3000), "i-2" });
  std::erase_if(mHistory.runs, [](const auto& aRun) {
    return aRun.run.target.starts_with("/stock/");
  });
  for (int i = 0; i < 20; ++i) {
    auto& call = Serve(Kind::kStock, 3100 + i * 10);
    call.httpStatus = 503;
    call.signature.clear();
    RemoveRun(mHistory.calls.size() - 1);
  }
  const std::string found =
    "a service with a server that paused runs calls again";
  EXPECT_EQ(ViolatedGuarantees(), found);
  Disturb("link fault", "i-2", 2900, 3500);
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.disturbances.clear();
  mHistory.notices.push_back({ At(2500), "i-2", At(5500) });
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.notices.clear();
  EXPECT_EQ(ViolatedGuarantees(), found);
  Run(mHistory.calls[3], "i-2", 3400, 3420);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, ServiceThatDoesNotReturnAfterAPauseIsFound)
{
  mHistory.pauses.push_back({ At(2000), At(3000), "i-1" });
  for (int i = 0; i < 20; ++i) {
    auto& call = Serve(Kind::kStock, 4100 + i * 50);
    call.httpStatus = 503;
    call.signature.clear();
    RemoveRun(mHistory.calls.size() - 1);
  }
  EXPECT_EQ(ViolatedGuarantees(), "calls are served after a pause");
  mHistory.pauses[0].until = At(7000);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

// Guards against findings where a configuration directs more calls to a service
// than it can run, and against refusals of a service with room that are not
// found.
TEST_F(Soak, RefusalsAfterAPauseAreAllowedOfAUsedUpServiceOnly)
{
  const std::string found = "calls are served after a pause";
  const std::string overloaded = R"({"error":{"reason":"overloaded"}})";
  Publish(0, 1);
  mHistory.services = { { "i-1", "language" } };
  mHistory.pauses.push_back({ At(2000), At(3000), "i-1" });
  for (int i = 0; i < 20; ++i) {
    auto& call = Serve(Kind::kTrend, 4100 + i * 50);
    call.httpStatus = 503;
    call.signature.clear();
    call.answer = overloaded;
    RemoveRun(mHistory.calls.size() - 1);
  }
  EXPECT_EQ(ViolatedGuarantees(), found);
  for (int slot = 0; slot < mHistory.slotsPerServer; ++slot) {
    EXPECT_EQ(ViolatedGuarantees(), found);
    const auto call = Serve(Kind::kTrend, 3500);
    RemoveRun(mHistory.calls.size() - 1);
    Run(call, "i-1", 3510, 7100);
  }
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.services["i-2"] = "language";
  EXPECT_EQ(ViolatedGuarantees(), found);
  mHistory.services.erase("i-2");
  for (auto& call : mHistory.calls) {
    call.answer = call.answer == overloaded ? "" : call.answer;
  }
  EXPECT_EQ(ViolatedGuarantees(), found);
}

TEST_F(Soak, AServiceThatNoConfigurationAllowsIsFound)
{
  Publish(0, 1);
  mHistory.runs[50].server = "i-2";
  EXPECT_EQ(ViolatedGuarantees(), "a call runs at a service of its route");
  // A configuration applies 2.3 s after it was published, at the latest.
  Publish(7000, 2).routes[Kind::kDeposit].services = { "speech" };
  mHistory.published[0].routes[Kind::kDeposit].services = { "speech" };
  EXPECT_EQ(ViolatedGuarantees(), "a call runs at a service of its route");
}

TEST_F(Soak, TermsOfTheConfigurationsInForceApply)
{
  const auto call = Serve(Kind::kStock, 7000);
  Run(call, "i-1", 7020, 7080);
  Publish(0, 1).routes[Kind::kStock].attempts = 1;
  EXPECT_EQ(ViolatedGuarantees(),
            "a call is sent to a limited number of servers");
  Publish(6000, 2);
  EXPECT_EQ(ViolatedGuarantees(), "");
  auto& denied = Serve(Kind::kTrend, 7500);
  denied.httpStatus = 404;
  denied.signature.clear();
  RemoveRun(mHistory.calls.size() - 1);
  EXPECT_EQ(ViolatedGuarantees(), "a valid call is not denied");
  mHistory.published[0].routes.erase(Kind::kTrend);
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.published[1].at = At(5000);
  EXPECT_EQ(ViolatedGuarantees(), "a valid call is not denied");
}

TEST_F(Soak, WhatNobodyAskedIsFound)
{
  CallRecord stranger = mHistory.calls[0];
  stranger.id = "unknown";
  Run(stranger, "i-1", 100, 200);
  EXPECT_EQ(ViolatedGuarantees(),
            "a server runs a request as its caller sent it");
  mHistory.runs.pop_back();
  mHistory.runs[0].run.credential = "key-of-planners";
  EXPECT_EQ(ViolatedGuarantees(),
            "a server runs a request as its caller sent it");
}

TEST_F(Soak, WorkForALeavingServerIsFound)
{
  mHistory.notices.push_back({ At(5000), "i-1", At(8000) });
  EXPECT_EQ(ViolatedGuarantees(), "a leaving server gets no new requests");
  // Requests that were held up on the way to the server arrive late.
  Disturb("link fault", "i-2", 5000, 8000);
  EXPECT_EQ(ViolatedGuarantees(), "a leaving server gets no new requests");
  Disturb("link fault", "i-1", 5000, 7800);
  EXPECT_EQ(ViolatedGuarantees(), "");
  mHistory.disturbances.clear();
  mHistory.notices[0].replacedAt = At(7200);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, AConfigurationThatIsLateIsFound)
{
  Publish(0, 1);
  Publish(4000, 2);
  auto& early = Serve(Kind::kProbe, 5000, 2);
  early.httpStatus = 404;
  early.signature.clear();
  mHistory.runs.pop_back();
  EXPECT_EQ(ViolatedGuarantees(), "");
  auto& late = Serve(Kind::kProbe, 6500, 2);
  late.httpStatus = 404;
  late.signature.clear();
  mHistory.runs.pop_back();
  EXPECT_EQ(ViolatedGuarantees(), "a configuration becomes active in time");
  Disturb("store", "store", 4100, 4200);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, ADroppedRouteThatStaysIsFound)
{
  Publish(0, 1);
  Publish(4000, 2);
  Serve(Kind::kProbe, 5000, 1);
  EXPECT_EQ(ViolatedGuarantees(), "");
  Serve(Kind::kProbe, 6500, 1);
  EXPECT_EQ(ViolatedGuarantees(), "a removed route becomes inactive in time");
}

TEST_F(Soak, AConfigurationThatRevertsIsFound)
{
  Publish(0, 1);
  Publish(4000, 2);
  Serve(Kind::kProbe, 4200, 2);
  Serve(Kind::kProbe, 4700, 1);
  EXPECT_EQ(ViolatedGuarantees(), "a configuration does not revert");
  Disturb("kill", "vm-1", 4350, 4500);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, AQuotaThatIsExceededIsFound)
{
  // 1,000 units per second for 2 s plus a burst of 1,000, plus 25% tolerance:
  // 26 calls of 140 units.
  for (int i = 0; i < 27; ++i) {
    if (i == 26) {
      EXPECT_EQ(ViolatedGuarantees(), "");
    }
    Serve(Kind::kQuote, 2000 + i * 10).team = "cutters";
    mHistory.runs.back().run.team = "cutters";
  }
  EXPECT_EQ(ViolatedGuarantees(), "a quota is kept by all VMs together");
  // A call that was sent before the window and waited does not count in it. The
  // window begins at 270 ms.
  const auto first =
    std::find_if(mHistory.calls.begin(),
                 mHistory.calls.end(),
                 [](const auto& aCall) { return aCall.team == "cutters"; });
  first->sentAt = At(280);
  EXPECT_EQ(ViolatedGuarantees(), "a quota is kept by all VMs together");
  first->sentAt = At(260);
  EXPECT_EQ(ViolatedGuarantees(), "");
}

TEST_F(Soak, ServiceThatDoesNotReturnIsFound)
{
  for (auto& call : mHistory.calls) {
    if (call.sentAt > mHistory.faultsEndedAt) {
      call.httpStatus = 504;
      call.signature.clear();
      std::erase_if(mHistory.runs, [&](const auto& aRun) {
        return aRun.run.requestId == call.id;
      });
    }
  }
  EXPECT_EQ(ViolatedGuarantees(), "most calls are served after the faults end");
}

} // namespace
} // namespace magnoliatide::soak
