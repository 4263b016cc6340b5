// Tests that the series of departed servers are removed from Metrics, and that
// their names are escaped.
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

// Guards against a name from another program that makes the metrics unreadable.
TEST(Metrics, EscapesLabelValues)
{
  Metrics metrics;
  const std::string odd = "a\"} 1\n\\b";
  metrics.Count("sends_total", { { "server", odd } });
  EXPECT_NE(metrics.Render().find(R"(sends_total{server="a\"} 1\n\\b"} 1)"),
            std::string::npos)
    << metrics.Render();
  metrics.RemoveSeries({ "server", odd });
  EXPECT_EQ(metrics.Value("sends_total", { { "server", odd } }), 0u);
}

} // namespace
} // namespace magnoliatide::telemetry
