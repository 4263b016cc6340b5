// Checks of a soak's history.
#include "checker.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <array>
#include <map>

namespace magnoliatide::soak {

namespace {

/// A VM must keep the bounds of time below once nothing has disturbed it, the
/// store or the fleet for this long.
constexpr Duration kTouchTime = Seconds(3);

/// In which a configuration is in force, and a leaving server gets no new
/// work.
constexpr Duration kApplyBound = Seconds(2);

/// After an effect of a version was seen, none of an older one is.
constexpr Duration kRevertSlack = Milliseconds(250);

/// In which a server is released once its caller has left, and in which a call
/// ends once its time has.
constexpr Duration kReleaseBound = Milliseconds(500);

/// Longest time of a call by its route.
constexpr Duration kRouteTimeout = Seconds(5);

/// What this machine may add to a bound while dozens of processes run.
constexpr Duration kMachineSlack = Milliseconds(300);

/// Part of the calls that is served once all is calm again.
constexpr double kServedInCalm = 0.9;

/// Part of a quota that may be exceeded.
constexpr double kQuotaOverage = 0.25;

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;

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
      CheckPromise(call);
      CheckAnswer(call);
      CheckRuns(call);
      CheckTimes(call);
      CheckPlannedStop(call);
    }
    for (const auto& run : mHistory.runs) {
      CheckAsked(run);
    }
    CheckNotices();
    CheckConfigurations();
    CheckQuota();
    CheckRecovery();
    return std::move(mFindings);
  }

private:
  void Add(const char* aPromise, std::string aWhat)
  {
    mFindings.push_back({ aPromise, std::move(aWhat) });
  }

  const std::vector<const RunRecord*>& RunsOf(const std::string& aId)
  {
    return mRuns[aId];
  }

  /// Returns whether anything harmed a host, the store or the whole fleet in a
  /// span of time or shortly before.
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
                                aD.until + kTouchTime >= aFrom;
                       });
  }

  bool AnyDisturbed(TimePoint aFrom, TimePoint aUntil) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         return !aD.planned && aD.from <= aUntil &&
                                aD.until + kTouchTime >= aFrom;
                       });
  }

  const std::string& NameOf(std::size_t aVm) const { return mHistory.vms[aVm]; }

  void CheckPromise(const CallRecord& aCall)
  {
    const bool promised = aCall.Answered() && aCall.signature.empty() &&
                          IsNotRunStatus(aCall.httpStatus);
    if (promised && !RunsOf(aCall.id).empty()) {
      Add("told not run means not run", Describe(aCall));
    }
    const bool denied =
      aCall.kind != Kind::kProbe && aCall.Answered() &&
      (aCall.httpStatus == kUnauthorized || aCall.httpStatus == kForbidden ||
       aCall.httpStatus == kNotFound);
    if (denied) {
      Add("a proper call is not denied", Describe(aCall));
    }
  }

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
        Add("an answer is of its own request", Describe(aCall));
      }
    }
    if (!aCall.Served()) {
      return;
    }
    if (aCall.signature.empty()) {
      Add("a success is signed by a server", Describe(aCall));
    }
    const auto whole = FactsOf(aCall.kind).stream
                         ? standins::EventsOf(aCall.target, 0, kEvents)
                         : "answer to " + aCall.target + " " + aCall.body;
    if (aCall.answer != whole) {
      Add("an answer is whole",
          Describe(aCall) + ", " + std::to_string(aCall.answer.size()) +
            " bytes of " + std::to_string(whole.size()));
    }
  }

  void CheckRuns(const CallRecord& aCall)
  {
    const auto& runs = RunsOf(aCall.id);
    if (FactsOf(aCall.kind).once && runs.size() > 1) {
      Add("a call runs at most once",
          Describe(aCall) + ", runs " + std::to_string(runs.size()));
    }
    // Servers that ended meanwhile are not counted.
    const auto sound =
      std::count_if(runs.begin(), runs.end(), [&](const auto* aRun) {
        return !Disturbed(
          aRun->server, aRun->run.began, aRun->run.began + kTouchTime);
      });
    if (sound > kMostServers) {
      Add("a call reaches few servers",
          Describe(aCall) + ", runs " + std::to_string(sound));
    }
  }

  void CheckTimes(const CallRecord& aCall)
  {
    const Duration bound = std::min(aCall.deadline, kRouteTimeout);
    const TimePoint due = aCall.sentAt + bound + kReleaseBound + kMachineSlack;
    const bool late = !aCall.left && aCall.endedAt > due;
    if (late && !Disturbed(NameOf(aCall.vm), aCall.sentAt, aCall.endedAt)) {
      Add("a call ends in its time", Describe(aCall));
    }
    if (!aCall.left || FactsOf(aCall.kind).once) {
      return;
    }
    for (const auto* record : RunsOf(aCall.id)) {
      const auto& run = record->run;
      const bool held =
        run.ended != TimePoint{} &&
        run.ended > aCall.endedAt + kReleaseBound + kMachineSlack;
      if (held && !AnyDisturbed(aCall.sentAt, run.ended) &&
          !Disturbed(NameOf(aCall.vm), aCall.sentAt, run.ended)) {
        Add("a server is released when its caller leaves", Describe(aCall));
      }
    }
  }

  /// A planned stop cuts off nothing that was passed on.
  void CheckPlannedStop(const CallRecord& aCall)
  {
    const bool cut = aCall.status == http::CallStatus::kCut && !aCall.left;
    if (cut && !RunsOf(aCall.id).empty() &&
        !AnyDisturbed(aCall.sentAt, aCall.endedAt)) {
      Add("planned work cuts off nothing", Describe(aCall));
    }
  }

  void CheckAsked(const RunRecord& aRun)
  {
    const auto& run = aRun.run;
    const auto found = mCalls.find(run.requestId);
    if (found == mCalls.end()) {
      Add("a server runs what was asked", run.target + " " + run.requestId);
      return;
    }
    const auto& call = *found->second;
    const bool same = run.target == call.target && run.body == call.body &&
                      run.method == FactsOf(call.kind).method &&
                      run.team == call.team && run.credential.empty();
    if (!same) {
      Add("a server runs what was asked", Describe(call) + ", changed");
    }
  }

  void CheckNotices()
  {
    for (const auto& notice : mHistory.notices) {
      for (const auto& record : mHistory.runs) {
        const auto began = record.run.began;
        const auto call = mCalls.find(record.run.requestId);
        const bool late = record.server == notice.server &&
                          began > notice.at + kApplyBound + kMachineSlack &&
                          began < notice.goneAt && call != mCalls.end();
        if (late && !Disturbed(NameOf(call->second->vm), notice.at, began)) {
          Add("a leaving server gets no new work",
              Describe(*call->second) + " at " + notice.server);
        }
      }
    }
  }

  void CheckConfigurations()
  {
    // By VM and process: the first time that an effect of a version was seen.
    std::map<std::size_t, std::map<std::uint64_t, TimePoint>> seen;
    for (const auto& call : mHistory.calls) {
      if (call.kind == Kind::kProbe) {
        CheckProbe(call, seen[call.vm]);
      }
    }
  }

  /// Calls of one VM come in order of time.
  void CheckProbe(const CallRecord& aCall,
                  std::map<std::uint64_t, TimePoint>& aSeen)
  {
    const auto& vm = NameOf(aCall.vm);
    const bool applies = aCall.Served();
    const bool lacks = aCall.Answered() && aCall.httpStatus == kNotFound;
    TimePoint since;
    std::uint64_t latest = 0;
    for (const auto& published : mHistory.published) {
      if (published.at <= aCall.sentAt) {
        since = published.at;
        latest = published.version;
      }
    }
    const bool due = aCall.sentAt > since + kApplyBound + kMachineSlack &&
                     !Disturbed(vm, since, aCall.endedAt);
    if (due && lacks && aCall.version == latest && !ChangedIn(aCall)) {
      Add("a configuration is in force in time", Describe(aCall));
    }
    if (due && applies && aCall.version < latest) {
      Add("a dropped route is dropped in time", Describe(aCall));
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

  /// Returns whether another configuration was published during a call.
  bool ChangedIn(const CallRecord& aCall) const
  {
    return std::any_of(mHistory.published.begin(),
                       mHistory.published.end(),
                       [&](const auto& aPublished) {
                         return aPublished.at > aCall.sentAt - kMachineSlack &&
                                aPublished.at < aCall.endedAt;
                       });
  }

  /// Returns whether a VM's process was started anew in a span of time.
  bool StartedIn(const std::string& aVm,
                 TimePoint aFrom,
                 TimePoint aUntil) const
  {
    return std::any_of(mHistory.disturbances.begin(),
                       mHistory.disturbances.end(),
                       [&](const auto& aD) {
                         const bool ends =
                           aD.what == "kill" || aD.what == "stop";
                         return ends && (aD.host == aVm || aD.host.empty()) &&
                                aD.until >= aFrom && aD.from <= aUntil;
                       });
  }

  /// Returns how many of some times lie in each tenth of a window that ends
  /// with the last of them.
  static std::string Tenths(std::vector<TimePoint>::const_iterator aFirst,
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

  /// Counts the calls of the team that were both sent and began to run within
  /// a window, at any of its servers.
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
      const auto units = static_cast<double>(within.size()) * quota.unitsOfCall;
      if (units > allowed) {
        Add("a quota holds over all VMs",
            std::to_string(units) + " units of " + std::to_string(allowed) +
              " in the window that ends " +
              std::to_string(ToSeconds(mHistory.calmFrom - last.began)) +
              " s before the calm; runs in each tenth of it: " +
              Tenths(within.begin(), within.end(), quota.window));
        return;
      }
    }
  }

  void CheckRecovery()
  {
    int asked = 0;
    int served = 0;
    for (const auto& call : mHistory.calls) {
      const bool counts = call.sentAt > mHistory.calmFrom + kTouchTime &&
                          call.kind != Kind::kProbe && !call.left &&
                          call.team != mHistory.quota.team;
      asked += counts ? 1 : 0;
      served += counts && call.Served() ? 1 : 0;
    }
    if (served < kServedInCalm * asked || asked == 0) {
      Add("service returns once all is calm",
          std::to_string(served) + " of " + std::to_string(asked));
    }
  }

  const History& mHistory;
  std::map<std::string, const CallRecord*> mCalls;
  std::map<std::string, std::vector<const RunRecord*>> mRuns;
  std::vector<Finding> mFindings;
};

} // namespace

const KindFacts&
FactsOf(Kind aKind)
{
  static const std::map<Kind, KindFacts> sFacts = {
    { Kind::kQuote, { "/quotes/", "POST", true, false } },
    { Kind::kLetter, { "/letters/", "POST", true, true } },
    { Kind::kDeposit, { "/deposits/", "POST", false, true } },
    { Kind::kStock, { "/stock/", "POST", false, false } },
    { Kind::kProbe, { "/only-", "GET", false, false } },
  };
  return sFacts.at(aKind);
}

std::vector<Finding>
Check(const History& aHistory)
{
  return Checker(aHistory).Findings();
}

} // namespace magnoliatide::soak
