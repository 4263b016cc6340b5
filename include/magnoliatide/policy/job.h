// A classified request as the Allocator sees it, and the result of sending it
// to a server. SchedulerRequest is the counterpart for the Scheduler.
#ifndef MAGNOLIATIDE_POLICY_JOB_H
#define MAGNOLIATIDE_POLICY_JOB_H

#include "magnoliatide/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace magnoliatide::policy {

/// Identifies a request at the VM that accepted it.
using JobId = std::uint64_t;

/// Identifies a request within the fleet.
struct JobKey
{
  std::uint64_t vm = 0; ///< The VM that accepted the request.
  JobId job = 0;        ///< Unique within that VM.

  bool operator==(const JobKey& aOther) const
  {
    return vm == aOther.vm && job == aOther.job;
  }

  bool operator<(const JobKey& aOther) const
  {
    return std::tie(vm, job) < std::tie(aOther.vm, aOther.job);
  }
};

/// Parts of a prompt beyond this number are not tracked.
constexpr std::size_t kMaxSharedParts = 32;

/// A classified request.
struct Job
{
  JobId id = 0;
  std::uint64_t vm = 0; ///< Process of the VM that accepted it; as in JobKey.
  std::string service;
  std::string kind; ///< The route's name.
  std::string team;
  int tier = 0; ///< 0 is the most urgent.
  double promptTokens = 0;
  double outputTokens = 0; ///< Expected number.
  /// Ids of the prompt's parts that other requests may have, too; at most
  /// kMaxSharedParts.
  std::vector<std::uint64_t> sharedParts;
  bool stream = false;
  double eventTokens = 1;        ///< Output tokens per event of a stream.
  std::uint64_t fingerprint = 0; ///< Hash that identifies the content.
  TimePoint arrival;
  /// Latency target, from the arrival to the response or its first event.
  Duration target{};
  Duration gapTarget{};  ///< Longest gap between events; zero without a limit.
  TimePoint deadline;    ///< A response after this time is of no use.
  TimePoint notBefore{}; ///< Is not sent earlier; zero without a limit.
  /// Ids of servers that the request must not be sent to again.
  std::vector<std::string> excludedServers;
  /// Id of the only server that it may be sent to; empty: any.
  std::string onlyServer;
  int serversReached = 0; ///< Number of servers that the request has reached.
  /// Units to take from the team's quota; zero if none or already taken.
  double quotaUnits = 0;
  /// Over its team's quota: served only if there is spare capacity.
  bool overQuota = false;
  bool resumes = false; ///< Continues a response that was partly delivered.
  bool failed = false;  ///< A server answered it with a server error.
  bool retryAllowed = false; ///< May be sent once more if its server fails it.
  bool counted = false;      ///< Another coordinator was asked for it before.

  /// Returns whether it may be sent to any server.
  bool IsUnrestricted() const
  {
    return excludedServers.empty() && onlyServer.empty();
  }
};

/// How the sending of a request to a server ended.
enum class SendResult
{
  kWhole,       ///< With a complete response.
  kFailed,      ///< With a complete response that reports a server error.
  kCut,         ///< The connection was lost, or the response was invalid.
  kSilent,      ///< Nothing was received in time.
  kCancelled,   ///< Cancelled by this VM or by the caller.
  kNotRun,      ///< The server reported that it did not run the request.
  kFull,        ///< As kNotRun, because the server was full.
  kMoved,       ///< As kNotRun: another incarnation uses the address.
  kNotSent,     ///< No byte reached the server.
  kUnreachable, ///< As kNotSent: nothing answers at the server's address.
};

/// Returns the stable name of a result, as used in logs and metrics.
const char*
Name(SendResult aResult);

/// Result and measurements of sending a request to a server.
struct SendReport
{
  SendResult result = SendResult::kWhole;
  double outputTokens = 0;
  double laterTokens = 0;  ///< Output tokens after the first event.
  Duration toFirstEvent{}; ///< From the send; zero if there was no event.
  Duration longestGap{};   ///< Longest time between two events.
  Duration toEnd{};        ///< From the send.
  /// The server refused a new connection after this one was lost.
  bool serverDown = false;

  /// How long a server must stay up after the first event to show that the
  /// event did not crash it.
  static constexpr Duration kBeginTime = Milliseconds(200);

  /// Returns whether the answer began and the server stayed up for kBeginTime,
  /// or the answer was complete.
  bool HasBegun() const;
};

} // namespace magnoliatide::policy

#endif
