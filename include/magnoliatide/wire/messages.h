// Messages exchanged between VMs, as plain structs. Their encoding is in
// codec.cpp. The folders membership, claims, slots and fleet implement the
// protocols.
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
  kLeft, ///< Stopped as planned.
};

/// Membership state of the VM in one slot.
struct MemberRecord
{
  std::string slot;              ///< "zone/name".
  std::string address;           ///< "IP:PORT" for UDP and TCP.
  std::uint64_t process = 0;     ///< Random id of the process.
  std::uint64_t incarnation = 0; ///< Incremented only by that process.
  MemberState state = MemberState::kAlive;
  /// CPU share of the VM in thousandths of a processor; 0 if not reported.
  std::uint32_t cpuMillicores = 0;
  std::uint32_t departedSeconds = 0; ///< Time since it died or left.
};

/// Identifies a version of the configuration document.
struct DocumentVersion
{
  std::uint64_t generation = 0;
  std::string digest; ///< First 16 hexadecimal digits of the text's SHA-256.
};

/// Precedes the body of every message.
struct Header
{
  std::uint64_t environment = 0; ///< Hash of the environment's name.
  std::uint64_t sequence = 0;    ///< Increases with each message of a process.
  MemberRecord sender;
  DocumentVersion documentVersion; ///< Active on the sender.
  /// Revision of the platform's store up to which the sender's replica is
  /// complete.
  std::uint64_t revision = 0;
};

enum class RumourKind : std::uint8_t
{
  kBackendState, ///< Key "name@address"; value "leaving" or "serving".
  kSuspect,      ///< Key: a request fingerprint; value: a suspect level.
  /// Key: a crash of a server and the VM that reports it; value: the traits of
  /// the interrupted requests, with "!" after those that were run in a trial.
  kCrash,
  kCleared, ///< Key: a trait that does not crash servers; no value.
};

/// A fact that is spread to all VMs by gossip. The higher version wins; between
/// equal versions, the greater value.
struct Rumour
{
  RumourKind kind = RumourKind::kBackendState;
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  std::uint32_t ageSeconds = 0; ///< Since it was first published.
};

/// Member records and rumours. Some are piggybacked on probes and their
/// acknowledgements; a full exchange carries all.
struct Gossip
{
  std::vector<MemberRecord> members;
  std::vector<Rumour> rumours;
  std::uint64_t rumourDigest = 0; ///< Of all rumours that the sender holds.
};

/// Checks whether the receiver is alive.
struct Probe
{
  std::uint64_t number = 0;
  Gossip gossip;
};

/// Acknowledges a probe.
struct ProbeAck
{
  std::uint64_t number = 0; ///< Number of the probe.
  Gossip gossip;
};

/// Requests that the receiver probe another VM and report its acknowledgement.
struct ProbeRequest
{
  std::uint64_t number = 0; ///< Repeated in the acknowledgement.
  std::string targetSlot;
  std::string targetAddress;
};

/// Incarnation of the VM process in a slot. Ordered by number, then process.
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

/// The latest known incarnation in a slot.
struct SlotIncarnation
{
  std::string slot;
  Incarnation incarnation;
};

/// Ballot number of Paxos. Ordered by round, then proposer.
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

/// The only attempt that may execute the call of an idempotency key. Not the
/// owner of a shard, which grants slots.
struct KeyOwner
{
  std::string slot;
  std::uint64_t process = 0;
  std::uint64_t attempt = 0;
  std::uint64_t fingerprint = 0;

  bool operator==(const KeyOwner&) const = default;
};

/// Outcome of the call of an idempotency key.
enum class KeyOutcome : std::uint8_t
{
  kOpen,     ///< Not known to have ended.
  kNotRun,   ///< Its owner will never send it.
  kAnswered, ///< Its owner received the answer.
  kUnknown,  ///< It was sent; the answer was lost.
};

/// Answer to a call, kept only if it is short. Status 0: no answer.
struct KeyAnswer
{
  std::int32_t status = 0;
  std::string contentType;
  std::string body;
};

/// Phase 1 of the Paxos round that decides the owner of a key.
struct ClaimPrepare
{
  std::uint64_t proposal = 0; ///< Set by the proposer; repeated in the votes.
  std::string key;
  /// Number of earlier owners that never sent the call.
  std::uint32_t epoch = 0;
  std::uint64_t electorate = 0; ///< Hash of the proposer's electorate.
  Ballot ballot;
};

/// Phase 2 of the Paxos round that decides the owner of a key. The fields are
/// those of ClaimPrepare and the proposed owner.
struct ClaimAccept
{
  std::uint64_t proposal = 0;
  std::string key;
  std::uint32_t epoch = 0;
  std::uint64_t electorate = 0;
  Ballot ballot;
  KeyOwner owner;
};

enum class Vote : std::uint8_t
{
  kYes,
  kNo,      ///< A higher ballot was promised.
  kAbstain, ///< The elector is not ready or has another electorate.
};

/// An elector's reply to either phase.
struct ClaimVote
{
  std::uint64_t proposal = 0;
  bool accepting = false; ///< The vote answers phase 2.
  Ballot ballot;          ///< Ballot of the request.
  Vote vote = Vote::kAbstain;
  Ballot promised;
  bool hasAccepted = false;
  Ballot acceptedBallot;
  KeyOwner accepted;
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
  std::string slot;                   ///< Slot of the elector.
  Incarnation incarnation;            ///< Incarnation of the elector.
  std::vector<SlotIncarnation> known; ///< Incarnations of the other electors.
};

/// Reports the outcome of a key's call to the electors.
struct ClaimOutcome
{
  std::string key;
  std::uint32_t epoch = 0;
  KeyOwner owner;
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
};

/// Load that one VM puts on one backend server.
struct SlotUsage
{
  std::uint8_t index = 0; ///< Of the server in its shard, ordered by name.
  std::uint16_t inFlight = 0;
  std::uint16_t finished = 0; ///< Requests since the last demand.
  std::uint16_t late = 0;     ///< Of these, those that missed a target.
  /// Last limit of the server that the VM received, for a new shard owner to
  /// adopt; 0 if none.
  std::uint16_t limit = 0;
};

/// A VM's demand for slots in a shard, which is a subset of the backend servers
/// of one service and zone. Sender and receiver must have the same active
/// document, since servers are identified by their index.
struct SlotDemand
{
  std::string service;
  std::string zone;
  std::uint16_t shard = 0;
  std::vector<std::uint16_t> waitingByTier; ///< Numbers of waiting requests.
  std::int8_t shedTier = -1;     ///< Most urgent tier shed recently, or -1.
  std::vector<SlotUsage> usages; ///< Only of the servers that the VM uses.
};

/// Slots of one backend server that are granted to a VM.
struct SlotGrant
{
  std::uint8_t index = 0; ///< Of the server in its shard, ordered by name.
  std::uint16_t slots = 0;
  std::uint16_t limit = 0; ///< Slots of the server for all VMs together.
};

/// The shard owner's reply to a demand.
struct SlotGrants
{
  std::string service;
  std::string zone;
  std::uint16_t shard = 0;
  std::uint32_t leaseMillis = 0; ///< How long the grants are valid.
  std::int8_t shedTier = -1; ///< Most urgent tier shed recently in the fleet.
  std::vector<SlotGrant> grants;
};

/// Submits a request to the dispatch coordinator, which decides to which server
/// it is sent. Resent until a decision other than kWait arrives; the number
/// identifies duplicates.
struct DispatchRequest
{
  std::uint64_t number = 0; ///< Increases with each request of the process.
  std::string service;
  std::string kind;
  std::string team;
  std::int32_t tier = 0;
  float promptTokens = 0;
  float outputTokens = 0;
  bool stream = false;
  float eventTokens = 1; ///< Output tokens per event.
  std::uint64_t fingerprint = 0;
  /// Ids of the prompt's parts that other requests may have, too.
  std::vector<std::uint64_t> sharedParts;
  std::uint32_t ageMillis = 0;       ///< Since the request arrived.
  std::uint32_t targetMillis = 0;    ///< For the answer, or its first event.
  std::uint32_t gapTargetMillis = 0; ///< Target between events.
  std::uint32_t remainingMillis = 0; ///< Until the request's deadline.
  /// Servers that the request must not be sent to again.
  std::vector<std::string> excludedServers;
  std::string onlyServer; ///< The only one it may be sent to; empty: any.
  std::uint8_t serversReached = 0; ///< Number of servers it has reached.
  bool failed = false;       ///< A server answered it with a server error.
  bool retryAllowed = false; ///< It may be retried if its server fails.
  bool counted = false;      ///< Another coordinator was asked for it before.
  float units = 0;           ///< To charge to the team's quota.
  std::uint32_t delayMillis = 0; ///< Not to be sent earlier.
};

/// The coordinator's decision on a request.
enum class DispatchDecision : std::uint8_t
{
  kWait, ///< None yet; the request waits at the coordinator.
  kSend,
  kNoServer,
  kTooLate,
  kOverQuota,
  kNoRetry,     ///< Retries are used up, or such requests fail on all servers.
  kHarmful,     ///< Suspected of crashing the servers that ran it.
  kServersFull, ///< All servers want no requests until it would be late.
};

/// The coordinator's reply to a dispatch request.
struct DispatchReply
{
  std::uint64_t number = 0;
  DispatchDecision decision = DispatchDecision::kWait;
  std::string server; ///< For kSend.
  /// The request probes the server, so no pooled connection may be used.
  bool probe = false;
  bool trial = false; ///< It was sent although suspected of crashing servers.
  std::uint32_t retryAfterMillis = 0;
  std::string why; ///< Reason of the decision, for the log.
};

/// Informs the coordinator that a request is no longer waiting.
struct DispatchCancel
{
  std::uint64_t number = 0;
};

/// Reports the first event or the end of a dispatched request.
struct DispatchProgress
{
  std::uint64_t number = 0;
  /// If false, the first event was received or, with the result kSilent, the
  /// server has been silent for a while.
  bool ended = false;
  std::uint8_t result = 0; ///< A policy::SendResult.
  float outputTokens = 0;
  float laterTokens = 0; ///< Output tokens after the first event.
  std::uint32_t firstEventMicros = 0;
  std::uint32_t totalMicros = 0;
  bool serverDown = false; ///< The server refused a new connection.
  /// The head of the answer was read. rateLimit is the requests per second that
  /// it names as the server's limit, or negative if it names none.
  bool hasHead = false;
  float rateLimit = -1;
  /// How long the server wants no further requests of this VM; 0 if it has not
  /// said so.
  std::uint32_t backoffMillis = 0;
};

/// A request that a VM has sent and that has not ended.
struct RunningRequest
{
  std::uint64_t number = 0;
  std::uint8_t service = 0; ///< Index in DispatchReport::names.
  std::uint8_t server = 0;  ///< Index in DispatchReport::names.
  float promptTokens = 0;
  float outputTokens = 0;
  std::uint16_t gapTargetMillis = 0;
  std::uint32_t ageMillis = 0; ///< Since it was sent.
  bool stream = false;
  bool firstEventSeen = false; ///< The first event was received.
};

/// Units of a team's quota that other coordinators than the receiver granted to
/// a VM in the last quota window.
struct QuotaUsage
{
  std::string team;
  float units = 0;
};

/// Requests and retries that other coordinators than the receiver granted to a
/// VM in the last window of the retry budget.
struct RetryUsage
{
  std::string service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
};

/// A rate limit that an answer of a server named.
struct ServerRateLimit
{
  std::string server;
  std::uint64_t started = 0; ///< Start of the server's incarnation.
  float perSecond = 0;
  std::uint32_t ageMillis = 0; ///< Since the answer arrived.
};

/// A time for which a server wants no requests of the VM that reports it.
struct ServerBackoff
{
  std::string server;
  std::uint64_t started = 0; ///< Start of the server's incarnation.
  std::uint32_t remainingMillis = 0;
};

/// Sent to the coordinator periodically, so that it removes requests whose end
/// it did not receive and accounts for decisions of other coordinators.
struct DispatchReport
{
  std::vector<std::string> names; ///< Of services and servers.
  std::vector<RunningRequest> running;
  bool complete = true; ///< All running requests are listed.
  std::vector<QuotaUsage> quotas;
  std::vector<RetryUsage> retries;
  /// Limits that the coordinator may not have received.
  std::vector<ServerRateLimit> rateLimits;
  /// Those that the coordinator may not have received.
  std::vector<ServerBackoff> backoffs;
  std::uint32_t ageMillis = 0; ///< Since the VM's process started.
};

/// An item of the platform's store, as replicated between VMs.
struct ReplicaItem
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0; ///< Store revision of the item's last change.
  bool removed = false;
};

/// Items that changed after one store revision and up to another.
struct ReplicaUpdate
{
  std::uint64_t after = 0;
  std::uint64_t upTo = 0;
  bool readsStore = false; ///< The sender reads the store and can reach it.
  std::uint32_t storeUpMillis = 0; ///< Since the store became reachable.
  /// If not 0, the reply to a request continues after this revision, and upTo
  /// is not valid yet; 0 marks the last page.
  std::uint64_t pageUpTo = 0;
  std::uint64_t source = 0; ///< Process that replies to a request.
  /// The reply lists all items, since not all removals after the requested
  /// revision are known. Items that it does not list are removed.
  bool isSnapshot = false;
  std::vector<ReplicaItem> items;
};

/// Requests the items that changed after a revision, or the next page of the
/// reply.
struct ReplicaRequest
{
  std::uint64_t after = 0;
  std::uint64_t resumeAfter = 0; ///< End of the previous page; 0 if none.
};

/// Body of a message sent over UDP.
using DatagramBody = std::variant<Probe,
                                  ProbeAck,
                                  ProbeRequest,
                                  ClaimPrepare,
                                  ClaimAccept,
                                  ClaimVote,
                                  ClaimOutcome,
                                  SlotDemand,
                                  SlotGrants,
                                  DispatchRequest,
                                  DispatchReply,
                                  DispatchCancel,
                                  DispatchProgress,
                                  DispatchReport,
                                  ReplicaUpdate>;

/// Requests the active document.
struct DocumentRequest
{
  DocumentVersion heldVersion; ///< Held by the sender; generation 0 if none.
};

/// A range of sections to copy from the base document, followed by new text.
struct DocumentDeltaOp
{
  std::uint32_t first = 0; ///< Index of the first section to copy.
  std::uint32_t count = 0;
  std::string text; ///< Follows the copied sections.
};

/// The active document, as a delta to the document that the requester holds or
/// as a full text.
struct DocumentReply
{
  DocumentVersion base; ///< Base of the delta; generation 0 for a full text.
  std::vector<DocumentDeltaOp> ops; ///< To be applied in order.
};

/// Sends all member records and rumours, and requests those of the receiver.
struct SyncRequest
{
  Gossip gossip;
};

struct SyncReply
{
  Gossip gossip;
};

/// Requests a copy of an elector's state for a slot that starts without any.
/// The receiver records the incarnation before it copies.
struct CopyRequest
{
  std::string slot;
  Incarnation incarnation;
  std::string after; ///< Copies only keys greater than this one.
};

/// An elector's Paxos state for one epoch of a key.
struct CopiedEpoch
{
  std::uint32_t epoch = 0;
  Ballot promised;
  bool hasAccepted = false;
  Ballot acceptedBallot;
  KeyOwner accepted;
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
};

/// An elector's state for one key.
struct CopiedKey
{
  std::string key;
  std::uint32_t ageMillis = 0; ///< Since the key was first seen.
  std::vector<CopiedEpoch> epochs;
};

/// One page of an elector's state, in the order of the keys.
struct CopyReply
{
  bool refused = false; ///< The requesting incarnation is not the latest one.
  Incarnation latest;   ///< Latest known incarnation of the requesting slot.
  bool incomplete = false; ///< The replying elector is itself still copying.
  /// The replying elector has never lost the votes that it cast itself.
  bool hasOwnVotes = false;
  std::uint64_t slotsHash = 0; ///< Hash of the slots in the elector's document.
  std::vector<CopiedKey> keys;
  bool more = false;                  ///< Further keys follow the last one.
  std::vector<SlotIncarnation> known; ///< Incarnations known to the elector.
};

/// Requests the outcome of an attempt from the owner of its key.
struct OutcomeRequest
{
  std::uint64_t process = 0;
  std::uint64_t attempt = 0;
};

struct OutcomeReply
{
  bool known = false; ///< False if the receiver is another process.
  KeyOutcome outcome = KeyOutcome::kOpen;
  KeyAnswer answer;
};

/// Body of a message sent over TCP.
using FrameBody = std::variant<DocumentRequest,
                               DocumentReply,
                               SyncRequest,
                               SyncReply,
                               CopyRequest,
                               CopyReply,
                               OutcomeRequest,
                               OutcomeReply,
                               ReplicaRequest,
                               ReplicaUpdate>;

} // namespace magnoliatide::wire

#endif
