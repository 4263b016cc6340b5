// Open-loop callers that send requests at configured rates and record the
// result of each.
#ifndef MAGNOLIATIDE_LOAD_CALLERS_H
#define MAGNOLIATIDE_LOAD_CALLERS_H

#include "fleet.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// A series of requests with the same parameters.
struct Traffic
{
  std::string name;
  std::string kind;
  std::string team;
  /// Index of the kind's tier; 0 is the most urgent. The VMs take the tier from
  /// the document, the checks take it from here.
  int tier = 0;
  std::string model = "small";
  std::string service; ///< Name of a plain service; empty for a model request.
  std::string method = "POST";
  std::string path;   ///< Path of a plain call, below /services/<service>.
  bool keyed = false; ///< Whether each call has an Idempotency-Key.
  int sends = 1;    ///< Sends per keyed call. Each goes to the next VM in turn.
  double rate = 10; ///< Requests per second.
  int minPromptTokens = 20; ///< The lengths are distributed log-uniformly.
  int maxPromptTokens = 2000;
  int minOutputTokens = 4;
  int maxOutputTokens = 64;
  bool stream = true; ///< Whether a model answer is streamed.
  Duration deadline = Seconds(10);
  Duration begin{};             ///< Offset from the start of the run.
  Duration length = Seconds(5); ///< Time during which requests are sent.
  std::string promptText;       ///< Prefix of each prompt.
  int vm = -1; ///< Index of the only VM to send to; -1 for all VMs.
};

/// Result of a send as observed by the caller.
enum class SendOutcome
{
  kComplete,  ///< The complete answer to the request.
  kNotRun,    ///< Refused with X-Outcome "not-run".
  kUnknown,   ///< Refused with X-Outcome "unknown" or without X-Outcome.
  kRunning,   ///< Refused with X-Outcome "running".
  kCut,       ///< Connection lost or timed out before the answer ended.
  kMisframed, ///< Framed as complete, but content is missing.
  kCrossed,   ///< The answer belongs to another request.
  kLost,      ///< Connection lost or timed out before an answer began.
  kUnreached, ///< No connection was made, so nothing was sent.
};

/// Returns the outcome as printed in messages, for example "not-run".
const char*
Name(SendOutcome aOutcome);

/// One send and its result.
struct Record
{
  std::string traffic;
  std::string kind;
  std::string team;
  int tier = 0;
  bool plain = false; ///< Whether the call went to a plain service.
  SendOutcome outcome = SendOutcome::kLost;
  int status = 0;     ///< HTTP status; 0 if no answer began.
  std::string reason; ///< X-Reason of a refusal.
  std::string requestId;
  std::string key;
  bool recorded = false; ///< Whether the answer is that of an earlier send.
  Duration queueTime{};  ///< Time in the queue, as reported by the VM.
  Duration deadline{};
  double promptTokens = 0;
  double outputTokens = 0;
  TimePoint sent;
  /// Time to the first byte of the body, zero if none arrived.
  Duration timeToFirstByte{};
  Duration timeToEnd{};
  double tokenMillis = 0; ///< Mean time between tokens, in milliseconds.
  std::size_t vm = 0;     ///< Index of the VM that was called.
};

/// Sends all traffic and returns the records in order of completion.
///
/// @param aFleet The fleet. Requests are distributed to its VMs round-robin.
/// @param aTraffic The traffic to send.
/// @param aSeed Determines arrival times, lengths and prompts.
/// @param aDuring Called on the calling thread while traffic is sent, with the
///     start time of the run.
std::vector<Record>
SendAll(Fleet& aFleet,
        const std::vector<Traffic>& aTraffic,
        std::uint64_t aSeed,
        const std::function<void(TimePoint)>& aDuring = {});

/// Sends one request of the given traffic to a VM and waits for its record.
///
/// @param aKey Idempotency key; empty for a call without one.
Record
SendOne(Fleet& aFleet,
        const Traffic& aTraffic,
        std::size_t aVm,
        const std::string& aKey = "",
        std::uint64_t aSeed = 1);

} // namespace magnoliatide::load

#endif
