// Converts a caller's HTTP request to a scheduler request, or to a refusal.
#ifndef MAGNOLIATIDE_ENTRY_CLASSIFY_H
#define MAGNOLIATIDE_ENTRY_CLASSIFY_H

#include "magnoliatide/document/document.h"
#include "magnoliatide/entry/outcome.h"
#include "magnoliatide/http/message.h"
#include "magnoliatide/policy/scheduler_types.h"

#include <boost/leaf.hpp>

#include <string>

namespace magnoliatide::entry {

/// A request that may be admitted.
struct Classified
{
  policy::SchedulerRequest schedulerRequest;
  http::Request outgoing; ///< As sent to the backend server.
  bool model = true;      ///< For an engine, else for a plain service.
  bool stream = false;    ///< The answer is a stream of server-sent events.
  bool guarded = false;   ///< The call must run at most once.
  std::string key;        ///< "team/idempotency key" of a guarded call.
};

/// Authenticates, validates and classifies a request.
///
/// @param aDocument The active document.
/// @param aRequest The caller's request.
/// @param aNow The time of arrival.
/// @return The request, whose scheduler id is not set yet, or a Refusal with
///     the outcome not-run.
leaf::result<Classified>
Classify(const document::Document& aDocument,
         const http::Request& aRequest,
         TimePoint aNow);

} // namespace magnoliatide::entry

#endif
