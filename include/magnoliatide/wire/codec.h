// Encoding of messages: versioned, bounded, authenticated by a keyed digest.
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

/// Largest datagram, in bytes; fits one Ethernet frame.
constexpr std::size_t kMostDatagramBytes = 1400;

/// Largest frame, in bytes.
constexpr std::size_t kMostFrameBytes = 4 * 1024 * 1024;

/// A key by its name.
struct Key
{
  std::string id;
  std::string secret;
};

/// The first byte of each message. VMs of different versions drop what they
/// send each other, so each change of a message raises it.
constexpr std::uint8_t kWireVersion = 2;

/// Why a message was dropped.
enum class DecodeError
{
  kNone,
  kTooLong,
  kTruncated,
  kBadVersion,
  kUnknownKey,
  kBadDigest,
  kMalformed,
  kForeign,  ///< Of another environment.
  kReplayed, ///< Its sequence number was seen before.
};

/// Returns the stable name of an error, for counters.
const char*
Name(DecodeError aError);

template<typename Body>
struct Message
{
  Header header;
  Body body;
};

using Datagram = Message<DatagramBody>;
using Frame = Message<FrameBody>;

/// Encodes and decodes. The first key signs; all of them verify, so keys are
/// rotated by adding the new one everywhere before it comes first.
class Codec
{
public:
  explicit Codec(std::vector<Key> aKeys);

  std::string Encode(const Datagram& aMessage) const;
  std::string Encode(const Frame& aMessage) const;

  DecodeError Decode(std::string_view aBytes, Datagram& aOut) const;
  DecodeError Decode(std::string_view aBytes, Frame& aOut) const;

private:
  std::string Seal(const std::string& aPayload) const;
  DecodeError Open(std::string_view aBytes, std::string_view& aPayload) const;

  std::vector<Key> mKeys;
};

/// Decodes a payload without its seal; for tests and fuzzing.
DecodeError
DecodePayload(std::string_view aPayload, Datagram& aOut);
DecodeError
DecodePayload(std::string_view aPayload, Frame& aOut);

/// Recognises repeated sequence numbers, for each process apart.
class ReplayFilter
{
public:
  /// Returns whether a number is new, and notes it. Numbers far below the
  /// highest one seen count as repeated.
  bool Accept(std::uint64_t aProcess, std::uint64_t aSequence);

private:
  static constexpr std::size_t kWindowBits = 1024;

  struct Window
  {
    std::uint64_t highest = 0;
    /// Bit i stands for the number highest - i.
    std::bitset<kWindowBits> seen;
    std::uint64_t lastUse = 0;
  };

  std::map<std::uint64_t, Window> mWindows;
  std::uint64_t mUses = 0;
};

} // namespace magnoliatide::wire

#endif
