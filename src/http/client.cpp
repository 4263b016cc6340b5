// The HTTP client connection, on Boost.Beast.
#include "magnoliatide/http/client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <optional>

namespace magnoliatide::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPartBytes = 16 * 1024;
constexpr std::uint64_t kMaxAnswerBytes = 64 * 1024 * 1024;

class BeastConnection : public ClientConnection
{
public:
  BeastConnection(asio::any_io_executor aExecutor,
                  const document::Endpoint& aPeer,
                  std::string aLocalHost)
    : mStream(std::move(aExecutor))
    , mPeer(aPeer)
    , mLocalHost(std::move(aLocalHost))
  {
  }

  asio::awaitable<bool> Connect(Duration aBound) override
  {
    ErrorCode error;
    const auto host = asio::ip::make_address(mPeer.host, error);
    if (error) {
      co_return false;
    }
    const tcp::endpoint peer(host, mPeer.port);
    if (!mLocalHost.empty()) {
      mStream.socket().open(peer.protocol(), error);
      mStream.socket().bind({ asio::ip::make_address(mLocalHost), 0 }, error);
    }
    mStream.expires_after(aBound);
    const auto [failed] = co_await mStream.async_connect(peer, kNoThrow);
    if (!failed) {
      mStream.socket().set_option(tcp::no_delay(true), error);
    }
    co_return !failed;
  }

  asio::awaitable<CallStatus> Send(Request aRequest, Duration aBound) override
  {
    mWhole = false;
    mParser.reset();
    bhttp::request<bhttp::string_body> message;
    message.method_string(aRequest.method);
    message.target(aRequest.target);
    message.version(11);
    message.set(bhttp::field::host, document::Format(mPeer));
    for (const auto& header : aRequest.headers) {
      message.insert(header.name, header.value);
    }
    message.body() = std::move(aRequest.body);
    message.prepare_payload();
    mStream.expires_after(aBound);
    const auto [error, bytes] =
      co_await bhttp::async_write(mStream, message, kNoThrow);
    if (!error) {
      co_return CallStatus::kDone;
    }
    co_return bytes == 0 ? CallStatus::kNotSent : Failure(error);
  }

  asio::awaitable<CallStatus> ReadHead(Response& aHead,
                                       Duration aBound) override
  {
    mParser.emplace();
    mParser->body_limit(kMaxAnswerBytes);
    mStream.expires_after(aBound);
    const auto [error, bytes] =
      co_await bhttp::async_read_header(mStream, mBuffer, *mParser, kNoThrow);
    static_cast<void>(bytes);
    if (error) {
      co_return Failure(error);
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

  asio::awaitable<CallStatus> ReadPart(std::string& aPart,
                                       Duration aBound) override
  {
    aPart.clear();
    while (aPart.empty()) {
      if (mParser->is_done()) {
        // A body that only the connection's end delimits may have been cut.
        mWhole = !mParser->need_eof();
        co_return mWhole ? CallStatus::kDone : CallStatus::kCut;
      }
      mPartBuffer.resize(kPartBytes);
      auto& body = mParser->get().body();
      body.data = mPartBuffer.data();
      body.size = mPartBuffer.size();
      body.more = true;
      mStream.expires_after(aBound);
      const auto [error, bytes] =
        co_await bhttp::async_read_some(mStream, mBuffer, *mParser, kNoThrow);
      static_cast<void>(bytes);
      if (error && error != bhttp::error::need_buffer) {
        co_return Failure(error);
      }
      aPart.assign(mPartBuffer.data(), mPartBuffer.size() - body.size);
    }
    co_return CallStatus::kDone;
  }

  asio::awaitable<CallStatus> ReadRest(std::string& aBody,
                                       std::size_t aMaxBytes,
                                       Duration aBound) override
  {
    aBody.clear();
    std::string part;
    while (true) {
      const auto status = co_await ReadPart(part, aBound);
      if (status != CallStatus::kDone) {
        co_return status;
      }
      if (part.empty()) {
        co_return CallStatus::kDone;
      }
      if (aBody.size() + part.size() > aMaxBytes) {
        co_return CallStatus::kTooLarge;
      }
      aBody += part;
    }
  }

  bool Reusable() override
  {
    if (!mWhole || !mParser || !mParser->get().keep_alive() ||
        mBuffer.size() != 0) {
      return false;
    }
    char byte = 0;
    const auto got = ::recv(
      mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && errno == EAGAIN;
  }

  void Close() override
  {
    mClosedByUs = true;
    mWhole = false;
    mStream.close();
  }

private:
  CallStatus Failure(const ErrorCode& aError)
  {
    mWhole = false;
    ErrorCode ignored;
    mStream.socket().close(ignored);
    if (mClosedByUs) {
      return CallStatus::kClosedByUs;
    }
    return aError == beast::error::timeout ? CallStatus::kSilent
                                           : CallStatus::kCut;
  }

  beast::tcp_stream mStream;
  document::Endpoint mPeer;
  std::string mLocalHost;
  beast::flat_buffer mBuffer;
  std::optional<bhttp::response_parser<bhttp::buffer_body>> mParser;
  std::vector<char> mPartBuffer;
  /// True only after the last answer was read up to its own end mark.
  bool mWhole = false;
  bool mClosedByUs = false;
};

} // namespace

std::shared_ptr<ClientConnection>
MakeConnection(asio::any_io_executor aExecutor,
               const document::Endpoint& aPeer,
               const std::string& aLocalHost)
{
  return std::make_shared<BeastConnection>(
    std::move(aExecutor), aPeer, aLocalHost);
}

asio::awaitable<CallResult>
Call(document::Endpoint aPeer,
     Request aRequest,
     Duration aBound,
     std::string aLocalHost)
{
  CallResult result;
  const auto executor = co_await asio::this_coro::executor;
  auto connection = MakeConnection(executor, aPeer, aLocalHost);
  if (!co_await connection->Connect(aBound)) {
    co_return result;
  }
  aRequest.headers.push_back({ "Connection", "close" });
  result.status = co_await connection->Send(std::move(aRequest), aBound);
  if (result.status == CallStatus::kDone) {
    result.status = co_await connection->ReadHead(result.response, aBound);
  }
  if (result.status == CallStatus::kDone) {
    result.status = co_await connection->ReadRest(
      result.response.body, kMaxAnswerBytes, aBound);
  }
  co_return result;
}

} // namespace magnoliatide::http
