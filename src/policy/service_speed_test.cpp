// Speed estimates converge on noisy samples and do not drift over many of them.
#include "magnoliatide/policy/service_speed.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

namespace magnoliatide::policy {
namespace {

constexpr double kMeanSeconds = 0.03;
/// Standard deviation of the log of call times.
constexpr double kLogSigma = 0.5;

SpeedSample
PlainSample(double aFactor, std::mt19937& aRandom)
{
  std::lognormal_distribution<double> time(
    std::log(kMeanSeconds) - kLogSigma * kLogSigma / 2, kLogSigma);
  SpeedSample sample;
  sample.plain = true;
  sample.toFirst = FromSeconds(aFactor * time(aRandom));
  return sample;
}

// Guards against drift: when the service-wide call time and the server factors
// were updated from the same samples, that time grew and all factors fell to
// their lower bound, so slow and fast servers could no longer be distinguished.
TEST(ServiceSpeed, PlainCallFactorsDoNotDrift)
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
      const double predicted =
        speed.FactorOf(servers[at]) * speed.PlainCallSeconds();
      EXPECT_GT(predicted, 0.7 * factors[at] * kMeanSeconds)
        << seed << ' ' << at;
      EXPECT_LT(predicted, 1.4 * factors[at] * kMeanSeconds)
        << seed << ' ' << at;
    }
  }
}

} // namespace
} // namespace magnoliatide::policy
