// Sliding windows of team usage.
#include "magnoliatide/policy/quota_tracker.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// From this number of accounts on, those without usage are removed.
constexpr std::size_t kMaxAccounts = 4096;

/// Fraction of the units allowed above a quota that is granted. The rest covers
/// requests in transit between VMs, which are not counted yet.
constexpr double kUsableExcessFraction = 0.75;

/// Lower bound of the known fraction, so that some units can be used although
/// the usage in the window is unknown.
constexpr double kMinKnownFraction = 0.15;

} // namespace

QuotaTracker::QuotaTracker(QuotaOptions aOptions)
  : mOptions(aOptions)
{
}

double
QuotaTracker::QuotaInWindow(const routing::Quota& aQuota) const
{
  const double fullQuota =
    aQuota.perSecond * ToSeconds(mOptions.window) + aQuota.burst;
  return fullQuota * mShare *
         std::clamp(mKnownFraction, kMinKnownFraction, 1.0);
}

double
QuotaTracker::LimitInWindow(const routing::Quota& aQuota) const
{
  const double slack = mOptions.slack * mShare *
                       std::clamp(mKnownFraction, kMinKnownFraction, 1.0);
  const double quotaUnits = QuotaInWindow(aQuota);
  return quotaUnits +
         kUsableExcessFraction * (quotaUnits * mOptions.overage + slack);
}

double
QuotaTracker::UsedInWindow(Account& aAccount, TimePoint aNow) const
{
  const TimePoint from = aNow - mOptions.window;
  while (!aAccount.charges.empty() && aAccount.charges.front().at < from) {
    aAccount.charged -= aAccount.charges.front().units;
    aAccount.charges.pop_front();
  }
  std::erase_if(aAccount.remote,
                [&](const auto& aEntry) { return aEntry.second.at < from; });
  double used = aAccount.charged;
  for (const auto& [vm, charge] : aAccount.remote) {
    used += charge.units;
  }
  return used;
}

QuotaResult
QuotaTracker::Take(const routing::Team& aTeam, double aUnits, TimePoint aNow)
{
  const auto& quota = aTeam.quota;
  if (!quota.IsBounded()) {
    return QuotaResult::kWithinQuota;
  }
  Trim(aNow);
  auto& account = mAccounts[aTeam.name];
  const double quotaUnits = QuotaInWindow(quota);
  const double limit = LimitInWindow(quota);
  const double used = UsedInWindow(account, aNow);
  // A request larger than the whole limit is accepted in an empty window.
  if (used + std::min(aUnits, limit) > limit) {
    return QuotaResult::kOverLimit;
  }
  account.charges.push_back({ aNow, aUnits });
  account.charged += aUnits;
  return used + std::min(aUnits, quotaUnits) > quotaUnits
           ? QuotaResult::kOverQuota
           : QuotaResult::kWithinQuota;
}

void
QuotaTracker::RefundUnits(const routing::Team& aTeam, double aUnits)
{
  const auto found = mAccounts.find(aTeam.name);
  if (found == mAccounts.end()) {
    return;
  }
  auto& charges = found->second.charges;
  const auto charge =
    std::find_if(charges.rbegin(), charges.rend(), [&](const auto& aCharge) {
      return aCharge.units == aUnits;
    });
  if (charge != charges.rend()) {
    found->second.charged -= aUnits;
    charges.erase(std::next(charge).base());
  }
}

Duration
QuotaTracker::UntilWithinQuota(const routing::Team& aTeam,
                               double aUnits,
                               TimePoint aNow)
{
  auto& account = mAccounts[aTeam.name];
  double excess =
    UsedInWindow(account, aNow) + aUnits - QuotaInWindow(aTeam.quota);
  if (excess <= 0) {
    return Duration::zero();
  }
  for (const auto& charge : account.charges) {
    excess -= charge.units;
    if (excess <= 0) {
      return charge.at + mOptions.window - aNow;
    }
  }
  return mOptions.window;
}

std::string
QuotaTracker::Describe(const routing::Team& aTeam, TimePoint aNow)
{
  const auto toInteger = [](double aUnits) {
    return std::to_string(static_cast<std::int64_t>(aUnits));
  };
  auto& account = mAccounts[aTeam.name];
  const double used = UsedInWindow(account, aNow);
  return "used " + toInteger(used) + ", " + toInteger(used - account.charged) +
         " of it remote, quota " + toInteger(QuotaInWindow(aTeam.quota)) +
         ", limit " + toInteger(LimitInWindow(aTeam.quota));
}

void
QuotaTracker::SetRemoteUsage(const std::string& aTeam,
                             std::uint64_t aVm,
                             double aUnits,
                             TimePoint aNow)
{
  mAccounts[aTeam].remote[aVm] = { aNow, aUnits };
}

void
QuotaTracker::Trim(TimePoint aNow)
{
  if (mAccounts.size() < kMaxAccounts) {
    return;
  }
  for (auto at = mAccounts.begin(); at != mAccounts.end();) {
    const bool used = UsedInWindow(at->second, aNow) > 0;
    at = used ? std::next(at) : mAccounts.erase(at);
  }
}

} // namespace magnoliatide::policy
