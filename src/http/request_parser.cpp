// Parsing of requests, implemented with Boost.Beast.
#include "request_parser.h"

#include "framing.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace magnoliatide::http {

namespace bhttp = boost::beast::http;
using ErrorCode = boost::system::error_code;

void
RequestParser::SetLimits(std::uint64_t aHeaderBytes, std::uint64_t aBodyBytes)
{
  mMaxHeaderBytes = aHeaderBytes;
  mParser.header_limit(static_cast<std::uint32_t>(aHeaderBytes));
  // Beast counts down from the limit.
  mParser.body_limit(aBodyBytes - mParser.get().body().size());
}

std::size_t
RequestParser::Put(boost::asio::const_buffer aBytes, ErrorCode& aError)
{
  std::size_t used = 0;
  aError = {};
  while (!aError && !IsDone()) {
    const auto parsed = mParser.put(aBytes + used, aError);
    used += parsed;
    if (!aError && !mHeaderDone && mParser.is_header_done()) {
      aError = ReadHead();
    }
    if (!aError && !IsDone() && (parsed == 0 || used == aBytes.size())) {
      aError = bhttp::error::need_more;
    }
  }
  // Beast does not limit the trailers.
  if (aError == bhttp::error::need_more && mHeaderDone &&
      aBytes.size() - used > mMaxHeaderBytes) {
    aError = bhttp::error::header_limit;
  }
  return used;
}

std::size_t
RequestParser::BodyBytes() const
{
  const auto& body = mParser.get().body();
  const auto length =
    mHeaderDone ? mParser.content_length() : boost::optional<std::uint64_t>();
  return std::max<std::size_t>(length.value_or(0), body.capacity());
}

void
RequestParser::PutEnd(ErrorCode& aError)
{
  mParser.put_eof(aError);
}

/// Takes the head and checks its framing. Everything that depends on the head
/// is taken here, because Beast treats the fields of trailers as part of it.
/// The header is done only if it is sound.
ErrorCode
RequestParser::ReadHead()
{
  const auto& message = mParser.get();
  mRequest.method = std::string(message.method_string());
  mRequest.target = std::string(message.target());
  for (const auto& field : message) {
    mRequest.headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  mKeepsConnection = mParser.keep_alive();
  const auto hosts = std::count_if(
    mRequest.headers.begin(), mRequest.headers.end(), [](const auto& aHeader) {
      return boost::beast::iequals(aHeader.name, "Host");
    });
  if (hosts > 1) {
    return bhttp::error::bad_field;
  }
  switch (FramingOf(mRequest.headers, message.version())) {
    case Framing::kAmbiguous:
      return bhttp::error::bad_transfer_encoding;
    case Framing::kUnsupportedCoding:
      return boost::asio::error::operation_not_supported;
    default:
      mHeaderDone = true;
      return {};
  }
}

Request
RequestParser::Take()
{
  mRequest.body = std::move(mParser.get().body());
  return std::move(mRequest);
}

} // namespace magnoliatide::http
