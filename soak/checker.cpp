// Checks the history of a soak run.
#include "checker.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <array>
#include <map>

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

/// Timeout of every route.
constexpr Duration kRouteTimeout = Seconds(5);

/// Extra delay that the test machine may cause while dozens of processes run.
constexpr Duration kMachineSlack = Milliseconds(300);

/// Minimum fraction of the calls that is served after all faults have ended.
constexpr double kMinServedFraction = 0.9;

/// Fraction by which a quota may be exceeded.
constexpr double kQuotaOverage = 0.25;

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;

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
      CheckPlannedChanges(call);
    }
    for (const auto& run : mHistory.runs) {
      CheckRequest(run);
    }
    CheckNotices();
    CheckConfigurations();
    CheckQuota();
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
    if (denied) {
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

  /// Checks how often a call ran.
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
    if (undisturbedRuns > kMaxServers) {
      Add("a call is sent to a limited number of servers",
          Describe(aCall) + ", runs " + std::to_string(undisturbedRuns));
    }
  }

  /// Checks that a call ends in time, and that its server is released soon
  /// after the caller disconnected. The release of calls that may run at most
  /// once is not checked.
  void CheckTimes(const CallRecord& aCall)
  {
    const Duration bound = std::min(aCall.deadline, kRouteTimeout);
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
      const bool held =
        run.ended != TimePoint{} &&
        run.ended > aCall.endedAt + kReleaseTimeout + kMachineSlack;
      if (held && !AnyUnplannedFault(aCall.sentAt, run.ended) &&
          !Disturbed(NameOf(aCall.vm), aCall.sentAt, run.ended)) {
        Add("a server is released when the caller disconnects",
            Describe(aCall));
      }
    }
  }

  /// Checks that planned changes interrupt no call that reached a server.
  void CheckPlannedChanges(const CallRecord& aCall)
  {
    const bool cut =
      aCall.status == http::CallStatus::kCut && !aCall.callerDisconnected;
    if (cut && !RunsOf(aCall.id).empty() &&
        !AnyUnplannedFault(aCall.sentAt, aCall.endedAt)) {
      Add("planned changes interrupt no calls", Describe(aCall));
    }
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
        const auto began = record.run.began;
        const auto call = mCalls.find(record.run.requestId);
        const bool late = record.server == notice.server &&
                          began > notice.at + kApplyTimeout + kMachineSlack &&
                          began < notice.replacedAt && call != mCalls.end();
        if (late && !Disturbed(NameOf(call->second->vm), notice.at, began)) {
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
        charges.push_back({ record.run.began, call->second->sentAt });
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
