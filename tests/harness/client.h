// tests/harness/client.h: an HTTP client that blocks its test, and streams that a test watches while they run.
//
// Index
//   Answer     what a call gave
//   Stream     a streamed completion that is under way
//   Client     the calls; runs its own thread for the network
//   waitUntil  polls a condition
#pragma once

#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <net/http.h>

namespace baobabstall::harness {

using Json = nlohmann::json;
using FieldList = std::vector<std::pair<std::string, std::string>>;

constexpr core::Milliseconds patience{20'000}; // longest wait for something that must happen; only a failing test reaches it

/// True as soon as the condition holds; false when it did not within the time.
bool waitUntil(const std::function<bool()> &condition, core::Milliseconds within = patience);

struct Answer {
    int status = 0; // 0: no answer came
    net::Headers headers;
    std::string body;
    core::Error why; // when none came

    [[nodiscard]] Json json() const { return Json::parse(body, nullptr, false); }
    [[nodiscard]] std::string header(std::string_view name) const { return headers.find(name).value_or(""); }
    /// A field of the body's "error" object; "" when there is none.
    [[nodiscard]] std::string errorField(const std::string &name) const;
};

/// One streamed call. Its functions may be called from the test's thread at any time.
class Stream
{
public:
    /// Waits for that many events, or the end; gives how many there are.
    std::size_t waitEvents(std::size_t count, core::Milliseconds within = patience);
    /// Waits for the end of the stream. A stream that was cut has status 0.
    [[nodiscard]] Answer waitEnd(core::Milliseconds within = patience);
    /// Closes the connection at the next event.
    void drop();
    [[nodiscard]] std::vector<std::string> events() const; // data of each, "[DONE]" included
    [[nodiscard]] std::string text() const;                // tokens put together
    [[nodiscard]] bool isDone() const;                     // whether "[DONE]" came and the stream ended properly after it
    [[nodiscard]] bool hasEnded() const;

private:
    friend class Client;
    bool take(std::string_view chunk);
    void end(Answer answer);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string unread_; // bytes of an event that has not ended
    std::vector<std::string> events_;
    bool dropped_ = false;
    bool ended_ = false;
    Answer answer_;
};

class Client
{
public:
    Client();
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    Answer get(const std::string &address, const std::string &target, FieldList headers = {});
    Answer post(const std::string &address, const std::string &target, const Json &body, FieldList headers = {});
    std::future<Answer> postLater(const std::string &address, const std::string &target, const Json &body, FieldList headers = {});
    std::shared_ptr<Stream> stream(const std::string &address, const std::string &target, const Json &body, FieldList headers = {});

private:
    std::future<Answer> send(const std::string &address, net::HttpRequest request);

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<net::HttpClient> http_;
    std::thread thread_;
};

/// The text that a stand-in engine generates for a request that ran on `model` (without epoch).
[[nodiscard]] std::string textOf(const std::string &model, const std::string &requestId, int tokens);
/// The text in the body of an answer that was not streamed.
[[nodiscard]] std::string textOfAnswer(const Answer &answer);

} // namespace baobabstall::harness
