#include "hosted.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <core/clock.h>
#include <platform/codec.h>
#include <platform/store.h>
#include <serving/hosteddaemon.h>

namespace {

using namespace baobabstall;
namespace asio = boost::asio;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr core::Milliseconds settingsLook{2'000}; // between looks whether the settings file has changed without a signal

std::string contentOf(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Reads the settings anew on SIGHUP and when the file's content differs. A wrong file keeps what is in force.
class SettingsWatch
{
public:
    SettingsWatch(asio::io_context &io, std::string path, serving::HostedDaemon &daemon)
        : path_(std::move(path))
        , daemon_(daemon)
        , signals_(io, SIGHUP)
        , timer_(io)
        , content_(contentOf(path_))
    {
        waitSignal();
        waitTime();
    }

    void stop()
    {
        signals_.cancel();
        timer_.cancel();
    }

private:
    void waitSignal()
    {
        signals_.async_wait([this](boost::system::error_code cancelled, int) {
            if (!cancelled) {
                look(true);
                waitSignal();
            }
        });
    }

    void waitTime()
    {
        timer_.expires_after(net::chronoOf(settingsLook));
        timer_.async_wait([this](boost::system::error_code cancelled) {
            if (!cancelled) {
                look(false);
                waitTime();
            }
        });
    }

    void look(bool isAsked)
    {
        auto content = contentOf(path_);
        if (content == content_ && !isAsked) {
            return;
        }
        content_ = std::move(content);
        core::Error why;
        const auto settings = settings::parseHostedSettings(content_, path_, why);
        if (settings) {
            daemon_.reload(*settings);
        } else {
            daemon_.onSettingsRejected(why);
        }
    }

    std::string path_;
    serving::HostedDaemon &daemon_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    std::string content_;
};

} // namespace

namespace {

int serveUntilStopped(const std::string &path)
{
    core::Error why;
    const auto settings = settings::loadHostedSettings(path, why);
    auto log = settings ? logging::Log::open(settings->logging, settings->host, why) : std::nullopt;
    if (!log) {
        std::cerr << why.text() << '\n';
        return exitFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int oneThread = 1;
    // Never destroyed: it would destroy suspended coroutines after the daemon that they belong to.
    asio::io_context &io = *std::make_unique<asio::io_context>(oneThread).release();
    const core::Incarnation incarnation(static_cast<std::uint64_t>(core::civilMilliseconds()));
    const platform::PlatformCodec codec;
    net::HttpClient http(io);
    serving::HostedDaemon *running = nullptr;
    platform::StoreOptions storeOptions;
    storeOptions.address = *net::Address::parse(settings->platform.address);
    storeOptions.onUnreadableEra = [&running](const core::Error &error) {
        if (running != nullptr) {
            running->onUnreadableStoreEra(error);
        }
    };
    storeOptions.onUnreadableEntry = [&running](const core::Error &error) {
        if (running != nullptr) {
            running->onUnreadableStoreEntry(error);
        }
    };
    platform::PlatformStore store(http, std::move(storeOptions));
    serving::HostedDaemon daemon(io, *settings, codec, store, incarnation, std::move(*log));
    running = &daemon;
    if (!daemon.start(why)) {
        std::cerr << why.text() << '\n';
        return exitFailed;
    }
    SettingsWatch watch(io, path, daemon);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code cancelled, int) {
        if (!cancelled) {
            asio::co_spawn(io, daemon.stop(), [&](const std::exception_ptr &) { io.stop(); });
        }
    });
    io.run();
    return exitOk;
}

} // namespace

int serveHosted(const std::string &path)
{
    const int code = serveUntilStopped(path);
    // log4cplus joins its idle threads at exit, which can take until SIGKILL; nothing is left to tear down.
    std::_Exit(code);
}

int checkHostedSettings(const std::string &path)
{
    core::Error why;
    if (!settings::loadHostedSettings(path, why)) {
        std::cerr << why.text() << '\n';
        return exitFailed;
    }
    std::cout << path << ": the settings are good\n";
    return exitOk;
}
