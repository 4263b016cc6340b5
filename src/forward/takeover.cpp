// The search for a server that continues a stream.
#include "takeover.h"

#include "request_log.h"
#include "sender.h"

#include "magnoliatide/telemetry/log.h"

namespace magnoliatide::forward {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// A server that does not reject a request within this time has accepted it:
/// rejections need no slot and come at once. Bounds the time for which two
/// servers may work on one request.
constexpr Duration kMaxOverlap = Milliseconds(200);

} // namespace

Takeover::Takeover(const ForwarderParams& aParams,
                   RequestPointer aRequest,
                   std::function<void()> aOnAccepted)
  : mParams(aParams)
  , mRequest(std::move(aRequest))
  , mOnAccepted(std::move(aOnAccepted))
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
  job.excludedServers.push_back(aSilentServer);
  job.resumes = mRequest->writer != nullptr;
  job.retryAllowed = mRequest->MayRetry(1);
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
Takeover::HandleDecision(Decision aDecision)
{
  if (!aDecision.send) {
    telemetry::LogInfo("no-takeover",
                       { { "request", mRequest->call.id },
                         { "reason", Name(aDecision.refusal.kind) },
                         { "detail", aDecision.refusal.message },
                         { "by", aDecision.by } });
    mState = State::kIdle;
    return;
  }
  mState = State::kSending;
  asio::co_spawn(
    mRequest->executor, Send(std::move(aDecision)), asio::detached);
}

asio::awaitable<void>
Takeover::Send(Decision aDecision)
{
  const auto self = shared_from_this();
  if (mState == State::kAbandoning) {
    policy::SendReport report;
    report.result = policy::SendResult::kCancelled;
    mParams.dispatcher->Finish(mJobId, report);
    mState = State::kIdle;
    mChanged.cancel();
    co_return;
  }
  LogSend(mParams, *mRequest, aDecision);
  const auto sender =
    std::make_shared<Sender>(mParams, mRequest, aDecision, mJobId);
  mSender = sender;
  auto failure = co_await sender->Start();
  if (!failure) {
    AwaitOverlapEnd();
    co_await sender->AwaitHead();
    mOverlapTimer.cancel();
    if (mState == State::kAccepted) {
      co_return;
    }
    if (mState == State::kSending && sender->HeadAccepts()) {
      Accept();
      co_return;
    }
    failure = co_await sender->Reject();
  }
  RecordSendEnd(mParams, *mRequest, aDecision.server.id, *failure);
  mParams.dispatcher->Finish(mJobId, failure->report);
  mRequest->job.excludedServers.push_back(aDecision.server.id);
  mSender.reset();
  mState = State::kIdle;
  mChanged.cancel();
}

/// Accepts the takeover after kMaxOverlap unless its server has rejected the
/// request by then.
void
Takeover::AwaitOverlapEnd()
{
  mOverlapTimer.expires_after(kMaxOverlap);
  mOverlapTimer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->mState == State::kSending) {
      self->Accept();
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
    mState = State::kAbandoning;
    mRequest->mayHaveRun = true;
    if (mSender) {
      mSender->Close();
    }
  }
}

asio::awaitable<std::shared_ptr<Sender>>
Takeover::Take()
{
  while (mState == State::kSending) {
    mChanged.expires_at(asio::steady_timer::time_point::max());
    co_await mChanged.async_wait(kNoThrow);
  }
  Abandon();
  co_return mState == State::kAccepted ? mSender : nullptr;
}

} // namespace magnoliatide::forward
