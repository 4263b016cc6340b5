// Turns a caller's HTTP request into classified work, or says why not.
#ifndef MAGNOLIATIDE_ENTRY_CLASSIFY_H
#define MAGNOLIATIDE_ENTRY_CLASSIFY_H

#include "magnoliatide/document/document.h"
#include "magnoliatide/entry/outcome.h"
#include "magnoliatide/http/message.h"
#include "magnoliatide/policy/work.h"

#include <boost/leaf.hpp>

#include <string>

namespace magnoliatide::entry {

/// A request that may be admitted.
struct Classified
{
  policy::Work work;
  http::Request outgoing; ///< As it goes to the backend server.
  bool model = true;      ///< For an engine; otherwise a plain service.
  bool stream = false;    ///< The answer comes as server-sent events.
  bool guarded = false;   ///< A call that may run only once.
  std::string key;        ///< "team/key" of a guarded call.
};

/// Classifies a request.
///
/// @param aDocument The document in force.
/// @param aRequest The caller's request.
/// @param aNow The time of arrival.
/// @return The work without an id, or a Refusal with outcome not-run.
leaf::result<Classified>
Classify(const document::Document& aDocument,
         const http::Request& aRequest,
         TimePoint aNow);

} // namespace magnoliatide::entry

#endif
