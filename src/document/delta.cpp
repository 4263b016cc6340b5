// Section-wise deltas of document texts.
#include "magnoliatide/document/delta.h"

#include <string_view>
#include <unordered_map>

namespace magnoliatide::document {

namespace {

/// Splits a text before each line that begins with '['.
std::vector<std::string_view>
Sections(std::string_view aText)
{
  std::vector<std::string_view> sections;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    auto next = aText.find("\n[", begin);
    next = next == std::string_view::npos ? aText.size() : next + 1;
    sections.push_back(aText.substr(begin, next - begin));
    begin = next;
  }
  return sections;
}

} // namespace

std::vector<DeltaOp>
MakeDelta(const std::string& aOld, const std::string& aNew)
{
  const auto old = Sections(aOld);
  std::unordered_map<std::string_view, std::uint32_t> indexOfSection;
  for (std::size_t i = 0; i < old.size(); ++i) {
    indexOfSection.emplace(old[i], static_cast<std::uint32_t>(i));
  }
  std::vector<DeltaOp> ops{ {} };
  for (const auto section : Sections(aNew)) {
    const auto found = indexOfSection.find(section);
    auto& last = ops.back();
    if (found == indexOfSection.end()) {
      last.text += section;
    } else if (last.text.empty() && last.count > 0 &&
               found->second == last.first + last.count) {
      last.count += 1;
    } else if (last.text.empty() && last.count == 0) {
      last.first = found->second;
      last.count = 1;
    } else {
      ops.push_back({ found->second, 1, "" });
    }
  }
  return ops;
}

std::optional<std::string>
ApplyDelta(const std::string& aOld, const std::vector<DeltaOp>& aOps)
{
  const auto old = Sections(aOld);
  std::string text;
  for (const auto& op : aOps) {
    if (op.first > old.size() || op.count > old.size() - op.first) {
      return std::nullopt;
    }
    for (std::uint32_t i = 0; i < op.count; ++i) {
      text += old[op.first + i];
    }
    text += op.text;
  }
  return text;
}

} // namespace magnoliatide::document
