// The register of one elector.
#include "magnoliatide/claims/register.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>

namespace magnoliatide::claims {

namespace {

constexpr std::size_t kKeysPerPage = 2000;

} // namespace

Register::Register(RegisterOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

wire::ClaimVote
Register::NewVote(std::uint64_t aProposal,
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
    const auto found = mLives.find(slot);
    if (found != mLives.end()) {
      vote.known.push_back({ slot, found->second });
    }
  }
  return vote;
}

/// Returns the state of a key's epoch, or null if this elector abstains.
template<typename Request>
Register::Epoch*
Register::OpenEpoch(const Request& aRequest,
                    const Electorate& aElectorate,
                    TimePoint aNow)
{
  if (aRequest.electorate != aElectorate.Hash() || !Ready(aElectorate, aNow)) {
    return nullptr;
  }
  const auto [at, fresh] = mKeys.try_emplace(aRequest.key);
  if (fresh) {
    at->second.firstSeen = aNow;
  }
  return &at->second.epochs[aRequest.epoch];
}

wire::ClaimVote
Register::Handle(const wire::ClaimPrepare& aRequest,
                 const Electorate& aElectorate,
                 TimePoint aNow)
{
  auto vote = NewVote(aRequest.proposal, false, aRequest.ballot, aElectorate);
  auto* epoch = OpenEpoch(aRequest, aElectorate, aNow);
  if (epoch == nullptr) {
    return vote;
  }
  const bool overtaken = aRequest.ballot < epoch->promised;
  vote.vote = overtaken ? wire::Vote::kNo : wire::Vote::kYes;
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
Register::Handle(const wire::ClaimAccept& aRequest,
                 const Electorate& aElectorate,
                 TimePoint aNow)
{
  auto vote = NewVote(aRequest.proposal, true, aRequest.ballot, aElectorate);
  auto* epoch = OpenEpoch(aRequest, aElectorate, aNow);
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
Register::Handle(const wire::ClaimOutcome& aNotice)
{
  const auto found = mKeys.find(aNotice.key);
  if (found == mKeys.end()) {
    return;
  }
  const auto epoch = found->second.epochs.find(aNotice.epoch);
  const bool known = epoch != found->second.epochs.end() &&
                     epoch->second.hasAccepted &&
                     epoch->second.accepted == aNotice.owner;
  if (known && aNotice.outcome > epoch->second.outcome) {
    epoch->second.outcome = aNotice.outcome;
    epoch->second.answer = aNotice.answer;
  }
}

void
Register::Note(const std::string& aSlot, const wire::Incarnation& aIncarnation)
{
  if (aSlot != mOptions.slot) {
    auto& life = mLives[aSlot];
    life = std::max(life, aIncarnation);
  }
}

wire::CopyReply
Register::Handle(const wire::CopyRequest& aRequest, TimePoint aNow)
{
  wire::CopyReply reply;
  Note(aRequest.slot, aRequest.incarnation);
  reply.latest = mLives[aRequest.slot];
  reply.refused = reply.latest != aRequest.incarnation;
  reply.incomplete = !Complete(aNow);
  reply.remembers = !reply.incomplete || !mFormerSlots.empty();
  reply.slotsHash = HashOfSlots(mOptions.slots);
  for (const auto& [slot, life] : mLives) {
    reply.known.push_back({ slot, life });
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
Register::Absorb(const std::string& aFrom,
                 const wire::CopyReply& aReply,
                 TimePoint aNow)
{
  if (aReply.refused) {
    return aReply.latest.number + 1;
  }
  for (const auto& life : aReply.known) {
    Note(life.slot, life.incarnation);
  }
  for (const auto& key : aReply.keys) {
    Merge(key, aNow);
  }
  if (aReply.more || aReply.slotsHash != HashOfSlots(mOptions.slots)) {
    return 0;
  }
  mIncomplete.erase(aFrom);
  mRemembering.erase(aFrom);
  if (!aReply.incomplete) {
    mCopied.insert(aFrom);
  } else if (aReply.remembers) {
    mRemembering.insert(aFrom);
  } else {
    mIncomplete.insert(aFrom);
  }
  JudgeCompleteness();
  return 0;
}

std::size_t
Register::Unheard(const std::vector<std::string>& aSlots,
                  const std::set<std::string>& aHeard) const
{
  std::size_t count = 0;
  for (const auto& slot : aSlots) {
    count += slot != mOptions.slot && aHeard.count(slot) == 0 ? 1 : 0;
  }
  return count;
}

void
Register::JudgeCompleteness()
{
  if (mComplete) {
    return;
  }
  const bool remembers = !mFormerSlots.empty();
  const auto& slots = remembers ? mFormerSlots : mOptions.slots;
  const auto electors = std::min(mOptions.electors, slots.size());
  const auto majority = MajorityOf(electors);
  // So many slots may be missing, and any majority that decided on a key
  // still has a member among those that were copied. A register that lost
  // its own memory needs one copy more.
  const auto lost = remembers ? 0 : electors - majority;
  const bool possible = remembers || electors > majority;
  const auto spare = remembers ? majority - 1 : (possible ? lost - 1 : 0);
  auto heard = mCopied;
  if (remembers) {
    heard.insert(mRemembering.begin(), mRemembering.end());
  }
  mComplete = possible && Unheard(slots, heard) <= spare;
  // Nobody can know more than all who were heard do.
  heard.insert(mRemembering.begin(), mRemembering.end());
  heard.insert(mIncomplete.begin(), mIncomplete.end());
  const bool heardAll = !remembers && Unheard(slots, heard) <= spare;
  mComplete = mComplete || (mOptions.firstStart && heardAll);
  if (mComplete) {
    mFormerSlots.clear();
  }
}

bool
Register::Complete(TimePoint aNow) const
{
  return mComplete || aNow - mOptions.started >= mOptions.lifetime;
}

void
Register::Merge(const wire::CopiedKey& aKey, TimePoint aNow)
{
  const auto seen = aNow - Milliseconds(aKey.ageMillis);
  const auto [at, fresh] = mKeys.try_emplace(aKey.key);
  if (fresh || seen < at->second.firstSeen) {
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
Register::Restart(wire::Incarnation aIncarnation)
{
  mOptions.incarnation = aIncarnation;
  mCopied.clear();
  mRemembering.clear();
  mIncomplete.clear();
  mComplete = false;
  mFormerSlots.clear();
}

bool
Register::HasCopyOf(const std::string& aSlot) const
{
  return mCopied.count(aSlot) > 0;
}

bool
Register::ReadyAmong(const std::vector<std::string>& aSlots) const
{
  std::size_t copied = 0;
  for (const auto& slot : aSlots) {
    copied += mCopied.count(slot);
  }
  return copied >= MajorityOf(aSlots.size());
}

bool
Register::Ready(const Electorate& aElectorate, TimePoint aNow) const
{
  if (!aElectorate.Contains(mOptions.slot)) {
    return false;
  }
  const bool settled = mFormerSlots.empty();
  return Complete(aNow) || (settled && ReadyAmong(aElectorate.slots));
}

void
Register::Configure(std::vector<std::string> aSlots,
                    std::size_t aElectors,
                    Duration aLifetime,
                    bool aFirstStart)
{
  const bool changed =
    aSlots != mOptions.slots || aElectors != mOptions.electors;
  if (changed && !mOptions.slots.empty()) {
    // A register that is not complete yet still misses its earliest slots.
    if (mComplete) {
      mFormerSlots = mOptions.slots;
    }
    mComplete = false;
    mCopied.clear();
    mRemembering.clear();
    mIncomplete.clear();
  }
  mOptions.slots = std::move(aSlots);
  mOptions.electors = aElectors;
  mOptions.lifetime = aLifetime;
  mOptions.firstStart = aFirstStart;
  JudgeCompleteness();
}

void
Register::Forget(TimePoint aNow)
{
  std::erase_if(mKeys, [&](const auto& aEntry) {
    return aNow - aEntry.second.firstSeen >= mOptions.lifetime;
  });
}

void
Register::Fingerprint(std::string& aOut) const
{
  const auto add = [&](std::uint64_t aValue) {
    aOut += std::to_string(aValue) + ",";
  };
  add(mOptions.incarnation.number);
  for (const auto& [slot, life] : mLives) {
    aOut += slot;
    add(life.number);
  }
  for (const auto& slot : mCopied) {
    aOut += "c" + slot;
  }
  for (const auto& slot : mRemembering) {
    aOut += "r" + slot;
  }
  for (const auto& slot : mIncomplete) {
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
