// Guards against a simulated network that treats connections as no real network
// does.
#include "network.h"
#include "process.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace magnoliatide::load {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Guards against streams in which bytes are missing after a link was silent,
// because the network dropped them from the middle of a connection.
TEST(Network, AConnectionLosesNothingOverASilentLink)
{
  const document::Endpoint host{ "127.30.2.1", FreePort("127.30.2.1") };
  const document::Endpoint address{ "127.30.4.1", FreePort("127.30.4.1") };
  Network network;
  network.AddHost(address, host, "server");
  asio::io_context loop;
  Tcp::acceptor acceptor(loop,
                         { asio::ip::make_address(host.host), host.port });
  Tcp::socket caller(loop);
  caller.connect({ asio::ip::make_address(address.host), address.port });
  auto server = acceptor.accept();
  const auto send = [&](const std::string& aText) {
    asio::write(caller, asio::buffer(aText));
    std::this_thread::sleep_for(Milliseconds(100));
  };
  send("before ");
  network.SetLinkMode("*", "server", LinkMode::kSilent);
  send("during ");
  network.SetLinkMode("*", "server", LinkMode::kPass);
  send("after");
  caller.shutdown(Tcp::socket::shutdown_send);
  std::string received;
  boost::system::error_code error;
  asio::read(server, asio::dynamic_buffer(received), error);
  EXPECT_EQ(received, "before during after");
}

} // namespace
} // namespace magnoliatide::load
