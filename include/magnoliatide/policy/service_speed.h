// Estimates response times of the servers of one service: the time to the first
// event by prompt size, and the time per output token. The estimates are shared
// by the whole service; each server has one slowdown factor on top of them.
#ifndef MAGNOLIATIDE_POLICY_SERVICE_SPEED_H
#define MAGNOLIATIDE_POLICY_SERVICE_SPEED_H

#include "magnoliatide/core/time.h"

#include <vector>

namespace magnoliatide::policy {

/// Slowdown of a server relative to the service-wide estimates.
struct ServerSpeed
{
  double factor = 1; ///< Multiplies all times; larger is slower.
  int samples = 0;   ///< Zero: not measured yet.
};

/// Measurements from one finished request.
struct SpeedSample
{
  double prefillTokens = 0; ///< Its own prompt and pending prompts ahead of it.
  Duration toFirst{};       ///< From the send, without the network delay.
  double outputTokens = 0;  ///< After the first event.
  Duration output{};        ///< From the first event to the end.
  bool plain = false; ///< Not streamed: toFirst covers the whole response.
};

/// Speed model of one service, updated from samples.
class ServiceSpeed
{
public:
  /// Updates the service's estimates and a server's factor from a sample.
  void Learn(ServerSpeed& aServer, const SpeedSample& aSample);

  /// Sets the factor assumed for unmeasured servers to the median of the
  /// measured ones.
  void UpdateMedianFactor(const std::vector<ServerSpeed>& aServers);

  /// Returns the factor of a server, or the median if it was not measured.
  double FactorOf(const ServerSpeed& aServer) const
  {
    return aServer.samples > 0 ? aServer.factor : mMedianFactor;
  }

  /// Returns the median factor.
  double MedianFactor() const { return mMedianFactor; }

  // Estimated times in seconds for a server of factor 1.

  /// Time to the first event, after a prefill of this many tokens.
  double FirstEventSeconds(double aPrefillTokens) const
  {
    return mBaseSeconds + PrefillSeconds(aPrefillTokens);
  }

  /// Time of the prefill alone, without the fixed time per request.
  double PrefillSeconds(double aTokens) const
  {
    return mSecondsPerPrefillToken * aTokens;
  }

  /// Time to generate output tokens.
  double OutputSeconds(double aTokens) const;

  /// Time of a plain call, which is not streamed.
  double PlainCallSeconds() const;

private:
  void UpdateStreamFactor(ServerSpeed& aServer, double aRatio);
  void UpdatePlainFactor(ServerSpeed& aServer, double aRatio);
  void FitPrefill(double aTokens, double aSeconds);

  double mMedianFactor = 1;
  double mSecondsPerOutputToken = 0; ///< Zero: not measured yet.
  double mPlainCallSeconds = 0;      ///< Zero: not measured yet.
  /// Sums of a least-squares fit of the time to the first event over prefill
  /// tokens. Older samples decay exponentially.
  double mSumWeights = 0;
  double mSumTokens = 0;
  double mSumSeconds = 0;
  double mSumTokensSquared = 0;
  double mSumTokensSeconds = 0;
  double mBaseSeconds = 0.02; ///< Fixed time per request.
  double mSecondsPerPrefillToken = 2e-5;
};

} // namespace magnoliatide::policy

#endif
