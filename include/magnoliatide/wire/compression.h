// Compression of frames between VMs.
#ifndef MAGNOLIATIDE_WIRE_COMPRESSION_H
#define MAGNOLIATIDE_WIRE_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliatide::wire {

/// Returns the compressed bytes, or nothing if they would not be shorter.
std::optional<std::string>
Compress(std::string_view aBytes);

/// Returns the decompressed bytes, or nothing if the input is corrupt or would
/// expand to more than aMaxBytes.
std::optional<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace magnoliatide::wire

#endif
