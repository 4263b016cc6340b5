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
  /// Mean number of CPU cores that the VM used while throughput was measured.
  double coresUsed = 0;
};

/// Measures latency with pairs of calls to a plain service, one sent directly
/// and one through a VM, on persistent connections. Then measures the
/// throughput of the VM with concurrent connections. Throws std::runtime_error
/// if the fleet is not ready in time or a call of a pair fails.
///
/// @param aBinaries Build folder.
/// @param aFolder Folder for settings and logs.
/// @param aPairs Number of call pairs.
/// @param aConnections Number of connections of the throughput measurement.
/// @param aLength Duration of the throughput measurement.
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
