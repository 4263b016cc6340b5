// Measures encoding and decoding of a dispatch request.
#include "magnoliatide/wire/codec.h"

#include <benchmark/benchmark.h>

namespace magnoliatide::wire {
namespace {

Datagram
SampleRequest()
{
  Datagram message;
  message.header.sender.slot = "kariakoo/front-kariakoo-12";
  message.header.sender.address = "10.1.0.25:8229";
  DispatchRequest request;
  request.service = "volo24a";
  request.kind = "r-jnqqmvf";
  request.team = "wucu951";
  message.body = request;
  return message;
}

void
Encode(benchmark::State& aState)
{
  const Codec codec(std::vector<Key>{ { "production", "magnoliatide" } });
  const auto message = SampleRequest();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(codec.Encode(message));
  }
}

void
Decode(benchmark::State& aState)
{
  const Codec codec(std::vector<Key>{ { "production", "magnoliatide" } });
  const auto bytes = codec.Encode(SampleRequest());
  for (auto _ : aState) {
    Datagram message;
    benchmark::DoNotOptimize(codec.Decode(bytes, message));
  }
}

BENCHMARK(Encode);
BENCHMARK(Decode);

} // namespace
} // namespace magnoliatide::wire

BENCHMARK_MAIN();
