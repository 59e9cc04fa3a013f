#include "platformsession.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <core/clock.h>

namespace baobabstall::cli {

namespace {

using core::Milliseconds;
using core::Offset;
using lists::Verdict;

constexpr Milliseconds daemonTimeout(3'000);   // for one daemon to answer
constexpr Milliseconds verdictTimeout(10'000); // for an appended record to show in reads
constexpr Milliseconds verdictPoll(200);       // wait of one read meanwhile
constexpr int readTries = 3;                   // of one read: an answer can be lost
constexpr int pageLimit = 500;                 // records of one read
constexpr std::size_t maxHistory = 10'000;     // records kept for `history`
constexpr int statusOk = 200;

platform::Endpoint endpointOf(const net::Address &address)
{
    platform::Endpoint endpoint;
    endpoint.address = address;
    endpoint.seed = std::random_device()();
    return endpoint;
}

} // namespace

PlatformSession::PlatformSession(const net::Address &platform)
    : endpoint_(endpointOf(platform))
    , log_(io_, http_, endpoint_)
{ }

template<typename T>
T PlatformSession::run(net::Task<T> task)
{
    std::optional<T> result;
    std::exception_ptr failure;
    boost::asio::co_spawn(io_, std::move(task), [&](std::exception_ptr failed, T value) {
        failure = failed;
        result.emplace(std::move(value));
        io_.stop();
    });
    io_.run();
    io_.restart();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return std::move(*result);
}

bool PlatformSession::readLists(core::Error &why)
{
    return run(readTo(Offset(), why));
}

/// Reads to the end of the stream, and on until record `end` was read.
net::Task<bool> PlatformSession::readTo(Offset end, core::Error &why)
{
    const auto deadline = core::SteadyClock().now() + verdictTimeout;
    bool isFirst = true;
    while (isFirst || !isAtEnd_ || lists_.position() < end) {
        isFirst = false;
        if (core::SteadyClock().now() > deadline) {
            why = core::Error{
                .step = core::Step::Log, .peer = endpoint_.address.text(), .reason = "reads of the log lag", .refusal = core::Refusal::Unavailable};
            co_return false;
        }
        if (!co_await readPage(lists_.position() < end ? verdictPoll : Milliseconds(), why)) {
            co_return false;
        }
    }
    co_return true;
}

net::Task<bool> PlatformSession::readPage(Milliseconds wait, core::Error &why)
{
    platform::FollowCursor cursor(lists_.position().next());
    std::optional<platform::LogPage> page;
    for (int tries = 0; tries < readTries && !page; ++tries) {
        page = co_await log_.read(std::string(lists::listsStream), cursor.next(), pageLimit, wait, why);
    }
    if (!page) {
        co_return false;
    }
    const auto news = cursor.onPage(std::move(*page));
    if (news.gapUntil) {
        lists_.skipTo(*news.gapUntil);
    }
    for (const auto &record : news.records) {
        history_.push_back({record.offset, record.timeMs, lists_.apply(record.offset, record.timeMs, record.data)});
    }
    if (news.caughtUp) {
        lists_.onCaughtUp();
    }
    while (history_.size() > maxHistory) {
        history_.pop_front();
    }
    isAtEnd_ = news.caughtUp;
    co_return true;
}

std::optional<Offset> PlatformSession::append(const std::vector<lists::OutgoingRecord> &records, core::Error &why)
{
    return run(appendAll(records, why));
}

net::Task<std::optional<Offset>> PlatformSession::appendAll(const std::vector<lists::OutgoingRecord> &records, core::Error &why)
{
    std::optional<Offset> last;
    for (const auto &record : records) {
        last = co_await log_.append(std::string(lists::listsStream), record.id, record.text, why);
        if (!last) {
            break;
        }
    }
    co_return last;
}

std::optional<Verdict> PlatformSession::verdictOn(const std::string &group, Offset offset, core::Error &why)
{
    if (!run(readTo(offset, why))) {
        return std::nullopt;
    }
    std::optional<Verdict> verdict;
    for (const auto &record : history_) {
        const bool isDecided = verdict && (verdict->kind == Verdict::Kind::Rejected || verdict->kind == Verdict::Kind::Accepted);
        if (record.verdict.group == group && !isDecided) {
            verdict = record.verdict;
        }
    }
    return verdict;
}

std::optional<std::vector<DaemonAnswer>> PlatformSession::askDaemons(const std::string &target, core::Error &why)
{
    platform::HostListFollower hosts(io_, http_, endpoint_, {});
    if (!run(hosts.poll(why))) {
        return std::nullopt;
    }
    std::vector<platform::Host> daemons;
    for (const auto &host : hosts.current()->hosts) {
        if (std::holds_alternative<platform::DaemonHost>(host.role)) {
            daemons.push_back(host);
        }
    }
    std::vector<DaemonAnswer> answers(daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        boost::asio::co_spawn(io_, ask(daemons[i], target, answers[i]), [](std::exception_ptr, bool) {});
    }
    io_.run();
    io_.restart();
    return answers;
}

net::Task<bool> PlatformSession::ask(const platform::Host &host, std::string target, DaemonAnswer &answer)
{
    answer.host = host.id;
    answer.zone = host.zone;
    answer.isLeaving = host.state == platform::HostState::Leaving;
    net::HttpRequest request;
    request.target = std::move(target);
    net::CallOptions options;
    options.timeout = daemonTimeout;
    core::Error why;
    const auto &address = std::get<platform::DaemonHost>(host.role).operators;
    const auto response = co_await http_.call(address, std::move(request), options, why);
    if (!response) {
        answer.error = why.text();
        co_return false;
    }
    answer.status = response->status;
    answer.body = nlohmann::json::parse(response->body, nullptr, false);
    if (answer.body.is_discarded() || response->status != statusOk) {
        answer.body = nullptr;
        answer.error = address.text() + ": status " + std::to_string(response->status);
    }
    co_return !answer.body.is_null();
}

} // namespace baobabstall::cli
