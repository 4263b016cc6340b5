// Test double of a ledger service. It runs every call that it receives and
// counts the runs of each idempotency key without suppressing duplicates.
#include "standin.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <map>

namespace magnoliatide::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

class Ledger : public Service
{
public:
  explicit Ledger(Duration aDelay)
    : mDelay(aDelay)
  {
  }

  asio::awaitable<void> Handle(http::Exchange& aExchange) override
  {
    const auto request = aExchange.Incoming();
    const std::string path(http::PathOf(request));
    if (path == "/control/runs") {
      co_await aExchange.Respond(http::JsonResponse(200, RunsJson()));
    } else if (path == "/control/faults") {
      mDelay = Milliseconds(static_cast<int>(NumberParameter(
        request,
        "delay",
        static_cast<double>(
          std::chrono::duration_cast<Milliseconds>(mDelay).count()))));
      mCutAnswers =
        static_cast<int>(NumberParameter(request, "cut", mCutAnswers));
      co_await aExchange.Respond(http::TextResponse(200, "set\n"));
    } else if (path == "/health") {
      co_await aExchange.Respond(http::TextResponse(200, "health\n"));
    } else {
      co_await Run(aExchange, request);
    }
  }

private:
  asio::awaitable<void> Run(http::Exchange& aExchange,
                            const http::Request& aRequest)
  {
    const std::string key(http::Find(aRequest.headers, "Idempotency-Key"));
    const std::string id(http::Find(aRequest.headers, "X-Request-Id"));
    if (!key.empty()) {
      mRuns[key] += 1;
    }
    co_await Pause(mDelay);
    if (mCutAnswers > 0) {
      mCutAnswers -= 1;
      aExchange.Abort();
      co_return;
    }
    json::object body;
    body["key"] = key;
    body["path"] = aRequest.target;
    body["entry"] = ++mEntries;
    auto response = http::JsonResponse(200, json::serialize(body));
    response.headers.push_back({ "X-Request-Id", id });
    co_await aExchange.Respond(std::move(response));
  }

  std::string RunsJson() const
  {
    json::object runs;
    for (const auto& [key, count] : mRuns) {
      runs[key] = count;
    }
    json::object body;
    body["runs"] = std::move(runs);
    return json::serialize(body);
  }

  Duration mDelay;
  int mCutAnswers = 0;
  std::map<std::string, int> mRuns;
  int mEntries = 0;
};

} // namespace

std::unique_ptr<Service>
MakeLedger(Duration aDelay)
{
  return std::make_unique<Ledger>(aDelay);
}

} // namespace magnoliatide::standins
