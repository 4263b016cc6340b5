// The time for which a server wants no requests of a VM, over changes of the
// coordinator.
#include "magnoliatide/fleet/dispatch_client.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::fleet {
namespace {

constexpr char kZone[] = "kariakoo";
constexpr Duration kStep = Milliseconds(20);

/// VMs whose messages arrive after one step, unless they are cut off.
class BackoffOfVms : public ::testing::Test
{
protected:
  struct Vm
  {
    std::unique_ptr<DispatchCoordinator> coordinator;
    std::unique_ptr<DispatchClient> client;
  };

  struct Sent
  {
    policy::JobId job = 0;
    std::string server; ///< Empty if it was refused.
    wire::DispatchReply reply;
    std::string by;
  };

  BackoffOfVms()
  {
    for (const std::string id : { "i-1", "i-2" }) {
      routing::Server server;
      server.id = id;
      server.service = "language";
      server.zone = kZone;
      server.slots = 8;
      server.started = 1;
      mRoster[id] = server;
    }
    for (std::uint64_t id = 1; id <= 3; ++id) {
      auto& vm = mVms[id];
      vm.coordinator =
        std::make_unique<DispatchCoordinator>(DispatchCoordinatorOptions{});
      vm.coordinator->SetServers(mRoster, mNow);
      DispatchClientOptions options;
      options.self = id;
      options.zone = kZone;
      vm.client =
        std::make_unique<DispatchClient>(options, *vm.coordinator, mNow);
    }
    SetCandidates({ 1, 2, 3 });
  }

  /// Sets the VMs that are alive, the coordinator first.
  void SetCandidates(const std::vector<std::uint64_t>& aVms)
  {
    std::vector<CoordinatorCandidate> candidates;
    for (const auto vm : aVms) {
      candidates.push_back({ vm, kZone, "vm-" + std::to_string(vm) });
    }
    for (auto& [id, vm] : mVms) {
      vm.client->SetCandidates(candidates, mNow);
    }
    mAlive = aVms;
  }

  void Step()
  {
    mNow += kStep;
    for (const auto id : mAlive) {
      mVms[id].client->Tick(mNow);
      mVms[id].coordinator->Tick(mNow);
    }
    for (const auto from : mAlive) {
      for (const auto& message : mVms[from].client->TakeMessages(mNow)) {
        Deliver(from, message);
      }
    }
  }

  void Deliver(std::uint64_t aFrom, const DispatchMessage& aMessage)
  {
    auto& vm = mVms[aMessage.to];
    const auto& body = aMessage.body;
    if (const auto* request = std::get_if<wire::DispatchRequest>(&body)) {
      vm.coordinator->Submit(aFrom, kZone, *request, mNow);
    } else if (const auto* reply = std::get_if<wire::DispatchReply>(&body)) {
      vm.client->Receive(aFrom, *reply, mNow);
    } else if (const auto* progress =
                 std::get_if<wire::DispatchProgress>(&body)) {
      vm.coordinator->Progress(aFrom, *progress, mNow);
    } else if (const auto* report = std::get_if<wire::DispatchReport>(&body)) {
      vm.coordinator->Report(aFrom, kZone, *report, mNow);
    }
  }

  /// Submits a request at a VM and returns the decision.
  Sent Send(std::uint64_t aVm)
  {
    policy::Job job;
    job.id = ++mLastJob;
    job.service = "language";
    job.fingerprint = job.id;
    job.arrival = mNow;
    job.target = Seconds(1);
    job.deadline = mNow + Seconds(10);
    Sent sent;
    sent.job = job.id;
    bool decided = false;
    mVms[aVm].client->Submit(
      job,
      [&](const wire::DispatchReply& aReply, const std::string& aBy) {
        decided = true;
        sent.reply = aReply;
        sent.by = aBy;
        sent.server =
          aReply.decision == wire::DispatchDecision::kSend ? aReply.server : "";
      },
      mNow);
    for (int i = 0; i < 20 && !decided; ++i) {
      Step();
    }
    EXPECT_TRUE(decided);
    return sent;
  }

  void Finish(std::uint64_t aVm, policy::JobId aJob, policy::SendResult aResult)
  {
    policy::SendReport report;
    report.result = aResult;
    report.toEnd = Milliseconds(5);
    mVms[aVm].client->Finish(aJob, report, mNow);
  }

  /// Sends a request that its server rejects. Returns the server.
  std::string Reject(std::uint64_t aVm, Duration aTime)
  {
    const auto sent = Send(aVm);
    EXPECT_NE(sent.server, "");
    mVms[aVm].client->RecordBackoff(sent.job, aTime, mNow);
    Finish(aVm, sent.job, policy::SendResult::kFull);
    Step();
    return sent.server;
  }

  /// Returns how many requests of a VM are sent to a server in a time.
  int CountSent(std::uint64_t aVm, const std::string& aServer, Duration aTime)
  {
    int count = 0;
    const auto end = mNow + aTime;
    while (mNow < end) {
      const auto sent = Send(aVm);
      count += sent.server == aServer ? 1 : 0;
      Finish(aVm, sent.job, policy::SendResult::kWhole);
    }
    return count;
  }

  routing::Roster mRoster;
  std::map<std::uint64_t, Vm> mVms;
  std::vector<std::uint64_t> mAlive;
  TimePoint mNow = TimePoint(Seconds(1000));
  policy::JobId mLastJob = 0;
};

TEST_F(BackoffOfVms, TheCoordinatorKeepsTheTimeOfEachVm)
{
  const auto full = Reject(3, Seconds(4));
  EXPECT_EQ(CountSent(3, full, Milliseconds(3900)), 0);
  EXPECT_FALSE(mVms[3].client->MayUse(full, 1, mNow));
  EXPECT_TRUE(mVms[2].client->MayUse(full, 1, mNow));
}

TEST_F(BackoffOfVms, TheNextCoordinatorLearnsOfIt)
{
  const auto full = Reject(3, Seconds(6));
  SetCandidates({ 2, 3 });
  const auto sent = Send(3);
  EXPECT_EQ(sent.by, "vm-2");
  EXPECT_NE(sent.server, full);
  Finish(3, sent.job, policy::SendResult::kWhole);
  EXPECT_EQ(CountSent(3, full, Seconds(5)), 0);
}

TEST_F(BackoffOfVms, AVmThatIsCutOffRemembersItself)
{
  const auto full = Reject(3, Seconds(6));
  SetCandidates({ 3 });
  EXPECT_EQ(CountSent(3, full, Seconds(5)), 0);
}

TEST_F(BackoffOfVms, TheTimeEndsWithItsServer)
{
  const auto full = Reject(3, Seconds(6));
  EXPECT_TRUE(mVms[3].client->MayUse(full, 2, mNow));
  for (auto& [id, server] : mRoster) {
    server.started = 2;
  }
  for (auto& [id, vm] : mVms) {
    vm.coordinator->SetServers(mRoster, mNow);
  }
  EXPECT_GT(CountSent(3, full, Seconds(2)), 0);
}

TEST_F(BackoffOfVms, TimesThatAreNoneAreIgnored)
{
  const auto first = Reject(3, Duration::zero());
  EXPECT_TRUE(mVms[3].client->MayUse(first, 1, mNow));
  const auto second = Reject(3, -Seconds(3));
  EXPECT_TRUE(mVms[3].client->MayUse(second, 1, mNow));
}

TEST_F(BackoffOfVms, ALongTimeIsBounded)
{
  const auto full = Reject(3, std::chrono::hours(24));
  EXPECT_FALSE(mVms[3].client->MayUse(full, 1, mNow + std::chrono::minutes(4)));
  EXPECT_TRUE(mVms[3].client->MayUse(full, 1, mNow + std::chrono::minutes(5)));
}

} // namespace
} // namespace magnoliatide::fleet
