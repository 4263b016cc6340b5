// Messages by cereal's portable binary archive, inside a keyed seal:
// version (1 byte), key name (length and bytes), digest (16 bytes), payload.
// The payload of a frame begins with one byte that tells whether it is
// compressed.
#include "magnoliatide/wire/codec.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/wire/compression.h"

#include <cereal/archives/portable_binary.hpp>

#include <istream>
#include <sstream>
#include <streambuf>

namespace magnoliatide::wire {

namespace {

constexpr std::size_t kDigestBytes = 16;
constexpr std::size_t kMostTextBytes = 2 * 1024 * 1024;
constexpr std::size_t kMostItems = 8192;
constexpr std::size_t kMostProcesses = 4096;

/// Payloads of frames from which on compression is worth its time, in bytes.
constexpr std::size_t kLeastCompressed = 512;

/// The first byte of a frame's payload.
constexpr char kPlain = 0;
constexpr char kCompressed = 1;

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

struct MalformedMessage
{};

/// Number of values of each enumeration that travels.
template<typename T>
constexpr std::uint8_t kValues = 0;
template<>
constexpr std::uint8_t kValues<MemberState> = 4;
template<>
constexpr std::uint8_t kValues<RumourKind> = 2;
template<>
constexpr std::uint8_t kValues<Vote> = 3;
template<>
constexpr std::uint8_t kValues<KeyOutcome> = 4;
template<>
constexpr std::uint8_t kValues<WorkDecision> = 7;

template<typename T>
constexpr bool kIsMessage = std::is_class_v<T>;
template<>
constexpr bool kIsMessage<std::string> = false;
template<typename T>
constexpr bool kIsMessage<std::vector<T>> = false;
template<typename... T>
constexpr bool kIsMessage<std::variant<T...>> = false;

/// True for a type and for its const form.
template<typename T, typename Wanted>
constexpr bool kIs = std::is_same_v<std::remove_const_t<T>, Wanted>;

template<typename Visit, typename... M>
void
Each(Visit& aVisit, M&... aMembers)
{
  (aVisit(aMembers), ...);
}

template<typename Visit, typename T>
void
Members(Visit&& aVisit, T& aV)
{
  if constexpr (kIs<T, MemberRecord>) {
    Each(aVisit, aV.slot, aV.address, aV.process, aV.incarnation, aV.state);
    Each(aVisit, aV.processor, aV.goneSeconds);
  } else if constexpr (kIs<T, DocumentHead>) {
    Each(aVisit, aV.generation, aV.digest);
  } else if constexpr (kIs<T, Header>) {
    Each(aVisit, aV.environment, aV.sequence, aV.sender, aV.head);
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
  } else if constexpr (kIs<T, Owner>) {
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
  } else if constexpr (kIs<T, SlotUse>) {
    Each(aVisit, aV.index, aV.inFlight, aV.finished, aV.late, aV.limit);
  } else if constexpr (kIs<T, SlotDemand>) {
    Each(aVisit, aV.service, aV.zone, aV.shard, aV.waitingByTier);
    Each(aVisit, aV.shedTier, aV.uses);
  } else if constexpr (kIs<T, SlotGrant>) {
    Each(aVisit, aV.index, aV.slots, aV.limit);
  } else if constexpr (kIs<T, SlotGrants>) {
    Each(aVisit, aV.service, aV.zone, aV.shard, aV.leaseMillis);
    Each(aVisit, aV.shedTier, aV.grants);
  } else if constexpr (kIs<T, DocumentRequest>) {
    Each(aVisit, aV.have);
  } else if constexpr (kIs<T, DocumentPart>) {
    Each(aVisit, aV.first, aV.count, aV.text);
  } else if constexpr (kIs<T, DocumentReply>) {
    Each(aVisit, aV.base, aV.parts);
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
    Each(aVisit, aV.refused, aV.latest, aV.incomplete, aV.remembers);
    Each(aVisit, aV.slotsHash);
    Each(aVisit, aV.keys, aV.more, aV.known);
  } else if constexpr (kIs<T, OutcomeRequest>) {
    Each(aVisit, aV.process, aV.attempt);
  } else if constexpr (kIs<T, OutcomeReply>) {
    Each(aVisit, aV.known, aV.outcome, aV.answer);
  } else if constexpr (kIs<T, WorkAsk>) {
    Each(aVisit, aV.number, aV.service, aV.kind, aV.team, aV.tier);
    Each(aVisit, aV.promptTokens, aV.outputTokens, aV.stream, aV.eventTokens);
    Each(aVisit, aV.fingerprint);
    Each(aVisit, aV.ageMillis, aV.targetMillis, aV.gapMillis, aV.leftMillis);
    Each(aVisit, aV.avoid, aV.arrivals, aV.failed, aV.spare, aV.units);
  } else if constexpr (kIs<T, WorkVerdict>) {
    Each(aVisit, aV.number, aV.decision, aV.server, aV.probe);
    Each(aVisit, aV.retryAfterMillis, aV.why);
  } else if constexpr (kIs<T, WorkWithdraw>) {
    Each(aVisit, aV.number);
  } else if constexpr (kIs<T, WorkProgress>) {
    Each(aVisit, aV.number, aV.ended, aV.result, aV.outputTokens);
    Each(aVisit, aV.laterTokens, aV.toFirstMicros, aV.toEndMicros);
  } else if constexpr (kIs<T, WorkRunning>) {
    Each(aVisit, aV.number, aV.service, aV.server, aV.promptTokens);
    Each(aVisit, aV.outputTokens, aV.gapMillis, aV.ageMillis, aV.stream);
    Each(aVisit, aV.firstSeen);
  } else if constexpr (kIs<T, QuotaUse>) {
    Each(aVisit, aV.team, aV.units);
  } else if constexpr (kIs<T, RetryUse>) {
    Each(aVisit, aV.service, aV.requests, aV.repeats);
  } else if constexpr (kIs<T, WorkReport>) {
    Each(aVisit, aV.names, aV.running, aV.complete, aV.quotas, aV.retries);
    Each(aVisit, aV.ageMillis);
  } else if constexpr (kIs<T, PublishedItem>) {
    Each(aVisit, aV.key, aV.value, aV.revision, aV.removed);
  } else if constexpr (kIs<T, PublishedItems>) {
    Each(aVisit, aV.after, aV.upTo, aV.reads, aV.upMillis);
    Each(aVisit, aV.partUpTo, aV.source, aV.whole, aV.items);
  } else if constexpr (kIs<T, PublishedRequest>) {
    Each(aVisit, aV.after, aV.beyond);
  } else {
    static_assert(kIs<T, void>, "the type is no message");
  }
}

/// Writes and reads values. The functions share a class, as they call each
/// other in any order.
struct Fields
{
  // Texts and lists are read only up to a bound, whatever length the message
  // claims.

  static void Transfer(Writer& aArchive, const std::string& aText)
  {
    aArchive(static_cast<std::uint32_t>(aText.size()));
    aArchive(cereal::binary_data(aText.data(), aText.size()));
  }

  static void Transfer(Reader& aArchive, std::string& aText)
  {
    std::uint32_t size = 0;
    aArchive(size);
    if (size > kMostTextBytes) {
      throw MalformedMessage{};
    }
    constexpr std::uint32_t kStep = 64 * 1024;
    aText.clear();
    while (aText.size() < size) {
      const auto begin = aText.size();
      const auto step =
        std::min<std::size_t>(kStep, size - static_cast<std::uint32_t>(begin));
      aText.resize(begin + step);
      aArchive(cereal::binary_data(aText.data() + begin, step));
    }
  }

  template<typename T>
  requires std::is_arithmetic_v<T>
  static void Transfer(Writer& aArchive, const T& aValue) { aArchive(aValue); }

  template<typename T>
  requires std::is_arithmetic_v<T>
  static void Transfer(Reader& aArchive, T& aValue) { aArchive(aValue); }

  template<typename T>
  requires std::is_enum_v<T>
  static void Transfer(Writer& aArchive, const T& aValue)
  {
    aArchive(static_cast<std::uint8_t>(aValue));
  }

  template<typename T>
  requires std::is_enum_v<T>
  static void Transfer(Reader& aArchive, T& aValue)
  {
    std::uint8_t number = 0;
    aArchive(number);
    if (number >= kValues<T>) {
      throw MalformedMessage{};
    }
    aValue = static_cast<T>(number);
  }

  template<typename T>
  requires kIsMessage<T>
  static void Transfer(Writer& aArchive, const T& aValue)
  {
    Members([&](const auto& aMember) { Transfer(aArchive, aMember); }, aValue);
  }

  template<typename T>
  requires kIsMessage<T>
  static void Transfer(Reader& aArchive, T& aValue)
  {
    Members([&](auto& aMember) { Transfer(aArchive, aMember); }, aValue);
  }

  template<typename T>
  static void Transfer(Writer& aArchive, const std::vector<T>& aList)
  {
    aArchive(static_cast<std::uint32_t>(aList.size()));
    for (const auto& item : aList) {
      Transfer(aArchive, item);
    }
  }

  template<typename T>
  static void Transfer(Reader& aArchive, std::vector<T>& aList)
  {
    std::uint32_t size = 0;
    aArchive(size);
    if (size > kMostItems) {
      throw MalformedMessage{};
    }
    aList.clear();
    for (std::uint32_t i = 0; i < size; ++i) {
      aList.emplace_back();
      Transfer(aArchive, aList.back());
    }
  }

  template<typename... T>
  static void Transfer(Writer& aArchive, const std::variant<T...>& aBody)
  {
    aArchive(static_cast<std::uint8_t>(aBody.index()));
    std::visit([&](const auto& aValue) { Transfer(aArchive, aValue); }, aBody);
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
      Transfer(aArchive, aBody.template emplace<Index>());
    } else {
      throw MalformedMessage{};
    }
  }

  template<typename... T>
  static void Transfer(Reader& aArchive, std::variant<T...>& aBody)
  {
    std::uint8_t index = 0;
    aArchive(index);
    ReadAlternative<0>(aArchive, index, aBody);
  }
};

/// Reads from memory without a copy.
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
    Fields::Transfer(archive, aMessage.header);
    Fields::Transfer(archive, aMessage.body);
  }
  return std::move(stream).str();
}

template<typename Body>
DecodeError
DecodeAny(std::string_view aPayload, Message<Body>& aOut)
{
  ViewBuffer buffer(aPayload);
  std::istream stream(&buffer);
  try {
    Reader archive(stream);
    Fields::Transfer(archive, aOut.header);
    Fields::Transfer(archive, aOut.body);
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
  if (aPayload.size() >= kLeastCompressed) {
    const auto compressed = Compress(aPayload);
    if (compressed) {
      return kCompressed + *compressed;
    }
  }
  return kPlain + aPayload;
}

DecodeError
DecodeFrame(std::string_view aPayload, Frame& aOut)
{
  if (aPayload.empty()) {
    return DecodeError::kTruncated;
  }
  const auto rest = aPayload.substr(1);
  if (aPayload.front() == kPlain) {
    return DecodeAny(rest, aOut);
  }
  const auto bytes = aPayload.front() == kCompressed
                       ? Decompress(rest, kMostFrameBytes)
                       : std::nullopt;
  return bytes ? DecodeAny(*bytes, aOut) : DecodeError::kMalformed;
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
Codec::Seal(const std::string& aPayload) const
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
Codec::Open(std::string_view aBytes, std::string_view& aPayload) const
{
  if (aBytes.size() < 2) {
    return DecodeError::kTruncated;
  }
  if (static_cast<std::uint8_t>(aBytes[0]) != kWireVersion) {
    return DecodeError::kBadVersion;
  }
  const auto nameSize = static_cast<std::uint8_t>(aBytes[1]);
  if (aBytes.size() < 2 + nameSize + kDigestBytes) {
    return DecodeError::kTruncated;
  }
  const auto name = aBytes.substr(2, nameSize);
  const auto digest = aBytes.substr(2 + nameSize, kDigestBytes);
  aPayload = aBytes.substr(2 + nameSize + kDigestBytes);
  for (const auto& key : mKeys) {
    if (key.id != name) {
      continue;
    }
    const auto own = HmacSha256(key.secret, aPayload).substr(0, kDigestBytes);
    return EqualInConstantTime(own, digest) ? DecodeError::kNone
                                            : DecodeError::kBadDigest;
  }
  return DecodeError::kUnknownKey;
}

std::string
Codec::Encode(const Datagram& aMessage) const
{
  return Seal(EncodePayload(aMessage));
}

std::string
Codec::Encode(const Frame& aMessage) const
{
  return Seal(EncodeFrame(EncodePayload(aMessage)));
}

DecodeError
Codec::Decode(std::string_view aBytes, Datagram& aOut) const
{
  if (aBytes.size() > kMostDatagramBytes) {
    return DecodeError::kTooLong;
  }
  std::string_view payload;
  const auto error = Open(aBytes, payload);
  return error == DecodeError::kNone ? DecodeAny(payload, aOut) : error;
}

DecodeError
Codec::Decode(std::string_view aBytes, Frame& aOut) const
{
  if (aBytes.size() > kMostFrameBytes) {
    return DecodeError::kTooLong;
  }
  std::string_view payload;
  const auto error = Open(aBytes, payload);
  return error == DecodeError::kNone ? DecodeFrame(payload, aOut) : error;
}

DecodeError
DecodePayload(std::string_view aPayload, Datagram& aOut)
{
  return DecodeAny(aPayload, aOut);
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
    const auto back = window.highest - aSequence;
    const bool repeated = back >= kWindowBits || window.seen.test(back);
    if (repeated) {
      return false;
    }
    window.seen.set(back);
  }
  if (mWindows.size() > kMostProcesses) {
    auto oldest = mWindows.begin();
    for (auto at = mWindows.begin(); at != mWindows.end(); ++at) {
      oldest = at->second.lastUse < oldest->second.lastUse ? at : oldest;
    }
    mWindows.erase(oldest);
  }
  return true;
}

} // namespace magnoliatide::wire
