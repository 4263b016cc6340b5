// Reports of experiments as tables, JSON and plots.
#ifndef MAGNOLIATIDE_LOAD_REPORT_H
#define MAGNOLIATIDE_LOAD_REPORT_H

#include "experiment.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// Numbers of sends of one traffic by outcome.
struct Summary
{
  std::string traffic;
  int tier = 0;
  int sent = 0;
  int complete = 0;
  int inTime = 0; ///< Complete and within the deadline.
  int notRun = 0;
  int unknown = 0;
  int running = 0;
  int cut = 0; ///< All other outcomes: cut, lost, misframed or unreached.
  int crossed = 0;
  /// Percentiles of the milliseconds to the first byte of complete answers.
  double firstByteP50 = 0;
  double firstByteP95 = 0;
};

/// Summarizes the records by traffic.
std::vector<Summary>
Summarize(const std::vector<Record>& aRecords);

void
PrintTable(std::ostream& aOut, const std::vector<RunResultSet>& aSets);

void
PrintJson(std::ostream& aOut, const std::vector<RunResultSet>& aSets);

/// Writes an SVG plot of the fraction of requests of the most urgent tier that
/// were answered in time, by load and variant.
void
WritePlot(const std::string& aPath, const std::vector<RunResultSet>& aSets);

} // namespace magnoliatide::load

#endif
