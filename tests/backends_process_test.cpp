// Guards against new requests to backend servers that leave or are removed, and
// against a request that crashes one server after another because it is
// retried.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace magnoliatide::tests {
namespace {

using load::SendOutcome;

/// Returns the number of requests that a backend server ran.
std::size_t
RunsAt(load::Fleet& aFleet, std::size_t aBackend)
{
  const auto result =
    aFleet.Get(aFleet.Backends()[aBackend].address, "/control/runs");
  boost::system::error_code error;
  const auto value = boost::json::parse(result.response.body, error);
  return error ? 0 : value.as_object().at("runs").as_object().size();
}

/// Sends quotes for six seconds and gives the notice after one. Expects that
/// server 0 gets no new request from three seconds after the notice, and that
/// every request is answered.
void
ExpectNoNewWork(load::Fleet& aFleet, const std::function<void()>& aGiveNotice)
{
  std::size_t before = 0;
  std::size_t after = 0;
  const auto records =
    SendAll(aFleet, { Quotes(60, Seconds(6)) }, 31, [&](TimePoint aStart) {
      std::this_thread::sleep_until(aStart + Seconds(1));
      aGiveNotice();
      std::this_thread::sleep_until(aStart + Seconds(4));
      before = RunsAt(aFleet, 0);
    });
  after = RunsAt(aFleet, 0);
  EXPECT_GT(before, 0u);
  EXPECT_EQ(after, before);
  EXPECT_EQ(CountOf(records, SendOutcome::kComplete),
            static_cast<int>(records.size()));
}

TEST(Backends, OneListedAsLeavingGetsNoWorkAfterThreeSeconds)
{
  load::Fleet fleet(SmallFleet("leaving-list"));
  ASSERT_TRUE(fleet.Start());
  ExpectNoNewWork(fleet,
                  [&] { fleet.PublishVmList({ fleet.Backends()[0].name }); });
}

TEST(Backends, OneThatSaysItLeavesGetsNoWorkAfterThreeSeconds)
{
  load::Fleet fleet(SmallFleet("leaving-notice"));
  ASSERT_TRUE(fleet.Start());
  ExpectNoNewWork(
    fleet, [&] { fleet.SetFaults(fleet.Backends()[0].address, "leaving=1"); });
}

TEST(Backends, OneRemovedFromTheDocumentGetsNoWorkAndItsWorkEnds)
{
  load::Fleet fleet(SmallFleet("removed"));
  ASSERT_TRUE(fleet.Start());
  ExpectNoNewWork(fleet, [&] {
    auto text = fleet.DocumentText(2);
    const auto begin = text.find("[engine engine-1]");
    const auto end = text.find("[engine engine-2]");
    text.erase(begin, end - begin);
    fleet.PublishText(text);
  });
}

/// Restarts the engines that have crashed, and returns their number.
int
RestartCrashed(load::Fleet& aFleet)
{
  int crashed = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    if (!aFleet.Backends()[i].process.Running()) {
      aFleet.StartBackend(i);
      crashed += 1;
    }
  }
  return crashed;
}

// Guards against a request that crashes every engine because its caller sends
// it again through other VMs.
TEST(Backends, ARequestThatCrashesThemIsRefusedAfterTheSecondTime)
{
  load::Fleet fleet(SmallFleet("poison"));
  ASSERT_TRUE(fleet.Start());
  int crashes = 0;
  // Restarts crashed engines and sets the fault at all, as a restart clears it.
  const auto armEngines = [&] {
    ASSERT_TRUE(Await(
      [&] {
        // A crashing process closes its connections before its end can be
        // observed, so the health check decides.
        crashes += RestartCrashed(fleet);
        for (std::size_t i = 0; i < 3; ++i) {
          const auto health = fleet.Get(fleet.Backends()[i].address, "/health");
          if (health.response.status != 200 ||
              health.status != http::CallStatus::kDone) {
            return false;
          }
          fleet.SetFaults(fleet.Backends()[i].address, "crash-on=BOOM");
        }
        return true;
      },
      Seconds(10)));
  };
  armEngines();
  // Sends ordinary requests, so that the VMs see the engines as healthy.
  SendAll(fleet, { Quotes(60, Seconds(1)) }, 30);
  auto crashing = Quotes(1, Seconds(1));
  crashing.promptText = "BOOM ";
  for (std::size_t send = 0; send < 4; ++send) {
    const auto record = SendOne(fleet, crashing, send % 3, "", 99);
    // The first two sends crash one engine each.
    if (send < 2) {
      EXPECT_EQ(record.outcome, SendOutcome::kUnknown) << record.reason;
    } else {
      EXPECT_EQ(record.outcome, SendOutcome::kNotRun);
      EXPECT_EQ(record.reason, "harmful-request");
    }
    armEngines();
    SendAll(fleet, { Quotes(60, Seconds(1)) }, 40 + send);
    // Waits until the suspicion has reached the other VMs.
    std::this_thread::sleep_for(Milliseconds(800));
  }
  EXPECT_EQ(crashes, 2);
  const auto harmless = SendAll(fleet, { Quotes(20, Seconds(1)) }, 32);
  EXPECT_EQ(CountOf(harmless, SendOutcome::kComplete),
            static_cast<int>(harmless.size()));
}

// Guards against a request that crashes one server after another, because each
// has restarted before it is checked, and the VM has had no answer from its
// former incarnation.
TEST(Backends, ACrashIsNotedIfTheServerIsBackAtItsCheck)
{
  load::Fleet fleet(SmallFleet("back-at-check"));
  ASSERT_TRUE(fleet.Start());
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.SetFaults(fleet.Backends()[i].address, "restart-on=BOOM");
  }
  auto crashing = Quotes(1, Seconds(1));
  crashing.promptText = "BOOM ";
  for (std::size_t send = 0; send < 3; ++send) {
    const auto record = SendOne(fleet, crashing, send, "", 99);
    if (send < 2) {
      EXPECT_EQ(record.outcome, SendOutcome::kUnknown) << record.reason;
    } else {
      EXPECT_EQ(record.outcome, SendOutcome::kNotRun);
      EXPECT_EQ(record.reason, "harmful-request");
    }
    // Waits until the suspicion has reached the other VMs.
    std::this_thread::sleep_for(Milliseconds(800));
  }
  EXPECT_EQ(RunsAt(fleet, 0) + RunsAt(fleet, 1) + RunsAt(fleet, 2), 2u);
}

} // namespace
} // namespace magnoliatide::tests
