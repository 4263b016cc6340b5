// Benchmark of scheduling decisions: a request ends on a fully loaded set of
// servers, and another one is submitted.
#include "magnoliatide/policy/scheduler.h"

#include "magnoliatide/core/digest.h"

#include <benchmark/benchmark.h>

namespace magnoliatide::policy {
namespace {

document::Document
DocumentOf(std::int64_t aEngines, std::int64_t aTeams)
{
  std::string text = "[environment]\nname = t\ngeneration = 1\n"
                     "[tiers]\nnames = urgent\n[vms]\nslots = a/1\n"
                     "[service s]\ntype = model\nqueue-limit = 100000\n"
                     "[kind k]\nservice = s\ntier = urgent\nteams = *\n";
  for (std::int64_t i = 0; i < aTeams; ++i) {
    const auto name = "team" + std::to_string(i);
    text += "[team " + name + "]\ntoken-digest = " + Sha256Hex(name) +
            "\n"
            "max-concurrent = 100000\nrate-per-second = 1000000\n"
            "rate-per-minute = 60000000\n";
  }
  for (std::int64_t i = 0; i < aEngines; ++i) {
    text += "[engine e" + std::to_string(i) +
            "]\nservice = s\naddress = 127.0." + std::to_string(i / 250) + "." +
            std::to_string(i % 250 + 1) + ":9\nzone = a\nmodels = m\n";
  }
  std::vector<Fault> faults;
  return ValueOrFaults([&] { return document::ParseDocument("t", text); },
                       faults);
}

/// Keeps all servers full and requests queued, and measures the end of one
/// request together with the submission of the next.
void
DecideUnderLoad(benchmark::State& aState)
{
  const auto document = DocumentOf(aState.range(0), aState.range(1));
  SchedulerOptions options;
  options.selector.learnSlotLimits = false;
  Scheduler scheduler(options);
  scheduler.Apply(document);
  TimePoint now = TimePoint{} + Seconds(1000);
  RequestId next = 1;
  std::vector<RequestId> running;
  const auto submit = [&] {
    SchedulerRequest request;
    request.id = next;
    request.service = "s";
    request.kind = "k";
    request.model = "m";
    request.team =
      "team" + std::to_string(next % static_cast<RequestId>(aState.range(1)));
    request.size = { 100, 10 };
    request.fingerprint = next++;
    request.deadline = now + std::chrono::hours(10);
    for (const auto& start : scheduler.Submit(request, now).starts) {
      running.push_back(start.id);
    }
  };
  // Fills the default 8 slots of each engine and queues one request per team.
  const auto initialCount = aState.range(0) * 8 + aState.range(1);
  for (std::int64_t i = 0; i < initialCount; ++i) {
    submit();
  }
  RunReport report;
  report.promptTokens = 100;
  report.outputTokens = 10;
  report.toFirstToken = Milliseconds(20);
  report.toEnd = Milliseconds(200);
  std::size_t at = 0;
  for (auto _ : aState) {
    now += std::chrono::microseconds(400);
    const auto id = running[at % running.size()];
    for (const auto& start : scheduler.Finish(id, report, now).starts) {
      running[at % running.size()] = start.id;
    }
    at += 1;
    submit();
  }
}

BENCHMARK(DecideUnderLoad)
  ->Args({ 12, 5 })
  ->Args({ 60, 500 })
  ->Args({ 300, 500 })
  ->Args({ 620, 3800 })
  ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace magnoliatide::policy

BENCHMARK_MAIN();
