// Commands that ask VMs over their admin ports.
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

constexpr Duration kAskBound = Seconds(3);

/// The answer of one VM; no value where there was none.
struct Answer
{
  std::string vm;
  std::optional<json::value> value;
};

class Asker
{
public:
  explicit Asker(const FleetOptions& aFleet)
    : mFleet(aFleet)
  {
  }

  /// Reads the flags. Reports what is wrong with them.
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
                         "no VM is given",
                         "give admin addresses as IP:PORT,IP:PORT" });
    }
    for (const auto& vm : mVms) {
      document::Endpoint ignored;
      if (!document::ParseEndpoint(vm, ignored)) {
        faults.push_back({ FaultKind::kBadValue,
                           "command line",
                           0,
                           "--vms",
                           "\"" + vm + "\" is not an address",
                           "write IP:PORT" });
      }
    }
    PrintFaults(faults, mFleet.json);
    return faults.empty() ? ExitCode::kDone : ExitCode::kUsage;
  }

  /// Asks every VM for a path.
  std::vector<Answer> AskAll(const std::string& aTarget)
  {
    std::vector<Answer> answers;
    for (const auto& vm : mVms) {
      answers.push_back({ vm, Ask(vm, aTarget) });
      if (!answers.back().value) {
        PrintFaults({ { FaultKind::kUnreachable,
                        vm,
                        0,
                        "",
                        "the VM did not answer, or refused the token",
                        "check the address, the token and that it runs" } },
                    mFleet.json);
      }
    }
    return answers;
  }

private:
  std::optional<json::value> Ask(const std::string& aVm,
                                 const std::string& aTarget)
  {
    document::Endpoint peer;
    document::ParseEndpoint(aVm, peer);
    http::Request request;
    request.target = aTarget;
    request.headers.push_back({ "Authorization", "Bearer " + mToken });
    asio::io_context loop;
    auto future = asio::co_spawn(
      loop, http::Call(peer, std::move(request), kAskBound), asio::use_future);
    loop.run();
    const auto result = future.get();
    boost::system::error_code error;
    auto value = json::parse(result.response.body, error);
    const bool good = result.status == http::CallStatus::kDone &&
                      result.response.status == 200 && !error;
    return good ? std::optional<json::value>(std::move(value)) : std::nullopt;
  }

  const FleetOptions& mFleet;
  std::vector<std::string> mVms;
  std::string mToken;
};

bool
AllAnswered(const std::vector<Answer>& aAnswers)
{
  return std::all_of(aAnswers.begin(), aAnswers.end(), [](const auto& aA) {
    return aA.value.has_value();
  });
}

std::string
Text(const json::value& aObject, const char* aName)
{
  const auto* value = aObject.as_object().if_contains(aName);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

void
PrintStatus(const json::value& aStatus)
{
  std::map<std::string, int> members;
  for (const auto& member : aStatus.at("members").as_array()) {
    members[Text(member, "state")] += 1;
  }
  std::cout << std::left << std::setw(24) << Text(aStatus, "slot")
            << " generation " << aStatus.at("generation") << " "
            << Text(aStatus, "digest").substr(0, 16) << " members";
  for (const auto& [state, count] : members) {
    std::cout << " " << state << "=" << count;
  }
  std::cout << " waiting " << aStatus.at("waiting_by_tier") << " suspects "
            << aStatus.at("suspects").as_array().size() << "\n";
  for (const auto& backend : aStatus.at("backends").as_array()) {
    const auto standing = Text(backend, "standing");
    if (standing != "good") {
      std::cout << "    " << Text(backend, "name") << " is " << standing
                << "\n";
    }
  }
}

telemetry::AuditRecord
RecordOf(const json::value& aValue)
{
  return { aValue.at("number").to_number<std::uint64_t>(),
           Text(aValue, "observer"),
           Text(aValue, "time"),
           Text(aValue, "subject"),
           Text(aValue, "from"),
           Text(aValue, "to"),
           Text(aValue, "cause"),
           Text(aValue, "digest") };
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
  Asker asker(aFleet);
  const auto prepared = asker.Prepare();
  if (prepared != ExitCode::kDone) {
    return prepared;
  }
  const auto answers = asker.AskAll("/status");
  json::array array;
  for (const auto& answer : answers) {
    if (!answer.value) {
      continue;
    }
    array.push_back(*answer.value);
    if (!aFleet.json) {
      PrintStatus(*answer.value);
    }
  }
  if (aFleet.json) {
    std::cout << json::serialize(array) << "\n";
  }
  return AllAnswered(answers) ? ExitCode::kDone : ExitCode::kUnreachable;
}

ExitCode
ShowAudit(const FleetOptions& aFleet)
{
  Asker asker(aFleet);
  const auto prepared = asker.Prepare();
  if (prepared != ExitCode::kDone) {
    return prepared;
  }
  const auto answers = asker.AskAll("/audit");
  std::map<std::string, std::vector<telemetry::AuditRecord>> trails;
  std::vector<telemetry::AuditRecord> merged;
  for (const auto& answer : answers) {
    if (!answer.value) {
      continue;
    }
    for (const auto& value : answer.value->as_array()) {
      const auto record = RecordOf(value);
      trails[record.observer].push_back(record);
      merged.push_back(record);
    }
  }
  std::stable_sort(merged.begin(), merged.end(), [](const auto& aL, auto& aR) {
    return aL.time < aR.time;
  });
  PrintAudit(merged, aFleet.json);
  for (const auto& [observer, trail] : trails) {
    const auto broken = telemetry::FirstBroken(trail);
    if (broken > 0) {
      std::cerr << observer << ": the trail is broken at record " << broken
                << "\n";
    }
  }
  return AllAnswered(answers) ? ExitCode::kDone : ExitCode::kUnreachable;
}

ExitCode
RequireInForce(const document::Document& aDocument, const FleetOptions& aFleet)
{
  Asker asker(aFleet);
  const auto prepared = asker.Prepare();
  if (prepared != ExitCode::kDone) {
    return prepared;
  }
  const auto answers = asker.AskAll("/status");
  if (!AllAnswered(answers)) {
    return ExitCode::kUnreachable;
  }
  for (const auto& answer : answers) {
    const bool same =
      Text(*answer.value, "environment") == aDocument.environment &&
      Text(*answer.value, "digest") == aDocument.digest;
    if (!same) {
      PrintFaults({ { FaultKind::kRefused,
                      answer.vm,
                      0,
                      "promote",
                      "the document is not the one in force on this VM",
                      "publish it in " + aDocument.environment +
                        " first, and watch it there" } },
                  aFleet.json);
      return ExitCode::kRefused;
    }
  }
  return ExitCode::kDone;
}

} // namespace magnoliatide::cli
