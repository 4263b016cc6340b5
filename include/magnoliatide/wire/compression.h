// Compression of large messages between VMs.
#ifndef MAGNOLIATIDE_WIRE_COMPRESSION_H
#define MAGNOLIATIDE_WIRE_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliatide::wire {

/// Returns the bytes compressed, or nothing if that makes them no shorter.
std::optional<std::string>
Compress(std::string_view aBytes);

/// Returns what was compressed, or nothing if the bytes are damaged or would
/// become longer than a bound.
std::optional<std::string>
Decompress(std::string_view aBytes, std::size_t aMostBytes);

} // namespace magnoliatide::wire

#endif
