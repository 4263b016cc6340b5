// Typed errors with a kind, a description of the problem and a remedy.
#ifndef MAGNOLIATIDE_CORE_FAULT_H
#define MAGNOLIATIDE_CORE_FAULT_H

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace magnoliatide {

namespace leaf = boost::leaf;

/// The category of an error.
enum class FaultKind
{
  kUnreadable,  ///< A file or a reply could not be read.
  kSyntax,      ///< The text is not INI.
  kUnknownName, ///< A section, key or reference is not defined.
  kMissing,     ///< A required section or key is absent.
  kBadValue,    ///< A value is invalid.
  kConflict,    ///< Two values contradict each other.
  kRefused,     ///< An action is not allowed.
  kUnreachable, ///< A process did not answer.
};

/// One error in a text written by an operator, or in an action.
struct Fault
{
  FaultKind kind = FaultKind::kBadValue;
  std::string source;  ///< The file or document.
  int line = 0;        ///< The line in the source, from 1; 0: none.
  std::string key;     ///< The section and key, as "section / key".
  std::string problem; ///< What is wrong.
  std::string remedy;  ///< How to correct it.
};

/// All errors found in one pass.
struct FaultList
{
  std::vector<Fault> faults;
};

/// Returns the stable name of a kind, for example "bad-value".
const char*
Name(FaultKind aKind);

/// Formats an error on one line: source:line: [kind] key: problem; remedy.
std::string
Describe(const Fault& aFault);

/// Calls a function that returns a leaf::result, and extracts its FaultList.
///
/// @param aFunction The function to call.
/// @param aFaults Receives the errors; cleared first.
/// @return The value, or a default-constructed one on error.
///
///     auto document = ValueOrFaults([&] { return Parse(text); }, faults);
template<typename Function>
auto
ValueOrFaults(Function&& aFunction, std::vector<Fault>& aFaults)
{
  using Value = std::decay_t<decltype(aFunction().value())>;
  aFaults.clear();
  return leaf::try_handle_all(
    [&]() { return aFunction(); },
    [&](const FaultList& aList) {
      aFaults = aList.faults;
      return Value{};
    },
    [&]() {
      aFaults.push_back(
        { FaultKind::kUnreadable,
          "",
          0,
          "",
          "the operation ended with an error that has no description",
          "report it to the developers" });
      return Value{};
    });
}

} // namespace magnoliatide

#endif
