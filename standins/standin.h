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
  /// Time per output token, to which batchSlowdown adds.
  Duration tokenTime = Milliseconds(10);
  int batch = 16; ///< Maximum number of concurrent requests.
  /// Relative growth of tokenTime at a full batch.
  double batchSlowdown = 0.5;
  /// Size of the prefix cache in blocks of 64 tokens.
  std::size_t prefixCacheBlocks = 2048;
  int tokensPerWrite = 4;     ///< Output tokens in one chunk of a stream.
  bool checksFencing = false; ///< Refuse orders with a stale fencing number.
};

/// Makes an engine with continuous batching and a prefix cache but without
/// priorities.
std::unique_ptr<Service>
MakeEngine(const EngineOptions& aOptions);

/// Makes a service that counts the runs of each idempotency key. A call takes
/// aDelay.
std::unique_ptr<Service>
MakeLedger(Duration aDelay);

/// Makes a platform that serves documents, the list of VMs and watches, and
/// counts calls.
std::unique_ptr<Service>
MakePlatform();

/// Suspends the calling coroutine for a time.
boost::asio::awaitable<void>
Pause(Duration aTime);

/// Returns a numeric query parameter, or the default if it is missing or not a
/// number.
double
NumberParameter(const http::Request& aRequest,
                std::string_view aName,
                double aDefault);

} // namespace magnoliatide::standins

#endif
