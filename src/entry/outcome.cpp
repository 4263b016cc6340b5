// Texts of refusals and their encoding as HTTP responses.
#include "magnoliatide/entry/outcome.h"

#include <boost/json.hpp>

#include <cmath>

namespace magnoliatide::entry {

namespace {

struct ReasonText
{
  policy::DropReason reason;
  int status;
  const char* message;
  const char* remedy;
};

constexpr char kRetryLater[] = "send the request again after the given time";

const ReasonText kReasons[] = {
  { policy::DropReason::kQueueFull, 503, "the queue is full", kRetryLater },
  { policy::DropReason::kDisplaced,
    503,
    "a more urgent request took its place in the queue",
    kRetryLater },
  { policy::DropReason::kTooLate,
    503,
    "the deadline cannot be met now",
    "send the request again after the given time or allow a longer deadline" },
  { policy::DropReason::kExpired,
    504,
    "the deadline passed before the request could start",
    "send the request again after the given time or allow a longer deadline" },
  { policy::DropReason::kTierFloor,
    503,
    "more urgent requests are being refused",
    kRetryLater },
  { policy::DropReason::kTeamRate,
    429,
    "the team sends faster than its limit",
    "send more slowly, or ask the operators for a higher rate" },
  { policy::DropReason::kTeamInFlight,
    429,
    "the team has too many requests in progress",
    "wait for answers, or ask the operators for a higher limit" },
  { policy::DropReason::kNoBackend,
    503,
    "no backend server can take the request",
    "check the model's name, or send the request again after the given time" },
  { policy::DropReason::kHarmful,
    422,
    "the request crashed a backend server while it ran alone",
    "change the request before it is sent again" },
  { policy::DropReason::kCancelled, 499, "the caller left", "none is needed" },
};

} // namespace

const char*
Name(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kRunning:
      return "running";
  }
  return "unknown";
}

Refusal
RefusalFor(policy::DropReason aReason, Duration aRetryAfter)
{
  Refusal refusal;
  refusal.kind = policy::Name(aReason);
  refusal.retryAfter = aRetryAfter;
  for (const auto& text : kReasons) {
    if (text.reason == aReason) {
      refusal.status = text.status;
      refusal.message = text.message;
      refusal.remedy = text.remedy;
    }
  }
  return refusal;
}

http::Response
ToResponse(const Refusal& aRefusal, const std::string& aRequestId)
{
  const double seconds = ToSeconds(aRefusal.retryAfter);
  boost::json::object error;
  error["outcome"] = Name(aRefusal.outcome);
  error["kind"] = aRefusal.kind;
  error["message"] = aRefusal.message;
  error["remedy"] = aRefusal.remedy;
  error["request_id"] = aRequestId;
  if (seconds > 0) {
    error["retry_after_ms"] = std::llround(seconds * 1000);
  }
  boost::json::object body;
  body["error"] = std::move(error);
  auto response =
    http::JsonResponse(aRefusal.status, boost::json::serialize(body));
  response.headers.push_back({ "X-Outcome", Name(aRefusal.outcome) });
  response.headers.push_back({ "X-Reason", aRefusal.kind });
  response.headers.push_back({ "X-Request-Id", aRequestId });
  if (seconds > 0) {
    const auto wholeSeconds = static_cast<long>(std::ceil(seconds));
    response.headers.push_back({ "Retry-After", std::to_string(wholeSeconds) });
  }
  return response;
}

} // namespace magnoliatide::entry
