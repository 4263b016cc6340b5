// Base64 with OpenSSL.
#include "magnoliatide/core/base64.h"

#include <openssl/evp.h>

namespace magnoliatide {

std::string
EncodeBase64(std::string_view aBytes)
{
  constexpr std::size_t kBytesPerGroup = 3;
  constexpr std::size_t kCharsPerGroup = 4;
  const auto groups = (aBytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // EVP_EncodeBlock appends a terminating null character.
  std::string text(groups * kCharsPerGroup + 1, '\0');
  const int written =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(written));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  constexpr std::size_t kCharsPerGroup = 4;
  constexpr std::size_t kBytesPerGroup = 3;
  if (aText.size() % kCharsPerGroup != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kCharsPerGroup * kBytesPerGroup, '\0');
  const int written =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (written < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts padding as zero bytes of output.
  const auto last = aText.find_last_not_of('=');
  const auto padding =
    last == std::string_view::npos ? aText.size() : aText.size() - last - 1;
  if (padding >= kBytesPerGroup) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(written) - padding);
  return bytes;
}

} // namespace magnoliatide
