#include "engine.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <core/clock.h>

namespace baobabstall::standins {

namespace {

constexpr core::Milliseconds longWait{1000};
constexpr int defaultMaxTokens = 16;
constexpr std::size_t reportsKept = 4096;
const std::string doneEvent = "[DONE]";

std::string withoutEpoch(const std::string &name)
{
    return name.substr(0, name.find('#'));
}

std::string tokenText(const std::string &name, const std::string &id, int number)
{
    return withoutEpoch(name) + '|' + id + '|' + std::to_string(number) + ' ';
}

std::uint64_t fencingOf(const net::HttpRequest &request)
{
    const auto text = request.headers.find("X-Fencing-Number").value_or("0");
    return std::strtoull(text.c_str(), nullptr, 10);
}

bool showsOther(const Generation &generation, int event)
{
    return !generation.shownId.empty() && event >= generation.shownFrom;
}

Json head(const Generation &generation, int event, const char *object)
{
    const bool other = showsOther(generation, event);
    return {{"id", other ? generation.shownId : generation.requestId},
            {"object", object},
            {"created", generation.acceptedMs / 1000},
            {"model", other ? generation.shownName : generation.name}};
}

std::string eventText(const Generation &generation, int event)
{
    if (event >= generation.maxTokens) {
        return "";
    }
    return showsOther(generation, event) ? tokenText(generation.shownName, generation.shownId, event) : tokenText(generation.name, generation.requestId, event);
}

/// One event of a stream; the event after the last token carries the finish reason.
std::string chunk(const Generation &generation, int event)
{
    auto data = head(generation, event, generation.chat ? "chat.completion.chunk" : "text_completion");
    Json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (event >= generation.maxTokens) {
        choice["finish_reason"] = "length";
    }
    if (generation.chat) {
        choice["delta"] = event >= generation.maxTokens ? Json::object() : Json{{"content", eventText(generation, event)}};
    } else {
        choice["text"] = eventText(generation, event);
    }
    data["choices"] = Json::array({choice});
    return data.dump();
}

std::string wholeAnswer(const Generation &generation)
{
    auto data = head(generation, generation.shownFrom, generation.chat ? "chat.completion" : "text_completion");
    std::string text;
    for (int event = 0; event < generation.maxTokens; ++event) {
        text += eventText(generation, event);
    }
    Json choice{{"index", 0}, {"finish_reason", "length"}};
    if (generation.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    data["choices"] = Json::array({choice});
    data["usage"] = {{"prompt_tokens", 1}, {"completion_tokens", generation.maxTokens}, {"total_tokens", generation.maxTokens + 1}};
    return data.dump();
}

} // namespace

Task<void> Signal::wait(core::Milliseconds atMost)
{
    boost::asio::steady_timer timer(io_, std::chrono::milliseconds(atMost.count()));
    const auto place = waiting_.insert(waiting_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiting_.erase(place);
}

void Signal::raise()
{
    for (auto *timer : waiting_) {
        timer->cancel();
    }
}

Engine::Engine(boost::asio::io_context &io, EngineOptions options)
    : StandIn(io,
              {{"fail_loads", 0},
               {"load_slow_ms", 0},
               {"ignore_fencing", !options.checksFencing},
               {"refuse", 0},
               {"leaving", false},
               {"cross_answers", 0},
               {"cross_after", 0},
               {"wrong_names", 0},
               {"duplicate_answers", 0},
               {"cut_streams", 0},
               {"cut_after", 2},
               {"forget_cut", false}})
    , options_(std::move(options))
    , client_(io)
    , batchChanged_(io)
    , loadsChanged_(io)
    , start_(options_.start)
{ }

Task<void> Engine::serve(net::Exchange &exchange)
{
    constexpr std::string_view streams = "/v1/streams/";
    const std::string path(exchange.request().path());
    if (path == "/v1/models") {
        co_await answer(exchange, net::HttpResponse::json(200, models().dump()));
    } else if (path == "/load") {
        co_await answer(exchange, net::HttpResponse::json(200, loadReport().dump()));
    } else if (path == "/v1/load_lora_adapter") {
        co_await serveLoad(exchange);
    } else if (path == "/v1/unload_lora_adapter") {
        co_await serveUnload(exchange);
    } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
        co_await serveCompletion(exchange, path == "/v1/chat/completions");
    } else if (path.starts_with(streams)) {
        co_await serveStream(exchange, path.substr(streams.size()));
    } else {
        co_await answer(exchange, errorAnswer(404, "unknown_path"));
    }
}

// Orders.

bool Engine::takesNumber(std::uint64_t fencing)
{
    if (fencing < highestFencing_ && !faults_.flag("ignore_fencing")) {
        return false;
    }
    highestFencing_ = std::max(highestFencing_, fencing);
    return true;
}

void Engine::recordOrder(const std::string &kind, const std::string &name, std::uint64_t fencing, const std::string &verdict)
{
    orders_.push_back({{"at_ms", core::civilMilliseconds()},
                       {"order", kind},
                       {"name", name},
                       {"fencing", fencing},
                       {"stale", fencing < highestFencing_},
                       {"verdict", verdict},
                       {"start", start_}});
}

/// Reads a load or unload order; answers it itself when it is malformed or its number is stale.
Task<std::optional<Engine::Order>> Engine::readOrder(net::Exchange &exchange, std::string kind)
{
    const auto body = bodyOf(exchange.request());
    if (!body.is_object() || !body.contains("lora_name")) {
        co_await answer(exchange, errorAnswer(400, "lora_name_missing"));
        co_return std::nullopt;
    }
    Order order{body.at("lora_name").get<std::string>(), body.value("lora_path", ""), fencingOf(exchange.request())};
    if (!takesNumber(order.fencing)) {
        recordOrder(kind, order.name, order.fencing, "stale_fencing_number");
        co_await answer(exchange, errorAnswer(409, "stale_fencing_number"));
        co_return std::nullopt;
    }
    co_return order;
}

Task<void> Engine::serveLoad(net::Exchange &exchange)
{
    const auto order = co_await readOrder(exchange, "load");
    if (!order) {
        co_return;
    }
    const auto &[name, path, fencing] = *order;
    const int status = co_await load(name, path);
    static const std::map<int, std::string> verdicts{{200, "loaded"}, {507, "no_free_slot"}, {500, "load_failed"}, {503, "weights_missing"}};
    recordOrder("load", name, fencing, verdicts.at(status));
    co_await answer(exchange, status == 200 ? net::HttpResponse::json(200, "{}") : errorAnswer(status, verdicts.at(status)));
}

Task<int> Engine::load(std::string name, std::string path)
{
    const auto start = start_;
    while (start == start_ && adapters_.contains(name) && adapters_.at(name) == Holding::Loading) {
        co_await loadsChanged_.wait(longWait);
    }
    if (adapters_.contains(name)) {
        co_return 200;
    }
    if (adapters_.size() >= static_cast<std::size_t>(options_.slots)) {
        co_return 507;
    }
    adapters_[name] = Holding::Loading;
    const bool arrived = co_await fetchWeights(std::move(path));
    co_await sleep(core::Milliseconds(options_.loadMs + faults_.number("load_slow_ms")));
    const bool failed = faults_.take("fail_loads");
    if (start != start_) {
        co_return 500;
    }
    if (!arrived || failed) {
        adapters_.erase(name);
    } else {
        adapters_[name] = Holding::Held;
    }
    loadsChanged_.raise();
    if (failed) {
        co_return 500;
    }
    co_return arrived ? 200 : 503;
}

Task<bool> Engine::fetchWeights(std::string name)
{
    const auto platform = net::Address::parse(options_.platform);
    if (!platform) {
        co_return true;
    }
    constexpr std::string_view scheme = "store:";
    net::HttpRequest request;
    request.target = "/weights/" + (name.starts_with(scheme) ? name.substr(scheme.size()) : name);
    core::Error why;
    const auto weights = co_await client_.call(*platform, std::move(request), net::CallOptions{}, why);
    co_return weights && weights->status == 200;
}

Task<void> Engine::serveUnload(net::Exchange &exchange)
{
    const auto order = co_await readOrder(exchange, "unload");
    if (!order) {
        co_return;
    }
    const auto &[name, path, fencing] = *order;
    const int status = unload(name, fencing);
    recordOrder("unload", name, fencing, status == 200 ? "unloaded" : "not_held");
    co_await answer(exchange, status == 200 ? net::HttpResponse::json(200, "{}") : errorAnswer(status, "not_held"));
}

int Engine::unload(const std::string &name, std::uint64_t fencing)
{
    const auto held = adapters_.find(name);
    if (held == adapters_.end() || held->second == Holding::Loading) {
        return 404;
    }
    adapters_.erase(held);
    for (const auto &list : {running_, waiting_}) {
        for (const auto &generation : list) {
            if (generation->name == name && generation->end.empty()) {
                violations_.push_back({{"at_ms", core::civilMilliseconds()},
                                       {"violation", "unload_beneath_running_request"},
                                       {"name", name},
                                       {"request_id", generation->requestId},
                                       {"fencing", fencing}});
                finish(*generation, "unloaded");
            }
        }
    }
    return 200;
}

// Completions.

Task<void> Engine::serveCompletion(net::Exchange &exchange, bool chat)
{
    const auto body = bodyOf(exchange.request());
    if (!body.is_object() || !body.contains("model")) {
        co_await answer(exchange, errorAnswer(400, "model_missing"));
        co_return;
    }
    if (faults_.flag("leaving")) {
        co_await answer(exchange, errorAnswer(503, "leaving"));
        co_return;
    }
    if (faults_.take("refuse")) {
        co_await answer(exchange, errorAnswer(503, "told_to_refuse"));
        co_return;
    }
    const auto held = adapters_.find(body.at("model").get<std::string>());
    if (held == adapters_.end() || held->second == Holding::Loading) {
        co_await answer(exchange, errorAnswer(404, "unknown_model"));
        co_return;
    }
    const auto generation = begin(exchange.request(), body, chat);
    boost::asio::co_spawn(io_, generate(generation), boost::asio::detached);
    if (concerns(exchange) && faults_.take("lose_answers")) {
        co_await cut(exchange);
    } else if (generation->streamed) {
        co_await follow(exchange, generation, 0);
    } else {
        co_await answerWhole(exchange, generation);
    }
}

Engine::GenerationPtr Engine::begin(const net::HttpRequest &request, const Json &body, bool chat)
{
    auto generation = std::make_shared<Generation>(io_);
    generation->requestId = request.headers.find("X-Request-Id").value_or("unnamed-" + std::to_string(all_.size()));
    generation->name = body.at("model").get<std::string>();
    generation->priority = std::atoi(request.headers.find("X-Priority").value_or("0").c_str());
    generation->maxTokens = body.value("max_tokens", body.value("max_completion_tokens", defaultMaxTokens));
    generation->chat = chat;
    generation->streamed = body.value("stream", false);
    generation->acceptedMs = core::civilMilliseconds();
    generation->idleSinceMs = generation->acceptedMs;
    generation->start = start_;
    misname(*generation);
    if (generation->streamed) {
        generation->duplicate = faults_.take("duplicate_answers");
        if (faults_.take("cut_streams")) {
            generation->cutAfter = static_cast<int>(faults_.number("cut_after"));
        }
    }
    streams_[generation->requestId] = generation;
    all_.push_back(generation);
    waiting_.push_back(generation);
    noteLoad();
    return generation;
}

void Engine::misname(Generation &generation)
{
    generation.shownFrom = static_cast<int>(faults_.number("cross_after"));
    if (faults_.take("cross_answers")) {
        const bool other = !all_.empty() && all_.back()->requestId != generation.requestId;
        generation.shownId = other ? all_.back()->requestId : "another-request";
        generation.shownName = other ? all_.back()->name : "another/adapter@v1#1";
    } else if (faults_.take("wrong_names")) {
        generation.shownId = generation.requestId;
        generation.shownName = withoutEpoch(generation.name) + "-other#1";
    }
}

bool Engine::isNext(const GenerationPtr &generation) const
{
    const auto next
        = std::min_element(waiting_.begin(), waiting_.end(), [](const GenerationPtr &a, const GenerationPtr &b) { return a->priority < b->priority; });
    return next != waiting_.end() && *next == generation && running_.size() < static_cast<std::size_t>(options_.batch);
}

Task<void> Engine::enterBatch(GenerationPtr generation)
{
    while (generation->end.empty() && !isNext(generation)) {
        co_await batchChanged_.wait(longWait);
        abandonUnread(*generation);
    }
    waiting_.remove(generation);
    if (generation->end.empty()) {
        generation->running = true;
        running_.push_back(generation);
    }
    noteLoad();
    batchChanged_.raise();
}

Task<void> Engine::generate(GenerationPtr generation)
{
    co_await enterBatch(generation);
    while (generation->end.empty() && generation->tokens < generation->maxTokens) {
        co_await sleep(core::Milliseconds(options_.tokenMs));
        abandonUnread(*generation);
        if (generation->end.empty()) {
            generation->events.push_back(chunk(*generation, generation->tokens));
            generation->tokens += 1;
            generation->changed.raise();
        }
    }
    if (generation->end.empty()) {
        generation->events.push_back(chunk(*generation, generation->maxTokens));
        generation->events.push_back(doneEvent);
        finish(*generation, "complete");
    }
    running_.remove(generation);
    noteLoad();
    batchChanged_.raise();
    co_await sleep(core::Milliseconds(options_.lingerMs));
    const auto held = streams_.find(generation->requestId);
    if (held != streams_.end() && held->second == generation) {
        streams_.erase(held);
    }
    generation->events = {}; // the record needs only the counts
}

void Engine::abandonUnread(Generation &generation)
{
    const bool unread = generation.readers == 0 && core::civilMilliseconds() - generation.idleSinceMs > options_.lingerMs;
    if (unread && generation.end.empty()) {
        finish(generation, "abandoned");
    }
}

void Engine::finish(Generation &generation, const std::string &end)
{
    generation.end = end;
    generation.changed.raise();
    batchChanged_.raise();
}

Task<void> Engine::follow(net::Exchange &exchange, GenerationPtr generation, std::size_t from)
{
    net::Headers headers;
    headers.set("Content-Type", "text/event-stream");
    generation->readers += 1;
    const auto gone = std::make_shared<bool>(false);
    exchange.onPeerGone([gone, generation] {
        *gone = true;
        generation->changed.raise();
    });
    bool open = co_await exchange.begin(200, std::move(headers));
    bool cutNow = false;
    for (std::size_t at = from; open && !*gone && !cutNow;) {
        cutNow = generation->cutAfter && at >= static_cast<std::size_t>(*generation->cutAfter);
        if (cutNow) {
            generation->cutAfter.reset();
        } else if (at < generation->events.size()) {
            open = co_await exchange.write("data: " + generation->events[at] + "\n\n");
            at += 1;
            if (at == generation->events.size() && !generation->end.empty() && generation->duplicate) {
                generation->duplicate = false;
                at = 0;
            }
        } else if (!generation->end.empty()) {
            break;
        } else {
            co_await generation->changed.wait(longWait);
        }
    }
    generation->readers -= 1;
    generation->idleSinceMs = core::civilMilliseconds();
    if (cutNow && faults_.flag("forget_cut")) {
        streams_.erase(generation->requestId);
    } else if (!cutNow && open && !*gone && generation->end == "complete") {
        co_await exchange.finish();
    }
}

Task<void> Engine::answerWhole(net::Exchange &exchange, GenerationPtr generation)
{
    const auto gone = std::make_shared<bool>(false);
    exchange.onPeerGone([gone, generation] {
        *gone = true;
        generation->changed.raise();
    });
    generation->readers += 1;
    while (generation->end.empty() && !*gone) {
        co_await generation->changed.wait(longWait);
    }
    generation->readers -= 1;
    generation->idleSinceMs = core::civilMilliseconds();
    if (generation->end == "complete") {
        co_await answer(exchange, net::HttpResponse::json(200, wholeAnswer(*generation)));
    } else {
        co_await cut(exchange);
    }
}

/// The targets below /v1/streams/: REQUEST-ID/cancel and REQUEST-ID?from=N.
Task<void> Engine::serveStream(net::Exchange &exchange, const std::string &rest)
{
    constexpr std::string_view cancel = "/cancel";
    const bool cancels = rest.ends_with(cancel);
    const auto held = streams_.find(cancels ? rest.substr(0, rest.size() - cancel.size()) : rest);
    const bool found = held != streams_.end() && (cancels || held->second->end.empty() || held->second->end == "complete");
    if (!found) {
        co_await answer(exchange, errorAnswer(404, "unknown_stream"));
        co_return;
    }
    const auto generation = held->second;
    if (!cancels) {
        generation->resumed += 1;
        const auto from = exchange.request().query("from").value_or("0");
        co_await follow(exchange, generation, std::strtoull(from.c_str(), nullptr, 10));
        co_return;
    }
    if (generation->end.empty()) {
        finish(*generation, "cancelled");
    }
    co_await answer(exchange, net::HttpResponse::json(200, "{}"));
}

// Reports.

Json Engine::models() const
{
    Json data = Json::array();
    for (const auto &[name, holding] : adapters_) {
        if (holding == Holding::Held) {
            const auto uses = [&name = name](const GenerationPtr &generation) { return generation->name == name; };
            data.push_back({{"id", name}, {"running", std::count_if(running_.begin(), running_.end(), uses)}});
        }
    }
    return {{"data", data}, {"start", start_}, {"slots", options_.slots}};
}

void Engine::noteLoad()
{
    reports_.push_back({core::civilMilliseconds(), running_.size(), waiting_.size()});
    if (reports_.size() > reportsKept) {
        reports_.pop_front();
    }
}

Json Engine::loadReport()
{
    const auto asOf = core::civilMilliseconds() - options_.reportLagMs;
    while (reports_.size() > 1 && reports_[1].atMs <= asOf) {
        reports_.pop_front();
    }
    const bool known = !reports_.empty() && reports_.front().atMs <= asOf;
    return {{"running", known ? reports_.front().running : 0}, {"waiting", known ? reports_.front().waiting : 0}, {"start", start_}, {"as_of_ms", asOf}};
}

Json Engine::record() const
{
    Json requests = Json::array();
    for (const auto &generation : all_) {
        requests.push_back({{"request_id", generation->requestId},
                            {"name", generation->name},
                            {"start", generation->start},
                            {"priority", generation->priority},
                            {"max_tokens", generation->maxTokens},
                            {"tokens", generation->tokens},
                            {"streamed", generation->streamed},
                            {"resumed", generation->resumed},
                            {"accepted_ms", generation->acceptedMs},
                            {"end", generation->end}});
    }
    return {{"start", start_}, {"highest_fencing", highestFencing_}, {"requests", requests}, {"orders", orders_}, {"violations", violations_}};
}

void Engine::act(Json &wanted)
{
    if (wanted.value("restart", false)) {
        restart(wanted.value("forget_fencing", false));
    }
    wanted.erase("restart");
    wanted.erase("forget_fencing");
}

void Engine::restart(bool forgetFencing)
{
    adapters_.clear();
    streams_.clear();
    start_ += 1;
    if (forgetFencing) {
        highestFencing_ = 0;
    }
    for (const auto &list : {running_, waiting_}) {
        for (const auto &generation : list) {
            if (generation->end.empty()) {
                finish(*generation, "restarted");
            }
        }
    }
    loadsChanged_.raise();
}

} // namespace baobabstall::standins
