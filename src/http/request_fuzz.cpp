// Fuzzes the parser of requests. The requests that a connection yields must not
// depend on how its bytes arrive, and only sound framing may be accepted.
#include "framing.h"
#include "request_parser.h"

#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

namespace {

using magnoliatide::http::Request;
using magnoliatide::http::RequestParser;

/// Above the size of the inputs, so that no limit depends on the reads.
constexpr std::uint64_t kMaxBytes = 1024 * 1024;

std::vector<Request>
Parse(const std::string& aBytes, std::size_t aReadSize)
{
  std::vector<Request> requests;
  std::string buffer;
  std::size_t received = 0;
  std::optional<RequestParser> parser;
  while (received < aBytes.size() || !buffer.empty()) {
    if (!parser) {
      parser.emplace();
      parser->SetLimits(kMaxBytes, kMaxBytes);
    }
    const auto read = aBytes.substr(received, aReadSize);
    received += read.size();
    buffer += read;
    boost::system::error_code error;
    buffer.erase(0, parser->Put(boost::asio::buffer(buffer), error));
    if (parser->IsDone()) {
      requests.push_back(parser->Take());
      parser.reset();
    } else if (error != boost::beast::http::error::need_more || read.empty()) {
      break;
    }
  }
  return requests;
}

bool
Equal(const Request& aOne, const Request& aOther)
{
  if (aOne.method != aOther.method || aOne.target != aOther.target ||
      aOne.body != aOther.body ||
      aOne.headers.size() != aOther.headers.size()) {
    return false;
  }
  for (std::size_t i = 0; i < aOne.headers.size(); ++i) {
    if (aOne.headers[i].name != aOther.headers[i].name ||
        aOne.headers[i].value != aOther.headers[i].value) {
      return false;
    }
  }
  return true;
}

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using magnoliatide::http::Framing;
  constexpr std::size_t kMaxReadSize = 64;
  constexpr unsigned kHttp11 = 11;
  if (aSize == 0) {
    return 0;
  }
  const std::string bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  const auto whole = Parse(bytes, bytes.size() + 1);
  const auto parts = Parse(bytes, 1 + aData[0] % kMaxReadSize);
  Require(whole.size() == parts.size());
  for (std::size_t i = 0; i < whole.size(); ++i) {
    Require(Equal(whole[i], parts[i]));
    const auto framing =
      magnoliatide::http::FramingOf(whole[i].headers, kHttp11);
    Require(framing != Framing::kAmbiguous &&
            framing != Framing::kUnsupportedCoding);
    Require(framing != Framing::kNone || whole[i].body.empty());
  }
  return 0;
}
