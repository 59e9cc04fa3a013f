// standins/common/standin.h: what the three stand-ins share. Scaffolding for tests and the demo; not shipped.
//
// Index
//   Faults       the faults that POST /faults switches
//   StandIn      base of a stand-in: faults that all have, GET /faults, GET /record
//   Options      the command line of a stand-in
//   runStandIn() listens, prints one JSON line with the address, serves until SIGTERM
//
// Faults that every stand-in has (0 or false: off):
//   slow_ms       each request waits that long before it is acted on
//   stopped       requests are taken and not acted on until it is false again
//   delay_ms      each answer waits that long after the request was acted on
//   lose_answers  that many requests are acted on, and the connection is cut in place of the answer
//   on_path       the four above hold only for targets that begin with it; empty: all
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <net/http.h>

namespace baobabstall::standins {

using Json = nlohmann::json;
using net::Task;

/// Switches and counters by name. A key that the stand-in does not know is refused.
class Faults
{
public:
    explicit Faults(Json known);

    /// Sets the keys of `wanted`; false and a reason for an unknown key or another type.
    bool change(const Json &wanted, std::string &why);
    [[nodiscard]] std::int64_t number(std::string_view key) const;
    [[nodiscard]] bool flag(std::string_view key) const;
    [[nodiscard]] std::string text(std::string_view key) const;
    /// For "the next N": true and one less while any is left.
    bool take(std::string_view key);
    [[nodiscard]] const Json &all() const { return values_; }

private:
    Json values_;
};

/// One stand-in. Derived classes serve their own targets.
class StandIn
{
public:
    StandIn(boost::asio::io_context &io, const Json &ownFaults);
    virtual ~StandIn() = default;
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    Task<void> handle(net::Exchange &exchange);

protected:
    virtual Task<void> serve(net::Exchange &exchange) = 0;
    [[nodiscard]] virtual Json record() const = 0;
    /// Takes orders given with faults that are acts rather than states, such as {"restart":true}; removes them from `wanted`.
    virtual void act(Json &wanted);

    /// Sends the answer, or loses or delays it as the faults say.
    Task<void> answer(net::Exchange &exchange, net::HttpResponse response);
    /// Cuts the connection without a whole answer.
    static Task<void> cut(net::Exchange &exchange);
    Task<void> sleep(core::Milliseconds time);
    [[nodiscard]] bool concerns(const net::Exchange &exchange) const; // whether on_path covers the request

    boost::asio::io_context &io_;
    Faults faults_;

private:
    Task<void> serveFaults(net::Exchange &exchange);
    Task<void> waitBefore(net::Exchange &exchange);
};

/// The command line of one stand-in: fields are bound to `values` by the program.
using Options = boost::program_options::options_description;
using Factory = std::function<std::unique_ptr<StandIn>(boost::asio::io_context &)>;

/// The body of main(): reads `options` and --listen, serves, gives the exit code.
int runStandIn(int argc, char **argv, Options &options, const Factory &make);

/// An error answer in the shape that OpenAI servers use.
[[nodiscard]] net::HttpResponse errorAnswer(int status, const std::string &type);
/// The body as JSON; a discarded value when it is none.
[[nodiscard]] Json bodyOf(const net::HttpRequest &request);

} // namespace baobabstall::standins
