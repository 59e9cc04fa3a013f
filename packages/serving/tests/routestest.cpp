#include <serving/routes.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

Route makeRoute(const std::string &host, const std::string &prefix, const std::string &service)
{
    Route route;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{ServiceName(service), 1}};
    return route;
}

RouteTable makeTable(std::vector<Route> routes)
{
    Configuration configuration;
    configuration.version = ConfigVersion(3);
    configuration.routes = std::move(routes);
    return RouteTable(std::move(configuration));
}

TEST(RouteTable, uses_the_longest_matching_path_prefix_among_the_routes_of_the_host)
{
    const auto table = makeTable({makeRoute("a.example", "/x/", "short"), makeRoute("a.example", "/x/y/", "long"), makeRoute("b.example", "/x/y/z/", "other")});
    EXPECT_EQ(table.find("a.example", "/x/y/z/1")->services.front().service.value(), "long");
    EXPECT_EQ(table.find("a.example", "/x/1?q=/x/y/")->services.front().service.value(), "short");
    EXPECT_EQ(table.find("A.Example:80", "/x/1")->services.front().service.value(), "short");
    EXPECT_EQ(table.find("a.example", "/xy/1"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/1"), nullptr);
}

TEST(RouteTable, a_weighted_route_splits_by_weight_and_keeps_each_request_on_one_service)
{
    Route route = makeRoute("a.example", "/", "one");
    route.services = {{ServiceName("one"), 90}, {ServiceName("two"), 10}};
    int secondCount = 0;
    constexpr int requests = 10'000;
    for (int i = 0; i < requests; ++i) {
        const RequestId id("r" + std::to_string(i));
        EXPECT_EQ(RouteTable::serviceOf(route, id), RouteTable::serviceOf(route, id));
        secondCount += RouteTable::serviceOf(route, id).value() == "two" ? 1 : 0;
    }
    constexpr double expected = requests * 0.1;
    constexpr double tolerance = requests * 0.01;
    EXPECT_NEAR(secondCount, expected, tolerance);
}

TEST(RouteTable, knows_the_shortest_pause_that_is_on_time_for_each_service)
{
    auto slow = makeRoute("a.example", "/slow/", "llm");
    slow.maxEventPause = Milliseconds(600);
    auto fast = makeRoute("a.example", "/fast/", "llm");
    fast.maxEventPause = Milliseconds(250);
    fast.services.push_back({ServiceName("new"), 1});
    const auto table = makeTable({slow, fast, makeRoute("a.example", "/plain/", "app")});
    EXPECT_EQ(table.shortestPause(ServiceName("llm")), Milliseconds(250));
    EXPECT_EQ(table.shortestPause(ServiceName("new")), Milliseconds(250));
    EXPECT_EQ(table.shortestPause(ServiceName("app")), Milliseconds(0));
}

} // namespace
} // namespace baobabstall::serving
