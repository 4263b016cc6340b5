// An HTTP/1.1 client connection. Its results distinguish a request of which no
// byte was sent from one that the server may have executed.
#ifndef MAGNOLIATIDE_HTTP_CLIENT_H
#define MAGNOLIATIDE_HTTP_CLIENT_H

#include "magnoliatide/document/document.h"
#include "magnoliatide/http/body_memory.h"
#include "magnoliatide/http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::http {

/// The result of an operation on a connection.
enum class CallStatus
{
  kDone,          ///< The operation succeeded.
  kNotSent,       ///< No byte of the request was written.
  kCut,           ///< After a byte was sent, the connection was lost or bytes
                  ///< came that are no response.
  kSilent,        ///< Timeout after a byte was sent.
  kTooLarge,      ///< The body exceeds the maximum size.
  kGaveWay,       ///< The memory for bodies was used up, and this body has
                  ///< given way to others.
  kClosedLocally, ///< Close() was called.
};

/// A connection that carries one request at a time. It may be used only on the
/// event loop that it was created on.
class ClientConnection
{
public:
  virtual ~ClientConnection() = default;

  /// Connects. Returns false on failure or timeout.
  virtual boost::asio::awaitable<bool> Connect(Duration aTimeout) = 0;

  /// Returns whether the last Connect() timed out without a response from the
  /// peer's host.
  virtual bool ConnectTimedOut() const = 0;

  /// Sets a time at which every operation ends with kSilent, whatever its own
  /// timeout. It applies until it is set again.
  virtual void EndBy(TimePoint aTime) = 0;

  /// Writes as much of a request as the socket's buffer holds. The remainder is
  /// written in the background while the response is read, since a server may
  /// respond before it has read a long body.
  ///
  /// @param aTimeout Not used, since the call does not wait.
  /// @return kDone or kNotSent.
  virtual boost::asio::awaitable<CallStatus> Send(Request aRequest,
                                                  Duration aTimeout) = 0;

  /// Reads the status and headers of the response into aHead. Interim responses
  /// are skipped.
  ///
  /// @param aTimeout How long to wait for the complete headers.
  virtual boost::asio::awaitable<CallStatus> ReadHead(Response& aHead,
                                                      Duration aTimeout) = 0;

  /// Reads the next bytes of the body as soon as some arrive.
  ///
  /// @param aBytes Receives the bytes.
  /// @param aTimeout How long to wait for the next bytes.
  /// @return kDone with no bytes at the end of the response.
  virtual boost::asio::awaitable<CallStatus> ReadSome(std::string& aBytes,
                                                      Duration aTimeout) = 0;

  /// Reads the rest of the body.
  ///
  /// @param aTimeout How long to wait for each read, not for the whole body;
  ///     EndBy() limits the whole.
  /// @param aMemory Receives the share of memory that the body uses. Without
  ///     it, the body is not counted.
  /// @return kTooLarge if the rest exceeds aMaxBytes, kGaveWay if it gives way
  ///     to others. With a status other than kDone, a counted body is empty and
  ///     has no share; one that is not counted holds what was received.
  virtual boost::asio::awaitable<CallStatus> ReadRest(
    std::string& aBody,
    std::size_t aMaxBytes,
    Duration aTimeout,
    BodyMemory* aMemory = nullptr) = 0;

  /// Reads the rest of the body without keeping it.
  ///
  /// @param aTimeout How long to wait for the whole.
  /// @return kTooLarge if the rest exceeds aMaxBytes.
  virtual boost::asio::awaitable<CallStatus> SkipRest(std::size_t aMaxBytes,
                                                      Duration aTimeout) = 0;

  /// Returns whether the response whose head was read has neither a length nor
  /// chunks, so that its body ends with the connection.
  virtual bool EndsWithConnection() const = 0;

  /// Returns whether the response is complete and the connection can carry
  /// another request.
  virtual bool Reusable() = 0;

  /// Closes the connection and aborts any operation on it.
  virtual void Close() = 0;
};

struct ConnectionOptions
{
  std::string localHost; ///< IP address to connect from; empty for any.
  /// How long the peer's host may leave packets unacknowledged before the
  /// connection fails. Zero keeps the default of the operating system.
  Duration deadPeerTimeout{};
  /// Whether a response without a length is complete when the peer closes the
  /// connection without an error.
  bool allowCloseDelimited = false;
};

/// Creates a client connection, which is not connected yet.
///
/// @param aExecutor The event loop to run on.
/// @param aPeer The address to connect to.
std::shared_ptr<ClientConnection>
MakeConnection(boost::asio::any_io_executor aExecutor,
               const document::Endpoint& aPeer,
               ConnectionOptions aOptions = {});

/// The result of a call. The response is complete only with kDone.
struct CallResult
{
  CallStatus status = CallStatus::kNotSent;
  Response response;
};

/// Makes one call on a new connection, which is closed afterwards.
///
/// @param aTimeout How long the whole call may take.
boost::asio::awaitable<CallResult>
Call(document::Endpoint aPeer,
     Request aRequest,
     Duration aTimeout,
     std::string aLocalHost = "");

/// Makes one call as Call() does, but reads the body without keeping it. The
/// body of the result is empty.
boost::asio::awaitable<CallResult>
CallForHead(document::Endpoint aPeer,
            Request aRequest,
            Duration aTimeout,
            std::string aLocalHost = "");

} // namespace magnoliatide::http

#endif
