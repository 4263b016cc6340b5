// The rate limit that a backend server names in its answers: the requests per
// second that it takes from all VMs together. VMs exchange what they have
// observed; the result does not depend on the order in which it arrives.
#ifndef MAGNOLIATIDE_POLICY_SERVER_RATE_LIMIT_H
#define MAGNOLIATIDE_POLICY_SERVER_RATE_LIMIT_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace magnoliatide::policy {

/// What one answer of a server tells about its rate limit.
struct RateLimitNotice
{
  std::string server;
  std::uint64_t started = 0; ///< As routing::Server::started.
  /// Requests per second; nothing if the answer names no limit.
  std::optional<double> perSecond;
  /// When the answer with a limit arrived. For one without a limit, when its
  /// request was sent: an earlier statement may arrive later.
  TimePoint at;
};

/// The limit of one incarnation of a server, and the requests sent to it. Not
/// thread-safe.
class ServerRateLimit
{
public:
  /// Merges an observation of this or another VM.
  void Merge(const RateLimitNotice& aNotice, TimePoint aNow);

  /// Sets the fraction of the limit that this VM may use, 0 to 1.
  void SetShare(double aShare) { mShare = aShare; }

  /// Returns whether a limit is in force.
  bool IsActive() const
  {
    return mNamedAt != TimePoint{} && mNamedAt > mLiftedAt;
  }

  /// Returns whether a request may be sent now. Always true without a limit.
  bool Allows(TimePoint aNow) const;

  /// Records that a request was sent, by this or another VM.
  void RecordSend(TimePoint aNow);

  /// Returns the requests per second that this VM may send, or nothing without
  /// a limit.
  std::optional<double> Rate() const;

private:
  double LevelAt(TimePoint aNow) const;
  void Settle(TimePoint aNow);

  double mPerSecond = 0; ///< As named last.
  double mShare = 1;
  TimePoint mNamedAt{};  ///< Latest answer with a limit; zero: none.
  TimePoint mLiftedAt{}; ///< Send of the latest request without one.
  /// Requests that may be sent at mSettledAt. Negative after sends of other
  /// VMs.
  double mLevel = 0;
  TimePoint mSettledAt{};
};

} // namespace magnoliatide::policy

#endif
