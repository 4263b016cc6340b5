// Starts and calls a small deployment of the operators' platform.
#include "platform_fleet.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace magnoliatide::tests {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kReadyTimeout = Seconds(15);
constexpr Duration kReadyPollInterval = Milliseconds(20);
constexpr char kHost[] = "shop.example";

std::string
ReadAll(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

json::object
RouteJson(const RouteConfig& aRoute)
{
  json::object route{ { "name", aRoute.name },
                      { "host", kHost },
                      { "prefix", aRoute.prefix },
                      { "kind", aRoute.kind },
                      { "timeout-ms", aRoute.timeoutMillis },
                      { "target-latency-ms", aRoute.targetMillis },
                      { "priority", aRoute.tier },
                      { "service", aRoute.service },
                      { "attempts", aRoute.attempts },
                      { "allow-anonymous", aRoute.anonymous },
                      { "sticky", aRoute.kind == "stream" } };
  if (aRoute.kind == "stream") {
    route["resumable"] = aRoute.resumable;
    route["gap-aim-ms"] = 300;
  }
  json::array split;
  for (const auto& [service, weight] : aRoute.split) {
    split.push_back(
      json::object{ { "service", service }, { "weight", weight } });
  }
  if (!split.empty()) {
    route.erase("service");
    route["traffic-split"] = std::move(split);
  }
  return route;
}

json::object
TeamJson(const TeamConfig& aTeam)
{
  json::array keys;
  for (const auto& key : aTeam.keys) {
    keys.push_back(json::string(key));
  }
  return { { "name", aTeam.name },
           { "api-keys", std::move(keys) },
           { "unit", "tokens" },
           { "plain-tokens", 200 },
           { "rate-per-s", aTeam.perSecond },
           { "burst", aTeam.burst } };
}

} // namespace

PlatformFleet::PlatformFleet(const std::string& aName,
                             std::vector<std::string> aZones,
                             load::Network* aNetwork)
  : mFolder(std::string(MAGNOLIATIDE_BINARIES) + "/test-runs/" + aName)
  , mNetwork(aNetwork)
{
  std::filesystem::remove_all(mFolder);
  std::filesystem::create_directories(mFolder);
  http::ServerOptions options;
  options.address = { "127.30.0.1", load::FreePort("127.30.0.1") };
  mStoreAddress = options.address;
  if (mNetwork != nullptr) {
    mStoreAddress = { "127.30.0.2", load::FreePort("127.30.0.2") };
    mNetwork->AddHost(mStoreAddress, options.address, "store");
  }
  mStoreServer =
    http::StartServer(mThreads, options, [this](http::Exchange& aExchange) {
      return mStore.Handle(aExchange);
    });
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    TestVm vm;
    vm.zone = aZones[i];
    vm.name = "vm-" + std::to_string(i + 1);
    const auto host = "127.30.1." + std::to_string(i + 1);
    for (auto* address : { &vm.callerAddress,
                           &vm.readyAddress,
                           &vm.peerAddress,
                           &vm.metricsAddress }) {
      *address = { host, load::FreePort(host) };
    }
    vm.peerBind = vm.peerAddress;
    if (mNetwork != nullptr) {
      const auto proxyHost = "127.30.3." + std::to_string(i + 1);
      vm.peerAddress = { proxyHost, load::FreePort(proxyHost) };
      mNetwork->AddHost(vm.peerAddress, vm.peerBind, vm.name);
    }
    vm.settingsPath = mFolder + "/" + vm.name + ".ini";
    vm.outputPath = mFolder + "/" + vm.name + ".log";
    mVms.push_back(std::move(vm));
  }
  for (const auto& vm : mVms) {
    std::ofstream(vm.settingsPath) << WriteSettings(vm);
  }
}

PlatformFleet::~PlatformFleet()
{
  for (auto& vm : mVms) {
    vm.process.Signal(SIGKILL);
  }
  mThreads.Stop();
}

std::string
PlatformFleet::WriteSettings(const TestVm& aVm) const
{
  std::string seeds;
  for (const auto& vm : mVms) {
    seeds += (seeds.empty() ? "" : ", ") + document::Format(vm.peerAddress);
  }
  std::ostringstream text;
  text << "[vm]\nslot = " << aVm.zone << "/" << aVm.name
       << "\nenvironment = trial\ncaller-address = "
       << document::Format(aVm.callerAddress)
       << "\nready-address = " << document::Format(aVm.readyAddress)
       << "\npeer-address = " << document::Format(aVm.peerAddress)
       << "\npeer-bind = " << document::Format(aVm.peerBind)
       << "\nadmin-address = " << document::Format(aVm.metricsAddress)
       << "\nmetrics-address = " << document::Format(aVm.metricsAddress)
       << "\nthreads = 1\ndrain-time = 8s\n"
       << mVmSettings << "[platform]\nkind = metadata-store\naddress = "
       << document::Format(mStoreAddress)
       << "\n[peers]\nkeys = trial:0123456789abcdef0123456789abcdef\nseeds = "
       << seeds << "\n[admin]\ntoken-digest = " << Sha256Hex("operators-token")
       << "\n[log]\nlevel = info\n[bounds]\nquota-window = 2s\n";
  return text.str();
}

void
PlatformFleet::AddVmSetting(const std::string& aLine)
{
  mVmSettings += aLine + "\n";
  for (const auto& vm : mVms) {
    std::ofstream(vm.settingsPath) << WriteSettings(vm);
  }
}

standins::BatchEngine&
PlatformFleet::AddEngine(standins::BatchEngineOptions aOptions)
{
  const auto host = "127.30.2." + std::to_string(mEngines.size() + 1);
  aOptions.address = { host, load::FreePort(host) };
  if (mNetwork != nullptr) {
    const auto proxyHost = "127.30.4." + std::to_string(mEngines.size() + 1);
    aOptions.advertised = { proxyHost, load::FreePort(proxyHost) };
    mNetwork->AddHost(aOptions.advertised, aOptions.address, aOptions.id);
  }
  mEngines.push_back(standins::StartBatchEngine(aOptions));
  WriteEntry(*mEngines.back());
  return *mEngines.back();
}

void
PlatformFleet::WriteEntry(const standins::BatchEngine& aEngine, bool aLeaving)
{
  mStore.Put("servers/" + aEngine.Options().id, aEngine.Entry(aLeaving));
}

void
PlatformFleet::Publish(const std::vector<RouteConfig>& aRoutes,
                       const std::vector<TeamConfig>& aTeams,
                       const LimitsConfig& aLimits)
{
  // Versions must increase but need not be consecutive.
  mVersion += 3;
  json::array routes;
  json::array services;
  std::string known; // Names of the services so far, between commas.
  const auto addService = [&](const std::string& aService) {
    if (known.find("," + aService + ",") == std::string::npos) {
      known += "," + aService + ",";
      services.push_back(json::object{ { "name", aService },
                                       { "health-path", "/healthz" },
                                       { "max-connections", 100 } });
    }
  };
  for (const auto& route : aRoutes) {
    routes.push_back(RouteJson(route));
    for (const auto& [service, weight] : route.split) {
      addService(service);
    }
    if (route.split.empty()) {
      addService(route.service);
    }
  }
  json::array teams;
  for (const auto& team : aTeams) {
    teams.push_back(TeamJson(team));
  }
  const json::object limits{
    { "max-header-bytes", aLimits.headerBytes },
    { "max-body-bytes", aLimits.bodyBytes },
    { "header-timeout-ms", aLimits.headerTimeout.count() },
    { "idle-timeout-ms", aLimits.idleTimeout.count() }
  };
  mStore.Put("op/config",
             json::serialize(json::object{ { "version", mVersion },
                                           { "routes", std::move(routes) },
                                           { "services", std::move(services) },
                                           { "tenants", std::move(teams) },
                                           { "limits", limits } }));
}

void
PlatformFleet::PublishDefaultRoutes()
{
  RouteConfig deposits;
  deposits.name = "deposits";
  deposits.prefix = "/deposits/";
  deposits.kind = "non_idempotent";
  deposits.service = "orders";
  deposits.attempts = 1;
  RouteConfig stock = deposits;
  stock.name = "stock";
  stock.prefix = "/stock/";
  stock.kind = "idempotent";
  stock.attempts = 2;
  Publish({ RouteConfig(), deposits, stock }, { TeamConfig() });
}

void
PlatformFleet::StartVm(std::size_t aIndex)
{
  auto& vm = mVms[aIndex];
  vm.process =
    load::Process({ std::string(MAGNOLIATIDE_BINARIES) + "/src/magnoliatide",
                    "serve",
                    "--settings",
                    vm.settingsPath },
                  vm.outputPath);
}

bool
PlatformFleet::Start()
{
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    StartVm(i);
  }
  const TimePoint end = Clock::now() + kReadyTimeout;
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    while (!IsReady(i)) {
      if (Clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kReadyPollInterval);
    }
  }
  return true;
}

bool
PlatformFleet::IsReady(std::size_t aVm)
{
  const auto result =
    Send(mVms[aVm].readyAddress, ReadyRequest(), Seconds(1)).get();
  return result.status == http::CallStatus::kDone &&
         result.response.status == 200;
}

http::Request
PlatformFleet::ReadyRequest()
{
  http::Request request;
  request.target = "/magnoliatide/readyz";
  return request;
}

std::string
PlatformFleet::SignatureOf(const http::Response& aAnswer)
{
  return std::string(http::Find(aAnswer.headers, "Engine-Signature"));
}

http::Request
PlatformFleet::RequestOf(const CallSpec& aCall)
{
  const std::uint64_t number = ++mCalls;
  http::Request request;
  request.method = aCall.method;
  request.target = aCall.path;
  request.body = aCall.body;
  const auto id = aCall.id.empty() ? ToHex(Hash64(mFolder, number)) : aCall.id;
  request.headers = { { "Host", kHost },
                      { "Attempt-Id", id },
                      { "Deadline-Ms", std::to_string(aCall.deadlineMillis) },
                      { "Token-Usage", aCall.usage },
                      { "Model", "m" } };
  if (!aCall.key.empty()) {
    request.headers.push_back({ "Authorization", "Token " + aCall.key });
  }
  if (!aCall.lastEventId.empty()) {
    request.headers.push_back({ "Last-Event-Id", aCall.lastEventId });
  }
  for (const auto& header : aCall.headers) {
    request.headers.push_back(header);
  }
  return request;
}

std::future<http::CallResult>
PlatformFleet::Send(const document::Endpoint& aAddress,
                    http::Request aRequest,
                    Duration aTimeout)
{
  return asio::co_spawn(mThreads.Next(),
                        http::Call(aAddress, std::move(aRequest), aTimeout),
                        asio::use_future);
}

http::CallResult
PlatformFleet::Call(std::size_t aVm, const CallSpec& aCall)
{
  return StartCall(aVm, aCall).Result();
}

PlatformFleet::Pending
PlatformFleet::StartCall(std::size_t aVm, const CallSpec& aCall)
{
  Pending pending;
  pending.mFuture =
    Send(mVms[aVm].callerAddress, RequestOf(aCall), Seconds(10));
  return pending;
}

void
PlatformFleet::CallAndLeave(std::size_t aVm,
                            const CallSpec& aCall,
                            Duration aAfter)
{
  Send(mVms[aVm].callerAddress, RequestOf(aCall), aAfter).get();
}

namespace {

/// Reads until the connection ends or nothing arrives for the given time, and
/// closes the socket.
std::string
ReadAnswer(asio::io_context& aLoop,
           asio::ip::tcp::socket& aSocket,
           Duration aPause)
{
  std::string answer;
  char chunk[4096];
  bool open = true;
  while (open) {
    std::size_t received = 0;
    aSocket.async_read_some(asio::buffer(chunk),
                            [&](const auto& aError, std::size_t aSize) {
                              received = aSize;
                              open = !aError;
                            });
    aLoop.restart();
    aLoop.run_for(aPause);
    if (received == 0) {
      break;
    }
    answer.append(chunk, received);
  }
  boost::system::error_code ignored;
  aSocket.close(ignored);
  aLoop.restart();
  aLoop.run_for(Milliseconds(10));
  return answer;
}

} // namespace

std::string
PlatformFleet::SendRaw(std::size_t aVm,
                       const std::string& aBytes,
                       Duration aPause)
{
  return SendRawTo(mVms[aVm].callerAddress, aBytes, aPause);
}

std::string
PlatformFleet::SendRawTo(const document::Endpoint& aAddress,
                         const std::string& aBytes,
                         Duration aPause)
{
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({ asio::ip::make_address(aAddress.host), aAddress.port });
  asio::write(socket, asio::buffer(aBytes));
  return ReadAnswer(loop, socket, aPause);
}

std::string
PlatformFleet::SendInTwo(std::size_t aVm,
                         const std::string& aFirst,
                         const std::string& aSecond,
                         Duration aPause)
{
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  const auto& address = mVms[aVm].callerAddress;
  socket.connect({ asio::ip::make_address(address.host), address.port });
  asio::write(socket, asio::buffer(aFirst));
  std::this_thread::sleep_for(aPause);
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(aSecond), ignored);
  return ReadAnswer(loop, socket, Seconds(2));
}

std::string
PlatformFleet::Log(std::size_t aVm) const
{
  return ReadAll(mVms[aVm].outputPath);
}

std::string
PlatformFleet::Metrics(std::size_t aVm)
{
  http::Request request;
  request.target = "/metrics";
  return Send(mVms[aVm].metricsAddress, request, Seconds(2))
    .get()
    .response.body;
}

} // namespace magnoliatide::tests
