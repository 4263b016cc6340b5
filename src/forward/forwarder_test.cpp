// Tests of what the forwarder reports to the scheduler.
#include "magnoliatide/forward/forwarder.h"

#include "testing/fake_exchange.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace magnoliatide::forward {
namespace {

namespace asio = boost::asio;
using testing::FakeExchange;

/// Keeps the decisions to be made and the reports.
class FakeDispatcher : public Dispatcher
{
public:
  void Submit(const policy::Job&, OnDecision aOnDecision) override
  {
    pending = std::move(aOnDecision);
  }

  void Withdraw(policy::JobId) override { pending = nullptr; }
  void RecordFirstEvent(policy::JobId) override {}
  void RecordRateLimit(policy::JobId, std::optional<double>) override {}
  void RecordBackoff(policy::JobId, Duration) override {}
  bool MayUse(const routing::Server&) const override { return true; }
  void RecordSilence(policy::JobId) override {}
  void RecordSilenceEnd(policy::JobId) override {}

  void Finish(policy::JobId, const policy::SendReport& aReport) override
  {
    results.push_back(aReport.result);
  }

  OnDecision pending;
  std::vector<policy::SendResult> results;
};

/// Takes the path of a request and ignores everything else.
class FakeDialect : public Dialect
{
public:
  Call DecodeCall(const http::Request& aRequest) const override
  {
    Call call;
    call.id = "id";
    call.host = "host";
    call.request = aRequest;
    return call;
  }

  http::Request EncodeForServer(const Call& aCall,
                                const SendOptions&) const override
  {
    return aCall.request;
  }

  http::Request EncodeStatusRequest() const override { return {}; }

  AnswerHead DecodeHead(const http::Response&) const override { return {}; }

  http::Response EncodeRefusal(const std::string&,
                               const Refusal&) const override
  {
    return {};
  }
};

class ForwarderTest : public ::testing::Test
{
protected:
  ForwarderTest()
  {
    auto table = std::make_shared<routing::Table>();
    routing::Route route;
    route.host = "host";
    route.prefix = "/";
    route.shares = { { "s", 1 } };
    table->routes.push_back(route);
    table->Index();
    mTable.Store(table);
    mExchange.request.target = "/call";
  }

  ForwarderParams Params()
  {
    ForwarderParams params;
    params.table = &mTable;
    params.dispatcher = &mDispatcher;
    params.pool = &mPool;
    params.dialect = &mDialect;
    params.metrics = &mMetrics;
    params.onLeaving = [](const ServerNotice&) {};
    params.serversRevision = [] { return std::string("1"); };
    params.usable = [](const routing::Server&) { return true; };
    return params;
  }

  RcuCell<routing::Table> mTable;
  FakeDispatcher mDispatcher;
  FakeDialect mDialect;
  backend::Pool mPool{ {} };
  telemetry::Metrics mMetrics;
  FakeExchange mExchange;
  asio::io_context mLoop;
};

// Guards against a server that is marked as down because a caller left at the
// moment at which its request was assigned to that server.
TEST_F(ForwarderTest, AServerIsNotBlamedForACallerThatLeft)
{
  Forwarder forwarder(Params());
  asio::co_spawn(mLoop, forwarder.Handle(mExchange), asio::detached);
  mLoop.poll();
  ASSERT_TRUE(mDispatcher.pending);
  Decision decision;
  decision.send = true;
  mDispatcher.pending(decision);
  mExchange.onDisconnect();
  mLoop.restart();
  mLoop.poll();
  ASSERT_EQ(mDispatcher.results.size(), 1u);
  EXPECT_EQ(mDispatcher.results.front(), policy::SendResult::kCancelled);
}

/// A VM that has started and has no configuration yet.
class FirstConfiguration : public ForwarderTest
{
protected:
  FirstConfiguration()
  {
    mLater = mTable.Load();
    mTable.Store(nullptr);
    asio::co_spawn(mLoop,
                   mForwarder.Handle(mExchange),
                   [&](const std::exception_ptr&) { mAnswered = true; });
  }

  void RunFor(Duration aTime)
  {
    mLoop.restart();
    mLoop.run_for(aTime);
  }

  routing::TablePointer mLater;
  Forwarder mForwarder{ Params() };
  bool mAnswered = false;
};

// Guards against refusals of what arrives in the moment in which VMs start.
TEST_F(FirstConfiguration, IsAwaitedByRequests)
{
  RunFor(Milliseconds(100));
  EXPECT_FALSE(mAnswered);
  EXPECT_FALSE(mDispatcher.pending);
  mTable.Store(mLater);
  RunFor(Milliseconds(100));
  EXPECT_FALSE(mAnswered);
  ASSERT_TRUE(mDispatcher.pending);
  mDispatcher.pending(Decision());
  RunFor(Milliseconds(100));
  EXPECT_TRUE(mAnswered);
}

TEST_F(FirstConfiguration, IsAwaitedForAMomentOnly)
{
  RunFor(Milliseconds(100));
  EXPECT_FALSE(mAnswered);
  RunFor(Milliseconds(900));
  EXPECT_TRUE(mAnswered);
  EXPECT_FALSE(mDispatcher.pending);
}

TEST_F(FirstConfiguration, IsNotAwaitedByAVmThatStops)
{
  RunFor(Milliseconds(50));
  mForwarder.BeginStop(Clock::now() + Seconds(5));
  RunFor(Milliseconds(100));
  EXPECT_TRUE(mAnswered);
}

} // namespace
} // namespace magnoliatide::forward
