// Batched writing of events.
#include "event_writer.h"

#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

namespace magnoliatide::forward {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Bytes buffered for a caller above which they are written without delay and
/// reading from the server pauses.
constexpr std::size_t kMaxPendingBytes = 8 * 1024;

} // namespace

EventWriter::EventWriter(const asio::any_io_executor& aExecutor,
                         http::Exchange& aExchange,
                         Duration aMaxDelay)
  : mExecutor(aExecutor)
  , mExchange(aExchange)
  , mMaxDelay(aMaxDelay)
  , mWriteTimer(aExecutor)
  , mWriteDone(aExecutor)
{
}

asio::awaitable<bool>
EventWriter::Begin(http::Response aHead)
{
  mOpen = co_await mExchange.BeginStream(std::move(aHead));
  co_return mOpen;
}

asio::awaitable<bool>
EventWriter::Push(std::string aEvents)
{
  if (mPending.empty()) {
    mPending = std::move(aEvents);
  } else {
    mPending += aEvents;
    // The wait below may be long.
    aEvents = std::string();
  }
  ScheduleWrite();
  while (mOpen && mPending.size() > kMaxPendingBytes) {
    mWriteDone.expires_at(asio::steady_timer::time_point::max());
    co_await mWriteDone.async_wait(kNoThrow);
  }
  co_return mOpen;
}

void
EventWriter::ScheduleWrite()
{
  const bool full = mPending.size() > kMaxPendingBytes;
  if (mSettled || mWriting || (mWriteScheduled && !full) || mPending.empty() ||
      !mOpen) {
    return;
  }
  const TimePoint due = mLastWrite + mMaxDelay;
  if (full || Clock::now() >= due) {
    mWriting = true;
    asio::co_spawn(mExecutor, Write(), asio::detached);
    return;
  }
  mWriteScheduled = true;
  mWriteTimer.expires_at(due);
  mWriteTimer.async_wait([self = shared_from_this()](const auto& aError) {
    if (!aError) {
      self->mWriteScheduled = false;
      self->ScheduleWrite();
    }
  });
}

asio::awaitable<void>
EventWriter::Write()
{
  const auto self = shared_from_this();
  std::string batch;
  batch.swap(mPending);
  mLastWrite = Clock::now();
  bool open = false;
  try {
    open = co_await mExchange.WriteChunk(std::move(batch));
  } catch (const std::exception& error) {
    // Settle() waits for the end of the write, and the stream ends as cut.
    telemetry::LogError("write-fault", { { "detail", error.what() } });
  }
  mOpen = mOpen && open;
  mWriting = false;
  mWriteDone.cancel();
  ScheduleWrite();
}

asio::awaitable<void>
EventWriter::End()
{
  co_await Settle();
  if (mOpen && !mPending.empty()) {
    std::string batch;
    batch.swap(mPending);
    mOpen = co_await mExchange.WriteChunk(std::move(batch));
  }
  if (mOpen) {
    co_await mExchange.EndStream();
  }
}

asio::awaitable<void>
EventWriter::Settle()
{
  mSettled = true;
  mWriteTimer.cancel();
  while (mWriting) {
    mWriteDone.expires_at(asio::steady_timer::time_point::max());
    co_await mWriteDone.async_wait(kNoThrow);
  }
}

} // namespace magnoliatide::forward
