// Passive health checking of a server: its health follows from the results of
// the requests sent to it, not from its own status reports. Health is tracked
// separately for each zone of callers, because a server may fail for some zones
// only.
#ifndef MAGNOLIATIDE_POLICY_SERVER_HEALTH_H
#define MAGNOLIATIDE_POLICY_SERVER_HEALTH_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/policy/job.h"

namespace magnoliatide::policy {

/// Health of a server. The values are ordered from best to worst.
enum class HealthState
{
  kGood,  ///< Accepts any request.
  kProbe, ///< Accepts one request, to probe whether it has recovered.
  kDown,  ///< Accepts no requests until the next probe.
};

/// The health of one server for callers of one zone.
class ServerHealth
{
public:
  /// Records how the sending of a request to the server ended.
  ///
  /// @param aExpectedFailureRate The fraction of such requests that fail across
  ///     all servers of the service.
  void Record(SendResult aResult, double aExpectedFailureRate, TimePoint aNow);

  /// Records that the server has been silent for a while during a request that
  /// has not ended. Counts like a request without an answer until the server
  /// sends an event.
  void RecordSilence(double aExpectedFailureRate, TimePoint aNow);

  /// Records that the server has sent an event. Takes back what silences have
  /// changed.
  void RecordSilenceEnd();

  /// Records that a probe was sent.
  void RecordProbe(TimePoint aNow);

  /// Returns the health at a time.
  HealthState StateAt(TimePoint aNow) const;

  /// Returns the moving average of the fraction of failed requests.
  double FailureRate() const { return mFailureRate; }

private:
  void MarkDown(TimePoint aNow);

  int mTransportFailures = 0; ///< Since the last successful request.
  int mSilences = 0; ///< Those of mTransportFailures that were silences.
  bool mDownBySilence = false; ///< A silence marked the server as down.
  double mFailureRate = 0;
  bool mDown = false;     ///< Set until a probe succeeds.
  TimePoint mProbeAt{};   ///< When the next probe is allowed.
  Duration mProbeDelay{}; ///< Doubles with each failed probe, up to a limit.
};

} // namespace magnoliatide::policy

#endif
