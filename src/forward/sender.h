// Sends a request to one server and relays the answer to the caller.
#ifndef MAGNOLIATIDE_SRC_FORWARD_SENDER_H
#define MAGNOLIATIDE_SRC_FORWARD_SENDER_H

#include "request.h"
#include "takeover.h"

#include "magnoliatide/forward/forwarder.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

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
  /// Continues the stream after this send, or null.
  std::shared_ptr<Sender> successor;
};

/// Runs one send. Reuses an idle connection where that is safe. While the
/// server of a resumable stream is silent, looks for another one.
class Sender : public std::enable_shared_from_this<Sender>
{
public:
  /// @param aJobId The id under which the send was scheduled.
  Sender(const ForwarderParams& aParams,
         RequestPointer aRequest,
         const Decision& aDecision,
         policy::JobId aJobId);

  /// Sends the request and relays the answer.
  boost::asio::awaitable<SendEnd> Run();

  /// Sends the request without relaying the answer. Returns how the send ended
  /// if it failed.
  boost::asio::awaitable<std::optional<SendEnd>> Start();

  /// Reads the head of the answer, after Start().
  boost::asio::awaitable<void> AwaitHead();

  /// Returns whether the head announces a successful answer.
  bool HeadAccepts() const;

  /// Ends the send without using the answer, after AwaitHead().
  boost::asio::awaitable<SendEnd> Reject();

  /// Relays the answer, after Start(). AwaitHead() must have been called and
  /// may still be running.
  boost::asio::awaitable<SendEnd> Resume();

  /// Aborts the send.
  void Close();

  const routing::Server& Server() const { return mServer; }
  policy::JobId JobId() const { return mJobId; }

private:
  boost::asio::awaitable<bool> Connect();
  boost::asio::awaitable<bool> OpenConnection();
  boost::asio::awaitable<bool> SendRequest();
  boost::asio::awaitable<SendEnd> RelayWatched();
  boost::asio::awaitable<SendEnd> Relay();
  boost::asio::awaitable<http::CallStatus> ReadMatchingHead(AnswerHead& aHead);
  void ReturnUnused();
  void RecordServerState(const AnswerHead& aHead);
  bool IsOwnAnswer(const AnswerHead& aHead) const;
  boost::asio::awaitable<SendEnd> HandleNotRun(AnswerHead aHead);
  boost::asio::awaitable<SendEnd> RelayBuffered(AnswerHead aHead);
  boost::asio::awaitable<SendEnd> RelayStream(AnswerHead aHead);
  boost::asio::awaitable<bool> WriteEvents(std::string aEvents,
                                           AnswerHead aHead);
  bool TakenOver() const { return mTakeover && mTakeover->Accepted(); }
  void WatchForSilence(Duration aTime);
  void CheckForSilence();
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
  policy::JobId mJobId;
  std::shared_ptr<http::ClientConnection> mConnection;
  bool mProbe;
  bool mReused = false; ///< The connection comes from the pool.
  /// The connection has carried an answer that states "not run".
  bool mCarriedRefusal = false;
  bool mForeignAnswer = false; ///< An answer to another request arrived.
  bool mClosed = false;        ///< Close() was called.
  /// Whether the answer is relayed. Before that, the request's connection is
  /// the one of another sender.
  bool mRelaying = false;
  bool mReading = false; ///< Waits for bytes of the server.
  std::optional<http::CallStatus> mHeadStatus; ///< Set once the head was read.
  AnswerHead mHead;
  boost::asio::steady_timer mHeadRead; ///< Cancelled once the head was read.
  boost::asio::steady_timer mSilenceTimer;
  TimePoint mSilentSince{};            ///< Last event or, before it, the send.
  bool mSilent = false;                ///< The current silence was reported.
  std::shared_ptr<Takeover> mTakeover; ///< Null until the first silence.
  TimePoint mSentAt{};                 ///< When the send began; zero before.
  TimePoint mFirstEventAt{}; ///< When the first event arrived; zero before.
  TimePoint mLastEventAt{};  ///< When the latest event arrived.
  Duration mLongestGap{};    ///< Between two events.
  std::uint64_t mEventsBefore = 0; ///< Events of earlier sends.
  int mStatus = 0;
};

} // namespace magnoliatide::forward

#endif
