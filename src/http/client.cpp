// The HTTP client connection, implemented with Boost.Beast.
#include "magnoliatide/http/client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>

namespace magnoliatide::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/// Size of the buffer for one read of the body.
constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::uint64_t kMaxResponseBytes = 64 * 1024 * 1024;

/// Sets TCP keepalive and TCP_USER_TIMEOUT so that the operating system closes
/// a connection whose peer leaves packets unacknowledged. The idle time before
/// the first keepalive probe and the interval after each probe are equal shares
/// of aTimeout, in whole seconds.
void
SetDeadPeerTimeout(tcp::socket& aSocket, Duration aTimeout)
{
  const auto millis = static_cast<int>(
    std::chrono::duration_cast<Milliseconds>(aTimeout).count());
  constexpr int kKeepaliveProbes = 2;
  const int intervalSeconds =
    std::max(1, millis / 1000 / (kKeepaliveProbes + 1));
  const int handle = aSocket.native_handle();
  const auto set = [handle](int aLevel, int aName, int aValue) {
    ::setsockopt(handle, aLevel, aName, &aValue, sizeof(aValue));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, intervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, intervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, millis);
}

/// Serializes a request.
std::string
Serialize(const bhttp::request<bhttp::string_body>& aMessage)
{
  std::string bytes;
  bhttp::request_serializer<bhttp::string_body> serializer{ aMessage };
  ErrorCode error;
  while (!serializer.is_done() && !error) {
    serializer.next(error, [&](ErrorCode&, const auto& aBuffers) {
      const auto size = asio::buffer_size(aBuffers);
      const auto end = bytes.size();
      bytes.resize(end + size);
      asio::buffer_copy(asio::buffer(&bytes[end], size), aBuffers);
      serializer.consume(size);
    });
  }
  return bytes;
}

class BeastConnection
  : public ClientConnection
  , public std::enable_shared_from_this<BeastConnection>
{
public:
  BeastConnection(asio::any_io_executor aExecutor,
                  const document::Endpoint& aPeer,
                  ConnectionOptions aOptions)
    : mStream(std::move(aExecutor))
    , mPeer(aPeer)
    , mOptions(std::move(aOptions))
  {
  }

  asio::awaitable<bool> Connect(Duration aTimeout) override
  {
    ErrorCode error;
    const auto host = asio::ip::make_address(mPeer.host, error);
    if (error) {
      co_return false;
    }
    const tcp::endpoint peer(host, mPeer.port);
    mStream.socket().open(peer.protocol(), error);
    if (!mOptions.localHost.empty()) {
      mStream.socket().bind({ asio::ip::make_address(mOptions.localHost), 0 },
                            error);
    }
    if (mOptions.deadPeerTimeout > Duration::zero()) {
      SetDeadPeerTimeout(mStream.socket(), mOptions.deadPeerTimeout);
    }
    mStream.expires_after(aTimeout);
    const auto [connectError] = co_await mStream.async_connect(peer, kNoThrow);
    if (!connectError) {
      mStream.socket().set_option(tcp::no_delay(true), error);
    }
    mConnectTimedOut = connectError == beast::error::timeout;
    co_return !connectError && !mClosedLocally;
  }

  bool ConnectTimedOut() const override { return mConnectTimedOut; }

  asio::awaitable<CallStatus> Send(Request aRequest, Duration aTimeout) override
  {
    mResponseComplete = false;
    mParser.reset();
    bhttp::request<bhttp::string_body> message;
    message.method_string(aRequest.method);
    message.target(aRequest.target);
    message.version(11);
    for (const auto& header : aRequest.headers) {
      message.insert(header.name, header.value);
    }
    if (message.count(bhttp::field::host) == 0) {
      message.set(bhttp::field::host, document::Format(mPeer));
    }
    message.body() = std::move(aRequest.body);
    message.prepare_payload();
    mIsHeadRequest = aRequest.method == "HEAD";
    mOutgoing = Serialize(message);
    static_cast<void>(aTimeout);
    ErrorCode error;
    mStream.socket().non_blocking(true, error);
    const auto written =
      mStream.socket().write_some(asio::buffer(mOutgoing), error);
    if (error && error != asio::error::would_block) {
      HandleError(error);
      co_return CallStatus::kNotSent;
    }
    if (written < mOutgoing.size()) {
      WriteRemaining(written);
    }
    co_return CallStatus::kDone;
  }

  asio::awaitable<CallStatus> ReadHead(Response& aHead,
                                       Duration aTimeout) override
  {
    mParser.emplace();
    mParser->body_limit(kMaxResponseBytes);
    mParser->skip(mIsHeadRequest);
    mStream.expires_after(aTimeout);
    const auto [error, bytes] =
      co_await bhttp::async_read_header(mStream, mBuffer, *mParser, kNoThrow);
    static_cast<void>(bytes);
    if (error) {
      co_return HandleError(error);
    }
    const auto& message = mParser->get();
    aHead.status = static_cast<int>(message.result_int());
    aHead.headers.clear();
    for (const auto& field : message) {
      aHead.headers.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    co_return CallStatus::kDone;
  }

  asio::awaitable<CallStatus> ReadSome(std::string& aBytes,
                                       Duration aTimeout) override
  {
    aBytes.clear();
    while (aBytes.empty()) {
      if (mParser->is_done()) {
        const bool framed = !mParser->need_eof();
        mResponseComplete = framed && !mWriting;
        co_return framed || mOptions.allowCloseDelimited ? CallStatus::kDone
                                                         : CallStatus::kCut;
      }
      mReadBuffer.resize(kReadBufferBytes);
      auto& body = mParser->get().body();
      body.data = mReadBuffer.data();
      body.size = mReadBuffer.size();
      body.more = true;
      mStream.expires_after(aTimeout);
      const auto [error, bytes] =
        co_await bhttp::async_read_some(mStream, mBuffer, *mParser, kNoThrow);
      static_cast<void>(bytes);
      if (error && error != bhttp::error::need_buffer) {
        co_return HandleError(error);
      }
      aBytes.assign(mReadBuffer.data(), mReadBuffer.size() - body.size);
    }
    co_return CallStatus::kDone;
  }

  asio::awaitable<CallStatus> ReadRest(std::string& aBody,
                                       std::size_t aMaxBytes,
                                       Duration aTimeout) override
  {
    aBody.clear();
    std::string chunk;
    while (true) {
      const auto status = co_await ReadSome(chunk, aTimeout);
      if (status != CallStatus::kDone) {
        co_return status;
      }
      if (chunk.empty()) {
        co_return CallStatus::kDone;
      }
      if (aBody.size() + chunk.size() > aMaxBytes) {
        co_return CallStatus::kTooLarge;
      }
      aBody += chunk;
    }
  }

  bool Reusable() override
  {
    if (!mResponseComplete || !mParser || !mParser->get().keep_alive() ||
        mBuffer.size() != 0) {
      return false;
    }
    char byte = 0;
    const auto received = ::recv(
      mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && errno == EAGAIN;
  }

  void Close() override
  {
    mClosedLocally = true;
    mResponseComplete = false;
    mStream.close();
  }

private:
  void WriteRemaining(std::size_t aFrom)
  {
    mWriting = true;
    asio::async_write(
      mStream.socket(),
      asio::buffer(mOutgoing.data() + aFrom, mOutgoing.size() - aFrom),
      [self = shared_from_this()](const ErrorCode& aError, std::size_t) {
        // After an error mWriting stays true, which prevents the reuse of the
        // connection. The read returns how the call ended.
        self->mWriting = static_cast<bool>(aError);
      });
  }

  /// Closes the connection and returns the status for an error.
  CallStatus HandleError(const ErrorCode& aError)
  {
    mResponseComplete = false;
    ErrorCode ignored;
    mStream.socket().close(ignored);
    if (mClosedLocally) {
      return CallStatus::kClosedLocally;
    }
    return aError == beast::error::timeout ? CallStatus::kSilent
                                           : CallStatus::kCut;
  }

  beast::tcp_stream mStream;
  document::Endpoint mPeer;
  ConnectionOptions mOptions;
  beast::flat_buffer mBuffer;
  std::string mOutgoing;
  std::optional<bhttp::response_parser<bhttp::buffer_body>> mParser;
  std::vector<char> mReadBuffer;
  /// Whether the last request was written completely, and its response was read
  /// to the end that its length or its last chunk gives.
  bool mResponseComplete = false;
  bool mClosedLocally = false;
  bool mConnectTimedOut = false; ///< The last Connect() timed out.
  bool mWriting = false;         ///< The request is not completely written.
  /// Whether the request is a HEAD request, whose response has no body even if
  /// its headers give a length.
  bool mIsHeadRequest = false;
};

} // namespace

std::shared_ptr<ClientConnection>
MakeConnection(asio::any_io_executor aExecutor,
               const document::Endpoint& aPeer,
               ConnectionOptions aOptions)
{
  return std::make_shared<BeastConnection>(
    std::move(aExecutor), aPeer, std::move(aOptions));
}

asio::awaitable<CallResult>
Call(document::Endpoint aPeer,
     Request aRequest,
     Duration aTimeout,
     std::string aLocalHost)
{
  CallResult result;
  const auto executor = co_await asio::this_coro::executor;
  ConnectionOptions options;
  options.localHost = std::move(aLocalHost);
  auto connection = MakeConnection(executor, aPeer, std::move(options));
  if (!co_await connection->Connect(aTimeout)) {
    co_return result;
  }
  aRequest.headers.push_back({ "Connection", "close" });
  result.status = co_await connection->Send(std::move(aRequest), aTimeout);
  if (result.status == CallStatus::kDone) {
    result.status = co_await connection->ReadHead(result.response, aTimeout);
  }
  if (result.status == CallStatus::kDone) {
    result.status = co_await connection->ReadRest(
      result.response.body, kMaxResponseBytes, aTimeout);
  }
  co_return result;
}

} // namespace magnoliatide::http
