// Records how the connections of callers end.
#ifndef MAGNOLIATIDE_SRC_NODE_CONNECTION_RECORD_H
#define MAGNOLIATIDE_SRC_NODE_CONNECTION_RECORD_H

#include "magnoliatide/http/server.h"
#include "magnoliatide/telemetry/metrics.h"

#include <string>

namespace magnoliatide::node {

/// Counts the end of a caller's connection, and logs a request that was dropped
/// with it or whose handler failed.
///
/// @param aRequestId The id of the last request, or empty if it is unknown.
void
RecordConnectionEnd(telemetry::Metrics& aMetrics,
                    const http::ConnectionEnd& aEnd,
                    const std::string& aRequestId);

} // namespace magnoliatide::node

#endif
