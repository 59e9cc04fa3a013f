// platform/platform.h: the platform's log and host list over HTTP. The decisions stand in platform/retry.h, the hosts in platform/hosts.h.
//
// Index
//   RetryOptions   how patient to be
//   LogClient      read(), append(), appendOnce()
//   LogFollower    every record of one stream, in order, for as long as the process runs
//   HostsClient    the host list
//
// All run on the thread of their io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>
#include <platform/hosts.h>
#include <platform/retry.h>
#include <settings/settings.h>

namespace baobabstall::platform {

/// Waits after a failure: they double from the first to the longest, with jitter.
struct RetryOptions {
    core::Milliseconds first{100};
    core::Milliseconds longest{5'000}; // also bounds how long a recovery can go unnoticed
    int appendTries = 5;               // of one record, looks for it included
    std::uint64_t seed = 0;            // of the jitter: give each host its own
};

/// Appends and reads. Safe to use for several streams and calls at once.
class LogClient
{
public:
    LogClient(net::HttpClient &http, net::Address address, const settings::Platform &settings, RetryOptions retries = {});

    static constexpr int maxPageRecords = 500; // of one read

    /// One read from `from` on; waits up to `wait` for the first record. Step Log.
    net::Task<std::optional<LogPage>> read(std::string stream, core::Offset from, core::Milliseconds wait, core::Error &why);
    /// Appends one record of at most 256 KiB; `recordId` is its field "id". When an answer is lost, looks for the record in the stream
    /// before it tries again. Error: step Log; outcome NotRun when the record is certainly not in the log, Unknown when it may be.
    net::Task<std::optional<core::Offset>> append(std::string stream, std::string recordId, std::string record, core::Error &why);
    /// One try of an append, for writers that read the stream anyway. The same outcomes.
    net::Task<std::optional<core::Offset>> appendOnce(std::string stream, std::string record, core::Error &why);

private:
    net::Task<std::optional<LogPage>> readSome(std::string stream, core::Offset from, int limit, core::Milliseconds wait, core::Error &why);
    net::Task<AppendAnswer> send(std::string stream, std::string record, core::Error &why);
    net::Task<void> look(AppendCourse &course, std::string stream, core::Error &why);
    net::Task<std::optional<core::Offset>> endOf(std::string stream, core::Error &why);

    net::HttpClient &http_;
    net::Address address_;
    settings::Platform settings_;
    RetryOptions retries_;
    std::map<std::string, core::Offset> ends_; // of each stream: the highest offset known to be the next one
    std::uint64_t appends_ = 0;
};

/// What a follower tells. Any may be empty.
struct FollowerEvents {
    std::function<void(const LogRecord &record)> onRecord;  // each once, in the order of offsets
    std::function<void(core::Offset first)> onGap;          // records below `first` expired unread; the next record is `first` or later
    std::function<void(core::Offset next)> onCaughtUp;      // all records below `next` were told; after every read that ends the stream
    std::function<void(const core::Error &why)> onOutage;   // once, when reads begin to fail
    std::function<void(core::Milliseconds out)> onRecovery; // once, when a read succeeds again
};

/// Follows one stream. Must outlive its run(): call stop() and let run() return before it goes.
class LogFollower
{
public:
    LogFollower(boost::asio::io_context &io,
                LogClient &log,
                const settings::Platform &settings,
                std::string stream,
                FollowerEvents events,
                RetryOptions retries = {},
                core::Offset from = core::Offset(1));
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    /// Returns some time after stop(): at once when it waits, else when the read under way ends.
    net::Task<void> run();
    void stop();

    /// The offset it reads from next.
    [[nodiscard]] core::Offset next() const { return cursor_.next(); }
    /// Since when reads fail; none while they succeed.
    [[nodiscard]] std::optional<core::Instant> outageSince() const { return outageSince_; }

private:
    void take(LogPage page);
    void noteFailure(const core::Error &why);
    void noteSuccess();

    struct Timer;
    LogClient &log_;
    core::Milliseconds wait_;
    std::string stream_;
    FollowerEvents events_;
    FollowCursor cursor_;
    Backoff backoff_;
    bool stopped_ = false;
    bool mustPause_ = false;
    std::optional<core::Instant> outageSince_;
    std::unique_ptr<Timer> timer_;
};

/// Reads the host list.
class HostsClient
{
public:
    HostsClient(net::HttpClient &http, net::Address address, const settings::Platform &settings);

    /// Nothing on a failure, and on a list older than the last one read here: keep the last good one then. Step Hosts.
    net::Task<std::optional<HostList>> read(core::Error &why);

private:
    net::HttpClient &http_;
    net::Address address_;
    settings::Platform settings_;
    std::int64_t newestMs_ = 0; // the newest list's time
};

} // namespace baobabstall::platform
