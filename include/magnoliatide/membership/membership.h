// Which VMs are alive. Each VM probes the others in turn over UDP, directly
// and through helpers, suspects before it declares dead, and spreads what it
// learns on the probes themselves. A state machine without I/O.
#ifndef MAGNOLIATIDE_MEMBERSHIP_MEMBERSHIP_H
#define MAGNOLIATIDE_MEMBERSHIP_MEMBERSHIP_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/membership/rumours.h"
#include "magnoliatide/wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::membership {

struct MembershipOptions
{
  wire::MemberRecord self;
  std::vector<std::string> seeds;           ///< Addresses to probe while alone.
  Duration period = Milliseconds(200);      ///< Between probes.
  Duration probeTimeout = Milliseconds(80); ///< Until helpers are asked.
  Duration suspicionTime = Milliseconds(1500);
  Duration retryDead = Seconds(1); ///< Between probes of lost VMs and seeds.
  Duration joinTime = Seconds(3);  ///< In which a start may claim its slot.
  /// A step of time longer than this means that the process was paused.
  Duration pauseBound = Milliseconds(700);
  /// How long a rumour is held: longer than a request that crashed servers is
  /// refused, and than a server takes to leave.
  Duration rumourMemory = std::chrono::minutes(40);
  /// How long a VM that died or left is remembered: while it is, the others
  /// leave it its part of quotas, as it may serve elsewhere.
  Duration goneMemory = std::chrono::hours(1);
  int helpers = 3;
  std::size_t membersPerMessage = 8;
  std::size_t rumoursPerMessage = 8;
  std::uint64_t seed = 1;
};

/// A message to an address.
struct Outgoing
{
  std::string address;
  wire::DatagramBody body;
};

/// A change that other parts must know of.
struct MemberChange
{
  wire::MemberRecord record;
  wire::MemberState from = wire::MemberState::kDead;
};

class Membership
{
public:
  explicit Membership(MembershipOptions aOptions);

  /// Does what time brings. Called every few milliseconds.
  std::vector<Outgoing> Tick(TimePoint aNow);

  /// Takes a message.
  std::vector<Outgoing> Receive(const wire::Header& aHeader,
                                const wire::DatagramBody& aBody,
                                TimePoint aNow);

  /// Adds rumours and records from a full exchange.
  void Absorb(const wire::Gossip& aGossip, TimePoint aNow);

  /// Returns all members and rumours, for a full exchange.
  wire::Gossip Everything() const;

  /// Adds addresses to probe while they belong to no live member.
  void AddSeeds(const std::vector<std::string>& aAddresses);

  /// Makes a rumour known. Returns whether it was news.
  bool Spread(const wire::Rumour& aRumour, TimePoint aNow);

  /// Sends gossip to a few members at once, without waiting for the next
  /// probe.
  std::vector<Outgoing> Push(TimePoint aNow);

  /// Announces a planned stop.
  std::vector<Outgoing> Leave();

  /// Returns live and suspected members, this one included.
  std::vector<wire::MemberRecord> Live() const;

  /// Returns every record, this one's included.
  std::vector<wire::MemberRecord> All() const;

  const wire::Rumour* FindRumour(wire::RumourKind aKind,
                                 const std::string& aKey) const;

  std::vector<MemberChange> TakeChanges();
  std::vector<wire::Rumour> TakeNews();

  /// Returns members whose rumours differ from this one's.
  std::vector<std::string> TakeSyncPeers();

  /// Returns and resets whether the process was paused.
  bool TakeWoke();

  /// Returns whether a newer process has this one's slot.
  bool Superseded() const { return mSuperseded; }

  const wire::MemberRecord& Self() const { return mOptions.self; }

private:
  struct Member
  {
    wire::MemberRecord record;
    TimePoint suspectedAt{};
    TimePoint goneAt{}; ///< When it died or left, if it has.
  };

  struct PendingProbe
  {
    std::string slot;
    TimePoint sentAt;
    bool helped = false;
    /// For a probe on behalf of another VM: whom to tell, and its number.
    std::string askedBy;
    std::uint64_t askedNumber = 0;
  };

  void ApplyRecord(const wire::MemberRecord& aRecord, TimePoint aNow);
  void ApplyOwnRecord(const wire::MemberRecord& aRecord, TimePoint aNow);
  void ApplyGossip(const wire::Gossip& aGossip, TimePoint aNow);
  void NoteDigest(const wire::Header& aHeader, const wire::Gossip& aGossip);
  void SetState(Member& aMember, wire::MemberState aState, TimePoint aNow);
  void CheckPause(TimePoint aNow);
  void ExpireProbes(TimePoint aNow, std::vector<Outgoing>& aOut);
  void ExpireSuspicions(TimePoint aNow);
  void ProbeNext(TimePoint aNow, std::vector<Outgoing>& aOut);
  void ProbeLost(TimePoint aNow, std::vector<Outgoing>& aOut);
  void SendProbe(const std::string& aSlot,
                 const std::string& aAddress,
                 TimePoint aNow,
                 std::vector<Outgoing>& aOut);
  void AskHelpers(std::uint64_t aNumber,
                  const PendingProbe& aProbe,
                  std::vector<Outgoing>& aOut);
  void Acknowledged(std::uint64_t aNumber, std::vector<Outgoing>& aOut);
  wire::Gossip NextGossip(const std::string& aReceiver);
  void QueueUpdate(const std::string& aSlot);
  int SendsFor() const;
  std::vector<std::string> LiveOthers() const;
  void Forget(TimePoint aNow);
  wire::MemberRecord RecordOf(const Member& aMember, TimePoint aNow) const;

  MembershipOptions mOptions;
  std::mt19937_64 mRandom;
  /// Every slot ever heard of but the own one.
  std::map<std::string, Member> mMembers;
  /// Records that still ride on messages, with the sends left for each.
  std::map<std::string, int> mUpdates;
  Rumours mRumours;
  std::map<std::uint64_t, PendingProbe> mProbes;
  std::vector<std::string> mSeeds;
  std::vector<std::string> mRound; ///< Members left to probe this round.
  std::vector<MemberChange> mChanges;
  std::vector<wire::Rumour> mNews;
  std::vector<std::string> mSyncPeers;
  std::uint64_t mNextProbe = 1;

  TimePoint mStarted{};
  TimePoint mLastTick{};
  TimePoint mNextPeriod{};
  TimePoint mNextLostProbe{};
  TimePoint mNextForget{};
  bool mWoke = false;
  bool mSuperseded = false;
};

/// Returns the stable name of a state, for records.
const char*
Name(wire::MemberState aState);

/// Returns whether a record replaces another of the same slot.
bool
Replaces(const wire::MemberRecord& aNew, const wire::MemberRecord& aOld);

} // namespace magnoliatide::membership

#endif
