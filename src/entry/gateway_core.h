// What the parts of the gateway share: a request in progress, and the gateway's
// state and steps. gateway.cpp takes requests in and waits for decisions,
// relay.cpp sends them and passes the answers on.
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

/// Decisions that may wait for one request.
constexpr std::size_t kMostDecisions = 16;

/// A decision about one request.
struct Verdict
{
  bool start = false;
  std::string backend;
  policy::DropReason reason = policy::DropReason::kQueueFull;
  Duration retryAfter{};
};

using Mailbox =
  boost::asio::experimental::concurrent_channel<boost::asio::any_io_executor,
                                                void(boost::system::error_code,
                                                     Verdict)>;

/// One request in progress.
struct Job
{
  Job(boost::asio::any_io_executor aExecutor, http::Exchange& aExchange)
    : exchange(aExchange)
    , mailbox(aExecutor, kMostDecisions)
    , executor(std::move(aExecutor))
  {
  }

  http::Exchange& exchange;
  Mailbox mailbox;
  boost::asio::any_io_executor executor;
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

/// Returns what a caller is told whose key has another verdict than "run".
Refusal
KeyRefusal(KeyVerdict aVerdict);

/// Forms the part of an answer's head that goes on to the caller.
http::Response
HeadForCaller(const http::Response& aHead, const Job& aJob);

struct Gateway::Core
{
  explicit Core(GatewayParts aParts)
    : parts(std::move(aParts))
  {
  }

  boost::asio::awaitable<void> Handle(http::Exchange& aExchange);
  boost::asio::awaitable<void> ServeHealth(http::Exchange& aExchange);
  boost::asio::awaitable<void> RunGuarded(JobPointer aJob);
  boost::asio::awaitable<void> Run(JobPointer aJob);
  boost::asio::awaitable<bool> Connect(JobPointer aJob, std::string aBackend);
  boost::asio::awaitable<void> Dispatch(JobPointer aJob, std::string aBackend);
  boost::asio::awaitable<http::CallStatus> Relay(JobPointer aJob);
  boost::asio::awaitable<http::CallStatus> RelayWhole(JobPointer aJob,
                                                      http::Response aHead);
  boost::asio::awaitable<http::CallStatus> RelayStream(JobPointer aJob,
                                                       http::Response aHead);
  boost::asio::awaitable<void> ReportLoss(JobPointer aJob,
                                          http::CallStatus aStatus);
  boost::asio::awaitable<void> JudgeBackend(JobPointer aJob,
                                            std::string aBackend,
                                            http::CallStatus aStatus);
  boost::asio::awaitable<void> Refuse(JobPointer aJob, Refusal aRefusal);

  void Apply(const policy::Decisions& aDecisions);
  void Post(policy::RequestId aId, Verdict aVerdict);
  void WatchCaller(const JobPointer& aJob);
  void FinishRun(const JobPointer& aJob, http::CallStatus aStatus);
  void CountEnd(const Job& aJob, const char* aOutcome, std::string_view aKind);
  boost::asio::awaitable<void> EndKey(JobPointer aJob,
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

} // namespace magnoliatide::entry

#endif
