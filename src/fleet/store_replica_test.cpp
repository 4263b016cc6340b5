// Replication of the platform's store with lost, repeated and reordered
// messages, and the election of the VMs that read it.
#include "magnoliatide/core/store_revision.h"
#include "magnoliatide/fleet/ranking.h"
#include "magnoliatide/fleet/reader_election.h"
#include "magnoliatide/fleet/store_replica.h"
#include "magnoliatide/fleet/sync_peer_selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::fleet {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));

using Items = std::vector<wire::ReplicaItem>;

/// A model of the store that keeps all changes in order.
class Store
{
public:
  void Write(const std::string& aKey, bool aRemoved)
  {
    mRevision += 1;
    mChanges.push_back(
      { aKey, aRemoved ? "" : std::to_string(mRevision), mRevision, aRemoved });
  }

  /// Returns the last change of each key after one revision, up to another.
  Items Between(std::uint64_t aAfter, std::uint64_t aUpTo) const
  {
    std::map<std::string, wire::ReplicaItem> last;
    for (const auto& change : mChanges) {
      if (change.revision > aAfter && change.revision <= aUpTo) {
        last[change.key] = change;
      }
    }
    Items items;
    for (const auto& [key, change] : last) {
      items.push_back(change);
    }
    return items;
  }

  /// Comes back from a copy: the changes after a revision of this era are gone.
  /// Returns nothing if the copy would be older than the era.
  void Restore(std::uint64_t aCounter)
  {
    const auto era = EraOf(mRevision);
    std::erase_if(mChanges, [&](const auto& aChange) {
      return CounterOf(aChange.revision) > aCounter;
    });
    for (auto& change : mChanges) {
      change.revision = StoreRevision(era + 1, CounterOf(change.revision));
    }
    mRevision =
      StoreRevision(era + 1, std::min(aCounter, CounterOf(mRevision)));
  }

  std::uint64_t Revision() const { return mRevision; }

private:
  std::uint64_t mRevision = 0;
  Items mChanges;
};

/// A VM's replica and a model of its expected content.
struct Vm
{
  StoreReplica replica;
  std::map<std::string, std::uint64_t> revisions; ///< Key to revision.
  std::set<std::string> present; ///< Keys that are not removed.

  void RecordChanges(const Items& aChanges)
  {
    for (const auto& item : aChanges) {
      RC_ASSERT(revisions[item.key] < item.revision);
      revisions[item.key] = item.revision;
      present.insert(item.key);
      if (item.removed) {
        present.erase(item.key);
      }
    }
  }

  void Apply(const wire::ReplicaUpdate& aUpdate)
  {
    const bool continues = aUpdate.after <= replica.Revision();
    RecordChanges(replica.Apply(aUpdate.items));
    if (continues) {
      replica.RecordRevision(aUpdate.upTo);
    }
  }

  /// Fetches the next page of a reply, or the first page from another VM.
  void FetchPage(const std::vector<Vm>& aVms,
                 std::size_t aSource,
                 std::size_t aMaxBytes)
  {
    if (!replySource) {
      replySource = aSource;
      request = { replica.Revision(), 0 };
    }
    const auto page = aVms[*replySource].replica.PageAfter(request, aMaxBytes);
    RecordChanges(replica.ApplyPage(page, reply));
    request.resumeAfter = page.pageUpTo;
    if (page.pageUpTo == 0) {
      replySource.reset();
      reply = {};
    }
  }

  std::optional<std::size_t> replySource; ///< Source of the current reply.
  wire::ReplicaRequest request;
  PartialReply reply;
};

/// A VM that reports a revision of the store's present era has what the store
/// has, whichever messages of earlier eras arrive late and whichever VM it
/// fetches from.
RC_GTEST_PROP(StoreReplica, NeverKeepsWhatARestoredStoreHasLost, ())
{
  constexpr int kVms = 4;
  constexpr int kKeys = 4;
  constexpr int kSteps = 250;
  Store store;
  std::vector<Vm> vms(kVms);
  std::vector<wire::ReplicaUpdate> inTransit;
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto below = [&](std::size_t aBound) { return random() % aBound; };
  constexpr int kWrite = 6;
  constexpr int kRead = kWrite + 5;
  constexpr int kDeliver = kRead + 8;
  constexpr int kFetch = kDeliver + 4;
  for (int i = 0; i < kSteps; ++i) {
    auto& vm = vms[below(kVms)];
    const auto step = static_cast<int>(below(kFetch + 1));
    if (step < kWrite) {
      store.Write("key-" + std::to_string(below(kKeys)), below(4) == 0);
    } else if (step < kRead) {
      const auto before = vm.replica.Revision();
      if (EraOf(before) == EraOf(store.Revision()) && before > 0) {
        vm.RecordChanges(
          vm.replica.Apply(store.Between(before, store.Revision())));
      } else { // A list, which has no removed items.
        auto items = store.Between(0, store.Revision());
        std::erase_if(items, [](const auto& aItem) { return aItem.removed; });
        vm.RecordChanges(vm.replica.ApplySnapshot(items, store.Revision()));
      }
      vm.replica.RecordRevision(store.Revision());
      const auto sent = vm.replica.ChangesAfter(before);
      if (!sent.isSnapshot) {
        inTransit.push_back(sent);
      }
    } else if (step < kDeliver) {
      if (!inTransit.empty()) {
        vm.Apply(inTransit[below(inTransit.size())]);
      }
    } else if (step < kFetch) {
      vm.FetchPage(vms, below(kVms), 1 + below(40));
    } else {
      store.Restore(CounterOf(store.Revision()) - below(3) * (i > 20 ? 1 : 0));
    }
    for (const auto& checked : vms) {
      if (checked.replica.Revision() != store.Revision()) {
        continue;
      }
      std::set<std::string> expected;
      for (const auto& item : store.Between(0, store.Revision())) {
        if (!item.removed) {
          expected.insert(item.key);
          RC_ASSERT(checked.revisions.at(item.key) >= item.revision);
        }
      }
      RC_ASSERT(checked.present == expected);
    }
  }
}

/// A VM that reports a revision has every change up to it, whichever messages
/// were lost.
RC_GTEST_PROP(StoreReplica, NeverReportsARevisionWithAGap, ())
{
  constexpr int kVms = 4;
  constexpr int kKeys = 4;
  Store store;
  std::vector<Vm> vms(kVms);
  std::vector<wire::ReplicaUpdate> inTransit;
  constexpr int kSteps = 200;
  // Uniform, unlike the generators of RapidCheck, which start with small
  // values.
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto below = [&](std::size_t aBound) { return random() % aBound; };
  // Upper bounds of the random number that selects a step. The number kFetch
  // lists the store.
  constexpr int kWrite = 4;
  constexpr int kWatch = kWrite + 4;
  constexpr int kDeliver = kWatch + 8;
  constexpr int kFetch = kDeliver + 1;
  for (int i = 0; i < kSteps; ++i) {
    auto& vm = vms[below(kVms)];
    const auto step = static_cast<int>(below(kFetch + 1));
    if (step < kWrite) {
      store.Write("key-" + std::to_string(below(kKeys)), below(4) == 0);
    } else if (step < kWatch) { // Watch the store and send the changes.
      const auto before = vm.replica.Revision();
      const auto upTo = std::max(before, before + below(3));
      if (upTo <= store.Revision()) {
        vm.RecordChanges(vm.replica.Apply(store.Between(before, upTo)));
        vm.replica.RecordRevision(upTo);
        const auto sent = vm.replica.ChangesAfter(before);
        if (!sent.isSnapshot) { // A complete list exceeds a message.
          inTransit.push_back(sent);
        }
      }
    } else if (step < kDeliver) { // Deliver a message, maybe again.
      if (!inTransit.empty()) {
        vm.Apply(inTransit[below(inTransit.size())]);
      }
    } else if (step < kFetch) { // Fetch missing changes from another VM.
      vm.FetchPage(vms, below(kVms), 1 + below(40));
    } else { // List the store.
      const auto revision = store.Revision();
      Items listed;
      for (const auto& item : store.Between(0, revision)) {
        if (!item.removed) {
          listed.push_back(item);
        }
      }
      vm.RecordChanges(vm.replica.ApplySnapshot(listed, revision));
      vm.replica.RecordRevision(revision);
    }
    for (const auto& each : vms) {
      for (const auto& item : store.Between(0, each.replica.Revision())) {
        const auto found = each.revisions.find(item.key);
        const bool replicated =
          found != each.revisions.end() && found->second >= item.revision;
        // A list omits the keys that were removed before it.
        RC_ASSERT(replicated || item.removed);
        const bool returned = item.removed &&
                              each.present.count(item.key) > 0 &&
                              each.revisions.at(item.key) < item.revision;
        RC_ASSERT(!returned);
      }
    }
  }
}

wire::ReplicaItem
Item(std::uint64_t aNumber, std::size_t aBytes)
{
  return { "servers/" + std::to_string(aNumber),
           std::string(aBytes, 'x'),
           aNumber,
           false };
}

// Guards against a started VM that gets no items for half a minute. With
// thousands of servers, a single reply over a slow link exceeded the time
// limit of a reply.
TEST(StoreReplica, SendsManyItemsInParts)
{
  constexpr std::uint64_t kItems = 3000;
  constexpr std::size_t kBytes = 300;
  constexpr std::size_t kPageBytes = 64 * 1024;
  StoreReplica source;
  Items all;
  for (std::uint64_t i = 1; i <= kItems; ++i) {
    all.push_back(Item(i, kBytes));
  }
  source.Apply(all);
  source.RecordRevision(kItems);
  StoreReplica copy;
  wire::ReplicaRequest request;
  for (int pages = 1; copy.Revision() < kItems; ++pages) {
    const auto page = source.PageAfter(request, kPageBytes);
    std::size_t bytes = 0;
    for (const auto& item : page.items) {
      bytes += item.key.size() + item.value.size();
    }
    // The page includes the item that reaches the limit. Its key has less than
    // 20 bytes.
    EXPECT_LE(bytes, kPageBytes + kBytes + 20);
    copy.Apply(page.items);
    copy.RecordRevision(page.upTo);
    request.resumeAfter = page.pageUpTo;
    ASSERT_LT(pages, 30);
  }
  EXPECT_EQ(copy.Revision(), kItems);
  EXPECT_EQ(copy.ChangesAfter(0).items.size(), kItems);
}

// Guards against unbounded growth when servers come and go under new names for
// months.
TEST(StoreReplica, DropsOldRemovals)
{
  StoreReplica source;
  std::uint64_t revision = 0;
  for (int i = 0; i < 5000; ++i) {
    auto item = Item(++revision, 10);
    item.key = "servers/" + std::to_string(i);
    source.Apply({ item });
    if (i >= 20) { // Remove the server added 20 steps ago.
      wire::ReplicaItem removed;
      removed.key = "servers/" + std::to_string(i - 20);
      removed.revision = ++revision;
      removed.removed = true;
      source.Apply({ removed });
    }
    source.RecordRevision(revision);
  }
  const auto all = source.ChangesAfter(0);
  // 1000 removals are kept, and 20 servers are present.
  EXPECT_LE(all.items.size(), 1020u);
  EXPECT_EQ(all.upTo, revision);
  // A VM that is far behind gets every item, or it would miss removals.
  EXPECT_TRUE(source.ChangesAfter(100).isSnapshot);
  EXPECT_FALSE(source.ChangesAfter(revision - 10).isSnapshot);
  StoreReplica copy;
  copy.Apply({ Item(7, 10) });
  copy.RecordRevision(100);
  PartialReply reply;
  const auto changes = copy.ApplyPage(source.ChangesAfter(100), reply);
  EXPECT_EQ(copy.Revision(), revision);
  EXPECT_TRUE(changes.back().removed);
  EXPECT_EQ(changes.back().key, "servers/7");
}

// An item that changes while pages are being fetched is on a later page.
TEST(StoreReplica, ItemsThatChangeBetweenPartsAreNotMissed)
{
  StoreReplica source;
  source.Apply({ Item(1, 10), Item(2, 10), Item(3, 10) });
  source.RecordRevision(3);
  StoreReplica copy;
  const auto first = source.PageAfter({ 0, 0 }, 1);
  ASSERT_EQ(first.items.size(), 1u);
  EXPECT_EQ(first.upTo, 0u);
  copy.Apply(first.items);
  auto moved = Item(2, 10);
  moved.revision = 4;
  source.Apply({ moved });
  source.RecordRevision(4);
  const auto rest = source.PageAfter({ 0, first.pageUpTo }, 1000);
  EXPECT_EQ(rest.upTo, 4u);
  EXPECT_EQ(rest.pageUpTo, 0u);
  ASSERT_EQ(rest.items.size(), 2u);
  EXPECT_EQ(rest.items.back().key, moved.key);
}

TEST(SyncPeerSelector, PrefersVmsOfTheSameZone)
{
  SyncPeerSelector selector({}, 1);
  selector.RecordRevision("far", 9, false, 3, kStart);
  EXPECT_FALSE(selector.Choose(3, kStart + Milliseconds(100)));
  EXPECT_FALSE(selector.HasPeerInZone(3));
  selector.RecordRevision("near", 5, true, 3, kStart + Milliseconds(150));
  EXPECT_TRUE(selector.HasPeerInZone(3));
  EXPECT_EQ(selector.Choose(3, kStart + Milliseconds(150)), "near");
  // This VM has caught up with the one of its zone, but not with the other.
  EXPECT_EQ(selector.Choose(5, kStart + Milliseconds(300)), "far");
  EXPECT_FALSE(selector.Choose(9, kStart + Milliseconds(300)));
}

TEST(SyncPeerSelector, SkipsAVmThatDidNotAnswer)
{
  SyncPeerSelector selector({}, 1);
  selector.RecordRevision("a", 9, true, 3, kStart);
  selector.RecordRevision("b", 9, true, 3, kStart);
  selector.RecordFailure("a");
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(selector.Choose(3, kStart), "b");
  }
  selector.RecordFailure("b");
  EXPECT_FALSE(selector.Choose(3, kStart + Seconds(1)));
}

// With hundreds of VMs ahead, only a few are kept, those of this zone first.
TEST(SyncPeerSelector, SpreadsRequestsOverManyVms)
{
  SyncPeerSelector selector({}, 1);
  for (int i = 0; i < 100; ++i) {
    selector.RecordRevision("far-" + std::to_string(i), 9, false, 3, kStart);
  }
  for (int i = 0; i < 100; ++i) {
    selector.RecordRevision("near-" + std::to_string(i), 9, true, 3, kStart);
  }
  std::set<std::string> selected;
  for (int i = 0; i < 100; ++i) {
    const auto address = selector.Choose(3, kStart);
    ASSERT_TRUE(address);
    EXPECT_TRUE(address->starts_with("near-")) << *address;
    selected.insert(*address);
  }
  EXPECT_GT(selected.size(), 5u);
}

TEST(ReaderElection, OneReadsAndTheOthersTakeOverByRank)
{
  ReaderElection first({}, kStart);
  ReaderElection second({}, kStart);
  ReaderElection last({}, kStart);
  second.SetRank(1);
  last.SetRank(9);
  EXPECT_TRUE(first.Reads(kStart));
  EXPECT_FALSE(second.Reads(kStart + Milliseconds(600)));
  EXPECT_TRUE(second.Reads(kStart + Milliseconds(700)));
  EXPECT_FALSE(last.Reads(kStart + Milliseconds(1000)));
  EXPECT_TRUE(last.Reads(kStart + Milliseconds(1100)));
  second.RecordAnnouncement(kStart + Milliseconds(700));
  EXPECT_FALSE(second.Reads(kStart + Milliseconds(700)));
}

// A VM that has just started has rank 0, as it knows no other VMs. Within the
// settle time it must not read the store if another VM announces that it does.
TEST(ReaderElection, AStartedVmDoesNotReadBesideAReader)
{
  ReaderElection election({}, kStart);
  EXPECT_TRUE(election.Reads(kStart));
  for (int i = 0; i < 30; ++i) {
    const auto now = kStart + Milliseconds(100) * i;
    election.RecordAnnouncement(now);
    EXPECT_EQ(election.Reads(now), i >= 20) << i;
  }
  ReaderElection other({}, kStart);
  other.RecordAnnouncement(kStart);
  EXPECT_FALSE(other.Reads(kStart + Milliseconds(300)));
  EXPECT_TRUE(other.Reads(kStart + Milliseconds(700)));
}

// Guards against a VM that stays behind for seconds although it receives
// announcements: the reader or the VM lacks processor time, so that no changes
// arrive.
TEST(ReaderElection, AVmThatStaysBehindReads)
{
  ReaderElection election({}, kStart);
  election.SetRank(5);
  for (int i = 0; i < 20; ++i) {
    const auto now = kStart + Milliseconds(100) * i;
    election.RecordAnnouncement(now);
    election.RecordBehind(true, now);
    EXPECT_EQ(election.Reads(now), i >= 7) << i;
  }
  election.RecordBehind(false, kStart + Seconds(3));
  election.RecordAnnouncement(kStart + Seconds(3));
  EXPECT_FALSE(election.Reads(kStart + Seconds(3)));
}

wire::MemberRecord
Record(const char* aSlot, std::uint32_t aProcessor, std::uint64_t aIncarnation)
{
  wire::MemberRecord record;
  record.slot = aSlot;
  record.cpuMillicores = aProcessor;
  record.incarnation = aIncarnation;
  return record;
}

TEST(Ranking, OrdersByStateThenProcessorThenAge)
{
  const auto old = Record("a/1", 120, 5);
  const auto young = Record("a/2", 120, 9);
  const auto strong = Record("a/3", 500, 9);
  auto suspect = strong;
  suspect.state = wire::MemberState::kSuspect;
  EXPECT_TRUE(RanksBefore(old, young));
  EXPECT_TRUE(RanksBefore(strong, old));
  EXPECT_TRUE(RanksBefore(old, suspect));
  EXPECT_FALSE(RanksBefore(old, old));
}

} // namespace
} // namespace magnoliatide::fleet
