// Claims of keys over the VMs.
#include "claim_service.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>

#include <random>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr Duration kFirstResend = Milliseconds(30);
constexpr Duration kLongestResend = Milliseconds(120);
constexpr Duration kAskBound = Milliseconds(800);
constexpr Duration kCopyBound = Seconds(3);
constexpr Duration kCopyPause = Milliseconds(200);
constexpr std::uint32_t kMostEpochs = 16;
constexpr std::size_t kMostAnswerBytes = 500;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

claims::RegisterOptions
RegisterOptionsFor(const ClaimServiceParts& aParts)
{
  claims::RegisterOptions options;
  options.slot = aParts.slot;
  options.incarnation = { aParts.startNumber, aParts.process };
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
VerdictOnly(entry::KeyVerdict aVerdict)
{
  entry::KeyDecision decision;
  decision.verdict = aVerdict;
  return decision;
}

} // namespace

ClaimService::ClaimService(ClaimServiceParts aParts)
  : mParts(std::move(aParts))
  , mAttempts(std::chrono::hours(1))
  , mRegister(RegisterOptionsFor(mParts))
{
}

void
ClaimService::Configure(const document::Document& aDocument)
{
  mSlots = aDocument.slots;
  mElectors = static_cast<std::size_t>(aDocument.limits.claimElectors);
  mAttempts.SetLifetime(aDocument.limits.keyLifetime);
  mRegister.Configure(
    mSlots, mElectors, aDocument.limits.keyLifetime, aDocument.firstStart);
}

void
ClaimService::Start()
{
  asio::co_spawn(*mParts.loop, CopyLoop(), asio::detached);
}

bool
ClaimService::Complete() const
{
  return mRegister.Complete(Clock::now());
}

claims::Electorate
ClaimService::ElectorateOf(const std::string& aKey) const
{
  return { claims::ChooseElectors(aKey, mSlots, mElectors) };
}

asio::awaitable<void>
ClaimService::Pause(Duration aTime)
{
  asio::steady_timer timer(*mParts.loop, aTime);
  co_await timer.async_wait(kNoThrow);
}

asio::awaitable<void>
ClaimService::CopyLoop()
{
  while (true) {
    if (!mSlots.empty() && !mRegister.Complete(Clock::now())) {
      for (const auto& slot : std::vector<std::string>(mSlots)) {
        const auto address = mParts.addressOf(slot);
        const bool wanted =
          slot != mParts.slot && !address.empty() && !mRegister.HasCopyOf(slot);
        if (wanted) {
          co_await CopyFrom(slot, address);
        }
      }
    }
    co_await Pause(kCopyPause);
  }
}

asio::awaitable<void>
ClaimService::CopyFrom(std::string aSlot, std::string aAddress)
{
  std::string after;
  while (true) {
    wire::FrameBody request =
      wire::CopyRequest{ mParts.slot, mRegister.Own(), after };
    const auto answer =
      co_await mParts.link->Ask(aAddress, std::move(request), kCopyBound);
    const auto* reply =
      answer ? std::get_if<wire::CopyReply>(&*answer) : nullptr;
    if (reply == nullptr) {
      co_return;
    }
    const auto restart = mRegister.Absorb(aSlot, *reply, Clock::now());
    if (restart > 0) {
      mRegister.Restart({ restart, mParts.process });
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
    mParts.link->Send(
      aHeader.sender.address,
      mRegister.Handle(*prepare, ElectorateOf(prepare->key), now));
  } else if (const auto* accept = std::get_if<wire::ClaimAccept>(&aBody)) {
    mParts.link->Send(
      aHeader.sender.address,
      mRegister.Handle(*accept, ElectorateOf(accept->key), now));
  } else if (const auto* vote = std::get_if<wire::ClaimVote>(&aBody)) {
    TakeVote(*vote);
  } else if (const auto* notice = std::get_if<wire::ClaimOutcome>(&aBody)) {
    mRegister.Handle(*notice);
  }
}

wire::FrameBody
ClaimService::HandleCopy(const wire::CopyRequest& aRequest)
{
  return mRegister.Handle(aRequest, Clock::now());
}

wire::FrameBody
ClaimService::HandleOutcome(const wire::OutcomeRequest& aRequest)
{
  wire::OutcomeReply reply;
  if (aRequest.process != mParts.process) {
    return reply;
  }
  const auto attempt = mAttempts.FindNumber(aRequest.attempt);
  if (attempt) {
    reply.known = true;
    reply.outcome = OutcomeOf(attempt->state);
    reply.answer = ToWire(attempt->answer);
  }
  return reply;
}

void
ClaimService::Forget()
{
  const auto now = Clock::now();
  mRegister.Forget(now);
  mAttempts.Forget(now);
  std::erase_if(mOwned, [&](const auto& aEntry) {
    return !mAttempts.FindNumber(aEntry.first);
  });
}

asio::awaitable<entry::KeyDecision>
ClaimService::Begin(std::string aKey,
                    std::uint64_t aFingerprint,
                    Duration aBound)
{
  auto decision =
    co_await asio::co_spawn(*mParts.loop,
                            Decide(std::move(aKey), aFingerprint, aBound),
                            asio::use_awaitable);
  co_return decision;
}

asio::awaitable<entry::KeyDecision>
ClaimService::Decide(std::string aKey,
                     std::uint64_t aFingerprint,
                     Duration aBound)
{
  const auto now = Clock::now();
  const auto attempt = mAttempts.Begin(aKey, aFingerprint, now);
  if (!attempt) {
    const auto earlier = mAttempts.Find(aKey, now);
    if (!earlier) {
      co_return VerdictOnly(entry::KeyVerdict::kUndecided);
    }
    if (earlier->fingerprint != aFingerprint) {
      co_return VerdictOnly(entry::KeyVerdict::kOtherCall);
    }
    co_return DecisionFor(OutcomeOf(earlier->state), ToWire(earlier->answer));
  }
  auto decision = co_await Contest(*attempt, aKey, aFingerprint, now + aBound);
  if (decision.verdict != entry::KeyVerdict::kRun) {
    mAttempts.End(*attempt, claims::AttemptState::kNotRun, {});
  }
  mParts.metrics->Count(
    "key_decisions_total",
    { { "verdict",
        decision.verdict == entry::KeyVerdict::kRun         ? "run"
        : decision.verdict == entry::KeyVerdict::kUndecided ? "undecided"
                                                            : "earlier" } });
  co_return decision;
}

asio::awaitable<entry::KeyDecision>
ClaimService::Contest(std::uint64_t aAttempt,
                      std::string aKey,
                      std::uint64_t aFingerprint,
                      TimePoint aEnd)
{
  const wire::Owner self{ mParts.slot, mParts.process, aAttempt, aFingerprint };
  for (std::uint32_t epoch = 0; epoch < kMostEpochs; ++epoch) {
    auto decided = co_await Propose(aKey, epoch, self, aEnd);
    if (!decided.decided) {
      co_return VerdictOnly(entry::KeyVerdict::kUndecided);
    }
    if (decided.owner == self) {
      const bool owned = mAttempts.Own(aAttempt);
      mOwned[aAttempt] = { aKey, epoch, self, Clock::now() };
      entry::KeyDecision decision;
      decision.verdict =
        owned ? entry::KeyVerdict::kRun : entry::KeyVerdict::kUndecided;
      decision.attempt = aAttempt;
      co_return decision;
    }
    const auto fate = co_await FateOf(decided, aEnd);
    if (fate.outcome == wire::KeyOutcome::kNotRun) {
      continue; // Its owner will never send it: the next epoch is free.
    }
    if (decided.owner.fingerprint != aFingerprint) {
      co_return VerdictOnly(entry::KeyVerdict::kOtherCall);
    }
    co_return DecisionFor(fate.outcome, fate.answer);
  }
  co_return VerdictOnly(entry::KeyVerdict::kUndecided);
}

asio::awaitable<ClaimService::Fate>
ClaimService::FateOf(Decided aDecided, TimePoint aEnd)
{
  const bool final = aDecided.outcome == wire::KeyOutcome::kNotRun ||
                     (aDecided.outcome == wire::KeyOutcome::kAnswered &&
                      aDecided.answer.status != 0);
  if (final) {
    co_return Fate{ aDecided.outcome, aDecided.answer };
  }
  const wire::OutcomeRequest request{ aDecided.owner.process,
                                      aDecided.owner.attempt };
  if (aDecided.owner.process == mParts.process) {
    const auto own = HandleOutcome(request);
    const auto& reply = std::get<wire::OutcomeReply>(own);
    co_return Fate{ reply.outcome, reply.answer };
  }
  const auto address = mParts.addressOf(aDecided.owner.slot);
  const Duration left = aEnd - Clock::now();
  const Duration bound =
    std::min<Duration>(kAskBound, std::max<Duration>(left, Milliseconds(1)));
  if (address.empty()) {
    co_return Fate{};
  }
  wire::FrameBody question = request;
  const auto answer =
    co_await mParts.link->Ask(address, std::move(question), bound);
  const auto* reply =
    answer ? std::get_if<wire::OutcomeReply>(&*answer) : nullptr;
  if (reply == nullptr || !reply->known) {
    co_return Fate{};
  }
  co_return Fate{ reply->outcome, reply->answer };
}

asio::awaitable<ClaimService::Decided>
ClaimService::Propose(std::string aKey,
                      std::uint32_t aEpoch,
                      wire::Owner aSelf,
                      TimePoint aEnd)
{
  claims::ProposalOptions options;
  options.number = mNextProposal++;
  options.key = aKey;
  options.epoch = aEpoch;
  options.electorate = ElectorateOf(aKey);
  options.self = aSelf;
  auto running = std::make_shared<Running>(
    Running{ claims::Proposal(options), asio::steady_timer(*mParts.loop) });
  mRunning[options.number] = running;
  Duration resend = kFirstResend;
  std::minstd_rand random(static_cast<unsigned>(RandomId()));
  while (running->proposal.State() != claims::ProposalState::kDecided &&
         Clock::now() < aEnd) {
    if (running->proposal.Overtaken()) {
      co_await Pause(Milliseconds(2 + random() % 20));
      running->proposal.NextRound();
    }
    SendPending(*running);
    if (running->proposal.State() == claims::ProposalState::kDecided) {
      break;
    }
    running->wake.expires_after(resend);
    const auto [error] = co_await running->wake.async_wait(kNoThrow);
    // A cancelled wait means that a vote changed the phase or overtook it.
    resend = error ? kFirstResend : std::min(resend * 2, kLongestResend);
  }
  mRunning.erase(options.number);
  Decided decided;
  decided.decided =
    running->proposal.State() == claims::ProposalState::kDecided;
  decided.owner = running->proposal.Decided();
  decided.outcome = running->proposal.Outcome();
  decided.answer = running->proposal.Answer();
  co_return decided;
}

void
ClaimService::SendPending(Running& aRunning)
{
  const auto now = Clock::now();
  bool again = true;
  while (again) {
    again = false;
    for (const auto& send : aRunning.proposal.Pending()) {
      if (send.slot != mParts.slot) {
        const auto address = mParts.addressOf(send.slot);
        if (!address.empty()) {
          mParts.link->Send(address, send.body);
        }
        continue;
      }
      wire::ClaimVote vote;
      if (const auto* prepare = std::get_if<wire::ClaimPrepare>(&send.body)) {
        vote = mRegister.Handle(*prepare, ElectorateOf(prepare->key), now);
      } else if (const auto* accept =
                   std::get_if<wire::ClaimAccept>(&send.body)) {
        vote = mRegister.Handle(*accept, ElectorateOf(accept->key), now);
      }
      // With a single elector the phase may change at once.
      again = aRunning.proposal.Receive(vote) || again;
    }
  }
}

void
ClaimService::TakeVote(const wire::ClaimVote& aVote)
{
  const auto found = mRunning.find(aVote.proposal);
  if (found == mRunning.end()) {
    return;
  }
  auto& running = *found->second;
  const bool changed = running.proposal.Receive(aVote);
  if (changed || running.proposal.Overtaken()) {
    running.wake.cancel();
  }
}

bool
ClaimService::MaySend(const std::string&, std::uint64_t aAttempt)
{
  return mAttempts.MaySend(aAttempt, Clock::now());
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
    *mParts.loop, Announce(aAttempt), asio::use_awaitable);
}

/// Tells the electors what became of an attempt.
asio::awaitable<void>
ClaimService::Announce(std::uint64_t aAttempt)
{
  const auto attempt = mAttempts.FindNumber(aAttempt);
  if (attempt) {
    TellElectors(aAttempt, OutcomeOf(attempt->state), ToWire(attempt->answer));
  }
  co_return;
}

void
ClaimService::TellElectors(std::uint64_t aAttempt,
                           wire::KeyOutcome aOutcome,
                           const wire::KeyAnswer& aAnswer)
{
  const auto found = mOwned.find(aAttempt);
  if (found == mOwned.end()) {
    return;
  }
  const auto& owned = found->second;
  wire::ClaimOutcome notice{
    owned.key, owned.epoch, owned.owner, aOutcome, {}
  };
  if (aAnswer.body.size() <= kMostAnswerBytes) {
    notice.answer = aAnswer;
  }
  for (const auto& slot : ElectorateOf(owned.key).slots) {
    const auto address = mParts.addressOf(slot);
    if (slot == mParts.slot) {
      mRegister.Handle(notice);
    } else if (!address.empty()) {
      mParts.link->Send(address, notice);
    }
  }
  mOwned.erase(found);
}

} // namespace magnoliatide::node
