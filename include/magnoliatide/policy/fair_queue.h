// Start-time fair queueing: members share service in proportion to their
// weights, measured by the cost of what was taken, not by the number of items.
#ifndef MAGNOLIATIDE_POLICY_FAIR_QUEUE_H
#define MAGNOLIATIDE_POLICY_FAIR_QUEUE_H

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace magnoliatide::policy {

/// Orders members by their virtual start times. Knows who is backlogged, not
/// what they hold. Keeps state for backlogged members, and for others only
/// while they are ahead of the virtual time.
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

  /// Marks a member as empty.
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
    ForgetCaughtUp();
  }

  /// Charges a backlogged member for service it received.
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

  /// Visits backlogged members, the one to serve next first, until the
  /// visitor returns true. Returns whether it did.
  bool Visit(const std::function<bool(const std::string&)>& aVisitor) const
  {
    for (const auto& [start, name] : mOrder) {
      if (aVisitor(name)) {
        return true;
      }
    }
    return false;
  }

  /// Returns the number of members that state is held for.
  std::size_t size() const { return mMembers.size(); }

private:
  struct Member
  {
    double start = 0;
    double finish = 0;
    bool active = false;
  };

  /// Drops a few members that the virtual time has overtaken.
  void ForgetCaughtUp()
  {
    constexpr int kVisitsPerCall = 4;
    auto at = mMembers.upper_bound(mSweep);
    for (int i = 0; i < kVisitsPerCall && !mMembers.empty(); ++i) {
      if (at == mMembers.end()) {
        at = mMembers.begin();
      }
      mSweep = at->first;
      const bool done = !at->second.active && at->second.finish <= mVirtualTime;
      at = done ? mMembers.erase(at) : std::next(at);
    }
  }

  /// Never decreases; no active member starts before it by more than the
  /// cost of one item over its weight.
  double mVirtualTime = 0;
  std::map<std::string, Member> mMembers;
  /// Holds exactly the active members, by virtual start time.
  std::set<std::pair<double, std::string>> mOrder;
  std::string mSweep;
};

} // namespace magnoliatide::policy

#endif
