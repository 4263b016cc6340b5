// Test double of the platform's metadata store with items, paged lists,
// long-poll watches, and faults that are set at run time.
#ifndef MAGNOLIATIDE_STANDINS_STORE_H
#define MAGNOLIATIDE_STANDINS_STORE_H

#include "standin.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::standins {

/// How the store mishandles calls.
enum class StoreFault
{
  kNone,
  kSilent,          ///< Never answers.
  kUnavailable,     ///< 503.
  kTooManyRequests, ///< 429.
  kReset,           ///< Resets the connection.
  kUnreadable,      ///< 200 with an incomplete JSON body.
  kHastyWatch,      ///< Answers a watch at once, without events.
};

/// A metadata store in memory; its methods may be called from any thread.
class Store : public Service
{
public:
  /// Creates or overwrites an item.
  void Put(const std::string& aKey, const std::string& aValue);

  void Remove(const std::string& aKey);

  /// Adds a field to an item, as a JSON text that need not be valid. Counts as
  /// a change of the item.
  void SetNote(const std::string& aKey, const std::string& aText);

  void SetFault(StoreFault aFault);

  /// Resets the connections of all watches that are waiting.
  void CutWatches();

  /// Discards the history; a watch from an earlier revision gets 410.
  void Compact();

  /// Keeps a copy of the present state.
  void SaveCopy();

  /// Comes back from the kept copy, as an operator's drill does: what was
  /// written since is gone, its revisions are given out again, and the era
  /// rises. Cuts all watches.
  void RestoreCopy();

  /// Sets the number of items per page.
  void SetPageSize(std::size_t aItems);

  std::uint64_t Calls() const;

  boost::asio::awaitable<void> Handle(http::Exchange& aExchange) override;

private:
  struct Item
  {
    std::optional<std::string> value; ///< Empty if removed.
    std::string note;                 ///< Text of an additional field.
    std::uint64_t revision = 0;       ///< Revision of the last change.
    std::uint64_t created = 0;
  };

  /// What a copy of the store contains.
  struct State
  {
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
  };

  StoreFault Fault() const;
  std::uint64_t Cuts() const;
  boost::asio::awaitable<void> Fail(http::Exchange& aExchange,
                                    StoreFault aFault);
  boost::asio::awaitable<void> Watch(http::Exchange& aExchange,
                                     const http::Request& aRequest);
  static std::string ItemText(const std::string& aKey, const Item& aItem);
  http::Response ItemResponse(const http::Request& aRequest) const;
  http::Response Range(const http::Request& aRequest) const;
  http::Response EmptyEvents(std::uint64_t aAfter) const;
  http::Response WithEra(http::Response aResponse) const;
  std::optional<http::Response> EventsResponse(const std::string& aPrefix,
                                               std::uint64_t aAfter) const;

  mutable std::mutex mMutex; ///< Guards all members below.
  std::map<std::string, Item> mItems;
  std::uint64_t mRevision = 1;
  State mCopy;
  std::uint64_t mEra = 1;
  std::uint64_t mCompactedRevision = 0; ///< First revision to watch from.
  std::size_t mPageSize = 50;
  StoreFault mFault = StoreFault::kNone;
  std::uint64_t mCuts = 0; ///< Calls of CutWatches().
  std::uint64_t mCalls = 0;
};

} // namespace magnoliatide::standins

#endif
