#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <core/clock.h>
#include <logging/logging.h>

namespace baobabstall::logging {

namespace {

using core::Milliseconds;
using nlohmann::json;

/// A log to a file of the running test, and what stands in it.
class LogFile
{
public:
    explicit LogFile(std::string level = "info")
    {
        const std::ofstream emptied(path_, std::ios_base::trunc);
        core::Error why;
        log_ = Log::open({.level = std::move(level), .file = path_}, core::HostId("entry-1"), why);
    }

    [[nodiscard]] const Log &log() const { return *log_; }

    [[nodiscard]] std::vector<json> lines() const
    {
        std::ifstream file(path_);
        std::vector<json> parsed;
        for (std::string line; std::getline(file, line);) {
            parsed.push_back(json::parse(line));
        }
        return parsed;
    }

private:
    std::string path_ = testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + ".log";
    std::optional<Log> log_;
};

} // namespace

TEST(Log, an_event_is_one_json_object_on_one_line)
{
    const LogFile file;
    file.log().info("request_done", {{"request_id", core::RequestId("r-17")}, {"took_ms", Milliseconds(12)}, {"tries", 2}, {"resumed", true}, {"fill", 0.5}});
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 1U);
    const json &line = lines.front();
    EXPECT_EQ(line.at("event"), "request_done");
    EXPECT_EQ(line.at("level"), "info");
    EXPECT_EQ(line.at("host"), "entry-1");
    EXPECT_EQ(line.at("request_id"), "r-17");
    EXPECT_EQ(line.at("took_ms"), 12);
    EXPECT_EQ(line.at("resumed"), true);
    EXPECT_EQ(line.at("time").get<std::string>().size(), std::string("2026-01-02T03:04:05.678Z").size());
}

TEST(Log, an_error_gives_step_peer_and_outcome)
{
    const LogFile file;
    const core::Error why{.step = core::Step::Forward,
                          .peer = "entry-2",
                          .reason = "connection reset",
                          .refusal = core::Refusal::Unavailable,
                          .outcome = core::Outcome::Unknown,
                          .retryAfter = Milliseconds(1'500)};
    file.log().warn("forward_failed", why, {{"request_id", "r-1"}});
    const json line = file.lines().at(0);
    EXPECT_EQ(line.at("step"), "forward");
    EXPECT_EQ(line.at("peer"), "entry-2");
    EXPECT_EQ(line.at("outcome"), "unknown");
    EXPECT_EQ(line.at("retry_after_ms"), 1'500);
    EXPECT_EQ(line.at("request_id"), "r-1");
}

TEST(Log, no_character_can_break_a_line)
{
    const LogFile file;
    std::string all;
    for (int c = 0; c < 128; ++c) {
        all += static_cast<char>(c);
    }
    file.log().info("odd\nevent", {{"peer", all}, {"quote", "\"},{\"level\":\"error"}});
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().at("peer"), all);
    EXPECT_EQ(lines.front().at("level"), "info");
}

TEST(Log, broken_utf8_and_long_text_are_taken)
{
    const LogFile file;
    file.log().info("odd", {{"peer", "\xff\xc3("}, {"long", std::string(10'000, 'x')}});
    const json line = file.lines().at(0);
    EXPECT_LE(line.at("long").get<std::string>().size(), Log::longestText);
    EXPECT_EQ(line.at("peer").get<std::string>().substr(0, 3), "\xef\xbf\xbd") << "replaced by U+FFFD";
}

TEST(Log, a_cut_through_a_character_stays_one_line_of_json)
{
    const LogFile file;
    std::string wide;
    for (std::size_t i = 0; i < Log::longestText; ++i) {
        wide += "\xc3\xa9";
    }
    file.log().info("odd", {{"peer", wide}, {"other", "x" + wide}});
    EXPECT_EQ(file.lines().size(), 1U);
}

TEST(Log, fields_that_would_hold_secrets_are_withheld)
{
    const LogFile file;
    file.log().error("odd", {{"authorization", "Bearer s3cret"}, {"prompt", "dear fitter"}, {"body", "{}"}, {"key", "s3cret"}});
    const json line = file.lines().at(0);
    for (const auto *name : {"authorization", "prompt", "body", "key"}) {
        EXPECT_EQ(line.at(name), "withheld");
    }
}

TEST(Log, fields_can_not_replace_what_every_line_has)
{
    const LogFile file;
    file.log().info("real", {{"event", "false"}, {"level", "error"}, {"host", "other"}});
    const json line = file.lines().at(0);
    EXPECT_EQ(line.at("event"), "real");
    EXPECT_EQ(line.at("level"), "info");
    EXPECT_EQ(line.at("host"), "entry-1");
}

TEST(Log, the_level_leaves_out_what_is_below)
{
    const LogFile file("warn");
    file.log().debug("a");
    file.log().info("b");
    file.log().warn("c");
    file.log().error("d");
    EXPECT_EQ(file.lines().size(), 2U);
    EXPECT_FALSE(file.log().isOn(Level::Info));
    EXPECT_TRUE(file.log().isOn(Level::Error));
}

TEST(Log, lines_of_many_threads_stay_whole)
{
    constexpr int threads = 4;
    constexpr int lines = 200;
    const LogFile file;
    std::vector<std::thread> writers;
    writers.reserve(threads);
    for (int i = 0; i < threads; ++i) {
        writers.emplace_back([&file, i] {
            for (int line = 0; line < lines; ++line) {
                file.log().info("line", {{"thread", i}, {"line", line}});
            }
        });
    }
    for (std::thread &writer : writers) {
        writer.join();
    }
    EXPECT_EQ(file.lines().size(), static_cast<std::size_t>(threads) * lines);
}

TEST(Log, a_file_that_can_not_be_opened_is_an_error)
{
    core::Error why;
    EXPECT_FALSE(Log::open({.level = "info", .file = "/no/such/folder/log"}, core::HostId("entry-1"), why));
    EXPECT_EQ(why.step, core::Step::Settings);
    EXPECT_EQ(why.peer, "/no/such/folder/log");
}

namespace {

/// Standard output of the running test is a pipe until the end of this object.
class PipedOutput
{
public:
    PipedOutput()
        : original_(dup(STDOUT_FILENO))
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(pipe(ends.data()), 0);
        fflush(stdout);
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
        reader_ = ends[0];
    }
    ~PipedOutput()
    {
        restore();
        close(original_);
        close(reader_);
    }
    PipedOutput(const PipedOutput &) = delete;
    PipedOutput &operator=(const PipedOutput &) = delete;

    /// Then read() ends once the pipe is empty.
    void restore() const { dup2(original_, STDOUT_FILENO); }

    [[nodiscard]] std::string read(std::chrono::milliseconds pause) const
    {
        std::string text;
        std::array<char, 4'096> bytes{};
        for (ssize_t count = 0; (count = ::read(reader_, bytes.data(), bytes.size())) > 0;) {
            text.append(bytes.data(), static_cast<std::size_t>(count));
            std::this_thread::sleep_for(pause);
        }
        return text;
    }

private:
    int original_;
    int reader_ = -1;
};

constexpr int manyLines = 800; // more bytes than a pipe holds

std::optional<Log> logToOutput()
{
    core::Error why;
    return Log::open({.file = "-", .linesPerSecond = manyLines}, core::HostId("entry-1"), why);
}

void writeMany(const Log &log)
{
    for (int i = 0; i < manyLines; ++i) {
        log.info("request", {{"number", i}, {"detail", std::string(100, 'x')}});
    }
}

} // namespace

// Guards against a stop whose last lines are missing from the log (issue 46): which of its requests ended, and how.
TEST(Log, the_last_lines_are_written_when_the_log_is_closed_though_they_are_read_slowly)
{
    const PipedOutput output;
    auto log = logToOutput();
    writeMany(*log);
    std::string text;
    std::thread reader([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        text = output.read(std::chrono::milliseconds(2));
    });
    log.reset();
    output.restore();
    reader.join();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), manyLines);
    EXPECT_NE(text.find("\"number\":" + std::to_string(manyLines - 1)), std::string::npos);
}

TEST(Log, closing_a_log_that_nobody_reads_takes_a_bounded_time)
{
    const PipedOutput output;
    auto log = logToOutput();
    writeMany(*log);
    const auto begin = core::SteadyClock().now();
    log.reset();
    EXPECT_LT(core::SteadyClock().now() - begin, Milliseconds(600));
}

} // namespace baobabstall::logging
