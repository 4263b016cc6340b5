// Counters and latency histograms, shown in the Prometheus text form.
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

struct Label
{
  std::string_view name;
  std::string_view value;
};

/// A registry of series. Safe to use from several threads.
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

  /// Adds a duration to a histogram, kept in seconds.
  void Observe(std::string_view aName,
               const std::vector<Label>& aLabels,
               Duration aValue);

  /// Drops the counters of something that is gone for good, known by a label.
  /// No other call may be in progress.
  void Forget(const Label& aLabel);

  /// Returns a counter's or gauge's value, zero if it has none.
  std::uint64_t Value(std::string_view aName,
                      const std::vector<Label>& aLabels = {}) const;

  /// Returns all series as Prometheus text.
  std::string Render() const;

private:
  struct Store;
  std::unique_ptr<Store> mStore;
};

} // namespace magnoliatide::telemetry

#endif
