// Splits a stream of server-sent events into complete events. An interrupted
// answer ends at its last complete event and can resume on another server.
#ifndef MAGNOLIATIDE_FORWARD_EVENT_STREAM_H
#define MAGNOLIATIDE_FORWARD_EVENT_STREAM_H

#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliatide::forward {

/// Maximum size of an event.
constexpr std::size_t kMaxEventBytes = 64 * 1024;

/// Parses server-sent events and drops those that were returned before. Lines
/// that make up no event, such as comments, belong to the next event.
class EventStream
{
public:
  /// Appends received bytes.
  ///
  /// @param aEvents Receives the events that these bytes complete, except those
  ///     whose numeric id is at most the last one returned.
  /// @return Whether the incomplete event is within kMaxEventBytes.
  bool Add(std::string_view aBytes, std::string& aEvents);

  /// Returns whether the bytes so far end inside an event or a line. An event
  /// ends with its empty line. Comments and empty lines are no part of one.
  bool IsInsideEvent() const
  {
    return mInsideBlock ||
           mPending.find_first_not_of('\r', mLine) != std::string::npos;
  }

  /// Removes and returns the bytes after the last complete event.
  std::string TakeRemainder();

  /// Discards an incomplete event, when the send that it came from failed.
  void DiscardRemainder() { TakeRemainder(); }

  /// Returns the id of the last complete event that had one, or empty.
  const std::string& LastId() const { return mLastId; }

  /// Sets the id of the last event that the caller already received.
  void ResumeAfter(std::string aId) { mLastId = std::move(aId); }

  /// Returns the number of events returned so far.
  std::uint64_t EventCount() const { return mEvents; }

private:
  bool AcceptEvent(std::string_view aEvent);

  std::string mPending;     ///< Bytes after the last complete event.
  std::size_t mLine = 0;    ///< Where the line starts that is incomplete.
  std::size_t mScanned = 0; ///< Bytes before this are known.
  bool mHasField = false;   ///< The complete lines hold a field of an event.
  /// Whether a line other than a comment follows the last empty line.
  bool mInsideBlock = false;
  std::string mLastId;
  std::uint64_t mEvents = 0;
};

} // namespace magnoliatide::forward

#endif
