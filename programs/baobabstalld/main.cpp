// baobabstalld: the daemon of one entry host. Reads its settings, serves until SIGTERM, then stops without cutting a request off.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <core/clock.h>
#include <gateway/daemon.h>
#include <settings/settings.h>

#include "hosted.h"

namespace {

using namespace baobabstall;
namespace options = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitFailed = 1; // could not start, or cut requests off at the stop's time limit
constexpr int exitUsage = 2;

int usageError(const std::string &message)
{
    std::cerr << "baobabstalld: " << message << "; see baobabstalld --help\n";
    return exitUsage;
}

int checkSettings(const std::string &path)
{
    core::Error why;
    if (!settings::loadSettings(path, why)) {
        std::cerr << why.text() << '\n';
        return exitFailed;
    }
    std::cout << path << ": the settings are good\n";
    return exitOk;
}

/// One line for whoever started the daemon: where it listens.
void printAddresses(const settings::Settings &settings, const gateway::Addresses &addresses)
{
    std::cout << nlohmann::json({{"host", settings.host.value()},
                                 {"callers", addresses.callers.text()},
                                 {"peers", addresses.peers.text()},
                                 {"operators", addresses.operators.text()}})
                     .dump()
              << std::endl;
}

int serve(const std::string &path)
{
    core::Error why;
    const auto settings = settings::loadSettings(path, why);
    const auto key = settings ? settings::loadKey(*settings, why) : std::nullopt;
    auto log = key ? logging::Log::open(settings->logging, settings->host, why) : std::nullopt;
    if (!log) {
        std::cerr << why.text() << '\n';
        return exitFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io;
    const core::Incarnation incarnation(static_cast<std::uint64_t>(core::civilMilliseconds()));
    gateway::Daemon daemon(io, *settings, *key, incarnation, std::move(*log));
    const auto addresses = daemon.start(why);
    if (!addresses) {
        std::cerr << why.text() << '\n';
        return exitFailed;
    }
    printAddresses(*settings, *addresses);
    bool isClean = true;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    const auto stop = [&] {
        boost::asio::co_spawn(io, daemon.stop(), [&](const std::exception_ptr &, bool clean) {
            isClean = clean;
            io.stop();
        });
    };
    signals.async_wait([&](boost::system::error_code cancelled, int) {
        if (!cancelled) {
            stop();
        }
    });
    daemon.onOutdated([&] {
        signals.cancel();
        stop();
    });
    io.run();
    return isClean ? exitOk : exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("baobabstalld --settings FILE");
    described.add_options()("help,h", "this text")("version", "print the version")(
        "settings", options::value<std::string>(), "settings file, JSON with comments; serve until SIGTERM")(
        "check-settings", options::value<std::string>(), "check a settings file and exit: 0 good, 1 not")(
        "hosted", "serve on a platform with a shared store; without --settings the file is named by BAOBABSTALL_CONFIG");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
    } catch (const options::error &error) {
        return usageError(error.what());
    }
    if (given.contains("help")) {
        std::cout << described;
        return exitOk;
    }
    if (given.contains("version")) {
        std::cout << "baobabstalld " BAOBABSTALL_VERSION "\n";
        return exitOk;
    }
    const bool isHosted = given.contains("hosted");
    if (given.contains("check-settings")) {
        const auto path = given["check-settings"].as<std::string>();
        return isHosted ? checkHostedSettings(path) : checkSettings(path);
    }
    const char *named = std::getenv("BAOBABSTALL_CONFIG");
    if (isHosted && !given.contains("settings") && named != nullptr) {
        return serveHosted(named);
    }
    if (!given.contains("settings")) {
        return usageError("no settings file; give --settings FILE");
    }
    const auto path = given["settings"].as<std::string>();
    return isHosted ? serveHosted(path) : serve(path);
}
