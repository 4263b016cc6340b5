// Guards against processes that end, or stop following the store, because
// another writer left odd entries in it. Real VM processes run with test
// doubles of the store and the servers.
#include "network.h"
#include "platform_fleet.h"
#include "support.h"

#include <gtest/gtest.h>

#include <functional>
#include <thread>

namespace magnoliatide::tests {
namespace {

using http::CallStatus;
using standins::StoreFault;

bool
AwaitTrue(const std::function<bool()>& aCondition,
          Duration aTimeout = Seconds(4))
{
  const TimePoint end = Clock::now() + aTimeout;
  while (!aCondition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return true;
}

std::string
NameOfTest()
{
  const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
  return std::string(info->test_suite_name()) + "." + info->name();
}

CallSpec
CallTo(const std::string& aPath)
{
  CallSpec call;
  call.path = aPath;
  return call;
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Returns a server entry with one field replaced by a text.
std::string
EntryWith(const std::string& aField, const std::string& aText)
{
  std::string entry = "{";
  for (const auto& [name, text] :
       std::vector<std::pair<std::string, std::string>>{
         { "service", "\"language\"" },
         { "address", "\"127.30.2.9:9\"" },
         { "zone", "\"kariakoo\"" },
         { "version", "\"v1\"" },
         { "slots", "8" },
         { "state", "\"ready\"" },
         { "warmup-left-ms", "0" },
         { "born", "1000" },
         { "sequence", "1" } }) {
    entry += "\"" + name + "\":" + (name == aField ? aText : text) + ",";
  }
  entry.back() = '}';
  return entry;
}

/// Returns values that name no server.
std::vector<std::string>
OddEntries()
{
  std::vector<std::string> entries = { "",
                                       "null",
                                       "[]",
                                       "{}",
                                       "{\"service\":5",
                                       "\xff\xfe\x01",
                                       std::string("\0\0", 2),
                                       Nested(31),
                                       Nested(100000),
                                       "{\"a\":" + Nested(100000) + "}",
                                       std::string(300000, 'x') };
  for (const auto* field : { "service",
                             "address",
                             "zone",
                             "slots",
                             "state",
                             "warmup-left-ms",
                             "born",
                             "sequence" }) {
    for (const std::string& text : { std::string("[]"),
                                     Nested(40),
                                     std::string("1e999"),
                                     std::string("-1"),
                                     std::string("1.5e300"),
                                     std::string(400, '9') }) {
      entries.push_back(EntryWith(field, text));
    }
  }
  for (const auto* slots : { "0", "4294967296", "2147483648", "\"8\"" }) {
    entries.push_back(EntryWith("slots", slots));
  }
  for (const auto* address : { "\"127.30.2.9\"",
                               "\"127.30.2.9:0\"",
                               "\"127.30.2.9:-1\"",
                               "\"127.30.2.9:65536\"",
                               "\"127.30.2.9:99999999999999999999\"",
                               "\"engine.example:80\"",
                               "\"999.30.2.9:80\"",
                               "\"0.0.0.0:80\"",
                               "\"224.0.0.1:80\"",
                               "\"::::80\"",
                               "\"\"" }) {
    entries.push_back(EntryWith("address", address));
  }
  entries.push_back(EntryWith("state", "\"sleeping\""));
  entries.push_back(EntryWith("service", "\"\""));
  return entries;
}

/// A deployment with one engine, one server for orders, and the default routes.
class OddStore : public ::testing::Test
{
protected:
  explicit OddStore(std::vector<std::string> aZones = { "kariakoo" })
    : mFleet(NameOfTest(), std::move(aZones))
  {
    AddEngine("i-1");
    standins::BatchEngineOptions orders;
    orders.id = "o-1";
    orders.service = "orders";
    orders.stream = false;
    mFleet.AddEngine(orders);
    mFleet.PublishDefaultRoutes();
  }

  standins::BatchEngine& AddEngine(const std::string& aId)
  {
    standins::BatchEngineOptions options;
    options.id = aId;
    return mFleet.AddEngine(options);
  }

  bool Serves(std::size_t aVm, const std::string& aPath = "/quotes/1")
  {
    const auto result = mFleet.Call(aVm, CallTo(aPath));
    return result.status == CallStatus::kDone && result.response.status == 200;
  }

  bool AllServe()
  {
    bool all = true;
    for (std::size_t i = 0; i < mFleet.Vms().size(); ++i) {
      all &= Serves(i);
    }
    return all;
  }

  bool AllRun()
  {
    bool all = true;
    for (auto& vm : mFleet.Vms()) {
      all &= vm.process.Running();
    }
    return all;
  }

  /// Publishes a configuration without the route /deposits/ and returns whether
  /// all VMs adopt it.
  bool AllFollow()
  {
    mFleet.Publish({ RouteConfig() }, { TeamConfig() });
    return AwaitTrue([&] {
      bool all = true;
      for (std::size_t i = 0; i < mFleet.Vms().size(); ++i) {
        all &= mFleet.Call(i, CallTo("/deposits/1")).response.status == 404;
      }
      return all;
    });
  }

  /// Returns whether a VM's log has a text.
  bool Logged(std::size_t aVm, const std::string& aText)
  {
    return mFleet.Log(aVm).find(aText) != std::string::npos;
  }

  PlatformFleet mFleet;
};

class OddStorePair : public OddStore
{
protected:
  OddStorePair()
    : OddStore({ "kariakoo", "kariakoo" })
  {
  }
};

// Guards against VMs that do not start, end, or stop following because of an
// odd value. The values are larger than a datagram and than a page between VMs.
TEST_F(OddStorePair, NoOddValueEndsAVmOrStopsItsFollowing)
{
  const auto odd = OddEntries();
  for (std::size_t i = 0; i < odd.size(); ++i) {
    mFleet.Store().Put("servers/before-" + std::to_string(i), odd[i]);
  }
  ASSERT_TRUE(mFleet.Start());
  EXPECT_TRUE(AllServe());
  for (std::size_t i = 0; i < odd.size(); ++i) {
    mFleet.Store().Put("servers/during-" + std::to_string(i), odd[i]);
  }
  EXPECT_TRUE(AllFollow());
  EXPECT_TRUE(AllServe());
  EXPECT_TRUE(AllRun());
  for (std::size_t vm = 0; vm < 2; ++vm) {
    EXPECT_TRUE(Logged(vm, "event=entry-skipped"));
    EXPECT_FALSE(Logged(vm, "+before-"));
    EXPECT_FALSE(Logged(vm, "+during-"));
  }
}

// Guards against an item that makes a whole list or watch unreadable.
TEST_F(OddStorePair, AFieldThatCannotBeParsedHidesNoOtherItem)
{
  mFleet.Store().SetNote("servers/i-1", Nested(64));
  ASSERT_TRUE(mFleet.Start());
  EXPECT_TRUE(AllServe());
  mFleet.Store().Put("servers/odd", "");
  mFleet.Store().SetNote("servers/odd", "{\"a\":" + Nested(100000) + "}");
  EXPECT_TRUE(AllFollow());
  EXPECT_TRUE(AllServe());
}

// Guards against an odd write over a good entry that takes a serving engine
// away until its next heartbeat.
TEST_F(OddStorePair, AnOddWriteOverAnEntryKeepsItsServer)
{
  ASSERT_TRUE(mFleet.Start());
  ASSERT_TRUE(AllServe());
  for (const auto& odd : OddEntries()) {
    mFleet.Store().Put("servers/i-1", odd);
  }
  ASSERT_TRUE(AllFollow());
  EXPECT_TRUE(AllServe());
  // A valid write counts again, and so does a removal.
  mFleet.WriteEntry(*mFleet.Engines()[0], true);
  EXPECT_TRUE(AwaitTrue([&] { return Logged(0, "!i-1"); }));
  mFleet.Store().Put("servers/i-1", "odd");
  mFleet.Store().Remove("servers/i-1");
  EXPECT_TRUE(
    AwaitTrue([&] { return Logged(0, "-i-1") && Logged(1, "-i-1"); }));
}

// Guards against a list that removes a serving engine because the VM lost the
// store's history while its entry is odd.
TEST_F(OddStore, AListWithAnOddEntryKeepsItsServer)
{
  ASSERT_TRUE(mFleet.Start());
  ASSERT_TRUE(Serves(0));
  mFleet.Store().SetFault(StoreFault::kReset);
  std::this_thread::sleep_for(Milliseconds(300));
  mFleet.Store().Put("servers/i-1", "odd");
  mFleet.Store().Put("servers/later", "odd");
  mFleet.Store().Compact();
  mFleet.Store().SetFault(StoreFault::kNone);
  EXPECT_TRUE(AllFollow());
  EXPECT_TRUE(Serves(0));
}

// Guards against a configuration that cannot be read and replaces or drops the
// active one, or blocks a later one.
TEST_F(OddStorePair, AnOddConfigurationKeepsTheActiveOne)
{
  ASSERT_TRUE(mFleet.Start());
  ASSERT_TRUE(AllServe());
  for (const std::string& odd :
       { std::string("{"),
         std::string(""),
         "{\"version\":99," + ("\"routes\":" + Nested(100000)) + "}",
         std::string("{\"version\":1e999,\"routes\":[]}"),
         std::string("{\"version\":-1,\"routes\":[]}"),
         std::string("{\"version\":99,\"routes\":{}}"),
         std::string("{\"version\":99,\"routes\":[5,{},[],null]}") }) {
    mFleet.Store().Put("op/config", odd);
    std::this_thread::sleep_for(Milliseconds(200));
  }
  AddEngine("i-2");
  EXPECT_TRUE(
    AwaitTrue([&] { return Logged(0, "+i-2") && Logged(1, "+i-2"); }));
  EXPECT_TRUE(AllServe());
  EXPECT_TRUE(Serves(0, "/deposits/1"));
  EXPECT_TRUE(Logged(0, "event=configuration-problem"));
  EXPECT_TRUE(AllFollow());
}

// Guards against a VM that ends, calls the store without a pause, or drops what
// it has, while replies cannot be read, and against one that does not say so.
TEST_F(OddStore, UnreadableRepliesStopNothing)
{
  ASSERT_TRUE(mFleet.Start());
  mFleet.Store().SetFault(StoreFault::kUnreadable);
  const auto calls = mFleet.Store().Calls();
  std::this_thread::sleep_for(Milliseconds(2000));
  EXPECT_TRUE(Serves(0));
  EXPECT_LT(mFleet.Store().Calls() - calls, 16u);
  EXPECT_TRUE(Logged(0, "cause=unreadable"));
  mFleet.Store().SetFault(StoreFault::kNone);
  EXPECT_TRUE(AllFollow());
  EXPECT_TRUE(AllRun());
}

// Guards against calls without a pause if watches end at once without changes.
TEST_F(OddStore, AHastyWatchIsNotRepeatedWithoutAPause)
{
  ASSERT_TRUE(mFleet.Start());
  mFleet.Store().SetFault(StoreFault::kHastyWatch);
  const auto calls = mFleet.Store().Calls();
  std::this_thread::sleep_for(Milliseconds(2000));
  EXPECT_TRUE(Serves(0));
  EXPECT_LT(mFleet.Store().Calls() - calls, 16u);
  EXPECT_TRUE(AllFollow());
}

// Guards against odd or large items that stop the exchange between VMs, of
// which only one reaches the store.
TEST(OddStoreCut, AVmWithoutTheStoreGetsTheOtherItemsFromItsPeer)
{
  load::Network network;
  PlatformFleet fleet(NameOfTest(), { "kariakoo", "kariakoo" }, &network);
  network.SetLinkMode("vm-2", "store", load::LinkMode::kReset);
  standins::BatchEngineOptions options;
  options.id = "i-1";
  fleet.AddEngine(options);
  fleet.PublishDefaultRoutes();
  auto odd = OddEntries();
  odd.push_back(std::string(700000, '\xff'));
  // Larger than a string between VMs may be.
  odd.push_back(std::string(3000000, 'x'));
  const auto put = [&](const std::string& aPrefix) {
    for (std::size_t i = 0; i < odd.size(); ++i) {
      fleet.Store().Put(aPrefix + std::to_string(i), odd[i]);
    }
  };
  put("servers/before-");
  ASSERT_TRUE(fleet.Start());
  const auto serves = [&](std::size_t aVm) {
    return fleet.Call(aVm, CallTo("/quotes/1")).response.status == 200;
  };
  EXPECT_TRUE(AwaitTrue([&] { return serves(0) && serves(1); }));
  put("servers/during-");
  fleet.Publish({ RouteConfig() }, { TeamConfig() });
  EXPECT_TRUE(AwaitTrue([&] {
    return fleet.Call(1, CallTo("/deposits/1")).response.status == 404;
  }));
  EXPECT_TRUE(serves(0));
  EXPECT_TRUE(serves(1));
  EXPECT_TRUE(fleet.Vms()[0].process.Running());
  EXPECT_TRUE(fleet.Vms()[1].process.Running());
  EXPECT_EQ(fleet.Log(1).find("from=store"), std::string::npos);
}

// Guards against VMs that send requests to themselves, again and again, because
// an entry has the address of one.
TEST_F(OddStorePair, AnEntryWithTheAddressOfAVmIsHarmless)
{
  ASSERT_TRUE(mFleet.Start());
  ASSERT_TRUE(AllServe());
  for (std::size_t i = 0; i < mFleet.Vms().size(); ++i) {
    mFleet.Store().Put(
      "servers/self-" + std::to_string(i),
      EntryWith("address",
                "\"" + document::Format(mFleet.Vms()[i].callerAddress) + "\""));
  }
  std::this_thread::sleep_for(Milliseconds(700));
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    served += Serves(static_cast<std::size_t>(i % 2)) ? 1 : 0;
  }
  EXPECT_EQ(served, 20);
  EXPECT_TRUE(AllRun());
  EXPECT_TRUE(AllFollow());
}

// Guards against a VM that silently stops giving orders because an engine
// reported one whose number is out of range.
TEST(OddOrders, AnOddReportDoesNotEndTheOrders)
{
  auto options = SmallFleet("odd-orders");
  options.groups[0].managed = true;
  load::Fleet fleet(options);
  ASSERT_TRUE(fleet.Start());
  const auto& engine = fleet.Backends()[0].address;
  const auto reports = [&](const std::string& aText) {
    const auto result = fleet.Get(engine, "/control/orders");
    return result.response.body.find(aText) != std::string::npos;
  };
  ASSERT_TRUE(Await([&] { return reports("models:"); }, Seconds(10)));
  fleet.SetFaults(engine, "odd-orders=1");
  ASSERT_TRUE(reports("\"generation\":-1"));
  std::this_thread::sleep_for(Milliseconds(2500));
  fleet.SetFaults(engine, "odd-orders=0");
  http::Request stale;
  stale.method = "POST";
  stale.target = "/control/orders?fencing=0&order=odd";
  fleet.Call(engine, std::move(stale));
  EXPECT_TRUE(Await([&] { return reports("models:"); }, Seconds(5)));
  for (auto& vm : fleet.Vms()) {
    EXPECT_TRUE(vm.process.Running()) << vm.name;
  }
}

} // namespace
} // namespace magnoliatide::tests
