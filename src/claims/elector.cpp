// Implementation of the elector.
#include "magnoliatide/claims/elector.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>

namespace magnoliatide::claims {

namespace {

/// Maximum number of keys in one page of a copy.
constexpr std::size_t kKeysPerPage = 2000;

} // namespace

Elector::Elector(ElectorOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

wire::ClaimVote
Elector::MakeVote(std::uint64_t aProposal,
                  bool aAccepting,
                  const wire::Ballot& aBallot,
                  const Electorate& aElectorate) const
{
  wire::ClaimVote vote;
  vote.proposal = aProposal;
  vote.accepting = aAccepting;
  vote.ballot = aBallot;
  vote.slot = mOptions.slot;
  vote.incarnation = mOptions.incarnation;
  for (const auto& slot : aElectorate.slots) {
    const auto found = mIncarnations.find(slot);
    if (found != mIncarnations.end()) {
      vote.known.push_back({ slot, found->second });
    }
  }
  return vote;
}

/// Returns the state of an epoch of a key, which is added if missing, or null
/// if this elector abstains.
template<typename Request>
Elector::Epoch*
Elector::FindOrAddEpoch(const Request& aRequest,
                        const Electorate& aElectorate,
                        TimePoint aNow)
{
  if (aRequest.electorate != aElectorate.Hash() ||
      !CanVote(aElectorate, aNow)) {
    return nullptr;
  }
  const auto [at, added] = mKeys.try_emplace(aRequest.key);
  if (added) {
    at->second.firstSeen = aNow;
  }
  return &at->second.epochs[aRequest.epoch];
}

wire::ClaimVote
Elector::Handle(const wire::ClaimPrepare& aRequest,
                const Electorate& aElectorate,
                TimePoint aNow)
{
  auto vote = MakeVote(aRequest.proposal, false, aRequest.ballot, aElectorate);
  auto* epoch = FindOrAddEpoch(aRequest, aElectorate, aNow);
  if (epoch == nullptr) {
    return vote;
  }
  const bool preempted = aRequest.ballot < epoch->promised;
  vote.vote = preempted ? wire::Vote::kNo : wire::Vote::kYes;
  epoch->promised = std::max(epoch->promised, aRequest.ballot);
  vote.promised = epoch->promised;
  vote.hasAccepted = epoch->hasAccepted;
  vote.acceptedBallot = epoch->acceptedBallot;
  vote.accepted = epoch->accepted;
  vote.outcome = epoch->outcome;
  vote.answer = epoch->answer;
  return vote;
}

wire::ClaimVote
Elector::Handle(const wire::ClaimAccept& aRequest,
                const Electorate& aElectorate,
                TimePoint aNow)
{
  auto vote = MakeVote(aRequest.proposal, true, aRequest.ballot, aElectorate);
  auto* epoch = FindOrAddEpoch(aRequest, aElectorate, aNow);
  if (epoch == nullptr) {
    return vote;
  }
  if (aRequest.ballot < epoch->promised) {
    vote.vote = wire::Vote::kNo;
    vote.promised = epoch->promised;
    return vote;
  }
  epoch->promised = aRequest.ballot;
  epoch->hasAccepted = true;
  epoch->acceptedBallot = aRequest.ballot;
  epoch->accepted = aRequest.owner;
  vote.vote = wire::Vote::kYes;
  vote.promised = epoch->promised;
  return vote;
}

void
Elector::Handle(const wire::ClaimOutcome& aOutcome)
{
  const auto found = mKeys.find(aOutcome.key);
  if (found == mKeys.end()) {
    return;
  }
  const auto epoch = found->second.epochs.find(aOutcome.epoch);
  const bool known = epoch != found->second.epochs.end() &&
                     epoch->second.hasAccepted &&
                     epoch->second.accepted == aOutcome.owner;
  if (known && aOutcome.outcome > epoch->second.outcome) {
    epoch->second.outcome = aOutcome.outcome;
    epoch->second.answer = aOutcome.answer;
  }
}

void
Elector::RecordIncarnation(const std::string& aSlot,
                           const wire::Incarnation& aIncarnation)
{
  if (aSlot != mOptions.slot) {
    auto& latest = mIncarnations[aSlot];
    latest = std::max(latest, aIncarnation);
  }
}

wire::CopyReply
Elector::Handle(const wire::CopyRequest& aRequest, TimePoint aNow)
{
  wire::CopyReply reply;
  RecordIncarnation(aRequest.slot, aRequest.incarnation);
  reply.latest = mIncarnations[aRequest.slot];
  reply.refused = reply.latest != aRequest.incarnation;
  reply.incomplete = !IsComplete(aNow);
  reply.hasOwnVotes = !reply.incomplete || !mFormerSlots.empty();
  reply.slotsHash = HashSlots(mOptions.slots);
  for (const auto& [slot, incarnation] : mIncarnations) {
    reply.known.push_back({ slot, incarnation });
  }
  if (reply.refused) {
    return reply;
  }
  for (auto at = mKeys.upper_bound(aRequest.after); at != mKeys.end(); ++at) {
    if (reply.keys.size() == kKeysPerPage) {
      reply.more = true;
      break;
    }
    wire::CopiedKey key;
    key.key = at->first;
    key.ageMillis = static_cast<std::uint32_t>(
      std::chrono::duration_cast<Milliseconds>(aNow - at->second.firstSeen)
        .count());
    for (const auto& [number, epoch] : at->second.epochs) {
      key.epochs.push_back({ number,
                             epoch.promised,
                             epoch.hasAccepted,
                             epoch.acceptedBallot,
                             epoch.accepted,
                             epoch.outcome,
                             epoch.answer });
    }
    reply.keys.push_back(std::move(key));
  }
  return reply;
}

std::uint64_t
Elector::ApplyCopy(const std::string& aFrom,
                   const wire::CopyReply& aReply,
                   TimePoint aNow)
{
  if (aReply.refused) {
    return aReply.latest.number + 1;
  }
  for (const auto& known : aReply.known) {
    RecordIncarnation(known.slot, known.incarnation);
  }
  for (const auto& key : aReply.keys) {
    Merge(key, aNow);
  }
  if (aReply.more || aReply.slotsHash != HashSlots(mOptions.slots)) {
    return 0;
  }
  mIncompleteCopies.erase(aFrom);
  mOwnVoteCopies.erase(aFrom);
  if (!aReply.incomplete) {
    mCompleteCopies.insert(aFrom);
  } else if (aReply.hasOwnVotes) {
    mOwnVoteCopies.insert(aFrom);
  } else {
    mIncompleteCopies.insert(aFrom);
  }
  UpdateCompleteness();
  return 0;
}

std::size_t
Elector::CountMissing(const std::vector<std::string>& aSlots,
                      const std::set<std::string>& aCopied) const
{
  std::size_t count = 0;
  for (const auto& slot : aSlots) {
    count += slot != mOptions.slot && aCopied.count(slot) == 0 ? 1 : 0;
  }
  return count;
}

void
Elector::UpdateCompleteness()
{
  if (mComplete) {
    return;
  }
  const bool slotsChanged = !mFormerSlots.empty();
  const auto& slots = slotsChanged ? mFormerSlots : mOptions.slots;
  const auto electors = std::min(mOptions.electors, slots.size());
  const auto majority = MajoritySize(electors);
  // Any majority that decided on a key must have a member among the electors
  // whose copies were merged; that limits how many copies may be missing. A
  // restarted elector has lost its own votes, so it needs more copies than
  // after a change of the slots: one, or two for an even number of electors.
  // With one or two electors, only the expiry of all keys or a first start
  // completes it.
  const auto minority = slotsChanged ? 0 : electors - majority;
  const bool possible = slotsChanged || electors > majority;
  const auto allowedMissing =
    slotsChanged ? majority - 1 : (possible ? minority - 1 : 0);
  auto copied = mCompleteCopies;
  if (slotsChanged) {
    copied.insert(mOwnVoteCopies.begin(), mOwnVoteCopies.end());
  }
  mComplete = possible && CountMissing(slots, copied) <= allowedMissing;
  // On a first start, incomplete copies count as well: the electors copied so
  // far together hold every vote that any other could know of.
  copied.insert(mOwnVoteCopies.begin(), mOwnVoteCopies.end());
  copied.insert(mIncompleteCopies.begin(), mIncompleteCopies.end());
  const bool copiedEnough =
    !slotsChanged && CountMissing(slots, copied) <= allowedMissing;
  mComplete = mComplete || (mOptions.firstStart && copiedEnough);
  if (mComplete) {
    mFormerSlots.clear();
  }
}

bool
Elector::IsComplete(TimePoint aNow) const
{
  return mComplete || aNow - mOptions.started >= mOptions.lifetime;
}

void
Elector::Merge(const wire::CopiedKey& aKey, TimePoint aNow)
{
  const auto seen = aNow - Milliseconds(aKey.ageMillis);
  const auto [at, added] = mKeys.try_emplace(aKey.key);
  if (added || seen < at->second.firstSeen) {
    at->second.firstSeen = seen;
  }
  for (const auto& copied : aKey.epochs) {
    auto& epoch = at->second.epochs[copied.epoch];
    epoch.promised = std::max(epoch.promised, copied.promised);
    if (copied.outcome > epoch.outcome) {
      epoch.outcome = copied.outcome;
      epoch.answer = copied.answer;
    }
    const bool later =
      copied.hasAccepted &&
      (!epoch.hasAccepted || copied.acceptedBallot > epoch.acceptedBallot);
    if (later) {
      epoch.hasAccepted = true;
      epoch.acceptedBallot = copied.acceptedBallot;
      epoch.accepted = copied.accepted;
    }
  }
}

void
Elector::Restart(wire::Incarnation aIncarnation)
{
  mOptions.incarnation = aIncarnation;
  mCompleteCopies.clear();
  mOwnVoteCopies.clear();
  mIncompleteCopies.clear();
  mComplete = false;
  mFormerSlots.clear();
}

bool
Elector::HasCopyOf(const std::string& aSlot) const
{
  return mCompleteCopies.count(aSlot) > 0;
}

bool
Elector::HasMajorityOfCopies(const std::vector<std::string>& aSlots) const
{
  std::size_t copied = 0;
  for (const auto& slot : aSlots) {
    copied += mCompleteCopies.count(slot);
  }
  return copied >= MajoritySize(aSlots.size());
}

bool
Elector::CanVote(const Electorate& aElectorate, TimePoint aNow) const
{
  if (!aElectorate.Contains(mOptions.slot)) {
    return false;
  }
  const bool slotsUnchanged = mFormerSlots.empty();
  return IsComplete(aNow) ||
         (slotsUnchanged && HasMajorityOfCopies(aElectorate.slots));
}

void
Elector::Configure(std::vector<std::string> aSlots,
                   std::size_t aElectors,
                   Duration aLifetime,
                   bool aFirstStart)
{
  const bool changed =
    aSlots != mOptions.slots || aElectors != mOptions.electors;
  if (changed && !mOptions.slots.empty()) {
    // Incomplete state may still lack copies from the slots before an earlier
    // change, so those remain the former slots.
    if (mComplete) {
      mFormerSlots = mOptions.slots;
    }
    mComplete = false;
    mCompleteCopies.clear();
    mOwnVoteCopies.clear();
    mIncompleteCopies.clear();
  }
  mOptions.slots = std::move(aSlots);
  mOptions.electors = aElectors;
  mOptions.lifetime = aLifetime;
  mOptions.firstStart = aFirstStart;
  UpdateCompleteness();
}

void
Elector::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mKeys, [&](const auto& aEntry) {
    return aNow - aEntry.second.firstSeen >= mOptions.lifetime;
  });
}

void
Elector::AppendStateText(std::string& aOut) const
{
  const auto add = [&](std::uint64_t aValue) {
    aOut += std::to_string(aValue) + ",";
  };
  add(mOptions.incarnation.number);
  for (const auto& [slot, incarnation] : mIncarnations) {
    aOut += slot;
    add(incarnation.number);
  }
  for (const auto& slot : mCompleteCopies) {
    aOut += "c" + slot;
  }
  for (const auto& slot : mOwnVoteCopies) {
    aOut += "r" + slot;
  }
  for (const auto& slot : mIncompleteCopies) {
    aOut += "i" + slot;
  }
  add(mComplete ? 1 : 0);
  for (const auto& slot : mFormerSlots) {
    aOut += "f" + slot;
  }
  for (const auto& [key, entry] : mKeys) {
    for (const auto& [number, epoch] : entry.epochs) {
      add(number);
      add(epoch.promised.round);
      add(epoch.promised.proposer);
      add(epoch.hasAccepted ? 1 : 0);
      add(epoch.acceptedBallot.round);
      add(epoch.acceptedBallot.proposer);
      add(epoch.accepted.attempt);
      add(static_cast<std::uint64_t>(epoch.outcome));
    }
  }
  aOut += ";";
}

} // namespace magnoliatide::claims
