// The history of a soak run: the calls of callers, the runs at servers, and
// the faults, pauses and planned changes with their times.
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
  kTrend,   ///< A resumable stream; some configurations lack its route.
  kProbe,   ///< A call to a route of one configuration version only.
};

/// Returns the route properties of a kind.
const RouteTraits&
TraitsOf(Kind aKind);

/// Attempts of a route that may be repeated, unless a configuration differs.
constexpr int kMaxServers = 2;

/// Timeout of a route, unless a configuration differs.
constexpr Duration kRouteTimeout = Seconds(5);

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

/// What a configuration states about the route of a kind of call.
struct RouteTerms
{
  std::vector<std::string> services;
  Duration timeout = kRouteTimeout;
  int attempts = kMaxServers;
};

/// A configuration version that was written to the store.
struct Published
{
  TimePoint at; ///< Time after the store had accepted it.
  std::uint64_t version = 0;
  std::map<Kind, RouteTerms> routes; ///< Without the routes that it lacks.
};

/// A time in which a sound server sends nothing. It is not a fault.
struct ServerPause
{
  TimePoint from;
  TimePoint until;
  std::string server;
};

/// The end of a server's incarnation, by a crash or after it had left.
struct ServerEnd
{
  TimePoint at;
  std::string server;
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
  std::vector<ServerPause> pauses;
  std::vector<ServerEnd> serverEnds;
  std::vector<std::string> vms; ///< Names by index of the VM.
  /// The service of each server, by the server's first id.
  std::map<std::string, std::string> services;
  /// Runs that each server states to have room for at once.
  int slotsPerServer = standins::BatchEngineOptions().slots;
  Quota quota;
  TimePoint faultsEndedAt; ///< When the last fault had ended.
};

} // namespace magnoliatide::soak

#endif
