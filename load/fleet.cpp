// Creation, start and control of the processes of a fleet.
#include "fleet.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace magnoliatide::load {

namespace asio = boost::asio;

namespace {

constexpr Duration kHealthPollInterval = Milliseconds(20);
constexpr char kPeerKey[] = "k1:0123456789abcdef0123456789abcdef";

/// Returns a loopback address that is unique in the fleet. The roles are 0 for
/// a VM, 1 for a backend server and 2 for the forwarder to a VM.
std::string
HostOf(std::size_t aZone, std::size_t aIndex, int aRole)
{
  return "127." + std::to_string(10 + aRole) + "." + std::to_string(aZone + 1) +
         "." + std::to_string(aIndex + 1);
}

document::Endpoint
FreeEndpoint(const std::string& aHost)
{
  return { aHost, FreePort(aHost) };
}

std::string
ToMicros(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::microseconds>(aTime).count());
}

std::string
ToMillis(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aTime).count());
}

} // namespace

std::string
TokenOf(const std::string& aTeam)
{
  return "token-of-" + aTeam;
}

std::string
TeamSection(const std::string& aTeam, const std::string& aExtra)
{
  return "[team " + aTeam + "]\ntoken-digest = " + Sha256Hex(TokenOf(aTeam)) +
         "\n" + aExtra + "\n";
}

Fleet::Fleet(FleetOptions aOptions)
  : mOptions(std::move(aOptions))
{
  std::filesystem::create_directories(mOptions.folder);
  if (mOptions.partitionable) {
    mNetwork = std::make_unique<Network>();
  }
  CreateMembers();
}

Fleet::~Fleet()
{
  // Kills the VMs and backend servers at once, because the destructors of
  // Process wait for one after another.
  for (auto& vm : mVms) {
    vm.process.Signal(SIGKILL);
  }
  for (auto& backend : mBackends) {
    backend.process.Signal(SIGKILL);
  }
}

void
Fleet::CreateMembers()
{
  const std::string standin =
    mOptions.binaries + "/standins/magnoliatide-standin";
  mPlatform.name = "platform";
  mPlatform.address = FreeEndpoint("127.9.0.1");
  mPlatform.command = { standin,
                        "platform",
                        "--address=" + Format(mPlatform.address) };
  const auto zones = mOptions.zones.size();
  std::size_t backendIndex = 0;
  for (const auto& group : mOptions.groups) {
    for (int i = 0; i < group.count; ++i, ++backendIndex) {
      Member member;
      member.name = group.name + "-" + std::to_string(i + 1);
      member.zone = mOptions.zones[backendIndex % zones];
      member.address =
        FreeEndpoint(HostOf(backendIndex % zones, backendIndex / zones, 1));
      member.command = {
        standin,
        group.plain ? "ledger" : "engine",
        "--address=" + Format(member.address),
        "--name=" + member.name,
        "--prefill_rate=" + std::to_string(group.prefillRate),
        "--token_us=" + ToMicros(group.tokenTime),
        "--batch=" + std::to_string(group.batch),
        "--delay_ms=" + ToMillis(group.delay),
        std::string("--checks_fencing=") +
          (group.checksFencing ? "true" : "false"),
      };
      mBackends.push_back(std::move(member));
      mGroups.push_back(group);
    }
  }
  for (int i = 0; i < mOptions.vms; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto host = HostOf(index % zones, index / zones, 0);
    Member member;
    member.zone = mOptions.zones[index % zones];
    member.name = member.zone + "/vm" + std::to_string(index / zones + 1);
    member.address = FreeEndpoint(host);
    member.peerBind = FreeEndpoint(host);
    member.peer = member.peerBind;
    if (mOptions.partitionable) {
      member.peer = FreeEndpoint(HostOf(index % zones, index / zones, 2));
      mNetwork->AddHost(member.peer, member.peerBind, member.zone);
    }
    member.admin = FreeEndpoint(host);
    member.command = { mOptions.binaries + "/src/magnoliatide",
                       "serve",
                       "--settings=" + WriteSettings(member) };
    mVms.push_back(std::move(member));
  }
}

std::string
Fleet::OutputFile(const std::string& aName) const
{
  std::string file = aName;
  std::replace(file.begin(), file.end(), '/', '_');
  return mOptions.folder + "/" + file + ".log";
}

std::string
Fleet::WriteSettings(const Member& aVm) const
{
  std::string file = aVm.name;
  std::replace(file.begin(), file.end(), '/', '_');
  const std::string path = mOptions.folder + "/" + file + ".ini";
  std::ofstream out(path);
  out << "[vm]\nslot = " << aVm.name
      << "\nenvironment = " << mOptions.environment
      << "\ncaller-address = " << Format(aVm.address)
      << "\npeer-address = " << Format(aVm.peer)
      << "\npeer-bind = " << Format(aVm.peerBind)
      << "\nadmin-address = " << Format(aVm.admin)
      << "\nthreads = " << mOptions.threads
      << "\n[platform]\naddress = " << Format(mPlatform.address)
      << "\n[peers]\nkeys = " << kPeerKey
      << "\n[admin]\ntoken-digest = " << Sha256Hex(kAdminToken)
      << "\n[log]\nlevel = " << mOptions.logLevel << "\n";
  if (!mOptions.policyLines.empty()) {
    out << "[policy]\n" << mOptions.policyLines << "\n";
  }
  return path;
}

std::string
Fleet::BackendSections() const
{
  std::string text;
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    const auto& group = mGroups[i];
    const auto& member = mBackends[i];
    text += std::string("[") + (group.plain ? "backend " : "engine ") +
            member.name + "]\nservice = " + group.service +
            "\naddress = " + Format(member.address) +
            "\nzone = " + member.zone +
            "\nslots = " + std::to_string(group.slots) +
            "\nmax-slots = " + std::to_string(group.maxSlots) + "\n";
    if (!group.plain) {
      text += "models = " + group.models + "\n";
    }
    if (group.checksFencing) {
      text += "checks-fencing = yes\n";
    }
    if (group.managed) {
      text += "managed = yes\n";
    }
  }
  return text;
}

std::string
Fleet::DocumentText(std::uint64_t aGeneration, const std::string& aExtra) const
{
  std::string text = "[environment]\nname = " + mOptions.environment +
                     "\ngeneration = " + std::to_string(aGeneration) +
                     "\n[vms]\nslots = ";
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    text += (i == 0 ? "" : ", ") + mVms[i].name;
  }
  return text + "\nfirst-start = yes\n" + mOptions.base + "\n" +
         BackendSections() + aExtra;
}

void
Fleet::Publish(std::uint64_t aGeneration, const std::string& aExtra)
{
  PublishText(DocumentText(aGeneration, aExtra));
}

void
Fleet::PublishText(const std::string& aText)
{
  http::Request request;
  request.method = "PUT";
  request.target = "/v1/config/" + mOptions.environment;
  request.body = aText;
  Call(mPlatform.address, std::move(request));
}

void
Fleet::PublishVmList(const std::vector<std::string>& aLeaving)
{
  std::string vms;
  for (const auto& vm : mVms) {
    vms += (vms.empty() ? "" : ",") + std::string(R"({"slot":")") + vm.name +
           R"(","peer":")" + Format(vm.peer) + R"(","state":"live"})";
  }
  std::string backends;
  for (const auto& name : aLeaving) {
    backends += (backends.empty() ? "" : ",") + std::string(R"({"name":")") +
                name + R"(","state":"leaving"})";
  }
  http::Request request;
  request.method = "PUT";
  request.target = "/v1/vms";
  request.body = R"({"vms":[)" + vms + R"(],"backends":[)" + backends + "]}";
  Call(mPlatform.address, std::move(request));
}

bool
Fleet::Start(Duration aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  StartPlatform();
  for (std::size_t i = 0; i < mBackends.size(); ++i) {
    StartBackend(i);
  }
  if (!WaitHealth(mPlatform.address, "/control/counts", end)) {
    return false;
  }
  PublishVmList();
  Publish(1);
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    StartVm(i);
  }
  for (auto& backend : mBackends) {
    if (!WaitHealth(backend.address, "/health", end)) {
      return false;
    }
  }
  for (auto& vm : mVms) {
    if (!WaitHealth(vm.address, "/healthz", end)) {
      return false;
    }
  }
  return true;
}

void
Fleet::StartVm(std::size_t aIndex)
{
  auto& vm = mVms[aIndex];
  vm.process = Process(vm.command, OutputFile(vm.name));
}

void
Fleet::StartBackend(std::size_t aIndex)
{
  auto& backend = mBackends[aIndex];
  backend.process = Process(backend.command, OutputFile(backend.name));
}

void
Fleet::StartPlatform()
{
  mPlatform.process = Process(mPlatform.command, OutputFile("platform"));
}

bool
Fleet::WaitReady(std::size_t aIndex, Duration aTimeout)
{
  return WaitHealth(mVms[aIndex].address, "/healthz", Clock::now() + aTimeout);
}

bool
Fleet::WaitHealth(const document::Endpoint& aAddress,
                  const std::string& aPath,
                  TimePoint aEnd)
{
  while (Clock::now() < aEnd) {
    const auto result = Get(aAddress, aPath);
    if (result.status == http::CallStatus::kDone &&
        result.response.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(kHealthPollInterval);
  }
  return false;
}

http::CallResult
Fleet::Call(const document::Endpoint& aAddress,
            http::Request aRequest,
            Duration aTimeout)
{
  return asio::co_spawn(mThreads.Next(),
                        http::Call(aAddress, std::move(aRequest), aTimeout),
                        asio::use_future)
    .get();
}

http::CallResult
Fleet::Get(const document::Endpoint& aAddress, const std::string& aTarget)
{
  http::Request request;
  request.target = aTarget;
  request.headers.push_back(
    { "Authorization", std::string("Bearer ") + kAdminToken });
  return Call(aAddress, std::move(request), Seconds(5));
}

void
Fleet::SetFaults(const document::Endpoint& aAddress, const std::string& aQuery)
{
  Get(aAddress, "/control/faults?" + aQuery);
}

} // namespace magnoliatide::load
