// Names and formatting of typed errors.
#include "magnoliatide/core/fault.h"

namespace magnoliatide {

const char*
Name(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::kUnreadable:
      return "unreadable";
    case FaultKind::kSyntax:
      return "syntax";
    case FaultKind::kUnknownName:
      return "unknown-name";
    case FaultKind::kMissing:
      return "missing";
    case FaultKind::kBadValue:
      return "bad-value";
    case FaultKind::kConflict:
      return "conflict";
    case FaultKind::kRefused:
      return "refused";
    case FaultKind::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

std::string
Describe(const Fault& aFault)
{
  std::string text = aFault.source;
  if (aFault.line > 0) {
    text += ":" + std::to_string(aFault.line);
  }
  text += text.empty() ? "[" : ": [";
  text += Name(aFault.kind);
  text += "] ";
  if (!aFault.key.empty()) {
    text += aFault.key + ": ";
  }
  text += aFault.problem + "; " + aFault.remedy;
  return text;
}

} // namespace magnoliatide
