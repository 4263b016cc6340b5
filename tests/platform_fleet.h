// A small deployment of the operators' platform on loopback. The VMs are real
// processes; the metadata store and the backend servers are test doubles in the
// test's own process.
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
#include <utility>
#include <vector>

namespace magnoliatide::tests {

/// A route in the operators' configuration.
struct RouteConfig
{
  std::string name = "quotes";
  std::string prefix = "/quotes/";
  std::string kind = "stream";
  std::string service = "language";
  /// Services and weights; if not empty, `service` is not used.
  std::vector<std::pair<std::string, int>> split;
  int attempts = 2; ///< Maximum number of servers a request is sent to.
  bool resumable = true;
  int timeoutMillis = 5000;
  int targetMillis = 1000; ///< Target latency.
  int tier = 0;            ///< 0 is the most urgent.
  bool anonymous = false;  ///< Whether callers need no key.
};

/// A team in the operators' configuration.
struct TeamConfig
{
  std::string name = "planners";
  std::vector<std::string> keys = { "key-of-planners" };
  double perSecond = 0; ///< Quota in tokens per second; 0: none.
  double burst = 0;     ///< Tokens beyond the rate in one quota window.
};

/// The limits for callers in the operators' configuration.
struct LimitsConfig
{
  int headerBytes = 8192;
  int bodyBytes = 65536;
  Milliseconds headerTimeout{ 2000 };
  Milliseconds idleTimeout{ 5000 };
};

/// A VM process and its addresses.
struct TestVm
{
  std::string name;
  std::string zone;
  document::Endpoint callerAddress;
  document::Endpoint readyAddress;   ///< Address of the readiness check.
  document::Endpoint peerAddress;    ///< Address used by other VMs.
  document::Endpoint peerBind;       ///< Where it listens for other VMs.
  document::Endpoint metricsAddress; ///< Also the admin address.
  std::string settingsPath;
  std::string outputPath;
  load::Process process;
};

/// The request of a caller.
struct CallSpec
{
  std::string path = "/quotes/1";
  std::string method = "POST";
  std::string body = "a body";
  std::string id; ///< Empty: a generated one.
  std::string key = "key-of-planners";
  int deadlineMillis = 5000;
  std::string lastEventId;
  std::string usage = "100,40"; ///< Prompt tokens and maximum output tokens.
  http::Headers headers;        ///< Additional headers.
};

/// Starts and calls the VMs of a deployment and controls its test doubles.
class PlatformFleet
{
public:
  /// @param aName Name of the test and of its folder of settings and logs.
  /// @param aZones Availability zone of each VM.
  /// @param aNetwork If given, the VMs reach the store, the servers and each
  ///     other through it. The group of the store is "store"; the group of a VM
  ///     or a server is its name. Must outlive the fleet.
  explicit PlatformFleet(const std::string& aName,
                         std::vector<std::string> aZones = { "kariakoo" },
                         load::Network* aNetwork = nullptr);
  ~PlatformFleet();

  /// Adds a line to the [vm] section of all settings. Call before Start().
  void AddVmSetting(const std::string& aLine);

  /// Starts a backend server and writes its store entry.
  standins::BatchEngine& AddEngine(standins::BatchEngineOptions aOptions);

  /// Publishes a configuration with a higher version than the last one.
  void Publish(const std::vector<RouteConfig>& aRoutes,
               const std::vector<TeamConfig>& aTeams,
               const LimitsConfig& aLimits = {});

  /// Publishes a configuration with one team and the routes /quotes/ (streams),
  /// /deposits/ (not idempotent) and /stock/ (idempotent).
  void PublishDefaultRoutes();

  /// Writes a server's store entry.
  void WriteEntry(const standins::BatchEngine& aEngine, bool aLeaving = false);

  /// Starts a VM's process.
  void StartVm(std::size_t aIndex);

  /// Starts all VMs. Returns whether they became ready in time.
  bool Start();

  /// Returns whether a VM's readiness check succeeds.
  bool IsReady(std::size_t aVm);

  /// Calls a VM and waits for the result.
  http::CallResult Call(std::size_t aVm, const CallSpec& aCall);

  /// Calls a VM and disconnects after the given time unless the call has ended.
  void CallAndLeave(std::size_t aVm, const CallSpec& aCall, Duration aAfter);

  /// A running call; Result() waits for its end.
  class Pending
  {
  public:
    http::CallResult Result() { return mFuture.get(); }
    bool Ended() const
    {
      return mFuture.wait_for(Seconds(0)) == std::future_status::ready;
    }

  private:
    friend class PlatformFleet;
    std::future<http::CallResult> mFuture;
  };
  /// Starts a call.
  Pending StartCall(std::size_t aVm, const CallSpec& aCall);

  /// Sends raw bytes on a new connection. Returns what is received until the
  /// connection ends or nothing arrives for the given time.
  std::string SendRaw(std::size_t aVm,
                      const std::string& aBytes,
                      Duration aPause);

  /// The same for any address of a VM.
  static std::string SendRawTo(const document::Endpoint& aAddress,
                               const std::string& aBytes,
                               Duration aPause);

  /// Sends two parts of a request on a new connection with a pause between
  /// them. Returns what is received afterwards.
  std::string SendInTwo(std::size_t aVm,
                        const std::string& aFirst,
                        const std::string& aSecond,
                        Duration aPause);

  /// Returns the HTTP request of a call, for callers that manage connections
  /// themselves.
  http::Request RequestOf(const CallSpec& aCall);

  /// Returns the readiness check of a load balancer.
  static http::Request ReadyRequest();

  /// Returns the server's signature of an answer.
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
  std::future<http::CallResult> Send(const document::Endpoint& aAddress,
                                     http::Request aRequest,
                                     Duration aTimeout);

  std::string mFolder;
  std::string mVmSettings; ///< Additional lines of the [vm] section.
  load::Network* mNetwork;
  http::Threads mThreads{ 2 };
  standins::Store mStore;
  std::unique_ptr<http::Server> mStoreServer;
  document::Endpoint mStoreAddress;
  std::vector<std::unique_ptr<standins::BatchEngine>> mEngines;
  std::vector<TestVm> mVms;
  std::uint64_t mVersion = 0;
  std::atomic<std::uint64_t> mCalls{ 0 }; ///< Makes request ids unique.
};

} // namespace magnoliatide::tests

#endif
