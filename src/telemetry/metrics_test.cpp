// Tests that the series of departed servers are removed from Metrics.
#include "magnoliatide/telemetry/metrics.h"

#include <gtest/gtest.h>

namespace magnoliatide::telemetry {
namespace {

// Each restarted server has a new name. If the series of departed servers stay,
// the limit on series is reached, and every new series, whatever it counts, is
// aggregated in further_series.
TEST(Metrics, RemovesSeriesOfDepartedServers)
{
  constexpr int kServers = 6000;
  Metrics metrics;
  for (int i = 0; i < kServers; ++i) {
    const auto server = "i-" + std::to_string(i);
    metrics.Count("sends_total",
                  { { "server", server }, { "result", "whole" } });
    metrics.RemoveSeries({ "server", server });
  }
  metrics.Count("requests_total", { { "tier", "1" } });
  EXPECT_EQ(metrics.Value("requests_total", { { "tier", "1" } }), 1u);
  EXPECT_EQ(metrics.Value("further_series"), 0u);
  EXPECT_EQ(metrics.Render().find("i-17"), std::string::npos);
}

TEST(Metrics, RemovesOnlySeriesWithTheGivenLabel)
{
  Metrics metrics;
  metrics.Count("sends_total", { { "server", "i-1" } });
  metrics.Count("sends_total", { { "server", "i-11" } });
  metrics.RemoveSeries({ "server", "i-1" });
  EXPECT_EQ(metrics.Value("sends_total", { { "server", "i-1" } }), 0u);
  EXPECT_EQ(metrics.Value("sends_total", { { "server", "i-11" } }), 1u);
}

} // namespace
} // namespace magnoliatide::telemetry
