// The memory that the bodies of requests and responses may use together in a
// process. Bodies share it so that neither callers nor servers that send
// without end can use up the process's memory. If it is used up, a large body
// that has not grown for long gives way: its read fails. So does a complete
// response whose caller has stopped taking it. Small bodies are not displaced
// by large ones. A complete request stays, since a server may run it, and no
// request displaces a response.
#ifndef MAGNOLIATIDE_HTTP_BODY_MEMORY_H
#define MAGNOLIATIDE_HTTP_BODY_MEMORY_H

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace magnoliatide::http {

/// The result of a request for memory.
enum class MemoryGrant
{
  kGranted,
  kLater,  ///< Other bodies give way or are being delivered; ask again soon.
  kDenied, ///< This body gives way.
};

/// What a body belongs to.
enum class BodyKind
{
  kRequest,
  kResponse,
};

/// The share of one body. Returned when the object is destroyed. Each object is
/// used on one event loop; different ones may be used on different loops.
class BodyMemory
{
public:
  BodyMemory() = default;
  ~BodyMemory();
  BodyMemory(BodyMemory&& aOther) noexcept;
  BodyMemory& operator=(BodyMemory&& aOther) noexcept;
  BodyMemory(const BodyMemory&) = delete;
  BodyMemory& operator=(const BodyMemory&) = delete;

  /// Begins the read of a body, without a share.
  ///
  /// @param aExecutor The event loop that reads the body.
  /// @param aGiveWay Called on that loop if the body must give way. Ends the
  ///     read, after which the share must be returned. Not called after End().
  void Begin(boost::asio::any_io_executor aExecutor,
             std::function<void()> aGiveWay,
             BodyKind aKind = BodyKind::kResponse);

  /// Enlarges the share to the size of the body. The first bytes of each body
  /// are not counted.
  MemoryGrant Enlarge(std::size_t aBodyBytes);

  /// Ends the read. A complete body keeps its share. Returns false if the body
  /// has given way.
  bool End();

  /// Begins the delivery of a complete body to its caller.
  ///
  /// @param aGiveWay Called on the event loop that has read the body if the
  ///     caller has taken nothing for a while and the memory is needed. Ends
  ///     the delivery, after which the share must be returned. Not called after
  ///     EndDelivery().
  void BeginDelivery(std::function<void()> aGiveWay);

  /// Records that the caller has taken a part of the body.
  void RecordDelivery();

  /// Ends the delivery.
  void EndDelivery();

  /// Returns the share.
  void Clear();

  /// Sets the memory for all bodies of the process. Those of requests may use
  /// three quarters of it; without a call, they are not limited.
  static void SetLimit(std::size_t aBytes);

  /// Returns the bytes in use by all bodies.
  static std::size_t UsedBytes();

  /// Returns how often a body had to give way or was denied memory.
  static std::uint64_t Displaced();

private:
  struct Share;
  class Shares;
  static Shares& AllShares();

  std::shared_ptr<Share> mShare; ///< Null before Begin().
};

} // namespace magnoliatide::http

#endif
