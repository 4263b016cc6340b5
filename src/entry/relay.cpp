// Sends a scheduled request to its backend server and relays the answer to the
// caller, or reports how the answer was lost.
#include "gateway_core.h"

namespace magnoliatide::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::string_view kStreamEnd = "\ndata: [DONE]";
constexpr std::string_view kEventPrefix = "\ndata: ";

/// Counts the events of a stream and detects its end marker, which may be split
/// across chunks.
class EventScanner
{
public:
  void Add(std::string_view aChunk)
  {
    mTail.append(aChunk);
    std::size_t position = 0;
    while ((position = mTail.find(kEventPrefix, position)) !=
           std::string::npos) {
      if (mTail.size() - position < kStreamEnd.size()) {
        break;
      }
      mDone = mTail.compare(position, kStreamEnd.size(), kStreamEnd) == 0;
      mEvents += mDone ? 0 : 1;
      position += kEventPrefix.size();
    }
    const auto kept = std::min(mTail.size(), kStreamEnd.size() - 1);
    const auto consumed =
      position == std::string::npos ? mTail.size() - kept : position;
    mTail.erase(0, consumed);
  }

  bool Done() const { return mDone; }
  double Events() const { return mEvents; }

private:
  /// Bytes not scanned yet. Starts with a line break, so that the patterns also
  /// match at the first line.
  std::string mTail = "\n";
  bool mDone = false;
  double mEvents = 0;
};

Refusal
LostAnswer(const char* aKind, const char* aMessage)
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
    case http::CallStatus::kClosedLocally:
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
    aJob.sent - aJob.request.schedulerRequest.arrival);
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
    // The configuration document changed while the request waited.
    const auto document = params.document->Load();
    const auto* current = document->FindBackend(aBackend);
    if (current == nullptr) {
      co_return false;
    }
    address = current->address;
    aJob->document = document;
  }
  aJob->connection = co_await params.pool->Acquire(address);
  co_return aJob->connection != nullptr;
}

/// Returns the timeout for one read or write. Streams and plain services may be
/// silent for a limited time; other answers may take until the deadline.
Duration
Gateway::Core::StepTimeout(const Job& aJob) const
{
  const Duration left = aJob.request.schedulerRequest.deadline - Clock::now();
  const Duration maxSilence = aJob.document->limits.progressBound;
  const bool limitSilence = aJob.request.stream || !aJob.request.model;
  const Duration timeout = limitSilence ? maxSilence : left;
  return std::max<Duration>(timeout, Milliseconds(1));
}

asio::awaitable<void>
Gateway::Core::Dispatch(JobPointer aJob, std::string aBackend)
{
  const auto& request = aJob->request;
  if (aJob->callerDisconnected) {
    aJob->report.result = policy::RunResult::kCancelled;
    FinishRun(aJob, http::CallStatus::kNotSent);
    co_await ReportKeyEnd(aJob, KeyEnd::kNotRun, http::Response());
    CountEnd(*aJob, "not-run", "cancelled");
    co_return;
  }
  if (request.guarded &&
      !params.guard->TryMarkSent(request.key, aJob->attempt)) {
    aJob->report.result = policy::RunResult::kCancelled;
    FinishRun(aJob, http::CallStatus::kNotSent);
    co_await ReportKeyEnd(aJob, KeyEnd::kNotRun, http::Response());
    co_await Refuse(aJob, KeyRefusal(KeyVerdict::kUndecided));
    co_return;
  }
  const auto address = aJob->document->FindBackend(aBackend)->address;
  aJob->backend = aBackend;
  aJob->sent = Clock::now();
  params.metrics->Count("dispatches_total", { { "backend", aBackend } });
  params.metrics->Count(
    "prefill_tokens_total",
    {},
    static_cast<std::uint64_t>(request.schedulerRequest.size.promptTokens));
  aJob->connection->EndBy(request.stream ? TimePoint::max()
                                         : request.schedulerRequest.deadline);
  auto status =
    co_await aJob->connection->Send(request.outgoing, StepTimeout(*aJob));
  if (status == http::CallStatus::kDone) {
    status = co_await Relay(aJob);
  } else {
    co_await RefuseAfterLoss(aJob, status);
  }
  if (status == http::CallStatus::kDone) {
    params.pool->Release(aJob->executor, address, aJob->connection);
  } else {
    co_await CheckBackendAfterLoss(aJob, aBackend, status);
  }
  aJob->connection.reset();
  FinishRun(aJob, status);
}

asio::awaitable<http::CallStatus>
Gateway::Core::Relay(JobPointer aJob)
{
  http::Response head;
  auto status = co_await aJob->connection->ReadHead(head, StepTimeout(*aJob));
  if (status != http::CallStatus::kDone) {
    co_await RefuseAfterLoss(aJob, status);
    co_return status;
  }
  RecordIncarnation(aJob->backend,
                    http::Find(head.headers, backend::kIncarnationHeader));
  if (http::Find(head.headers, "X-Request-Id") != aJob->id) {
    params.metrics->Count("crossed_answers_total");
    aJob->connection->Close();
    co_await ReportKeyEnd(aJob, KeyEnd::kUnknown, http::Response());
    co_await Refuse(aJob,
                    LostAnswer("crossed-answer",
                               "the backend server sent an answer to another "
                               "request"));
    co_return http::CallStatus::kClosedLocally;
  }
  if (http::Find(head.headers, "X-Backend-State") == "leaving") {
    params.onLeaving(aJob->backend);
  }
  const auto type = http::Find(head.headers, "Content-Type");
  if (aJob->request.stream && type.starts_with("text/event-stream")) {
    co_return co_await RelayStream(aJob, std::move(head));
  }
  co_return co_await RelayBuffered(aJob, std::move(head));
}

asio::awaitable<http::CallStatus>
Gateway::Core::RelayBuffered(JobPointer aJob, http::Response aHead)
{
  RecordFirstByte(aJob);
  http::Response answer = HeadForCaller(aHead, *aJob);
  const auto status = co_await aJob->connection->ReadRest(
    answer.body, kMaxAnswerBytes, StepTimeout(*aJob), &aJob->bodyMemory);
  if (status != http::CallStatus::kDone) {
    co_await RefuseAfterLoss(aJob, status);
    co_return status;
  }
  co_await ReportKeyEnd(aJob, KeyEnd::kAnswered, answer);
  CountEnd(*aJob, answer.status < 500 ? "whole" : "backend-error", "");
  co_await aJob->exchange.Respond(std::move(answer), &aJob->bodyMemory);
  co_return status;
}

asio::awaitable<http::CallStatus>
Gateway::Core::RelayStream(JobPointer aJob, http::Response aHead)
{
  EventScanner scanner;
  bool open = co_await aJob->exchange.BeginStream(HeadForCaller(aHead, *aJob));
  std::string chunk;
  Duration silence{}; // Time spent reading since the last event.
  while (open) {
    const double events = scanner.Events();
    const auto begin = Clock::now();
    const auto status =
      co_await aJob->connection->ReadSome(chunk, StepTimeout(*aJob) - silence);
    silence += Clock::now() - begin;
    if (status != http::CallStatus::kDone) {
      aJob->exchange.Abort();
      CountEnd(*aJob, "cut", "");
      co_return status;
    }
    if (chunk.empty()) {
      break;
    }
    if (scanner.Events() == 0) {
      RecordFirstByte(aJob);
    }
    scanner.Add(chunk);
    if (scanner.Events() > events) {
      silence = Duration::zero();
    }
    open = co_await aJob->exchange.WriteChunk(std::move(chunk));
  }
  aJob->report.outputTokens = scanner.Events();
  if (open && scanner.Done()) {
    CountEnd(*aJob, "whole", "");
    co_await aJob->exchange.EndStream();
    co_return http::CallStatus::kDone;
  }
  aJob->exchange.Abort();
  aJob->connection->Close();
  CountEnd(*aJob, open ? "cut" : "cancelled", "");
  co_return open ? http::CallStatus::kCut : http::CallStatus::kClosedLocally;
}

asio::awaitable<void>
Gateway::Core::RefuseAfterLoss(JobPointer aJob, http::CallStatus aStatus)
{
  if (aStatus == http::CallStatus::kNotSent) {
    co_await ReportKeyEnd(aJob, KeyEnd::kNotRun, http::Response());
    Refusal refusal = RefusalFor(policy::DropReason::kNoBackend, Seconds(1));
    co_await Refuse(aJob, std::move(refusal));
    co_return;
  }
  co_await ReportKeyEnd(aJob, KeyEnd::kUnknown, http::Response());
  if (aStatus == http::CallStatus::kClosedLocally) {
    CountEnd(*aJob, "cancelled", "");
    co_return;
  }
  const bool silent = aStatus == http::CallStatus::kSilent;
  Refusal refusal =
    silent
      ? LostAnswer("backend-silent", "the backend server stopped responding")
      : LostAnswer("backend-cut", "the backend server's answer is incomplete");
  refusal.status = silent ? 504 : 502;
  co_await Refuse(aJob, std::move(refusal));
}

asio::awaitable<void>
Gateway::Core::CheckBackendAfterLoss(JobPointer aJob,
                                     std::string aBackend,
                                     http::CallStatus aStatus)
{
  if (aStatus == http::CallStatus::kClosedLocally ||
      aStatus == http::CallStatus::kTooLarge ||
      aStatus == http::CallStatus::kGaveWay) {
    co_return;
  }
  const auto address = aJob->document->FindBackend(aBackend)->address;
  const auto health = co_await params.pool->Check(address);
  const bool sameIncarnation = RecordIncarnation(aBackend, health.incarnation);
  if (health.answered && sameIncarnation) {
    // Only the connection failed, so the server's health is not changed.
    params.metrics->Count("connections_lost_total",
                          { { "backend", aBackend } });
    aJob->report.result = policy::RunResult::kCancelled;
    co_return;
  }
  if (aStatus == http::CallStatus::kCut) {
    const auto changed = params.scheduler->RecordCrash(aBackend, Clock::now());
    params.onCrash(aBackend);
    if (!changed.empty()) {
      params.onSuspects(changed);
    }
  }
}

/// Records which incarnation of a server answered. Returns whether it is the
/// one that answered before. If not, or if none has answered yet, the server
/// may have restarted in between, even if no check found it down.
bool
Gateway::Core::RecordIncarnation(const std::string& aBackend,
                                 std::string_view aIncarnation)
{
  if (aIncarnation.empty()) {
    return true;
  }
  {
    decltype(incarnations)::const_accessor known;
    if (incarnations.find(known, aBackend) && known->second == aIncarnation) {
      return true;
    }
  }
  decltype(incarnations)::accessor entry;
  incarnations.insert(entry, aBackend);
  entry->second = std::string(aIncarnation);
  return false;
}

void
Gateway::Core::RecordFirstByte(const JobPointer& aJob)
{
  aJob->report.toFirstToken = Clock::now() - aJob->sent;
  params.scheduler->RecordFirstToken(aJob->request.schedulerRequest.id);
  params.metrics->Observe("first_byte_seconds",
                          { { "kind", aJob->request.schedulerRequest.kind } },
                          Clock::now() -
                            aJob->request.schedulerRequest.arrival);
}

void
Gateway::Core::FinishRun(const JobPointer& aJob, http::CallStatus aStatus)
{
  auto& report = aJob->report;
  const auto& size = aJob->request.schedulerRequest.size;
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
    params.metrics->Count("wasted_prefill_tokens_total",
                          {},
                          static_cast<std::uint64_t>(size.promptTokens));
  }
  if (sent && aStatus == http::CallStatus::kDone) {
    params.metrics->Count("output_tokens_total",
                          {},
                          static_cast<std::uint64_t>(report.outputTokens));
  }
  Apply(params.scheduler->Finish(
    aJob->request.schedulerRequest.id, report, Clock::now()));
}

} // namespace magnoliatide::entry
