// Tests of the membership protocol in simulated time, on a simulated network
// whose random delays and losses follow from a seed.
#include "magnoliatide/membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace magnoliatide::membership {
namespace {

const TimePoint kStart = TimePoint{} + Seconds(1000);
constexpr Duration kStep = Milliseconds(5);

/// A message in transit.
struct InTransit
{
  TimePoint at;
  std::size_t from = 0;
  std::size_t to = 0;
  wire::Header header;
  wire::DatagramBody body;
};

/// Runs several VMs and delivers their messages. VMs in different partitions
/// cannot reach each other.
class Network
{
public:
  Network(std::size_t aVms, double aLoss, std::uint64_t aSeed)
    : mLoss(aLoss)
    , mRandom(aSeed)
    , mPaused(aVms, false)
    , mPartition(aVms, 0)
  {
    for (std::size_t i = 0; i < aVms; ++i) {
      mVms.push_back(std::make_unique<Membership>(OptionsFor(i, 1)));
    }
  }

  static MembershipOptions OptionsFor(std::size_t aIndex,
                                      std::uint64_t aIncarnation)
  {
    MembershipOptions options;
    options.self.slot = "z/" + std::to_string(aIndex);
    options.self.address = std::to_string(aIndex);
    options.self.process = aIndex * 100 + aIncarnation;
    options.self.incarnation = aIncarnation;
    options.seeds = { "0", "1" };
    options.seed = aIndex + aIncarnation;
    return options;
  }

  void Run(Duration aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      Deliver();
      Sync();
      for (std::size_t i = 0; i < mVms.size(); ++i) {
        if (!mPaused[i]) {
          Send(i, mVms[i]->Tick(mNow));
        }
      }
    }
  }

  /// Lets the VMs exchange their full state with those they ask for it.
  void AllowSyncs() { mSyncs = true; }

  /// Returns how many VMs are alive in the view of a VM, itself included.
  std::size_t AliveIn(std::size_t aBy) const
  {
    const auto records = mVms[aBy]->AllMembers();
    return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [](const auto& aRecord) {
        return aRecord.state == wire::MemberState::kAlive;
      }));
  }

  /// Returns the number of exchanges.
  std::size_t Syncs() const { return mSyncCount; }

  /// A paused VM neither runs nor receives messages.
  void SetPaused(std::size_t aVm, bool aPaused) { mPaused[aVm] = aPaused; }
  void SetPartition(std::size_t aVm, int aPartition)
  {
    mPartition[aVm] = aPartition;
  }

  /// Starts a new process in the slot of a VM.
  void Replace(std::size_t aVm, std::uint64_t aIncarnation)
  {
    mVms[aVm] = std::make_unique<Membership>(OptionsFor(aVm, aIncarnation));
  }

  /// Returns the state of VM aOf in the view of VM aBy.
  wire::MemberState StateIn(std::size_t aBy, std::size_t aOf) const
  {
    for (const auto& record : mVms[aBy]->AllMembers()) {
      if (record.slot == "z/" + std::to_string(aOf)) {
        return record.state;
      }
    }
    return wire::MemberState::kDead;
  }

  /// Returns whether VM aOf has a state in the view of all other VMs that are
  /// not paused.
  bool AllSee(std::size_t aOf, wire::MemberState aState) const
  {
    for (std::size_t by = 0; by < mVms.size(); ++by) {
      if (by != aOf && !mPaused[by] && StateIn(by, aOf) != aState) {
        return false;
      }
    }
    return true;
  }

  Membership& At(std::size_t aVm) { return *mVms[aVm]; }

private:
  /// Carries out at most one exchange of each VM.
  void Sync()
  {
    for (std::size_t vm = 0; mSyncs && vm < mVms.size(); ++vm) {
      const auto peers = mVms[vm]->TakeSyncPeers();
      if (peers.empty() || mPaused[vm]) {
        continue;
      }
      const auto peer = std::stoul(peers.front());
      if (mPaused[peer] || mPartition[vm] != mPartition[peer]) {
        continue;
      }
      mSyncCount += 1;
      mVms[peer]->MergeGossip(mVms[vm]->FullState(), mNow);
      mVms[vm]->MergeGossip(mVms[peer]->FullState(), mNow);
    }
  }

  void Send(std::size_t aFrom, const std::vector<OutgoingMessage>& aMessages)
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (const auto& message : aMessages) {
      const auto to = std::stoul(message.address);
      if (draw(mRandom) < mLoss || mPartition[aFrom] != mPartition[to]) {
        continue;
      }
      wire::Header header;
      header.sender = mVms[aFrom]->Self();
      const auto delay = Milliseconds(1 + mRandom() % 8);
      mInTransit.push_back({ mNow + delay, aFrom, to, header, message.body });
    }
  }

  /// Delivers the messages that are due. Those to a paused VM are kept, as in
  /// the buffer of its socket.
  void Deliver()
  {
    std::deque<InTransit> due;
    due.swap(mInTransit);
    for (auto& message : due) {
      if (message.at > mNow || mPaused[message.to]) {
        mInTransit.push_back(std::move(message));
        continue;
      }
      Send(message.to,
           mVms[message.to]->Receive(message.header, message.body, mNow));
    }
  }

  bool mSyncs = false;
  std::size_t mSyncCount = 0;
  double mLoss;
  std::mt19937_64 mRandom;
  std::vector<bool> mPaused;
  std::vector<int> mPartition;
  std::vector<std::unique_ptr<Membership>> mVms;
  std::deque<InTransit> mInTransit;
  TimePoint mNow = kStart;
};

RC_GTEST_PROP(Membership, ADeadVmIsKnownEverywhereWithinThreeSeconds, ())
{
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  Network network(8, 0.0, seed);
  network.Run(Seconds(5));
  network.SetPaused(3, true);
  network.Run(Seconds(3));
  RC_ASSERT(network.AllSee(3, wire::MemberState::kDead));
}

RC_GTEST_PROP(Membership, AVmPausedForASecondIsNotDeclaredDead, ())
{
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  Network network(8, 0.0, seed);
  network.Run(Seconds(5));
  network.SetPaused(3, true);
  network.Run(Seconds(1));
  for (std::size_t by = 0; by < 8; ++by) {
    RC_ASSERT(network.StateIn(by, 3) != wire::MemberState::kDead);
  }
  network.SetPaused(3, false);
  network.Run(Seconds(3));
  for (std::size_t of = 0; of < 8; ++of) {
    RC_ASSERT(network.AllSee(of, wire::MemberState::kAlive));
  }
}

RC_GTEST_PROP(Membership, WithTwentyPercentLossAtMostTwoVmsSeeAVmAsDead, ())
{
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  Network network(8, 0.2, seed);
  network.Run(Seconds(20));
  for (std::size_t of = 0; of < 8; ++of) {
    int dead = 0;
    for (std::size_t by = 0; by < 8; ++by) {
      dead += network.StateIn(by, of) == wire::MemberState::kDead ? 1 : 0;
    }
    RC_ASSERT(dead <= 2);
  }
}

TEST(Membership, APartitionHealsWithoutAnOperator)
{
  Network network(8, 0.0, 7);
  network.Run(Seconds(5));
  for (std::size_t vm = 4; vm < 8; ++vm) {
    network.SetPartition(vm, 1);
  }
  network.Run(Seconds(10));
  EXPECT_EQ(network.StateIn(0, 5), wire::MemberState::kDead);
  EXPECT_EQ(network.StateIn(4, 5), wire::MemberState::kAlive);
  for (std::size_t vm = 4; vm < 8; ++vm) {
    network.SetPartition(vm, 0);
  }
  network.Run(Seconds(10));
  for (std::size_t of = 0; of < 8; ++of) {
    EXPECT_TRUE(network.AllSee(of, wire::MemberState::kAlive)) << of;
  }
}

TEST(Membership, AReplacedVmWithAWrongClockTakesOverItsSlot)
{
  Network network(4, 0.0, 9);
  network.Run(Seconds(5));
  // A process takes its first incarnation from the wall clock. Where the clock
  // is behind, the new process starts below the incarnation of the old one.
  network.Replace(2, 0);
  network.Run(Seconds(5));
  EXPECT_TRUE(network.AllSee(2, wire::MemberState::kAlive));
  EXPECT_FALSE(network.At(2).Superseded());
  EXPECT_GT(network.At(2).Self().incarnation, 1u);
}

wire::MemberRecord
DeadRecord(const char* aSlot, std::uint32_t aGoneSeconds)
{
  wire::MemberRecord record;
  record.slot = aSlot;
  record.address = aSlot;
  record.process = 7;
  record.incarnation = 3;
  record.state = wire::MemberState::kDead;
  record.departedSeconds = aGoneSeconds;
  return record;
}

// Guards against a table of members that grows for months, as VMs are replaced
// under new names. The record of a VM that died or left is kept only while it
// may still be serving behind a network partition.
// Guards against VMs that do not know each other for tens of seconds after the
// loss of all VMs, so that many of them coordinate.
TEST(Membership, ManyVmsThatStartTogetherKnowEachOtherWithinTwoSeconds)
{
  constexpr std::size_t kVms = 300;
  Network network(kVms, 0.01, 3);
  network.AllowSyncs();
  network.Run(Seconds(2));
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    EXPECT_EQ(network.AliveIn(vm), kVms) << vm;
  }
  // In calm, messages alone carry what changes.
  network.Run(Seconds(1));
  const auto syncs = network.Syncs();
  network.Run(Seconds(1));
  EXPECT_EQ(network.Syncs(), syncs);
}

TEST(Membership, TheRecordOfADeadVmExpires)
{
  Membership vm(Network::OptionsFor(0, 1));
  vm.Tick(kStart);
  wire::Gossip gossip;
  gossip.members = { DeadRecord("z/recent", 60), DeadRecord("z/old", 7200) };
  vm.MergeGossip(gossip, kStart);
  ASSERT_EQ(vm.AllMembers().size(), 2u);
  EXPECT_EQ(vm.AllMembers()[1].slot, "z/recent");
  vm.Tick(kStart + Seconds(100));
  EXPECT_EQ(vm.AllMembers()[1].departedSeconds, 160u);
  vm.Tick(kStart + Seconds(3600));
  EXPECT_EQ(vm.AllMembers().size(), 1u);
}

TEST(Membership, ARumourReachesAllVms)
{
  Network network(8, 0.1, 11);
  network.Run(Seconds(5));
  network.At(5).Spread(
    { wire::RumourKind::kBackendState, "e1@1:1", 4, "leaving" }, kStart);
  network.Run(Seconds(3));
  int informed = 0;
  for (std::size_t vm = 0; vm < 8; ++vm) {
    informed += network.At(vm).FindRumour(wire::RumourKind::kBackendState,
                                          "e1@1:1") != nullptr
                  ? 1
                  : 0;
  }
  EXPECT_EQ(informed, 8);
}

} // namespace
} // namespace magnoliatide::membership
