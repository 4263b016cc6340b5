// Orders to engines: the models, adapters, version and role of each. An order
// is a pure function of the document, so that two VMs that both send orders
// send the same ones. Its fencing number is the generation of the document.
#ifndef MAGNOLIATIDE_ORDERS_PLAN_H
#define MAGNOLIATIDE_ORDERS_PLAN_H

#include "magnoliatide/document/document.h"

#include <cstdint>
#include <string>

namespace magnoliatide::orders {

/// The configuration that an engine should have.
struct Order
{
  std::uint64_t fencing = 0;
  std::string text; ///< Canonical: equal for equal content.
};

/// The last order that an engine received, as reported by the engine.
struct ReportedOrder
{
  std::uint64_t fencing = 0;
  std::string text;
};

/// What to do about an engine.
enum class Action
{
  kNothing, ///< The engine has this order or a newer one.
  kSend,    ///< Send the order.
};

/// Returns the order for an engine under a document.
Order
OrderFor(const document::BackendServer& aEngine, std::uint64_t aGeneration);

/// Returns what to do about an engine that reports an order. If that order has
/// a higher fencing number, nothing is sent, because a newer document is active
/// on another VM.
Action
ActionFor(const Order& aWanted, const ReportedOrder& aReported);

} // namespace magnoliatide::orders

#endif
