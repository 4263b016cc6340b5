// Paired latency measurement and throughput measurement of one VM.
#include "latency.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <ostream>
#include <stdexcept>
#include <thread>

namespace magnoliatide::load {

namespace asio = boost::asio;

namespace {

constexpr Duration kCallTimeout = Seconds(5);
constexpr std::size_t kMaxBodyBytes = 65536;

std::string
DocumentBase()
{
  return "[tiers]\nnames = urgent\n[service stock]\ntype = plain\n"
         "idempotent = GET /stock\n[kind reads]\nservice = stock\n"
         "tier = urgent\nteams = *\n" +
         TeamSection("planners",
                     "max-concurrent = 100000\nrate-per-second = 1000000\n"
                     "rate-per-minute = 60000000\n");
}

http::Request
MakeRequest(bool aThrough)
{
  http::Request request;
  request.target = aThrough ? "/services/stock/stock" : "/stock";
  request.headers = {
    { "Authorization", "Bearer " + TokenOf("planners") },
    { "X-Request-Id", "direct" },
  };
  return request;
}

/// Sends a call. Returns whether it was answered with status 200.
asio::awaitable<bool>
CallOnce(http::ClientConnection& aConnection, bool aThrough)
{
  http::Response response;
  auto status = co_await aConnection.Send(MakeRequest(aThrough), kCallTimeout);
  if (status == http::CallStatus::kDone) {
    status = co_await aConnection.ReadHead(response, kCallTimeout);
  }
  if (status == http::CallStatus::kDone) {
    status =
      co_await aConnection.ReadRest(response.body, kMaxBodyBytes, kCallTimeout);
  }
  co_return status == http::CallStatus::kDone&& response.status == 200;
}

/// Returns the latency of a call in milliseconds.
asio::awaitable<double>
TimeCall(http::ClientConnection& aConnection, bool aThrough)
{
  const auto begin = Clock::now();
  if (!co_await CallOnce(aConnection, aThrough)) {
    throw std::runtime_error(
      "latency: a call failed or its status was not 200");
  }
  co_return ToSeconds(Clock::now() - begin) * 1000;
}

/// Latencies of call pairs in milliseconds, and their differences.
struct Pairs
{
  std::vector<double> direct;
  std::vector<double> through;
  std::vector<double> added;
};

asio::awaitable<void>
TimePairs(document::Endpoint aServer,
          document::Endpoint aVm,
          int aCount,
          Pairs& aOut)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto server = http::MakeConnection(executor, aServer);
  const auto vm = http::MakeConnection(executor, aVm);
  const bool first = co_await server->Connect(kCallTimeout);
  const bool second = co_await vm->Connect(kCallTimeout);
  if (!first || !second) {
    throw std::runtime_error("latency: cannot connect to the server or the VM");
  }
  for (int i = 0; i < aCount; ++i) {
    const double direct = co_await TimeCall(*server, false);
    const double through = co_await TimeCall(*vm, true);
    aOut.direct.push_back(direct);
    aOut.through.push_back(through);
    aOut.added.push_back(through - direct);
  }
}

/// Calls the VM repeatedly until aEnd or until a call fails, and counts the
/// answers.
asio::awaitable<void>
CallUntil(document::Endpoint aVm, TimePoint aEnd, std::atomic<int>& aCalls)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto connection = http::MakeConnection(executor, aVm);
  if (!co_await connection->Connect(kCallTimeout)) {
    co_return;
  }
  while (Clock::now() < aEnd && co_await CallOnce(*connection, true)) {
    aCalls.fetch_add(1);
  }
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aFraction)];
}

} // namespace

LatencyResult
MeasureLatency(const std::string& aBinaries,
               const std::string& aFolder,
               int aPairs,
               int aConnections,
               Duration aLength)
{
  FleetOptions options;
  options.binaries = aBinaries;
  options.folder = aFolder;
  options.vms = 1;
  options.threads = 2;
  options.base = DocumentBase();
  BackendGroup group;
  group.name = "stock";
  group.service = "stock";
  group.plain = true;
  group.count = 2;
  group.slots = 1024;
  group.maxSlots = 4096;
  group.delay = Duration::zero();
  options.groups = { group };
  Fleet fleet(options);
  if (!fleet.Start()) {
    throw std::runtime_error("latency: the fleet was not ready in time");
  }
  Pairs pairs;
  const auto vm = fleet.Vms()[0].address;
  asio::co_spawn(fleet.Threads().At(0),
                 TimePairs(fleet.Backends()[0].address, vm, aPairs, pairs),
                 asio::use_future)
    .get();
  std::atomic<int> calls{ 0 };
  const auto cpuBefore = UsageOf(fleet.Vms()[0].process.Id()).cpuSeconds;
  const auto begin = Clock::now();
  std::vector<std::future<void>> callers;
  for (int i = 0; i < aConnections; ++i) {
    callers.push_back(asio::co_spawn(fleet.Threads().Next(),
                                     CallUntil(vm, begin + aLength, calls),
                                     asio::use_future));
  }
  for (auto& caller : callers) {
    caller.get();
  }
  const double seconds = ToSeconds(Clock::now() - begin);
  const auto cpuAfter = UsageOf(fleet.Vms()[0].process.Id()).cpuSeconds;
  LatencyResult result;
  result.directMedian = Quantile(pairs.direct, 0.5);
  result.directP99 = Quantile(pairs.direct, 0.99);
  result.throughMedian = Quantile(pairs.through, 0.5);
  result.throughP99 = Quantile(pairs.through, 0.99);
  result.addedMedian = Quantile(pairs.added, 0.5);
  result.callsPerSecond = calls.load() / seconds;
  result.coresUsed = (cpuAfter - cpuBefore) / seconds;
  return result;
}

void
PrintLatency(std::ostream& aOut, const LatencyResult& aResult)
{
  aOut << "direct   median " << aResult.directMedian << " ms, p99 "
       << aResult.directP99 << " ms\n"
       << "through  median " << aResult.throughMedian << " ms, p99 "
       << aResult.throughP99 << " ms\n"
       << "added    median " << aResult.addedMedian << " ms\n"
       << "rate     " << aResult.callsPerSecond << " calls/s on "
       << aResult.coresUsed << " cores\n";
}

} // namespace magnoliatide::load
