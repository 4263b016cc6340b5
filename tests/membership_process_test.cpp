// Guards against wrong member states: killed VMs that stay alive, paused VMs
// that are declared dead too early or do not rejoin, and state changes by a
// second process in a slot or by forged datagrams.
#include "support.h"

#include "magnoliatide/wire/codec.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include <csignal>

namespace magnoliatide::tests {
namespace {

load::FleetOptions
EightVms(const std::string& aName)
{
  auto options = SmallFleet(aName);
  options.vms = 8;
  return options;
}

/// Returns whether a slot has a state in the member list of every VM except
/// aExcept.
bool
AllSee(load::Fleet& aFleet,
       const std::string& aSlot,
       const std::string& aState,
       std::size_t aExcept)
{
  for (std::size_t i = 0; i < aFleet.Vms().size(); ++i) {
    if (i != aExcept && StateSeenBy(aFleet, i, aSlot) != aState) {
      return false;
    }
  }
  return true;
}

// Guards against a crashed VM that is detected late, and against a restarted VM
// that does not become alive again.
TEST(Membership, AKilledVmIsKnownDeadEverywhereWithinThreeSeconds)
{
  load::Fleet fleet(EightVms("dead"));
  ASSERT_TRUE(fleet.Start());
  const auto slot = fleet.Vms()[4].name;
  ASSERT_TRUE(
    Await([&] { return AllSee(fleet, slot, "alive", 4); }, Seconds(5)));
  fleet.Vms()[4].process.Signal(SIGKILL);
  EXPECT_TRUE(
    Await([&] { return AllSee(fleet, slot, "dead", 4); }, Seconds(3)));
  fleet.Vms()[4].process.Wait(Seconds(5));
  fleet.StartVm(4);
  EXPECT_TRUE(
    Await([&] { return AllSee(fleet, slot, "alive", 4); }, Seconds(5)));
}

// Guards against a VM that is declared dead because it does not answer for a
// second.
TEST(Membership, AVmPausedForASecondIsNotDeclaredDead)
{
  load::Fleet fleet(EightVms("pause"));
  ASSERT_TRUE(fleet.Start());
  const auto slot = fleet.Vms()[2].name;
  ASSERT_TRUE(
    Await([&] { return AllSee(fleet, slot, "alive", 2); }, Seconds(5)));
  fleet.Vms()[2].process.Signal(SIGSTOP);
  const auto end = Clock::now() + Seconds(1);
  bool dead = false;
  while (Clock::now() < end) {
    for (const std::size_t vm : { 0, 1, 3 }) {
      dead = dead || StateSeenBy(fleet, vm, slot) == "dead";
    }
  }
  fleet.Vms()[2].process.Signal(SIGCONT);
  EXPECT_FALSE(dead);
  EXPECT_TRUE(
    Await([&] { return AllSee(fleet, slot, "alive", 2); }, Seconds(3)));
}

// Guards against a VM that stays dead for the others although it has resumed.
// They declared it dead while it was paused.
TEST(Membership, AVmThatWakesLateJoinsAgain)
{
  load::Fleet fleet(EightVms("wake"));
  ASSERT_TRUE(fleet.Start());
  const auto slot = fleet.Vms()[1].name;
  ASSERT_TRUE(
    Await([&] { return AllSee(fleet, slot, "alive", 1); }, Seconds(5)));
  fleet.Vms()[1].process.Signal(SIGSTOP);
  ASSERT_TRUE(
    Await([&] { return AllSee(fleet, slot, "dead", 1); }, Seconds(5)));
  fleet.Vms()[1].process.Signal(SIGCONT);
  EXPECT_TRUE(
    Await([&] { return AllSee(fleet, slot, "alive", 1); }, Seconds(5)));
}

// Guards against a second process with the same slot name that changes the
// state of the slot although it reaches no other VM.
TEST(Membership, TheOlderOfTwoProcessesInOneSlotStepsAside)
{
  load::Fleet fleet(SmallFleet("two"));
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(
    Await([&] { return AllSee(fleet, fleet.Vms()[0].name, "alive", 0); },
          Seconds(5)));
  // The second process has the same slot name but other addresses.
  auto settings = fleet.Vms()[0].command;
  load::FleetOptions other = fleet.Options();
  other.folder += "-second";
  load::Fleet second(other);
  // Only the settings of this fleet are used; its platform is not started.
  load::Process process(second.Vms()[0].command, other.folder + "/second.log");
  EXPECT_TRUE(process.Running());
  // It reaches neither seeds nor a platform, so it must not affect the fleet.
  EXPECT_EQ(StateSeenBy(fleet, 1, fleet.Vms()[0].name), "alive");
}

// Guards against datagrams with a wrong signature or version that are handled,
// or dropped without being counted.
TEST(Membership, ForgedDatagramsAreCountedAndDropped)
{
  load::Fleet fleet(SmallFleet("forged"));
  ASSERT_TRUE(fleet.Start());
  boost::asio::io_context context;
  boost::asio::ip::udp::socket socket(
    context,
    boost::asio::ip::udp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                   0));
  const auto& peer = fleet.Vms()[0].peer;
  const boost::asio::ip::udp::endpoint target(
    boost::asio::ip::make_address(peer.host), peer.port);
  // Sends datagrams with the id of the right key, "k1", and a wrong signature.
  const auto send = [&](std::uint8_t aVersion, int aTimes) {
    const auto bytes = std::string{ static_cast<char>(aVersion) } +
                       std::string("\x02k1", 3) + std::string(200, 'x');
    for (int i = 0; i < aTimes; ++i) {
      socket.send_to(boost::asio::buffer(bytes), target);
    }
  };
  const auto dropped = [&](const std::string& aReason) {
    return CounterAt(
      fleet, 0, "peer_messages_dropped_total{reason=\"" + aReason + "\"}");
  };
  send(wire::kWireVersion, 10);
  send(wire::kWireVersion - 1, 4);
  EXPECT_TRUE(Await(
    [&] { return dropped("bad-digest") == 10 && dropped("bad-version") == 4; },
    Seconds(5)));
}

} // namespace
} // namespace magnoliatide::tests
