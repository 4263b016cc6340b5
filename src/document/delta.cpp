// Differences by sections.
#include "magnoliatide/document/delta.h"

#include <string_view>
#include <unordered_map>

namespace magnoliatide::document {

namespace {

/// Cuts a text before each line that begins with '['.
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

std::vector<DeltaPart>
MakeDelta(const std::string& aOld, const std::string& aNew)
{
  const auto old = Sections(aOld);
  std::unordered_map<std::string_view, std::uint32_t> places;
  for (std::size_t i = 0; i < old.size(); ++i) {
    places.emplace(old[i], static_cast<std::uint32_t>(i));
  }
  std::vector<DeltaPart> parts{ {} };
  for (const auto section : Sections(aNew)) {
    const auto place = places.find(section);
    auto& last = parts.back();
    if (place == places.end()) {
      last.text += section;
    } else if (last.text.empty() && last.count > 0 &&
               place->second == last.first + last.count) {
      last.count += 1;
    } else if (last.text.empty() && last.count == 0) {
      last.first = place->second;
      last.count = 1;
    } else {
      parts.push_back({ place->second, 1, "" });
    }
  }
  return parts;
}

std::optional<std::string>
ApplyDelta(const std::string& aOld, const std::vector<DeltaPart>& aParts)
{
  const auto old = Sections(aOld);
  std::string text;
  for (const auto& part : aParts) {
    if (part.first > old.size() || part.count > old.size() - part.first) {
      return std::nullopt;
    }
    for (std::uint32_t i = 0; i < part.count; ++i) {
      text += old[part.first + i];
    }
    text += part.text;
  }
  return text;
}

} // namespace magnoliatide::document
