// Test double of a backend server on the operators' platform. It runs a few
// requests concurrently in order of arrival, signs its answers, resumes
// streams, simulates the faults of such servers and records every run.
#ifndef MAGNOLIATIDE_STANDINS_BATCH_ENGINE_H
#define MAGNOLIATIDE_STANDINS_BATCH_ENGINE_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/document/document.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::standins {

struct BatchEngineOptions
{
  document::Endpoint address; ///< Address to listen on.
  /// Address in the store entry. If its port is 0, the entry has `address`.
  document::Endpoint advertised;
  std::string id = "i-1";
  std::string service = "language";
  std::string zone = "kariakoo";
  int slots = 4;
  int queue = 4;             ///< Requests accepted beyond the slots.
  bool stream = true;        ///< Answers with events instead of one body.
  std::string rejectionBody; ///< Of the 503 answers of a full engine.
  int events = 10;           ///< Number of events of a stream.
  Duration firstByteDelay = Milliseconds(20);
  Duration firstEventDelay{}; ///< Between the head and the first event.
  Duration eventInterval = Milliseconds(5);
  /// Id of a prompt part that crashes the engine before the first event of a
  /// run with it; empty for none.
  std::string deadlyPart;
};

/// How the engine mishandles requests.
enum class EngineFault
{
  kNone,
  kFailed,      ///< Runs the request and answers 500.
  kLost,        ///< Runs the request and closes without an answer.
  kCut,         ///< Closes the connection in the middle of the answer.
  kUnsigned,    ///< Answers without its signature.
  kGarbage,     ///< Sends bytes that are not HTTP.
  kExtraAnswer, ///< Sends a second answer after the right one.
  /// Writes a second answer without an id when the connection's next request
  /// begins to run.
  kLateAnswer,
  kUnframed,        ///< Answers without a length and closes the connection.
  kFull,            ///< Answers 503 with Not-Executed and runs nothing.
  kSilent,          ///< Runs the request and never answers.
  kEarlyAnswer,     ///< Answers before reading the body.
  kThrottled,       ///< Answers 429 with Not-Executed and runs nothing.
  kFalsePromise,    ///< Runs the request and answers 503 without Not-Executed.
  kInterim,         ///< Sends 100 and 103 before the answer.
  kSwitchProtocols, ///< Runs the request and answers 101.
  kBadStatus,       ///< Runs the request and answers with a status of 999.
  /// Answers without a length and closes the connection in the middle of the
  /// answer: a stream inside an event, another answer before its body.
  kUnframedCut,
  kUnframedHead,  ///< Closes after a whole head without a length.
  kCutHead,       ///< Closes in the middle of the head.
  kErrorDocument, ///< Answers with status 200 and a text that is no stream.
  kChunkedCut,    ///< Ends a stream inside an event, but its chunks properly.
  kCountedCut,    ///< The same with a length that fits the short stream.
  kEmptyStream,   ///< Ends the chunks of a stream before its first event.
};

/// Mishandled refusals of an engine.
struct RefusalFault
{
  /// When the last refusal on a connection is written once more.
  enum class Repeat
  {
    kNever,
    kWhileIdle, ///< Soon after the first time.
    kBeforeRun, ///< When the connection's next request begins to run.
    kInBody,    ///< Between the head and the body of the next answer.
  };
  Repeat repeat = Repeat::kNever;
  bool bearsId = true;       ///< The refusal echoes its request's id.
  bool repeatBearsId = true; ///< The repeated refusal does so.
};

/// Part of an answer that never ends.
enum class EndlessPart
{
  kStatusLine,
  kHeader,
  kHeaders,
  kInterimHeads,
  kChunkSize,
  kChunkExtension,
  kTrailer,
  kBodyOfLength,
  kBodyOfChunks,
  kBodyUntilClose,
  kRefusalBody, ///< Of a 503 with Not-Executed; the request does not run.
  kForeignBody, ///< Of an answer with the id of another request.
  kEvent,       ///< An event without an empty line.
  kComments,    ///< Events that consist of a comment.
  kEmptyLines,
  kEvents, ///< Sound events. Not a part that AnswerWithoutEnd() selects.
};
constexpr int kEndlessParts = 15;

/// A request that the engine started to run.
struct EngineRun
{
  std::string requestId;
  std::string method;
  std::string target;
  std::string body;
  std::string team;
  std::string credential; ///< Empty if the request had none.
  std::string lastEventId;
  std::string promptParts; ///< As the caller listed them.
  double deadlineMillis = 0;
  EngineFault fault = EngineFault::kNone; ///< How it was mishandled.
  TimePoint arrived; ///< When the engine had read the request.
  TimePoint began;
  TimePoint ended{};    ///< Zero while it runs.
  bool dropped = false; ///< The connection was lost before the answer ended.
};

/// A backend server that is controlled by the test.
class BatchEngine
{
public:
  virtual ~BatchEngine() = default;

  /// Sets a fault for the next requests.
  ///
  /// @param aCount Number of affected requests; negative for all.
  virtual void SetFault(EngineFault aFault, int aCount = -1) = 0;

  /// Sets how refusals are mishandled from now on.
  virtual void SetRefusalFault(const RefusalFault& aFault) = 0;

  /// Returns how many refusals were written once more.
  virtual int RepeatedRefusals() const = 0;

  /// Answers all requests from now on without end.
  ///
  /// @param aPause Time between two bytes; zero sends as fast as possible.
  /// @param aPart The part that does not end. If not given, each request gets
  ///     another one, in the order of EndlessPart.
  /// @param aAtOnce Number of bytes of the part that are sent without pauses.
  virtual void AnswerWithoutEnd(Duration aPause,
                                std::optional<EndlessPart> aPart = {},
                                std::size_t aAtOnce = 0) = 0;

  /// Answers health and status checks from now on with a body without end.
  virtual void AnswerChecksWithoutEnd() = 0;

  /// Suspends the engine for a time: it keeps its connections and requests, but
  /// sends nothing and starts no run until then.
  virtual void FallSilent(Duration aTime) = 0;

  /// Resets all connections and stops listening.
  virtual void Crash() = 0;

  /// Names a limit in all answers from now on: the requests per second that the
  /// engine takes from all VMs together. An empty text names none.
  virtual void NameRateLimit(const std::string& aLimit) = 0;

  /// Says in all answers from now on that the engine leaves. The answers are
  /// otherwise the same, and the entry in the store is not changed.
  virtual void AnnounceLeaving() = 0;

  /// Adds Retry-After to the answers that reject a request as full, with this
  /// text as its value. An empty text adds none.
  virtual void NameBackoff(const std::string& aSeconds) = 0;

  /// Returns when each request was received, run or not.
  virtual std::vector<TimePoint> ArrivalTimes() const = 0;

  /// Returns how often the engine has crashed because of its deadly part.
  virtual int PartCrashes() const = 0;

  /// Listens again as a new incarnation with the given id.
  virtual void Restart(const std::string& aId) = 0;

  /// Returns all runs so far, ended or not.
  virtual std::vector<EngineRun> Runs() const = 0;

  /// Returns the number of requests received, run or not.
  virtual int Arrivals() const = 0;

  /// Returns the engine's entry for the metadata store.
  virtual std::string Entry(bool aLeaving) const = 0;

  virtual const BatchEngineOptions& Options() const = 0;
};

/// Starts an engine that listens on its address.
std::unique_ptr<BatchEngine>
StartBatchEngine(const BatchEngineOptions& aOptions);

/// Returns the text of a target's stream events with the ids after aAfter up to
/// and including aLast.
std::string
ExpectedEvents(const std::string& aTarget, int aAfter, int aLast);

} // namespace magnoliatide::standins

#endif
