// What a caller is told about a request that got no whole answer.
#ifndef MAGNOLIATIDE_ENTRY_OUTCOME_H
#define MAGNOLIATIDE_ENTRY_OUTCOME_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/message.h"
#include "magnoliatide/policy/work.h"

#include <string>

namespace magnoliatide::entry {

/// Whether a request ran.
enum class Outcome
{
  kNotRun,  ///< It did not run and will not run.
  kUnknown, ///< It may have run.
  kRunning, ///< It runs now, for an earlier send of the same key.
};

/// Returns "not-run", "unknown" or "running".
const char*
Name(Outcome aOutcome);

/// An answer other than the backend server's.
struct Refusal
{
  int status = 503;
  Outcome outcome = Outcome::kNotRun;
  std::string kind;    ///< Stable name of the reason.
  std::string message; ///< What happened.
  std::string remedy;  ///< What the caller can do.
  Duration retryAfter{};
};

/// Makes the refusal for a request that the scheduler dropped.
Refusal
RefusalFor(policy::DropReason aReason, Duration aRetryAfter);

/// Makes the HTTP response, with the outcome in a header and in the body.
http::Response
ToResponse(const Refusal& aRefusal, const std::string& aRequestId);

} // namespace magnoliatide::entry

#endif
