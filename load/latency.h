// Measures what one VM adds to a call, and how many calls it carries.
#ifndef MAGNOLIATIDE_LOAD_LATENCY_H
#define MAGNOLIATIDE_LOAD_LATENCY_H

#include "fleet.h"

#include <iosfwd>

namespace magnoliatide::load {

struct LatencyResult
{
  double directMedian = 0; ///< Milliseconds, calling the server directly.
  double directP99 = 0;
  double throughMedian = 0; ///< Milliseconds, through one VM.
  double throughP99 = 0;
  double addedMedian = 0; ///< Median of the differences of the pairs.
  double callsPerSecond = 0;
  double coresUsed = 0; ///< By the VM during the throughput measurement.
};

/// Calls a plain service directly and through one VM, in turn, on kept
/// connections; then calls through the VM on many connections at once.
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
