// Guards against engines that keep an old order instead of that of the
// document. Covers engines with and without a check of the fencing number.
#include "support.h"

#include <gtest/gtest.h>

namespace magnoliatide::tests {
namespace {

boost::json::object
OrderAt(load::Fleet& aFleet, std::size_t aBackend)
{
  const auto result =
    aFleet.Get(aFleet.Backends()[aBackend].address, "/control/orders");
  boost::system::error_code error;
  const auto value = boost::json::parse(result.response.body, error);
  return error ? boost::json::object{} : value.as_object();
}

/// Returns whether an engine applied the order of a document generation.
bool
HasOrder(load::Fleet& aFleet, std::size_t aBackend, std::uint64_t aGeneration)
{
  const auto order = OrderAt(aFleet, aBackend);
  const auto* generation = order.if_contains("generation");
  return generation != nullptr &&
         generation->to_number<std::uint64_t>() == aGeneration &&
         order.at("order").as_string().starts_with("models:small");
}

/// Sends an order with an older fencing number than that of the VMs.
void
SendStaleOrder(load::Fleet& aFleet, std::size_t aBackend)
{
  http::Request request;
  request.method = "POST";
  request.target = "/control/orders?fencing=0&order=models:old";
  aFleet.Call(aFleet.Backends()[aBackend].address, std::move(request));
}

// Guards against an engine that keeps an old order. It applied the order
// because it does not check the fencing number, so the VMs must repeat theirs.
TEST(Orders, AreGivenAndRepeatedWhenACarelessEngineTookAnOldOne)
{
  auto options = SmallFleet("orders");
  options.groups[0].managed = true;
  load::Fleet fleet(options);
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return HasOrder(fleet, 0, 1); }, Seconds(10)));
  SendStaleOrder(fleet, 0);
  EXPECT_TRUE(Await([&] { return HasOrder(fleet, 0, 1); }, Seconds(10)));
}

TEST(Orders, AnEngineThatChecksFencingRefusesAnOldOne)
{
  auto options = SmallFleet("fencing");
  options.groups[0].managed = true;
  options.groups[0].checksFencing = true;
  load::Fleet fleet(options);
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(Await([&] { return HasOrder(fleet, 0, 1); }, Seconds(10)));
  SendStaleOrder(fleet, 0);
  EXPECT_TRUE(HasOrder(fleet, 0, 1));
}

} // namespace
} // namespace magnoliatide::tests
