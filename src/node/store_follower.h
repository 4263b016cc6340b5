// Follows the platform's metadata store: lists all items once, then watches for
// changes, and lists again when the store no longer has the changes needed.
#ifndef MAGNOLIATIDE_SRC_NODE_STORE_FOLLOWER_H
#define MAGNOLIATIDE_SRC_NODE_STORE_FOLLOWER_H

#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

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
/// that detect a stalled watch.
class StoreFollower
{
public:
  explicit StoreFollower(StoreFollowerParams aParams);

  void Start();

  /// Starts or stops reading.
  void SetActive(bool aActive);

  /// Returns whether the store is being read and answers.
  bool IsReading() const { return mActive && mAnswers && mAnsweredSinceActive; }

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
  boost::asio::awaitable<void> Sleep(Duration aTime);
  boost::asio::awaitable<void> BackOff();
  boost::asio::awaitable<void> AwaitActive(boost::asio::steady_timer& aWake);
  void LogSkipped(const platform::StoreReply& aReply);
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
  bool mAnswers = true;
  /// The store answered since reading last started.
  bool mAnsweredSinceActive = false;
  /// The result of the watch in progress is to be ignored.
  bool mWatchInterrupted = false;
  Duration mRetryDelay{};
};

} // namespace magnoliatide::node

#endif
