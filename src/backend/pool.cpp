// The connection pool.
#include "magnoliatide/backend/pool.h"

#include <boost/asio.hpp>

#include <map>
#include <mutex>
#include <tuple>
#include <vector>

namespace magnoliatide::backend {

namespace asio = boost::asio;

namespace {

struct PoolKey
{
  const void* loop;
  std::string peer;

  bool operator<(const PoolKey& aOther) const
  {
    return std::tie(loop, peer) < std::tie(aOther.loop, aOther.peer);
  }
};

struct Idle
{
  std::shared_ptr<http::ClientConnection> connection;
  TimePoint since;
};

PoolKey
KeyOf(const asio::any_io_executor& aExecutor, const document::Endpoint& aPeer)
{
  const auto& context = asio::query(aExecutor, asio::execution::context);
  return { &context, document::Format(aPeer) };
}

} // namespace

struct Pool::Store
{
  PoolOptions options;
  std::mutex mutex;
  std::map<PoolKey, std::vector<Idle>> idle;

  std::shared_ptr<http::ClientConnection> Take(const PoolKey& aKey)
  {
    std::lock_guard<std::mutex> lock(mutex);
    auto& connections = idle[aKey];
    while (!connections.empty()) {
      Idle last = std::move(connections.back());
      connections.pop_back();
      const bool fresh = Clock::now() - last.since < options.idleBound;
      if (fresh && last.connection->Reusable()) {
        return last.connection;
      }
    }
    return nullptr;
  }
};

Pool::Pool(PoolOptions aOptions)
  : mStore(std::make_unique<Store>())
{
  mStore->options = std::move(aOptions);
}

Pool::~Pool() = default;

asio::awaitable<std::shared_ptr<http::ClientConnection>>
Pool::Acquire(document::Endpoint aPeer)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto connection = mStore->Take(KeyOf(executor, aPeer));
  if (connection) {
    co_return connection;
  }
  const auto& options = mStore->options;
  connection = http::MakeConnection(executor, aPeer, options.localHost);
  const bool connected = co_await connection->Connect(options.connectBound);
  if (!connected) {
    connection.reset();
  }
  co_return connection;
}

asio::awaitable<Health>
Pool::Check(document::Endpoint aPeer)
{
  http::Request request;
  request.target = "/health";
  const auto& options = mStore->options;
  const auto result = co_await http::Call(
    aPeer, std::move(request), options.connectBound, options.localHost);
  Health health;
  health.answered =
    result.status == http::CallStatus::kDone && result.response.status == 200;
  health.incarnation =
    std::string(http::Find(result.response.headers, kIncarnationHeader));
  co_return health;
}

void
Pool::Release(const asio::any_io_executor& aExecutor,
              const document::Endpoint& aPeer,
              std::shared_ptr<http::ClientConnection> aConnection)
{
  if (!aConnection->Reusable()) {
    return;
  }
  std::lock_guard<std::mutex> lock(mStore->mutex);
  auto& connections = mStore->idle[KeyOf(aExecutor, aPeer)];
  if (connections.size() < mStore->options.idlePerBackend) {
    connections.push_back({ std::move(aConnection), Clock::now() });
  }
}

} // namespace magnoliatide::backend
