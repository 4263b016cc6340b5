// Benchmarks the time per allocator decision under overload, by server count.
#include "testing/load_model.h"

#include <benchmark/benchmark.h>

namespace magnoliatide::policy {
namespace {

/// Runs steps of 100 ms at about twice the servers' capacity.
void
Overload(benchmark::State& aState)
{
  const int servers = static_cast<int>(aState.range(0));
  testing::LoadModel model(1);
  model.Add(testing::EngineGroup{ servers, 4 });
  // Assumes that a request occupies a slot for 0.45 s.
  const double capacityPerSecond = servers * 4 / 0.45;
  testing::Traffic urgent;
  urgent.kind = "urgent";
  urgent.perSecond = capacityPerSecond * 0.5;
  model.Add(urgent);
  testing::Traffic lowTier;
  lowTier.kind = "idle";
  lowTier.team = "other";
  lowTier.tier = 2;
  lowTier.perSecond = capacityPerSecond * 1.5;
  model.Add(lowTier);
  model.Run(Seconds(3));
  std::uint64_t before = model.Decisions();
  for (auto _ : aState) {
    model.Run(Milliseconds(100));
  }
  const auto decisions = static_cast<double>(model.Decisions() - before);
  aState.counters["decision"] = benchmark::Counter(
    decisions, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(Overload)->Arg(12)->Arg(140)->Arg(620)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace magnoliatide::policy

BENCHMARK_MAIN();
