// Parser of server-sent events.
#include "magnoliatide/forward/event_stream.h"

#include <charconv>
#include <optional>

namespace magnoliatide::forward {

namespace {

/// Returns the offset after the empty line that ends the first event, or npos.
std::size_t
EndOfEvent(std::string_view aText)
{
  std::size_t line = 0;
  while (true) {
    const auto end = aText.find('\n', line);
    if (end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const bool empty = end == line || (end == line + 1 && aText[line] == '\r');
    if (empty) {
      return end + 1;
    }
    line = end + 1;
  }
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

std::string
EventStream::Add(std::string_view aBytes)
{
  mPending += aBytes;
  std::string completeEvents;
  std::string_view rest = mPending;
  for (auto end = EndOfEvent(rest); end != std::string_view::npos;
       end = EndOfEvent(rest)) {
    const auto event = rest.substr(0, end);
    if (AcceptEvent(event)) {
      completeEvents += event;
    }
    rest.remove_prefix(end);
  }
  mPending.erase(0, mPending.size() - rest.size());
  return completeEvents;
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
  return rest;
}

} // namespace magnoliatide::forward
