// State of a caller's request while it is served.
#ifndef MAGNOLIATIDE_SRC_FORWARD_REQUEST_H
#define MAGNOLIATIDE_SRC_FORWARD_REQUEST_H

#include "event_writer.h"

#include "magnoliatide/forward/dispatcher.h"
#include "magnoliatide/forward/event_stream.h"
#include "magnoliatide/http/client.h"
#include "magnoliatide/http/server.h"
#include "magnoliatide/routing/table.h"

#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::forward {

/// One request in progress. Used on one event loop only.
struct Request
{
  using Mailbox =
    boost::asio::experimental::channel<void(boost::system::error_code,
                                            Decision)>;

  Request(const boost::asio::any_io_executor& aExecutor,
          http::Exchange& aExchange)
    : executor(aExecutor)
    , exchange(aExchange)
    , mailbox(aExecutor, 2)
    , timer(aExecutor)
  {
  }

  boost::asio::any_io_executor executor;
  http::Exchange& exchange;
  Mailbox mailbox;
  boost::asio::steady_timer timer;

  Call call;
  std::function<policy::JobId()> newJobId; ///< Makes ids of further sends.
  routing::TablePointer table;
  const routing::Route* route = nullptr; ///< Points into the table.
  const routing::Team* team = nullptr;   ///< Points into the table, or null.
  policy::Job job;

  bool waiting = false;            ///< Submitted, no decision yet.
  bool callerDisconnected = false; ///< The caller has disconnected.
  bool expired = false;            ///< The deadline has passed.
  bool ended = false;      ///< The final answer is being or was written.
  bool mayHaveRun = false; ///< After a send that was lost or failed.
  int runs = 0;       ///< Number of servers that run it or may have run it.
  int rejections = 0; ///< By servers that were full.
  /// Ids of servers that were silent while another one took the stream over.
  std::vector<std::string> leftServers;
  std::optional<http::Response> answer; ///< Complete, to be sent.
  http::BodyMemory answerMemory;        ///< Of the answer's body.
  /// A server's error response, relayed if no other server can be tried.
  std::optional<http::Response> serverError;
  http::BodyMemory errorMemory; ///< Of the error response's body.
  /// Connections that have carried the request. It is not sent again on one of
  /// them, so that its id identifies the answer to a send.
  std::vector<std::weak_ptr<http::ClientConnection>> usedConnections;
  /// Set while a send is in progress.
  std::shared_ptr<http::ClientConnection> connection;
  /// Writes a streamed answer; null until the first event arrives.
  std::shared_ptr<EventWriter> writer;
  EventStream events; ///< Over all sends of a streamed answer.

  /// Returns whether the request may be retried although it may have run.
  ///
  /// @param aFurtherRuns Runs to assume in addition to those so far.
  bool MayRetry(int aFurtherRuns = 0) const
  {
    return route->IsRetryable() && !expired &&
           runs + aFurtherRuns < route->attempts;
  }

  Duration TimeLeft(TimePoint aNow) const { return job.deadline - aNow; }

  bool WasSentOn(
    const std::shared_ptr<http::ClientConnection>& aConnection) const
  {
    return std::any_of(
      usedConnections.begin(), usedConnections.end(), [&](const auto& aUsed) {
        return aUsed.lock() == aConnection;
      });
  }
};

using RequestPointer = std::shared_ptr<Request>;

/// Authenticates the caller, selects the route and fills in the job. Returns
/// the refusal if the request cannot be served.
std::optional<Refusal>
Classify(Request& aRequest, TimePoint aNow);

} // namespace magnoliatide::forward

#endif
