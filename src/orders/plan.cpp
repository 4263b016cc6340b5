// Computes orders from the document.
#include "magnoliatide/orders/plan.h"

#include <algorithm>

namespace magnoliatide::orders {

namespace {

std::string
JoinSorted(std::vector<std::string> aItems)
{
  std::sort(aItems.begin(), aItems.end());
  std::string text;
  for (const auto& item : aItems) {
    text += (text.empty() ? "" : "+") + item;
  }
  return text;
}

} // namespace

Order
OrderFor(const document::BackendServer& aEngine, std::uint64_t aGeneration)
{
  return { aGeneration,
           "models:" + JoinSorted(aEngine.models) +
             ",adapters:" + JoinSorted(aEngine.adapters) +
             ",version:" + aEngine.version + ",role:" + aEngine.role };
}

Action
ActionFor(const Order& aWanted, const ReportedOrder& aReported)
{
  if (aReported.fencing > aWanted.fencing) {
    return Action::kNothing;
  }
  return aReported.text == aWanted.text ? Action::kNothing : Action::kSend;
}

} // namespace magnoliatide::orders
