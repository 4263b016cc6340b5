// Forwarding of datagrams and TCP connections between loopback addresses.
#include "network.h"

#include <boost/asio.hpp>

#include <array>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace magnoliatide::load {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// How often a connection over a silent link tries to send again.
constexpr Duration kResendPeriod = Milliseconds(10);

} // namespace

struct Network::Core
{
  /// Listens on the address of one host and forwards to the host.
  struct Forwarder
  {
    Forwarder(asio::io_context& aLoop,
              const document::Endpoint& aAddress,
              const document::Endpoint& aHost,
              std::string aGroup)
      : udp(aLoop,
            Udp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port))
      , tcp(aLoop,
            Tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port))
      , host(aHost)
      , group(std::move(aGroup))
    {
    }

    Udp::socket udp;
    Tcp::acceptor tcp;
    document::Endpoint host;
    std::string group;
    std::array<char, 2048> buffer{}; ///< The datagram being received.
    Udp::endpoint from;              ///< Its sender.
  };

  /// The two sockets of a forwarded connection.
  struct Pair
  {
    explicit Pair(Tcp::socket aCaller)
      : caller(std::move(aCaller))
      , callee(caller.get_executor())
    {
    }

    void Reset()
    {
      closed = true;
      boost::system::error_code ignored;
      for (auto* socket : { &caller, &callee }) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }

    Tcp::socket caller;
    Tcp::socket callee;
    bool closed = false;
  };
  using PairPointer = std::shared_ptr<Pair>;

  asio::io_context loop{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> guard{
    loop.get_executor()
  };
  std::thread thread;
  std::mutex mutex;
  std::map<std::pair<std::string, std::string>, LinkMode> modes;
  std::map<std::string, std::string> groupOfHost;
  std::vector<std::unique_ptr<Forwarder>> forwarders;

  std::string GroupOf(const std::string& aHost)
  {
    std::lock_guard<std::mutex> lock(mutex);
    const auto found = groupOfHost.find(aHost);
    return found == groupOfHost.end() ? "" : found->second;
  }

  LinkMode LinkModeBetween(const std::string& aFrom, const std::string& aTo)
  {
    std::lock_guard<std::mutex> lock(mutex);
    if (aFrom == aTo) {
      return LinkMode::kPass;
    }
    for (const auto& [from, to] :
         { std::pair(aFrom, aTo), { aFrom, "*" }, { "*", aTo } }) {
      const auto found = modes.find({ from, to });
      if (found != modes.end() && found->second != LinkMode::kPass) {
        return found->second;
      }
    }
    return LinkMode::kPass;
  }

  void ReceiveDatagram(Forwarder& aForwarder)
  {
    aForwarder.udp.async_receive_from(
      asio::buffer(aForwarder.buffer),
      aForwarder.from,
      [this, &aForwarder](const boost::system::error_code& aError,
                          std::size_t aSize) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          ForwardDatagram(aForwarder, { aForwarder.buffer.data(), aSize });
        }
        ReceiveDatagram(aForwarder);
      });
  }

  void ForwardDatagram(Forwarder& aForwarder, std::string aBytes)
  {
    const auto host = aForwarder.from.address().to_string();
    const auto mode = LinkModeBetween(GroupOf(host), aForwarder.group);
    if (mode == LinkMode::kSilent || mode == LinkMode::kReset) {
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
      loop, mode == LinkMode::kSlow ? kSlowDelay : Duration::zero());
    timer->async_wait(
      [&aForwarder, timer, bytes = std::move(aBytes)](const auto&) {
        const Udp::endpoint to(asio::ip::make_address(aForwarder.host.host),
                               aForwarder.host.port);
        boost::system::error_code ignored;
        aForwarder.udp.send_to(asio::buffer(bytes), to, 0, ignored);
      });
  }

  asio::awaitable<void> Accept(Forwarder& aForwarder)
  {
    while (true) {
      auto [error, socket] = co_await aForwarder.tcp.async_accept(kNoThrow);
      if (error) {
        co_return;
      }
      asio::co_spawn(
        loop, ConnectPair(std::move(socket), aForwarder), asio::detached);
    }
  }

  asio::awaitable<void> ConnectPair(Tcp::socket aSocket, Forwarder& aForwarder)
  {
    boost::system::error_code ignored;
    const auto host = aSocket.remote_endpoint(ignored).address().to_string();
    const auto group = GroupOf(host);
    auto pair = std::make_shared<Pair>(std::move(aSocket));
    if (LinkModeBetween(group, aForwarder.group) == LinkMode::kReset) {
      pair->Reset();
      co_return;
    }
    const Tcp::endpoint to(asio::ip::make_address(aForwarder.host.host),
                           aForwarder.host.port);
    const auto [failed] = co_await pair->callee.async_connect(to, kNoThrow);
    if (failed) {
      pair->Reset();
      co_return;
    }
    pair->caller.set_option(Tcp::no_delay(true), ignored);
    pair->callee.set_option(Tcp::no_delay(true), ignored);
    asio::co_spawn(
      loop, ForwardBytes(pair, true, group, aForwarder.group), asio::detached);
    asio::co_spawn(
      loop, ForwardBytes(pair, false, aForwarder.group, group), asio::detached);
  }

  asio::awaitable<void> ForwardBytes(PairPointer aPair,
                                     bool aFromCaller,
                                     std::string aFrom,
                                     std::string aTo)
  {
    auto& from = aFromCaller ? aPair->caller : aPair->callee;
    auto& to = aFromCaller ? aPair->callee : aPair->caller;
    std::array<char, 16384> bytes{};
    while (true) {
      const auto [error, size] =
        co_await from.async_read_some(asio::buffer(bytes), kNoThrow);
      auto mode = LinkModeBetween(aFrom, aTo);
      // Lost segments of a connection are sent again, so none may be missing
      // once later ones arrive.
      while (mode == LinkMode::kSilent && !aPair->closed &&
             error != asio::error::connection_reset) {
        asio::steady_timer timer(loop, kResendPeriod);
        co_await timer.async_wait(kNoThrow);
        mode = LinkModeBetween(aFrom, aTo);
      }
      if (mode == LinkMode::kReset || error == asio::error::connection_reset) {
        aPair->Reset();
        co_return;
      }
      if (error) {
        break;
      }
      if (mode == LinkMode::kSlow) {
        asio::steady_timer timer(loop, kSlowDelay);
        co_await timer.async_wait(kNoThrow);
      }
      const auto [failed, written] = co_await asio::async_write(
        to, asio::buffer(bytes.data(), size), kNoThrow);
      static_cast<void>(written);
      if (failed) {
        break;
      }
    }
    boost::system::error_code ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
  }
};

Network::Network()
  : mCore(std::make_unique<Core>())
{
  mCore->thread = std::thread([this] { mCore->loop.run(); });
}

Network::~Network()
{
  mCore->loop.stop();
  mCore->thread.join();
}

void
Network::AddHost(const document::Endpoint& aAddress,
                 const document::Endpoint& aHost,
                 const std::string& aGroup)
{
  auto forwarder =
    std::make_unique<Core::Forwarder>(mCore->loop, aAddress, aHost, aGroup);
  auto& added = *forwarder;
  {
    std::lock_guard<std::mutex> lock(mCore->mutex);
    mCore->groupOfHost[aHost.host] = aGroup;
    mCore->forwarders.push_back(std::move(forwarder));
  }
  asio::post(mCore->loop, [this, &added] { mCore->ReceiveDatagram(added); });
  asio::co_spawn(mCore->loop, mCore->Accept(added), asio::detached);
}

void
Network::SetLinkMode(const std::string& aFrom,
                     const std::string& aTo,
                     LinkMode aMode)
{
  std::lock_guard<std::mutex> lock(mCore->mutex);
  mCore->modes[{ aFrom, aTo }] = aMode;
}

void
Network::SetPartitioned(const std::string& aGroup, bool aPartitioned)
{
  const auto mode = aPartitioned ? LinkMode::kSilent : LinkMode::kPass;
  SetLinkMode(aGroup, "*", mode);
  SetLinkMode("*", aGroup, mode);
}

} // namespace magnoliatide::load
