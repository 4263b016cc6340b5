// Connection pool by event loop and server.
#include "magnoliatide/backend/pool.h"

#include <boost/asio.hpp>

#include <algorithm>
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

struct IdleConnection
{
  KeptConnection kept;
  TimePoint since;
  TimePoint until; ///< The server may close it from then on.
};

PoolKey
KeyOf(const asio::any_io_executor& aExecutor, const document::Endpoint& aServer)
{
  const auto& context = asio::query(aExecutor, asio::execution::context);
  return { &context, document::Format(aServer) };
}

} // namespace

struct Pool::Store
{
  PoolOptions options;
  std::mutex mutex;
  std::map<PoolKey, std::vector<IdleConnection>> idle;

  KeptConnection TakeReusable(const PoolKey& aKey, Duration aMaxIdle)
  {
    std::lock_guard<std::mutex> lock(mutex);
    const auto found = idle.find(aKey);
    if (found == idle.end()) {
      return {};
    }
    auto& connections = found->second;
    const auto now = Clock::now();
    while (!connections.empty()) {
      // The back is the most recently used; all others have been idle longer.
      if (now - connections.back().since > aMaxIdle) {
        return {};
      }
      IdleConnection last = std::move(connections.back());
      connections.pop_back();
      if (now < last.until && last.kept.connection->Reusable()) {
        return std::move(last.kept);
      }
    }
    idle.erase(found);
    return {};
  }
};

Pool::Pool(PoolOptions aOptions)
  : mStore(std::make_unique<Store>())
{
  mStore->options = std::move(aOptions);
}

Pool::~Pool() = default;

KeptConnection
Pool::TakeIdle(const asio::any_io_executor& aExecutor,
               const document::Endpoint& aServer,
               Duration aMaxIdle)
{
  return mStore->TakeReusable(KeyOf(aExecutor, aServer), aMaxIdle);
}

std::shared_ptr<http::ClientConnection>
Pool::Make(const asio::any_io_executor& aExecutor,
           const document::Endpoint& aServer)
{
  return http::MakeConnection(aExecutor, aServer, mStore->options.connection);
}

asio::awaitable<std::shared_ptr<http::ClientConnection>>
Pool::Acquire(document::Endpoint aServer)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const auto& options = mStore->options;
  auto connection = TakeIdle(executor, aServer, options.maxIdleTime).connection;
  if (connection) {
    co_return connection;
  }
  connection = Make(executor, aServer);
  const bool connected = co_await connection->Connect(options.connectTimeout);
  if (!connected) {
    connection.reset();
  }
  co_return connection;
}

asio::awaitable<Health>
Pool::Check(document::Endpoint aServer)
{
  http::Request request;
  request.target = "/health";
  const auto& options = mStore->options;
  const auto result = co_await http::CallForHead(aServer,
                                                 std::move(request),
                                                 options.connectTimeout,
                                                 options.connection.localHost);
  Health health;
  health.answered =
    result.status == http::CallStatus::kDone && result.response.status == 200;
  health.incarnation =
    std::string(http::Find(result.response.headers, kIncarnationHeader));
  co_return health;
}

asio::awaitable<bool>
Pool::Refuses(document::Endpoint aServer, Duration aTimeout)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const auto connection = Make(executor, aServer);
  const bool connected = co_await connection->Connect(aTimeout);
  const bool refused = !connected && !connection->ConnectTimedOut();
  connection->Close();
  co_return refused;
}

asio::awaitable<bool>
Pool::Answers(document::Endpoint aServer,
              http::Request aRequest,
              Duration aTimeout)
{
  const auto result =
    co_await http::CallForHead(aServer,
                               std::move(aRequest),
                               aTimeout,
                               mStore->options.connection.localHost);
  co_return result.status == http::CallStatus::kDone;
}

void
Pool::Release(const asio::any_io_executor& aExecutor,
              const document::Endpoint& aServer,
              std::shared_ptr<http::ClientConnection> aConnection)
{
  Release(aExecutor,
          aServer,
          { std::move(aConnection), false },
          mStore->options.maxIdleTime);
}

void
Pool::Release(const asio::any_io_executor& aExecutor,
              const document::Endpoint& aServer,
              KeptConnection aConnection,
              Duration aKeepAlive)
{
  if (!aConnection.connection->Reusable()) {
    return;
  }
  const auto now = Clock::now();
  const auto keepAlive = std::min(aKeepAlive, mStore->options.maxIdleTime);
  std::lock_guard<std::mutex> lock(mStore->mutex);
  auto& connections = mStore->idle[KeyOf(aExecutor, aServer)];
  if (connections.size() >= mStore->options.maxIdlePerBackend) {
    connections.erase(connections.begin());
  }
  connections.push_back({ std::move(aConnection), now, now + keepAlive });
}

void
Pool::CloseIdle(const asio::any_io_executor& aExecutor,
                const document::Endpoint& aServer)
{
  std::lock_guard<std::mutex> lock(mStore->mutex);
  mStore->idle.erase(KeyOf(aExecutor, aServer));
}

} // namespace magnoliatide::backend
