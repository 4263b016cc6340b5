// Sliding windows of requests and retries.
#include "magnoliatide/policy/retry_budget.h"

namespace magnoliatide::policy {

namespace {

/// Fraction of the budget that is used. The rest is a margin, as the windows of
/// different VMs do not start at the same time.
constexpr double kUsableFraction = 0.7;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
RetryBudget::Expire(Service& aService, TimePoint aNow) const
{
  const TimePoint from = aNow - mOptions.window;
  for (auto* times : { &aService.requests, &aService.retries }) {
    while (!times->empty() && times->front() < from) {
      times->pop_front();
    }
  }
  std::erase_if(aService.remote,
                [&](const auto& aEntry) { return aEntry.second.at < from; });
}

void
RetryBudget::RecordRequest(const std::string& aService, TimePoint aNow)
{
  auto& service = mServices[aService];
  Expire(service, aNow);
  service.requests.push_back(aNow);
}

bool
RetryBudget::Take(const std::string& aService, TimePoint aNow)
{
  auto& service = mServices[aService];
  Expire(service, aNow);
  double requests = static_cast<double>(service.requests.size());
  double retries = static_cast<double>(service.retries.size());
  for (const auto& [vm, remote] : service.remote) {
    requests += remote.counts.requests;
    retries += remote.counts.retries;
  }
  const double allowed =
    kUsableFraction * (mOptions.ratio * requests + mOptions.slack * mShare);
  if (retries + 1 > allowed) {
    return false;
  }
  service.retries.push_back(aNow);
  return true;
}

void
RetryBudget::Refund(const std::string& aService)
{
  auto& retries = mServices[aService].retries;
  if (!retries.empty()) {
    retries.pop_back();
  }
}

void
RetryBudget::SetRemoteUsage(const std::string& aService,
                            std::uint64_t aVm,
                            RetryCounts aCounts,
                            TimePoint aNow)
{
  mServices[aService].remote[aVm] = { aCounts, aNow };
}

RetryCounts
RetryBudget::CountsOf(const std::string& aService, TimePoint aNow)
{
  auto& service = mServices[aService];
  Expire(service, aNow);
  return { static_cast<double>(service.requests.size()),
           static_cast<double>(service.retries.size()) };
}

} // namespace magnoliatide::policy
