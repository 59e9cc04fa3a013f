#include <platform/platform.h>

#include <algorithm>
#include <chrono>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <core/clock.h>
#include <core/hash.h>
#include <net/asio.h>
#include <settings/json.h>

namespace baobabstall::platform {

namespace {

using core::Offset;

constexpr core::Milliseconds urgentWait{50}; // for news, in a read whose end matters too
constexpr int pageLimit = 500;               // records of one read
constexpr int statusOk = 200;

/// A wait that stop() ends early.
class Pause
{
public:
    explicit Pause(boost::asio::io_context &io)
        : timer_(io)
    { }

    net::Task<void> wait(core::Milliseconds length)
    {
        boost::system::error_code cancelled;
        timer_.expires_after(net::chronoOf(length));
        co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }

    void end() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
};

Backoff backoffOf(const Endpoint &endpoint, std::uint64_t salt)
{
    return {endpoint.firstRetry, endpoint.longestRetry, endpoint.seed ^ salt};
}

net::CallOptions callOptions(const Endpoint &endpoint, core::Milliseconds wait)
{
    net::CallOptions options;
    options.connectTimeout = endpoint.timeout;
    options.timeout = endpoint.timeout + wait;
    return options;
}

core::Error statusError(core::Step step, const net::Address &peer, int status)
{
    return core::Error{.step = step, .peer = peer.text(), .reason = "answered with status " + std::to_string(status), .refusal = core::Refusal::Unavailable};
}

Offset offsetOfAnswer(const std::string &body)
{
    core::Error why;
    const auto answer = settings::parseJson(body, "answer to an append", settings::JsonOptions{.comments = false}, why);
    const bool good = answer && answer->is_object() && answer->contains("offset") && (*answer)["offset"].is_number_integer() && (*answer)["offset"] >= 1;
    return good ? Offset((*answer)["offset"].get<std::uint64_t>()) : Offset();
}

} // namespace

// ---- LogClient ----

LogClient::LogClient(boost::asio::io_context &io, net::HttpClient &http, Endpoint endpoint)
    : io_(io)
    , http_(http)
    , endpoint_(std::move(endpoint))
{ }

net::Task<std::optional<Offset>> LogClient::append(std::string stream, std::string recordId, std::string record, core::Error &why)
{
    const auto before = co_await endOf(stream, why);
    if (!before) {
        co_return std::nullopt;
    }
    AppendCourse course(std::move(recordId), *before, endpoint_.appendTries, backoffOf(endpoint_, ++appends_));
    Pause pause(io_);
    while (true) {
        switch (course.step()) {
        case AppendCourse::Step::Append:
            course.onAnswer(co_await sendAppend(stream, record, why));
            break;
        case AppendCourse::Step::Look:
            co_await look(course, stream, why);
            break;
        case AppendCourse::Step::Wait:
            co_await pause.wait(course.waitTime());
            course.onWaited();
            break;
        case AppendCourse::Step::Done:
            ends_[stream] = std::max(ends_[stream], course.offset().next());
            co_return course.offset();
        case AppendCourse::Step::Failed:
            why = course.error();
            why.peer = endpoint_.address.text();
            co_return std::nullopt;
        }
    }
}

net::Task<std::optional<LogPage>> LogClient::read(std::string stream, Offset from, int limit, core::Milliseconds wait, core::Error &why)
{
    net::HttpRequest request;
    request.target
        = "/log/" + stream + "?from=" + std::to_string(from.value()) + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = co_await http_.call(endpoint_.address, std::move(request), callOptions(endpoint_, wait), why);
    if (!answer) {
        why.step = core::Step::Log;
        co_return std::nullopt;
    }
    if (answer->status != statusOk) {
        why = statusError(core::Step::Log, endpoint_.address, answer->status);
        co_return std::nullopt;
    }
    auto page = parseLogPage(answer->body, why);
    if (page) {
        ends_[stream] = std::max(ends_[stream], page->next);
    } else {
        why.peer = endpoint_.address.text();
    }
    co_return page;
}

net::Task<std::optional<Offset>> LogClient::appendOnce(std::string stream, std::string record, core::Error &why)
{
    const auto answer = co_await sendAppend(std::move(stream), std::move(record), why);
    if (answer.status == statusOk && answer.offset > Offset()) {
        co_return answer.offset;
    }
    if (answer.status != 0) {
        why = statusError(core::Step::Log, endpoint_.address, answer.status);
    }
    why.step = core::Step::Log;
    why.peer = endpoint_.address.text();
    why.refusal = core::Refusal::Unavailable;
    why.outcome = mayHaveTakenEffect(answer) ? core::Outcome::Unknown : core::Outcome::NotRun;
    co_return std::nullopt;
}

net::Task<AppendAnswer> LogClient::sendAppend(std::string stream, std::string record, core::Error &why)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/log/" + stream;
    request.headers.set("Content-Type", "application/json");
    request.body = std::move(record);
    const auto answer = co_await http_.call(endpoint_.address, std::move(request), callOptions(endpoint_, core::Milliseconds()), why);
    if (!answer) {
        co_return AppendAnswer{0, Offset(), why.outcome == core::Outcome::NotRun};
    }
    co_return AppendAnswer{answer->status, answer->status == statusOk ? offsetOfAnswer(answer->body) : Offset(), false};
}

net::Task<void> LogClient::look(AppendCourse &course, std::string stream, core::Error &why)
{
    const auto page = co_await read(std::move(stream), course.lookFrom(), pageLimit, core::Milliseconds(), why);
    if (page) {
        course.onPage(*page);
    } else {
        course.onReadFailed();
    }
}

/// An offset that the stream had not passed before now: what followers saw last, else asked for.
net::Task<std::optional<Offset>> LogClient::endOf(std::string stream, core::Error &why)
{
    const auto known = ends_.find(stream);
    if (known != ends_.end()) {
        co_return known->second;
    }
    const auto page = co_await read(std::move(stream), Offset(1), 1, core::Milliseconds(), why);
    if (!page) {
        why.outcome = core::Outcome::NotRun;
        co_return std::nullopt;
    }
    co_return page->next;
}

// ---- LogFollower ----

struct LogFollower::Timer : Pause {
    using Pause::Pause;
};

LogFollower::LogFollower(boost::asio::io_context &io, LogClient &log, Endpoint endpoint, std::string stream, FollowerEvents events, Offset from)
    : log_(log)
    , endpoint_(std::move(endpoint))
    , stream_(std::move(stream))
    , events_(std::move(events))
    , cursor_(std::max(from, Offset(1)))
    , backoff_(backoffOf(endpoint_, core::hashText(stream_, 0)))
    , timer_(std::make_unique<Timer>(io))
{ }

LogFollower::~LogFollower() = default;

net::Task<void> LogFollower::run()
{
    while (!stopped_) {
        core::Error why;
        const bool isUrgent = events_.isUrgent && events_.isUrgent();
        auto page = co_await log_.read(stream_, cursor_.next(), pageLimit, isUrgent ? std::min(urgentWait, endpoint_.logWait) : endpoint_.logWait, why);
        if (stopped_) {
            break;
        }
        if (page) {
            noteSuccess();
            take(std::move(*page));
        } else {
            noteFailure(why);
        }
        if (mustPause_ && !stopped_) {
            co_await timer_->wait(backoff_.next());
        }
    }
}

void LogFollower::stop()
{
    stopped_ = true;
    timer_->end();
}

void LogFollower::take(LogPage page)
{
    const auto end = page.next;
    const auto first = page.first;
    const auto news = cursor_.onPage(std::move(page));
    mustPause_ = news.stale;
    if (!news.stale) {
        backoff_.reset();
    }
    if (!news.stale && events_.onKept) {
        events_.onKept(first);
    }
    if (news.gapUntil && events_.onGap) {
        events_.onGap(*news.gapUntil);
    }
    for (const auto &record : news.records) {
        if (events_.onRecord) {
            events_.onRecord(record);
        }
    }
    if (news.caughtUp && events_.onCaughtUp) {
        events_.onCaughtUp(end);
    }
}

void LogFollower::noteFailure(const core::Error &why)
{
    mustPause_ = true;
    if (!outageSince_) {
        outageSince_ = core::SteadyClock().now();
        if (events_.onOutage) {
            events_.onOutage(why);
        }
    }
}

void LogFollower::noteSuccess()
{
    if (outageSince_) {
        const auto out = core::SteadyClock().now() - *outageSince_;
        outageSince_.reset();
        if (events_.onRecovery) {
            events_.onRecovery(out);
        }
    }
}

// ---- HostListFollower ----

struct HostListFollower::Timer : Pause {
    using Pause::Pause;
};

HostListFollower::HostListFollower(boost::asio::io_context &io, net::HttpClient &http, Endpoint endpoint, OnList onList, OnOutage onOutage)
    : http_(http)
    , endpoint_(std::move(endpoint))
    , onList_(std::move(onList))
    , onOutage_(std::move(onOutage))
    , timer_(std::make_unique<Timer>(io))
{ }

HostListFollower::~HostListFollower() = default;

net::Task<void> HostListFollower::run()
{
    while (!stopped_) {
        core::Error why;
        const bool good = co_await poll(why);
        if (stopped_) {
            break;
        }
        if (!good && !failing_ && onOutage_) {
            onOutage_(why);
        }
        failing_ = !good;
        co_await timer_->wait(endpoint_.hostsPoll);
    }
}

void HostListFollower::stop()
{
    stopped_ = true;
    timer_->end();
}

net::Task<bool> HostListFollower::poll(core::Error &why)
{
    net::HttpRequest request;
    request.target = "/hosts";
    const auto answer = co_await http_.call(endpoint_.address, std::move(request), callOptions(endpoint_, core::Milliseconds()), why);
    if (!answer) {
        why.step = core::Step::Hosts;
        co_return false;
    }
    if (answer->status != statusOk) {
        why = statusError(core::Step::Hosts, endpoint_.address, answer->status);
        co_return false;
    }
    auto list = parseHostList(answer->body, why);
    if (!list) {
        why.peer = endpoint_.address.text();
        co_return false;
    }
    if (current_ && list->asOfMs < current_->asOfMs) {
        why = core::Error{.step = core::Step::Hosts, .peer = endpoint_.address.text(), .reason = "a host list older than the last one"};
        co_return false;
    }
    current_ = std::move(list);
    readAt_ = core::SteadyClock().now();
    if (onList_ && !stopped_) {
        onList_(*current_);
    }
    co_return true;
}

std::optional<core::Milliseconds> HostListFollower::age() const
{
    return current_ ? std::optional(core::SteadyClock().now() - readAt_) : std::nullopt;
}

} // namespace baobabstall::platform
