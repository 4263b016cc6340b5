// Interface between the handling of a single request and the scheduler, which
// decides when each request is sent and to which server.
#ifndef MAGNOLIATIDE_FORWARD_DISPATCHER_H
#define MAGNOLIATIDE_FORWARD_DISPATCHER_H

#include "magnoliatide/forward/call.h"
#include "magnoliatide/policy/job.h"
#include "magnoliatide/routing/roster.h"

#include <functional>
#include <optional>

namespace magnoliatide::forward {

/// The scheduler's decision on a submitted request.
struct Decision
{
  bool send = false;
  bool probe = false;     ///< Probes the server, over a new connection.
  routing::Server server; ///< Target server, if `send`.
  Refusal refusal;        ///< Answer to the caller, if not `send`.
  std::string why;        ///< Reason of the decision, for the log.
  std::string by;         ///< The VM that decided, for the log.
};

/// Schedules requests. An id identifies a request over all its sends.
class Dispatcher
{
public:
  using OnDecision = std::function<void(Decision)>;

  virtual ~Dispatcher() = default;

  /// Submits a request. aOnDecision is called exactly once, possibly before
  /// Submit() returns, unless the request is withdrawn. After a decision to
  /// send, Finish() must be called; the request may then be submitted again.
  virtual void Submit(const policy::Job& aJob, OnDecision aOnDecision) = 0;

  /// Removes a request that waits for its decision; its callback is not called.
  virtual void Withdraw(policy::JobId aId) = 0;

  /// Records that the first event of the answer to a sent request arrived.
  virtual void RecordFirstEvent(policy::JobId aId) = 0;

  /// Records the head of the answer to a sent request: the requests per second
  /// that it names as its server's limit, or that it names none.
  virtual void RecordRateLimit(policy::JobId aId,
                               std::optional<double> aPerSecond) = 0;

  /// Records that the server of a sent request has rejected it and wants no
  /// further requests of this VM for a time.
  virtual void RecordBackoff(policy::JobId aId, Duration aTime) = 0;

  /// Returns whether a server takes requests of this VM, as far as its answers
  /// tell. Checked right before each send, as the decision may be older.
  virtual bool MayUse(const routing::Server& aServer) const = 0;

  /// Records that the server of a sent request has been silent for a while. The
  /// send goes on.
  virtual void RecordSilence(policy::JobId aId) = 0;

  /// Records that the server has continued after a recorded silence.
  virtual void RecordSilenceEnd(policy::JobId aId) = 0;

  /// Records how a send ended.
  virtual void Finish(policy::JobId aId, const policy::SendReport& aReport) = 0;
};

} // namespace magnoliatide::forward

#endif
