// Learned speed of the servers of one service: how long a prompt takes to its
// first event, and how long an output token takes. Servers differ by a factor
// each; what is common to all is learned once for the service.
#ifndef MAGNOLIATIDE_POLICY_SERVICE_SPEED_H
#define MAGNOLIATIDE_POLICY_SERVICE_SPEED_H

#include "magnoliatide/core/time.h"

#include <vector>

namespace magnoliatide::policy {

/// How much slower than the service's unit a server is.
struct ServerSpeed
{
  double factor = 1;
  int samples = 0; ///< Zero: not measured yet.
};

/// What one finished request tells of its server.
struct SpeedSample
{
  double prefillTokens = 0; ///< Its own prompt and the prompts before it.
  Duration toFirst{};       ///< From the send, less the way.
  double outputTokens = 0;  ///< Behind the first event.
  Duration output{};        ///< From the first event to the end.
  bool plain = false;       ///< No generation; toFirst is the whole answer.
};

class ServiceSpeed
{
public:
  /// Learns from a sample of one server.
  void Learn(ServerSpeed& aServer, const SpeedSample& aSample);

  /// Sets the factor that is assumed of servers that were not measured.
  void SetTypical(const std::vector<ServerSpeed>& aServers);

  /// Returns the factor of a server, the typical one if it was not measured.
  double FactorOf(const ServerSpeed& aServer) const
  {
    return aServer.samples > 0 ? aServer.factor : mTypical;
  }

  /// Returns the factor of a typical server.
  double Typical() const { return mTypical; }

  // Times of a server of factor 1, in seconds.

  /// To the first event behind a prefill.
  double ToFirst(double aPrefillTokens) const
  {
    return mBaseSeconds + Prefill(aPrefillTokens);
  }

  /// For the prefill alone, without what each request takes.
  double Prefill(double aTokens) const
  {
    return mSecondsPerPrefillToken * aTokens;
  }

  double Output(double aTokens) const;
  double Plain() const;

private:
  void LearnFactor(ServerSpeed& aServer, double aRatio);
  void LearnMean(ServerSpeed& aServer, double aRatio);
  void LearnFirst(double aTokens, double aSeconds);

  double mTypical = 1;
  double mTokenSeconds = 0; ///< Zero: not measured yet.
  double mPlainSeconds = 0; ///< The same.
  /// Least-squares sums, weighted by age, of the time to the first event over
  /// the tokens of the prefill.
  double mWeight = 0;
  double mTokens = 0;
  double mSeconds = 0;
  double mTokensSquared = 0;
  double mTokensSeconds = 0;
  double mBaseSeconds = 0.02;
  double mSecondsPerPrefillToken = 2e-5;
};

} // namespace magnoliatide::policy

#endif
