// Follows the platform's metadata store: reads everything once, then watches
// for changes, and starts over when the store has forgotten them.
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

struct StoreFollowerOptions
{
  platform::StoreOptions store;
  Duration watchTime = Seconds(30); ///< The longest that the store allows.
  /// Between the end of a watch that told changes and the next one, so that
  /// changes in quick succession come in one answer.
  Duration settleTime = Milliseconds(150);
  Duration pingPeriod = Milliseconds(1500);
  Duration leastRetry = Milliseconds(200);
  Duration mostRetry = Milliseconds(1500);
};

struct StoreFollowerParts
{
  boost::asio::io_context* loop = nullptr;
  StoreFollowerOptions options;
  /// Returns the revision up to which everything is known, 0 for none.
  std::function<std::uint64_t()> known;
  /// Called with all items, at the start and after a gap in the history.
  std::function<void(const std::vector<platform::StoreItem>&,
                     std::uint64_t aRevision)>
    onList;
  /// Called with changes, in order.
  std::function<void(const std::vector<platform::StoreItem>&,
                     std::uint64_t aRevision)>
    onChanges;
  /// Called when the store begins or ceases to answer.
  std::function<void(bool aAnswers, platform::StoreStatus)> onHealth;
};

class StoreFollower
{
public:
  explicit StoreFollower(StoreFollowerParts aParts);

  void Start();

  /// Begins or ceases to read.
  void SetActive(bool aActive);

  /// Returns whether the store is being read and answers.
  bool Reads() const { return mActive && mAnswers && mHeard; }

  /// Returns the calls made so far.
  std::uint64_t Calls() const;

private:
  /// The pages of a list so far.
  struct PartialList
  {
    std::vector<platform::StoreItem> items;
    std::string after;          ///< The last key.
    std::uint64_t revision = 0; ///< Of the first page; 0: there is none yet.
    TimePoint begun;
  };

  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<void> PingLoop();
  boost::asio::awaitable<bool> ListAll();
  boost::asio::awaitable<bool> WatchOnce();
  boost::asio::awaitable<void> Pause(Duration aTime);
  boost::asio::awaitable<void> BackOff();
  boost::asio::awaitable<void> AwaitActive(boost::asio::steady_timer& aWake);
  void NoteSkipped(const platform::StoreReply& aReply);
  void NoteHealth(platform::StoreStatus aStatus);

  StoreFollowerParts mParts;
  platform::StoreClient mWatcher;
  platform::StoreClient mPinger;
  std::mt19937_64 mRandom;
  // Waited for while not active; one for each loop, as a timer that is set anew
  // wakes who waits for it.
  boost::asio::steady_timer mFollowWake;
  boost::asio::steady_timer mPingWake;
  PartialList mList;
  bool mActive = false;
  bool mForgotten = false; ///< What is known cannot be continued.
  bool mAnswers = true;
  bool mHeard = false;   ///< The store answered since reading began.
  bool mRestart = false; ///< The watch in progress hears nothing any more.
  Duration mRetry{};
};

} // namespace magnoliatide::node

#endif
