// An exchange with a caller that records what is written.
#ifndef MAGNOLIATIDE_SRC_FORWARD_TESTING_FAKE_EXCHANGE_H
#define MAGNOLIATIDE_SRC_FORWARD_TESTING_FAKE_EXCHANGE_H

#include "magnoliatide/http/server.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace magnoliatide::forward::testing {

/// Records the writes, and counts those after the exchange has ended.
class FakeExchange : public http::Exchange
{
public:
  const http::Request& Incoming() const override { return request; }

  boost::asio::awaitable<void> Respond(http::Response,
                                       http::BodyMemory*) override
  {
    co_return;
  }

  boost::asio::awaitable<bool> BeginStream(http::Response) override
  {
    co_return true;
  }

  boost::asio::awaitable<bool> WriteChunk(std::string aChunk) override
  {
    lateWrites += ended ? 1 : 0;
    text += aChunk;
    writes += 1;
    co_return true;
  }

  boost::asio::awaitable<void> EndStream() override { co_return; }

  void Abort() override {}

  void OnCallerDisconnect(std::function<void()> aFunction) override
  {
    onDisconnect = std::move(aFunction);
  }

  bool CallerDisconnected() const override { return false; }

  http::Request request;
  std::function<void()> onDisconnect; ///< Set by the code under test.

  std::string text;
  int writes = 0;
  int lateWrites = 0;
  bool ended = false; ///< The exchange may be destroyed from then on.
};

} // namespace magnoliatide::forward::testing

#endif
