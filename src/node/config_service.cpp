// The document in force.
#include "config_service.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/rendezvous.h"
#include "magnoliatide/document/delta.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kWatchWait = Seconds(20);
constexpr Duration kRetry = Milliseconds(700);
constexpr Duration kDutyCheck = Seconds(1);
constexpr int kRestChecks = 60; ///< Duty checks between reads when off duty.
constexpr Duration kFetchBound = Seconds(2);
constexpr std::size_t kMostRefused = 256;
constexpr std::size_t kShortDigits = 16;
constexpr std::size_t kFormerHeld = 4;
constexpr std::size_t kMostParts = 4096;
constexpr auto kDutyTurn = std::chrono::minutes(10);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Puts a peer's answer together. Returns an empty text if it builds on a
/// document that is no longer the one in force here.
std::string
TextOf(const wire::DocumentReply& aReply, const document::Document* aCurrent)
{
  const bool builds = aReply.base.generation > 0;
  const bool fits = aCurrent != nullptr &&
                    aCurrent->generation == aReply.base.generation &&
                    ShortDigest(aCurrent->digest) == aReply.base.digest;
  if (builds && !fits) {
    return "";
  }
  std::vector<document::DeltaPart> parts;
  for (const auto& part : aReply.parts) {
    parts.push_back({ part.first, part.count, part.text });
  }
  const std::string base = builds ? aCurrent->text : "";
  return document::ApplyDelta(base, parts).value_or("");
}

} // namespace

std::string
ShortDigest(const std::string& aDigest)
{
  return aDigest.substr(0, kShortDigits);
}

ConfigService::ConfigService(ConfigServiceParts aParts)
  : mParts(std::move(aParts))
  , mInForce(mParts.settings.environment)
{
}

void
ConfigService::Start()
{
  asio::co_spawn(*mParts.loop, WatchConfig(), asio::detached);
  asio::co_spawn(*mParts.loop, WatchList(), asio::detached);
}

wire::DocumentHead
ConfigService::Head() const
{
  const auto& current = mInForce.Current();
  if (!current) {
    return {};
  }
  return { current->generation, ShortDigest(current->digest) };
}

asio::awaitable<void>
ConfigService::Pause(Duration aTime)
{
  asio::steady_timer timer(*mParts.loop, aTime);
  co_await timer.async_wait(kNoThrow);
}

platform::ReaderOptions
ConfigService::Reader() const
{
  return { mParts.settings.platformAddress,
           mParts.settings.environment,
           mParts.settings.peerBind.host };
}

bool
ConfigService::OnDuty() const
{
  const auto turn = WallClock::now().time_since_epoch() / kDutyTurn;
  const auto ranked =
    RankByRendezvous("readers " + std::to_string(turn), mParts.liveInZone());
  const auto& current = mInForce.Current();
  const auto readers =
    static_cast<std::size_t>(current ? current->limits.readersPerZone
                                     : document::Limits{}.readersPerZone);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(readers, ranked.size()));
  return std::find(ranked.begin(), end, mParts.settings.slot) != end;
}

/// Waits until this VM is on duty or it is time for a read all the same.
asio::awaitable<void>
ConfigService::Rest()
{
  const int checks =
    kRestChecks + static_cast<int>(RandomId() % (kRestChecks / 2));
  for (int i = 0; i < checks && !OnDuty(); ++i) {
    co_await Pause(kDutyCheck);
  }
}

asio::awaitable<void>
ConfigService::WatchConfig()
{
  std::uint64_t index = 0;
  while (true) {
    const bool duty = OnDuty();
    const Duration wait = duty && index > 0 ? kWatchWait : Duration::zero();
    auto value = co_await platform::ReadConfig(Reader(), index, wait);
    mParts.metrics->Count("platform_calls_total");
    if (value.status == platform::ReadStatus::kValue) {
      index = value.index;
      Offer("platform", value.text);
    } else if (value.status == platform::ReadStatus::kFailed) {
      index = 0;
      co_await Pause(kRetry + Milliseconds(RandomId() % 300));
    }
    if (mInForce.Current()) {
      co_await Rest();
    }
  }
}

asio::awaitable<void>
ConfigService::WatchList()
{
  std::uint64_t index = 0;
  while (true) {
    const bool duty = OnDuty();
    const Duration wait = duty && index > 0 ? kWatchWait : Duration::zero();
    const auto list = co_await platform::ReadVmList(Reader(), index, wait);
    mParts.metrics->Count("platform_calls_total");
    if (list.status == platform::ReadStatus::kValue) {
      index = list.index;
      mParts.onList(list);
    } else if (list.status == platform::ReadStatus::kFailed) {
      index = 0;
      co_await Pause(kRetry + Milliseconds(RandomId() % 300));
    }
    if (index > 0) {
      co_await Rest();
    }
  }
}

void
ConfigService::NoteHead(const std::string& aAddress,
                        const wire::DocumentHead& aHead)
{
  const auto own = Head();
  const bool ahead = document::Supersedes(
    aHead.generation, aHead.digest, own.generation, own.digest);
  if (!ahead || mFetching || mRefused.count(aHead.digest) > 0) {
    return;
  }
  mFetching = true;
  asio::co_spawn(*mParts.loop, Fetch(aAddress), asio::detached);
}

asio::awaitable<void>
ConfigService::Fetch(std::string aAddress)
{
  wire::FrameBody request = wire::DocumentRequest{ Head() };
  const auto answer =
    co_await mParts.link->Ask(aAddress, std::move(request), kFetchBound);
  const auto* reply =
    answer ? std::get_if<wire::DocumentReply>(&*answer) : nullptr;
  if (reply != nullptr) {
    const auto text = TextOf(*reply, mInForce.Current().get());
    Offer("peer " + aAddress, text);
  }
  mFetching = false;
}

wire::DocumentReply
ConfigService::Answer(const wire::DocumentRequest& aRequest) const
{
  wire::DocumentReply reply;
  const auto& current = mInForce.Current();
  if (!current) {
    return reply;
  }
  std::string base;
  for (const auto& former : mFormer) {
    const bool same = former->generation == aRequest.have.generation &&
                      ShortDigest(former->digest) == aRequest.have.digest;
    if (same) {
      base = former->text;
      reply.base = aRequest.have;
    }
  }
  const auto delta = document::MakeDelta(base, current->text);
  if (delta.size() > kMostParts) {
    reply.base = {};
    reply.parts.push_back({ 0, 0, current->text });
    return reply;
  }
  for (const auto& part : delta) {
    reply.parts.push_back({ part.first, part.count, part.text });
  }
  return reply;
}

void
ConfigService::Offer(const std::string& aSource, const std::string& aText)
{
  if (aText.empty()) {
    return;
  }
  const auto before = Head();
  const auto former = mInForce.Current();
  std::vector<Fault> faults;
  const auto result = mInForce.Offer(aSource, aText, faults);
  mParts.metrics->Count("documents_offered_total",
                        { { "result", document::Name(result) } });
  switch (result) {
    case document::OfferResult::kSame:
      return;
    case document::OfferResult::kAccepted:
    case document::OfferResult::kRaceWon:
      mParts.cell->Store(mInForce.Current());
      if (former) {
        mFormer.push_back(former);
      }
      if (mFormer.size() > kFormerHeld) {
        mFormer.pop_front();
      }
      Report(result, aSource, before, faults);
      mParts.onAccepted(*mInForce.Current());
      return;
    default: {
      if (mRefused.size() >= kMostRefused) {
        mRefused.clear();
      }
      const bool news = mRefused.insert(ShortDigest(Sha256Hex(aText))).second;
      if (news) {
        Report(result, aSource, before, faults);
      }
      return;
    }
  }
}

void
ConfigService::Report(document::OfferResult aResult,
                      const std::string& aSource,
                      const wire::DocumentHead& aBefore,
                      const std::vector<Fault>& aFaults)
{
  const auto name = [](const wire::DocumentHead& aHead) {
    return std::to_string(aHead.generation) + ":" + aHead.digest;
  };
  std::string cause = std::string(document::Name(aResult)) + " from " + aSource;
  for (const auto& fault : aFaults) {
    cause += " | " + Describe(fault);
  }
  mParts.audit->Add("configuration", name(aBefore), name(Head()), cause);
}

} // namespace magnoliatide::node
