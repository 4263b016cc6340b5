// Decides whether a request that a server answered with a failure is retried at
// another server. Depends on the success rate of earlier retries.
#ifndef MAGNOLIATIDE_POLICY_RETRY_GATE_H
#define MAGNOLIATIDE_POLICY_RETRY_GATE_H

#include <map>
#include <string>

namespace magnoliatide::policy {

/// Tracks the success rate of retries by request kind, and denies retries of
/// kinds for which it is low.
class RetryGate
{
public:
  /// Records whether a retry of a request of this kind succeeded.
  void Record(const std::string& aKind, bool aSucceeded)
  {
    auto& successRate = mKinds[aKind].successRate;
    successRate += kSampleWeight * ((aSucceeded ? 1.0 : 0.0) - successRate);
  }

  /// Returns whether to retry a failed request. While the success rate is too
  /// low, every kProbeInterval-th request is still retried to keep the rate
  /// current.
  bool Allows(const std::string& aKind)
  {
    auto& kind = mKinds[aKind];
    if (kind.successRate >= kMinSuccessRate) {
      return true;
    }
    kind.denied = (kind.denied + 1) % kProbeInterval;
    return kind.denied == 0;
  }

private:
  /// Weight of the latest retry in the moving average.
  static constexpr double kSampleWeight = 0.2;

  /// Success rate below which retries are denied.
  static constexpr double kMinSuccessRate = 0.25;

  /// While retries are denied, one in this many is allowed.
  static constexpr int kProbeInterval = 16;

  struct Kind
  {
    double successRate = 0.5; ///< Exponential moving average, 0 to 1.
    int denied = 0;           ///< Retries denied since the last one allowed.
  };

  std::map<std::string, Kind> mKinds;
};

} // namespace magnoliatide::policy

#endif
