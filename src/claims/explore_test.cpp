// Model checking of claims: three electors, two proposers of one key, and
// electors that restart without their state. Without restarts, all orders of
// events are explored; otherwise random ones. The explored code is the code
// that the VMs run. A lost message is modelled by one that is never delivered,
// and a proposer that crashed or gave up by one that takes no further step. An
// owner may run the call at any time after the decision.
#include "magnoliatide/claims/elector.h"
#include "magnoliatide/claims/proposal.h"

#include "magnoliatide/core/digest.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace magnoliatide::claims {
namespace {

constexpr std::size_t kProposers = 2;
constexpr int kMaxSteps = 150; ///< Of a random walk.
const std::vector<std::string> kSlots = { "a/1", "b/1", "c/1" };
const TimePoint kNow = TimePoint{} + std::chrono::hours(100);

/// The limits of an exploration and the safety checks that are enabled.
struct Rules
{
  int restarts = 1; ///< Restarts of electors, which lose their state.
  int rounds = 0;   ///< Additional ballots of each proposer.
  bool checkIncarnations = true; ///< See ProposalOptions.
  bool abstain = true; ///< Restarted electors abstain until they have copies.
};

ElectorOptions
OptionsFor(std::size_t aElector, std::uint64_t aNumber, bool aFirstStart)
{
  ElectorOptions options;
  options.slot = kSlots[aElector];
  options.incarnation = { aNumber, aNumber * 10 };
  options.started = kNow;
  options.firstStart = aFirstStart;
  options.slots = kSlots;
  options.electors = kSlots.size();
  return options;
}

/// Returns an elector that has no keys and may vote.
Elector
FreshElector(std::size_t aElector, std::uint64_t aIncarnation)
{
  Elector elector(OptionsFor(aElector, aIncarnation, true));
  for (std::size_t other = 0; other < kSlots.size(); ++other) {
    if (other != aElector) {
      wire::CopyReply reply;
      reply.incomplete = true;
      reply.slotsHash = HashSlots(kSlots);
      elector.ApplyCopy(kSlots[other], reply, kNow);
    }
  }
  return elector;
}

/// A message in transit. It may never be delivered.
struct Message
{
  std::size_t proposer = 0;
  std::size_t elector = 0;
  wire::DatagramBody body;
};

struct Proposer
{
  Proposal proposal;
  int roundsLeft = 0;
  bool ran = false;
};

/// The state of all electors and proposers, and the messages between them.
struct ModelState
{
  std::vector<Elector> electors;
  std::vector<Proposer> proposers;
  std::vector<Message> inTransit;
  int restartsLeft = 0;
  std::uint64_t nextIncarnation = 2;
};

wire::KeyOwner
OwnerFor(std::size_t aProposer)
{
  const auto number = aProposer + 1;
  return { kSlots[aProposer], 100 + number, number, 7 };
}

Proposal
ProposalFor(std::size_t aProposer, const Rules& aRules)
{
  ProposalOptions options;
  options.number = aProposer + 1;
  options.key = "k";
  options.electorate = { kSlots };
  options.self = OwnerFor(aProposer);
  options.checkIncarnations = aRules.checkIncarnations;
  return Proposal(options);
}

std::string
BodyText(const wire::DatagramBody& aBody)
{
  std::string text;
  if (const auto* prepare = std::get_if<wire::ClaimPrepare>(&aBody)) {
    text = "p" + std::to_string(prepare->ballot.round);
  } else if (const auto* accept = std::get_if<wire::ClaimAccept>(&aBody)) {
    text = "a" + std::to_string(accept->ballot.round) + "," +
           std::to_string(accept->owner.attempt);
  } else if (const auto* vote = std::get_if<wire::ClaimVote>(&aBody)) {
    text = "v" + std::to_string(vote->accepting) + "," +
           std::to_string(vote->ballot.round) + "," +
           std::to_string(static_cast<int>(vote->vote)) + "," +
           std::to_string(vote->promised.round) + "," +
           std::to_string(vote->promised.proposer) + "," +
           std::to_string(vote->hasAccepted) + "," +
           std::to_string(vote->accepted.attempt) + "," +
           std::to_string(vote->acceptedBallot.round) + "," +
           std::to_string(vote->acceptedBallot.proposer) + "," +
           std::to_string(vote->incarnation.number);
    for (const auto& known : vote->known) {
      text += known.slot + std::to_string(known.incarnation.number);
    }
  }
  return text;
}

/// Returns a text that is equal for states that behave the same.
std::string
StateText(const ModelState& aState)
{
  std::string text = std::to_string(aState.restartsLeft) + "/";
  for (const auto& elector : aState.electors) {
    elector.AppendStateText(text);
  }
  for (const auto& proposer : aState.proposers) {
    proposer.proposal.AppendStateText(text);
    text += std::to_string(proposer.roundsLeft) + std::to_string(proposer.ran);
  }
  std::vector<std::string> messageTexts;
  for (const auto& message : aState.inTransit) {
    messageTexts.push_back(std::to_string(message.proposer) +
                           std::to_string(message.elector) +
                           BodyText(message.body));
  }
  std::sort(messageTexts.begin(), messageTexts.end());
  for (const auto& message : messageTexts) {
    text += message + ";";
  }
  return text;
}

/// Explores states within the given limits and checks in each of them that at
/// most one proposer has run the call.
class Explorer
{
public:
  explicit Explorer(const Rules& aRules)
    : mRules(aRules)
  {
  }

  ModelState Initial()
  {
    ModelState state;
    for (std::size_t i = 0; i < kSlots.size(); ++i) {
      state.electors.push_back(FreshElector(i, 1));
    }
    for (std::size_t i = 0; i < kProposers; ++i) {
      state.proposers.push_back(
        { ProposalFor(i, mRules), mRules.rounds, false });
      SendPending(state, i);
    }
    state.restartsLeft = mRules.restarts;
    return state;
  }

  /// Visits every reachable state.
  void RunAll()
  {
    std::vector<ModelState> open{ Initial() };
    while (!open.empty() && !mViolated) {
      const ModelState next = std::move(open.back());
      open.pop_back();
      if (!mVisited.insert(Hash64(StateText(next))).second) {
        continue;
      }
      CheckInvariant(next);
      for (const auto& action : PossibleActions(next)) {
        ModelState reached = next;
        Apply(action, reached);
        DropStaleVotes(reached);
        open.push_back(std::move(reached));
      }
    }
  }

  /// Follows random sequences of actions.
  void RunWalks(int aWalks, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    for (int walk = 0; walk < aWalks && !mViolated; ++walk) {
      ModelState state = Initial();
      for (int step = 0; step < kMaxSteps; ++step) {
        const auto actions = PossibleActions(state);
        if (actions.empty()) {
          break;
        }
        Apply(actions[random() % actions.size()], state);
        CheckInvariant(state);
      }
    }
  }

  bool Violated() const { return mViolated; }
  std::size_t States() const { return mVisited.size(); }
  bool AnyRan() const { return mAnyRan; }

private:
  static void SendPending(ModelState& aState, std::size_t aProposer)
  {
    const auto& proposer = aState.proposers[aProposer];
    for (const auto& send : proposer.proposal.PendingMessages()) {
      const auto at = std::find(kSlots.begin(), kSlots.end(), send.slot);
      aState.inTransit.push_back(
        { aProposer,
          static_cast<std::size_t>(at - kSlots.begin()),
          send.body });
    }
  }

  void CheckInvariant(const ModelState& aState)
  {
    int runs = 0;
    for (const auto& proposer : aState.proposers) {
      runs += proposer.ran ? 1 : 0;
    }
    mAnyRan = mAnyRan || runs > 0;
    mViolated = mViolated || runs > 1;
  }

  enum class ActionKind
  {
    kDeliver,   ///< Delivers message `index`.
    kRun,       ///< Proposer `index` runs the call.
    kNextRound, ///< Proposer `index` starts a higher ballot.
    kRestart,   ///< Elector `index` restarts without its state.
    kCopy,      ///< Elector `index` copies the state of elector `other`.
  };

  struct Action
  {
    ActionKind kind = ActionKind::kDeliver;
    std::size_t index = 0;
    std::size_t other = 0;
  };

  std::vector<Action> PossibleActions(const ModelState& aState) const
  {
    std::vector<Action> actions;
    for (std::size_t i = 0; i < aState.inTransit.size(); ++i) {
      actions.push_back({ ActionKind::kDeliver, i, 0 });
    }
    for (std::size_t i = 0; i < aState.proposers.size(); ++i) {
      AddProposerActions(aState.proposers[i], i, actions);
    }
    for (std::size_t i = 0; i < aState.electors.size(); ++i) {
      if (aState.restartsLeft > 0) {
        actions.push_back({ ActionKind::kRestart, i, 0 });
      }
      AddCopyActions(aState, i, actions);
    }
    return actions;
  }

  /// A proposer may run the call at any time after it has become the owner, and
  /// may start a higher ballot after its own was preempted.
  static void AddProposerActions(const Proposer& aProposer,
                                 std::size_t aIndex,
                                 std::vector<Action>& aActions)
  {
    if (aProposer.ran) {
      return;
    }
    const bool decided = aProposer.proposal.State() == ProposalState::kDecided;
    if (decided && aProposer.proposal.DecidedOwner() == OwnerFor(aIndex)) {
      aActions.push_back({ ActionKind::kRun, aIndex, 0 });
    }
    if (!decided && aProposer.roundsLeft > 0 &&
        aProposer.proposal.IsPreempted()) {
      aActions.push_back({ ActionKind::kNextRound, aIndex, 0 });
    }
  }

  static void AddCopyActions(const ModelState& aState,
                             std::size_t aIndex,
                             std::vector<Action>& aActions)
  {
    const auto& elector = aState.electors[aIndex];
    if (elector.IsComplete(kNow)) {
      return;
    }
    for (std::size_t other = 0; other < aState.electors.size(); ++other) {
      if (other != aIndex && !elector.HasCopyOf(kSlots[other])) {
        aActions.push_back({ ActionKind::kCopy, aIndex, other });
      }
    }
  }

  void Apply(const Action& aAction, ModelState& aState) const
  {
    switch (aAction.kind) {
      case ActionKind::kDeliver:
        Deliver(aState, aAction.index);
        break;
      case ActionKind::kRun:
        aState.proposers[aAction.index].ran = true;
        break;
      case ActionKind::kNextRound:
        aState.proposers[aAction.index].roundsLeft -= 1;
        aState.proposers[aAction.index].proposal.StartNextRound();
        SendPending(aState, aAction.index);
        break;
      case ActionKind::kRestart:
        Restart(aState, aAction.index);
        break;
      case ActionKind::kCopy:
        Copy(aState, aAction.index, aAction.other);
        break;
    }
  }

  static void Deliver(ModelState& aState, std::size_t aIndex)
  {
    const Message message = aState.inTransit[aIndex];
    aState.inTransit.erase(aState.inTransit.begin() +
                           static_cast<long>(aIndex));
    auto& elector = aState.electors[message.elector];
    auto& proposer = aState.proposers[message.proposer];
    const Electorate electorate{ kSlots };
    std::optional<wire::ClaimVote> reply;
    if (const auto* prepare = std::get_if<wire::ClaimPrepare>(&message.body)) {
      reply = elector.Handle(*prepare, electorate, kNow);
    } else if (const auto* accept =
                 std::get_if<wire::ClaimAccept>(&message.body)) {
      reply = elector.Handle(*accept, electorate, kNow);
    }
    if (reply && reply->vote != wire::Vote::kAbstain) {
      aState.inTransit.push_back({ message.proposer, message.elector, *reply });
    }
    if (!reply &&
        proposer.proposal.Receive(std::get<wire::ClaimVote>(message.body))) {
      SendPending(aState, message.proposer);
    }
  }

  void Restart(ModelState& aState, std::size_t aIndex) const
  {
    aState.restartsLeft -= 1;
    const auto incarnation = aState.nextIncarnation++;
    aState.electors[aIndex] =
      mRules.abstain ? Elector(OptionsFor(aIndex, incarnation, false))
                     : FreshElector(aIndex, incarnation);
  }

  static void Copy(ModelState& aState, std::size_t aIndex, std::size_t aOther)
  {
    auto& elector = aState.electors[aIndex];
    const auto reply = aState.electors[aOther].Handle(
      wire::CopyRequest{ kSlots[aIndex], elector.OwnIncarnation(), "" }, kNow);
    elector.ApplyCopy(kSlots[aOther], reply, kNow);
  }

  /// Removes votes that their receivers would ignore, so that states which
  /// differ only in these are visited once.
  static void DropStaleVotes(ModelState& aState)
  {
    std::erase_if(aState.inTransit, [&](const Message& aMessage) {
      const auto* vote = std::get_if<wire::ClaimVote>(&aMessage.body);
      if (vote == nullptr) {
        return false;
      }
      auto copy = aState.proposers[aMessage.proposer].proposal;
      std::string before;
      copy.AppendStateText(before);
      copy.Receive(*vote);
      std::string after;
      copy.AppendStateText(after);
      return before == after;
    });
  }

  Rules mRules;
  std::unordered_set<std::uint64_t> mVisited;
  bool mViolated = false;
  bool mAnyRan = false;
};

TEST(Explore, AKeyRunsAtMostOnceInEveryOrder)
{
  Rules rules;
  rules.restarts = 0;
  Explorer explorer(rules);
  explorer.RunAll();
  EXPECT_FALSE(explorer.Violated());
  EXPECT_TRUE(explorer.AnyRan());
  std::printf("states visited: %zu\n", explorer.States());
}

TEST(Explore, AKeyRunsAtMostOnceInRandomOrdersWithOneRestart)
{
  Rules rules;
  rules.rounds = 2;
  Explorer explorer(rules);
  explorer.RunWalks(40000, 20261205);
  EXPECT_FALSE(explorer.Violated());
  EXPECT_TRUE(explorer.AnyRan());
}

TEST(Explore, AKeyRunsAtMostOnceInRandomOrdersWithRestarts)
{
  Rules rules;
  rules.restarts = 3;
  rules.rounds = 3;
  Explorer explorer(rules);
  explorer.RunWalks(40000, 20261204);
  EXPECT_FALSE(explorer.Violated());
  EXPECT_TRUE(explorer.AnyRan());
}

// Without abstention after a restart, the exploration must find a call that
// runs twice.
TEST(Explore, FindsTheDoubleRunWhenRestartedElectorsVoteAtOnce)
{
  Rules rules;
  rules.rounds = 1;
  rules.abstain = false;
  Explorer explorer(rules);
  explorer.RunWalks(20000, 1);
  EXPECT_TRUE(explorer.Violated());
}

// Without the check of incarnations, the exploration must find a call that runs
// twice.
TEST(Explore, FindsTheDoubleRunWhenVotesOfOldIncarnationsCount)
{
  Rules rules;
  rules.rounds = 1;
  rules.restarts = 1;
  rules.checkIncarnations = false;
  Explorer explorer(rules);
  explorer.RunWalks(200000, 1);
  EXPECT_TRUE(explorer.Violated());
}

} // namespace
} // namespace magnoliatide::claims
