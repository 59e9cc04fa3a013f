#include <logging/logging.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <fstream>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <core/clock.h>

namespace baobabstall::logging {

namespace {

constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warn", "error"};
constexpr std::array<std::string_view, 9> withheldNames
    = {"authorization", "body", "content", "cookie", "idempotency_key", "key", "messages", "prompt", "text"};
constexpr std::string_view withheld = "withheld";
constexpr std::int64_t msPerSecond = 1'000;

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

log4cplus::SharedAppenderPtr makeAppender(const settings::Logging &options)
{
    log4cplus::SharedAppenderPtr appender;
    if (options.file.empty()) {
        appender = new log4cplus::ConsoleAppender(true, true);
    } else {
        appender = new log4cplus::FileAppender(options.file, std::ios_base::app, true);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

bool canAppend(const std::string &file)
{
    return file.empty() || std::ofstream(file, std::ios_base::app).good();
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
