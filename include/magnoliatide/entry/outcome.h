// Refusals: answers to requests that have no complete answer of a backend
// server.
#ifndef MAGNOLIATIDE_ENTRY_OUTCOME_H
#define MAGNOLIATIDE_ENTRY_OUTCOME_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/message.h"
#include "magnoliatide/policy/scheduler_types.h"

#include <string>

namespace magnoliatide::entry {

/// What is known about the execution of a request.
enum class Outcome
{
  kNotRun,  ///< It did not run and will not run.
  kUnknown, ///< It may have run.
  kRunning, ///< An earlier attempt with the same key is running.
};

/// Returns "not-run", "unknown" or "running".
const char*
Name(Outcome aOutcome);

/// An answer that the VM gives itself.
struct Refusal
{
  int status = 503; ///< HTTP status.
  Outcome outcome = Outcome::kNotRun;
  std::string kind;      ///< Stable name of the reason, sent in X-Reason.
  std::string message;   ///< What happened.
  std::string remedy;    ///< What the caller can do.
  Duration retryAfter{}; ///< Zero if not stated.
};

/// Returns the refusal for a request that the scheduler dropped.
Refusal
RefusalFor(policy::DropReason aReason, Duration aRetryAfter);

/// Encodes a refusal, with outcome and reason in headers and in the body.
http::Response
ToResponse(const Refusal& aRefusal, const std::string& aRequestId);

} // namespace magnoliatide::entry

#endif
