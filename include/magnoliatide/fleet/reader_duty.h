// Which VMs of a zone read the platform's store. One does and tells the others;
// where nothing is heard of one that can, the others step in, in order. No I/O.
#ifndef MAGNOLIATIDE_FLEET_READER_DUTY_H
#define MAGNOLIATIDE_FLEET_READER_DUTY_H

#include "magnoliatide/core/time.h"

#include <algorithm>
#include <cstddef>

namespace magnoliatide::fleet {

struct ReaderDutyOptions
{
  /// Between the words of a VM that reads.
  Duration wordPeriod = Milliseconds(400);
  /// By how much later each VM steps in than the one before it.
  Duration step = Milliseconds(300);
  /// How long a VM hears nothing before it reads, whatever its place.
  Duration mostSilence = Milliseconds(1100);
  /// How long a VM may lack what others are known to have before it reads: a
  /// part of the time in which a configuration must be in force.
  Duration mostBehind = Milliseconds(700);
  /// How long a VM that has just started takes its place for uncertain, as it
  /// does not know all the others yet.
  Duration settleTime = Seconds(2);
};

class ReaderDuty
{
public:
  explicit ReaderDuty(ReaderDutyOptions aOptions, TimePoint aNow)
    : mOptions(aOptions)
    , mStarted(aNow)
    , mHeard(aNow)
  {
  }

  /// Sets this VM's place among the live VMs of its zone, 0 for the first.
  void SetPlace(std::size_t aPlace) { mPlace = aPlace; }

  /// Notes that another VM of the zone reads the store, which answers it.
  void NoteWord(TimePoint aNow)
  {
    mHeard = aNow;
    mHeardAny = true;
  }

  /// Notes whether another VM knows more of the store than this one.
  void NoteBehind(bool aBehind, TimePoint aNow)
  {
    if (!aBehind) {
      mBehindSince = TimePoint{};
    } else if (mBehindSince == TimePoint{}) {
      mBehindSince = aNow;
    }
  }

  /// Returns whether this VM reads.
  bool Reads(TimePoint aNow) const
  {
    const bool behind =
      mBehindSince != TimePoint{} && aNow - mBehindSince >= mOptions.mostBehind;
    const bool settled = !mHeardAny || aNow - mStarted >= mOptions.settleTime;
    if ((mPlace == 0 && settled) || behind) {
      return true;
    }
    const Duration wait =
      mOptions.wordPeriod + mOptions.step * static_cast<int>(mPlace);
    return aNow - mHeard >= std::min(wait, mOptions.mostSilence);
  }

  Duration WordPeriod() const { return mOptions.wordPeriod; }

private:
  ReaderDutyOptions mOptions;
  std::size_t mPlace = 0;
  TimePoint mStarted;
  TimePoint mHeard; ///< When a VM that reads was heard of last.
  bool mHeardAny = false;
  TimePoint mBehindSince{}; ///< Zero: it lacks nothing that it heard of.
};

} // namespace magnoliatide::fleet

#endif
