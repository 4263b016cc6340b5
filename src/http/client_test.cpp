// Guards against answers whose end the client and the server see at different
// places: the rest of one would be read as the answer to another request.
#include "magnoliatide/http/client.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include <string>

namespace magnoliatide::http {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr char kHost[] = "127.40.0.2";
constexpr Duration kTimeout = Seconds(5);

/// How a client has read an answer.
struct Reading
{
  CallStatus head = CallStatus::kNotSent;
  CallStatus body = CallStatus::kNotSent;
  std::string text;
  bool reusable = false;
};

asio::awaitable<void>
ServeOnce(tcp::acceptor& aAcceptor, std::string aAnswer)
{
  auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  char request[1024];
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await asio::async_write(
    socket, asio::buffer(aAnswer), asio::use_awaitable);
  // Keeps the connection until the client closes it.
  co_await socket.async_read_some(asio::buffer(request),
                                  asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void>
ReadOnce(document::Endpoint aServer, Reading& aReading)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto connection = MakeConnection(executor, aServer);
  const bool connected = co_await connection->Connect(kTimeout);
  EXPECT_TRUE(connected);
  Request request;
  const auto sent = co_await connection->Send(std::move(request), kTimeout);
  EXPECT_EQ(sent, CallStatus::kDone);
  Response head;
  aReading.head = co_await connection->ReadHead(head, kTimeout);
  if (aReading.head == CallStatus::kDone) {
    aReading.body =
      co_await connection->ReadRest(aReading.text, 1024, kTimeout);
    aReading.reusable = connection->Reusable();
  }
  connection->Close();
}

/// Reads an answer that a server sends.
Reading
ReadAnswer(const std::string& aAnswer)
{
  asio::io_context loop;
  tcp::acceptor acceptor(loop, { asio::ip::make_address(kHost), 0 });
  document::Endpoint server;
  server.host = kHost;
  server.port = acceptor.local_endpoint().port();
  Reading reading;
  asio::co_spawn(loop, ServeOnce(acceptor, aAnswer), asio::detached);
  asio::co_spawn(loop, ReadOnce(server, reading), asio::detached);
  loop.run_for(kTimeout);
  return reading;
}

/// Reads an answer with the given head fields and body.
Reading
Read(const std::string& aFields,
     const std::string& aBody,
     const std::string& aVersion = "1.1")
{
  return ReadAnswer("HTTP/" + aVersion + " 200 OK\r\n" + aFields + "\r\n" +
                    aBody);
}

TEST(ClientFraming, SoundAnswersAreRead)
{
  for (const auto& reading :
       { Read("Content-Length: 3\r\n", "abc"),
         Read("Transfer-Encoding: Chunked\r\n", "3\r\nabc\r\n0\r\n\r\n") }) {
    EXPECT_EQ(reading.head, CallStatus::kDone);
    EXPECT_EQ(reading.body, CallStatus::kDone);
    EXPECT_EQ(reading.text, "abc");
    EXPECT_TRUE(reading.reusable);
  }
}

TEST(ClientFraming, UnsoundAnswersAreNoAnswers)
{
  const std::string chunks = "3\r\nabc\r\n0\r\n\r\n";
  const std::string foreign = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const char* fields :
       { "Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
         "Content-Length: 3\r\nContent-Length: 3\r\n",
         "Content-Length: 3, 3\r\n",
         "Transfer-Encoding: chunked, identity\r\n",
         "Transfer-Encoding: gzip\r\n" }) {
    EXPECT_EQ(Read(fields, "abc" + foreign).head, CallStatus::kCut) << fields;
  }
  for (const char* fields : { "Transfer-Encoding: gzip, chunked\r\n",
                              "Transfer-Encoding: identity, chunked\r\n",
                              "Transfer-Encoding: chunked, chunked\r\n" }) {
    EXPECT_EQ(Read(fields, chunks + foreign).head, CallStatus::kCut) << fields;
  }
  EXPECT_EQ(Read("Transfer-Encoding: chunked\r\n", chunks, "1.0").head,
            CallStatus::kCut);
}

/// When a server resets the connection of a request that is still being sent.
enum class ResetMoment
{
  kWithPart,  ///< Right after a part of the answer.
  kAfterPart, ///< Once the client has had time to read the part.
};

/// Sends a part of an answer while the request is still arriving, then resets
/// the connection.
asio::awaitable<void>
ResetDuringUpload(tcp::acceptor& aAcceptor,
                  std::string aPart,
                  ResetMoment aMoment)
{
  auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  char request[1024];
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(aPart), asio::use_awaitable);
  if (aMoment == ResetMoment::kAfterPart) {
    asio::steady_timer timer(socket.get_executor(), Milliseconds(50));
    co_await timer.async_wait(asio::use_awaitable);
  }
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

/// Sends a whole answer, ends its side of the connection properly and then
/// resets it, because the request is still arriving.
asio::awaitable<void>
EndThenReset(tcp::acceptor& aAcceptor, std::string aAnswer)
{
  auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  char request[1024];
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await asio::async_write(
    socket, asio::buffer(aAnswer), asio::use_awaitable);
  socket.shutdown(tcp::socket::shutdown_send);
  asio::steady_timer timer(socket.get_executor(), Milliseconds(50));
  co_await timer.async_wait(asio::use_awaitable);
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

/// Sends a whole answer and ends its side of the connection while the request
/// is still arriving.
asio::awaitable<void>
EndDuringUpload(tcp::acceptor& aAcceptor, std::string aAnswer)
{
  auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  char request[1024];
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await asio::async_write(
    socket, asio::buffer(aAnswer), asio::use_awaitable);
  socket.shutdown(tcp::socket::shutdown_send);
  // Keeps the connection until the client closes it.
  asio::steady_timer timer(socket.get_executor(), kTimeout);
  while (true) {
    const auto [error, bytes] = co_await socket.async_read_some(
      asio::buffer(request), asio::as_tuple(asio::use_awaitable));
    if (error || bytes == 0) {
      co_return;
    }
  }
}

asio::awaitable<void>
UploadAndRead(document::Endpoint aServer, Duration aPause, Reading& aReading)
{
  // More than the buffers of both sides hold.
  constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;
  const auto executor = co_await asio::this_coro::executor;
  ConnectionOptions options;
  options.allowCloseDelimited = true;
  const auto connection = MakeConnection(executor, aServer, options);
  co_await connection->Connect(kTimeout);
  Request request;
  request.method = "POST";
  request.body = std::string(kUploadBytes, 'x');
  co_await connection->Send(std::move(request), kTimeout);
  asio::steady_timer timer(executor, aPause);
  co_await timer.async_wait(asio::use_awaitable);
  Response head;
  aReading.head = co_await connection->ReadHead(head, kTimeout);
  if (aReading.head == CallStatus::kDone) {
    aReading.body =
      co_await connection->ReadRest(aReading.text, 1024, kTimeout);
  }
  connection->Close();
}

/// Reads an answer while the request is still being sent.
template<typename Server>
Reading
ReadDuringUpload(Duration aPause, Server aServer)
{
  asio::io_context loop;
  tcp::acceptor acceptor(loop, { asio::ip::make_address(kHost), 0 });
  document::Endpoint address;
  address.host = kHost;
  address.port = acceptor.local_endpoint().port();
  Reading reading;
  asio::co_spawn(loop, aServer(acceptor), asio::detached);
  asio::co_spawn(loop, UploadAndRead(address, aPause, reading), asio::detached);
  loop.run_for(2 * kTimeout);
  return reading;
}

// Guards against a part of an answer that is taken for the whole one: the
// server resets the connection while the request is still being sent. The
// operating system reports the reset once, to the write; the next read sees the
// end of the connection, which also ends an answer without a length.
TEST(ClientReset, APartOfAnAnswerIsNotWhole)
{
  for (const char* fields :
       { "", "Content-Length: 6\r\n", "Transfer-Encoding: chunked\r\n" }) {
    const bool chunked = std::string(fields).starts_with("Transfer");
    const std::string part = std::string("HTTP/1.1 200 OK\r\n") + fields +
                             "\r\n" + (chunked ? "3\r\nabc\r\n" : "abc");
    for (const auto moment :
         { ResetMoment::kWithPart, ResetMoment::kAfterPart }) {
      for (const Duration pause : { Milliseconds(0), Milliseconds(200) }) {
        const auto reading =
          ReadDuringUpload(pause, [&](tcp::acceptor& aAcceptor) {
            return ResetDuringUpload(aAcceptor, part, moment);
          });
        EXPECT_FALSE(reading.head == CallStatus::kDone &&
                     reading.body == CallStatus::kDone)
          << fields << " pause " << ToSeconds(pause) << ": " << reading.text;
      }
    }
  }
}

// Guards against the loss of a whole answer without a length that a server
// gives before it has read the request, and ends properly.
TEST(ClientReset, AnEarlyAnswerThatEndsProperlyIsWhole)
{
  const auto reading =
    ReadDuringUpload(Milliseconds(50), [](tcp::acceptor& aAcceptor) {
      return EndDuringUpload(aAcceptor, "HTTP/1.1 200 OK\r\n\r\nabc");
    });
  EXPECT_EQ(reading.head, CallStatus::kDone);
  EXPECT_EQ(reading.body, CallStatus::kDone);
  EXPECT_EQ(reading.text, "abc");
}

// Guards against the loss of a whole answer without a length whose server
// closes the connection with unread input right after its proper end.
TEST(ClientReset, AResetAfterTheEndOfAnAnswerIsHarmless)
{
  const auto reading =
    ReadDuringUpload(Milliseconds(200), [](tcp::acceptor& aAcceptor) {
      return EndThenReset(aAcceptor, "HTTP/1.1 200 OK\r\n\r\nabc");
    });
  EXPECT_EQ(reading.head, CallStatus::kDone);
  EXPECT_EQ(reading.body, CallStatus::kDone);
  EXPECT_EQ(reading.text, "abc");
}

// Guards against answers with a status that HTTP does not define, which a
// server in trouble sends: they say nothing about the request.
TEST(ClientStatus, OnlyFinalStatusesAreAnswers)
{
  for (const char* status : { "000",
                              "001",
                              "099",
                              "600",
                              "999",
                              "20",
                              "2",
                              "2000",
                              "+20",
                              "-20",
                              "0x2",
                              "20a",
                              "" }) {
    EXPECT_NE(ReadAnswer(std::string("HTTP/1.1 ") + status +
                         " Trouble\r\nContent-Length: 3\r\n\r\nabc")
                .head,
              CallStatus::kDone)
      << status;
  }
}

} // namespace
} // namespace magnoliatide::http
