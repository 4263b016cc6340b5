// Which VM to ask for what is published, where others know more of it than
// this one. No I/O.
#ifndef MAGNOLIATIDE_FLEET_CATCH_UP_H
#define MAGNOLIATIDE_FLEET_CATCH_UP_H

#include "magnoliatide/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace magnoliatide::fleet {

struct CatchUpOptions
{
  /// How long the VMs of the own zone are waited for before one of another zone
  /// is asked: bytes between zones are dear.
  Duration farPatience = Milliseconds(200);
};

class CatchUp
{
public:
  explicit CatchUp(CatchUpOptions aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {
  }

  /// Notes up to which revision a VM knows everything.
  ///
  /// @param aKnown Up to which this one does.
  /// @param aNear Whether that VM is one of this zone.
  void NoteRevision(const std::string& aAddress,
                    std::uint64_t aRevision,
                    bool aNear,
                    std::uint64_t aKnown,
                    TimePoint aNow);

  /// Notes that a VM did not answer.
  void NoteFailed(const std::string& aAddress) { mAhead.erase(aAddress); }

  /// Returns the VM to ask now, if there is one: any of the own zone, so that
  /// many that start do not all ask the same one.
  std::optional<std::string> Choose(std::uint64_t aKnown, TimePoint aNow);

  /// Returns whether a VM of the own zone knows more.
  bool AnyNear(std::uint64_t aKnown) const;

private:
  struct Ahead
  {
    std::uint64_t revision = 0;
    bool near = false;
  };

  void Forget(std::uint64_t aKnown);

  CatchUpOptions mOptions;
  std::mt19937_64 mRandom;
  std::map<std::string, Ahead> mAhead; ///< At most kMostAhead, by address.
  TimePoint mBehindSince{};            ///< Zero: none is known to be ahead.
  static constexpr std::size_t kMostAhead = 16;
};

} // namespace magnoliatide::fleet

#endif
