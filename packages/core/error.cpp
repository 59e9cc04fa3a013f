#include <core/error.h>

#include <algorithm>
#include <array>

namespace baobabstall::core {

namespace {

struct RefusalRow {
    std::string_view name;
    int status;
};

constexpr std::array<std::string_view, 18> stepNames = {"settings",
                                                        "connect",
                                                        "receive",
                                                        "send",
                                                        "identify",
                                                        "lists",
                                                        "limit",
                                                        "choose",
                                                        "forward",
                                                        "admit",
                                                        "load",
                                                        "upstream",
                                                        "check",
                                                        "respond",
                                                        "record",
                                                        "log",
                                                        "hosts",
                                                        "peer"};
constexpr std::array<std::string_view, 3> outcomeNames = {"not_run", "ran", "unknown"};
constexpr std::array<RefusalRow, 11> refusalRows = {{{"bad_request", 400},
                                                     {"unauthorized", 401},
                                                     {"forbidden", 403},
                                                     {"not_found", 404},
                                                     {"timeout", 408},
                                                     {"conflict", 409},
                                                     {"too_large", 413},
                                                     {"too_many_requests", 429},
                                                     {"internal", 500},
                                                     {"bad_answer", 502},
                                                     {"unavailable", 503}}};

template<typename Enum, typename Range, typename Projection>
std::optional<Enum> enumOfName(const Range &range, std::string_view name, Projection projection)
{
    const auto found = std::find_if(range.begin(), range.end(), [&](const auto &row) { return projection(row) == name; });
    if (found == range.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - range.begin());
}

constexpr auto itself = [](std::string_view name) { return name; };

} // namespace

std::string Error::text() const
{
    std::string line(stepName(step));
    if (!peer.empty()) {
        line += ' ' + peer;
    }
    return line + ": " + reason;
}

std::string_view stepName(Step step)
{
    return stepNames.at(static_cast<std::size_t>(step));
}

std::string_view outcomeName(Outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view refusalName(Refusal refusal)
{
    return refusalRows.at(static_cast<std::size_t>(refusal)).name;
}

int httpStatus(Refusal refusal)
{
    return refusalRows.at(static_cast<std::size_t>(refusal)).status;
}

std::optional<Refusal> refusalOfName(std::string_view name)
{
    return enumOfName<Refusal>(refusalRows, name, [](const RefusalRow &row) { return row.name; });
}

std::optional<Outcome> outcomeOfName(std::string_view name)
{
    return enumOfName<Outcome>(outcomeNames, name, itself);
}

std::optional<Step> stepOfName(std::string_view name)
{
    return enumOfName<Step>(stepNames, name, itself);
}

} // namespace baobabstall::core
