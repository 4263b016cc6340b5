// Section-wise deltas between two document texts, so that a change is sent
// without the sections that stay the same.
#ifndef MAGNOLIATIDE_DOCUMENT_DELTA_H
#define MAGNOLIATIDE_DOCUMENT_DELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliatide::document {

/// One step of a delta: copies a run of old sections, then appends new text.
struct DeltaOp
{
  std::uint32_t first = 0; ///< Index of the first old section to copy.
  std::uint32_t count = 0; ///< Number of sections to copy.
  std::string text;        ///< Text to append after them.
};

/// Returns the steps that build the new text from the old one.
std::vector<DeltaOp>
MakeDelta(const std::string& aOld, const std::string& aNew);

/// Builds the new text. Returns nothing if a step refers to sections that the
/// old text does not have.
std::optional<std::string>
ApplyDelta(const std::string& aOld, const std::vector<DeltaOp>& aOps);

} // namespace magnoliatide::document

#endif
