// Orders of late or doubled VMs do no harm.
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

/// An engine that takes every order, whatever its fencing number.
struct CarelessEngine
{
  Standing standing;

  void Take(const Order& aOrder) { standing = { aOrder.fencing, aOrder.text }; }
};

RC_GTEST_PROP(Orders, AnEngineEndsWithTheNewestOrder, ())
{
  // VMs act in a drawn order, each under a document that may be old.
  const auto acts =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5));
  CarelessEngine engine;
  std::uint64_t newest = 0;
  for (const int generation : acts) {
    const auto wanted =
      OrderFor(EngineWith(generation), static_cast<std::uint64_t>(generation));
    newest = std::max(newest, wanted.fencing);
    if (NextStep(wanted, engine.standing) == Step::kOrder) {
      engine.Take(wanted);
    }
  }
  RC_ASSERT(engine.standing.fencing == newest);
}

TEST(Orders, TheSameWishHasTheSameText)
{
  auto left = EngineWith(1);
  auto right = EngineWith(1);
  right.models = { "a", "b" };
  EXPECT_EQ(OrderFor(left, 3).text, OrderFor(right, 3).text);
}

} // namespace
} // namespace magnoliatide::orders
