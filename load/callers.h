// Callers: send requests at set rates and record what each was told.
#ifndef MAGNOLIATIDE_LOAD_CALLERS_H
#define MAGNOLIATIDE_LOAD_CALLERS_H

#include "fleet.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// A stream of requests that are alike.
struct Traffic
{
  std::string name;
  std::string kind;
  std::string team;
  int tier = 0; ///< Index of the kind's tier, for checks.
  std::string model = "small";
  std::string service; ///< A plain service; empty for a model request.
  std::string method = "POST";
  std::string path;     ///< Of a plain call.
  bool keyed = false;   ///< Each call has an Idempotency-Key.
  int sends = 1;        ///< Sends of each keyed call, through any VM.
  double rate = 10;     ///< Requests a second.
  int leastPrompt = 20; ///< Prompt tokens; drawn evenly on a log scale.
  int mostPrompt = 2000;
  int leastOutput = 4;
  int mostOutput = 64;
  bool stream = true;
  Duration deadline = Seconds(10);
  Duration begin{};             ///< After the start of the run.
  Duration length = Seconds(5); ///< How long it sends.
  std::string promptText;       ///< Put in front of each prompt.
  int vm = -1;                  ///< The only VM to send to; -1 for all.
};

/// How a send ended, as its caller saw it.
enum class Ending
{
  kWhole,     ///< The whole answer to its own request.
  kNotRun,    ///< Told "not-run".
  kUnknown,   ///< Told "unknown".
  kRunning,   ///< Told "running".
  kCut,       ///< The answer was visibly incomplete.
  kMisframed, ///< Framed as whole, and incomplete.
  kCrossed,   ///< An answer to another request.
  kLost,      ///< No answer: the connection ended.
  kUnreached, ///< No connection was made, so nothing was told.
};

const char*
Name(Ending aEnding);

/// One send and what became of it.
struct Record
{
  std::string traffic;
  std::string kind;
  std::string team;
  int tier = 0;
  bool plain = false; ///< A call of a plain service.
  Ending ending = Ending::kLost;
  int status = 0;
  std::string reason;
  std::string requestId;
  std::string key;
  bool recorded = false; ///< The answer of an earlier send.
  Duration waited{};     ///< Time in the queue, as the VM told it.
  Duration deadline{};
  double promptTokens = 0;
  double outputTokens = 0;
  TimePoint sent;
  Duration toFirst{}; ///< Zero where nothing came.
  Duration toEnd{};
  double tokenMillis = 0; ///< Mean time between tokens.
  std::size_t vm = 0;
};

/// Sends all traffic and returns the records, in order of their ends.
///
/// @param aFleet The fleet; requests go to its VMs in turn.
/// @param aTraffic What to send.
/// @param aSeed Fixes arrival times, lengths and prompts.
/// @param aDuring Runs on the calling thread while the traffic flows; is
///     given the start of the run.
std::vector<Record>
SendAll(Fleet& aFleet,
        const std::vector<Traffic>& aTraffic,
        std::uint64_t aSeed,
        const std::function<void(TimePoint)>& aDuring = {});

/// Sends one request of a traffic and returns its record.
Record
SendOne(Fleet& aFleet,
        const Traffic& aTraffic,
        std::size_t aVm,
        const std::string& aKey = "",
        std::uint64_t aSeed = 1);

} // namespace magnoliatide::load

#endif
