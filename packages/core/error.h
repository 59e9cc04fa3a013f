// core/error.h: how failures are reported. A function that can fail returns std::optional and fills an Error that its caller passes.
//
//   Error why;
//   auto settings = settings::load(path, why);
//   if (!settings) { report(why); }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <core/types.h>

namespace baobabstall::core {

/// The step of a request's way, or of control work, at which an error arose.
enum class Step : std::uint8_t {
    Settings, // reading the settings file
    Connect,  // opening a connection
    Receive,  // reading what a peer sent
    Send,     // writing to a peer
    Identify, // finding the customer by key
    Lists,    // finding plan, adapter and version in the lists in force
    Limit,    // limits of plan, host and request
    Choose,   // choosing a candidate replica
    Forward,  // handing the request to the engine's owner
    Admit,    // queue, slot and pin at the owner
    Load,     // loading an adapter into an engine
    Upstream, // the call of engine or service
    Check,    // checking the answer
    Respond,  // writing the answer to the caller
    Record,   // at-most-once records
    Log,      // the platform's log
    Hosts,    // the platform's host list
    Peer,     // the link between daemons
};

/// Whether a request had an effect on an upstream. "Unknown" when that can't be told.
enum class Outcome : std::uint8_t { NotRun, Ran, Unknown };

/// What a refusal is, in terms that a caller can act on. Each has one HTTP status.
enum class Refusal : std::uint8_t {
    BadRequest,   // 400: malformed
    Unauthorized, // 401: no key, or an unknown one
    Forbidden,    // 403: another customer's adapter
    NotFound,     // 404: no such model, service or path
    Timeout,      // 408: the caller was too slow, or its deadline passed
    Conflict,     // 409: the same idempotency key with another body, or still running
    TooLarge,     // 413: body or headers over the limit
    TooMany,      // 429: over the plan's share or limit
    Internal,     // 500: a fault of this system
    BadAnswer,    // 502: the upstream's answer failed its check or was cut
    Unavailable,  // 503: no capacity, or a needed part is down
};

/// Why something failed, where, and what that means for the caller.
struct Error {
    Step step = Step::Settings;             // where it arose
    std::string peer;                       // host, upstream or address at the other end; empty when none
    std::string reason;                     // one line, plain English, no secrets and no caller's text
    Refusal refusal = Refusal::Internal;    // how a caller is told
    Outcome outcome = Outcome::NotRun;      // set to Ran or Unknown as soon as an upstream may have acted
    std::optional<Milliseconds> retryAfter; // when a later try makes sense; none: it does not

    /// "step peer: reason" for logs and the command line.
    [[nodiscard]] std::string text() const;
};

[[nodiscard]] std::string_view stepName(Step step);
[[nodiscard]] std::string_view outcomeName(Outcome outcome);
[[nodiscard]] std::string_view refusalName(Refusal refusal);
[[nodiscard]] std::optional<Refusal> refusalOfName(std::string_view name);
[[nodiscard]] std::optional<Outcome> outcomeOfName(std::string_view name);
[[nodiscard]] std::optional<Step> stepOfName(std::string_view name);
[[nodiscard]] int httpStatus(Refusal refusal);

} // namespace baobabstall::core
