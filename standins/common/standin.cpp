#include <common/standin.h>

#include <csignal>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <net/asio.h>

namespace baobabstall::standins {

namespace {

constexpr core::Milliseconds pollInterval{20};
constexpr std::size_t maxConnections = 4096;
constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;

Json commonFaults()
{
    return {{"slow_ms", 0}, {"stopped", false}, {"delay_ms", 0}, {"lose_answers", 0}, {"on_path", ""}};
}

} // namespace

Faults::Faults(Json known)
    : values_(std::move(known))
{ }

bool Faults::change(const Json &wanted, std::string &why)
{
    if (!wanted.is_object()) {
        why = "a JSON object is expected";
        return false;
    }
    for (const auto &[key, value] : wanted.items()) {
        const auto known = values_.find(key);
        const bool sameKind = known != values_.end() && (known->type() == value.type() || (known->is_number() && value.is_number()));
        if (!sameKind) {
            why = "unknown fault or wrong type: " + key;
            return false;
        }
    }
    values_.update(wanted);
    return true;
}

std::int64_t Faults::number(std::string_view key) const
{
    return values_.at(std::string(key)).get<std::int64_t>();
}

bool Faults::flag(std::string_view key) const
{
    return values_.at(std::string(key)).get<bool>();
}

std::string Faults::text(std::string_view key) const
{
    return values_.at(std::string(key)).get<std::string>();
}

bool Faults::take(std::string_view key)
{
    const auto left = number(key);
    if (left <= 0) {
        return false;
    }
    values_[std::string(key)] = left - 1;
    return true;
}

StandIn::StandIn(boost::asio::io_context &io, const Json &ownFaults)
    : io_(io)
    , faults_([&ownFaults] {
        auto known = commonFaults();
        known.update(ownFaults);
        return known;
    }())
{ }

Task<void> StandIn::handle(net::Exchange &exchange)
{
    const auto path = exchange.request().path();
    if (path == "/faults") {
        co_await serveFaults(exchange);
        co_return;
    }
    if (path == "/record") {
        co_await exchange.respond(net::HttpResponse::json(200, record().dump()));
        co_return;
    }
    co_await waitBefore(exchange);
    co_await serve(exchange);
}

void StandIn::act(Json & /*wanted*/) { }

Task<void> StandIn::serveFaults(net::Exchange &exchange)
{
    if (exchange.request().method == "POST") {
        auto wanted = bodyOf(exchange.request());
        if (wanted.is_object()) {
            act(wanted);
        }
        std::string why;
        if (!faults_.change(wanted, why)) {
            co_await exchange.respond(errorAnswer(400, why));
            co_return;
        }
    }
    co_await exchange.respond(net::HttpResponse::json(200, faults_.all().dump()));
}

bool StandIn::concerns(const net::Exchange &exchange) const
{
    return exchange.request().target.starts_with(faults_.text("on_path"));
}

Task<void> StandIn::waitBefore(net::Exchange &exchange)
{
    if (!concerns(exchange)) {
        co_return;
    }
    if (faults_.number("slow_ms") > 0) {
        co_await sleep(core::Milliseconds(faults_.number("slow_ms")));
    }
    while (faults_.flag("stopped")) {
        co_await sleep(pollInterval);
    }
}

Task<void> StandIn::answer(net::Exchange &exchange, net::HttpResponse response)
{
    if (concerns(exchange)) {
        if (faults_.number("delay_ms") > 0) {
            co_await sleep(core::Milliseconds(faults_.number("delay_ms")));
        }
        if (faults_.take("lose_answers")) {
            co_await cut(exchange);
            co_return;
        }
    }
    co_await exchange.respond(std::move(response));
}

Task<void> StandIn::cut(net::Exchange &exchange)
{
    if (!exchange.answered()) {
        co_await exchange.begin(200, {});
    }
}

Task<void> StandIn::sleep(core::Milliseconds time)
{
    co_await net::sleep(io_, time);
}

net::HttpResponse errorAnswer(int status, const std::string &type)
{
    return net::HttpResponse::json(status, Json{{"error", {{"type", type}}}}.dump());
}

Json bodyOf(const net::HttpRequest &request)
{
    return Json::parse(request.body, nullptr, false);
}

int runStandIn(int argc, char **argv, Options &options, const Factory &make)
{
    namespace po = boost::program_options;
    std::string listen;
    options.add_options()("listen", po::value(&listen)->default_value("127.0.0.1:0"), "ip:port; port 0 lets the kernel choose")("help", "this text");
    po::variables_map given;
    try {
        po::store(po::parse_command_line(argc, argv, options), given);
        po::notify(given);
    } catch (const po::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    }
    if (given.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    const auto wanted = net::Address::parse(listen);
    if (!wanted) {
        std::cerr << "--listen takes ip:port\n";
        return 2;
    }

    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io;
    const auto standIn = make(io);
    net::ServerLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    limits.maxConnections = maxConnections;
    net::HttpServer server(io, limits, [&standIn](net::Exchange &exchange) { return standIn->handle(exchange); });
    core::Error why;
    const auto address = server.listen(*wanted, why);
    if (!address) {
        std::cerr << why.text() << '\n';
        return 1;
    }
    std::cout << Json{{"address", address->text()}}.dump() << std::endl; // the reader waits for it
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace baobabstall::standins
