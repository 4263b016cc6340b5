// The view of the configuration and the servers, for every order in which
// updates may arrive.
#include "magnoliatide/core/store_revision.h"
#include "magnoliatide/fleet/directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace magnoliatide::fleet {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));

routing::Server
Server(const std::string& aId, std::uint64_t aStarted, std::uint64_t aReport)
{
  routing::Server server;
  server.id = aId;
  server.service = "s";
  server.started = aStarted;
  server.report = aReport;
  return server;
}

ServerEntry
Present(const std::string& aId, std::uint64_t aRevision, bool aLeaving = false)
{
  auto server = Server(aId, 1, aRevision);
  server.leaving = aLeaving;
  return { aId, server, aRevision };
}

ServerEntry
Removed(const std::string& aId, std::uint64_t aRevision)
{
  return { aId, std::nullopt, aRevision };
}

routing::TablePointer
Table(std::uint64_t aVersion)
{
  auto table = std::make_shared<routing::Table>();
  table->version = aVersion;
  return table;
}

TEST(Directory, RemovesAtOnceWhileTheStoreIsReachable)
{
  Directory directory;
  directory.MergeServer(Present("a", 1), kStart);
  directory.MergeServer(Removed("a", 2), kStart);
  EXPECT_TRUE(directory.Roster()->empty());
}

TEST(Directory, DefersRemovalsAfterTheStoreIsReachableAgain)
{
  Directory directory;
  directory.MergeServer(Present("a", 1), kStart);
  directory.RecordStoreAccess(false, kStart);
  directory.RecordStoreAccess(true, kStart + Seconds(5));
  directory.MergeServer(Removed("a", 2), kStart + Seconds(5));
  EXPECT_EQ(directory.Roster()->count("a"), 1u);
  EXPECT_FALSE(directory.Tick(kStart + Milliseconds(6900)));
  EXPECT_TRUE(directory.Tick(kStart + Milliseconds(7100)));
  EXPECT_TRUE(directory.Roster()->empty());
}

// Guards against removals that stay deferred on a VM that once failed to reach
// the store and no longer reads it. Removals reported by VMs that read the
// store apply at once.
TEST(Directory, StoreAccessOfOtherVmsOverridesAnOldFailure)
{
  Directory directory;
  directory.MergeServer(Present("a", 1), kStart);
  directory.MergeServer(Present("b", 2), kStart);
  directory.RecordStoreAccess(false, kStart);
  directory.RecordRemoteStoreAccess(kStart - Seconds(60));
  directory.MergeServer(Removed("a", 3), kStart + Seconds(9));
  EXPECT_EQ(directory.Roster()->count("a"), 0u);
  // The reporting VM has only just reached the store again.
  directory.RecordRemoteStoreAccess(kStart + Seconds(10));
  directory.MergeServer(Removed("b", 4), kStart + Seconds(11));
  EXPECT_EQ(directory.Roster()->count("b"), 1u);
  directory.Tick(kStart + Seconds(13));
  EXPECT_EQ(directory.Roster()->count("b"), 0u);
}

// Guards against a new grace, and so a deferred removal, each time another VM
// begins to read the store: its own first answer is no return of the store.
TEST(Directory, AReaderThatTakesOverKeepsTheTimeOfTheReturn)
{
  Directory directory;
  directory.MergeServer(Present("a", 1), kStart);
  // This VM's last own call failed; another one has read the store since.
  directory.RecordStoreAccess(false, kStart);
  directory.RecordRemoteStoreAccess(kStart + Seconds(1));
  directory.RecordStoreAccess(true, kStart + Seconds(9));
  EXPECT_EQ(directory.StoreReachableSince(), kStart + Seconds(1));
  directory.MergeServer(Removed("a", 2), kStart + Seconds(9));
  EXPECT_TRUE(directory.Roster()->empty());
  // A return that this VM sees itself.
  directory.RecordStoreAccess(false, kStart + Seconds(20));
  directory.RecordStoreAccess(true, kStart + Seconds(25));
  EXPECT_EQ(directory.StoreReachableSince(), kStart + Seconds(25));
}

TEST(Directory, ALeavingIncarnationStaysLeaving)
{
  Directory directory;
  directory.MergeServer(Present("a", 1), kStart);
  EXPECT_TRUE(directory.RecordLeaving("a", 1));
  EXPECT_FALSE(directory.RecordLeaving("a", 1));
  directory.MergeServer(Present("a", 2), kStart);
  EXPECT_TRUE(directory.Roster()->at("a").leaving);
  auto restarted = Present("a", 3);
  restarted.server->started = 2;
  directory.MergeServer(restarted, kStart);
  EXPECT_FALSE(directory.Roster()->at("a").leaving);
}

/// The version of the configuration never decreases, in any order of updates.
RC_GTEST_PROP(Directory,
              NeverRevertsAConfiguration,
              (const std::vector<std::uint8_t>& aVersions))
{
  Directory directory;
  std::uint64_t highest = 0;
  for (const auto version : aVersions) {
    const bool merged = directory.MergeTable(Table(version));
    const bool first = directory.Table() != nullptr && merged && highest == 0;
    RC_ASSERT(merged == (version > highest || first));
    highest = std::max<std::uint64_t>(highest, version);
    RC_ASSERT(directory.Table()->version == highest);
  }
}

/// The latest change of each server determines the result, in any order of
/// delivery and with repeated changes.
RC_GTEST_PROP(Directory, ChangesApplyInAnyOrder, ())
{
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint32_t>());
  std::vector<ServerEntry> changes;
  for (std::uint64_t revision = 1; revision <= 12; ++revision) {
    const auto id = std::string(1, static_cast<char>('a' + random() % 3));
    changes.push_back(random() % 4 == 0
                        ? Removed(id, revision)
                        : Present(id, revision, random() % 3 == 0));
  }
  Directory inOrder;
  for (const auto& change : changes) {
    inOrder.MergeServer(change, kStart);
  }
  auto shuffled = changes;
  shuffled.insert(shuffled.end(), changes.begin(), changes.end());
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  Directory reordered;
  for (const auto& change : shuffled) {
    reordered.MergeServer(change, kStart);
  }
  RC_ASSERT(*inOrder.Roster() == *reordered.Roster());
}

routing::Server
InZone(const std::string& aId, const std::string& aZone)
{
  auto server = Server(aId, 1, 1);
  server.zone = aZone;
  return server;
}

// Guards against requests to servers of an evacuated zone, also to those that
// become known later.
TEST(Directory, ServersOfAnEvacuatedZoneAcceptNoRequests)
{
  Directory directory;
  directory.MergeServer({ "a", InZone("a", "x"), 1 }, kStart);
  directory.MergeServer({ "b", InZone("b", "y"), 2 }, kStart);
  EXPECT_TRUE(directory.SetEvacuated("x", true, 3, kStart));
  directory.MergeServer({ "c", InZone("c", "x"), 4 }, kStart);
  const auto roster = directory.Roster();
  EXPECT_FALSE(roster->at("a").AcceptsRequests());
  EXPECT_TRUE(roster->at("b").AcceptsRequests());
  EXPECT_FALSE(roster->at("c").AcceptsRequests());
  EXPECT_FALSE(roster->at("a").leaving);
  ASSERT_EQ(directory.Evacuations().count("x"), 1U);
  EXPECT_EQ(directory.Evacuations().at("x").revision, 3U);
  EXPECT_TRUE(directory.SetEvacuated("x", false, 5, kStart));
  EXPECT_TRUE(directory.Roster()->at("a").AcceptsRequests());
  EXPECT_TRUE(directory.Evacuations().empty());
}

// Guards against an evacuation that ends, or begins again, because another VM
// repeats an earlier change late.
TEST(Directory, AnEarlierChangeOfAnEvacuationIsIgnored)
{
  Directory directory;
  EXPECT_TRUE(directory.SetEvacuated("x", true, 7, kStart));
  EXPECT_FALSE(directory.SetEvacuated("x", false, 6, kStart));
  EXPECT_EQ(directory.Evacuations().count("x"), 1U);
  EXPECT_TRUE(directory.SetEvacuated("x", false, 9, kStart));
  EXPECT_FALSE(directory.SetEvacuated("x", true, 7, kStart));
  EXPECT_TRUE(directory.Evacuations().empty());
}

// Guards against a zone that is taken back because the store cannot be reached.
TEST(Directory, AnOutageOfTheStoreEndsNoEvacuation)
{
  Directory directory;
  directory.MergeServer({ "a", InZone("a", "x"), 1 }, kStart);
  directory.SetEvacuated("x", true, 3, kStart);
  directory.RecordStoreAccess(false, kStart + Seconds(1));
  directory.Tick(kStart + Seconds(60));
  directory.RecordStoreAccess(true, kStart + Seconds(61));
  directory.Tick(kStart + Seconds(70));
  EXPECT_FALSE(directory.Roster()->at("a").AcceptsRequests());
}

// Guards against a server that has left and gets requests again because an
// older copy of the store still has its entry.
TEST(Directory, AnEntryOfACopyDoesNotBringBackAServerThatLeft)
{
  Directory directory;
  const auto at = [](std::uint64_t aEra, std::uint64_t aCounter) {
    return StoreRevision(aEra, aCounter);
  };
  directory.MergeServer({ "a", Server("a", 1, 4), at(1, 10) }, kStart);
  directory.MergeServer({ "a", std::nullopt, at(1, 20) }, kStart);
  EXPECT_FALSE(
    directory.MergeServer({ "a", Server("a", 1, 4), at(2, 10) }, kStart));
  EXPECT_TRUE(directory.Roster()->empty());
  // The server lives: it reports again.
  EXPECT_TRUE(
    directory.MergeServer({ "a", Server("a", 1, 5), at(2, 12) }, kStart));
  EXPECT_EQ(directory.Roster()->size(), 1U);
}

// Guards against the loss of all servers that have registered since the copy.
TEST(Directory, AServerThatACopyLacksIsKeptForTheGraceTime)
{
  Directory directory;
  directory.MergeServer({ "a", Server("a", 1, 4), StoreRevision(1, 10) },
                        kStart);
  const auto restored = kStart + Seconds(5);
  directory.MergeServer({ "a", std::nullopt, StoreRevision(2, 8) }, restored);
  directory.Tick(restored + Milliseconds(1500));
  EXPECT_EQ(directory.Roster()->size(), 1U);
  directory.Tick(restored + Milliseconds(2100));
  EXPECT_TRUE(directory.Roster()->empty());
}

// Guards against an evacuation that ends because a copy lacks it, and against
// one that returns with a copy.
TEST(Directory, EvacuationsOutliveAStoreThatGoesBack)
{
  Directory directory;
  directory.SetEvacuated("x", true, StoreRevision(1, 10), kStart);
  EXPECT_FALSE(directory.SetEvacuated("x", false, StoreRevision(2, 8), kStart));
  directory.Tick(kStart + Seconds(9));
  EXPECT_EQ(directory.Evacuations().count("x"), 1U);
  // Written again, then removed in the same era.
  directory.SetEvacuated("x", true, StoreRevision(2, 9), kStart + Seconds(9));
  directory.Tick(kStart + Seconds(30));
  EXPECT_EQ(directory.Evacuations().count("x"), 1U);
  EXPECT_TRUE(directory.SetEvacuated(
    "x", false, StoreRevision(2, 15), kStart + Seconds(31)));
  // The copy is older than the removal.
  EXPECT_FALSE(directory.SetEvacuated(
    "x", true, StoreRevision(3, 9), kStart + Seconds(40)));
  EXPECT_TRUE(directory.Evacuations().empty());
  // Another request is a new one.
  EXPECT_TRUE(directory.SetEvacuated(
    "x", true, StoreRevision(3, 11), kStart + Seconds(41)));
}

// Guards against a new evacuation that is taken for a withdrawn one, because
// the store gives out its counter again, and against the return of an earlier
// one of two.
TEST(Directory, ACounterThatIsGivenOutAgainIsANewEvacuation)
{
  Directory directory;
  directory.MergeServer({ "a", Server("a", 1, 4), StoreRevision(1, 1) },
                        kStart);
  directory.SetEvacuated("x", true, StoreRevision(1, 10), kStart);
  directory.SetEvacuated("x", false, StoreRevision(1, 12), kStart);
  directory.SetEvacuated("x", true, StoreRevision(1, 20), kStart);
  directory.SetEvacuated("x", false, StoreRevision(1, 25), kStart);
  const auto restored = kStart + Seconds(5);
  EXPECT_FALSE(
    directory.SetEvacuated("x", true, StoreRevision(2, 10), restored));
  const auto later = restored + Seconds(10);
  Directory other;
  other.MergeServer({ "a", Server("a", 1, 4), StoreRevision(1, 1) }, kStart);
  other.SetEvacuated("x", true, StoreRevision(1, 10), kStart);
  other.SetEvacuated("x", false, StoreRevision(1, 12), kStart);
  other.MergeServer({ "a", Server("a", 1, 4), StoreRevision(2, 1) }, restored);
  EXPECT_TRUE(other.SetEvacuated("x", true, StoreRevision(2, 10), later));
}

// Guards against a held evacuation that ends while the store is away.
TEST(Directory, AHeldEvacuationStaysWhileTheStoreIsAway)
{
  Directory directory;
  directory.SetEvacuated("x", true, StoreRevision(1, 10), kStart);
  directory.SetEvacuated("x", false, StoreRevision(2, 8), kStart);
  directory.RecordStoreAccess(false, kStart + Seconds(1));
  directory.Tick(kStart + Seconds(60));
  EXPECT_EQ(directory.Evacuations().count("x"), 1U);
  directory.RecordStoreAccess(true, kStart + Seconds(61));
  directory.Tick(kStart + Seconds(65));
  EXPECT_EQ(directory.Evacuations().count("x"), 1U);
  EXPECT_TRUE(directory.Tick(kStart + Seconds(72)));
}

// Guards against an evacuation that a copy lacks and nobody writes again.
TEST(Directory, AnEvacuationThatIsNotWrittenAgainEnds)
{
  Directory directory;
  directory.SetEvacuated("x", true, StoreRevision(1, 10), kStart);
  directory.SetEvacuated("x", false, StoreRevision(2, 8), kStart);
  EXPECT_TRUE(directory.Tick(kStart + Seconds(11)));
  EXPECT_TRUE(directory.Evacuations().empty());
}

} // namespace
} // namespace magnoliatide::fleet
