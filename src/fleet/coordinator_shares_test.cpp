// The shares of a VM in calm, during a takeover and during a partition.
#include "magnoliatide/fleet/coordinator_shares.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnoliatide::fleet {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));
constexpr std::size_t kVms = 6;
constexpr double kOwn = 1.0 / kVms;

/// Returns all VMs in the order of their rank. The process of the first is 1.
std::vector<wire::MemberRecord>
AllAlive()
{
  std::vector<wire::MemberRecord> records;
  for (std::size_t i = 1; i <= kVms; ++i) {
    wire::MemberRecord record;
    record.slot = "z/" + std::to_string(i);
    record.process = i;
    record.incarnation = i;
    records.push_back(record);
  }
  return records;
}

TEST(CoordinatorShares, TheFirstVmGrantsEverything)
{
  CoordinatorShares shares(1);
  shares.SetMembers(AllAlive(), kVms, kStart);
  EXPECT_EQ(shares.SlotShare(kStart), 1.0);
  EXPECT_EQ(shares.LimitShare(kStart), 1.0);
}

TEST(CoordinatorShares, AVmThatNoOtherAsksGrantsItsOwnShare)
{
  CoordinatorShares shares(3);
  shares.SetMembers(AllAlive(), kVms, kStart);
  EXPECT_DOUBLE_EQ(shares.SlotShare(kStart), kOwn);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart), kOwn);
}

// Guards against a quota that is exceeded in a partition: a VM that is cut off
// and suspects those before it granted the whole quota.
TEST(CoordinatorShares, AVmThatIsCutOffGrantsItsOwnShareWhileItSuspectsOthers)
{
  CoordinatorShares shares(3);
  auto members = AllAlive();
  for (const std::size_t suspect : { 0, 1, 3, 4, 5 }) {
    members[suspect].state = wire::MemberState::kSuspect;
    shares.SetMembers(members, kVms, kStart);
    EXPECT_DOUBLE_EQ(shares.LimitShare(kStart), kOwn) << suspect;
  }
}

// Guards against a quota that is exceeded in a partition: the first VM, cut
// off, granted the shares of VMs that it suspects.
TEST(CoordinatorShares, TheFirstVmDoesNotGrantTheSharesOfSuspectedVms)
{
  CoordinatorShares shares(1);
  auto members = AllAlive();
  members[4].state = wire::MemberState::kSuspect;
  members[5].state = wire::MemberState::kSuspect;
  shares.SetMembers(members, kVms, kStart);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart), 4 * kOwn);
  EXPECT_EQ(shares.SlotShare(kStart), 1.0);
}

// Guards against a quota that is exceeded in a partition: a VM that two others
// turned to granted the shares of all, while the first VM served the rest.
TEST(CoordinatorShares, AVmInPlaceOfTheFirstGrantsTheSharesOfThoseThatAskIt)
{
  CoordinatorShares shares(2);
  shares.SetMembers(AllAlive(), kVms, kStart);
  shares.RecordRequest(3, kStart);
  shares.RecordRequest(3, kStart);
  shares.RecordRequest(4, kStart);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart), 3 * kOwn);
  EXPECT_EQ(shares.SlotShare(kStart), 1.0);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart + Seconds(2)), kOwn);
}

// Guards against requests that are refused below their quota after the first VM
// has crashed: all others ask the next one at once.
TEST(CoordinatorShares, ATakeoverAfterACrashGrantsTheSharesOfAllOthers)
{
  CoordinatorShares shares(2);
  auto members = AllAlive();
  shares.SetMembers(members, kVms, kStart);
  for (std::uint64_t vm = 3; vm <= kVms; ++vm) {
    shares.RecordRequest(vm, kStart);
  }
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart), 5 * kOwn);
  members[0].state = wire::MemberState::kSuspect;
  shares.SetMembers(members, kVms, kStart);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart), 5 * kOwn);
  members.erase(members.begin());
  shares.SetMembers(members, kVms, kStart);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart + Seconds(2)), 5 * kOwn);
}

// Guards against requests that are refused below their quota after a planned
// restart of the first VM.
TEST(CoordinatorShares, ATakeoverAfterAPlannedStopGrantsEverything)
{
  CoordinatorShares shares(2);
  auto members = AllAlive();
  members.erase(members.begin());
  shares.SetMembers(members, kVms - 1, kStart);
  EXPECT_EQ(shares.LimitShare(kStart), 1.0);
}

TEST(CoordinatorShares, AVmThatLeavesServesThoseThatStillAskIt)
{
  CoordinatorShares shares(1);
  auto members = AllAlive();
  shares.SetMembers(members, kVms, kStart);
  for (std::uint64_t vm = 2; vm <= kVms; ++vm) {
    shares.RecordRequest(vm, kStart);
  }
  members.erase(members.begin());
  shares.SetMembers(members, kVms - 1, kStart);
  EXPECT_EQ(shares.LimitShare(kStart), 1.0);
  EXPECT_DOUBLE_EQ(shares.LimitShare(kStart + Seconds(2)), 1.0 / (kVms - 1));
}

// Guards against retries far beyond the budget after the loss of all VMs: each
// VM knew of no other at first and granted all of the constant part.
TEST(CoordinatorShares, AVmThatStillLearnsOfOthersGrantsFewRetries)
{
  constexpr std::size_t kServers = 40;
  CoordinatorShares shares(1);
  shares.SetServers(kServers);
  std::vector<wire::MemberRecord> known;
  TimePoint now = kStart;
  for (const auto& record : AllAlive()) {
    known.push_back(record);
    shares.SetMembers(known, known.size(), now);
    EXPECT_EQ(shares.LimitShare(now), 1.0);
    EXPECT_LE(shares.RetryShare(now),
              static_cast<double>(known.size()) / kServers);
    now += Milliseconds(900);
  }
  EXPECT_LT(shares.RetryShare(now), 1.0);
  now += Milliseconds(100);
  EXPECT_EQ(shares.RetryShare(now), 1.0);
}

// Guards against the same if joining takes longer than a second: hundreds of
// VMs took themselves for the only one then.
TEST(CoordinatorShares, AVmThatIsAloneGrantsFewRetriesForLonger)
{
  CoordinatorShares shares(1);
  shares.SetServers(40);
  shares.SetMembers({ AllAlive().front() }, 1, kStart);
  EXPECT_DOUBLE_EQ(shares.RetryShare(kStart + Milliseconds(4900)), 1.0 / 40);
  EXPECT_EQ(shares.RetryShare(kStart + Seconds(5)), 1.0);
}

// Guards against a VM that gives up its part whenever another one joins.
TEST(CoordinatorShares, AVmThatJoinsLaterDoesNotReduceTheRetries)
{
  CoordinatorShares shares(1);
  shares.SetServers(40);
  auto known = AllAlive();
  known.pop_back();
  shares.SetMembers(known, known.size(), kStart);
  EXPECT_EQ(shares.RetryShare(kStart + Seconds(1)), 1.0);
  shares.SetMembers(AllAlive(), kVms, kStart + Seconds(2));
  EXPECT_EQ(shares.RetryShare(kStart + Seconds(2)), 1.0);
}

TEST(CoordinatorShares, TheFirstVmDecidesForMostOnceItKnowsTheOthers)
{
  CoordinatorShares shares(1);
  shares.SetMembers(AllAlive(), kVms, kStart);
  EXPECT_FALSE(shares.DecidesForMost(kStart));
  EXPECT_TRUE(shares.DecidesForMost(kStart + Seconds(2)));
  CoordinatorShares other(2);
  other.SetMembers(AllAlive(), kVms, kStart);
  EXPECT_FALSE(other.DecidesForMost(kStart + Seconds(10)));
}

// Guards against several VMs that use cold servers: after the loss of all VMs,
// each one knows only itself at first.
TEST(CoordinatorShares, AVmThatHasJustStartedDoesNotDecideForMost)
{
  CoordinatorShares shares(1);
  auto members = AllAlive();
  members.resize(1);
  shares.SetMembers(members, 1, kStart);
  EXPECT_FALSE(shares.DecidesForMost(kStart + Seconds(3)));
  // Each further VM that becomes known starts the wait again.
  shares.SetMembers(AllAlive(), kVms, kStart + Seconds(4));
  EXPECT_FALSE(shares.DecidesForMost(kStart + Milliseconds(4500)));
  EXPECT_TRUE(shares.DecidesForMost(kStart + Seconds(6)));
}

// Guards against two VMs that use cold servers on both sides of a partition.
TEST(CoordinatorShares, OnlyOneSideOfAPartitionDecidesForMost)
{
  const auto members = AllAlive();
  for (std::size_t reached = 0; reached <= kVms; ++reached) {
    int deciding = 0;
    for (std::size_t self = 0; self < kVms; ++self) {
      auto side = members;
      for (std::size_t i = 0; i < kVms; ++i) {
        if ((i < reached) != (self < reached)) {
          side[i].state = wire::MemberState::kSuspect;
        }
      }
      CoordinatorShares shares(members[self].process);
      shares.SetMembers(side, kVms, kStart);
      deciding += shares.DecidesForMost(kStart + Seconds(10)) ? 1 : 0;
    }
    EXPECT_LE(deciding, 1) << reached;
  }
}

} // namespace
} // namespace magnoliatide::fleet
