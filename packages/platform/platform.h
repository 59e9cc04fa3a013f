// platform/platform.h: the platform's log and host list over HTTP. The decisions stand in platform/retry.h; the lists in platform/hosts.h.
//
// Index
//   Endpoint           where the platform is, and how patient to be
//   LogClient          append and read
//   LogFollower        every record of one stream, in order, for as long as the process runs
//   HostListFollower   the newest host list, and how old it is
//
// All run on the thread of their io_context. A follower must outlive its run(): call stop() and let run() return before it goes.
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

namespace baobabstall::platform {

/// Where the platform is, and how patient to be with it.
struct Endpoint {
    net::Address address;
    core::Milliseconds timeout{3'000};      // for one call, besides the time that a read waits for news
    core::Milliseconds logWait{2'000};      // how long one read of a follower waits for news
    core::Milliseconds hostsPoll{1'000};    // between reads of the host list
    core::Milliseconds firstRetry{100};     // wait after a failure; doubles up to longestRetry, with jitter
    core::Milliseconds longestRetry{5'000}; // also bounds how long a recovery can go unnoticed
    int appendTries = 5;                    // of one record, looks for it included
    std::uint64_t seed = 0;                 // of the jitter: differs between hosts
};

/// Appends and reads. Safe to use for several streams and calls at once.
class LogClient
{
public:
    LogClient(boost::asio::io_context &io, net::HttpClient &http, Endpoint endpoint);

    /// Appends one record of at most 256 KiB; `recordId` is its field "id". When an answer is lost, looks for the record in the stream
    /// before it tries again. Error: step Log; outcome NotRun when the record is certainly not in the log, Unknown when it may be.
    net::Task<std::optional<core::Offset>> append(std::string stream, std::string recordId, std::string record, core::Error &why);
    /// One try. For writers that read the stream anyway and find the record there. Error as above.
    net::Task<std::optional<core::Offset>> appendOnce(std::string stream, std::string record, core::Error &why);
    /// One read of at most `limit` records from `from` on; waits up to `wait` for the first.
    net::Task<std::optional<LogPage>> read(std::string stream, core::Offset from, int limit, core::Milliseconds wait, core::Error &why);

private:
    net::Task<AppendAnswer> sendAppend(std::string stream, std::string record, core::Error &why);
    net::Task<void> look(AppendCourse &course, std::string stream, core::Error &why);
    net::Task<std::optional<core::Offset>> endOf(std::string stream, core::Error &why);

    boost::asio::io_context &io_;
    net::HttpClient &http_;
    Endpoint endpoint_;
    std::map<std::string, core::Offset> ends_; // of each stream: the highest offset known to be the next one, which only rises
    std::uint64_t appends_ = 0;
};

/// What a follower tells. Any may be empty.
struct FollowerEvents {
    std::function<bool()> isUrgent;                         // true: a read waits for news only shortly, since its end matters too
    std::function<void(core::Offset first)> onKept;         // the oldest record that the log still keeps; at every good read, before its records
    std::function<void(const LogRecord &record)> onRecord;  // each once, in the order of offsets
    std::function<void(core::Offset first)> onGap;          // records below `first` expired unread; the next record is `first` or later
    std::function<void(core::Offset next)> onCaughtUp;      // all records below `next` were told; after every read that ends the stream
    std::function<void(const core::Error &why)> onOutage;   // once, when reads begin to fail
    std::function<void(core::Milliseconds out)> onRecovery; // once, when a read succeeds again
};

/// Follows one stream.
class LogFollower
{
public:
    LogFollower(boost::asio::io_context &io, LogClient &log, Endpoint endpoint, std::string stream, FollowerEvents events, core::Offset from = core::Offset(1));
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
    Endpoint endpoint_;
    std::string stream_;
    FollowerEvents events_;
    FollowCursor cursor_;
    Backoff backoff_;
    bool stopped_ = false;
    bool mustPause_ = false;
    std::optional<core::Instant> outageSince_;
    std::unique_ptr<Timer> timer_;
};

/// Polls the host list and keeps the last good one. A list older than the last one taken is passed over.
class HostListFollower
{
public:
    using OnList = std::function<void(const HostList &list)>; // after every good read, changed or not
    using OnOutage = std::function<void(const core::Error &why)>;

    HostListFollower(boost::asio::io_context &io, net::HttpClient &http, Endpoint endpoint, OnList onList, OnOutage onOutage = {});
    ~HostListFollower();
    HostListFollower(const HostListFollower &) = delete;
    HostListFollower &operator=(const HostListFollower &) = delete;

    net::Task<void> run();
    void stop();
    /// One read now.
    net::Task<bool> poll(core::Error &why);

    /// None until the first good read.
    [[nodiscard]] const std::optional<HostList> &current() const { return current_; }
    /// How long ago the current list was read. None until the first good read.
    [[nodiscard]] std::optional<core::Milliseconds> age() const;

private:
    struct Timer;
    net::HttpClient &http_;
    Endpoint endpoint_;
    OnList onList_;
    OnOutage onOutage_;
    std::optional<HostList> current_;
    core::Instant readAt_;
    bool failing_ = false;
    bool stopped_ = false;
    std::unique_ptr<Timer> timer_;
};

} // namespace baobabstall::platform
