// Incremental parser of HTTP/1.1 requests. Refuses heads whose body could be
// taken for a request of its own.
#ifndef MAGNOLIATIDE_SRC_HTTP_REQUEST_PARSER_H
#define MAGNOLIATIDE_SRC_HTTP_REQUEST_PARSER_H

#include "magnoliatide/http/message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>

namespace magnoliatide::http {

/// Parses one request.
class RequestParser
{
public:
  /// Sets the maximum sizes. They may be raised while the request is parsed.
  ///
  /// @param aHeaderBytes Of the head, and of the trailers after the last chunk.
  void SetLimits(std::uint64_t aHeaderBytes, std::uint64_t aBodyBytes);

  /// Parses bytes, at most up to the end of the request. A body is not parsed
  /// before its framing is known to be sound.
  ///
  /// @param aError Receives need_more if the request is incomplete,
  ///     operation_not_supported for a transfer coding that is not supported,
  ///     and an error of Beast for other invalid requests.
  /// @return The number of bytes used.
  std::size_t Put(boost::asio::const_buffer aBytes,
                  boost::system::error_code& aError);

  /// Returns the number of fields of the head.
  std::size_t Fields() const { return mRequest.headers.size(); }

  /// Returns the size of the body: as announced, or as read so far.
  std::size_t BodyBytes() const;

  /// Records that the sender has closed its side. Sets aError if the request
  /// is incomplete.
  void PutEnd(boost::system::error_code& aError);

  bool IsHeaderDone() const { return mHeaderDone; }
  bool IsDone() const { return mHeaderDone && mParser.is_done(); }

  /// Returns whether the head lets the connection be kept, after the header is
  /// done.
  bool KeepsConnection() const { return mKeepsConnection; }

  /// Returns the request, after it is done.
  Request Take();

private:
  boost::system::error_code ReadHead();

  boost::beast::http::request_parser<boost::beast::http::string_body> mParser;
  /// Without the fields of trailers, which Beast adds to those of its message.
  Request mRequest;
  std::uint64_t mMaxHeaderBytes = 0;
  bool mHeaderDone = false;
  bool mKeepsConnection = false;
};

} // namespace magnoliatide::http

#endif
