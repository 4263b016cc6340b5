// The register of one elector: what it promised and accepted for each key.
// Held in memory only. An elector that starts with nothing abstains on a key
// until it has copied the complete registers of as many other electors of the
// key as make a majority, or until all keys of before its start are too old.
#ifndef MAGNOLIATIDE_CLAIMS_REGISTER_H
#define MAGNOLIATIDE_CLAIMS_REGISTER_H

#include "magnoliatide/claims/electorate.h"
#include "magnoliatide/core/time.h"
#include "magnoliatide/wire/messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::claims {

struct RegisterOptions
{
  std::string slot;              ///< The elector's own slot.
  wire::Incarnation incarnation; ///< The elector's life.
  Duration lifetime = std::chrono::hours(1);
  /// Whether the operators state that no earlier VM of the environment can
  /// have taken a key. Then a register is complete once the others were
  /// heard, whether theirs are complete or not.
  bool firstStart = false;
  TimePoint started{};
  std::vector<std::string> slots; ///< All slots of the document.
  std::size_t electors = 5;       ///< Electors of a key.
};

class Register
{
public:
  explicit Register(RegisterOptions aOptions);

  /// Answers the first phase of a claim.
  wire::ClaimVote Handle(const wire::ClaimPrepare& aRequest,
                         const Electorate& aElectorate,
                         TimePoint aNow);

  /// Answers the second phase of a claim.
  wire::ClaimVote Handle(const wire::ClaimAccept& aRequest,
                         const Electorate& aElectorate,
                         TimePoint aNow);

  /// Notes what became of a key.
  void Handle(const wire::ClaimOutcome& aNotice);

  /// Answers another elector that starts with nothing. Its incarnation is
  /// noted before anything is copied.
  wire::CopyReply Handle(const wire::CopyRequest& aRequest, TimePoint aNow);

  /// Takes over one page of a copy.
  ///
  /// @param aFrom The elector that sent it.
  /// @return The number to start again with, above zero, if this elector's
  ///     incarnation is not the latest.
  std::uint64_t Absorb(const std::string& aFrom,
                       const wire::CopyReply& aReply,
                       TimePoint aNow);

  /// Starts again under a higher incarnation, with no copies.
  void Restart(wire::Incarnation aIncarnation);

  /// Returns whether this elector may vote in an electorate.
  bool Ready(const Electorate& aElectorate, TimePoint aNow) const;

  /// Returns whether this register misses nothing for any electorate, so that
  /// others may rely on copies of it.
  bool Complete(TimePoint aNow) const;

  /// Returns whether a complete copy from a slot was taken over.
  bool HasCopyOf(const std::string& aSlot) const;

  /// Takes over what a document says of slots and keys. When the slots
  /// change, the register is not complete until it has copied those of the
  /// former slots, each after its VM took over the change too.
  void Configure(std::vector<std::string> aSlots,
                 std::size_t aElectors,
                 Duration aLifetime,
                 bool aFirstStart);

  /// Drops keys older than the lifetime.
  void Forget(TimePoint aNow);

  const wire::Incarnation& Own() const { return mOptions.incarnation; }
  std::size_t size() const { return mKeys.size(); }

  /// Appends a text that differs between different states; for exploration.
  void Fingerprint(std::string& aOut) const;

private:
  struct Epoch
  {
    wire::Ballot promised;
    bool hasAccepted = false;
    wire::Ballot acceptedBallot;
    wire::Owner accepted;
    wire::KeyOutcome outcome = wire::KeyOutcome::kOpen;
    wire::KeyAnswer answer;
  };

  struct Entry
  {
    TimePoint firstSeen;
    std::map<std::uint32_t, Epoch> epochs;
  };

  wire::ClaimVote NewVote(std::uint64_t aProposal,
                          bool aAccepting,
                          const wire::Ballot& aBallot,
                          const Electorate& aElectorate) const;
  template<typename Request>
  Epoch* OpenEpoch(const Request& aRequest,
                   const Electorate& aElectorate,
                   TimePoint aNow);
  bool ReadyAmong(const std::vector<std::string>& aSlots) const;
  void Note(const std::string& aSlot, const wire::Incarnation& aIncarnation);
  void Merge(const wire::CopiedKey& aKey, TimePoint aNow);
  void JudgeCompleteness();
  std::size_t Unheard(const std::vector<std::string>& aSlots,
                      const std::set<std::string>& aHeard) const;

  RegisterOptions mOptions;
  std::map<std::string, Entry> mKeys;
  /// Latest known life of each other slot; only ever rises.
  std::map<std::string, wire::Incarnation> mLives;
  /// Slots whose complete register was copied.
  std::set<std::string> mCopied;
  /// Slots whose register is not complete but never lost its own votes.
  std::set<std::string> mRemembering;
  /// Slots that answered that theirs is not complete, and nothing better.
  std::set<std::string> mIncomplete;
  /// Slots before the last change, while copies of theirs are missing.
  std::vector<std::string> mFormerSlots;
  /// Set by copies or by a first start; taken back by a change of slots.
  bool mComplete = false;
};

} // namespace magnoliatide::claims

#endif
