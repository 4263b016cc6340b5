// Token bucket for a cold server, and the rise of its rate afterwards.
#include "magnoliatide/policy/server_warmup.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Requests that may be sent at once after a pause.
constexpr double kBurst = 1;

/// How long the permitted rate rises after the cold time. The end of the cold
/// time is known only as well as the server's last report.
constexpr Duration kRampTime = Seconds(1);

/// The permitted rate at the end of the rise, as a multiple of the cold rate.
constexpr double kRampFactor = 8;

/// Limits below this are treated as this, so that a cold server is used.
constexpr double kMinPerSecond = 0.2;

/// How far sends of other VMs can delay the next one, in requests.
constexpr double kMaxDebt = 4;

/// Number of sends that are remembered.
constexpr std::size_t kMaxSends = 64;

constexpr Duration kSendMemory = Seconds(1);

} // namespace

double
PermittedColdRate(const ColdLimit& aLimit, const ColdBounds& aBounds)
{
  if (aLimit.perSecond <= 0) {
    return 0;
  }
  const double bound = aLimit.perSecond * aBounds.overage + aBounds.slack;
  return std::max(kMinPerSecond,
                  std::min(aLimit.perSecond, bound / 2 - kBurst));
}

void
ServerWarmup::BeginCold(double aPerSecond, Duration aTime, TimePoint aNow)
{
  if (aTime <= Duration::zero()) {
    return;
  }
  mColdUntil = std::max<TimePoint>(mColdUntil, aNow + aTime);
  Limit(aPerSecond, mColdUntil + kRampTime, aNow);
}

void
ServerWarmup::BeginRamp(double aPerSecond, TimePoint aNow)
{
  if (!IsCold(aNow)) {
    mColdUntil = aNow;
    Limit(aPerSecond, aNow + kRampTime, aNow);
  }
}

/// Limits the rate until a time. A VM that learns of the limit does not know
/// what others have just sent, so it starts without a request to spend.
void
ServerWarmup::Limit(double aPerSecond, TimePoint aUntil, TimePoint aNow)
{
  const bool wasLimited = IsLimited(aNow);
  Settle(aNow);
  mPerSecond = std::max(aPerSecond, kMinPerSecond);
  mLimitedUntil = std::max(mLimitedUntil, aUntil);
  mLevel = wasLimited ? mLevel : std::min(mLevel, 0.0);
}

void
ServerWarmup::SetPermitted(bool aPermitted, TimePoint aNow)
{
  if (aPermitted == mPermitted) {
    return;
  }
  Settle(aNow);
  mPermitted = aPermitted;
  // Another VM may have decided until now.
  mLevel = std::min(mLevel, 0.0);
}

bool
ServerWarmup::Allows(TimePoint aNow) const
{
  if (!IsLimited(aNow)) {
    return true;
  }
  return (mPermitted || !IsCold(aNow)) && LevelAt(aNow) >= 1;
}

void
ServerWarmup::RecordSend(TimePoint aNow)
{
  mSends.push_back(aNow);
  while (mSends.size() > kMaxSends || aNow - mSends.front() >= kSendMemory) {
    mSends.pop_front();
  }
  if (IsLimited(aNow)) {
    Settle(aNow);
    mLevel = std::max(mLevel - 1, -kMaxDebt);
  }
}

std::optional<double>
ServerWarmup::Rate(TimePoint aNow) const
{
  if (!IsLimited(aNow)) {
    return std::nullopt;
  }
  if (IsCold(aNow)) {
    return mPermitted ? mPerSecond : 0;
  }
  const double done = ToSeconds(aNow - mColdUntil) / ToSeconds(kRampTime);
  return mPerSecond * (1 + (kRampFactor - 1) * std::clamp(done, 0.0, 1.0));
}

bool
ServerWarmup::IsOverloaded(TimePoint aNow) const
{
  if (!IsCold(aNow)) {
    return false;
  }
  const auto recent =
    std::count_if(mSends.begin(), mSends.end(), [&](TimePoint aAt) {
      return aNow - aAt < kSendMemory;
    });
  return static_cast<double>(recent) > mPerSecond + kBurst;
}

Duration
ServerWarmup::TimeLeft(TimePoint aNow) const
{
  return std::max<Duration>(mColdUntil - aNow, Duration::zero());
}

double
ServerWarmup::LevelAt(TimePoint aNow) const
{
  // The rate rises only slowly, so its value now serves for the short time
  // since the last change.
  const double rate = Rate(aNow).value_or(mPerSecond);
  const double seconds = std::max(0.0, ToSeconds(aNow - mSettledAt));
  return std::min(kBurst, mLevel + seconds * rate);
}

/// Moves the level to the present.
void
ServerWarmup::Settle(TimePoint aNow)
{
  mLevel = LevelAt(aNow);
  mSettledAt = std::max(mSettledAt, aNow);
}

} // namespace magnoliatide::policy
