// Queue order, sums of queued work and arrival rates.
#include "magnoliatide/policy/dispatch_queue.h"

#include <cmath>
#include <iterator>

namespace magnoliatide::policy {

namespace {

/// Time constant of the moving average of arrivals.
constexpr double kAveragingSeconds = 1;

} // namespace

DispatchQueue::QueueKey
DispatchQueue::QueueKeyOf(const WaitingJob& aJob)
{
  return {
    aJob.job.overQuota, aJob.job.tier, aJob.rank, aJob.startTag, aJob.sequence
  };
}

DispatchQueue::GroupKey
DispatchQueue::GroupKeyOf(const WaitingJob& aJob)
{
  return { aJob.job.overQuota, aJob.job.tier, aJob.rank };
}

void
DispatchQueue::Add(WaitingJob aJob)
{
  auto& group = mGroups[GroupKeyOf(aJob)];
  group.work += aJob.work;
  group.requests += 1;
  const auto key = aJob.key;
  const auto at = mJobs.emplace(QueueKeyOf(aJob), std::move(aJob)).first;
  mByJob[key] = at;
}

void
DispatchQueue::Erase(Jobs::iterator aPosition)
{
  const auto& job = aPosition->second;
  const auto group = mGroups.find(GroupKeyOf(job));
  group->second.work -= job.work;
  group->second.requests -= 1;
  if (group->second.requests == 0) {
    mGroups.erase(group);
  }
  mByJob.erase(job.key);
  mJobs.erase(aPosition);
}

bool
DispatchQueue::Remove(const JobKey& aKey)
{
  const auto found = mByJob.find(aKey);
  if (found == mByJob.end()) {
    return false;
  }
  Erase(found->second);
  return true;
}

std::vector<WaitingJob>
DispatchQueue::RemoveOfVm(std::uint64_t aVm)
{
  std::vector<WaitingJob> removed;
  auto at = mByJob.lower_bound({ aVm, 0 });
  while (at != mByJob.end() && at->first.vm == aVm) {
    const auto job = at->second;
    ++at;
    removed.push_back(job->second);
    Erase(job);
  }
  return removed;
}

const WaitingJob*
DispatchQueue::Find(const JobKey& aKey) const
{
  const auto found = mByJob.find(aKey);
  return found == mByJob.end() ? nullptr : &found->second->second;
}

void
DispatchQueue::Clear()
{
  mJobs.clear();
  mByJob.clear();
  mGroups.clear();
}

QueuedWork
DispatchQueue::Ahead(const WaitingJob& aJob) const
{
  const GroupKey own = GroupKeyOf(aJob);
  QueuedWork ahead;
  for (const auto& [group, sum] : mGroups) {
    if (group >= own) {
      break;
    }
    ahead.work += sum.work;
    ahead.requests += sum.requests;
  }
  const auto group = mGroups.find(own);
  if (group == mGroups.end()) {
    return ahead;
  }
  // Iterates from the request towards both ends of its group at once and stops
  // at the nearer end. If that is the back, the sum of the front follows from
  // the sum of the group.
  const auto inGroup = [&](const Jobs::const_iterator& aPosition) {
    return GroupKeyOf(aPosition->second) == own;
  };
  QueuedWork before;
  QueuedWork after;
  auto upward = mJobs.lower_bound(QueueKeyOf(aJob));
  auto downward = upward;
  while (true) {
    if (downward == mJobs.begin() || !inGroup(std::prev(downward))) {
      break;
    }
    if (upward == mJobs.end() || !inGroup(upward)) {
      before.work = group->second.work - after.work;
      before.requests = group->second.requests - after.requests;
      break;
    }
    --downward;
    before.work += downward->second.work;
    before.requests += 1;
    after.work += upward->second.work;
    after.requests += 1;
    ++upward;
  }
  ahead.work += before.work;
  ahead.requests += before.requests;
  return ahead;
}

void
ArrivalRate::Record(int aTier, double aWork, TimePoint aNow)
{
  auto& tier = mTiers[aTier];
  const double age = ToSeconds(aNow - tier.at);
  tier.rate =
    tier.rate * std::exp(-age / kAveragingSeconds) + aWork / kAveragingSeconds;
  tier.at = aNow;
}

double
ArrivalRate::RateAbove(int aTier, bool aIncludeOwn, TimePoint aNow) const
{
  double rate = 0;
  for (const auto& [tierNumber, tier] : mTiers) {
    if (tierNumber > aTier || (tierNumber == aTier && !aIncludeOwn)) {
      break;
    }
    rate +=
      tier.rate * std::exp(-ToSeconds(aNow - tier.at) / kAveragingSeconds);
  }
  return rate;
}

} // namespace magnoliatide::policy
