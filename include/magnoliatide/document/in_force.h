// Which document is in force at a VM. It only ever moves forward: to a higher
// generation, or between two documents of one generation to the one with the
// greater digest, so that all VMs settle on the same.
#ifndef MAGNOLIATIDE_DOCUMENT_IN_FORCE_H
#define MAGNOLIATIDE_DOCUMENT_IN_FORCE_H

#include "magnoliatide/document/document.h"

#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::document {

enum class OfferResult
{
  kAccepted, ///< A higher generation; now in force.
  kSame,     ///< The document in force.
  kOlder,    ///< A lower generation; refused.
  kInvalid,  ///< It has faults; refused.
  kForeign,  ///< Of another environment; refused.
  kRaceWon,  ///< The same generation, another text; now in force.
  kRaceLost, ///< The same generation, another text; refused.
};

/// Returns the stable name of a result, for example "race-lost".
const char*
Name(OfferResult aResult);

class InForce
{
public:
  explicit InForce(std::string aEnvironment);

  /// Offers a text. Refused texts leave the document in force as it is.
  ///
  /// @param aSource Where the text came from, for errors.
  /// @param aText The text.
  /// @param aFaults Receives the errors of an invalid text.
  OfferResult Offer(const std::string& aSource,
                    const std::string& aText,
                    std::vector<Fault>& aFaults);

  /// Returns the document in force, or null before the first.
  std::shared_ptr<const Document> Current() const { return mCurrent; }

private:
  std::string mEnvironment;
  std::shared_ptr<const Document> mCurrent;
};

/// Returns whether a generation and digest go before others. Digests may be
/// shortened; both must then be shortened alike.
bool
Supersedes(std::uint64_t aGeneration,
           const std::string& aDigest,
           std::uint64_t aOverGeneration,
           const std::string& aOverDigest);

} // namespace magnoliatide::document

#endif
