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
  const char* prefix = "";
  const char* method = "POST";
  bool stream = false;
  bool once = false; ///< A call may run at most once.
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
  std::size_t vm = 0;
  std::uint64_t version = 0; ///< Version of a probe's route.
  Duration deadline{};
  TimePoint sentAt;
  TimePoint endedAt;
  http::CallStatus status = http::CallStatus::kNotSent;
  int httpStatus = 0;
  std::string signature;
  std::string answer;
  bool left = false; ///< The caller closed the connection.

  bool Answered() const { return status == http::CallStatus::kDone; }
  bool Served() const { return Answered() && httpStatus / 100 == 2; }
};

/// A run as its server saw it.
struct RunRecord
{
  std::string server; ///< Stable name; the id changes at a restart.
  standins::EngineRun run;
};

/// A time span with a fault or planned work.
struct Disturbance
{
  TimePoint from;
  TimePoint until;
  std::string kind;
  std::string host; ///< A VM, a server, "store", or "" for the fleet.
  bool planned = false;
};

/// A configuration version that was written to the store.
struct Published
{
  TimePoint at;
  std::uint64_t version = 0;
};

/// A server's announcement that it leaves.
struct Notice
{
  TimePoint at;
  std::string server;
  TimePoint replacedAt; ///< Then a new incarnation takes its address.
};

/// The quota of the limited team.
struct Quota
{
  std::string team;
  double perSecond = 0;
  double burst = 0;
  double unitsPerCall = 0;
  Duration window{};
};

/// All that the checks need from a run.
struct History
{
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<Disturbance> disturbances;
  std::vector<Published> published;
  std::vector<Notice> notices;
  std::vector<std::string> vms; ///< Names by VM number.
  Quota quota;
  TimePoint faultsEndedAt; ///< End of all faults.
};

} // namespace magnoliatide::soak

#endif
