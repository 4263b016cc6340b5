// One coroutine lists and watches the store, another one pings it.
#include "store_follower.h"

#include "control_task.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// The prefix of all keys.
constexpr const char* kAllKeys = "";

/// A key that is cheap to read, for pings.
constexpr const char* kPingKey = "op/config-ping";

/// How long a list may take from its first page on. After a slower one, the
/// store may no longer have the changes since the list's revision.
constexpr Duration kMaxListTime = Seconds(5);

} // namespace

StoreFollower::StoreFollower(StoreFollowerParams aParams)
  : mParams(std::move(aParams))
  , mWatcher(mParams.loop->get_executor(), mParams.options.store)
  , mPinger(mParams.loop->get_executor(), mParams.options.store)
  , mRandom(RandomId())
  , mFollowWake(*mParams.loop)
  , mPingWake(*mParams.loop)
  , mRetryDelay(mParams.options.minRetryDelay)
{
}

void
StoreFollower::Start()
{
  StartControlTask(*mParams.loop, "store-follow", [this] { return Follow(); });
  StartControlTask(*mParams.loop, "store-ping", [this] { return PingLoop(); });
}

void
StoreFollower::SetActive(bool aActive)
{
  if (aActive == mActive) {
    return;
  }
  mActive = aActive;
  mAnsweredSinceActive = false;
  mRetryDelay = mParams.options.minRetryDelay;
  if (mActive) {
    mFollowWake.cancel();
    mPingWake.cancel();
  } else {
    mWatchInterrupted = true;
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
    bool succeeded = false;
    if (mParams.knownRevision() == 0 || mHistoryLost) {
      succeeded = co_await ListAll();
    } else {
      succeeded = co_await WatchOnce();
    }
    if (succeeded) {
      mRetryDelay = mParams.options.minRetryDelay;
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

/// Reads all pages. Together they are not a consistent snapshot: the watch
/// starts at the first page's revision and so repeats changes made between two
/// pages. After a failed call, the next attempt continues with the missing
/// page.
asio::awaitable<bool>
StoreFollower::ListAll()
{
  const auto now = Clock::now();
  if (mList.revision == 0 || now - mList.startedAt > kMaxListTime) {
    mList = {};
    mList.startedAt = now;
  }
  while (true) {
    auto reply = co_await mWatcher.List(kAllKeys, mList.after);
    UpdateHealth(reply.status);
    if (reply.status != platform::StoreStatus::kDone) {
      co_return false;
    }
    if (reply.revision == 0) {
      // The store's revision counter starts above 0.
      UpdateHealth(platform::StoreStatus::kUnreadable);
      co_return false;
    }
    if (mList.revision == 0) {
      mList.revision = reply.revision;
    }
    LogSkipped(reply);
    for (auto& item : reply.items) {
      mList.items.push_back(std::move(item));
    }
    if (!reply.truncated) {
      break;
    }
    if (reply.lastKey <= mList.after) {
      UpdateHealth(platform::StoreStatus::kUnreadable);
      co_return false;
    }
    mList.after = reply.lastKey;
  }
  mHistoryLost = false;
  const auto list = std::exchange(mList, {});
  mParams.onList(list.items, list.revision);
  co_return true;
}

asio::awaitable<bool>
StoreFollower::WatchOnce()
{
  mWatchInterrupted = false;
  const auto known = mParams.knownRevision();
  const auto start = Clock::now();
  auto reply =
    co_await mWatcher.Watch(kAllKeys, known, mParams.options.watchTime);
  if (mWatchInterrupted) {
    co_return true;
  }
  UpdateHealth(reply.status);
  if (reply.status == platform::StoreStatus::kForgotten) {
    mHistoryLost = true;
    co_return true;
  }
  if (reply.status != platform::StoreStatus::kDone) {
    co_return false;
  }
  LogSkipped(reply);
  mParams.onChanges(reply.items, reply.revision);
  if (reply.revision <= known) {
    // A watch that ended without changes right away must not be repeated at
    // once.
    co_return Clock::now() - start >= mParams.options.maxRetryDelay;
  }
  co_await Sleep(mParams.options.settleTime);
  co_return true;
}

/// Detects a stalled watch and interrupts it: the store answers again after an
/// outage, or has changes that the watch has not returned.
asio::awaitable<void>
StoreFollower::PingLoop()
{
  while (true) {
    co_await Sleep(mParams.options.pingPeriod);
    co_await AwaitActive(mPingWake);
    const auto before = mParams.knownRevision();
    const bool wasAnswering = mAnswers;
    const auto reply = co_await mPinger.Ping(kPingKey);
    const bool succeeded = reply.status == platform::StoreStatus::kDone;
    const bool recovered = succeeded && !wasAnswering;
    const bool behind =
      succeeded && mParams.knownRevision() == before && reply.revision > before;
    if (!succeeded) {
      UpdateHealth(reply.status);
    }
    if (before != 0 && (recovered || behind)) {
      mWatchInterrupted = true;
      mWatcher.Interrupt();
    }
  }
}

asio::awaitable<void>
StoreFollower::Sleep(Duration aTime)
{
  asio::steady_timer timer(*mParams.loop, aTime);
  co_await timer.async_wait(kNoThrow);
}

asio::awaitable<void>
StoreFollower::BackOff()
{
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const Duration delay = FromSeconds(ToSeconds(mRetryDelay) * jitter(mRandom));
  mRetryDelay =
    std::min<Duration>(mRetryDelay * 2, mParams.options.maxRetryDelay);
  co_await Sleep(delay);
}

void
StoreFollower::LogSkipped(const platform::StoreReply& aReply)
{
  if (aReply.skipped > 0) {
    telemetry::LogWarning("entry-skipped",
                          { { "key", "up to " + aReply.lastKey },
                            { "revision", aReply.revision },
                            { "problem",
                              std::to_string(aReply.skipped) +
                                " entries have no key or no revision" } });
  }
}

void
StoreFollower::UpdateHealth(platform::StoreStatus aStatus)
{
  const bool answers = aStatus == platform::StoreStatus::kDone ||
                       aStatus == platform::StoreStatus::kForgotten;
  mAnsweredSinceActive = mAnsweredSinceActive || answers;
  if (answers == mAnswers) {
    return;
  }
  mAnswers = answers;
  mParams.onHealth(answers, aStatus);
}

} // namespace magnoliatide::node
