// Elects the VMs of a zone that read the platform's store. One VM reads it and
// sends the changes to the others; without announcements from a reader that can
// reach the store, the others take over in order of rank. No I/O.
#ifndef MAGNOLIATIDE_FLEET_READER_ELECTION_H
#define MAGNOLIATIDE_FLEET_READER_ELECTION_H

#include "magnoliatide/core/time.h"

#include <algorithm>
#include <cstddef>

namespace magnoliatide::fleet {

struct ReaderElectionOptions
{
  /// Interval between the announcements of a reader.
  Duration announcePeriod = Milliseconds(400);
  /// Additional delay per rank before a VM takes over.
  Duration rankDelay = Milliseconds(300);
  /// Time without announcements after which a VM of any rank reads.
  Duration maxSilence = Milliseconds(1100);
  /// How long a VM may be behind other VMs before it reads the store itself: a
  /// fraction of the time within which a configuration must become active.
  Duration maxLag = Milliseconds(700);
  /// How long the rank of a started VM is unreliable, as it does not know all
  /// other VMs yet.
  Duration settleTime = Seconds(2);
};

/// Decides whether this VM is a reader.
class ReaderElection
{
public:
  explicit ReaderElection(ReaderElectionOptions aOptions, TimePoint aNow)
    : mOptions(aOptions)
    , mStarted(aNow)
    , mLastAnnouncement(aNow)
  {
  }

  /// Sets this VM's rank among the live VMs of its zone, 0 for the first.
  void SetRank(std::size_t aRank) { mRank = aRank; }

  /// Records the announcement of another VM of the zone that it reads the store
  /// and can reach it.
  void RecordAnnouncement(TimePoint aNow)
  {
    mLastAnnouncement = aNow;
    mAnnouncementSeen = true;
  }

  /// Records whether another VM has a newer revision of the store.
  void RecordBehind(bool aBehind, TimePoint aNow)
  {
    if (!aBehind) {
      mBehindSince = TimePoint{};
    } else if (mBehindSince == TimePoint{}) {
      mBehindSince = aNow;
    }
  }

  /// Returns whether this VM must read the store.
  bool Reads(TimePoint aNow) const
  {
    const bool behind =
      mBehindSince != TimePoint{} && aNow - mBehindSince >= mOptions.maxLag;
    const bool settled =
      !mAnnouncementSeen || aNow - mStarted >= mOptions.settleTime;
    if ((mRank == 0 && settled) || behind) {
      return true;
    }
    const Duration wait =
      mOptions.announcePeriod + mOptions.rankDelay * static_cast<int>(mRank);
    return aNow - mLastAnnouncement >= std::min(wait, mOptions.maxSilence);
  }

  Duration AnnouncePeriod() const { return mOptions.announcePeriod; }

private:
  ReaderElectionOptions mOptions;
  std::size_t mRank = 0;
  TimePoint mStarted;
  TimePoint mLastAnnouncement; ///< Start time until one arrives.
  bool mAnnouncementSeen = false;
  TimePoint mBehindSince{}; ///< Zero: not behind.
};

} // namespace magnoliatide::fleet

#endif
