// Sends a request to one server and relays the answer to the caller.
#ifndef MAGNOLIATIDE_SRC_FORWARD_SENDER_H
#define MAGNOLIATIDE_SRC_FORWARD_SENDER_H

#include "request.h"

#include "magnoliatide/forward/forwarder.h"

namespace magnoliatide::forward {

/// How a send ended, as far as it decides on a retry.
enum class SendOutcome
{
  kAnswered, ///< The answer was or can be sent to the caller.
  kNotRun,   ///< The request did not run; a retry is safe.
  kLost,     ///< It may have run; the answer is incomplete.
  kFailed,   ///< It ran, and the server returned an error status.
};

/// Result of a send, for the retry decision, the scheduler and the log.
struct SendEnd
{
  SendOutcome outcome = SendOutcome::kNotRun;
  policy::SendReport report;
  const char* detail = ""; ///< Cause of a failure, for the log.
  int status = 0;          ///< Of the server's answer, if there was one.
};

/// Runs one send. Reuses an idle connection where that is safe.
class Sender
{
public:
  Sender(const ForwarderParams& aParams,
         RequestPointer aRequest,
         const Decision& aDecision);

  /// Sends the request and relays the answer.
  boost::asio::awaitable<SendEnd> Run();

private:
  boost::asio::awaitable<bool> Connect();
  boost::asio::awaitable<bool> OpenConnection();
  boost::asio::awaitable<SendEnd> Exchange();
  boost::asio::awaitable<http::CallStatus> ReadMatchingHead(AnswerHead& aHead);
  boost::asio::awaitable<SendEnd> HandleNotRun(AnswerHead aHead);
  boost::asio::awaitable<SendEnd> RelayBuffered(AnswerHead aHead);
  boost::asio::awaitable<SendEnd> RelayStream(AnswerHead aHead);
  boost::asio::awaitable<bool> WriteEvents(std::string aEvents,
                                           AnswerHead aHead);
  void RecordEvents();
  void KeepConnection(const AnswerHead& aHead);
  void ReportLeaving(const char* aWhy) const;
  SendEnd EndLost(http::CallStatus aStatus);
  SendEnd End(SendOutcome aOutcome,
              policy::SendResult aResult,
              const char* aDetail = "");

  const ForwarderParams& mParams;
  RequestPointer mRequest;
  routing::Server mServer;
  std::shared_ptr<http::ClientConnection> mConnection;
  bool mProbe;
  bool mReused = false;      ///< The connection comes from the pool.
  TimePoint mSentAt{};       ///< When the send began; zero before.
  TimePoint mFirstEventAt{}; ///< When the first event arrived; zero before.
  TimePoint mLastEventAt{};  ///< When the latest event arrived.
  Duration mLongestGap{};    ///< Between two events.
  std::uint64_t mEventsBefore = 0; ///< Events of earlier sends.
  int mStatus = 0;
};

} // namespace magnoliatide::forward

#endif
