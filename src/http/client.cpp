// The HTTP client connection, implemented with Boost.Beast.
#include "magnoliatide/http/client.h"

#include "framing.h"
#include "free_memory.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>

namespace magnoliatide::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/// Size of one read.
constexpr std::size_t kReadBufferBytes = 8 * 1024;
/// Bytes of one connection that are received but not parsed. Also bounds what
/// the parser needs at once: a chunk's size line or the trailers.
constexpr std::size_t kMaxUnparsedBytes = 32 * 1024;
constexpr std::uint64_t kMaxResponseBytes = 64 * 1024 * 1024;
/// Maximum size of the body of a Call() or CallForHead().
constexpr std::size_t kMaxCallBytes = 16 * 1024 * 1024;
/// Bytes of one response that frame its body: sizes and extensions of chunks,
/// and trailers.
constexpr std::size_t kMaxFramingBytes = 1024 * 1024;
/// Interim responses before the final one.
constexpr int kMaxInterimResponses = 16;
/// Interval between requests for memory while other bodies give way.
constexpr Duration kMemoryInterval = Milliseconds(1);

constexpr unsigned kMinStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

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

bool
HasBody(const Request& aRequest)
{
  constexpr std::array kMethodsWithBody = { "POST", "PUT", "OPTIONS" };
  return !aRequest.body.empty() ||
         std::any_of(
           kMethodsWithBody.begin(),
           kMethodsWithBody.end(),
           [&](const char* aName) { return aRequest.method == aName; });
}

/// Formats a request. Does not restrict its parts, unlike the message types of
/// Beast, which throw exceptions for long fields and some bodies.
std::string
Serialize(const Request& aRequest, const document::Endpoint& aPeer)
{
  const auto is = [](const Header& aHeader, const char* aName) {
    return boost::algorithm::iequals(aHeader.name, aName);
  };
  std::string bytes = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  if (std::none_of(aRequest.headers.begin(),
                   aRequest.headers.end(),
                   [&](const auto& aHeader) { return is(aHeader, "Host"); })) {
    bytes += "Host: " + document::Format(aPeer) + "\r\n";
  }
  for (const auto& header : aRequest.headers) {
    if (!is(header, "Content-Length") && !is(header, "Transfer-Encoding")) {
      bytes += header.name + ": " + header.value + "\r\n";
    }
  }
  if (HasBody(aRequest)) {
    bytes += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += aRequest.body;
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
      const auto local = asio::ip::make_address(mOptions.localHost, error);
      if (error) {
        co_return false;
      }
      mStream.socket().bind({ local, 0 }, error);
    }
    if (mOptions.deadPeerTimeout > Duration::zero()) {
      SetDeadPeerTimeout(mStream.socket(), mOptions.deadPeerTimeout);
    }
    mStream.expires_at(EndOf(aTimeout));
    const auto [connectError] = co_await mStream.async_connect(peer, kNoThrow);
    if (!connectError) {
      mStream.socket().set_option(tcp::no_delay(true), error);
    }
    mConnectTimedOut = connectError == beast::error::timeout;
    co_return !connectError && !mClosedLocally;
  }

  bool ConnectTimedOut() const override { return mConnectTimedOut; }

  void EndBy(TimePoint aTime) override { mEnd = aTime; }

  asio::awaitable<CallStatus> Send(Request aRequest, Duration aTimeout) override
  {
    mResponseComplete = false;
    mParser.reset();
    mParseError = {};
    mWriteFailed = false;
    mIsHeadRequest = aRequest.method == "HEAD";
    mOutgoing = Serialize(aRequest, mPeer);
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
    } else {
      FreeMemory(mOutgoing);
    }
    co_return CallStatus::kDone;
  }

  asio::awaitable<CallStatus> ReadHead(Response& aHead,
                                       Duration aTimeout) override
  {
    mFramingBytes = 0;
    mStream.expires_at(EndOf(aTimeout));
    // Reads are as large as the capacity.
    mBuffer.reserve(kReadBufferBytes);
    for (int i = 0; i <= kMaxInterimResponses; ++i) {
      mParser.emplace();
      mParser->body_limit(kMaxResponseBytes);
      mParser->skip(mIsHeadRequest);
      const auto [error, bytes] =
        co_await bhttp::async_read_header(mStream, mBuffer, *mParser, kNoThrow);
      static_cast<void>(bytes);
      if (error) {
        co_return HandleError(error);
      }
      const auto status = mParser->get().result_int();
      if (status >= kMinFinalStatus && status <= kMaxStatus) {
        CopyHead(aHead);
        if (!CanReadBody(aHead)) {
          co_return HandleError(bhttp::error::bad_transfer_encoding);
        }
        co_return CallStatus::kDone;
      }
      if (status < kMinStatus || status > kMaxStatus ||
          status == kSwitchingProtocols) {
        break;
      }
    }
    co_return HandleError(bhttp::error::bad_status);
  }

  asio::awaitable<CallStatus> ReadSome(std::string& aBytes,
                                       Duration aTimeout) override
  {
    aBytes.clear();
    mStream.expires_at(EndOf(aTimeout));
    while (aBytes.empty()) {
      if (mParser->is_done()) {
        const bool framed = !mParser->need_eof();
        mResponseComplete = framed && !mWriting;
        const bool ended = framed || EndedProperly();
        co_return ended ? CallStatus::kDone : CallStatus::kCut;
      }
      if (mParseError) {
        co_return HandleError(mParseError);
      }
      aBytes.resize(kReadBufferBytes);
      auto& body = mParser->get().body();
      body.data = aBytes.data();
      body.size = aBytes.size();
      body.more = true;
      const auto [error, bytes] =
        co_await bhttp::async_read_some(mStream, mBuffer, *mParser, kNoThrow);
      if (error && error != bhttp::error::need_buffer) {
        aBytes.clear();
        co_return HandleError(error);
      }
      const auto parsed = bytes + ParseReceived();
      aBytes.resize(aBytes.size() - body.size);
      mFramingBytes += parsed - aBytes.size();
      if (mFramingBytes > kMaxFramingBytes) {
        co_return HandleError(bhttp::error::bad_chunk);
      }
    }
    co_return CallStatus::kDone;
  }

  asio::awaitable<CallStatus> ReadRest(std::string& aBody,
                                       std::size_t aMaxBytes,
                                       Duration aTimeout,
                                       BodyMemory* aMemory) override
  {
    aBody.clear();
    if (aMemory) {
      aMemory->Begin(mStream.get_executor(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
          self->mStream.close();
        }
      });
    }
    auto status = co_await ReadBody(aBody, aMaxBytes, aTimeout, aMemory);
    const bool gaveWay = aMemory && !aMemory->End();
    if (gaveWay && !mClosedLocally) {
      status = CallStatus::kGaveWay;
    }
    if (status != CallStatus::kDone && aMemory) {
      FreeMemory(aBody);
      aMemory->Clear();
    }
    co_return status;
  }

  asio::awaitable<CallStatus> SkipRest(std::size_t aMaxBytes,
                                       Duration aTimeout) override
  {
    const TimePoint end = EndOf(aTimeout);
    std::size_t skipped = 0;
    std::string chunk;
    while (true) {
      const auto status = co_await ReadSome(chunk, end - Clock::now());
      if (status != CallStatus::kDone || chunk.empty()) {
        co_return status;
      }
      skipped += chunk.size();
      if (skipped > aMaxBytes) {
        co_return CallStatus::kTooLarge;
      }
    }
  }

  bool EndsWithConnection() const override
  {
    return mParser && mParser->need_eof();
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
  /// Returns when an operation with a timeout ends.
  TimePoint EndOf(Duration aTimeout) const
  {
    return std::min(Clock::now() + aTimeout, mEnd);
  }

  asio::awaitable<CallStatus> ReadBody(std::string& aBody,
                                       std::size_t aMaxBytes,
                                       Duration aTimeout,
                                       BodyMemory* aMemory)
  {
    std::string chunk;
    while (true) {
      const auto status = co_await ReadSome(chunk, aTimeout);
      if (status != CallStatus::kDone || chunk.empty()) {
        co_return status;
      }
      const auto size = aBody.size() + chunk.size();
      if (size > aMaxBytes) {
        co_return CallStatus::kTooLarge;
      }
      while (aMemory) {
        const auto grant = aMemory->Enlarge(size);
        if (grant == MemoryGrant::kGranted) {
          break;
        }
        if (grant == MemoryGrant::kDenied) {
          co_return CallStatus::kGaveWay;
        }
        asio::steady_timer timer(mStream.get_executor(), kMemoryInterval);
        co_await timer.async_wait(kNoThrow);
        if (mClosedLocally || Clock::now() >= mEnd) {
          co_return HandleError(beast::error::timeout);
        }
      }
      aBody += chunk;
    }
  }

  void CopyHead(Response& aHead) const
  {
    const auto& message = mParser->get();
    aHead.status = static_cast<int>(message.result_int());
    aHead.headers.clear();
    for (const auto& field : message) {
      aHead.headers.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
  }

  /// Returns whether the end of the body is certain and the body has no coding
  /// that would have to be removed.
  bool CanReadBody(const Response& aHead) const
  {
    const auto framing = FramingOf(aHead.headers, mParser->get().version());
    return framing != Framing::kAmbiguous &&
           framing != Framing::kUnsupportedCoding;
  }

  /// Parses what was received already, as far as it fits into the buffer.
  /// One operation for each chunk would make small chunks expensive. Returns
  /// the number of bytes.
  std::size_t ParseReceived()
  {
    const auto& body = mParser->get().body();
    std::size_t parsed = 0;
    ErrorCode error;
    while (!error && !mParser->is_done() && body.size > 0 &&
           mBuffer.size() > 0) {
      const auto bytes = mParser->put(mBuffer.data(), error);
      mBuffer.consume(bytes);
      parsed += bytes;
    }
    if (error && error != bhttp::error::need_more &&
        error != bhttp::error::need_buffer) {
      mParseError = error;
    }
    return parsed;
  }

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
        // A reset after the proper end of the connection is a broken pipe.
        self->mWriteFailed = aError && aError != asio::error::broken_pipe;
        FreeMemory(self->mOutgoing);
      });
  }

  /// Returns whether the end of the connection is the end of an answer without
  /// a length. The operating system reports a reset once. If the write of the
  /// request has got that error, the next read sees the end of the connection
  /// although the answer was broken off.
  bool EndedProperly() const
  {
    return mOptions.allowCloseDelimited && !mWriteFailed;
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
  TimePoint mEnd = TimePoint::max(); ///< Ends every operation.
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  std::string mOutgoing;
  std::optional<bhttp::response_parser<bhttp::buffer_body>> mParser;
  std::size_t mFramingBytes = 0; ///< Of chunks and trailers, in one response.
  ErrorCode mParseError; ///< Of the bytes after those that were returned.
  /// Whether the last request was written completely, and its response was read
  /// to the end that its length or its last chunk gives.
  bool mResponseComplete = false;
  bool mClosedLocally = false;
  bool mConnectTimedOut = false; ///< The last Connect() timed out.
  bool mWriting = false;         ///< The request is not completely written.
  bool mWriteFailed = false;     ///< The rest of it could not be written.
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

namespace {

asio::awaitable<CallResult>
CallOnce(document::Endpoint aPeer,
         Request aRequest,
         Duration aTimeout,
         std::string aLocalHost,
         bool aKeepsBody)
{
  CallResult result;
  const auto executor = co_await asio::this_coro::executor;
  ConnectionOptions options;
  options.localHost = std::move(aLocalHost);
  auto connection = MakeConnection(executor, aPeer, std::move(options));
  connection->EndBy(Clock::now() + aTimeout);
  if (!co_await connection->Connect(aTimeout)) {
    co_return result;
  }
  aRequest.headers.push_back({ "Connection", "close" });
  result.status = co_await connection->Send(std::move(aRequest), aTimeout);
  if (result.status == CallStatus::kDone) {
    result.status = co_await connection->ReadHead(result.response, aTimeout);
  }
  if (result.status == CallStatus::kDone && aKeepsBody) {
    result.status = co_await connection->ReadRest(
      result.response.body, kMaxCallBytes, aTimeout);
  } else if (result.status == CallStatus::kDone) {
    result.status = co_await connection->SkipRest(kMaxCallBytes, aTimeout);
  }
  co_return result;
}

} // namespace

asio::awaitable<CallResult>
Call(document::Endpoint aPeer,
     Request aRequest,
     Duration aTimeout,
     std::string aLocalHost)
{
  return CallOnce(std::move(aPeer),
                  std::move(aRequest),
                  aTimeout,
                  std::move(aLocalHost),
                  true);
}

asio::awaitable<CallResult>
CallForHead(document::Endpoint aPeer,
            Request aRequest,
            Duration aTimeout,
            std::string aLocalHost)
{
  return CallOnce(std::move(aPeer),
                  std::move(aRequest),
                  aTimeout,
                  std::move(aLocalHost),
                  false);
}

} // namespace magnoliatide::http
