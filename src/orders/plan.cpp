// Orders as a function of the document.
#include "magnoliatide/orders/plan.h"

#include <algorithm>

namespace magnoliatide::orders {

namespace {

std::string
Joined(std::vector<std::string> aItems)
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
           "models:" + Joined(aEngine.models) +
             ",adapters:" + Joined(aEngine.adapters) +
             ",version:" + aEngine.version + ",role:" + aEngine.role };
}

Step
NextStep(const Order& aWanted, const Standing& aFound)
{
  if (aFound.fencing > aWanted.fencing) {
    return Step::kNothing;
  }
  return aFound.text == aWanted.text ? Step::kNothing : Step::kOrder;
}

} // namespace magnoliatide::orders
