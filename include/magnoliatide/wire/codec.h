// Encoding and decoding of the messages between VMs. Messages carry a version,
// are limited in size and are authenticated by an HMAC.
#ifndef MAGNOLIATIDE_WIRE_CODEC_H
#define MAGNOLIATIDE_WIRE_CODEC_H

#include "magnoliatide/wire/messages.h"

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliatide::wire {

/// Maximum size of a datagram; fits into one Ethernet frame.
constexpr std::size_t kMaxDatagramBytes = 1400;

/// Maximum size of a frame, the message unit on TCP connections.
constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;

/// Maximum size of a string in a message.
constexpr std::size_t kMaxStringBytes = 2 * 1024 * 1024;

/// A named HMAC key.
struct Key
{
  std::string id; ///< At most 255 bytes.
  std::string secret;
};

/// The first byte of every message. Every change to a message type must
/// increment it: VMs drop messages of any other version.
constexpr std::uint8_t kWireVersion = 6;

/// Why a message was dropped.
enum class DecodeError
{
  kNone,
  kTooLong,
  kTruncated,
  kBadVersion,
  kUnknownKey,
  kBadDigest, ///< The HMAC does not match.
  kMalformed, ///< The payload is not a valid message.
  kForeign,   ///< Sent by a VM of another environment.
  kReplayed,  ///< The sequence number was received before.
};

/// Returns the stable name of an error, used as a metric label.
const char*
Name(DecodeError aError);

/// A message: a header and one of the alternatives of Body.
template<typename Body>
struct Message
{
  Header header;
  Body body;
};

using Datagram = Message<DatagramBody>;
using Frame = Message<FrameBody>;

/// Encodes and decodes messages. The first key signs, and every key verifies.
/// To rotate keys, add the new one on all VMs before moving it to the front.
class Codec
{
public:
  /// @param aKeys At least one key is required to encode.
  explicit Codec(std::vector<Key> aKeys);

  /// Encodes and signs a message. Does not check its size.
  std::string Encode(const Datagram& aMessage) const;
  std::string Encode(const Frame& aMessage) const;

  /// Verifies and decodes a message. aOut is valid only if kNone is returned.
  /// kForeign and kReplayed are left to the receiver to detect.
  DecodeError Decode(std::string_view aBytes, Datagram& aOut) const;
  DecodeError Decode(std::string_view aBytes, Frame& aOut) const;

private:
  std::string Sign(const std::string& aPayload) const;
  DecodeError Verify(std::string_view aBytes, std::string_view& aPayload) const;

  std::vector<Key> mKeys;
};

/// Decodes a payload without header and signature; for tests and fuzzing.
DecodeError
DecodePayload(std::string_view aPayload, Datagram& aOut);
DecodeError
DecodePayload(std::string_view aPayload, Frame& aOut);

/// Detects replayed messages by their sequence numbers, which are tracked
/// separately for each process.
class ReplayFilter
{
public:
  /// Records a sequence number and returns whether it is new. Numbers that are
  /// kWindowBits or more below the highest one count as replayed.
  bool Accept(std::uint64_t aProcess, std::uint64_t aSequence);

private:
  static constexpr std::size_t kWindowBits = 1024;

  struct Window
  {
    std::uint64_t highest = 0;
    /// Bit i represents the number highest - i.
    std::bitset<kWindowBits> seen;
    std::uint64_t lastUse = 0; ///< Value of mUses at the last call.
  };

  std::map<std::uint64_t, Window> mWindows; ///< By process.
  std::uint64_t mUses = 0;                  ///< Number of calls of Accept().
};

} // namespace magnoliatide::wire

#endif
