// Output of experiment results as tables, JSON and plots.
#include "report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <map>
#include <ostream>

namespace magnoliatide::load {

namespace {

double
Percentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto at = static_cast<long>(last * aFraction);
  std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
  return aValues[static_cast<std::size_t>(at)];
}

/// The sends of one traffic.
struct Group
{
  Summary summary;
  std::vector<double> firstByteMillis;
};

void
Add(const Record& aRecord, Group& aGroup)
{
  auto& summary = aGroup.summary;
  summary.sent += 1;
  switch (aRecord.outcome) {
    case SendOutcome::kComplete:
      summary.complete += 1;
      summary.inTime += aRecord.timeToEnd <= aRecord.deadline ? 1 : 0;
      aGroup.firstByteMillis.push_back(ToSeconds(aRecord.timeToFirstByte) *
                                       1000);
      break;
    case SendOutcome::kNotRun:
      summary.notRun += 1;
      break;
    case SendOutcome::kUnknown:
      summary.unknown += 1;
      break;
    case SendOutcome::kRunning:
      summary.running += 1;
      break;
    case SendOutcome::kCrossed:
      summary.crossed += 1;
      break;
    default:
      summary.cut += 1;
      break;
  }
}

boost::json::object
ToJson(const Summary& aSummary)
{
  return { { "traffic", aSummary.traffic },
           { "tier", aSummary.tier },
           { "sent", aSummary.sent },
           { "whole", aSummary.complete },
           { "in_time", aSummary.inTime },
           { "not_run", aSummary.notRun },
           { "unknown", aSummary.unknown },
           { "running", aSummary.running },
           { "cut", aSummary.cut },
           { "crossed", aSummary.crossed },
           { "first_ms_p50", aSummary.firstByteP50 },
           { "first_ms_p95", aSummary.firstByteP95 } };
}

boost::json::object
ToJson(const Findings& aFindings)
{
  boost::json::array examples;
  for (const auto& example : aFindings.examples) {
    examples.push_back(boost::json::value(example));
  }
  return { { "sends", aFindings.sends },
           { "crossed", aFindings.crossed },
           { "misframed", aFindings.misframed },
           { "double_runs", aFindings.doubleRuns },
           { "false_not_run", aFindings.falseNotRun },
           { "unrun_whole", aFindings.answeredButNotRun },
           { "tier_inversions", aFindings.tierInversions },
           { "examples", std::move(examples) } };
}

void
PrintRow(std::ostream& aOut, const Summary& aSummary)
{
  aOut << std::left << std::setw(16) << aSummary.traffic << std::right
       << std::setw(5) << aSummary.tier << std::setw(8) << aSummary.sent
       << std::setw(8) << aSummary.complete << std::setw(8) << aSummary.inTime
       << std::setw(8) << aSummary.notRun << std::setw(8) << aSummary.unknown
       << std::setw(8) << aSummary.running << std::setw(6) << aSummary.cut
       << std::setw(8) << aSummary.crossed << std::setw(10)
       << aSummary.firstByteP50 << std::setw(10) << aSummary.firstByteP95
       << "\n";
}

void
PrintFindings(std::ostream& aOut, const RunResultSet& aSet)
{
  const auto& findings = aSet.findings;
  const double wasted = aSet.prefilledTokens > 0
                          ? 100 * aSet.wastedTokens / aSet.prefilledTokens
                          : 0;
  aOut << "check: " << (findings.Passed() ? "passed" : "FAILED") << "; crossed "
       << findings.crossed << ", misframed " << findings.misframed
       << ", double runs " << findings.doubleRuns << ", false not-run "
       << findings.falseNotRun << ", answered but never run "
       << findings.answeredButNotRun << ", tier inversions "
       << findings.tierInversions << "; wasted prefill " << wasted << "%\n";
  for (const auto& example : findings.examples) {
    aOut << "  " << example << "\n";
  }
}

constexpr const char* kColours[] = { "#1b6ca8", "#c0392b", "#27ae60",
                                     "#8e44ad", "#d68910", "#555555" };
constexpr int kPlotWidth = 640;
constexpr int kPlotHeight = 360;
constexpr int kMargin = 60;

struct Point
{
  double load;     ///< Factor on the rates.
  double fraction; ///< Fraction of requests answered in time.
};

/// Returns by variant the fraction of requests of the most urgent tier that
/// were answered in time.
std::map<std::string, std::vector<Point>>
TopTierPoints(const std::vector<RunResultSet>& aSets)
{
  std::map<std::string, std::vector<Point>> lines;
  for (const auto& set : aSets) {
    int sent = 0;
    int inTime = 0;
    for (const auto& summary : Summarize(set.records)) {
      sent += summary.tier == 0 ? summary.sent : 0;
      inTime += summary.tier == 0 ? summary.inTime : 0;
    }
    const double fraction = sent == 0 ? 0 : static_cast<double>(inTime) / sent;
    lines[set.variant].push_back({ set.load, fraction });
  }
  return lines;
}

} // namespace

std::vector<Summary>
Summarize(const std::vector<Record>& aRecords)
{
  std::map<std::string, Group> groups;
  for (const auto& record : aRecords) {
    auto& group = groups[record.traffic];
    group.summary.traffic = record.traffic;
    group.summary.tier = record.tier;
    Add(record, group);
  }
  std::vector<Summary> summaries;
  for (auto& [name, group] : groups) {
    group.summary.firstByteP50 = Percentile(group.firstByteMillis, 0.5);
    group.summary.firstByteP95 = Percentile(group.firstByteMillis, 0.95);
    summaries.push_back(group.summary);
  }
  return summaries;
}

void
PrintTable(std::ostream& aOut, const std::vector<RunResultSet>& aSets)
{
  aOut << std::fixed << std::setprecision(1);
  for (const auto& set : aSets) {
    aOut << "\nvariant " << set.variant << ", load " << set.load << "\n"
         << "traffic          tier    sent   whole in-time not-run unknown "
            "running   cut crossed  p50 ms    p95 ms (first byte)\n";
    for (const auto& summary : Summarize(set.records)) {
      PrintRow(aOut, summary);
    }
    PrintFindings(aOut, set);
  }
}

void
PrintJson(std::ostream& aOut, const std::vector<RunResultSet>& aSets)
{
  boost::json::array array;
  for (const auto& set : aSets) {
    boost::json::array rows;
    for (const auto& summary : Summarize(set.records)) {
      rows.push_back(ToJson(summary));
    }
    array.push_back(
      boost::json::object{ { "variant", set.variant },
                           { "load", set.load },
                           { "traffic", std::move(rows) },
                           { "findings", ToJson(set.findings) },
                           { "prefilled_tokens", set.prefilledTokens },
                           { "wasted_tokens", set.wastedTokens } });
  }
  aOut << boost::json::serialize(array) << "\n";
}

void
WritePlot(const std::string& aPath, const std::vector<RunResultSet>& aSets)
{
  double maxLoad = 1;
  for (const auto& set : aSets) {
    maxLoad = std::max(maxLoad, set.load);
  }
  std::ofstream out(aPath);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPlotWidth
      << "\" height=\"" << kPlotHeight << "\">\n"
      << "<text x=\"60\" y=\"24\">Highest tier answered in time, by load "
         "(factor)</text>\n";
  int line = 0;
  for (const auto& [variant, points] : TopTierPoints(aSets)) {
    const char* colour = kColours[line % 6];
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
    for (const auto& point : points) {
      const double x =
        kMargin + point.load / maxLoad * (kPlotWidth - 2 * kMargin);
      const double y =
        kPlotHeight - kMargin - point.fraction * (kPlotHeight - 2 * kMargin);
      out << x << "," << y << " ";
    }
    out << "\"/>\n<text fill=\"" << colour << "\" x=\"" << kMargin << "\" y=\""
        << kPlotHeight - 40 + 14 * line << "\">" << variant << "</text>\n";
    line += 1;
  }
  out << "</svg>\n";
}

} // namespace magnoliatide::load
