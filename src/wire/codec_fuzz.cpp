// Fuzzes the decoding of payloads without a signature, and of whole datagrams.
#include "magnoliatide/wire/codec.h"

#include <cstddef>
#include <cstdint>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace magnoliatide::wire;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  Datagram datagram;
  DecodePayload(bytes, datagram);
  Frame frame;
  DecodePayload(bytes, frame);
  const Codec codec(std::vector<Key>{ { "k1", "0123456789abcdef" } });
  codec.Decode(bytes, datagram);
  return 0;
}
