// Recently refused requests, identified by the fingerprint of their content.
// Their callers are expected to retry, so their work is counted as pending, and
// retries can be distinguished from new requests.
#ifndef MAGNOLIATIDE_POLICY_RECENT_REFUSALS_H
#define MAGNOLIATIDE_POLICY_RECENT_REFUSALS_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace magnoliatide::policy {

/// Tracks recently refused requests and the work of their expected retries.
class RecentRefusals
{
public:
  /// Records that a request was refused.
  ///
  /// @param aWork In seconds of one slot of a server with slowdown factor 1.
  void Record(std::uint64_t aFingerprint,
              int aTier,
              double aWork,
              TimePoint aNow)
  {
    mRefusals.push_back({ aNow, aFingerprint, aTier, aWork });
    mCounts[aFingerprint] += 1;
    mWork[aTier] += aWork;
    Expire(aNow);
  }

  /// Returns whether a request is a retry of a recently refused one. If so, its
  /// work is no longer pending.
  bool MarkRetried(std::uint64_t aFingerprint, TimePoint aNow)
  {
    Expire(aNow);
    const auto found = mCounts.find(aFingerprint);
    if (found == mCounts.end()) {
      return false;
    }
    // The entry stays in mRefusals with zero work until it expires.
    for (auto at = mRefusals.rbegin(); at != mRefusals.rend(); ++at) {
      if (at->fingerprint == aFingerprint) {
        mWork[at->tier] -= at->work;
        at->work = 0;
        break;
      }
    }
    return true;
  }

  /// Returns the work of expected retries of a tier and all more urgent tiers.
  double PendingWork(int aTier, TimePoint aNow)
  {
    Expire(aNow);
    double work = 0;
    for (const auto& [tier, sum] : mWork) {
      work += tier <= aTier ? sum : 0;
    }
    return work > 0 ? work : 0;
  }

private:
  struct Refusal
  {
    TimePoint at;
    std::uint64_t fingerprint = 0;
    int tier = 0;
    double work = 0; ///< Zero after a retry.
  };

  /// Time for which a retry is expected: callers retry within a third of their
  /// deadlines.
  static constexpr Duration kRetention = Seconds(6);
  static constexpr std::size_t kMaxEntries = 8192;

  void Expire(TimePoint aNow)
  {
    while (!mRefusals.empty() && (aNow - mRefusals.front().at > kRetention ||
                                  mRefusals.size() > kMaxEntries)) {
      const auto& oldest = mRefusals.front();
      mWork[oldest.tier] -= oldest.work;
      const auto found = mCounts.find(oldest.fingerprint);
      if (--found->second == 0) {
        mCounts.erase(found);
      }
      mRefusals.pop_front();
    }
  }

  std::deque<Refusal> mRefusals; ///< Ordered by time.
  /// Number of entries in mRefusals by fingerprint.
  std::unordered_map<std::uint64_t, int> mCounts;
  std::map<int, double> mWork; ///< Sums over mRefusals, by tier.
};

} // namespace magnoliatide::policy

#endif
