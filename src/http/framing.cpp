// The rules of RFC 9112, section 6, without its tolerance of repeated lengths.
#include "framing.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <vector>

namespace magnoliatide::http {

namespace {

using boost::beast::iequals;

std::string_view
TrimSpace(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t";
  const auto begin = aText.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpace) + 1 - begin);
}

bool
IsLength(std::string_view aText)
{
  std::uint64_t length = 0;
  const auto* end = aText.data() + aText.size();
  const auto [at, error] = std::from_chars(aText.data(), end, length);
  return error == std::errc() && at == end;
}

bool
IsChunked(std::string_view aCoding)
{
  return iequals(aCoding, "chunked");
}

/// Appends the elements of a comma-separated list, empty ones included.
void
AppendElements(std::string_view aList, std::vector<std::string_view>& aElements)
{
  while (true) {
    const auto comma = aList.find(',');
    aElements.push_back(TrimSpace(aList.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return;
    }
    aList.remove_prefix(comma + 1);
  }
}

/// Returns whether the codings end with chunks and name them only there.
bool
EndsWithChunks(const std::vector<std::string_view>& aCodings)
{
  const bool complete =
    std::none_of(aCodings.begin(), aCodings.end(), [](const auto& aCoding) {
      return aCoding.empty();
    });
  return complete && IsChunked(aCodings.back()) &&
         std::count_if(aCodings.begin(), aCodings.end(), IsChunked) == 1;
}

} // namespace

Framing
FramingOf(const Headers& aHeaders, unsigned aVersion)
{
  constexpr unsigned kFirstVersionWithChunks = 11;
  std::vector<std::string_view> codings;
  std::vector<std::string_view> lengths;
  for (const auto& header : aHeaders) {
    if (iequals(header.name, "Transfer-Encoding")) {
      AppendElements(header.value, codings);
    } else if (iequals(header.name, "Content-Length")) {
      lengths.push_back(TrimSpace(header.value));
    }
  }
  if (codings.empty() && lengths.empty()) {
    return Framing::kNone;
  }
  if (codings.empty()) {
    const bool sound = lengths.size() == 1 && IsLength(lengths.front());
    return sound ? Framing::kLength : Framing::kAmbiguous;
  }
  if (aVersion < kFirstVersionWithChunks || !lengths.empty() ||
      !EndsWithChunks(codings)) {
    return Framing::kAmbiguous;
  }
  return codings.size() == 1 ? Framing::kChunked : Framing::kUnsupportedCoding;
}

} // namespace magnoliatide::http
