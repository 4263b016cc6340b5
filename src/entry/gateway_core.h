// State of the gateway and of a request in progress. Shared by gateway.cpp,
// which accepts requests and waits for the scheduler's decisions, and
// relay.cpp, which sends requests and relays the answers.
#ifndef MAGNOLIATIDE_SRC_ENTRY_GATEWAY_CORE_H
#define MAGNOLIATIDE_SRC_ENTRY_GATEWAY_CORE_H

#include "magnoliatide/entry/classify.h"
#include "magnoliatide/entry/gateway.h"
#include "magnoliatide/entry/outcome.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <oneapi/tbb/concurrent_hash_map.h>

#include <atomic>

namespace magnoliatide::entry {

/// Decisions that can be queued for one request.
constexpr std::size_t kMaxDecisions = 16;

/// The scheduler's decision on one request.
struct Decision
{
  bool start = false; ///< Send to `backend`, else refuse for `reason`.
  std::string backend;
  policy::DropReason reason = policy::DropReason::kQueueFull;
  Duration retryAfter{};
};

using Mailbox =
  boost::asio::experimental::concurrent_channel<boost::asio::any_io_executor,
                                                void(boost::system::error_code,
                                                     Decision)>;

/// One request in progress.
struct Job
{
  Job(boost::asio::any_io_executor aExecutor, http::Exchange& aExchange)
    : exchange(aExchange)
    , mailbox(aExecutor, kMaxDecisions)
    , executor(std::move(aExecutor))
  {
  }

  http::Exchange& exchange;
  Mailbox mailbox;
  boost::asio::any_io_executor executor;
  std::string id;
  Classified request;
  std::shared_ptr<const document::Document> document;
  std::uint64_t attempt = 0; ///< Of a guarded call, from the key guard.
  std::string backend;       ///< Backend server to which it was sent.
  std::shared_ptr<http::ClientConnection> connection;
  http::BodyMemory bodyMemory;     ///< Of the answer's body.
  bool callerDisconnected = false; ///< Used on the caller's event loop only.

  TimePoint sent{}; ///< When the send began; zero before.
  policy::RunReport report;
};

using JobPointer = std::shared_ptr<Job>;

/// Returns the refusal for a key verdict other than kRun and kRecorded.
Refusal
KeyRefusal(KeyVerdict aVerdict);

/// Returns the status and the headers that are relayed to the caller.
http::Response
HeadForCaller(const http::Response& aHead, const Job& aJob);

struct Gateway::Core
{
  explicit Core(GatewayParams aParams)
    : params(std::move(aParams))
  {
  }

  boost::asio::awaitable<void> Handle(http::Exchange& aExchange);
  boost::asio::awaitable<void> ServeHealth(http::Exchange& aExchange);
  boost::asio::awaitable<void> RunWithKey(JobPointer aJob);
  boost::asio::awaitable<void> Run(JobPointer aJob);
  boost::asio::awaitable<bool> Connect(JobPointer aJob, std::string aBackend);
  boost::asio::awaitable<void> Dispatch(JobPointer aJob, std::string aBackend);
  boost::asio::awaitable<http::CallStatus> Relay(JobPointer aJob);
  boost::asio::awaitable<http::CallStatus> RelayBuffered(JobPointer aJob,
                                                         http::Response aHead);
  boost::asio::awaitable<http::CallStatus> RelayStream(JobPointer aJob,
                                                       http::Response aHead);
  boost::asio::awaitable<void> RefuseAfterLoss(JobPointer aJob,
                                               http::CallStatus aStatus);
  boost::asio::awaitable<void> CheckBackendAfterLoss(JobPointer aJob,
                                                     std::string aBackend,
                                                     http::CallStatus aStatus);
  boost::asio::awaitable<void> Refuse(JobPointer aJob, Refusal aRefusal);

  void Apply(const policy::Decisions& aDecisions);
  void Post(policy::RequestId aId, Decision aDecision);
  void WatchForDisconnect(const JobPointer& aJob);
  void FinishRun(const JobPointer& aJob, http::CallStatus aStatus);
  void CountEnd(const Job& aJob, const char* aOutcome, std::string_view aKind);
  boost::asio::awaitable<void> ReportKeyEnd(JobPointer aJob,
                                            KeyEnd aEnd,
                                            http::Response aAnswer);
  void RecordFirstByte(const JobPointer& aJob);
  bool RecordIncarnation(const std::string& aBackend,
                         std::string_view aIncarnation);
  Duration StepTimeout(const Job& aJob) const;

  using Jobs = oneapi::tbb::concurrent_hash_map<policy::RequestId, JobPointer>;

  GatewayParams params;
  std::atomic<std::uint64_t> lastId{ 0 };
  std::atomic<bool> draining{ false };
  /// Requests that wait for a decision or are being connected.
  Jobs jobs;
  /// The incarnation that answered last, by backend server. Servers that state
  /// none are missing.
  oneapi::tbb::concurrent_hash_map<std::string, std::string> incarnations;
};

} // namespace magnoliatide::entry

#endif
