// Typed errors. Every error names a kind, what was wrong, and the remedy.
#ifndef MAGNOLIATIDE_CORE_FAULT_H
#define MAGNOLIATIDE_CORE_FAULT_H

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace magnoliatide {

namespace leaf = boost::leaf;

/// What an error is about.
enum class FaultKind
{
  kUnreadable,  ///< A file or a reply could not be read.
  kSyntax,      ///< The text is not INI.
  kUnknownName, ///< A section, key or reference names nothing known.
  kMissing,     ///< A required section or key is absent.
  kBadValue,    ///< A value cannot be used.
  kConflict,    ///< Two values cannot hold together.
  kRefused,     ///< An action was refused by its rules.
  kUnreachable, ///< A process did not answer.
};

/// One error in a text that an operator wrote, or in an action.
struct Fault
{
  FaultKind kind = FaultKind::kBadValue;
  std::string source;  ///< The file or document.
  int line = 0;        ///< The line in it, from 1; 0 where there is none.
  std::string key;     ///< The section and key, as "section / key".
  std::string problem; ///< What is wrong.
  std::string remedy;  ///< What to do about it.
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

/// Runs a function that returns a leaf::result, and reports its FaultList.
///
/// @param aTry The function to run.
/// @param aFaults Receives the errors, emptied first.
/// @return The value, or a default-constructed one after an error.
///
///     auto document = ValueOrFaults([&] { return Parse(text); }, faults);
template<typename Try>
auto
ValueOrFaults(Try&& aTry, std::vector<Fault>& aFaults)
{
  using Value = std::decay_t<decltype(aTry().value())>;
  aFaults.clear();
  return leaf::try_handle_all(
    [&]() { return aTry(); },
    [&](const FaultList& aList) {
      aFaults = aList.faults;
      return Value{};
    },
    [&]() {
      aFaults.push_back(
        { FaultKind::kUnreadable, "", 0, "", "unexpected error", "report it" });
      return Value{};
    });
}

} // namespace magnoliatide

#endif
