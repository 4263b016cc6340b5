// How the head of an HTTP message frames its body. Servers and clients share
// these rules, so that no two of them see the end of a message at different
// places.
#ifndef MAGNOLIATIDE_SRC_HTTP_FRAMING_H
#define MAGNOLIATIDE_SRC_HTTP_FRAMING_H

#include "magnoliatide/http/message.h"

namespace magnoliatide::http {

enum class Framing
{
  kNone,              ///< Neither a length nor chunks.
  kLength,            ///< One valid Content-Length.
  kChunked,           ///< Chunks without a further coding.
  kAmbiguous,         ///< Recipients may disagree on where the body ends.
  kUnsupportedCoding, ///< Chunks of a body that has a further coding.
};

/// Returns how a head frames the body:
///
/// - neither Transfer-Encoding nor Content-Length: kNone;
/// - one Content-Length of decimal digits that fit 64 bits, and no
///   Transfer-Encoding: kLength;
/// - only the coding `chunked`, in any case, in HTTP/1.1, and no
///   Content-Length: kChunked;
/// - the same after other codings: kUnsupportedCoding;
/// - everything else, such as repeated lengths, a length beside a coding, a
///   last coding other than `chunked`, or empty elements: kAmbiguous.
///
/// @param aVersion The version of the message: 10 for HTTP/1.0, 11 for
///     HTTP/1.1.
Framing
FramingOf(const Headers& aHeaders, unsigned aVersion);

} // namespace magnoliatide::http

#endif
