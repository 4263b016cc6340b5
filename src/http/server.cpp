// The HTTP server, implemented with Boost.Beast.
#include "magnoliatide/http/server.h"

#include "free_memory.h"
#include "request_parser.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <exception>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <tuple>

namespace magnoliatide::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// How long a connection stays open beyond the advertised idle timeout, so that
/// a request in transit at that moment is still served.
constexpr Duration kIdleGrace = Seconds(1);

/// How long a new connection stays open for its first request while the server
/// drains.
constexpr Duration kFirstRequestGrace = Seconds(1);

/// How long the rest of a refused request is read and discarded, so that the
/// caller can read the response before the connection is closed.
constexpr Duration kLingerTime = Seconds(2);

/// A body may take its time at this rate beyond ServerOptions::maxRequestTime.
constexpr double kMinBytesPerSecond = 125000;

/// Interval between requests for memory while other bodies give way.
constexpr Duration kMemoryInterval = Milliseconds(1);

/// A body takes its memory twice: as it is read, and as it is sent.
constexpr std::size_t kCopiesPerBody = 2;

/// Memory of a field of the head, beyond its text: in the parser, in the
/// request and in the copy that is passed on.
constexpr std::size_t kBytesPerField = 256;

/// How many connections beyond the maximum may be open until evicted ones have
/// ended, as a fraction of the maximum.
constexpr int kEvictionReserve = 8;

/// An idle connection keeps a read buffer of at most this size.
constexpr std::size_t kMaxIdleBufferBytes = 8192;

/// Size of the buffer for one read of an idle or lingering connection.
constexpr std::size_t kReadBufferBytes = 4096;

/// Maximum size of one read of a request.
constexpr std::size_t kMaxReadBytes = 65536;

class Connection;

/// State shared by the server and its connections, which may outlive the
/// server.
struct SharedState
{
  ServerOptions options;
  std::mutex mutex;
  std::set<Connection*> connections; ///< Guarded by mutex.
  Handler handler;
  ServerCounters counters;
  std::atomic<bool> closing{ false };  ///< Connections close after a response.
  std::atomic<bool> draining{ false }; ///< Idle connections close as well.
  std::atomic<bool> accepting{ true }; ///< Further connections may be added.
};

/// Returns the text of an exception; never empty.
std::string
TextOf(const std::exception_ptr& aException)
{
  std::string text;
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& error) {
    text = error.what();
  } catch (...) {
    text = "unknown exception";
  }
  return text.empty() ? "an exception without a text" : text;
}

/// Counts a request as in progress during the lifetime of this object.
class InProgress
{
public:
  explicit InProgress(ServerCounters& aCounters)
    : mCounters(aCounters)
  {
    mCounters.inProgress.fetch_add(1);
  }

  ~InProgress() { mCounters.inProgress.fetch_sub(1); }

  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

private:
  ServerCounters& mCounters;
};

class Connection
  : public Exchange
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, std::shared_ptr<SharedState> aShared)
    : mStream(std::move(aSocket))
    , mReadTimer(mStream.get_executor())
    , mShared(std::move(aShared))
  {
    mShared->counters.open.fetch_add(1);
    std::lock_guard<std::mutex> lock(mShared->mutex);
    mShared->connections.insert(this);
  }

  ~Connection() override
  {
    mShared->counters.open.fetch_sub(1);
    std::lock_guard<std::mutex> lock(mShared->mutex);
    mShared->connections.erase(this);
  }

  asio::awaitable<void> Run()
  {
    const auto self = shared_from_this();
    while (co_await ReadRequest()) {
      co_await Serve();
      // The last response has promised to keep the connection, or not. The stop
      // of the server does not change that.
      if (!mKeepAlive) {
        SetCause(mCallerDisconnected ? CloseCause::kCaller
                                     : CloseCause::kAnswered);
        break;
      }
    }
    ReportEnd();
    ErrorCode ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (mLinger) {
      co_await DiscardInput();
    }
  }

  /// Reports an exception that has ended Run(), such as a lack of memory. No
  /// response can be given then.
  void Fail(const std::exception_ptr& aFault)
  {
    SetCause(CloseCause::kHandlerFailed, TextOf(aFault));
    ReportEnd();
    // Ends the watch for the caller, which refers to this object.
    mStream.close();
  }

  /// Ends the wait for a request, if the connection is idle, so that the wait
  /// sees that the server drains. Safe to call on any thread.
  void WakeIfIdle()
  {
    asio::post(mStream.get_executor(), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->mIdle) {
        ErrorCode ignored;
        self->mStream.socket().cancel(ignored);
      }
    });
  }

  /// Closes the connection, unless a request is being served, to make room for
  /// another one. Safe to call on any thread.
  void Evict()
  {
    mWaitingSince.store(0);
    asio::post(mStream.get_executor(), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->mServing) {
        self->mEvicted = true;
        self->GiveWay("more connections than can be open");
      }
    });
  }

  /// Returns since when the connection waits for a request or for the rest of
  /// one, as a count of the clock; 0 if it does not. Safe on any thread.
  std::int64_t WaitingSince() const { return mWaitingSince.load(); }

  const Request& Incoming() const override { return mRequest; }

  void DropBody() override { FreeMemory(mRequest.body); }

  asio::awaitable<void> Respond(Response aResponse,
                                BodyMemory* aMemory) override
  {
    bhttp::response<bhttp::string_body> message;
    FillHead(aResponse, message);
    message.body() = std::move(aResponse.body);
    message.prepare_payload();
    mResponseStarted = true;
    mStream.expires_after(mShared->options.writeTimeout);
    ErrorCode error;
    if (IsHeadRequest()) {
      bhttp::response_serializer<bhttp::string_body> serializer{ message };
      std::tie(error, std::ignore) =
        co_await bhttp::async_write_header(mStream, serializer, kNoThrow);
    } else if (aMemory != nullptr) {
      error = co_await WriteCounted(message, *aMemory);
    } else {
      std::tie(error, std::ignore) =
        co_await bhttp::async_write(mStream, message, kNoThrow);
    }
    mResponseComplete = RecordWrite(error);
  }

  asio::awaitable<bool> BeginStream(Response aHead) override
  {
    bhttp::response<bhttp::empty_body> message;
    FillHead(aHead, message);
    message.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer{ message };
    mResponseStarted = true;
    mStream.expires_after(mShared->options.writeTimeout);
    const auto [error, bytes] =
      co_await bhttp::async_write_header(mStream, serializer, kNoThrow);
    static_cast<void>(bytes);
    co_return RecordWrite(error);
  }

  asio::awaitable<bool> WriteChunk(std::string aChunk) override
  {
    if (mCallerDisconnected || IsHeadRequest()) {
      co_return !mCallerDisconnected;
    }
    mStream.expires_after(mShared->options.writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(
      mStream, bhttp::make_chunk(asio::buffer(aChunk)), kNoThrow);
    static_cast<void>(bytes);
    co_return RecordWrite(error);
  }

  asio::awaitable<void> EndStream() override
  {
    if (IsHeadRequest()) {
      mResponseComplete = !mCallerDisconnected;
      co_return;
    }
    mStream.expires_after(mShared->options.writeTimeout);
    const auto [error, bytes] =
      co_await asio::async_write(mStream, bhttp::make_chunk_last(), kNoThrow);
    static_cast<void>(bytes);
    mResponseComplete = RecordWrite(error);
  }

  void Abort() override
  {
    SetCause(CloseCause::kAborted);
    mAborted = true;
    mKeepAlive = false;
    ErrorCode ignored;
    mStream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    mStream.socket().close(ignored);
  }

  void OnCallerDisconnect(std::function<void()> aFunction) override
  {
    mOnDisconnect = std::move(aFunction);
    if (mCallerDisconnected) {
      NotifyDisconnect();
      return;
    }
    if (!mWatching) {
      mWatching = true;
      WatchForDisconnect();
    }
  }

  bool CallerDisconnected() const override { return mCallerDisconnected; }

private:
  /// Writes a response whose body uses counted memory. Resets the connection if
  /// the caller does not read and the memory is needed.
  asio::awaitable<ErrorCode> WriteCounted(
    bhttp::response<bhttp::string_body>& aMessage,
    BodyMemory& aMemory)
  {
    aMemory.BeginDelivery([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self) {
        self->SetCause(
          CloseCause::kAborted,
          "the caller did not read, and the memory for bodies is used up");
        self->Abort();
      }
    });
    bhttp::response_serializer<bhttp::string_body> serializer{ aMessage };
    ErrorCode error;
    while (!error && !serializer.is_done()) {
      std::tie(error, std::ignore) =
        co_await bhttp::async_write_some(mStream, serializer, kNoThrow);
      if (!error) {
        aMemory.RecordDelivery();
      }
    }
    aMemory.EndDelivery();
    co_return error;
  }

  template<typename Message>
  void FillHead(const Response& aResponse, Message& aMessage)
  {
    aMessage.result(static_cast<unsigned>(aResponse.status));
    aMessage.version(11);
    for (const auto& header : aResponse.headers) {
      aMessage.insert(header.name, header.value);
    }
    mKeepAlive = mKeepAlive && (!mShared->closing.load() || HasInput());
    aMessage.keep_alive(mKeepAlive);
    if (mKeepAlive && mShared->options.advertiseIdleTimeout) {
      mPromisedIdle = mLimits.idleTimeout;
      const auto seconds =
        std::chrono::duration_cast<Seconds>(mLimits.idleTimeout).count();
      aMessage.set(bhttp::field::keep_alive,
                   "timeout=" + std::to_string(seconds));
    }
  }

  /// Returns whether the request is a HEAD request, whose response has no body.
  bool IsHeadRequest() const
  {
    return mRequestRead && mRequest.method == "HEAD";
  }

  /// Returns whether bytes of a further request have arrived.
  bool HasInput()
  {
    ErrorCode error;
    return mBuffer.size() > 0 || mStream.socket().available(error) > 0;
  }

  /// Records that the caller has disconnected if a write failed. Returns
  /// whether the write succeeded.
  bool RecordWrite(const ErrorCode& aError)
  {
    if (aError) {
      SetCause(CloseCause::kWriteFailed, aError.message());
      mKeepAlive = false;
      mCallerDisconnected = true;
      NotifyDisconnect();
    }
    return !aError;
  }

  /// Sets why the connection ends; the first cause stays.
  void SetCause(CloseCause aCause, std::string aDetail = {})
  {
    if (!mCause) {
      mCause = aCause;
      mDetail = std::move(aDetail);
    }
  }

  void ReportEnd() const
  {
    if (!mShared->options.onConnectionEnd) {
      return;
    }
    ConnectionEnd end;
    end.cause = mCause.value_or(CloseCause::kCaller);
    end.detail = mDetail;
    end.requestDropped = mRequestStarted && !mResponseComplete;
    end.request = mRequestRead ? &mRequest : nullptr;
    end.age = Clock::now() - mFirstByteAt;
    mShared->options.onConnectionEnd(end);
  }

  void NotifyDisconnect()
  {
    auto function = std::move(mOnDisconnect);
    mOnDisconnect = nullptr;
    if (function) {
      function();
    }
  }

  /// Waits until the socket is readable. An end of file or an error means that
  /// the caller has disconnected. Bytes belong to a pipelined request, which is
  /// read after the response.
  void WatchForDisconnect()
  {
    mStream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const ErrorCode& aError) {
        self->mWatching = false;
        if (!self->mServing) {
          return;
        }
        if (aError == asio::error::operation_aborted && self->mOnDisconnect &&
            self->mStream.socket().is_open()) {
          // The watch of an earlier request has ended only now.
          self->mWatching = true;
          self->WatchForDisconnect();
          return;
        }
        if (aError) {
          return;
        }
        char byte = 0;
        const auto received = ::recv(self->mStream.socket().native_handle(),
                                     &byte,
                                     1,
                                     MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN)) {
          self->mCallerDisconnected = true;
          self->mKeepAlive = false;
          self->NotifyDisconnect();
        }
      });
  }

  Duration MaxRequestTime() const
  {
    return mShared->options.maxRequestTime +
           FromSeconds(static_cast<double>(mLimits.bodyBytes) /
                       kMinBytesPerSecond);
  }

  /// Ends the read in progress because others need the room.
  void GiveWay(const char* aWhy)
  {
    mGaveWay = true;
    SetCause(CloseCause::kLimit, aWhy);
    ErrorCode ignored;
    mStream.socket().cancel(ignored);
  }

  /// Reserves the memory for what was announced or read of the request. Returns
  /// an error if it does not get the memory.
  asio::awaitable<ErrorCode> Reserve()
  {
    const auto needed = kCopiesPerBody * mParser->BodyBytes() +
                        kBytesPerField * mParser->Fields() + mBuffer.capacity();
    while (!mGaveWay) {
      const auto grant = mMemory.Enlarge(needed);
      if (grant == MemoryGrant::kGranted) {
        co_return ErrorCode();
      }
      if (grant == MemoryGrant::kDenied || mReadExpired) {
        break;
      }
      asio::steady_timer timer(mStream.get_executor(), kMemoryInterval);
      co_await timer.async_wait(kNoThrow);
    }
    mGaveWay = true;
    SetCause(CloseCause::kLimit, "the memory for bodies is used up");
    co_return asio::error::no_memory;
  }

  /// Frees what the last request has used.
  void FreeRequest()
  {
    FreeMemory(mRequest.body);
    mRequest = Request();
    mParser.reset();
    mMemory.Clear();
    if (mBuffer.capacity() > kMaxIdleBufferBytes) {
      mBuffer.shrink_to_fit();
    }
  }

  asio::awaitable<bool> ReadRequest()
  {
    FreeRequest();
    mRequestStarted = false;
    mRequestRead = false;
    mResponseStarted = false;
    mResponseComplete = false;
    // Beast's own timeout would close the socket under bytes that have arrived.
    mStream.expires_never();
    mLimits = mShared->options.limits();
    mParser.emplace();
    mWaitingSince.store(Clock::now().time_since_epoch().count());
    if (mBuffer.size() == 0 && !co_await WaitForBytes()) {
      co_return false;
    }
    mRequestStarted = true;
    mFirstByteAt = Clock::now();
    mMemory.Begin(
      mStream.get_executor(),
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
          self->GiveWay("the memory for bodies is used up");
        }
      },
      BodyKind::kRequest);
    StartReadTimer(mLimits.headerTimeout);
    ErrorCode error = ParseBuffer();
    while (!error && !mParser->IsDone()) {
      if (mParser->IsHeaderDone()) {
        StartReadTimer(mLimits.headerTimeout);
      }
      mReadExpired |= mShared->options.maxRequestTime > Duration::zero() &&
                      Clock::now() - mFirstByteAt > MaxRequestTime();
      error = co_await Reserve();
      if (error) {
        break;
      }
      // No conditional expression: GCC 12 evaluates its condition after
      // co_await.
      if (mReadExpired) {
        error = TakeArrived();
      } else {
        error = co_await ReadSome();
      }
      if (!error) {
        error = ParseBuffer();
      }
    }
    StopReadTimer();
    mWaitingSince.store(0);
    if (!mMemory.End() && !error) {
      // It was told to give way after its last bytes had arrived.
      mGaveWay = true;
      SetCause(CloseCause::kLimit, "the memory for bodies is used up");
      error = asio::error::no_memory;
    }
    if (error) {
      co_await RefuseMalformed(error);
      co_return false;
    }
    mKeepAlive = mParser->KeepsConnection() && !mGaveWay;
    mRequest = mParser->Take();
    mRequestRead = true;
    co_return true;
  }

  /// Parses what the buffer holds. Returns no error if a further part of the
  /// request is needed.
  ErrorCode ParseBuffer()
  {
    RaiseLimits();
    ErrorCode error;
    if (mBuffer.size() > 0) {
      mBuffer.consume(mParser->Put(mBuffer.data(), error));
    }
    return error == bhttp::error::need_more ? ErrorCode() : error;
  }

  /// Raises the limits to the current ones. A request that was sent within the
  /// limits at any time since the connection became idle is accepted.
  void RaiseLimits()
  {
    const auto now = mShared->options.limits();
    mLimits.headerBytes = std::max(mLimits.headerBytes, now.headerBytes);
    mLimits.bodyBytes = std::max(mLimits.bodyBytes, now.bodyBytes);
    mLimits.headerTimeout = std::max(mLimits.headerTimeout, now.headerTimeout);
    mParser->SetLimits(mLimits.headerBytes, mLimits.bodyBytes);
  }

  /// Reads a further part of a request. The read is a single operation: it
  /// either is cancelled or has bytes. What has arrived when the timer cancels
  /// it is taken as well: after a pause of this process the timer may fire
  /// before the event loop has seen those bytes.
  asio::awaitable<ErrorCode> ReadSome()
  {
    auto [error, bytes] = co_await mStream.socket().async_read_some(
      mBuffer.prepare(beast::read_size(mBuffer, kMaxReadBytes)), kNoThrow);
    mBuffer.commit(bytes);
    if (error == asio::error::operation_aborted && mReadExpired) {
      co_return TakeArrived();
    }
    if (error == asio::error::eof) {
      mParser->PutEnd(error);
    }
    co_return error;
  }

  /// Takes bytes that have arrived after the timer has fired, without waiting.
  ErrorCode TakeArrived()
  {
    ErrorCode error;
    if (mStream.socket().available(error) == 0) {
      return asio::error::timed_out;
    }
    const auto bytes = mStream.socket().read_some(
      mBuffer.prepare(beast::read_size(mBuffer, kMaxReadBytes)), error);
    mBuffer.commit(bytes);
    return error;
  }

  /// Starts the timer that cancels the read in progress.
  void StartReadTimer(Duration aTimeout)
  {
    mReadExpired = false;
    mReadTimer.expires_after(aTimeout);
    mReadTimer.async_wait(
      [weak = weak_from_this(), number = ++mReadTimerNumber](const ErrorCode&) {
        const auto self = weak.lock();
        if (self && number == self->mReadTimerNumber) {
          self->mReadExpired = true;
          ErrorCode ignored;
          self->mStream.socket().cancel(ignored);
        }
      });
  }

  /// Stops the timer. The number also stops a handler that is already queued,
  /// which cancel() does not, and which would cancel operations of the
  /// response.
  void StopReadTimer()
  {
    ++mReadTimerNumber;
    mReadTimer.cancel();
  }

  /// Reads and discards what the caller still sends, for at most kLingerTime.
  asio::awaitable<void> DiscardInput()
  {
    mStream.expires_after(kLingerTime);
    ErrorCode failed;
    while (!failed) {
      mBuffer.consume(mBuffer.size());
      const auto [error, bytes] = co_await mStream.async_read_some(
        mBuffer.prepare(kReadBufferBytes), kNoThrow);
      static_cast<void>(bytes);
      failed = error;
    }
  }

  /// Waits for the first byte of a request, up to the idle timeout or the drain
  /// of the server. From then on the header timeout applies, which limits
  /// callers that send slowly. The wait ends by cancelling the read, so that
  /// bytes that have arrived are not lost.
  asio::awaitable<bool> WaitForBytes()
  {
    const TimePoint idleEnd =
      Clock::now() + std::max(mLimits.idleTimeout, mPromisedIdle) + kIdleGrace;
    const TimePoint drainEnd =
      mFirstRequest ? mOpenedAt + kFirstRequestGrace : TimePoint();
    mIdle = true;
    ErrorCode error;
    while (mBuffer.size() == 0 && !error && !mGaveWay) {
      const bool draining = mShared->draining.load();
      const TimePoint end = draining ? std::min(idleEnd, drainEnd) : idleEnd;
      const TimePoint now = Clock::now();
      if (now >= end) {
        error = ReadAvailable();
        if (error == asio::error::would_block) {
          SetCause(draining ? CloseCause::kDrain : CloseCause::kIdle);
        }
      } else {
        StartReadTimer(end - now);
        const auto [readError, bytes] =
          co_await mStream.socket().async_read_some(
            mBuffer.prepare(kReadBufferBytes), kNoThrow);
        StopReadTimer();
        mBuffer.commit(bytes);
        if (readError != asio::error::operation_aborted) {
          error = readError;
        }
      }
    }
    mIdle = false;
    mFirstRequest = false;
    if (error) {
      SetCause(CloseCause::kCaller, error.message());
    }
    // A request that has arrived gets an answer.
    co_return !error && (!mGaveWay || mBuffer.size() > 0);
  }

  /// Reads the bytes that have arrived; would_block if there are none.
  ErrorCode ReadAvailable()
  {
    ErrorCode error;
    mStream.socket().non_blocking(true, error);
    const auto bytes = mStream.socket().read_some(
      asio::buffer(mBuffer.prepare(kReadBufferBytes)), error);
    mBuffer.commit(bytes);
    return error;
  }

  /// Counts a request that could not be read, and sends an error response
  /// unless the connection itself failed.
  asio::awaitable<void> RefuseMalformed(ErrorCode aError)
  {
    mShared->counters.malformed.fetch_add(1);
    mKeepAlive = false;
    // An evicted connection must free its descriptor at once.
    mLinger = !mEvicted;
    // The body is not kept while the rest of it is discarded.
    FreeRequest();
    int status = 400;
    const char* kind = "malformed-request";
    const char* remedy = "send a valid HTTP/1.1 request";
    if (mGaveWay) {
      status = 503;
      kind = "no-memory";
      remedy = "send the request again later";
    } else if (aError == bhttp::error::body_limit) {
      status = 413;
      kind = "body-too-large";
      remedy = "send a smaller body";
    } else if (aError == bhttp::error::header_limit) {
      status = 431;
      kind = "headers-too-large";
      remedy = "send smaller headers";
    } else if (aError == asio::error::operation_not_supported) {
      status = 501;
      kind = "unsupported-transfer-coding";
      remedy = "send the body in chunks without a further coding";
    } else if (mReadExpired) {
      status = 408;
      kind = "request-too-slow";
      remedy = "send the whole request without pauses";
    } else if (aError.category() !=
               bhttp::make_error_code(bhttp::error::bad_method).category()) {
      SetCause(CloseCause::kCaller, aError.message());
      co_return;
    }
    if (aError == bhttp::error::partial_message) {
      SetCause(CloseCause::kCaller, aError.message());
    }
    SetCause(mReadExpired ? CloseCause::kReadTimeout : CloseCause::kMalformed,
             aError.message());
    Response response =
      JsonResponse(status,
                   std::string(R"({"error":{"outcome":"not-run","kind":")") +
                     kind + R"(","remedy":")" + remedy + "\"}}");
    response.headers.push_back({ "X-Outcome", "not-run" });
    if (mGaveWay) {
      response.headers.push_back({ "Retry-After", "1" });
    }
    co_await Respond(std::move(response), nullptr);
    if (aError == bhttp::error::partial_message) {
      // The caller has closed its side, so it probably does not read this.
      mResponseComplete = false;
    }
  }

  asio::awaitable<void> Serve()
  {
    const InProgress inProgress(mShared->counters);
    mServing = true;
    mStream.expires_never();
    std::exception_ptr thrown;
    try {
      co_await mShared->handler(*this);
    } catch (...) {
      thrown = std::current_exception();
    }
    std::string fault = thrown ? TextOf(thrown) : "";
    if (!thrown && !mResponseComplete && !mCallerDisconnected && !mAborted) {
      fault = "the handler gave no response";
    }
    if (!fault.empty()) {
      co_await EndFailed(std::move(fault));
    }
    mServing = false;
    mOnDisconnect = nullptr;
    if (mWatching && mStream.socket().is_open()) {
      ErrorCode ignored;
      mStream.socket().cancel(ignored);
    }
  }

  /// Ends a request whose handler failed. The request may have run, so that the
  /// status promises nothing.
  asio::awaitable<void> EndFailed(std::string aFault)
  {
    SetCause(CloseCause::kHandlerFailed, std::move(aFault));
    mKeepAlive = false;
    if (mCallerDisconnected || mAborted || mResponseComplete) {
      co_return;
    }
    if (mResponseStarted) {
      Abort();
      co_return;
    }
    Response response = JsonResponse(
      500,
      R"({"error":{"outcome":"unknown","kind":"internal-error",)"
      R"("remedy":"check whether the request ran before sending it again"}})");
    response.headers.push_back({ "X-Outcome", "unknown" });
    co_await Respond(std::move(response), nullptr);
  }

  beast::tcp_stream mStream;
  asio::steady_timer mReadTimer;
  /// Identifies the timer that is running; handlers of others do nothing.
  std::uint64_t mReadTimerNumber = 0;
  bool mReadExpired = false; ///< The timer has expired.
  std::shared_ptr<SharedState> mShared;
  beast::flat_buffer mBuffer;
  std::optional<RequestParser> mParser;
  Request mRequest;
  BodyMemory mMemory;    ///< Of the request that is being read or served.
  bool mGaveWay = false; ///< Ends, to make room for others.
  bool mEvicted = false; ///< It ends to make room for another connection.
  std::atomic<std::int64_t> mWaitingSince{ 0 }; ///< As WaitingSince().
  std::function<void()> mOnDisconnect;
  bool mKeepAlive = true;
  bool mAborted = false;
  bool mCallerDisconnected = false;
  bool mServing = false;
  bool mIdle = false;        ///< No byte of the next request has arrived.
  bool mFirstRequest = true; ///< No byte has arrived at all.
  TimePoint mOpenedAt = Clock::now();
  /// Whether input is discarded before the connection is closed, because the
  /// caller may still be sending a request.
  bool mLinger = false;
  ServerLimits mLimits;     ///< Of the request that is being read.
  Duration mPromisedIdle{}; ///< The idle timeout that the caller was told last.
  std::optional<CloseCause> mCause; ///< Why the connection ends.
  std::string mDetail;              ///< The error that belongs to mCause.
  // These describe the request that is being read or served.
  bool mRequestStarted = false;   ///< Its first byte was read.
  bool mRequestRead = false;      ///< It was read completely.
  bool mResponseStarted = false;  ///< A part of its response may be written.
  bool mResponseComplete = false; ///< Its response was written completely.
  TimePoint mFirstByteAt{};
  /// Whether a wait for readability is pending. There is at most one.
  bool mWatching = false;
};

/// Accepts connections. Shared with its coroutine, which may outlive the
/// server.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
  Listener(Threads& aThreads, std::shared_ptr<SharedState> aShared)
    : mThreads(aThreads)
    , mShared(std::move(aShared))
    , mAcceptor(aThreads.At(0))
  {
    Bind();
  }

  asio::awaitable<void> Run()
  {
    const auto self = shared_from_this();
    while (mAcceptor.is_open() && !mShared->draining.load()) {
      auto [error, socket] = co_await mAcceptor.async_accept(
        mThreads.Next().get_executor(), kNoThrow);
      if (error == asio::error::operation_aborted) {
        break;
      }
      if (error) {
        co_await WaitAfterError();
        continue;
      }
      try {
        Start(std::move(socket));
      } catch (const std::exception& error) {
        ReportRefused(error.what());
      }
    }
    if (mAcceptor.is_open()) {
      AcceptBacklog();
    }
  }

  /// Ends Run() after the connections that wait to be accepted.
  void Drain()
  {
    asio::post(mThreads.At(0), [self = shared_from_this()] {
      ErrorCode ignored;
      self->mAcceptor.cancel(ignored);
    });
  }

  void Close()
  {
    ErrorCode ignored;
    mAcceptor.close(ignored);
  }

private:
  void Bind()
  {
    const auto& address = mShared->options.address;
    try {
      const tcp::endpoint endpoint(asio::ip::make_address(address.host),
                                   address.port);
      mAcceptor.open(endpoint.protocol());
      mAcceptor.set_option(tcp::acceptor::reuse_address(true));
      mAcceptor.bind(endpoint);
      if (mShared->options.receiveBufferBytes > 0) {
        // Accepted connections inherit it.
        mAcceptor.set_option(asio::socket_base::receive_buffer_size(
          mShared->options.receiveBufferBytes));
      }
      mAcceptor.listen(4096);
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("cannot listen on " + document::Format(address) +
                               ": " + error.code().message() +
                               "; free the address or change the settings");
    }
  }

  /// Accepts the connections that the operating system has already established
  /// and would reset, and closes the acceptor.
  void AcceptBacklog()
  {
    ErrorCode error;
    mAcceptor.non_blocking(true, error);
    while (!error) {
      auto socket = mAcceptor.accept(mThreads.Next().get_executor(), error);
      if (!error) {
        Start(std::move(socket));
      } else if (error == asio::error::connection_aborted) {
        error.clear();
      }
    }
    mAcceptor.close(error);
    mShared->accepting.store(false);
  }

  /// Waits before the next accept, as errors such as a lack of file descriptors
  /// persist for some time.
  asio::awaitable<void> WaitAfterError()
  {
    asio::steady_timer timer(mThreads.At(0), Milliseconds(20));
    co_await timer.async_wait(kNoThrow);
  }

  void Start(tcp::socket aSocket)
  {
    auto& counters = mShared->counters;
    const auto& options = mShared->options;
    const auto open = counters.open.load();
    const auto most =
      options.maxConnections + options.maxConnections / kEvictionReserve;
    if (open >= options.maxConnections &&
        (!options.evictsWaiting || open >= most || !EvictWaiting())) {
      ReportRefused("");
      return;
    }
    counters.accepted.fetch_add(1);
    ErrorCode ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    const auto executor = aSocket.get_executor();
    auto connection = std::make_shared<Connection>(std::move(aSocket), mShared);
    asio::co_spawn(executor,
                   connection->Run(),
                   [connection](const std::exception_ptr& aFault) {
                     if (aFault) {
                       connection->Fail(aFault);
                     }
                   });
  }

  /// Closes the connection that has waited for longest for a request or for the
  /// rest of one. Returns whether there is one.
  bool EvictWaiting()
  {
    std::lock_guard<std::mutex> lock(mShared->mutex);
    Connection* longest = nullptr;
    for (auto* connection : mShared->connections) {
      const auto since = connection->WaitingSince();
      if (since != 0 &&
          (longest == nullptr || since < longest->WaitingSince())) {
        longest = connection;
      }
    }
    if (longest != nullptr) {
      longest->Evict();
    }
    return longest != nullptr;
  }

  /// Counts a connection that is closed because it cannot be served.
  void ReportRefused(const char* aDetail)
  {
    mShared->counters.refusedConnections.fetch_add(1);
    if (mShared->options.onConnectionEnd) {
      ConnectionEnd end;
      end.cause = CloseCause::kLimit;
      end.detail = aDetail;
      mShared->options.onConnectionEnd(end);
    }
  }

  Threads& mThreads;
  std::shared_ptr<SharedState> mShared;
  tcp::acceptor mAcceptor;
};

class AsioServer : public Server
{
public:
  AsioServer(Threads& aThreads, ServerOptions aOptions, Handler aHandler)
    : mShared(std::make_shared<SharedState>())
  {
    mShared->options = std::move(aOptions);
    mShared->handler = std::move(aHandler);
    mListener = std::make_shared<Listener>(aThreads, mShared);
    asio::co_spawn(aThreads.At(0), mListener->Run(), asio::detached);
  }

  ~AsioServer() override { mListener->Close(); }

  void CloseAfterResponses() override { mShared->closing.store(true); }

  void Drain() override
  {
    CloseAfterResponses();
    mShared->draining.store(true);
    mListener->Drain();
    std::lock_guard<std::mutex> lock(mShared->mutex);
    for (auto* connection : mShared->connections) {
      connection->WakeIfIdle();
    }
  }

  bool Drained() const override
  {
    return !mShared->accepting.load() && mShared->counters.open.load() == 0;
  }

  const ServerCounters& Counters() const override { return mShared->counters; }

private:
  std::shared_ptr<SharedState> mShared;
  std::shared_ptr<Listener> mListener;
};

} // namespace

const char*
Name(CloseCause aCause)
{
  switch (aCause) {
    case CloseCause::kAnswered:
      return "answered";
    case CloseCause::kCaller:
      return "caller";
    case CloseCause::kIdle:
      return "idle";
    case CloseCause::kDrain:
      return "drain";
    case CloseCause::kReadTimeout:
      return "read-timeout";
    case CloseCause::kMalformed:
      return "malformed";
    case CloseCause::kWriteFailed:
      return "write-failed";
    case CloseCause::kHandlerFailed:
      return "handler-failed";
    case CloseCause::kAborted:
      return "aborted";
    case CloseCause::kLimit:
      return "limit";
  }
  return "unknown";
}

std::unique_ptr<Server>
StartServer(Threads& aThreads, ServerOptions aOptions, Handler aHandler)
{
  return std::make_unique<AsioServer>(
    aThreads, std::move(aOptions), std::move(aHandler));
}

} // namespace magnoliatide::http
