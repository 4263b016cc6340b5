// Measures the latency that one VM adds to a call, and its throughput.
#ifndef MAGNOLIATIDE_LOAD_LATENCY_H
#define MAGNOLIATIDE_LOAD_LATENCY_H

#include "fleet.h"

#include <iosfwd>

namespace magnoliatide::load {

/// Result of a measurement. Latencies are in milliseconds.
struct LatencyResult
{
  double directMedian = 0; ///< Calls sent directly to the server.
  double directP99 = 0;
  double throughMedian = 0; ///< Calls sent through one VM.
  double throughP99 = 0;
  double addedMedian = 0; ///< Median of the differences within pairs of calls.
  double callsPerSecond = 0;
  double coresUsed =
    0; ///< CPU cores the VM used in the throughput measurement.
};

/// Calls a plain service alternately directly and through one VM, on persistent
/// connections, then measures throughput of the VM with concurrent connections.
LatencyResult
MeasureLatency(const std::string& aBinaries,
               const std::string& aFolder,
               int aPairs,
               int aConnections,
               Duration aLength);

void
PrintLatency(std::ostream& aOut, const LatencyResult& aResult);

} // namespace magnoliatide::load

#endif
