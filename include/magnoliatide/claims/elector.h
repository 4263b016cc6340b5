// An elector: the acceptor of claims in one slot. It holds the promised and
// accepted ballots and the accepted owner of each key, in memory only. After a
// start, an elector abstains on a key until it has complete copies of the state
// of a majority of the key's electors, not counting itself, or until all keys
// from before its start have expired.
#ifndef MAGNOLIATIDE_CLAIMS_ELECTOR_H
#define MAGNOLIATIDE_CLAIMS_ELECTOR_H

#include "magnoliatide/claims/electorate.h"
#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::claims {

/// The parameters of an elector.
struct ElectorOptions
{
  std::string slot;                          ///< The elector's own slot.
  wire::Incarnation incarnation;             ///< Of this process in the slot.
  Duration lifetime = std::chrono::hours(1); ///< How long a key is kept.
  /// Whether the operators state that no earlier VM of the environment can
  /// have claimed a key. The state is then complete once the other electors
  /// have sent copies, even if their own state is incomplete.
  bool firstStart = false;
  TimePoint started{};
  std::vector<std::string> slots; ///< All slots of the configuration.
  std::size_t electors = 5;       ///< Number of electors of each key.
};

/// Votes on claims and exchanges copies of its state with other electors.
class Elector
{
public:
  explicit Elector(ElectorOptions aOptions);

  /// Answers a message of the prepare phase.
  wire::ClaimVote Handle(const wire::ClaimPrepare& aRequest,
                         const Electorate& aElectorate,
                         TimePoint aNow);

  /// Answers a message of the accept phase.
  wire::ClaimVote Handle(const wire::ClaimAccept& aRequest,
                         const Electorate& aElectorate,
                         TimePoint aNow);

  /// Records the outcome of a key's call if this elector accepted the owner
  /// that the message names.
  void Handle(const wire::ClaimOutcome& aOutcome);

  /// Returns one page of the state for an elector that has just started. Its
  /// incarnation is recorded before anything is copied, so that votes of its
  /// earlier incarnations no longer count.
  wire::CopyReply Handle(const wire::CopyRequest& aRequest, TimePoint aNow);

  /// Merges one page of the state of another elector.
  ///
  /// @param aFrom The elector that sent it.
  /// @return The number of a new incarnation to restart with if a later
  ///     incarnation of this elector is known, else 0.
  std::uint64_t ApplyCopy(const std::string& aFrom,
                          const wire::CopyReply& aReply,
                          TimePoint aNow);

  /// Continues as a higher incarnation that needs new copies. Keys are kept.
  void Restart(wire::Incarnation aIncarnation);

  /// Returns whether this elector may vote in an electorate: it is a member,
  /// and its state is complete or, if no copies from former slots are missing,
  /// contains the complete state of a majority of the members.
  bool CanVote(const Electorate& aElectorate, TimePoint aNow) const;

  /// Returns whether the state is complete for every electorate, so that copies
  /// of it count for electors that have just started.
  bool IsComplete(TimePoint aNow) const;

  /// Returns whether the complete state of the elector in a slot was copied.
  bool HasCopyOf(const std::string& aSlot) const;

  /// Applies the slots and key settings of a configuration document. When the
  /// slots change, the state is incomplete until copies from the former slots
  /// are merged, each made after its VM applied the same change.
  void Configure(std::vector<std::string> aSlots,
                 std::size_t aElectors,
                 Duration aLifetime,
                 bool aFirstStart);

  /// Removes keys older than the key lifetime.
  void RemoveExpired(TimePoint aNow);

  const wire::Incarnation& OwnIncarnation() const
  {
    return mOptions.incarnation;
  }
  std::size_t size() const { return mKeys.size(); }

  /// Appends a text that identifies the state, for tests that explore all
  /// states.
  void AppendStateText(std::string& aOut) const;

private:
  /// The Paxos state of one epoch of a key. The next epoch starts if the owner
  /// decided in this one never sends the call.
  struct Epoch
  {
    wire::Ballot promised;
    bool hasAccepted = false;
    wire::Ballot acceptedBallot;
    wire::KeyOwner accepted;
    wire::KeyOutcome outcome = wire::KeyOutcome::kOpen;
    wire::KeyAnswer answer;
  };

  struct Entry
  {
    TimePoint firstSeen;
    std::map<std::uint32_t, Epoch> epochs;
  };

  wire::ClaimVote MakeVote(std::uint64_t aProposal,
                           bool aAccepting,
                           const wire::Ballot& aBallot,
                           const Electorate& aElectorate) const;
  template<typename Request>
  Epoch* FindOrAddEpoch(const Request& aRequest,
                        const Electorate& aElectorate,
                        TimePoint aNow);
  bool HasMajorityOfCopies(const std::vector<std::string>& aSlots) const;
  void RecordIncarnation(const std::string& aSlot,
                         const wire::Incarnation& aIncarnation);
  void Merge(const wire::CopiedKey& aKey, TimePoint aNow);
  void UpdateCompleteness();
  std::size_t CountMissing(const std::vector<std::string>& aSlots,
                           const std::set<std::string>& aCopied) const;

  ElectorOptions mOptions;
  std::map<std::string, Entry> mKeys;
  /// Latest known incarnation of each other slot; never decreases.
  std::map<std::string, wire::Incarnation> mIncarnations;
  /// Slots whose complete state was copied.
  std::set<std::string> mCompleteCopies;
  /// Slots whose state is incomplete but contains all of their own votes.
  std::set<std::string> mOwnVoteCopies;
  /// Slots whose state is incomplete and may lack votes of their own.
  std::set<std::string> mIncompleteCopies;
  /// After a change of the slots: those for which the state was complete, until
  /// enough of them have been copied.
  std::vector<std::string> mFormerSlots;
  /// Set by enough copies or a first start; reset by a change of the slots.
  bool mComplete = false;
};

} // namespace magnoliatide::claims

#endif
