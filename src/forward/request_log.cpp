// Formatting of the log lines of sends.
#include "request_log.h"

#include "magnoliatide/telemetry/log.h"

namespace magnoliatide::forward {

namespace {

/// Returns the log event for the end of a send. Log lines are rate-limited per
/// event. Failures have an event of their own, so that frequent successes do
/// not suppress the more valuable lines of failures.
const char*
SendEndEvent(SendOutcome aOutcome)
{
  return aOutcome == SendOutcome::kAnswered ? "answered" : "run-ended";
}

} // namespace

void
LogSend(const ForwarderParams& aParams,
        const Request& aRequest,
        const Decision& aDecision)
{
  const auto& job = aRequest.job;
  telemetry::LogInfo(
    "send",
    { { "request", aRequest.call.id },
      { "kind", job.kind },
      { "team", job.team },
      { "tier", job.tier },
      { "prompt", static_cast<std::int64_t>(job.promptTokens) },
      { "output", static_cast<std::int64_t>(job.outputTokens) },
      { "server", aDecision.server.id },
      { "zone", aDecision.server.zone },
      { "why", aDecision.why },
      { "by", aDecision.by },
      { "config", aRequest.table->version },
      { "servers", aParams.serversRevision() },
      { "age_ms", Clock::now() - job.arrival },
      { "left_ms", aRequest.TimeLeft(Clock::now()) } });
}

void
RecordSendEnd(const ForwarderParams& aParams,
              const Request& aRequest,
              const std::string& aServer,
              const SendEnd& aEnd)
{
  const auto& report = aEnd.report;
  telemetry::LogInfo(
    SendEndEvent(aEnd.outcome),
    { { "request", aRequest.call.id },
      { "server", aServer },
      { "result", policy::Name(report.result) },
      { "status", aEnd.status },
      { "detail", aEnd.detail },
      { "tokens", static_cast<std::int64_t>(report.outputTokens) },
      { "first_ms", report.toFirstEvent },
      { "gap_ms", report.longestGap },
      { "run_ms", report.toEnd },
      { "age_ms", Clock::now() - aRequest.job.arrival } });
  aParams.metrics->Count(
    "sends_total",
    { { "server", aServer }, { "result", policy::Name(report.result) } });
  if (report.toFirstEvent > Duration::zero()) {
    aParams.metrics->Observe("first_event_seconds",
                             { { "kind", aRequest.job.kind } },
                             report.toFirstEvent);
  }
}

} // namespace magnoliatide::forward
