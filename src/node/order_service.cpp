// Orders to engines.
#include "order_service.h"

#include "magnoliatide/core/rendezvous.h"
#include "magnoliatide/http/client.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

/// Time between visits. With one giver a zone and one order at a time, a zone
/// asks the weight store for at most one load in this time.
constexpr Duration kVisitPause = Seconds(1);
constexpr Duration kCallBound = Seconds(2);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace

OrderService::OrderService(OrderServiceParts aParts)
  : mParts(std::move(aParts))
{
}

void
OrderService::Start()
{
  asio::co_spawn(*mParts.loop, Loop(), asio::detached);
}

bool
OrderService::IsGiver(const document::BackendServer& aEngine) const
{
  std::vector<std::string> inZone;
  std::vector<std::string> all;
  for (const auto& record : mParts.live()) {
    all.push_back(record.slot);
    if (record.slot.starts_with(aEngine.zone + "/")) {
      inZone.push_back(record.slot);
    }
  }
  const auto ranked =
    RankByRendezvous("orders " + aEngine.zone, inZone.empty() ? all : inZone);
  return !ranked.empty() && ranked.front() == mParts.slot;
}

asio::awaitable<void>
OrderService::Loop()
{
  asio::steady_timer timer(*mParts.loop);
  while (true) {
    timer.expires_after(kVisitPause);
    co_await timer.async_wait(kNoThrow);
    const auto document = mParts.document->Load();
    if (!document) {
      continue;
    }
    for (const auto& engine : document->backends) {
      if (engine.managed && IsGiver(engine)) {
        co_await Visit(engine, document->generation);
      }
    }
  }
}

asio::awaitable<void>
OrderService::Visit(document::BackendServer aEngine, std::uint64_t aGeneration)
{
  const auto wanted = orders::OrderFor(aEngine, aGeneration);
  const auto found = co_await ReadBack(aEngine);
  if (!found || orders::NextStep(wanted, *found) == orders::Step::kNothing) {
    co_return;
  }
  // The process may have been paused since it read its document.
  const auto document = mParts.document->Load();
  if (document->generation != aGeneration || !IsGiver(aEngine)) {
    co_return;
  }
  http::Request request;
  request.method = "POST";
  request.target = "/control/orders?fencing=" + std::to_string(aGeneration) +
                   "&order=" + wanted.text;
  const auto result = co_await http::Call(
    aEngine.address, std::move(request), kCallBound, mParts.localHost);
  const bool taken =
    result.status == http::CallStatus::kDone && result.response.status == 200;
  mParts.metrics->Count("orders_total",
                        { { "result", taken ? "taken" : "refused" } });
  mParts.audit->Add("order " + aEngine.name,
                    found->text,
                    wanted.text,
                    taken ? "taken" : "refused or lost");
}

asio::awaitable<std::optional<orders::Standing>>
OrderService::ReadBack(document::BackendServer aEngine)
{
  http::Request request;
  request.target = "/control/orders";
  const auto result = co_await http::Call(
    aEngine.address, std::move(request), kCallBound, mParts.localHost);
  if (result.status != http::CallStatus::kDone ||
      result.response.status != 200) {
    co_return std::nullopt;
  }
  boost::system::error_code error;
  const auto value = boost::json::parse(result.response.body, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* fencing = object ? object->if_contains("generation") : nullptr;
  const auto* text = object ? object->if_contains("order") : nullptr;
  if (fencing == nullptr || text == nullptr || !text->is_string() ||
      !fencing->is_number()) {
    co_return std::nullopt;
  }
  co_return orders::Standing{ fencing->to_number<std::uint64_t>(),
                              std::string(text->get_string()) };
}

} // namespace magnoliatide::node
