// Accepts requests. One coroutine per request classifies it, claims its
// idempotency key and waits for the scheduler's decision.
#include "gateway_core.h"

namespace magnoliatide::entry {

namespace asio = boost::asio;

namespace {

/// Maximum time to wait for the decision on an idempotency key.
constexpr Duration kMaxKeyDecisionTime = Seconds(3);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Changes the outcome of a refusal to unknown if the request has an
/// idempotency key that was not claimed: an earlier attempt with the key may
/// have run, so "not-run" could be wrong. Refusals of malformed requests apply
/// to every attempt with the same request and keep their outcome.
void
MarkUnknownIfKeyed(const Job& aJob, Refusal& aRefusal)
{
  const auto& headers = aJob.exchange.Incoming().headers;
  const bool keyed = !http::Find(headers, "Idempotency-Key").empty();
  const bool malformed = aRefusal.status == 400 || aRefusal.status == 405;
  if (keyed && !malformed) {
    aRefusal.outcome = Outcome::kUnknown;
  }
}

} // namespace

Refusal
KeyRefusal(KeyVerdict aVerdict)
{
  Refusal refusal;
  refusal.status = 409;
  refusal.outcome = Outcome::kUnknown;
  refusal.retryAfter = Seconds(1);
  switch (aVerdict) {
    case KeyVerdict::kRunning:
      refusal.outcome = Outcome::kRunning;
      refusal.kind = "running";
      refusal.message = "an earlier send with this key is running";
      refusal.remedy = "send it again with the same key for the answer";
      break;
    case KeyVerdict::kDifferentCall:
      refusal.status = 422;
      refusal.kind = "key-of-other-call";
      refusal.message = "the key was sent before with a different call";
      refusal.remedy = "use a new key for a new call";
      break;
    case KeyVerdict::kUndecided:
      refusal.status = 503;
      refusal.kind = "key-undecided";
      refusal.message = "too few VMs answered to decide on the key";
      refusal.remedy = "send it again with the same key";
      break;
    default:
      refusal.kind = "outcome-unknown";
      refusal.message = "an earlier send with this key may have run; this "
                        "one did not and will not";
      refusal.remedy = "check at the service whether the call ran before "
                       "you use a new key";
      refusal.retryAfter = Duration::zero();
      break;
  }
  return refusal;
}

asio::awaitable<void>
Gateway::Core::Handle(http::Exchange& aExchange)
{
  if (http::PathOf(aExchange.Incoming()) == "/healthz") {
    co_await ServeHealth(aExchange);
    co_return;
  }
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto job = std::make_shared<Job>(executor, aExchange);
  const auto number = lastId.fetch_add(1) + 1;
  job->id = params.idPrefix + "-" + std::to_string(number);
  job->document = params.document->Load();
  if (!job->document) {
    Refusal refusal;
    refusal.kind = "no-configuration";
    refusal.message = "this VM has no configuration yet";
    refusal.remedy = "send the request again after the given time";
    refusal.retryAfter = Seconds(1);
    MarkUnknownIfKeyed(*job, refusal);
    co_await Refuse(job, std::move(refusal));
    co_return;
  }
  Refusal refusal;
  const bool accepted = leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_ASSIGN(
        job->request,
        Classify(*job->document, aExchange.Incoming(), Clock::now()));
      return true;
    },
    [&](const Refusal& aRefusal) {
      refusal = aRefusal;
      return false;
    },
    []() { return false; });
  if (!accepted) {
    MarkUnknownIfKeyed(*job, refusal);
    co_await Refuse(job, std::move(refusal));
    co_return;
  }
  job->request.schedulerRequest.id = number;
  job->request.outgoing.headers.push_back({ "X-Request-Id", job->id });
  if (job->request.guarded) {
    co_await RunWithKey(job);
  } else {
    co_await Run(job);
  }
}

asio::awaitable<void>
Gateway::Core::ServeHealth(http::Exchange& aExchange)
{
  const bool vmReady = !params.ready || params.ready();
  const bool ready =
    vmReady && !draining.load() && params.document->Load() != nullptr;
  co_await aExchange.Respond(
    http::TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
}

asio::awaitable<void>
Gateway::Core::RunWithKey(JobPointer aJob)
{
  const auto& schedulerRequest = aJob->request.schedulerRequest;
  const Duration timeout = std::min<Duration>(
    kMaxKeyDecisionTime, schedulerRequest.deadline - schedulerRequest.arrival);
  const TimePoint startedAt = Clock::now();
  auto decision = co_await params.guard->Begin(
    aJob->request.key, schedulerRequest.fingerprint, timeout);
  params.metrics->Observe("key_decision_seconds", {}, Clock::now() - startedAt);
  if (decision.verdict == KeyVerdict::kRun) {
    aJob->attempt = decision.attempt;
    co_await Run(aJob);
    co_return;
  }
  if (decision.verdict == KeyVerdict::kRecorded) {
    auto answer = HeadForCaller(decision.recorded, *aJob);
    answer.headers.push_back({ "X-Recorded", "yes" });
    answer.body = std::move(decision.recorded.body);
    CountEnd(*aJob, "recorded", "");
    co_await aJob->exchange.Respond(std::move(answer));
    co_return;
  }
  co_await Refuse(aJob, KeyRefusal(decision.verdict));
}

asio::awaitable<void>
Gateway::Core::Run(JobPointer aJob)
{
  const auto id = aJob->request.schedulerRequest.id;
  jobs.insert({ id, aJob });
  WatchForDisconnect(aJob);
  Apply(params.scheduler->Submit(aJob->request.schedulerRequest, Clock::now()));
  while (true) {
    const auto [error, decision] =
      co_await aJob->mailbox.async_receive(kNoThrow);
    static_cast<void>(error);
    if (!decision.start) {
      jobs.erase(id);
      co_await ReportKeyEnd(aJob, KeyEnd::kNotRun, http::Response());
      co_await Refuse(aJob, RefusalFor(decision.reason, decision.retryAfter));
      co_return;
    }
    const bool connected = co_await Connect(aJob, decision.backend);
    if (connected) {
      jobs.erase(id);
      co_await Dispatch(aJob, decision.backend);
      co_return;
    }
    Apply(params.scheduler->Reassign(id, Clock::now()));
  }
}

asio::awaitable<void>
Gateway::Core::Refuse(JobPointer aJob, Refusal aRefusal)
{
  CountEnd(*aJob, Name(aRefusal.outcome), aRefusal.kind);
  if (!aJob->callerDisconnected) {
    co_await aJob->exchange.Respond(ToResponse(aRefusal, aJob->id));
  }
}

void
Gateway::Core::WatchForDisconnect(const JobPointer& aJob)
{
  std::weak_ptr<Job> weak = aJob;
  aJob->exchange.OnCallerDisconnect([this, weak] {
    const auto job = weak.lock();
    if (!job) {
      return;
    }
    job->callerDisconnected = true;
    const auto id = job->request.schedulerRequest.id;
    if (params.scheduler->Withdraw(id)) {
      Post(id, { false, "", policy::DropReason::kCancelled, {} });
    } else if (job->connection && !job->request.guarded) {
      // A guarded call continues without its caller.
      job->connection->Close();
    }
  });
}

void
Gateway::Core::CountEnd(const Job& aJob,
                        const char* aOutcome,
                        std::string_view aKind)
{
  const auto& schedulerRequest = aJob.request.schedulerRequest;
  params.metrics->Count("requests_total",
                        { { "kind", schedulerRequest.kind },
                          { "outcome", aOutcome },
                          { "reason", aKind } });
}

asio::awaitable<void>
Gateway::Core::ReportKeyEnd(JobPointer aJob,
                            KeyEnd aEnd,
                            http::Response aAnswer)
{
  if (aJob->request.guarded) {
    co_await params.guard->End(
      aJob->request.key, aJob->attempt, aEnd, std::move(aAnswer));
  }
}

void
Gateway::Core::Post(policy::RequestId aId, Decision aDecision)
{
  Jobs::const_accessor found;
  if (jobs.find(found, aId)) {
    found->second->mailbox.try_send(boost::system::error_code{},
                                    std::move(aDecision));
  }
}

void
Gateway::Core::Apply(const policy::Decisions& aDecisions)
{
  for (const auto& start : aDecisions.starts) {
    Post(start.id, { true, start.backend, {}, {} });
  }
  for (const auto& drop : aDecisions.drops) {
    Post(drop.id, { false, "", drop.reason, drop.retryAfter });
  }
}

Gateway::Gateway(GatewayParams aParams)
  : mCore(std::make_unique<Core>(std::move(aParams)))
{
}

Gateway::~Gateway() = default;

asio::awaitable<void>
Gateway::Handle(http::Exchange& aExchange)
{
  co_await mCore->Handle(aExchange);
}

void
Gateway::Apply(const policy::Decisions& aDecisions)
{
  mCore->Apply(aDecisions);
}

void
Gateway::SetDraining()
{
  mCore->draining.store(true);
}

} // namespace magnoliatide::entry
