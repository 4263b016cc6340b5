// Lets another server continue a stream whose server has fallen silent.
#ifndef MAGNOLIATIDE_SRC_FORWARD_TAKEOVER_H
#define MAGNOLIATIDE_SRC_FORWARD_TAKEOVER_H

#include "request.h"

#include "magnoliatide/forward/forwarder.h"

#include <boost/asio.hpp>

#include <functional>
#include <memory>

namespace magnoliatide::forward {

class Sender;
struct SendEnd;

/// Looks for a server that can continue a stream. The silent server may be
/// sound and continue at any moment, so the request is sent only if it stays
/// silent for a moment after the other server's sign of life, and its run is
/// ended only once the other server has accepted the request: it has sent the
/// head of its answer or has not rejected the request for a while. Used on one
/// event loop only.
class Takeover : public std::enable_shared_from_this<Takeover>
{
public:
  /// @param aOnAccepted Called once, when another server has accepted the
  ///     request. The silent server must then be released.
  Takeover(const ForwarderParams& aParams,
           RequestPointer aRequest,
           std::function<void()> aOnAccepted);

  /// Looks for a server other than aSilentServer, unless a search is in
  /// progress.
  void Begin(const std::string& aSilentServer);

  /// Stops looking for a server, because the silent one has sent an event or
  /// the request has ended. Does nothing once another server has accepted the
  /// request.
  void Abandon();

  bool Accepted() const { return mState == State::kAccepted; }

  /// Returns the sender to the server that continues the stream, or null. Waits
  /// for the answer of a server that the request was sent to; a search that has
  /// not got that far is abandoned.
  boost::asio::awaitable<std::shared_ptr<Sender>> Take();

private:
  enum class State
  {
    kIdle,
    kWaiting, ///< For the scheduler's decision.
    kSending, ///< To the server that the scheduler has chosen.
    kFailing, ///< The send was rejected, failed or abandoned.
    kAccepted,
  };

  void LogNoTakeover(const std::string& aReason,
                     const std::string& aDetail,
                     const std::string& aDecidedBy) const;
  void HandleDecision(Decision aDecision);
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<SendEnd> Send();
  boost::asio::awaitable<bool> IsAlive();
  boost::asio::awaitable<void> AwaitSettled(Duration aTime);
  void AcceptAfter(Duration aTime, bool aLast);
  void Accept();

  const ForwarderParams& mParams;
  RequestPointer mRequest;
  std::function<void()> mOnAccepted;
  State mState = State::kIdle;
  policy::JobId mJobId = 0;        ///< Of the latest search.
  Decision mDecision;              ///< Of the latest search that was granted.
  std::shared_ptr<Sender> mSender; ///< Set while sending and once accepted.
  /// Server that the next search leaves out, or empty.
  std::string mAvoidedServer;
  bool mServerLost = false; ///< The silent server's answer has ended.
  boost::asio::steady_timer mSettleTimer;
  boost::asio::steady_timer mOverlapTimer;
  boost::asio::steady_timer mChanged; ///< Cancelled when a send is decided.
};

} // namespace magnoliatide::forward

#endif
