// Shares of a VM, from the live VMs and the requests that it receives.
#include "magnoliatide/fleet/coordinator_shares.h"

#include "magnoliatide/fleet/ranking.h"

#include <algorithm>

namespace magnoliatide::fleet {

namespace {

/// How long this VM counts as a coordinator of another VM after the last
/// request from it.
constexpr Duration kRequestLifetime = Seconds(1);

/// A VM that has started and has learned of no further VM for this time knows
/// of all that it can reach.
constexpr Duration kSettleTime = Seconds(1);

/// One that knows of no other VM may have started before all others, or may be
/// cut off, for longer.
constexpr Duration kAloneTime = Seconds(5);

} // namespace

void
CoordinatorShares::SetMembers(const std::vector<wire::MemberRecord>& aLive,
                              std::size_t aExpected,
                              TimePoint aNow)
{
  const auto self =
    std::find_if(aLive.begin(), aLive.end(), [&](const auto& aRecord) {
      return aRecord.process == mSelf;
    });
  // A VM that is leaving is not among them.
  mElected = aLive.empty() || self != aLive.end();
  mUndisputed = mElected;
  std::size_t suspects = 0;
  for (auto record : aLive) {
    const bool suspect = record.state == wire::MemberState::kSuspect;
    suspects += suspect ? 1 : 0;
    if (self == aLive.end() || record.process == mSelf) {
      continue;
    }
    mElected = mElected && !RanksBefore(record, *self);
    record.state = self->state;
    mUndisputed = mUndisputed && !RanksBefore(record, *self);
  }
  mReachableVms = std::max<std::size_t>(aLive.size() - suspects, 1);
  const auto expected = std::max({ aExpected, aLive.size(), std::size_t{ 1 } });
  if (expected > mExpectedVms || mGrewAt == TimePoint{}) {
    mGrewAt = aNow;
  }
  mExpectedVms = expected;
}

void
CoordinatorShares::RecordRequest(std::uint64_t aVm, TimePoint aNow)
{
  mRequests[aVm] = aNow;
}

std::size_t
CoordinatorShares::AskingVms(TimePoint aNow)
{
  std::erase_if(mRequests, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kRequestLifetime;
  });
  return mRequests.size();
}

double
CoordinatorShares::SlotShare(TimePoint aNow)
{
  const bool coordinatesOthers = mElected || AskingVms(aNow) > 0;
  return coordinatesOthers ? 1.0 : 1.0 / static_cast<double>(mExpectedVms);
}

double
CoordinatorShares::LimitShare(TimePoint aNow)
{
  // While a VM that ranks before this one may be live, it may coordinate the
  // VMs that do not ask this one.
  const std::size_t vms =
    mUndisputed ? mReachableVms : std::min(AskingVms(aNow) + 1, mExpectedVms);
  return static_cast<double>(vms) / static_cast<double>(mExpectedVms);
}

/// Returns whether the number of VMs has not grown for a while since the start.
bool
CoordinatorShares::IsSettled(TimePoint aNow)
{
  const auto settleTime = mExpectedVms > 1 ? kSettleTime : kAloneTime;
  mSettled =
    mSettled || (mGrewAt != TimePoint{} && aNow - mGrewAt >= settleTime);
  return mSettled;
}

bool
CoordinatorShares::DecidesForMost(TimePoint aNow)
{
  return mElected && 2 * mReachableVms > mExpectedVms && IsSettled(aNow);
}

double
CoordinatorShares::RetryShare(TimePoint aNow)
{
  const double share = LimitShare(aNow);
  if (IsSettled(aNow) || mServers <= mExpectedVms) {
    return share;
  }
  return share * static_cast<double>(mExpectedVms) /
         static_cast<double>(mServers);
}

} // namespace magnoliatide::fleet
