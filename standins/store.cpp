// Test double of the metadata store.
#include "store.h"

#include "magnoliatide/core/base64.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace magnoliatide::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kWatchPollInterval = Milliseconds(10);
constexpr Duration kMaxWatchTime = Seconds(30);

/// Returns an item in the form that the store's replies have.
json::object
ItemToJson(const std::string& aKey,
           const std::string& aValue,
           std::uint64_t aRevision,
           std::uint64_t aCreated)
{
  return { { "key", aKey },
           { "value", EncodeBase64(aValue) },
           { "revision", aRevision },
           { "created-rev", aCreated },
           { "lease", 0 } };
}

std::string
Serialize(const json::object& aObject)
{
  return json::serialize(aObject);
}

/// Decodes a percent-encoded query value.
std::string
PercentDecode(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

} // namespace

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  std::lock_guard<std::mutex> lock(mMutex);
  auto& item = mItems[aKey];
  item.revision = ++mRevision;
  if (!item.value) {
    item.created = mRevision;
  }
  item.value = aValue;
}

void
Store::Remove(const std::string& aKey)
{
  std::lock_guard<std::mutex> lock(mMutex);
  auto& item = mItems[aKey];
  item.value.reset();
  item.revision = ++mRevision;
}

void
Store::SetFault(StoreFault aFault)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mFault = aFault;
}

void
Store::Compact()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mCompactedRevision = mRevision;
}

void
Store::SetPageSize(std::size_t aItems)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mPageSize = aItems;
}

std::uint64_t
Store::Calls() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mCalls;
}

asio::awaitable<void>
Store::Handle(http::Exchange& aExchange)
{
  const http::Request request = aExchange.Incoming();
  StoreFault fault = StoreFault::kNone;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mCalls += 1;
    fault = mFault;
  }
  if (fault != StoreFault::kNone) {
    co_await Fail(aExchange, fault);
    co_return;
  }
  const auto path = http::PathOf(request);
  if (path == "/magnoliatide/kv-watch") {
    co_await Watch(aExchange, request);
  } else if (path == "/magnoliatide/kv-range") {
    auto response = Range(request);
    co_await aExchange.Respond(std::move(response));
  } else if (path == "/magnoliatide/kv-key") {
    auto response = ItemResponse(request);
    co_await aExchange.Respond(std::move(response));
  } else {
    auto response = http::TextResponse(404, "unknown path\n");
    co_await aExchange.Respond(std::move(response));
  }
}

asio::awaitable<void>
Store::Fail(http::Exchange& aExchange, StoreFault aFault)
{
  if (aFault == StoreFault::kSilent) {
    while (!aExchange.CallerDisconnected()) {
      co_await Pause(kWatchPollInterval);
      std::lock_guard<std::mutex> lock(mMutex);
      if (mFault != StoreFault::kSilent) {
        break;
      }
    }
    aExchange.Abort();
  } else if (aFault == StoreFault::kReset) {
    aExchange.Abort();
  } else {
    const int status = aFault == StoreFault::kUnavailable ? 503 : 429;
    auto response = http::TextResponse(status, "temporarily unavailable\n");
    co_await aExchange.Respond(std::move(response));
  }
}

http::Response
Store::ItemResponse(const http::Request& aRequest) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto key = PercentDecode(http::QueryParameter(aRequest, "key"));
  const auto found = mItems.find(key);
  if (found == mItems.end() || !found->second.value) {
    return http::JsonResponse(404, "{}");
  }
  const auto& item = found->second;
  auto body = ItemToJson(key, *item.value, item.revision, item.created);
  body["store-revision"] = mRevision;
  return http::JsonResponse(200, Serialize(body));
}

http::Response
Store::Range(const http::Request& aRequest) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto prefix = PercentDecode(http::QueryParameter(aRequest, "prefix"));
  const auto after = PercentDecode(http::QueryParameter(aRequest, "after"));
  json::array items;
  bool truncated = false;
  for (const auto& [key, item] : mItems) {
    const bool wanted = item.value && key.starts_with(prefix) && key > after;
    if (!wanted) {
      continue;
    }
    if (items.size() >= mPageSize) {
      truncated = true;
      break;
    }
    items.push_back(ItemToJson(key, *item.value, item.revision, item.created));
  }
  return http::JsonResponse(200,
                            Serialize({ { "items", std::move(items) },
                                        { "truncated", truncated },
                                        { "store-revision", mRevision } }));
}

std::optional<http::Response>
Store::EventsResponse(const std::string& aPrefix, std::uint64_t aAfter) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (aAfter < mCompactedRevision) {
    return http::JsonResponse(410, "{}");
  }
  json::array events;
  for (const auto& [key, item] : mItems) {
    if (!key.starts_with(aPrefix) || item.revision <= aAfter) {
      continue;
    }
    if (item.value) {
      events.push_back(
        ItemToJson(key, *item.value, item.revision, item.created));
    } else {
      events.push_back(json::object{
        { "key", key }, { "revision", item.revision }, { "removed", true } });
    }
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return http::JsonResponse(200,
                            Serialize({ { "events", std::move(events) },
                                        { "store-revision", mRevision } }));
}

asio::awaitable<void>
Store::Watch(http::Exchange& aExchange, const http::Request& aRequest)
{
  const auto prefix = PercentDecode(http::QueryParameter(aRequest, "prefix"));
  const auto after =
    static_cast<std::uint64_t>(NumberParameter(aRequest, "after", 0));
  const Duration wait = std::min<Duration>(
    Milliseconds(static_cast<int>(NumberParameter(aRequest, "wait-ms", 0))),
    kMaxWatchTime);
  const TimePoint end = Clock::now() + wait;
  while (true) {
    auto events = EventsResponse(prefix, after);
    if (events) {
      co_await aExchange.Respond(std::move(*events));
      co_return;
    }
    if (Clock::now() >= end || aExchange.CallerDisconnected()) {
      break;
    }
    co_await Pause(kWatchPollInterval);
  }
  auto response = http::JsonResponse(
    200,
    Serialize({ { "events", json::array() }, { "store-revision", after } }));
  co_await aExchange.Respond(std::move(response));
}

} // namespace magnoliatide::standins
