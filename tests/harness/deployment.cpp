#include <harness/deployment.h>

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace baobabstall::harness {

namespace {

constexpr std::array<const char *, 3> groups{"engines", "services", "daemons"};
constexpr int answerTimeoutMs = 60'000; // for one command of scripts/local; only a failing test reaches it

std::vector<std::string> commandLine(const DeploymentOptions &options)
{
    std::vector<std::string> words{BAOBABSTALL_SOURCE_DIR "/scripts/local", "--build", BAOBABSTALL_BUILD_DIR, "--until-eof"};
    const auto add = [&words](const char *name, const std::string &value) {
        words.emplace_back(name);
        words.push_back(value);
    };
    add("--daemons", std::to_string(options.daemons));
    add("--engines", std::to_string(options.engines));
    add("--services", std::to_string(options.services));
    add("--slots", std::to_string(options.slots));
    add("--fencing", options.fencing);
    add("--settings-overrides", options.settings.dump());
    words.insert(words.end(), options.more.begin(), options.more.end());
    return words;
}

std::array<int, 2> makePipe()
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    return ends;
}

std::vector<std::string> namesOf(const Json &group)
{
    std::vector<std::string> names;
    for (const auto &[name, info] : group.items()) {
        names.push_back(name);
    }
    return names;
}

} // namespace

Deployment::Deployment(const DeploymentOptions &options)
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
    const auto in = makePipe();
    const auto out = makePipe();
    auto words = commandLine(options);
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, in[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, out[1], STDOUT_FILENO);
    const int failed = posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(in[0]);
    close(out[1]);
    toScript_ = in[1];
    fromScript_ = out[0];
    if (failed != 0) {
        pid_ = 0;
        throw std::runtime_error("scripts/local could not be started");
    }
    summary_ = readLine();
}

Deployment::~Deployment()
{
    end();
    close(fromScript_);
}

int Deployment::end()
{
    if (pid_ == 0) {
        return 0;
    }
    close(toScript_); // the script stops everything at the end of its input
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
}

Json Deployment::info(const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    if (name == "platform") {
        return summary_.at(name);
    }
    for (const auto *group : groups) {
        if (summary_.at(group).contains(name)) {
            return summary_.at(group).at(name);
        }
    }
    throw std::runtime_error("no process " + name);
}

Json Deployment::group(const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    return summary_.at(name);
}

Deployment::Life Deployment::life(const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = lives_.find(name);
    return found == lives_.end() ? Life{} : found->second;
}

void Deployment::setDown(const std::string &name, bool isDown, int kills)
{
    const std::lock_guard lock(mutex_);
    lives_[name].isDown = isDown;
    lives_[name].kills += kills;
}

std::string Deployment::address(const std::string &name) const
{
    return info(name).at("address");
}

std::string Deployment::callers(const std::string &daemon) const
{
    return info(daemon).at("callers");
}

std::string Deployment::operators(const std::string &daemon) const
{
    return info(daemon).at("operators");
}

std::string Deployment::peers(const std::string &daemon) const
{
    return info(daemon).at("peers");
}

std::vector<std::string> Deployment::daemons() const
{
    return namesOf(group("daemons"));
}

std::vector<std::string> Deployment::engines() const
{
    return namesOf(group("engines"));
}

std::vector<std::string> Deployment::services() const
{
    return namesOf(group("services"));
}

std::string Deployment::log(const std::string &name) const
{
    const std::ifstream file(summary_.at("folder").get<std::string>() + "/" + name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void Deployment::fault(const std::string &name, const Json &faults)
{
    const auto answer = client.post(address(name), "/faults", faults);
    if (answer.status != 200) {
        throw std::runtime_error("fault refused by " + name + ": " + answer.body);
    }
}

Json Deployment::record(const std::string &name, const std::string &part)
{
    const auto answer = client.get(address(name), "/record");
    if (answer.status != 200) {
        throw std::runtime_error("no record from " + name + ": " + answer.why.text());
    }
    return answer.json().at(part);
}

void Deployment::setHost(const std::string &name, const Json &fields)
{
    client.post(platform(), "/hosts/" + name, fields);
}

void Deployment::freeze(const std::string &name)
{
    ::kill(info(name).at("pid").get<pid_t>(), SIGSTOP);
}

void Deployment::wake(const std::string &name)
{
    ::kill(info(name).at("pid").get<pid_t>(), SIGCONT);
}

void Deployment::kill(const std::string &name)
{
    setDown(name, true, 1);
    command({{"kill", name}});
}

Json Deployment::start(const std::string &name, bool untilReady)
{
    auto answer = command({{"start", name}, {"ready", untilReady}});
    if (answer.contains("error")) {
        throw std::runtime_error("start of " + name + ": " + answer.dump());
    }
    {
        const std::lock_guard lock(mutex_);
        for (const auto *group : groups) {
            if (summary_.at(group).contains(name)) {
                summary_[group][name] = answer;
            }
        }
    }
    setDown(name, false, 0);
    return answer;
}

Json Deployment::stop(const std::string &name)
{
    setDown(name, true, 0);
    return command({{"stop", name}});
}

void Deployment::beginStop(const std::string &name)
{
    setDown(name, true, 0);
    send({{"stop", name}});
}

Json Deployment::finishStop()
{
    return readLine();
}

Json Deployment::command(const Json &command)
{
    send(command);
    return readLine();
}

void Deployment::send(const Json &command)
{
    const auto line = command.dump() + "\n";
    if (write(toScript_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        throw std::runtime_error("scripts/local has ended");
    }
}

Json Deployment::readLine()
{
    for (auto end = unread_.find('\n'); end == std::string::npos; end = unread_.find('\n')) {
        pollfd waiting{fromScript_, POLLIN, 0};
        std::array<char, 4096> piece{};
        const ssize_t count = poll(&waiting, 1, answerTimeoutMs) > 0 ? read(fromScript_, piece.data(), piece.size()) : 0;
        if (count <= 0) {
            throw std::runtime_error("scripts/local gave no answer; its standard error says why");
        }
        unread_.append(piece.data(), static_cast<std::size_t>(count));
    }
    const auto end = unread_.find('\n');
    const auto line = unread_.substr(0, end);
    unread_.erase(0, end + 1);
    return Json::parse(line);
}

} // namespace baobabstall::harness
