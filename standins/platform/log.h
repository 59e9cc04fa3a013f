// standins/platform/log.h: streams of records with rising offsets, bounded retention and a rate of appends. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <core/types.h>

namespace baobabstall::standins {

struct LogRecord {
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    nlohmann::json data;
};

/// What a reader gets.
struct LogSlice {
    std::uint64_t first = 1; // oldest record kept
    std::uint64_t next = 1;  // offset of the next append
    std::vector<LogRecord> records;
};

/// One stream.
class LogStream
{
public:
    std::uint64_t append(nlohmann::json data, std::int64_t nowMs);
    /// Drops records over the count (0: any) or older than the time (0: any).
    void retain(std::size_t count, core::Milliseconds age, std::int64_t nowMs);
    /// Records from `from`, at most `limit`, without the newest `hidden`.
    [[nodiscard]] LogSlice read(std::uint64_t from, std::size_t limit, std::size_t hidden) const;

private:
    std::deque<LogRecord> records_;
    std::uint64_t next_ = 1;
};

/// Permits at a rate, with a burst of one second.
class RateLimit
{
public:
    explicit RateLimit(double perSecond)
        : perSecond_(perSecond)
        , permits_(perSecond)
    { }

    void change(double perSecond) { perSecond_ = perSecond; }
    /// Takes one permit; false over the rate. A rate of 0 is no limit.
    bool take(std::int64_t nowMs);

private:
    double perSecond_;
    double permits_;
    std::int64_t lastMs_ = 0;
};

} // namespace baobabstall::standins
