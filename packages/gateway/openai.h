// gateway/openai.h: bodies of the OpenAI HTTP API, as far as this layer reads or writes them. No I/O.
//
// Index
//   CompletionRequest   what is read from a caller's body
//   errorTypeOf()       what kind of error an upstream answered with
//   errorResponse()     how a caller is told of a refusal or failure
//   EventReader         splits a stream of server-sent events
//   AnswerCheck         whether an engine's answer is the one that was asked for, whole
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>

namespace baobabstall::gateway {

struct CompletionRequest {
    core::AdapterRef adapter; // "model"
    bool isStream = false;    // "stream"
};

/// Reads a completion body. Step Receive, BadRequest or NotFound; the reason tells what to send instead.
[[nodiscard]] std::optional<CompletionRequest> parseCompletion(std::string_view body, core::Error &why);
/// The body with another "model". The body must have been read by parseCompletion().
[[nodiscard]] std::string withModel(std::string_view body, const std::string &model);

/// The "type" of an upstream's error body, {"error":{"type":...}}; empty when there is none.
[[nodiscard]] std::string errorTypeOf(const std::string &body);
/// {"error":{"type","message","step","peer","outcome","request_id","retry_after_ms"}}
[[nodiscard]] std::string errorBody(const core::Error &error, const core::RequestId &request);
/// The same as an answer, with the refusal's status, X-Request-Id and Retry-After (whole seconds, rounded up).
[[nodiscard]] net::HttpResponse errorResponse(const core::Error &error, const core::RequestId &request);
/// {"object":"list","data":[{"id":"customer/adapter@version","object":"model"}]}
[[nodiscard]] std::string modelsBody(const std::vector<core::AdapterRef> &models);

/// Splits what arrives in pieces into the data of server-sent events.
class EventReader
{
public:
    void feed(std::string_view piece) { pending_ += piece; }
    /// The data of the next whole event; nothing when more has to arrive.
    [[nodiscard]] std::optional<std::string> next();
    [[nodiscard]] std::size_t pendingBytes() const { return pending_.size(); }

    static constexpr std::size_t maxEventBytes = 1024 * 1024; // more without an event's end is a fault of the engine

private:
    std::string pending_;
};

/// Checks one attempt's answer against what was asked, and puts the caller's names back in place of the engine's.
/// Any mismatch is an error of step Check: the caller gets that error and not the answer.
class AnswerCheck
{
public:
    struct Expected {
        core::RequestId request; // the caller's
        std::string attempt;     // the id under which the engine ran it
        core::AdapterRef adapter;
        std::string ranAs; // the engine's name for the adapter
    };

    explicit AnswerCheck(Expected expected)
        : expected_(std::move(expected))
    { }

    /// One event of a stream; gives what the caller is sent. Events after the end are an error.
    [[nodiscard]] std::optional<std::string> checkEvent(const std::string &data, core::Error &why);
    /// A whole answer.
    [[nodiscard]] std::optional<std::string> checkWhole(const std::string &body, core::Error &why);
    /// The stream has come to its proper end.
    [[nodiscard]] bool isEnded() const { return isEnded_; }
    /// Events taken so far; a resumed stream goes on from here.
    [[nodiscard]] std::uint64_t events() const { return events_; }

private:
    Expected expected_;
    std::uint64_t events_ = 0;
    bool isEnded_ = false;
};

} // namespace baobabstall::gateway
