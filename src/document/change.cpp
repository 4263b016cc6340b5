// Differences between two documents, and promotion of a document from one
// environment to another.
#include "magnoliatide/document/document.h"

#include "magnoliatide/document/ini.h"

#include <map>
#include <sstream>

namespace magnoliatide::document {

namespace {

using KeyValues = std::map<std::string, std::string>;
using SectionMap = std::map<std::string, KeyValues>;

SectionMap
SectionsOf(const Document& aDocument)
{
  SectionMap sections;
  std::vector<Fault> ignored;
  const auto ini =
    ValueOrFaults([&] { return ReadIni("document", aDocument.text); }, ignored);
  for (const auto& section : ini.sections) {
    for (const auto& entry : section.entries) {
      sections[section.Title()][entry.key] = entry.value;
    }
  }
  return sections;
}

void
AddKeyChanges(const std::string& aTitle,
              const KeyValues& aFrom,
              const KeyValues& aTo,
              std::vector<std::string>& aLines)
{
  for (const auto& [key, value] : aTo) {
    const auto old = aFrom.find(key);
    if (old == aFrom.end()) {
      aLines.push_back("set      " + aTitle + " / " + key + " = " + value);
    } else if (old->second != value) {
      aLines.push_back("change   " + aTitle + " / " + key + ": " + old->second +
                       " -> " + value);
    }
  }
  for (const auto& [key, value] : aFrom) {
    if (aTo.count(key) == 0) {
      aLines.push_back("unset    " + aTitle + " / " + key + " (was " + value +
                       ")");
    }
  }
}

std::string
EnvironmentLines(const Document& aTrial,
                 const std::string& aTarget,
                 std::uint64_t aGeneration)
{
  return "name = " + aTarget + "\ngeneration = " + std::to_string(aGeneration) +
         "\norigin = " + aTrial.environment + ":" +
         std::to_string(aTrial.generation) + ":" + aTrial.digest + "\n";
}

} // namespace

std::vector<std::string>
Difference(const Document& aFrom, const Document& aTo)
{
  const auto from = SectionsOf(aFrom);
  const auto to = SectionsOf(aTo);
  std::vector<std::string> lines;
  for (const auto& [title, keys] : to) {
    const auto old = from.find(title);
    if (old == from.end()) {
      lines.push_back("add      [" + title + "]");
    } else {
      AddKeyChanges(title, old->second, keys, lines);
    }
  }
  for (const auto& [title, keys] : from) {
    if (to.count(title) == 0) {
      lines.push_back("remove   [" + title + "]");
    }
  }
  return lines;
}

std::string
PromotedText(const Document& aTrial,
             const std::string& aTarget,
             std::uint64_t aGeneration)
{
  std::istringstream lines(aTrial.text);
  std::string text;
  std::string line;
  bool inEnvironment = false;
  while (std::getline(lines, line)) {
    if (line.starts_with('[')) {
      inEnvironment = line.starts_with("[environment]");
      text += line + "\n";
      text +=
        inEnvironment ? EnvironmentLines(aTrial, aTarget, aGeneration) : "";
    } else if (!inEnvironment || line.starts_with(';')) {
      text += line + "\n";
    }
  }
  return text;
}

} // namespace magnoliatide::document
