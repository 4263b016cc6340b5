// Claims of idempotency keys among the VMs.
#include "claim_service.h"

#include "control_task.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>

#include <random>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kFirstResendDelay = Milliseconds(30);
constexpr Duration kMaxResendDelay = Milliseconds(120);
constexpr Duration kOutcomeTimeout = Milliseconds(800);
constexpr Duration kCopyTimeout = Seconds(3);
/// Time between two attempts to copy the missing state of other electors.
constexpr Duration kCopyRetryDelay = Milliseconds(200);
/// Number of epochs after which a claim ends undecided.
constexpr std::uint32_t kMaxEpochs = 16;
/// An answer with a larger body is not sent to the electors. Other VMs request
/// it from the owner.
constexpr std::size_t kMaxAnswerBytes = 500;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

claims::ElectorOptions
ElectorOptionsFor(const ClaimServiceParams& aParams)
{
  claims::ElectorOptions options;
  options.slot = aParams.slot;
  options.incarnation = { aParams.firstIncarnation, aParams.process };
  options.started = Clock::now();
  return options;
}

wire::KeyAnswer
ToWire(const claims::RecordedAnswer& aAnswer)
{
  return { aAnswer.status, aAnswer.contentType, aAnswer.body };
}

wire::KeyOutcome
OutcomeOf(claims::AttemptState aState)
{
  switch (aState) {
    case claims::AttemptState::kNotRun:
      return wire::KeyOutcome::kNotRun;
    case claims::AttemptState::kAnswered:
      return wire::KeyOutcome::kAnswered;
    case claims::AttemptState::kUnknown:
      return wire::KeyOutcome::kUnknown;
    default:
      return wire::KeyOutcome::kOpen;
  }
}

entry::KeyDecision
DecisionFor(wire::KeyOutcome aOutcome, const wire::KeyAnswer& aAnswer)
{
  entry::KeyDecision decision;
  switch (aOutcome) {
    case wire::KeyOutcome::kOpen:
      decision.verdict = entry::KeyVerdict::kRunning;
      break;
    case wire::KeyOutcome::kAnswered:
      decision.verdict = aAnswer.status != 0 ? entry::KeyVerdict::kRecorded
                                             : entry::KeyVerdict::kUnknown;
      decision.recorded = { aAnswer.status,
                            { { "Content-Type", aAnswer.contentType } },
                            aAnswer.body };
      break;
    default:
      decision.verdict = entry::KeyVerdict::kUnknown;
      break;
  }
  return decision;
}

entry::KeyDecision
DecisionWithoutAnswer(entry::KeyVerdict aVerdict)
{
  entry::KeyDecision decision;
  decision.verdict = aVerdict;
  return decision;
}

} // namespace

ClaimService::ClaimService(ClaimServiceParams aParams)
  : mParams(std::move(aParams))
  , mAttempts(std::chrono::hours(1))
  , mElector(ElectorOptionsFor(mParams))
{
}

void
ClaimService::Configure(const document::Document& aDocument)
{
  mSlots = aDocument.slots;
  mElectorCount = static_cast<std::size_t>(aDocument.limits.claimElectors);
  mAttempts.SetLifetime(aDocument.limits.keyLifetime);
  mElector.Configure(
    mSlots, mElectorCount, aDocument.limits.keyLifetime, aDocument.firstStart);
}

void
ClaimService::Start()
{
  StartControlTask(*mParams.loop, "copy-claims", [this] { return CopyLoop(); });
}

bool
ClaimService::IsComplete() const
{
  return mElector.IsComplete(Clock::now());
}

claims::Electorate
ClaimService::ElectorateOf(const std::string& aKey) const
{
  return { claims::ChooseElectors(aKey, mSlots, mElectorCount) };
}

asio::awaitable<void>
ClaimService::Sleep(Duration aDuration)
{
  asio::steady_timer timer(*mParams.loop, aDuration);
  co_await timer.async_wait(kNoThrow);
}

asio::awaitable<void>
ClaimService::CopyLoop()
{
  while (true) {
    if (!mSlots.empty() && !mElector.IsComplete(Clock::now())) {
      for (const auto& slot : std::vector<std::string>(mSlots)) {
        const auto address = mParams.addressOf(slot);
        const bool needsCopy =
          slot != mParams.slot && !address.empty() && !mElector.HasCopyOf(slot);
        if (needsCopy) {
          co_await CopyFrom(slot, address);
        }
      }
    }
    co_await Sleep(kCopyRetryDelay);
  }
}

asio::awaitable<void>
ClaimService::CopyFrom(std::string aSlot, std::string aAddress)
{
  std::string after;
  while (true) {
    wire::FrameBody request =
      wire::CopyRequest{ mParams.slot, mElector.OwnIncarnation(), after };
    const auto frame =
      co_await mParams.link->Call(aAddress, std::move(request), kCopyTimeout);
    const auto* reply = frame ? std::get_if<wire::CopyReply>(&*frame) : nullptr;
    if (reply == nullptr) {
      co_return;
    }
    const auto restart = mElector.ApplyCopy(aSlot, *reply, Clock::now());
    if (restart > 0) {
      mElector.Restart({ restart, mParams.process });
      co_return;
    }
    if (!reply->more || reply->keys.empty()) {
      co_return;
    }
    after = reply->keys.back().key;
  }
}

void
ClaimService::Handle(const wire::Header& aHeader,
                     const wire::DatagramBody& aBody)
{
  const auto now = Clock::now();
  if (const auto* prepare = std::get_if<wire::ClaimPrepare>(&aBody)) {
    mParams.link->Send(
      aHeader.sender.address,
      mElector.Handle(*prepare, ElectorateOf(prepare->key), now));
  } else if (const auto* accept = std::get_if<wire::ClaimAccept>(&aBody)) {
    mParams.link->Send(
      aHeader.sender.address,
      mElector.Handle(*accept, ElectorateOf(accept->key), now));
  } else if (const auto* vote = std::get_if<wire::ClaimVote>(&aBody)) {
    HandleVote(*vote);
  } else if (const auto* outcome = std::get_if<wire::ClaimOutcome>(&aBody)) {
    mElector.Handle(*outcome);
  }
}

wire::FrameBody
ClaimService::HandleCopy(const wire::CopyRequest& aRequest)
{
  return mElector.Handle(aRequest, Clock::now());
}

wire::FrameBody
ClaimService::HandleOutcome(const wire::OutcomeRequest& aRequest)
{
  wire::OutcomeReply reply;
  if (aRequest.process != mParams.process) {
    return reply;
  }
  const auto attempt = mAttempts.FindByNumber(aRequest.attempt);
  if (attempt) {
    reply.known = true;
    reply.outcome = OutcomeOf(attempt->state);
    reply.answer = ToWire(attempt->answer);
  }
  return reply;
}

void
ClaimService::RemoveExpired()
{
  const auto now = Clock::now();
  mElector.RemoveExpired(now);
  mAttempts.RemoveExpired(now);
  std::erase_if(mOwnedKeys, [&](const auto& aEntry) {
    return !mAttempts.FindByNumber(aEntry.first);
  });
}

asio::awaitable<entry::KeyDecision>
ClaimService::Begin(std::string aKey,
                    std::uint64_t aFingerprint,
                    Duration aTimeout)
{
  auto decision =
    co_await asio::co_spawn(*mParams.loop,
                            Decide(std::move(aKey), aFingerprint, aTimeout),
                            asio::use_awaitable);
  co_return decision;
}

asio::awaitable<entry::KeyDecision>
ClaimService::Decide(std::string aKey,
                     std::uint64_t aFingerprint,
                     Duration aTimeout)
{
  const auto now = Clock::now();
  const auto attempt = mAttempts.Begin(aKey, aFingerprint, now);
  if (!attempt) {
    const auto earlier = mAttempts.Find(aKey, now);
    if (!earlier) {
      co_return DecisionWithoutAnswer(entry::KeyVerdict::kUndecided);
    }
    if (earlier->fingerprint != aFingerprint) {
      co_return DecisionWithoutAnswer(entry::KeyVerdict::kDifferentCall);
    }
    co_return DecisionFor(OutcomeOf(earlier->state), ToWire(earlier->answer));
  }
  auto decision =
    co_await ClaimKey(*attempt, aKey, aFingerprint, now + aTimeout);
  if (decision.verdict != entry::KeyVerdict::kRun) {
    mAttempts.End(*attempt, claims::AttemptState::kNotRun, {});
  }
  mParams.metrics->Count(
    "key_decisions_total",
    { { "verdict",
        decision.verdict == entry::KeyVerdict::kRun         ? "run"
        : decision.verdict == entry::KeyVerdict::kUndecided ? "undecided"
                                                            : "earlier" } });
  co_return decision;
}

asio::awaitable<entry::KeyDecision>
ClaimService::ClaimKey(std::uint64_t aAttempt,
                       std::string aKey,
                       std::uint64_t aFingerprint,
                       TimePoint aDeadline)
{
  const wire::KeyOwner self{
    mParams.slot, mParams.process, aAttempt, aFingerprint
  };
  for (std::uint32_t epoch = 0; epoch < kMaxEpochs; ++epoch) {
    auto result = co_await Propose(aKey, epoch, self, aDeadline);
    if (!result.decided) {
      co_return DecisionWithoutAnswer(entry::KeyVerdict::kUndecided);
    }
    if (result.owner == self) {
      const bool owned = mAttempts.MarkOwned(aAttempt);
      mOwnedKeys[aAttempt] = { aKey, epoch, self, Clock::now() };
      entry::KeyDecision decision;
      decision.verdict =
        owned ? entry::KeyVerdict::kRun : entry::KeyVerdict::kUndecided;
      decision.attempt = aAttempt;
      co_return decision;
    }
    const auto ownerOutcome = co_await FetchOutcome(result, aDeadline);
    if (ownerOutcome.outcome == wire::KeyOutcome::kNotRun) {
      continue; // The owner will never send it, so the next epoch is open.
    }
    if (result.owner.fingerprint != aFingerprint) {
      co_return DecisionWithoutAnswer(entry::KeyVerdict::kDifferentCall);
    }
    co_return DecisionFor(ownerOutcome.outcome, ownerOutcome.answer);
  }
  co_return DecisionWithoutAnswer(entry::KeyVerdict::kUndecided);
}

asio::awaitable<ClaimService::OwnerOutcome>
ClaimService::FetchOutcome(ProposalResult aResult, TimePoint aDeadline)
{
  const bool final = aResult.outcome == wire::KeyOutcome::kNotRun ||
                     (aResult.outcome == wire::KeyOutcome::kAnswered &&
                      aResult.answer.status != 0);
  if (final) {
    co_return OwnerOutcome{ aResult.outcome, aResult.answer };
  }
  const wire::OutcomeRequest request{ aResult.owner.process,
                                      aResult.owner.attempt };
  if (aResult.owner.process == mParams.process) {
    const auto own = HandleOutcome(request);
    const auto& reply = std::get<wire::OutcomeReply>(own);
    co_return OwnerOutcome{ reply.outcome, reply.answer };
  }
  const auto address = mParams.addressOf(aResult.owner.slot);
  const Duration remaining = aDeadline - Clock::now();
  const Duration timeout = std::min<Duration>(
    kOutcomeTimeout, std::max<Duration>(remaining, Milliseconds(1)));
  if (address.empty()) {
    co_return OwnerOutcome{};
  }
  wire::FrameBody requestFrame = request;
  const auto frame =
    co_await mParams.link->Call(address, std::move(requestFrame), timeout);
  const auto* reply =
    frame ? std::get_if<wire::OutcomeReply>(&*frame) : nullptr;
  if (reply == nullptr || !reply->known) {
    co_return OwnerOutcome{};
  }
  co_return OwnerOutcome{ reply->outcome, reply->answer };
}

asio::awaitable<ClaimService::ProposalResult>
ClaimService::Propose(std::string aKey,
                      std::uint32_t aEpoch,
                      wire::KeyOwner aSelf,
                      TimePoint aDeadline)
{
  claims::ProposalOptions options;
  options.number = mNextProposal++;
  options.key = aKey;
  options.epoch = aEpoch;
  options.electorate = ElectorateOf(aKey);
  options.self = aSelf;
  auto running = std::make_shared<RunningProposal>(RunningProposal{
    claims::Proposal(options), asio::steady_timer(*mParams.loop) });
  mProposals[options.number] = running;
  Duration resendDelay = kFirstResendDelay;
  std::minstd_rand random(static_cast<unsigned>(RandomId()));
  while (running->proposal.State() != claims::ProposalState::kDecided &&
         Clock::now() < aDeadline) {
    if (running->proposal.IsPreempted()) {
      // A random delay, so that competing proposals do not preempt each other
      // again.
      co_await Sleep(Milliseconds(2 + random() % 20));
      running->proposal.StartNextRound();
    }
    SendPending(*running);
    if (running->proposal.State() == claims::ProposalState::kDecided) {
      break;
    }
    running->resendTimer.expires_after(resendDelay);
    const auto [error] = co_await running->resendTimer.async_wait(kNoThrow);
    // A cancelled wait means that a vote changed the phase or that the ballot
    // was preempted.
    resendDelay =
      error ? kFirstResendDelay : std::min(resendDelay * 2, kMaxResendDelay);
  }
  mProposals.erase(options.number);
  ProposalResult result;
  result.decided = running->proposal.State() == claims::ProposalState::kDecided;
  result.owner = running->proposal.DecidedOwner();
  result.outcome = running->proposal.Outcome();
  result.answer = running->proposal.Answer();
  co_return result;
}

void
ClaimService::SendPending(RunningProposal& aRunning)
{
  const auto now = Clock::now();
  bool repeat = true;
  while (repeat) {
    repeat = false;
    for (const auto& send : aRunning.proposal.PendingMessages()) {
      if (send.slot != mParams.slot) {
        const auto address = mParams.addressOf(send.slot);
        if (!address.empty()) {
          mParams.link->Send(address, send.body);
        }
        continue;
      }
      wire::ClaimVote vote;
      if (const auto* prepare = std::get_if<wire::ClaimPrepare>(&send.body)) {
        vote = mElector.Handle(*prepare, ElectorateOf(prepare->key), now);
      } else if (const auto* accept =
                   std::get_if<wire::ClaimAccept>(&send.body)) {
        vote = mElector.Handle(*accept, ElectorateOf(accept->key), now);
      }
      // With a single elector, this vote may already change the phase.
      repeat = aRunning.proposal.Receive(vote) || repeat;
    }
  }
}

void
ClaimService::HandleVote(const wire::ClaimVote& aVote)
{
  const auto found = mProposals.find(aVote.proposal);
  if (found == mProposals.end()) {
    return;
  }
  auto& running = *found->second;
  const bool changed = running.proposal.Receive(aVote);
  if (changed || running.proposal.IsPreempted()) {
    running.resendTimer.cancel();
  }
}

bool
ClaimService::TryMarkSent(const std::string&, std::uint64_t aAttempt)
{
  return mAttempts.TryMarkSent(aAttempt, Clock::now());
}

asio::awaitable<void>
ClaimService::End(std::string aKey,
                  std::uint64_t aAttempt,
                  entry::KeyEnd aEnd,
                  http::Response aAnswer)
{
  auto state = claims::AttemptState::kUnknown;
  claims::RecordedAnswer answer;
  if (aEnd == entry::KeyEnd::kNotRun) {
    state = claims::AttemptState::kNotRun;
  } else if (aEnd == entry::KeyEnd::kAnswered) {
    state = claims::AttemptState::kAnswered;
    answer = { aAnswer.status,
               std::string(http::Find(aAnswer.headers, "Content-Type")),
               aAnswer.body };
  }
  mAttempts.End(aAttempt, state, std::move(answer));
  static_cast<void>(aKey);
  co_await asio::co_spawn(
    *mParams.loop, ReportOutcome(aAttempt), asio::use_awaitable);
}

/// Reports the outcome of an attempt to the electors of its key.
asio::awaitable<void>
ClaimService::ReportOutcome(std::uint64_t aAttempt)
{
  const auto attempt = mAttempts.FindByNumber(aAttempt);
  if (attempt) {
    SendOutcome(aAttempt, OutcomeOf(attempt->state), ToWire(attempt->answer));
  }
  co_return;
}

void
ClaimService::SendOutcome(std::uint64_t aAttempt,
                          wire::KeyOutcome aOutcome,
                          const wire::KeyAnswer& aAnswer)
{
  const auto found = mOwnedKeys.find(aAttempt);
  if (found == mOwnedKeys.end()) {
    return;
  }
  const auto& owned = found->second;
  wire::ClaimOutcome message{
    owned.key, owned.epoch, owned.owner, aOutcome, {}
  };
  if (aAnswer.body.size() <= kMaxAnswerBytes) {
    message.answer = aAnswer;
  }
  for (const auto& slot : ElectorateOf(owned.key).slots) {
    const auto address = mParams.addressOf(slot);
    if (slot == mParams.slot) {
      mElector.Handle(message);
    } else if (!address.empty()) {
      mParams.link->Send(address, message);
    }
  }
  mOwnedKeys.erase(found);
}

} // namespace magnoliatide::node
