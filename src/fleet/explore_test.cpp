// Explores the orders of events between a VM that asks and one that decides:
// messages are delivered, lost, repeated and overtaken, time passes, the one
// that decides ends and is replaced, and each may hold the other dead. All
// orders at the smallest size, random ones beyond it. The code explored is the
// code that the VMs run.
//
// In every order each request gets one verdict, and once messages pass again no
// slot of a server is held for what has ended.
#include "magnoliatide/fleet/work_client.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace magnoliatide::fleet {
namespace {

constexpr const char* kZone = "z";
constexpr const char* kService = "s";
constexpr const char* kServer = "server";
constexpr const char* kTeam = "team";

/// A step of time: more than an ask is repeated after, less than it is given
/// up after.
constexpr Duration kTimeStep = Milliseconds(30);

/// Messages on the way among which an order chooses.
constexpr std::size_t kMostChoices = 3;

/// Which of the defences are on.
struct Rules
{
  bool reports = true;   ///< VMs tell what they run.
  bool withdraws = true; ///< VMs tell what they do not want any more.
  /// In which all is settled once messages pass.
  Duration settleTime = Seconds(6);
};

struct Flying
{
  std::uint64_t from = 0;
  WorkMessage message;
};

struct Vm
{
  std::uint64_t process = 0;
  std::unique_ptr<WorkAuthority> authority;
  std::unique_ptr<WorkClient> client;
};

/// The first VM coordinates; both accept a request.
class World
{
public:
  explicit World(Rules aRules)
    : mRules(aRules)
  {
    for (std::size_t i = 0; i < 2; ++i) {
      mVms.push_back(Start(i + 1));
    }
    Introduce();
    Submit(0, 1);
    Submit(1, 2);
  }

  /// Returns how many steps there are to choose from.
  std::size_t Choices() const { return kFixedSteps + 2 * MessageChoices(); }

  void Step(std::size_t aChoice)
  {
    switch (aChoice) {
      case 0:
        Pass(kTimeStep);
        return;
      case 1:
        FinishOne();
        return;
      case 2:
        Replace();
        return;
      case 3:
        Part();
        return;
      default:
        break;
    }
    const auto at = (aChoice - kFixedSteps) / 2;
    const bool lost = (aChoice - kFixedSteps) % 2 == 1;
    auto flying = mFlying[at];
    mFlying.erase(mFlying.begin() + static_cast<std::ptrdiff_t>(at));
    if (!lost) {
      Deliver(flying);
    }
  }

  /// Repeats a message that was delivered.
  void Repeat(std::mt19937& aRandom)
  {
    if (!mDelivered.empty()) {
      const Flying again = mDelivered[aRandom() % mDelivered.size()];
      Deliver(again); // A copy, as it is added to the delivered ones.
    }
  }

  /// Lets everything pass, ends what runs, and returns what is wrong, or
  /// nothing.
  std::string Settle()
  {
    Introduce();
    const TimePoint end = mNow + mRules.settleTime;
    while (mNow < end) {
      while (!mFlying.empty()) {
        auto flying = mFlying.front();
        mFlying.erase(mFlying.begin());
        Deliver(flying);
      }
      FinishOne();
      Pass(kTimeStep);
    }
    for (const auto& [job, verdicts] : mVerdicts) {
      if (verdicts != 1) {
        return "request " + std::to_string(job) + " got " +
               std::to_string(verdicts) + " verdicts";
      }
    }
    for (auto& vm : mVms) {
      // A slot that is still held would keep the next request waiting.
      const auto job = JobOfNumber(99 + vm.process);
      const auto made = vm.authority->Work().Waiting();
      vm.authority->Ask(vm.process, kZone, AskOf(9000, job, mNow), mNow);
      const bool free = vm.authority->Work().Waiting() == made;
      vm.authority->TakeVerdicts();
      if (!free) {
        return "VM " + std::to_string(vm.process) + " still holds a slot";
      }
    }
    return "";
  }

private:
  static constexpr std::size_t kFixedSteps = 4;

  std::size_t MessageChoices() const
  {
    return std::min(mFlying.size(), kMostChoices);
  }

  policy::Job JobOfNumber(std::uint64_t aId) const
  {
    policy::Job job;
    job.id = aId;
    job.service = kService;
    job.kind = "kind";
    job.team = kTeam;
    job.arrival = mNow;
    job.target = Seconds(5);
    job.end = mNow + Seconds(20);
    job.fingerprint = aId;
    return job;
  }

  Vm Start(std::uint64_t aProcess)
  {
    Vm vm;
    vm.process = aProcess;
    vm.authority = std::make_unique<WorkAuthority>(AuthorityOptions{});
    WorkClientOptions options;
    options.self = aProcess;
    options.zone = kZone;
    vm.client = std::make_unique<WorkClient>(options, *vm.authority, mNow);
    routing::Server server;
    server.id = kServer;
    server.service = kService;
    server.zone = kZone;
    server.slots = 1;
    vm.authority->SetServers({ { kServer, server } }, mNow);
    return vm;
  }

  /// Lets both VMs know of each other, the first as the first choice.
  void Introduce()
  {
    std::vector<Candidate> candidates;
    for (const auto& vm : mVms) {
      candidates.push_back(
        { vm.process, kZone, "vm-" + std::to_string(vm.process) });
    }
    for (auto& vm : mVms) {
      vm.client->SetCandidates(candidates, mNow);
      Flush(vm);
    }
  }

  void Submit(std::size_t aVm, policy::JobId aJob)
  {
    mVerdicts[aJob] = 0;
    mOwner[aJob] = mVms[aVm].process;
    mVms[aVm].client->Submit(
      JobOfNumber(aJob),
      [this, aJob](const wire::WorkVerdict& aVerdict, const std::string&) {
        mVerdicts[aJob] += 1;
        if (aVerdict.decision == wire::WorkDecision::kSend) {
          mRunning.push_back(aJob);
        }
      },
      mNow);
    Flush(mVms[aVm]);
  }

  void Pass(Duration aTime)
  {
    mNow += aTime;
    for (auto& vm : mVms) {
      vm.client->Tick(mNow);
      vm.authority->Tick(mNow);
      Flush(vm);
    }
  }

  /// Ends the oldest run.
  void FinishOne()
  {
    if (mRunning.empty()) {
      return;
    }
    const auto job = mRunning.front();
    mRunning.erase(mRunning.begin());
    for (auto& vm : mVms) {
      if (vm.process == mOwner[job]) {
        policy::SendReport report;
        report.toEnd = Milliseconds(50);
        vm.client->Finish(job, report, mNow);
        Flush(vm);
      }
    }
  }

  /// The VM that decides ends, and another process takes its place. The other
  /// VM hears of both.
  void Replace()
  {
    if (mReplaced) {
      return;
    }
    mReplaced = true;
    const auto ended = mVms[0].process;
    // What its callers had asked for ends with it.
    for (const auto& [job, owner] : mOwner) {
      if (owner == ended) {
        mVerdicts.erase(job);
        std::erase(mRunning, job);
      }
    }
    mVms[0] = Start(ended + 10);
    mVms[1].authority->ForgetVm(ended, mNow);
    Introduce();
  }

  /// The VM that asks holds the other dead for a while.
  void Part()
  {
    auto& vm = mVms[1];
    vm.client->SetCandidates({ { vm.process, kZone, "vm" } }, mNow);
    Flush(vm);
  }

  void Flush(Vm& aVm)
  {
    for (auto& message : aVm.client->TakeMessages(mNow)) {
      const bool report =
        std::holds_alternative<wire::WorkReport>(message.body);
      const bool withdraw =
        std::holds_alternative<wire::WorkWithdraw>(message.body) ||
        std::holds_alternative<wire::WorkProgress>(message.body);
      if ((!report || mRules.reports) && (!withdraw || mRules.withdraws)) {
        mFlying.push_back({ aVm.process, std::move(message) });
      }
    }
  }

  void Deliver(const Flying& aFlying)
  {
    mDelivered.push_back(aFlying);
    for (auto& vm : mVms) {
      if (vm.process != aFlying.message.to) {
        continue;
      }
      const auto from = aFlying.from;
      const auto& body = aFlying.message.body;
      if (const auto* ask = std::get_if<wire::WorkAsk>(&body)) {
        vm.authority->Ask(from, kZone, *ask, mNow);
      } else if (const auto* verdict = std::get_if<wire::WorkVerdict>(&body)) {
        vm.client->Receive(from, *verdict, mNow);
      } else if (const auto* end = std::get_if<wire::WorkWithdraw>(&body)) {
        vm.authority->Withdraw(from, *end);
      } else if (const auto* progress =
                   std::get_if<wire::WorkProgress>(&body)) {
        vm.authority->Progress(from, *progress, mNow);
      } else if (const auto* report = std::get_if<wire::WorkReport>(&body)) {
        vm.authority->Report(from, kZone, *report, mNow);
      }
      Flush(vm);
    }
  }

  Rules mRules;
  TimePoint mNow = TimePoint(Seconds(1000));
  std::vector<Vm> mVms;
  std::vector<Flying> mFlying;
  std::vector<Flying> mDelivered;
  std::map<policy::JobId, int> mVerdicts;
  std::map<policy::JobId, std::uint64_t> mOwner;
  std::vector<policy::JobId> mRunning;
  bool mReplaced = false;
};

/// Plays every order of some steps. Returns what is wrong in the first one that
/// is, or nothing.
std::string
ExploreAll(const Rules& aRules, std::size_t aSteps, std::size_t& aOrders)
{
  std::vector<std::size_t> order;
  std::string wrong;
  const std::function<void()> explore = [&] {
    World world(aRules);
    for (const auto choice : order) {
      world.Step(choice);
    }
    const auto choices = world.Choices();
    if (order.size() == aSteps) {
      aOrders += 1;
      wrong = world.Settle();
      return;
    }
    for (std::size_t choice = 0; choice < choices && wrong.empty(); ++choice) {
      order.push_back(choice);
      explore();
      if (wrong.empty()) {
        order.pop_back();
      }
    }
  };
  explore();
  if (!wrong.empty()) {
    wrong += " after";
    for (const auto choice : order) {
      wrong += " " + std::to_string(choice);
    }
  }
  return wrong;
}

TEST(Explore, EveryOrderOfFewStepsGivesOneVerdictAndFreesTheSlot)
{
  std::size_t orders = 0;
  EXPECT_EQ(ExploreAll({}, 5, orders), "");
  EXPECT_GT(orders, 1000u);
}

TEST(Explore, RandomOrdersOfManyStepsDoToo)
{
  constexpr std::uint32_t kWalks = 1500;
  constexpr std::size_t kSteps = 40;
  for (std::uint32_t seed = 1; seed <= kWalks; ++seed) {
    std::mt19937 random(seed);
    World world({});
    for (std::size_t i = 0; i < kSteps; ++i) {
      if (random() % 8 == 0) {
        world.Repeat(random);
      } else {
        world.Step(random() % world.Choices());
      }
    }
    ASSERT_EQ(world.Settle(), "") << "seed " << seed;
  }
}

// What the exploration is worth: it finds the slots that are held, for as long
// as a VM is believed without a word, where VMs neither report nor say what
// they do not want.
TEST(Explore, ASlotThatIsNotGivenBackIsFound)
{
  std::size_t orders = 0;
  Rules rules;
  rules.reports = false;
  rules.withdraws = false;
  rules.settleTime = Seconds(1);
  EXPECT_NE(ExploreAll(rules, 3, orders), "");
}

} // namespace
} // namespace magnoliatide::fleet
