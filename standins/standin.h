// Test doubles of backend servers and of the platform. Each one runs as
// coroutines on one event loop, and its faults are set at run time.
#ifndef MAGNOLIATIDE_STANDINS_STANDIN_H
#define MAGNOLIATIDE_STANDINS_STANDIN_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/server.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace magnoliatide::standins {

/// Handles requests and holds the state they work on.
class Service
{
public:
  virtual ~Service() = default;
  virtual boost::asio::awaitable<void> Handle(http::Exchange& aExchange) = 0;
};

/// Speed and limits of a simulated model engine.
struct EngineOptions
{
  std::string name = "engine";
  double prefillRate = 8000; ///< Prompt tokens per second.
  Duration tokenTime =
    Milliseconds(10);         ///< Between the tokens of a lone request.
  int batch = 16;             ///< Concurrent requests.
  double batchSlowdown = 0.5; ///< Relative growth of tokenTime at a full batch.
  std::size_t prefixCacheBlocks =
    2048; ///< Prefix cache size in blocks of 64 tokens.
  int tokensPerWrite = 4;
  bool checksFencing = false;
};

/// Makes an engine with continuous batching and a prefix cache but without
/// priorities.
std::unique_ptr<Service>
MakeEngine(const EngineOptions& aOptions);

/// Makes a service that counts the runs of each idempotency key.
std::unique_ptr<Service>
MakeLedger(Duration aDelay);

/// Makes a platform that serves documents, the list of VMs and watches, and
/// counts calls.
std::unique_ptr<Service>
MakePlatform();

/// Suspends the calling coroutine for a time.
boost::asio::awaitable<void>
Pause(Duration aTime);

/// Returns a numeric query parameter, or the default if it is missing.
double
NumberParameter(const http::Request& aRequest,
                std::string_view aName,
                double aDefault);

} // namespace magnoliatide::standins

#endif
