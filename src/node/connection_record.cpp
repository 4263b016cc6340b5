// Counts and logs the ends of callers' connections.
#include "connection_record.h"

#include "magnoliatide/telemetry/log.h"

namespace magnoliatide::node {

void
RecordConnectionEnd(telemetry::Metrics& aMetrics,
                    const http::ConnectionEnd& aEnd,
                    const std::string& aRequestId)
{
  const char* cause = http::Name(aEnd.cause);
  aMetrics.Count("caller_connections_closed_total", { { "cause", cause } });
  if (aEnd.cause == http::CloseCause::kHandlerFailed) {
    telemetry::LogError("handler-failed",
                        { { "request", aRequestId },
                          { "age_ms", aEnd.age },
                          { "detail", aEnd.detail } });
  }
  if (!aEnd.requestDropped) {
    return;
  }
  aMetrics.Count("caller_requests_dropped_total", { { "cause", cause } });
  telemetry::LogInfo("request-dropped",
                     { { "request", aRequestId },
                       { "cause", cause },
                       { "read", aEnd.request != nullptr ? "whole" : "part" },
                       { "age_ms", aEnd.age },
                       { "detail", aEnd.detail } });
}

} // namespace magnoliatide::node
