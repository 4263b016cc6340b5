// Reads INI text into sections and keys that remember their lines, and binds
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

  /// Returns the header's text without brackets.
  std::string Title() const;
};

struct IniText
{
  std::string source;
  std::vector<IniSection> sections;
};

/// Reads INI text.
///
/// @param aSource The name to use in errors.
/// @param aText The text, at most 1 MiB.
/// @return The sections in order, or a FaultList of syntax errors.
leaf::result<IniText>
ReadIni(const std::string& aSource, const std::string& aText);

/// Splits a comma-separated list and trims its items.
std::vector<std::string>
SplitList(std::string_view aText);

/// Reads a duration such as "250ms", "10s", "5m" or "1h".
bool
ParseDuration(std::string_view aText, Duration& aOut);

/// A member that a key can set.
template<typename T>
using Member = std::variant<std::string T::*,
                            double T::*,
                            int T::*,
                            std::uint64_t T::*,
                            bool T::*,
                            Duration T::*,
                            std::vector<std::string> T::*>;

/// One key of a section, where it goes, and its limits.
template<typename T>
struct Field
{
  const char* key;
  Member<T> member;
  bool required = false;
  /// Limits for numbers; for durations in seconds.
  double least = 0;
  double most = 1e15;
};

namespace detail {

enum class Conversion
{
  kDone,
  kNotOfType,
  kOutOfRange,
};

Conversion
Convert(const std::string& aText, double aLeast, double aMost, std::string& aO);
Conversion
Convert(const std::string& aText, double aLeast, double aMost, double& aOut);
Conversion
Convert(const std::string& aText, double aLeast, double aMost, int& aOut);
Conversion
Convert(const std::string& aText,
        double aLeast,
        double aMost,
        std::uint64_t& aOut);
Conversion
Convert(const std::string& aText, double aLeast, double aMost, bool& aOut);
Conversion
Convert(const std::string& aText, double aLeast, double aMost, Duration& aOut);
Conversion
Convert(const std::string& aText,
        double aLeast,
        double aMost,
        std::vector<std::string>& aOut);

void
AddConversionFault(const std::string& aSource,
                   const IniSection& aSection,
                   const IniEntry& aEntry,
                   Conversion aProblem,
                   double aLeast,
                   double aMost,
                   std::vector<Fault>& aFaults);
void
AddUnknownKey(const std::string& aSource,
              const IniSection& aSection,
              const IniEntry& aEntry,
              const std::string& aKnown,
              std::vector<Fault>& aFaults);
void
AddMissingKey(const std::string& aSource,
              const IniSection& aSection,
              const std::string& aKey,
              std::vector<Fault>& aFaults);

} // namespace detail

/// Binds the keys of a section to the members of a struct.
///
/// @param aSource The name to use in errors.
/// @param aSection The section.
/// @param aFields The keys that the section may hold.
/// @param aOut The struct to fill; members without a key keep their values.
/// @param aFaults Receives every error.
template<typename T, std::size_t N>
void
BindSection(const std::string& aSource,
            const IniSection& aSection,
            const Field<T> (&aFields)[N],
            T& aOut,
            std::vector<Fault>& aFaults)
{
  std::string known;
  for (const auto& field : aFields) {
    known += known.empty() ? "" : ", ";
    known += field.key;
  }
  bool seen[N] = {};
  for (const auto& entry : aSection.entries) {
    std::size_t i = 0;
    while (i < N && entry.key != aFields[i].key) {
      ++i;
    }
    if (i == N) {
      detail::AddUnknownKey(aSource, aSection, entry, known, aFaults);
      continue;
    }
    seen[i] = true;
    const auto& field = aFields[i];
    const auto problem = std::visit(
      [&](auto aMember) {
        return detail::Convert(
          entry.value, field.least, field.most, aOut.*aMember);
      },
      field.member);
    if (problem != detail::Conversion::kDone) {
      detail::AddConversionFault(
        aSource, aSection, entry, problem, field.least, field.most, aFaults);
    }
  }
  for (std::size_t i = 0; i < N; ++i) {
    if (aFields[i].required && !seen[i]) {
      detail::AddMissingKey(aSource, aSection, aFields[i].key, aFaults);
    }
  }
}

} // namespace magnoliatide::document

#endif
