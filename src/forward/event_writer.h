// Writes the events of a stream to the caller: the first one immediately, later
// ones in batches. A lost packet delays all events after it, and batches need
// fewer packets, so fewer are lost.
#ifndef MAGNOLIATIDE_SRC_FORWARD_EVENT_WRITER_H
#define MAGNOLIATIDE_SRC_FORWARD_EVENT_WRITER_H

#include "magnoliatide/http/server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace magnoliatide::forward {

/// Batches the events of one streamed answer. Used on one event loop only.
class EventWriter : public std::enable_shared_from_this<EventWriter>
{
public:
  /// @param aExchange Must stay valid until Settle() or End() has returned.
  /// @param aMaxDelay Maximum time for which an event is buffered.
  EventWriter(const boost::asio::any_io_executor& aExecutor,
              http::Exchange& aExchange,
              Duration aMaxDelay);

  /// Writes status and headers. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> Begin(http::Response aHead);

  /// Queues events for writing and returns false if the caller has
  /// disconnected. Waits while too many bytes are buffered for a slow caller.
  boost::asio::awaitable<bool> Push(std::string aEvents);

  /// Writes the buffered events and ends the answer.
  boost::asio::awaitable<void> End();

  /// Stops scheduled writes and waits for a write in progress.
  boost::asio::awaitable<void> Settle();

private:
  void ScheduleWrite();
  boost::asio::awaitable<void> Write();

  boost::asio::any_io_executor mExecutor;
  http::Exchange& mExchange;
  Duration mMaxDelay;
  boost::asio::steady_timer mWriteTimer;
  /// Cancelled after each write, to wake waiters.
  boost::asio::steady_timer mWriteDone;
  std::string mPending;
  TimePoint mLastWrite{};
  bool mWriting = false;        ///< Write() is running.
  bool mWriteScheduled = false; ///< mWriteTimer is set for the next write.
  /// No write is scheduled any more, as the exchange may be destroyed. The
  /// handler of an expired timer cannot be cancelled, so ScheduleWrite() checks
  /// this flag.
  bool mSettled = false;
  bool mOpen = true; ///< The caller is connected.
};

} // namespace magnoliatide::forward

#endif
