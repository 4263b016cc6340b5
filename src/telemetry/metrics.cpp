// Series in concurrent maps of oneTBB; histograms by Boost.Histogram.
#include "magnoliatide/telemetry/metrics.h"

#include <boost/histogram.hpp>
#include <oneapi/tbb/concurrent_hash_map.h>

#include <map>
#include <sstream>

namespace magnoliatide::telemetry {

namespace {

namespace bh = boost::histogram;

constexpr double kLeastSeconds = 0.0001;
constexpr double kMostSeconds = 100;
constexpr unsigned kBins = 48;
constexpr char kPrefix[] = "magnoliatide_";

/// Series of each sort that are held; further ones count together.
constexpr std::size_t kMostSeries = 4096;
constexpr char kFurther[] = "further_series";

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using SafeCount = bh::accumulators::count<std::uint64_t, true>;
using Histogram =
  bh::histogram<std::tuple<LogAxis>, bh::dense_storage<SafeCount>>;

struct Latency
{
  Histogram histogram{ std::make_tuple(
                         LogAxis(kBins, kLeastSeconds, kMostSeconds)),
                       bh::dense_storage<SafeCount>() };
  std::atomic<std::uint64_t> sumMicros{ 0 };
};

using Counters =
  oneapi::tbb::concurrent_hash_map<std::string,
                                   std::shared_ptr<std::atomic<std::uint64_t>>>;
using Latencies =
  oneapi::tbb::concurrent_hash_map<std::string, std::shared_ptr<Latency>>;

std::string
SeriesName(std::string_view aName, const std::vector<Label>& aLabels)
{
  std::string text(aName);
  char separator = '{';
  for (const auto& label : aLabels) {
    text += separator;
    text += label.name;
    text += "=\"";
    text += label.value;
    text += '"';
    separator = ',';
  }
  if (separator == ',') {
    text += '}';
  }
  return text;
}

template<typename Map>
typename Map::mapped_type
Cell(Map& aMap, const std::string& aSeries)
{
  {
    typename Map::const_accessor found;
    if (aMap.find(found, aSeries)) {
      return found->second;
    }
  }
  typename Map::accessor made;
  const bool full = aMap.size() >= kMostSeries;
  if (aMap.insert(made, full ? std::string(kFurther) : aSeries)) {
    using Value = typename Map::mapped_type::element_type;
    made->second = std::make_shared<Value>();
  }
  return made->second;
}

/// Splits "name{labels}" so that a suffix and a label can be added.
struct SeriesParts
{
  std::string name;
  std::string labels; ///< Without braces.
};

SeriesParts
Split(const std::string& aSeries)
{
  const auto brace = aSeries.find('{');
  if (brace == std::string::npos) {
    return { aSeries, "" };
  }
  return { aSeries.substr(0, brace),
           aSeries.substr(brace + 1, aSeries.size() - brace - 2) };
}

void
RenderLatency(std::ostream& aOut,
              const std::string& aSeries,
              const Latency& aLatency)
{
  const auto parts = Split(aSeries);
  const auto comma = parts.labels.empty() ? "" : ",";
  std::uint64_t below = 0;
  for (const auto& bin : bh::indexed(aLatency.histogram, bh::coverage::all)) {
    below += static_cast<std::uint64_t>(bin->value());
    const double upper = bin.bin().upper();
    aOut << kPrefix << parts.name << "_bucket{" << parts.labels << comma
         << "le=\"";
    if (upper > kMostSeconds) {
      aOut << "+Inf";
    } else {
      aOut << upper;
    }
    aOut << "\"} " << below << "\n";
  }
  const auto braces =
    parts.labels.empty() ? std::string() : "{" + parts.labels + "}";
  aOut << kPrefix << parts.name << "_sum" << braces << ' '
       << static_cast<double>(aLatency.sumMicros.load()) / 1e6 << "\n"
       << kPrefix << parts.name << "_count" << braces << ' ' << below << "\n";
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
  Cell(mStore->counters, SeriesName(aName, aLabels))->fetch_add(aAmount);
}

void
Metrics::Set(std::string_view aName,
             const std::vector<Label>& aLabels,
             std::uint64_t aValue)
{
  Cell(mStore->counters, SeriesName(aName, aLabels))->store(aValue);
}

void
Metrics::Observe(std::string_view aName,
                 const std::vector<Label>& aLabels,
                 Duration aValue)
{
  const auto latency = Cell(mStore->latencies, SeriesName(aName, aLabels));
  latency->histogram(ToSeconds(aValue));
  latency->sumMicros.fetch_add(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aValue).count()));
}

void
Metrics::Forget(const Label& aLabel)
{
  const std::string text =
    std::string(aLabel.name) + "=\"" + std::string(aLabel.value) + '"';
  std::vector<std::string> gone;
  for (const auto& [series, value] : mStore->counters) {
    if (series.find(text) != std::string::npos) {
      gone.push_back(series);
    }
  }
  for (const auto& series : gone) {
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
