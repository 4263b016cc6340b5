// The fractions of servers' slots and of fleet-wide limits that a VM may grant.
#ifndef MAGNOLIATIDE_FLEET_COORDINATOR_SHARES_H
#define MAGNOLIATIDE_FLEET_COORDINATOR_SHARES_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace magnoliatide::fleet {

/// Decides how much a VM may grant, from the VMs that it considers live and
/// those that ask it for decisions.
class CoordinatorShares
{
public:
  /// @param aSelf Id of this process.
  explicit CoordinatorShares(std::uint64_t aSelf)
    : mSelf(aSelf)
  {
  }

  /// Sets the live VMs, suspected ones included, and the number of VMs that
  /// should be running.
  void SetMembers(const std::vector<wire::MemberRecord>& aLive,
                  std::size_t aExpected,
                  TimePoint aNow);

  /// Sets the number of servers, by which a VM that has just started estimates
  /// the number of VMs.
  void SetServers(std::size_t aServers) { mServers = aServers; }

  /// Records a dispatch request of another VM.
  void RecordRequest(std::uint64_t aVm, TimePoint aNow);

  /// Returns the fraction of the servers' slots. A VM that coordinates others
  /// may grant all of them.
  double SlotShare(TimePoint aNow);

  /// Returns the fraction of quotas and rate limits. The rest is left to VMs
  /// that may grant it without this one's knowledge.
  double LimitShare(TimePoint aNow);

  /// Returns the fraction of the constant part of retry budgets. As long as a
  /// VM that has started still learns of others, it takes the part of one
  /// server: after the loss of all VMs each of them is alone at first.
  double RetryShare(TimePoint aNow);

  /// Returns whether this VM ranks first and reaches most of the VMs that
  /// should be running, and no further ones have become known for a while. At
  /// most one VM can be in this position unless views of the membership are
  /// outdated.
  bool DecidesForMost(TimePoint aNow);

private:
  bool IsSettled(TimePoint aNow);

  /// Returns the number of other VMs that have asked recently.
  std::size_t AskingVms(TimePoint aNow);

  std::uint64_t mSelf;
  bool mElected = true;          ///< Ranks first among the VMs not suspected.
  bool mUndisputed = true;       ///< Ranks first even if no suspicion is true.
  std::size_t mReachableVms = 1; ///< Live and not suspected.
  std::size_t mExpectedVms = 1;
  std::size_t mServers = 0;
  TimePoint mGrewAt{};   ///< When mExpectedVms last grew.
  bool mSettled = false; ///< Has not grown for a time since the start.
  /// When the last request of each other VM arrived.
  std::map<std::uint64_t, TimePoint> mRequests;
};

} // namespace magnoliatide::fleet

#endif
