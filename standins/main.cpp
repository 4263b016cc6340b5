// Runs one test double, a backend server or the platform, as a process.
#include "standin.h"

#include <boost/asio.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1:7000", "address to listen on");
DEFINE_string(name, "engine", "engine name in answers");
DEFINE_double(prefill_rate, 8000, "prompt tokens per second");
DEFINE_int32(token_us, 10000, "microseconds between tokens of a lone request");
DEFINE_int32(batch, 16, "concurrent requests");
DEFINE_int32(delay_ms, 5, "duration of a ledger call in milliseconds");
DEFINE_bool(checks_fencing, false, "refuse orders with a stale fencing number");

namespace magnoliatide::standins {

namespace {

std::unique_ptr<Service>
MakeService(const std::string& aType)
{
  if (aType == "engine") {
    EngineOptions options;
    options.name = FLAGS_name;
    options.prefillRate = FLAGS_prefill_rate;
    options.tokenTime = std::chrono::microseconds(FLAGS_token_us);
    options.batch = FLAGS_batch;
    options.checksFencing = FLAGS_checks_fencing;
    return MakeEngine(options);
  }
  if (aType == "ledger") {
    return MakeLedger(Milliseconds(FLAGS_delay_ms));
  }
  return aType == "platform" ? MakePlatform() : nullptr;
}

int
Run(const std::string& aType)
{
  const auto service = MakeService(aType);
  http::ServerOptions options;
  if (!service || !document::ParseEndpoint(FLAGS_address, options.address)) {
    std::cerr << "magnoliatide-standin engine|ledger|platform --address "
                 "IP:PORT\n";
    return 2;
  }
  http::Threads threads(1);
  const auto server =
    http::StartServer(threads, options, [&](http::Exchange& aExchange) {
      return service->Handle(aExchange);
    });
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  threads.Stop();
  return 0;
}

} // namespace

} // namespace magnoliatide::standins

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    return magnoliatide::standins::Run(aCount > 1 ? aArguments[1] : "");
  } catch (const std::exception& error) {
    std::cerr << "magnoliatide-standin: " << error.what() << "\n";
    return 1;
  }
}
