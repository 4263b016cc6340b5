// Reports of experiments as tables, JSON and plots.
#ifndef MAGNOLIATIDE_LOAD_REPORT_H
#define MAGNOLIATIDE_LOAD_REPORT_H

#include "experiment.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// Totals of the sends of one traffic.
struct Summary
{
  std::string traffic;
  int tier = 0;
  int sent = 0;
  int whole = 0;
  int inTime = 0; ///< Complete and within the deadline.
  int notRun = 0;
  int unknown = 0;
  int running = 0;
  int cut = 0; ///< All other results: cut, lost, misframed or unreached.
  int crossed = 0;
  double firstP50 = 0; ///< Milliseconds to the first byte, complete answers.
  double firstP95 = 0;
};

/// Summarizes the records by traffic.
std::vector<Summary>
Summarize(const std::vector<Record>& aRecords);

void
PrintTable(std::ostream& aOut, const std::vector<RunResultSet>& aSets);

void
PrintJson(std::ostream& aOut, const std::vector<RunResultSet>& aSets);

/// Writes an SVG plot of the fraction of requests of the highest tier that were
/// answered in time, by load and variant.
void
WritePlot(const std::string& aPath, const std::vector<RunResultSet>& aSets);

} // namespace magnoliatide::load

#endif
