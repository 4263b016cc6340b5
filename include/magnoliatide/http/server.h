// An HTTP/1.1 server. Each connection is served on one thread. The handler is a
// coroutine that responds through an Exchange.
#ifndef MAGNOLIATIDE_HTTP_SERVER_H
#define MAGNOLIATIDE_HTTP_SERVER_H

#include "magnoliatide/document/document.h"
#include "magnoliatide/http/body_memory.h"
#include "magnoliatide/http/message.h"
#include "magnoliatide/http/threads.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace magnoliatide::http {

/// One request and its response.
class Exchange
{
public:
  virtual ~Exchange() = default;

  /// Returns the request.
  virtual const Request& Incoming() const = 0;

  /// Frees the request's body, of which the handler has a copy.
  virtual void DropBody() {}

  /// Sends a complete response.
  ///
  /// @param aMemory The share of memory that the body uses, if it is counted.
  ///     The connection is reset if the caller stops reading and others need
  ///     the memory.
  virtual boost::asio::awaitable<void> Respond(
    Response aResponse,
    BodyMemory* aMemory = nullptr) = 0;

  /// Sends the status and headers of a chunked response. Returns false if the
  /// caller has disconnected.
  virtual boost::asio::awaitable<bool> BeginStream(Response aHead) = 0;

  /// Sends a chunk of a chunked response. Returns false if the caller has
  /// disconnected.
  virtual boost::asio::awaitable<bool> WriteChunk(std::string aChunk) = 0;

  /// Sends the last chunk, which ends a chunked response.
  virtual boost::asio::awaitable<void> EndStream() = 0;

  /// Resets the connection without a last chunk, so that the caller detects the
  /// incomplete response.
  virtual void Abort() = 0;

  /// Sets a function that is called once if the caller disconnects before the
  /// end of the response, or at once if the caller has already disconnected.
  virtual void OnCallerDisconnect(std::function<void()> aFunction) = 0;

  /// Returns whether the caller is known to have disconnected.
  virtual bool CallerDisconnected() const = 0;
};

/// Handles one request and responds through the exchange. If it throws or gives
/// no response, the server responds with status 500, or aborts a response that
/// has begun.
using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

/// Limits on the size and duration of what callers send.
struct ServerLimits
{
  std::uint64_t headerBytes = 16 * 1024; ///< Maximum size.
  std::uint64_t bodyBytes = 1024 * 1024; ///< Maximum size.
  /// How long to wait for the headers, and for each further read of the body.
  Duration headerTimeout = Seconds(10);
  Duration idleTimeout = Seconds(60); ///< How long to wait for a request.
};

/// Why a connection was closed.
enum class CloseCause
{
  kAnswered,      ///< After a response, as either side had asked for.
  kCaller,        ///< The caller closed it, or the connection failed.
  kIdle,          ///< No request arrived within the idle timeout.
  kDrain,         ///< The server stops.
  kReadTimeout,   ///< A request arrived too slowly.
  kMalformed,     ///< A request was invalid or too large.
  kWriteFailed,   ///< A response could not be written.
  kHandlerFailed, ///< The handler failed.
  kAborted,       ///< The handler aborted a response.
  kLimit,         ///< Too many connections or large bodies were open.
};

/// Returns the name of a cause for metrics and logs.
const char*
Name(CloseCause aCause);

/// How a connection ended.
struct ConnectionEnd
{
  CloseCause cause = CloseCause::kCaller;
  std::string detail; ///< The text of the error, or empty.
  /// Whether the last request was read, wholly or in part, and got no complete
  /// response.
  bool requestDropped = false;
  /// The last request, or null if it was not read completely.
  const Request* request = nullptr;
  Duration age{}; ///< Since the first byte of the last request.
};

struct ServerOptions
{
  document::Endpoint address;
  /// Called when a connection has ended, on its thread. May be empty. Must not
  /// throw.
  std::function<void(const ConnectionEnd&)> onConnectionEnd;
  /// Called when the wait for a request begins and for each part that is read,
  /// on the thread of its connection. If the limits change meanwhile, the
  /// higher ones apply to this request.
  std::function<ServerLimits()> limits = [] { return ServerLimits(); };
  Duration writeTimeout = Seconds(20); ///< How long each write may take.
  int maxConnections = 20000; ///< Further connections are closed at once.
  /// For a further connection, closes the one that has waited longest for a
  /// request, or for the rest of one.
  bool evictsWaiting = false;
  /// How long a request may take to arrive, beyond the time that its largest
  /// body takes on a slow link; zero: only the time of each read is limited.
  Duration maxRequestTime{};
  int receiveBufferBytes = 0; ///< Of each connection; 0: as the system sets it.
  /// Whether responses carry a Keep-Alive header with the idle timeout.
  bool advertiseIdleTimeout = false;
};

/// Counters since the start, except for open and inProgress.
struct ServerCounters
{
  std::atomic<std::uint64_t> accepted{ 0 }; ///< Connections.
  /// Connections closed because maxConnections were open.
  std::atomic<std::uint64_t> refusedConnections{ 0 };
  /// Requests that could not be read: invalid, too large, too slow or cut off.
  std::atomic<std::uint64_t> malformed{ 0 };
  std::atomic<std::int64_t> open{ 0 };       ///< Connections open now.
  std::atomic<std::int64_t> inProgress{ 0 }; ///< Requests in progress now.
};

/// A running server. Stops accepting connections when destroyed.
class Server
{
public:
  virtual ~Server() = default;

  /// Closes each connection after its next response, unless a further request
  /// has already arrived. New connections are still accepted.
  virtual void CloseAfterResponses() = 0;

  /// Stops accepting connections, after those that already wait to be accepted.
  /// Closes idle connections at once, new ones if no request arrives soon, and
  /// the others after the requests that have arrived.
  virtual void Drain() = 0;

  /// Returns whether Drain() was called and all connections have ended.
  virtual bool Drained() const = 0;

  virtual const ServerCounters& Counters() const = 0;
};

/// Starts a server on the given threads. Throws std::runtime_error, with the
/// address in the message, if the address cannot be bound.
std::unique_ptr<Server>
StartServer(Threads& aThreads, ServerOptions aOptions, Handler aHandler);

} // namespace magnoliatide::http

#endif
