// Forwarders of datagrams and connections.
#include "network.h"

#include <boost/asio.hpp>

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace magnoliatide::load {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace

struct Network::Core
{
  struct Link
  {
    Link(asio::io_context& aLoop,
         const document::Endpoint& aAddress,
         const document::Endpoint& aVm,
         std::string aZone)
      : udp(aLoop,
            Udp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port))
      , tcp(aLoop,
            Tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port))
      , vm(aVm)
      , zone(std::move(aZone))
    {
    }

    Udp::socket udp;
    Tcp::acceptor tcp;
    document::Endpoint vm;
    std::string zone;
    std::array<char, 2048> buffer{};
    Udp::endpoint from;
  };

  asio::io_context loop{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> guard{
    loop.get_executor()
  };
  std::thread thread;
  std::mutex mutex;
  std::set<std::string> cut;
  std::map<std::string, std::string> zoneOfHost;
  std::vector<std::unique_ptr<Link>> links;

  bool Passes(const std::string& aFromHost, const std::string& aToZone)
  {
    std::lock_guard<std::mutex> lock(mutex);
    const auto found = zoneOfHost.find(aFromHost);
    const std::string from = found == zoneOfHost.end() ? "" : found->second;
    return from == aToZone || (cut.count(from) == 0 && cut.count(aToZone) == 0);
  }

  void ReceiveDatagram(Link& aLink)
  {
    aLink.udp.async_receive_from(
      asio::buffer(aLink.buffer),
      aLink.from,
      [this, &aLink](const boost::system::error_code& aError,
                     std::size_t aSize) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        const auto host = aLink.from.address().to_string();
        if (!aError && Passes(host, aLink.zone)) {
          const Udp::endpoint to(asio::ip::make_address(aLink.vm.host),
                                 aLink.vm.port);
          boost::system::error_code ignored;
          aLink.udp.send_to(
            asio::buffer(aLink.buffer.data(), aSize), to, 0, ignored);
        }
        ReceiveDatagram(aLink);
      });
  }

  asio::awaitable<void> Accept(Link& aLink)
  {
    while (true) {
      auto [error, socket] = co_await aLink.tcp.async_accept(kNoThrow);
      if (error) {
        co_return;
      }
      asio::co_spawn(loop, Join(std::move(socket), aLink), asio::detached);
    }
  }

  asio::awaitable<void> Join(Tcp::socket aSocket, Link& aLink)
  {
    boost::system::error_code ignored;
    const auto host = aSocket.remote_endpoint(ignored).address().to_string();
    auto caller = std::make_shared<Tcp::socket>(std::move(aSocket));
    auto callee = std::make_shared<Tcp::socket>(loop);
    const Tcp::endpoint to(asio::ip::make_address(aLink.vm.host),
                           aLink.vm.port);
    const auto [failed] = co_await callee->async_connect(to, kNoThrow);
    if (failed) {
      co_return;
    }
    asio::co_spawn(loop, Pump(caller, callee, host, aLink), asio::detached);
    asio::co_spawn(loop, Pump(callee, caller, host, aLink), asio::detached);
  }

  asio::awaitable<void> Pump(std::shared_ptr<Tcp::socket> aFrom,
                             std::shared_ptr<Tcp::socket> aTo,
                             std::string aHost,
                             Link& aLink)
  {
    std::array<char, 16384> bytes{};
    while (true) {
      const auto [error, size] =
        co_await aFrom->async_read_some(asio::buffer(bytes), kNoThrow);
      if (error) {
        break;
      }
      if (!Passes(aHost, aLink.zone)) {
        continue;
      }
      const auto [failed, written] = co_await asio::async_write(
        *aTo, asio::buffer(bytes.data(), size), kNoThrow);
      static_cast<void>(written);
      if (failed) {
        break;
      }
    }
    boost::system::error_code ignored;
    aTo->shutdown(Tcp::socket::shutdown_send, ignored);
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
Network::AddVm(const document::Endpoint& aAddress,
               const document::Endpoint& aVm,
               const std::string& aZone)
{
  auto link = std::make_unique<Core::Link>(mCore->loop, aAddress, aVm, aZone);
  auto& added = *link;
  {
    std::lock_guard<std::mutex> lock(mCore->mutex);
    mCore->zoneOfHost[aVm.host] = aZone;
    mCore->links.push_back(std::move(link));
  }
  asio::post(mCore->loop, [this, &added] { mCore->ReceiveDatagram(added); });
  asio::co_spawn(mCore->loop, mCore->Accept(added), asio::detached);
}

void
Network::SetCut(const std::string& aZone, bool aCut)
{
  std::lock_guard<std::mutex> lock(mCore->mutex);
  if (aCut) {
    mCore->cut.insert(aZone);
  } else {
    mCore->cut.erase(aZone);
  }
}

} // namespace magnoliatide::load
