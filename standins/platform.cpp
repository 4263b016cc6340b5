// Test double of the platform. PUT publishes a value at a path, and GET reads
// it or waits for a newer one. The fault "outage" makes all reads fail. The
// fault "stale" makes reads return the values of the time when it was set.
#include "standin.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <map>
#include <set>

namespace magnoliatide::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kWatchPollInterval = Milliseconds(10);

struct Value
{
  std::uint64_t index = 0;
  std::string text;
};

class Platform : public Service
{
public:
  asio::awaitable<void> Handle(http::Exchange& aExchange) override
  {
    const auto request = aExchange.Incoming();
    const std::string path(http::PathOf(request));
    if (path == "/control/counts") {
      co_await aExchange.Respond(http::JsonResponse(
        200,
        R"({"calls":)" + std::to_string(mCalls) + R"(,"waiting":)" +
          std::to_string(mWaiting) + "}"));
    } else if (path == "/control/faults") {
      SetFaults(request);
      co_await aExchange.Respond(http::TextResponse(200, "set\n"));
    } else if (request.method == "PUT") {
      Publish(path, request.body);
      co_await aExchange.Respond(http::TextResponse(200, "published\n"));
    } else {
      co_await Read(aExchange, request, path);
    }
  }

private:
  asio::awaitable<void> Read(http::Exchange& aExchange,
                             const http::Request& aRequest,
                             const std::string& aPath)
  {
    mCalls += 1;
    if (mOutage) {
      aExchange.Abort();
      co_return;
    }
    const auto index =
      static_cast<std::uint64_t>(NumberParameter(aRequest, "index", 0));
    const auto end =
      Clock::now() +
      Milliseconds(static_cast<int>(NumberParameter(aRequest, "wait", 0)));
    mWaiting += 1;
    while (View(aPath).index <= index && Clock::now() < end && !mOutage) {
      co_await Pause(kWatchPollInterval);
    }
    mWaiting -= 1;
    const Value value = View(aPath);
    if (mOutage || value.index == 0) {
      co_await aExchange.Respond(http::TextResponse(404, "no value\n"));
      co_return;
    }
    auto response = value.index > index ? http::TextResponse(200, value.text)
                                        : http::TextResponse(304, "");
    response.headers.push_back({ "X-Index", std::to_string(value.index) });
    co_await aExchange.Respond(std::move(response));
  }

  /// Returns the value that readers get, with index 0 if there is none.
  Value View(const std::string& aPath) const
  {
    const auto& values = mStale ? mStaleValues : mValues;
    const auto found = values.find(aPath);
    return found == values.end() ? Value{} : found->second;
  }

  void Publish(const std::string& aPath, const std::string& aText)
  {
    mValues[aPath] = { ++mLastIndex, aText };
  }

  void SetFaults(const http::Request& aRequest)
  {
    mOutage = NumberParameter(aRequest, "outage", mOutage) != 0;
    const bool stale = NumberParameter(aRequest, "stale", mStale) != 0;
    if (stale && !mStale) {
      mStaleValues = mValues;
    }
    mStale = stale;
  }

  std::map<std::string, Value> mValues;
  std::map<std::string, Value> mStaleValues;
  std::uint64_t mLastIndex = 0;
  std::uint64_t mCalls = 0;
  int mWaiting = 0;
  bool mOutage = false;
  bool mStale = false;
};

} // namespace

std::unique_ptr<Service>
MakePlatform()
{
  return std::make_unique<Platform>();
}

} // namespace magnoliatide::standins
