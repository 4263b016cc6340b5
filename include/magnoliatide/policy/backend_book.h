// What one VM knows of the backend servers: their standing, measured speed,
// slots, and which of them should run a request.
#ifndef MAGNOLIATIDE_POLICY_BACKEND_BOOK_H
#define MAGNOLIATIDE_POLICY_BACKEND_BOOK_H

#include "magnoliatide/document/document.h"
#include "magnoliatide/policy/work.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace magnoliatide::policy {

/// How the book chooses among backend servers with room.
enum class ChoiceRule
{
  kPredicted,        ///< Earliest predicted end; the product's rule.
  kRoundRobin,       ///< Baseline.
  kLeastOutstanding, ///< Baseline.
  kTwoChoices,       ///< Baseline: less loaded of two drawn at random.
};

/// How a request ended at its backend server.
enum class RunResult
{
  kWhole,     ///< Answered whole.
  kFailed,    ///< Answered with an error of its own.
  kCut,       ///< The connection ended or went silent.
  kCancelled, ///< We ended it.
  kNotSent,   ///< No byte was sent: the connection could not be made.
};

/// What was measured of one run.
struct RunReport
{
  RunResult result = RunResult::kWhole;
  double promptTokens = 0;
  double outputTokens = 0;
  Duration toFirstToken{}; ///< Zero where there was no token.
  Duration toEnd{};
};

/// Load of one backend server, as this VM reports it.
struct BackendLoad
{
  std::string name;
  int inFlight = 0;
  int finished = 0; ///< Runs since the last report.
  int late = 0;     ///< Of these, runs that missed a target.
};

/// Standing of one backend server, for reports to operators.
struct BackendView
{
  std::string name;
  std::string service;
  std::string zone;
  std::string standing;
  int inFlight = 0;
  double cap = 0;
  double tokenMillis = 0;
  double prefillTokensPerSecond = 0;
};

struct BookOptions
{
  ChoiceRule rule = ChoiceRule::kPredicted;
  std::string zone;        ///< Zone of this VM.
  bool learnLimits = true; ///< Whether caps follow the measured latency.
  std::uint64_t seed = 1;
  Duration probeInterval = Seconds(2); ///< Between tries of a straggler.
};

/// The server chosen for a request, or why there is none.
struct Choice
{
  std::string backend; ///< Empty: none.
  /// Whether a server had room, so that only the deadline stood against it.
  bool hadRoom = false;
};

class BackendBook
{
public:
  explicit BackendBook(BookOptions aOptions);

  /// Takes over the backend servers of a document; measured speeds of those
  /// that stay are kept.
  void Apply(const document::Document& aDocument);

  /// Sets the number of VMs that share the backend servers.
  void SetSharers(int aVms);

  /// Replaces the set of leaving backend servers.
  void SetLeaving(std::set<std::string> aNames);

  /// Sets the slots that the owner granted this VM.
  ///
  /// @param aUntil When the grant ends; the static share holds from then on.
  void SetGrant(const std::string& aName, int aSlots, TimePoint aUntil);

  /// Returns whether any backend server could ever run a request.
  bool AnyFits(const Work& aWork) const;

  /// Returns whether every server of the service could run a request, so
  /// that no other request fits where it does not.
  bool FitsAll(const Work& aWork);

  /// Chooses a backend server with room that can meet the deadline.
  ///
  /// @param aAlone Whether the request must share the server with no other
  ///     request of this VM.
  /// @param aOnly The only server to look at; empty for all.
  Choice Choose(const Work& aWork,
                bool aAlone,
                TimePoint aNow,
                const std::string& aOnly = "");

  /// Notes that a request was given to a backend server.
  void Started(const std::string& aName,
               const Work& aWork,
               bool aAlone,
               TimePoint aNow);

  /// Notes that a request's first token came.
  void FirstToken(const std::string& aName, const Work& aWork);

  /// Notes that a request ended.
  void Finished(const std::string& aName,
                const Work& aWork,
                const RunReport& aReport,
                TimePoint aNow);

  /// Returns and resets the load since the last call, in the order of the
  /// names.
  std::vector<BackendLoad> TakeLoads(const std::vector<std::string>& aNames);

  /// Returns the shortest time a request could take from start to end; zero
  /// where no speed was measured yet.
  Duration ShortestRun(const Work& aWork, TimePoint aNow);

  std::vector<BackendView> View(TimePoint aNow) const;

private:
  struct Speed
  {
    double prefillRate = 4000; ///< Prompt tokens a second.
    double tokenTime = 0.02;   ///< Seconds between tokens.
    double bestTokenTime = 0;  ///< Slow-moving low mark; 0 before a sample.
    int samples = 0;
  };

  struct Pool;

  struct State
  {
    document::BackendServer config;
    const document::Service* service = nullptr;
    Pool* pool = nullptr;
    Speed speed;
    bool leaving = false;
    int granted = -1;
    TimePoint grantedUntil{};
    double cap = 1; ///< Learned by this VM; at least 1.
    TimePoint lastDecrease{};
    int inFlight = 0;
    double prefillAhead = 0; ///< Prompt tokens sent and not yet answered.
    bool exclusive = false;  ///< Runs one suspected request alone.
    int failures = 0;        ///< Consecutive.
    TimePoint downUntil{};
    TimePoint lastProbe{};
    int finished = 0;
    int late = 0;
    std::deque<std::uint64_t> prefixOrder;
    std::unordered_set<std::uint64_t> prefixes;
  };

  using Fitting = std::vector<State*>;

  /// The backend servers of one service.
  struct Pool
  {
    Fitting states;
    double medianTokenTime = 0; ///< 0 before a sample.
    double bestTokenTime = 0;   ///< 0 before a sample.
    TimePoint judged{};         ///< When the best were looked up.
    /// Answers of FitsAll() by model and adapter, until servers change.
    std::map<std::string, bool> fitsAll;
  };

  bool Fits(const State& aState, const Work& aWork) const;
  int CapNow(const State& aState, TimePoint aNow) const;
  bool Consider(State& aState,
                const Work& aWork,
                bool aAlone,
                TimePoint aNow,
                Fitting& aCandidates) const;
  bool HasRoom(const State& aState, bool aAlone, TimePoint aNow) const;
  bool IsStraggler(const State& aState) const;
  bool MeetsDeadline(const State& aState,
                     const Work& aWork,
                     TimePoint aNow) const;
  static void Judge(Pool& aPool, TimePoint aNow);
  double HitTokens(const State& aState, const Work& aWork) const;
  double Predict(const State& aState, const Work& aWork) const;
  State* Pick(const Fitting& aStates, const Work& aWork);
  void Learn(State& aState, const RunReport& aReport);
  void AdjustCap(State& aState, const RunReport& aReport, TimePoint aNow);
  void NoteFailure(State& aState, TimePoint aNow);
  void RememberPrefix(State& aState, const Work& aWork);
  static double MedianTokenTime(const Pool& aPool);

  BookOptions mOptions;
  std::mt19937_64 mRandom;
  std::shared_ptr<const document::Document> mDocument;
  std::map<std::string, State> mStates;
  /// Service to its servers; rebuilt with the document.
  std::unordered_map<std::string, Pool> mPools;
  std::set<std::string> mLeaving;
  int mSharers = 1;
  std::uint64_t mTurn = 0;
};

} // namespace magnoliatide::policy

#endif
