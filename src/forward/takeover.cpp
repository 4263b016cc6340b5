// The search for a server that continues a stream.
#include "takeover.h"

#include "request_log.h"
#include "sender.h"

#include "magnoliatide/telemetry/log.h"

#include <utility>

namespace magnoliatide::forward {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// How long a server may take for a sign of life before a request is sent to
/// it.
constexpr Duration kStatusTimeout = Milliseconds(150);

/// How long the silent server must stay silent after another one has given a
/// sign of life. Servers that pause for a common reason do not continue at the
/// same instant.
constexpr Duration kSettleTime = Milliseconds(50);

/// Time for an event that has arrived together with the end of the settle time,
/// after a delay of this VM.
constexpr Duration kSettleGrace = Milliseconds(20);

/// A live server that does not reject a request within this time has accepted
/// it: rejections need no slot and come at once. Bounds the time for which two
/// servers may work on one request.
constexpr Duration kMaxOverlap = Milliseconds(200);

/// Time for a rejection that has arrived together with the end of the overlap,
/// after a delay of this VM.
constexpr Duration kOverlapGrace = Milliseconds(20);

} // namespace

Takeover::Takeover(const ForwarderParams& aParams,
                   RequestPointer aRequest,
                   std::function<void()> aOnAccepted)
  : mParams(aParams)
  , mRequest(std::move(aRequest))
  , mOnAccepted(std::move(aOnAccepted))
  , mSettleTimer(mRequest->executor)
  , mOverlapTimer(mRequest->executor)
  , mChanged(mRequest->executor)
{
}

void
Takeover::Begin(const std::string& aSilentServer)
{
  if (mState != State::kIdle) {
    return;
  }
  auto job = mRequest->job;
  job.id = mRequest->newJobId();
  job.quotaUnits = 0;
  job.onlyServer.clear();
  job.excludedServers.push_back(aSilentServer);
  if (!mAvoidedServer.empty()) {
    job.excludedServers.push_back(std::exchange(mAvoidedServer, {}));
  }
  job.resumes = mRequest->writer != nullptr;
  // The time that it may wait for a slot begins now.
  job.arrival = Clock::now();
  // A takeover must not probe a server that may be down.
  job.retryAllowed = false;
  mJobId = job.id;
  mState = State::kWaiting;
  mParams.dispatcher->Submit(
    job, [weak = weak_from_this(), id = job.id](Decision aDecision) {
      const auto self = weak.lock();
      if (self && self->mState == State::kWaiting && self->mJobId == id) {
        self->HandleDecision(std::move(aDecision));
      }
    });
}

void
Takeover::LogNoTakeover(const std::string& aReason,
                        const std::string& aDetail,
                        const std::string& aDecidedBy) const
{
  telemetry::LogInfo("no-takeover",
                     { { "request", mRequest->call.id },
                       { "reason", aReason },
                       { "detail", aDetail },
                       { "by", aDecidedBy } });
}

void
Takeover::HandleDecision(Decision aDecision)
{
  if (!aDecision.send) {
    LogNoTakeover(
      Name(aDecision.refusal.kind), aDecision.refusal.message, aDecision.by);
    mState = State::kIdle;
    return;
  }
  mState = State::kSending;
  mDecision = std::move(aDecision);
  asio::co_spawn(mRequest->executor, Run(), asio::detached);
}

/// Sends the request to a server, unless that server gives no sign of life.
asio::awaitable<void>
Takeover::Run()
{
  const auto self = shared_from_this();
  SendEnd end = co_await Send();
  if (mState == State::kAccepted) {
    co_return;
  }
  mParams.dispatcher->Finish(mJobId, end.report);
  mAvoidedServer = mDecision.server.id;
  if (end.outcome == SendOutcome::kLost &&
      end.report.result != policy::SendResult::kCancelled) {
    mRequest->job.excludedServers.push_back(mDecision.server.id);
  }
  mSender.reset();
  mState = State::kIdle;
  mChanged.cancel();
}

/// Returns how the send ended if it was not accepted.
asio::awaitable<SendEnd>
Takeover::Send()
{
  SendEnd end;
  const bool alive = co_await IsAlive();
  if (alive) {
    co_await AwaitSettled(kSettleTime);
    co_await AwaitSettled(kSettleGrace);
  }
  if (mState == State::kFailing) {
    end.report.result = policy::SendResult::kCancelled;
    co_return end;
  }
  if (!alive) {
    LogNoTakeover("silent", "server " + mDecision.server.id, mDecision.by);
    mParams.dispatcher->RecordSilence(mJobId);
    end.report.result = policy::SendResult::kCancelled;
    co_return end;
  }
  LogSend(mParams, *mRequest, mDecision);
  const auto sender =
    std::make_shared<Sender>(mParams, mRequest, mDecision, mJobId);
  mSender = sender;
  auto failure = co_await sender->Start();
  if (!failure) {
    AcceptAfter(kMaxOverlap, false);
    co_await sender->AwaitHead();
    mOverlapTimer.cancel();
    if (mState == State::kSending && sender->HeadAccepts()) {
      Accept();
    }
    if (mState == State::kAccepted) {
      co_return end;
    }
    mState = State::kFailing;
    failure = co_await sender->Reject();
  }
  RecordSendEnd(mParams, *mRequest, mDecision.server.id, *failure);
  end = std::move(*failure);
  co_return end;
}

asio::awaitable<bool>
Takeover::IsAlive()
{
  auto request = mParams.dialect->EncodeStatusRequest();
  auto address = mDecision.server.address;
  const bool answered = co_await mParams.pool->Answers(
    std::move(address), std::move(request), kStatusTimeout);
  co_return answered;
}

/// Waits for a time, unless the search is abandoned or the silent server is
/// lost by then.
asio::awaitable<void>
Takeover::AwaitSettled(Duration aTime)
{
  if (mState == State::kSending && !mServerLost) {
    mSettleTimer.expires_after(aTime);
    co_await mSettleTimer.async_wait(kNoThrow);
  }
}

/// Accepts the takeover after a time unless its server has rejected the request
/// by then.
void
Takeover::AcceptAfter(Duration aTime, bool aLast)
{
  mOverlapTimer.expires_after(aTime);
  mOverlapTimer.async_wait(
    [weak = weak_from_this(), aLast](const auto& aError) {
      const auto self = weak.lock();
      if (!self || aError || self->mState != State::kSending) {
        return;
      }
      if (aLast) {
        self->Accept();
      } else {
        self->AcceptAfter(kOverlapGrace, true);
      }
    });
}

void
Takeover::Accept()
{
  mState = State::kAccepted;
  mChanged.cancel();
  const auto onAccepted = std::move(mOnAccepted);
  onAccepted();
}

void
Takeover::Abandon()
{
  if (mState == State::kWaiting) {
    mParams.dispatcher->Withdraw(mJobId);
    mState = State::kIdle;
  } else if (mState == State::kSending) {
    mState = State::kFailing;
    mSettleTimer.cancel();
    if (mSender) {
      mRequest->mayHaveRun = true;
      mSender->Close();
    }
  }
}

asio::awaitable<std::shared_ptr<Sender>>
Takeover::Take()
{
  mServerLost = true;
  mSettleTimer.cancel();
  while (mState == State::kSending) {
    mChanged.expires_at(asio::steady_timer::time_point::max());
    co_await mChanged.async_wait(kNoThrow);
  }
  Abandon();
  co_return mState == State::kAccepted ? mSender : nullptr;
}

} // namespace magnoliatide::forward
