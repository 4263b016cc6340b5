// Claims of keys over the VMs: runs proposals against electors, serves as an
// elector, and copies the registers of others after a start. The key guard of
// the gateway. Lives on the control loop; the guard's calls come from any.
#ifndef MAGNOLIATIDE_SRC_NODE_CLAIM_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_CLAIM_SERVICE_H

#include "peer_link.h"

#include "magnoliatide/claims/attempts.h"
#include "magnoliatide/claims/proposal.h"
#include "magnoliatide/claims/register.h"
#include "magnoliatide/document/document.h"
#include "magnoliatide/entry/key_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace magnoliatide::node {

struct ClaimServiceParts
{
  boost::asio::io_context* loop = nullptr;
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  std::string slot;
  std::uint64_t process = 0;
  std::uint64_t startNumber = 0; ///< First try for the elector's incarnation.
  /// Returns the address of the live VM in a slot, or an empty text.
  std::function<std::string(const std::string&)> addressOf;
};

class ClaimService : public entry::KeyGuard
{
public:
  explicit ClaimService(ClaimServiceParts aParts);

  /// Takes over a document, on the control loop.
  void Configure(const document::Document& aDocument);

  /// Begins to copy the registers of others.
  void Start();

  void Handle(const wire::Header& aHeader, const wire::DatagramBody& aBody);
  wire::FrameBody HandleCopy(const wire::CopyRequest& aRequest);
  wire::FrameBody HandleOutcome(const wire::OutcomeRequest& aRequest);

  /// Drops what is too old.
  void Forget();

  bool Complete() const;
  std::size_t Keys() const { return mRegister.size(); }

  boost::asio::awaitable<entry::KeyDecision> Begin(std::string aKey,
                                                   std::uint64_t aFingerprint,
                                                   Duration aBound) override;
  bool MaySend(const std::string& aKey, std::uint64_t aAttempt) override;
  boost::asio::awaitable<void> End(std::string aKey,
                                   std::uint64_t aAttempt,
                                   entry::KeyEnd aEnd,
                                   http::Response aAnswer) override;

private:
  struct Running
  {
    claims::Proposal proposal;
    boost::asio::steady_timer wake;
  };

  /// A key owned by an attempt of this VM.
  struct Owned
  {
    std::string key;
    std::uint32_t epoch = 0;
    wire::Owner owner;
    TimePoint since;
  };

  /// The end of one proposal.
  struct Decided
  {
    bool decided = false;
    wire::Owner owner;
    wire::KeyOutcome outcome = wire::KeyOutcome::kOpen;
    wire::KeyAnswer answer;
  };

  /// What is known of the call of another owner.
  struct Fate
  {
    wire::KeyOutcome outcome = wire::KeyOutcome::kUnknown;
    wire::KeyAnswer answer;
  };

  boost::asio::awaitable<entry::KeyDecision> Decide(std::string aKey,
                                                    std::uint64_t aFingerprint,
                                                    Duration aBound);
  boost::asio::awaitable<entry::KeyDecision> Contest(std::uint64_t aAttempt,
                                                     std::string aKey,
                                                     std::uint64_t aFingerprint,
                                                     TimePoint aEnd);
  boost::asio::awaitable<Decided> Propose(std::string aKey,
                                          std::uint32_t aEpoch,
                                          wire::Owner aSelf,
                                          TimePoint aEnd);
  boost::asio::awaitable<Fate> FateOf(Decided aDecided, TimePoint aEnd);
  boost::asio::awaitable<void> Announce(std::uint64_t aAttempt);
  boost::asio::awaitable<void> CopyLoop();
  boost::asio::awaitable<void> CopyFrom(std::string aSlot,
                                        std::string aAddress);
  boost::asio::awaitable<void> Pause(Duration aTime);
  void SendPending(Running& aRunning);
  void TakeVote(const wire::ClaimVote& aVote);
  claims::Electorate ElectorateOf(const std::string& aKey) const;
  void TellElectors(std::uint64_t aAttempt,
                    wire::KeyOutcome aOutcome,
                    const wire::KeyAnswer& aAnswer);

  ClaimServiceParts mParts;
  claims::Attempts mAttempts;
  claims::Register mRegister;
  std::vector<std::string> mSlots;
  std::size_t mElectors = 5;
  std::uint64_t mNextProposal = 1;
  std::map<std::uint64_t, std::shared_ptr<Running>> mRunning;
  std::map<std::uint64_t, Owned> mOwned;
};

} // namespace magnoliatide::node

#endif
