// Compression by Zstandard.
#include "magnoliatide/wire/compression.h"

#include <zstd.h>

namespace magnoliatide::wire {

namespace {

/// Zstandard's fastest regular level: VMs have little processor time.
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
Decompress(std::string_view aBytes, std::size_t aMostBytes)
{
  // Both ways of not knowing the size are values above any bound.
  const auto size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  if (size > aMostBytes) {
    return std::nullopt;
  }
  std::string bytes(static_cast<std::size_t>(size), '\0');
  const auto made =
    ZSTD_decompress(bytes.data(), bytes.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(made) != 0 || made != bytes.size()) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace magnoliatide::wire
