// Time types for all packages. Code that makes decisions takes the current time
// as an argument, so that tests can run it on a simulated clock.
#ifndef MAGNOLIATIDE_CORE_TIME_H
#define MAGNOLIATIDE_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <string>

namespace magnoliatide {

/// The monotonic clock for deadlines and ages.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// The clock for timestamps in records that people read.
using WallClock = std::chrono::system_clock;

/// Returns a duration in seconds as a floating-point number.
double
ToSeconds(Duration aDuration);

/// Converts a floating-point number of seconds to a duration. Numbers beyond
/// 1e9 seconds in either direction become that limit, and NaN becomes zero.
Duration
FromSeconds(double aSeconds);

/// Returns the whole seconds since a time, or 0 if it is in the future.
std::uint32_t
WholeSecondsSince(TimePoint aTime, TimePoint aNow);

/// Formats a wall-clock time in UTC, for example 2026-12-04T05:31:22.125Z.
std::string
FormatTime(WallClock::time_point aTime);

} // namespace magnoliatide

#endif
