// A complete environment on loopback: platform, backend servers and VMs run as
// processes, and each availability zone has its own addresses.
#ifndef MAGNOLIATIDE_LOAD_FLEET_H
#define MAGNOLIATIDE_LOAD_FLEET_H

#include "network.h"
#include "process.h"

#include "magnoliatide/document/document.h"
#include "magnoliatide/http/client.h"
#include "magnoliatide/http/threads.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// A group of backend servers with the same parameters.
struct BackendGroup
{
  std::string name = "engine";
  std::string service = "language";
  bool plain = false; ///< A plain service instead of an engine.
  int count = 1;
  double prefillRate = 8000;             ///< Prompt tokens per second.
  Duration tokenTime = Milliseconds(10); ///< Time per token of a lone request.
  int batch = 16;               ///< Requests that an engine runs concurrently.
  int slots = 8;                ///< Value of `slots` in the document.
  int maxSlots = 64;            ///< Value of `max-slots` in the document.
  std::string models = "small"; ///< Comma-separated names.
  Duration delay = Milliseconds(5); ///< Service time of a plain call.
  bool checksFencing = false;       ///< Whether it refuses stale orders.
  bool managed = false;             ///< Whether the VMs send it orders.
};

struct FleetOptions
{
  std::string binaries; ///< Build folder.
  std::string folder;   ///< For settings and logs; created if missing.
  std::string environment = "trial";
  std::vector<std::string> zones = { "kariakoo", "temeke", "mikocheni" };
  int vms = 3;
  std::vector<BackendGroup> groups;
  std::string base; ///< Document text: tiers, teams, kinds, services, limits.
  std::string policyLines; ///< Lines of the [policy] section in the settings.
  int threads = 2;         ///< Threads of each VM.
  std::string logLevel = "info";
  /// Whether VMs communicate through a network that can be partitioned.
  bool partitionable = false;
};

/// A process of the fleet and its addresses.
struct Member
{
  std::string name;
  std::string zone;
  document::Endpoint address;  ///< Address for callers.
  document::Endpoint peer;     ///< VMs only; address used by other VMs.
  document::Endpoint peerBind; ///< VMs only; address it listens on.
  document::Endpoint admin;    ///< VMs only; address for operators.
  Process process;
  std::vector<std::string> command; ///< Program and its arguments.
};

/// Starts and controls the processes of an environment.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();

  /// Starts the platform and backend servers, publishes generation 1, starts
  /// the VMs and waits until all are ready. Returns false on timeout.
  bool Start(Duration aTimeout = Seconds(20));

  /// Publishes the document with the given generation and aExtra appended.
  void Publish(std::uint64_t aGeneration, const std::string& aExtra = "");

  /// Publishes a document text unchanged.
  void PublishText(const std::string& aText);

  /// Returns the document text for a generation.
  std::string DocumentText(std::uint64_t aGeneration,
                           const std::string& aExtra = "") const;

  /// Publishes the platform's list of VMs, with the names of the backend
  /// servers that are leaving.
  void PublishVmList(const std::vector<std::string>& aLeaving = {});

  void StartVm(std::size_t aIndex);
  void StartBackend(std::size_t aIndex);
  void StartPlatform();

  /// Waits until the health check of a VM succeeds. Returns false on timeout.
  bool WaitReady(std::size_t aIndex, Duration aTimeout = Seconds(20));

  /// Sends a request and returns the result.
  http::CallResult Call(const document::Endpoint& aAddress,
                        http::Request aRequest,
                        Duration aTimeout = Seconds(30));

  /// Sends a GET request with the operator token.
  http::CallResult Get(const document::Endpoint& aAddress,
                       const std::string& aTarget);

  /// Sets faults of a stand-in with a URL query, for example "slow=10".
  void SetFaults(const document::Endpoint& aAddress, const std::string& aQuery);

  std::vector<Member>& Vms() { return mVms; }
  std::vector<Member>& Backends() { return mBackends; }
  Member& Platform() { return mPlatform; }

  /// Returns the network between the VMs. Requires FleetOptions::partitionable.
  Network& PeerNetwork() { return *mNetwork; }
  const FleetOptions& Options() const { return mOptions; }
  http::Threads& Threads() { return mThreads; }

private:
  void CreateMembers();
  std::string BackendSections() const;
  std::string WriteSettings(const Member& aVm) const;
  std::string OutputFile(const std::string& aName) const;
  bool WaitHealth(const document::Endpoint& aAddress,
                  const std::string& aPath,
                  TimePoint aEnd);

  FleetOptions mOptions;
  http::Threads mThreads{ 2 };
  std::unique_ptr<Network> mNetwork;
  Member mPlatform;
  std::vector<Member> mBackends;
  std::vector<BackendGroup> mGroups; ///< By index of the backend server.
  std::vector<Member> mVms;
};

/// Operator token of every fleet.
constexpr char kAdminToken[] = "operators-token";

/// Returns the bearer token of a team.
std::string
TokenOf(const std::string& aTeam);

/// Returns a [team] section that accepts the token of TokenOf() and contains
/// the lines of aExtra.
std::string
TeamSection(const std::string& aTeam, const std::string& aExtra = "");

} // namespace magnoliatide::load

#endif
