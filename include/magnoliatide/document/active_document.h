// The active document of a VM. It is replaced only by a document of a higher
// generation, or of the same generation with a greater digest, so that all VMs
// converge on the same document.
#ifndef MAGNOLIATIDE_DOCUMENT_ACTIVE_DOCUMENT_H
#define MAGNOLIATIDE_DOCUMENT_ACTIVE_DOCUMENT_H

#include "magnoliatide/document/document.h"

#include <memory>
#include <string>
#include <vector>

namespace magnoliatide::document {

/// The result of offering a document.
enum class OfferResult
{
  kAccepted, ///< A higher generation; now active.
  kSame,     ///< The same text as the active document.
  kOlder,    ///< A lower generation; refused.
  kInvalid,  ///< The text has errors; refused.
  kForeign,  ///< Of another environment; refused.
  kRaceWon,  ///< The same generation, greater digest; now active.
  kRaceLost, ///< The same generation, lower digest; refused.
};

/// Returns the stable name of a result, for example "race-lost".
const char*
Name(OfferResult aResult);

/// Holds the active document of one environment.
class ActiveDocument
{
public:
  explicit ActiveDocument(std::string aEnvironment);

  /// Makes a text the active document, unless it is invalid, of another
  /// environment or superseded. A refused text changes nothing.
  ///
  /// @param aSource Origin of the text, for errors.
  /// @param aText The INI text.
  /// @param aFaults Receives the errors of an invalid text.
  OfferResult Offer(const std::string& aSource,
                    const std::string& aText,
                    std::vector<Fault>& aFaults);

  /// Returns the active document, or null if there was none yet.
  std::shared_ptr<const Document> Current() const { return mCurrent; }

private:
  std::string mEnvironment;
  std::shared_ptr<const Document> mCurrent;
};

/// Returns whether a document replaces another one: its generation is higher,
/// or equal and its digest is greater. Digests may be truncated, both to the
/// same length.
bool
Supersedes(std::uint64_t aGeneration,
           const std::string& aDigest,
           std::uint64_t aOtherGeneration,
           const std::string& aOtherDigest);

} // namespace magnoliatide::document

#endif
