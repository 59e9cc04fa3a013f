// tests/harness/deployment.h: a deployment of real processes on loopback, started through scripts/local.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <harness/client.h>

namespace baobabstall::harness {

struct DeploymentOptions {
    int daemons = 3;
    int engines = 2;
    int services = 2;
    int slots = 8;
    std::string fencing = "on";     // "on", "off", "mixed"
    Json settings = Json::object(); // merged into each daemon's settings
    std::vector<std::string> more;  // further options of scripts/local
};

/// Names are those of scripts/local: platform, engine-N, planning-N, entry-N, from 1. Ends everything when destroyed.
/// Calls and questions may come from several threads; processes are started and stopped by one.
class Deployment
{
public:
    /// Throws std::runtime_error when the deployment does not come up.
    explicit Deployment(const DeploymentOptions &options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    // Addresses.
    [[nodiscard]] std::string platform() const { return address("platform"); }
    [[nodiscard]] std::string address(const std::string &name) const;     // of a stand-in
    [[nodiscard]] std::string callers(const std::string &daemon) const;   // of a daemon
    [[nodiscard]] std::string operators(const std::string &daemon) const; // of a daemon
    [[nodiscard]] std::string peers(const std::string &daemon) const;     // of a daemon
    [[nodiscard]] std::vector<std::string> daemons() const;
    [[nodiscard]] std::vector<std::string> engines() const;
    [[nodiscard]] std::vector<std::string> services() const;
    [[nodiscard]] std::string log(const std::string &name) const; // what a process wrote to standard error

    /// How often a process was killed, and whether it is down or told to stop: then its callers may be cut off.
    struct Life {
        int kills = 0;
        bool isDown = false;
    };
    [[nodiscard]] Life life(const std::string &name) const;

    // Faults and records of stand-ins.
    void fault(const std::string &name, const Json &faults);
    [[nodiscard]] Json record(const std::string &name, const std::string &part); // "requests", "orders", "violations", "executions", ...
    void setHost(const std::string &name, const Json &fields);                   // at the platform's host list

    // Processes.
    void freeze(const std::string &name);
    void wake(const std::string &name);
    void kill(const std::string &name);
    Json start(const std::string &name, bool untilReady = true);
    /// A planned stop: gives exit code and seconds.
    Json stop(const std::string &name);
    /// A planned stop that runs while the test goes on; read its outcome with finishStop() before the next command.
    void beginStop(const std::string &name);
    Json finishStop();
    /// Ends all in good order; 0 when every process that still ran ended with 0.
    int end();

    Client client;

private:
    [[nodiscard]] Json info(const std::string &name) const;
    [[nodiscard]] Json group(const std::string &name) const;
    void setDown(const std::string &name, bool isDown, int kills);
    Json command(const Json &command);
    void send(const Json &command);
    Json readLine();

    pid_t pid_ = 0; // of scripts/local
    int toScript_ = -1;
    int fromScript_ = -1;
    std::string unread_;
    mutable std::mutex mutex_; // of what follows: tests call from several threads
    Json summary_;
    std::map<std::string, Life> lives_;
};

} // namespace baobabstall::harness
