// What VMs know of the platform's store when messages are lost, repeated and
// reordered, and which VMs read it.
#include "magnoliatide/fleet/catch_up.h"
#include "magnoliatide/fleet/published.h"
#include "magnoliatide/fleet/ranking.h"
#include "magnoliatide/fleet/reader_duty.h"

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

using Items = std::vector<wire::PublishedItem>;

/// The store: its changes in order.
class Store
{
public:
  void Write(const std::string& aKey, bool aRemoved)
  {
    mRevision += 1;
    mChanges.push_back(
      { aKey, aRemoved ? "" : std::to_string(mRevision), mRevision, aRemoved });
  }

  /// Returns the last change of each key after a revision, up to another.
  Items Between(std::uint64_t aAfter, std::uint64_t aUpTo) const
  {
    std::map<std::string, wire::PublishedItem> last;
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

  std::uint64_t Revision() const { return mRevision; }

private:
  std::uint64_t mRevision = 0;
  Items mChanges;
};

/// A VM's copy, and a model of what it must hold.
struct Vm
{
  Published published;
  std::map<std::string, std::uint64_t> held; ///< Key to revision.
  std::set<std::string> present;             ///< Keys that are not removed.

  void Note(const Items& aNews)
  {
    for (const auto& item : aNews) {
      RC_ASSERT(held[item.key] < item.revision);
      held[item.key] = item.revision;
      present.insert(item.key);
      if (item.removed) {
        present.erase(item.key);
      }
    }
  }

  void Take(const wire::PublishedItems& aItems)
  {
    const bool continues = aItems.after <= published.Revision();
    Note(published.Take(aItems.items));
    if (continues) {
      published.NoteRevision(aItems.upTo);
    }
  }

  /// Asks another VM for the next part of its answer, or a further VM.
  void AskPart(const std::vector<Vm>& aVms,
               std::size_t aAny,
               std::size_t aMostBytes)
  {
    if (!asked) {
      asked = aAny;
      request = { published.Revision(), 0 };
    }
    const auto part = aVms[*asked].published.PartOf(request, aMostBytes);
    Note(published.TakePart(part, taken));
    request.beyond = part.partUpTo;
    if (part.partUpTo == 0) {
      asked.reset();
      taken = {};
    }
  }

  std::optional<std::size_t> asked; ///< Whose answer is being taken.
  wire::PublishedRequest request;
  PartialAnswer taken;
};

/// Whatever is lost on the way, a VM that claims to know a revision holds every
/// change up to it.
RC_GTEST_PROP(Published, ARevisionIsNeverClaimedWithAGap, ())
{
  constexpr int kVms = 4;
  constexpr int kKeys = 4;
  Store store;
  std::vector<Vm> vms(kVms);
  std::vector<wire::PublishedItems> onTheWay;
  constexpr int kSteps = 200;
  // Uniform, unlike the generators, which begin with small values.
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto below = [&](std::size_t aBound) { return random() % aBound; };
  constexpr int kWrite = 4;
  constexpr int kWatch = kWrite + 4;
  constexpr int kArrive = kWatch + 8;
  constexpr int kAsk = kArrive + 1;
  for (int i = 0; i < kSteps; ++i) {
    auto& vm = vms[below(kVms)];
    const auto step = static_cast<int>(below(kAsk + 1));
    if (step < kWrite) {
      store.Write("key-" + std::to_string(below(kKeys)), below(4) == 0);
    } else if (step < kWatch) { // It watches the store and tells the others.
      const auto before = vm.published.Revision();
      const auto upTo = std::max(before, before + below(3));
      if (upTo <= store.Revision()) {
        vm.Note(vm.published.Take(store.Between(before, upTo)));
        vm.published.NoteRevision(upTo);
        const auto told = vm.published.Since(before);
        if (!told.whole) { // It does not fit a message then.
          onTheWay.push_back(told);
        }
      }
    } else if (step < kArrive) { // Messages may be repeated.
      if (!onTheWay.empty()) {
        vm.Take(onTheWay[below(onTheWay.size())]);
      }
    } else if (step < kAsk) { // It asks another VM for what it lacks.
      vm.AskPart(vms, below(kVms), 1 + below(40));
    } else { // It lists the store.
      const auto revision = store.Revision();
      Items listed;
      for (const auto& item : store.Between(0, revision)) {
        if (!item.removed) {
          listed.push_back(item);
        }
      }
      vm.Note(vm.published.TakeList(listed, revision));
      vm.published.NoteRevision(revision);
    }
    for (const auto& each : vms) {
      for (const auto& item : store.Between(0, each.published.Revision())) {
        const auto found = each.held.find(item.key);
        const bool held =
          found != each.held.end() && found->second >= item.revision;
        // A list does not tell of keys that were removed before it.
        RC_ASSERT(held || item.removed);
        const bool returned = item.removed &&
                              each.present.count(item.key) > 0 &&
                              each.held.at(item.key) < item.revision;
        RC_ASSERT(!returned);
      }
    }
  }
}

wire::PublishedItem
Item(std::uint64_t aNumber, std::size_t aBytes)
{
  return { "servers/" + std::to_string(aNumber),
           std::string(aBytes, 'x'),
           aNumber,
           false };
}

// A VM that starts where thousands of servers are listed: all of them in one
// answer took longer over a slow link than an answer may take, so that it
// learned nothing for half a minute.
TEST(Published, ManyItemsAreToldInParts)
{
  constexpr std::uint64_t kItems = 3000;
  constexpr std::size_t kBytes = 300;
  constexpr std::size_t kPart = 64 * 1024;
  Published source;
  Items all;
  for (std::uint64_t i = 1; i <= kItems; ++i) {
    all.push_back(Item(i, kBytes));
  }
  source.Take(all);
  source.NoteRevision(kItems);
  Published copy;
  wire::PublishedRequest request;
  for (int parts = 1; copy.Revision() < kItems; ++parts) {
    const auto part = source.PartOf(request, kPart);
    std::size_t bytes = 0;
    for (const auto& item : part.items) {
      bytes += item.key.size() + item.value.size();
    }
    EXPECT_LE(bytes, kPart + kBytes + 20);
    copy.Take(part.items);
    copy.NoteRevision(part.upTo);
    request.beyond = part.partUpTo;
    ASSERT_LT(parts, 30);
  }
  EXPECT_EQ(copy.Revision(), kItems);
  EXPECT_EQ(copy.Since(0).items.size(), kItems);
}

// Servers come and go for months under new names.
TEST(Published, RemovalsAreForgottenInTheEnd)
{
  Published source;
  std::uint64_t revision = 0;
  for (int i = 0; i < 5000; ++i) {
    auto item = Item(++revision, 10);
    item.key = "servers/" + std::to_string(i);
    source.Take({ item });
    if (i >= 20) { // The server that came twenty before leaves.
      wire::PublishedItem removed;
      removed.key = "servers/" + std::to_string(i - 20);
      removed.revision = ++revision;
      removed.removed = true;
      source.Take({ removed });
    }
    source.NoteRevision(revision);
  }
  const auto all = source.Since(0);
  EXPECT_LE(all.items.size(), 1020u);
  EXPECT_EQ(all.upTo, revision);
  // A VM that is far behind is told everything, lest it miss a removal.
  EXPECT_TRUE(source.Since(100).whole);
  EXPECT_FALSE(source.Since(revision - 10).whole);
  Published copy;
  copy.Take({ Item(7, 10) });
  copy.NoteRevision(100);
  PartialAnswer taken;
  const auto news = copy.TakePart(source.Since(100), taken);
  EXPECT_EQ(copy.Revision(), revision);
  EXPECT_TRUE(news.back().removed);
  EXPECT_EQ(news.back().key, "servers/7");
}

// An item that changes while parts are taken comes in a later one.
TEST(Published, AnItemThatMovesIsNotMissed)
{
  Published source;
  source.Take({ Item(1, 10), Item(2, 10), Item(3, 10) });
  source.NoteRevision(3);
  Published copy;
  const auto first = source.PartOf({ 0, 0 }, 1);
  ASSERT_EQ(first.items.size(), 1u);
  EXPECT_EQ(first.upTo, 0u);
  copy.Take(first.items);
  auto moved = Item(2, 10);
  moved.revision = 4;
  source.Take({ moved });
  source.NoteRevision(4);
  const auto rest = source.PartOf({ 0, first.partUpTo }, 1000);
  EXPECT_EQ(rest.upTo, 4u);
  EXPECT_EQ(rest.partUpTo, 0u);
  ASSERT_EQ(rest.items.size(), 2u);
  EXPECT_EQ(rest.items.back().key, moved.key);
}

TEST(CatchUp, VmsOfTheZoneAreAskedFirst)
{
  CatchUp catchUp({}, 1);
  catchUp.NoteRevision("far", 9, false, 3, kStart);
  EXPECT_FALSE(catchUp.Choose(3, kStart + Milliseconds(100)));
  EXPECT_FALSE(catchUp.AnyNear(3));
  catchUp.NoteRevision("near", 5, true, 3, kStart + Milliseconds(150));
  EXPECT_TRUE(catchUp.AnyNear(3));
  EXPECT_EQ(catchUp.Choose(3, kStart + Milliseconds(150)), "near");
  // What the near one knows is learned, the rest is not.
  EXPECT_EQ(catchUp.Choose(5, kStart + Milliseconds(300)), "far");
  EXPECT_FALSE(catchUp.Choose(9, kStart + Milliseconds(300)));
}

TEST(CatchUp, AVmThatDoesNotAnswerIsLeftAlone)
{
  CatchUp catchUp({}, 1);
  catchUp.NoteRevision("a", 9, true, 3, kStart);
  catchUp.NoteRevision("b", 9, true, 3, kStart);
  catchUp.NoteFailed("a");
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(catchUp.Choose(3, kStart), "b");
  }
  catchUp.NoteFailed("b");
  EXPECT_FALSE(catchUp.Choose(3, kStart + Seconds(1)));
}

// Hundreds of VMs are ahead: few are remembered, and near ones go first.
TEST(CatchUp, ManyThatAreAheadAreAskedInTurn)
{
  CatchUp catchUp({}, 1);
  for (int i = 0; i < 100; ++i) {
    catchUp.NoteRevision("far-" + std::to_string(i), 9, false, 3, kStart);
  }
  for (int i = 0; i < 100; ++i) {
    catchUp.NoteRevision("near-" + std::to_string(i), 9, true, 3, kStart);
  }
  std::set<std::string> asked;
  for (int i = 0; i < 100; ++i) {
    const auto address = catchUp.Choose(3, kStart);
    ASSERT_TRUE(address);
    EXPECT_TRUE(address->starts_with("near-")) << *address;
    asked.insert(*address);
  }
  EXPECT_GT(asked.size(), 5u);
}

TEST(ReaderDuty, OneReadsAndTheOthersStepInInOrder)
{
  ReaderDuty first({}, kStart);
  ReaderDuty second({}, kStart);
  ReaderDuty last({}, kStart);
  second.SetPlace(1);
  last.SetPlace(9);
  EXPECT_TRUE(first.Reads(kStart));
  EXPECT_FALSE(second.Reads(kStart + Milliseconds(600)));
  EXPECT_TRUE(second.Reads(kStart + Milliseconds(700)));
  EXPECT_FALSE(last.Reads(kStart + Milliseconds(1000)));
  EXPECT_TRUE(last.Reads(kStart + Milliseconds(1100)));
  second.NoteWord(kStart + Milliseconds(700));
  EXPECT_FALSE(second.Reads(kStart + Milliseconds(700)));
}

// A VM that has just started takes itself for the first of its zone, as it
// knows no others: where one is heard that reads, it leaves the store to it.
TEST(ReaderDuty, AVmThatJustStartedLeavesTheStoreToAReader)
{
  ReaderDuty duty({}, kStart);
  EXPECT_TRUE(duty.Reads(kStart));
  for (int i = 0; i < 30; ++i) {
    const auto now = kStart + Milliseconds(100) * i;
    duty.NoteWord(now);
    EXPECT_EQ(duty.Reads(now), i >= 20) << i;
  }
  ReaderDuty other({}, kStart);
  other.NoteWord(kStart);
  EXPECT_FALSE(other.Reads(kStart + Milliseconds(300)));
  EXPECT_TRUE(other.Reads(kStart + Milliseconds(700)));
}

// A VM that hears a reader but gets nothing from it, as one of them has no
// processor time to spare, must not stay behind for seconds.
TEST(ReaderDuty, AVmThatStaysBehindReadsForItself)
{
  ReaderDuty duty({}, kStart);
  duty.SetPlace(5);
  for (int i = 0; i < 20; ++i) {
    const auto now = kStart + Milliseconds(100) * i;
    duty.NoteWord(now);
    duty.NoteBehind(true, now);
    EXPECT_EQ(duty.Reads(now), i >= 7) << i;
  }
  duty.NoteBehind(false, kStart + Seconds(3));
  duty.NoteWord(kStart + Seconds(3));
  EXPECT_FALSE(duty.Reads(kStart + Seconds(3)));
}

wire::MemberRecord
Record(const char* aSlot, std::uint32_t aProcessor, std::uint64_t aIncarnation)
{
  wire::MemberRecord record;
  record.slot = aSlot;
  record.processor = aProcessor;
  record.incarnation = aIncarnation;
  return record;
}

TEST(Ranking, LiveThenStrongThenOld)
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
