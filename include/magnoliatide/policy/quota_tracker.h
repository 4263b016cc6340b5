// Fleet-wide team quotas: a limit on the units that all VMs together grant in a
// sliding window. Units are requests or tokens, see routing::Quota. Requests
// between the quota and a higher limit are over quota: they may be served if no
// other requests need the servers.
#ifndef MAGNOLIATIDE_POLICY_QUOTA_TRACKER_H
#define MAGNOLIATIDE_POLICY_QUOTA_TRACKER_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/routing/table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace magnoliatide::policy {

struct QuotaOptions
{
  Duration window = Seconds(8); ///< Length of the sliding window.
  double overage = 0; ///< Allowed above the quota, as a fraction of it.
  double slack = 0;   ///< Allowed in addition, in units per window.
};

/// Result of taking units from a team's quota.
enum class QuotaResult
{
  kWithinQuota, ///< Within the quota.
  kOverQuota,   ///< Above the quota, within the limit.
  kOverLimit,   ///< Above the limit; no units were taken.
};

/// Tracks the usage of each team and grants units of its quota.
class QuotaTracker
{
public:
  explicit QuotaTracker(QuotaOptions aOptions);

  /// Limits this tracker to a fraction of each quota. The rest is granted by
  /// other VMs.
  void SetShare(double aShare) { mShare = aShare; }

  /// Sets the fraction of the last window for which the usage is known. It is
  /// below 1 while a VM has run for less than a window, as the units that were
  /// used before a restart are unknown.
  void SetKnownFraction(double aFraction) { mKnownFraction = aFraction; }

  Duration Window() const { return mOptions.window; }

  /// Takes units from a team's quota unless they exceed its limit. A request
  /// larger than the limit is accepted if the window is otherwise empty.
  QuotaResult Take(const routing::Team& aTeam, double aUnits, TimePoint aNow);

  /// Refunds the units of a request that was not sent.
  void RefundUnits(const routing::Team& aTeam, double aUnits);

  /// Returns the time until a team can take units within its quota.
  Duration UntilWithinQuota(const routing::Team& aTeam,
                            double aUnits,
                            TimePoint aNow);

  /// Returns a team's usage, quota and limit in the window, for the log.
  std::string Describe(const routing::Team& aTeam, TimePoint aNow);

  /// Replaces the units that trackers at other VMs granted to a VM in its last
  /// window.
  void SetRemoteUsage(const std::string& aTeam,
                      std::uint64_t aVm,
                      double aUnits,
                      TimePoint aNow);

private:
  struct Charge
  {
    TimePoint at;
    double units = 0;
  };

  struct Account
  {
    std::deque<Charge> charges; ///< Charges in the window, the oldest first.
    double charged = 0;         ///< Sum of charges.
    std::map<std::uint64_t, Charge> remote; ///< By VM, as last reported.
  };

  /// Returns the units within the quota in a window.
  double QuotaInWindow(const routing::Quota& aQuota) const;
  /// Returns the units allowed in a window, including those above the quota.
  double LimitInWindow(const routing::Quota& aQuota) const;
  double UsedInWindow(Account& aAccount, TimePoint aNow) const;
  /// Removes unused accounts once there are many.
  void Trim(TimePoint aNow);

  QuotaOptions mOptions;
  double mShare = 1;
  double mKnownFraction = 1;
  std::map<std::string, Account> mAccounts;
};

} // namespace magnoliatide::policy

#endif
