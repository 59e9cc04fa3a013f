// standins/platform: log, host list and weight store, as docs/ARCHITECTURE.md describes them.
//
// Besides that protocol, for tests:
//   POST /hosts            {"hosts":[...]} replaces the list
//   POST /hosts/HOST       sets fields of one entry; {"state":"gone"} removes it
//   GET  /hosts?actual=1   the list without its lag
//   GET  /record           {"loads":N,"most_loads_in_flight":N,"appends":{STREAM:N}}
//
// Faults besides the common ones: log_down (every call of the log gets 503), hosts_down, hosts_frozen (the list stays as it
// is shown now), hosts_lag_ms, weights_down, weights_slow (factor on the time of a load, 1 is normal), hide_newest (reads of
// the log leave out that many of the newest records, as a replica that lags would), appends_per_second (0: no limit),
// keep_records and keep_ms (retention, 0: no limit).
#include <algorithm>
#include <list>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <common/standin.h>
#include <core/clock.h>

#include "log.h"

namespace baobabstall::standins {

namespace {

constexpr std::size_t maxRecordBytes = 256 * 1024;
constexpr std::size_t defaultReadLimit = 500;
constexpr std::int64_t maxWaitMs = 30'000;
constexpr std::int64_t msPerSecond = 1000;

struct StoreOptions {
    double perSecond = 0;         // loads that may begin in a second; 0: no limit
    std::int64_t loadMs = 20;     // one load at full speed
    std::int64_t concurrent = 16; // loads in flight at full speed
};

/// The host list with its lag: a history of lists and the time of each.
class HostList
{
public:
    explicit HostList(core::Milliseconds lag)
        : lag_(lag)
    { }

    void replace(Json hosts, std::int64_t nowMs) { history_.push_back({history_.empty() ? 0 : nowMs, std::move(hosts)}); }
    void setLag(core::Milliseconds lag) { lag_ = lag; }
    [[nodiscard]] Json actual() const { return history_.empty() ? Json::array() : history_.back().hosts; }

    [[nodiscard]] Json shown(std::int64_t nowMs, bool frozen)
    {
        if (!frozen) {
            shownAtMs_ = nowMs - lag_.count();
            while (history_.size() > 1 && std::next(history_.begin())->atMs <= shownAtMs_) {
                history_.pop_front();
            }
        }
        return {{"as_of_ms", shownAtMs_}, {"hosts", history_.empty() ? Json::array() : history_.front().hosts}};
    }

    void change(const std::string &host, const Json &fields, std::int64_t nowMs)
    {
        auto hosts = actual();
        auto found = std::find_if(hosts.begin(), hosts.end(), [&host](const Json &entry) { return entry.at("host") == host; });
        if (found == hosts.end()) {
            hosts.push_back({{"host", host}});
            found = std::prev(hosts.end());
        }
        found->update(fields);
        if (found->value("state", "live") == "gone") {
            hosts.erase(found);
        }
        replace(std::move(hosts), nowMs);
    }

private:
    struct Entry {
        std::int64_t atMs;
        Json hosts;
    };

    core::Milliseconds lag_;
    std::list<Entry> history_;
    std::int64_t shownAtMs_ = 0;
};

class Platform final : public StandIn
{
public:
    Platform(boost::asio::io_context &io, const Json &faults, StoreOptions store)
        : StandIn(io, faults)
        , hosts_(core::Milliseconds(faults.at("hosts_lag_ms").get<std::int64_t>()))
        , appendRate_(faults.at("appends_per_second").get<double>())
        , store_(store)
    { }

protected:
    Task<void> serve(net::Exchange &exchange) override
    {
        const auto &request = exchange.request();
        const std::string path(request.path());
        if (path.starts_with("/log/")) {
            co_await serveLog(exchange, path.substr(std::string_view("/log/").size()));
        } else if (path == "/hosts" || path.starts_with("/hosts/")) {
            co_await serveHosts(exchange, path);
        } else if (path.starts_with("/weights/")) {
            co_await serveWeights(exchange);
        } else {
            co_await answer(exchange, errorAnswer(404, "unknown_path"));
        }
    }

    [[nodiscard]] Json record() const override { return {{"loads", loads_}, {"most_loads_in_flight", mostInFlight_}, {"appends", appends_}}; }

private:
    Task<void> serveLog(net::Exchange &exchange, const std::string &name)
    {
        if (faults_.flag("log_down")) {
            co_await answer(exchange, errorAnswer(503, "outage"));
        } else if (exchange.request().method == "POST") {
            co_await answer(exchange, append(exchange.request(), name));
        } else {
            co_await read(exchange, name);
        }
    }

    net::HttpResponse append(const net::HttpRequest &request, const std::string &name)
    {
        if (request.body.size() > maxRecordBytes) {
            return errorAnswer(413, "record_too_large");
        }
        auto data = bodyOf(request);
        if (data.is_discarded()) {
            return errorAnswer(400, "not_json");
        }
        appendRate_.change(static_cast<double>(faults_.number("appends_per_second")));
        const auto now = core::civilMilliseconds();
        if (!appendRate_.take(now)) {
            return errorAnswer(429, "over_the_rate");
        }
        const auto offset = streams_[name].append(std::move(data), now);
        appends_[name] = appends_.value(name, 0) + 1;
        wakeReaders();
        return net::HttpResponse::json(200, Json{{"offset", offset}}.dump());
    }

    Task<void> read(net::Exchange &exchange, const std::string &name)
    {
        const auto &request = exchange.request();
        const auto from = static_cast<std::uint64_t>(queryNumber(request, "from", 1));
        const auto limit = static_cast<std::size_t>(queryNumber(request, "limit", defaultReadLimit));
        const auto deadline = core::civilMilliseconds() + std::min(queryNumber(request, "wait_ms", 0), maxWaitMs);
        auto slice = readNow(name, from, limit);
        while (slice.records.empty() && core::civilMilliseconds() < deadline && !faults_.flag("log_down")) {
            co_await waitForAppend(deadline - core::civilMilliseconds());
            slice = readNow(name, from, limit);
        }
        if (faults_.flag("log_down")) {
            co_await answer(exchange, errorAnswer(503, "outage"));
            co_return;
        }
        Json records = Json::array();
        for (auto &record : slice.records) {
            records.push_back({{"offset", record.offset}, {"time_ms", record.timeMs}, {"data", std::move(record.data)}});
        }
        co_await answer(exchange, net::HttpResponse::json(200, Json{{"first", slice.first}, {"next", slice.next}, {"records", records}}.dump()));
    }

    LogSlice readNow(const std::string &name, std::uint64_t from, std::size_t limit)
    {
        auto &stream = streams_[name];
        const core::Milliseconds age(faults_.number("keep_ms"));
        stream.retain(static_cast<std::size_t>(faults_.number("keep_records")), age, core::civilMilliseconds());
        return stream.read(from, limit, static_cast<std::size_t>(faults_.number("hide_newest")));
    }

    static std::int64_t queryNumber(const net::HttpRequest &request, std::string_view name, std::int64_t otherwise)
    {
        const auto text = request.query(name);
        return text ? std::max<std::int64_t>(0, std::strtoll(text->c_str(), nullptr, 10)) : otherwise;
    }

    Task<void> waitForAppend(std::int64_t atMostMs)
    {
        constexpr std::int64_t faultCheckMs = 100; // an outage or hidden records do not wake readers
        boost::asio::steady_timer timer(io_, std::chrono::milliseconds(std::min(atMostMs, faultCheckMs)));
        const auto place = waiting_.insert(waiting_.end(), &timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        waiting_.erase(place);
    }

    void wakeReaders()
    {
        for (auto *timer : waiting_) {
            timer->cancel();
        }
    }

    Task<void> serveHosts(net::Exchange &exchange, const std::string &path)
    {
        const auto &request = exchange.request();
        const auto now = core::civilMilliseconds();
        hosts_.setLag(core::Milliseconds(faults_.number("hosts_lag_ms")));
        if (request.method == "POST") {
            co_await answer(exchange, changeHosts(bodyOf(request), path, now));
        } else if (request.query("actual")) {
            co_await answer(exchange, net::HttpResponse::json(200, Json{{"as_of_ms", now}, {"hosts", hosts_.actual()}}.dump()));
        } else if (faults_.flag("hosts_down")) {
            co_await answer(exchange, errorAnswer(503, "outage"));
        } else {
            co_await answer(exchange, net::HttpResponse::json(200, hosts_.shown(now, faults_.flag("hosts_frozen")).dump()));
        }
    }

    net::HttpResponse changeHosts(const Json &body, const std::string &path, std::int64_t nowMs)
    {
        if (!body.is_object()) {
            return errorAnswer(400, "not_an_object");
        }
        if (path == "/hosts") {
            hosts_.replace(body.value("hosts", Json::array()), nowMs);
        } else {
            hosts_.change(path.substr(std::string_view("/hosts/").size()), body, nowMs);
        }
        return net::HttpResponse::json(200, "{}");
    }

    Task<void> serveWeights(net::Exchange &exchange)
    {
        if (faults_.flag("weights_down")) {
            co_await answer(exchange, errorAnswer(503, "outage"));
            co_return;
        }
        co_await waitForStart();
        loads_ += 1;
        inFlight_ += 1;
        mostInFlight_ = std::max(mostInFlight_, inFlight_);
        const auto crowding = std::max<double>(1, static_cast<double>(inFlight_) / static_cast<double>(store_.concurrent));
        const auto time = static_cast<double>(store_.loadMs * faults_.number("weights_slow")) * crowding;
        co_await sleep(core::Milliseconds(static_cast<std::int64_t>(time)));
        inFlight_ -= 1;
        co_await answer(exchange, net::HttpResponse::json(200, R"({"bytes":1})"));
    }

    /// The store begins loads at its rate; those over it wait their turn.
    Task<void> waitForStart()
    {
        if (store_.perSecond <= 0) {
            co_return;
        }
        const auto now = core::civilMilliseconds();
        const auto start = std::max(now, nextStartMs_);
        nextStartMs_ = start + static_cast<std::int64_t>(msPerSecond / store_.perSecond);
        if (start > now) {
            co_await sleep(core::Milliseconds(start - now));
        }
    }

    std::map<std::string, LogStream> streams_;
    std::list<boost::asio::steady_timer *> waiting_;
    HostList hosts_;
    RateLimit appendRate_;
    StoreOptions store_;
    std::int64_t nextStartMs_ = 0;
    std::int64_t inFlight_ = 0;
    std::int64_t mostInFlight_ = 0;
    std::int64_t loads_ = 0;
    Json appends_ = Json::object();
};

} // namespace

} // namespace baobabstall::standins

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    using namespace baobabstall;
    standins::StoreOptions store;
    std::int64_t lag = 0;
    std::int64_t appends = 0;
    std::int64_t keepRecords = 0;
    std::int64_t keepMs = 0;
    standins::Options options("standin-platform");
    options.add_options()("store-rate", po::value(&store.perSecond)->default_value(0), "loads that may begin in a second; 0: no limit")(
        "load-ms", po::value(&store.loadMs)->default_value(20), "one load at full speed")(
        "store-concurrent", po::value(&store.concurrent)->default_value(16), "loads in flight at full speed; beyond it all slow down")(
        "hosts-lag-ms", po::value(&lag)->default_value(0), "lag of the host list")(
        "appends-per-second", po::value(&appends)->default_value(300), "rate of the log; 0: no limit")(
        "keep-records", po::value(&keepRecords)->default_value(0), "records kept in each stream; 0: all")(
        "keep-ms", po::value(&keepMs)->default_value(0), "how long records are kept; 0: for ever");
    return standins::runStandIn(argc, argv, options, [&](boost::asio::io_context &io) {
        const standins::Json faults{{"log_down", false},
                                    {"hosts_down", false},
                                    {"hosts_frozen", false},
                                    {"hosts_lag_ms", lag},
                                    {"weights_down", false},
                                    {"weights_slow", 1},
                                    {"hide_newest", 0},
                                    {"appends_per_second", appends},
                                    {"keep_records", keepRecords},
                                    {"keep_ms", keepMs}};
        return std::make_unique<standins::Platform>(io, faults, store);
    });
}
