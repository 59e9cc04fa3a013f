// standins/engine: one model engine; engine.h says what it does.
#include "engine.h"

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    using namespace baobabstall;
    standins::EngineOptions engine;
    std::string fencing;
    standins::Options options("standin-engine");
    options.add_options()("platform", po::value(&engine.platform), "ip:port of the weight store; none: weights are there at once")(
        "slots", po::value(&engine.slots)->default_value(engine.slots), "adapters held at once")(
        "batch", po::value(&engine.batch)->default_value(engine.batch), "requests that run at once")(
        "token-ms", po::value(&engine.tokenMs)->default_value(engine.tokenMs), "between tokens")(
        "load-ms", po::value(&engine.loadMs)->default_value(engine.loadMs), "a load's own time after the weights arrived")(
        "report-lag-ms", po::value(&engine.reportLagMs)->default_value(engine.reportLagMs), "lag of GET /load")(
        "linger-ms", po::value(&engine.lingerMs)->default_value(engine.lingerMs), "how long a stream without a reader goes on")(
        "fencing", po::value(&fencing)->default_value("on"), "on: refuses orders with an old number; off: takes any")(
        "start", po::value(&engine.start)->default_value(engine.start), "start number");
    return standins::runStandIn(argc, argv, options, [&](boost::asio::io_context &io) {
        engine.checksFencing = fencing != "off";
        return std::make_unique<standins::Engine>(io, engine);
    });
}
