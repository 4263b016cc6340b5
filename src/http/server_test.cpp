// Guards against requests that are dropped by the HTTP server: connections that
// close under a request, answers that are cut, and ends without a stated cause.
// Callers are plain sockets on loopback.
#include "magnoliatide/http/server.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include <condition_variable>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace magnoliatide::http {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr char kHost[] = "127.40.0.1";
constexpr char kGet[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

bool
AwaitTrue(const std::function<bool()>& aCondition)
{
  const TimePoint end = Clock::now() + Seconds(5);
  while (!aCondition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(1));
  }
  return true;
}

/// A caller on a connection of its own.
class Caller
{
public:
  explicit Caller(std::uint16_t aPort)
    : mSocket(mLoop)
  {
    mSocket.connect({ asio::ip::make_address(kHost), aPort });
    mSocket.set_option(tcp::no_delay(true));
  }

  void Send(const std::string& aBytes)
  {
    ErrorCode ignored;
    asio::write(mSocket, asio::buffer(aBytes), ignored);
  }

  /// Reads until the text received contains aText, or the connection ends, or
  /// nothing arrives for a long time. Returns what was received.
  std::string ReadUntil(const std::string& aText)
  {
    std::string received;
    char chunk[65536];
    while (aText.empty() || received.find(aText) == std::string::npos) {
      std::size_t size = 0;
      mSocket.async_read_some(
        asio::buffer(chunk),
        [&](const ErrorCode&, std::size_t aSize) { size = aSize; });
      mLoop.restart();
      mLoop.run_for(Seconds(5));
      if (!mLoop.stopped()) {
        mSocket.cancel();
        mLoop.run();
      }
      if (size == 0) {
        break;
      }
      received.append(chunk, size);
    }
    return received;
  }

  /// Reads until the server closes the connection.
  std::string ReadAll() { return ReadUntil(""); }

  void Close() { mSocket.close(); }

private:
  asio::io_context mLoop;
  tcp::socket mSocket;
};

/// A server with one thread, and the ends of its connections.
class HttpServer : public ::testing::Test
{
protected:
  ~HttpServer() override { mThreads.Stop(); }

  void Start(const Handler& aHandler, ServerOptions aOptions = {})
  {
    aOptions.onConnectionEnd = [this](const ConnectionEnd& aEnd) {
      std::lock_guard<std::mutex> lock(mMutex);
      mEnds.push_back(aEnd);
      mEnds.back().request = nullptr;
      mWholeDropped += aEnd.request != nullptr ? 1 : 0;
    };
    aOptions.address.host = kHost;
    for (std::uint16_t port = 21000; port < 22000 && !mServer; ++port) {
      aOptions.address.port = port;
      try {
        mServer = StartServer(mThreads, aOptions, aHandler);
        mPort = port;
      } catch (const std::runtime_error&) {
        // The port is taken; the next one may be free.
        continue;
      }
    }
    ASSERT_NE(mServer, nullptr);
  }

  /// Answers with the target of the request.
  static asio::awaitable<void> Echo(Exchange& aExchange)
  {
    Response response = TextResponse(200, "to " + aExchange.Incoming().target);
    co_await aExchange.Respond(std::move(response));
  }

  /// Blocks the event loop until the returned promise is set.
  std::promise<void> BlockLoop()
  {
    std::promise<void> release;
    std::promise<void> blocked;
    auto started = blocked.get_future();
    asio::post(mThreads.At(0),
               [&blocked, until = release.get_future().share()] {
                 blocked.set_value();
                 until.wait();
               });
    started.wait();
    return release;
  }

  std::size_t EndCount()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mEnds.size();
  }

  /// Returns the end of the only connection.
  ConnectionEnd OnlyEnd()
  {
    EXPECT_TRUE(AwaitTrue([&] { return EndCount() == 1; }));
    std::lock_guard<std::mutex> lock(mMutex);
    return mEnds.empty() ? ConnectionEnd() : mEnds.front();
  }

  Threads mThreads{ 1 };
  std::unique_ptr<Server> mServer;
  std::uint16_t mPort = 0;
  std::mutex mMutex;
  std::vector<ConnectionEnd> mEnds; ///< Guarded by mMutex.
  int mWholeDropped = 0;            ///< Guarded by mMutex.
};

// Guards against closed connections whose cause cannot be told.
TEST_F(HttpServer, AnAnsweredConnectionIsNoDrop)
{
  Start(Echo);
  Caller caller(mPort);
  caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_NE(caller.ReadAll().find("to /x"), std::string::npos);
  const auto end = OnlyEnd();
  EXPECT_STREQ(Name(end.cause), "answered");
  EXPECT_FALSE(end.requestDropped);
}

// Guards against a part of a request that disappears without a trace.
TEST_F(HttpServer, APartOfARequestIsReportedAsDropped)
{
  Start(Echo);
  Caller caller(mPort);
  caller.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  caller.Close();
  const auto end = OnlyEnd();
  EXPECT_STREQ(Name(end.cause), "caller");
  EXPECT_TRUE(end.requestDropped);
  EXPECT_EQ(mWholeDropped, 0);
}

// Guards against a slow request that looks like a lost one: it is refused.
TEST_F(HttpServer, ASlowRequestIsRefusedAndReported)
{
  ServerOptions options;
  options.limits = [] {
    ServerLimits limits;
    limits.headerTimeout = Milliseconds(50);
    return limits;
  };
  Start(Echo, options);
  Caller caller(mPort);
  caller.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  EXPECT_EQ(caller.ReadUntil("}}").substr(0, 12), "HTTP/1.1 408");
  const auto end = OnlyEnd();
  EXPECT_STREQ(Name(end.cause), "read-timeout");
  EXPECT_FALSE(end.requestDropped);
}

// Guards against an idle timeout or a stop that is taken for a dropped request.
TEST_F(HttpServer, IdleConnectionsEndWithTheirCause)
{
  ServerOptions options;
  options.limits = [] {
    ServerLimits limits;
    limits.idleTimeout = Milliseconds(10);
    return limits;
  };
  Start(Echo, options);
  Caller caller(mPort);
  EXPECT_EQ(caller.ReadAll(), "");
  const auto end = OnlyEnd();
  EXPECT_STREQ(Name(end.cause), "idle");
  EXPECT_FALSE(end.requestDropped);
}

TEST_F(HttpServer, AStopEndsIdleConnectionsWithItsCause)
{
  Start(Echo);
  Caller caller(mPort);
  caller.Send(kGet);
  EXPECT_NE(caller.ReadUntil("to /x").find("to /x"), std::string::npos);
  mServer->Drain();
  EXPECT_EQ(caller.ReadAll(), "");
  const auto end = OnlyEnd();
  EXPECT_STREQ(Name(end.cause), "drain");
  EXPECT_FALSE(end.requestDropped);
}

// Guards against connections beyond the limit that close without being counted.
TEST_F(HttpServer, AConnectionBeyondTheLimitIsReported)
{
  ServerOptions options;
  options.maxConnections = 0;
  Start(Echo, options);
  Caller caller(mPort);
  EXPECT_EQ(caller.ReadAll(), "");
  EXPECT_STREQ(Name(OnlyEnd().cause), "limit");
  EXPECT_EQ(mServer->Counters().refusedConnections.load(), 1u);
}

/// Limits with a header timeout that lets the tests reach it quickly.
ServerLimits
ShortHeaderTimeout()
{
  ServerLimits limits;
  limits.headerTimeout = Milliseconds(20);
  return limits;
}

/// Sends a request whose last byte and the header timeout come in the same turn
/// of the event loop.
class LastByteAtTheTimeout : public HttpServer
{
protected:
  void Run(Caller& aCaller)
  {
    aCaller.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab");
    // The server has read this and has set its timer.
    std::this_thread::sleep_for(Milliseconds(5));
    auto release = BlockLoop();
    std::this_thread::sleep_for(Milliseconds(30));
    aCaller.Send("c");
    std::this_thread::sleep_for(Milliseconds(2));
    release.set_value();
  }
};

// Guards against an answer that is cut because the timer of the request's last
// read fires after that read has ended.
TEST_F(LastByteAtTheTimeout, DoesNotCutTheAnswer)
{
  // More than the socket buffers hold, so that writing takes several turns.
  const std::string body(16 * 1024 * 1024, 'x');
  ServerOptions options;
  options.limits = ShortHeaderTimeout;
  Start(
    [&](Exchange& aExchange) -> asio::awaitable<void> {
      Response response = TextResponse(200, body);
      response.headers.push_back({ "Connection", "close" });
      co_await aExchange.Respond(std::move(response));
    },
    options);
  for (int i = 0; i < 6; ++i) {
    Caller caller(mPort);
    Run(caller);
    const auto answer = caller.ReadUntil(body);
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << "round " << i;
    ASSERT_GT(answer.size(), body.size()) << "round " << i;
  }
}

// Guards against a server that no longer notices that its caller has left,
// because the same timer ended the watch.
TEST_F(LastByteAtTheTimeout, DoesNotEndTheWatchForTheCaller)
{
  ServerOptions options;
  options.limits = ShortHeaderTimeout;
  std::atomic<int> left{ 0 };
  Start(
    [&](Exchange& aExchange) -> asio::awaitable<void> {
      aExchange.OnCallerDisconnect([&left] { left.fetch_add(1); });
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               Milliseconds(300));
      co_await timer.async_wait(asio::use_awaitable);
    },
    options);
  for (int i = 1; i <= 3; ++i) {
    Caller caller(mPort);
    Run(caller);
    std::this_thread::sleep_for(Milliseconds(20));
    caller.Close();
    EXPECT_TRUE(
      AwaitTrue([&] { return mServer->Counters().inProgress.load() == 0; }));
    EXPECT_EQ(left.load(), i);
  }
}

// Guards against whole requests that are refused as slow, because the server
// paused until after the header timeout and their last bytes arrived in the
// pause. There are more of them than the event loop takes from the kernel at
// once.
TEST_F(HttpServer, RequestsThatArriveDuringAPauseAreAnswered)
{
  constexpr int kCallers = 400;
  ServerOptions options;
  options.limits = [] {
    ServerLimits limits;
    limits.headerTimeout = Milliseconds(500);
    return limits;
  };
  Start(Echo, options);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(mPort));
    callers.back()->Send("POST /x HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 3\r\n\r\nab");
  }
  ASSERT_TRUE(
    AwaitTrue([&] { return mServer->Counters().open.load() == kCallers; }));
  auto release = BlockLoop();
  std::this_thread::sleep_for(Milliseconds(600));
  for (auto& caller : callers) {
    caller->Send("c");
  }
  release.set_value();
  int answered = 0;
  for (auto& caller : callers) {
    answered += caller->ReadUntil("to /x").find("to /x") != std::string::npos;
  }
  EXPECT_EQ(answered, kCallers);
}

/// Callers that keep their connections while the server stops.
class Stop : public HttpServer
{
protected:
  /// Opens connections, each with one answered request.
  void OpenConnections(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mCallers.push_back(std::make_unique<Caller>(mPort));
      mCallers.back()->Send(kGet);
      ASSERT_NE(mCallers.back()->ReadUntil("to /x").find("to /x"),
                std::string::npos);
    }
  }

  /// Expects that each caller's request for /y was answered on a connection
  /// that is closed afterwards.
  void ExpectLastAnswers()
  {
    for (auto& caller : mCallers) {
      const auto answer = caller->ReadAll();
      EXPECT_NE(answer.find("to /y"), std::string::npos) << answer;
      EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    }
  }

  std::vector<std::unique_ptr<Caller>> mCallers;
};

constexpr char kGetY[] = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";

/// Blocks the event loop after the answer to /x until a promise is set.
struct BlockAfterAnswer
{
  asio::awaitable<void> Handle(Exchange& aExchange)
  {
    const bool first = aExchange.Incoming().target == "/x";
    Response response = TextResponse(200, "to " + aExchange.Incoming().target);
    co_await aExchange.Respond(std::move(response));
    if (first) {
      release.get_future().wait();
    }
  }

  std::promise<void> release;
};

// Guards against requests that arrived before the server closed their idle
// connections, and got no answer.
TEST_F(Stop, RequestsThatHaveArrivedAreAnswered)
{
  Start(Echo);
  OpenConnections(20);
  auto release = BlockLoop();
  for (auto& caller : mCallers) {
    caller->Send(kGetY);
  }
  mServer->Drain();
  release.set_value();
  ExpectLastAnswers();
}

// Guards against connections that the server accepts by its listening socket
// alone, and resets when it stops.
TEST_F(Stop, ConnectionsInTheBacklogAreServed)
{
  Start(Echo);
  auto release = BlockLoop();
  for (int i = 0; i < 20; ++i) {
    mCallers.push_back(std::make_unique<Caller>(mPort));
    mCallers.back()->Send(kGetY);
  }
  mServer->Drain();
  release.set_value();
  ExpectLastAnswers();
}

// Guards against new connections that are closed before their caller has had
// the time to send its request.
TEST_F(Stop, ANewConnectionMaySendItsRequest)
{
  Start(Echo);
  for (int i = 0; i < 4; ++i) {
    mCallers.push_back(std::make_unique<Caller>(mPort));
  }
  ASSERT_TRUE(
    AwaitTrue([&] { return mServer->Counters().accepted.load() == 4; }));
  mServer->Drain();
  std::this_thread::sleep_for(Milliseconds(100));
  for (auto& caller : mCallers) {
    caller->Send(kGetY);
  }
  ExpectLastAnswers();
}

// Guards against requests that are read together with an earlier one and get no
// answer, because the earlier answer ends the connection.
TEST_F(Stop, PipelinedRequestsAreAnswered)
{
  Start(Echo);
  OpenConnections(1);
  auto release = BlockLoop();
  mCallers[0]->Send(std::string(kGet) + kGet + kGetY);
  mServer->Drain();
  release.set_value();
  ExpectLastAnswers();
}

// Guards against a process that ends while a request is being read.
TEST_F(Stop, TheServerHasNotDrainedWhileARequestIsRead)
{
  Start(Echo);
  OpenConnections(1);
  mCallers[0]->Send("POST /y HTTP/1.1\r\nHost: h\r\n");
  mServer->Drain();
  std::this_thread::sleep_for(Milliseconds(100));
  EXPECT_FALSE(mServer->Drained());
  mCallers[0]->Send("Content-Length: 4\r\n\r\nab");
  std::this_thread::sleep_for(Milliseconds(100));
  EXPECT_FALSE(mServer->Drained());
  mCallers[0]->Send("cd");
  ExpectLastAnswers();
  EXPECT_TRUE(AwaitTrue([&] { return mServer->Drained(); }));
}

// Guards against requests that the handler has been given, and that get no
// answer because the server stops at any moment of their exchange.
TEST_F(Stop, EveryRequestThatIsHandledIsAnswered)
{
  for (int round = 0; round < 20; ++round) {
    std::atomic<int> handled{ 0 };
    std::atomic<int> answered{ 0 };
    Start([&](Exchange& aExchange) -> asio::awaitable<void> {
      handled.fetch_add(1);
      co_await Echo(aExchange);
    });
    // All connect before the stop, after which connections are refused.
    mCallers.clear();
    for (int i = 0; i < 8; ++i) {
      mCallers.push_back(std::make_unique<Caller>(mPort));
    }
    std::vector<std::thread> threads;
    for (const auto& each : mCallers) {
      threads.emplace_back([&, &caller = *each] {
        std::string answer = "to /x";
        while (answer.find("to /x") != std::string::npos) {
          caller.Send(kGet);
          answer = caller.ReadUntil("to /x");
          answered.fetch_add(answer.find("to /x") != std::string::npos ? 1 : 0);
        }
      });
    }
    std::this_thread::sleep_for(Milliseconds(20 + round));
    mServer->Drain();
    for (auto& thread : threads) {
      thread.join();
    }
    EXPECT_TRUE(AwaitTrue([&] { return mServer->Drained(); }));
    EXPECT_GT(handled.load(), 0);
    EXPECT_EQ(answered.load(), handled.load()) << "round " << round;
    mServer.reset();
  }
}

/// A request that follows an answer which promised to keep the connection, and
/// comes while the server starts to stop.
class RequestAfterAKeepingAnswer : public Stop
{
protected:
  void Run(void (Server::*aStop)())
  {
    BlockAfterAnswer blocker;
    Start([&](Exchange& aExchange) { return blocker.Handle(aExchange); });
    OpenConnections(1);
    mCallers[0]->Send(kGetY);
    (mServer.get()->*aStop)();
    blocker.release.set_value();
    ExpectLastAnswers();
  }
};

// Guards against such a request that gets no answer.
TEST_F(RequestAfterAKeepingAnswer, IsAnsweredWhenTheServerCloses)
{
  Run(&Server::CloseAfterResponses);
}

TEST_F(RequestAfterAKeepingAnswer, IsAnsweredWhenTheServerDrains)
{
  Run(&Server::Drain);
}

// Guards against a stop that closes a connection on which a part of a request
// has arrived.
TEST_F(Stop, ABodyInProgressIsReadAndAnswered)
{
  Start(Echo);
  OpenConnections(4);
  for (auto& caller : mCallers) {
    caller->Send("POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  }
  mServer->Drain();
  std::this_thread::sleep_for(Milliseconds(50));
  for (auto& caller : mCallers) {
    caller->Send("cd");
  }
  ExpectLastAnswers();
}

// Guards against an idle timeout that closes a connection on which a request
// has arrived.
TEST_F(HttpServer, ARequestAtTheIdleTimeoutIsAnswered)
{
  ServerOptions options;
  options.limits = [] {
    ServerLimits limits;
    limits.idleTimeout = Milliseconds(10);
    return limits;
  };
  Start(Echo, options);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(std::make_unique<Caller>(mPort));
  }
  std::this_thread::sleep_for(Milliseconds(900));
  auto release = BlockLoop();
  for (auto& caller : callers) {
    caller->Send(kGet);
  }
  std::this_thread::sleep_for(Milliseconds(300));
  release.set_value();
  for (auto& caller : callers) {
    EXPECT_NE(caller->ReadUntil("to /x").find("to /x"), std::string::npos);
  }
}

/// Requests whose handler fails.
class FailedHandler : public HttpServer
{
protected:
  void ExpectFinalAnswer(const char* aDetail)
  {
    Caller caller(mPort);
    caller.Send(kGet);
    const auto answer = caller.ReadAll();
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 500") << answer;
    // Only these would promise that the request has not run.
    EXPECT_EQ(answer.find("not-run"), std::string::npos) << answer;
    const auto end = OnlyEnd();
    EXPECT_STREQ(Name(end.cause), "handler-failed");
    EXPECT_NE(end.detail.find(aDetail), std::string::npos) << end.detail;
    EXPECT_FALSE(end.requestDropped);
    EXPECT_TRUE(
      AwaitTrue([&] { return mServer->Counters().open.load() == 0; }));
    EXPECT_EQ(mServer->Counters().inProgress.load(), 0);
  }
};

// Guards against exceptions that end a connection without an answer, a trace or
// a right count of the requests in progress.
TEST_F(FailedHandler, GivesAFinalAnswer)
{
  Start([](Exchange&) -> asio::awaitable<void> {
    throw std::out_of_range("no such element");
    co_return;
  });
  ExpectFinalAnswer("no such element");
}

// Guards against the same with what is no std::exception.
TEST_F(FailedHandler, MayThrowAnything)
{
  Start([](Exchange&) -> asio::awaitable<void> {
    throw 1;
    co_return;
  });
  ExpectFinalAnswer("unknown exception");
}

// Guards against a response that cannot be written, such as one with a status
// that allows no body.
TEST_F(FailedHandler, IncludesAnInvalidResponse)
{
  Start([](Exchange& aExchange) -> asio::awaitable<void> {
    Response response = TextResponse(204, "a body");
    co_await aExchange.Respond(std::move(response));
  });
  ExpectFinalAnswer("invalid response body");
}

// Guards against a handler that forgets its response, so that the caller waits
// for ever.
TEST_F(FailedHandler, IncludesAMissingResponse)
{
  Start([](Exchange&) -> asio::awaitable<void> { co_return; });
  ExpectFinalAnswer("no response");
}

// Guards against a stream that fails in the middle and looks complete, or stays
// open.
TEST_F(FailedHandler, ResetsAStream)
{
  Start([](Exchange& aExchange) -> asio::awaitable<void> {
    Response head = TextResponse(200, "");
    co_await aExchange.BeginStream(std::move(head));
    co_await aExchange.WriteChunk("part");
    throw std::runtime_error("failed midway");
  });
  Caller caller(mPort);
  caller.Send(kGet);
  const auto answer = caller.ReadAll();
  EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("HTTP/1.1 500"), std::string::npos) << answer;
  const auto end = OnlyEnd();
  EXPECT_STREQ(Name(end.cause), "handler-failed");
  EXPECT_EQ(end.detail, "failed midway");
  EXPECT_TRUE(end.requestDropped);
  EXPECT_EQ(mServer->Counters().inProgress.load(), 0);
}

// Guards against a failure that ends other requests or the server.
TEST_F(FailedHandler, DoesNotConcernOtherRequests)
{
  Start([](Exchange& aExchange) -> asio::awaitable<void> {
    if (aExchange.Incoming().target == "/bad") {
      throw std::runtime_error("bad");
    }
    co_await Echo(aExchange);
  });
  for (int i = 0; i < 5; ++i) {
    Caller bad(mPort);
    Caller good(mPort);
    bad.Send("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
    good.Send(kGet);
    EXPECT_EQ(bad.ReadAll().substr(0, 12), "HTTP/1.1 500");
    EXPECT_NE(good.ReadUntil("to /x").find("to /x"), std::string::npos);
  }
}

/// A server whose limits change while a connection is open.
class ChangedLimits : public HttpServer
{
protected:
  /// Starts the server and sends a request on a connection that stays open.
  void StartWithCaller()
  {
    ServerOptions options;
    options.advertiseIdleTimeout = true;
    options.limits = [this] {
      std::lock_guard<std::mutex> lock(mLimitsMutex);
      return mLimits;
    };
    Start(Echo, options);
    mCaller = std::make_unique<Caller>(mPort);
    mCaller->Send(kGet);
    EXPECT_NE(mCaller->ReadUntil("to /x").find("to /x"), std::string::npos);
    // The server waits for the next request.
    std::this_thread::sleep_for(Milliseconds(20));
  }

  void SetLimits(const std::function<void(ServerLimits&)>& aChange)
  {
    std::lock_guard<std::mutex> lock(mLimitsMutex);
    aChange(mLimits);
  }

  static std::string Post(std::size_t aBytes)
  {
    return "POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(aBytes) + "\r\n\r\n";
  }

  void ExpectAnswer()
  {
    const auto answer = mCaller->ReadUntil("to /y");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << answer;
  }

  std::unique_ptr<Caller> mCaller;
  std::mutex mLimitsMutex;
  ServerLimits mLimits; ///< Guarded by mLimitsMutex.
};

// Guards against requests that are refused by limits that no longer hold,
// because the connection has been idle since before the change.
TEST_F(ChangedLimits, HoldForIdleConnections)
{
  mLimits.bodyBytes = 10;
  mLimits.headerBytes = 200;
  StartWithCaller();
  SetLimits([](auto& aLimits) {
    aLimits.bodyBytes = 100;
    aLimits.headerBytes = 1000;
  });
  mCaller->Send(
    "POST /y HTTP/1.1\r\nHost: h\r\nX-Wide: " + std::string(500, 'w') +
    "\r\nContent-Length: 50\r\n\r\n" + std::string(50, 'b'));
  ExpectAnswer();
}

// Guards against requests that are refused by new limits although they were
// sent under the old ones.
TEST_F(ChangedLimits, DoNotRefuseARequestInProgress)
{
  mLimits.bodyBytes = 100;
  mLimits.headerTimeout = Seconds(2);
  StartWithCaller();
  mCaller->Send(Post(50) + "b");
  std::this_thread::sleep_for(Milliseconds(20));
  SetLimits([](auto& aLimits) {
    aLimits.bodyBytes = 10;
    aLimits.headerTimeout = Milliseconds(10);
  });
  mCaller->Send("b");
  std::this_thread::sleep_for(Milliseconds(100));
  mCaller->Send(std::string(48, 'b'));
  ExpectAnswer();
}

// Guards against a body that is refused by the limits at its beginning although
// new limits allow it.
TEST_F(ChangedLimits, AllowMoreOfABodyInProgress)
{
  mLimits.bodyBytes = 10;
  StartWithCaller();
  mCaller->Send("POST /y HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\n8\r\nbbbbbbbb\r\n");
  std::this_thread::sleep_for(Milliseconds(20));
  SetLimits([](auto& aLimits) { aLimits.bodyBytes = 100; });
  mCaller->Send("8\r\nbbbbbbbb\r\n0\r\n\r\n");
  ExpectAnswer();
}

// Guards against a connection that is closed before the idle timeout which its
// caller was told has passed.
TEST_F(ChangedLimits, KeepTheIdleTimeoutThatTheCallerKnows)
{
  mLimits.idleTimeout = Seconds(4);
  ServerOptions options;
  options.advertiseIdleTimeout = true;
  options.limits = [this] {
    std::lock_guard<std::mutex> lock(mLimitsMutex);
    return mLimits;
  };
  // The limits change after the answer with the old timeout.
  Start(
    [this](Exchange& aExchange) -> asio::awaitable<void> {
      co_await Echo(aExchange);
      SetLimits([](auto& aLimits) { aLimits.idleTimeout = Milliseconds(10); });
    },
    options);
  mCaller = std::make_unique<Caller>(mPort);
  mCaller->Send(kGet);
  EXPECT_NE(mCaller->ReadUntil("to /x").find("timeout=4"), std::string::npos);
  std::this_thread::sleep_for(Milliseconds(1500));
  mCaller->Send(kGetY);
  ExpectAnswer();
}

/// Answers, in two chunks if the target is /chunks.
asio::awaitable<void>
AnswerWholeOrInChunks(Exchange& aExchange)
{
  Response response = TextResponse(200, "to " + aExchange.Incoming().target);
  if (aExchange.Incoming().target != "/chunks") {
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  response.body.clear();
  co_await aExchange.BeginStream(std::move(response));
  co_await aExchange.WriteChunk("to ");
  co_await aExchange.WriteChunk("/chunks");
  co_await aExchange.EndStream();
}

// Guards against a body after the headers of an answer to HEAD, which the
// caller takes for the beginning of the next answer, and so loses that one.
TEST_F(HttpServer, AnAnswerToHeadHasNoBody)
{
  Start(AnswerWholeOrInChunks);
  for (const std::string target : { "/x", "/chunks" }) {
    Caller caller(mPort);
    caller.Send("HEAD " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" + kGetY);
    const auto answers = caller.ReadUntil("to /y");
    EXPECT_EQ(answers.substr(0, 12), "HTTP/1.1 200") << answers;
    const auto end = answers.find("\r\n\r\n");
    ASSERT_NE(end, std::string::npos) << answers;
    EXPECT_EQ(answers.substr(end + 4, 12), "HTTP/1.1 200") << answers;
    EXPECT_NE(answers.find("to /y"), std::string::npos) << answers;
  }
}

// Guards against a server that does not notice that its caller has left,
// because the watch of an earlier request on the connection is still ending.
TEST_F(HttpServer, TheSecondOfTwoRequestsIsWatchedToo)
{
  std::atomic<int> left{ 0 };
  std::atomic<bool> waiting{ false };
  Start([&](Exchange& aExchange) -> asio::awaitable<void> {
    aExchange.OnCallerDisconnect([&left] { left.fetch_add(1); });
    if (aExchange.Incoming().target == "/y") {
      waiting.store(true);
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               Milliseconds(300));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_await Echo(aExchange);
  });
  Caller caller(mPort);
  caller.Send(std::string(kGet) + kGetY);
  EXPECT_NE(caller.ReadUntil("to /x").find("to /x"), std::string::npos);
  EXPECT_TRUE(AwaitTrue([&] { return waiting.load(); }));
  std::this_thread::sleep_for(Milliseconds(50));
  EXPECT_EQ(left.load(), 0);
  caller.Close();
  EXPECT_TRUE(
    AwaitTrue([&] { return mServer->Counters().inProgress.load() == 0; }));
  EXPECT_EQ(left.load(), 1);
}

} // namespace
} // namespace magnoliatide::http
