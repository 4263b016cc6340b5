// Tests of the batching of events, and of Settle() while a write is scheduled.
#include "event_writer.h"
#include "testing/fake_exchange.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace magnoliatide::forward {
namespace {

namespace asio = boost::asio;
using testing::FakeExchange;

constexpr Duration kDelay = Milliseconds(20);

struct EventWriterTest : public ::testing::Test
{
  void Spawn(asio::awaitable<void> aCoroutine)
  {
    asio::co_spawn(loop, std::move(aCoroutine), asio::detached);
  }

  asio::io_context loop;
  FakeExchange exchange;
  std::shared_ptr<EventWriter> writer =
    std::make_shared<EventWriter>(loop.get_executor(), exchange, kDelay);
};

asio::awaitable<void>
PushAll(std::shared_ptr<EventWriter> aWriter,
        int aEvents,
        std::string aEvent = "e")
{
  for (int i = 0; i < aEvents; ++i) {
    co_await aWriter->Push(aEvent);
  }
}

asio::awaitable<void>
SettleThen(std::shared_ptr<EventWriter> aWriter, FakeExchange& aExchange)
{
  co_await aWriter->Settle();
  aExchange.ended = true;
}

TEST_F(EventWriterTest, WritesTheFirstEventAtOnceAndTheNextOnesTogether)
{
  Spawn(PushAll(writer, 5));
  loop.run_for(kDelay * 3);
  EXPECT_EQ(exchange.text, "eeeee");
  EXPECT_LE(exchange.writes, 2);
}

// Guards against a stream whose speed is limited to a full buffer in each
// delay.
TEST_F(EventWriterTest, AFullBufferIsWrittenWithoutDelay)
{
  constexpr int kEvents = 64;
  const std::string event(4096, 'e');
  Spawn(PushAll(writer, kEvents, event));
  loop.run_for(kDelay * 3);
  EXPECT_EQ(exchange.text.size(), kEvents * event.size());
}

// Guards against a write to a destroyed exchange: the write timer expires in
// the loop iteration in which the answer ends, so its handler is already queued
// and cannot be cancelled.
TEST_F(EventWriterTest, NothingIsWrittenOnceItIsSettled)
{
  Spawn(PushAll(writer, 1));
  loop.run_for(kDelay / 4);
  Spawn(PushAll(writer, 1));
  loop.run_for(kDelay / 4);
  ASSERT_EQ(exchange.writes, 1);
  loop.restart();
  asio::post(loop, [this] {
    std::this_thread::sleep_for(kDelay * 2);
    asio::post(loop, [this] { Spawn(SettleThen(writer, exchange)); });
  });
  loop.run_for(kDelay * 4);
  EXPECT_TRUE(exchange.ended);
  EXPECT_EQ(exchange.lateWrites, 0);
}

} // namespace
} // namespace magnoliatide::forward
