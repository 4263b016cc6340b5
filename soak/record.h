// What a soak writes down while it runs: what callers sent and got, what the
// servers ran, and what was done to the deployment when.
#ifndef MAGNOLIATIDE_SOAK_RECORD_H
#define MAGNOLIATIDE_SOAK_RECORD_H

#include "batch_engine.h"

#include "magnoliatide/http/client.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliatide::soak {

/// A kind of call and what its route promises.
struct KindFacts
{
  const char* prefix = "";
  const char* method = "POST";
  bool stream = false;
  bool once = false; ///< It may run at most once.
};

enum class Kind
{
  kQuote,   ///< A stream that may be resumed.
  kLetter,  ///< A stream that may not.
  kDeposit, ///< A call that may run once.
  kStock,   ///< A call that may be repeated.
  kProbe,   ///< A call to a route that only one configuration has.
};

/// Returns what is known of a kind.
const KindFacts&
FactsOf(Kind aKind);

/// Servers that a call may be sent to.
constexpr int kMostServers = 2;

/// Events of a whole stream.
constexpr int kEvents = 40;

/// One call of a caller.
struct CallRecord
{
  std::string id;
  Kind kind = Kind::kQuote;
  std::string team;
  std::string target;
  std::string body;
  std::size_t vm = 0;
  std::uint64_t version = 0; ///< The configuration that a probe is for.
  Duration deadline{};
  TimePoint sentAt;
  TimePoint endedAt;
  http::CallStatus status = http::CallStatus::kNotSent;
  int httpStatus = 0;
  std::string signature;
  std::string answer;
  bool left = false; ///< The caller ended it.

  bool Answered() const { return status == http::CallStatus::kDone; }
  bool Served() const { return Answered() && httpStatus / 100 == 2; }
};

struct RunRecord
{
  std::string server; ///< The name of the stand-in; its id changes.
  standins::EngineRun run;
};

/// A span of time in which something was wrong, or planned work was done.
struct Disturbance
{
  TimePoint from;
  TimePoint until;
  std::string what;
  std::string host; ///< A VM or server, "store", or "" for the whole fleet.
  bool planned = false;
};

/// A change that the store has acknowledged.
struct Published
{
  TimePoint at;
  std::uint64_t version = 0;
};

/// A server's notice that it leaves.
struct Notice
{
  TimePoint at;
  std::string server;
  TimePoint goneAt; ///< From then on another life has its address.
};

struct Quota
{
  std::string team;
  double perSecond = 0;
  double burst = 0;
  double unitsOfCall = 0;
  Duration window{};
};

struct History
{
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<Disturbance> disturbances;
  std::vector<Published> published;
  std::vector<Notice> notices;
  std::vector<std::string> vms; ///< Names, by number.
  Quota quota;
  TimePoint calmFrom; ///< All faults have ended.
};

} // namespace magnoliatide::soak

#endif
