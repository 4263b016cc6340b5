// Small programs that take the place of backend servers and of the platform.
// Each is a set of coroutines on one event loop; faults are set at run time.
#ifndef MAGNOLIATIDE_STANDINS_STANDIN_H
#define MAGNOLIATIDE_STANDINS_STANDIN_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/server.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace magnoliatide::standins {

/// A handler with the state behind it.
class Service
{
public:
  virtual ~Service() = default;
  virtual boost::asio::awaitable<void> Handle(http::Exchange& aExchange) = 0;
};

/// Speed and limits of a model engine.
struct EngineOptions
{
  std::string name = "engine";
  double prefillRate = 8000;             ///< Prompt tokens a second.
  Duration tokenTime = Milliseconds(10); ///< Between tokens, alone.
  int batch = 16;                        ///< Requests generated at once.
  double crowding = 0.5;           ///< Growth of tokenTime at a full batch.
  std::size_t prefixBlocks = 2048; ///< Prefix cache, blocks of 64 tokens.
  int tokensPerWrite = 4;
  bool checksFencing = false;
};

/// Makes an engine: continuous batching, a prefix cache, no priorities.
std::unique_ptr<Service>
MakeEngine(const EngineOptions& aOptions);

/// Makes a plain service that counts how often each key ran.
std::unique_ptr<Service>
MakeLedger(Duration aDelay);

/// Makes the platform: documents, the list of VMs, watches, call counts.
std::unique_ptr<Service>
MakePlatform();

/// Waits on the calling coroutine's event loop.
boost::asio::awaitable<void>
Pause(Duration aTime);

/// Reads a number from a query, or the default.
double
NumberOf(const http::Request& aRequest, std::string_view aName, double aElse);

} // namespace magnoliatide::standins

#endif
