// Finds out which requests crash the servers that run them. What requests have
// in common, such as a part of their prompts, is called a trait. The traits of
// the requests that had not begun their answers when a server crashed are
// suspected. A trait is cleared when an answer to a request with it begins at a
// server that stays up. It is harmful after a number of crashes that no other
// trait explains, at least one of them in a trial: servers may also crash
// together for another reason. Used by the Allocator; SuspectTable is the
// counterpart for the Scheduler.
#ifndef MAGNOLIATIDE_POLICY_CRASH_SUSPECTS_H
#define MAGNOLIATIDE_POLICY_CRASH_SUSPECTS_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/policy/job.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace magnoliatide::policy {

/// Identifies something that requests have in common: their whole content or a
/// part of their prompts.
using Trait = std::uint64_t;

/// Returns the traits of a request: its content and the parts of its prompt
/// that it may share with others.
std::vector<Trait>
TraitsOf(const Job& aJob);

/// Identifies one start of a server.
struct ServerIncarnation
{
  std::string server;
  std::uint64_t started = 0; ///< As routing::Server::started.

  bool operator<(const ServerIncarnation& aOther) const
  {
    return std::tie(server, started) < std::tie(aOther.server, aOther.started);
  }
};

/// A trait that is suspected of a crash.
struct CrashSuspect
{
  Trait trait = 0;
  /// The run was sent when a trait of its request was suspected already, alone
  /// of those with that trait. Without one such run, servers may have crashed
  /// together for another reason.
  bool trial = false;

  bool operator==(const CrashSuspect&) const = default;
};

/// A run that ended because the connection to its server was lost.
struct InterruptedRun
{
  ServerIncarnation incarnation;
  JobKey key;
  /// The request's traits; empty if its answer had begun before.
  std::vector<Trait> traits;
  bool trial = false; ///< As in CrashSuspect.
  /// Whether this VM ran it. Each VM tells the others about its own runs.
  bool own = false;
};

/// A crash of a server, as VMs tell each other about it.
struct CrashRecord
{
  ServerIncarnation incarnation;
  /// Tells crashes apart while the incarnation in the roster is outdated.
  std::uint32_t ordinal = 0;
  /// From the reporting VM's runs.
  std::vector<CrashSuspect> suspects;
};

/// What is known of a request's traits.
enum class CrashStanding
{
  kNone,
  kSuspect, ///< A trait is suspected: such requests run one at a time.
  kHarmful, ///< A trait crashes servers: such requests do not run.
};

/// Decides which traits are suspected and harmful, from the crashes that this
/// VM and others have seen. A crash counts once, whoever reports it. Not
/// thread-safe.
class CrashSuspects
{
public:
  /// Number of crashes, one of them in a trial, at which a trait is considered
  /// harmful.
  static constexpr int kHarmfulCrashCount = 3;

  /// Records an interrupted run. Two of them at one server at nearly the same
  /// time count as a crash. Until a crash is known, the traits are suspected. A
  /// run that was recorded before is ignored.
  void RecordInterruption(const InterruptedRun& aRun, TimePoint aNow);

  /// Records that a server is down or was restarted. Runs that were
  /// interrupted there shortly before are attributed to a crash.
  void RecordServerLoss(const std::string& aServer, TimePoint aNow);

  /// Records that the answer to a request has begun and that its server has
  /// stayed up, which clears the request's traits.
  void RecordBegin(const std::vector<Trait>& aTraits, TimePoint aNow);

  /// Merges a crash that another VM reports.
  ///
  /// @param aAt When it happened.
  void Merge(const CrashRecord& aRecord, TimePoint aAt, TimePoint aNow);

  /// Merges that another VM has cleared a trait.
  ///
  /// @param aAt When it was cleared.
  void MergeClearance(Trait aTrait, TimePoint aAt, TimePoint aNow);

  /// Returns what is known of a request with these traits.
  CrashStanding StandingOf(const std::vector<Trait>& aTraits,
                           TimePoint aNow) const;

  /// Returns whether no trait is suspected.
  bool Empty() const
  {
    return mCrashesByTrait.empty() && mInterruptedAt.empty();
  }

  /// Returns whether a trait is suspected, whatever the number of crashes.
  bool IsSuspect(Trait aTrait, TimePoint aNow) const;

  /// Describes why a request with these traits is harmful, for the log.
  std::string Describe(const std::vector<Trait>& aTraits, TimePoint aNow) const;

  /// Returns and clears the crashes that gained suspects from this VM's runs
  /// since the last call.
  std::vector<CrashRecord> TakeCrashes();

  /// Returns and clears the traits that were suspected and cleared by
  /// RecordBegin() since the last call.
  std::vector<Trait> TakeClearances();

private:
  struct Interruption
  {
    InterruptedRun run;
    TimePoint at;
  };

  struct CrashKey
  {
    ServerIncarnation incarnation;
    std::uint32_t ordinal = 0; ///< As in CrashRecord.

    bool operator<(const CrashKey& aOther) const
    {
      return incarnation < aOther.incarnation ||
             (!(aOther.incarnation < incarnation) && ordinal < aOther.ordinal);
    }
  };

  struct Crash
  {
    /// By trait: whether a trial is among the runs with it.
    std::map<Trait, bool> suspects;
    std::map<Trait, bool> own; ///< Suspects of this VM's runs.
    TimePoint at;
  };

  std::deque<Interruption> TakeBurst(const std::string& aServer,
                                     TimePoint aNow);
  CrashKey KeyForCrash(const ServerIncarnation& aIncarnation, TimePoint aAt);
  const CrashKey* FindRecentCrash(const ServerIncarnation& aIncarnation,
                                  TimePoint aNow) const;
  void AttributeRun(const CrashKey& aKey, const InterruptedRun& aRun);
  void AddSuspect(const CrashKey& aKey, const CrashSuspect& aSuspect);
  bool Clear(Trait aTrait, TimePoint aUpTo);
  const std::set<CrashKey>* CrashesOf(Trait aTrait, TimePoint aNow) const;
  bool IsExplained(Trait aTrait, const std::vector<Trait>& aTraits) const;
  bool IsHarmful(Trait aTrait,
                 const std::vector<Trait>& aTraits,
                 TimePoint aNow) const;
  void Trim(TimePoint aNow);

  /// Interruptions that are not attributed to a crash yet, by server.
  std::map<std::string, std::deque<Interruption>> mInterruptions;
  /// When runs with a trait were interrupted last, until it is cleared.
  std::map<Trait, TimePoint> mInterruptedAt;
  std::map<CrashKey, Crash> mCrashes;
  /// Exactly the suspects of mCrashes, with the keys of their crashes.
  std::map<Trait, std::set<CrashKey>> mCrashesByTrait;
  /// When suspected traits were cleared last.
  std::map<Trait, TimePoint> mCleared;
  std::vector<CrashRecord> mNewCrashes;
  std::vector<Trait> mNewClearances;
};

} // namespace magnoliatide::policy

#endif
