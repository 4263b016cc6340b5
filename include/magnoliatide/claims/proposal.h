// One try to become the owner of a key, as a state machine without I/O.
// Two phases over the key's electors decide on one owner for good.
#ifndef MAGNOLIATIDE_CLAIMS_PROPOSAL_H
#define MAGNOLIATIDE_CLAIMS_PROPOSAL_H

#include "magnoliatide/claims/electorate.h"
#include "magnoliatide/wire/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliatide::claims {

enum class ProposalState
{
  kPreparing,
  kAccepting,
  kDecided, ///< The owner is known and will not change.
};

/// A message to one elector.
struct ClaimSend
{
  std::string slot;
  wire::DatagramBody body;
};

struct ProposalOptions
{
  std::uint64_t number = 0; ///< Unique in the process.
  std::string key;
  std::uint32_t epoch = 0;
  Electorate electorate;
  wire::Owner self;
  /// Off only in tests, to show what the check is for.
  bool checkIncarnations = true;
};

class Proposal
{
public:
  explicit Proposal(ProposalOptions aOptions);

  /// Returns the messages of the phase that are still unanswered; used to
  /// begin and to repeat.
  std::vector<ClaimSend> Pending() const;

  /// Takes a vote. Returns whether the phase changed, so that Pending() has
  /// new messages.
  bool Receive(const wire::ClaimVote& aVote);

  /// Gives up the ballot for a higher one.
  void NextRound();

  /// Returns whether a higher ballot was seen, so that only a new round can
  /// succeed.
  bool Overtaken() const;

  ProposalState State() const { return mState; }

  /// Returns the decided owner; valid once decided.
  const wire::Owner& Decided() const { return mValue; }

  /// Returns what electors told of the decided owner's call.
  wire::KeyOutcome Outcome() const { return mOutcome; }

  /// Returns the recorded answer; its status is 0 where none is known.
  const wire::KeyAnswer& Answer() const { return mAnswer; }

  /// Appends a text that differs between different states; for exploration.
  void Fingerprint(std::string& aOut) const;

private:
  bool HasQuorum() const;
  bool IsCurrent(const wire::ClaimVote& aVote) const;
  void ChooseValue();

  ProposalOptions mOptions;
  ProposalState mState = ProposalState::kPreparing;
  wire::Ballot mBallot;
  wire::Ballot mHighestSeen;
  wire::Owner mValue;
  wire::KeyOutcome mOutcome = wire::KeyOutcome::kOpen;
  wire::KeyAnswer mAnswer;
  /// Yes votes of the present phase and ballot, by elector.
  std::map<std::string, wire::ClaimVote> mVotes;
};

} // namespace magnoliatide::claims

#endif
