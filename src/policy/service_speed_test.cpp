// Speeds are learned from noisy samples, and stay right over many of them.
#include "magnoliatide/policy/service_speed.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

namespace magnoliatide::policy {
namespace {

constexpr double kMeanSeconds = 0.03;
constexpr double kSpread = 0.5; ///< Of the logarithm of a call's time.

SpeedSample
PlainSample(double aFactor, std::mt19937& aRandom)
{
  std::lognormal_distribution<double> time(
    std::log(kMeanSeconds) - kSpread * kSpread / 2, kSpread);
  SpeedSample sample;
  sample.plain = true;
  sample.toFirst = FromSeconds(aFactor * time(aRandom));
  return sample;
}

// The service's own time and the factors of its servers were both learned from
// the same samples, so that the one grew and the others fell to their bound,
// where all servers are alike.
TEST(ServiceSpeed, CallsOfSlowServersStayTold)
{
  for (const std::uint32_t seed : { 1U, 2U, 3U }) {
    std::mt19937 random(seed);
    const std::vector<double> factors = { 1, 1, 4 };
    std::vector<ServerSpeed> servers(factors.size());
    ServiceSpeed speed;
    for (int i = 0; i < 20000; ++i) {
      const auto at = random() % factors.size();
      speed.Learn(servers[at], PlainSample(factors[at], random));
    }
    const double ratio =
      speed.FactorOf(servers[2]) / speed.FactorOf(servers[0]);
    EXPECT_GT(ratio, 2.5) << seed;
    EXPECT_LT(ratio, 6) << seed;
    for (std::size_t at = 0; at < factors.size(); ++at) {
      const double told = speed.FactorOf(servers[at]) * speed.Plain();
      EXPECT_GT(told, 0.7 * factors[at] * kMeanSeconds) << seed << ' ' << at;
      EXPECT_LT(told, 1.4 * factors[at] * kMeanSeconds) << seed << ' ' << at;
    }
  }
}

} // namespace
} // namespace magnoliatide::policy
