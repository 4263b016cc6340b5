// Counters, gauges and latency histograms in the Prometheus text format.
#ifndef MAGNOLIATIDE_TELEMETRY_METRICS_H
#define MAGNOLIATIDE_TELEMETRY_METRICS_H

#include "magnoliatide/core/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliatide::telemetry {

/// A label of a series.
struct Label
{
  std::string_view name;
  std::string_view value;
};

/// A registry of time series. Safe to use from several threads, except for
/// RemoveSeries(). Names are given without the prefix "magnoliatide_", which
/// Render() adds. The number of series is limited; new ones beyond the limit
/// are aggregated in the series "further_series".
///
///     metrics.Count("requests_total", { { "tier", "urgent" } });
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Adds to a counter.
  void Count(std::string_view aName,
             const std::vector<Label>& aLabels = {},
             std::uint64_t aAmount = 1);

  /// Sets a gauge.
  void Set(std::string_view aName,
           const std::vector<Label>& aLabels,
           std::uint64_t aValue);

  /// Adds a duration to a histogram, which is kept in seconds.
  void Observe(std::string_view aName,
               const std::vector<Label>& aLabels,
               Duration aValue);

  /// Removes all counters and gauges with a label, such as those of a server
  /// that has left. Histograms stay. No other call may be in progress.
  void RemoveSeries(const Label& aLabel);

  /// Returns the value of a counter or gauge, or zero if it does not exist.
  std::uint64_t Value(std::string_view aName,
                      const std::vector<Label>& aLabels = {}) const;

  /// Returns all series in the Prometheus text format.
  std::string Render() const;

private:
  struct Store;
  std::unique_ptr<Store> mStore;
};

} // namespace magnoliatide::telemetry

#endif
