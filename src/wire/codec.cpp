// Message format: version (1 byte), key id (length byte and bytes), HMAC-SHA256
// of the payload truncated to 16 bytes, payload. The payload is written by
// cereal's portable binary archive; that of a frame is preceded by one byte
// that indicates whether it is compressed.
#include "magnoliatide/wire/codec.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/wire/compression.h"

#include <cereal/archives/portable_binary.hpp>

#include <istream>
#include <sstream>
#include <streambuf>

namespace magnoliatide::wire {

namespace {

constexpr std::size_t kDigestBytes = 16; ///< Size of the truncated HMAC.
constexpr std::size_t kMaxListItems = 8192;
/// Processes whose sequence numbers a ReplayFilter tracks.
constexpr std::size_t kMaxProcesses = 4096;

/// Frame payloads below this size are not compressed, as it would not be worth
/// the CPU time.
constexpr std::size_t kMinCompressedBytes = 512;

/// Values of the first byte of a frame's payload.
constexpr char kUncompressed = 0;
constexpr char kCompressed = 1;

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

struct MalformedMessage
{};

/// Number of values of each enumeration in messages. A received value that is
/// not below it is rejected.
template<typename T>
constexpr std::uint8_t kEnumValueCount = 0;
template<>
constexpr std::uint8_t kEnumValueCount<MemberState> = 4;
template<>
constexpr std::uint8_t kEnumValueCount<RumourKind> = 4;
template<>
constexpr std::uint8_t kEnumValueCount<Vote> = 3;
template<>
constexpr std::uint8_t kEnumValueCount<KeyOutcome> = 4;
template<>
constexpr std::uint8_t kEnumValueCount<DispatchDecision> = 8;

/// Whether T is a struct from messages.h, which is encoded field by field.
template<typename T>
constexpr bool kIsMessage = std::is_class_v<T>;
template<>
constexpr bool kIsMessage<std::string> = false;
template<typename T>
constexpr bool kIsMessage<std::vector<T>> = false;
template<typename... T>
constexpr bool kIsMessage<std::variant<T...>> = false;

/// Whether T is Expected or const Expected.
template<typename T, typename Expected>
constexpr bool kIs = std::is_same_v<std::remove_const_t<T>, Expected>;

/// Calls a visitor with each of the given fields.
template<typename Visit, typename... Field>
void
Each(Visit& aVisit, Field&... aFields)
{
  (aVisit(aFields), ...);
}

/// Visits the fields of a message in the order in which they are encoded.
template<typename Visit, typename T>
void
VisitFields(Visit&& aVisit, T& aV)
{
  if constexpr (kIs<T, MemberRecord>) {
    Each(aVisit, aV.slot, aV.address, aV.process, aV.incarnation, aV.state);
    Each(aVisit, aV.cpuMillicores, aV.departedSeconds);
  } else if constexpr (kIs<T, DocumentVersion>) {
    Each(aVisit, aV.generation, aV.digest);
  } else if constexpr (kIs<T, Header>) {
    Each(aVisit, aV.environment, aV.sequence, aV.sender, aV.documentVersion);
    Each(aVisit, aV.revision);
  } else if constexpr (kIs<T, Rumour>) {
    Each(aVisit, aV.kind, aV.key, aV.version, aV.value, aV.ageSeconds);
  } else if constexpr (kIs<T, Gossip>) {
    Each(aVisit, aV.members, aV.rumours, aV.rumourDigest);
  } else if constexpr (kIs<T, Probe> || kIs<T, ProbeAck>) {
    Each(aVisit, aV.number, aV.gossip);
  } else if constexpr (kIs<T, ProbeRequest>) {
    Each(aVisit, aV.number, aV.targetSlot, aV.targetAddress);
  } else if constexpr (kIs<T, Incarnation>) {
    Each(aVisit, aV.number, aV.process);
  } else if constexpr (kIs<T, SlotIncarnation>) {
    Each(aVisit, aV.slot, aV.incarnation);
  } else if constexpr (kIs<T, Ballot>) {
    Each(aVisit, aV.round, aV.proposer);
  } else if constexpr (kIs<T, KeyOwner>) {
    Each(aVisit, aV.slot, aV.process, aV.attempt, aV.fingerprint);
  } else if constexpr (kIs<T, KeyAnswer>) {
    Each(aVisit, aV.status, aV.contentType, aV.body);
  } else if constexpr (kIs<T, ClaimPrepare>) {
    Each(aVisit, aV.proposal, aV.key, aV.epoch, aV.electorate, aV.ballot);
  } else if constexpr (kIs<T, ClaimAccept>) {
    Each(aVisit, aV.proposal, aV.key, aV.epoch, aV.electorate, aV.ballot);
    Each(aVisit, aV.owner);
  } else if constexpr (kIs<T, ClaimVote>) {
    Each(aVisit, aV.proposal, aV.accepting, aV.ballot, aV.vote, aV.promised);
    Each(aVisit, aV.hasAccepted, aV.acceptedBallot, aV.accepted, aV.outcome);
    Each(aVisit, aV.answer, aV.slot, aV.incarnation, aV.known);
  } else if constexpr (kIs<T, ClaimOutcome>) {
    Each(aVisit, aV.key, aV.epoch, aV.owner, aV.outcome, aV.answer);
  } else if constexpr (kIs<T, SlotUsage>) {
    Each(aVisit, aV.index, aV.inFlight, aV.finished, aV.late, aV.limit);
  } else if constexpr (kIs<T, SlotDemand>) {
    Each(aVisit, aV.service, aV.zone, aV.shard, aV.waitingByTier);
    Each(aVisit, aV.shedTier, aV.usages);
  } else if constexpr (kIs<T, SlotGrant>) {
    Each(aVisit, aV.index, aV.slots, aV.limit);
  } else if constexpr (kIs<T, SlotGrants>) {
    Each(aVisit, aV.service, aV.zone, aV.shard, aV.leaseMillis);
    Each(aVisit, aV.shedTier, aV.grants);
  } else if constexpr (kIs<T, DocumentRequest>) {
    Each(aVisit, aV.heldVersion);
  } else if constexpr (kIs<T, DocumentDeltaOp>) {
    Each(aVisit, aV.first, aV.count, aV.text);
  } else if constexpr (kIs<T, DocumentReply>) {
    Each(aVisit, aV.base, aV.ops);
  } else if constexpr (kIs<T, SyncRequest> || kIs<T, SyncReply>) {
    Each(aVisit, aV.gossip);
  } else if constexpr (kIs<T, CopyRequest>) {
    Each(aVisit, aV.slot, aV.incarnation, aV.after);
  } else if constexpr (kIs<T, CopiedEpoch>) {
    Each(aVisit, aV.epoch, aV.promised, aV.hasAccepted, aV.acceptedBallot);
    Each(aVisit, aV.accepted, aV.outcome, aV.answer);
  } else if constexpr (kIs<T, CopiedKey>) {
    Each(aVisit, aV.key, aV.ageMillis, aV.epochs);
  } else if constexpr (kIs<T, CopyReply>) {
    Each(aVisit, aV.refused, aV.latest, aV.incomplete, aV.hasOwnVotes);
    Each(aVisit, aV.slotsHash);
    Each(aVisit, aV.keys, aV.more, aV.known);
  } else if constexpr (kIs<T, OutcomeRequest>) {
    Each(aVisit, aV.process, aV.attempt);
  } else if constexpr (kIs<T, OutcomeReply>) {
    Each(aVisit, aV.known, aV.outcome, aV.answer);
  } else if constexpr (kIs<T, DispatchRequest>) {
    Each(aVisit, aV.number, aV.service, aV.kind, aV.team, aV.tier);
    Each(aVisit, aV.promptTokens, aV.outputTokens, aV.stream, aV.eventTokens);
    Each(aVisit, aV.fingerprint, aV.sharedParts);
    Each(aVisit,
         aV.ageMillis,
         aV.targetMillis,
         aV.gapTargetMillis,
         aV.remainingMillis);
    Each(aVisit,
         aV.excludedServers,
         aV.onlyServer,
         aV.serversReached,
         aV.failed,
         aV.retryAllowed,
         aV.counted,
         aV.units,
         aV.delayMillis);
  } else if constexpr (kIs<T, DispatchReply>) {
    Each(aVisit, aV.number, aV.decision, aV.server, aV.probe, aV.trial);
    Each(aVisit, aV.retryAfterMillis, aV.why);
  } else if constexpr (kIs<T, DispatchCancel>) {
    Each(aVisit, aV.number);
  } else if constexpr (kIs<T, DispatchProgress>) {
    Each(aVisit, aV.number, aV.ended, aV.result, aV.outputTokens);
    Each(aVisit, aV.laterTokens, aV.firstEventMicros, aV.totalMicros);
    Each(aVisit, aV.serverDown, aV.hasHead, aV.rateLimit);
    Each(aVisit, aV.backoffMillis);
  } else if constexpr (kIs<T, RunningRequest>) {
    Each(aVisit, aV.number, aV.service, aV.server, aV.promptTokens);
    Each(aVisit, aV.outputTokens, aV.gapTargetMillis, aV.ageMillis, aV.stream);
    Each(aVisit, aV.firstEventSeen);
  } else if constexpr (kIs<T, QuotaUsage>) {
    Each(aVisit, aV.team, aV.units);
  } else if constexpr (kIs<T, RetryUsage>) {
    Each(aVisit, aV.service, aV.requests, aV.retries);
  } else if constexpr (kIs<T, ServerRateLimit>) {
    Each(aVisit, aV.server, aV.started, aV.perSecond, aV.ageMillis);
  } else if constexpr (kIs<T, ServerBackoff>) {
    Each(aVisit, aV.server, aV.started, aV.remainingMillis);
  } else if constexpr (kIs<T, DispatchReport>) {
    Each(aVisit, aV.names, aV.running, aV.complete, aV.quotas, aV.retries);
    Each(aVisit, aV.rateLimits, aV.backoffs, aV.ageMillis);
  } else if constexpr (kIs<T, ReplicaItem>) {
    Each(aVisit, aV.key, aV.value, aV.revision, aV.removed);
  } else if constexpr (kIs<T, ReplicaUpdate>) {
    Each(aVisit, aV.after, aV.upTo, aV.readsStore, aV.storeUpMillis);
    Each(aVisit, aV.pageUpTo, aV.source, aV.isSnapshot, aV.items);
  } else if constexpr (kIs<T, ReplicaRequest>) {
    Each(aVisit, aV.after, aV.resumeAfter);
  } else {
    static_assert(kIs<T, void>, "the type is not a message");
  }
}

/// Serializes and deserializes values. The overloads are static members of one
/// class so that they can call each other regardless of their order.
struct Serializer
{
  // The lengths of strings and lists are limited when read, so that a forged
  // length cannot exhaust the memory. Strings are read in chunks, so that their
  // memory grows only with the bytes that were received.

  static void Serialize(Writer& aArchive, const std::string& aText)
  {
    aArchive(static_cast<std::uint32_t>(aText.size()));
    aArchive(cereal::binary_data(aText.data(), aText.size()));
  }

  static void Serialize(Reader& aArchive, std::string& aText)
  {
    std::uint32_t size = 0;
    aArchive(size);
    if (size > kMaxStringBytes) {
      throw MalformedMessage{};
    }
    constexpr std::uint32_t kChunkBytes = 64 * 1024;
    aText.clear();
    while (aText.size() < size) {
      const auto begin = aText.size();
      const auto chunk = std::min<std::size_t>(
        kChunkBytes, size - static_cast<std::uint32_t>(begin));
      aText.resize(begin + chunk);
      aArchive(cereal::binary_data(aText.data() + begin, chunk));
    }
  }

  template<typename T>
  requires std::is_arithmetic_v<T>
  static void Serialize(Writer& aArchive, const T& aValue) { aArchive(aValue); }

  template<typename T>
  requires std::is_arithmetic_v<T>
  static void Serialize(Reader& aArchive, T& aValue) { aArchive(aValue); }

  template<typename T>
  requires std::is_enum_v<T>
  static void Serialize(Writer& aArchive, const T& aValue)
  {
    aArchive(static_cast<std::uint8_t>(aValue));
  }

  template<typename T>
  requires std::is_enum_v<T>
  static void Serialize(Reader& aArchive, T& aValue)
  {
    std::uint8_t number = 0;
    aArchive(number);
    if (number >= kEnumValueCount<T>) {
      throw MalformedMessage{};
    }
    aValue = static_cast<T>(number);
  }

  template<typename T>
  requires kIsMessage<T>
  static void Serialize(Writer& aArchive, const T& aValue)
  {
    VisitFields([&](const auto& aField) { Serialize(aArchive, aField); },
                aValue);
  }

  template<typename T>
  requires kIsMessage<T>
  static void Serialize(Reader& aArchive, T& aValue)
  {
    VisitFields([&](auto& aField) { Serialize(aArchive, aField); }, aValue);
  }

  template<typename T>
  static void Serialize(Writer& aArchive, const std::vector<T>& aList)
  {
    aArchive(static_cast<std::uint32_t>(aList.size()));
    for (const auto& item : aList) {
      Serialize(aArchive, item);
    }
  }

  template<typename T>
  static void Serialize(Reader& aArchive, std::vector<T>& aList)
  {
    std::uint32_t size = 0;
    aArchive(size);
    if (size > kMaxListItems) {
      throw MalformedMessage{};
    }
    aList.clear();
    for (std::uint32_t i = 0; i < size; ++i) {
      aList.emplace_back();
      Serialize(aArchive, aList.back());
    }
  }

  template<typename... T>
  static void Serialize(Writer& aArchive, const std::variant<T...>& aBody)
  {
    aArchive(static_cast<std::uint8_t>(aBody.index()));
    std::visit([&](const auto& aValue) { Serialize(aArchive, aValue); }, aBody);
  }

  template<std::size_t Index, typename... T>
  static void ReadAlternative(Reader& aArchive,
                              std::uint8_t aIndex,
                              std::variant<T...>& aBody)
  {
    if constexpr (Index < sizeof...(T)) {
      if (aIndex != Index) {
        ReadAlternative<Index + 1>(aArchive, aIndex, aBody);
        return;
      }
      Serialize(aArchive, aBody.template emplace<Index>());
    } else {
      throw MalformedMessage{};
    }
  }

  template<typename... T>
  static void Serialize(Reader& aArchive, std::variant<T...>& aBody)
  {
    std::uint8_t index = 0;
    aArchive(index);
    ReadAlternative<0>(aArchive, index, aBody);
  }
};

/// A read-only stream buffer over memory that it does not copy.
class ViewBuffer : public std::streambuf
{
public:
  explicit ViewBuffer(std::string_view aView)
  {
    char* begin = const_cast<char*>(aView.data());
    setg(begin, begin, begin + aView.size());
  }

  bool AtEnd() const { return gptr() == egptr(); }
};

template<typename Body>
std::string
EncodePayload(const Message<Body>& aMessage)
{
  std::ostringstream stream;
  {
    Writer archive(stream);
    Serializer::Serialize(archive, aMessage.header);
    Serializer::Serialize(archive, aMessage.body);
  }
  return std::move(stream).str();
}

template<typename Body>
DecodeError
DecodeMessage(std::string_view aPayload, Message<Body>& aOut)
{
  ViewBuffer buffer(aPayload);
  std::istream stream(&buffer);
  try {
    Reader archive(stream);
    Serializer::Serialize(archive, aOut.header);
    Serializer::Serialize(archive, aOut.body);
  } catch (const MalformedMessage&) {
    return DecodeError::kMalformed;
  } catch (const cereal::Exception&) {
    return DecodeError::kTruncated;
  }
  return buffer.AtEnd() ? DecodeError::kNone : DecodeError::kMalformed;
}

std::string
EncodeFrame(const std::string& aPayload)
{
  if (aPayload.size() >= kMinCompressedBytes) {
    const auto compressed = Compress(aPayload);
    if (compressed) {
      return kCompressed + *compressed;
    }
  }
  return kUncompressed + aPayload;
}

DecodeError
DecodeFrame(std::string_view aPayload, Frame& aOut)
{
  if (aPayload.empty()) {
    return DecodeError::kTruncated;
  }
  const auto rest = aPayload.substr(1);
  if (aPayload.front() == kUncompressed) {
    return DecodeMessage(rest, aOut);
  }
  const auto bytes = aPayload.front() == kCompressed
                       ? Decompress(rest, kMaxFrameBytes)
                       : std::nullopt;
  return bytes ? DecodeMessage(*bytes, aOut) : DecodeError::kMalformed;
}

} // namespace

const char*
Name(DecodeError aError)
{
  switch (aError) {
    case DecodeError::kNone:
      return "none";
    case DecodeError::kTooLong:
      return "too-long";
    case DecodeError::kTruncated:
      return "truncated";
    case DecodeError::kBadVersion:
      return "bad-version";
    case DecodeError::kUnknownKey:
      return "unknown-key";
    case DecodeError::kBadDigest:
      return "bad-digest";
    case DecodeError::kMalformed:
      return "malformed";
    case DecodeError::kForeign:
      return "foreign";
    case DecodeError::kReplayed:
      return "replayed";
  }
  return "unknown";
}

Codec::Codec(std::vector<Key> aKeys)
  : mKeys(std::move(aKeys))
{
}

std::string
Codec::Sign(const std::string& aPayload) const
{
  const auto& key = mKeys.front();
  std::string bytes;
  bytes += static_cast<char>(kWireVersion);
  bytes += static_cast<char>(key.id.size());
  bytes += key.id;
  bytes += HmacSha256(key.secret, aPayload).substr(0, kDigestBytes);
  bytes += aPayload;
  return bytes;
}

DecodeError
Codec::Verify(std::string_view aBytes, std::string_view& aPayload) const
{
  if (aBytes.size() < 2) {
    return DecodeError::kTruncated;
  }
  if (static_cast<std::uint8_t>(aBytes[0]) != kWireVersion) {
    return DecodeError::kBadVersion;
  }
  const auto keyIdSize = static_cast<std::uint8_t>(aBytes[1]);
  if (aBytes.size() < 2 + keyIdSize + kDigestBytes) {
    return DecodeError::kTruncated;
  }
  const auto keyId = aBytes.substr(2, keyIdSize);
  const auto digest = aBytes.substr(2 + keyIdSize, kDigestBytes);
  aPayload = aBytes.substr(2 + keyIdSize + kDigestBytes);
  for (const auto& key : mKeys) {
    if (key.id != keyId) {
      continue;
    }
    const auto expected =
      HmacSha256(key.secret, aPayload).substr(0, kDigestBytes);
    return EqualInConstantTime(expected, digest) ? DecodeError::kNone
                                                 : DecodeError::kBadDigest;
  }
  return DecodeError::kUnknownKey;
}

std::string
Codec::Encode(const Datagram& aMessage) const
{
  return Sign(EncodePayload(aMessage));
}

std::string
Codec::Encode(const Frame& aMessage) const
{
  return Sign(EncodeFrame(EncodePayload(aMessage)));
}

DecodeError
Codec::Decode(std::string_view aBytes, Datagram& aOut) const
{
  if (aBytes.size() > kMaxDatagramBytes) {
    return DecodeError::kTooLong;
  }
  std::string_view payload;
  const auto error = Verify(aBytes, payload);
  return error == DecodeError::kNone ? DecodeMessage(payload, aOut) : error;
}

DecodeError
Codec::Decode(std::string_view aBytes, Frame& aOut) const
{
  if (aBytes.size() > kMaxFrameBytes) {
    return DecodeError::kTooLong;
  }
  std::string_view payload;
  const auto error = Verify(aBytes, payload);
  return error == DecodeError::kNone ? DecodeFrame(payload, aOut) : error;
}

DecodeError
DecodePayload(std::string_view aPayload, Datagram& aOut)
{
  return DecodeMessage(aPayload, aOut);
}

DecodeError
DecodePayload(std::string_view aPayload, Frame& aOut)
{
  return DecodeFrame(aPayload, aOut);
}

bool
ReplayFilter::Accept(std::uint64_t aProcess, std::uint64_t aSequence)
{
  auto& window = mWindows[aProcess];
  window.lastUse = ++mUses;
  if (aSequence > window.highest) {
    const auto shift = aSequence - window.highest;
    window.seen <<= std::min<std::uint64_t>(shift, kWindowBits);
    window.seen.set(0);
    window.highest = aSequence;
  } else {
    const auto offset = window.highest - aSequence;
    const bool repeated = offset >= kWindowBits || window.seen.test(offset);
    if (repeated) {
      return false;
    }
    window.seen.set(offset);
  }
  // Evicts the process whose last message is the oldest.
  if (mWindows.size() > kMaxProcesses) {
    auto oldest = mWindows.begin();
    for (auto it = mWindows.begin(); it != mWindows.end(); ++it) {
      oldest = it->second.lastUse < oldest->second.lastUse ? it : oldest;
    }
    mWindows.erase(oldest);
  }
  return true;
}

} // namespace magnoliatide::wire
