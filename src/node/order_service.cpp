// Sends orders to engines.
#include "order_service.h"

#include "control_task.h"

#include "magnoliatide/core/rendezvous.h"
#include "magnoliatide/http/client.h"
#include "platform/json_fields.h"

#include <boost/asio.hpp>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

/// Time between two passes over the engines. Only one VM per zone sends orders,
/// one at a time, to limit the number of engines of a zone that load weights
/// from the weight store at the same time.
constexpr Duration kReconcilePeriod = Seconds(1);
constexpr Duration kCallTimeout = Seconds(2);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace

OrderService::OrderService(OrderServiceParams aParams)
  : mParams(std::move(aParams))
{
}

void
OrderService::Start()
{
  StartControlTask(*mParams.loop, "orders", [this] { return Loop(); });
}

bool
OrderService::IsResponsible(const document::BackendServer& aEngine) const
{
  std::vector<std::string> inZone;
  std::vector<std::string> all;
  for (const auto& record : mParams.live()) {
    all.push_back(record.slot);
    if (record.slot.starts_with(aEngine.zone + "/")) {
      inZone.push_back(record.slot);
    }
  }
  const auto ranked =
    RankByRendezvous("orders " + aEngine.zone, inZone.empty() ? all : inZone);
  return !ranked.empty() && ranked.front() == mParams.slot;
}

asio::awaitable<void>
OrderService::Loop()
{
  asio::steady_timer timer(*mParams.loop);
  while (true) {
    timer.expires_after(kReconcilePeriod);
    co_await timer.async_wait(kNoThrow);
    const auto document = mParams.document->Load();
    if (!document) {
      continue;
    }
    for (const auto& engine : document->backends) {
      if (engine.managed && IsResponsible(engine)) {
        co_await Reconcile(engine, document->generation);
      }
    }
  }
}

asio::awaitable<void>
OrderService::Reconcile(document::BackendServer aEngine,
                        std::uint64_t aGeneration)
{
  const auto wanted = orders::OrderFor(aEngine, aGeneration);
  const auto reported = co_await ReadOrder(aEngine);
  if (!reported ||
      orders::ActionFor(wanted, *reported) == orders::Action::kNothing) {
    co_return;
  }
  // The process may have been paused since it read the document.
  const auto document = mParams.document->Load();
  if (document->generation != aGeneration || !IsResponsible(aEngine)) {
    co_return;
  }
  http::Request request;
  request.method = "POST";
  request.target = "/control/orders?fencing=" + std::to_string(aGeneration) +
                   "&order=" + wanted.text;
  const auto result = co_await http::Call(
    aEngine.address, std::move(request), kCallTimeout, mParams.localHost);
  const bool accepted =
    result.status == http::CallStatus::kDone && result.response.status == 200;
  mParams.metrics->Count("orders_total",
                         { { "result", accepted ? "taken" : "refused" } });
  mParams.audit->Add("order " + aEngine.name,
                     reported->text,
                     wanted.text,
                     accepted ? "taken" : "refused or lost");
}

asio::awaitable<std::optional<orders::ReportedOrder>>
OrderService::ReadOrder(document::BackendServer aEngine)
{
  http::Request request;
  request.target = "/control/orders";
  const auto result = co_await http::Call(
    aEngine.address, std::move(request), kCallTimeout, mParams.localHost);
  if (result.status != http::CallStatus::kDone ||
      result.response.status != 200) {
    co_return std::nullopt;
  }
  const auto object = platform::ParseObject(result.response.body);
  const auto fencing =
    object ? platform::CountField(*object, "generation") : std::nullopt;
  const auto text =
    object ? platform::TextField(*object, "order") : std::nullopt;
  if (!fencing || !text) {
    co_return std::nullopt;
  }
  co_return orders::ReportedOrder{ *fencing, *text };
}

} // namespace magnoliatide::node
