// The messages between VMs. Plain values; how they are used is told by the
// packages membership, claims and slots.
#ifndef MAGNOLIATIDE_WIRE_MESSAGES_H
#define MAGNOLIATIDE_WIRE_MESSAGES_H

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace magnoliatide::wire {

enum class MemberState : std::uint8_t
{
  kAlive,
  kSuspect,
  kDead,
  kLeft, ///< Ended by a planned stop.
};

/// What is known of the VM in one slot.
struct MemberRecord
{
  std::string slot;              ///< "zone/name".
  std::string address;           ///< "IP:PORT" for UDP and TCP.
  std::uint64_t process = 0;     ///< Random identity of the process.
  std::uint64_t incarnation = 0; ///< Raised by the process itself only.
  MemberState state = MemberState::kAlive;
  /// Thousandths of a processor that the VM may use; 0: untold.
  std::uint32_t processor = 0;
  std::uint32_t goneSeconds = 0; ///< For which it has been dead or left.
};

/// The document that a VM has in force.
struct DocumentHead
{
  std::uint64_t generation = 0;
  std::string digest; ///< First 16 hexadecimal digits.
};

/// Sent in front of every message.
struct Header
{
  std::uint64_t environment = 0; ///< Hash of the environment's name.
  std::uint64_t sequence = 0;    ///< Rises with each message of a process.
  MemberRecord sender;
  DocumentHead head;
  /// Of the platform's store, up to which the sender knows all published items.
  std::uint64_t revision = 0;
};

enum class RumourKind : std::uint8_t
{
  kBackendState, ///< Key "name@address"; value "leaving" or "serving".
  kSuspect,      ///< Key: a fingerprint; value: a level of suspicion.
};

/// A fact that spreads to all VMs. The higher version stands; of equal
/// versions the greater value.
struct Rumour
{
  RumourKind kind = RumourKind::kBackendState;
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  std::uint32_t ageSeconds = 0; ///< Since it was first told.
};

/// What rides on probes and their answers.
struct Gossip
{
  std::vector<MemberRecord> members;
  std::vector<Rumour> rumours;
  std::uint64_t rumourDigest = 0; ///< Over all rumours that the sender holds.
};

struct Probe
{
  std::uint64_t number = 0;
  Gossip gossip;
};

struct ProbeAck
{
  std::uint64_t number = 0;
  Gossip gossip;
};

/// Asks the receiver to probe another VM.
struct ProbeRequest
{
  std::uint64_t number = 0;
  std::string targetSlot;
  std::string targetAddress;
};

/// Which life of a slot's process speaks. Ordered by number, then process.
struct Incarnation
{
  std::uint64_t number = 0;
  std::uint64_t process = 0;

  bool operator==(const Incarnation&) const = default;
  bool operator<(const Incarnation& aOther) const
  {
    return std::tie(number, process) < std::tie(aOther.number, aOther.process);
  }
  bool operator>(const Incarnation& aOther) const { return aOther < *this; }
};

struct SlotIncarnation
{
  std::string slot;
  Incarnation incarnation;
};

struct Ballot
{
  std::uint32_t round = 0;
  std::uint64_t proposer = 0;

  bool operator==(const Ballot&) const = default;
  bool operator<(const Ballot& aOther) const
  {
    return std::tie(round, proposer) < std::tie(aOther.round, aOther.proposer);
  }
  bool operator>(const Ballot& aOther) const { return aOther < *this; }
};

/// The one send of a key that may run.
struct Owner
{
  std::string slot;
  std::uint64_t process = 0;
  std::uint64_t attempt = 0;
  std::uint64_t fingerprint = 0;

  bool operator==(const Owner&) const = default;
};

/// What became of the call of a key.
enum class KeyOutcome : std::uint8_t
{
  kOpen,     ///< Not known to have ended.
  kNotRun,   ///< Its owner will never send it.
  kAnswered, ///< Its owner has the answer.
  kUnknown,  ///< It was sent; the answer was lost.
};

/// The answer of a call, as far as it is short. Status 0: none.
struct KeyAnswer
{
  std::int32_t status = 0;
  std::string contentType;
  std::string body;
};

/// The first phase of a claim.
struct ClaimPrepare
{
  std::uint64_t proposal = 0;
  std::string key;
  std::uint32_t epoch = 0;      ///< Counts the owners that never sent the call.
  std::uint64_t electorate = 0; ///< Hash of the electorate meant.
  Ballot ballot;
};

/// The second phase of a claim.
struct ClaimAccept
{
  std::uint64_t proposal = 0;
  std::string key;
  std::uint32_t epoch = 0;
  std::uint64_t electorate = 0;
  Ballot ballot;
  Owner owner;
};

enum class Vote : std::uint8_t
{
  kYes,
  kNo,      ///< A higher ballot was promised.
  kAbstain, ///< Not ready, or a different electorate.
};

/// The answer to both phases.
struct ClaimVote
{
  std::uint64_t proposal = 0;
  bool accepting = false; ///< Answers the second phase.
  Ballot ballot;          ///< Of the request.
  Vote vote = Vote::kAbstain;
  Ballot promised;
  bool hasAccepted = false;
  Ballot acceptedBallot;
  Owner accepted;
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
  std::string slot;                   ///< The elector.
  Incarnation incarnation;            ///< Of the elector.
  std::vector<SlotIncarnation> known; ///< Lives of the other electors.
};

/// Tells electors what became of a key.
struct ClaimOutcome
{
  std::string key;
  std::uint32_t epoch = 0;
  Owner owner;
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
};

/// Load of one backend server by one VM.
struct SlotUse
{
  std::uint8_t index = 0; ///< Of the server in its shard, by name.
  std::uint16_t inFlight = 0;
  std::uint16_t finished = 0;
  std::uint16_t late = 0;
  std::uint16_t limit = 0; ///< Last limit that the VM was told; 0 for none.
};

/// A VM's demand on a shard: some of the backend servers of one service and
/// zone. Sender and receiver must have the same document in force.
struct SlotDemand
{
  std::string service;
  std::string zone;
  std::uint16_t shard = 0;
  std::vector<std::uint16_t> waitingByTier;
  std::int8_t shedTier = -1; ///< Highest tier shed lately, or -1.
  std::vector<SlotUse> uses; ///< Servers that the VM does not use are left out.
};

struct SlotGrant
{
  std::uint8_t index = 0;
  std::uint16_t slots = 0;
  std::uint16_t limit = 0;
};

/// The owner's answer to a demand.
struct SlotGrants
{
  std::string service;
  std::string zone;
  std::uint16_t shard = 0;
  std::uint32_t leaseMillis = 0;
  std::int8_t shedTier = -1; ///< Highest tier shed lately in the fleet.
  std::vector<SlotGrant> grants;
};

/// Asks the coordinator where to send a request. Repeated until it is answered;
/// the number tells repetitions from further requests.
struct WorkAsk
{
  std::uint64_t number = 0; ///< Rises with each request of the VM's process.
  std::string service;
  std::string kind;
  std::string team;
  std::int32_t tier = 0;
  float promptTokens = 0;
  float outputTokens = 0;
  bool stream = false;
  float eventTokens = 1; ///< Output tokens of one event.
  std::uint64_t fingerprint = 0;
  std::uint32_t ageMillis = 0; ///< Since the request arrived.
  std::uint32_t targetMillis = 0;
  std::uint32_t gapMillis = 0;
  std::uint32_t leftMillis = 0; ///< Until an answer is of no use.
  std::vector<std::string> avoid;
  std::uint8_t arrivals = 0;
  bool failed = false; ///< A server answered it with a failure of its own.
  bool spare = false;  ///< It may be sent once more if its server fails it.
  float units = 0;     ///< To take of the team's quota.
};

enum class WorkDecision : std::uint8_t
{
  kWait,
  kSend,
  kNoServer,
  kTooLate,
  kOverQuota,
  kNoRetry, ///< The fleet has repeated enough requests for now.
  kHarmful, ///< It ended the servers that ran it.
};

/// The coordinator's answer to an ask.
struct WorkVerdict
{
  std::uint64_t number = 0;
  WorkDecision decision = WorkDecision::kWait;
  std::string server;
  bool probe = false; ///< The server is being tried: nothing kept may be used.
  std::uint32_t retryAfterMillis = 0;
  std::string why;
};

/// Tells the coordinator that a request no longer waits.
struct WorkWithdraw
{
  std::uint64_t number = 0;
};

/// Tells the coordinator how far a send is.
struct WorkProgress
{
  std::uint64_t number = 0;
  bool ended = false; ///< Else the first event came.
  std::uint8_t result = 0;
  float outputTokens = 0;
  float laterTokens = 0;
  std::uint32_t toFirstMicros = 0;
  std::uint32_t toEndMicros = 0;
};

/// A request that a VM has sent and that has not ended.
struct WorkRunning
{
  std::uint64_t number = 0;
  std::uint8_t service = 0; ///< Index in the report's names.
  std::uint8_t server = 0;  ///< The same.
  float promptTokens = 0;
  float outputTokens = 0;
  std::uint16_t gapMillis = 0;
  std::uint32_t ageMillis = 0; ///< Since it was sent.
  bool stream = false;
  bool firstSeen = false;
};

/// Units of a team's quota that a VM was allowed by others than the coordinator
/// that it reports to, in the last window of the quota.
struct QuotaUse
{
  std::string team;
  float units = 0;
};

/// Requests that a VM sent as others than that coordinator allowed, in the last
/// window of the retry budget.
struct RetryUse
{
  std::string service;
  std::uint32_t requests = 0;
  std::uint32_t repeats = 0;
};

/// Sent to the coordinator from time to time, so that it forgets what ended
/// unheard and learns what was decided elsewhere.
struct WorkReport
{
  std::vector<std::string> names;
  std::vector<WorkRunning> running;
  bool complete = true; ///< All running requests are named.
  std::vector<QuotaUse> quotas;
  std::vector<RetryUse> retries;
  std::uint32_t ageMillis = 0; ///< Since the VM's process started.
};

/// Something that is published in the platform's store.
struct PublishedItem
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0; ///< Of the store, at the item's last change.
  bool removed = false;
};

/// Items that changed after one revision of the store and up to another.
struct PublishedItems
{
  std::uint64_t after = 0;
  std::uint64_t upTo = 0;
  bool reads = false; ///< The sender reads the store itself, which answers.
  std::uint32_t upMillis = 0; ///< For which it has answered, if it does.
  /// The answer to a request goes on beyond this revision; 0: it is whole. Of
  /// a part that is followed by others, upTo claims nothing.
  std::uint64_t partUpTo = 0;
  std::uint64_t source = 0; ///< The process that answers a request.
  /// All items are named, as not all removals after the revision asked for are
  /// known: what is not named is removed.
  bool whole = false;
  std::vector<PublishedItem> items;
};

/// Asks for what changed after a revision, or for the next part of the answer.
struct PublishedRequest
{
  std::uint64_t after = 0;
  std::uint64_t beyond = 0; ///< Where the part before ended; 0: there is none.
};

/// Sent by UDP.
using DatagramBody = std::variant<Probe,
                                  ProbeAck,
                                  ProbeRequest,
                                  ClaimPrepare,
                                  ClaimAccept,
                                  ClaimVote,
                                  ClaimOutcome,
                                  SlotDemand,
                                  SlotGrants,
                                  WorkAsk,
                                  WorkVerdict,
                                  WorkWithdraw,
                                  WorkProgress,
                                  WorkReport,
                                  PublishedItems>;

/// Asks for the document in force.
struct DocumentRequest
{
  DocumentHead have; ///< The asking VM's; generation 0 for none.
};

/// Sections of the asking VM's document to keep, followed by new text.
struct DocumentPart
{
  std::uint32_t first = 0;
  std::uint32_t count = 0;
  std::string text;
};

struct DocumentReply
{
  DocumentHead base; ///< What the parts build on; generation 0 for nothing.
  std::vector<DocumentPart> parts;
};

/// Exchanges all members and rumours.
struct SyncRequest
{
  Gossip gossip;
};

struct SyncReply
{
  Gossip gossip;
};

/// Asks an elector for a copy of its register, for a slot that starts with
/// nothing. The asked one notes the incarnation before it copies.
struct CopyRequest
{
  std::string slot;
  Incarnation incarnation;
  std::string after; ///< Copy keys greater than this one.
};

struct CopiedEpoch
{
  std::uint32_t epoch = 0;
  Ballot promised;
  bool hasAccepted = false;
  Ballot acceptedBallot;
  Owner accepted;
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
};

struct CopiedKey
{
  std::string key;
  std::uint32_t ageMillis = 0; ///< Since the key was first seen.
  std::vector<CopiedEpoch> epochs;
};

struct CopyReply
{
  bool refused = false;        ///< The incarnation is not the latest.
  Incarnation latest;          ///< Of the asking slot, as known.
  bool incomplete = false;     ///< The asked one is itself still copying.
  bool remembers = false;      ///< It never lost what it accepted itself.
  std::uint64_t slotsHash = 0; ///< Of all slots in the asked one's document.
  std::vector<CopiedKey> keys;
  bool more = false; ///< Ask again after the last key.
  std::vector<SlotIncarnation> known;
};

/// Asks the owner of a key what became of its attempt.
struct OutcomeRequest
{
  std::uint64_t process = 0;
  std::uint64_t attempt = 0;
};

struct OutcomeReply
{
  bool known = false; ///< False if the process is not the one asked for.
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
};

/// Sent by TCP.
using FrameBody = std::variant<DocumentRequest,
                               DocumentReply,
                               SyncRequest,
                               SyncReply,
                               CopyRequest,
                               CopyReply,
                               OutcomeRequest,
                               OutcomeReply,
                               PublishedRequest,
                               PublishedItems>;

} // namespace magnoliatide::wire

#endif
