// Tests of which bodies give way when the memory for bodies is used up, and of
// its bound.
#include "magnoliatide/http/body_memory.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <thread>
#include <vector>

namespace magnoliatide::http {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
/// Memory that all bodies may use, and the uncounted part of each of them.
constexpr std::size_t kMaxBytes = 32 * kMegabyte;
constexpr std::size_t kUncountedBytes = 16 * kKilobyte;

/// A body whose read ends when it gives way.
class Body
{
public:
  explicit Body(asio::io_context& aLoop)
  {
    memory.Begin(aLoop.get_executor(), [this] {
      gaveWay = true;
      memory.End();
      memory.Clear();
    });
  }

  BodyMemory memory;
  bool gaveWay = false;
};

class BodyMemoryTest : public ::testing::Test
{
protected:
  Body& Add(std::size_t aBytes)
  {
    auto& body = mBodies.emplace_back(mLoop);
    EXPECT_EQ(body.memory.Enlarge(aBytes), MemoryGrant::kGranted);
    return body;
  }

  /// Enlarges a body and lets others give way.
  MemoryGrant Enlarge(Body& aBody, std::size_t aBytes)
  {
    auto grant = aBody.memory.Enlarge(aBytes);
    while (grant == MemoryGrant::kLater) {
      mLoop.restart();
      mLoop.run();
      grant = aBody.memory.Enlarge(aBytes);
    }
    return grant;
  }

  int GaveWay() const
  {
    return static_cast<int>(
      std::count_if(mBodies.begin(), mBodies.end(), [](const auto& aBody) {
        return aBody.gaveWay;
      }));
  }

  asio::io_context mLoop{ 1 };
  std::deque<Body> mBodies;
};

// Guards against small bodies that are refused because large ones hold the
// memory.
TEST_F(BodyMemoryTest, ALargeBodyGivesWayToASmallOne)
{
  for (int i = 0; i < 4; ++i) {
    Add(8 * kMegabyte + kUncountedBytes);
  }
  auto& body = mBodies.emplace_back(mLoop);
  EXPECT_EQ(Enlarge(body, 40 * kKilobyte), MemoryGrant::kGranted);
  EXPECT_EQ(GaveWay(), 1);
  EXPECT_FALSE(body.gaveWay);
}

// Guards against a body that gives way because it arrived last.
TEST_F(BodyMemoryTest, AnOldBodyGivesWayToALargerNewOne)
{
  const auto size = kMegabyte + kUncountedBytes;
  for (int i = 0; i < 32; ++i) {
    Add(size);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  auto& body = mBodies.emplace_back(mLoop);
  for (auto bytes = kUncountedBytes; bytes <= kUncountedBytes + 2 * kMegabyte;
       bytes += kUncountedBytes) {
    ASSERT_EQ(Enlarge(body, bytes), MemoryGrant::kGranted);
  }
  EXPECT_FALSE(body.gaveWay);
  EXPECT_EQ(GaveWay(), 2);
}

// Guards against a large body that arrives quickly and gives way to many small
// ones that have stalled.
TEST_F(BodyMemoryTest, ManyStalledBodiesGiveWayToALargeOneThatArrives)
{
  constexpr std::size_t kStalledBytes = 104 * kKilobyte;
  constexpr std::size_t kLargeBytes = 4 * kMegabyte;
  for (std::size_t i = 0; i < (kMaxBytes - kMegabyte) / kStalledBytes; ++i) {
    Add(kStalledBytes + kUncountedBytes);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  auto& body = mBodies.emplace_back(mLoop);
  // 64 KB each 5 ms: about 13 MB/s.
  for (auto bytes = kUncountedBytes; bytes <= kLargeBytes;
       bytes += 64 * kKilobyte) {
    ASSERT_EQ(Enlarge(body, bytes), MemoryGrant::kGranted) << bytes;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

// Guards against dropping an answer that is whole.
TEST_F(BodyMemoryTest, ACompleteBodyKeepsItsMemory)
{
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(Add(8 * kMegabyte + kUncountedBytes).memory.End());
  }
  auto& body = mBodies.emplace_back(mLoop);
  EXPECT_EQ(Enlarge(body, kUncountedBytes), MemoryGrant::kGranted);
  EXPECT_EQ(Enlarge(body, 40 * kKilobyte), MemoryGrant::kDenied);
  EXPECT_FALSE(body.memory.End());
  EXPECT_EQ(GaveWay(), 0);
}

// Guards against memory that callers hold who do not read their answers.
TEST_F(BodyMemoryTest, ABodyWhoseDeliveryStallsGivesWay)
{
  std::vector<Body*> complete;
  for (int i = 0; i < 4; ++i) {
    auto& body = Add(8 * kMegabyte + kUncountedBytes);
    EXPECT_TRUE(body.memory.End());
    body.memory.BeginDelivery([&body] {
      body.gaveWay = true;
      body.memory.Clear();
    });
    complete.push_back(&body);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  complete[2]->memory.RecordDelivery();
  auto& body = mBodies.emplace_back(mLoop);
  EXPECT_EQ(Enlarge(body, 150 * kKilobyte), MemoryGrant::kGranted);
  EXPECT_EQ(GaveWay(), 1);
  EXPECT_FALSE(complete[2]->gaveWay);
}

// Guards against dropping a body although answers that are being written are
// about to leave the memory.
TEST_F(BodyMemoryTest, ABodyWaitsForAnswersThatAreBeingDelivered)
{
  std::vector<Body*> complete;
  for (int i = 0; i < 4; ++i) {
    complete.push_back(&Add(8 * kMegabyte + kUncountedBytes));
    EXPECT_TRUE(complete.back()->memory.End());
    complete.back()->memory.BeginDelivery([] {});
  }
  auto& body = mBodies.emplace_back(mLoop);
  EXPECT_EQ(body.memory.Enlarge(150 * kKilobyte), MemoryGrant::kLater);
  complete[0]->memory.EndDelivery();
  complete[0]->memory.Clear();
  EXPECT_EQ(body.memory.Enlarge(150 * kKilobyte), MemoryGrant::kGranted);
  EXPECT_EQ(GaveWay(), 0);
}

// Guards against bodies that stay in the memory because a byte arrives now and
// then.
TEST_F(BodyMemoryTest, ATricklingBodyGivesWayBeforeOneThatGrows)
{
  auto& trickling = Add(8 * kMegabyte + kUncountedBytes);
  auto& growing = Add(20 * kMegabyte + kUncountedBytes);
  for (std::size_t i = 1; i <= 10; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    ASSERT_EQ(Enlarge(trickling, 8 * kMegabyte + kUncountedBytes + i),
              MemoryGrant::kGranted);
    ASSERT_EQ(
      Enlarge(growing, 20 * kMegabyte + kUncountedBytes + i * 64 * kKilobyte),
      MemoryGrant::kGranted);
  }
  auto& body = mBodies.emplace_back(mLoop);
  EXPECT_EQ(Enlarge(body, 6 * kMegabyte), MemoryGrant::kGranted);
  EXPECT_TRUE(trickling.gaveWay);
  EXPECT_FALSE(growing.gaveWay);
}

// Guards against an unbounded process: the bodies of several event loops must
// not use more than the memory, and each of them must end.
TEST(BodyMemoryThreads, StayWithinTheMemory)
{
  constexpr int kLoops = 3;
  constexpr int kBodiesPerLoop = 16;
  constexpr std::size_t kStep = 64 * kKilobyte;
  std::atomic<std::size_t> held{ 0 };
  std::atomic<std::size_t> peak{ 0 };
  std::atomic<int> whole{ 0 };
  std::atomic<int> denied{ 0 };
  const auto read = [&](std::size_t aBytes) -> asio::awaitable<void> {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    BodyMemory memory;
    bool gaveWay = false;
    memory.Begin(executor, [&] { gaveWay = true; });
    std::size_t size = 0;
    while (size < aBytes && !gaveWay) {
      const auto grant = memory.Enlarge(kUncountedBytes + size + kStep);
      if (grant == MemoryGrant::kDenied) {
        break;
      }
      if (grant == MemoryGrant::kGranted) {
        size += kStep;
        const auto now = held.fetch_add(kStep) + kStep;
        auto most = peak.load();
        while (now > most && !peak.compare_exchange_weak(most, now)) {
        }
      }
      timer.expires_after(std::chrono::microseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
    (memory.End() ? whole : denied) += 1;
    held.fetch_sub(size);
    memory.Clear();
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kLoops; ++i) {
    threads.emplace_back([&] {
      asio::io_context loop(1);
      for (int j = 0; j < kBodiesPerLoop; ++j) {
        asio::co_spawn(loop, read((1 + j % 4) * 2 * kMegabyte), asio::detached);
      }
      loop.run();
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_LE(peak.load(), kMaxBytes);
  EXPECT_EQ(whole + denied, kLoops * kBodiesPerLoop);
  EXPECT_GT(whole.load(), 0);
  EXPECT_GT(denied.load(), 0);
}

} // namespace
} // namespace magnoliatide::http
