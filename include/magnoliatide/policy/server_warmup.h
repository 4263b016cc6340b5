// The start-up phase of a backend server. For some time after its start, a
// server is cold: it tolerates few requests per second and crashes well above
// that. The limit holds for all VMs together, including those that cannot reach
// each other, so only a VM that decides for most of them uses cold servers.
#ifndef MAGNOLIATIDE_POLICY_SERVER_WARMUP_H
#define MAGNOLIATIDE_POLICY_SERVER_WARMUP_H

#include "magnoliatide/core/time.h"

#include <deque>
#include <optional>

namespace magnoliatide::policy {

/// How the operators bound the requests to a cold server: in any second, it may
/// get `overage` times what it tolerates, and `slack` requests in addition.
struct ColdBounds
{
  double overage = 1;
  double slack = 0;
};

/// What the servers of a service tolerate while they are cold.
struct ColdLimit
{
  double perSecond = 0; ///< Requests per second; 0: cold servers need no limit.
  Duration time{};      ///< How long a server is cold after its start.
};

/// Returns the requests per second that one VM may send to a cold server. While
/// a coordinator replaces another one, both may send for a moment, so two of
/// them stay within the operators' bound.
double
PermittedColdRate(const ColdLimit& aLimit, const ColdBounds& aBounds);

/// Limits the requests to one server while it is cold, and for a short time
/// afterwards, in which the permitted rate rises. Not thread-safe.
class ServerWarmup
{
public:
  /// Records that the server is cold for a time from now on. An earlier
  /// statement about a later end stays valid.
  ///
  /// @param aPerSecond Requests per second that may be sent meanwhile.
  void BeginCold(double aPerSecond, Duration aTime, TimePoint aNow);

  /// Begins the rise of the permitted rate without a cold phase.
  void BeginRamp(double aPerSecond, TimePoint aNow);

  /// Sets whether this VM may send requests to a cold server.
  void SetPermitted(bool aPermitted, TimePoint aNow);

  /// Returns whether the server is cold.
  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }

  /// Returns whether the permitted rate is limited.
  bool IsLimited(TimePoint aNow) const { return aNow < mLimitedUntil; }

  /// Returns whether a request may be sent now.
  bool Allows(TimePoint aNow) const;

  /// Records that a request was sent, by this or another VM.
  void RecordSend(TimePoint aNow);

  /// Returns the requests per second that this VM may send, or nothing without
  /// a limit.
  std::optional<double> Rate(TimePoint aNow) const;

  /// Returns whether the server is cold and has got more requests in the last
  /// second than it tolerates, as far as this VM knows.
  bool IsOverloaded(TimePoint aNow) const;

  /// Returns how long the server remains cold.
  Duration TimeLeft(TimePoint aNow) const;

private:
  void Limit(double aPerSecond, TimePoint aUntil, TimePoint aNow);
  double LevelAt(TimePoint aNow) const;
  void Settle(TimePoint aNow);

  double mPerSecond = 0; ///< While the server is cold.
  bool mPermitted = false;
  TimePoint mColdUntil{};
  TimePoint mLimitedUntil{}; ///< End of the rise after mColdUntil.
  /// Requests that may be sent at mSettledAt; negative after sends of others.
  double mLevel = 0;
  TimePoint mSettledAt{};
  /// Sends of the last second, in order. Bounded, oldest first.
  std::deque<TimePoint> mSends;
};

} // namespace magnoliatide::policy

#endif
