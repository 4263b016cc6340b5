// Merging of the times that servers name.
#include "magnoliatide/policy/server_backoff.h"

#include <algorithm>

namespace magnoliatide::policy {

namespace {

/// How long VMs avoid a server that has named a time to another one. Short, as
/// the server does not ask them to, and rejects their requests at once.
constexpr Duration kSharedBackoff = Milliseconds(500);

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
