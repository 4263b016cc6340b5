// Health of servers, derived from the results of requests.
#include "magnoliatide/policy/server_health.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Transport failures without a success in between that mark a server as down.
constexpr int kTransportFailuresUntilDown = 2;

/// Weight of the latest request in the failure rate.
constexpr double kFailureSampleWeight = 0.2;

/// A server is marked as down if its failure rate exceeds the expected one by
/// more than this.
constexpr double kMaxExcessFailureRate = 0.3;

constexpr Duration kInitialProbeDelay = Milliseconds(400);
constexpr Duration kMaxProbeDelay = Seconds(3);

/// Time after which another probe may be sent although the last has not ended.
constexpr Duration kProbeTimeout = Seconds(1);

/// Returns whether the server could not be reached or sent no complete
/// response.
bool
IsTransportFailure(SendResult aResult)
{
  return aResult == SendResult::kCut || aResult == SendResult::kSilent ||
         aResult == SendResult::kNotSent || aResult == SendResult::kUnreachable;
}

} // namespace

void
ServerHealth::Record(SendResult aResult,
                     double aExpectedFailureRate,
                     TimePoint aNow)
{
  if (aResult == SendResult::kCancelled || aResult == SendResult::kNotRun ||
      aResult == SendResult::kFull || aResult == SendResult::kMoved) {
    return;
  }
  const bool failed = aResult != SendResult::kWhole;
  mFailureRate += kFailureSampleWeight * ((failed ? 1.0 : 0.0) - mFailureRate);
  if (!failed) {
    mTransportFailures = 0;
    mSilences = 0;
    mDownBySilence = false;
    if (mDown) {
      mDown = false;
      mProbeDelay = Duration::zero();
      mFailureRate = std::min(mFailureRate, aExpectedFailureRate);
    }
    return;
  }
  if (IsTransportFailure(aResult)) {
    mTransportFailures += 1;
  }
  const bool failing =
    mFailureRate > aExpectedFailureRate + kMaxExcessFailureRate;
  // A server that cannot be connected to is marked as down at once; other
  // transport failures need to be repeated.
  const bool unreachable =
    aResult == SendResult::kNotSent || aResult == SendResult::kUnreachable;
  if (mDown || unreachable || failing ||
      mTransportFailures >= kTransportFailuresUntilDown) {
    MarkDown(aNow);
  }
}

void
ServerHealth::RecordSilence(double aExpectedFailureRate, TimePoint aNow)
{
  const bool wasDown = mDown;
  Record(SendResult::kSilent, aExpectedFailureRate, aNow);
  mSilences += 1;
  mDownBySilence = mDownBySilence || (mDown && !wasDown);
}

void
ServerHealth::RecordSilenceEnd()
{
  mTransportFailures -= std::min(mSilences, mTransportFailures);
  mSilences = 0;
  if (mDownBySilence) {
    mDownBySilence = false;
    mDown = false;
    mProbeDelay = Duration::zero();
    mFailureRate = 0;
  }
}

void
ServerHealth::MarkDown(TimePoint aNow)
{
  if (mDown && aNow < mProbeAt) {
    return;
  }
  mProbeDelay = mDown ? std::min<Duration>(mProbeDelay * 2, kMaxProbeDelay)
                      : kInitialProbeDelay;
  mDown = true;
  mProbeAt = aNow + mProbeDelay;
}

void
ServerHealth::RecordProbe(TimePoint aNow)
{
  mProbeAt = aNow + kProbeTimeout;
}

HealthState
ServerHealth::StateAt(TimePoint aNow) const
{
  if (!mDown) {
    return HealthState::kGood;
  }
  return aNow >= mProbeAt ? HealthState::kProbe : HealthState::kDown;
}

} // namespace magnoliatide::policy
