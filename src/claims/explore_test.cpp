// Explores the orders of events of a claim at small size: three electors, two
// sends of one key, and restarts of electors with nothing. All orders at the
// smallest size, random ones beyond it. The code explored is the code that
// the VMs run. A message that is never delivered stands for a lost one, a
// sender that takes no further step for one that crashed or gave up, and the
// step from owning the key to running the call may come at any later time.
#include "magnoliatide/claims/proposal.h"
#include "magnoliatide/claims/register.h"

#include "magnoliatide/core/digest.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace magnoliatide::claims {
namespace {

constexpr std::size_t kSenders = 2;
constexpr int kMostSteps = 150; ///< Of a random walk.
const std::vector<std::string> kSlots = { "a/1", "b/1", "c/1" };
const TimePoint kNow = TimePoint{} + std::chrono::hours(100);

/// What the exploration is allowed to do, and which defences are on.
struct Rules
{
  int restarts = 1; ///< Restarts of electors with nothing.
  int rounds = 0;   ///< Further ballots of each sender.
  bool checkIncarnations = true;
  bool abstain = true; ///< Restarted electors wait for copies.
};

RegisterOptions
OptionsOf(std::size_t aElector, std::uint64_t aNumber, bool aFirst)
{
  RegisterOptions options;
  options.slot = kSlots[aElector];
  options.incarnation = { aNumber, aNumber * 10 };
  options.started = kNow;
  options.firstStart = aFirst;
  options.slots = kSlots;
  options.electors = kSlots.size();
  return options;
}

/// Returns an elector that holds nothing and votes.
Register
FreshElector(std::size_t aElector, std::uint64_t aLife)
{
  Register elector(OptionsOf(aElector, aLife, true));
  for (std::size_t other = 0; other < kSlots.size(); ++other) {
    if (other != aElector) {
      wire::CopyReply reply;
      reply.incomplete = true;
      reply.slotsHash = HashOfSlots(kSlots);
      elector.Absorb(kSlots[other], reply, kNow);
    }
  }
  return elector;
}

/// A message that waits to be delivered, or is never.
struct Flying
{
  std::size_t sender = 0;
  std::size_t elector = 0;
  wire::DatagramBody body;
};

struct Sender
{
  Proposal proposal;
  int roundsLeft = 0;
  bool ran = false;
};

struct World
{
  std::vector<Register> electors;
  std::vector<Sender> senders;
  std::vector<Flying> flying;
  int restartsLeft = 0;
  std::uint64_t nextLife = 2;
};

wire::Owner
OwnerOf(std::size_t aSender)
{
  const auto number = aSender + 1;
  return { kSlots[aSender], 100 + number, number, 7 };
}

Proposal
ProposalOf(std::size_t aSender, const Rules& aRules)
{
  ProposalOptions options;
  options.number = aSender + 1;
  options.key = "k";
  options.electorate = { kSlots };
  options.self = OwnerOf(aSender);
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

/// A text that is the same for worlds that behave the same.
std::string
TextOf(const World& aWorld)
{
  std::string text = std::to_string(aWorld.restartsLeft) + "/";
  for (const auto& elector : aWorld.electors) {
    elector.Fingerprint(text);
  }
  for (const auto& sender : aWorld.senders) {
    sender.proposal.Fingerprint(text);
    text += std::to_string(sender.roundsLeft) + std::to_string(sender.ran);
  }
  std::vector<std::string> messages;
  for (const auto& message : aWorld.flying) {
    messages.push_back(std::to_string(message.sender) +
                       std::to_string(message.elector) +
                       BodyText(message.body));
  }
  std::sort(messages.begin(), messages.end());
  for (const auto& message : messages) {
    text += message + ";";
  }
  return text;
}

class Explorer
{
public:
  explicit Explorer(const Rules& aRules)
    : mRules(aRules)
  {
  }

  World Begin()
  {
    World world;
    for (std::size_t i = 0; i < kSlots.size(); ++i) {
      world.electors.push_back(FreshElector(i, 1));
    }
    for (std::size_t i = 0; i < kSenders; ++i) {
      world.senders.push_back({ ProposalOf(i, mRules), mRules.rounds, false });
      Launch(world, i);
    }
    world.restartsLeft = mRules.restarts;
    return world;
  }

  /// Visits every world that can be reached.
  void RunAll()
  {
    std::vector<World> open{ Begin() };
    while (!open.empty() && !mViolated) {
      const World next = std::move(open.back());
      open.pop_back();
      if (!mSeen.insert(Hash64(TextOf(next))).second) {
        continue;
      }
      Judge(next);
      for (const auto& action : ActionsOf(next)) {
        World reached = next;
        Apply(action, reached);
        DropStaleVotes(reached);
        open.push_back(std::move(reached));
      }
    }
  }

  /// Takes random walks.
  void RunWalks(int aWalks, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    for (int walk = 0; walk < aWalks && !mViolated; ++walk) {
      World world = Begin();
      for (int step = 0; step < kMostSteps; ++step) {
        const auto actions = ActionsOf(world);
        if (actions.empty()) {
          break;
        }
        Apply(actions[random() % actions.size()], world);
        Judge(world);
      }
    }
  }

  bool Violated() const { return mViolated; }
  std::size_t States() const { return mSeen.size(); }
  bool SomeoneRan() const { return mSomeoneRan; }

private:
  static void Launch(World& aWorld, std::size_t aSender)
  {
    const auto& sender = aWorld.senders[aSender];
    for (const auto& send : sender.proposal.Pending()) {
      const auto at = std::find(kSlots.begin(), kSlots.end(), send.slot);
      aWorld.flying.push_back(
        { aSender, static_cast<std::size_t>(at - kSlots.begin()), send.body });
    }
  }

  void Judge(const World& aWorld)
  {
    int runs = 0;
    for (const auto& sender : aWorld.senders) {
      runs += sender.ran ? 1 : 0;
    }
    mSomeoneRan = mSomeoneRan || runs > 0;
    mViolated = mViolated || runs > 1;
  }

  enum class ActionKind
  {
    kDeliver, ///< `index` is that of the message.
    kRun,
    kNextRound,
    kRestart,
    kCopy, ///< From the elector `other`.
  };

  struct Action
  {
    ActionKind kind = ActionKind::kDeliver;
    std::size_t index = 0;
    std::size_t other = 0;
  };

  std::vector<Action> ActionsOf(const World& aWorld) const
  {
    std::vector<Action> actions;
    for (std::size_t i = 0; i < aWorld.flying.size(); ++i) {
      actions.push_back({ ActionKind::kDeliver, i, 0 });
    }
    for (std::size_t i = 0; i < aWorld.senders.size(); ++i) {
      AddSenderActions(aWorld.senders[i], i, actions);
    }
    for (std::size_t i = 0; i < aWorld.electors.size(); ++i) {
      if (aWorld.restartsLeft > 0) {
        actions.push_back({ ActionKind::kRestart, i, 0 });
      }
      AddCopies(aWorld, i, actions);
    }
    return actions;
  }

  /// A sender may run once it owns the key, at any later time, and may try a
  /// higher ballot once it was overtaken.
  static void AddSenderActions(const Sender& aSender,
                               std::size_t aIndex,
                               std::vector<Action>& aActions)
  {
    if (aSender.ran) {
      return;
    }
    const bool decided = aSender.proposal.State() == ProposalState::kDecided;
    if (decided && aSender.proposal.Decided() == OwnerOf(aIndex)) {
      aActions.push_back({ ActionKind::kRun, aIndex, 0 });
    }
    if (!decided && aSender.roundsLeft > 0 && aSender.proposal.Overtaken()) {
      aActions.push_back({ ActionKind::kNextRound, aIndex, 0 });
    }
  }

  static void AddCopies(const World& aWorld,
                        std::size_t aIndex,
                        std::vector<Action>& aActions)
  {
    const auto& elector = aWorld.electors[aIndex];
    if (elector.Complete(kNow)) {
      return;
    }
    for (std::size_t other = 0; other < aWorld.electors.size(); ++other) {
      if (other != aIndex && !elector.HasCopyOf(kSlots[other])) {
        aActions.push_back({ ActionKind::kCopy, aIndex, other });
      }
    }
  }

  void Apply(const Action& aAction, World& aWorld) const
  {
    switch (aAction.kind) {
      case ActionKind::kDeliver:
        Deliver(aWorld, aAction.index);
        break;
      case ActionKind::kRun:
        aWorld.senders[aAction.index].ran = true;
        break;
      case ActionKind::kNextRound:
        aWorld.senders[aAction.index].roundsLeft -= 1;
        aWorld.senders[aAction.index].proposal.NextRound();
        Launch(aWorld, aAction.index);
        break;
      case ActionKind::kRestart:
        Restart(aWorld, aAction.index);
        break;
      case ActionKind::kCopy:
        Copy(aWorld, aAction.index, aAction.other);
        break;
    }
  }

  static void Deliver(World& aWorld, std::size_t aIndex)
  {
    const Flying message = aWorld.flying[aIndex];
    aWorld.flying.erase(aWorld.flying.begin() + static_cast<long>(aIndex));
    auto& elector = aWorld.electors[message.elector];
    auto& sender = aWorld.senders[message.sender];
    const Electorate electorate{ kSlots };
    std::optional<wire::ClaimVote> reply;
    if (const auto* prepare = std::get_if<wire::ClaimPrepare>(&message.body)) {
      reply = elector.Handle(*prepare, electorate, kNow);
    } else if (const auto* accept =
                 std::get_if<wire::ClaimAccept>(&message.body)) {
      reply = elector.Handle(*accept, electorate, kNow);
    }
    if (reply && reply->vote != wire::Vote::kAbstain) {
      aWorld.flying.push_back({ message.sender, message.elector, *reply });
    }
    if (!reply &&
        sender.proposal.Receive(std::get<wire::ClaimVote>(message.body))) {
      Launch(aWorld, message.sender);
    }
  }

  void Restart(World& aWorld, std::size_t aIndex) const
  {
    aWorld.restartsLeft -= 1;
    const auto life = aWorld.nextLife++;
    aWorld.electors[aIndex] = mRules.abstain
                                ? Register(OptionsOf(aIndex, life, false))
                                : FreshElector(aIndex, life);
  }

  static void Copy(World& aWorld, std::size_t aIndex, std::size_t aOther)
  {
    auto& elector = aWorld.electors[aIndex];
    const auto reply = aWorld.electors[aOther].Handle(
      wire::CopyRequest{ kSlots[aIndex], elector.Own(), "" }, kNow);
    elector.Absorb(kSlots[aOther], reply, kNow);
  }

  /// Removes votes that their senders would pass over, which merges worlds.
  static void DropStaleVotes(World& aWorld)
  {
    std::erase_if(aWorld.flying, [&](const Flying& aFlying) {
      const auto* vote = std::get_if<wire::ClaimVote>(&aFlying.body);
      if (vote == nullptr) {
        return false;
      }
      auto copy = aWorld.senders[aFlying.sender].proposal;
      std::string before;
      copy.Fingerprint(before);
      copy.Receive(*vote);
      std::string after;
      copy.Fingerprint(after);
      return before == after;
    });
  }

  Rules mRules;
  std::unordered_set<std::uint64_t> mSeen;
  bool mViolated = false;
  bool mSomeoneRan = false;
};

TEST(Explore, AKeyRunsAtMostOnceInEveryOrder)
{
  Rules rules;
  rules.restarts = 0;
  Explorer explorer(rules);
  explorer.RunAll();
  EXPECT_FALSE(explorer.Violated());
  EXPECT_TRUE(explorer.SomeoneRan());
  std::printf("worlds visited: %zu\n", explorer.States());
}

TEST(Explore, AKeyRunsAtMostOnceInRandomOrdersWithOneRestart)
{
  Rules rules;
  rules.rounds = 2;
  Explorer explorer(rules);
  explorer.RunWalks(40000, 20261205);
  EXPECT_FALSE(explorer.Violated());
  EXPECT_TRUE(explorer.SomeoneRan());
}

TEST(Explore, AKeyRunsAtMostOnceInRandomOrdersWithRestarts)
{
  Rules rules;
  rules.restarts = 3;
  rules.rounds = 3;
  Explorer explorer(rules);
  explorer.RunWalks(40000, 20261204);
  EXPECT_FALSE(explorer.Violated());
  EXPECT_TRUE(explorer.SomeoneRan());
}

TEST(Explore, FindsTheDoubleRunWhenRestartedElectorsVoteAtOnce)
{
  Rules rules;
  rules.rounds = 1;
  rules.abstain = false;
  Explorer explorer(rules);
  explorer.RunWalks(20000, 1);
  EXPECT_TRUE(explorer.Violated());
}

TEST(Explore, FindsTheDoubleRunWhenOldLivesAreCounted)
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
