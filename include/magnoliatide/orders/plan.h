// Orders to engines: which models, adapters, version and role each should
// have. A pure function of the document, so that two VMs that both give orders
// give the same ones; the document's generation is the fencing number.
#ifndef MAGNOLIATIDE_ORDERS_PLAN_H
#define MAGNOLIATIDE_ORDERS_PLAN_H

#include "magnoliatide/document/document.h"

#include <cstdint>
#include <string>

namespace magnoliatide::orders {

/// What an engine should have.
struct Order
{
  std::uint64_t fencing = 0;
  std::string text; ///< Canonical; the same for the same wish.
};

/// What an engine says that it was ordered last.
struct Standing
{
  std::uint64_t fencing = 0;
  std::string text;
};

enum class Step
{
  kNothing, ///< The engine has what it should have, or something newer.
  kOrder,   ///< Give the order.
};

/// Returns the order for an engine under a document.
Order
OrderFor(const document::BackendServer& aEngine, std::uint64_t aGeneration);

/// Returns what to do, given what the engine said. An engine that holds a
/// higher fencing number is left alone: a newer document is in force.
Step
NextStep(const Order& aWanted, const Standing& aFound);

} // namespace magnoliatide::orders

#endif
