// Start-time fair queueing among teams: a team's next request starts at the
// virtual time at which its earlier requests finish, so that a team with few
// requests does not wait behind a burst of another team.
#ifndef MAGNOLIATIDE_POLICY_TEAM_VIRTUAL_TIME_H
#define MAGNOLIATIDE_POLICY_TEAM_VIRTUAL_TIME_H

#include <algorithm>
#include <map>
#include <string>

namespace magnoliatide::policy {

/// Tracks the virtual time and the finish tag of each team.
class TeamVirtualTime
{
public:
  /// Returns the virtual start time of a team's next request.
  double StartTag(const std::string& aTeam) const
  {
    const auto found = mFinishTags.find(aTeam);
    return found == mFinishTags.end() ? mVirtualTime
                                      : std::max(mVirtualTime, found->second);
  }

  /// Charges a team for a request that is served or queued.
  void Charge(const std::string& aTeam, double aStartTag, double aCost)
  {
    auto& finishTag = mFinishTags[aTeam];
    finishTag = std::max(finishTag, aStartTag) + aCost;
  }

  /// Reverses a charge for a request that will not be served.
  void Refund(const std::string& aTeam, double aCost)
  {
    const auto found = mFinishTags.find(aTeam);
    if (found != mFinishTags.end()) {
      found->second -= aCost;
    }
  }

  /// Advances the virtual time to the start tag of a request that is served.
  void Advance(double aStartTag)
  {
    mVirtualTime = std::max(mVirtualTime, aStartTag);
    if (mFinishTags.size() > kMaxTeams) {
      std::erase_if(mFinishTags, [this](const auto& aEntry) {
        return aEntry.second <= mVirtualTime;
      });
    }
  }

private:
  /// Above this number of teams, those whose finish tags are not ahead of the
  /// virtual time are removed.
  static constexpr std::size_t kMaxTeams = 1024;

  double mVirtualTime = 0; ///< Never decreases.
  std::map<std::string, double> mFinishTags;
};

} // namespace magnoliatide::policy

#endif
