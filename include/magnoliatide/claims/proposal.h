// The proposer of a claim, as a state machine without I/O. The electors of a
// key choose one owner with single-decree Paxos: a prepare and an accept phase,
// each of which needs a majority. A decided owner never changes.
#ifndef MAGNOLIATIDE_CLAIMS_PROPOSAL_H
#define MAGNOLIATIDE_CLAIMS_PROPOSAL_H

#include "magnoliatide/claims/electorate.h"
#include "magnoliatide/wire/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliatide::claims {

/// The phase of a proposal.
enum class ProposalState
{
  kPreparing,
  kAccepting,
  kDecided, ///< A majority accepted an owner; it never changes.
};

/// A message to the elector in one slot.
struct ClaimMessage
{
  std::string slot;
  wire::DatagramBody body;
};

/// The parameters of a proposal.
struct ProposalOptions
{
  std::uint64_t number = 0; ///< Unique in the process.
  std::string key;
  std::uint32_t epoch = 0;
  Electorate electorate;
  wire::KeyOwner self; ///< Proposed if the electors accepted no owner before.
  /// Ignores votes that an elector cast before its latest known restart.
  /// Disabled only in tests, to show that a call can run twice without it.
  bool checkIncarnations = true;
};

/// One attempt to become the owner of a key.
class Proposal
{
public:
  explicit Proposal(ProposalOptions aOptions);

  /// Returns the messages of the current phase to all electors whose yes vote
  /// is missing. The caller sends them at the start of a phase and again after
  /// a timeout.
  std::vector<ClaimMessage> PendingMessages() const;

  /// Processes a vote. Returns whether the phase changed, in which case
  /// PendingMessages() returns the messages of the new phase.
  bool Receive(const wire::ClaimVote& aVote);

  /// Abandons the current ballot and starts the prepare phase of a higher one.
  void StartNextRound();

  /// Returns whether an elector has promised a higher ballot. This one may then
  /// get no majority, so the caller has to start the next round.
  bool IsPreempted() const;

  ProposalState State() const { return mState; }

  /// Returns the decided owner. Valid only in kDecided.
  const wire::KeyOwner& DecidedOwner() const { return mOwner; }

  /// Returns the outcome of the owner's call as reported in the prepare votes.
  wire::KeyOutcome Outcome() const { return mOutcome; }

  /// Returns the recorded answer of that call; its status is 0 if none was
  /// reported.
  const wire::KeyAnswer& Answer() const { return mAnswer; }

  /// Appends a text that identifies the state, for tests that explore all
  /// states.
  void AppendStateText(std::string& aOut) const;

private:
  bool HasQuorum() const;
  bool IsCurrentIncarnation(const wire::ClaimVote& aVote) const;
  void ChooseOwner();

  ProposalOptions mOptions;
  ProposalState mState = ProposalState::kPreparing;
  wire::Ballot mBallot;
  wire::Ballot mHighestBallot;
  wire::KeyOwner mOwner;
  wire::KeyOutcome mOutcome = wire::KeyOutcome::kOpen;
  wire::KeyAnswer mAnswer;
  /// Yes votes of the current phase and ballot, by elector slot.
  std::map<std::string, wire::ClaimVote> mVotes;
};

} // namespace magnoliatide::claims

#endif
