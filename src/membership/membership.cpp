// Implementation of probing, suspicion and gossip.
#include "magnoliatide/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace magnoliatide::membership {

namespace {

/// Messages that an update is piggybacked on, for each doubling of the number
/// of VMs.
constexpr int kSendsPerDoubling = 3;
constexpr int kPushTargets = 3;  ///< Members that PushGossip() sends to.
constexpr int kLeaveTargets = 5; ///< Members that Leave() sends to.
/// A VM that has learned of another one within this time may lack more of them.
constexpr Duration kLearningTime = Milliseconds(500);
/// Time between removals of expired rumours and records.
constexpr Duration kExpiryPeriod = Seconds(10);

bool
IsLive(wire::MemberState aState)
{
  return aState == wire::MemberState::kAlive ||
         aState == wire::MemberState::kSuspect;
}

} // namespace

const char*
Name(wire::MemberState aState)
{
  switch (aState) {
    case wire::MemberState::kAlive:
      return "alive";
    case wire::MemberState::kSuspect:
      return "suspect";
    case wire::MemberState::kDead:
      return "dead";
    case wire::MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

bool
Replaces(const wire::MemberRecord& aNew, const wire::MemberRecord& aOld)
{
  if (aNew.incarnation != aOld.incarnation) {
    return aNew.incarnation > aOld.incarnation;
  }
  if (aNew.process != aOld.process) {
    return aNew.process > aOld.process;
  }
  return aNew.state > aOld.state;
}

Membership::Membership(MembershipOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mRumours(mOptions.rumourLifetime)
  , mSeeds(mOptions.seeds)
{
}

std::vector<OutgoingMessage>
Membership::Tick(TimePoint aNow)
{
  std::vector<OutgoingMessage> out;
  if (mStarted == TimePoint{}) {
    mStarted = aNow;
    mNextProbeTime = aNow;
    mNextDeadProbe = aNow;
    mLastTick = aNow;
  }
  CheckPause(aNow);
  ExpireProbes(aNow, out);
  ExpireSuspicions(aNow);
  if (aNow >= mNextExpiry) {
    mNextExpiry = aNow + kExpiryPeriod;
    RemoveExpired(aNow);
  }
  if (aNow >= mNextProbeTime) {
    mNextProbeTime = aNow + mOptions.probePeriod;
    ProbeNext(aNow, out);
  }
  if (aNow >= mNextDeadProbe) {
    // A VM that is alone may have started before the seeds.
    mNextDeadProbe = aNow + (LiveOthers().empty() ? mOptions.probePeriod
                                                  : mOptions.deadProbePeriod);
    ProbeDeadAndSeeds(aNow, out);
  }
  SyncWhileLearning(aNow);
  return out;
}

/// Asks for exchanges of the full state while this VM learns of others. If
/// hundreds of VMs start together, messages with a few records each take tens
/// of seconds to make all of them known to each other.
void
Membership::SyncWhileLearning(TimePoint aNow)
{
  const bool learning =
    mLearnedAt != TimePoint{} && aNow - mLearnedAt < kLearningTime;
  if (!learning || aNow < mNextLearningSync ||
      mMembers.size() <= mOptions.membersPerMessage) {
    return;
  }
  const auto others = LiveOthers();
  if (others.empty()) {
    return;
  }
  mNextLearningSync = aNow + mOptions.probePeriod;
  std::uniform_int_distribution<std::size_t> draw(0, others.size() - 1);
  mSyncPeers.push_back(mMembers.at(others[draw(mRandom)]).record.address);
}

void
Membership::CheckPause(TimePoint aNow)
{
  const bool paused = aNow - mLastTick > mOptions.pauseThreshold;
  mLastTick = aNow;
  if (!paused) {
    return;
  }
  // Timeouts that ran during the pause say nothing about the other VMs, as
  // their answers may still be unread.
  mPauseDetected = true;
  mProbes.clear();
  for (auto& [slot, member] : mMembers) {
    member.suspectedAt = aNow;
  }
}

void
Membership::ExpireProbes(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
{
  for (auto at = mProbes.begin(); at != mProbes.end();) {
    auto& [number, probe] = *at;
    const Duration age = aNow - probe.sentAt;
    if (age >= mOptions.probePeriod && probe.requesterAddress.empty()) {
      const auto member = mMembers.find(probe.slot);
      const bool alive =
        member != mMembers.end() &&
        member->second.record.state == wire::MemberState::kAlive;
      if (alive) {
        SetState(member->second, wire::MemberState::kSuspect, aNow);
      }
      at = mProbes.erase(at);
      continue;
    }
    // A probe requested by another VM is dropped without a suspicion.
    if (age >= mOptions.probePeriod * 2) {
      at = mProbes.erase(at);
      continue;
    }
    if (age >= mOptions.probeTimeout && !probe.indirectSent &&
        probe.requesterAddress.empty()) {
      probe.indirectSent = true;
      SendProbeRequests(number, probe, aOut);
    }
    ++at;
  }
}

void
Membership::SendProbeRequests(std::uint64_t aNumber,
                              const PendingProbe& aProbe,
                              std::vector<OutgoingMessage>& aOut)
{
  const auto target = mMembers.find(aProbe.slot);
  if (target == mMembers.end()) {
    return;
  }
  auto others = LiveOthers();
  std::shuffle(others.begin(), others.end(), mRandom);
  int requested = 0;
  for (const auto& slot : others) {
    if (slot == aProbe.slot || requested == mOptions.indirectProbes) {
      continue;
    }
    requested += 1;
    aOut.push_back({ mMembers.at(slot).record.address,
                     wire::ProbeRequest{
                       aNumber, aProbe.slot, target->second.record.address } });
  }
  // Probe directly once more, as the first probe may have been lost.
  aOut.push_back({ target->second.record.address,
                   wire::Probe{ aNumber, NextGossip(aProbe.slot) } });
}

void
Membership::ExpireSuspicions(TimePoint aNow)
{
  for (auto& [slot, member] : mMembers) {
    const bool due = member.record.state == wire::MemberState::kSuspect &&
                     aNow - member.suspectedAt >= mOptions.suspicionTimeout;
    if (due) {
      SetState(member, wire::MemberState::kDead, aNow);
    }
  }
}

void
Membership::RemoveExpired(TimePoint aNow)
{
  mRumours.Expire(aNow);
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const auto& [slot, member] = aEntry;
    const bool expired = !IsLive(member.record.state) &&
                         aNow - member.departedAt >= mOptions.departedRetention;
    if (expired) {
      mPendingUpdates.erase(slot);
    }
    return expired;
  });
}

/// Returns a record to be sent, with the time since the VM died or left.
wire::MemberRecord
Membership::RecordWithAge(const Member& aMember, TimePoint aNow) const
{
  auto record = aMember.record;
  record.departedSeconds =
    IsLive(record.state) ? 0 : WholeSecondsSince(aMember.departedAt, aNow);
  return record;
}

void
Membership::SetState(Member& aMember, wire::MemberState aState, TimePoint aNow)
{
  const auto from = aMember.record.state;
  aMember.record.state = aState;
  aMember.suspectedAt = aNow;
  aMember.departedAt = aNow;
  QueueUpdate(aMember.record.slot);
  mChanges.push_back({ aMember.record, from });
}

void
Membership::ProbeNext(TimePoint aNow, std::vector<OutgoingMessage>& aOut)
{
  if (mProbeRound.empty()) {
    mProbeRound = LiveOthers();
    std::shuffle(mProbeRound.begin(), mProbeRound.end(), mRandom);
  }
  while (!mProbeRound.empty()) {
    const auto slot = mProbeRound.back();
    mProbeRound.pop_back();
    const auto found = mMembers.find(slot);
    if (found != mMembers.end() && IsLive(found->second.record.state)) {
      SendProbe(slot, found->second.record.address, aNow, aOut);
      return;
    }
  }
}

void
Membership::ProbeDeadAndSeeds(TimePoint aNow,
                              std::vector<OutgoingMessage>& aOut)
{
  std::vector<std::string> addresses;
  for (const auto& [slot, member] : mMembers) {
    if (member.record.state == wire::MemberState::kDead) {
      addresses.push_back(member.record.address);
    }
  }
  for (const auto& seed : mSeeds) {
    const bool known =
      std::any_of(mMembers.begin(), mMembers.end(), [&](const auto& aEntry) {
        return aEntry.second.record.address == seed;
      });
    if (!known && seed != mOptions.self.address) {
      addresses.push_back(seed);
    }
  }
  if (addresses.empty()) {
    return;
  }
  std::shuffle(addresses.begin(), addresses.end(), mRandom);
  const auto tries = std::min<std::size_t>(addresses.size(), 3);
  for (std::size_t i = 0; i < tries; ++i) {
    SendProbe("", addresses[i], aNow, aOut);
  }
}

void
Membership::SendProbe(const std::string& aSlot,
                      const std::string& aAddress,
                      TimePoint aNow,
                      std::vector<OutgoingMessage>& aOut)
{
  const auto number = mNextProbeNumber++;
  if (!aSlot.empty()) {
    mProbes[number] = { aSlot, aNow, false, "", 0 };
  }
  aOut.push_back({ aAddress, wire::Probe{ number, NextGossip(aSlot) } });
}

std::vector<OutgoingMessage>
Membership::Receive(const wire::Header& aHeader,
                    const wire::DatagramBody& aBody,
                    TimePoint aNow)
{
  std::vector<OutgoingMessage> out;
  ApplyRecord(aHeader.sender, aNow);
  if (const auto* probe = std::get_if<wire::Probe>(&aBody)) {
    ApplyGossip(probe->gossip, aNow);
    CompareDigest(aHeader, probe->gossip);
    out.push_back(
      { aHeader.sender.address,
        wire::ProbeAck{ probe->number, NextGossip(aHeader.sender.slot) } });
  } else if (const auto* ack = std::get_if<wire::ProbeAck>(&aBody)) {
    ApplyGossip(ack->gossip, aNow);
    CompareDigest(aHeader, ack->gossip);
    HandleAck(ack->number, out);
  } else if (const auto* request = std::get_if<wire::ProbeRequest>(&aBody)) {
    const auto number = mNextProbeNumber++;
    mProbes[number] = {
      request->targetSlot, aNow, true, aHeader.sender.address, request->number
    };
    out.push_back({ request->targetAddress,
                    wire::Probe{ number, NextGossip(request->targetSlot) } });
  }
  return out;
}

void
Membership::HandleAck(std::uint64_t aNumber, std::vector<OutgoingMessage>& aOut)
{
  const auto found = mProbes.find(aNumber);
  if (found == mProbes.end()) {
    return;
  }
  const auto probe = found->second;
  mProbes.erase(found);
  if (!probe.requesterAddress.empty()) {
    aOut.push_back(
      { probe.requesterAddress, wire::ProbeAck{ probe.requesterNumber, {} } });
  }
}

void
Membership::CompareDigest(const wire::Header& aHeader,
                          const wire::Gossip& aGossip)
{
  if (aGossip.rumourDigest != mRumours.Digest()) {
    mSyncPeers.push_back(aHeader.sender.address);
  }
}

void
Membership::ApplyGossip(const wire::Gossip& aGossip, TimePoint aNow)
{
  for (const auto& record : aGossip.members) {
    ApplyRecord(record, aNow);
  }
  for (const auto& rumour : aGossip.rumours) {
    Spread(rumour, aNow);
  }
}

void
Membership::MergeGossip(const wire::Gossip& aGossip, TimePoint aNow)
{
  ApplyGossip(aGossip, aNow);
}

void
Membership::ApplyRecord(const wire::MemberRecord& aRecord, TimePoint aNow)
{
  if (aRecord.slot == mOptions.self.slot) {
    ApplyOwnRecord(aRecord, aNow);
    return;
  }
  const TimePoint departedAt = aNow - Seconds(aRecord.departedSeconds);
  const auto found = mMembers.find(aRecord.slot);
  if (found == mMembers.end()) {
    if (!IsLive(aRecord.state) &&
        aNow - departedAt >= mOptions.departedRetention) {
      return;
    }
    mMembers[aRecord.slot] = { aRecord, aNow, departedAt };
    mLearnedAt = aNow;
    QueueUpdate(aRecord.slot);
    mChanges.push_back({ aRecord, wire::MemberState::kDead });
    return;
  }
  auto& member = found->second;
  if (!Replaces(aRecord, member.record)) {
    // The stored record wins. If it says that the member is not alive or that
    // another process has the slot, it is sent out again, so that the member
    // learns of it and raises its incarnation.
    const bool notAlive = member.record.state != wire::MemberState::kAlive;
    const bool otherProcess = member.record.process != aRecord.process;
    if ((notAlive || otherProcess) &&
        aRecord.state == wire::MemberState::kAlive) {
      QueueUpdate(aRecord.slot);
    }
    return;
  }
  const auto from = member.record.state;
  member.record = aRecord;
  member.suspectedAt = aNow;
  member.departedAt = departedAt;
  QueueUpdate(aRecord.slot);
  mChanges.push_back({ aRecord, from });
}

void
Membership::ApplyOwnRecord(const wire::MemberRecord& aRecord, TimePoint aNow)
{
  auto& self = mOptions.self;
  if (aRecord.process == self.process) {
    const bool mustRefute = aRecord.state != wire::MemberState::kAlive &&
                            self.state == wire::MemberState::kAlive &&
                            aRecord.incarnation >= self.incarnation;
    if (mustRefute) {
      self.incarnation = aRecord.incarnation + 1;
      QueueUpdate(self.slot);
    }
    return;
  }
  if (!Replaces(aRecord, self)) {
    QueueUpdate(self.slot);
    return;
  }
  if (mStarted == TimePoint{} || aNow - mStarted < mOptions.joinPeriod) {
    self.incarnation = aRecord.incarnation + 1;
    QueueUpdate(self.slot);
    return;
  }
  mSuperseded = true;
}

void
Membership::QueueUpdate(const std::string& aSlot)
{
  mPendingUpdates[aSlot] = SendsPerUpdate();
}

int
Membership::SendsPerUpdate() const
{
  const auto vms = static_cast<double>(mMembers.size() + 2);
  return kSendsPerDoubling * static_cast<int>(std::ceil(std::log2(vms)));
}

wire::Gossip
Membership::NextGossip(const std::string& aReceiver)
{
  wire::Gossip gossip;
  gossip.rumourDigest = mRumours.Digest();
  // The receiver's own record goes first if this VM does not consider the
  // receiver alive, so that the receiver can refute it.
  const auto receiver = mMembers.find(aReceiver);
  if (receiver != mMembers.end() &&
      receiver->second.record.state != wire::MemberState::kAlive) {
    gossip.members.push_back(RecordWithAge(receiver->second, mLastTick));
  }
  std::vector<std::pair<int, std::string>> queue;
  // Updates with the most sends left go first.
  for (const auto& [slot, sendsLeft] : mPendingUpdates) {
    queue.push_back({ -sendsLeft, slot });
  }
  std::sort(queue.begin(), queue.end());
  for (const auto& [order, slot] : queue) {
    if (gossip.members.size() >= mOptions.membersPerMessage) {
      break;
    }
    const auto found = mMembers.find(slot);
    gossip.members.push_back(found == mMembers.end()
                               ? mOptions.self
                               : RecordWithAge(found->second, mLastTick));
    if (--mPendingUpdates[slot] <= 0) {
      mPendingUpdates.erase(slot);
    }
  }
  gossip.rumours = mRumours.Next(mOptions.rumoursPerMessage, mLastTick);
  return gossip;
}

bool
Membership::Spread(const wire::Rumour& aRumour, TimePoint aNow)
{
  const bool isNew = mRumours.Add(aRumour, SendsPerUpdate(), aNow);
  if (isNew) {
    mNewRumours.push_back(aRumour);
  }
  return isNew;
}

std::vector<OutgoingMessage>
Membership::PushGossip(TimePoint aNow)
{
  std::vector<OutgoingMessage> out;
  auto others = LiveOthers();
  std::shuffle(others.begin(), others.end(), mRandom);
  const auto count = std::min<std::size_t>(others.size(), kPushTargets);
  for (std::size_t i = 0; i < count; ++i) {
    SendProbe(others[i], mMembers.at(others[i]).record.address, aNow, out);
  }
  return out;
}

std::vector<OutgoingMessage>
Membership::Leave()
{
  mOptions.self.state = wire::MemberState::kLeft;
  QueueUpdate(mOptions.self.slot);
  std::vector<OutgoingMessage> out;
  auto others = LiveOthers();
  std::shuffle(others.begin(), others.end(), mRandom);
  const auto count = std::min<std::size_t>(others.size(), kLeaveTargets);
  for (std::size_t i = 0; i < count; ++i) {
    wire::Gossip gossip;
    gossip.members.push_back(mOptions.self);
    gossip.rumourDigest = mRumours.Digest();
    out.push_back({ mMembers.at(others[i]).record.address,
                    wire::Probe{ mNextProbeNumber++, std::move(gossip) } });
  }
  return out;
}

std::vector<std::string>
Membership::LiveOthers() const
{
  std::vector<std::string> slots;
  for (const auto& [slot, member] : mMembers) {
    if (IsLive(member.record.state)) {
      slots.push_back(slot);
    }
  }
  return slots;
}

std::vector<wire::MemberRecord>
Membership::LiveMembers() const
{
  std::vector<wire::MemberRecord> records;
  if (mOptions.self.state == wire::MemberState::kAlive) {
    records.push_back(mOptions.self);
  }
  for (const auto& [slot, member] : mMembers) {
    if (IsLive(member.record.state)) {
      records.push_back(member.record);
    }
  }
  return records;
}

std::vector<wire::MemberRecord>
Membership::AllMembers() const
{
  std::vector<wire::MemberRecord> records{ mOptions.self };
  for (const auto& [slot, member] : mMembers) {
    records.push_back(RecordWithAge(member, mLastTick));
  }
  return records;
}

wire::Gossip
Membership::FullState() const
{
  wire::Gossip gossip;
  gossip.members = AllMembers();
  gossip.rumours = mRumours.AllRumours(mLastTick);
  gossip.rumourDigest = mRumours.Digest();
  return gossip;
}

void
Membership::AddSeeds(const std::vector<std::string>& aAddresses)
{
  for (const auto& address : aAddresses) {
    if (std::find(mSeeds.begin(), mSeeds.end(), address) == mSeeds.end()) {
      mSeeds.push_back(address);
    }
  }
}

const wire::Rumour*
Membership::FindRumour(wire::RumourKind aKind, const std::string& aKey) const
{
  return mRumours.Find(aKind, aKey);
}

std::vector<MemberChange>
Membership::TakeChanges()
{
  return std::exchange(mChanges, {});
}

std::vector<wire::Rumour>
Membership::TakeNewRumours()
{
  return std::exchange(mNewRumours, {});
}

std::vector<std::string>
Membership::TakeSyncPeers()
{
  return std::exchange(mSyncPeers, {});
}

bool
Membership::TakePauseDetected()
{
  return std::exchange(mPauseDetected, false);
}

} // namespace magnoliatide::membership
