#include <harness/client.h>

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace baobabstall::harness {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";
const std::string doneEvent = "[DONE]";

std::chrono::milliseconds chronoOf(core::Milliseconds time)
{
    return std::chrono::milliseconds(time.count());
}

std::string textOfChoice(const Json &choice)
{
    if (choice.contains("text")) {
        return choice.at("text").get<std::string>();
    }
    const auto part = choice.contains("delta") ? choice.at("delta") : choice.value("message", Json::object());
    return part.value("content", "");
}

std::string textOfBody(const std::string &body)
{
    const auto data = Json::parse(body, nullptr, false);
    if (!data.is_object() || !data.contains("choices") || data.at("choices").empty()) {
        return "";
    }
    return textOfChoice(data.at("choices").at(0));
}

net::HttpRequest requestOf(const char *method, const std::string &target, std::string body, const FieldList &fields)
{
    net::HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = std::move(body);
    request.headers.set("Content-Type", "application/json");
    for (const auto &[name, value] : fields) {
        request.headers.set(name, value);
    }
    return request;
}

net::CallOptions callOptions()
{
    net::CallOptions options;
    options.timeout = patience;
    options.freshConnection = true; // a test's daemon may have been killed and started again on the same port
    return options;
}

Answer answerOf(std::optional<net::HttpResponse> response, core::Error why)
{
    Answer answer;
    answer.why = std::move(why);
    if (response) {
        answer.status = response->status;
        answer.headers = std::move(response->headers);
        answer.body = std::move(response->body);
    }
    return answer;
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, core::Milliseconds within)
{
    constexpr std::chrono::milliseconds pause{10};
    const auto deadline = std::chrono::steady_clock::now() + chronoOf(within);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

std::string Answer::errorField(const std::string &name) const
{
    const auto data = json();
    if (!data.is_object() || !data.contains("error") || !data.at("error").is_object()) {
        return "";
    }
    const auto &error = data.at("error");
    return error.contains(name) && error.at(name).is_string() ? error.at(name).get<std::string>() : "";
}

std::size_t Stream::waitEvents(std::size_t count, core::Milliseconds within)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, chronoOf(within), [this, count] { return events_.size() >= count || ended_; });
    return events_.size();
}

Answer Stream::waitEnd(core::Milliseconds within)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, chronoOf(within), [this] { return ended_; });
    return answer_;
}

void Stream::drop()
{
    const std::lock_guard lock(mutex_);
    dropped_ = true;
}

std::vector<std::string> Stream::events() const
{
    const std::lock_guard lock(mutex_);
    return events_;
}

std::string Stream::text() const
{
    std::string text;
    for (const auto &event : events()) {
        text += event == doneEvent ? "" : textOfBody(event);
    }
    return text;
}

bool Stream::isDone() const
{
    const std::lock_guard lock(mutex_);
    return ended_ && answer_.status == 200 && !events_.empty() && events_.back() == doneEvent;
}

bool Stream::hasEnded() const
{
    const std::lock_guard lock(mutex_);
    return ended_;
}

bool Stream::take(std::string_view chunk)
{
    const std::lock_guard lock(mutex_);
    unread_ += chunk;
    for (auto end = unread_.find(eventEnd); end != std::string::npos; end = unread_.find(eventEnd)) {
        const auto data = unread_.find(dataField);
        if (data < end) {
            events_.push_back(unread_.substr(data + dataField.size(), end - data - dataField.size()));
        }
        unread_.erase(0, end + eventEnd.size());
    }
    changed_.notify_all();
    return !dropped_;
}

void Stream::end(Answer answer)
{
    const std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
    ended_ = true;
    changed_.notify_all();
}

Client::Client()
    : work_(io_.get_executor())
    , http_(std::make_unique<net::HttpClient>(io_))
    , thread_([this] { io_.run(); })
{ }

Client::~Client()
{
    io_.stop();
    thread_.join();
}

std::future<Answer> Client::send(const std::string &address, net::HttpRequest request)
{
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    const auto parsed = net::Address::parse(address).value_or(net::Address{});
    boost::asio::co_spawn(
        io_,
        [this, parsed, request = std::move(request), promise]() -> net::Task<void> {
            core::Error why;
            auto response = co_await http_->call(parsed, request, callOptions(), why);
            promise->set_value(answerOf(std::move(response), why));
        },
        boost::asio::detached);
    return future;
}

Answer Client::get(const std::string &address, const std::string &target, FieldList headers)
{
    return send(address, requestOf("GET", target, "", headers)).get();
}

Answer Client::post(const std::string &address, const std::string &target, const Json &body, FieldList headers)
{
    return postLater(address, target, body, std::move(headers)).get();
}

std::future<Answer> Client::postLater(const std::string &address, const std::string &target, const Json &body, FieldList headers)
{
    return send(address, requestOf("POST", target, body.dump(), headers));
}

std::shared_ptr<Stream> Client::stream(const std::string &address, const std::string &target, const Json &body, FieldList headers)
{
    auto stream = std::make_shared<Stream>();
    const auto parsed = net::Address::parse(address).value_or(net::Address{});
    boost::asio::co_spawn(
        io_,
        [this, parsed, request = requestOf("POST", target, body.dump(), headers), stream]() -> net::Task<void> {
            core::Error why;
            const net::ChunkHandler onChunk = [stream](std::string_view chunk) -> net::Task<bool> { co_return stream->take(chunk); };
            auto response = co_await http_->stream(parsed, request, callOptions(), onChunk, why);
            stream->end(answerOf(std::move(response), why));
        },
        boost::asio::detached);
    return stream;
}

std::string textOf(const std::string &model, const std::string &requestId, int tokens)
{
    std::string text;
    for (int number = 0; number < tokens; ++number) {
        text.append(model).append("|").append(requestId).append("|").append(std::to_string(number)).append(" ");
    }
    return text;
}

std::string textOfAnswer(const Answer &answer)
{
    return textOfBody(answer.body);
}

} // namespace baobabstall::harness
