// Connecting, sending and relaying.
#include "sender.h"

#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace magnoliatide::forward {

namespace asio = boost::asio;

namespace {

/// TCP retransmits a lost SYN only after a second, so trying another server is
/// faster than waiting.
constexpr Duration kConnectTimeout = Milliseconds(200);

/// Silence of a resumable stream after which another server is looked for.
/// Callers disconnect after two seconds or more.
constexpr Duration kSilenceTimeout = Milliseconds(900);

/// Interval between searches for another server during a silence.
constexpr Duration kSearchInterval = Milliseconds(300);

/// Maximum idle time of a connection that is reused for a request that must not
/// run twice. If the server closed the connection at that moment, the outcome
/// would be unknown.
constexpr Duration kMaxIdleNonRetryable = Seconds(1);

/// Maximum idle time of a connection that is reused for a retryable request.
constexpr Duration kMaxIdle = Seconds(30);

/// Subtracted from the idle timeout that a server announces.
constexpr Duration kIdleMargin = Milliseconds(500);

/// Idle time for servers that announce no timeout.
constexpr Duration kDefaultKeepAlive = Milliseconds(1500);

/// Maximum size of a body that is not used.
constexpr std::size_t kMaxSkippedBytes = 64 * 1024;

/// How long to wait for the body of an answer that states "not run", so that
/// the connection can be kept.
constexpr Duration kSkipTimeout = Milliseconds(100);

constexpr std::size_t kMaxBufferedBytes = 8 * 1024 * 1024;
/// Status of a success without a body.
constexpr int kNoContent = 204;

/// Answers to other requests that are read before the connection is closed.
constexpr int kMaxForeignAnswers = 4;

/// Returns the timeout for one read or write. It exceeds the time left, so that
/// the timer of the request ends the step first.
Duration
StepTimeout(const Request& aRequest)
{
  return std::max<Duration>(aRequest.TimeLeft(Clock::now()), Milliseconds(1)) +
         Seconds(1);
}

} // namespace

Sender::Sender(const ForwarderParams& aParams,
               RequestPointer aRequest,
               const Decision& aDecision,
               policy::JobId aJobId)
  : mParams(aParams)
  , mRequest(std::move(aRequest))
  , mServer(aDecision.server)
  , mJobId(aJobId)
  , mProbe(aDecision.probe)
  , mHeadRead(mRequest->executor)
  , mSilenceTimer(mRequest->executor)
{
}

asio::awaitable<SendEnd>
Sender::Run()
{
  mRelaying = true;
  auto failure = co_await Start();
  if (failure) {
    mRequest->connection.reset();
    co_return std::move(*failure);
  }
  WatchForSilence(kSilenceTimeout);
  co_await AwaitHead();
  SendEnd end = co_await RelayWatched();
  co_return end;
}

asio::awaitable<std::optional<SendEnd>>
Sender::Start()
{
  mEventsBefore = mRequest->events.EventCount();
  const bool connected = co_await Connect();
  if (mClosed || mRequest->callerDisconnected || mRequest->expired) {
    co_return End(
      SendOutcome::kNotRun, policy::SendResult::kCancelled, "cancelled");
  }
  if (!connected) {
    const bool unanswered = mConnection->ConnectTimedOut();
    mParams.pool->CloseIdle(mRequest->executor, mServer.address);
    co_return End(SendOutcome::kNotRun,
                  unanswered ? policy::SendResult::kUnreachable
                             : policy::SendResult::kNotSent,
                  unanswered ? "connect timed out" : "cannot connect");
  }
  if (!mParams.usable(mServer)) {
    ReturnUnused();
    co_return End(
      SendOutcome::kNotRun,
      policy::SendResult::kNotSent,
      "the server stopped accepting requests while the VM connected");
  }
  if (!mParams.dispatcher->MayUse(mServer)) {
    ReturnUnused();
    co_return End(SendOutcome::kNotRun,
                  policy::SendResult::kFull,
                  "the server wants no requests for a time");
  }
  bool sent = co_await SendRequest();
  if (!sent && mReused && !mClosed) {
    // The server had closed the reused connection, but may accept a new one.
    const bool reconnected = co_await OpenConnection();
    if (reconnected) {
      sent = co_await SendRequest();
    }
  }
  if (!sent) {
    co_return End(SendOutcome::kNotRun,
                  mClosed ? policy::SendResult::kCancelled
                          : policy::SendResult::kNotSent,
                  "the connection was closed before the send");
  }
  co_return std::nullopt;
}

/// Returns a connection that has not carried the request to the pool.
void
Sender::ReturnUnused()
{
  if (mReused) {
    mParams.pool->Release(mRequest->executor,
                          mServer.address,
                          { mConnection, mCarriedRefusal },
                          kDefaultKeepAlive);
  }
}

asio::awaitable<void>
Sender::AwaitHead()
{
  mReading = true;
  AnswerHead head;
  const auto status = co_await ReadMatchingHead(head);
  mReading = false;
  mHead = std::move(head);
  mHeadStatus = status;
  mSilentSince = Clock::now();
  mHeadRead.cancel();
}

bool
Sender::HeadAccepts() const
{
  return mHeadStatus == http::CallStatus::kDone && !mHead.notRun &&
         mHead.status >= 200 && mHead.status < 300 && mHead.signedByServer &&
         !mHead.encoded;
}

asio::awaitable<SendEnd>
Sender::Reject()
{
  if (mClosed) {
    co_return End(
      SendOutcome::kLost, policy::SendResult::kCancelled, "cancelled");
  }
  if (mHeadStatus != http::CallStatus::kDone) {
    co_return EndLost(mHeadStatus.value_or(http::CallStatus::kCut));
  }
  mStatus = mHead.status;
  if (mHead.notRun) {
    SendEnd end = co_await HandleNotRun(std::move(mHead));
    co_return end;
  }
  mConnection->Close();
  co_return End(SendOutcome::kLost,
                policy::SendResult::kFailed,
                "the server cannot continue the stream");
}

asio::awaitable<SendEnd>
Sender::Resume()
{
  mRelaying = true;
  mRequest->connection = mConnection;
  if (mRequest->callerDisconnected || mRequest->expired) {
    mConnection->Close();
  }
  WatchForSilence(kSilenceTimeout);
  while (!mHeadStatus) {
    mHeadRead.expires_at(asio::steady_timer::time_point::max());
    co_await mHeadRead.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  SendEnd end = co_await RelayWatched();
  co_return end;
}

/// Relays the answer. Returns a successor if another server has taken the
/// stream over.
asio::awaitable<SendEnd>
Sender::RelayWatched()
{
  SendEnd end = co_await Relay();
  if (TakenOver()) {
    // An answer that was complete at the same moment is not used.
    mRequest->answer.reset();
    mRequest->answerMemory.Clear();
    mRequest->serverError.reset();
    mRequest->errorMemory.Clear();
    end = EndLost(http::CallStatus::kSilent);
  }
  mRelaying = false;
  mSilenceTimer.cancel();
  mRequest->connection.reset();
  if (!mTakeover) {
    co_return end;
  }
  const bool over = end.outcome == SendOutcome::kAnswered ||
                    mRequest->callerDisconnected || mRequest->expired;
  if (over && !mTakeover->Accepted()) {
    mTakeover->Abandon();
  } else {
    end.successor = co_await mTakeover->Take();
  }
  co_return end;
}

void
Sender::Close()
{
  mClosed = true;
  if (mConnection) {
    mConnection->Close();
  }
}

/// Checks for silence after a time, repeatedly, until the send ends.
void
Sender::WatchForSilence(Duration aTime)
{
  if (!mRequest->route->stream || !mRequest->route->IsRetryable()) {
    return;
  }
  mSilenceTimer.expires_after(aTime);
  mSilenceTimer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->mRelaying) {
      self->CheckForSilence();
    }
  });
}

void
Sender::CheckForSilence()
{
  const auto now = Clock::now();
  if (!mReading) {
    // A slow caller delays the relay, so the silence is not the server's.
    mSilentSince = now;
  }
  const Duration silence = now - mSilentSince;
  if (silence < kSilenceTimeout) {
    WatchForSilence(kSilenceTimeout - silence);
    return;
  }
  WatchForSilence(kSearchInterval);
  if (!mRequest->MayRetry()) {
    return;
  }
  if (!mSilent) {
    mSilent = true;
    telemetry::LogInfo("silent",
                       { { "request", mRequest->call.id },
                         { "server", mServer.id },
                         { "silent_ms", silence },
                         { "status", mStatus },
                         { "age_ms", Clock::now() - mRequest->job.arrival } });
    mParams.metrics->Count("silences_total", { { "server", mServer.id } });
    mParams.dispatcher->RecordSilence(mJobId);
  }
  if (!mTakeover) {
    mTakeover =
      std::make_shared<Takeover>(mParams, mRequest, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->mConnection) {
          self->mConnection->Close();
        }
      });
  }
  mTakeover->Begin(mServer.id);
}

asio::awaitable<bool>
Sender::Connect()
{
  if (mProbe) {
    // If the host is down, a pooled connection fails only after a timeout.
    const bool connected = co_await OpenConnection();
    co_return connected;
  }
  const bool retryable = mRequest->route->IsRetryable();
  backend::KeptConnection kept;
  // Without an id, the answer could be the one to an earlier request.
  if (!mRequest->call.id.empty()) {
    kept = mParams.pool->TakeIdle(mRequest->executor,
                                  mServer.address,
                                  retryable ? kMaxIdle : kMaxIdleNonRetryable);
  }
  if (kept.connection && !mRequest->WasSentOn(kept.connection)) {
    mConnection = std::move(kept.connection);
    mCarriedRefusal = kept.carriedRefusal;
    mReused = true;
    if (mRelaying) {
      mRequest->connection = mConnection;
    }
    co_return true;
  }
  const bool connected = co_await OpenConnection();
  co_return connected;
}

asio::awaitable<bool>
Sender::OpenConnection()
{
  mReused = false;
  mCarriedRefusal = false;
  mConnection = mParams.pool->Make(mRequest->executor, mServer.address);
  if (mRelaying) {
    mRequest->connection = mConnection;
  }
  mParams.metrics->Count("connections_made_total");
  const Duration timeLeft = mRequest->TimeLeft(Clock::now());
  const bool connected =
    co_await mConnection->Connect(std::min(kConnectTimeout, timeLeft));
  co_return connected;
}

/// Sends the request. Returns false if no byte of it was written.
asio::awaitable<bool>
Sender::SendRequest()
{
  mSentAt = Clock::now();
  mSilentSince = mSentAt;
  SendOptions options;
  options.instance = mServer.id;
  options.team = mRequest->team != nullptr ? mRequest->team->name : "";
  options.timeLeft = mRequest->TimeLeft(mSentAt);
  options.lastEventId = mRequest->events.LastId();
  auto message = mParams.dialect->EncodeForServer(mRequest->call, options);
  mConnection->EndBy(mSentAt + StepTimeout(*mRequest));
  mRequest->usedConnections.push_back(mConnection);
  const auto status =
    co_await mConnection->Send(std::move(message), StepTimeout(*mRequest));
  const bool sent = status != http::CallStatus::kNotSent;
  mRequest->job.serversReached += sent ? 1 : 0;
  mRequest->runs += sent ? 1 : 0;
  co_return sent;
}

/// Relays the answer whose head was read.
asio::awaitable<SendEnd>
Sender::Relay()
{
  if (mHeadStatus != http::CallStatus::kDone) {
    co_return EndLost(*mHeadStatus);
  }
  AnswerHead head = std::move(mHead);
  mStatus = head.status;
  if (head.notRun) {
    co_return co_await HandleNotRun(std::move(head));
  }
  if (head.unprovenRefusal) {
    mConnection->Close();
    co_return End(SendOutcome::kLost,
                  policy::SendResult::kFailed,
                  "the server refused without the statement that the request "
                  "did not run");
  }
  const bool success = head.status >= 200 && head.status < 300;
  // A body with a content encoding does not consist of the server's own bytes.
  if (success && (!head.signedByServer || head.encoded)) {
    mConnection->Close();
    co_return End(
      SendOutcome::kLost,
      policy::SendResult::kCut,
      "the answer lacks the server's signature or has a content encoding");
  }
  const bool hasBody =
    mRequest->call.request.method != "HEAD" && head.status != kNoContent;
  if (success && mRequest->route->stream && head.eventStream && hasBody) {
    co_return co_await RelayStream(std::move(head));
  }
  co_return co_await RelayBuffered(std::move(head));
}

/// Reads responses until one answers this send. A late or repeated answer to an
/// earlier request on the connection may arrive first and is discarded.
asio::awaitable<http::CallStatus>
Sender::ReadMatchingHead(AnswerHead& aHead)
{
  for (int i = 0; i < kMaxForeignAnswers; ++i) {
    http::Response response;
    auto status =
      co_await mConnection->ReadHead(response, StepTimeout(*mRequest));
    if (status != http::CallStatus::kDone) {
      co_return status;
    }
    aHead = mParams.dialect->DecodeHead(response);
    if (IsOwnAnswer(aHead)) {
      RecordServerState(aHead);
      // A limit that cannot be read says nothing, not even that there is none.
      if (aHead.rateLimit || !aHead.namesRateLimit) {
        mParams.dispatcher->RecordRateLimit(mJobId, aHead.rateLimit);
      }
      co_return http::CallStatus::kDone;
    }
    mForeignAnswer = true;
    mParams.metrics->Count("foreign_answers_total");
    status =
      co_await mConnection->SkipRest(kMaxSkippedBytes, StepTimeout(*mRequest));
    if (status != http::CallStatus::kDone) {
      co_return status;
    }
  }
  mConnection->Close();
  co_return http::CallStatus::kCut;
}

/// Records what the head of an answer tells about further requests to the
/// server.
void
Sender::RecordServerState(const AnswerHead& aHead)
{
  if (aHead.serverLeaving && !aHead.otherInstance) {
    ReportLeaving("the server's answer says that it leaves");
  }
  if (aHead.backoff) {
    mParams.dispatcher->RecordBackoff(mJobId, *aHead.backoff);
  }
}

/// Returns whether an answer can only be the one to this send. A request is
/// sent only once on a connection, so its id proves that. Without an id, the
/// answer is the first one on a new connection, or a refusal on a connection
/// that has not carried one which could be repeated.
bool
Sender::IsOwnAnswer(const AnswerHead& aHead) const
{
  if (!aHead.requestId.empty()) {
    return aHead.requestId == mRequest->call.id;
  }
  return !mForeignAnswer && (!mReused || (aHead.notRun && !mCarriedRefusal));
}

asio::awaitable<SendEnd>
Sender::HandleNotRun(AnswerHead aHead)
{
  mRequest->runs -= 1;
  mCarriedRefusal = true;
  const auto status =
    co_await mConnection->SkipRest(kMaxSkippedBytes, kSkipTimeout);
  // Repeated without an id, the refusal could not be told from another one.
  if (status == http::CallStatus::kDone && !aHead.requestId.empty()) {
    KeepConnection(aHead);
  } else {
    mConnection->Close();
  }
  if (aHead.otherInstance) {
    ReportLeaving("another server has the address");
    co_return End(SendOutcome::kNotRun, policy::SendResult::kMoved, "moved");
  }
  const bool full = aHead.status == 503 || aHead.status == 429;
  co_return End(SendOutcome::kNotRun,
                full ? policy::SendResult::kFull : policy::SendResult::kNotRun,
                "the server did not run the request");
}

asio::awaitable<SendEnd>
Sender::RelayBuffered(AnswerHead aHead)
{
  std::string body;
  http::BodyMemory memory;
  const auto status = co_await mConnection->ReadRest(
    body, kMaxBufferedBytes, StepTimeout(*mRequest), &memory);
  if (status != http::CallStatus::kDone) {
    co_return EndLost(status);
  }
  const bool failed = aHead.status >= 500;
  if (body.empty() && !failed && mConnection->EndsWithConnection()) {
    // A server that was lost after the head leaves the same bytes.
    co_return EndLost(http::CallStatus::kCut);
  }
  RecordEvents();
  KeepConnection(aHead);
  const auto result =
    failed ? policy::SendResult::kFailed : policy::SendResult::kWhole;
  if (mRequest->writer) {
    // The caller already has the status line, so the error cannot be relayed.
    co_return End(SendOutcome::kLost, result, "resuming the stream failed");
  }
  http::Response answer = std::move(aHead.forCaller);
  answer.body = std::move(body);
  if (failed) {
    mRequest->serverError = std::move(answer);
    mRequest->errorMemory = std::move(memory);
    co_return End(SendOutcome::kFailed, result, "the server returned an error");
  }
  mRequest->answer = std::move(answer);
  mRequest->answerMemory = std::move(memory);
  co_return End(SendOutcome::kAnswered, result);
}

asio::awaitable<SendEnd>
Sender::RelayStream(AnswerHead aHead)
{
  auto& events = mRequest->events;
  std::string chunk;
  std::string completeEvents;
  while (true) {
    mReading = true;
    const auto status =
      co_await mConnection->ReadSome(chunk, StepTimeout(*mRequest));
    mReading = false;
    if (status != http::CallStatus::kDone || TakenOver()) {
      co_return EndLost(status);
    }
    if (chunk.empty()) {
      break;
    }
    const bool bounded = events.Add(chunk, completeEvents);
    if (completeEvents.empty()) {
      if (!bounded) {
        co_return EndLost(http::CallStatus::kTooLarge);
      }
      continue;
    }
    RecordEvents();
    const bool open = co_await WriteEvents(std::move(completeEvents), aHead);
    if (!open) {
      mConnection->Close();
      co_return End(SendOutcome::kAnswered,
                    policy::SendResult::kCancelled,
                    "the caller disconnected");
    }
  }
  // A server that fails may end its chunks properly, so that only the events
  // show whether the answer is whole.
  const bool unframed = mConnection->EndsWithConnection();
  const bool empty = events.EventCount() == mEventsBefore;
  // All events may have been sent before.
  const bool mayBeEmpty = !unframed && !events.LastId().empty();
  if (events.IsInsideEvent() || (empty && !mayBeEmpty)) {
    mConnection->Close();
    events.DiscardRemainder();
    co_return End(SendOutcome::kLost,
                  policy::SendResult::kCut,
                  empty ? "the stream ended without an event"
                        : "the stream ended inside an event");
  }
  KeepConnection(aHead);
  std::string remainder = events.TakeRemainder();
  co_await WriteEvents(std::move(remainder), aHead);
  co_return End(SendOutcome::kAnswered, policy::SendResult::kWhole);
}

asio::awaitable<bool>
Sender::WriteEvents(std::string aEvents, AnswerHead aHead)
{
  if (!mRequest->writer) {
    mRequest->writer = std::make_shared<EventWriter>(
      mRequest->executor, mRequest->exchange, mParams.eventDelay);
    const bool headWritten =
      co_await mRequest->writer->Begin(std::move(aHead.forCaller));
    if (!headWritten) {
      co_return false;
    }
  }
  const bool open = co_await mRequest->writer->Push(std::move(aEvents));
  co_return open;
}

void
Sender::RecordEvents()
{
  const auto now = Clock::now();
  if (mFirstEventAt == TimePoint{}) {
    mFirstEventAt = now;
    mParams.dispatcher->RecordFirstEvent(mJobId);
  } else {
    mLongestGap = std::max(mLongestGap, now - mLastEventAt);
  }
  mLastEventAt = now;
  mSilentSince = now;
  if (mSilent) {
    mSilent = false;
    mParams.dispatcher->RecordSilenceEnd(mJobId);
  }
  if (mTakeover) {
    mTakeover->Abandon();
  }
}

void
Sender::KeepConnection(const AnswerHead& aHead)
{
  if (mForeignAnswer) {
    mConnection->Close();
    return;
  }
  const Duration keepAlive =
    aHead.idleTimeout.value_or(kDefaultKeepAlive + kIdleMargin);
  if (keepAlive > kIdleMargin) {
    mParams.pool->Release(mRequest->executor,
                          mServer.address,
                          { std::move(mConnection), mCarriedRefusal },
                          keepAlive - kIdleMargin);
  }
}

void
Sender::ReportLeaving(const char* aWhy) const
{
  mParams.onLeaving({ mServer.id, mServer.started, aWhy });
}

SendEnd
Sender::EndLost(http::CallStatus aStatus)
{
  if (mRelaying) {
    mRequest->events.DiscardRemainder();
  }
  if (TakenOver()) {
    return End(SendOutcome::kLost,
               policy::SendResult::kSilent,
               "the server was silent; another one continues the stream");
  }
  switch (aStatus) {
    case http::CallStatus::kClosedLocally:
      return End(SendOutcome::kLost,
                 mRequest->callerDisconnected ? policy::SendResult::kCancelled
                                              : policy::SendResult::kSilent,
                 mRequest->callerDisconnected ? "the caller disconnected"
                                              : "the deadline passed");
    case http::CallStatus::kSilent:
      return End(
        SendOutcome::kLost, policy::SendResult::kSilent, "no answer in time");
    case http::CallStatus::kTooLarge:
      mConnection->Close();
      return End(SendOutcome::kLost,
                 policy::SendResult::kFailed,
                 "the answer exceeds the size limit");
    case http::CallStatus::kGaveWay:
      // Not a failure of the server.
      mConnection->Close();
      return End(SendOutcome::kLost,
                 policy::SendResult::kCancelled,
                 "the memory for answers is used up");
    default:
      return End(SendOutcome::kLost,
                 policy::SendResult::kCut,
                 "the connection was lost or the answer is invalid");
  }
}

SendEnd
Sender::End(SendOutcome aOutcome,
            policy::SendResult aResult,
            const char* aDetail)
{
  SendEnd end;
  end.outcome = aOutcome;
  end.detail = aDetail;
  end.status = mStatus;
  end.report.result = aResult;
  const auto events =
    static_cast<double>(mRequest->events.EventCount() - mEventsBefore);
  const double tokensPerEvent = mRequest->job.eventTokens;
  end.report.outputTokens = events * tokensPerEvent;
  end.report.laterTokens = std::max(events - 1, 0.0) * tokensPerEvent;
  if (mSentAt != TimePoint{}) {
    end.report.toEnd = Clock::now() - mSentAt;
  }
  if (mFirstEventAt != TimePoint{}) {
    end.report.toFirstEvent = mFirstEventAt - mSentAt;
    end.report.longestGap = mLongestGap;
  }
  return end;
}

} // namespace magnoliatide::forward
