// Test double of a backend server, built on Boost.Beast.
#include "batch_engine.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/http/threads.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace magnoliatide::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
/// Size of one write of an answer that is sent as fast as possible.
constexpr std::size_t kFillerBytes = 16 * 1024;
constexpr char kEndlessCheck[] =
  "HTTP/1.1 200 S\r\nContent-Length: 50000000\r\n\r\n";
constexpr char kHealthPath[] = "/healthz";
constexpr char kStatusPath[] = "/magnoliatide/report";

using Message = bhttp::request<bhttp::string_body>;
using Parser = bhttp::request_parser<bhttp::string_body>;

std::string
HeaderValue(const Message& aMessage, const char* aName)
{
  return std::string(aMessage[aName]);
}

double
ParseNumber(const std::string& aText)
{
  double number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string
Event(const std::string& aTarget, int aNumber)
{
  const auto number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aTarget + "#" + number + "\n\n";
}

std::string
Chunk(const std::string& aText)
{
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

class Engine : public BatchEngine
{
public:
  explicit Engine(const BatchEngineOptions& aOptions)
    : mOptions(aOptions)
    , mThreads(1)
    , mLoop(mThreads.At(0))
    , mAcceptor(mLoop)
  {
    Post([this] { Listen(); });
  }

  ~Engine() override { mThreads.Stop(); }

  void SetFault(EngineFault aFault, int aCount) override
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mFault = aFault;
    mFaultyRequests = aCount;
  }

  void SetRefusalFault(const RefusalFault& aFault) override
  {
    Post([this, aFault] { mRefusalFault = aFault; });
  }

  int RepeatedRefusals() const override { return mRepeated.load(); }

  void AnswerWithoutEnd(Duration aPause,
                        std::optional<EndlessPart> aPart,
                        std::size_t aAtOnce) override
  {
    Post([this, aPause, aPart, aAtOnce] {
      mEndlessPause = aPause;
      mEndlessPart = aPart;
      mEndlessAtOnce = aAtOnce;
    });
  }

  void AnswerChecksWithoutEnd() override
  {
    Post([this] { mEndlessChecks = true; });
  }

  void FallSilent(Duration aTime) override
  {
    Post([this, aTime] {
      mSilentUntil = std::max(mSilentUntil, Clock::now() + aTime);
    });
  }

  void Crash() override
  {
    Post([this] { ResetAll(); });
  }

  void NameRateLimit(const std::string& aLimit) override
  {
    Post([this, aLimit] {
      mLimitHeader = aLimit.empty() ? "" : "Server-Limit: " + aLimit + "\r\n";
    });
  }

  std::vector<TimePoint> ArrivalTimes() const override
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mArrivalTimes;
  }

  int PartCrashes() const override { return mPartCrashes.load(); }

  void Restart(const std::string& aId) override
  {
    Post([this, aId] {
      mLeavingHeader.clear();
      mBackoffHeader.clear();
      {
        std::lock_guard<std::mutex> lock(mMutex);
        mOptions.id = aId;
        mStarted += 1;
      }
      Listen();
    });
  }

  std::vector<EngineRun> Runs() const override
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return { mRuns.begin(), mRuns.end() };
  }

  int Arrivals() const override { return mArrivals.load(); }

  void AnnounceLeaving() override
  {
    Post([this] { mLeavingHeader = "Server-Leaving: 1\r\n"; });
  }

  void NameBackoff(const std::string& aSeconds) override
  {
    Post([this, aSeconds] {
      mBackoffHeader =
        aSeconds.empty() ? "" : "Retry-After: " + aSeconds + "\r\n";
    });
  }

  std::string Entry(bool aLeaving) const override
  {
    std::lock_guard<std::mutex> lock(mMutex);
    json::object entry{ { "service", mOptions.service },
                        { "address", document::Format(ReachableAddress()) },
                        { "zone", mOptions.zone },
                        { "version", "v1" },
                        { "slots", mOptions.slots },
                        { "state", aLeaving ? "draining" : "ready" },
                        { "warmup-left-ms", 0 },
                        { "born", 1000 + mStarted },
                        { "sequence", ++mSequence } };
    return json::serialize(entry);
  }

  const BatchEngineOptions& Options() const override { return mOptions; }

private:
  const document::Endpoint& ReachableAddress() const
  {
    const bool isAdvertised = mOptions.advertised.port != 0;
    return isAdvertised ? mOptions.advertised : mOptions.address;
  }
  template<typename Function>
  void Post(Function aFunction)
  {
    asio::post(mLoop, asio::use_future([f = std::move(aFunction)] { f(); }))
      .wait();
  }

  void ResetAll()
  {
    ErrorCode ignored;
    mAcceptor.close(ignored);
    for (auto* socket : mSockets) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  /// Returns whether a run has the part that crashes the engine.
  bool IsDeadly(const EngineRun& aRun) const
  {
    const auto& part = mOptions.deadlyPart;
    return !part.empty() &&
           ("," + aRun.promptParts).find("," + part + ":") != std::string::npos;
  }

  void Listen()
  {
    const auto host = asio::ip::make_address(mOptions.address.host);
    mAcceptor.open(tcp::v4());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    mAcceptor.bind({ host, mOptions.address.port });
    mAcceptor.listen();
    asio::co_spawn(mLoop, Accept(), asio::detached);
  }

  asio::awaitable<void> Accept()
  {
    while (mAcceptor.is_open()) {
      auto [error, socket] = co_await mAcceptor.async_accept(kNoThrow);
      if (!error) {
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(mLoop, Serve(std::move(socket)), asio::detached);
      }
    }
  }

  asio::awaitable<void> Serve(tcp::socket aSocket)
  {
    mSockets.insert(&aSocket);
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      Parser parser;
      parser.body_limit(kMaxBodyBytes);
      const auto [error, bytes] =
        co_await bhttp::async_read_header(aSocket, buffer, parser, kNoThrow);
      static_cast<void>(bytes);
      if (error) {
        break;
      }
      open = co_await Answer(aSocket, buffer, parser);
    }
    mSockets.erase(&aSocket);
    mRefusals.erase(&aSocket);
    mLateAnswers.erase(&aSocket);
  }

  /// Returns the fault of the next request, and counts that request.
  EngineFault NextFault()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (mFaultyRequests == 0) {
      return EngineFault::kNone;
    }
    mFaultyRequests -= mFaultyRequests > 0 ? 1 : 0;
    return mFault;
  }

  asio::awaitable<bool> Answer(tcp::socket& aSocket,
                               beast::flat_buffer& aBuffer,
                               Parser& aParser)
  {
    const bool health = aParser.get().target() == kHealthPath ||
                        aParser.get().target() == kStatusPath;
    const auto fault = health ? EngineFault::kNone : NextFault();
    if (fault != EngineFault::kEarlyAnswer && !aParser.is_done()) {
      const auto [error, bytes] =
        co_await bhttp::async_read(aSocket, aBuffer, aParser, kNoThrow);
      static_cast<void>(bytes);
      if (error) {
        co_return false;
      }
    }
    const TimePoint arrived = Clock::now();
    co_await AwaitSilenceEnd();
    const auto& message = aParser.get();
    if (health && mEndlessChecks) {
      bool open = co_await Write(aSocket, kEndlessCheck);
      while (open) {
        open = co_await Write(aSocket, std::string(kFillerBytes, 'x'));
      }
      co_return false;
    }
    if (health) {
      co_return co_await Write(aSocket, MakeResponse(200, "ok", "", false));
    }
    RecordArrival();
    const auto id = "Attempt-Id: " + HeaderValue(message, "Attempt-Id") +
                    "\r\n" + AnswerHeaders();
    const auto expected = HeaderValue(message, "Expect-Instance");
    if (!expected.empty() && expected != mOptions.id) {
      co_return co_await Refuse(
        aSocket, 421, "Instance-Id: " + mOptions.id + "\r\n", id);
    }
    if (mEndlessPause) {
      co_await AnswerEndlessly(aSocket, message);
      co_return false;
    }
    if (fault == EngineFault::kThrottled) {
      co_return co_await Refuse(aSocket, 429, "Not-Executed: 1\r\n", id);
    }
    if (fault == EngineFault::kFull ||
        mRunning >= mOptions.slots + mOptions.queue) {
      co_return co_await Refuse(
        aSocket, 503, "Not-Executed: 1\r\n" + mBackoffHeader, id);
    }
    co_return co_await Run(aSocket, aBuffer, aParser, fault, arrived);
  }

  /// Returns headers of all answers to requests.
  std::string AnswerHeaders() const { return mLimitHeader + mLeavingHeader; }

  void RecordArrival()
  {
    mArrivals += 1;
    std::lock_guard<std::mutex> lock(mMutex);
    mArrivalTimes.push_back(Clock::now());
  }

  /// Writes a refusal, and keeps it if it is to be written once more.
  ///
  /// @param aHeaders Headers except the one of the id.
  asio::awaitable<bool> Refuse(tcp::socket& aSocket,
                               int aStatus,
                               std::string aHeaders,
                               std::string aId)
  {
    const auto& fault = mRefusalFault;
    const auto& body = mOptions.rejectionBody;
    const auto text =
      MakeResponse(aStatus, body, aHeaders + (fault.bearsId ? aId : ""), false);
    const auto again = MakeResponse(
      aStatus, body, aHeaders + (fault.repeatBearsId ? aId : ""), false);
    bool open = co_await Write(aSocket, text);
    if (open && fault.repeat == RefusalFault::Repeat::kWhileIdle) {
      co_await Sleep(Milliseconds(20));
      mRepeated += 1;
      open = co_await Write(aSocket, again);
    } else if (open && fault.repeat != RefusalFault::Repeat::kNever) {
      mRefusals[&aSocket] = again;
    }
    co_return open;
  }

  /// Writes the connection's last refusal once more if the fault says so.
  asio::awaitable<void> RepeatRefusal(tcp::socket& aSocket,
                                      RefusalFault::Repeat aWhen)
  {
    const auto found = mRefusals.find(&aSocket);
    if (mRefusalFault.repeat != aWhen || found == mRefusals.end()) {
      co_return;
    }
    const auto text = std::move(found->second);
    mRefusals.erase(found);
    mRepeated += 1;
    co_await Write(aSocket, text);
  }

  asio::awaitable<void> WriteLateAnswer(tcp::socket& aSocket)
  {
    const auto found = mLateAnswers.find(&aSocket);
    if (found != mLateAnswers.end()) {
      const auto text = std::move(found->second);
      mLateAnswers.erase(found);
      co_await Write(aSocket, text);
    }
  }

  /// Sends the next part without end, until the caller closes the connection.
  asio::awaitable<void> AnswerEndlessly(tcp::socket& aSocket,
                                        const Message& aMessage)
  {
    const auto next =
      static_cast<EndlessPart>(mEndlessAnswers++ % kEndlessParts);
    const auto part = mEndlessPart.value_or(next);
    const auto pause = *mEndlessPause;
    EngineRun notRun;
    notRun.requestId = HeaderValue(aMessage, "Attempt-Id");
    const bool runs = part != EndlessPart::kRefusalBody;
    mRunning += 1;
    auto& run =
      runs ? RecordRun(aMessage, EngineFault::kNone, Clock::now()) : notRun;
    const auto answer = EndlessAnswer(part, run);
    std::string many = answer.filler;
    while (many.size() < kFillerBytes) {
      many += answer.filler;
    }
    const auto& filler = pause == Duration::zero() ? many : answer.filler;
    // Appended in large parts: byte by byte, 8 MB take 65 to 125 ms, in which
    // the other requests are not served.
    std::string begin = answer.begin;
    const auto full = begin.size() + mEndlessAtOnce;
    begin.reserve(full);
    while (begin.size() < full) {
      begin.append(many, 0, full - begin.size());
    }
    bool open = co_await Write(aSocket, std::move(begin));
    for (std::size_t i = 0; open; ++i) {
      if (pause == Duration::zero()) {
        open = co_await Write(aSocket, filler);
      } else {
        co_await Sleep(pause);
        open = co_await Write(aSocket, filler.substr(i % filler.size(), 1));
      }
    }
    RecordEnd(run, false);
  }

  struct Endless
  {
    std::string begin;
    std::string filler; ///< Repeated without end.
  };

  /// Returns the bytes of an answer that does not end in a part.
  Endless EndlessAnswer(EndlessPart aPart, const EngineRun& aRun) const
  {
    const std::string line = "HTTP/1.1 200 OK\r\n";
    const auto head = line + "Content-Type: text/event-stream\r\n" +
                      "Attempt-Id: " + aRun.requestId +
                      "\r\nEngine-Signature: " + Sign(aRun) + "\r\n";
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string length = "Content-Length: 50000000\r\n\r\n";
    switch (aPart) {
      case EndlessPart::kStatusLine:
        return { "HTTP/1.1 200 ", "x" };
      case EndlessPart::kHeader:
        return { head + "X-Long: ", "x" };
      case EndlessPart::kHeaders:
        return { head, "X-Some: y\r\n" };
      case EndlessPart::kInterimHeads:
        return { "", "HTTP/1.1 100 Continue\r\n\r\n" };
      case EndlessPart::kChunkSize:
        return { chunked, "0" };
      case EndlessPart::kChunkExtension:
        return { chunked + "1;x=", "y" };
      case EndlessPart::kTrailer:
        return { chunked + Chunk(Event(aRun.target, 1)) + "0\r\n",
                 "X-Some: y\r\n" };
      case EndlessPart::kBodyOfLength:
        return { head + length, "x" };
      case EndlessPart::kBodyOfChunks:
        return { chunked, Chunk("0123456789abcdef") };
      case EndlessPart::kBodyUntilClose:
        return { head + "\r\n", "x" };
      case EndlessPart::kRefusalBody:
        return { "HTTP/1.1 503 S\r\nNot-Executed: 1\r\nAttempt-Id: " +
                   aRun.requestId + "\r\n" + length,
                 "x" };
      case EndlessPart::kForeignBody:
        return { line + "Attempt-Id: other\r\n" + length, "x" };
      case EndlessPart::kEvent:
        return { chunked, Chunk("data: x\n") };
      case EndlessPart::kComments:
        return { chunked, Chunk(": x\n\n") };
      case EndlessPart::kEmptyLines:
        return { chunked, Chunk("\n") };
      case EndlessPart::kEvents:
        return { chunked, Chunk("data: " + std::string(1000, 'x') + "\n\n") };
    }
    return {};
  }

  EngineRun& RecordRun(const Message& aMessage,
                       EngineFault aFault,
                       TimePoint aArrived)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mRuns.emplace_back();
    auto& run = mRuns.back();
    run.requestId = HeaderValue(aMessage, "Attempt-Id");
    run.method = std::string(aMessage.method_string());
    run.target = std::string(aMessage.target());
    run.body = aMessage.body();
    run.team = HeaderValue(aMessage, "Tenant");
    run.credential = HeaderValue(aMessage, "Authorization");
    run.lastEventId = HeaderValue(aMessage, "Last-Event-Id");
    run.promptParts = HeaderValue(aMessage, "Prompt-Prefix");
    run.deadlineMillis = ParseNumber(HeaderValue(aMessage, "Deadline-Ms"));
    run.fault = aFault;
    run.arrived = aArrived;
    run.began = Clock::now();
    return run;
  }

  void RecordEnd(EngineRun& aRun, bool aComplete)
  {
    mRunning -= 1;
    std::lock_guard<std::mutex> lock(mMutex);
    aRun.ended = Clock::now();
    aRun.dropped = !aComplete;
  }

  asio::awaitable<bool> Run(tcp::socket& aSocket,
                            beast::flat_buffer& aBuffer,
                            Parser& aParser,
                            EngineFault aFault,
                            TimePoint aArrived)
  {
    mRunning += 1;
    auto& run = RecordRun(aParser.get(), aFault, aArrived);
    co_await RepeatRefusal(aSocket, RefusalFault::Repeat::kBeforeRun);
    co_await WriteLateAnswer(aSocket);
    co_await Sleep(mOptions.firstByteDelay);
    const bool complete = co_await Reply(aSocket, run, aFault);
    RecordEnd(run, complete);
    if (complete && aFault == EngineFault::kEarlyAnswer) {
      const auto [error, bytes] =
        co_await bhttp::async_read(aSocket, aBuffer, aParser, kNoThrow);
      static_cast<void>(bytes);
      std::lock_guard<std::mutex> lock(mMutex);
      run.body = aParser.get().body();
      co_return !error;
    }
    co_return complete;
  }

  /// Sends the answer. Returns whether the connection stays usable.
  asio::awaitable<bool> Reply(tcp::socket& aSocket,
                              const EngineRun& aRun,
                              EngineFault aFault)
  {
    const auto id = "Attempt-Id: " + aRun.requestId + "\r\n" + AnswerHeaders();
    const auto signature = "Engine-Signature: " + Sign(aRun) + "\r\n";
    switch (aFault) {
      case EngineFault::kFailed:
        co_return co_await Write(
          aSocket, MakeResponse(500, "failed", id + signature, false));
      case EngineFault::kLost:
        co_return false;
      case EngineFault::kSilent:
        co_return co_await WaitForClose(aSocket);
      case EngineFault::kGarbage:
        co_await Write(aSocket, "no answer at all\r\n\r\n");
        co_return false;
      case EngineFault::kLateAnswer:
        mLateAnswers[&aSocket] =
          MakeResponse(200, "not asked for", signature, false);
        break;
      case EngineFault::kFalsePromise:
        co_return co_await Write(aSocket,
                                 MakeResponse(503, "failed", id, false));
      case EngineFault::kSwitchProtocols:
        co_return co_await Write(
          aSocket, "HTTP/1.1 101 S\r\n" + id + signature + "\r\n");
      case EngineFault::kBadStatus:
        co_return co_await Write(
          aSocket, MakeResponse(999, "strange", id + signature, false));
      case EngineFault::kInterim:
        co_await Write(aSocket,
                       "HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
        break;
      case EngineFault::kUnsigned:
        co_return co_await Write(aSocket,
                                 MakeResponse(200, Body(aRun), id, false));
      case EngineFault::kCutHead:
        co_await Write(aSocket, "HTTP/1.1 200 OK\r\n" + id + signature);
        co_return false;
      case EngineFault::kUnframedHead:
        co_await Write(aSocket, MakeResponse(200, "", id + signature, true));
        co_return false;
      case EngineFault::kErrorDocument:
        co_return co_await Write(
          aSocket,
          MakeResponse(200, "{\"error\":\"failed\"}\n", id + signature, false));
      case EngineFault::kCountedCut: {
        const int after = static_cast<int>(ParseNumber(aRun.lastEventId));
        auto text =
          ExpectedEvents(aRun.target, after, after + mOptions.events / 2);
        text.pop_back();
        co_return co_await Write(
          aSocket, MakeResponse(200, text, id + signature, false));
      }
      case EngineFault::kUnframed:
      case EngineFault::kUnframedCut:
        if (mOptions.stream) {
          co_await UnframedStream(aSocket, aRun, id + signature, aFault);
          co_return false;
        }
        if (aFault == EngineFault::kUnframedCut) {
          co_await Write(aSocket, MakeResponse(200, "", id + signature, true));
          co_return false;
        }
        co_await Write(aSocket,
                       MakeResponse(200, Body(aRun), id + signature, true));
        co_return false;
      case EngineFault::kExtraAnswer:
        co_return co_await Write(
          aSocket,
          MakeResponse(200, Body(aRun), id + signature, false) +
            MakeResponse(200,
                         "not asked for",
                         "Attempt-Id: other\r\n" + signature,
                         false));
      default:
        break;
    }
    if (!mOptions.stream) {
      auto text = MakeResponse(200, Body(aRun), id + signature, false);
      const bool cut = aFault == EngineFault::kCut;
      const auto bodyAt = text.size() - Body(aRun).size();
      co_await Write(aSocket, text.substr(0, bodyAt));
      co_await RepeatRefusal(aSocket, RefusalFault::Repeat::kInBody);
      text.erase(0, bodyAt);
      const bool open =
        co_await Write(aSocket, text.substr(0, text.size() - (cut ? 3 : 0)));
      co_return open && !cut;
    }
    co_return co_await Stream(aSocket, aRun, id + signature, aFault);
  }

  asio::awaitable<bool> Stream(tcp::socket& aSocket,
                               const EngineRun& aRun,
                               const std::string& aHeaders,
                               EngineFault aFault)
  {
    bool open =
      co_await Write(aSocket,
                     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n" +
                       aHeaders + "\r\n");
    co_await Sleep(mOptions.firstEventDelay);
    if (open && IsDeadly(aRun)) {
      mPartCrashes += 1;
      ResetAll();
      co_return false;
    }
    co_await RepeatRefusal(aSocket, RefusalFault::Repeat::kInBody);
    const int after = static_cast<int>(ParseNumber(aRun.lastEventId));
    const bool chunkedCut = aFault == EngineFault::kChunkedCut;
    const bool cut = chunkedCut || aFault == EngineFault::kCut;
    const bool empty = aFault == EngineFault::kEmptyStream;
    for (int i = after + 1; open && !empty && i <= mOptions.events; ++i) {
      const auto event = Event(aRun.target, i);
      if (cut && i == after + mOptions.events / 2) {
        co_await Write(aSocket, Chunk(event.substr(0, event.size() / 2)));
        co_return chunkedCut&& co_await Write(aSocket, "0\r\n\r\n");
      }
      open = co_await Write(aSocket, Chunk(event));
      co_await Sleep(mOptions.eventInterval);
    }
    co_return open&& co_await Write(aSocket, "0\r\n\r\n");
  }

  /// Sends a stream without chunks, which ends with the connection. With
  /// kUnframedCut, half of the last event is missing.
  asio::awaitable<void> UnframedStream(tcp::socket& aSocket,
                                       const EngineRun& aRun,
                                       const std::string& aHeaders,
                                       EngineFault aFault)
  {
    const bool cut = aFault == EngineFault::kUnframedCut;
    const int after = static_cast<int>(ParseNumber(aRun.lastEventId));
    const int last = cut ? after + mOptions.events / 2 : mOptions.events;
    bool open = co_await Write(aSocket, MakeResponse(200, "", aHeaders, true));
    for (int i = after + 1; open && i <= last; ++i) {
      auto event = Event(aRun.target, i);
      if (cut && i == last) {
        event.resize(event.size() - 1);
      }
      open = co_await Write(aSocket, std::move(event));
      co_await Sleep(mOptions.eventInterval);
    }
  }

  std::string Body(const EngineRun& aRun) const
  {
    return "answer to " + aRun.target + " " + aRun.body;
  }

  std::string Sign(const EngineRun& aRun) const
  {
    return mOptions.id + "." + ToHex(Hash64(aRun.requestId + aRun.target));
  }

  /// Formats a response. An unframed one has no Content-Length and ends when
  /// the connection is closed.
  static std::string MakeResponse(int aStatus,
                                  const std::string& aBody,
                                  const std::string& aHeaders,
                                  bool aUnframed)
  {
    std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " S\r\n";
    text += aHeaders;
    text += aUnframed
              ? std::string("Connection: close\r\n")
              : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    return text + "\r\n" + aBody;
  }

  asio::awaitable<bool> Write(tcp::socket& aSocket, std::string aText)
  {
    co_await AwaitSilenceEnd();
    const auto [error, bytes] =
      co_await asio::async_write(aSocket, asio::buffer(aText), kNoThrow);
    static_cast<void>(bytes);
    co_return !error;
  }

  /// Waits until the caller closes the connection or sends a byte. Returns
  /// false, which ends the connection.
  static asio::awaitable<bool> WaitForClose(tcp::socket& aSocket)
  {
    char byte = 0;
    co_await aSocket.async_read_some(asio::buffer(&byte, 1), kNoThrow);
    co_return false;
  }

  asio::awaitable<void> AwaitSilenceEnd()
  {
    while (Clock::now() < mSilentUntil) {
      co_await Sleep(mSilentUntil - Clock::now());
    }
  }

  /// Suspends the calling coroutine for a time.
  asio::awaitable<void> Sleep(Duration aTime)
  {
    asio::steady_timer timer(mLoop, aTime);
    co_await timer.async_wait(kNoThrow);
  }

  BatchEngineOptions mOptions; ///< The mutex guards the id.
  mutable std::mutex mMutex;   ///< Guards the members up to mSequence.
  EngineFault mFault = EngineFault::kNone;
  int mFaultyRequests = 0;     ///< Next requests with mFault; negative for all.
  std::deque<EngineRun> mRuns; ///< A deque, so that references stay valid.
  std::vector<TimePoint> mArrivalTimes;
  std::int64_t mStarted = 1;
  mutable std::int64_t mSequence = 0;
  std::atomic<int> mArrivals{ 0 };
  std::atomic<int> mRepeated{ 0 };
  std::atomic<int> mPartCrashes{ 0 };
  // The members below are used on the event loop only.
  int mRunning = 0;
  std::string mLeavingHeader; ///< As mLimitHeader.
  std::string mBackoffHeader; ///< As mLimitHeader; of rejections only.
  std::string mLimitHeader;   ///< With its line end; empty for none.
  RefusalFault mRefusalFault;
  /// Refusals that are to be written once more, by connection.
  std::map<tcp::socket*, std::string> mRefusals;
  std::map<tcp::socket*, std::string> mLateAnswers; ///< By connection.
  /// Time between two bytes of answers without end; none: sound answers.
  std::optional<Duration> mEndlessPause;
  std::optional<EndlessPart> mEndlessPart;
  std::size_t mEndlessAtOnce = 0; ///< Bytes of the part without pauses.
  int mEndlessAnswers = 0;
  bool mEndlessChecks = false;
  TimePoint mSilentUntil{}; ///< Nothing is sent before this time.
  std::set<tcp::socket*> mSockets;
  http::Threads mThreads;
  asio::io_context& mLoop;
  tcp::acceptor mAcceptor;
};

} // namespace

std::unique_ptr<BatchEngine>
StartBatchEngine(const BatchEngineOptions& aOptions)
{
  return std::make_unique<Engine>(aOptions);
}

std::string
ExpectedEvents(const std::string& aTarget, int aAfter, int aLast)
{
  std::string text;
  for (int i = aAfter + 1; i <= aLast; ++i) {
    text += Event(aTarget, i);
  }
  return text;
}

} // namespace magnoliatide::standins
