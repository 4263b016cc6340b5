// The difference between two texts of documents by sections, so that a change
// travels as what changed and not as the whole document.
#ifndef MAGNOLIATIDE_DOCUMENT_DELTA_H
#define MAGNOLIATIDE_DOCUMENT_DELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::document {

/// Sections of the old text to keep, followed by new text.
struct DeltaPart
{
  std::uint32_t first = 0; ///< Number of the first old section to keep.
  std::uint32_t count = 0; ///< How many to keep.
  std::string text;        ///< What comes after them.
};

/// Returns the parts that make the new text from the old one.
std::vector<DeltaPart>
MakeDelta(const std::string& aOld, const std::string& aNew);

/// Makes the new text, or nothing if the parts do not fit the old one.
std::optional<std::string>
ApplyDelta(const std::string& aOld, const std::vector<DeltaPart>& aParts);

} // namespace magnoliatide::document

#endif
