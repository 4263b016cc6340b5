// Starting, signalling and reaping of child processes.
#include "process.h"

#include <boost/asio.hpp>

#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace magnoliatide::load {

namespace {

constexpr Duration kPollInterval = Milliseconds(5);

/// Ports that FreePort() returns. They are below the ports that the system
/// assigns to outgoing connections, so that no such connection takes one before
/// its user listens on it.
constexpr unsigned kFirstPort = 10000;
constexpr unsigned kEndOfPorts = 32768;

} // namespace

Process::Process(const std::vector<std::string>& aCommand,
                 const std::string& aOutputFile)
{
  std::vector<char*> words;
  for (const auto& word : aCommand) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Closes inherited descriptors: a listening socket inherited by a child would
  // stay open after its owner closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
    posix_spawn(&mId, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    mId = 0;
    throw std::runtime_error("failed to start " + aCommand[0]);
  }
}

Process::~Process()
{
  if (Running()) {
    Signal(SIGKILL);
    Wait(Seconds(10));
  }
}

Process::Process(Process&& aOther) noexcept
  : mId(aOther.mId)
  , mStatus(aOther.mStatus)
{
  aOther.mId = 0;
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  std::swap(mId, aOther.mId);
  std::swap(mStatus, aOther.mStatus);
  return *this;
}

void
Process::Signal(int aNumber)
{
  if (mId != 0) {
    kill(mId, aNumber);
  }
}

bool
Process::Reap()
{
  if (mId == 0) {
    return true;
  }
  int status = 0;
  if (waitpid(mId, &status, WNOHANG) != mId) {
    return false;
  }
  mStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  mId = 0;
  return true;
}

bool
Process::Wait(Duration aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  while (!Reap()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool
Process::Running()
{
  return !Reap();
}

ProcessUsage
UsageOf(int aProcessId)
{
  ProcessUsage usage;
  const std::string base = "/proc/" + std::to_string(aProcessId);
  std::ifstream stat(base + "/stat");
  // The fields 14 and 15 of /proc/PID/stat are the CPU times in clock ticks.
  std::string word;
  for (int i = 0; i < 13; ++i) {
    stat >> word;
  }
  double user = 0;
  double system = 0;
  stat >> user >> system;
  usage.cpuSeconds =
    (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream memory(base + "/statm");
  double total = 0;
  double resident = 0;
  memory >> total >> resident;
  usage.residentMegabytes =
    resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

std::uint16_t
FreePort(const std::string& aHost)
{
  using boost::asio::ip::tcp;
  using boost::asio::ip::udp;
  static std::atomic<unsigned> sNext{ std::random_device{}() };
  boost::asio::io_context context;
  const auto host = boost::asio::ip::make_address(aHost);
  while (true) {
    const auto port = static_cast<std::uint16_t>(
      kFirstPort + sNext.fetch_add(1) % (kEndOfPorts - kFirstPort));
    boost::system::error_code error;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.bind(tcp::endpoint(host, port), error);
    if (!error) {
      acceptor.listen(1, error);
    }
    udp::socket socket(context, udp::v4());
    if (!error) {
      socket.bind(udp::endpoint(host, port), error);
    }
    if (!error) {
      return port;
    }
  }
}

} // namespace magnoliatide::load
