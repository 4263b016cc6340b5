// Token bucket for the rate limit of a server.
#include "magnoliatide/policy/server_rate_limit.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// Requests that all VMs together may send at once after a pause.
constexpr double kBurst = 2;

/// Limits below this are treated as this: a server that gets no request cannot
/// name another limit.
constexpr double kMinPerSecond = 0.2;

/// How far sends of other VMs can delay the next one, in requests.
constexpr double kMaxDebt = 4;

} // namespace

void
ServerRateLimit::Merge(const RateLimitNotice& aNotice, TimePoint aNow)
{
  Settle(aNow);
  const bool wasActive = IsActive();
  if (!aNotice.perSecond) {
    mLiftedAt = std::max(mLiftedAt, aNotice.at);
    return;
  }
  if (aNotice.at >= mNamedAt) {
    mNamedAt = aNotice.at;
    mPerSecond = std::max(*aNotice.perSecond, kMinPerSecond);
  }
  if (!wasActive && IsActive()) {
    // A VM that learns of the limit does not know what others have just sent.
    mLevel = 0;
  }
}

bool
ServerRateLimit::Allows(TimePoint aNow) const
{
  return !IsActive() || LevelAt(aNow) >= 1;
}

void
ServerRateLimit::RecordSend(TimePoint aNow)
{
  if (IsActive()) {
    Settle(aNow);
    mLevel = std::max(mLevel - 1, -kMaxDebt);
  }
}

std::optional<double>
ServerRateLimit::Rate() const
{
  return IsActive() ? std::optional(mPerSecond * mShare) : std::nullopt;
}

double
ServerRateLimit::LevelAt(TimePoint aNow) const
{
  const double seconds = std::max(0.0, ToSeconds(aNow - mSettledAt));
  return std::min(std::max(1.0, kBurst * mShare),
                  mLevel + seconds * mPerSecond * mShare);
}

/// Moves the level to the present.
void
ServerRateLimit::Settle(TimePoint aNow)
{
  mLevel = LevelAt(aNow);
  mSettledAt = std::max(mSettledAt, aNow);
}

} // namespace magnoliatide::policy
