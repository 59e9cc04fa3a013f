// logging/logging.h: log lines, each one JSON object and one event.
//
// Index
//   Level, Field     what a line is made of
//   Log              open() one for the process, then one call for each event
//
//   auto log = Log::open(settings.logging, settings.host, why);
//   log->info("request_done", {{"request_id", id}, {"took_ms", took}});
//   log->warn("forward_failed", why, {{"request_id", id}}); // adds step, peer, reason, refusal and outcome
//
//   {"event":"request_done","host":"entry-1","level":"info","request_id":"r-17","time":"2026-01-02T03:04:05.678Z","took_ms":12}
//
// What never enters a line: keys and callers' text. There is no call for either: fields hold ids, numbers, flags and short
// names. As a guard a field whose name says that it holds one ("authorization", "body", "prompt" and the like) is written as
// "withheld", and text is cut at Log::longestText. Control characters and broken UTF-8 are escaped or replaced, so no value
// can end a line or begin another.
//
// Limits. To standard output (file "-") lines are bounded by settings and never waited for; dropped ones are counted in a line
// "log_lines_dropped". Closing the log waits up to 0.3 s for a reader that is behind; what is left then is lost. To standard error or a file writing is
// synchronous and flushed for each line; at level "debug" a busy daemon spends noticeable time on it. The file is appended to and not rotated: the platform's
// collector does that, or use standard error. Safe to call from any thread.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <core/error.h>
#include <core/types.h>
#include <settings/settings.h>

namespace baobabstall::logging {

enum class Level : std::uint8_t { Debug, Info, Warn, Error };

/// A name and a value. Names are snake_case; a length of time ends in _ms. The value is read before the call returns.
class Field
{
public:
    Field(std::string_view name, std::string_view text)
        : name_(name)
        , value_(text)
    { }
    Field(std::string_view name, const char *text)
        : Field(name, std::string_view(text))
    { }
    Field(std::string_view name, const std::string &text)
        : Field(name, std::string_view(text))
    { }
    template<typename Tag>
    Field(std::string_view name, const core::Id<Tag> &id)
        : Field(name, std::string_view(id.value()))
    { }
    template<typename Tag>
    Field(std::string_view name, core::Ordinal<Tag> ordinal)
        : Field(name, ordinal.value())
    { }
    Field(std::string_view name, core::Milliseconds time)
        : Field(name, time.count())
    { }
    Field(std::string_view name, core::Step step)
        : Field(name, core::stepName(step))
    { }
    Field(std::string_view name, core::Outcome outcome)
        : Field(name, core::outcomeName(outcome))
    { }
    Field(std::string_view name, bool flag)
        : name_(name)
        , value_(flag)
    { }
    template<std::integral Number>
    Field(std::string_view name, Number number)
        : name_(name)
        , value_(static_cast<std::int64_t>(number))
    { }
    Field(std::string_view name, double number)
        : name_(name)
        , value_(number)
    { }

    using Value = std::variant<std::string_view, std::int64_t, double, bool>;
    [[nodiscard]] std::string_view name() const { return name_; }
    [[nodiscard]] const Value &value() const { return value_; }

private:
    std::string_view name_;
    Value value_;
};

using Fields = std::initializer_list<Field>;

/// Writes to standard error or a file. Move-only.
class Log
{
public:
    static constexpr std::size_t longestText = 256; // bytes of one value; longer text is cut and ends in "..."

    /// Step Settings on a file that can't be opened.
    [[nodiscard]] static std::optional<Log> open(const settings::Logging &options, const core::HostId &host, core::Error &why);
    ~Log();
    Log(Log &&) noexcept;
    Log &operator=(Log &&) noexcept;

    void debug(std::string_view event, Fields fields = {}) const { write(Level::Debug, event, nullptr, fields); }
    void info(std::string_view event, Fields fields = {}) const { write(Level::Info, event, nullptr, fields); }
    void warn(std::string_view event, Fields fields = {}) const { write(Level::Warn, event, nullptr, fields); }
    void warn(std::string_view event, const core::Error &why, Fields fields = {}) const { write(Level::Warn, event, &why, fields); }
    void error(std::string_view event, Fields fields = {}) const { write(Level::Error, event, nullptr, fields); }
    void error(std::string_view event, const core::Error &why, Fields fields = {}) const { write(Level::Error, event, &why, fields); }
    void info(std::string_view event, const core::Error &why, Fields fields = {}) const { write(Level::Info, event, &why, fields); }

    [[nodiscard]] static std::uint64_t droppedLines(); // to standard output, since the process began
    [[nodiscard]] bool isOn(Level level) const;        // to save the work for a line that is not written

private:
    struct Target;

    explicit Log(std::unique_ptr<Target> target);
    void write(Level level, std::string_view event, const core::Error *why, Fields fields) const;

    std::unique_ptr<Target> target_;
};

} // namespace baobabstall::logging
