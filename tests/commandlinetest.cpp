// The operators' command line as operators run it: against the stand-in platform, with daemons that this test plays.
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/deployment.h>

namespace baobabstall::harness {

using testing::HasSubstr;

namespace {

struct Outcome {
    int exitCode = -1;
    std::string output; // both streams
};

/// Runs build/bin/baobabstall with these arguments.
Outcome runProgram(const std::string &arguments)
{
    constexpr std::size_t bufferSize = 4'096;
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin";
    const auto command = "BAOBABSTALL_PLATFORM= " + (folder / "baobabstall").string() + ' ' + arguments + " 2>&1";
    Outcome run;
    FILE *pipe = ::popen(command.c_str(), "r");
    std::array<char, bufferSize> buffer{};
    for (auto read = ::fread(buffer.data(), 1, buffer.size(), pipe); read > 0; read = ::fread(buffer.data(), 1, buffer.size(), pipe)) {
        run.output.append(buffer.data(), read);
    }
    run.exitCode = WEXITSTATUS(::pclose(pipe));
    return run;
}

/// A daemon's operators' endpoint with canned answers.
class FakeDaemon
{
public:
    FakeDaemon()
        : server_(io_, {}, [this](net::Exchange &exchange) { return answer(exchange); })
    {
        core::Error why;
        address = server_.listen({"127.0.0.1", 0}, why).value().text();
        thread_ = std::thread([this] { io_.run(); });
    }

    ~FakeDaemon()
    {
        io_.stop();
        thread_.join();
    }

    FakeDaemon(const FakeDaemon &) = delete;
    FakeDaemon &operator=(const FakeDaemon &) = delete;

    void set(const std::string &path, std::string body)
    {
        const std::lock_guard lock(mutex_);
        answers_[path] = std::move(body);
    }

    std::string address;

private:
    net::Task<void> answer(net::Exchange &exchange) { co_await exchange.respond(find(std::string(exchange.request().path()))); }

    net::HttpResponse find(const std::string &path)
    {
        const std::lock_guard lock(mutex_);
        const auto found = answers_.find(path);
        return found == answers_.end() ? net::HttpResponse::json(404, "{}") : net::HttpResponse::json(200, found->second);
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
    std::mutex mutex_;
    std::map<std::string, std::string> answers_;
    net::HttpServer server_;
    std::thread thread_;
};

class CommandLine : public testing::Test
{
public:
    CommandLine()
        : world({.daemons = 0, .engines = 0, .services = 0})
        , folder(testing::TempDir() + "baobabstall-command-line-" + std::to_string(::getpid()))
    {
        std::filesystem::create_directories(folder);
    }

    ~CommandLine() override { std::filesystem::remove_all(folder); }

    std::string write(const std::string &name, const Json &content)
    {
        auto path = folder + '/' + name;
        std::ofstream(path) << content.dump();
        return path;
    }

    static Json plans(const std::string &version)
    {
        const Json adapters{{"brief", {{"versions", {version}}, {"base_model", "base-a"}}}};
        return {{"plans", {{"school", {{"share", 1}, {"max_in_flight", 5}, {"adapters", adapters}}}}}};
    }

    [[nodiscard]] Outcome call(const std::string &arguments) const { return runProgram(arguments + " --platform " + world.platform()); }

    void addDaemon(const std::string &host, const std::string &operators)
    {
        world.setHost(host,
                      {{"kind", "daemon"},
                       {"region", "r"},
                       {"zone", "z"},
                       {"state", "live"},
                       {"peers", "127.0.0.1:1"},
                       {"callers", "127.0.0.1:1"},
                       {"operators", operators}});
    }

    Deployment world;
    std::string folder;
};

} // namespace

TEST(CommandLineUse, wrong_use_gets_one_line_and_exit_code_2)
{
    for (const auto *arguments : {"",
                                  "publsh",
                                  "check",
                                  "check a b",
                                  "show --jsn",
                                  "show",
                                  "show --platform localhost:80",
                                  "show engines --platform 127.0.0.1:1",
                                  "publish plans f --platform 127.0.0.1:1",
                                  "publish plans f --by 'a b' --platform 127.0.0.1:1",
                                  "publish plans f --by a --based-on x --platform 127.0.0.1:1",
                                  "explain 'a/b' --platform 127.0.0.1:1"}) {
        const auto run = runProgram(arguments);
        EXPECT_EQ(run.exitCode, 2) << arguments;
        EXPECT_EQ(std::count(run.output.begin(), run.output.end(), '\n'), 1) << arguments << ": " << run.output;
        EXPECT_TRUE(run.output.starts_with("baobabstall: ")) << run.output;
    }
    EXPECT_EQ(runProgram("--help").exitCode, 0);
    EXPECT_THAT(runProgram("--version").output, HasSubstr("baobabstall 0."));
    EXPECT_EQ(runProgram("history --platform 127.0.0.1:1").exitCode, 3);
}

TEST_F(CommandLine, check_tells_lists_and_settings_apart_and_sends_nothing)
{
    EXPECT_EQ(runProgram("check " + write("plans.json", plans("v1"))).exitCode, 0);
    const auto bad = runProgram("check " + write("bad.json", {{"host", "a"}}));
    EXPECT_EQ(bad.exitCode, 1);
    EXPECT_THAT(bad.output, HasSubstr("zone: found nothing: the key is missing"));
    EXPECT_EQ(runProgram("check " + write("both.json", {{"plans", Json::object()}, {"customers", Json::object()}})).exitCode, 1);
}

TEST_F(CommandLine, of_operators_who_race_one_wins_and_the_others_are_told)
{
    EXPECT_EQ(call("publish plans " + write("plans.json", plans("v0")) + " --by first").exitCode, 0);
    constexpr int operators = 6;
    std::vector<std::future<Outcome>> racing;
    for (int i = 1; i <= operators; ++i) {
        const auto file = write("plans-" + std::to_string(i) + ".json", plans("v" + std::to_string(i)));
        racing.push_back(
            std::async(std::launch::async, [this, file, i] { return call("publish plans " + file + " --based-on 1 --by op-" + std::to_string(i)); }));
    }
    int accepted = 0;
    for (auto &run : racing) {
        const auto result = run.get();
        accepted += result.exitCode == 0 ? 1 : 0;
        if (result.exitCode != 0) {
            EXPECT_EQ(result.exitCode, 1) << result.output;
            EXPECT_THAT(result.output, HasSubstr("of plans is in force, by op-"));
        }
    }
    EXPECT_EQ(accepted, 1);
    const auto history = call("history --json").output;
    EXPECT_EQ(history.find("accepted", history.rfind("accepted") + 1), std::string::npos);
}

TEST_F(CommandLine, an_answer_that_is_lost_neither_fails_a_publish_nor_doubles_it)
{
    EXPECT_EQ(call("publish plans " + write("a.json", plans("v1")) + " --by ops").exitCode, 0);
    for (int lost = 1; lost <= 2; ++lost) {
        world.fault("platform", {{"lose_answers", lost}, {"on_path", "/log/lists"}});
        const auto run = call("publish plans " + write("b.json", plans("v" + std::to_string(lost + 1))) + " --by ops");
        EXPECT_EQ(run.exitCode, 0) << run.output;
    }
    const auto history = call("history --json").output;
    EXPECT_EQ(std::count(history.begin(), history.end(), '\n'), 3) << history;
}

TEST_F(CommandLine, a_log_outage_is_exit_code_3)
{
    world.fault("platform", {{"log_down", true}});
    const auto run = call("publish plans " + write("a.json", plans("v1")) + " --by ops");
    EXPECT_EQ(run.exitCode, 3);
    EXPECT_THAT(run.output, HasSubstr("unreachable: log 127.0.0.1:"));
}

TEST_F(CommandLine, a_list_larger_than_a_record_is_published_and_shown_back)
{
    constexpr int many = 3'000;
    Json customers = Json::object();
    for (int i = 0; i < many; ++i) {
        customers["camp-" + std::to_string(i)] = {{"plan", "school"}, {"keys", {"sha256:" + std::string(60, 'a') + std::to_string(1'000 + i)}}};
    }
    const auto run = call("publish customers " + write("c.json", {{"customers", customers}}) + " --by ops");
    EXPECT_EQ(run.exitCode, 0) << run.output;
    EXPECT_THAT(run.output, HasSubstr("warning: 3000 customers hold a plan"));
    EXPECT_EQ(Json::parse(call("show customers --json").output).at("document").at("customers"), customers);
}

TEST_F(CommandLine, lists_that_the_log_has_lost_are_restored_only_when_no_daemon_knows_them)
{
    const auto file = write("plans.json", plans("v1"));
    EXPECT_EQ(call("publish plans " + file + " --by ops").exitCode, 0);
    EXPECT_EQ(call("publish plans " + file + " --by ops --restore").exitCode, 1);
    world.client.post(world.platform(), "/log/lists", Json("noise"));
    world.fault("platform", {{"keep_records", 1}});
    EXPECT_THAT(call("publish plans " + file + " --by ops").output, HasSubstr("is not known"));
    FakeDaemon daemon;
    addDaemon("entry-1", daemon.address);
    daemon.set("/lists", R"({"plans":{"known":true}})");
    EXPECT_THAT(call("publish plans " + file + " --by ops --restore").output, HasSubstr("host entry-1 still knows"));
    daemon.set("/lists", R"({"plans":{"known":false}})");
    const auto run = call("publish plans " + file + " --by ops --restore");
    EXPECT_EQ(run.exitCode, 0) << run.output;
    EXPECT_EQ(Json::parse(call("show plans --json").output).at("document"), plans("v1"));
}

TEST_F(CommandLine, show_says_which_hosts_have_what_is_in_force)
{
    EXPECT_EQ(call("publish plans " + write("a.json", plans("v1")) + " --by ops").exitCode, 0);
    const auto inForce = Json::parse(call("show --json").output).at("lists");
    FakeDaemon current;
    FakeDaemon behind;
    addDaemon("entry-1", current.address);
    current.set("/lists", inForce.dump());
    EXPECT_EQ(call("show").exitCode, 0);
    addDaemon("entry-2", behind.address);
    behind.set("/lists", R"({"plans":{"version":0},"customers":7})");
    addDaemon("entry-3", "127.0.0.1:1");
    const auto run = call("show");
    EXPECT_EQ(run.exitCode, 1);
    EXPECT_THAT(run.output, HasSubstr("entry-1  0          1      in force"));
    EXPECT_THAT(run.output, HasSubstr("entry-2  -          0      differs"));
    EXPECT_THAT(run.output, HasSubstr("entry-3  -          -      connect 127.0.0.1:1"));
}

TEST_F(CommandLine, status_and_explain_print_what_daemons_tell)
{
    FakeDaemon daemon;
    addDaemon("entry-1", daemon.address);
    daemon.set("/status", R"({"ready":true,"in_flight":3,"engines_owned":[{"engine":"engine-1","epoch":4,"running":2,"waiting":1,"resident":["a","b"]},7]})");
    daemon.set("/explain/req-1", R"({"steps":[{"at_ms":2000,"step":"forward","peer":"engine-1","note":"sent"},{"at_ms":1000,"step":"identify"},9]})");
    const auto status = call("status");
    EXPECT_EQ(status.exitCode, 0);
    EXPECT_THAT(status.output, HasSubstr("entry-1  z     ready  3"));
    EXPECT_THAT(status.output, HasSubstr("engine-1  entry-1  4      2        1        2"));
    const auto explain = call("explain req-1");
    EXPECT_EQ(explain.exitCode, 0);
    EXPECT_LT(explain.output.find("identify"), explain.output.find("forward"));
    EXPECT_EQ(call("explain req-2").exitCode, 1);
    daemon.set("/status", "not json");
    EXPECT_EQ(call("status").exitCode, 3);
}

} // namespace baobabstall::harness
