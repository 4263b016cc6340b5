// Guards against VMs that run malformed, oversized or unauthorized requests, or
// refuse them without a reason and a remedy.
#include "support.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

namespace magnoliatide::tests {
namespace {

class Input : public testing::Test
{
protected:
  static void SetUpTestSuite()
  {
    sFleet = std::make_unique<load::Fleet>(SmallFleet("input"));
    ASSERT_TRUE(sFleet->Start());
  }

  static void TearDownTestSuite() { sFleet.reset(); }

  http::Response Send(http::Request aRequest)
  {
    return sFleet->Call(sFleet->Vms()[0].address, std::move(aRequest)).response;
  }

  http::Request Post(const std::string& aTarget, const std::string& aBody)
  {
    http::Request request;
    request.method = "POST";
    request.target = aTarget;
    request.body = aBody;
    request.headers = {
      { "Authorization", "Bearer " + load::TokenOf("planners") },
    };
    return request;
  }

  void ExpectRefusal(const http::Response& aResponse,
                     int aStatus,
                     const std::string& aKind)
  {
    EXPECT_EQ(aResponse.status, aStatus);
    EXPECT_EQ(http::Find(aResponse.headers, "X-Outcome"), "not-run");
    EXPECT_NE(aResponse.body.find("\"kind\":\"" + aKind + "\""),
              std::string::npos)
      << aResponse.body;
    EXPECT_NE(aResponse.body.find("\"remedy\""), std::string::npos);
  }

  /// Sends raw bytes and returns all that is received until the connection
  /// ends.
  std::string RawAnswer(const std::string& aBytes)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    const auto& vm = sFleet->Vms()[0].address;
    socket.connect({ boost::asio::ip::make_address(vm.host), vm.port });
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(aBytes), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  static std::unique_ptr<load::Fleet> sFleet;
};

std::unique_ptr<load::Fleet> Input::sFleet;

TEST_F(Input, AWrongTokenIsRefused)
{
  auto request = Post("/v1/completions", "{}");
  request.headers = { { "Authorization", "Bearer nobody" } };
  ExpectRefusal(Send(request), 401, "unauthenticated");
}

TEST_F(Input, AnUnknownPathOrServiceIsRefused)
{
  ExpectRefusal(Send(Post("/v2/other", "{}")), 404, "unknown-path");
  ExpectRefusal(
    Send(Post("/services/nowhere/x", "{}")), 404, "unknown-service");
}

TEST_F(Input, BadJsonIsRefused)
{
  ExpectRefusal(Send(Post("/v1/completions", "{")), 400, "bad-json");
  ExpectRefusal(Send(Post("/v1/completions", "[]")), 400, "bad-json");
  ExpectRefusal(Send(Post("/v1/completions", "{}")), 400, "bad-prompt");
  // Nested deeper than the parser allows.
  const std::string deep =
    R"({"prompt":)" + std::string(64, '[') + std::string(64, ']') + "}";
  ExpectRefusal(Send(Post("/v1/completions", deep)), 400, "bad-json");
  ExpectRefusal(
    Send(Post("/v1/completions", R"({"prompt":"x","max_tokens":-1})")),
    400,
    "bad-max-tokens");
}

TEST_F(Input, ACallThatMayRunOnlyOnceNeedsAKey)
{
  ExpectRefusal(
    Send(Post("/services/ledger/deposits", "{}")), 400, "key-required");
}

TEST_F(Input, OversizedInputIsRefused)
{
  // The announced length must be refused before the body has arrived.
  const auto body = std::string(2 * 1024 * 1024, 'x');
  const auto answer = RawAnswer("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                                "Content-Length: 2097152\r\n\r\n" +
                                body.substr(0, 1000));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer.substr(0, 60);
  const auto wide =
    RawAnswer("GET / HTTP/1.1\r\nX-A: " + std::string(40000, 'a') + "\r\n\r\n");
  EXPECT_TRUE(wide.starts_with("HTTP/1.1 431")) << wide.substr(0, 60);
}

TEST_F(Input, BrokenHttpIsRefused)
{
  const auto answer = RawAnswer("NOT HTTP AT ALL\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer.substr(0, 60);
}

TEST_F(Input, HeadersThatTheSystemSetsAreNotTakenFromCallers)
{
  auto request = Post("/v1/completions", R"({"prompt":"x","max_tokens":2})");
  request.headers.push_back({ "X-Request-Id", "forged" });
  const auto response = Send(request);
  EXPECT_EQ(response.status, 200);
  EXPECT_NE(http::Find(response.headers, "X-Request-Id"), "forged");
  load::RunLog log;
  log.CollectAll(*sFleet);
  EXPECT_EQ(log.RunsOf("forged"), 0);
}

} // namespace
} // namespace magnoliatide::tests
