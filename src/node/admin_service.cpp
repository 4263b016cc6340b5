// Handles the requests of operators' tools.
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
BackendsJson(const std::vector<policy::BackendStatus>& aBackends)
{
  json::array backends;
  for (const auto& status : aBackends) {
    backends.push_back(json::object{
      { "name", status.name },
      { "service", status.service },
      { "zone", status.zone },
      { "standing", status.standing },
      { "in_flight", status.inFlight },
      { "slots", status.slotLimit },
      { "token_ms", status.tokenMillis },
      { "prefill_tokens_per_s", status.prefillTokensPerSecond } });
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

AdminService::AdminService(AdminServiceParams aParams)
  : mParams(std::move(aParams))
{
}

bool
AdminService::IsAuthorized(const http::Request& aRequest) const
{
  const auto header = http::Find(aRequest.headers, "Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  return header.starts_with(kScheme) &&
         EqualInConstantTime(Sha256Hex(header.substr(kScheme.size())),
                             mParams.settings->adminTokenDigest);
}

boost::asio::awaitable<void>
AdminService::Handle(http::Exchange& aExchange)
{
  const auto& request = aExchange.Incoming();
  const std::string path(http::PathOf(request));
  http::Response response = http::TextResponse(404, "unknown path\n");
  if (!IsAuthorized(request)) {
    mParams.metrics->Count("admin_refused_total");
    response = http::TextResponse(
      401,
      "the operators' token is missing or wrong; send it as a bearer token\n");
  } else if (path == "/metrics") {
    response = http::TextResponse(200, mParams.metrics->Render());
  } else if (path == "/status") {
    response = http::JsonResponse(200, StatusJson());
  } else if (path == "/audit") {
    const auto after = http::QueryParameter(request, "after");
    response =
      http::JsonResponse(200,
                         telemetry::ToJson(mParams.audit->Since(
                           std::strtoull(after.c_str(), nullptr, 10))));
  } else if (path == "/document") {
    const auto document = mParams.document->Load();
    response =
      http::TextResponse(document ? 200 : 404, document ? document->text : "");
  }
  co_await aExchange.Respond(std::move(response));
}

std::string
AdminService::StatusJson() const
{
  const auto now = Clock::now();
  const auto document = mParams.document->Load();
  json::object status;
  status["slot"] = mParams.settings->slot;
  status["environment"] = mParams.settings->environment;
  status["process"] = ToHex(mParams.process);
  status["generation"] = document ? document->generation : 0;
  status["digest"] = document ? document->digest : "";
  status["origin"] = document ? document->origin : "";
  status["members"] = MembersJson(mParams.members());
  status["backends"] = BackendsJson(mParams.scheduler->Backends(now));
  status["waiting_by_tier"] = WaitingJson(mParams.scheduler->Waiting());
  json::array suspects;
  for (const auto& entry : mParams.scheduler->SuspectEntries(now)) {
    suspects.push_back(json::object{
      { "fingerprint", ToHex(entry.fingerprint) },
      { "harmful", entry.level == policy::SuspectLevel::kHarmful } });
  }
  status["suspects"] = std::move(suspects);
  json::array leaving;
  for (const auto& name : mParams.leaving()) {
    leaving.push_back(json::value(name));
  }
  status["leaving"] = std::move(leaving);
  status["claims_complete"] = mParams.claimsComplete();
  status["claim_keys"] = mParams.claimKeyCount();
  return json::serialize(status);
}

} // namespace magnoliatide::node
