// The gateway: one coroutine for each request in progress.
#include "magnoliatide/entry/gateway.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/entry/classify.h"
#include "magnoliatide/entry/outcome.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <oneapi/tbb/concurrent_hash_map.h>

#include <atomic>

namespace magnoliatide::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMostAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t kMostDecisions = 16;
constexpr std::string_view kEndOfEvents = "\ndata: [DONE]";
constexpr std::string_view kEventMark = "\ndata: ";
constexpr Duration kMostKeyTime = Seconds(3);
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// A decision about one request.
struct Verdict
{
  bool start = false;
  std::string backend;
  policy::DropReason reason = policy::DropReason::kQueueFull;
  Duration retryAfter{};
};

using Mailbox =
  asio::experimental::concurrent_channel<asio::any_io_executor,
                                         void(boost::system::error_code,
                                              Verdict)>;

/// Counts the events of a stream and looks for its end mark, which may be
/// split over parts.
class EventScan
{
public:
  void Add(std::string_view aPart)
  {
    mTail.append(aPart);
    std::size_t at = 0;
    while ((at = mTail.find(kEventMark, at)) != std::string::npos) {
      if (mTail.size() - at < kEndOfEvents.size()) {
        break;
      }
      mDone = mTail.compare(at, kEndOfEvents.size(), kEndOfEvents) == 0;
      mEvents += mDone ? 0 : 1;
      at += kEventMark.size();
    }
    const auto keep = std::min(mTail.size(), kEndOfEvents.size() - 1);
    const auto cut = at == std::string::npos ? mTail.size() - keep : at;
    mTail.erase(0, cut);
  }

  bool Done() const { return mDone; }
  double Events() const { return mEvents; }

private:
  /// Unread end of the stream; a line break stands before its first line.
  std::string mTail = "\n";
  bool mDone = false;
  double mEvents = 0;
};

/// One request in progress.
struct Job
{
  Job(asio::any_io_executor aExecutor, http::Exchange& aExchange)
    : exchange(aExchange)
    , mailbox(aExecutor, kMostDecisions)
    , executor(std::move(aExecutor))
  {
  }

  http::Exchange& exchange;
  Mailbox mailbox;
  asio::any_io_executor executor;
  std::string id;
  Classified request;
  std::shared_ptr<const document::Document> document;
  std::uint64_t attempt = 0; ///< Of a guarded call.
  std::string backend;       ///< Where it was sent.
  std::shared_ptr<http::ClientConnection> connection;
  bool gone = false; ///< The caller left; touched on its event loop only.

  TimePoint sent{};
  policy::RunReport report;
};

using JobPointer = std::shared_ptr<Job>;

Refusal
Lost(const char* aKind, const char* aMessage)
{
  Refusal refusal;
  refusal.status = 502;
  refusal.outcome = Outcome::kUnknown;
  refusal.kind = aKind;
  refusal.message = aMessage;
  refusal.remedy = "the call may have run; send it again only if that does "
                   "no harm, or with the same Idempotency-Key";
  return refusal;
}

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

/// Forms the part of an answer's head that goes on to the caller.
http::Response
HeadForCaller(const http::Response& aHead, const Job& aJob)
{
  http::Response head;
  head.status = aHead.status;
  const auto type = http::Find(aHead.headers, "Content-Type");
  if (!type.empty()) {
    head.headers.push_back({ "Content-Type", std::string(type) });
  }
  head.headers.push_back({ "X-Outcome", "done" });
  head.headers.push_back({ "X-Request-Id", aJob.id });
  const auto waited = std::chrono::duration_cast<Milliseconds>(
    aJob.sent - aJob.request.work.arrival);
  if (aJob.sent != TimePoint{}) {
    head.headers.push_back({ "X-Waited-Ms", std::to_string(waited.count()) });
  }
  return head;
}

policy::RunResult
ResultOf(http::CallStatus aStatus)
{
  switch (aStatus) {
    case http::CallStatus::kDone:
      return policy::RunResult::kWhole;
    case http::CallStatus::kNotSent:
      return policy::RunResult::kNotSent;
    case http::CallStatus::kClosedByUs:
      return policy::RunResult::kCancelled;
    default:
      return policy::RunResult::kCut;
  }
}

} // namespace

struct Gateway::Core
{
  explicit Core(GatewayParts aParts)
    : parts(std::move(aParts))
  {
  }

  asio::awaitable<void> Handle(http::Exchange& aExchange);
  asio::awaitable<void> ServeHealth(http::Exchange& aExchange);
  asio::awaitable<void> RunGuarded(JobPointer aJob);
  asio::awaitable<void> Run(JobPointer aJob);
  asio::awaitable<bool> Connect(JobPointer aJob, std::string aBackend);
  asio::awaitable<void> Dispatch(JobPointer aJob, std::string aBackend);
  asio::awaitable<http::CallStatus> Relay(JobPointer aJob);
  asio::awaitable<http::CallStatus> RelayWhole(JobPointer aJob,
                                               http::Response aHead);
  asio::awaitable<http::CallStatus> RelayStream(JobPointer aJob,
                                                http::Response aHead);
  asio::awaitable<void> ReportLoss(JobPointer aJob, http::CallStatus aStatus);
  asio::awaitable<void> JudgeBackend(JobPointer aJob,
                                     std::string aBackend,
                                     http::CallStatus aStatus);
  asio::awaitable<void> Refuse(JobPointer aJob, Refusal aRefusal);

  void Apply(const policy::Decisions& aDecisions);
  void Post(policy::RequestId aId, Verdict aVerdict);
  void WatchCaller(const JobPointer& aJob);
  void FinishRun(const JobPointer& aJob, http::CallStatus aStatus);
  void CountEnd(const Job& aJob, const char* aOutcome, std::string_view aKind);
  asio::awaitable<void> EndKey(JobPointer aJob,
                               KeyEnd aEnd,
                               http::Response aAnswer);
  void NoteFirstByte(const JobPointer& aJob);
  bool NoteIncarnation(const std::string& aBackend, std::string_view aLife);
  Duration Bound(const Job& aJob) const;

  using Jobs = oneapi::tbb::concurrent_hash_map<policy::RequestId, JobPointer>;

  GatewayParts parts;
  std::atomic<std::uint64_t> lastId{ 0 };
  std::atomic<bool> draining{ false };
  /// Holds every request that waits for a decision.
  Jobs jobs;
  /// Backend server to the life that answered last, where it tells.
  oneapi::tbb::concurrent_hash_map<std::string, std::string> lives;
};

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

asio::awaitable<bool>
Gateway::Core::Connect(JobPointer aJob, std::string aBackend)
{
  const auto* server = aJob->document->FindBackend(aBackend);
  document::Endpoint address;
  if (server != nullptr) {
    address = server->address;
  } else {
    // The document changed while the request waited.
    const auto document = parts.document->Load();
    const auto* current = document->FindBackend(aBackend);
    if (current == nullptr) {
      co_return false;
    }
    address = current->address;
    aJob->document = document;
  }
  aJob->connection = co_await parts.pool->Acquire(address);
  co_return aJob->connection != nullptr;
}

Duration
Gateway::Core::Bound(const Job& aJob) const
{
  const Duration left = aJob.request.work.deadline - Clock::now();
  const Duration silence = aJob.document->limits.progressBound;
  const bool bounded = aJob.request.stream || !aJob.request.model;
  const Duration bound = bounded ? silence : left;
  return std::max<Duration>(bound, Milliseconds(1));
}

asio::awaitable<void>
Gateway::Core::Dispatch(JobPointer aJob, std::string aBackend)
{
  const auto& request = aJob->request;
  if (aJob->gone) {
    aJob->report.result = policy::RunResult::kCancelled;
    FinishRun(aJob, http::CallStatus::kNotSent);
    co_await EndKey(aJob, KeyEnd::kNotRun, http::Response());
    CountEnd(*aJob, "not-run", "cancelled");
    co_return;
  }
  if (request.guarded && !parts.guard->MaySend(request.key, aJob->attempt)) {
    aJob->report.result = policy::RunResult::kCancelled;
    FinishRun(aJob, http::CallStatus::kNotSent);
    co_await EndKey(aJob, KeyEnd::kNotRun, http::Response());
    co_await Refuse(aJob, KeyRefusal(KeyVerdict::kUndecided));
    co_return;
  }
  const auto address = aJob->document->FindBackend(aBackend)->address;
  aJob->backend = aBackend;
  aJob->sent = Clock::now();
  parts.metrics->Count("dispatches_total", { { "backend", aBackend } });
  parts.metrics->Count(
    "prefill_tokens_total",
    {},
    static_cast<std::uint64_t>(request.work.size.promptTokens));
  auto status = co_await aJob->connection->Send(request.outgoing, Bound(*aJob));
  if (status == http::CallStatus::kDone) {
    status = co_await Relay(aJob);
  } else {
    co_await ReportLoss(aJob, status);
  }
  if (status == http::CallStatus::kDone) {
    parts.pool->Release(aJob->executor, address, aJob->connection);
  } else {
    co_await JudgeBackend(aJob, aBackend, status);
  }
  aJob->connection.reset();
  FinishRun(aJob, status);
}

asio::awaitable<http::CallStatus>
Gateway::Core::Relay(JobPointer aJob)
{
  http::Response head;
  auto status = co_await aJob->connection->ReadHead(head, Bound(*aJob));
  if (status != http::CallStatus::kDone) {
    co_await ReportLoss(aJob, status);
    co_return status;
  }
  NoteIncarnation(aJob->backend,
                  http::Find(head.headers, backend::kIncarnationHeader));
  if (http::Find(head.headers, "X-Request-Id") != aJob->id) {
    parts.metrics->Count("crossed_answers_total");
    aJob->connection->Close();
    co_await EndKey(aJob, KeyEnd::kUnknown, http::Response());
    co_await Refuse(aJob,
                    Lost("crossed-answer",
                         "the backend server sent an answer to another "
                         "request"));
    co_return http::CallStatus::kClosedByUs;
  }
  if (http::Find(head.headers, "X-Backend-State") == "leaving") {
    parts.onLeaving(aJob->backend);
  }
  const auto type = http::Find(head.headers, "Content-Type");
  if (aJob->request.stream && type.starts_with("text/event-stream")) {
    co_return co_await RelayStream(aJob, std::move(head));
  }
  co_return co_await RelayWhole(aJob, std::move(head));
}

asio::awaitable<http::CallStatus>
Gateway::Core::RelayWhole(JobPointer aJob, http::Response aHead)
{
  NoteFirstByte(aJob);
  http::Response answer = HeadForCaller(aHead, *aJob);
  const auto status = co_await aJob->connection->ReadRest(
    answer.body, kMostAnswerBytes, Bound(*aJob));
  if (status != http::CallStatus::kDone) {
    co_await ReportLoss(aJob, status);
    co_return status;
  }
  co_await EndKey(aJob, KeyEnd::kAnswered, answer);
  CountEnd(*aJob, answer.status < 500 ? "whole" : "backend-error", "");
  co_await aJob->exchange.Respond(std::move(answer));
  co_return status;
}

asio::awaitable<http::CallStatus>
Gateway::Core::RelayStream(JobPointer aJob, http::Response aHead)
{
  EventScan scan;
  bool open = co_await aJob->exchange.BeginStream(HeadForCaller(aHead, *aJob));
  std::string part;
  while (open) {
    const auto status = co_await aJob->connection->ReadPart(part, Bound(*aJob));
    if (status != http::CallStatus::kDone) {
      aJob->exchange.Abort();
      CountEnd(*aJob, "cut", "");
      co_return status;
    }
    if (part.empty()) {
      break;
    }
    if (scan.Events() == 0) {
      NoteFirstByte(aJob);
    }
    scan.Add(part);
    open = co_await aJob->exchange.WritePart(std::move(part));
  }
  aJob->report.outputTokens = scan.Events();
  if (open && scan.Done()) {
    CountEnd(*aJob, "whole", "");
    co_await aJob->exchange.EndStream();
    co_return http::CallStatus::kDone;
  }
  aJob->exchange.Abort();
  aJob->connection->Close();
  CountEnd(*aJob, open ? "cut" : "cancelled", "");
  co_return open ? http::CallStatus::kCut : http::CallStatus::kClosedByUs;
}

asio::awaitable<void>
Gateway::Core::ReportLoss(JobPointer aJob, http::CallStatus aStatus)
{
  if (aStatus == http::CallStatus::kNotSent) {
    co_await EndKey(aJob, KeyEnd::kNotRun, http::Response());
    Refusal refusal = RefusalFor(policy::DropReason::kNoBackend, Seconds(1));
    co_await Refuse(aJob, std::move(refusal));
    co_return;
  }
  co_await EndKey(aJob, KeyEnd::kUnknown, http::Response());
  if (aStatus == http::CallStatus::kClosedByUs) {
    CountEnd(*aJob, "cancelled", "");
    co_return;
  }
  const bool silent = aStatus == http::CallStatus::kSilent;
  Refusal refusal =
    silent ? Lost("backend-silent", "the backend server went silent")
           : Lost("backend-cut", "the backend server's answer was cut");
  refusal.status = silent ? 504 : 502;
  co_await Refuse(aJob, std::move(refusal));
}

asio::awaitable<void>
Gateway::Core::JudgeBackend(JobPointer aJob,
                            std::string aBackend,
                            http::CallStatus aStatus)
{
  if (aStatus == http::CallStatus::kClosedByUs ||
      aStatus == http::CallStatus::kTooLarge) {
    co_return;
  }
  const auto address = aJob->document->FindBackend(aBackend)->address;
  const auto health = co_await parts.pool->Check(address);
  const bool sameLife = NoteIncarnation(aBackend, health.incarnation);
  if (health.answered && sameLife) {
    // Only the connection failed; the server keeps its standing.
    parts.metrics->Count("connections_lost_total", { { "backend", aBackend } });
    aJob->report.result = policy::RunResult::kCancelled;
    co_return;
  }
  if (aStatus == http::CallStatus::kCut) {
    const auto changed = parts.scheduler->Crashed(aBackend, Clock::now());
    parts.onCrash(aBackend);
    if (!changed.empty()) {
      parts.onSuspects(changed);
    }
  }
}

/// Notes which life of a server answered. Returns false if it is another than
/// before: the server ended in between, however fast it came back.
bool
Gateway::Core::NoteIncarnation(const std::string& aBackend,
                               std::string_view aLife)
{
  if (aLife.empty()) {
    return true;
  }
  {
    decltype(lives)::const_accessor known;
    if (lives.find(known, aBackend) && known->second == aLife) {
      return true;
    }
  }
  decltype(lives)::accessor entry;
  const bool first = lives.insert(entry, aBackend);
  entry->second = std::string(aLife);
  return first;
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
Gateway::Core::NoteFirstByte(const JobPointer& aJob)
{
  aJob->report.toFirstToken = Clock::now() - aJob->sent;
  parts.scheduler->FirstToken(aJob->request.work.id);
  parts.metrics->Observe("first_byte_seconds",
                         { { "kind", aJob->request.work.kind } },
                         Clock::now() - aJob->request.work.arrival);
}

void
Gateway::Core::FinishRun(const JobPointer& aJob, http::CallStatus aStatus)
{
  auto& report = aJob->report;
  const auto& size = aJob->request.work.size;
  if (report.result == policy::RunResult::kWhole) {
    report.result = ResultOf(aStatus);
  }
  report.promptTokens = aJob->request.model ? size.promptTokens : 0;
  report.toEnd = Clock::now() - aJob->sent;
  if (!aJob->request.stream) {
    report.toFirstToken = Duration::zero();
  }
  const bool sent = aJob->sent != TimePoint{};
  if (sent && aStatus != http::CallStatus::kDone) {
    parts.metrics->Count("wasted_prefill_tokens_total",
                         {},
                         static_cast<std::uint64_t>(size.promptTokens));
  }
  if (sent && aStatus == http::CallStatus::kDone) {
    parts.metrics->Count("output_tokens_total",
                         {},
                         static_cast<std::uint64_t>(report.outputTokens));
  }
  Apply(parts.scheduler->Finish(aJob->request.work.id, report, Clock::now()));
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
