// Authenticates the caller, selects the route and fills in the job.
#include "request.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>

namespace magnoliatide::forward {

namespace {

/// Part of a request's timeout that is reserved for the network time of the
/// answer.
constexpr Duration kReturnMargin = Milliseconds(5);

/// A route with a higher tier number counts as having this one.
constexpr int kMaxRouteTier = 99;

Refusal
Refuse(RefusalKind aKind, std::string aMessage)
{
  Refusal refusal;
  refusal.kind = aKind;
  refusal.message = std::move(aMessage);
  return refusal;
}

/// Returns a hash of the target, credential and body, which is equal for all
/// retries of a request.
std::uint64_t
FingerprintOf(const Call& aCall)
{
  const auto path = Hash64(aCall.request.target);
  const auto caller = Hash64(aCall.credential, path);
  return Hash64(aCall.request.body, caller);
}

/// Copies the ids of the prompt's parts to the job, except that of the last
/// one, which belongs to the request itself.
void
AddSharedParts(const Generation& aGeneration, policy::Job& aJob)
{
  const auto& segments = aGeneration.segments;
  for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
    if (aJob.sharedParts.size() < policy::kMaxSharedParts) {
      aJob.sharedParts.push_back(segments[i].id);
    }
  }
}

/// Returns the tier of a request. The team's tier takes precedence; the route's
/// tier orders requests within it, and replaces it if the team has none.
int
TierOf(const Request& aRequest)
{
  const int routeTier = std::clamp(aRequest.route->tier, 0, kMaxRouteTier);
  const int mainTier = aRequest.team != nullptr && aRequest.team->tier
                         ? *aRequest.team->tier
                         : routeTier;
  return mainTier * (kMaxRouteTier + 1) + routeTier;
}

/// Returns how many units of its team's quota a request uses.
double
QuotaUnitsOf(const Request& aRequest)
{
  const auto* team = aRequest.team;
  if (team == nullptr || !team->quota.IsBounded()) {
    return 0;
  }
  if (!team->quota.byTokens) {
    return 1;
  }
  const auto& generation = aRequest.call.generation;
  return generation ? generation->promptTokens + generation->maxOutputTokens
                    : team->quota.plainTokens;
}

void
FillJob(Request& aRequest, TimePoint aNow)
{
  const auto& call = aRequest.call;
  const auto& route = *aRequest.route;
  auto& job = aRequest.job;
  job.service = route.PickService(Hash64(call.id));
  job.kind = route.name;
  job.team = aRequest.team != nullptr ? aRequest.team->name : "";
  job.tier = TierOf(aRequest);
  job.quotaUnits = QuotaUnitsOf(aRequest);
  if (call.generation) {
    const auto& generation = *call.generation;
    job.promptTokens = generation.promptTokens;
    job.outputTokens =
      generation.expectedOutputTokens.value_or(generation.maxOutputTokens);
    AddSharedParts(generation, job);
  }
  job.stream = route.stream;
  const auto* service = aRequest.table->FindService(job.service);
  if (service != nullptr && service->model) {
    job.eventTokens = service->model->tokensPerEvent;
  }
  job.fingerprint = FingerprintOf(call);
  job.arrival = aNow;
  job.target = route.target;
  job.gapTarget = route.gapTarget;
  const Duration callerTimeout = call.callerTimeout.value_or(route.timeout);
  job.deadline =
    aNow +
    std::max<Duration>(std::min(callerTimeout, route.timeout) - kReturnMargin,
                       Duration::zero());
}

} // namespace

std::optional<Refusal>
Classify(Request& aRequest, TimePoint aNow)
{
  const auto& call = aRequest.call;
  if (!aRequest.table) {
    auto refusal =
      Refuse(RefusalKind::kNoConfiguration, "this VM has no configuration yet");
    refusal.retryAfter = Milliseconds(500);
    return refusal;
  }
  if (!call.problem.empty()) {
    return Refuse(RefusalKind::kMalformed, call.problem);
  }
  const auto& table = *aRequest.table;
  aRequest.route = table.Match(call.host, http::PathOf(call.request));
  if (aRequest.route == nullptr) {
    return Refuse(RefusalKind::kNoRoute, "no route takes this host and path");
  }
  if (!call.credential.empty()) {
    aRequest.team = table.FindTeam(call.credential);
  }
  const bool anonymousAllowed =
    aRequest.route->anonymous || table.teams.empty();
  if (aRequest.team == nullptr && !anonymousAllowed) {
    return Refuse(RefusalKind::kUnauthenticated,
                  "the credential is missing or unknown");
  }
  FillJob(aRequest, aNow);
  aRequest.events.ResumeAfter(call.lastEventId);
  return std::nullopt;
}

} // namespace magnoliatide::forward
