// Start-time fair queueing: members receive service in proportion to their
// weights, measured by the cost of the items served rather than their number.
#ifndef MAGNOLIATIDE_POLICY_FAIR_QUEUE_H
#define MAGNOLIATIDE_POLICY_FAIR_QUEUE_H

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace magnoliatide::policy {

/// Orders backlogged members by virtual start time. The items themselves are
/// queued elsewhere. Keeps state for members that are backlogged or whose
/// virtual finish time lies ahead of the virtual time; other members are
/// removed a few at a time.
class FairOrder
{
public:
  /// Marks a member as backlogged.
  void Activate(const std::string& aName)
  {
    auto& member = mMembers[aName];
    if (member.active) {
      return;
    }
    member.active = true;
    member.start = std::max(mVirtualTime, member.finish);
    mOrder.insert({ member.start, aName });
  }

  /// Marks a member as no longer backlogged.
  void Deactivate(const std::string& aName)
  {
    const auto found = mMembers.find(aName);
    if (found == mMembers.end() || !found->second.active) {
      return;
    }
    mOrder.erase({ found->second.start, aName });
    found->second.active = false;
    if (found->second.finish <= mVirtualTime) {
      mMembers.erase(found);
    }
    PruneInactive();
  }

  /// Charges a backlogged member for the service it received.
  ///
  /// @param aCost The cost, above zero.
  /// @param aWeight The member's weight, above zero.
  void Charge(const std::string& aName, double aCost, double aWeight)
  {
    const auto found = mMembers.find(aName);
    if (found == mMembers.end() || !found->second.active) {
      return;
    }
    auto& member = found->second;
    mOrder.erase({ member.start, aName });
    mVirtualTime = std::max(mVirtualTime, member.start);
    member.finish = member.start + aCost / aWeight;
    member.start = member.finish;
    mOrder.insert({ member.start, aName });
  }

  /// Visits backlogged members in service order until the visitor returns true.
  /// Returns whether it did.
  bool Visit(const std::function<bool(const std::string&)>& aVisitor) const
  {
    for (const auto& [start, name] : mOrder) {
      if (aVisitor(name)) {
        return true;
      }
    }
    return false;
  }

  /// Returns the number of members with state.
  std::size_t size() const { return mMembers.size(); }

private:
  struct Member
  {
    double start = 0;    ///< Virtual start time of the next item.
    double finish = 0;   ///< Virtual finish time of the last item charged.
    bool active = false; ///< Backlogged.
  };

  /// Removes inactive members whose finish time the virtual time has reached.
  /// Examines only a few members per call.
  void PruneInactive()
  {
    constexpr int kMembersPerCall = 4;
    auto at = mMembers.upper_bound(mPruneCursor);
    for (int i = 0; i < kMembersPerCall && !mMembers.empty(); ++i) {
      if (at == mMembers.end()) {
        at = mMembers.begin();
      }
      mPruneCursor = at->first;
      const bool done = !at->second.active && at->second.finish <= mVirtualTime;
      at = done ? mMembers.erase(at) : std::next(at);
    }
  }

  /// Never decreases. The start time of a member that a visitor skipped may be
  /// lower.
  double mVirtualTime = 0;
  std::map<std::string, Member> mMembers;
  /// Exactly the active members, by virtual start time.
  std::set<std::pair<double, std::string>> mOrder;
  std::string mPruneCursor; ///< Name of the member examined last.
};

} // namespace magnoliatide::policy

#endif
