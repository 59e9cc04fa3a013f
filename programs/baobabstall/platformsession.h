// baobabstall/platformsession.h: what the commands ask the platform and the daemons.
//
// Index
//   JudgedRecord      a record of the stream `lists` with the verdict that every reader reaches
//   DaemonAnswer      what one daemon said
//   PlatformSession   reads lists and hosts, asks daemons, appends; blocks until done
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <core/error.h>
#include <lists/lists.h>
#include <net/http.h>
#include <platform/platform.h>

namespace baobabstall::cli {

struct JudgedRecord {
    core::Offset offset;
    std::int64_t timeMs = 0;
    lists::Verdict verdict;
};

struct DaemonAnswer {
    core::HostId host;
    core::ZoneId zone;
    bool isLeaving = false;
    int status = 0;      // HTTP status; 0: no answer
    nlohmann::json body; // null unless the answer was JSON
    std::string error;   // why there is no body
};

class PlatformSession
{
public:
    explicit PlatformSession(const net::Address &platform);

    /// Reads the stream `lists` to its end. False and an error when the log can't be read.
    bool readLists(core::Error &why);
    [[nodiscard]] const lists::ListsState &lists() const { return lists_; }
    [[nodiscard]] const std::deque<JudgedRecord> &history() const { return history_; }

    /// Appends records one after the other; gives the offset of the last.
    std::optional<core::Offset> append(const std::vector<lists::OutgoingRecord> &records, core::Error &why);
    /// Reads on until `offset` has been judged, though reads may lag. The verdict on `group`: its last, or the first that rejects it.
    std::optional<lists::Verdict> verdictOn(const std::string &group, core::Offset offset, core::Error &why);

    /// Asks every daemon of the host list at its operators' address, all at the same time. Nothing when the list can't be read.
    std::optional<std::vector<DaemonAnswer>> askDaemons(const std::string &target, core::Error &why);

private:
    template<typename T>
    T run(net::Task<T> task);
    net::Task<bool> readTo(core::Offset end, core::Error &why);
    net::Task<bool> readPage(core::Milliseconds wait, core::Error &why);
    net::Task<std::optional<core::Offset>> appendAll(const std::vector<lists::OutgoingRecord> &records, core::Error &why);
    net::Task<bool> ask(const platform::Host &host, std::string target, DaemonAnswer &answer);

    boost::asio::io_context io_;
    net::HttpClient http_{io_};
    platform::Endpoint endpoint_;
    platform::LogClient log_;
    lists::ListsState lists_;
    std::deque<JudgedRecord> history_;
    bool isAtEnd_ = false;
};

} // namespace baobabstall::cli
