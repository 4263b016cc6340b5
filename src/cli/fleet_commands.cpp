// Queries VMs over their admin ports for status, audit and promote.
#include "fleet_commands.h"

#include "magnoliatide/document/ini.h"
#include "magnoliatide/document/settings.h"
#include "magnoliatide/http/client.h"
#include "magnoliatide/telemetry/audit.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>

namespace magnoliatide::cli {

namespace {

namespace json = boost::json;
namespace asio = boost::asio;

constexpr Duration kQueryTimeout = Seconds(3);

/// Reply of one VM. The value is empty if the query failed.
struct Reply
{
  std::string vm;
  std::optional<json::value> value;
};

/// Sends the same query to the admin ports of all VMs in --vms.
class AdminClient
{
public:
  explicit AdminClient(const FleetOptions& aFleet)
    : mFleet(aFleet)
  {
  }

  /// Reads the VM addresses and the token. Prints an error for each invalid
  /// option.
  ExitCode Prepare()
  {
    mVms = document::SplitList(mFleet.vms);
    std::vector<Fault> faults;
    mToken = ValueOrFaults([&] { return document::ReadFile(mFleet.tokenFile); },
                           faults);
    boost::algorithm::trim(mToken);
    if (mVms.empty()) {
      faults.push_back({ FaultKind::kMissing,
                         "command line",
                         0,
                         "--vms",
                         "no admin address of a VM is given",
                         "set --vms to IP:PORT,IP:PORT,..." });
    }
    for (const auto& vm : mVms) {
      document::Endpoint ignored;
      if (!document::ParseEndpoint(vm, ignored)) {
        faults.push_back({ FaultKind::kBadValue,
                           "command line",
                           0,
                           "--vms",
                           "\"" + vm + "\" is not a valid address",
                           "use the form IP:PORT" });
      }
    }
    PrintFaults(faults, mFleet.json);
    return faults.empty() ? ExitCode::kSuccess : ExitCode::kUsage;
  }

  /// Sends a GET request for a path to every VM, and prints an error for each
  /// one that fails.
  std::vector<Reply> QueryAll(const std::string& aTarget)
  {
    std::vector<Reply> replies;
    for (const auto& vm : mVms) {
      replies.push_back({ vm, Query(vm, aTarget) });
      if (!replies.back().value) {
        PrintFaults(
          { { FaultKind::kUnreachable,
              vm,
              0,
              "",
              "the VM did not answer, or rejected the token",
              "check the address in --vms, the token in --token_file and that "
              "the VM is running" } },
          mFleet.json);
      }
    }
    return replies;
  }

private:
  std::optional<json::value> Query(const std::string& aVm,
                                   const std::string& aTarget)
  {
    document::Endpoint peer;
    document::ParseEndpoint(aVm, peer);
    http::Request request;
    request.target = aTarget;
    request.headers.push_back({ "Authorization", "Bearer " + mToken });
    asio::io_context loop;
    auto future =
      asio::co_spawn(loop,
                     http::Call(peer, std::move(request), kQueryTimeout),
                     asio::use_future);
    loop.run();
    const auto result = future.get();
    boost::system::error_code error;
    auto value = json::parse(result.response.body, error);
    const bool isValid = result.status == http::CallStatus::kDone &&
                         result.response.status == 200 && !error;
    return isValid ? std::optional<json::value>(std::move(value))
                   : std::nullopt;
  }

  const FleetOptions& mFleet;
  std::vector<std::string> mVms;
  std::string mToken;
};

bool
AllReplied(const std::vector<Reply>& aReplies)
{
  return std::all_of(aReplies.begin(), aReplies.end(), [](const auto& aReply) {
    return aReply.value.has_value();
  });
}

std::string
StringField(const json::value& aObject, const char* aName)
{
  const auto* value = aObject.as_object().if_contains(aName);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

void
PrintStatus(const json::value& aStatus)
{
  std::map<std::string, int> members;
  for (const auto& member : aStatus.at("members").as_array()) {
    members[StringField(member, "state")] += 1;
  }
  std::cout << std::left << std::setw(24) << StringField(aStatus, "slot")
            << " generation " << aStatus.at("generation") << " "
            << StringField(aStatus, "digest").substr(0, 16) << " members";
  for (const auto& [state, count] : members) {
    std::cout << " " << state << "=" << count;
  }
  std::cout << " waiting " << aStatus.at("waiting_by_tier") << " suspects "
            << aStatus.at("suspects").as_array().size() << "\n";
  for (const auto& backend : aStatus.at("backends").as_array()) {
    const auto health = StringField(backend, "standing");
    if (health != "good") {
      std::cout << "    " << StringField(backend, "name") << " is " << health
                << "\n";
    }
  }
}

telemetry::AuditRecord
ParseAuditRecord(const json::value& aValue)
{
  return { aValue.at("number").to_number<std::uint64_t>(),
           StringField(aValue, "observer"),
           StringField(aValue, "time"),
           StringField(aValue, "subject"),
           StringField(aValue, "from"),
           StringField(aValue, "to"),
           StringField(aValue, "cause"),
           StringField(aValue, "digest") };
}

void
PrintAudit(const std::vector<telemetry::AuditRecord>& aRecords, bool aJson)
{
  if (aJson) {
    std::cout << telemetry::ToJson(aRecords) << "\n";
    return;
  }
  for (const auto& record : aRecords) {
    std::cout << record.time << " " << record.observer << " " << record.subject
              << ": " << record.from << " -> " << record.to << " ("
              << record.cause << ")\n";
  }
}

} // namespace

ExitCode
ShowStatus(const FleetOptions& aFleet)
{
  AdminClient client(aFleet);
  const auto prepared = client.Prepare();
  if (prepared != ExitCode::kSuccess) {
    return prepared;
  }
  const auto replies = client.QueryAll("/status");
  json::array array;
  for (const auto& reply : replies) {
    if (!reply.value) {
      continue;
    }
    array.push_back(*reply.value);
    if (!aFleet.json) {
      PrintStatus(*reply.value);
    }
  }
  if (aFleet.json) {
    std::cout << json::serialize(array) << "\n";
  }
  return AllReplied(replies) ? ExitCode::kSuccess : ExitCode::kUnreachable;
}

ExitCode
ShowAudit(const FleetOptions& aFleet)
{
  AdminClient client(aFleet);
  const auto prepared = client.Prepare();
  if (prepared != ExitCode::kSuccess) {
    return prepared;
  }
  const auto replies = client.QueryAll("/audit");
  std::map<std::string, std::vector<telemetry::AuditRecord>> trails;
  std::vector<telemetry::AuditRecord> merged;
  for (const auto& reply : replies) {
    if (!reply.value) {
      continue;
    }
    for (const auto& value : reply.value->as_array()) {
      const auto record = ParseAuditRecord(value);
      trails[record.observer].push_back(record);
      merged.push_back(record);
    }
  }
  std::stable_sort(merged.begin(), merged.end(), [](const auto& aL, auto& aR) {
    return aL.time < aR.time;
  });
  PrintAudit(merged, aFleet.json);
  for (const auto& [observer, trail] : trails) {
    const auto invalidRecord = telemetry::FirstInvalidRecord(trail);
    if (invalidRecord > 0) {
      std::cerr << observer << ": the audit trail is broken at record "
                << invalidRecord << "\n";
    }
  }
  return AllReplied(replies) ? ExitCode::kSuccess : ExitCode::kUnreachable;
}

ExitCode
RequireActiveDocument(const document::Document& aDocument,
                      const FleetOptions& aFleet)
{
  AdminClient client(aFleet);
  const auto prepared = client.Prepare();
  if (prepared != ExitCode::kSuccess) {
    return prepared;
  }
  const auto replies = client.QueryAll("/status");
  if (!AllReplied(replies)) {
    return ExitCode::kUnreachable;
  }
  for (const auto& reply : replies) {
    const bool isActive =
      StringField(*reply.value, "environment") == aDocument.environment &&
      StringField(*reply.value, "digest") == aDocument.digest;
    if (!isActive) {
      PrintFaults({ { FaultKind::kRefused,
                      reply.vm,
                      0,
                      "promote",
                      "the document is not the active document of this VM",
                      "publish it in " + aDocument.environment +
                        " first and verify it there" } },
                  aFleet.json);
      return ExitCode::kRefused;
    }
  }
  return ExitCode::kSuccess;
}

} // namespace magnoliatide::cli
