// Series stay as many as there are things to count.
#include "magnoliatide/telemetry/metrics.h"

#include <gtest/gtest.h>

namespace magnoliatide::telemetry {
namespace {

// Servers come and go under new names: once the series were full, all new ones
// counted together, whatever they were of.
TEST(Metrics, ServersThatAreGoneMakeRoom)
{
  constexpr int kServers = 6000;
  Metrics metrics;
  for (int i = 0; i < kServers; ++i) {
    const auto server = "i-" + std::to_string(i);
    metrics.Count("sends_total",
                  { { "server", server }, { "result", "whole" } });
    metrics.Forget({ "server", server });
  }
  metrics.Count("requests_total", { { "tier", "1" } });
  EXPECT_EQ(metrics.Value("requests_total", { { "tier", "1" } }), 1u);
  EXPECT_EQ(metrics.Value("further_series"), 0u);
  EXPECT_EQ(metrics.Render().find("i-17"), std::string::npos);
}

TEST(Metrics, OnlyTheNamedOneIsForgotten)
{
  Metrics metrics;
  metrics.Count("sends_total", { { "server", "i-1" } });
  metrics.Count("sends_total", { { "server", "i-11" } });
  metrics.Forget({ "server", "i-1" });
  EXPECT_EQ(metrics.Value("sends_total", { { "server", "i-1" } }), 0u);
  EXPECT_EQ(metrics.Value("sends_total", { { "server", "i-11" } }), 1u);
}

} // namespace
} // namespace magnoliatide::telemetry
