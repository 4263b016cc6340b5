// Keys and values of the rumours on crashes.
#include "magnoliatide/fleet/crash_rumours.h"

#include "magnoliatide/core/digest.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace magnoliatide::fleet {

namespace {

constexpr char kKeySeparator = ' ';
constexpr char kValueSeparator = ',';
/// Follows a trait that was run in a trial.
constexpr char kTrialMark = '!';

/// Removes and returns the text before the next separator.
std::string_view
TakeField(std::string_view& aText, char aSeparator)
{
  const auto end = std::min(aText.find(aSeparator), aText.size());
  const auto field = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return field;
}

} // namespace

wire::Rumour
EncodeCrash(const policy::CrashRecord& aRecord, std::uint64_t aProcess)
{
  wire::Rumour rumour;
  rumour.kind = wire::RumourKind::kCrash;
  // The server's id comes last, since it may contain separators.
  rumour.key = ToHex(aProcess) + kKeySeparator +
               ToHex(aRecord.incarnation.started) + kKeySeparator +
               ToHex(aRecord.ordinal) + kKeySeparator +
               aRecord.incarnation.server;
  for (const auto& suspect : aRecord.suspects) {
    if (!rumour.value.empty()) {
      rumour.value += kValueSeparator;
    }
    rumour.value += ToHex(suspect.trait);
    if (suspect.trial) {
      rumour.value += kTrialMark;
    }
  }
  return rumour;
}

std::optional<policy::CrashRecord>
DecodeCrash(const wire::Rumour& aRumour)
{
  std::string_view key = aRumour.key;
  TakeField(key, kKeySeparator);
  policy::CrashRecord record;
  record.incarnation.started = FromHex(TakeField(key, kKeySeparator));
  record.ordinal =
    static_cast<std::uint32_t>(FromHex(TakeField(key, kKeySeparator)));
  record.incarnation.server = std::string(key);
  std::string_view value = aRumour.value;
  while (!value.empty()) {
    auto field = TakeField(value, kValueSeparator);
    const bool trial = field.ends_with(kTrialMark);
    field.remove_suffix(trial ? 1 : 0);
    record.suspects.push_back({ FromHex(field), trial });
  }
  const bool valid =
    !record.incarnation.server.empty() && !record.suspects.empty();
  return valid ? std::optional(record) : std::nullopt;
}

wire::Rumour
EncodeClearance(policy::Trait aTrait)
{
  wire::Rumour rumour;
  rumour.kind = wire::RumourKind::kCleared;
  rumour.key = ToHex(aTrait);
  return rumour;
}

policy::Trait
DecodeClearance(const wire::Rumour& aRumour)
{
  return FromHex(aRumour.key);
}

} // namespace magnoliatide::fleet
