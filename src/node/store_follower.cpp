// The loop of lists and watches.
#include "store_follower.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Everything that is published.
constexpr const char* kEverything = "";

/// A key that is cheap to read, for pings.
constexpr const char* kPingKey = "op/config-ping";

/// How long a list may take from its first page on, lest its revision is older
/// than the store's history.
constexpr Duration kMostListTime = Seconds(5);

} // namespace

StoreFollower::StoreFollower(StoreFollowerParts aParts)
  : mParts(std::move(aParts))
  , mWatcher(mParts.loop->get_executor(), mParts.options.store)
  , mPinger(mParts.loop->get_executor(), mParts.options.store)
  , mRandom(RandomId())
  , mFollowWake(*mParts.loop)
  , mPingWake(*mParts.loop)
  , mRetry(mParts.options.leastRetry)
{
}

void
StoreFollower::Start()
{
  asio::co_spawn(*mParts.loop, Follow(), asio::detached);
  asio::co_spawn(*mParts.loop, PingLoop(), asio::detached);
}

void
StoreFollower::SetActive(bool aActive)
{
  if (aActive == mActive) {
    return;
  }
  mActive = aActive;
  mHeard = false;
  mRetry = mParts.options.leastRetry;
  if (mActive) {
    mFollowWake.cancel();
    mPingWake.cancel();
  } else {
    mRestart = true;
    mWatcher.Interrupt();
  }
}

std::uint64_t
StoreFollower::Calls() const
{
  return mWatcher.Calls() + mPinger.Calls();
}

asio::awaitable<void>
StoreFollower::Follow()
{
  while (true) {
    co_await AwaitActive(mFollowWake);
    bool good = false;
    if (mParts.known() == 0 || mForgotten) {
      good = co_await ListAll();
    } else {
      good = co_await WatchOnce();
    }
    if (good) {
      mRetry = mParts.options.leastRetry;
    } else {
      co_await BackOff();
    }
  }
}

asio::awaitable<void>
StoreFollower::AwaitActive(asio::steady_timer& aWake)
{
  while (!mActive) {
    aWake.expires_at(asio::steady_timer::time_point::max());
    co_await aWake.async_wait(kNoThrow);
  }
}

/// Reads all pages. They are no snapshot: the watch goes on from the first
/// page's revision, so that a change between two pages is told again. A page
/// that is not answered is asked for again, without those before it.
asio::awaitable<bool>
StoreFollower::ListAll()
{
  const auto now = Clock::now();
  if (mList.revision == 0 || now - mList.begun > kMostListTime) {
    mList = {};
    mList.begun = now;
  }
  while (true) {
    auto reply = co_await mWatcher.List(kEverything, mList.after);
    NoteHealth(reply.status);
    if (reply.status != platform::StoreStatus::kDone) {
      co_return false;
    }
    if (mList.revision == 0) {
      mList.revision = reply.revision;
    }
    NoteSkipped(reply);
    for (auto& item : reply.items) {
      mList.items.push_back(std::move(item));
    }
    if (!reply.truncated) {
      break;
    }
    if (reply.lastKey <= mList.after) {
      NoteHealth(platform::StoreStatus::kUnreadable);
      co_return false;
    }
    mList.after = reply.lastKey;
  }
  mForgotten = false;
  const auto list = std::exchange(mList, {});
  mParts.onList(list.items, list.revision);
  co_return true;
}

asio::awaitable<bool>
StoreFollower::WatchOnce()
{
  mRestart = false;
  auto reply = co_await mWatcher.Watch(
    kEverything, mParts.known(), mParts.options.watchTime);
  if (mRestart) {
    co_return true;
  }
  NoteHealth(reply.status);
  if (reply.status == platform::StoreStatus::kForgotten) {
    mForgotten = true;
    co_return true;
  }
  if (reply.status != platform::StoreStatus::kDone) {
    co_return false;
  }
  NoteSkipped(reply);
  mParts.onChanges(reply.items, reply.revision);
  if (!reply.items.empty()) {
    co_await Pause(mParts.options.settleTime);
  }
  co_return true;
}

/// Finds out when a watch has gone silent: the store answers again after it
/// did not, or knows of changes that the watch has not told.
asio::awaitable<void>
StoreFollower::PingLoop()
{
  while (true) {
    co_await Pause(mParts.options.pingPeriod);
    co_await AwaitActive(mPingWake);
    const auto before = mParts.known();
    const bool answered = mAnswers;
    const auto reply = co_await mPinger.Ping(kPingKey);
    const bool good = reply.status == platform::StoreStatus::kDone;
    const bool returned = good && !answered;
    const bool behind =
      good && mParts.known() == before && reply.revision > before;
    if (!good) {
      NoteHealth(reply.status);
    }
    if (before != 0 && (returned || behind)) {
      mRestart = true;
      mWatcher.Interrupt();
    }
  }
}

asio::awaitable<void>
StoreFollower::Pause(Duration aTime)
{
  asio::steady_timer timer(*mParts.loop, aTime);
  co_await timer.async_wait(kNoThrow);
}

asio::awaitable<void>
StoreFollower::BackOff()
{
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  const Duration pause = FromSeconds(ToSeconds(mRetry) * spread(mRandom));
  mRetry = std::min<Duration>(mRetry * 2, mParts.options.mostRetry);
  co_await Pause(pause);
}

void
StoreFollower::NoteSkipped(const platform::StoreReply& aReply)
{
  if (aReply.skipped > 0) {
    telemetry::LogWarning("entry-skipped",
                          { { "key", "up to " + aReply.lastKey },
                            { "revision", aReply.revision },
                            { "problem",
                              std::to_string(aReply.skipped) +
                                " entries have no key, no revision or a value "
                                "that is not base64" } });
  }
}

void
StoreFollower::NoteHealth(platform::StoreStatus aStatus)
{
  const bool answers = aStatus == platform::StoreStatus::kDone ||
                       aStatus == platform::StoreStatus::kForgotten;
  mHeard = mHeard || answers;
  if (answers == mAnswers) {
    return;
  }
  mAnswers = answers;
  mParts.onHealth(answers, aStatus);
}

} // namespace magnoliatide::node
