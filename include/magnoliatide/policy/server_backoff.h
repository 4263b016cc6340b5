// The times for which a backend server is sent no requests after it has
// rejected one as full. If the server names a time to a VM (Retry-After), that
// VM sends it nothing until then. All others avoid it for a short time, since a
// server that is full for one VM is mostly full for all.
#ifndef MAGNOLIATIDE_POLICY_SERVER_BACKOFF_H
#define MAGNOLIATIDE_POLICY_SERVER_BACKOFF_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace magnoliatide::policy {

/// Longer times are treated as this one, so that an odd value does not take a
/// server away for good.
constexpr Duration kMaxServerBackoff = std::chrono::minutes(5);

/// What one answer of a server says about its next request.
struct BackoffNotice
{
  std::string server;
  std::uint64_t started = 0; ///< As routing::Server::started.
  std::uint64_t vm = 0;      ///< Process of the VM that got the answer.
  TimePoint until;           ///< End of the time that the answer names.
};

/// The backoff of one incarnation of a server. Not thread-safe.
class ServerBackoff
{
public:
  /// Merges an answer to any VM. Notices may be repeated or arrive out of
  /// order.
  void Merge(const BackoffNotice& aNotice, TimePoint aNow);

  /// Records that the server has rejected a request as full. It is avoided for
  /// a time that doubles with each rejection up to a limit.
  void RecordFull(TimePoint aNow);

  /// Records that the server has run a request, which ends the doubling.
  void RecordAccepted() { mFullDelay = Duration::zero(); }

  /// Returns from when on a request of a VM may be sent to the server; not
  /// after aNow if it may be sent at once.
  TimePoint EndFor(std::uint64_t aVm, TimePoint aNow) const;

  /// Returns whether requests of all VMs are held back.
  bool HoldsAll(TimePoint aNow) const { return aNow < mSharedUntil; }

private:
  std::map<std::uint64_t, TimePoint> mUntilByVm; ///< By process.
  TimePoint mSharedUntil{};                      ///< For all VMs.
  Duration mFullDelay{}; ///< After the last rejection; zero: none since a run.
};

} // namespace magnoliatide::policy

#endif
