// Digests, hashes and random identifiers.
#ifndef MAGNOLIATIDE_CORE_DIGEST_H
#define MAGNOLIATIDE_CORE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliatide {

/// Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);

/// Returns the raw HMAC-SHA256 of a text, 32 bytes.
std::string
HmacSha256(std::string_view aKey, std::string_view aText);

/// Compares two texts in a time that depends only on their lengths.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/// Returns a fast 64-bit hash, which is the same on every machine.
std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed = 0);

/// Returns 64 random bits from the operating system.
std::uint64_t
RandomId();

/// Formats 64 bits as 16 hexadecimal digits.
std::string
ToHex(std::uint64_t aValue);

/// Parses hexadecimal digits. Returns 0 if the text is invalid.
std::uint64_t
FromHex(std::string_view aText);

} // namespace magnoliatide

#endif
