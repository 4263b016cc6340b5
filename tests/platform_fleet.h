// A small deployment of the operators' platform on loopback: the store and the
// backend servers are stand-ins in the test's own process, the VMs are real
// processes. Used by the tests of what callers and servers see.
#ifndef MAGNOLIATIDE_TESTS_PLATFORM_FLEET_H
#define MAGNOLIATIDE_TESTS_PLATFORM_FLEET_H

#include "batch_engine.h"
#include "network.h"
#include "process.h"
#include "store.h"

#include "magnoliatide/http/client.h"
#include "magnoliatide/http/server.h"
#include "magnoliatide/http/threads.h"

#include <boost/json.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::tests {

/// A route as the operator writes it.
struct RouteText
{
  std::string name = "quotes";
  std::string prefix = "/quotes/";
  std::string kind = "stream";
  std::string service = "language";
  int attempts = 2;
  bool resumable = true;
  int timeoutMillis = 5000;
  int targetMillis = 1000;
  int tier = 0;
  bool anonymous = false;
};

/// A team as the operator writes it.
struct TeamText
{
  std::string name = "planners";
  std::vector<std::string> keys = { "key-of-planners" };
  double perSecond = 0; ///< Of its quota, in tokens; 0: none.
  double burst = 0;
};

/// One VM process and where it is reached.
struct TestVm
{
  std::string name;
  std::string zone;
  document::Endpoint callers;
  document::Endpoint ready;
  document::Endpoint peers;    ///< Where other VMs reach it.
  document::Endpoint peerBind; ///< Where it listens for them.
  document::Endpoint metrics;
  std::string settingsPath;
  std::string outputPath;
  load::Process process;
};

/// What a caller sends.
struct CallText
{
  std::string path = "/quotes/1";
  std::string method = "POST";
  std::string body = "a body";
  std::string id; ///< Empty: a new one.
  std::string key = "key-of-planners";
  int deadlineMillis = 5000;
  std::string lastEventId;
  std::string usage = "100,40"; ///< Prompt and most output tokens.
  http::Headers headers;        ///< Further ones.
};

class PlatformFleet
{
public:
  /// @param aName Of the test; its folder of settings and output.
  /// @param aZones One VM for each entry.
  /// @param aNetwork If given, the store, the servers and the VMs are reached
  ///     by VMs through it, as the groups "store" and their names. Outlives the
  ///     fleet.
  explicit PlatformFleet(const std::string& aName,
                         std::vector<std::string> aZones = { "kariakoo" },
                         load::Network* aNetwork = nullptr);
  ~PlatformFleet();

  /// Adds a backend server and its entry in the store.
  standins::BatchEngine& AddEngine(standins::BatchEngineOptions aOptions);

  /// Publishes a configuration; each has a higher version.
  void Publish(const std::vector<RouteText>& aRoutes,
               const std::vector<TeamText>& aTeams);

  /// Publishes the routes /quotes/ (streams), /deposits/ and /stock/, for one
  /// team.
  void PublishUsual();

  /// Writes a server's entry again.
  void Enter(const standins::BatchEngine& aEngine, bool aLeaving = false);

  void StartVm(std::size_t aIndex);

  /// Starts all VMs and waits until they are ready.
  bool Start();

  bool IsReady(std::size_t aVm);

  /// Makes a call at a VM.
  http::CallResult Call(std::size_t aVm, const CallText& aCall);

  /// Makes a call that is given up after a time, as its caller leaves.
  void CallAndLeave(std::size_t aVm, const CallText& aCall, Duration aAfter);

  /// Starts a call; Result() waits for it.
  class Pending
  {
  public:
    http::CallResult Result() { return mFuture.get(); }

  private:
    friend class PlatformFleet;
    std::future<http::CallResult> mFuture;
  };
  Pending Begin(std::size_t aVm, const CallText& aCall);

  /// Sends bytes as they are and returns what comes back until the end or a
  /// pause of the given time.
  std::string Raw(std::size_t aVm, const std::string& aBytes, Duration aPause);

  /// Makes a request as a call, for callers with connections of their own.
  http::Request RequestOf(const CallText& aCall);

  /// Makes the request that a balancer sends to see whether a VM is ready.
  static http::Request ReadyRequest();

  /// Returns the signature of the server that gave an answer.
  static std::string SignatureOf(const http::Response& aAnswer);

  /// Returns a VM's log so far.
  std::string Log(std::size_t aVm) const;

  /// Returns a VM's metrics.
  std::string Metrics(std::size_t aVm);

  standins::Store& Store() { return mStore; }
  std::vector<TestVm>& Vms() { return mVms; }
  std::vector<std::unique_ptr<standins::BatchEngine>>& Engines()
  {
    return mEngines;
  }

private:
  std::string WriteSettings(const TestVm& aVm) const;
  std::future<http::CallResult> Send(const document::Endpoint& aPeer,
                                     http::Request aRequest,
                                     Duration aBound);

  std::string mFolder;
  load::Network* mNetwork;
  http::Threads mThreads{ 2 };
  standins::Store mStore;
  std::unique_ptr<http::Server> mStoreServer;
  document::Endpoint mStoreAddress;
  std::vector<std::unique_ptr<standins::BatchEngine>> mEngines;
  std::vector<TestVm> mVms;
  std::uint64_t mVersion = 0;
  std::atomic<std::uint64_t> mCalls{ 0 };
};

} // namespace magnoliatide::tests

#endif
