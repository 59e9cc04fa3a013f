// metrics/registry.h: counters, gauges and histograms with labels, and their text for Prometheus.
//
// Index
//   Labels           the label values of one series
//   Summary          quantiles of a histogram, for people
//   Counter          a sum that only rises
//   Gauge            a value that goes up and down
//   Histogram        counts of values by bucket
//   Registry         all of them, and text()
//
//   Registry registry;
//   auto &wait = registry.histogram({"queue_wait_seconds", "time in an engine's queue", {"customer", "plan"}}, waitBounds);
//   wait.observe({"swell-camp", "gold"}, Milliseconds(12));
//   body = registry.text();
//
// How many series. Each family has a bound. Once it is reached, a new combination of labels is counted with its first label
// replaced by "other", so that the memory is bounded and sums over the other labels stay whole. Put the label with many
// values (customer, engine) first. The first to come keep series of their own until the process ends.
//
// Limits. Not thread-safe. Times are whole milliseconds inside and seconds in the text, as Prometheus has them. Quantiles
// are interpolated within a bucket, so they are as exact as the bounds are close. Counts are lost when the process ends.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <core/types.h>

namespace baobabstall::metrics {

using Labels = std::initializer_list<std::string_view>; // values in the order of the family's label names

/// What a family is, for the text.
struct Description {
    std::string name;                // without the "baobabstall_" that all get; a unit as the last word
    std::string help;                // one line
    std::vector<std::string> labels; // names; empty: one series
    std::size_t maxSeries = 1'024;   // over it the first label becomes "other"
};

/// Quantiles of one histogram, or of many added up. Times are in seconds.
struct Summary {
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double longest = 0; // exact
};

/// Which series a family has; shared by all kinds.
class SeriesTable
{
public:
    explicit SeriesTable(Description description);

    [[nodiscard]] std::size_t indexOf(Labels labels); // makes the series, or folds it, when it is new
    [[nodiscard]] std::optional<std::size_t> find(Labels labels) const;
    [[nodiscard]] std::size_t size() const { return values_.size(); }
    [[nodiscard]] const Description &description() const { return description_; }
    [[nodiscard]] const std::string &labelValue(std::size_t series, std::size_t label) const { return values_.at(series).at(label); }
    /// name{label="value",...}; `extra` is one more label, already escaped, for a histogram's bounds.
    void writeName(std::string &text, std::string_view suffix, std::size_t series, std::string_view extra) const;
    void writeHeader(std::string &text, std::string_view type) const;

private:
    [[nodiscard]] std::string keyOf(Labels labels, bool folded) const;
    std::size_t add(std::string key, Labels labels, bool folded);

    Description description_;
    std::unordered_map<std::string, std::size_t> indices_;
    std::vector<std::vector<std::string>> values_;
    std::vector<std::string> prefixes_; // label="value",... of each series, escaped
};

/// A sum that only rises.
class Counter
{
public:
    explicit Counter(Description description);

    void add(Labels labels = {}, double by = 1);
    [[nodiscard]] double value(Labels labels = {}) const; // 0 for a series that is not there
    [[nodiscard]] double total() const;
    [[nodiscard]] std::vector<std::pair<std::string, double>> totalsBy(std::size_t label) const; // added up for each value of one label
    void write(std::string &text) const;

private:
    SeriesTable table_;
    std::vector<double> values_;
};

/// A value that goes up and down.
class Gauge
{
public:
    explicit Gauge(Description description)
        : table_(std::move(description))
    { }

    void set(Labels labels, double value);
    void set(double value) { set({}, value); }
    void clear(Labels labels); // leaves the series out of the text: an engine that is gone
    [[nodiscard]] std::optional<double> value(Labels labels = {}) const;
    void write(std::string &text) const;

private:
    SeriesTable table_;
    std::vector<std::optional<double>> values_;
};

/// Counts of values by bucket, kept in one Boost.Histogram with an axis of series and an axis of buckets.
class Histogram
{
public:
    /// `bounds` are the upper bounds of the buckets, rising, each inclusive; a last bucket without bound is added.
    Histogram(Description description, std::vector<double> bounds);
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    void observe(Labels labels, core::Milliseconds time); // in a family of seconds
    void observe(Labels labels, double value);            // below 0 counts as 0
    /// For values that come in quick succession: look the series up once.
    [[nodiscard]] std::size_t series(Labels labels);
    void observe(std::size_t series, core::Milliseconds time);

    [[nodiscard]] Summary summary(Labels labels) const;                                              // of one series; all zeros when it is not there
    [[nodiscard]] Summary summary() const;                                                           // of all series
    [[nodiscard]] std::vector<std::pair<std::string, Summary>> summariesBy(std::size_t label) const; // for each value of one label
    void write(std::string &text) const;

private:
    struct Buckets;

    void observeAt(std::size_t series, double value);
    [[nodiscard]] Summary summaryOf(const std::vector<std::size_t> &series) const;

    SeriesTable table_;
    std::vector<double> bounds_;
    std::vector<double> sums_;    // by series
    std::vector<double> longest_; // by series
    std::unique_ptr<Buckets> buckets_;
};

/// Owns the families and writes them in the order they were made. References stay valid as long as the registry.
class Registry
{
public:
    Counter &counter(Description description);
    Gauge &gauge(Description description);
    Histogram &histogram(Description description, std::vector<double> bounds);

    /// Prometheus text, version 0.0.4. Histogram series without a value are left out.
    [[nodiscard]] std::string text() const;
    static constexpr std::string_view contentType = "text/plain; version=0.0.4; charset=utf-8";

private:
    std::vector<std::unique_ptr<Counter>> counters_;
    std::vector<std::unique_ptr<Gauge>> gauges_;
    std::vector<std::unique_ptr<Histogram>> histograms_;
};

} // namespace baobabstall::metrics
