// Reports of experiments, for a person and for a program.
#ifndef MAGNOLIATIDE_LOAD_REPORT_H
#define MAGNOLIATIDE_LOAD_REPORT_H

#include "experiment.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace magnoliatide::load {

/// Sums over the sends of one traffic.
struct Summary
{
  std::string traffic;
  int tier = 0;
  int sent = 0;
  int whole = 0;
  int inTime = 0; ///< Whole, and within the deadline.
  int notRun = 0;
  int unknown = 0;
  int running = 0;
  int cut = 0; ///< Cut or lost.
  int crossed = 0;
  double firstP50 = 0; ///< Milliseconds to the first byte, whole answers.
  double firstP95 = 0;
};

/// Sums up the records, by traffic.
std::vector<Summary>
Summarize(const std::vector<Record>& aRecords);

void
PrintTable(std::ostream& aOut, const std::vector<RunResultSet>& aSets);

void
PrintJson(std::ostream& aOut, const std::vector<RunResultSet>& aSets);

/// Draws the part of requests answered in time, by load and variant.
void
WritePlot(const std::string& aPath, const std::vector<RunResultSet>& aSets);

} // namespace magnoliatide::load

#endif
