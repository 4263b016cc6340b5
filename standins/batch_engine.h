// A stand-in of a backend server on the operators' platform: runs a few
// requests at once, admits as they arrive, signs its answers, resumes streams,
// and fails in the ways that such servers do. Keeps a record of every run.
#ifndef MAGNOLIATIDE_STANDINS_BATCH_ENGINE_H
#define MAGNOLIATIDE_STANDINS_BATCH_ENGINE_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/document/document.h"

#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::standins {

struct BatchEngineOptions
{
  document::Endpoint address;
  document::Endpoint advertised; ///< Where it is reached; port 0: the same.
  std::string id = "i-1";
  std::string service = "language";
  std::string zone = "kariakoo";
  int slots = 4;
  int queue = 4;      ///< Requests beyond the slots before it is full.
  bool stream = true; ///< Answers with events, else with one body.
  int events = 10;    ///< Of a stream.
  Duration toFirst = Milliseconds(20);
  Duration perEvent = Milliseconds(5);
};

/// How the engine treats the requests that it gets.
enum class EngineFault
{
  kNone,
  kFailed,   ///< Runs them and answers 500.
  kLost,     ///< Runs them and closes the connection without an answer.
  kCut,      ///< Closes the connection in the middle of the answer.
  kUnsigned, ///< Answers without its signature.
  kGarbage,  ///< Sends bytes that are no answer.
  kExtra,    ///< Sends another answer behind the right one.
  kUnframed, ///< Answers without a length; the end of the connection ends it.
  kFull,     ///< Runs nothing: 503, not executed.
  kSilent,   ///< Takes them and never answers.
  kEarly,    ///< Answers before it has read the body.
};

/// One request that the engine began to run.
struct EngineRun
{
  std::string requestId;
  std::string method;
  std::string target;
  std::string body;
  std::string team;
  std::string credential; ///< Empty: it was not shown any.
  std::string lastEventId;
  double deadlineMillis = 0;
  TimePoint began;
  TimePoint ended{};    ///< Zero: it runs.
  bool dropped = false; ///< Its connection ended before its answer did.
};

class BatchEngine
{
public:
  virtual ~BatchEngine() = default;

  /// Sets a fault for the next requests.
  ///
  /// @param aCount How many of them have it; negative: all.
  virtual void SetFault(EngineFault aFault, int aCount = -1) = 0;

  /// Resets all connections and takes no new ones.
  virtual void Crash() = 0;

  /// Takes connections again, as another life under an id.
  virtual void Restart(const std::string& aId) = 0;

  /// Returns all runs so far.
  virtual std::vector<EngineRun> Runs() const = 0;

  /// Returns how many requests came, run or not.
  virtual int Arrivals() const = 0;

  /// Returns the entry that the engine writes to the store.
  virtual std::string Entry(bool aLeaving) const = 0;

  virtual const BatchEngineOptions& Options() const = 0;
};

std::unique_ptr<BatchEngine>
StartBatchEngine(const BatchEngineOptions& aOptions);

/// Returns the events that a run of a target makes, from the first to the last
/// one after an id.
std::string
EventsOf(const std::string& aTarget, int aAfter, int aLast);

} // namespace magnoliatide::standins

#endif
