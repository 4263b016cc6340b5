// Metrics in concurrent hash maps of oneTBB, with histograms of
// Boost.Histogram.
#include "magnoliatide/telemetry/metrics.h"

#include <boost/histogram.hpp>
#include <oneapi/tbb/concurrent_hash_map.h>

#include <map>
#include <sstream>

namespace magnoliatide::telemetry {

namespace {

namespace bh = boost::histogram;

/// Range and number of the logarithmic bins of a histogram.
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 100;
constexpr unsigned kBins = 48;

/// Prefix of the names of all series.
constexpr char kPrefix[] = "magnoliatide_";

/// Maximum number of counters and gauges together, and maximum number of
/// histograms. New series beyond it are aggregated in the series named
/// kOverflowSeries.
constexpr std::size_t kMaxSeries = 4096;
constexpr char kOverflowSeries[] = "further_series";

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using AtomicCount = bh::accumulators::count<std::uint64_t, true>;
using Histogram =
  bh::histogram<std::tuple<LogAxis>, bh::dense_storage<AtomicCount>>;

/// A histogram and the sum of its values.
struct Latency
{
  Histogram histogram{ std::make_tuple(
                         LogAxis(kBins, kMinSeconds, kMaxSeconds)),
                       bh::dense_storage<AtomicCount>() };
  std::atomic<std::uint64_t> sumMicros{ 0 };
};

using Counters =
  oneapi::tbb::concurrent_hash_map<std::string,
                                   std::shared_ptr<std::atomic<std::uint64_t>>>;
using Latencies =
  oneapi::tbb::concurrent_hash_map<std::string, std::shared_ptr<Latency>>;

/// Returns a label as `name="value"`, escaped as the text format requires.
std::string
LabelText(const Label& aLabel)
{
  std::string text = std::string(aLabel.name) + "=\"";
  for (const char c : std::string_view(aLabel.value)) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    if (c == '\n') {
      text += "\\n";
    } else {
      text += c;
    }
  }
  return text + '"';
}

/// Returns the name and labels of a series, such as `name{label="value"}`.
std::string
SeriesName(std::string_view aName, const std::vector<Label>& aLabels)
{
  std::string text(aName);
  char separator = '{';
  for (const auto& label : aLabels) {
    text += separator;
    text += LabelText(label);
    separator = ',';
  }
  if (separator == ',') {
    text += '}';
  }
  return text;
}

/// Returns the value of a series, and creates it if it does not exist.
template<typename Map>
typename Map::mapped_type
FindOrCreate(Map& aMap, const std::string& aSeries)
{
  {
    typename Map::const_accessor found;
    if (aMap.find(found, aSeries)) {
      return found->second;
    }
  }
  typename Map::accessor created;
  const bool full = aMap.size() >= kMaxSeries;
  if (aMap.insert(created, full ? std::string(kOverflowSeries) : aSeries)) {
    using Value = typename Map::mapped_type::element_type;
    created->second = std::make_shared<Value>();
  }
  return created->second;
}

/// The name and the labels of a series as separate strings, to which a suffix
/// and a further label can be added.
struct SeriesFields
{
  std::string name;
  std::string labels; ///< Without braces.
};

SeriesFields
SplitSeries(const std::string& aSeries)
{
  const auto brace = aSeries.find('{');
  if (brace == std::string::npos) {
    return { aSeries, "" };
  }
  return { aSeries.substr(0, brace),
           aSeries.substr(brace + 1, aSeries.size() - brace - 2) };
}

/// Writes a histogram as cumulative buckets, their sum and their count.
void
RenderLatency(std::ostream& aOut,
              const std::string& aSeries,
              const Latency& aLatency)
{
  const auto fields = SplitSeries(aSeries);
  const auto comma = fields.labels.empty() ? "" : ",";
  std::uint64_t cumulative = 0;
  for (const auto& bin : bh::indexed(aLatency.histogram, bh::coverage::all)) {
    cumulative += static_cast<std::uint64_t>(bin->value());
    const double upper = bin.bin().upper();
    aOut << kPrefix << fields.name << "_bucket{" << fields.labels << comma
         << "le=\"";
    if (upper > kMaxSeconds) {
      aOut << "+Inf";
    } else {
      aOut << upper;
    }
    aOut << "\"} " << cumulative << "\n";
  }
  const auto braces =
    fields.labels.empty() ? std::string() : "{" + fields.labels + "}";
  aOut << kPrefix << fields.name << "_sum" << braces << ' '
       << static_cast<double>(aLatency.sumMicros.load()) / 1e6 << "\n"
       << kPrefix << fields.name << "_count" << braces << ' ' << cumulative
       << "\n";
}

} // namespace

struct Metrics::Store
{
  Counters counters;
  Latencies latencies;
};

Metrics::Metrics()
  : mStore(std::make_unique<Store>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(std::string_view aName,
               const std::vector<Label>& aLabels,
               std::uint64_t aAmount)
{
  FindOrCreate(mStore->counters, SeriesName(aName, aLabels))
    ->fetch_add(aAmount);
}

void
Metrics::Set(std::string_view aName,
             const std::vector<Label>& aLabels,
             std::uint64_t aValue)
{
  FindOrCreate(mStore->counters, SeriesName(aName, aLabels))->store(aValue);
}

void
Metrics::Observe(std::string_view aName,
                 const std::vector<Label>& aLabels,
                 Duration aValue)
{
  const auto latency =
    FindOrCreate(mStore->latencies, SeriesName(aName, aLabels));
  latency->histogram(ToSeconds(aValue));
  latency->sumMicros.fetch_add(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aValue).count()));
}

void
Metrics::RemoveSeries(const Label& aLabel)
{
  const auto text = LabelText(aLabel);
  std::vector<std::string> removed;
  for (const auto& [series, value] : mStore->counters) {
    if (series.find(text) != std::string::npos) {
      removed.push_back(series);
    }
  }
  for (const auto& series : removed) {
    mStore->counters.erase(series);
  }
}

std::uint64_t
Metrics::Value(std::string_view aName, const std::vector<Label>& aLabels) const
{
  Counters::const_accessor found;
  const bool known = mStore->counters.find(found, SeriesName(aName, aLabels));
  return known ? found->second->load() : 0;
}

std::string
Metrics::Render() const
{
  std::map<std::string, std::uint64_t> counters;
  for (const auto& [series, value] : mStore->counters) {
    counters[series] = value->load();
  }
  std::ostringstream out;
  for (const auto& [series, value] : counters) {
    out << kPrefix << series << ' ' << value << "\n";
  }
  for (const auto& [series, latency] : mStore->latencies) {
    RenderLatency(out, series, *latency);
  }
  return out.str();
}

} // namespace magnoliatide::telemetry
