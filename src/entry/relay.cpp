// Sends of the gateway: a decided request goes to its backend server, and the
// answer to its caller, whole or with word of how it was lost.
#include "gateway_core.h"

namespace magnoliatide::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMostAnswerBytes = 16 * 1024 * 1024;
constexpr std::string_view kEndOfEvents = "\ndata: [DONE]";
constexpr std::string_view kEventMark = "\ndata: ";

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

} // namespace magnoliatide::entry
