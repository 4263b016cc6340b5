// Guards against wrong answers to callers when a backend server answers before
// it has read the request and then resets the connection, or answers with a
// status that HTTP does not define. Real VM processes run with a test double of
// the store; the server is a raw socket.
#include "platform_fleet.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace magnoliatide::tests {
namespace {

namespace asio = boost::asio;
using http::CallStatus;
using tcp = asio::ip::tcp;

/// How long the server waits between its answer and the reset, so that the VM
/// has read the answer.
constexpr Duration kResetDelay = Milliseconds(100);

constexpr int kLargeBodyBytes = 32 * 1024 * 1024;

/// Answers each connection's first request with fixed bytes as soon as the head
/// has arrived, and resets the connection after a delay.
class HastyServer
{
public:
  /// @param aAnswer Everything after the request's id in the answer's head.
  HastyServer(const std::string& aStatusLine, std::string aRest)
    : mAnswer(aStatusLine + "\r\nEngine-Signature: s.1\r\n")
    , mRest(std::move(aRest))
    , mAcceptor(mLoop, tcp::endpoint(asio::ip::make_address("127.30.2.9"), 0))
    , mThread([this] { Serve(); })
  {
  }

  ~HastyServer()
  {
    mStopped = true;
    // Wakes the accept call.
    boost::system::error_code ignored;
    tcp::socket socket(mLoop);
    socket.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
  }

  HastyServer(const HastyServer&) = delete;
  HastyServer& operator=(const HastyServer&) = delete;

  /// Returns the server's entry in the store.
  std::string Entry(const std::string& aService) const
  {
    const auto address = mAcceptor.local_endpoint();
    return R"({"service":")" + aService + R"(","address":"127.30.2.9:)" +
           std::to_string(address.port()) +
           R"(","zone":"kariakoo","slots":4,"state":"ready","sequence":1})";
  }

private:
  void Serve()
  {
    while (true) {
      boost::system::error_code error;
      auto socket = mAcceptor.accept(error);
      if (mStopped || error) {
        return;
      }
      Answer(socket);
    }
  }

  void Answer(tcp::socket& aSocket)
  {
    boost::system::error_code error;
    std::string head;
    asio::read_until(
      aSocket, asio::dynamic_buffer(head, 65536), "\r\n\r\n", error);
    const std::string name = "Attempt-Id: ";
    const auto at = head.find(name);
    if (at == std::string::npos) {
      return;
    }
    const auto id = head.substr(at, head.find("\r\n", at) - at);
    asio::write(aSocket, asio::buffer(mAnswer + id + "\r\n" + mRest), error);
    std::this_thread::sleep_for(kResetDelay);
    aSocket.set_option(asio::socket_base::linger(true, 0), error);
    aSocket.close(error);
  }

  std::string mAnswer;
  std::string mRest;
  asio::io_context mLoop;
  tcp::acceptor mAcceptor;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

/// Calls a VM whose only server is a hasty one.
http::CallResult
CallThrough(const std::string& aTest,
            const HastyServer& aServer,
            const CallSpec& aCall)
{
  PlatformFleet fleet(aTest);
  RouteConfig quotes;
  quotes.attempts = 1;
  quotes.service = "hasty";
  RouteConfig deposits = quotes;
  deposits.name = "deposits";
  deposits.prefix = "/deposits/";
  deposits.kind = "non_idempotent";
  LimitsConfig limits;
  limits.bodyBytes = 2 * kLargeBodyBytes;
  fleet.Publish({ quotes, deposits }, { TeamConfig() }, limits);
  fleet.Store().Put("servers/hasty-1", aServer.Entry("hasty"));
  EXPECT_TRUE(fleet.Start());
  return fleet.Call(0, aCall);
}

CallSpec
LargeCall(const std::string& aPath)
{
  CallSpec call;
  call.path = aPath;
  call.body = std::string(kLargeBodyBytes, 'x');
  return call;
}

// Guards against a part of an answer that a caller takes for the whole one: the
// answer has no length, and its server resets the connection while the VM still
// writes the request.
TEST(EarlyAnswers, ABrokenOffCallIsNotWhole)
{
  const HastyServer server("HTTP/1.1 200 OK", "\r\na part of an answer");
  const auto result =
    CallThrough("EarlyAnswers.Call", server, LargeCall("/deposits/1"));
  EXPECT_FALSE(result.status == CallStatus::kDone &&
               result.response.status == 200)
    << result.response.body;
}

// The same for a stream that is broken off between two events.
TEST(EarlyAnswers, ABrokenOffStreamIsNotWhole)
{
  const HastyServer server(
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n");
  const auto result =
    CallThrough("EarlyAnswers.Stream", server, LargeCall("/quotes/1"));
  EXPECT_FALSE(result.status == CallStatus::kDone &&
               result.response.status == 200)
    << result.response.body;
}

// Guards against a caller that gets a status which is none of HTTP's. The
// request may have run, so the answer must promise nothing.
TEST(EarlyAnswers, UndefinedStatusesAreNotRelayed)
{
  for (const char* status : { "000", "099", "600", "999", "20", "2000" }) {
    const HastyServer server(std::string("HTTP/1.1 ") + status + " Trouble",
                             "Content-Length: 2\r\n\r\nok");
    CallSpec call;
    call.path = "/deposits/1";
    const auto result = CallThrough("EarlyAnswers.Status", server, call);
    EXPECT_EQ(result.status, CallStatus::kDone) << status;
    EXPECT_EQ(result.response.status, 502) << status;
  }
}

} // namespace
} // namespace magnoliatide::tests
