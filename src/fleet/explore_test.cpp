// Explores event orders between a dispatch client and a coordinator. Messages
// are delivered, lost, repeated and reordered, time passes, the coordinator is
// replaced, and each VM may consider the other dead. Short sequences are
// explored exhaustively, longer ones at random, with the production classes.
//
// In every order each request gets one decision. Once messages are delivered
// again, no slot stays reserved for a request that has ended.
#include "magnoliatide/fleet/dispatch_client.h"

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

/// Longer than the retry interval of a request and shorter than its timeout.
constexpr Duration kTimeStep = Milliseconds(30);

/// Messages in flight that a step can choose from.
constexpr std::size_t kMaxChoices = 3;

/// Enabled recovery mechanisms.
struct Mechanisms
{
  bool reports = true;   ///< VMs report running requests.
  bool withdraws = true; ///< VMs send withdrawals and progress.
  /// Time to reach a stable state once all messages are delivered.
  Duration settleTime = Seconds(6);
};

struct InFlight
{
  std::uint64_t from = 0;
  DispatchMessage message;
};

struct Vm
{
  std::uint64_t process = 0;
  std::unique_ptr<DispatchCoordinator> coordinator;
  std::unique_ptr<DispatchClient> client;
};

/// Two VMs with one request each; the first VM is the coordinator.
class Simulation
{
public:
  explicit Simulation(Mechanisms aMechanisms)
    : mMechanisms(aMechanisms)
  {
    for (std::size_t i = 0; i < 2; ++i) {
      mVms.push_back(Start(i + 1));
    }
    ConnectVms();
    Submit(0, 1);
    Submit(1, 2);
  }

  /// Returns the number of possible next steps.
  std::size_t Choices() const { return kFixedSteps + 2 * MessageChoices(); }

  /// Executes a step. The steps after the first kFixedSteps deliver or lose the
  /// oldest messages in flight: two steps for each message, in that order.
  void Step(std::size_t aChoice)
  {
    switch (aChoice) {
      case 0:
        Advance(kTimeStep);
        return;
      case 1:
        FinishOne();
        return;
      case 2:
        Replace();
        return;
      case 3:
        Isolate();
        return;
      default:
        break;
    }
    const auto at = (aChoice - kFixedSteps) / 2;
    const bool lost = (aChoice - kFixedSteps) % 2 == 1;
    auto inFlight = mInFlight[at];
    mInFlight.erase(mInFlight.begin() + static_cast<std::ptrdiff_t>(at));
    if (!lost) {
      Deliver(inFlight);
    }
  }

  /// Delivers an earlier message again.
  void Repeat(std::mt19937& aRandom)
  {
    if (!mDelivered.empty()) {
      const InFlight again = mDelivered[aRandom() % mDelivered.size()];
      Deliver(again); // A copy, as Deliver appends to mDelivered.
    }
  }

  /// Delivers all messages and finishes all requests. Returns a description of
  /// the violated property, or an empty string.
  std::string Settle()
  {
    ConnectVms();
    const TimePoint end = mNow + mMechanisms.settleTime;
    while (mNow < end) {
      while (!mInFlight.empty()) {
        auto inFlight = mInFlight.front();
        mInFlight.erase(mInFlight.begin());
        Deliver(inFlight);
      }
      FinishOne();
      Advance(kTimeStep);
    }
    for (const auto& [job, decisions] : mDecisions) {
      if (decisions != 1) {
        return "request " + std::to_string(job) + " got " +
               std::to_string(decisions) + " decisions";
      }
    }
    for (auto& vm : mVms) {
      // If a slot were still reserved, a new request would have to wait.
      const auto job = MakeJob(99 + vm.process);
      const auto waitingBefore = vm.coordinator->Allocator().Waiting();
      vm.coordinator->Submit(vm.process, kZone, ToWire(9000, job, mNow), mNow);
      const bool free = vm.coordinator->Allocator().Waiting() == waitingBefore;
      vm.coordinator->TakeReplies();
      if (!free) {
        return "VM " + std::to_string(vm.process) +
               " still has a reserved slot";
      }
    }
    return "";
  }

private:
  /// Steps that are always possible.
  static constexpr std::size_t kFixedSteps = 4;

  std::size_t MessageChoices() const
  {
    return std::min(mInFlight.size(), kMaxChoices);
  }

  policy::Job MakeJob(std::uint64_t aId) const
  {
    policy::Job job;
    job.id = aId;
    job.service = kService;
    job.kind = "kind";
    job.team = kTeam;
    job.arrival = mNow;
    job.target = Seconds(5);
    job.deadline = mNow + Seconds(20);
    job.fingerprint = aId;
    return job;
  }

  Vm Start(std::uint64_t aProcess)
  {
    Vm vm;
    vm.process = aProcess;
    vm.coordinator =
      std::make_unique<DispatchCoordinator>(DispatchCoordinatorOptions{});
    DispatchClientOptions options;
    options.self = aProcess;
    options.zone = kZone;
    vm.client =
      std::make_unique<DispatchClient>(options, *vm.coordinator, mNow);
    routing::Server server;
    server.id = kServer;
    server.service = kService;
    server.zone = kZone;
    server.slots = 1;
    vm.coordinator->SetServers({ { kServer, server } }, mNow);
    return vm;
  }

  /// Makes both VMs candidates on both, the first VM preferred.
  void ConnectVms()
  {
    std::vector<CoordinatorCandidate> candidates;
    for (const auto& vm : mVms) {
      candidates.push_back(
        { vm.process, kZone, "vm-" + std::to_string(vm.process) });
    }
    for (auto& vm : mVms) {
      vm.client->SetCandidates(candidates, mNow);
      CollectMessages(vm);
    }
  }

  void Submit(std::size_t aVm, policy::JobId aJob)
  {
    mDecisions[aJob] = 0;
    mOwner[aJob] = mVms[aVm].process;
    mVms[aVm].client->Submit(
      MakeJob(aJob),
      [this, aJob](const wire::DispatchReply& aReply, const std::string&) {
        mDecisions[aJob] += 1;
        if (aReply.decision == wire::DispatchDecision::kSend) {
          mRunning.push_back(aJob);
        }
      },
      mNow);
    CollectMessages(mVms[aVm]);
  }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    for (auto& vm : mVms) {
      vm.client->Tick(mNow);
      vm.coordinator->Tick(mNow);
      CollectMessages(vm);
    }
  }

  /// Finishes the oldest running request.
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
        CollectMessages(vm);
      }
    }
  }

  /// Replaces the coordinator's process. The other VM is notified of the end of
  /// the old process and of the new one.
  void Replace()
  {
    if (mReplaced) {
      return;
    }
    mReplaced = true;
    const auto ended = mVms[0].process;
    // The requests of its own callers end with it.
    for (const auto& [job, owner] : mOwner) {
      if (owner == ended) {
        mDecisions.erase(job);
        std::erase(mRunning, job);
      }
    }
    mVms[0] = Start(ended + 10);
    mVms[1].coordinator->RemoveVm(ended, mNow);
    ConnectVms();
  }

  /// Makes the second VM consider the coordinator dead for a while.
  void Isolate()
  {
    auto& vm = mVms[1];
    vm.client->SetCandidates({ { vm.process, kZone, "vm" } }, mNow);
    CollectMessages(vm);
  }

  void CollectMessages(Vm& aVm)
  {
    for (auto& message : aVm.client->TakeMessages(mNow)) {
      const bool report =
        std::holds_alternative<wire::DispatchReport>(message.body);
      const bool withdraw =
        std::holds_alternative<wire::DispatchCancel>(message.body) ||
        std::holds_alternative<wire::DispatchProgress>(message.body);
      if ((!report || mMechanisms.reports) &&
          (!withdraw || mMechanisms.withdraws)) {
        mInFlight.push_back({ aVm.process, std::move(message) });
      }
    }
  }

  void Deliver(const InFlight& aInFlight)
  {
    mDelivered.push_back(aInFlight);
    for (auto& vm : mVms) {
      if (vm.process != aInFlight.message.to) {
        continue;
      }
      const auto from = aInFlight.from;
      const auto& body = aInFlight.message.body;
      if (const auto* request = std::get_if<wire::DispatchRequest>(&body)) {
        vm.coordinator->Submit(from, kZone, *request, mNow);
      } else if (const auto* reply = std::get_if<wire::DispatchReply>(&body)) {
        vm.client->Receive(from, *reply, mNow);
      } else if (const auto* cancel =
                   std::get_if<wire::DispatchCancel>(&body)) {
        vm.coordinator->Withdraw(from, *cancel);
      } else if (const auto* progress =
                   std::get_if<wire::DispatchProgress>(&body)) {
        vm.coordinator->Progress(from, *progress, mNow);
      } else if (const auto* report =
                   std::get_if<wire::DispatchReport>(&body)) {
        vm.coordinator->Report(from, kZone, *report, mNow);
      }
      CollectMessages(vm);
    }
  }

  Mechanisms mMechanisms;
  TimePoint mNow = TimePoint(Seconds(1000));
  std::vector<Vm> mVms;
  std::vector<InFlight> mInFlight;
  std::vector<InFlight> mDelivered;
  std::map<policy::JobId, int> mDecisions;
  std::map<policy::JobId, std::uint64_t> mOwner;
  std::vector<policy::JobId> mRunning;
  bool mReplaced = false;
};

/// Runs every order of a number of steps. Returns the violation in the first
/// order that has one, or an empty string.
std::string
ExploreAll(const Mechanisms& aMechanisms,
           std::size_t aSteps,
           std::size_t& aOrders)
{
  std::vector<std::size_t> order;
  std::string violation;
  const std::function<void()> explore = [&] {
    Simulation simulation(aMechanisms);
    for (const auto choice : order) {
      simulation.Step(choice);
    }
    const auto choices = simulation.Choices();
    if (order.size() == aSteps) {
      aOrders += 1;
      violation = simulation.Settle();
      return;
    }
    for (std::size_t choice = 0; choice < choices && violation.empty();
         ++choice) {
      order.push_back(choice);
      explore();
      if (violation.empty()) {
        order.pop_back();
      }
    }
  };
  explore();
  if (!violation.empty()) {
    violation += " after";
    for (const auto choice : order) {
      violation += " " + std::to_string(choice);
    }
  }
  return violation;
}

TEST(Explore, ShortOrdersGiveOneVerdictAndReleaseTheSlot)
{
  std::size_t orders = 0;
  EXPECT_EQ(ExploreAll({}, 5, orders), "");
  EXPECT_GT(orders, 1000u);
}

TEST(Explore, LongRandomOrdersGiveOneVerdictAndReleaseTheSlot)
{
  constexpr std::uint32_t kWalks = 1500;
  constexpr std::size_t kSteps = 40;
  for (std::uint32_t seed = 1; seed <= kWalks; ++seed) {
    std::mt19937 random(seed);
    Simulation simulation({});
    for (std::size_t i = 0; i < kSteps; ++i) {
      if (random() % 8 == 0) {
        simulation.Repeat(random);
      } else {
        simulation.Step(random() % simulation.Choices());
      }
    }
    ASSERT_EQ(simulation.Settle(), "") << "seed " << seed;
  }
}

// Checks that the exploration can fail. Without reports and withdrawals, slots
// stay reserved until a VM that sends no reports times out.
TEST(Explore, FindsASlotThatIsNotReleased)
{
  std::size_t orders = 0;
  Mechanisms mechanisms;
  mechanisms.reports = false;
  mechanisms.withdraws = false;
  mechanisms.settleTime = Seconds(1);
  EXPECT_NE(ExploreAll(mechanisms, 3, orders), "");
}

} // namespace
} // namespace magnoliatide::fleet
