// Compression with Zstandard.
#include "magnoliatide/wire/compression.h"

#include <zstd.h>

namespace magnoliatide::wire {

namespace {

/// The fastest regular level of Zstandard, as VMs have little CPU time.
constexpr int kLevel = 1;

} // namespace

std::optional<std::string>
Compress(std::string_view aBytes)
{
  std::string bytes(ZSTD_compressBound(aBytes.size()), '\0');
  const auto size = ZSTD_compress(
    bytes.data(), bytes.size(), aBytes.data(), aBytes.size(), kLevel);
  if (ZSTD_isError(size) != 0 || size >= aBytes.size()) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  // ZSTD_CONTENTSIZE_UNKNOWN and ZSTD_CONTENTSIZE_ERROR exceed any limit.
  const auto size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  if (size > aMaxBytes) {
    return std::nullopt;
  }
  std::string bytes(static_cast<std::size_t>(size), '\0');
  const auto written =
    ZSTD_decompress(bytes.data(), bytes.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(written) != 0 || written != bytes.size()) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace magnoliatide::wire
