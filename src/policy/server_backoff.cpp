// Merging of the times that servers name.
#include "magnoliatide/policy/server_backoff.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// How long VMs avoid a server that has named a time to another one. Short, as
/// the server does not ask them to, and rejects their requests at once.
constexpr Duration kSharedBackoff = Milliseconds(500);

/// How long a server is avoided after one rejection, and at most after many.
constexpr Duration kMinFullDelay = Milliseconds(50);
constexpr Duration kMaxFullDelay = Milliseconds(400);

} // namespace

void
ServerBackoff::Merge(const BackoffNotice& aNotice, TimePoint aNow)
{
  std::erase_if(mUntilByVm,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  const auto until = std::min(aNotice.until, aNow + kMaxServerBackoff);
  if (until <= aNow) {
    return;
  }
  auto& known = mUntilByVm[aNotice.vm];
  if (until > known) {
    known = until;
    mSharedUntil =
      std::max(mSharedUntil, std::min(until, aNow + kSharedBackoff));
  }
}

void
ServerBackoff::RecordFull(TimePoint aNow)
{
  // Several requests may have been on their way when the server became full.
  if (aNow < mSharedUntil) {
    return;
  }
  mFullDelay = std::clamp(mFullDelay * 2, kMinFullDelay, kMaxFullDelay);
  mSharedUntil = aNow + mFullDelay;
}

TimePoint
ServerBackoff::EndFor(std::uint64_t aVm, TimePoint aNow) const
{
  const auto own = mUntilByVm.find(aVm);
  const auto end = own == mUntilByVm.end()
                     ? mSharedUntil
                     : std::max(own->second, mSharedUntil);
  return std::max(end, aNow);
}

} // namespace magnoliatide::policy
