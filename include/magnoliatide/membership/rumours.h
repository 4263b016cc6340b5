// The facts that spread between VMs, each for as long as it matters. No I/O.
#ifndef MAGNOLIATIDE_MEMBERSHIP_RUMOURS_H
#define MAGNOLIATIDE_MEMBERSHIP_RUMOURS_H

#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliatide::membership {

class Rumours
{
public:
  /// @param aMemory How long after it was first told a rumour is held.
  explicit Rumours(Duration aMemory)
    : mMemory(aMemory)
  {
  }

  /// Takes a rumour over. Returns whether it is news.
  ///
  /// @param aSends Messages that it is to ride on.
  bool Add(const wire::Rumour& aRumour, int aSends, TimePoint aNow);

  /// Returns rumours that are still to be sent, and counts them as sent.
  std::vector<wire::Rumour> Next(std::size_t aMost, TimePoint aNow);

  std::vector<wire::Rumour> All(TimePoint aNow) const;

  /// Forgets what is too old to matter.
  void Expire(TimePoint aNow);

  /// Returns a number that two VMs with the same rumours share.
  std::uint64_t Digest() const { return mDigest; }

  /// Returns a rumour, or null.
  const wire::Rumour* Find(wire::RumourKind aKind,
                           const std::string& aKey) const;

private:
  struct Held
  {
    wire::Rumour rumour;
    int sendsLeft = 0;
    TimePoint firstTold;
  };

  using Id = std::pair<wire::RumourKind, std::string>;

  static wire::Rumour Aged(const Held& aHeld, TimePoint aNow);
  void ForgetOldest();

  Duration mMemory;
  std::map<Id, Held> mHeld;
  std::uint64_t mDigest = 0; ///< Sum of the hashes of all rumours.
};

} // namespace magnoliatide::membership

#endif
