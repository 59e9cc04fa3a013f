#include <cmath>
#include <limits>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <metrics/metrics.h>

namespace baobabstall::metrics {

namespace {

using core::Milliseconds;
using testing::HasSubstr;
using testing::Not;

} // namespace

TEST(Registry, writes_counters_and_gauges)
{
    Registry registry;
    registry.counter({"requests_total", "requests", {"plan"}}).add({"gold"}, 2);
    registry.gauge({"ready", "whether it is", {}}).set(1);
    EXPECT_EQ(registry.text(),
              "# HELP baobabstall_requests_total requests\n"
              "# TYPE baobabstall_requests_total counter\n"
              "baobabstall_requests_total{plan=\"gold\"} 2\n"
              "# HELP baobabstall_ready whether it is\n"
              "# TYPE baobabstall_ready gauge\n"
              "baobabstall_ready 1\n");
}

TEST(Registry, writes_histograms_cumulatively_in_seconds)
{
    Registry registry;
    auto &wait = registry.histogram({"wait_seconds", "wait", {"customer"}}, {0.1, 1});
    wait.observe({"a"}, Milliseconds(50));
    wait.observe({"a"}, Milliseconds(500));
    wait.observe({"a"}, Milliseconds(5'000));
    EXPECT_EQ(registry.text(),
              "# HELP baobabstall_wait_seconds wait\n"
              "# TYPE baobabstall_wait_seconds histogram\n"
              "baobabstall_wait_seconds_bucket{customer=\"a\",le=\"0.1\"} 1\n"
              "baobabstall_wait_seconds_bucket{customer=\"a\",le=\"1\"} 2\n"
              "baobabstall_wait_seconds_bucket{customer=\"a\",le=\"+Inf\"} 3\n"
              "baobabstall_wait_seconds_sum{customer=\"a\"} 5.55\n"
              "baobabstall_wait_seconds_count{customer=\"a\"} 3\n");
}

TEST(Registry, escapes_label_values)
{
    Registry registry;
    registry.counter({"x_total", "a\nb", {"name"}}).add({"q\"b\\n\nl"});
    EXPECT_THAT(registry.text(), HasSubstr("{name=\"q\\\"b\\\\n\\nl\"} 1\n"));
    EXPECT_THAT(registry.text(), HasSubstr("# HELP baobabstall_x_total a\\nb\n"));
}

TEST(Histogram, a_bound_belongs_to_its_bucket)
{
    Registry registry;
    registry.histogram({"x", "x", {}}, {0.1, 1}).observe({}, 0.1);
    EXPECT_THAT(registry.text(), HasSubstr("le=\"0.1\"} 1\n"));
}

TEST(Histogram, takes_any_number)
{
    Registry registry;
    auto &histogram = registry.histogram({"x", "x", {}}, {0.1, 1});
    for (const double value : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 1e300}) {
        histogram.observe({}, value);
    }
    EXPECT_EQ(histogram.summary().count, 4U);
}

TEST(Histogram, a_series_without_a_value_is_left_out)
{
    Registry registry;
    auto &histogram = registry.histogram({"x", "x", {"customer"}}, {1});
    const std::size_t series = histogram.series({"quiet"});
    EXPECT_THAT(registry.text(), Not(HasSubstr("quiet")));
    EXPECT_EQ(histogram.summary({"quiet"}).count, 0U);
    histogram.observe(series, Milliseconds(1));
    EXPECT_THAT(registry.text(), HasSubstr("quiet"));
}

TEST(Histogram, summarizes_by_quantiles)
{
    Registry registry;
    auto &histogram = registry.histogram({"x", "x", {"customer", "plan"}}, {0.1, 0.2, 0.4, 0.8, 1.6});
    for (int i = 1; i <= 100; ++i) {
        histogram.observe({i % 2 == 0 ? "a" : "b", "gold"}, Milliseconds(i * 10));
    }
    const Summary all = histogram.summary();
    EXPECT_EQ(all.count, 100U);
    EXPECT_NEAR(all.mean, 0.505, 1e-9);
    EXPECT_NEAR(all.p50, 0.5, 0.05);
    EXPECT_NEAR(all.p95, 0.95, 0.05);
    EXPECT_NEAR(all.p99, 0.99, 0.05);
    EXPECT_DOUBLE_EQ(all.longest, 1.0);
    EXPECT_EQ(histogram.summary({"a", "gold"}).count, 50U);
    ASSERT_EQ(histogram.summariesBy(1).size(), 1U);
    EXPECT_EQ(histogram.summariesBy(1).front().second.count, 100U);
}

TEST(Histogram, customers_over_the_bound_fold_under_their_plan)
{
    Registry registry;
    auto &histogram = registry.histogram({"x", "x", {"customer", "plan"}, 2}, {1});
    for (const auto *customer : {"a", "b", "c", "d", "a"}) {
        histogram.observe({customer, "gold"}, 0.5);
    }
    histogram.observe({"e", "basic"}, 0.5);
    EXPECT_EQ(histogram.summary({"a", "gold"}).count, 2U);
    EXPECT_EQ(histogram.summary({"c", "gold"}).count, 0U);
    EXPECT_EQ(histogram.summary({"other", "gold"}).count, 2U);
    EXPECT_EQ(histogram.summary({"other", "basic"}).count, 1U);
    EXPECT_EQ(histogram.summary().count, 6U);
}

TEST(Counter, never_falls)
{
    Registry registry;
    auto &counter = registry.counter({"x_total", "x", {"a", "b"}});
    counter.add({"1", "2"}, 5);
    counter.add({"1", "3"}, 2);
    counter.add({"1", "2"}, -5);
    EXPECT_DOUBLE_EQ(counter.value({"1", "2"}), 5);
    EXPECT_DOUBLE_EQ(counter.total(), 7);
    EXPECT_EQ(counter.totalsBy(0), (std::vector<std::pair<std::string, double>>{{"1", 7}}));
}

TEST(Gauge, a_cleared_series_is_gone)
{
    Registry registry;
    auto &gauge = registry.gauge({"x", "x", {"engine"}});
    gauge.set({"engine-1"}, 3);
    gauge.clear({"engine-1"});
    EXPECT_FALSE(gauge.value({"engine-1"}));
    EXPECT_THAT(registry.text(), Not(HasSubstr("engine-1")));
}

TEST(Metrics, counts_refusals_by_reason_and_step)
{
    Metrics metrics;
    metrics.onRefusal(core::Error{.step = core::Step::Limit, .peer = {}, .reason = {}, .refusal = core::Refusal::TooMany});
    EXPECT_DOUBLE_EQ(metrics.refusals.value({"too_many_requests", "limit"}), 1);
}

TEST(Metrics, status_has_a_line_for_each_wait_and_plan)
{
    Metrics metrics;
    metrics.loadStall.observe({"swell-camp", "gold"}, Milliseconds(250));
    const auto lines = forStatus(metrics);
    ASSERT_EQ(lines.size(), 6U);
    EXPECT_EQ(lines[0].plan, "all");
    EXPECT_EQ(lines[1].plan, "gold");
    EXPECT_DOUBLE_EQ(lines[1].summary.longest, 0.25);
}

TEST(Metrics, memory_stays_bounded_by_customers)
{
    Metrics metrics;
    constexpr int customers = 8'000;
    for (int i = 0; i < customers; ++i) {
        metrics.queueWait.observe({"customer-" + std::to_string(i), "gold"}, Milliseconds(i));
    }
    EXPECT_EQ(metrics.queueWait.summariesBy(0).size(), Metrics::maxCustomers + 1);
    EXPECT_EQ(metrics.queueWait.summary().count, 8'000U);
}

} // namespace baobabstall::metrics
