// Conversions of time values.
#include "magnoliatide/core/time.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace magnoliatide {

namespace {

/// About 31 years; a few such durations can be added without overflow.
constexpr double kMaxSeconds = 1e9;

} // namespace

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  if (std::isnan(aSeconds)) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    std::clamp(aSeconds, -kMaxSeconds, kMaxSeconds)));
}

std::uint32_t
WholeSecondsSince(TimePoint aTime, TimePoint aNow)
{
  const auto age = std::max(aNow - aTime, Duration::zero());
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<Seconds>(age).count());
}

std::string
FormatTime(WallClock::time_point aTime)
{
  const auto millis =
    std::chrono::duration_cast<Milliseconds>(aTime.time_since_epoch()).count();
  const std::time_t seconds = millis / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char day[32];
  std::strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &utc);
  char text[48];
  std::snprintf(
    text, sizeof(text), "%s.%03dZ", day, static_cast<int>(millis % 1000));
  return text;
}

} // namespace magnoliatide
