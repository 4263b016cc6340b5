// Guards against documents that become active late, differ between VMs or
// revert. The causes are a stale or unavailable platform, restarts of VMs, and
// operators that publish concurrently.
#include "support.h"

#include <gtest/gtest.h>

#include <csignal>

namespace magnoliatide::tests {
namespace {

/// Returns whether a generation is active at all VMs.
bool
AllAt(load::Fleet& aFleet, std::uint64_t aGeneration)
{
  for (std::size_t i = 0; i < aFleet.Vms().size(); ++i) {
    if (GenerationAt(aFleet, i) != aGeneration) {
      return false;
    }
  }
  return true;
}

/// Returns the digest of a VM's active document.
std::string
DigestAt(load::Fleet& aFleet, std::size_t aVm)
{
  const auto status = StatusOf(aFleet, aVm);
  const auto* digest = status.if_contains("digest");
  return digest ? std::string(digest->as_string()) : "";
}

TEST(Configuration, IsInForceOnEightVmsWithinTwoSeconds)
{
  auto options = SmallFleet("eight");
  options.vms = 8;
  load::Fleet fleet(options);
  ASSERT_TRUE(fleet.Start());
  for (std::uint64_t generation = 2; generation <= 5; ++generation) {
    fleet.Publish(generation);
    EXPECT_TRUE(Await([&] { return AllAt(fleet, generation); }, Seconds(2)));
  }
}

// Guards against restarted VMs that take an older document from a stale
// platform although other VMs have a newer one.
TEST(Configuration, DoesNotRevertWhenThePlatformIsStaleAndVmsAreReplaced)
{
  load::Fleet fleet(SmallFleet("stale"));
  ASSERT_TRUE(fleet.Start());
  fleet.SetFaults(fleet.Platform().address, "stale=1");
  fleet.SetFaults(fleet.Platform().address, "stale=0");
  fleet.Publish(2);
  ASSERT_TRUE(Await([&] { return AllAt(fleet, 2); }, Seconds(2)));
  // From here on the platform serves generation 1 again.
  fleet.PublishText(fleet.DocumentText(1));
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet.Vms()[vm].process.Signal(SIGKILL);
    fleet.Vms()[vm].process.Wait(Seconds(5));
    fleet.StartVm(vm);
    ASSERT_TRUE(fleet.WaitReady(vm));
    EXPECT_EQ(GenerationAt(fleet, vm), 2u);
  }
}

TEST(Configuration, StaysInForceWhileThePlatformIsDown)
{
  load::Fleet fleet(SmallFleet("down"));
  ASSERT_TRUE(fleet.Start());
  fleet.Platform().process.Signal(SIGKILL);
  fleet.Vms()[1].process.Signal(SIGKILL);
  fleet.Vms()[1].process.Wait(Seconds(5));
  const auto records = SendAll(fleet, { Quotes(30, Seconds(1)) }, 21);
  EXPECT_EQ(CountOf(records, load::SendOutcome::kComplete) +
              CountOf(records, load::SendOutcome::kUnreached),
            static_cast<int>(records.size()));
  EXPECT_TRUE(GenerationAt(fleet, 0) == 1 && GenerationAt(fleet, 2) == 1);
}

// Guards against VMs that keep different documents after two operators have
// published the same generation concurrently.
TEST(Configuration, TwoDocumentsOfOneGenerationSettleOnTheSame)
{
  load::Fleet fleet(SmallFleet("race"));
  ASSERT_TRUE(fleet.Start());
  fleet.Publish(2, "; the first operator\n");
  fleet.Publish(2, "; the second operator\n");
  const auto settled = [&] {
    return AllAt(fleet, 2) && DigestAt(fleet, 0) == DigestAt(fleet, 1) &&
           DigestAt(fleet, 1) == DigestAt(fleet, 2);
  };
  EXPECT_TRUE(Await(settled, Seconds(4)));
  const auto digest = DigestAt(fleet, 0);
  fleet.Publish(2, "; the first operator\n");
  fleet.Publish(3);
  ASSERT_TRUE(Await([&] { return AllAt(fleet, 3); }, Seconds(2)));
}

TEST(Configuration, AnInvalidDocumentChangesNothingAndIsReported)
{
  load::Fleet fleet(SmallFleet("invalid"));
  ASSERT_TRUE(fleet.Start());
  fleet.Publish(7, "[kind broken]\nservice = nowhere\n");
  const auto reported = [&] {
    for (std::size_t vm = 0; vm < 3; ++vm) {
      if (CounterAt(fleet, vm, "documents_offered_total{result=\"invalid\"}") >
          0) {
        return true;
      }
    }
    return false;
  };
  EXPECT_TRUE(Await(reported, Seconds(3)));
  EXPECT_TRUE(AllAt(fleet, 1));
}

} // namespace
} // namespace magnoliatide::tests
