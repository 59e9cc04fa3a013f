// standins/service: a plain service whose calls must not be run twice by accident. Acts on every POST and says so.
//
//   POST /ANYTHING   200 {"execution":N,"service":NAME,"path":..,"request_id":..,"idempotency_key":..}
//   GET  /ANYTHING   200 {"service":NAME,"path":..}; nothing is executed
//   GET  /record     {"executions":[{"execution","at_ms","path","request_id","idempotency_key","body"}]}
//
// Faults besides the common ones: fail (that many requests are refused with 500 before they are executed), leaving (all get 503 with
// type "leaving" and are not executed).
#include <common/standin.h>
#include <core/clock.h>

namespace baobabstall::standins {

namespace {

class Service final : public StandIn
{
public:
    Service(boost::asio::io_context &io, std::string name, core::Milliseconds work)
        : StandIn(io, {{"fail", 0}, {"leaving", false}})
        , name_(std::move(name))
        , work_(work)
    { }

protected:
    Task<void> serve(net::Exchange &exchange) override
    {
        if (faults_.flag("leaving")) {
            co_await answer(exchange, errorAnswer(503, "leaving"));
            co_return;
        }
        if (faults_.take("fail")) {
            co_await answer(exchange, errorAnswer(500, "told_to_fail"));
            co_return;
        }
        const auto &request = exchange.request();
        Json result{{"service", name_}, {"path", std::string(request.path())}};
        if (request.method == "POST") {
            result.update(execute(request));
        }
        if (work_.count() > 0) {
            co_await sleep(work_);
        }
        co_await answer(exchange, net::HttpResponse::json(200, result.dump()));
    }

    [[nodiscard]] Json record() const override { return {{"service", name_}, {"executions", executions_}}; }

private:
    Json execute(const net::HttpRequest &request)
    {
        Json execution{{"execution", executions_.size() + 1},
                       {"path", std::string(request.path())},
                       {"request_id", request.headers.find("X-Request-Id").value_or("")},
                       {"idempotency_key", request.headers.find("Idempotency-Key").value_or("")}};
        executions_.push_back(execution);
        executions_.back()["at_ms"] = core::civilMilliseconds();
        executions_.back()["body"] = request.body;
        return execution;
    }

    std::string name_;
    core::Milliseconds work_;
    Json executions_ = Json::array();
};

} // namespace

} // namespace baobabstall::standins

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    using namespace baobabstall;
    std::string name;
    std::int64_t work = 0;
    standins::Options options("standin-service");
    options.add_options()("name", po::value(&name)->default_value("planning"), "the service's name")(
        "work-ms", po::value(&work)->default_value(0), "time between execution and answer");
    return standins::runStandIn(
        argc, argv, options, [&](boost::asio::io_context &io) { return std::make_unique<standins::Service>(io, name, core::Milliseconds(work)); });
}
