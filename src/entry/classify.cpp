// Classification: the team from the bearer token, the kind of work from X-Kind,
// the size from the body.
#include "magnoliatide/entry/classify.h"

#include "magnoliatide/core/digest.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace magnoliatide::entry {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxJsonDepth = 32;

/// Used to estimate the number of tokens in a prompt.
constexpr double kBytesPerToken = 4;

/// Output tokens of a request without max_tokens.
constexpr double kDefaultOutputTokens = 256;

constexpr std::int64_t kMaxOutputTokens = 131072;
constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kMaxPrefixBlocks = 32;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
constexpr std::size_t kMaxAuthorizationBytes = 512;
constexpr std::string_view kServicesPath = "/services/";

Refusal
ClientError(int aStatus,
            std::string aKind,
            std::string aMessage,
            std::string aRemedy)
{
  Refusal refusal;
  refusal.status = aStatus;
  refusal.kind = std::move(aKind);
  refusal.message = std::move(aMessage);
  refusal.remedy = std::move(aRemedy);
  return refusal;
}

leaf::result<const document::Team*>
Authenticate(const document::Document& aDocument, const http::Request& aRequest)
{
  const auto header = http::Find(aRequest.headers, "Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (header.starts_with(kScheme) && header.size() < kMaxAuthorizationBytes) {
    // Looking up the digest keeps the lookup time independent of the token.
    const auto digest = Sha256Hex(header.substr(kScheme.size()));
    const auto found = aDocument.teamByToken.find(digest);
    if (found != aDocument.teamByToken.end()) {
      return &aDocument.teams[found->second];
    }
  }
  return leaf::new_error(
    ClientError(401,
                "unauthenticated",
                "no team has this bearer token",
                "send Authorization: Bearer with your team's token"));
}

/// Returns the first kind that the team may send to the service or, if aService
/// is null, to any model service. X-Kind, if set, must name the kind.
leaf::result<const document::Kind*>
ChooseKind(const document::Document& aDocument,
           const document::Team& aTeam,
           const http::Request& aRequest,
           const document::Service* aService)
{
  const auto wantedKind = http::Find(aRequest.headers, "X-Kind");
  for (const auto& kind : aDocument.kinds) {
    const auto* service = aDocument.FindService(kind.service);
    const bool serves = aService != nullptr
                          ? service == aService
                          : service->type == document::ServiceType::kModel;
    const bool nameMatches = wantedKind.empty() || wantedKind == kind.name;
    if (serves && nameMatches && kind.Admits(aTeam.name)) {
      return &kind;
    }
  }
  return leaf::new_error(ClientError(
    403,
    "kind-not-admitted",
    "no kind of work that the team may send fits the request",
    "name one of your team's kinds in X-Kind, or ask the operators"));
}

leaf::result<Duration>
ReadDeadline(const http::Request& aRequest, const document::Kind& aKind)
{
  const auto text = http::Find(aRequest.headers, "X-Deadline-Ms");
  if (text.empty()) {
    return aKind.deadline;
  }
  std::int64_t millis = 0;
  const auto [stop, error] =
    std::from_chars(text.data(), text.data() + text.size(), millis);
  constexpr std::int64_t kMaxDeadlineMillis = 600000;
  if (error != std::errc() || stop != text.data() + text.size() ||
      millis <= 0 || millis > kMaxDeadlineMillis) {
    return leaf::new_error(
      ClientError(400,
                  "bad-deadline",
                  "X-Deadline-Ms is not a number from 1 to 600000",
                  "send the milliseconds that the answer may take"));
  }
  return Duration(Milliseconds(millis));
}

leaf::result<json::object>
ParseBody(const std::string& aBody)
{
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code error;
  json::value value = json::parse(aBody, error, {}, options);
  if (error || !value.is_object()) {
    return leaf::new_error(
      ClientError(400,
                  "bad-json",
                  "the body is not a JSON object of at most 32 levels",
                  "send a JSON object"));
  }
  return std::move(value.as_object());
}

void
AppendText(const json::value& aContent, std::string& aText)
{
  if (aContent.is_string()) {
    aText += std::string_view(aContent.get_string());
  } else if (aContent.is_array()) {
    for (const auto& part : aContent.get_array()) {
      const auto* object = part.if_object();
      const auto* text = object ? object->if_contains("text") : nullptr;
      if (text != nullptr) {
        AppendText(*text, aText);
      }
    }
  }
}

std::optional<std::string>
ChatPrompt(const json::object& aBody)
{
  const auto* value = aBody.if_contains("messages");
  const auto* messages = value ? value->if_array() : nullptr;
  if (messages == nullptr || messages->empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& message : *messages) {
    const auto* object = message.if_object();
    const auto* content = object ? object->if_contains("content") : nullptr;
    if (content != nullptr) {
      AppendText(*content, text);
      text += '\n';
    }
  }
  return text;
}

std::optional<std::string>
TextPrompt(const json::object& aBody)
{
  const auto* prompt = aBody.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return std::nullopt;
  }
  return std::string(prompt->get_string());
}

std::string
StringOf(const json::object& aBody, const char* aName)
{
  const auto* value = aBody.if_contains(aName);
  const auto* text = value ? value->if_string() : nullptr;
  return text ? std::string(*text) : std::string();
}

leaf::result<double>
OutputTokens(const json::object& aBody)
{
  const auto* value = aBody.if_contains("max_tokens");
  if (value == nullptr) {
    return kDefaultOutputTokens;
  }
  const auto* number = value->if_int64();
  if (number == nullptr || *number < 1 || *number > kMaxOutputTokens) {
    return leaf::new_error(
      ClientError(400,
                  "bad-max-tokens",
                  "max_tokens is not a whole number from 1 to 131072",
                  "send a whole number in that range"));
  }
  return static_cast<double>(*number);
}

/// Returns a hash of the prompt's beginning up to the end of each whole block.
/// Prompts with equal beginnings have equal hashes for them.
std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t running = 0;
  const auto blocks =
    std::min(aPrompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  for (std::size_t i = 0; i < blocks; ++i) {
    const std::string_view block(aPrompt.data() + i * kPrefixBlockBytes,
                                 kPrefixBlockBytes);
    running = Hash64(block, running + 1);
    hashes.push_back(running);
  }
  return hashes;
}

leaf::result<void>
ClassifyModel(const http::Request& aRequest,
              const document::Kind& aKind,
              Classified& aOut)
{
  BOOST_LEAF_AUTO(body, ParseBody(aRequest.body));
  const bool chat = http::PathOf(aRequest) == "/v1/chat/completions";
  const auto prompt = chat ? ChatPrompt(body) : TextPrompt(body);
  if (!prompt) {
    return leaf::new_error(ClientError(
      400,
      "bad-prompt",
      chat ? "the body has no messages" : "the body has no prompt",
      chat ? "send a non-empty array messages" : "send a string prompt"));
  }
  BOOST_LEAF_AUTO(tokens, OutputTokens(body));
  auto& schedulerRequest = aOut.schedulerRequest;
  schedulerRequest.size.promptTokens =
    std::max(1.0, static_cast<double>(prompt->size()) / kBytesPerToken);
  schedulerRequest.size.outputTokens = tokens;
  schedulerRequest.model = StringOf(body, "model");
  schedulerRequest.adapter = StringOf(body, "adapter");
  if (schedulerRequest.model.empty()) {
    schedulerRequest.model = aKind.model;
    body["model"] = aKind.model;
  }
  schedulerRequest.prefix = PrefixHashes(*prompt);
  schedulerRequest.fingerprint =
    Hash64(*prompt, Hash64(schedulerRequest.service + schedulerRequest.model));
  const auto* stream = body.if_contains("stream");
  aOut.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
  aOut.outgoing.body = json::serialize(body);
  aOut.outgoing.target = std::string(http::PathOf(aRequest));
  return {};
}

leaf::result<void>
ClassifyPlain(const http::Request& aRequest,
              const document::Service& aService,
              const document::Team& aTeam,
              std::string aTarget,
              Classified& aOut)
{
  aOut.model = false;
  aOut.outgoing.target = std::move(aTarget);
  aOut.outgoing.body = aRequest.body;
  const auto& target = aOut.outgoing.target;
  aOut.schedulerRequest.fingerprint =
    Hash64(aRequest.method + " " + target + "\n" + aRequest.body);
  if (aService.IsIdempotent(aRequest.method, target)) {
    return {};
  }
  const auto key = http::Find(aRequest.headers, "Idempotency-Key");
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    return leaf::new_error(
      ClientError(400,
                  "key-required",
                  "the call may run only once and has no usable key",
                  "send an Idempotency-Key of 1 to 128 characters, the same "
                  "one each time you send this call again"));
  }
  aOut.guarded = true;
  aOut.key = aTeam.name + "/" + std::string(key);
  aOut.outgoing.headers.push_back({ "Idempotency-Key", std::string(key) });
  return {};
}

/// Target of a call to a plain service: /services/SERVICE/PATH.
struct PlainTarget
{
  std::string service;
  std::string path;
};

std::optional<PlainTarget>
SplitPlainTarget(const http::Request& aRequest)
{
  if (!aRequest.target.starts_with(kServicesPath)) {
    return std::nullopt;
  }
  const auto rest = aRequest.target.substr(kServicesPath.size());
  const auto slash = rest.find_first_of("/?");
  PlainTarget target{ rest.substr(0, slash), "/" };
  if (slash != std::string::npos) {
    target.path =
      rest[slash] == '/' ? rest.substr(slash) : "/" + rest.substr(slash);
  }
  return target;
}

/// Copies the headers that are passed on to backend servers. All others are
/// dropped, including those that the gateway itself sets.
void
CopyHeaders(const http::Request& aFrom, http::Request& aTo)
{
  for (const char* name : { "Content-Type", "Accept", "Accept-Language" }) {
    const auto value = http::Find(aFrom.headers, name);
    if (!value.empty()) {
      aTo.headers.push_back({ name, std::string(value) });
    }
  }
}

void
FillSchedulerRequest(const document::Team& aTeam,
                     const document::Kind& aKind,
                     Duration aDeadline,
                     TimePoint aNow,
                     policy::SchedulerRequest& aSchedulerRequest)
{
  aSchedulerRequest.service = aKind.service;
  aSchedulerRequest.kind = aKind.name;
  aSchedulerRequest.team = aTeam.name;
  aSchedulerRequest.tier = aKind.tier;
  aSchedulerRequest.kindShare = aKind.share;
  aSchedulerRequest.teamWeight = aTeam.weight;
  aSchedulerRequest.arrival = aNow;
  aSchedulerRequest.deadline = aNow + aDeadline;
}

Refusal
UnknownPath()
{
  return ClientError(404,
                     "unknown-path",
                     "nothing is served at this path",
                     "use /v1/chat/completions, /v1/completions or "
                     "/services/NAME/...");
}

} // namespace

leaf::result<Classified>
Classify(const document::Document& aDocument,
         const http::Request& aRequest,
         TimePoint aNow)
{
  const auto path = http::PathOf(aRequest);
  const bool model =
    path == "/v1/chat/completions" || path == "/v1/completions";
  const auto plain = SplitPlainTarget(aRequest);
  if (!model && !plain) {
    return leaf::new_error(UnknownPath());
  }
  if (model && aRequest.method != "POST") {
    return leaf::new_error(
      ClientError(405, "bad-method", "the path takes POST only", "use POST"));
  }
  BOOST_LEAF_AUTO(team, Authenticate(aDocument, aRequest));
  const document::Service* service = nullptr;
  if (plain) {
    service = aDocument.FindService(plain->service);
    if (service == nullptr || service->type != document::ServiceType::kPlain) {
      return leaf::new_error(
        ClientError(404,
                    "unknown-service",
                    "no plain service has this name",
                    "correct the service name after /services/"));
    }
  }
  BOOST_LEAF_AUTO(kind, ChooseKind(aDocument, *team, aRequest, service));
  BOOST_LEAF_AUTO(deadline, ReadDeadline(aRequest, *kind));
  Classified classified;
  FillSchedulerRequest(
    *team, *kind, deadline, aNow, classified.schedulerRequest);
  classified.outgoing.method = aRequest.method;
  CopyHeaders(aRequest, classified.outgoing);
  if (model) {
    BOOST_LEAF_CHECK(ClassifyModel(aRequest, *kind, classified));
  } else {
    BOOST_LEAF_CHECK(
      ClassifyPlain(aRequest, *service, *team, plain->path, classified));
  }
  return classified;
}

} // namespace magnoliatide::entry
