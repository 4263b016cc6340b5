// Test double of a model engine.
#include "standin.h"

#include "magnoliatide/core/digest.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <cstdlib>
#include <deque>
#include <map>
#include <unordered_set>

namespace magnoliatide::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr double kBytesPerToken = 4;
constexpr std::size_t kBlockBytes = 256;
constexpr double kTokensPerBlock = 64;
constexpr Duration kDripPause = Milliseconds(100);

/// Time after which a silent handler returns, longer than any test.
constexpr Duration kSilenceTime = std::chrono::minutes(10);

/// Faults that /control/faults sets.
struct Faults
{
  double slow = 1;        ///< Slowdown factor of all delays.
  bool silent = false;    ///< Never answers.
  int silentAnswers = 0;  ///< Next answers that stall halfway and stay open.
  int cutAnswers = 0;     ///< Next answers whose connection is closed halfway.
  int drippedAnswers = 0; ///< Next answers that go on without content.
  int crossedAnswers = 0; ///< Next answers with the id of another request.
  bool leaving = false;   ///< Answers have "X-Backend-State: leaving".
  bool unhealthy = false; ///< GET /health answers 503.
  bool oddOrders = false; ///< Reports an order whose generation is -1.
  std::string crashOn;    ///< Prompts that contain this text end the process.
  std::string restartOn;  ///< Prompts that contain this text get no answer, and
                          ///< the process is another incarnation from then on.
};

struct Prompt
{
  std::string text;
  double tokens = 1;
  int output = 16;
  bool stream = false;
};

std::string
PromptText(const json::object& aBody)
{
  if (const auto* prompt = aBody.if_contains("prompt")) {
    return prompt->is_string() ? std::string(prompt->get_string()) : "";
  }
  std::string text;
  const auto* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return text;
  }
  for (const auto& message : messages->get_array()) {
    const auto* object = message.if_object();
    const auto* content = object ? object->if_contains("content") : nullptr;
    if (content != nullptr && content->is_string()) {
      text += std::string(content->get_string()) + "\n";
    }
  }
  return text;
}

Prompt
ParsePrompt(const std::string& aBody)
{
  Prompt prompt;
  boost::system::error_code error;
  const auto value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return prompt;
  }
  const auto& body = value.get_object();
  prompt.text = PromptText(body);
  prompt.tokens =
    std::max(1.0, static_cast<double>(prompt.text.size()) / kBytesPerToken);
  if (const auto* maxTokens = body.if_contains("max_tokens")) {
    prompt.output = static_cast<int>(maxTokens->to_number<std::int64_t>());
  }
  if (const auto* stream = body.if_contains("stream")) {
    prompt.stream = stream->is_bool() && stream->get_bool();
  }
  return prompt;
}

class Engine : public Service
{
public:
  explicit Engine(const EngineOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  asio::awaitable<void> Handle(http::Exchange& aExchange) override
  {
    const auto path = std::string(http::PathOf(aExchange.Incoming()));
    if (path == "/control/faults") {
      SetFaults(aExchange.Incoming());
      co_await aExchange.Respond(http::TextResponse(200, "set\n"));
    } else if (path == "/control/runs") {
      co_await aExchange.Respond(http::JsonResponse(200, RunsJson()));
    } else if (path == "/control/orders") {
      co_await HandleOrder(aExchange);
    } else if (path == "/health") {
      co_await ServeHealth(aExchange);
    } else {
      co_await Generate(aExchange);
    }
  }

private:
  asio::awaitable<void> ServeHealth(http::Exchange& aExchange)
  {
    if (mFaults.silent) {
      co_await Pause(kSilenceTime);
    }
    auto response =
      http::TextResponse(mFaults.unhealthy ? 503 : 200, "health\n");
    response.headers.push_back({ "X-Backend-Incarnation", mIncarnation });
    co_await aExchange.Respond(std::move(response));
  }

  asio::awaitable<void> Generate(http::Exchange& aExchange)
  {
    const auto request = aExchange.Incoming();
    const std::string id(http::Find(request.headers, "X-Request-Id"));
    const Prompt prompt = ParsePrompt(request.body);
    mRuns[id] += 1;
    if (!mFaults.crashOn.empty() &&
        prompt.text.find(mFaults.crashOn) != std::string::npos) {
      std::_Exit(134); // The exit code that a shell reports for SIGABRT.
    }
    if (!mFaults.restartOn.empty() &&
        prompt.text.find(mFaults.restartOn) != std::string::npos) {
      mIncarnation = ToHex(RandomId());
      aExchange.Abort();
      co_return;
    }
    if (mFaults.silent) {
      co_await Pause(kSilenceTime);
      co_return;
    }
    co_await EnterBatch();
    co_await Prefill(prompt);
    if (!aExchange.CallerDisconnected()) {
      co_await Answer(aExchange, id, prompt);
    }
    mActive -= 1;
  }

  /// Waits for a place in the batch, in order of arrival.
  asio::awaitable<void> EnterBatch()
  {
    const auto ticket = mNextTicket++;
    mWaiting.push_back(ticket);
    while (mActive >= mOptions.batch || mWaiting.front() != ticket) {
      co_await Pause(Milliseconds(1));
    }
    mWaiting.pop_front();
    mActive += 1;
  }

  /// Processes the tokens of a prompt that are not cached. Prompts are
  /// processed one after another.
  asio::awaitable<void> Prefill(const Prompt& aPrompt)
  {
    const double tokens =
      std::max(1.0, aPrompt.tokens - UpdatePrefixCache(aPrompt));
    mPrefilledTokens += tokens;
    const auto now = Clock::now();
    const auto begin = std::max(now, mPrefillFreeAt);
    mPrefillFreeAt =
      begin + FromSeconds(tokens / mOptions.prefillRate * mFaults.slow);
    co_await Pause(mPrefillFreeAt - now);
  }

  /// Adds a prompt's blocks to the prefix cache and returns the number of its
  /// tokens that were cached. Each block's hash covers the blocks before it.
  double UpdatePrefixCache(const Prompt& aPrompt)
  {
    double hits = 0;
    bool matching = true;
    std::uint64_t prefixHash = 0;
    for (std::size_t i = 0; i < aPrompt.text.size() / kBlockBytes; ++i) {
      prefixHash = Hash64(
        std::string_view(aPrompt.text).substr(i * kBlockBytes, kBlockBytes),
        prefixHash + 1);
      const bool isNew = mCachedBlocks.insert(prefixHash).second;
      matching = matching && !isNew;
      hits += matching ? kTokensPerBlock : 0;
      if (isNew) {
        mCacheOrder.push_back(prefixHash);
      }
    }
    while (mCacheOrder.size() > mOptions.prefixCacheBlocks) {
      mCachedBlocks.erase(mCacheOrder.front());
      mCacheOrder.pop_front();
    }
    return hits;
  }

  /// Returns the time per output token at the current size of the batch.
  Duration TokenTime() const
  {
    const double load =
      static_cast<double>(mActive) / std::max(1, mOptions.batch);
    return FromSeconds(ToSeconds(mOptions.tokenTime) *
                       (1 + mOptions.batchSlowdown * load) * mFaults.slow);
  }

  http::Response Head(const std::string& aId, const char* aType)
  {
    http::Response head;
    std::string id = aId;
    if (mFaults.crossedAnswers > 0) {
      mFaults.crossedAnswers -= 1;
      id = "other-" + aId;
    }
    head.headers = { { "Content-Type", aType },
                     { "X-Request-Id", id },
                     { "X-Engine", mOptions.name },
                     { "X-Backend-Incarnation", mIncarnation } };
    if (mFaults.leaving) {
      head.headers.push_back({ "X-Backend-State", "leaving" });
    }
    return head;
  }

  /// Returns a digest of the prompt, by which a caller recognizes the answer to
  /// its own request.
  std::string Marker(const Prompt& aPrompt) const
  {
    return ToHex(Hash64(aPrompt.text));
  }

  asio::awaitable<void> Answer(http::Exchange& aExchange,
                               std::string aId,
                               const Prompt& aPrompt)
  {
    const auto head =
      Head(aId, aPrompt.stream ? "text/event-stream" : "application/json");
    if (aPrompt.stream) {
      co_await AnswerStream(aExchange, head, aPrompt);
    } else {
      co_await AnswerBuffered(aExchange, head, aPrompt);
    }
  }

  asio::awaitable<void> AnswerBuffered(http::Exchange& aExchange,
                                       http::Response aHead,
                                       const Prompt& aPrompt)
  {
    for (int i = 0; i < aPrompt.output; i += mOptions.tokensPerWrite) {
      if (aExchange.CallerDisconnected()) {
        co_return;
      }
      co_await Pause(TokenTime() * mOptions.tokensPerWrite);
      if (mFaults.drippedAnswers == 0 &&
          co_await ApplyMidAnswerFault(aExchange, i, aPrompt)) {
        co_return;
      }
    }
    if (mFaults.drippedAnswers > 0) {
      mFaults.drippedAnswers -= 1;
      if (co_await aExchange.BeginStream(std::move(aHead))) {
        co_await Drip(aExchange, " ");
      }
      co_return;
    }
    aHead.body = R"({"marker":")" + Marker(aPrompt) + R"(","usage":{)" +
                 R"("completion_tokens":)" + std::to_string(aPrompt.output) +
                 R"(},"choices":[{"message":{"content":")" +
                 std::string(static_cast<std::size_t>(aPrompt.output), 'x') +
                 R"("},"finish_reason":"stop"}]})";
    co_await aExchange.Respond(std::move(aHead));
  }

  asio::awaitable<void> AnswerStream(http::Exchange& aExchange,
                                     http::Response aHead,
                                     const Prompt& aPrompt)
  {
    bool open = co_await aExchange.BeginStream(std::move(aHead));
    for (int i = 0; open && i < aPrompt.output; i += mOptions.tokensPerWrite) {
      const int count = std::min(mOptions.tokensPerWrite, aPrompt.output - i);
      std::string chunk;
      for (int k = 0; k < count; ++k) {
        chunk += R"(data: {"marker":")" + Marker(aPrompt) + R"(","index":)" +
                 std::to_string(i + k) + "}\n\n";
      }
      open = co_await aExchange.WriteChunk(std::move(chunk));
      co_await Pause(TokenTime() * count);
      if (co_await ApplyMidAnswerFault(aExchange, i, aPrompt)) {
        co_return;
      }
    }
    if (open) {
      open = co_await aExchange.WriteChunk("data: [DONE]\n\n");
    }
    if (open) {
      co_await aExchange.EndStream();
    }
  }

  /// Writes a text again and again until the caller disconnects.
  static asio::awaitable<void> Drip(http::Exchange& aExchange,
                                    std::string aText)
  {
    bool open = true;
    while (open) {
      co_await Pause(kDripPause);
      open = co_await aExchange.WriteChunk(aText);
    }
  }

  /// Cuts or stalls the answer if such a fault is set and half of the tokens
  /// are generated. Returns whether the answer has ended.
  asio::awaitable<bool> ApplyMidAnswerFault(http::Exchange& aExchange,
                                            int aToken,
                                            const Prompt& aPrompt)
  {
    const bool pastHalf = aToken >= aPrompt.output / 2;
    if (pastHalf && mFaults.cutAnswers > 0) {
      mFaults.cutAnswers -= 1;
      aExchange.Abort();
      co_return true;
    }
    if (pastHalf && mFaults.drippedAnswers > 0) {
      mFaults.drippedAnswers -= 1;
      co_await Drip(aExchange, ": wait\n\n");
      co_return true;
    }
    if (pastHalf && mFaults.silentAnswers > 0) {
      mFaults.silentAnswers -= 1;
      co_await Pause(kSilenceTime);
      co_return true;
    }
    co_return false;
  }

  /// Applies an order to load a model, an adapter or a version, or to change
  /// role. GET returns the last order.
  asio::awaitable<void> HandleOrder(http::Exchange& aExchange)
  {
    const auto& request = aExchange.Incoming();
    if (request.method == "GET") {
      const std::string generation =
        mFaults.oddOrders ? "-1" : std::to_string(mOrderGeneration);
      auto response = http::JsonResponse(
        200,
        R"({"generation":)" + generation + R"(,"order":")" + mOrder +
          R"(","applied":)" + std::to_string(mOrdersApplied) + "}");
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    const auto number =
      static_cast<std::uint64_t>(NumberParameter(request, "fencing", 0));
    if (mOptions.checksFencing && number < mOrderGeneration) {
      co_await aExchange.Respond(
        http::TextResponse(409, "stale fencing number\n"));
      co_return;
    }
    mOrderGeneration = number;
    mOrder = http::QueryParameter(request, "order");
    mOrdersApplied += 1;
    co_await aExchange.Respond(http::TextResponse(200, "taken\n"));
  }

  void SetFaults(const http::Request& aRequest)
  {
    mFaults.slow = NumberParameter(aRequest, "slow", mFaults.slow);
    mFaults.silent = NumberParameter(aRequest, "silent", mFaults.silent) != 0;
    mFaults.leaving =
      NumberParameter(aRequest, "leaving", mFaults.leaving) != 0;
    mFaults.oddOrders =
      NumberParameter(aRequest, "odd-orders", mFaults.oddOrders) != 0;
    mFaults.unhealthy =
      NumberParameter(aRequest, "unhealthy", mFaults.unhealthy) != 0;
    mFaults.silentAnswers = static_cast<int>(
      NumberParameter(aRequest, "silent-answers", mFaults.silentAnswers));
    mFaults.drippedAnswers = static_cast<int>(
      NumberParameter(aRequest, "drip", mFaults.drippedAnswers));
    mFaults.cutAnswers =
      static_cast<int>(NumberParameter(aRequest, "cut", mFaults.cutAnswers));
    mFaults.crossedAnswers = static_cast<int>(
      NumberParameter(aRequest, "cross", mFaults.crossedAnswers));
    const auto crash = http::QueryParameter(aRequest, "crash-on");
    mFaults.crashOn = crash.empty() ? mFaults.crashOn : crash;
    const auto restart = http::QueryParameter(aRequest, "restart-on");
    mFaults.restartOn = restart.empty() ? mFaults.restartOn : restart;
  }

  std::string RunsJson() const
  {
    json::object runs;
    for (const auto& [id, count] : mRuns) {
      runs[id] = count;
    }
    json::object body;
    body["runs"] = std::move(runs);
    body["prefilled"] = mPrefilledTokens;
    return json::serialize(body);
  }

  EngineOptions mOptions;
  std::string mIncarnation = ToHex(RandomId());
  Faults mFaults;
  std::map<std::string, int> mRuns;
  std::deque<std::uint64_t> mWaiting;
  std::uint64_t mNextTicket = 0;
  int mActive = 0; ///< Requests in the batch.
  TimePoint mPrefillFreeAt{};
  double mPrefilledTokens = 0; ///< Of all prompts, without cached tokens.
  std::unordered_set<std::uint64_t> mCachedBlocks;
  std::deque<std::uint64_t> mCacheOrder;
  std::uint64_t mOrderGeneration = 0;
  std::string mOrder;
  int mOrdersApplied = 0;
};

} // namespace

std::unique_ptr<Service>
MakeEngine(const EngineOptions& aOptions)
{
  return std::make_unique<Engine>(aOptions);
}

} // namespace magnoliatide::standins
