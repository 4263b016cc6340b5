// Failure detection among the VMs, following SWIM. Each VM probes the others in
// turn over UDP, directly and then through other VMs. A VM that does not answer
// is suspected first and declared dead after a timeout. Changes are piggybacked
// on the probes as gossip. A state machine without I/O.
#ifndef MAGNOLIATIDE_MEMBERSHIP_MEMBERSHIP_H
#define MAGNOLIATIDE_MEMBERSHIP_MEMBERSHIP_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/membership/rumour_store.h"
#include "magnoliatide/wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::membership {

/// The parameters of the failure detector.
struct MembershipOptions
{
  wire::MemberRecord self;
  /// Addresses to probe while no known member has them.
  std::vector<std::string> seeds;
  /// Time between probes. A VM that has not answered within it is suspected.
  Duration probePeriod = Milliseconds(200);
  /// Time without an answer after which other VMs are requested to probe a VM.
  Duration probeTimeout = Milliseconds(80);
  /// Time after which a VM that is still suspected is declared dead.
  Duration suspicionTimeout = Milliseconds(1500);
  /// Time between probes of dead VMs and seeds.
  Duration deadProbePeriod = Seconds(1);
  /// Time after the start in which a process takes its slot over from another
  /// process by raising its incarnation above the other's. Later, a newer
  /// process in the slot supersedes it.
  Duration joinPeriod = Seconds(3);
  /// Time between two ticks above which the process counts as paused.
  Duration pauseThreshold = Milliseconds(700);
  /// How long a rumour is kept. Longer than the time for which a request that
  /// crashed servers is refused, and than the time a server takes to drain.
  Duration rumourLifetime = std::chrono::minutes(40);
  /// How long the record of a VM that died or left is kept. During this time
  /// the other VMs do not use its share of quotas, as it may still be serving
  /// behind a network partition.
  Duration departedRetention = std::chrono::hours(1);
  int indirectProbes = 3; ///< VMs requested to probe a VM that did not answer.
  std::size_t membersPerMessage = 8;
  std::size_t rumoursPerMessage = 8;
  std::uint64_t seed = 1; ///< Seed of the random number generator.
};

/// A message to be sent to an address.
struct OutgoingMessage
{
  std::string address;
  wire::DatagramBody body;
};

/// A new or changed record of a member.
struct MemberChange
{
  wire::MemberRecord record;
  /// State before the change; kDead for a new member.
  wire::MemberState from = wire::MemberState::kDead;
};

/// The view that one VM has of all VMs. Not thread-safe.
class Membership
{
public:
  explicit Membership(MembershipOptions aOptions);

  /// Expires probes, suspicions and old records, and returns the messages that
  /// are due. To be called every few milliseconds.
  std::vector<OutgoingMessage> Tick(TimePoint aNow);

  /// Processes a message. Returns the replies to send.
  std::vector<OutgoingMessage> Receive(const wire::Header& aHeader,
                                       const wire::DatagramBody& aBody,
                                       TimePoint aNow);

  /// Merges the rumours and records received in a full exchange.
  void MergeGossip(const wire::Gossip& aGossip, TimePoint aNow);

  /// Returns all members and rumours, for a full exchange.
  wire::Gossip FullState() const;

  /// Adds addresses to probe while no known member has them.
  void AddSeeds(const std::vector<std::string>& aAddresses);

  /// Stores a rumour and queues it for gossip. Returns whether it was new or
  /// newer than the stored one.
  bool Spread(const wire::Rumour& aRumour, TimePoint aNow);

  /// Returns probes that carry pending gossip to a few random members, to be
  /// sent without waiting for the next probe period.
  std::vector<OutgoingMessage> PushGossip(TimePoint aNow);

  /// Marks this VM as left. Returns messages that announce its planned stop to
  /// a few random members.
  std::vector<OutgoingMessage> Leave();

  /// Returns the members that are alive or suspected, including this one.
  std::vector<wire::MemberRecord> LiveMembers() const;

  /// Returns the records of all members, including this one's.
  std::vector<wire::MemberRecord> AllMembers() const;

  /// Returns a rumour, or null if it is not known.
  const wire::Rumour* FindRumour(wire::RumourKind aKind,
                                 const std::string& aKey) const;

  /// Returns and clears the changes of member records.
  std::vector<MemberChange> TakeChanges();

  /// Returns and clears the rumours that were stored since the last call.
  std::vector<wire::Rumour> TakeNewRumours();

  /// Returns and clears the addresses of the members whose rumour digest
  /// differs from this VM's, so that a full exchange with them is due.
  std::vector<std::string> TakeSyncPeers();

  /// Returns and resets whether a pause of the process was detected.
  bool TakePauseDetected();

  /// Returns whether a newer process has taken over this one's slot.
  bool Superseded() const { return mSuperseded; }

  const wire::MemberRecord& Self() const { return mOptions.self; }

private:
  struct Member
  {
    wire::MemberRecord record;
    TimePoint suspectedAt{}; ///< Valid in kSuspect.
    TimePoint departedAt{};  ///< Valid in kDead and kLeft.
  };

  struct PendingProbe
  {
    std::string slot;
    TimePoint sentAt;
    bool indirectSent = false; ///< Whether other VMs were requested to probe.
    /// Address of the VM that requested this probe; empty if none did.
    std::string requesterAddress;
    /// Number of the requester's own probe of the same VM.
    std::uint64_t requesterNumber = 0;
  };

  void ApplyRecord(const wire::MemberRecord& aRecord, TimePoint aNow);
  void ApplyOwnRecord(const wire::MemberRecord& aRecord, TimePoint aNow);
  void ApplyGossip(const wire::Gossip& aGossip, TimePoint aNow);
  void CompareDigest(const wire::Header& aHeader, const wire::Gossip& aGossip);
  void SetState(Member& aMember, wire::MemberState aState, TimePoint aNow);
  void CheckPause(TimePoint aNow);
  void ExpireProbes(TimePoint aNow, std::vector<OutgoingMessage>& aOut);
  void ExpireSuspicions(TimePoint aNow);
  void ProbeNext(TimePoint aNow, std::vector<OutgoingMessage>& aOut);
  void SyncWhileLearning(TimePoint aNow);
  void ProbeDeadAndSeeds(TimePoint aNow, std::vector<OutgoingMessage>& aOut);
  void SendProbe(const std::string& aSlot,
                 const std::string& aAddress,
                 TimePoint aNow,
                 std::vector<OutgoingMessage>& aOut);
  void SendProbeRequests(std::uint64_t aNumber,
                         const PendingProbe& aProbe,
                         std::vector<OutgoingMessage>& aOut);
  void HandleAck(std::uint64_t aNumber, std::vector<OutgoingMessage>& aOut);
  wire::Gossip NextGossip(const std::string& aReceiver);
  void QueueUpdate(const std::string& aSlot);
  int SendsPerUpdate() const;
  std::vector<std::string> LiveOthers() const;
  void RemoveExpired(TimePoint aNow);
  wire::MemberRecord RecordWithAge(const Member& aMember, TimePoint aNow) const;

  MembershipOptions mOptions;
  std::mt19937_64 mRandom;
  /// The other members, by slot.
  std::map<std::string, Member> mMembers;
  /// Slots whose record is still to be piggybacked on messages, with the number
  /// of messages left.
  std::map<std::string, int> mPendingUpdates;
  RumourStore mRumours;
  std::map<std::uint64_t, PendingProbe> mProbes;
  std::vector<std::string> mSeeds;
  /// Slots still to be probed in this round.
  std::vector<std::string> mProbeRound;
  std::vector<MemberChange> mChanges;
  std::vector<wire::Rumour> mNewRumours;
  std::vector<std::string> mSyncPeers;
  TimePoint mLearnedAt{}; ///< When a VM became known that was not known before.
  TimePoint mNextLearningSync{};
  std::uint64_t mNextProbeNumber = 1;

  TimePoint mStarted{};
  TimePoint mLastTick{};
  TimePoint mNextProbeTime{};
  TimePoint mNextDeadProbe{};
  TimePoint mNextExpiry{};
  bool mPauseDetected = false;
  bool mSuperseded = false;
};

/// Returns the stable name of a state, as written to the audit records.
const char*
Name(wire::MemberState aState);

/// Returns whether a record supersedes another record of the same slot: by
/// incarnation, then process, then state.
bool
Replaces(const wire::MemberRecord& aNew, const wire::MemberRecord& aOld);

} // namespace magnoliatide::membership

#endif
