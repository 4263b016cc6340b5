// Choice of the VM to ask.
#include "magnoliatide/fleet/catch_up.h"

#include <algorithm>
#include <vector>

namespace magnoliatide::fleet {

void
CatchUp::NoteRevision(const std::string& aAddress,
                      std::uint64_t aRevision,
                      bool aNear,
                      std::uint64_t aKnown,
                      TimePoint aNow)
{
  if (aRevision <= aKnown) {
    mAhead.erase(aAddress);
    return;
  }
  Forget(aKnown);
  if (mAhead.empty()) {
    mBehindSince = aNow;
  }
  const bool known = mAhead.count(aAddress) > 0;
  if (!known && mAhead.size() >= kMostAhead) {
    const auto far =
      std::find_if(mAhead.begin(), mAhead.end(), [](const auto& aEntry) {
        return !aEntry.second.near;
      });
    if (!aNear || far == mAhead.end()) {
      return;
    }
    mAhead.erase(far);
  }
  mAhead[aAddress] = { aRevision, aNear };
}

std::optional<std::string>
CatchUp::Choose(std::uint64_t aKnown, TimePoint aNow)
{
  Forget(aKnown);
  std::vector<const std::string*> choices;
  for (const bool near : { true, false }) {
    for (const auto& [address, ahead] : mAhead) {
      if (ahead.near == near) {
        choices.push_back(&address);
      }
    }
    if (!choices.empty()) {
      break;
    }
    if (aNow - mBehindSince < mOptions.farPatience) {
      return std::nullopt;
    }
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> any(0, choices.size() - 1);
  return *choices[any(mRandom)];
}

bool
CatchUp::AnyNear(std::uint64_t aKnown) const
{
  return std::any_of(mAhead.begin(), mAhead.end(), [&](const auto& aEntry) {
    return aEntry.second.near && aEntry.second.revision > aKnown;
  });
}

void
CatchUp::Forget(std::uint64_t aKnown)
{
  std::erase_if(mAhead, [&](const auto& aEntry) {
    return aEntry.second.revision <= aKnown;
  });
}

} // namespace magnoliatide::fleet
