// Decides which VM may send a call with an idempotency key. Runs the proposals
// of this VM and the elector of its slot, and copies the state of the other
// electors after a start. Runs on the control loop, except for the methods of
// KeyGuard, which may be called from any thread.
#ifndef MAGNOLIATIDE_SRC_NODE_CLAIM_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_CLAIM_SERVICE_H

#include "peer_link.h"

#include "magnoliatide/claims/attempt_table.h"
#include "magnoliatide/claims/elector.h"
#include "magnoliatide/claims/proposal.h"
#include "magnoliatide/document/document.h"
#include "magnoliatide/entry/key_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace magnoliatide::node {

/// Dependencies and callbacks of a ClaimService.
struct ClaimServiceParams
{
  boost::asio::io_context* loop = nullptr;
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  std::string slot;
  std::uint64_t process = 0;          ///< Random id of this process.
  std::uint64_t firstIncarnation = 0; ///< The elector's incarnation number
                                      ///< unless a copy shows a later one.
  /// Returns the address of the live VM in a slot, or an empty string.
  std::function<std::string(const std::string&)> addressOf;
};

/// Decides for each call with a key whether this VM may send it.
class ClaimService : public entry::KeyGuard
{
public:
  explicit ClaimService(ClaimServiceParams aParams);

  /// Applies a configuration document.
  void Configure(const document::Document& aDocument);

  /// Starts to copy the state of the other electors.
  void Start();

  /// Processes a message of the claim protocol.
  void Handle(const wire::Header& aHeader, const wire::DatagramBody& aBody);

  /// Returns one page of the elector's state.
  wire::FrameBody HandleCopy(const wire::CopyRequest& aRequest);

  /// Returns the outcome of an attempt of this process.
  wire::FrameBody HandleOutcome(const wire::OutcomeRequest& aRequest);

  /// Removes keys and attempts older than the key lifetime.
  void RemoveExpired();

  /// Returns whether the elector's state is complete for every key.
  bool IsComplete() const;

  /// Returns the number of keys in the elector's state.
  std::size_t KeyCount() const { return mElector.size(); }

  boost::asio::awaitable<entry::KeyDecision> Begin(std::string aKey,
                                                   std::uint64_t aFingerprint,
                                                   Duration aTimeout) override;
  bool TryMarkSent(const std::string& aKey, std::uint64_t aAttempt) override;
  boost::asio::awaitable<void> End(std::string aKey,
                                   std::uint64_t aAttempt,
                                   entry::KeyEnd aEnd,
                                   http::Response aAnswer) override;

private:
  /// A proposal in progress.
  struct RunningProposal
  {
    claims::Proposal proposal;
    /// The wait before the next resend; cancelled by a vote that changes the
    /// phase or preempts the ballot.
    boost::asio::steady_timer resendTimer;
  };

  /// A key owned by an attempt of this VM.
  struct OwnedKey
  {
    std::string key;
    std::uint32_t epoch = 0;
    wire::KeyOwner owner;
    TimePoint since;
  };

  /// The result of one proposal.
  struct ProposalResult
  {
    bool decided = false; ///< False if the deadline passed before a decision.
    wire::KeyOwner owner;
    wire::KeyOutcome outcome = wire::KeyOutcome::kOpen;
    wire::KeyAnswer answer;
  };

  /// The known outcome of the call of a key's owner.
  struct OwnerOutcome
  {
    wire::KeyOutcome outcome = wire::KeyOutcome::kUnknown;
    wire::KeyAnswer answer;
  };

  boost::asio::awaitable<entry::KeyDecision> Decide(std::string aKey,
                                                    std::uint64_t aFingerprint,
                                                    Duration aTimeout);

  /// Proposes an attempt of this VM as the owner of a key. Tries the next epoch
  /// as long as the owner in the current one is known never to send its call.
  boost::asio::awaitable<entry::KeyDecision> ClaimKey(
    std::uint64_t aAttempt,
    std::string aKey,
    std::uint64_t aFingerprint,
    TimePoint aDeadline);

  /// Runs one proposal until it is decided or the deadline passes.
  boost::asio::awaitable<ProposalResult> Propose(std::string aKey,
                                                 std::uint32_t aEpoch,
                                                 wire::KeyOwner aSelf,
                                                 TimePoint aDeadline);

  /// Returns the outcome of the owner's call. Requests it from the owner unless
  /// the electors reported that the call never ran, or its answer. The outcome
  /// is kUnknown if the owner does not reply.
  boost::asio::awaitable<OwnerOutcome> FetchOutcome(ProposalResult aResult,
                                                    TimePoint aDeadline);
  boost::asio::awaitable<void> ReportOutcome(std::uint64_t aAttempt);

  /// Copies the state of other electors while the state of this VM's elector is
  /// incomplete.
  boost::asio::awaitable<void> CopyLoop();
  boost::asio::awaitable<void> CopyFrom(std::string aSlot,
                                        std::string aAddress);
  boost::asio::awaitable<void> Sleep(Duration aDuration);

  /// Sends the messages of the current phase. Those to this VM's elector are
  /// handled directly.
  void SendPending(RunningProposal& aRunning);
  void HandleVote(const wire::ClaimVote& aVote);
  claims::Electorate ElectorateOf(const std::string& aKey) const;

  /// Sends the outcome of an owned key to its electors.
  void SendOutcome(std::uint64_t aAttempt,
                   wire::KeyOutcome aOutcome,
                   const wire::KeyAnswer& aAnswer);

  ClaimServiceParams mParams;
  claims::AttemptTable mAttempts;
  claims::Elector mElector;
  std::vector<std::string> mSlots;
  std::size_t mElectorCount = 5;
  std::uint64_t mNextProposal = 1;
  std::map<std::uint64_t, std::shared_ptr<RunningProposal>> mProposals;
  std::map<std::uint64_t, OwnedKey> mOwnedKeys;
};

} // namespace magnoliatide::node

#endif
