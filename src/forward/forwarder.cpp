// Request handling: dispatch, retries, cancellation and logging.
#include "magnoliatide/forward/forwarder.h"

#include "request.h"
#include "request_log.h"
#include "sender.h"

#include "magnoliatide/routing/change.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <exception>
#include <set>

namespace magnoliatide::forward {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// A host that is up refuses a connection to a crashed server at once.
constexpr Duration kDownCheckTimeout = Milliseconds(100);

/// Time that a call must have before the VM stops.
constexpr Duration kMinCallTime = Seconds(1);

/// Other VMs can take a request at once.
constexpr Duration kStoppingRetryAfter = Milliseconds(100);

/// Longest time for which a request waits for the VM's first configuration,
/// which a VM that starts mostly gets sooner. If the request were refused, its
/// caller would be told to wait as long.
constexpr Duration kMaxWaitForTable = Milliseconds(500);
constexpr Duration kTablePollInterval = Milliseconds(5);

constexpr char kDeadlinePassed[] =
  "the deadline passed while the request waited";

/// Returns how long a request waits before it is sent again after rejections by
/// full servers. The first retry is immediate: mostly a single server is full.
Duration
RetryDelay(int aRejections)
{
  constexpr Duration kFirstDelay = Milliseconds(25);
  constexpr Duration kMaxDelay = Milliseconds(200);
  constexpr int kMaxDoublings = 3;
  if (aRejections < 2) {
    return Duration::zero();
  }
  const int doublings = std::min(aRejections - 2, kMaxDoublings);
  return std::min<Duration>(kFirstDelay * (1 << doublings), kMaxDelay);
}

/// Returns the name under which an unknown credential is logged, or empty if
/// the refusal has another reason.
std::string
CredentialFor(const Request& aRequest, const Refusal& aRefusal)
{
  const bool unknown = aRefusal.kind == RefusalKind::kUnauthenticated;
  const auto& credential = aRequest.call.credential;
  return unknown && !credential.empty() ? routing::CredentialName(credential)
                                        : "";
}

/// Returns what the caller of a refused request gets, for the log.
const char*
AnswerOf(const Request& aRequest)
{
  if (aRequest.callerDisconnected) {
    return "none";
  }
  return aRequest.writer ? "aborted" : "complete";
}

} // namespace

namespace {

/// Keeps a request in a set during the lifetime of this object.
class InProgress
{
public:
  InProgress(std::set<RequestPointer>& aRequests, RequestPointer aRequest)
    : mRequests(aRequests)
    , mRequest(std::move(aRequest))
  {
    mRequests.insert(mRequest);
  }

  ~InProgress() { mRequests.erase(mRequest); }

  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

private:
  std::set<RequestPointer>& mRequests;
  RequestPointer mRequest;
};

} // namespace

struct Forwarder::Core
{
  explicit Core(ForwarderParams aParams)
    : params(std::move(aParams))
  {
  }

  asio::awaitable<void> Handle(http::Exchange& aExchange);
  asio::awaitable<void> AwaitTable(RequestPointer aRequest, TimePoint aNow);
  asio::awaitable<void> Serve(RequestPointer aRequest);
  asio::awaitable<SendEnd> RunSends(RequestPointer aRequest,
                                    Decision aDecision);
  asio::awaitable<SendEnd> RunSender(
    Sender& aSender,
    asio::awaitable<SendEnd> (Sender::*aRun)());
  asio::awaitable<Decision> AwaitDecision(RequestPointer aRequest);
  static bool PrepareReturn(Request& aRequest);
  asio::awaitable<void> Refuse(RequestPointer aRequest, Refusal aRefusal);
  asio::awaitable<void> FinishAnswer(RequestPointer aRequest);
  asio::awaitable<void> FailUnresolved(RequestPointer aRequest,
                                       std::string aWhy);
  void WatchForCancellation(const RequestPointer& aRequest);
  void Cancel(Request& aRequest, const char* aWhy);
  void EndAll();
  void CountRequestEnd(const Request& aRequest, const char* aOutcome);
  std::optional<Refusal> RefuseAsServer(const Call& aCall) const;
  std::optional<Refusal> RefuseAsStopping(const Request& aRequest,
                                          TimePoint aNow) const;
  void LogRefusal(const Request& aRequest, const Refusal& aRefusal) const;

  ForwarderParams params;
  std::uint64_t lastId = 0;
  std::optional<TimePoint> stopEnd;  ///< Set while the VM stops.
  std::set<RequestPointer> requests; ///< In progress.
};

/// Refuses a request that a VM sent here because the entry of a server gives
/// this VM's address. The answer makes that VM use another server.
std::optional<Refusal>
Forwarder::Core::RefuseAsServer(const Call& aCall) const
{
  if (aCall.expectedServer.empty() || !params.isOwnAddress ||
      !params.isOwnAddress(aCall.expectedServer)) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.kind = RefusalKind::kNotAServer;
  refusal.message = "this VM is not the server " + aCall.expectedServer;
  return refusal;
}

/// Refuses a request that this VM might have to cut off because it stops, so
/// that its caller can send it to another VM. A call that has some time left is
/// served: calls are short, and their deadlines are far beyond their ends.
std::optional<Refusal>
Forwarder::Core::RefuseAsStopping(const Request& aRequest, TimePoint aNow) const
{
  if (!stopEnd || aRequest.job.deadline <= *stopEnd) {
    return std::nullopt;
  }
  if (!aRequest.route->stream && *stopEnd - aNow >= kMinCallTime) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.kind = RefusalKind::kStopping;
  refusal.message = "this VM stops; send the request again";
  refusal.retryAfter = kStoppingRetryAfter;
  return refusal;
}

asio::awaitable<void>
Forwarder::Core::Handle(http::Exchange& aExchange)
{
  const auto now = Clock::now();
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto request = std::make_shared<Request>(executor, aExchange);
  request->call = params.dialect->DecodeCall(aExchange.Incoming());
  aExchange.DropBody();
  request->table = params.table->Load();
  auto refusal = RefuseAsServer(request->call);
  if (!refusal) {
    co_await AwaitTable(request, now);
    refusal = Classify(*request, now);
  }
  if (!refusal) {
    refusal = RefuseAsStopping(*request, now);
  }
  if (refusal) {
    co_await Refuse(request, std::move(*refusal));
    co_return;
  }
  const InProgress inProgress(requests, request);
  request->newJobId = [this] { return ++lastId; };
  request->job.id = request->newJobId();
  WatchForCancellation(request);
  std::exception_ptr fault;
  try {
    co_await Serve(request);
  } catch (...) {
    fault = std::current_exception();
    Cancel(*request, "a fault in the VM");
  }
  request->ended = true;
  request->timer.cancel();
  if (request->writer) {
    // A write in progress uses the exchange.
    co_await request->writer->Settle();
  }
  if (fault) {
    std::rethrow_exception(fault);
  }
}

/// Waits until this VM has a configuration, if it has none.
asio::awaitable<void>
Forwarder::Core::AwaitTable(RequestPointer aRequest, TimePoint aNow)
{
  const Duration callerTimeout =
    aRequest->call.callerTimeout.value_or(kMaxWaitForTable);
  const TimePoint until =
    aNow + std::min<Duration>(callerTimeout, kMaxWaitForTable);
  while (!aRequest->table && !stopEnd && Clock::now() < until) {
    aRequest->timer.expires_after(kTablePollInterval);
    co_await aRequest->timer.async_wait(kNoThrow);
    aRequest->table = params.table->Load();
  }
}

asio::awaitable<void>
Forwarder::Core::Serve(RequestPointer aRequest)
{
  while (!aRequest->callerDisconnected) {
    Decision decision = co_await AwaitDecision(aRequest);
    if (!decision.send && PrepareReturn(*aRequest)) {
      continue;
    }
    if (aRequest->callerDisconnected) {
      telemetry::LogInfo(
        "caller-left",
        { { "request", aRequest->call.id },
          { "age_ms", Clock::now() - aRequest->job.arrival } });
      if (decision.send) {
        policy::SendReport report;
        report.result = policy::SendResult::kCancelled;
        params.dispatcher->Finish(aRequest->job.id, report);
      }
      break;
    }
    if (!decision.send) {
      if (aRequest->mayHaveRun) {
        co_await FailUnresolved(aRequest, decision.refusal.message);
      } else {
        co_await Refuse(aRequest, std::move(decision.refusal));
      }
      co_return;
    }
    // The first send is charged to the team's quota, retries are not.
    aRequest->job.quotaUnits = 0;
    LogSend(params, *aRequest, decision);
    const SendEnd end = co_await RunSends(aRequest, decision);
    aRequest->job.onlyServer.clear();
    if (end.report.result == policy::SendResult::kFull) {
      aRequest->rejections += 1;
      aRequest->job.notBefore = Clock::now() + RetryDelay(aRequest->rejections);
    }
    aRequest->mayHaveRun |=
      end.outcome == SendOutcome::kLost || end.outcome == SendOutcome::kFailed;
    if (end.outcome == SendOutcome::kAnswered &&
        !aRequest->callerDisconnected) {
      co_await FinishAnswer(aRequest);
    }
    if (end.outcome == SendOutcome::kAnswered || aRequest->callerDisconnected) {
      break;
    }
    aRequest->job.resumes = aRequest->writer != nullptr;
    aRequest->job.failed = end.outcome == SendOutcome::kFailed;
    if (aRequest->mayHaveRun && !aRequest->MayRetry()) {
      if (PrepareReturn(*aRequest)) {
        continue;
      }
      co_await FailUnresolved(aRequest, end.detail);
      co_return;
    }
  }
  CountRequestEnd(*aRequest,
                  aRequest->callerDisconnected ? "caller-gone" : "answered");
}

/// Restricts the next send of a stream to the last server that it was taken
/// from, if there is one. That server was only suspected, and as it has had the
/// request before, the send is no further attempt.
bool
Forwarder::Core::PrepareReturn(Request& aRequest)
{
  if (aRequest.leftServers.empty() || aRequest.expired ||
      aRequest.callerDisconnected) {
    return false;
  }
  auto& job = aRequest.job;
  job.onlyServer = std::move(aRequest.leftServers.back());
  aRequest.leftServers.pop_back();
  std::erase(job.excludedServers, job.onlyServer);
  return true;
}

/// Sends the request to a server and, while others take its stream over, relays
/// their answers. Returns how the last send ended.
asio::awaitable<SendEnd>
Forwarder::Core::RunSends(RequestPointer aRequest, Decision aDecision)
{
  auto sender =
    std::make_shared<Sender>(params, aRequest, aDecision, aRequest->job.id);
  SendEnd end = co_await RunSender(*sender, &Sender::Run);
  while (true) {
    if (end.report.result == policy::SendResult::kCut) {
      end.report.serverDown = co_await params.pool->Refuses(
        sender->Server().address, kDownCheckTimeout);
    }
    if (end.report.serverDown && end.report.HasBegun()) {
      // A server that has ended does not count as an attempt. Without a begun
      // answer, the request itself may have crashed it.
      aRequest->runs -= 1;
    }
    RecordSendEnd(params, *aRequest, sender->Server().id, end);
    if (end.successor && end.report.result == policy::SendResult::kSilent) {
      aRequest->leftServers.push_back(sender->Server().id);
    }
    if (end.successor) {
      // The silence was reported when it began.
      end.report.result = policy::SendResult::kCancelled;
    }
    params.dispatcher->Finish(sender->JobId(), end.report);
    if (end.outcome != SendOutcome::kAnswered) {
      aRequest->job.excludedServers.push_back(sender->Server().id);
    }
    if (!end.successor) {
      co_return end;
    }
    aRequest->mayHaveRun = true;
    sender = std::move(end.successor);
    end = co_await RunSender(*sender, &Sender::Resume);
  }
}

/// Runs a sender and, if it throws, releases its place at the server.
asio::awaitable<SendEnd>
Forwarder::Core::RunSender(Sender& aSender,
                           asio::awaitable<SendEnd> (Sender::*aRun)())
{
  try {
    co_return co_await (aSender.*aRun)();
  } catch (...) {
    policy::SendReport report;
    report.result = policy::SendResult::kCancelled;
    params.dispatcher->Finish(aSender.JobId(), report);
    throw;
  }
}

void
Forwarder::Core::CountRequestEnd(const Request& aRequest, const char* aOutcome)
{
  const auto& job = aRequest.job;
  const auto tier = std::to_string(job.tier);
  params.metrics->Count(
    "requests_total",
    { { "kind", job.kind }, { "tier", tier }, { "outcome", aOutcome } });
  if (job.arrival != TimePoint{}) {
    params.metrics->Observe("request_seconds",
                            { { "kind", job.kind }, { "outcome", aOutcome } },
                            Clock::now() - job.arrival);
  }
}

/// Submits the request and waits for the scheduler's decision.
asio::awaitable<Decision>
Forwarder::Core::AwaitDecision(RequestPointer aRequest)
{
  aRequest->waiting = true;
  std::weak_ptr<Request> weak = aRequest;
  Dispatcher::OnDecision onDecision = [weak](Decision aDecision) {
    const auto request = weak.lock();
    if (request && request->waiting) {
      request->waiting = false;
      request->mailbox.try_send(boost::system::error_code{},
                                std::move(aDecision));
    }
  };
  if (aRequest->expired) {
    Cancel(*aRequest, kDeadlinePassed);
  } else {
    auto job = aRequest->job;
    job.retryAllowed = aRequest->MayRetry(1);
    if (job.resumes) {
      // The time that a stream may wait for a slot begins when it is cut.
      job.arrival = Clock::now();
    }
    params.dispatcher->Submit(job, std::move(onDecision));
  }
  auto [error, decision] = co_await aRequest->mailbox.async_receive(kNoThrow);
  static_cast<void>(error);
  co_return std::move(decision);
}

/// Ends the step in progress after the caller left or the deadline passed.
///
/// @param aWhy The message to the caller if the request has not run.
void
Forwarder::Core::Cancel(Request& aRequest, const char* aWhy)
{
  if (aRequest.ended) {
    return;
  }
  if (aRequest.waiting) {
    aRequest.waiting = false;
    params.dispatcher->Withdraw(aRequest.job.id);
    Decision decision;
    decision.refusal.kind = RefusalKind::kExpired;
    decision.refusal.message = aWhy;
    aRequest.mailbox.try_send(boost::system::error_code{}, std::move(decision));
    return;
  }
  // A call that must not run twice continues without its caller: closing the
  // connection would leave it unknown whether the call took effect.
  const auto& route = *aRequest.route;
  const bool mayClose = route.stream || route.idempotent || aRequest.expired;
  if (aRequest.connection && mayClose) {
    aRequest.connection->Close();
  }
}

void
Forwarder::Core::WatchForCancellation(const RequestPointer& aRequest)
{
  std::weak_ptr<Request> weak = aRequest;
  aRequest->exchange.OnCallerDisconnect([this, weak] {
    const auto request = weak.lock();
    if (request) {
      request->callerDisconnected = true;
      Cancel(*request, kDeadlinePassed);
    }
  });
  aRequest->timer.expires_at(aRequest->job.deadline);
  aRequest->timer.async_wait([this, weak](const auto& aError) {
    const auto request = weak.lock();
    if (request && !aError) {
      request->expired = true;
      Cancel(*request, kDeadlinePassed);
    }
  });
}

void
Forwarder::Core::EndAll()
{
  const auto all = requests;
  for (const auto& request : all) {
    request->expired = true;
    Cancel(*request, "the VM stops and no server was free in time");
  }
}

/// Writes the rest of the answer after a successful send.
asio::awaitable<void>
Forwarder::Core::FinishAnswer(RequestPointer aRequest)
{
  aRequest->ended = true;
  if (aRequest->answer) {
    co_await aRequest->exchange.Respond(std::move(*aRequest->answer),
                                        &aRequest->answerMemory);
  } else if (aRequest->writer) {
    co_await aRequest->writer->End();
  }
}

/// Ends a request that may have run: relays the server's error response if
/// there is one, else answers that the outcome is unknown.
asio::awaitable<void>
Forwarder::Core::FailUnresolved(RequestPointer aRequest, std::string aWhy)
{
  if (aRequest->serverError && !aRequest->writer &&
      !aRequest->callerDisconnected) {
    CountRequestEnd(*aRequest, "server-failed");
    aRequest->ended = true;
    co_await aRequest->exchange.Respond(std::move(*aRequest->serverError),
                                        &aRequest->errorMemory);
    co_return;
  }
  Refusal refusal;
  refusal.kind =
    aRequest->expired ? RefusalKind::kTimedOut : RefusalKind::kLost;
  refusal.message = "it may have run: " + aWhy;
  co_await Refuse(aRequest, std::move(refusal));
}

asio::awaitable<void>
Forwarder::Core::Refuse(RequestPointer aRequest, Refusal aRefusal)
{
  LogRefusal(*aRequest, aRefusal);
  CountRequestEnd(*aRequest, Name(aRefusal.kind));
  aRequest->ended = true;
  if (aRequest->callerDisconnected) {
    co_return;
  }
  if (aRequest->writer) {
    aRequest->exchange.Abort();
    co_return;
  }
  co_await aRequest->exchange.Respond(
    params.dialect->EncodeRefusal(aRequest->call.id, aRefusal));
}

void
Forwarder::Core::LogRefusal(const Request& aRequest,
                            const Refusal& aRefusal) const
{
  const auto& job = aRequest.job;
  const bool arrived = job.arrival != TimePoint{};
  telemetry::LogInfo(
    "refuse",
    { { "request", aRequest.call.id },
      { "kind", job.kind },
      { "team", job.team },
      { "tier", job.tier },
      { "prompt", static_cast<std::int64_t>(job.promptTokens) },
      { "credential", CredentialFor(aRequest, aRefusal) },
      { "reason", Name(aRefusal.kind) },
      { "detail", aRefusal.message },
      { "config", aRequest.table ? aRequest.table->version : 0 },
      { "answer", AnswerOf(aRequest) },
      { "age_ms", arrived ? Clock::now() - job.arrival : Duration() },
      { "retry_after_ms", aRefusal.retryAfter.value_or(Duration()) } });
}

Forwarder::Forwarder(ForwarderParams aParams)
  : mCore(std::make_unique<Core>(std::move(aParams)))
{
}

Forwarder::~Forwarder() = default;

asio::awaitable<void>
Forwarder::Handle(http::Exchange& aExchange)
{
  co_await mCore->Handle(aExchange);
}

void
Forwarder::BeginStop(TimePoint aEnd)
{
  mCore->stopEnd = aEnd;
}

void
Forwarder::EndAll()
{
  mCore->EndAll();
}

} // namespace magnoliatide::forward
