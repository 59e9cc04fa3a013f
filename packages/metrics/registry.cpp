#include <metrics/registry.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

#include <boost/histogram.hpp>

namespace baobabstall::metrics {

namespace {

constexpr std::string_view prefix = "baobabstall_";
constexpr std::string_view folded = "other";
constexpr char between = '\x1f'; // separates label values in a key; no id has it
constexpr double msPerSecond = 1'000;

void writeNumber(std::string &text, double value)
{
    constexpr std::size_t longestNumber = 32;
    char digits[longestNumber];
    const auto end = std::to_chars(digits, digits + longestNumber, value);
    text.append(digits, end.ptr);
}

void writeEscaped(std::string &text, std::string_view value, bool quotes)
{
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '\\' || (quotes && c == '"')) {
            text += '\\';
        }
        text += c;
    }
}

void writeValue(std::string &text, double value)
{
    text += ' ';
    writeNumber(text, value);
    text += '\n';
}

double toSeconds(core::Milliseconds time)
{
    return static_cast<double>(time.count()) / msPerSecond;
}

/// Series of a family grouped by the value of one label.
std::map<std::string, std::vector<std::size_t>> groupBy(const SeriesTable &table, std::size_t label)
{
    std::map<std::string, std::vector<std::size_t>> groups;
    for (std::size_t series = 0; series < table.size(); ++series) {
        groups[table.labelValue(series, label)].push_back(series);
    }
    return groups;
}

} // namespace

SeriesTable::SeriesTable(Description description)
    : description_(std::move(description))
{ }

std::size_t SeriesTable::indexOf(Labels labels)
{
    std::string key = keyOf(labels, false);
    const auto found = indices_.find(key);
    if (found != indices_.end()) {
        return found->second;
    }
    if (labels.size() == 0 || size() < description_.maxSeries) {
        return add(std::move(key), labels, false);
    }
    key = keyOf(labels, true);
    const auto other = indices_.find(key);
    return other != indices_.end() ? other->second : add(std::move(key), labels, true);
}

std::optional<std::size_t> SeriesTable::find(Labels labels) const
{
    const auto found = indices_.find(keyOf(labels, false));
    return found == indices_.end() ? std::nullopt : std::optional(found->second);
}

std::string SeriesTable::keyOf(Labels labels, bool isFolded) const
{
    std::string key;
    for (const std::string_view value : labels) {
        key += isFolded && key.empty() ? folded : value;
        key += between;
    }
    return key;
}

std::size_t SeriesTable::add(std::string key, Labels labels, bool isFolded)
{
    std::vector<std::string> values(labels.begin(), labels.end());
    values.resize(description_.labels.size());
    if (isFolded) {
        values.front() = folded;
    }
    std::string written;
    for (std::size_t i = 0; i < values.size(); ++i) {
        written += (i == 0 ? "" : ",") + description_.labels[i] + "=\"";
        writeEscaped(written, values[i], true);
        written += '"';
    }
    indices_.emplace(std::move(key), size());
    prefixes_.push_back(std::move(written));
    values_.push_back(std::move(values));
    return size() - 1;
}

void SeriesTable::writeName(std::string &text, std::string_view suffix, std::size_t series, std::string_view extra) const
{
    text += prefix;
    text += description_.name;
    text += suffix;
    const std::string &labels = prefixes_.at(series);
    if (labels.empty() && extra.empty()) {
        return;
    }
    text += '{';
    text += labels;
    text += labels.empty() || extra.empty() ? "" : ",";
    text += extra;
    text += '}';
}

void SeriesTable::writeHeader(std::string &text, std::string_view type) const
{
    text.append("# HELP ").append(prefix).append(description_.name).append(" ");
    writeEscaped(text, description_.help, false);
    text.append("\n# TYPE ").append(prefix).append(description_.name).append(" ").append(type).append("\n");
}

Counter::Counter(Description description)
    : table_(std::move(description))
{
    if (table_.description().labels.empty()) {
        add({}, 0); // a counter without labels shows from the start
    }
}

void Counter::add(Labels labels, double by)
{
    const std::size_t series = table_.indexOf(labels);
    values_.resize(table_.size());
    values_[series] += by > 0 ? by : 0;
}

double Counter::value(Labels labels) const
{
    const auto series = table_.find(labels);
    return series ? values_.at(*series) : 0;
}

double Counter::total() const
{
    return std::accumulate(values_.begin(), values_.end(), 0.0);
}

std::vector<std::pair<std::string, double>> Counter::totalsBy(std::size_t label) const
{
    std::vector<std::pair<std::string, double>> totals;
    for (const auto &[value, members] : groupBy(table_, label)) {
        double sum = 0;
        for (const std::size_t series : members) {
            sum += values_.at(series);
        }
        totals.emplace_back(value, sum);
    }
    return totals;
}

void Counter::write(std::string &text) const
{
    table_.writeHeader(text, "counter");
    for (std::size_t series = 0; series < table_.size(); ++series) {
        table_.writeName(text, "", series, "");
        writeValue(text, values_.at(series));
    }
}

void Gauge::set(Labels labels, double value)
{
    const std::size_t series = table_.indexOf(labels);
    values_.resize(table_.size());
    values_[series] = value;
}

void Gauge::clear(Labels labels)
{
    const auto series = table_.find(labels);
    if (series) {
        values_.at(*series).reset();
    }
}

std::optional<double> Gauge::value(Labels labels) const
{
    const auto series = table_.find(labels);
    return series ? values_.at(*series) : std::nullopt;
}

void Gauge::write(std::string &text) const
{
    table_.writeHeader(text, "gauge");
    for (std::size_t series = 0; series < table_.size(); ++series) {
        if (values_.at(series)) {
            table_.writeName(text, "", series, "");
            writeValue(text, *values_.at(series));
        }
    }
}

struct Histogram::Buckets {
    using SeriesAxis = boost::histogram::axis::integer<int, boost::use_default, boost::histogram::axis::option::growth_t>;
    using BoundsAxis = boost::histogram::axis::variable<double, boost::use_default, boost::histogram::axis::option::overflow_t>;
    using Counts = boost::histogram::histogram<std::tuple<SeriesAxis, BoundsAxis>, boost::histogram::dense_storage<std::uint64_t>>;

    explicit Buckets(const std::vector<double> &bounds)
        : counts(std::tuple(SeriesAxis(0, 1), BoundsAxis(edgesOf(bounds))))
    { }

    /// Bins are open above and the bounds are inclusive, so each edge is the next number after its bound.
    static std::vector<double> edgesOf(const std::vector<double> &bounds)
    {
        std::vector<double> edges{0};
        for (const double bound : bounds) {
            edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
        }
        return edges;
    }

    [[nodiscard]] std::uint64_t at(std::size_t series, std::size_t bucket) const
    {
        const bool filled = static_cast<int>(series) < counts.axis(0).size(); // the axis grows by the first value of a series
        return filled ? std::uint64_t(counts.at(static_cast<int>(series), static_cast<int>(bucket))) : 0;
    }

    Counts counts;
};

Histogram::Histogram(Description description, std::vector<double> bounds)
    : table_(std::move(description))
    , bounds_(std::move(bounds))
    , buckets_(std::make_unique<Buckets>(bounds_))
{ }

Histogram::~Histogram() = default;

void Histogram::observe(Labels labels, core::Milliseconds time)
{
    observeAt(series(labels), toSeconds(time));
}

void Histogram::observe(Labels labels, double value)
{
    observeAt(series(labels), value);
}

void Histogram::observe(std::size_t series, core::Milliseconds time)
{
    observeAt(series, toSeconds(time));
}

std::size_t Histogram::series(Labels labels)
{
    const std::size_t index = table_.indexOf(labels);
    sums_.resize(table_.size());
    longest_.resize(table_.size());
    return index;
}

void Histogram::observeAt(std::size_t series, double value)
{
    const double counted = value > 0 ? value : 0; // not a number counts as 0 too
    buckets_->counts(static_cast<int>(series), counted);
    sums_.at(series) += counted;
    longest_.at(series) = std::max(longest_.at(series), counted);
}

Summary Histogram::summary(Labels labels) const
{
    const auto series = table_.find(labels);
    return series ? summaryOf({*series}) : Summary{};
}

Summary Histogram::summary() const
{
    std::vector<std::size_t> all(table_.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return summaryOf(all);
}

std::vector<std::pair<std::string, Summary>> Histogram::summariesBy(std::size_t label) const
{
    std::vector<std::pair<std::string, Summary>> summaries;
    for (const auto &[value, members] : groupBy(table_, label)) {
        summaries.emplace_back(value, summaryOf(members));
    }
    return summaries;
}

namespace {

/// The value below which `part` of the counts lie, interpolated within its bucket.
double quantile(const std::vector<std::uint64_t> &counts, const std::vector<double> &bounds, double longest, double part)
{
    const auto total = static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
    double before = 0;
    for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
        const auto here = static_cast<double>(counts[bucket]);
        if (here > 0 && before + here >= part * total) {
            const double from = bucket == 0 ? 0 : bounds[bucket - 1];
            const double to = std::min(longest, bucket < bounds.size() ? bounds[bucket] : longest);
            return from + (to - from) * (part * total - before) / here;
        }
        before += here;
    }
    return longest;
}

} // namespace

Summary Histogram::summaryOf(const std::vector<std::size_t> &series) const
{
    constexpr double median = 0.50;
    constexpr double high = 0.95;
    constexpr double highest = 0.99;
    std::vector<std::uint64_t> counts(bounds_.size() + 1);
    Summary summary;
    double sum = 0;
    for (const std::size_t each : series) {
        sum += sums_.at(each);
        summary.longest = std::max(summary.longest, longest_.at(each));
        for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
            counts[bucket] += buckets_->at(each, bucket);
        }
    }
    summary.count = std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    if (summary.count == 0) {
        return summary;
    }
    summary.mean = sum / static_cast<double>(summary.count);
    summary.p50 = quantile(counts, bounds_, summary.longest, median);
    summary.p95 = quantile(counts, bounds_, summary.longest, high);
    summary.p99 = quantile(counts, bounds_, summary.longest, highest);
    return summary;
}

void Histogram::write(std::string &text) const
{
    std::vector<std::string> bounds;
    for (const double bound : bounds_) {
        bounds.emplace_back("le=\"");
        writeNumber(bounds.back(), bound);
        bounds.back() += '"';
    }
    bounds.emplace_back("le=\"+Inf\"");
    table_.writeHeader(text, "histogram");
    for (std::size_t series = 0; series < table_.size(); ++series) {
        if (summaryOf({series}).count == 0) {
            continue;
        }
        double count = 0;
        for (std::size_t bucket = 0; bucket < bounds.size(); ++bucket) {
            count += static_cast<double>(buckets_->at(series, bucket));
            table_.writeName(text, "_bucket", series, bounds[bucket]);
            writeValue(text, count);
        }
        table_.writeName(text, "_sum", series, "");
        writeValue(text, sums_.at(series));
        table_.writeName(text, "_count", series, "");
        writeValue(text, count);
    }
}

Counter &Registry::counter(Description description)
{
    return *counters_.emplace_back(std::make_unique<Counter>(std::move(description)));
}

Gauge &Registry::gauge(Description description)
{
    return *gauges_.emplace_back(std::make_unique<Gauge>(std::move(description)));
}

Histogram &Registry::histogram(Description description, std::vector<double> bounds)
{
    return *histograms_.emplace_back(std::make_unique<Histogram>(std::move(description), std::move(bounds)));
}

std::string Registry::text() const
{
    std::string text;
    for (const auto &counter : counters_) {
        counter->write(text);
    }
    for (const auto &gauge : gauges_) {
        gauge->write(text);
    }
    for (const auto &histogram : histograms_) {
        histogram->write(text);
    }
    return text;
}

} // namespace baobabstall::metrics
