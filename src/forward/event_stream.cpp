// Parser of server-sent events.
#include "magnoliatide/forward/event_stream.h"

#include <charconv>
#include <optional>

namespace magnoliatide::forward {

namespace {

/// Returns whether a line is a field that makes up an event.
bool
IsEventField(std::string_view aLine)
{
  const auto name = aLine.substr(0, aLine.find(':'));
  return name == "data" || name == "id";
}

/// Returns the value of the last "id" line of an event.
std::optional<std::string_view>
IdOf(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  std::optional<std::string_view> id;
  while (!aEvent.empty()) {
    const auto end = std::min(aEvent.find('\n'), aEvent.size());
    auto line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    id = line;
  }
  return id;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  return error == std::errc() && stop == end
           ? std::optional<std::uint64_t>(number)
           : std::nullopt;
}

/// Returns whether an event was already sent to the caller: both ids are
/// numbers, and this one is not above the last.
bool
IsAlreadySent(std::string_view aId, std::string_view aLast)
{
  const auto id = ParseNumber(aId);
  const auto last = ParseNumber(aLast);
  return id && last && *id <= *last;
}

} // namespace

bool
EventStream::Add(std::string_view aBytes, std::string& aEvents)
{
  aEvents.clear();
  mPending += aBytes;
  const std::string_view text = mPending;
  std::size_t begin = 0;
  for (auto end = text.find('\n', mScanned); end != std::string_view::npos;
       end = text.find('\n', mScanned)) {
    auto line = text.substr(mLine, end - mLine);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    mLine = end + 1;
    mScanned = mLine;
    mHasField = mHasField || IsEventField(line);
    mInsideBlock = !line.empty() && (mInsideBlock || !line.starts_with(':'));
    if (!line.empty() || !mHasField) {
      continue;
    }
    const auto event = text.substr(begin, mLine - begin);
    if (AcceptEvent(event)) {
      aEvents += event;
    }
    begin = mLine;
    mHasField = false;
  }
  mPending.erase(0, begin);
  mLine -= begin;
  mScanned = mPending.size();
  return mPending.size() <= kMaxEventBytes;
}

bool
EventStream::AcceptEvent(std::string_view aEvent)
{
  const auto id = IdOf(aEvent);
  if (id && IsAlreadySent(*id, mLastId)) {
    return false;
  }
  if (id) {
    mLastId = std::string(*id);
  }
  mEvents += 1;
  return true;
}

std::string
EventStream::TakeRemainder()
{
  std::string rest;
  rest.swap(mPending);
  mLine = 0;
  mScanned = 0;
  mHasField = false;
  mInsideBlock = false;
  return rest;
}

} // namespace magnoliatide::forward
