// How the allocator treats requests that are suspected of crashing servers.
#include "magnoliatide/policy/allocator.h"

#include <algorithm>
#include <iterator>

namespace magnoliatide::policy {

namespace {

/// A suspected request that has not begun after this time no longer holds up
/// others with the same trait.
constexpr Duration kMaxTrialTime = Seconds(2);

/// Retry time of a request that is not expected to be served later either.
constexpr Duration kHarmfulRetryAfter = Seconds(5);

} // namespace

void
Allocator::RecordOwnRun(const JobKey& aKey,
                        const Job& aJob,
                        const std::string& aServer,
                        bool aTrial,
                        const SendReport& aReport,
                        TimePoint aNow)
{
  InterruptedRun run;
  run.trial = aTrial;
  run.incarnation = { aServer, StartOf(aJob.service, aServer) };
  run.key = aKey;
  run.own = true;
  // Only the VM that decides knows how many requests the server got.
  RecordCrashEvidence(std::move(run), aJob, aReport, false, aNow);
}

void
Allocator::RecordCrashEvidence(InterruptedRun aRun,
                               const Job& aJob,
                               const SendReport& aReport,
                               bool aOverloaded,
                               TimePoint aNow)
{
  const auto server = aRun.incarnation.server;
  const auto result = aReport.result;
  if (aReport.HasBegun()) {
    mSuspects.RecordBegin(TraitsOf(aJob), aNow);
  } else if (result == SendResult::kCut) {
    aRun.traits = TraitsOf(aJob);
  }
  // A cold server that got more than it tolerates crashes whatever it runs.
  if (result == SendResult::kCut && !aOverloaded) {
    mSuspects.RecordInterruption(aRun, aNow);
  }
  if (result == SendResult::kNotSent || result == SendResult::kMoved ||
      aReport.serverDown) {
    mSuspects.RecordServerLoss(server, aNow);
  }
}

/// Rejects a request that is known to crash servers. Returns whether it did.
bool
Allocator::RejectHarmful(const WaitingJob& aWaiting,
                         const std::vector<Trait>& aTraits,
                         TimePoint aNow,
                         Allocations& aOut)
{
  if (mSuspects.StandingOf(aTraits, aNow) != CrashStanding::kHarmful) {
    return false;
  }
  Reject(aWaiting,
         RejectReason::kHarmful,
         kHarmfulRetryAfter,
         mSuspects.Describe(aTraits, aNow),
         aOut);
  return true;
}

/// Returns whether a request that shares a suspect trait is running and has not
/// begun its answer. If it crashes its server, its traits need not crash
/// another one meanwhile.
bool
Allocator::IsTrialRunning(const Service& aService,
                          const std::vector<Trait>& aTraits,
                          TimePoint aNow) const
{
  std::vector<Trait> suspects;
  std::copy_if(aTraits.begin(),
               aTraits.end(),
               std::back_inserter(suspects),
               [&](Trait aTrait) { return mSuspects.IsSuspect(aTrait, aNow); });
  if (suspects.empty()) {
    return false;
  }
  return aService.pool.AnyRunning([&](const RunningJob& aRunning) {
    if (aRunning.firstEventSeen || aNow - aRunning.sent > kMaxTrialTime) {
      return false;
    }
    const auto traits = TraitsOf(aRunning.job);
    return std::any_of(suspects.begin(), suspects.end(), [&](Trait aTrait) {
      return std::find(traits.begin(), traits.end(), aTrait) != traits.end();
    });
  });
}

/// Clears the traits of suspected requests whose answers have begun and whose
/// servers have stayed up since.
void
Allocator::ClearBegunTrials(TimePoint aNow)
{
  for (auto at = mBegunTrials.begin(); at != mBegunTrials.end();) {
    auto& [key, since] = *at;
    auto* service = FindServiceRunning(key);
    const auto traits = service != nullptr
                          ? TraitsOf(service->pool.FindRunning(key)->job)
                          : std::vector<Trait>();
    if (mSuspects.StandingOf(traits, aNow) == CrashStanding::kNone) {
      at = mBegunTrials.erase(at);
      continue;
    }
    since = since == TimePoint{} ? aNow : since;
    if (aNow - since < SendReport::kBeginTime) {
      ++at;
      continue;
    }
    mSuspects.RecordBegin(traits, aNow);
    at = mBegunTrials.erase(at);
  }
}

} // namespace magnoliatide::policy
