// The history of a soak run: the calls of callers, the runs at servers, and
// the faults and planned changes with their times.
#ifndef MAGNOLIATIDE_SOAK_RECORD_H
#define MAGNOLIATIDE_SOAK_RECORD_H

#include "batch_engine.h"

#include "magnoliatide/http/client.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::soak {

/// Properties of the route that serves a kind of call.
struct RouteTraits
{
  const char* prefix = ""; ///< Prefix of the path.
  const char* method = "POST";
  bool stream = false; ///< Whether the answer is a stream of events.
  bool once = false;   ///< Whether a call may run at most once.
};

/// Kinds of calls, each with a route of its own.
enum class Kind
{
  kQuote,   ///< A resumable stream.
  kLetter,  ///< A stream that is not resumable.
  kDeposit, ///< A call that may run at most once.
  kStock,   ///< An idempotent call.
  kProbe,   ///< A call to a route of one configuration version only.
};

/// Returns the route properties of a kind.
const RouteTraits&
TraitsOf(Kind aKind);

/// Maximum number of servers to which one call may be sent.
constexpr int kMaxServers = 2;

/// Number of events of a complete stream.
constexpr int kEvents = 40;

/// A call as its caller saw it.
struct CallRecord
{
  std::string id;
  Kind kind = Kind::kQuote;
  std::string team;
  std::string target;
  std::string body;
  std::size_t vm = 0;        ///< Index of the VM that was called.
  std::uint64_t version = 0; ///< Configuration version that a probe tests.
  Duration deadline{};
  TimePoint sentAt;
  TimePoint endedAt;
  http::CallStatus status = http::CallStatus::kNotSent;
  int httpStatus = 0;
  std::string signature; ///< The server's; a VM's own answer has none.
  std::string answer;    ///< Body of the answer.
  bool callerDisconnected = false; ///< The caller closed the connection early.

  /// Returns whether an answer ended as its framing announced.
  bool Answered() const { return status == http::CallStatus::kDone; }
  /// Returns whether the answer is complete and has a status of success.
  bool Served() const { return Answered() && httpStatus / 100 == 2; }
};

/// A run as its server saw it.
struct RunRecord
{
  std::string server; ///< Its first id; a restart changes the id.
  standins::EngineRun run;
};

/// A time span with a fault, or with a planned change such as a stop of a VM.
struct Disturbance
{
  TimePoint from;
  TimePoint until;
  std::string kind; ///< For example "kill", "stop" or "link fault".
  std::string host; ///< A VM, a server, "store", or "" for the fleet.
  bool planned = false;
};

/// A configuration version that was written to the store.
struct Published
{
  TimePoint at; ///< Time after the store had accepted it.
  std::uint64_t version = 0;
};

/// A server's store entry that marks it as leaving.
struct Notice
{
  TimePoint at;
  std::string server;
  TimePoint replacedAt; ///< When a new incarnation takes its address.
};

/// The quota of the limited team.
struct Quota
{
  std::string team;
  double perSecond = 0;    ///< Units, here tokens, per second.
  double burst = 0;        ///< Units beyond the rate in one window.
  double unitsPerCall = 0; ///< Prompt tokens and maximum output tokens.
  Duration window{};       ///< Setting quota-window of the VMs.
};

/// All that the checks need from a run.
struct History
{
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<Disturbance> disturbances;
  std::vector<Published> published;
  std::vector<Notice> notices;
  std::vector<std::string> vms; ///< Names by index of the VM.
  Quota quota;
  TimePoint faultsEndedAt; ///< When the last fault had ended.
};

} // namespace magnoliatide::soak

#endif
