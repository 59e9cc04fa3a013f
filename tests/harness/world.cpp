#include <harness/world.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include <openssl/sha.h>

namespace baobabstall::harness {

namespace {

constexpr int coldAdapters = 20;
const std::string doneEvent = "[DONE]";

std::string hexOf(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t at = 0; at < count; ++at) {
        text += digits[bytes[at] >> 4U];
        text += digits[bytes[at] & 15U];
    }
    return text;
}

std::string keyDigest(const std::string &key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return "sha256:" + hexOf(digest.data(), digest.size());
}

/// One token of a stand-in engine: "model|ATTEMPT|N ".
struct Token {
    std::string model;
    std::string attempt;
    int number = -1;
};

std::optional<std::vector<Token>> tokensOf(const std::string &text)
{
    std::vector<Token> tokens;
    for (std::size_t at = 0; at < text.size();) {
        const auto end = text.find(' ', at);
        const auto first = text.find('|', at);
        const auto second = first == std::string::npos ? first : text.find('|', first + 1);
        if (end == std::string::npos || second == std::string::npos || second > end) {
            return std::nullopt;
        }
        tokens.push_back(
            {text.substr(at, first - at), text.substr(first + 1, second - first - 1), std::atoi(text.c_str() + second + 1)}); // NOLINT(cert-err34-c)
        at = end + 1;
    }
    return tokens;
}

/// A try of a request runs on the engine under the request's id with a suffix.
bool isAttemptOf(const std::string &attempt, const std::string &requestId)
{
    return !requestId.empty() && attempt.starts_with(requestId) && (attempt.size() == requestId.size() || std::isalnum(attempt[requestId.size()]) == 0);
}

std::string faultOfText(const std::string &text, const Call &call)
{
    const auto tokens = tokensOf(text);
    if (!tokens) {
        return "text that no engine generated: " + text;
    }
    for (std::size_t at = 0; at < tokens->size(); ++at) {
        const auto &token = tokens->at(at);
        if (token.model != call.model) {
            return "asked for " + call.model + ", got text of " + token.model;
        }
        if (!isAttemptOf(token.attempt, requestIdOf(call)) || token.attempt != tokens->front().attempt) {
            return "text of another request or of two tries: " + text;
        }
        if (token.number != static_cast<int>(at)) {
            return "a token is missing or doubled: " + text;
        }
    }
    return "";
}

std::string faultOfError(const Json &body)
{
    if (!body.is_object() || !body.contains("error") || !body.at("error").is_object()) {
        return "an error without a JSON error object: " + body.dump();
    }
    const auto &error = body.at("error");
    for (const auto *field : {"type", "message", "step", "outcome", "request_id"}) {
        if (!error.contains(field) || !error.at(field).is_string() || error.at(field).get<std::string>().empty()) {
            return std::string("an error without ") + field + ": " + body.dump();
        }
    }
    const std::set<std::string> outcomes{"not_run", "ran", "unknown"};
    return outcomes.contains(error.at("outcome")) ? "" : "an unknown outcome: " + body.dump();
}

/// The error object that ended a stream; null when it did not end so.
Json streamError(const Stream &stream)
{
    const auto events = stream.events();
    for (const auto &event : events) {
        auto data = Json::parse(event, nullptr, false);
        if (data.is_object() && data.contains("error")) {
            return data;
        }
    }
    return nullptr;
}

std::string faultOfStream(const Call &call)
{
    auto wrong = faultOfText(call.stream->text(), call);
    if (!wrong.empty()) {
        return wrong;
    }
    const auto error = streamError(*call.stream);
    if (!error.is_null()) {
        return faultOfError(error);
    }
    if (!call.stream->isDone()) {
        return call.mayBeCut ? "" : "a stream was cut without an error: " + call.answer.why.text();
    }
    const auto tokens = tokensOf(call.stream->text());
    return static_cast<int>(tokens->size()) == call.tokens ? "" : "a whole stream with " + std::to_string(tokens->size()) + " tokens";
}

std::string outcomeOf(const Call &call)
{
    if (call.stream && call.answer.status != 0) {
        const auto error = streamError(*call.stream);
        if (!error.is_null()) {
            return error.at("error").value("outcome", "");
        }
    }
    return call.answer.errorField("outcome");
}

} // namespace

std::string customerKey(const std::string &customer)
{
    return "key-of-" + customer + "-0123456789abcdef";
}

Json quickSettings()
{
    return {{"membership", {{"probe_interval_ms", 100}, {"probe_timeout_ms", 80}, {"suspicion_ms", 600}}},
            {"platform", {{"hosts_poll_ms", 200}, {"log_wait_ms", 500}}},
            {"ownership", {{"handover_delay_ms", 500}}},
            {"loads", {{"per_second", 200}, {"concurrent", 16}, {"typical_ms", 20}}}};
}

World::World(const DeploymentOptions &options)
    : Deployment(options)
{
    Json customers = Json::object();
    for (const auto *customer : {"camp", "shop"}) {
        customers[customer] = {{"plan", "gold"}, {"keys", Json::array({keyDigest(customerKey(customer))})}};
    }
    publish("customers", {{"customers", customers}});
    publish("plans", {{"plans", {{"gold", goldPlan({"v1", "v2"})}}}});
    if (!waitUntil([this] { return everyDaemonOffers("camp/brief@v1") && everyDaemonOffers("shop/brief@v1"); })) {
        throw std::runtime_error("the lists did not come into force");
    }
    if (!waitUntil([this] { return isServing(); })) {
        throw std::runtime_error("the engines did not get owners that serve");
    }
}

bool World::isServing()
{
    const auto all = engines();
    const bool owned = std::none_of(all.begin(), all.end(), [this](const std::string &engine) { return ownerOf("engine/" + engine).empty(); });
    const auto entries = daemons();
    return owned && std::all_of(entries.begin(), entries.end(), [this](const std::string &daemon) { return succeeded(complete(daemon, "shop/brief@v1", 1)); });
}

Json World::goldPlan(const std::vector<std::string> &versions) const
{
    Json adapters = Json::object();
    const Json adapter{{"versions", versions}, {"base_model", "base-a"}};
    for (const auto *name : {"brief", "swell", "tides"}) {
        adapters[name] = adapter;
    }
    for (int number = 1; number <= coldAdapters; ++number) {
        adapters["cold-" + std::to_string(number)] = adapter;
    }
    return {{"share", 1}, {"max_in_flight", 200}, {"adapters", adapters}, {"services", Json::array({"planning"})}};
}

std::uint64_t World::publish(const std::string &list, const Json &patch, std::optional<std::uint64_t> basedOn)
{
    const auto id = "publish-" + std::to_string(++records_);
    const Json record{{"id", id},
                      {"group", id},
                      {"part", 1},
                      {"parts", 1},
                      {"list", list},
                      {"by", "tests"},
                      {"kind", "change"},
                      {"based_on", basedOn.value_or(versions_[list])},
                      {"patch", patch}};
    const auto answer = client.post(platform(), "/log/lists", record);
    const auto offset = answer.status == 200 ? answer.json().at("offset").get<std::uint64_t>() : offsetOfRecord(id);
    if (offset == 0) {
        return 0;
    }
    if (!basedOn || *basedOn == versions_[list]) {
        versions_[list] = offset;
    }
    return offset;
}

FieldList World::keyOf(const std::string &model) const
{
    return {{"Authorization", "Bearer " + customerKey(model.substr(0, model.find('/')))}};
}

bool World::offers(const std::string &daemon, const std::string &model)
{
    const auto models = client.get(callers(daemon), "/v1/models", keyOf(model));
    if (models.status != 200) {
        return false;
    }
    const auto data = models.json().value("data", Json::array());
    return std::any_of(data.begin(), data.end(), [&model](const Json &entry) { return entry.value("id", "") == model; });
}

bool World::everyDaemonOffers(const std::string &model, bool offered)
{
    const auto all = daemons();
    return std::all_of(all.begin(), all.end(), [&](const std::string &daemon) { return offers(daemon, model) == offered; });
}

/// An append whose answer was lost may have taken effect.
std::uint64_t World::offsetOfRecord(const std::string &id)
{
    const auto read = client.get(platform(), "/log/lists?from=1&limit=100000").json();
    for (const auto &record : read.is_object() ? read.value("records", Json::array()) : Json::array()) {
        if (record.at("data").value("id", "") == id) {
            return record.at("offset");
        }
    }
    return 0;
}

Call World::callThrough(const std::string &daemon) const
{
    const auto now = life(daemon);
    return Call{.daemon = daemon, .kills = now.kills, .mayBeCut = now.isDown};
}

void World::noteKills(Call &call) const
{
    call.mayBeCut = call.mayBeCut || life(call.daemon).kills != call.kills;
}

Call World::complete(const std::string &daemon, const std::string &model, int tokens)
{
    const Json body{{"model", model}, {"max_tokens", tokens}, {"prompt", "p"}};
    auto call = callThrough(daemon);
    call.model = model;
    call.tokens = tokens;
    call.answer = client.post(callers(daemon), "/v1/completions", body, keyOf(model));
    noteKills(call);
    return call;
}

Call World::stream(const std::string &daemon, const std::string &model, int tokens)
{
    const Json messages = Json::array({{{"role", "user"}, {"content", "p"}}});
    const Json body{{"model", model}, {"max_tokens", tokens}, {"stream", true}, {"messages", messages}};
    auto call = callThrough(daemon);
    call.model = model;
    call.tokens = tokens;
    call.stream = client.stream(callers(daemon), "/v1/chat/completions", body, keyOf(model));
    return call;
}

bool World::finish(Call &call)
{
    call.answer = call.stream->waitEnd();
    noteKills(call);
    return succeeded(call);
}

Call World::completeAtLast(const std::string &daemon, const std::string &model, int tokens)
{
    Call call;
    waitUntil([&] {
        call = complete(daemon, model, tokens);
        return succeeded(call) || !faultOf(call).empty();
    });
    return call;
}

std::future<Answer> World::bookLater(const std::string &daemon, const std::string &idempotencyKey)
{
    auto headers = keyOf("camp/");
    if (!idempotencyKey.empty()) {
        headers.emplace_back("Idempotency-Key", idempotencyKey);
    }
    return client.postLater(callers(daemon), "/services/planning/visits", {{"room", "hall"}}, headers);
}

Call World::book(const std::string &daemon, const std::string &idempotencyKey)
{
    auto call = callThrough(daemon);
    call.idempotencyKey = idempotencyKey;
    call.answer = bookLater(daemon, idempotencyKey).get();
    noteKills(call);
    return call;
}

std::vector<Json> World::claims()
{
    constexpr int wholeStream = 100'000;
    const auto read = client.get(platform(), "/log/claims-local?from=1&limit=" + std::to_string(wholeStream)).json();
    std::vector<Json> records;
    for (const auto &record : read.value("records", Json::array())) {
        records.push_back(record.at("data"));
    }
    return records;
}

std::string World::ownerOf(const std::string &thing)
{
    std::string owner;
    for (const auto &record : claims()) {
        if (record.value("thing", "") != thing) {
            continue;
        }
        const auto kind = record.value("kind", "");
        if (kind == "claim") {
            owner = record.value("host", "");
        } else if (kind == "release" && record.value("host", "") == owner) {
            owner.clear();
        }
    }
    return owner;
}

std::string World::otherThan(const std::set<std::string> &hosts) const
{
    for (const auto &daemon : daemons()) {
        if (!hosts.contains(daemon)) {
            return daemon;
        }
    }
    throw std::runtime_error("no other daemon");
}

bool World::holds(const std::string &engine, const std::string &model)
{
    const auto data = client.get(address(engine), "/v1/models").json().value("data", Json::array());
    return std::any_of(data.begin(), data.end(), [&model](const Json &entry) { return entry.value("id", "").starts_with(model + "#"); });
}

bool succeeded(const Call &call)
{
    return call.answer.status == 200 && (!call.stream || call.stream->isDone());
}

std::string requestIdOf(const Call &call)
{
    auto header = call.answer.header("X-Request-Id");
    if (!header.empty() || !call.stream) {
        return header;
    }
    for (const auto &event : call.stream->events()) { // a stream that goes on has given no headers to the test yet
        const auto data = Json::parse(event, nullptr, false);
        if (data.is_object() && data.contains("id")) {
            return data.at("id");
        }
    }
    return "";
}

std::string faultOf(const Call &call)
{
    if (call.answer.status == 0 && !call.stream) {
        return call.mayBeCut ? "" : "no answer: " + call.answer.why.text();
    }
    if (call.answer.status != 0 && call.answer.status != 200) {
        const bool isServices = call.model.empty() && call.answer.errorField("type") == "told_to_fail"; // passed on as it came
        return isServices ? "" : faultOfError(call.answer.json());
    }
    if (call.stream) {
        return faultOfStream(call);
    }
    if (call.model.empty()) {
        return "";
    }
    const auto text = textOfAnswer(call.answer);
    auto wrong = faultOfText(text, call);
    if (!wrong.empty()) {
        return wrong;
    }
    const auto tokens = tokensOf(text);
    return static_cast<int>(tokens->size()) == call.tokens ? "" : "an answer with " + std::to_string(tokens->size()) + " tokens";
}

void Outcomes::add(Call call)
{
    const std::lock_guard lock(mutex_);
    calls_.push_back(std::move(call));
}

std::size_t Outcomes::size() const
{
    const std::lock_guard lock(mutex_);
    return calls_.size();
}

std::size_t Outcomes::successes() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), succeeded));
}

std::vector<std::string> Outcomes::violations(World &world) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> broken;
    Json ran = Json::array();        // completions on all engines
    Json executions = Json::array(); // on all services
    for (const auto &engine : world.engines()) {
        for (const auto &violation : world.record(engine, "violations")) {
            broken.push_back(engine + ": " + violation.dump());
        }
        const auto requests = world.record(engine, "requests");
        ran.insert(ran.end(), requests.begin(), requests.end());
    }
    for (const auto &service : world.services()) {
        const auto record = world.record(service, "executions");
        executions.insert(executions.end(), record.begin(), record.end());
    }
    std::map<std::string, int> byKey;
    for (const auto &execution : executions) {
        const auto key = execution.value("idempotency_key", "");
        if (!key.empty() && ++byKey[key] == 2) {
            broken.push_back("executed twice under one idempotency key: " + execution.dump());
        }
    }
    for (const auto &call : calls_) {
        const auto fault = faultOf(call);
        if (!fault.empty()) {
            broken.push_back(call.model + call.idempotencyKey + ": " + fault);
        }
        const auto id = requestIdOf(call);
        const auto isOurs = [&id](const Json &entry) { return isAttemptOf(entry.value("request_id", ""), id); };
        const bool wasRun = std::any_of(ran.begin(), ran.end(), isOurs) || std::any_of(executions.begin(), executions.end(), isOurs);
        if (outcomeOf(call) == "not_run" && wasRun) {
            broken.push_back("told not_run, but it ran: " + id + " " + call.answer.body);
        }
        if (call.model.empty() && std::count_if(executions.begin(), executions.end(), isOurs) > 1) {
            broken.push_back("a call without key was executed twice: " + id);
        }
    }
    return broken;
}

} // namespace baobabstall::harness
