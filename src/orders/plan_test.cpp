// Guards against an engine that ends with an old order, because several VMs
// send it orders and some of them act on an old document.
#include "magnoliatide/orders/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace magnoliatide::orders {
namespace {

document::BackendServer
EngineWith(int aVersion)
{
  document::BackendServer engine;
  engine.models = { "b", "a" };
  engine.version = std::to_string(aVersion);
  return engine;
}

/// An engine that accepts every order, whatever its fencing number.
struct UnfencedEngine
{
  ReportedOrder reported;

  void Accept(const Order& aOrder)
  {
    reported = { aOrder.fencing, aOrder.text };
  }
};

RC_GTEST_PROP(Orders, EngineEndsWithNewestOrder, ())
{
  // The generations of the documents of VMs that act one after the other.
  const auto generations =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5));
  UnfencedEngine engine;
  std::uint64_t newest = 0;
  for (const int generation : generations) {
    const auto wanted =
      OrderFor(EngineWith(generation), static_cast<std::uint64_t>(generation));
    newest = std::max(newest, wanted.fencing);
    if (ActionFor(wanted, engine.reported) == Action::kSend) {
      engine.Accept(wanted);
    }
  }
  RC_ASSERT(engine.reported.fencing == newest);
}

TEST(Orders, EqualContentHasEqualText)
{
  auto left = EngineWith(1);
  auto right = EngineWith(1);
  right.models = { "a", "b" };
  EXPECT_EQ(OrderFor(left, 3).text, OrderFor(right, 3).text);
}

} // namespace
} // namespace magnoliatide::orders
