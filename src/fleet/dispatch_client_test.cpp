// Which coordinator a VM turns to when others do not reply.
#include "magnoliatide/fleet/dispatch_client.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::fleet {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(1000));
constexpr Duration kStep = Milliseconds(5);

/// One VM and the others that may coordinate, which reply at once or not at
/// all.
class CoordinatorChoice : public ::testing::Test
{
protected:
  /// Sets the VMs in order of preference. Their ids are 1, 2, ...
  void SetCandidates(const std::vector<std::string>& aZones)
  {
    mCandidates.clear();
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      mCandidates.push_back(
        { i + 1, aZones[i], "vm-" + std::to_string(i + 1) });
    }
  }

  /// Returns the VM that a VM of a zone turns to in the end, and how long that
  /// takes.
  std::uint64_t ChosenBy(std::uint64_t aSelf,
                         const std::set<std::string>& aReachableZones)
  {
    DispatchCoordinator local{ DispatchCoordinatorOptions{} };
    DispatchClientOptions options;
    options.self = aSelf;
    options.zone = mCandidates[aSelf - 1].zone;
    DispatchClient client(options, local, kStart);
    client.SetCandidates(mCandidates, kStart);
    policy::Job job;
    job.id = 1;
    job.service = "language";
    job.deadline = kStart + Seconds(10);
    client.Submit(
      job, [](const wire::DispatchReply&, const std::string&) {}, kStart);
    mTook = Duration::zero();
    for (TimePoint now = kStart; now < kStart + Seconds(5); now += kStep) {
      client.Tick(now);
      for (const auto& message : client.TakeMessages(now)) {
        const bool asks =
          std::holds_alternative<wire::DispatchRequest>(message.body);
        const auto& zone = mCandidates[message.to - 1].zone;
        if (asks && aReachableZones.count(zone) > 0) {
          mTook = now - kStart;
          return message.to;
        }
      }
      if (local.Allocator().Waiting() > 0) {
        return aSelf;
      }
    }
    return aSelf;
  }

  std::vector<CoordinatorCandidate> mCandidates;
  Duration mTook{};
};

// Guards against a coordinator for each zone, each of which fills all servers:
// if the first VMs are all in a zone that is cut off, the other zones turned to
// VMs of their own.
TEST_F(CoordinatorChoice, AllOtherZonesTurnToOneVmIfAZoneIsCutOff)
{
  SetCandidates({ "temeke",
                  "temeke",
                  "temeke",
                  "ubungo",
                  "kariakoo",
                  "mikocheni",
                  "kariakoo",
                  "mikocheni",
                  "ubungo" });
  const std::set<std::string> reachable = { "ubungo", "kariakoo", "mikocheni" };
  for (const std::uint64_t vm : { 4, 5, 6, 7, 8, 9 }) {
    const auto chosen = ChosenBy(vm, reachable);
    EXPECT_EQ(chosen, vm == 4 ? vm : 4U) << vm;
    EXPECT_LE(mTook, Milliseconds(250)) << vm;
  }
}

// Guards against a VM of a zone that is cut off which tries the VMs of all
// other zones one by one.
TEST_F(CoordinatorChoice, AZoneThatIsCutOffTurnsToItsOwnVmSoon)
{
  SetCandidates({ "ubungo",
                  "ubungo",
                  "kariakoo",
                  "kariakoo",
                  "mikocheni",
                  "mikocheni",
                  "temeke",
                  "temeke" });
  EXPECT_EQ(ChosenBy(8, { "temeke" }), 7U);
  EXPECT_LE(mTook, Milliseconds(350));
}

TEST_F(CoordinatorChoice, TheSecondVmIsNextIfTheFirstDoesNotReply)
{
  SetCandidates({ "temeke", "ubungo", "kariakoo" });
  EXPECT_EQ(ChosenBy(3, { "ubungo", "kariakoo" }), 2U);
  EXPECT_LE(mTook, Milliseconds(120));
}

// Guards against a retry budget that grows with each coordinator that is asked
// for the same request.
TEST(RequestCount, OnlyTheFirstCoordinatorCountsARequest)
{
  DispatchCoordinator local{ DispatchCoordinatorOptions{} };
  DispatchClientOptions options;
  options.self = 9;
  options.zone = "temeke";
  DispatchClient client(options, local, kStart);
  client.SetCandidates({ { 1, "ubungo", "vm-1" },
                         { 2, "kariakoo", "vm-2" },
                         { 3, "mikocheni", "vm-3" } },
                       kStart);
  policy::Job job;
  job.id = 1;
  job.service = "language";
  job.deadline = kStart + Seconds(10);
  client.Submit(
    job, [](const wire::DispatchReply&, const std::string&) {}, kStart);
  std::map<std::uint64_t, int> asked;
  for (TimePoint now = kStart; now < kStart + Seconds(1); now += kStep) {
    client.Tick(now);
    for (const auto& message : client.TakeMessages(now)) {
      const auto* request = std::get_if<wire::DispatchRequest>(&message.body);
      if (request != nullptr) {
        asked[message.to] += 1;
        EXPECT_EQ(request->counted, message.to != 1) << message.to;
      }
    }
  }
  EXPECT_GT(asked[1], 1);
  EXPECT_GT(asked[2], 0);
}

} // namespace
} // namespace magnoliatide::fleet
