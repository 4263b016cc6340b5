// Fleet-wide retry budget: within a sliding window, retries of a service are
// limited to a fraction of its requests plus a constant.
#ifndef MAGNOLIATIDE_POLICY_RETRY_BUDGET_H
#define MAGNOLIATIDE_POLICY_RETRY_BUDGET_H

#include "magnoliatide/core/time.h"

#include <deque>
#include <map>
#include <string>

namespace magnoliatide::policy {

/// Limit of the retries of each service.
struct RetryBudgetOptions
{
  double ratio = 0.1; ///< Retries allowed per request.
  double slack = 20;  ///< Retries allowed per window in addition.
  Duration window = Seconds(10);
};

/// Requests and retries counted in a window.
struct RetryCounts
{
  double requests = 0;
  double retries = 0;
};

/// Limits the retries of each service.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /// Limits this budget to a fraction of the slack. The rest is granted by
  /// other VMs.
  void SetShare(double aShare) { mShare = aShare; }

  /// Counts a request, which raises the number of retries allowed.
  void RecordRequest(const std::string& aService, TimePoint aNow);

  /// Takes one retry from the budget. Returns whether one was available.
  bool Take(const std::string& aService, TimePoint aNow);

  /// Returns a retry that was taken and not sent.
  void Refund(const std::string& aService);

  /// Replaces the requests and retries that budgets at other VMs counted for a
  /// VM in its last window.
  void SetRemoteUsage(const std::string& aService,
                      std::uint64_t aVm,
                      RetryCounts aCounts,
                      TimePoint aNow);

  /// Returns the requests and retries that this budget counted in the window.
  RetryCounts CountsOf(const std::string& aService, TimePoint aNow);

private:
  struct RemoteCounts
  {
    RetryCounts counts;
    TimePoint at;
  };

  struct Service
  {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    std::map<std::uint64_t, RemoteCounts> remote; ///< By VM.
  };

  void Expire(Service& aService, TimePoint aNow) const;

  RetryBudgetOptions mOptions;
  double mShare = 1;
  std::map<std::string, Service> mServices;
};

} // namespace magnoliatide::policy

#endif
