// Correction of expected waits, by team and tier. An expected wait is computed
// from the work ahead in the queue, so it excludes requests of smaller teams
// that arrive later but are served first. The correction is learned from past
// waits and decays with time.
#ifndef MAGNOLIATIDE_POLICY_WAIT_BIAS_H
#define MAGNOLIATIDE_POLICY_WAIT_BIAS_H

#include "magnoliatide/core/time.h"

#include <map>
#include <string>
#include <utility>

namespace magnoliatide::policy {

/// A tier and a team, whose requests share a correction.
using WaitClass = std::pair<int, std::string>;

/// Learns the ratio of actual to expected waits.
class WaitBias
{
public:
  /// Records the end of a wait.
  ///
  /// @param aServed Whether the request was sent. If not, its actual wait is
  ///     only a lower bound and cannot lower the factor.
  void Record(const WaitClass& aClass,
              Duration aExpectedWait,
              Duration aActualWait,
              bool aServed,
              TimePoint aNow);

  /// Returns the factor by which to multiply the expected waits of a class, 1
  /// if no waits were recorded.
  double Factor(const WaitClass& aClass, TimePoint aNow) const;

private:
  struct Entry
  {
    double logFactor = 0; ///< Logarithm of the factor at the last update.
    TimePoint at{};       ///< Time of the last update.
  };

  std::map<WaitClass, Entry> mEntries;
};

} // namespace magnoliatide::policy

#endif
