// Keeps the active configuration document.
#include "config_service.h"

#include "control_task.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/rendezvous.h"
#include "magnoliatide/document/delta.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kLongPollWait = Seconds(20);
constexpr Duration kRetryDelay = Milliseconds(700);
constexpr Duration kReaderCheckPeriod = Seconds(1);
/// A VM that is not a reader reads the platform after this number of reader
/// checks, plus a random number of up to half as many.
constexpr int kChecksBetweenReads = 60;
constexpr Duration kFetchTimeout = Seconds(2);
constexpr std::size_t kMaxRefusedDigests = 256;
constexpr std::size_t kShortDigestLength = 16;
constexpr std::size_t kMaxFormerDocuments = 4;
/// A longer delta is replaced by the complete text.
constexpr std::size_t kMaxDeltaOps = 4096;
/// Time after which the readers of a zone are chosen anew.
constexpr auto kReaderTerm = std::chrono::minutes(10);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Returns the text of the document in a peer's reply, or an empty string if
/// the reply is a delta that does not apply to the active document.
std::string
BuildText(const wire::DocumentReply& aReply, const document::Document* aCurrent)
{
  const bool isDelta = aReply.base.generation > 0;
  const bool hasBase = aCurrent != nullptr &&
                       aCurrent->generation == aReply.base.generation &&
                       ShortDigest(aCurrent->digest) == aReply.base.digest;
  if (isDelta && !hasBase) {
    return "";
  }
  std::vector<document::DeltaOp> ops;
  for (const auto& op : aReply.ops) {
    ops.push_back({ op.first, op.count, op.text });
  }
  const std::string base = isDelta ? aCurrent->text : "";
  return document::ApplyDelta(base, ops).value_or("");
}

} // namespace

std::string
ShortDigest(const std::string& aDigest)
{
  return aDigest.substr(0, kShortDigestLength);
}

ConfigService::ConfigService(ConfigServiceParams aParams)
  : mParams(std::move(aParams))
  , mActive(mParams.settings.environment)
{
}

void
ConfigService::Start()
{
  StartControlTask(
    *mParams.loop, "read-config", [this] { return WatchConfig(); });
  StartControlTask(*mParams.loop, "read-vms", [this] { return WatchVmList(); });
}

wire::DocumentVersion
ConfigService::ActiveVersion() const
{
  const auto& current = mActive.Current();
  if (!current) {
    return {};
  }
  return { current->generation, ShortDigest(current->digest) };
}

asio::awaitable<void>
ConfigService::Sleep(Duration aDuration)
{
  asio::steady_timer timer(*mParams.loop, aDuration);
  co_await timer.async_wait(kNoThrow);
}

platform::ReaderOptions
ConfigService::PlatformReaderOptions() const
{
  return { mParams.settings.platformAddress,
           mParams.settings.environment,
           mParams.settings.peerBind.host };
}

bool
ConfigService::IsReader() const
{
  const auto term = WallClock::now().time_since_epoch() / kReaderTerm;
  const auto ranked =
    RankByRendezvous("readers " + std::to_string(term), mParams.liveInZone());
  const auto& current = mActive.Current();
  const auto readers =
    static_cast<std::size_t>(current ? current->limits.readersPerZone
                                     : document::Limits{}.readersPerZone);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(readers, ranked.size()));
  return std::find(ranked.begin(), end, mParams.settings.slot) != end;
}

/// Waits until this VM is a reader, for a random time at most. VMs that are not
/// readers thus read the platform too, but rarely.
asio::awaitable<void>
ConfigService::WaitForNextRead()
{
  const int checks = kChecksBetweenReads +
                     static_cast<int>(RandomId() % (kChecksBetweenReads / 2));
  for (int i = 0; i < checks && !IsReader(); ++i) {
    co_await Sleep(kReaderCheckPeriod);
  }
}

asio::awaitable<void>
ConfigService::WatchConfig()
{
  std::uint64_t index = 0;
  while (true) {
    const bool isReader = IsReader();
    const Duration wait =
      isReader && index > 0 ? kLongPollWait : Duration::zero();
    auto value =
      co_await platform::ReadConfig(PlatformReaderOptions(), index, wait);
    mParams.metrics->Count("platform_calls_total");
    if (value.status == platform::ReadStatus::kValue) {
      index = value.index;
      Offer("platform", value.text);
    } else if (value.status == platform::ReadStatus::kFailed) {
      index = 0;
      co_await Sleep(kRetryDelay + Milliseconds(RandomId() % 300));
    }
    if (mActive.Current()) {
      co_await WaitForNextRead();
    }
  }
}

asio::awaitable<void>
ConfigService::WatchVmList()
{
  std::uint64_t index = 0;
  while (true) {
    const bool isReader = IsReader();
    const Duration wait =
      isReader && index > 0 ? kLongPollWait : Duration::zero();
    const auto list =
      co_await platform::ReadVmList(PlatformReaderOptions(), index, wait);
    mParams.metrics->Count("platform_calls_total");
    if (list.status == platform::ReadStatus::kValue) {
      index = list.index;
      mParams.onVmList(list);
    } else if (list.status == platform::ReadStatus::kFailed) {
      index = 0;
      co_await Sleep(kRetryDelay + Milliseconds(RandomId() % 300));
    }
    if (index > 0) {
      co_await WaitForNextRead();
    }
  }
}

void
ConfigService::RecordPeerVersion(const std::string& aAddress,
                                 const wire::DocumentVersion& aVersion)
{
  const auto own = ActiveVersion();
  const bool isNewer = document::Supersedes(
    aVersion.generation, aVersion.digest, own.generation, own.digest);
  if (!isNewer || mFetching || mRefusedDigests.count(aVersion.digest) > 0) {
    return;
  }
  mFetching = true;
  asio::co_spawn(*mParams.loop, FetchDocument(aAddress), asio::detached);
}

asio::awaitable<void>
ConfigService::FetchDocument(std::string aAddress)
{
  wire::FrameBody request = wire::DocumentRequest{ ActiveVersion() };
  const auto frame =
    co_await mParams.link->Call(aAddress, std::move(request), kFetchTimeout);
  const auto* reply =
    frame ? std::get_if<wire::DocumentReply>(&*frame) : nullptr;
  if (reply != nullptr) {
    const auto text = BuildText(*reply, mActive.Current().get());
    Offer("peer " + aAddress, text);
  }
  mFetching = false;
}

wire::DocumentReply
ConfigService::HandleRequest(const wire::DocumentRequest& aRequest) const
{
  wire::DocumentReply reply;
  const auto& current = mActive.Current();
  if (!current) {
    return reply;
  }
  std::string base;
  for (const auto& former : mFormerDocuments) {
    const bool same =
      former->generation == aRequest.heldVersion.generation &&
      ShortDigest(former->digest) == aRequest.heldVersion.digest;
    if (same) {
      base = former->text;
      reply.base = aRequest.heldVersion;
    }
  }
  const auto delta = document::MakeDelta(base, current->text);
  if (delta.size() > kMaxDeltaOps) {
    reply.base = {};
    reply.ops.push_back({ 0, 0, current->text });
    return reply;
  }
  for (const auto& op : delta) {
    reply.ops.push_back({ op.first, op.count, op.text });
  }
  return reply;
}

void
ConfigService::Offer(const std::string& aSource, const std::string& aText)
{
  if (aText.empty()) {
    return;
  }
  const auto before = ActiveVersion();
  const auto former = mActive.Current();
  std::vector<Fault> faults;
  const auto result = mActive.Offer(aSource, aText, faults);
  mParams.metrics->Count("documents_offered_total",
                         { { "result", document::Name(result) } });
  switch (result) {
    case document::OfferResult::kSame:
      return;
    case document::OfferResult::kAccepted:
    case document::OfferResult::kRaceWon:
      mParams.documentCell->Store(mActive.Current());
      if (former) {
        mFormerDocuments.push_back(former);
      }
      if (mFormerDocuments.size() > kMaxFormerDocuments) {
        mFormerDocuments.pop_front();
      }
      AuditOffer(result, aSource, before, faults);
      mParams.onAccepted(*mActive.Current());
      return;
    default: {
      if (mRefusedDigests.size() >= kMaxRefusedDigests) {
        mRefusedDigests.clear();
      }
      const bool isNew =
        mRefusedDigests.insert(ShortDigest(Sha256Hex(aText))).second;
      if (isNew) {
        AuditOffer(result, aSource, before, faults);
      }
      return;
    }
  }
}

void
ConfigService::AuditOffer(document::OfferResult aResult,
                          const std::string& aSource,
                          const wire::DocumentVersion& aBefore,
                          const std::vector<Fault>& aFaults)
{
  const auto format = [](const wire::DocumentVersion& aVersion) {
    return std::to_string(aVersion.generation) + ":" + aVersion.digest;
  };
  std::string cause = std::string(document::Name(aResult)) + " from " + aSource;
  for (const auto& fault : aFaults) {
    cause += " | " + Describe(fault);
  }
  mParams.audit->Add(
    "configuration", format(aBefore), format(ActiveVersion()), cause);
}

} // namespace magnoliatide::node
