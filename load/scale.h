// Measures the control plane overhead of a VM without requests, for several
// sizes of the fleet and of the document.
#ifndef MAGNOLIATIDE_LOAD_SCALE_H
#define MAGNOLIATIDE_LOAD_SCALE_H

#include "fleet.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// Size of the fleet and document of one measurement.
struct ScaleSize
{
  int vms = 8;
  int teams = 5;
  int engines = 12; ///< Engines in the document; none of them runs.
};

struct ScaleOptions
{
  std::string binaries;
  std::string folder;
  Duration settle = Seconds(6);  ///< Wait before the measurement.
  Duration measure = Seconds(8); ///< Length of the measurement.
  int trials = 5;                ///< Document changes, and VM kills, to time.
};

/// Measurements at one size, as means per VM unless stated otherwise.
struct ScaleRow
{
  ScaleSize size;
  double sentBytesPerSecond = 0;
  double receivedBytesPerSecond = 0;
  double datagramsPerSecond = 0;
  double corePercent = 0;
  double residentMegabytes = 0;
  double platformCallsPerSecond = 0; ///< Total of the fleet.
  double documentKilobytes = 0;
  double changeSeconds = 0;    ///< Maximum time until all VMs had a change.
  double detectionSeconds = 0; ///< Maximum time until all VMs saw a VM as dead.
};

ScaleRow
MeasureScale(const ScaleSize& aSize, const ScaleOptions& aOptions);

void
PrintScale(std::ostream& aOut, const std::vector<ScaleRow>& aRows, bool aJson);

} // namespace magnoliatide::load

#endif
