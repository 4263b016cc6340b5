// Checks the history of a soak run.
#include "checker.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace magnoliatide::soak {

namespace {

/// The timeouts below apply to a VM once it, the store and the fleet have been
/// free of faults and planned changes for this long.
constexpr Duration kSettleTime = Seconds(3);

/// Time in which a published configuration becomes active, and after which a
/// leaving server gets no new requests.
constexpr Duration kApplyTimeout = Seconds(2);

/// Time for which a VM may still show an effect of an older version after the
/// first effect of a newer one.
constexpr Duration kRevertSlack = Milliseconds(250);

/// Time in which a server is released after its caller has disconnected, and in
/// which a call ends after its deadline.
constexpr Duration kReleaseTimeout = Milliseconds(500);

/// Extra delay that the test machine may cause while dozens of processes run.
constexpr Duration kMachineSlack = Milliseconds(300);

/// A request that crosses the close of its connection ends within this time
/// after it was sent. One that ends later without an answer was read.
constexpr Duration kLostSlack = Milliseconds(200);

/// How much sooner than at its deadline a VM may end a call, so that the caller
/// gets the answer before it gives up.
constexpr Duration kDeadlineMargin = Milliseconds(10);

/// Time from SIGTERM until the platform kills a process.
constexpr Duration kGraceTime = Seconds(8);

/// A stop may cut a request that is still running after this time, if it was
/// sent at most kEarlyTime after SIGTERM.
constexpr Duration kLateTime = kGraceTime * 5 / 6;
constexpr Duration kEarlyTime = Seconds(3);

/// Time after a pause of a server in which it gets calls again.
constexpr Duration kPauseRecovery = Seconds(4);

/// Time after the pauses of servers until most calls are served again.
constexpr Duration kResumeTime = Seconds(1);

/// Minimum number of calls from which something missing is concluded.
constexpr int kMinSample = 20;

/// Minimum fraction of the calls that is served after all faults have ended.
constexpr double kMinServedFraction = 0.9;

/// Fraction by which a quota may be exceeded.
constexpr double kQuotaOverage = 0.25;

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/// Returns whether a VM's own answer with this status means that the request
/// did not run.
bool
IsNotRunStatus(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

std::string
Describe(const CallRecord& aCall)
{
  return aCall.target + " " + aCall.id + " at VM " +
         std::to_string(aCall.vm + 1) + ", status " +
         std::to_string(aCall.httpStatus);
}

/// What the configurations that may apply to a call state about its route.
struct AppliedTerms
{
  bool hasRoute = true;   ///< All of them have the route.
  bool hasServers = true; ///< All of them name a service with servers.
  std::set<std::string> services;
  Duration minTimeout = kRouteTimeout;
  Duration maxTimeout = kRouteTimeout;
  int maxAttempts = kMaxServers;
};

/// Applies all checks to one history.
class Checker
{
public:
  explicit Checker(const History& aHistory)
    : mHistory(aHistory)
  {
    for (const auto& call : aHistory.calls) {
      mCalls[call.id] = &call;
    }
    for (const auto& run : aHistory.runs) {
      mRuns[run.run.requestId].push_back(&run);
    }
  }

  std::vector<Finding> Findings()
  {
    for (const auto& call : mHistory.calls) {
      CheckRefusal(call);
      CheckAnswer(call);
      CheckRuns(call);
      CheckTimes(call);
      CheckEnd(call);
    }
    for (const auto& run : mHistory.runs) {
      CheckRequest(run);
    }
    CheckNotices();
    CheckConfigurations();
    CheckQuota();
    CheckPauses();
    CheckRecovery();
    return std::move(mFindings);
  }

private:
  void Add(const char* aGuarantee, std::string aDetail)
  {
    mFindings.push_back({ aGuarantee, std::move(aDetail) });
  }

  const std::vector<const RunRecord*>& RunsOf(const std::string& aId)
  {
    return mRuns[aId];
  }

  /// Returns whether a host, the store or the whole fleet was disturbed in a
  /// time span or within kSettleTime before it.
  ///
  /// @param aAlsoPlanned Whether planned changes count like faults.
  bool Disturbed(const std::string& aHost,
                 TimePoint aFrom,
                 TimePoint aUntil,
                 bool aAlsoPlanned = true) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         const bool concerns = aD.host.empty() ||
                                               aD.host == "store" ||
                                               aD.host == aHost;
                         return concerns && (aAlsoPlanned || !aD.planned) &&
                                aD.from <= aUntil &&
                                aD.until + kSettleTime >= aFrom;
                       });
  }

  /// Returns whether any host had an unplanned fault in a time span or within
  /// kSettleTime before it.
  bool AnyUnplannedFault(TimePoint aFrom, TimePoint aUntil) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         return !aD.planned && aD.from <= aUntil &&
                                aD.until + kSettleTime >= aFrom;
                       });
  }

  const std::string& NameOf(std::size_t aVm) const { return mHistory.vms[aVm]; }

  /// Returns the terms of the configurations that may be in force for a call.
  AppliedTerms TermsFor(const CallRecord& aCall) const
  {
    const auto& published = mHistory.published;
    std::vector<const RouteTerms*> applied;
    AppliedTerms result;
    const bool disturbed =
      Disturbed(NameOf(aCall.vm), aCall.sentAt, aCall.endedAt);
    for (std::size_t i = 0; i < published.size(); ++i) {
      const bool replaced =
        i + 1 < published.size() && !disturbed &&
        published[i + 1].at + kApplyTimeout + kMachineSlack < aCall.sentAt;
      const auto found = published[i].routes.find(aCall.kind);
      if (replaced || published[i].at > aCall.endedAt + kMachineSlack) {
        continue;
      }
      if (found == published[i].routes.end()) {
        result.hasRoute = false;
        continue;
      }
      applied.push_back(&found->second);
    }
    for (const auto* terms : applied) {
      const bool first = terms == applied.front();
      result.minTimeout =
        first ? terms->timeout : std::min(result.minTimeout, terms->timeout);
      result.maxTimeout =
        first ? terms->timeout : std::max(result.maxTimeout, terms->timeout);
      result.maxAttempts =
        first ? terms->attempts : std::max(result.maxAttempts, terms->attempts);
      result.services.insert(terms->services.begin(), terms->services.end());
    }
    for (const auto& service : result.services) {
      result.hasServers =
        result.hasServers && std::any_of(mHistory.services.begin(),
                                         mHistory.services.end(),
                                         [&](const auto& aEntry) {
                                           return aEntry.second == service;
                                         });
    }
    return result;
  }

  /// Returns from when on a server can notice the end of a connection that was
  /// ended at a time. A pause that begins before it was due to notice delays
  /// it.
  TimePoint NoticesFrom(const std::string& aServer, TimePoint aTime) const
  {
    TimePoint result = aTime;
    for (const auto& pause : mHistory.pauses) {
      if (pause.server == aServer && pause.from <= result + kReleaseTimeout) {
        result = std::max(result, pause.until);
      }
    }
    return result;
  }

  /// Checks that a request refused as not run did not run, and that no valid
  /// call is denied.
  void CheckRefusal(const CallRecord& aCall)
  {
    const bool refused = aCall.Answered() && aCall.signature.empty() &&
                         IsNotRunStatus(aCall.httpStatus);
    if (refused && !RunsOf(aCall.id).empty()) {
      Add("a call refused as not run did not run", Describe(aCall));
    }
    const bool denied =
      aCall.kind != Kind::kProbe && aCall.Answered() &&
      (aCall.httpStatus == kUnauthorized || aCall.httpStatus == kForbidden ||
       aCall.httpStatus == kNotFound);
    if (denied && TermsFor(aCall).hasRoute) {
      Add("a valid call is not denied", Describe(aCall));
    }
  }

  /// Checks that an answer is complete, signed by a server and the caller's
  /// own.
  void CheckAnswer(const CallRecord& aCall)
  {
    if (!aCall.Answered()) {
      return;
    }
    const auto dot = aCall.signature.rfind('.');
    if (!aCall.signature.empty()) {
      const auto expected = ToHex(Hash64(aCall.id + aCall.target));
      if (dot == std::string::npos ||
          aCall.signature.substr(dot + 1) != expected) {
        Add("an answer belongs to its request", Describe(aCall));
      }
    }
    if (!aCall.Served()) {
      return;
    }
    if (aCall.signature.empty()) {
      Add("a successful answer is signed by a server", Describe(aCall));
    }
    const auto complete = TraitsOf(aCall.kind).stream
                            ? standins::ExpectedEvents(aCall.target, 0, kEvents)
                            : "answer to " + aCall.target + " " + aCall.body;
    if (aCall.answer != complete) {
      Add("a successful answer is complete",
          Describe(aCall) + ", " + std::to_string(aCall.answer.size()) +
            " bytes of " + std::to_string(complete.size()));
    }
  }

  /// Checks how often a call ran, and where.
  void CheckRuns(const CallRecord& aCall)
  {
    const auto& runs = RunsOf(aCall.id);
    if (TraitsOf(aCall.kind).once && runs.size() > 1) {
      Add("a call runs at most once",
          Describe(aCall) + ", runs " + std::to_string(runs.size()));
    }
    // A run at a server with a fault does not count: the retry is due to it.
    const auto undisturbedRuns =
      std::count_if(runs.begin(), runs.end(), [&](const auto* aRun) {
        return !Disturbed(
          aRun->server, aRun->run.began, aRun->run.began + kSettleTime);
      });
    const auto terms = TermsFor(aCall);
    if (undisturbedRuns > terms.maxAttempts) {
      Add("a call is sent to a limited number of servers",
          Describe(aCall) + ", runs " + std::to_string(undisturbedRuns));
    }
    for (const auto* run : runs) {
      const auto service = mHistory.services.find(run->server);
      const bool known =
        service != mHistory.services.end() && !terms.services.empty();
      if (known && aCall.kind != Kind::kProbe &&
          terms.services.count(service->second) == 0) {
        Add("a call runs at a service of its route",
            Describe(aCall) + ", at " + run->server);
      }
    }
  }

  /// Checks that a call ends in time, and that its server is released soon
  /// after the caller disconnected. The release of calls that may run at most
  /// once is not checked.
  void CheckTimes(const CallRecord& aCall)
  {
    const Duration bound = std::min(aCall.deadline, TermsFor(aCall).maxTimeout);
    const TimePoint due =
      aCall.sentAt + bound + kReleaseTimeout + kMachineSlack;
    const bool late = !aCall.callerDisconnected && aCall.endedAt > due;
    if (late && !Disturbed(NameOf(aCall.vm), aCall.sentAt, aCall.endedAt)) {
      Add("a call ends by its deadline", Describe(aCall));
    }
    if (!aCall.callerDisconnected || TraitsOf(aCall.kind).once) {
      return;
    }
    for (const auto* record : RunsOf(aCall.id)) {
      const auto& run = record->run;
      // A paused server notices the end of a connection only afterwards.
      const bool held = run.ended != TimePoint{} &&
                        run.ended > NoticesFrom(record->server, aCall.endedAt) +
                                      kReleaseTimeout + kMachineSlack;
      if (held && !AnyUnplannedFault(aCall.sentAt, run.ended) &&
          !Disturbed(NameOf(aCall.vm), aCall.sentAt, run.ended)) {
        Add("a server is released when the caller disconnects",
            Describe(aCall));
      }
    }
  }

  /// Returns the run of a call that began last, or null.
  const RunRecord* LastRunOf(const CallRecord& aCall)
  {
    const auto& runs = RunsOf(aCall.id);
    const auto last =
      std::max_element(runs.begin(), runs.end(), [](auto* aL, auto* aR) {
        return aL->run.arrived < aR->run.arrived;
      });
    return last == runs.end() ? nullptr : *last;
  }

  /// Returns whether a server broke off a run before a time, or mishandled it.
  bool BrokeOff(const RunRecord& aRun, TimePoint aUntil) const
  {
    return aRun.run.fault != standins::EngineFault::kNone ||
           std::any_of(mHistory.serverEnds.begin(),
                       mHistory.serverEnds.end(),
                       [&](const auto& aEnd) {
                         return aEnd.server == aRun.server &&
                                aEnd.at >= aRun.run.arrived &&
                                aEnd.at <= aUntil;
                       });
  }

  /// Returns whether a fault of the process or the links of a VM or a server
  /// was in effect during a call or within kSettleTime before it. Faults of the
  /// store and of its links excuse no end without an answer; mishandled
  /// requests excuse only themselves.
  bool Faulty(const std::string& aHost, const CallRecord& aCall) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         return !aD.planned &&
                                (aD.host.empty() || aD.host == aHost) &&
                                aD.kind != "answers" &&
                                aD.kind != "store link fault" &&
                                aD.from <= aCall.endedAt &&
                                aD.until + kSettleTime >= aCall.sentAt;
                       });
  }

  /// Returns whether a VM's stop was about to run out of time.
  bool EndsWithGraceTime(const CallRecord& aCall) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         return aD.kind == "stop" &&
                                aD.host == NameOf(aCall.vm) &&
                                aCall.sentAt <= aD.from + kEarlyTime &&
                                aCall.endedAt >= aD.from + kLateTime &&
                                aCall.endedAt <= aD.until + kMachineSlack;
                       });
  }

  /// Checks that a call which a VM read ends with an answer or a refusal, and
  /// one that it passed on with the server's answer. Neither planned changes
  /// nor pauses of servers excuse another end.
  void CheckEnd(const CallRecord& aCall)
  {
    const bool cut = aCall.status == http::CallStatus::kCut;
    const bool failed =
      aCall.Answered() && aCall.signature.empty() &&
      (aCall.httpStatus == kBadGateway || aCall.httpStatus == kGatewayTimeout);
    const Duration time = aCall.endedAt - aCall.sentAt;
    if ((!cut && !failed) || aCall.callerDisconnected ||
        time + kDeadlineMargin >=
          std::min(aCall.deadline, TermsFor(aCall).minTimeout) ||
        Faulty(NameOf(aCall.vm), aCall)) {
      return;
    }
    const auto* last = LastRunOf(aCall);
    if (last == nullptr) {
      if (cut && time > kLostSlack) {
        Add("a call that was read is answered or refused", Describe(aCall));
      }
      return;
    }
    const auto& runs = RunsOf(aCall.id);
    const bool serverFaulty =
      std::any_of(runs.begin(), runs.end(), [&](const auto* aRun) {
        return Faulty(aRun->server, aCall);
      });
    if (serverFaulty || BrokeOff(*last, aCall.endedAt) ||
        EndsWithGraceTime(aCall)) {
      return;
    }
    Add(cut ? "a call that was passed on ends with an answer"
            : "a sound server's answer is not replaced",
        Describe(aCall) + ", " + std::to_string(ToSeconds(time)) +
          " s after it was sent, with " +
          std::to_string(ToSeconds(aCall.deadline)) + " s, at " + last->server);
  }

  /// Checks that a server got the request that a caller sent, with the name of
  /// its team and without its credential.
  void CheckRequest(const RunRecord& aRun)
  {
    const auto& run = aRun.run;
    const auto found = mCalls.find(run.requestId);
    if (found == mCalls.end()) {
      Add("a server runs a request as its caller sent it",
          run.target + " " + run.requestId);
      return;
    }
    const auto& call = *found->second;
    const bool same = run.target == call.target && run.body == call.body &&
                      run.method == TraitsOf(call.kind).method &&
                      run.team == call.team && run.credential.empty();
    if (!same) {
      Add("a server runs a request as its caller sent it",
          Describe(call) + ", but the request was changed");
    }
  }

  /// Checks that a leaving server gets no new requests.
  void CheckNotices()
  {
    for (const auto& notice : mHistory.notices) {
      for (const auto& record : mHistory.runs) {
        const auto began = record.run.arrived;
        const auto call = mCalls.find(record.run.requestId);
        const bool late = record.server == notice.server &&
                          began > notice.at + kApplyTimeout + kMachineSlack &&
                          began < notice.replacedAt && call != mCalls.end();
        // A request may be held up on the way to the server.
        const bool heldUp =
          std::any_of(mHistory.disturbances.begin(),
                      mHistory.disturbances.end(),
                      [&](const auto& aD) {
                        return aD.kind == "link fault" &&
                               aD.host == notice.server && aD.from <= began &&
                               aD.until + kSettleTime >= began;
                      });
        if (late && !heldUp &&
            !Disturbed(NameOf(call->second->vm), notice.at, began)) {
          Add("a leaving server gets no new requests",
              Describe(*call->second) + " at " + notice.server);
        }
      }
    }
  }

  /// Checks the probes for configurations that come late or revert.
  void CheckConfigurations()
  {
    // By VM and version: when an effect of the version was first seen in the
    // VM's current process.
    std::map<std::size_t, std::map<std::uint64_t, TimePoint>> seen;
    for (const auto& call : mHistory.calls) {
      if (call.kind == Kind::kProbe) {
        CheckProbe(call, seen[call.vm]);
      }
    }
  }

  /// Checks a probe. The probes of a VM must be passed in chronological order.
  void CheckProbe(const CallRecord& aCall,
                  std::map<std::uint64_t, TimePoint>& aSeen)
  {
    const auto& vm = NameOf(aCall.vm);
    const bool applies = aCall.Served();
    const bool missing = aCall.Answered() && aCall.httpStatus == kNotFound;
    TimePoint since;
    std::uint64_t latest = 0;
    for (const auto& published : mHistory.published) {
      if (published.at <= aCall.sentAt) {
        since = published.at;
        latest = published.version;
      }
    }
    const bool due = aCall.sentAt > since + kApplyTimeout + kMachineSlack &&
                     !Disturbed(vm, since, aCall.endedAt);
    if (due && missing && aCall.version == latest && !ChangedIn(aCall)) {
      Add("a configuration becomes active in time", Describe(aCall));
    }
    if (due && applies && aCall.version < latest) {
      Add("a removed route becomes inactive in time", Describe(aCall));
    }
    std::erase_if(aSeen, [&](const auto& aEntry) {
      return StartedIn(vm, aEntry.second, aCall.endedAt);
    });
    for (const auto& [version, at] : aSeen) {
      const bool older = applies && aCall.version < version;
      if (older && aCall.sentAt > at + kRevertSlack) {
        Add("a configuration does not revert", Describe(aCall));
      }
    }
    if (applies) {
      aSeen.try_emplace(aCall.version, aCall.endedAt);
    }
  }

  /// Returns whether a configuration was published during a call or within
  /// kMachineSlack before it.
  bool ChangedIn(const CallRecord& aCall) const
  {
    return std::any_of(mHistory.published.begin(),
                       mHistory.published.end(),
                       [&](const auto& aPublished) {
                         return aPublished.at > aCall.sentAt - kMachineSlack &&
                                aPublished.at < aCall.endedAt;
                       });
  }

  /// Returns whether a VM's process was restarted in a time span.
  bool StartedIn(const std::string& aVm,
                 TimePoint aFrom,
                 TimePoint aUntil) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         const bool ends =
                           aD.kind == "kill" || aD.kind == "stop";
                         return ends && (aD.host == aVm || aD.host.empty()) &&
                                aD.until >= aFrom && aD.from <= aUntil;
                       });
  }

  /// Splits the window that ends with the last of the given times into ten
  /// equal parts and returns the number of times in each. The times must be
  /// sorted.
  static std::string CountsPerTenth(
    std::vector<TimePoint>::const_iterator aFirst,
    std::vector<TimePoint>::const_iterator aEnd,
    Duration aWindow)
  {
    std::array<int, 10> counts{};
    const TimePoint from = *std::prev(aEnd) - aWindow;
    for (; aFirst != aEnd; ++aFirst) {
      const auto tenth = static_cast<std::size_t>(
        10 * ToSeconds(*aFirst - from) / ToSeconds(aWindow));
      counts[std::min<std::size_t>(tenth, 9)] += 1;
    }
    std::string text;
    for (const int count : counts) {
      text += (text.empty() ? "" : " ") + std::to_string(count);
    }
    return text;
  }

  /// Checks the quota in every window that ends with a run of the limited team.
  /// A call counts if it was sent and started to run within the window, at any
  /// server.
  void CheckQuota()
  {
    struct Charge
    {
      TimePoint began;
      TimePoint sent;
    };
    const auto& quota = mHistory.quota;
    std::vector<Charge> charges;
    for (const auto& record : mHistory.runs) {
      const auto call = mCalls.find(record.run.requestId);
      if (record.run.team == quota.team && call != mCalls.end()) {
        charges.push_back({ record.run.arrived, call->second->sentAt });
      }
    }
    std::sort(
      charges.begin(), charges.end(), [](const auto& aA, const auto& aB) {
        return aA.began < aB.began;
      });
    const double allowed =
      (quota.perSecond * ToSeconds(quota.window) + quota.burst) *
      (1 + kQuotaOverage);
    for (const auto& last : charges) {
      const TimePoint from = last.began - quota.window;
      std::vector<TimePoint> within;
      for (const auto& charge : charges) {
        if (charge.sent >= from && charge.began <= last.began) {
          within.push_back(charge.began);
        }
      }
      const auto units =
        static_cast<double>(within.size()) * quota.unitsPerCall;
      if (units > allowed) {
        Add("a quota is kept by all VMs together",
            std::to_string(units) + " units of " + std::to_string(allowed) +
              " in the window that ends " +
              std::to_string(ToSeconds(mHistory.faultsEndedAt - last.began)) +
              " s before the faults ended; runs in each tenth of it: " +
              CountsPerTenth(within.begin(), within.end(), quota.window));
        return;
      }
    }
  }

  /// Returns whether a server had a fault or was leaving in a time span or
  /// within kSettleTime before it.
  bool Unavailable(const std::string& aServer,
                   TimePoint aFrom,
                   TimePoint aUntil) const
  {
    const auto overlaps = [&](TimePoint aStart, TimePoint aEnd) {
      return aStart <= aUntil && aEnd + kSettleTime >= aFrom;
    };
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         return (aD.host.empty() || aD.host == aServer) &&
                                overlaps(aD.from, aD.until);
                       }) ||
           std::any_of(mHistory.notices.begin(),
                       mHistory.notices.end(),
                       [&](const auto& aNotice) {
                         return aNotice.server == aServer &&
                                overlaps(aNotice.at, aNotice.replacedAt);
                       });
  }

  /// Checks that calls are served again after servers paused.
  void CheckPauses()
  {
    for (const auto& pause : mHistory.pauses) {
      const TimePoint end = pause.until + kPauseRecovery;
      const bool again = std::any_of(
        mHistory.pauses.begin(), mHistory.pauses.end(), [&](const auto& aP) {
          return aP.from <= end && aP.until > pause.until;
        });
      if (again) {
        continue;
      }
      if (!Unavailable(pause.server, pause.from, end)) {
        CheckPausedService(pause, end);
      }
      if (!AnyUnplannedFault(pause.from, end)) {
        CheckServedBetween(
          pause.until + kResumeTime, end, "calls are served after a pause");
      }
    }
  }

  /// Checks that the service of a paused server runs calls again until aEnd, if
  /// enough calls were sent that only this service may run. Which of several
  /// servers runs them is the VMs' choice.
  void CheckPausedService(const ServerPause& aPause, TimePoint aEnd)
  {
    const auto service = mHistory.services.find(aPause.server);
    if (service == mHistory.services.end()) {
      return;
    }
    const auto sent = std::count_if(
      mHistory.calls.begin(), mHistory.calls.end(), [&](const auto& aCall) {
        return aCall.sentAt > aPause.until && aCall.sentAt < aEnd &&
               aCall.kind != Kind::kProbe &&
               aCall.team != mHistory.quota.team &&
               !Faulty(NameOf(aCall.vm), aCall) &&
               TermsFor(aCall).services ==
                 std::set<std::string>{ service->second };
      });
    const bool runs = std::any_of(
      mHistory.runs.begin(), mHistory.runs.end(), [&](const auto& aRun) {
        const auto found = mHistory.services.find(aRun.server);
        return found != mHistory.services.end() &&
               found->second == service->second &&
               aRun.run.arrived > aPause.until && aRun.run.arrived < aEnd;
      });
    if (!runs && sent >= kMinSample) {
      Add("a service with a server that paused runs calls again",
          service->second + ", none of " + std::to_string(sent));
    }
  }

  /// Returns whether the servers of a service ran as much as they have room for
  /// during a time span.
  bool IsUsedUp(const std::string& aService,
                TimePoint aFrom,
                TimePoint aUntil) const
  {
    const auto servers = std::count_if(
      mHistory.services.begin(),
      mHistory.services.end(),
      [&](const auto& aServer) { return aServer.second == aService; });
    Duration running{};
    for (const auto& record : mHistory.runs) {
      const auto service = mHistory.services.find(record.server);
      if (service != mHistory.services.end() && service->second == aService) {
        const auto& run = record.run;
        const bool ended = run.ended != TimePoint{};
        const auto from = std::max(run.began, aFrom);
        const auto until = ended ? std::min(run.ended, aUntil) : aUntil;
        running += std::max(until - from, Duration::zero());
      }
    }
    return running >= (aUntil - aFrom) * servers * mHistory.slotsPerServer;
  }

  /// Returns whether a call was refused for overload, while all servers that
  /// may run it were used up during a time span. A configuration may direct
  /// more calls to a service than it can run.
  bool RefusedForUse(const CallRecord& aCall,
                     TimePoint aFrom,
                     TimePoint aUntil) const
  {
    const auto services = TermsFor(aCall).services;
    return !services.empty() && aCall.httpStatus == 503 &&
           aCall.signature.empty() &&
           aCall.answer.find("\"reason\":\"overloaded\"") !=
             std::string::npos &&
           std::all_of(
             services.begin(), services.end(), [&](const auto& aService) {
               return IsUsedUp(aService, aFrom, aUntil);
             });
  }

  /// Checks that most calls that were sent in a time span were served. Calls
  /// that a configuration does not let run, those of the limited team, and
  /// those refused because their servers were used up do not count.
  void CheckServedBetween(TimePoint aFrom,
                          TimePoint aUntil,
                          const char* aGuarantee)
  {
    int total = 0;
    int served = 0;
    std::map<std::string, int> others; // By kind, status and answer.
    for (const auto& call : mHistory.calls) {
      if (call.sentAt < aFrom || call.sentAt > aUntil ||
          call.kind == Kind::kProbe || call.callerDisconnected ||
          call.team == mHistory.quota.team) {
        continue;
      }
      const auto terms = TermsFor(call);
      const bool counts = terms.hasRoute && terms.hasServers &&
                          !RefusedForUse(call, aFrom, aUntil);
      total += counts ? 1 : 0;
      served += counts && call.Served() ? 1 : 0;
      if (counts && !call.Served()) {
        others["\n    route-" + std::to_string(static_cast<int>(call.kind)) +
               " " + std::to_string(call.httpStatus) + " " + call.answer] += 1;
      }
    }
    if (total >= kMinSample && served < kMinServedFraction * total) {
      std::string text =
        std::to_string(served) + " of " + std::to_string(total);
      for (const auto& [answer, count] : others) {
        text += answer + ": " + std::to_string(count);
      }
      Add(aGuarantee, text);
    }
  }

  /// Checks that most calls are served after all faults have ended.
  void CheckRecovery()
  {
    int total = 0;
    int served = 0;
    for (const auto& call : mHistory.calls) {
      const bool counts = call.sentAt > mHistory.faultsEndedAt + kSettleTime &&
                          call.kind != Kind::kProbe &&
                          !call.callerDisconnected &&
                          call.team != mHistory.quota.team;
      total += counts ? 1 : 0;
      served += counts && call.Served() ? 1 : 0;
    }
    if (served < kMinServedFraction * total || total == 0) {
      Add("most calls are served after the faults end",
          std::to_string(served) + " of " + std::to_string(total));
    }
  }

  const History& mHistory;
  std::map<std::string, const CallRecord*> mCalls;
  std::map<std::string, std::vector<const RunRecord*>> mRuns;
  std::vector<Finding> mFindings;
};

} // namespace

const RouteTraits&
TraitsOf(Kind aKind)
{
  static const std::map<Kind, RouteTraits> sTraits = {
    { Kind::kQuote, { "/quotes/", "POST", true, false } },
    { Kind::kLetter, { "/letters/", "POST", true, true } },
    { Kind::kDeposit, { "/deposits/", "POST", false, true } },
    { Kind::kStock, { "/stock/", "POST", false, false } },
    { Kind::kTrend, { "/trends/", "POST", true, false } },
    { Kind::kProbe, { "/only-", "GET", false, false } },
  };
  return sTraits.at(aKind);
}

std::vector<Finding>
Check(const History& aHistory)
{
  return Checker(aHistory).Findings();
}

} // namespace magnoliatide::soak
