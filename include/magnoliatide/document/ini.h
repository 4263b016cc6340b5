// Parses INI text into sections and keys with their line numbers, and binds
// them to structs by tables of member pointers.
#ifndef MAGNOLIATIDE_DOCUMENT_INI_H
#define MAGNOLIATIDE_DOCUMENT_INI_H

#include "magnoliatide/core/fault.h"
#include "magnoliatide/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliatide::document {

/// A key and its value.
struct IniEntry
{
  std::string key;
  std::string value;
  int line = 0;
};

/// A section such as "[team planners]": its type is "team", its name
/// "planners". A section such as "[environment]" has no name.
struct IniSection
{
  std::string type;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  /// Returns the text of the header without its brackets.
  std::string Title() const;
};

/// The sections of one text, in order.
struct IniText
{
  std::string source;
  std::vector<IniSection> sections;
};

/// Parses INI text.
///
/// @param aSource The name to use in errors.
/// @param aText The text, at most 1 MiB.
/// @return The sections in order, or a FaultList of syntax errors.
leaf::result<IniText>
ReadIni(const std::string& aSource, const std::string& aText);

/// Splits a comma-separated list. Trims its items and drops empty ones.
std::vector<std::string>
SplitList(std::string_view aText);

/// Parses a duration such as "250ms", "10s", "5m" or "1h". Returns whether the
/// text is valid.
bool
ParseDuration(std::string_view aText, Duration& aOut);

/// A pointer to a member that a key can set.
template<typename T>
using Member = std::variant<std::string T::*,
                            double T::*,
                            int T::*,
                            std::uint64_t T::*,
                            bool T::*,
                            Duration T::*,
                            std::vector<std::string> T::*>;

/// One key of a section, the member that it sets, and its limits.
template<typename T>
struct Field
{
  const char* key;
  Member<T> member;
  bool required = false;
  /// Limits of a number, or of a duration in seconds.
  double min = 0;
  double max = 1e15;
};

namespace detail {

enum class Conversion
{
  kDone,
  kNotOfType,
  kOutOfRange,
};

/// Converts the value of a key to the type of its member. Checks the limits of
/// numbers, and in seconds those of durations. Other types ignore the limits.
Conversion
Convert(const std::string& aText, double aMin, double aMax, std::string& aOut);
Conversion
Convert(const std::string& aText, double aMin, double aMax, double& aOut);
Conversion
Convert(const std::string& aText, double aMin, double aMax, int& aOut);
Conversion
Convert(const std::string& aText,
        double aMin,
        double aMax,
        std::uint64_t& aOut);
Conversion
Convert(const std::string& aText, double aMin, double aMax, bool& aOut);
Conversion
Convert(const std::string& aText, double aMin, double aMax, Duration& aOut);
Conversion
Convert(const std::string& aText,
        double aMin,
        double aMax,
        std::vector<std::string>& aOut);

void
AddConversionFault(const std::string& aSource,
                   const IniSection& aSection,
                   const IniEntry& aEntry,
                   Conversion aProblem,
                   double aMin,
                   double aMax,
                   std::vector<Fault>& aFaults);
void
AddUnknownKeyFault(const std::string& aSource,
                   const IniSection& aSection,
                   const IniEntry& aEntry,
                   const std::string& aKnownKeys,
                   std::vector<Fault>& aFaults);
void
AddMissingKeyFault(const std::string& aSource,
                   const IniSection& aSection,
                   const std::string& aKey,
                   std::vector<Fault>& aFaults);

} // namespace detail

/// Binds the keys of a section to the members of a struct.
///
/// @param aSource The name to use in errors.
/// @param aSection The section.
/// @param aFields The keys that the section may have.
/// @param aOut The struct to fill. Members whose keys are absent keep their
///   values.
/// @param aFaults Receives every error.
template<typename T, std::size_t N>
void
BindSection(const std::string& aSource,
            const IniSection& aSection,
            const Field<T> (&aFields)[N],
            T& aOut,
            std::vector<Fault>& aFaults)
{
  std::string knownKeys;
  for (const auto& field : aFields) {
    knownKeys += knownKeys.empty() ? "" : ", ";
    knownKeys += field.key;
  }
  bool seen[N] = {};
  for (const auto& entry : aSection.entries) {
    std::size_t i = 0;
    while (i < N && entry.key != aFields[i].key) {
      ++i;
    }
    if (i == N) {
      detail::AddUnknownKeyFault(aSource, aSection, entry, knownKeys, aFaults);
      continue;
    }
    seen[i] = true;
    const auto& field = aFields[i];
    const auto problem = std::visit(
      [&](auto aMember) {
        return detail::Convert(
          entry.value, field.min, field.max, aOut.*aMember);
      },
      field.member);
    if (problem != detail::Conversion::kDone) {
      detail::AddConversionFault(
        aSource, aSection, entry, problem, field.min, field.max, aFaults);
    }
  }
  for (std::size_t i = 0; i < N; ++i) {
    if (aFields[i].required && !seen[i]) {
      detail::AddMissingKeyFault(aSource, aSection, aFields[i].key, aFaults);
    }
  }
}

} // namespace magnoliatide::document

#endif
