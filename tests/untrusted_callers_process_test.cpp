// Guards against a VM that runs out of memory or descriptors because of callers
// outside the limits: bodies far over the limit, announced or just sent; many
// bodies that stop just short of their end and stay open, in large or very
// small chunks; many large bodies at once; connections that stay idle. A real
// VM process runs with test doubles of the store and the servers. Nothing here
// depends on the machine's speed: the process lives, its memory and descriptors
// stay within its settings, and an ordinary request is answered afterwards.
#include "platform_fleet.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <dirent.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace magnoliatide::tests {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Memory of the VM's process, in its settings. Of the operators' machines, the
/// smallest have twice as much.
constexpr int kMemoryMegabytes = 56;
constexpr int kMaxFiles = 300;
constexpr int kCallers = 60;
constexpr int kMegabyte = 1024 * 1024;
constexpr int kBodyLimit = 2 * kMegabyte;

/// How long the crowd goes on without any of its members sending a byte.
constexpr Duration kQuietTime = Milliseconds(1500);

std::string
Chunk(const std::string& aBytes)
{
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

/// Returns a body in chunks of one size, without the last chunk.
std::string
Chunks(std::size_t aBytes, std::size_t aChunkBytes)
{
  const auto chunk = Chunk(std::string(aChunkBytes, 'x'));
  std::string text;
  for (std::size_t sent = 0; sent < aBytes; sent += aChunkBytes) {
    text += chunk;
  }
  return text;
}

/// Callers that send what they like and keep their connections open.
class Crowd
{
public:
  Crowd(const document::Endpoint& aVm, int aCallers)
  {
    const tcp::endpoint address(asio::ip::make_address(aVm.host), aVm.port);
    for (int i = 0; i < aCallers; ++i) {
      auto& caller = mCallers.emplace_back(mLoop);
      boost::system::error_code ignored;
      caller.socket.connect(address, ignored);
      caller.socket.non_blocking(true, ignored);
    }
  }

  /// Sends a text from each caller, as far as the VM takes it.
  void Send(const std::string& aText)
  {
    for (auto& caller : mCallers) {
      caller.sent = 0;
    }
    TimePoint lastProgress = Clock::now();
    bool done = false;
    while (!done && Clock::now() - lastProgress < kQuietTime) {
      done = true;
      for (auto& caller : mCallers) {
        const auto bytes = SendSome(caller, aText);
        lastProgress = bytes > 0 ? Clock::now() : lastProgress;
        done = done && (caller.closed || caller.sent == aText.size());
      }
    }
  }

  /// Reads what has arrived for each caller, until nothing more does.
  void Drain()
  {
    TimePoint lastProgress = Clock::now();
    std::array<char, 4096> bytes{};
    while (Clock::now() - lastProgress < kQuietTime) {
      for (auto& caller : mCallers) {
        boost::system::error_code error;
        if (caller.socket.read_some(asio::buffer(bytes), error) > 0) {
          lastProgress = Clock::now();
        }
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }

private:
  struct Caller
  {
    explicit Caller(asio::io_context& aLoop)
      : socket(aLoop)
    {
    }

    tcp::socket socket;
    std::size_t sent = 0;
    bool closed = false;
  };

  static std::size_t SendSome(Caller& aCaller, const std::string& aText)
  {
    constexpr std::size_t kMaxBytes = 64 * 1024;
    if (aCaller.closed || aCaller.sent == aText.size()) {
      return 0;
    }
    boost::system::error_code error;
    const auto bytes = aCaller.socket.write_some(
      asio::buffer(aText.data() + aCaller.sent,
                   std::min(kMaxBytes, aText.size() - aCaller.sent)),
      error);
    aCaller.closed = error && error != asio::error::would_block;
    aCaller.sent += bytes;
    return bytes;
  }

  asio::io_context mLoop;
  std::vector<Caller> mCallers;
};

class UntrustedCallers : public ::testing::Test
{
protected:
  UntrustedCallers()
    : mFleet(NameOfTest())
  {
    mFleet.AddVmSetting("memory-mb = " + std::to_string(kMemoryMegabytes));
    mFleet.AddVmSetting("max-files = " + std::to_string(kMaxFiles));
  }

  static std::string NameOfTest()
  {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
  }

  /// @param aRunTime How long the server takes for a call.
  void Start(Duration aRunTime = Milliseconds(20))
  {
    standins::BatchEngineOptions options;
    options.id = "o-1";
    options.service = "orders";
    options.stream = false;
    options.slots = 4;
    options.queue = 2 * kCallers;
    options.eventInterval = aRunTime;
    mFleet.AddEngine(options);
    RouteConfig stock;
    stock.name = "stock";
    stock.prefix = "/stock/";
    stock.kind = "idempotent";
    stock.service = "orders";
    stock.timeoutMillis = 30000;
    stock.targetMillis = 20000;
    LimitsConfig limits;
    limits.bodyBytes = kBodyLimit;
    limits.headerTimeout = Seconds(60);
    limits.idleTimeout = Seconds(60);
    mFleet.Publish({ stock }, { TeamConfig() }, limits);
    ASSERT_TRUE(mFleet.Start());
  }

  const TestVm& Vm() { return mFleet.Vms()[0]; }

  /// Returns the head of a request up to the field that frames the body.
  std::string Head(const std::string& aFraming)
  {
    CallSpec call;
    call.path = "/stock/1";
    call.deadlineMillis = 30000;
    const auto request = mFleet.RequestOf(call);
    std::string text = "POST " + request.target + " HTTP/1.1\r\n";
    for (const auto& header : request.headers) {
      text += header.name + ": " + header.value + "\r\n";
    }
    return text + aFraming + "\r\n\r\n";
  }

  std::string ChunkedHead() { return Head("Transfer-Encoding: chunked"); }

  /// Returns the most memory that the process has used so far.
  double PeakMegabytes()
  {
    std::ifstream status("/proc/" + std::to_string(Vm().process.Id()) +
                         "/status");
    const std::string name = "VmHWM:";
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with(name)) {
        return std::stod(line.substr(name.size())) / 1024;
      }
    }
    return 0;
  }

  int OpenFiles()
  {
    const auto path = "/proc/" + std::to_string(Vm().process.Id()) + "/fd";
    int files = 0;
    auto* folder = ::opendir(path.c_str());
    while (folder != nullptr && ::readdir(folder) != nullptr) {
      files += 1;
    }
    if (folder != nullptr) {
      ::closedir(folder);
    }
    return files;
  }

  /// Waits until the VM has read what it will read of the crowd's bytes, which
  /// shows in its memory.
  void Settle()
  {
    double last = 0;
    while (PeakMegabytes() > last) {
      last = PeakMegabytes();
      std::this_thread::sleep_for(kQuietTime);
    }
  }

  /// Expects what must hold whatever callers send.
  void ExpectSound()
  {
    Settle();
    EXPECT_TRUE(mFleet.Vms()[0].process.Running());
    EXPECT_GT(PeakMegabytes(), 0);
    EXPECT_LT(PeakMegabytes(), kMemoryMegabytes);
    EXPECT_LE(OpenFiles(), kMaxFiles);
    RecordProperty("PeakMegabytes", static_cast<int>(PeakMegabytes()));
    CallSpec call;
    call.path = "/stock/2";
    call.deadlineMillis = 20000;
    const auto result = mFleet.Call(0, call);
    EXPECT_EQ(result.response.status, 200) << result.response.body;
  }

  PlatformFleet mFleet;
};

// Bodies that are announced far over the limit, and sent on.
TEST_F(UntrustedCallers, AnnouncedBodiesOverTheLimit)
{
  Start();
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(Head("Content-Length: " + std::to_string(800 * kMegabyte)) +
             std::string(8 * kMegabyte, 'x'));
  ExpectSound();
}

// Bodies far over the limit that are just sent.
TEST_F(UntrustedCallers, BodiesThatGrowOverTheLimit)
{
  Start();
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(ChunkedHead() + Chunks(8 * kMegabyte, 64 * 1024));
  ExpectSound();
}

// A single chunk of any size.
TEST_F(UntrustedCallers, AChunkOverTheLimit)
{
  Start();
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(ChunkedHead() + "30000000\r\n" + std::string(8 * kMegabyte, 'x'));
  ExpectSound();
}

// Bodies within the limit that stop just short of their end.
TEST_F(UntrustedCallers, HalfSentBodiesInLargeChunks)
{
  Start();
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(ChunkedHead() + Chunks(kBodyLimit - kMegabyte / 8, 64 * 1024));
  ExpectSound();
}

TEST_F(UntrustedCallers, HalfSentBodiesInSmallChunks)
{
  Start();
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(ChunkedHead() + Chunks(kBodyLimit - kMegabyte / 8, 16));
  ExpectSound();
}

// The same with a length.
TEST_F(UntrustedCallers, HalfSentBodiesWithALength)
{
  Start();
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(Head("Content-Length: " + std::to_string(kBodyLimit)) +
             std::string(kBodyLimit - 1, 'x'));
  ExpectSound();
}

// Half-sent bodies behind heads with as many fields as fit. Guards against
// fields that take many times the memory of their text.
TEST_F(UntrustedCallers, HalfSentBodiesBehindLongHeads)
{
  Start();
  std::string fields;
  while (fields.size() < 7000) {
    fields += "a:\r\n";
  }
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(Head(fields + "Content-Length: 2") + "x");
  ExpectSound();
}

// Many sound requests with large bodies at once, more than the server can run.
TEST_F(UntrustedCallers, ManyLargeBodiesAtOnce)
{
  Start(Milliseconds(100));
  Crowd crowd(Vm().callerAddress, kCallers);
  crowd.Send(Head("Content-Length: " + std::to_string(kBodyLimit)) +
             std::string(kBodyLimit, 'x'));
  crowd.Drain();
  ExpectSound();
}

// Large bodies one after the other on connections that stay open. Guards
// against connections that keep the last body while they are idle.
TEST_F(UntrustedCallers, IdleConnectionsAfterLargeBodies)
{
  Start(Milliseconds(1));
  std::vector<std::unique_ptr<Crowd>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Crowd>(Vm().callerAddress, 1));
    callers.back()->Send(Head("Content-Length: " + std::to_string(kBodyLimit)) +
                         std::string(kBodyLimit, 'x'));
  }
  callers.back()->Drain();
  ExpectSound();
}

// The same, each after the answer to the one before, so that no request has to
// give way. Guards against memory that connections keep once they are idle.
TEST_F(UntrustedCallers, AnsweredConnectionsKeepNoBody)
{
  constexpr int kKept = 40;
  Start(Milliseconds(1));
  asio::io_context loop;
  std::vector<tcp::socket> callers;
  const tcp::endpoint vm(asio::ip::make_address(Vm().callerAddress.host),
                         Vm().callerAddress.port);
  const auto request = Head("Content-Length: " + std::to_string(kBodyLimit)) +
                       std::string(kBodyLimit, 'x');
  for (int i = 0; i < kKept; ++i) {
    auto& caller = callers.emplace_back(loop);
    caller.connect(vm);
    asio::write(caller, asio::buffer(request));
    std::array<char, 16> answer{};
    caller.read_some(asio::buffer(answer));
    EXPECT_TRUE(
      std::string(answer.data(), answer.size()).starts_with("HTTP/1.1 200"));
  }
  ExpectSound();
}

// More connections than descriptors, all of them idle or in the middle of a
// head.
TEST_F(UntrustedCallers, MoreConnectionsThanDescriptors)
{
  Start();
  Crowd idle(Vm().callerAddress, kMaxFiles);
  Crowd slow(Vm().callerAddress, kMaxFiles);
  slow.Send("POST /stock/1 HTTP/1.1\r\n");
  ExpectSound();
}

// A single request within the limits is served, also a large one.
TEST_F(UntrustedCallers, ASingleLargeBodyIsServed)
{
  Start();
  for (int i = 0; i < 3; ++i) {
    CallSpec call;
    call.path = "/stock/1";
    call.body = std::string(kBodyLimit, 'x');
    const auto result = mFleet.Call(0, call);
    EXPECT_EQ(result.response.status, 200);
  }
  ExpectSound();
}

} // namespace
} // namespace magnoliatide::tests
