#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <platform/platform.h>

namespace baobabstall::platform {

using core::Milliseconds;
using core::Offset;
using net::Task;

namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// A log and a host list in this process. Faults are members.
class FakePlatform
{
public:
    Task<void> serve(net::Exchange &exchange)
    {
        const auto &request = exchange.request();
        if (request.path() == "/hosts") {
            co_await exchange.respond(net::HttpResponse::json(hostsStatus, hosts));
        } else if (outages > 0) {
            --outages;
            co_await exchange.respond(net::HttpResponse::json(503, "{}"));
        } else if (request.method == "POST") {
            co_await append(exchange);
        } else {
            co_await exchange.respond(net::HttpResponse::json(200, page(std::stoull(request.query("from").value())).dump()));
        }
    }

    std::vector<json> records;
    std::size_t first = 1;
    int loseAnswers = 0; // appends that take effect and answer 500
    int outages = 0;     // calls answered with 503
    int hostsStatus = 200;
    std::string hosts = R"({"as_of_ms":5,"hosts":[]})";

private:
    Task<void> append(net::Exchange &exchange)
    {
        records.push_back(json::parse(exchange.request().body));
        if (loseAnswers > 0) {
            --loseAnswers;
            co_await exchange.respond(net::HttpResponse::json(500, "{}"));
        } else {
            co_await exchange.respond(net::HttpResponse::json(200, json{{"offset", records.size()}}.dump()));
        }
    }

    [[nodiscard]] json page(std::size_t from) const
    {
        json list = json::array();
        for (auto offset = std::max(from, first); offset <= records.size(); ++offset) {
            list.push_back({{"offset", offset}, {"time_ms", 1}, {"data", records[offset - 1]}});
        }
        return {{"first", first}, {"next", records.size() + 1}, {"records", list}};
    }
};

class PlatformTest : public testing::Test
{
public:
    PlatformTest()
        : server(io, {}, [this](net::Exchange &exchange) { return platform.serve(exchange); })
    {
        core::Error none;
        endpoint.address = server.listen({"127.0.0.1", 0}, none).value();
        endpoint.firstRetry = Milliseconds(1);
        endpoint.longestRetry = Milliseconds(2);
        endpoint.hostsPoll = Milliseconds(1);
        log.emplace(io, http, endpoint);
    }

    template<typename T>
    T run(Task<T> task)
    {
        std::optional<T> result;
        asio::co_spawn(io, std::move(task), [&](std::exception_ptr failed, T value) {
            EXPECT_FALSE(failed);
            result.emplace(std::move(value));
            io.stop();
        });
        io.run();
        io.restart();
        return std::move(*result);
    }

    asio::io_context io;
    FakePlatform platform;
    net::HttpServer server;
    net::HttpClient http{io};
    Endpoint endpoint;
    std::optional<LogClient> log;
    core::Error why;
};

} // namespace

TEST_F(PlatformTest, an_append_whose_answer_was_lost_stands_once_in_the_log)
{
    platform.loseAnswers = 1;
    EXPECT_EQ(run(log->append("lists", "a", R"({"id":"a"})", why)), Offset(1));
    EXPECT_EQ(run(log->append("lists", "b", R"({"id":"b"})", why)), Offset(2));
    EXPECT_EQ(platform.records.size(), 2U);
}

TEST_F(PlatformTest, an_append_waits_out_a_short_outage)
{
    platform.records.push_back({{"id", "old"}});
    EXPECT_EQ(run(log->append("lists", "a", R"({"id":"a"})", why)), Offset(2));
    platform.outages = 2;
    EXPECT_EQ(run(log->append("lists", "b", R"({"id":"b"})", why)), Offset(3));
    EXPECT_EQ(platform.records.size(), 3U);
}

TEST_F(PlatformTest, an_append_in_a_long_outage_fails_and_says_so)
{
    platform.outages = 1'000;
    EXPECT_FALSE(run(log->append("lists", "a", R"({"id":"a"})", why)));
    EXPECT_EQ(why.step, core::Step::Log);
    EXPECT_EQ(why.peer, endpoint.address.text());
    EXPECT_EQ(why.outcome, core::Outcome::NotRun);
}

TEST_F(PlatformTest, one_try_of_an_append_says_whether_it_may_have_taken_effect)
{
    EXPECT_EQ(run(log->appendOnce("lists", R"({"id":"a"})", why)), Offset(1));
    platform.loseAnswers = 1;
    EXPECT_FALSE(run(log->appendOnce("lists", R"({"id":"b"})", why)));
    EXPECT_EQ(why.outcome, core::Outcome::Unknown);
    platform.outages = 1;
    EXPECT_FALSE(run(log->appendOnce("lists", R"({"id":"c"})", why)));
    EXPECT_EQ(why.outcome, core::Outcome::NotRun);
    EXPECT_EQ(platform.records.size(), 2U);
}

TEST_F(PlatformTest, a_follower_tells_records_gaps_outage_and_recovery)
{
    platform.records = {{{"id", "a"}}, {{"id", "b"}}, {{"id", "c"}}};
    platform.first = 2;
    platform.outages = 3;
    std::vector<std::string> told;
    std::optional<LogFollower> follower;
    FollowerEvents events;
    events.onRecord = [&](const LogRecord &record) { told.push_back("record " + std::to_string(record.offset.value())); };
    events.onGap = [&](Offset first) { told.push_back("gap " + std::to_string(first.value())); };
    events.onOutage = [&](const core::Error &) { told.emplace_back("outage"); };
    events.onRecovery = [&](Milliseconds) { told.emplace_back("recovery"); };
    events.onCaughtUp = [&](Offset next) {
        told.push_back("caught up " + std::to_string(next.value()));
        follower->stop();
    };
    follower.emplace(io, *log, endpoint, "lists", events);
    asio::co_spawn(io, follower->run(), [&](std::exception_ptr) { io.stop(); });
    io.run();
    EXPECT_THAT(told, testing::ElementsAre("outage", "recovery", "gap 2", "record 2", "record 3", "caught up 4"));
    EXPECT_FALSE(follower->outageSince());
}

TEST_F(PlatformTest, the_host_list_keeps_the_last_good_one)
{
    HostListFollower follower(io, http, endpoint, {});
    EXPECT_FALSE(follower.age());
    EXPECT_TRUE(run(follower.poll(why)));
    EXPECT_TRUE(follower.age());
    platform.hosts = R"({"as_of_ms":4,"hosts":[]})";
    EXPECT_FALSE(run(follower.poll(why))) << "older than the last one";
    platform.hosts = "nonsense";
    EXPECT_FALSE(run(follower.poll(why)));
    platform.hostsStatus = 503;
    EXPECT_FALSE(run(follower.poll(why)));
    EXPECT_EQ(why.step, core::Step::Hosts);
    EXPECT_EQ(follower.current()->asOfMs, 5);
}

TEST_F(PlatformTest, the_host_list_is_polled_until_stopped_and_an_outage_is_told_once)
{
    platform.hostsStatus = 503;
    int outages = 0;
    std::optional<HostListFollower> follower;
    const auto onOutage = [&](const core::Error &) {
        ++outages;
        platform.hostsStatus = 200;
    };
    follower.emplace(
        io, http, endpoint, [&](const HostList &) { follower->stop(); }, onOutage);
    asio::co_spawn(io, follower->run(), [&](std::exception_ptr) { io.stop(); });
    io.run();
    EXPECT_EQ(outages, 1);
    EXPECT_TRUE(follower->current());
}

} // namespace baobabstall::platform
