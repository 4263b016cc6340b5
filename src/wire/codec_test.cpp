// Tests that messages are decoded as they were encoded, and that modified,
// truncated and replayed ones are rejected.
#include "magnoliatide/wire/codec.h"
#include "magnoliatide/wire/compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace magnoliatide::wire {
namespace {

const std::vector<Key> kKeys = { { "k1", "0123456789abcdef" } };

Datagram
SampleProbe(std::uint64_t aNumber, const std::string& aText)
{
  Datagram message;
  message.header.sender.slot = "a/1";
  message.header.sequence = aNumber;
  Probe probe;
  probe.number = aNumber;
  probe.gossip.members.push_back(
    { aText, "127.0.0.1:1", aNumber, 2, MemberState::kSuspect });
  probe.gossip.rumours.push_back({ RumourKind::kSuspect, aText, aNumber, "1" });
  message.body = probe;
  return message;
}

RC_GTEST_PROP(Codec, RoundTripsMessages, (std::uint64_t aNumber))
{
  const auto text =
    *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
  const Codec codec(kKeys);
  Datagram read;
  const auto bytes = codec.Encode(SampleProbe(aNumber, text));
  if (bytes.size() <= kMaxDatagramBytes) {
    RC_ASSERT(codec.Decode(bytes, read) == DecodeError::kNone);
    const auto& probe = std::get<Probe>(read.body);
    RC_ASSERT(probe.number == aNumber);
    RC_ASSERT(probe.gossip.members[0].slot == text);
    RC_ASSERT(probe.gossip.members[0].state == MemberState::kSuspect);
  }
}

RC_GTEST_PROP(Codec, RejectsMessagesWithAChangedByte, ())
{
  const Codec codec(kKeys);
  auto bytes = codec.Encode(SampleProbe(7, "a/2"));
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(bytes[at] ^ 0x41);
  Datagram read;
  RC_ASSERT(codec.Decode(bytes, read) != DecodeError::kNone);
}

RC_GTEST_PROP(Codec, RejectsTruncatedMessages, ())
{
  const Codec codec(kKeys);
  const auto bytes = codec.Encode(SampleProbe(7, "a/2"));
  const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
  Datagram read;
  RC_ASSERT(codec.Decode(bytes.substr(0, size), read) != DecodeError::kNone);
}

RC_GTEST_PROP(Codec, ToleratesArbitraryPayloads, (const std::string& aPayload))
{
  Datagram datagram;
  Frame frame;
  DecodePayload(aPayload, datagram);
  DecodePayload(aPayload, frame);
}

Frame
SampleItems(int aItems)
{
  Frame message;
  ReplicaUpdate items;
  for (int i = 0; i < aItems; ++i) {
    items.items.push_back(
      { "servers/i-" + std::to_string(i * 7919),
        R"({"service":"language","state":"ready","slots":5,"sequence":)" +
          std::to_string(i * 31) + "}",
        static_cast<std::uint64_t>(i + 1),
        false });
  }
  message.body = std::move(items);
  return message;
}

TEST(Codec, RoundTripsCompressedFrames)
{
  const Codec codec(kKeys);
  const auto sent = SampleItems(500);
  const auto bytes = codec.Encode(sent);
  std::size_t uncompressed = 0;
  const auto& items = std::get<ReplicaUpdate>(sent.body).items;
  for (const auto& item : items) {
    uncompressed += item.key.size() + item.value.size();
  }
  EXPECT_LT(bytes.size(), uncompressed / 3);
  Frame read;
  ASSERT_EQ(codec.Decode(bytes, read), DecodeError::kNone);
  const auto& decoded = std::get<ReplicaUpdate>(read.body).items;
  ASSERT_EQ(decoded.size(), items.size());
  EXPECT_EQ(decoded.back().key, items.back().key);
  EXPECT_EQ(decoded.back().value, items.back().value);
}

RC_GTEST_PROP(Codec, RejectsCompressedFramesWithAChangedByte, ())
{
  const Codec codec(kKeys);
  auto bytes = codec.Encode(SampleItems(100));
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(bytes[at] ^ 0x41);
  Frame read;
  RC_ASSERT(codec.Decode(bytes, read) != DecodeError::kNone);
}

TEST(Compression, RejectsOutputAboveTheLimit)
{
  const std::string zeros(1024 * 1024, '\0');
  const auto bytes = Compress(zeros);
  ASSERT_TRUE(bytes);
  EXPECT_LT(bytes->size(), 1000u);
  EXPECT_FALSE(Decompress(*bytes, zeros.size() - 1));
  EXPECT_EQ(Decompress(*bytes, zeros.size()), zeros);
  EXPECT_FALSE(Compress("short"));
  EXPECT_FALSE(Decompress("no such thing", 100));
}

TEST(Codec, KeyRotationLosesNoMessages)
{
  const Codec before(std::vector<Key>{ { "k1", "0123456789abcdef" } });
  const Codec both(
    { { "k2", "fedcba9876543210" }, { "k1", "0123456789abcdef" } });
  const Codec after(std::vector<Key>{ { "k2", "fedcba9876543210" } });
  Datagram read;
  EXPECT_EQ(both.Decode(before.Encode(SampleProbe(1, "x")), read),
            DecodeError::kNone);
  EXPECT_EQ(after.Decode(both.Encode(SampleProbe(1, "x")), read),
            DecodeError::kNone);
  EXPECT_EQ(after.Decode(before.Encode(SampleProbe(1, "x")), read),
            DecodeError::kUnknownKey);
}

RC_GTEST_PROP(ReplayFilter, AcceptsEachNumberOnce, ())
{
  const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(
    rc::gen::inRange<std::uint64_t>(1, 200));
  ReplayFilter filter;
  std::set<std::uint64_t> seen;
  for (const auto number : numbers) {
    RC_ASSERT(filter.Accept(1, number) == seen.insert(number).second);
  }
}

} // namespace
} // namespace magnoliatide::wire
