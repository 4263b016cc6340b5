// One coroutine lists and watches the store, another one pings it.
#include "store_follower.h"

#include "control_task.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/core/store_revision.h"
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
  mFollows = false;
  mRetryDelay = mParams.options.minRetryDelay;
  if (mActive) {
    mFollowWake.cancel();
    mPingWake.cancel();
  } else {
    Interrupt();
  }
}

/// Ends the call of the list-and-watch loop that is in progress.
void
StoreFollower::Interrupt()
{
  mInterrupted = true;
  mWatcher.Interrupt();
}

/// Returns whether a reply comes from an earlier era than one that is known. It
/// was on its way when the store came back from a copy, or another instance of
/// the store answers.
bool
StoreFollower::IsOutdated(const platform::StoreReply& aReply) const
{
  const bool answered = aReply.status == platform::StoreStatus::kDone ||
                        aReply.status == platform::StoreStatus::kForgotten;
  return answered && aReply.era < EraOf(mParams.knownRevision());
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
    mInterrupted = false;
    bool succeeded = false;
    if (mParams.knownRevision() == 0 || mHistoryLost) {
      succeeded = co_await ListAll();
    } else {
      succeeded = co_await WatchOnce();
    }
    if (!succeeded) {
      mFollows = false;
      co_await AwaitAnswer();
    }
  }
}

/// Finds out after a failed call whether the store is away. If it is, waits
/// until it answers, else for the retry delay: it may refuse only this call.
asio::awaitable<void>
StoreFollower::AwaitAnswer()
{
  co_await CheckStore();
  if (mAnswers) {
    co_await BackOff();
    co_return;
  }
  while (mActive && !mAnswers) {
    co_await BackOff();
    co_await CheckStore();
  }
  mRetryDelay = mParams.options.minRetryDelay;
}

/// Makes a call that the store answers at once, unlike a watch.
asio::awaitable<void>
StoreFollower::CheckStore()
{
  mInterrupted = false;
  auto reply = co_await mWatcher.Ping(kPingKey);
  if (IsOutdated(reply)) {
    reply.status = platform::StoreStatus::kUnreadable;
  }
  if (!mInterrupted) {
    UpdateHealth(reply.status);
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
    if (mInterrupted) {
      co_return true;
    }
    const bool isDone = reply.status == platform::StoreStatus::kDone;
    if ((isDone && CounterOf(reply.revision) == 0) || IsOutdated(reply)) {
      // The store's revision counter starts above 0.
      reply.status = platform::StoreStatus::kUnreadable;
    }
    if (reply.status != platform::StoreStatus::kDone) {
      LogFailed("list", reply.status);
      co_return false;
    }
    UpdateHealth(reply.status);
    if (mList.revision == 0) {
      mList.revision = reply.revision;
    } else if (reply.era != EraOf(mList.revision)) {
      // The store came back from a copy between two pages.
      mList = {};
      co_return true;
    }
    LogSkipped(reply);
    for (auto& item : reply.items) {
      mList.items.push_back(std::move(item));
    }
    if (!reply.truncated) {
      break;
    }
    if (reply.lastKey <= mList.after) {
      LogFailed("list", platform::StoreStatus::kUnreadable);
      co_return false;
    }
    mList.after = reply.lastKey;
  }
  mHistoryLost = false;
  mFollows = true;
  mRetryDelay = mParams.options.minRetryDelay;
  const auto list = std::exchange(mList, {});
  mParams.onList(list.items, list.revision);
  co_return true;
}

asio::awaitable<bool>
StoreFollower::WatchOnce()
{
  const auto known = mParams.knownRevision();
  const auto start = Clock::now();
  mWatchNumber += 1;
  mWatching = true;
  auto reply =
    co_await mWatcher.Watch(kAllKeys, known, mParams.options.watchTime);
  mWatching = false;
  if (mInterrupted) {
    co_return true;
  }
  if (IsOutdated(reply)) {
    reply.status = platform::StoreStatus::kUnreadable;
  }
  if (reply.status == platform::StoreStatus::kForgotten) {
    UpdateHealth(reply.status);
    mHistoryLost = true;
    co_return true;
  }
  if (reply.status != platform::StoreStatus::kDone) {
    LogFailed("watch", reply.status);
    co_return false;
  }
  UpdateHealth(reply.status);
  mFollows = true;
  LogSkipped(reply);
  mParams.onChanges(reply.items, reply.revision);
  const bool changed = reply.revision > known;
  if (!changed && Clock::now() - start < mParams.options.maxRetryDelay) {
    // A watch that ended without changes right away must not be repeated at
    // once.
    co_await BackOff();
    co_return true;
  }
  mRetryDelay = mParams.options.minRetryDelay;
  if (changed) {
    co_await Sleep(mParams.options.settleTime);
  }
  co_return true;
}

/// Detects the loss and the return of the store, which a watch does not show
/// while nothing changes. Interrupts a watch that is stalled: it waits since
/// before the return, or there are changes that it has not returned.
asio::awaitable<void>
StoreFollower::PingLoop()
{
  while (true) {
    co_await Sleep(mParams.options.pingPeriod);
    co_await AwaitActive(mPingWake);
    const auto known = mParams.knownRevision();
    const auto watch = mWatchNumber;
    const bool wasWatching = mWatching;
    const bool wasAnswering = mAnswers;
    auto reply = co_await mPinger.Ping(kPingKey);
    if (!mActive) {
      continue;
    }
    if (IsOutdated(reply)) {
      reply.status = platform::StoreStatus::kUnreadable;
    }
    UpdateHealth(reply.status);
    const bool sameWatch = wasWatching && mWatching && watch == mWatchNumber;
    if (reply.status != platform::StoreStatus::kDone || !sameWatch) {
      continue;
    }
    const bool behind =
      mParams.knownRevision() == known && reply.revision > known;
    // A watch from a revision that the store does not have may wait on.
    mHistoryLost |= reply.era > EraOf(known);
    if (behind || !wasAnswering) {
      Interrupt();
    } else {
      mFollows = true;
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
                            { "revision", FormatRevision(aReply.revision) },
                            { "problem",
                              std::to_string(aReply.skipped) +
                                " entries have no key or no revision" } });
  }
}

void
StoreFollower::LogFailed(const char* aCall, platform::StoreStatus aStatus) const
{
  telemetry::LogInfo("store-call-failed",
                     { { "call", aCall },
                       { "status", platform::Name(aStatus) },
                       { "known", FormatRevision(mParams.knownRevision()) },
                       { "store", mAnswers ? "answering" : "away" } });
}

void
StoreFollower::UpdateHealth(platform::StoreStatus aStatus)
{
  const bool answers = aStatus == platform::StoreStatus::kDone ||
                       aStatus == platform::StoreStatus::kForgotten;
  if (answers == mAnswers) {
    return;
  }
  mAnswers = answers;
  mParams.onHealth(answers, aStatus);
}

} // namespace magnoliatide::node
