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

/// Returns the text of a page of items or events.
std::string
PageText(const char* aName,
         const std::vector<std::string>& aItems,
         bool aTruncated,
         std::uint64_t aRevision)
{
  std::string text = "{\"" + std::string(aName) + "\":[";
  for (const auto& item : aItems) {
    text += (text.back() == '[' ? "" : ",") + item;
  }
  return text + "],\"truncated\":" + (aTruncated ? "true" : "false") +
         ",\"store-revision\":" + std::to_string(aRevision) + "}";
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
Store::SetNote(const std::string& aKey, const std::string& aText)
{
  std::lock_guard<std::mutex> lock(mMutex);
  auto& item = mItems[aKey];
  item.note = aText;
  item.revision = ++mRevision;
}

void
Store::SetFault(StoreFault aFault)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mFault = aFault;
}

void
Store::CutWatches()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mCuts += 1;
}

void
Store::Compact()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mCompactedRevision = mRevision;
}

void
Store::SaveCopy()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mCopy = { mItems, mRevision };
}

void
Store::RestoreCopy()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mItems = mCopy.items;
  mRevision = mCopy.revision;
  mCompactedRevision = std::min(mCompactedRevision, mRevision);
  mEra += 1;
  mCuts += 1;
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

StoreFault
Store::Fault() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mFault;
}

std::uint64_t
Store::Cuts() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mCuts;
}

asio::awaitable<void>
Store::Handle(http::Exchange& aExchange)
{
  const http::Request request = aExchange.Incoming();
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mCalls += 1;
  }
  const auto fault = Fault();
  if (fault != StoreFault::kNone && fault != StoreFault::kHastyWatch) {
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
  } else if (aFault == StoreFault::kUnreadable) {
    auto response = http::JsonResponse(200, "{\"items\":[{\"key\":");
    co_await aExchange.Respond(std::move(response));
  } else {
    const int status = aFault == StoreFault::kUnavailable ? 503 : 429;
    auto response = http::TextResponse(status, "temporarily unavailable\n");
    co_await aExchange.Respond(std::move(response));
  }
}

/// Returns an item in the form that the store's replies have.
std::string
Store::ItemText(const std::string& aKey, const Item& aItem)
{
  std::string text = "{\"key\":" + json::serialize(json::string(aKey));
  if (!aItem.note.empty()) {
    text += ",\"note\":" + aItem.note;
  }
  text += ",\"revision\":" + std::to_string(aItem.revision);
  if (!aItem.value) {
    return text + ",\"removed\":true}";
  }
  return text + ",\"value\":\"" + EncodeBase64(*aItem.value) +
         "\",\"created-rev\":" + std::to_string(aItem.created) +
         ",\"lease\":0}";
}

http::Response
Store::ItemResponse(const http::Request& aRequest) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto key = PercentDecode(http::QueryParameter(aRequest, "key"));
  const auto found = mItems.find(key);
  if (found == mItems.end() || !found->second.value) {
    return WithEra(http::JsonResponse(404, "{}"));
  }
  auto body = ItemText(key, found->second);
  body.back() = ',';
  body += "\"store-revision\":" + std::to_string(mRevision) + "}";
  return WithEra(http::JsonResponse(200, body));
}

http::Response
Store::Range(const http::Request& aRequest) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  const auto prefix = PercentDecode(http::QueryParameter(aRequest, "prefix"));
  const auto after = PercentDecode(http::QueryParameter(aRequest, "after"));
  std::vector<std::string> items;
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
    items.push_back(ItemText(key, item));
  }
  return WithEra(
    http::JsonResponse(200, PageText("items", items, truncated, mRevision)));
}

std::optional<http::Response>
Store::EventsResponse(const std::string& aPrefix, std::uint64_t aAfter) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (aAfter < mCompactedRevision || aAfter > mRevision) {
    return WithEra(http::JsonResponse(410, "{}"));
  }
  std::vector<std::string> events;
  for (const auto& [key, item] : mItems) {
    if (key.starts_with(aPrefix) && item.revision > aAfter) {
      events.push_back(ItemText(key, item));
    }
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return WithEra(
    http::JsonResponse(200, PageText("events", events, false, mRevision)));
}

/// Returns the response to a watch during which nothing has changed.
http::Response
Store::EmptyEvents(std::uint64_t aAfter) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return WithEra(
    http::JsonResponse(200, PageText("events", {}, false, aAfter)));
}

/// Adds the era to a response. The mutex must be locked.
http::Response
Store::WithEra(http::Response aResponse) const
{
  aResponse.headers.push_back({ "Store-Era", std::to_string(mEra) });
  return aResponse;
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
  const auto cuts = Cuts();
  while (true) {
    if (Cuts() != cuts) {
      aExchange.Abort();
      co_return;
    }
    auto events = EventsResponse(prefix, after);
    if (events) {
      co_await aExchange.Respond(std::move(*events));
      co_return;
    }
    const bool hasty = Fault() == StoreFault::kHastyWatch;
    if (hasty || Clock::now() >= end || aExchange.CallerDisconnected()) {
      break;
    }
    co_await Pause(kWatchPollInterval);
  }
  auto response = EmptyEvents(after);
  co_await aExchange.Respond(std::move(response));
}

} // namespace magnoliatide::standins
