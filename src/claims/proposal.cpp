// Implementation of the proposer of a claim.
#include "magnoliatide/claims/proposal.h"

#include <algorithm>

namespace magnoliatide::claims {

Proposal::Proposal(ProposalOptions aOptions)
  : mOptions(std::move(aOptions))
  , mBallot{ 1, mOptions.self.process }
  , mHighestBallot(mBallot)
  , mOwner(mOptions.self)
{
}

std::vector<ClaimMessage>
Proposal::PendingMessages() const
{
  std::vector<ClaimMessage> messages;
  if (mState == ProposalState::kDecided) {
    return messages;
  }
  const auto hash = mOptions.electorate.Hash();
  for (const auto& slot : mOptions.electorate.slots) {
    if (mVotes.count(slot) > 0) {
      continue;
    }
    if (mState == ProposalState::kPreparing) {
      messages.push_back(
        { slot,
          wire::ClaimPrepare{
            mOptions.number, mOptions.key, mOptions.epoch, hash, mBallot } });
    } else {
      messages.push_back({ slot,
                           wire::ClaimAccept{ mOptions.number,
                                              mOptions.key,
                                              mOptions.epoch,
                                              hash,
                                              mBallot,
                                              mOwner } });
    }
  }
  return messages;
}

bool
Proposal::Receive(const wire::ClaimVote& aVote)
{
  const bool accepting = mState == ProposalState::kAccepting;
  if (mState == ProposalState::kDecided || aVote.accepting != accepting ||
      aVote.ballot != mBallot) {
    return false;
  }
  if (aVote.vote == wire::Vote::kNo) {
    mHighestBallot = std::max(mHighestBallot, aVote.promised);
    return false;
  }
  if (aVote.vote == wire::Vote::kAbstain) {
    return false;
  }
  mVotes[aVote.slot] = aVote;
  if (!HasQuorum()) {
    return false;
  }
  if (accepting) {
    mState = ProposalState::kDecided;
  } else {
    ChooseOwner();
    mState = ProposalState::kAccepting;
  }
  mVotes.clear();
  return true;
}

void
Proposal::ChooseOwner()
{
  // As in Paxos, an owner that an elector accepted under an earlier ballot may
  // be decided already, so the one of the highest ballot has to be proposed.
  const wire::ClaimVote* latest = nullptr;
  for (const auto& [slot, vote] : mVotes) {
    const bool eligible = vote.hasAccepted && IsCurrentIncarnation(vote);
    if (eligible &&
        (latest == nullptr || vote.acceptedBallot > latest->acceptedBallot)) {
      latest = &vote;
    }
  }
  mOwner = latest == nullptr ? mOptions.self : latest->accepted;
  mOutcome = wire::KeyOutcome::kOpen;
  for (const auto& [slot, vote] : mVotes) {
    const bool sameOwner = vote.hasAccepted && vote.accepted == mOwner;
    if (sameOwner && vote.outcome > mOutcome) {
      mOutcome = vote.outcome;
      mAnswer = vote.answer;
    }
  }
}

bool
Proposal::IsCurrentIncarnation(const wire::ClaimVote& aVote) const
{
  if (!mOptions.checkIncarnations) {
    return true;
  }
  // The elector has restarted since this vote if another elector knows a later
  // incarnation of it; its earlier promises and accepted owners are lost.
  for (const auto& [slot, other] : mVotes) {
    for (const auto& known : other.known) {
      if (known.slot == aVote.slot && known.incarnation > aVote.incarnation) {
        return false;
      }
    }
  }
  return true;
}

bool
Proposal::HasQuorum() const
{
  const auto& slots = mOptions.electorate.slots;
  std::size_t votes = 0;
  for (const auto& slot : slots) {
    const auto found = mVotes.find(slot);
    votes +=
      found != mVotes.end() && IsCurrentIncarnation(found->second) ? 1 : 0;
  }
  return votes >= MajoritySize(slots.size());
}

void
Proposal::StartNextRound()
{
  mBallot = { std::max(mBallot.round, mHighestBallot.round) + 1,
              mOptions.self.process };
  mHighestBallot = mBallot;
  mState = ProposalState::kPreparing;
  mVotes.clear();
}

bool
Proposal::IsPreempted() const
{
  return mHighestBallot > mBallot;
}

void
Proposal::AppendStateText(std::string& aOut) const
{
  aOut += std::to_string(static_cast<int>(mState)) + "," +
          std::to_string(mBallot.round) + "," +
          std::to_string(mHighestBallot.round) + "," +
          std::to_string(mHighestBallot.proposer) + "," +
          std::to_string(mOwner.attempt) + ",";
  for (const auto& [slot, vote] : mVotes) {
    aOut += slot + std::to_string(vote.incarnation.number) + "," +
            std::to_string(vote.hasAccepted ? vote.accepted.attempt : 0) + "," +
            std::to_string(vote.acceptedBallot.round) + "," +
            std::to_string(vote.acceptedBallot.proposer);
    for (const auto& known : vote.known) {
      aOut += known.slot + std::to_string(known.incarnation.number);
    }
  }
  aOut += ";";
}

} // namespace magnoliatide::claims
