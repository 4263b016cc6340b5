// The network between VMs: signed datagrams over UDP and calls of one request
// and one reply over TCP. Runs on the control loop.
#ifndef MAGNOLIATIDE_SRC_NODE_PEER_LINK_H
#define MAGNOLIATIDE_SRC_NODE_PEER_LINK_H

#include "magnoliatide/document/settings.h"
#include "magnoliatide/telemetry/metrics.h"
#include "magnoliatide/wire/codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace magnoliatide::node {

/// Sends and receives the messages of peers. Drops messages that fail to
/// decode, have a wrong signature, belong to another environment or are
/// replayed. Counts the traffic and the dropped messages.
class PeerLink
{
public:
  /// Sets the sender in a header, and the version of its document or the
  /// revision of its store replica.
  using FillHeader = std::function<void(wire::Header&)>;
  using OnDatagram =
    std::function<void(const wire::Header&, const wire::DatagramBody&)>;
  /// Returns the reply to a call.
  using OnFrame =
    std::function<wire::FrameBody(const wire::Header&, const wire::FrameBody&)>;

  /// Binds the peer address. Throws std::runtime_error if that fails.
  PeerLink(boost::asio::io_context& aLoop,
           const document::Settings& aSettings,
           telemetry::Metrics& aMetrics);

  /// Starts to receive. The arguments are called on the control loop.
  void Start(FillHeader aFillHeader, OnDatagram aOnDatagram, OnFrame aOnFrame);

  /// Sends a datagram, which may be lost. Drops it if the address is invalid or
  /// the message is too long.
  void Send(const std::string& aAddress, const wire::DatagramBody& aBody);

  /// Calls a peer over TCP. Returns its reply, or nothing on failure or
  /// timeout.
  boost::asio::awaitable<std::optional<wire::FrameBody>>
  Call(std::string aAddress, wire::FrameBody aBody, Duration aTimeout);

private:
  using Udp = boost::asio::ip::udp;
  using Tcp = boost::asio::ip::tcp;

  void Receive();
  /// Reads the datagrams that have arrived, several with one system call.
  void ReadDatagrams();
  void HandleDatagram(std::string_view aBytes);
  template<typename Message>
  wire::DecodeError DecodeAndVerify(std::string_view aBytes, Message& aOut);
  void CountDropped(wire::DecodeError aError);
  wire::Header NewHeader();
  const Udp::endpoint* EndpointOf(const std::string& aAddress);
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(Tcp::socket aSocket);
  /// Connects, sends a request and reads the reply.
  boost::asio::awaitable<std::optional<wire::FrameBody>>
  Exchange(Tcp::socket& aSocket, Tcp::endpoint aPeer, wire::FrameBody aBody);

  boost::asio::io_context& mLoop;
  telemetry::Metrics& mMetrics;
  wire::Codec mCodec;
  wire::ReplayFilter mReplayFilter;
  std::uint64_t mEnvironment; ///< Hash of its name.
  std::uint64_t mSequence = 0;
  /// Of frames that are being read or served. Their coroutines may outlive this
  /// object.
  std::shared_ptr<std::size_t> mFrameBytes = std::make_shared<std::size_t>(0);
  Udp::socket mSocket;
  Tcp::acceptor mAcceptor;
  std::string mLocalHost; ///< Source address of calls.
  static constexpr std::size_t kMaxDatagramBatch = 16;
  /// Larger than wire::kMaxDatagramBytes, so that longer datagrams are detected
  /// and not truncated to a valid length.
  std::array<std::array<char, 2048>, kMaxDatagramBatch> mBuffers{};
  /// Parsed addresses; cleared when full.
  std::map<std::string, Udp::endpoint> mEndpoints;
  FillHeader mFillHeader;
  OnDatagram mOnDatagram;
  OnFrame mOnFrame;
};

} // namespace magnoliatide::node

#endif
