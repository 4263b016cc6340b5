// Simulated callers, configuration probes and the load balancer.
#include "callers.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <charconv>
#include <random>
#include <thread>

namespace magnoliatide::soak {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Connect timeout of common clients.
constexpr Duration kConnectTimeout = Seconds(1);
constexpr Duration kAnswerTimeout = Seconds(8);
constexpr std::size_t kMaxAnswerBytes = 1024 * 1024;

/// The balancer checks readiness once per second and removes a VM from the
/// rotation after two consecutive failures.
constexpr Duration kReadyPeriod = Seconds(1);
constexpr int kMaxMisses = 2;

constexpr Duration kProbePeriod = Milliseconds(200);
constexpr Duration kMaxRetryAfter = Seconds(1);

/// Part of the idle timeout for which callers leave a connection idle at most.
constexpr double kMaxIdlePart = 0.8;
constexpr double kIdleProbability = 0.05;

/// Some calls have a body that is larger by this number of bytes.
constexpr std::size_t kLargeBody = 8000;
constexpr double kLargeBodyProbability = 0.05;

/// Prompt tokens and maximum output tokens of each call. Their sum must be
/// Quota::unitsPerCall.
constexpr char kUsage[] = "100,40";

double
RandomFraction(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

/// Returns a uniformly distributed random time.
Duration
Between(std::mt19937_64& aRandom, int aMinMillis, int aMaxMillis)
{
  return Milliseconds(
    std::uniform_int_distribution<int>(aMinMillis, aMaxMillis)(aRandom));
}

asio::awaitable<void>
Pause(Duration aTime)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, aTime);
  co_await timer.async_wait(kNoThrow);
}

/// Returns the time that an answer asks the caller to wait, at most
/// kMaxRetryAfter.
Duration
RetryAfter(const http::Response& aResponse)
{
  const auto text = http::Find(aResponse.headers, "Retry-After");
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::min<Duration>(FromSeconds(seconds), kMaxRetryAfter);
}

} // namespace

struct Callers::Caller
{
  std::mt19937_64 random;
  std::shared_ptr<http::ClientConnection> connection;
  std::size_t vm = 0;
  bool keeps = false; ///< Keeps its connection until the VM closes it.
  Duration pause{};   ///< Time until the next call.
};

Callers::Callers(tests::PlatformFleet& aFleet, CallersOptions aOptions)
  : mFleet(aFleet)
  , mOptions(std::move(aOptions))
  , mInRotation(aFleet.Vms().size())
{
  const auto start = [this](asio::awaitable<void> aWork) {
    mRunning += 1;
    asio::co_spawn(mThreads.Next(), std::move(aWork), [this](const auto&) {
      mRunning -= 1;
    });
  };
  for (std::size_t vm = 0; vm < mInRotation.size(); ++vm) {
    mInRotation[vm].store(true);
    start(Balance(vm));
    start(Probe(vm));
  }
  for (int i = 0; i < mOptions.callers; ++i) {
    start(RunCaller(mOptions.seed * 1000 + static_cast<std::uint64_t>(i)));
  }
}

Callers::~Callers()
{
  mThreads.Stop();
}

std::vector<CallRecord>
Callers::Stop()
{
  mStopping.store(true);
  while (mRunning.load() > 0) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  std::lock_guard<std::mutex> lock(mMutex);
  std::stable_sort(
    mCalls.begin(), mCalls.end(), [](const auto& aL, const auto& aR) {
      return aL.sentAt < aR.sentAt;
    });
  return std::move(mCalls);
}

void
Callers::RecordCall(CallRecord aRecord)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mCalls.push_back(std::move(aRecord));
}

/// Checks the readiness of a VM like a load balancer and updates mInRotation.
asio::awaitable<void>
Callers::Balance(std::size_t aVm)
{
  int misses = 0;
  while (!mStopping.load()) {
    auto request = tests::PlatformFleet::ReadyRequest();
    const auto result = co_await http::Call(
      mFleet.Vms()[aVm].readyAddress, std::move(request), kReadyPeriod);
    const bool ready =
      result.status == http::CallStatus::kDone && result.response.status == 200;
    misses = ready ? 0 : misses + 1;
    mInRotation[aVm].store(misses < kMaxMisses);
    co_await Pause(kReadyPeriod);
  }
}

/// Calls the probe route of the current version at a VM. Each version has a
/// probe route of its own, so the status shows whether the version is active.
asio::awaitable<void>
Callers::Probe(std::size_t aVm)
{
  Caller caller;
  caller.vm = aVm;
  while (!mStopping.load()) {
    co_await Pause(kProbePeriod);
    CallRecord record;
    record.kind = Kind::kProbe;
    record.version = mVersion.load();
    record.team = "planners";
    record.vm = aVm;
    record.target = TraitsOf(record.kind).prefix +
                    std::to_string(record.version) + "/" +
                    std::to_string(++mNumber);
    record.deadline = Seconds(2);
    if (record.version > 0 && co_await Connect(caller)) {
      co_await Exchange(caller, record, Duration::zero());
    }
    caller.connection.reset();
  }
}

/// Sends the calls of one caller, one after another.
asio::awaitable<void>
Callers::RunCaller(std::uint64_t aSeed)
{
  Caller caller;
  caller.random.seed(aSeed);
  caller.keeps = caller.random() % 2 == 0;
  while (!mStopping.load()) {
    co_await SendNextCall(caller);
    co_await Pause(caller.pause);
  }
}

/// Sends one call, on the open connection or on a new one to a VM in rotation.
/// Then keeps or closes the connection at random. A kept connection is used
/// until the VM closes it, also while the VM drains, and is idle at times.
asio::awaitable<void>
Callers::SendNextCall(Caller& aCaller)
{
  constexpr double kKeepProbability = 0.8;
  constexpr double kLeaveProbability = 0.06;
  auto& random = aCaller.random;
  aCaller.pause = Between(random, 10, 80);
  if (!aCaller.connection) {
    std::vector<std::size_t> choices;
    for (std::size_t vm = 0; vm < mInRotation.size(); ++vm) {
      if (mInRotation[vm].load()) {
        choices.push_back(vm);
      }
    }
    if (choices.empty()) {
      co_return;
    }
    aCaller.vm = choices[random() % choices.size()];
    if (!co_await Connect(aCaller)) {
      aCaller.connection.reset();
      co_return;
    }
  }
  auto record = NewCall(aCaller);
  const bool leaves = RandomFraction(random) < kLeaveProbability;
  const Duration leaveAfter =
    leaves ? Between(random, 20, 600) : Duration::zero();
  co_await Exchange(aCaller, record, leaveAfter);
  const bool closes =
    !aCaller.keeps && RandomFraction(random) > kKeepProbability;
  if (!aCaller.connection->Reusable() || closes) {
    aCaller.connection.reset();
  } else if (RandomFraction(random) < kIdleProbability) {
    aCaller.pause = FromSeconds(RandomFraction(random) * kMaxIdlePart *
                                mIdleMillis.load() / 1000);
  }
}

CallRecord
Callers::NewCall(Caller& aCaller)
{
  auto& random = aCaller.random;
  constexpr Kind kKinds[] = { Kind::kQuote, Kind::kQuote,   Kind::kLetter,
                              Kind::kStock, Kind::kDeposit, Kind::kDeposit,
                              Kind::kTrend };
  CallRecord record;
  record.kind = kKinds[random() % std::size(kKinds)];
  record.vm = aCaller.vm;
  const bool limited =
    record.kind == Kind::kQuote && RandomFraction(random) < 0.5;
  record.team = limited ? mOptions.quota.team : "planners";
  const auto number = ++mNumber;
  record.target = TraitsOf(record.kind).prefix + std::to_string(number);
  record.body = "body of " + std::to_string(number);
  if (RandomFraction(random) < kLargeBodyProbability) {
    record.body.append(kLargeBody, 'x');
  }
  record.deadline = Between(random, 1500, 5000);
  return record;
}

tests::CallSpec
Callers::MakeCallSpec(const CallRecord& aRecord) const
{
  tests::CallSpec spec;
  spec.path = aRecord.target;
  spec.method = TraitsOf(aRecord.kind).method;
  spec.body = aRecord.body;
  spec.id = aRecord.id;
  spec.key = "key-of-" + aRecord.team;
  spec.usage = kUsage;
  spec.deadlineMillis = static_cast<int>(
    std::chrono::duration_cast<Milliseconds>(aRecord.deadline).count());
  return spec;
}

asio::awaitable<bool>
Callers::Connect(Caller& aCaller)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  aCaller.connection =
    http::MakeConnection(executor, mFleet.Vms()[aCaller.vm].callerAddress);
  const bool connected = co_await aCaller.connection->Connect(kConnectTimeout);
  co_return connected;
}

/// Sends a call and records its outcome, unless it could not be sent. If
/// aLeaveAfter is not zero, the caller closes the connection after that time.
asio::awaitable<void>
Callers::Exchange(Caller& aCaller, CallRecord& aRecord, Duration aLeaveAfter)
{
  const auto connection = aCaller.connection;
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  aRecord.id = ToHex(Hash64(aRecord.target, mOptions.seed));
  asio::steady_timer timer(executor);
  if (aLeaveAfter > Duration::zero()) {
    timer.expires_after(aLeaveAfter);
    timer.async_wait([connection](const auto& aError) {
      if (!aError) {
        connection->Close();
      }
    });
  }
  auto request = mFleet.RequestOf(MakeCallSpec(aRecord));
  aRecord.sentAt = Clock::now();
  http::Response response;
  aRecord.status =
    co_await connection->Send(std::move(request), kAnswerTimeout);
  if (aRecord.status == http::CallStatus::kDone) {
    aRecord.status = co_await connection->ReadHead(response, kAnswerTimeout);
  }
  if (aRecord.status == http::CallStatus::kDone) {
    aRecord.status = co_await connection->ReadRest(
      aRecord.answer, kMaxAnswerBytes, kAnswerTimeout);
  }
  aRecord.endedAt = Clock::now();
  timer.cancel();
  aRecord.httpStatus = response.status;
  aRecord.signature = tests::PlatformFleet::SignatureOf(response);
  aRecord.callerDisconnected =
    aRecord.status == http::CallStatus::kClosedLocally;
  aCaller.pause += RetryAfter(response);
  if (aRecord.status != http::CallStatus::kNotSent) {
    RecordCall(aRecord);
  }
}

} // namespace magnoliatide::soak
