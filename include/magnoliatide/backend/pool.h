// Pool of connections to backend servers.
#ifndef MAGNOLIATIDE_BACKEND_POOL_H
#define MAGNOLIATIDE_BACKEND_POOL_H

#include "magnoliatide/http/client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace magnoliatide::backend {

/// Options of the pool.
struct PoolOptions
{
  http::ConnectionOptions connection;
  /// For connecting, and for a whole health check.
  Duration connectTimeout = Seconds(1);
  /// Connections that have been idle for longer are not reused, as the backend
  /// server may be about to close them.
  Duration maxIdleTime = Seconds(4);
  /// Maximum number of idle connections per backend server and event loop.
  std::size_t maxIdlePerBackend = 64;
};

/// Result of a health check.
struct Health
{
  bool answered = false; ///< With status 200.
  /// Incarnation of the server that answered; empty if not stated.
  std::string incarnation;
};

/// A connection that was used before.
struct KeptConnection
{
  std::shared_ptr<http::ClientConnection>
    connection; ///< Null if there is none.
  /// Whether an earlier request on it was answered "not run".
  bool carriedRefusal = false;
};

/// Keeps idle connections per event loop and server. Thread-safe.
class Pool
{
public:
  explicit Pool(PoolOptions aOptions);
  ~Pool();

  /// Returns an idle or a new connection to a backend server on the calling
  /// coroutine's event loop, or null if connecting failed.
  boost::asio::awaitable<std::shared_ptr<http::ClientConnection>> Acquire(
    document::Endpoint aServer);

  /// Returns an idle connection, if there is one.
  ///
  /// @param aMaxIdle Maximum time for which it has been idle.
  KeptConnection TakeIdle(const boost::asio::any_io_executor& aExecutor,
                          const document::Endpoint& aServer,
                          Duration aMaxIdle);

  /// Creates a connection without connecting it.
  std::shared_ptr<http::ClientConnection> Make(
    const boost::asio::any_io_executor& aExecutor,
    const document::Endpoint& aServer);

  /// Sends GET /health to a backend server on a separate connection.
  boost::asio::awaitable<Health> Check(document::Endpoint aServer);

  /// Returns whether a backend server refuses a new connection. A server that
  /// does not answer within the timeout does not count as refusing.
  boost::asio::awaitable<bool> Refuses(document::Endpoint aServer,
                                       Duration aTimeout);

  /// Sends a request to a backend server on a separate connection. Returns
  /// whether it is answered.
  boost::asio::awaitable<bool> Answers(document::Endpoint aServer,
                                       http::Request aRequest,
                                       Duration aTimeout);

  /// Returns a connection to the pool, which keeps it only if its last answer
  /// was complete.
  void Release(const boost::asio::any_io_executor& aExecutor,
               const document::Endpoint& aServer,
               std::shared_ptr<http::ClientConnection> aConnection);

  /// The same.
  ///
  /// @param aKeepAlive How long the backend server keeps the connection open.
  void Release(const boost::asio::any_io_executor& aExecutor,
               const document::Endpoint& aServer,
               KeptConnection aConnection,
               Duration aKeepAlive);

  /// Closes the idle connections to a backend server.
  void CloseIdle(const boost::asio::any_io_executor& aExecutor,
                 const document::Endpoint& aServer);

private:
  struct Store;
  std::unique_ptr<Store> mStore;
};

/// Response header that identifies the incarnation of a backend server.
constexpr char kIncarnationHeader[] = "X-Backend-Incarnation";

} // namespace magnoliatide::backend

#endif
