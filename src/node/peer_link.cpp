// Datagrams and calls between VMs.
#include "peer_link.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>

#include <sys/socket.h>

#include <algorithm>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

/// For reading a call from a peer and sending the reply.
constexpr Duration kServeTimeout = Seconds(5);
constexpr std::size_t kMaxEndpoints = 4096;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

std::vector<wire::Key>
KeysOf(const document::Settings& aSettings)
{
  std::vector<wire::Key> keys;
  for (const auto& key : aSettings.peerKeys) {
    keys.push_back({ key.id, key.secret });
  }
  return keys;
}

/// Closes a socket after a timeout, unless the Deadline is destroyed before.
class Deadline
{
public:
  Deadline(asio::ip::tcp::socket& aSocket, Duration aTimeout)
    : mTimer(aSocket.get_executor(), aTimeout)
    , mSocket(std::make_shared<asio::ip::tcp::socket*>(&aSocket))
  {
    mTimer.async_wait([socket = mSocket](const auto& aError) {
      if (!aError && *socket != nullptr) {
        boost::system::error_code ignored;
        (*socket)->close(ignored);
      }
    });
  }

  ~Deadline() { *mSocket = nullptr; }

  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

private:
  asio::steady_timer mTimer;
  /// Points to null once the Deadline is destroyed, as the socket may no longer
  /// exist.
  std::shared_ptr<asio::ip::tcp::socket*> mSocket;
};

/// Returns the big-endian length that precedes a frame.
std::array<unsigned char, 4>
EncodeLength(std::size_t aSize)
{
  return { static_cast<unsigned char>(aSize >> 24),
           static_cast<unsigned char>(aSize >> 16),
           static_cast<unsigned char>(aSize >> 8),
           static_cast<unsigned char>(aSize) };
}

asio::awaitable<bool>
WriteFrame(asio::ip::tcp::socket& aSocket, std::string aBytes)
{
  const auto length = EncodeLength(aBytes.size());
  const std::array<asio::const_buffer, 2> buffers = { asio::buffer(length),
                                                      asio::buffer(aBytes) };
  const auto [error, count] =
    co_await asio::async_write(aSocket, buffers, kNoThrow);
  static_cast<void>(count);
  co_return !error;
}

/// Memory of all frames that are being read or served.
constexpr std::size_t kMaxFrameMemory = 32 * 1024 * 1024;
/// The first read of a frame. Later ones double what was read, so that a length
/// without its bytes takes little memory.
constexpr std::size_t kFirstFrameBytes = 4096;

/// Counts a frame's bytes as used until it is destroyed.
class FrameMemory
{
public:
  explicit FrameMemory(std::shared_ptr<std::size_t> aUsed)
    : mUsed(std::move(aUsed))
  {
  }

  ~FrameMemory() { *mUsed -= mBytes; }

  FrameMemory(const FrameMemory&) = delete;
  FrameMemory& operator=(const FrameMemory&) = delete;

  /// Returns false if the memory is used up.
  bool Add(std::size_t aBytes)
  {
    if (*mUsed + aBytes > kMaxFrameMemory) {
      return false;
    }
    *mUsed += aBytes;
    mBytes += aBytes;
    return true;
  }

private:
  std::shared_ptr<std::size_t> mUsed;
  std::size_t mBytes = 0;
};

asio::awaitable<bool>
ReadFrame(asio::ip::tcp::socket& aSocket,
          FrameMemory& aMemory,
          std::string& aBytes)
{
  std::array<unsigned char, 4> length{};
  const auto [failed, read] =
    co_await asio::async_read(aSocket, asio::buffer(length), kNoThrow);
  static_cast<void>(read);
  std::size_t size = 0;
  for (const auto byte : length) {
    size = size << 8 | byte;
  }
  if (failed || size > wire::kMaxFrameBytes) {
    co_return false;
  }
  aBytes.clear();
  while (aBytes.size() < size) {
    const auto have = aBytes.size();
    const auto more = std::min(std::max(have, kFirstFrameBytes), size - have);
    if (!aMemory.Add(more)) {
      co_return false;
    }
    aBytes.resize(have + more);
    const auto [error, count] = co_await asio::async_read(
      aSocket, asio::buffer(aBytes.data() + have, more), kNoThrow);
    static_cast<void>(count);
    if (error) {
      co_return false;
    }
  }
  co_return true;
}

} // namespace

PeerLink::PeerLink(asio::io_context& aLoop,
                   const document::Settings& aSettings,
                   telemetry::Metrics& aMetrics)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mCodec(KeysOf(aSettings))
  , mEnvironment(Hash64(aSettings.environment))
  , mSocket(aLoop)
  , mAcceptor(aLoop)
  , mLocalHost(aSettings.peerBind.host)
{
  const auto host = asio::ip::make_address(aSettings.peerBind.host);
  try {
    const Udp::endpoint udp(host, aSettings.peerBind.port);
    mSocket.open(udp.protocol());
    mSocket.bind(udp);
    const Tcp::endpoint tcp(host, aSettings.peerBind.port);
    mAcceptor.open(tcp.protocol());
    mAcceptor.set_option(Tcp::acceptor::reuse_address(true));
    mAcceptor.bind(tcp);
    mAcceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot bind peer-address " +
                             document::Format(aSettings.peerBind) + ": " +
                             error.code().message() +
                             "; free the address or change the settings");
  }
}

void
PeerLink::Start(FillHeader aFillHeader,
                OnDatagram aOnDatagram,
                OnFrame aOnFrame)
{
  mFillHeader = std::move(aFillHeader);
  mOnDatagram = std::move(aOnDatagram);
  mOnFrame = std::move(aOnFrame);
  asio::post(mLoop, [this] { Receive(); });
  asio::co_spawn(mLoop, Accept(), asio::detached);
}

wire::Header
PeerLink::NewHeader()
{
  wire::Header header;
  header.environment = mEnvironment;
  header.sequence = ++mSequence;
  mFillHeader(header);
  return header;
}

const PeerLink::Udp::endpoint*
PeerLink::EndpointOf(const std::string& aAddress)
{
  const auto found = mEndpoints.find(aAddress);
  if (found != mEndpoints.end()) {
    return &found->second;
  }
  document::Endpoint parsed;
  boost::system::error_code error;
  if (!document::ParseEndpoint(aAddress, parsed)) {
    return nullptr;
  }
  const auto host = asio::ip::make_address(parsed.host, error);
  if (error) {
    return nullptr;
  }
  if (mEndpoints.size() >= kMaxEndpoints) {
    mEndpoints.clear();
  }
  return &(mEndpoints[aAddress] = Udp::endpoint(host, parsed.port));
}

void
PeerLink::Send(const std::string& aAddress, const wire::DatagramBody& aBody)
{
  const auto* endpoint = EndpointOf(aAddress);
  if (endpoint == nullptr) {
    return;
  }
  const auto bytes = mCodec.Encode(wire::Datagram{ NewHeader(), aBody });
  if (bytes.size() > wire::kMaxDatagramBytes) {
    mMetrics.Count("peer_datagrams_too_long_total");
    return;
  }
  boost::system::error_code ignored;
  mSocket.send_to(asio::buffer(bytes), *endpoint, 0, ignored);
  mMetrics.Count("peer_bytes_sent_total", {}, bytes.size());
  mMetrics.Count("peer_datagrams_sent_total");
}

void
PeerLink::Receive()
{
  mSocket.async_wait(Udp::socket::wait_read,
                     [this](const boost::system::error_code& aError) {
                       if (aError != asio::error::operation_aborted) {
                         ReadDatagrams();
                         Receive();
                       }
                     });
}

void
PeerLink::ReadDatagrams()
{
  std::array<mmsghdr, kMaxDatagramBatch> messages{};
  std::array<iovec, kMaxDatagramBatch> buffers{};
  for (std::size_t i = 0; i < kMaxDatagramBatch; ++i) {
    buffers[i] = { mBuffers[i].data(), mBuffers[i].size() };
    messages[i].msg_hdr.msg_iov = &buffers[i];
    messages[i].msg_hdr.msg_iovlen = 1;
  }
  const int count = ::recvmmsg(mSocket.native_handle(),
                               messages.data(),
                               kMaxDatagramBatch,
                               MSG_DONTWAIT,
                               nullptr);
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    mMetrics.Count("peer_bytes_received_total", {}, messages[index].msg_len);
    HandleDatagram(
      std::string_view(mBuffers[index].data(), messages[index].msg_len));
  }
}

template<typename Message>
wire::DecodeError
PeerLink::DecodeAndVerify(std::string_view aBytes, Message& aOut)
{
  const auto error = mCodec.Decode(aBytes, aOut);
  if (error != wire::DecodeError::kNone) {
    return error;
  }
  if (aOut.header.environment != mEnvironment) {
    return wire::DecodeError::kForeign;
  }
  const bool isNew =
    mReplayFilter.Accept(aOut.header.sender.process, aOut.header.sequence);
  return isNew ? wire::DecodeError::kNone : wire::DecodeError::kReplayed;
}

void
PeerLink::CountDropped(wire::DecodeError aError)
{
  mMetrics.Count("peer_messages_dropped_total",
                 { { "reason", wire::Name(aError) } });
}

void
PeerLink::HandleDatagram(std::string_view aBytes)
{
  wire::Datagram message;
  const auto error = DecodeAndVerify(aBytes, message);
  if (error != wire::DecodeError::kNone) {
    CountDropped(error);
    return;
  }
  mOnDatagram(message.header, message.body);
}

asio::awaitable<void>
PeerLink::Accept()
{
  while (mAcceptor.is_open()) {
    auto [error, socket] = co_await mAcceptor.async_accept(kNoThrow);
    if (error == asio::error::operation_aborted) {
      break;
    }
    if (!error) {
      asio::co_spawn(mLoop, Serve(std::move(socket)), asio::detached);
    }
  }
}

asio::awaitable<void>
PeerLink::Serve(Tcp::socket aSocket)
{
  Deadline deadline(aSocket, kServeTimeout);
  FrameMemory memory(mFrameBytes);
  std::string bytes;
  if (!co_await ReadFrame(aSocket, memory, bytes)) {
    co_return;
  }
  mMetrics.Count("peer_bytes_received_total", {}, bytes.size());
  wire::Frame request;
  const auto error = DecodeAndVerify(bytes, request);
  if (error != wire::DecodeError::kNone) {
    CountDropped(error);
    co_return;
  }
  wire::Frame reply{ NewHeader(), mOnFrame(request.header, request.body) };
  bytes = mCodec.Encode(reply);
  mMetrics.Count("peer_bytes_sent_total", {}, bytes.size());
  co_await WriteFrame(aSocket, std::move(bytes));
}

asio::awaitable<std::optional<wire::FrameBody>>
PeerLink::Call(std::string aAddress, wire::FrameBody aBody, Duration aTimeout)
{
  const auto* udp = EndpointOf(aAddress);
  if (udp == nullptr) {
    co_return std::nullopt;
  }
  const Tcp::endpoint peer(udp->address(), udp->port());
  Tcp::socket socket(mLoop);
  Deadline deadline(socket, aTimeout);
  auto reply = co_await Exchange(socket, peer, std::move(aBody));
  co_return reply;
}

asio::awaitable<std::optional<wire::FrameBody>>
PeerLink::Exchange(Tcp::socket& aSocket,
                   Tcp::endpoint aPeer,
                   wire::FrameBody aBody)
{
  boost::system::error_code ignored;
  aSocket.open(aPeer.protocol(), ignored);
  aSocket.bind({ asio::ip::make_address(mLocalHost), 0 }, ignored);
  const auto [failed] = co_await aSocket.async_connect(aPeer, kNoThrow);
  if (failed) {
    co_return std::nullopt;
  }
  auto request = mCodec.Encode(wire::Frame{ NewHeader(), std::move(aBody) });
  mMetrics.Count("peer_bytes_sent_total", {}, request.size());
  FrameMemory memory(mFrameBytes);
  std::string bytes;
  const bool written = co_await WriteFrame(aSocket, std::move(request));
  if (!written || !co_await ReadFrame(aSocket, memory, bytes)) {
    co_return std::nullopt;
  }
  mMetrics.Count("peer_bytes_received_total", {}, bytes.size());
  wire::Frame reply;
  const auto error = DecodeAndVerify(bytes, reply);
  if (error != wire::DecodeError::kNone) {
    CountDropped(error);
    co_return std::nullopt;
  }
  co_return std::move(reply.body);
}

} // namespace magnoliatide::node
