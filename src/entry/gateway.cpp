// The gateway: one coroutine for each request in progress, which takes it in,
// claims its key and waits for the decision about it.
#include "gateway_core.h"

namespace magnoliatide::entry {

namespace asio = boost::asio;

namespace {

constexpr Duration kMostKeyTime = Seconds(3);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// A send with a key that is refused before the key was claimed says nothing of
/// the key's earlier sends, so it must not be told "not-run". Refusals for the
/// form of the request hold for every send of it.
void
KeepKeyOpen(const Job& aJob, Refusal& aRefusal)
{
  const auto& headers = aJob.exchange.Incoming().headers;
  const bool keyed = !http::Find(headers, "Idempotency-Key").empty();
  const bool form = aRefusal.status == 400 || aRefusal.status == 405;
  if (keyed && !form) {
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
      refusal.message = "an earlier send with this key runs";
      refusal.remedy = "send it again with the same key for the answer";
      break;
    case KeyVerdict::kOtherCall:
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
      refusal.remedy = "look the call up at its service before you use a "
                       "new key";
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
  job->id = parts.idPrefix + "-" + std::to_string(number);
  job->document = parts.document->Load();
  if (!job->document) {
    Refusal refusal;
    refusal.kind = "no-configuration";
    refusal.message = "this VM has no document yet";
    refusal.remedy = "send the request again after the given time";
    refusal.retryAfter = Seconds(1);
    KeepKeyOpen(*job, refusal);
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
    KeepKeyOpen(*job, refusal);
    co_await Refuse(job, std::move(refusal));
    co_return;
  }
  job->request.work.id = number;
  job->request.outgoing.headers.push_back({ "X-Request-Id", job->id });
  if (job->request.guarded) {
    co_await RunGuarded(job);
  } else {
    co_await Run(job);
  }
}

asio::awaitable<void>
Gateway::Core::ServeHealth(http::Exchange& aExchange)
{
  const bool joined = !parts.ready || parts.ready();
  const bool ready =
    joined && !draining.load() && parts.document->Load() != nullptr;
  co_await aExchange.Respond(
    http::TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
}

asio::awaitable<void>
Gateway::Core::RunGuarded(JobPointer aJob)
{
  const auto& work = aJob->request.work;
  const Duration bound =
    std::min<Duration>(kMostKeyTime, work.deadline - work.arrival);
  const TimePoint begun = Clock::now();
  auto decision =
    co_await parts.guard->Begin(aJob->request.key, work.fingerprint, bound);
  parts.metrics->Observe("key_decision_seconds", {}, Clock::now() - begun);
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
  const auto id = aJob->request.work.id;
  jobs.insert({ id, aJob });
  WatchCaller(aJob);
  Apply(parts.scheduler->Submit(aJob->request.work, Clock::now()));
  while (true) {
    const auto [error, verdict] =
      co_await aJob->mailbox.async_receive(kNoThrow);
    static_cast<void>(error);
    if (!verdict.start) {
      jobs.erase(id);
      co_await EndKey(aJob, KeyEnd::kNotRun, http::Response());
      co_await Refuse(aJob, RefusalFor(verdict.reason, verdict.retryAfter));
      co_return;
    }
    const bool connected = co_await Connect(aJob, verdict.backend);
    if (connected) {
      jobs.erase(id);
      co_await Dispatch(aJob, verdict.backend);
      co_return;
    }
    Apply(parts.scheduler->Reassign(id, Clock::now()));
  }
}

asio::awaitable<void>
Gateway::Core::Refuse(JobPointer aJob, Refusal aRefusal)
{
  CountEnd(*aJob, Name(aRefusal.outcome), aRefusal.kind);
  if (!aJob->gone) {
    co_await aJob->exchange.Respond(ToResponse(aRefusal, aJob->id));
  }
}

void
Gateway::Core::WatchCaller(const JobPointer& aJob)
{
  std::weak_ptr<Job> weak = aJob;
  aJob->exchange.OnCallerGone([this, weak] {
    const auto job = weak.lock();
    if (!job) {
      return;
    }
    job->gone = true;
    const auto id = job->request.work.id;
    if (parts.scheduler->Withdraw(id)) {
      Post(id, { false, "", policy::DropReason::kCancelled, {} });
    } else if (job->connection && !job->request.guarded) {
      job->connection->Close();
    }
  });
}

void
Gateway::Core::CountEnd(const Job& aJob,
                        const char* aOutcome,
                        std::string_view aKind)
{
  const auto& work = aJob.request.work;
  parts.metrics->Count(
    "requests_total",
    { { "kind", work.kind }, { "outcome", aOutcome }, { "reason", aKind } });
}

asio::awaitable<void>
Gateway::Core::EndKey(JobPointer aJob, KeyEnd aEnd, http::Response aAnswer)
{
  if (aJob->request.guarded) {
    co_await parts.guard->End(
      aJob->request.key, aJob->attempt, aEnd, std::move(aAnswer));
  }
}

void
Gateway::Core::Post(policy::RequestId aId, Verdict aVerdict)
{
  Jobs::const_accessor found;
  if (jobs.find(found, aId)) {
    found->second->mailbox.try_send(boost::system::error_code{},
                                    std::move(aVerdict));
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

Gateway::Gateway(GatewayParts aParts)
  : mCore(std::make_unique<Core>(std::move(aParts)))
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
