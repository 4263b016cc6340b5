// The proposer's side of a claim.
#include "magnoliatide/claims/proposal.h"

#include <algorithm>

namespace magnoliatide::claims {

Proposal::Proposal(ProposalOptions aOptions)
  : mOptions(std::move(aOptions))
  , mBallot{ 1, mOptions.self.process }
  , mHighestSeen(mBallot)
  , mValue(mOptions.self)
{
}

std::vector<ClaimSend>
Proposal::Pending() const
{
  std::vector<ClaimSend> sends;
  if (mState == ProposalState::kDecided) {
    return sends;
  }
  const auto hash = mOptions.electorate.Hash();
  for (const auto& slot : mOptions.electorate.slots) {
    if (mVotes.count(slot) > 0) {
      continue;
    }
    if (mState == ProposalState::kPreparing) {
      sends.push_back(
        { slot,
          wire::ClaimPrepare{
            mOptions.number, mOptions.key, mOptions.epoch, hash, mBallot } });
    } else {
      sends.push_back({ slot,
                        wire::ClaimAccept{ mOptions.number,
                                           mOptions.key,
                                           mOptions.epoch,
                                           hash,
                                           mBallot,
                                           mValue } });
    }
  }
  return sends;
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
    mHighestSeen = std::max(mHighestSeen, aVote.promised);
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
    ChooseValue();
    mState = ProposalState::kAccepting;
  }
  mVotes.clear();
  return true;
}

void
Proposal::ChooseValue()
{
  const wire::ClaimVote* latest = nullptr;
  for (const auto& [slot, vote] : mVotes) {
    const bool counts = vote.hasAccepted && IsCurrent(vote);
    if (counts &&
        (latest == nullptr || vote.acceptedBallot > latest->acceptedBallot)) {
      latest = &vote;
    }
  }
  mValue = latest == nullptr ? mOptions.self : latest->accepted;
  mOutcome = wire::KeyOutcome::kOpen;
  for (const auto& [slot, vote] : mVotes) {
    const bool same = vote.hasAccepted && vote.accepted == mValue;
    if (same && vote.outcome > mOutcome) {
      mOutcome = vote.outcome;
      mAnswer = vote.answer;
    }
  }
}

bool
Proposal::IsCurrent(const wire::ClaimVote& aVote) const
{
  if (!mOptions.checkIncarnations) {
    return true;
  }
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
    votes += found != mVotes.end() && IsCurrent(found->second) ? 1 : 0;
  }
  return votes >= MajorityOf(slots.size());
}

void
Proposal::NextRound()
{
  mBallot = { std::max(mBallot.round, mHighestSeen.round) + 1,
              mOptions.self.process };
  mHighestSeen = mBallot;
  mState = ProposalState::kPreparing;
  mVotes.clear();
}

bool
Proposal::Overtaken() const
{
  return mHighestSeen > mBallot;
}

void
Proposal::Fingerprint(std::string& aOut) const
{
  aOut += std::to_string(static_cast<int>(mState)) + "," +
          std::to_string(mBallot.round) + "," +
          std::to_string(mHighestSeen.round) + "," +
          std::to_string(mHighestSeen.proposer) + "," +
          std::to_string(mValue.attempt) + ",";
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
