// Digests with OpenSSL, fast hashes with xxHash.
#include "magnoliatide/core/digest.h"

#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <cstdio>

namespace magnoliatide {

std::string
Sha256Hex(std::string_view aText)
{
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(aText.data(), aText.size(), raw, &size, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[raw[i] >> 4];
    hex += kDigits[raw[i] & 15];
  }
  return hex;
}

std::string
HmacSha256(std::string_view aKey, std::string_view aText)
{
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       raw,
       &size);
  return std::string(reinterpret_cast<const char*>(raw), size);
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RandomId()
{
  std::uint64_t value = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value));
  return value;
}

std::string
ToHex(std::uint64_t aValue)
{
  char text[20];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(aValue));
  return text;
}

std::uint64_t
FromHex(std::string_view aText)
{
  constexpr int kBase = 16;
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value, kBase);
  return error == std::errc() && stop == end ? value : 0;
}

} // namespace magnoliatide
