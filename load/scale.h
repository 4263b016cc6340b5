// Measures what control costs a VM, at several sizes of the fleet and of the
// document, with no requests.
#ifndef MAGNOLIATIDE_LOAD_SCALE_H
#define MAGNOLIATIDE_LOAD_SCALE_H

#include "fleet.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// One size to measure.
struct ScaleSize
{
  int vms = 8;
  int teams = 5;
  int engines = 12; ///< In the document; none of them runs.
};

struct ScaleOptions
{
  std::string binaries;
  std::string folder;
  Duration settle = Seconds(6);  ///< Before the measurement.
  Duration measure = Seconds(8); ///< Length of the measurement.
  int trials = 5; ///< Of a change of document, and of a killed VM.
};

/// What was measured at one size. Means over the VMs, for one VM.
struct ScaleRow
{
  ScaleSize size;
  double sentBytesPerSecond = 0;
  double receivedBytesPerSecond = 0;
  double datagramsPerSecond = 0;
  double corePercent = 0;
  double residentMegabytes = 0;
  double platformCallsPerSecond = 0; ///< Of the whole fleet.
  double documentKilobytes = 0;
  double changeSeconds = 0;    ///< Worst time until a change was everywhere.
  double detectionSeconds = 0; ///< Worst time until a death was everywhere.
};

ScaleRow
MeasureScale(const ScaleSize& aSize, const ScaleOptions& aOptions);

void
PrintScale(std::ostream& aOut, const std::vector<ScaleRow>& aRows, bool aJson);

} // namespace magnoliatide::load

#endif
