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
  std::string binaries;          ///< Build folder.
  std::string folder;            ///< For settings and logs.
  Duration settle = Seconds(6);  ///< Wait after the start of the fleet.
  Duration measure = Seconds(8); ///< Length of the measurement.
  int trials = 5;                ///< Document changes, and VM kills, to time.
};

/// Measurements at one size. Rates and memory are means per VM unless stated
/// otherwise. The times are maxima over the trials.
struct ScaleRow
{
  ScaleSize size;
  double sentBytesPerSecond = 0;
  double receivedBytesPerSecond = 0;
  double datagramsPerSecond = 0;
  double corePercent = 0; ///< CPU time in percent of one core.
  double residentMegabytes = 0;
  double platformCallsPerSecond = 0; ///< Total of the fleet.
  double documentKilobytes = 0;      ///< Size of the document text.
  /// Maximum time from publishing a document until it is active at all VMs.
  double changeSeconds = 0;
  /// Maximum time from killing a VM until all others report it as dead.
  double detectionSeconds = 0;
};

/// Starts a fleet of one size and measures it. Throws std::runtime_error if the
/// fleet is not ready in time.
ScaleRow
MeasureScale(const ScaleSize& aSize, const ScaleOptions& aOptions);

void
PrintScale(std::ostream& aOut, const std::vector<ScaleRow>& aRows, bool aJson);

} // namespace magnoliatide::load

#endif
