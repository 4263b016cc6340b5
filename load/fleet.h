// A whole environment on loopback: platform, backend servers and VMs as
// processes, each availability zone on addresses of its own.
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

/// A group of backend servers that are alike.
struct BackendGroup
{
  std::string name = "engine";
  std::string service = "language";
  bool plain = false;
  int count = 1;
  double prefillRate = 8000;
  Duration tokenTime = Milliseconds(10);
  int batch = 16;
  int slots = 8;
  int maxSlots = 64;
  std::string models = "small";
  Duration delay = Milliseconds(5); ///< Of a plain call.
  bool checksFencing = false;
  bool managed = false;
};

struct FleetOptions
{
  std::string binaries; ///< Folder of the build.
  std::string folder;   ///< For settings and output; made if missing.
  std::string environment = "trial";
  std::vector<std::string> zones = { "kariakoo", "temeke", "mikocheni" };
  int vms = 3;
  std::vector<BackendGroup> groups;
  std::string base;        ///< Tiers, teams, kinds, services and limits.
  std::string policyLines; ///< Lines for [policy] in the settings.
  int threads = 2;
  std::string logLevel = "info";
  /// Whether VMs reach each other through a network that can be cut.
  bool cuttable = false;
};

/// A process of the fleet and where it is reached.
struct Member
{
  std::string name;
  std::string zone;
  document::Endpoint address;  ///< For callers.
  document::Endpoint peer;     ///< VMs only; as others reach it.
  document::Endpoint peerBind; ///< VMs only; where it listens.
  document::Endpoint admin;    ///< VMs only.
  Process process;
  std::vector<std::string> command;
};

class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();

  /// Starts the platform and backend servers, publishes generation 1, starts
  /// the VMs and waits until all are ready. Returns false after the bound.
  bool Start(Duration aBound = Seconds(20));

  /// Publishes the document with a generation, and extra lines at its end.
  void Publish(std::uint64_t aGeneration, const std::string& aExtra = "");

  /// Publishes a text as it is.
  void PublishText(const std::string& aText);

  /// Returns the document's text for a generation.
  std::string DocumentText(std::uint64_t aGeneration,
                           const std::string& aExtra = "") const;

  /// Publishes the list of VMs and leaving backend servers.
  void PublishList(const std::vector<std::string>& aLeaving = {});

  void StartVm(std::size_t aIndex);
  void StartBackend(std::size_t aIndex);
  void StartPlatform();

  /// Waits until a VM answers its health check.
  bool WaitReady(std::size_t aIndex, Duration aBound = Seconds(20));

  /// Makes a call and returns its result.
  http::CallResult Call(const document::Endpoint& aPeer,
                        http::Request aRequest,
                        Duration aBound = Seconds(30));

  /// Makes a GET call with the operators' token.
  http::CallResult Get(const document::Endpoint& aPeer,
                       const std::string& aTarget);

  /// Sets faults of a stand-in, for example "slow=10".
  void SetFaults(const document::Endpoint& aPeer, const std::string& aQuery);

  std::vector<Member>& Vms() { return mVms; }
  std::vector<Member>& Backends() { return mBackends; }
  Member& Platform() { return mPlatform; }

  /// Returns the network between the VMs of a cuttable fleet.
  Network& PeerNetwork() { return *mNetwork; }
  const FleetOptions& Options() const { return mOptions; }
  http::Threads& Threads() { return mThreads; }

private:
  void PlaceMembers();
  std::string BackendSections() const;
  std::string WriteSettings(const Member& aVm) const;
  std::string OutputFile(const std::string& aName) const;
  bool WaitHealth(const document::Endpoint& aPeer,
                  const std::string& aPath,
                  TimePoint aEnd);

  FleetOptions mOptions;
  http::Threads mThreads{ 2 };
  std::unique_ptr<Network> mNetwork;
  Member mPlatform;
  std::vector<Member> mBackends;
  std::vector<BackendGroup> mGroupOf; ///< The group of each backend server.
  std::vector<Member> mVms;
};

/// The operators' token of every fleet.
constexpr char kAdminToken[] = "operators-token";

/// Returns the bearer token of a team in test documents.
std::string
TokenOf(const std::string& aTeam);

/// Returns a [team] section with that token.
std::string
TeamSection(const std::string& aTeam, const std::string& aExtra = "");

} // namespace magnoliatide::load

#endif
