// INI parsing. Boost.PropertyTree checks the syntax. A second pass over the
// lines records the line number of each section and key for error messages.
#include "magnoliatide/document/ini.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <charconv>
#include <cmath>
#include <set>
#include <sstream>

namespace magnoliatide::document {

namespace {

constexpr std::size_t kMaxTextBytes = 1024 * 1024;

std::string
Trimmed(std::string_view aText)
{
  return boost::algorithm::trim_copy(std::string(aText));
}

bool
ParseNumber(const std::string& aText, double& aOut)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, aOut);
  return error == std::errc() && stop == end && std::isfinite(aOut);
}

bool
InRange(double aValue, double aMin, double aMax)
{
  return aValue >= aMin && aValue <= aMax;
}

IniSection
ParseHeader(const std::string& aLine, int aNumber)
{
  const std::string title = Trimmed(aLine.substr(1, aLine.find(']') - 1));
  IniSection section;
  section.line = aNumber;
  const auto space = title.find(' ');
  section.type = title.substr(0, space);
  if (space != std::string::npos) {
    section.name = Trimmed(title.substr(space + 1));
  }
  return section;
}

std::vector<IniSection>
ParseSections(const std::string& aText)
{
  std::vector<IniSection> sections;
  std::istringstream lines(aText);
  std::string raw;
  for (int number = 1; std::getline(lines, raw); ++number) {
    const std::string line = Trimmed(raw);
    if (line.empty() || line[0] == ';' || line[0] == '#') {
      continue;
    }
    if (line[0] == '[') {
      sections.push_back(ParseHeader(line, number));
      continue;
    }
    if (sections.empty()) {
      sections.push_back({ "", "", number, {} });
    }
    const auto equals = line.find('=');
    sections.back().entries.push_back(
      { Trimmed(line.substr(0, equals)),
        equals == std::string::npos ? "" : Trimmed(line.substr(equals + 1)),
        number });
  }
  return sections;
}

std::vector<Fault>
SyntaxFaults(const std::string& aSource, const std::string& aText)
{
  if (aText.size() > kMaxTextBytes) {
    return { { FaultKind::kSyntax,
               aSource,
               0,
               "",
               "the text is larger than 1 MiB",
               "reduce it to 1 MiB or less" } };
  }
  std::istringstream stream(aText);
  boost::property_tree::ptree ignored;
  try {
    boost::property_tree::ini_parser::read_ini(stream, ignored);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return { { FaultKind::kSyntax,
               aSource,
               static_cast<int>(error.line()),
               "",
               error.message(),
               "write [section] lines and key = value lines only, and each "
               "section and each key of a section once" } };
  }
  return {};
}

} // namespace

std::string
IniSection::Title() const
{
  return name.empty() ? type : type + " " + name;
}

leaf::result<IniText>
ReadIni(const std::string& aSource, const std::string& aText)
{
  auto faults = SyntaxFaults(aSource, aText);
  if (!faults.empty()) {
    return leaf::new_error(FaultList{ std::move(faults) });
  }
  return IniText{ aSource, ParseSections(aText) };
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> items;
  while (!aText.empty()) {
    const auto comma = aText.find(',');
    std::string item = Trimmed(aText.substr(0, comma));
    if (!item.empty()) {
      items.push_back(std::move(item));
    }
    aText.remove_prefix(comma == std::string_view::npos ? aText.size()
                                                        : comma + 1);
  }
  return items;
}

bool
ParseDuration(std::string_view aText, Duration& aOut)
{
  struct Unit
  {
    std::string_view suffix;
    double seconds;
  };
  static constexpr Unit kUnits[] = {
    { "ms", 1e-3 }, { "s", 1 }, { "m", 60 }, { "h", 3600 }
  };
  for (const auto& unit : kUnits) {
    if (!aText.ends_with(unit.suffix)) {
      continue;
    }
    const auto digits = aText.substr(0, aText.size() - unit.suffix.size());
    double number = 0;
    if (!ParseNumber(std::string(digits), number)) {
      return false;
    }
    aOut = FromSeconds(number * unit.seconds);
    return true;
  }
  return false;
}

namespace detail {

Conversion
Convert(const std::string& aText, double, double, std::string& aOut)
{
  aOut = aText;
  return aText.empty() ? Conversion::kNotOfType : Conversion::kDone;
}

Conversion
Convert(const std::string& aText, double aMin, double aMax, double& aOut)
{
  std::string digits = aText;
  const bool percent = digits.ends_with('%');
  if (percent) {
    digits.pop_back();
  }
  double value = 0;
  if (!ParseNumber(digits, value)) {
    return Conversion::kNotOfType;
  }
  aOut = percent ? value / 100 : value;
  return InRange(aOut, aMin, aMax) ? Conversion::kDone
                                   : Conversion::kOutOfRange;
}

Conversion
Convert(const std::string& aText, double aMin, double aMax, int& aOut)
{
  double value = 0;
  if (!ParseNumber(aText, value) || value != std::floor(value)) {
    return Conversion::kNotOfType;
  }
  // Values beyond +-2e9 may not fit an int.
  if (!InRange(value, std::max(aMin, -2e9), std::min(aMax, 2e9))) {
    return Conversion::kOutOfRange;
  }
  aOut = static_cast<int>(value);
  return Conversion::kDone;
}

Conversion
Convert(const std::string& aText, double aMin, double aMax, std::uint64_t& aOut)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, aOut);
  if (error != std::errc() || stop != end) {
    return Conversion::kNotOfType;
  }
  return InRange(static_cast<double>(aOut), aMin, aMax)
           ? Conversion::kDone
           : Conversion::kOutOfRange;
}

Conversion
Convert(const std::string& aText, double, double, bool& aOut)
{
  aOut = aText == "yes";
  return aOut || aText == "no" ? Conversion::kDone : Conversion::kNotOfType;
}

Conversion
Convert(const std::string& aText, double aMin, double aMax, Duration& aOut)
{
  if (!ParseDuration(aText, aOut)) {
    return Conversion::kNotOfType;
  }
  return InRange(ToSeconds(aOut), aMin, aMax) ? Conversion::kDone
                                              : Conversion::kOutOfRange;
}

Conversion
Convert(const std::string& aText,
        double,
        double,
        std::vector<std::string>& aOut)
{
  aOut = SplitList(aText);
  return aOut.empty() ? Conversion::kNotOfType : Conversion::kDone;
}

void
AddConversionFault(const std::string& aSource,
                   const IniSection& aSection,
                   const IniEntry& aEntry,
                   Conversion aProblem,
                   double aMin,
                   double aMax,
                   std::vector<Fault>& aFaults)
{
  std::ostringstream remedy;
  if (aProblem == Conversion::kOutOfRange) {
    remedy << "write a value within these limits (in seconds for a "
              "duration): "
           << aMin << " to " << aMax;
  } else {
    remedy
      << "write a value of this key's type: a text, a number such as 10 or "
         "20%, a duration such as 250ms, yes or no, or a "
         "comma-separated list";
  }
  aFaults.push_back({ FaultKind::kBadValue,
                      aSource,
                      aEntry.line,
                      aSection.Title() + " / " + aEntry.key,
                      "\"" + aEntry.value + "\" is not a valid value",
                      remedy.str() });
}

void
AddUnknownKeyFault(const std::string& aSource,
                   const IniSection& aSection,
                   const IniEntry& aEntry,
                   const std::string& aKnownKeys,
                   std::vector<Fault>& aFaults)
{
  aFaults.push_back({ FaultKind::kUnknownName,
                      aSource,
                      aEntry.line,
                      aSection.Title() + " / " + aEntry.key,
                      "the section has no such key",
                      "use one of: " + aKnownKeys });
}

void
AddMissingKeyFault(const std::string& aSource,
                   const IniSection& aSection,
                   const std::string& aKey,
                   std::vector<Fault>& aFaults)
{
  aFaults.push_back({ FaultKind::kMissing,
                      aSource,
                      aSection.line,
                      aSection.Title() + " / " + aKey,
                      "the required key is missing",
                      "add a line \"" + aKey + " = ...\" to the section" });
}

} // namespace detail

} // namespace magnoliatide::document
