// Standard base64 with padding.
#ifndef MAGNOLIATIDE_CORE_BASE64_H
#define MAGNOLIATIDE_CORE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace magnoliatide {

/// Encodes arbitrary bytes.
std::string
EncodeBase64(std::string_view aBytes);

/// Decodes a text. Returns nothing if it is not valid base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace magnoliatide

#endif
