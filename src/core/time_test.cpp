// Guards against conversions of numbers from other programs that overflow.
#include "magnoliatide/core/time.h"

#include <gtest/gtest.h>

#include <limits>

namespace magnoliatide {
namespace {

TEST(Time, SecondsOfEverySizeConvertToADurationThatCanBeAdded)
{
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  const auto now = Clock::now();
  for (const double seconds : { 1e10, 1e18, 1e300, kInfinity }) {
    EXPECT_GT(now + FromSeconds(seconds), now) << seconds;
    EXPECT_LT(now + FromSeconds(-seconds), now) << seconds;
    EXPECT_GT(FromSeconds(seconds) * 8, FromSeconds(1));
  }
  EXPECT_EQ(FromSeconds(std::numeric_limits<double>::quiet_NaN()),
            Duration::zero());
  EXPECT_EQ(FromSeconds(1.5), Milliseconds(1500));
  EXPECT_EQ(FromSeconds(-0.25), Milliseconds(-250));
}

} // namespace
} // namespace magnoliatide
