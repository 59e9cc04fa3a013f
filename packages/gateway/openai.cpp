#include <gateway/openai.h>

#include <nlohmann/json.hpp>

namespace baobabstall::gateway {

using nlohmann::json;

namespace {

constexpr std::string_view streamEnd = "[DONE]";
constexpr int maxBodyDepth = 64; // of arrays and objects within each other
constexpr std::int64_t millisecondsPerSecond = 1000;

std::optional<CompletionRequest> refuse(core::Error &why, core::Refusal refusal, std::string reason)
{
    why = core::Error{.step = core::Step::Receive, .reason = std::move(reason), .refusal = refusal};
    return std::nullopt;
}

core::Error mismatch(std::string reason)
{
    return core::Error{.step = core::Step::Check, .reason = std::move(reason), .refusal = core::Refusal::BadAnswer, .outcome = core::Outcome::Ran};
}

/// JSON is written by recursion, so a body of many nested arrays would use up the stack when it is passed on.
bool isTooDeep(std::string_view body)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < body.size() && depth <= maxBodyDepth; ++at) {
        const char c = body[at];
        if (isInString) {
            at += c == '\\' ? 1 : 0;
            isInString = c != '"';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            ++depth;
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return depth > maxBodyDepth;
}

/// Text that is not valid UTF-8 must not end a process, so it is written with replacement characters.
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::optional<CompletionRequest> parseCompletion(std::string_view body, core::Error &why)
{
    using core::Refusal;
    if (isTooDeep(body)) {
        return refuse(why, Refusal::BadRequest, "the body is nested deeper than " + std::to_string(maxBodyDepth) + " levels");
    }
    const json value = json::parse(body, nullptr, false);
    if (value.is_discarded() || !value.is_object()) {
        return refuse(why, Refusal::BadRequest, "the body is not a JSON object");
    }
    const auto model = value.find("model");
    if (model == value.end() || !model->is_string()) {
        return refuse(why, Refusal::BadRequest, "\"model\" is missing or not a string; send \"customer/adapter@version\"");
    }
    const auto stream = value.find("stream");
    if (stream != value.end() && !stream->is_boolean()) {
        return refuse(why, Refusal::BadRequest, "\"stream\" is not true or false");
    }
    auto adapter = core::AdapterRef::parse(model->get<std::string>());
    if (!adapter) {
        return refuse(why, Refusal::NotFound, "no such model; \"model\" has the form customer/adapter@version, see GET /v1/models");
    }
    return CompletionRequest{std::move(*adapter), stream != value.end() && stream->get<bool>()};
}

std::string withModel(std::string_view body, const std::string &model)
{
    json value = json::parse(body, nullptr, false);
    value["model"] = model;
    return dump(value);
}

std::string errorTypeOf(const std::string &body)
{
    const json value = json::parse(body, nullptr, false);
    const auto type = json::json_pointer("/error/type");
    return value.is_object() && value.contains(type) && value.at(type).is_string() ? value.at(type).get<std::string>() : std::string();
}

std::string errorBody(const core::Error &error, const core::RequestId &request)
{
    json body = {{"type", core::refusalName(error.refusal)},
                 {"message", error.reason},
                 {"step", core::stepName(error.step)},
                 {"peer", error.peer},
                 {"outcome", core::outcomeName(error.outcome)},
                 {"request_id", request.value()}};
    if (error.retryAfter) {
        body["retry_after_ms"] = error.retryAfter->count();
    }
    return dump({{"error", std::move(body)}});
}

net::HttpResponse errorResponse(const core::Error &error, const core::RequestId &request)
{
    auto response = net::HttpResponse::json(core::httpStatus(error.refusal), errorBody(error, request));
    response.headers.set("X-Request-Id", request.value());
    if (error.retryAfter) {
        const std::int64_t seconds = (error.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.headers.set("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    return response;
}

std::string modelsBody(const std::vector<core::AdapterRef> &models)
{
    json data = json::array();
    for (const auto &model : models) {
        data.push_back({{"id", model.text()}, {"object", "model"}, {"owned_by", model.customer.value()}});
    }
    return dump({{"object", "list"}, {"data", std::move(data)}});
}

std::optional<std::string> EventReader::next()
{
    for (;;) {
        const auto end = pending_.find("\n\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const std::string event = pending_.substr(0, end);
        pending_.erase(0, end + 2);
        constexpr std::string_view field = "data:";
        if (event.starts_with(field)) {
            const auto begin = event.find_first_not_of(' ', field.size());
            return begin == std::string::npos ? std::string() : event.substr(begin);
        }
    }
}

std::optional<std::string> AnswerCheck::checkEvent(const std::string &data, core::Error &why)
{
    if (isEnded_) {
        why = mismatch("the engine sent more after the end of the answer");
        return std::nullopt;
    }
    if (data == streamEnd) {
        isEnded_ = true;
        return data;
    }
    auto checked = checkWhole(data, why);
    if (checked) {
        ++events_;
    }
    return checked;
}

std::optional<std::string> AnswerCheck::checkWhole(const std::string &body, core::Error &why)
{
    json value = isTooDeep(body) ? json() : json::parse(body, nullptr, false);
    if (value.is_discarded() || !value.is_object()) {
        why = mismatch("the engine's answer is not a JSON object of bounded depth");
        return std::nullopt;
    }
    if (value.contains("error")) {
        why = mismatch("the engine ended the answer with an error");
        return std::nullopt;
    }
    if (value.value("id", json()) != expected_.attempt) {
        why = mismatch("the engine's answer belongs to another request");
        return std::nullopt;
    }
    const std::string prefix = expected_.adapter.text() + '#';
    if (value.value("model", json()) != expected_.ranAs || !expected_.ranAs.starts_with(prefix)) {
        why = mismatch("the engine ran another adapter than the one named");
        return std::nullopt;
    }
    value["id"] = expected_.request.value();
    value["model"] = expected_.adapter.text();
    return dump(value);
}

} // namespace baobabstall::gateway
