// Planning of arrivals, sending of requests and classification of answers.
#include "callers.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <cmath>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace magnoliatide::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int kBytesPerToken = 4;
constexpr Duration kCallTimeout = Seconds(60);

/// Time between the sends of one keyed call.
constexpr Duration kResendInterval = Milliseconds(40);

/// A request with its send time and target VM.
struct PlannedRequest
{
  const Traffic* traffic = nullptr;
  Duration at{}; ///< Offset from the start of the run.
  std::size_t vm = 0;
  std::string key;
  std::string prompt;
  int promptTokens = 0;
  int outputTokens = 0;
};

using Random = std::mt19937_64;

int
LogUniform(Random& aRandom, int aMin, int aMax)
{
  std::uniform_real_distribution<double> draw(std::log(std::max(1, aMin)),
                                              std::log(std::max(1, aMax)));
  return static_cast<int>(std::lround(std::exp(draw(aRandom))));
}

std::string
MakePrompt(Random& aRandom, const Traffic& aTraffic, int aTokens)
{
  std::string text =
    aTraffic.promptText + ToHex(aRandom()) + " " + aTraffic.kind + " ";
  const auto size = static_cast<std::size_t>(aTokens * kBytesPerToken);
  while (text.size() < size) {
    text += "festival order " + std::to_string(aRandom() % 100000) + " ";
  }
  return text;
}

/// Draws the lengths and the prompt of a request.
PlannedRequest
PlanRequest(const Traffic& aTraffic, Random& aRandom)
{
  PlannedRequest planned;
  planned.traffic = &aTraffic;
  planned.promptTokens =
    LogUniform(aRandom, aTraffic.minPromptTokens, aTraffic.maxPromptTokens);
  planned.outputTokens =
    LogUniform(aRandom, aTraffic.minOutputTokens, aTraffic.maxOutputTokens);
  planned.prompt = MakePrompt(aRandom, aTraffic, planned.promptTokens);
  return planned;
}

/// Returns all sends of a run, sorted by time. The requests of one traffic
/// arrive as a Poisson process and go to the VMs round-robin.
std::vector<PlannedRequest>
Plan(const std::vector<Traffic>& aTraffic, std::size_t aVms, Random& aRandom)
{
  std::vector<PlannedRequest> plan;
  std::size_t nextVm = 0;
  for (const auto& traffic : aTraffic) {
    std::exponential_distribution<double> gap(std::max(0.001, traffic.rate));
    Duration at = traffic.begin + FromSeconds(gap(aRandom));
    while (traffic.rate > 0 && at < traffic.begin + traffic.length) {
      PlannedRequest planned = PlanRequest(traffic, aRandom);
      planned.at = at;
      const std::string key = "key-" + ToHex(aRandom());
      for (int send = 0; send < (traffic.keyed ? traffic.sends : 1); ++send) {
        planned.vm = (nextVm + static_cast<std::size_t>(send)) % aVms;
        if (traffic.vm >= 0) {
          planned.vm = static_cast<std::size_t>(traffic.vm);
        }
        planned.key = traffic.keyed ? key : "";
        plan.push_back(planned);
        planned.at += kResendInterval;
      }
      nextVm += 1;
      at += FromSeconds(gap(aRandom));
    }
  }
  std::sort(plan.begin(), plan.end(), [](const auto& aL, const auto& aR) {
    return aL.at < aR.at;
  });
  return plan;
}

http::Request
MakeRequest(const PlannedRequest& aPlanned)
{
  const auto& traffic = *aPlanned.traffic;
  const auto millis =
    std::chrono::duration_cast<Milliseconds>(traffic.deadline).count();
  http::Request request;
  request.method = traffic.method;
  request.headers = {
    { "Authorization", "Bearer " + TokenOf(traffic.team) },
    { "X-Kind", traffic.kind },
    { "X-Deadline-Ms", std::to_string(millis) },
    { "Content-Type", "application/json" },
  };
  if (!aPlanned.key.empty()) {
    request.headers.push_back({ "Idempotency-Key", aPlanned.key });
  }
  if (!traffic.service.empty()) {
    request.target = "/services/" + traffic.service + traffic.path;
    request.body = request.method == "GET" ? "" : R"({"amount":1})";
    return request;
  }
  json::object body;
  body["model"] = traffic.model;
  body["prompt"] = aPlanned.prompt;
  body["max_tokens"] = aPlanned.outputTokens;
  body["stream"] = traffic.stream;
  request.target = "/v1/completions";
  request.body = json::serialize(body);
  return request;
}

/// Counts the events of a stream, except the final "[DONE]".
int
CountEvents(const std::string& aBody)
{
  int events = 0;
  std::size_t position = 0;
  while ((position = aBody.find("\ndata: {", position)) != std::string::npos) {
    events += 1;
    position += 1;
  }
  return events + (aBody.starts_with("data: {") ? 1 : 0);
}

/// Classifies the body of an answer with status 200. A plain service returns
/// the key, and an engine a hash of the prompt ("marker"), by which an answer
/// to another request is recognized.
SendOutcome
ClassifyBody(const PlannedRequest& aPlanned, const std::string& aBody)
{
  const auto& traffic = *aPlanned.traffic;
  if (!traffic.service.empty()) {
    const bool matchesKey =
      aPlanned.key.empty() ||
      aBody.find("\"key\":\"" + aPlanned.key + "\"") != std::string::npos;
    return matchesKey ? SendOutcome::kComplete : SendOutcome::kCrossed;
  }
  const auto marker = "\"marker\":\"" + ToHex(Hash64(aPlanned.prompt)) + "\"";
  if (aBody.find("\"marker\":") == std::string::npos) {
    return SendOutcome::kMisframed;
  }
  if (aBody.find(marker) == std::string::npos) {
    return SendOutcome::kCrossed;
  }
  if (!traffic.stream) {
    return aBody.ends_with("}") ? SendOutcome::kComplete
                                : SendOutcome::kMisframed;
  }
  const bool isComplete = CountEvents(aBody) == aPlanned.outputTokens &&
                          aBody.ends_with("data: [DONE]\n\n");
  return isComplete ? SendOutcome::kComplete : SendOutcome::kMisframed;
}

/// Classifies an answer with another status by its X-Outcome header.
SendOutcome
ClassifyRefusal(const http::Response& aResponse)
{
  const auto outcomeHeader = http::Find(aResponse.headers, "X-Outcome");
  if (outcomeHeader == "not-run") {
    return SendOutcome::kNotRun;
  }
  return outcomeHeader == "running" ? SendOutcome::kRunning
                                    : SendOutcome::kUnknown;
}

Record
MakeRecord(const PlannedRequest& aPlanned)
{
  Record record;
  record.traffic = aPlanned.traffic->name;
  record.kind = aPlanned.traffic->kind;
  record.team = aPlanned.traffic->team;
  record.tier = aPlanned.traffic->tier;
  record.plain = !aPlanned.traffic->service.empty();
  record.deadline = aPlanned.traffic->deadline;
  record.key = aPlanned.key;
  record.promptTokens = aPlanned.promptTokens;
  record.outputTokens = aPlanned.outputTokens;
  record.vm = aPlanned.vm;
  record.sent = Clock::now();
  return record;
}

asio::awaitable<void>
Exchange(const PlannedRequest& aPlanned,
         document::Endpoint aVm,
         Record& aRecord)
{
  const auto executor = co_await asio::this_coro::executor;
  auto connection = http::MakeConnection(executor, aVm);
  if (!co_await connection->Connect(Seconds(2))) {
    aRecord.outcome = SendOutcome::kUnreached;
    co_return;
  }
  auto request = MakeRequest(aPlanned);
  request.headers.push_back({ "Connection", "close" });
  auto status = co_await connection->Send(std::move(request), kCallTimeout);
  http::Response response;
  if (status == http::CallStatus::kDone) {
    status = co_await connection->ReadHead(response, kCallTimeout);
  }
  if (status != http::CallStatus::kDone) {
    aRecord.outcome = SendOutcome::kLost;
    co_return;
  }
  aRecord.status = response.status;
  aRecord.requestId = std::string(http::Find(response.headers, "X-Request-Id"));
  aRecord.reason = std::string(http::Find(response.headers, "X-Reason"));
  aRecord.recorded = http::Find(response.headers, "X-Recorded") == "yes";
  const auto queueTime = http::Find(response.headers, "X-Waited-Ms");
  aRecord.queueTime = Milliseconds(std::atoi(std::string(queueTime).c_str()));
  std::string chunk;
  while (status == http::CallStatus::kDone) {
    status = co_await connection->ReadSome(chunk, kCallTimeout);
    if (chunk.empty()) {
      break;
    }
    if (response.body.empty()) {
      aRecord.timeToFirstByte = Clock::now() - aRecord.sent;
    }
    response.body += chunk;
  }
  aRecord.timeToEnd = Clock::now() - aRecord.sent;
  if (status != http::CallStatus::kDone) {
    aRecord.outcome = SendOutcome::kCut;
  } else if (response.status == 200) {
    aRecord.outcome = ClassifyBody(aPlanned, response.body);
  } else {
    aRecord.outcome = ClassifyRefusal(response);
  }
}

/// Sets the mean time between tokens of a complete answer.
void
FillTokenTime(Record& aRecord)
{
  if (aRecord.outcome == SendOutcome::kComplete && aRecord.outputTokens >= 2) {
    aRecord.tokenMillis =
      ToSeconds(aRecord.timeToEnd - aRecord.timeToFirstByte) * 1000 /
      (aRecord.outputTokens - 1);
  }
}

/// Records of a run, appended to by several threads.
struct Results
{
  std::mutex mutex;
  std::vector<Record> records;
  std::atomic<std::size_t> ended{ 0 };
};

asio::awaitable<void>
RunOne(const PlannedRequest& aPlanned,
       document::Endpoint aVm,
       Results& aResults)
{
  Record record = MakeRecord(aPlanned);
  co_await Exchange(aPlanned, aVm, record);
  FillTokenTime(record);
  {
    std::lock_guard<std::mutex> lock(aResults.mutex);
    aResults.records.push_back(std::move(record));
  }
  aResults.ended.fetch_add(1);
}

/// Starts each planned request at its time, without waiting for the others.
asio::awaitable<void>
Launch(const std::vector<PlannedRequest>& aPlan,
       std::vector<document::Endpoint> aVms,
       TimePoint aStart,
       http::Threads& aThreads,
       Results& aResults)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (const auto& planned : aPlan) {
    timer.expires_at(aStart + planned.at);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    asio::co_spawn(aThreads.Next(),
                   RunOne(planned, aVms[planned.vm], aResults),
                   asio::detached);
  }
}

} // namespace

const char*
Name(SendOutcome aOutcome)
{
  switch (aOutcome) {
    case SendOutcome::kComplete:
      return "whole";
    case SendOutcome::kNotRun:
      return "not-run";
    case SendOutcome::kUnknown:
      return "unknown";
    case SendOutcome::kRunning:
      return "running";
    case SendOutcome::kCut:
      return "cut";
    case SendOutcome::kMisframed:
      return "misframed";
    case SendOutcome::kCrossed:
      return "crossed";
    case SendOutcome::kLost:
      return "lost";
    case SendOutcome::kUnreached:
      return "unreached";
  }
  return "unknown";
}

std::vector<Record>
SendAll(Fleet& aFleet,
        const std::vector<Traffic>& aTraffic,
        std::uint64_t aSeed,
        const std::function<void(TimePoint)>& aDuring)
{
  Random random(aSeed);
  const auto plan = Plan(aTraffic, aFleet.Vms().size(), random);
  std::vector<document::Endpoint> addresses;
  for (const auto& vm : aFleet.Vms()) {
    addresses.push_back(vm.address);
  }
  Results results;
  const auto start = Clock::now();
  asio::co_spawn(aFleet.Threads().Next(),
                 Launch(plan, addresses, start, aFleet.Threads(), results),
                 asio::detached);
  if (aDuring) {
    aDuring(start);
  }
  while (results.ended.load() < plan.size()) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return std::move(results.records);
}

Record
SendOne(Fleet& aFleet,
        const Traffic& aTraffic,
        std::size_t aVm,
        const std::string& aKey,
        std::uint64_t aSeed)
{
  Random random(aSeed);
  PlannedRequest planned = PlanRequest(aTraffic, random);
  planned.vm = aVm;
  planned.key = aKey;
  Results results;
  asio::co_spawn(aFleet.Threads().Next(),
                 RunOne(planned, aFleet.Vms()[aVm].address, results),
                 asio::use_future)
    .get();
  return results.records.front();
}

} // namespace magnoliatide::load
