// Protocol-independent form of a caller's request and a server's response, and
// the interface that converts both from and to HTTP messages.
#ifndef MAGNOLIATIDE_FORWARD_CALL_H
#define MAGNOLIATIDE_FORWARD_CALL_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/http/message.h"
#include "magnoliatide/routing/roster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::forward {

/// A segment of a prompt that several requests may have in common.
struct PromptSegment
{
  std::uint64_t id = 0; ///< Identifies the content.
  double tokens = 0;
};

/// Generation parameters of a request.
struct Generation
{
  double promptTokens = 0;
  double maxOutputTokens = 0;
  std::optional<double> expectedOutputTokens; ///< The caller's estimate.
  std::vector<PromptSegment> segments;        ///< In prompt order.
};

/// A caller's request after decoding.
struct Call
{
  std::string id; ///< Set by the caller, which uses each id once.
  std::string host;
  std::string credential;                ///< Empty if none was sent.
  std::optional<Duration> callerTimeout; ///< How long the caller waits.
  std::optional<Generation> generation;
  std::string lastEventId; ///< Last event that the caller received.
  /// The only server that may run it, if another VM sent it; not forwarded.
  std::string expectedServer;
  std::string problem;   ///< Why the request is invalid; empty if valid.
  http::Request request; ///< To be forwarded, without hop-by-hop headers.
};

/// What is added to a request for one send to a server.
struct SendOptions
{
  std::string instance;    ///< The only server incarnation that may run it.
  std::string team;        ///< Empty for none.
  Duration timeLeft{};     ///< Until the request's deadline.
  std::string lastEventId; ///< Event after which a stream is to resume.
};

/// Status and headers of a server's response, decoded.
struct AnswerHead
{
  int status = 0;
  std::string requestId; ///< Of the answered request; empty if not stated.
  std::string instance;  ///< Server incarnation that answered, if stated.
  bool signedByServer = false; ///< Bears the server's signature header.
  bool notRun = false;         ///< The server states that it did not run it.
  bool otherInstance = false;  ///< Not run: another server has the address.
  /// The status tells callers that it was not run, which the server does not
  /// state.
  bool unprovenRefusal = false;
  bool closing = false; ///< The server closes the connection.
  /// The body is a stream of events, as far as the server states its type.
  bool eventStream = false;
  /// Names a limit on the requests per second that the server takes from all
  /// VMs together.
  bool namesRateLimit = false;
  std::optional<double> rateLimit; ///< That limit, if it is valid.
  bool serverLeaving = false; ///< The server leaves and wants no new requests.
  /// How long the server wants no further requests of this VM, if it says so.
  std::optional<Duration> backoff;
  bool encoded = false;                ///< The body has a content encoding.
  std::optional<Duration> idleTimeout; ///< Of the server's connection.
  http::Response forCaller;            ///< No hop-by-hop headers, no body.
};

/// Why the VM answers a request itself instead of relaying a server's answer.
enum class RefusalKind
{
  kNoConfiguration, ///< The VM has received none yet.
  kMalformed,       ///< The request is invalid.
  kNoRoute,
  kUnauthenticated,
  kOverQuota,
  kNoServer,   ///< No server can run it now.
  kOverloaded, ///< It could not be served in time.
  kExpired,    ///< Its deadline passed before it was sent.
  kHarmful,    ///< It is suspected of crashing the servers that ran it.
  kStopping,   ///< The VM stops and could not let it run to its end.
  kNotAServer, ///< A VM took this VM for a server, by an odd entry.
  kLost,       ///< It may have run; no complete answer arrived.
  kTimedOut,   ///< It may have run; its deadline passed.
};

/// Returns the stable name of a kind, for logs and counters.
const char*
Name(RefusalKind aKind);

/// Returns whether a kind guarantees that the request did not and will not run.
bool
IsNotRun(RefusalKind aKind);

/// An answer that the VM gives itself, with its reason.
struct Refusal
{
  RefusalKind kind = RefusalKind::kNoServer;
  std::string message;
  std::optional<Duration> retryAfter;
};

/// Converts between HTTP messages and the types above. Stateless.
class Dialect
{
public:
  virtual ~Dialect() = default;

  /// Decodes a caller's request.
  virtual Call DecodeCall(const http::Request& aRequest) const = 0;

  /// Encodes a request for one send to a server.
  virtual http::Request EncodeForServer(const Call& aCall,
                                        const SendOptions& aSend) const = 0;

  /// Returns a request that a server answers at once, without using a slot.
  virtual http::Request EncodeStatusRequest() const = 0;

  /// Decodes the head of a server's answer.
  virtual AnswerHead DecodeHead(const http::Response& aHead) const = 0;

  /// Encodes an answer that the VM gives itself.
  virtual http::Response EncodeRefusal(const std::string& aRequestId,
                                       const Refusal& aRefusal) const = 0;
};

} // namespace magnoliatide::forward

#endif
