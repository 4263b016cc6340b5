// Follows the platform's metadata store: lists all items once, then watches for
// changes, and lists again when the store no longer has the changes needed.
#ifndef MAGNOLIATIDE_SRC_NODE_STORE_FOLLOWER_H
#define MAGNOLIATIDE_SRC_NODE_STORE_FOLLOWER_H

#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// The store to read, and the timing of calls to it.
struct StoreFollowerOptions
{
  platform::StoreOptions store;
  Duration watchTime = Seconds(30); ///< The maximum that the store allows.
  /// The delay between a watch that returned changes and the next one, so that
  /// changes in quick succession arrive in one reply.
  Duration settleTime = Milliseconds(150);
  Duration pingPeriod = Milliseconds(1500);
  Duration minRetryDelay = Milliseconds(200);
  Duration maxRetryDelay = Milliseconds(1500);
};

/// Options and callbacks of a StoreFollower.
struct StoreFollowerParams
{
  boost::asio::io_context* loop = nullptr;
  StoreFollowerOptions options;
  /// Returns the revision up to which all changes are known, 0 if there is
  /// none.
  std::function<std::uint64_t()> knownRevision;
  /// Called with all items: at the start, and after changes were missed.
  std::function<void(const std::vector<platform::StoreItem>&,
                     std::uint64_t aRevision)>
    onList;
  /// Called with changes, in the order of their revisions.
  std::function<void(const std::vector<platform::StoreItem>&,
                     std::uint64_t aRevision)>
    onChanges;
  /// Called when the store starts or stops answering.
  std::function<void(bool aAnswers, platform::StoreStatus)> onHealth;
};

/// Reads the store while it is active, in one list-and-watch loop, with pings
/// that detect a stalled watch, the loss of the store and its return.
class StoreFollower
{
public:
  explicit StoreFollower(StoreFollowerParams aParams);

  void Start();

  /// Starts or stops reading.
  void SetActive(bool aActive);

  /// Returns whether the store answers and its changes arrive here.
  bool IsReading() const { return mActive && mAnswers && mFollows; }

  /// Returns the number of calls made so far.
  std::uint64_t Calls() const;

private:
  /// The pages of a list received so far.
  struct PartialList
  {
    std::vector<platform::StoreItem> items;
    std::string after;          ///< The last key.
    std::uint64_t revision = 0; ///< Of the first page, 0 before it.
    TimePoint startedAt;
  };

  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<void> PingLoop();
  boost::asio::awaitable<bool> ListAll();
  boost::asio::awaitable<bool> WatchOnce();
  boost::asio::awaitable<void> AwaitAnswer();
  boost::asio::awaitable<void> CheckStore();
  boost::asio::awaitable<void> Sleep(Duration aTime);
  boost::asio::awaitable<void> BackOff();
  boost::asio::awaitable<void> AwaitActive(boost::asio::steady_timer& aWake);
  void Interrupt();
  bool IsOutdated(const platform::StoreReply& aReply) const;
  void LogSkipped(const platform::StoreReply& aReply);
  void LogFailed(const char* aCall, platform::StoreStatus aStatus) const;
  void UpdateHealth(platform::StoreStatus aStatus);

  StoreFollowerParams mParams;
  platform::StoreClient mWatcher;
  platform::StoreClient mPinger;
  std::mt19937_64 mRandom;
  // Each loop waits on its own timer while inactive, because setting a timer
  // again wakes the coroutines that wait on it.
  boost::asio::steady_timer mFollowWake;
  boost::asio::steady_timer mPingWake;
  PartialList mList;
  bool mActive = false;
  /// The store no longer has the changes after the known revision, so that a
  /// new list is needed.
  bool mHistoryLost = false;
  /// Whether the last call that shows it was answered: a ping, or a list or
  /// watch that succeeded. A watch that fails shows nothing, because the store
  /// may cut it at any time.
  bool mAnswers = true;
  /// Whether the last list or watch succeeded, or the store has answered a ping
  /// while the current watch was waiting.
  bool mFollows = false;
  /// The result of the call in progress is to be ignored.
  bool mInterrupted = false;
  std::uint64_t mWatchNumber = 0; ///< Of the last watch.
  bool mWatching = false;         ///< That watch is waiting.
  Duration mRetryDelay{};
};

} // namespace magnoliatide::node

#endif
