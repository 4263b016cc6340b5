// Applies changes of the store replica and exchanges them with other VMs.
#include "replica_service.h"

#include "control_task.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/store_revision.h"
#include "magnoliatide/routing/change.h"
#include "magnoliatide/telemetry/log.h"
#include "magnoliatide/wire/codec.h"
#include "platform/store_values.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kFetchTimeout = Milliseconds(800);

/// The longest time that a VM with an empty replica waits for other VMs before
/// it reads the store. Seeds read it at once.
constexpr Duration kMaxFirstReadDelay = Milliseconds(250);

/// The wait if a seed of the zone runs. The seed reads the store and sends the
/// items to the others, because the store would refuse most of the calls if
/// hundreds of VMs that start together read it.
constexpr Duration kSeedReadDelay = Milliseconds(600);

Duration
FirstReadDelay(bool aSeed)
{
  return aSeed ? Duration::zero()
               : kMaxFirstReadDelay * static_cast<int>(RandomId() % 100) / 100;
}

/// The maximum number of bytes of items that are pushed to other VMs, which
/// fetch larger changes.
constexpr std::size_t kMaxPushBytes = 1000;

/// Uncompressed bytes of items per page of a reply to another VM. Even a slow
/// link transfers a page well within kFetchTimeout.
constexpr std::size_t kPageBytes = 64 * 1024;

static_assert(platform::kMaxValueBytes <= wire::kMaxStringBytes);

std::vector<wire::ReplicaItem>
ItemsOf(const std::vector<platform::StoreItem>& aItems)
{
  std::vector<wire::ReplicaItem> items;
  for (const auto& item : aItems) {
    items.push_back({ item.key,
                      item.value.value_or(""),
                      item.revision,
                      !item.value.has_value() });
  }
  return items;
}

} // namespace

ReplicaService::ReplicaService(ReplicaServiceParams aParams)
  : mParams(std::move(aParams))
  , mDirectory(mParams.directory)
  , mReaderElection({}, Clock::now())
  , mPeerSelector({}, RandomId())
  , mSource(RandomId())
  , mFollower(MakeFollowerParams())
  , mStarted(Clock::now())
  , mFirstReadDelay(FirstReadDelay(mParams.isSeed))
  , mLog(*mParams.metrics, *mParams.audit)
{
}

StoreFollowerParams
ReplicaService::MakeFollowerParams()
{
  StoreFollowerParams params;
  params.loop = mParams.loop;
  params.options = mParams.follower;
  params.knownRevision = [this] { return mReplica.Revision(); };
  params.onList = [this](const auto& aItems, std::uint64_t aRevision) {
    const auto before = mReplica.Revision();
    const auto newItems = mReplica.ApplySnapshot(ItemsOf(aItems), aRevision);
    mReplica.RecordRevision(aRevision);
    ApplyNewItems(newItems, "store");
    PushChanges(before);
  };
  params.onChanges = [this](const auto& aItems, std::uint64_t aRevision) {
    const auto before = mReplica.Revision();
    const auto newItems = mReplica.Apply(ItemsOf(aItems));
    mReplica.RecordRevision(aRevision);
    ApplyNewItems(newItems, "store");
    PushChanges(before);
  };
  params.onHealth = [this](bool aAnswers, platform::StoreStatus aStatus) {
    mDirectory.RecordStoreAccess(aAnswers, Clock::now());
    mParams.audit->Add("platform store",
                       aAnswers ? "away" : "answering",
                       aAnswers ? "answering" : "away",
                       platform::Name(aStatus));
  };
  return params;
}

void
ReplicaService::Start()
{
  mFollower.Start();
}

void
ReplicaService::Tick(TimePoint aNow)
{
  mFollower.SetActive(ReadsStore(aNow));
  FetchMissing();
  mReaderElection.RecordBehind(mMaxPeerRevision > mReplica.Revision(), aNow);
  if (mFollower.IsReading() && aNow >= mNextAnnouncement) {
    SendAnnouncement(aNow);
  }
  if (mDirectory.Tick(aNow)) {
    mLog.RecordChanges(mDirectory, mReplica.Revision(), "deferred removals");
    mParams.onServers();
  }
}

/// Returns whether this VM must read the store. A VM with an empty replica
/// waits first, and as long as it can fetch the items from a VM of its zone.
bool
ReplicaService::ReadsStore(TimePoint aNow) const
{
  if (mReplica.Revision() > 0) {
    return mReaderElection.Reads(aNow);
  }
  const Duration wait = mSeedRunning ? kSeedReadDelay : mFirstReadDelay;
  return aNow - mStarted >= wait && !mFetching &&
         !mPeerSelector.HasPeerInZone(0);
}

bool
ReplicaService::RecordLeaving(const std::string& aServer,
                              std::uint64_t aStarted,
                              const std::string& aWhy)
{
  if (!mDirectory.RecordLeaving(aServer, aStarted)) {
    return false;
  }
  mParams.audit->Add("backend " + aServer, "good", "leaving", aWhy);
  mParams.onServers();
  return true;
}

void
ReplicaService::ApplyNewItems(const std::vector<wire::ReplicaItem>& aNewItems,
                              const std::string& aFrom)
{
  mLog.RecordEra(mReplica.Revision(), aFrom);
  bool servers = false;
  for (const auto& item : aNewItems) {
    if (item.key == platform::kConfigurationKey) {
      ApplyConfiguration(item, aFrom);
    } else if (item.key.starts_with(platform::kServerPrefix)) {
      servers |= ApplyServer(item);
    } else if (item.key.starts_with(platform::kEvacuationPrefix)) {
      servers |= ApplyEvacuation(item);
    }
  }
  if (servers) {
    mLog.RecordChanges(mDirectory, mReplica.Revision(), aFrom);
    mParams.onServers();
  }
  PublishTable();
}

/// Applies a change of an operator's request to evacuate a zone.
bool
ReplicaService::ApplyEvacuation(const wire::ReplicaItem& aItem)
{
  return mDirectory.SetEvacuated(
    aItem.key.substr(platform::kEvacuationPrefix.size()),
    !aItem.removed,
    aItem.revision,
    Clock::now());
}

/// Publishes a changed configuration once the replica is complete. Requests
/// that were decided on earlier could be sent to servers of a zone whose
/// evacuation is not known yet.
void
ReplicaService::PublishTable()
{
  if (!mTableChanged || mReplica.Revision() == 0) {
    return;
  }
  mTableChanged = false;
  mParams.table->Store(mDirectory.Table());
  mParams.onTable(mDirectory.Table());
}

/// Applies a change of a server's entry. One that cannot be decoded comes from
/// another writer and says nothing about the server, whose last valid entry
/// counts until the next one or its removal.
bool
ReplicaService::ApplyServer(const wire::ReplicaItem& aItem)
{
  fleet::ServerEntry entry;
  entry.id = aItem.key.substr(platform::kServerPrefix.size());
  entry.revision = aItem.revision;
  if (!aItem.removed) {
    std::string problem;
    entry.server = platform::DecodeServer(entry.id, aItem.value, problem);
    if (!entry.server) {
      telemetry::LogWarning("entry-skipped",
                            { { "key", aItem.key },
                              { "revision", FormatRevision(aItem.revision) },
                              { "problem", problem } });
      return false;
    }
  }
  return mDirectory.MergeServer(entry, Clock::now());
}

void
ReplicaService::ApplyConfiguration(const wire::ReplicaItem& aItem,
                                   const std::string& aFrom)
{
  if (aItem.removed) {
    return;
  }
  const auto decoded = platform::DecodeTable(aItem.value);
  for (const auto& problem : decoded.problems) {
    telemetry::LogError("configuration-problem",
                        { { "revision", FormatRevision(aItem.revision) },
                          { "problem", problem } });
  }
  const auto before = mDirectory.Table();
  if (!mDirectory.MergeTable(decoded.table)) {
    return;
  }
  mTableChanged = true;
  mParams.audit->Add("configuration",
                     before ? std::to_string(before->version) : "",
                     std::to_string(decoded.table->version),
                     "revision " + FormatRevision(aItem.revision) + " from " +
                       aFrom);
  telemetry::LogInfo(
    "configuration",
    { { "version", decoded.table->version },
      { "revision", FormatRevision(aItem.revision) },
      { "from", aFrom },
      { "changes", routing::DescribeChange(before, *decoded.table) } });
}

/// Returns for how long the store has been reachable, in milliseconds. A VM
/// that has only just begun to read it passes on what others have told it, so
/// that a change of the reader does not look like a return of the store.
std::uint32_t
ReplicaService::StoreUpMillis(TimePoint aNow) const
{
  const auto up = std::chrono::duration_cast<Milliseconds>(
    aNow - mDirectory.StoreReachableSince());
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    up.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Announces to the VMs of the zone that this one reads the store for them.
void
ReplicaService::SendAnnouncement(TimePoint aNow)
{
  mNextAnnouncement = aNow + mReaderElection.AnnouncePeriod();
  const auto revision = mReplica.Revision();
  wire::ReplicaUpdate announcement;
  announcement.after = revision;
  announcement.upTo = revision;
  announcement.readsStore = true;
  announcement.storeUpMillis = StoreUpMillis(aNow);
  for (const auto& address : mParams.peersInZone()) {
    mParams.link->Send(address, announcement);
  }
}

/// Sends the VMs of the zone all changes after a revision, including those that
/// were known here already, as they may be new to others. If the changes do not
/// fit a datagram, the message carries none: VMs that see the higher revision
/// fetch them.
void
ReplicaService::PushChanges(std::uint64_t aBefore)
{
  auto changes = mReplica.PageAfter({ aBefore, 0 }, kMaxPushBytes);
  if (changes.items.empty()) {
    return;
  }
  std::size_t bytes = 0;
  for (const auto& item : changes.items) {
    bytes += item.key.size() + item.value.size();
  }
  if (changes.pageUpTo > 0 || changes.isSnapshot || bytes > kMaxPushBytes) {
    changes = {};
  }
  changes.readsStore = mFollower.IsReading();
  changes.storeUpMillis = StoreUpMillis(Clock::now());
  for (const auto& address : mParams.peersInZone()) {
    mParams.link->Send(address, changes);
  }
}

void
ReplicaService::RecordRevision(const std::string& aAddress,
                               std::uint64_t aRevision,
                               bool aInZone)
{
  mMaxPeerRevision = std::max(mMaxPeerRevision, aRevision);
  mPeerSelector.RecordRevision(
    aAddress, aRevision, aInZone, mReplica.Revision(), Clock::now());
  FetchMissing();
}

void
ReplicaService::FetchMissing()
{
  const auto address =
    mFetching ? std::nullopt
              : mPeerSelector.Choose(mReplica.Revision(), Clock::now());
  if (address) {
    mFetching = true;
    StartControlTask(
      *mParams.loop, "fetch", [this, peer = *address] { return Fetch(peer); });
  }
}

/// Fetches missing changes from one VM after the other until no known peer has
/// a higher revision.
asio::awaitable<void>
ReplicaService::Fetch(std::string aAddress)
{
  std::optional<std::string> address = std::move(aAddress);
  while (address) {
    const auto knownRevision = mReplica.Revision();
    co_await FetchFrom(*address);
    if (mReplica.Revision() <= knownRevision) {
      mPeerSelector.RecordFailure(*address);
    }
    address = mPeerSelector.Choose(mReplica.Revision(), Clock::now());
  }
  mFetching = false;
}

/// Fetches and applies all pages of one VM's reply. Stops if another process
/// replies at that address: pages of two processes may not fit together.
asio::awaitable<void>
ReplicaService::FetchFrom(std::string aAddress)
{
  wire::ReplicaRequest next;
  next.after = mReplica.Revision();
  std::uint64_t source = 0;
  fleet::PartialReply partial;
  while (true) {
    wire::FrameBody request = next;
    const auto frame =
      co_await mParams.link->Call(aAddress, std::move(request), kFetchTimeout);
    const auto* page =
      frame ? std::get_if<wire::ReplicaUpdate>(&*frame) : nullptr;
    const bool otherSource =
      page != nullptr && source != 0 && page->source != source;
    if (page == nullptr || otherSource) {
      co_return;
    }
    ApplyNewItems(mReplica.ApplyPage(*page, partial), aAddress);
    if (page->pageUpTo <= next.resumeAfter) {
      co_return;
    }
    source = page->source;
    next.resumeAfter = page->pageUpTo;
  }
}

void
ReplicaService::Apply(const wire::ReplicaUpdate& aUpdate,
                      const std::string& aFrom,
                      bool aInZone)
{
  if (aUpdate.readsStore) {
    const auto now = Clock::now();
    mDirectory.RecordRemoteStoreAccess(now -
                                       Milliseconds(aUpdate.storeUpMillis));
    if (aInZone) {
      mReaderElection.RecordAnnouncement(now);
    }
  }
  const bool isContiguous = aUpdate.after <= mReplica.Revision();
  const auto newItems = mReplica.Apply(aUpdate.items);
  if (isContiguous) {
    mReplica.RecordRevision(aUpdate.upTo);
  }
  ApplyNewItems(newItems, aFrom);
}

wire::ReplicaUpdate
ReplicaService::HandleRequest(const wire::ReplicaRequest& aRequest) const
{
  auto page = mReplica.PageAfter(aRequest, kPageBytes);
  page.source = mSource;
  return page;
}

} // namespace magnoliatide::node
