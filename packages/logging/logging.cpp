#include <logging/logging.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <fstream>

#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <core/clock.h>

namespace baobabstall::logging {

namespace {

constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warn", "error"};
constexpr std::array<std::string_view, 9> withheldNames
    = {"authorization", "body", "content", "cookie", "idempotency_key", "key", "messages", "prompt", "text"};
constexpr std::string_view withheld = "withheld";
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::string_view standardOutput = "-";

log4cplus::LogLevel levelOf(Level level)
{
    constexpr std::array<log4cplus::LogLevel, levelNames.size()> levels
        = {log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
    return levels.at(static_cast<std::size_t>(level));
}

Level levelOfName(std::string_view name)
{
    const auto found = std::find(levelNames.begin(), levelNames.end(), name);
    return found == levelNames.end() ? Level::Info : static_cast<Level>(found - levelNames.begin());
}

std::string timeText(std::int64_t civilMs)
{
    const std::time_t seconds = civilMs / msPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t longest = 48;
    std::array<char, longest> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(msPerSecond + civilMs % msPerSecond).substr(1);
    return std::string(text.data(), length) + "." + fraction + "Z";
}

std::string cut(std::string_view text)
{
    constexpr std::string_view more = "...";
    if (text.size() <= Log::longestText) {
        return std::string(text);
    }
    return std::string(text.substr(0, Log::longestText - more.size())).append(more);
}

struct ToJson {
    nlohmann::json operator()(std::string_view text) const { return cut(text); }
    template<typename Number>
    nlohmann::json operator()(Number number) const
    {
        return number;
    }
};

void addField(nlohmann::json &line, const Field &field)
{
    const bool isWithheld = std::find(withheldNames.begin(), withheldNames.end(), field.name()) != withheldNames.end();
    line[std::string(field.name())] = isWithheld ? nlohmann::json(withheld) : std::visit(ToJson(), field.value());
}

void addError(nlohmann::json &line, const core::Error &why)
{
    line["step"] = core::stepName(why.step);
    line["reason"] = cut(why.reason);
    line["refusal"] = core::refusalName(why.refusal);
    line["outcome"] = core::outcomeName(why.outcome);
    if (!why.peer.empty()) {
        line["peer"] = cut(why.peer);
    }
    if (why.retryAfter) {
        line["retry_after_ms"] = why.retryAfter->count();
    }
}

/// Loggers are told apart by name within the library; each Log has its own.
std::string nextLoggerName()
{
    static std::atomic<int> opened = 0;
    return "baobabstall." + std::to_string(++opened);
}

std::atomic<std::uint64_t> droppedInAll = 0; // of the process: there is one standard output

/// Standard output without waiting for its reader until it is closed. What does not fit is kept up to a bound, then dropped and counted.
class BoundedOutput final : public log4cplus::Appender
{
public:
    explicit BoundedOutput(int linesPerSecond)
        : perMs_(static_cast<double>(linesPerSecond) / msPerSecond)
        , most_(linesPerSecond)
        , left_{most_, most_}
        , at_(core::SteadyClock().now())
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    ~BoundedOutput() override { destructorImpl(); }
    /// Waits up to closePatience for a reader that is behind, as the last lines say how the process ended.
    void close() override
    {
        tellDropped();
        flush();
        const auto until = core::SteadyClock().now() + closePatience;
        for (auto left = closePatience; !waiting_.empty() && left.count() > 0; left = until - core::SteadyClock().now()) {
            pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            ::poll(&output, 1, static_cast<int>(left.count()));
            flush();
        }
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const bool isSevere = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
        refill();
        flush();
        auto &left = left_.at(isSevere ? 1 : 0);
        const auto &line = event.getMessage();
        if (left < 1 || waiting_.size() + line.size() > maxWaitingBytes) {
            ++dropped_.at(isSevere ? 1 : 0);
            ++droppedInAll;
            return;
        }
        left -= 1;
        tellDropped();
        waiting_ += line;
        waiting_ += '\n';
        flush();
    }

private:
    static constexpr core::Milliseconds closePatience{300};    // less than a stopping host keeps back before SIGKILL
    static constexpr std::size_t maxWaitingBytes = 256 * 1024; // a reader that stops for some seconds loses nothing

    void refill()
    {
        const auto now = core::SteadyClock().now();
        const double more = static_cast<double>((now - at_).count()) * perMs_;
        at_ = now;
        for (auto &left : left_) {
            left = std::min(most_, left + more);
        }
    }

    void tellDropped()
    {
        if (dropped_[0] + dropped_[1] == 0) {
            return;
        }
        waiting_ += R"({"event":"log_lines_dropped","level":"warn","info_lines":)" + std::to_string(dropped_[0]) + R"(,"severe_lines":)"
            + std::to_string(dropped_[1]) + R"(,"time":")" + timeText(core::civilMilliseconds()) + "\"}\n";
        dropped_ = {0, 0};
    }

    void flush()
    {
        while (!waiting_.empty()) {
            const auto written = ::write(STDOUT_FILENO, waiting_.data(), waiting_.size());
            if (written <= 0) {
                if (written < 0 && errno != EAGAIN && errno != EINTR) {
                    waiting_.clear(); // nobody will ever read it
                }
                return;
            }
            waiting_.erase(0, static_cast<std::size_t>(written));
        }
    }

    double perMs_;
    double most_;
    std::array<double, 2> left_; // budgets of info and of severe lines
    std::array<std::uint64_t, 2> dropped_{0, 0};
    core::Instant at_;
    std::string waiting_;
};

log4cplus::SharedAppenderPtr makeAppender(const settings::Logging &options)
{
    log4cplus::SharedAppenderPtr appender;
    if (options.file == standardOutput) {
        appender = new BoundedOutput(options.linesPerSecond);
    } else if (options.file.empty()) {
        appender = new log4cplus::ConsoleAppender(true, true);
    } else {
        appender = new log4cplus::FileAppender(options.file, std::ios_base::app, true);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

bool canAppend(const std::string &file)
{
    return file.empty() || file == standardOutput || std::ofstream(file, std::ios_base::app).good();
}

} // namespace

struct Log::Target {
    std::string host;
    log4cplus::Logger logger;
};

std::optional<Log> Log::open(const settings::Logging &options, const core::HostId &host, core::Error &why)
{
    static const log4cplus::Initializer library;
    if (!canAppend(options.file)) {
        why = core::Error{.step = core::Step::Settings, .peer = options.file, .reason = "can't open the log file for appending"};
        return std::nullopt;
    }
    auto target = std::make_unique<Target>(Target{host.value(), log4cplus::Logger::getInstance(nextLoggerName())});
    target->logger.setAdditivity(false);
    target->logger.setLogLevel(levelOf(levelOfName(options.level)));
    target->logger.addAppender(makeAppender(options));
    return Log(std::move(target));
}

Log::Log(std::unique_ptr<Target> target)
    : target_(std::move(target))
{ }

Log::Log(Log &&) noexcept = default;
Log &Log::operator=(Log &&) noexcept = default;

Log::~Log()
{
    if (target_) {
        target_->logger.removeAllAppenders();
    }
}

std::uint64_t Log::droppedLines()
{
    return droppedInAll;
}

bool Log::isOn(Level level) const
{
    return target_->logger.isEnabledFor(levelOf(level));
}

void Log::write(Level level, std::string_view event, const core::Error *why, Fields fields) const
{
    if (!isOn(level)) {
        return;
    }
    nlohmann::json line = nlohmann::json::object();
    for (const Field &field : fields) {
        addField(line, field);
    }
    if (why != nullptr) {
        addError(line, *why);
    }
    line["time"] = timeText(core::civilMilliseconds());
    line["level"] = levelNames.at(static_cast<std::size_t>(level));
    line["host"] = target_->host;
    line["event"] = cut(event);
    constexpr int noIndent = -1;
    target_->logger.forcedLog(levelOf(level), line.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace baobabstall::logging
