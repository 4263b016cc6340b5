// The client side of dispatching: requests a decision on each request from the
// coordinator, from the next candidate if it does not reply, and finally from
// the local coordinator. No I/O.
#ifndef MAGNOLIATIDE_FLEET_DISPATCH_CLIENT_H
#define MAGNOLIATIDE_FLEET_DISPATCH_CLIENT_H

#include "magnoliatide/fleet/dispatch_coordinator.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace magnoliatide::fleet {

/// A VM that may coordinate.
struct CoordinatorCandidate
{
  std::uint64_t process = 0; ///< Id of the VM's process.
  std::string zone;
  std::string address;
};

/// A message to another VM or to the local coordinator.
struct DispatchMessage
{
  std::uint64_t to = 0; ///< Id of the receiving process.
  std::string address;  ///< Set by TakeMessages().
  std::variant<wire::DispatchRequest,
               wire::DispatchReply,
               wire::DispatchCancel,
               wire::DispatchProgress,
               wire::DispatchReport>
    body;
};

struct DispatchClientOptions
{
  std::uint64_t self = 0; ///< Id of this process.
  std::string zone;
  /// Interval at which a dispatch request without a reply is resent.
  Duration requestRetryInterval = Milliseconds(25);
  /// Time without a reply after which the next candidate is tried.
  Duration requestTimeout = Milliseconds(80);
  /// Interval at which the request is resent after a reply to wait.
  Duration waitPollInterval = Milliseconds(200);
  /// Interval between reports while requests are in progress.
  Duration reportPeriod = Milliseconds(250);
  /// How long a coordinator that did not reply is skipped.
  Duration failureBackoff = Seconds(1);
  Duration quotaWindow = Seconds(8);  ///< Age limit of reported quota charges.
  Duration retryWindow = Seconds(10); ///< Age limit of reported grants.
};

/// Obtains one final decision on each request of this VM.
class DispatchClient
{
public:
  /// Receives the reply with the final decision, and the address of the VM that
  /// decided, or "own".
  using OnDecision =
    std::function<void(const wire::DispatchReply&, const std::string&)>;

  /// @param aLocal Decides when no other coordinator is available.
  /// @param aNow Start time of this process.
  DispatchClient(DispatchClientOptions aOptions,
                 DispatchCoordinator& aLocal,
                 TimePoint aNow);

  /// Sets the VMs that may coordinate, this one included, in order of
  /// preference.
  void SetCandidates(std::vector<CoordinatorCandidate> aCandidates,
                     TimePoint aNow);

  /// Submits a request. aOnDecision is called exactly once, unless the request
  /// is withdrawn.
  void Submit(const policy::Job& aJob, OnDecision aOnDecision, TimePoint aNow);

  /// Withdraws a request that is not decided yet.
  void Withdraw(policy::JobId aJob, TimePoint aNow);

  /// Reports the first event of the answer to a dispatched request.
  void RecordFirstEvent(policy::JobId aJob, TimePoint aNow);

  /// Records the head of the answer to a dispatched request: the requests per
  /// second that it names as its server's limit, or that it names none. Returns
  /// what has changed for this VM, if anything.
  std::optional<policy::RateLimitNotice> RecordRateLimit(
    policy::JobId aJob,
    std::optional<double> aPerSecond,
    TimePoint aNow);

  /// Records that the server of a dispatched request has rejected it and wants
  /// no requests of this VM for a time. Returns the notice.
  std::optional<policy::BackoffNotice> RecordBackoff(policy::JobId aJob,
                                                     Duration aTime,
                                                     TimePoint aNow);

  /// Returns whether an incarnation of a server takes requests of this VM, as
  /// far as its answers to this VM tell.
  bool MayUse(const std::string& aServer,
              std::uint64_t aStarted,
              TimePoint aNow) const;

  /// Reports that the server of a dispatched request is silent.
  void RecordSilence(policy::JobId aJob);

  /// Reports that the server has sent an event after a reported silence.
  void RecordSilenceEnd(policy::JobId aJob);

  /// Reports the end of a dispatched request.
  void Finish(policy::JobId aJob,
              const policy::SendReport& aReport,
              TimePoint aNow);

  /// Handles a reply from another VM.
  void Receive(std::uint64_t aFrom,
               const wire::DispatchReply& aReply,
               TimePoint aNow);

  /// Handles timeouts and sends periodic reports. Called every few tens of
  /// milliseconds while requests are in progress.
  void Tick(TimePoint aNow);

  /// Sends all pending requests again, after a pause of the process.
  void Restart(TimePoint aNow);

  /// Exchanges messages with the local coordinator and returns those to other
  /// VMs.
  std::vector<DispatchMessage> TakeMessages(TimePoint aNow);

  /// Returns whether requests are waiting for a decision or running.
  bool Busy() const { return !mPending.empty() || !mDispatched.empty(); }

private:
  struct PendingRequest
  {
    policy::Job job;
    OnDecision onDecision;
    std::uint64_t number = 0;      ///< New for each coordinator that is tried.
    std::uint64_t coordinator = 0; ///< Id of the coordinator's process.
    TimePoint firstSentAt;         ///< To the current coordinator.
    TimePoint nextSendAt;
    TimePoint lastWaitAt{}; ///< Last reply to wait; zero: none yet.
  };

  struct Dispatched
  {
    policy::Job job;
    std::uint64_t number = 0;
    std::uint64_t coordinator = 0;
    std::string server;
    bool trial = false; ///< As in wire::DispatchReply.
    TimePoint at;
    bool firstEventSeen = false;     ///< The first event was received.
    bool hasHead = false;            ///< The head of the answer was read.
    std::optional<double> rateLimit; ///< That the head names.
    Duration backoff{};              ///< That the rejection names; or zero.
  };

  /// A rate limit that an answer to this VM named.
  struct KnownLimit
  {
    policy::RateLimitNotice notice;
    int reportsLeft = 0; ///< Reports that are still to contain it.
  };

  /// A time for which a server wants no requests of this VM.
  struct KnownBackoff
  {
    policy::BackoffNotice notice;
    int reportsLeft = 0; ///< Reports that are still to contain it.
  };

  struct QuotaCharge
  {
    TimePoint at;
    std::string team;
    double units = 0;
    std::uint64_t coordinator = 0;
  };

  struct GrantRecord
  {
    TimePoint at;
    std::string service;
    bool isRetry = false;
    std::uint64_t coordinator = 0;
  };

  void SendRequest(PendingRequest& aPending, TimePoint aNow);
  void Enqueue(std::uint64_t aTo, decltype(DispatchMessage::body) aBody);
  void EnqueueActivity(policy::JobId aJob, policy::SendResult aActivity);
  std::uint64_t ChooseCoordinator(TimePoint aNow) const;
  const CoordinatorCandidate* FindCandidate(std::uint64_t aProcess) const;
  void TakeLocalReplies(TimePoint aNow);
  void HandleReply(std::uint64_t aFrom,
                   const wire::DispatchReply& aReply,
                   TimePoint aNow);
  void ReleaseSlot(std::uint64_t aFrom, std::uint64_t aNumber, TimePoint aNow);
  void RecordUsage(const PendingRequest& aPending,
                   std::uint64_t aCoordinator,
                   bool aGranted,
                   TimePoint aNow);
  void EnqueueReport(TimePoint aNow);
  wire::DispatchReport ReportFor(std::uint64_t aCoordinator, TimePoint aNow);
  std::vector<wire::ServerRateLimit> LimitsFor(std::uint64_t aCoordinator,
                                               TimePoint aNow);
  std::vector<wire::ServerBackoff> BackoffsFor(std::uint64_t aCoordinator,
                                               TimePoint aNow);
  void Expire(TimePoint aNow);

  DispatchClientOptions mOptions;
  DispatchCoordinator& mLocal;
  TimePoint mStarted;
  std::vector<CoordinatorCandidate> mCandidates;
  /// Coordinators that did not reply, by process, and until when to skip them.
  std::map<std::uint64_t, TimePoint> mUnresponsive;
  std::map<policy::JobId, PendingRequest> mPending;
  std::map<policy::JobId, Dispatched> mDispatched;
  /// Keys of mPending by request number.
  std::map<std::uint64_t, policy::JobId> mByNumber;
  std::vector<DispatchMessage> mMessages;
  std::deque<QuotaCharge> mCharges;
  std::deque<GrantRecord> mGrants;
  std::map<std::string, KnownLimit> mLimits;     ///< By server.
  std::map<std::string, KnownBackoff> mBackoffs; ///< By server.
  /// The coordinator that the reportsLeft of mLimits and mBackoffs refer to.
  std::uint64_t mNoticesReportedTo = 0;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mLastCoordinator = 0; ///< Receiver of the last request.
  TimePoint mNextReport{};
  bool mReportedBusy = false;
};

} // namespace magnoliatide::fleet

#endif
