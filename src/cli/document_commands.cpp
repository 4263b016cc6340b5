// Implementation of the commands that read documents.
#include "document_commands.h"

#include "fleet_commands.h"

#include "magnoliatide/document/document.h"
#include "magnoliatide/document/settings.h"

#include <boost/json.hpp>

#include <iostream>

namespace magnoliatide::cli {

namespace {

namespace json = boost::json;

document::Document
LoadDocument(const std::string& aFile, std::vector<Fault>& aFaults)
{
  return ValueOrFaults(
    [&]() -> leaf::result<document::Document> {
      BOOST_LEAF_AUTO(text, document::ReadFile(aFile));
      return document::ParseDocument(aFile, text);
    },
    aFaults);
}

} // namespace

void
PrintFaults(const std::vector<Fault>& aFaults, bool aJson)
{
  if (!aJson) {
    for (const auto& fault : aFaults) {
      std::cerr << Describe(fault) << "\n";
    }
    return;
  }
  json::array array;
  for (const auto& fault : aFaults) {
    array.push_back(json::object{ { "kind", Name(fault.kind) },
                                  { "source", fault.source },
                                  { "line", fault.line },
                                  { "key", fault.key },
                                  { "problem", fault.problem },
                                  { "remedy", fault.remedy } });
  }
  std::cerr << json::serialize(array) << "\n";
}

ExitCode
CheckDocuments(const std::vector<std::string>& aFiles, bool aJson)
{
  std::vector<Fault> allFaults;
  for (const auto& file : aFiles) {
    std::vector<Fault> faults;
    const auto document = LoadDocument(file, faults);
    allFaults.insert(allFaults.end(), faults.begin(), faults.end());
    if (faults.empty() && !aJson) {
      std::cout << file << ": valid, environment " << document.environment
                << ", generation " << document.generation << ", digest "
                << document.digest << "\n";
    }
  }
  PrintFaults(allFaults, aJson);
  return allFaults.empty() ? ExitCode::kSuccess : ExitCode::kFaults;
}

ExitCode
DiffDocuments(const std::string& aFrom, const std::string& aTo, bool aJson)
{
  std::vector<Fault> faults;
  const auto from = LoadDocument(aFrom, faults);
  if (!faults.empty()) {
    PrintFaults(faults, aJson);
    return ExitCode::kFaults;
  }
  const auto to = LoadDocument(aTo, faults);
  if (!faults.empty()) {
    PrintFaults(faults, aJson);
    return ExitCode::kFaults;
  }
  json::array array;
  for (const auto& line : document::Difference(from, to)) {
    array.push_back(json::value(line));
    if (!aJson) {
      std::cout << line << "\n";
    }
  }
  if (aJson) {
    std::cout << json::serialize(array) << "\n";
  }
  return ExitCode::kSuccess;
}

ExitCode
PromoteDocument(const std::string& aTrial,
                const std::string& aTarget,
                std::uint64_t aGeneration,
                const FleetOptions& aFleet)
{
  std::vector<Fault> faults;
  const auto trial = LoadDocument(aTrial, faults);
  if (!faults.empty()) {
    PrintFaults(faults, aFleet.json);
    return ExitCode::kFaults;
  }
  const auto refuse = [&](const std::string& aProblem,
                          const std::string& aRemedy) {
    PrintFaults(
      { { FaultKind::kRefused, aTrial, 0, "promote", aProblem, aRemedy } },
      aFleet.json);
    return ExitCode::kRefused;
  };
  if (aGeneration == 0) {
    return refuse("--generation is missing or 0",
                  "set --generation to 1 more than the generation active in " +
                    aTarget);
  }
  if (aTarget == trial.environment) {
    return refuse("--target is the environment of the document itself",
                  "set --target to another environment");
  }
  const auto code = RequireActiveDocument(trial, aFleet);
  if (code != ExitCode::kSuccess) {
    return code;
  }
  const auto text = document::PromotedText(trial, aTarget, aGeneration);
  ValueOrFaults([&] { return document::ParseDocument("promoted", text); },
                faults);
  if (!faults.empty()) {
    PrintFaults(faults, aFleet.json);
    return ExitCode::kFaults;
  }
  std::cout << text;
  return ExitCode::kSuccess;
}

} // namespace magnoliatide::cli
