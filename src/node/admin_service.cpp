// The operators' port.
#include "admin_service.h"

#include "magnoliatide/core/digest.h"

#include <boost/json.hpp>

namespace magnoliatide::node {

namespace json = boost::json;

namespace {

json::array
MembersJson(const std::vector<wire::MemberRecord>& aRecords)
{
  static constexpr const char* kStates[] = {
    "alive", "suspect", "dead", "left"
  };
  json::array members;
  for (const auto& record : aRecords) {
    members.push_back(json::object{
      { "slot", record.slot },
      { "peer", record.address },
      { "process", ToHex(record.process) },
      { "state", kStates[static_cast<std::size_t>(record.state)] } });
  }
  return members;
}

json::array
BackendsJson(const std::vector<policy::BackendView>& aViews)
{
  json::array backends;
  for (const auto& view : aViews) {
    backends.push_back(
      json::object{ { "name", view.name },
                    { "service", view.service },
                    { "zone", view.zone },
                    { "standing", view.standing },
                    { "in_flight", view.inFlight },
                    { "slots", view.cap },
                    { "token_ms", view.tokenMillis },
                    { "prefill_tokens_per_s", view.prefillTokensPerSecond } });
  }
  return backends;
}

json::object
WaitingJson(const std::map<std::string, std::vector<int>>& aWaiting)
{
  json::object services;
  for (const auto& [service, counts] : aWaiting) {
    json::array tiers;
    for (const int count : counts) {
      tiers.push_back(count);
    }
    services[service] = std::move(tiers);
  }
  return services;
}

} // namespace

AdminService::AdminService(AdminParts aParts)
  : mParts(std::move(aParts))
{
}

bool
AdminService::Authorized(const http::Request& aRequest) const
{
  const auto header = http::Find(aRequest.headers, "Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  return header.starts_with(kScheme) &&
         EqualInConstantTime(Sha256Hex(header.substr(kScheme.size())),
                             mParts.settings->adminTokenDigest);
}

boost::asio::awaitable<void>
AdminService::Handle(http::Exchange& aExchange)
{
  const auto& request = aExchange.Incoming();
  const std::string path(http::PathOf(request));
  http::Response response = http::TextResponse(404, "no such path\n");
  if (!Authorized(request)) {
    mParts.metrics->Count("admin_refused_total");
    response = http::TextResponse(401, "send the operators' token\n");
  } else if (path == "/metrics") {
    response = http::TextResponse(200, mParts.metrics->Render());
  } else if (path == "/status") {
    response = http::JsonResponse(200, StatusJson());
  } else if (path == "/audit") {
    const auto after = http::QueryOf(request, "after");
    response =
      http::JsonResponse(200,
                         telemetry::ToJson(mParts.audit->Since(
                           std::strtoull(after.c_str(), nullptr, 10))));
  } else if (path == "/document") {
    const auto document = mParts.document->Load();
    response =
      http::TextResponse(document ? 200 : 404, document ? document->text : "");
  }
  co_await aExchange.Respond(std::move(response));
}

std::string
AdminService::StatusJson() const
{
  const auto now = Clock::now();
  const auto document = mParts.document->Load();
  json::object status;
  status["slot"] = mParts.settings->slot;
  status["environment"] = mParts.settings->environment;
  status["process"] = ToHex(mParts.process);
  status["generation"] = document ? document->generation : 0;
  status["digest"] = document ? document->digest : "";
  status["origin"] = document ? document->origin : "";
  status["members"] = MembersJson(mParts.members());
  status["backends"] = BackendsJson(mParts.scheduler->Backends(now));
  status["waiting_by_tier"] = WaitingJson(mParts.scheduler->Waiting());
  json::array suspects;
  for (const auto& entry : mParts.scheduler->SuspectEntries(now)) {
    suspects.push_back(json::object{
      { "fingerprint", ToHex(entry.fingerprint) },
      { "harmful", entry.level == policy::Suspicion::kHarmful } });
  }
  status["suspects"] = std::move(suspects);
  json::array leaving;
  for (const auto& name : mParts.leaving()) {
    leaving.push_back(json::value(name));
  }
  status["leaving"] = std::move(leaving);
  status["claims_complete"] = mParts.claimsComplete();
  status["claim_keys"] = mParts.claimKeys();
  return json::serialize(status);
}

} // namespace magnoliatide::node
