#include "story.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace baobabstall::cli {

namespace {

using nlohmann::json;

constexpr std::size_t minuteLength = 16; // "2026-01-02T03:04": lines about upstreams count within the request's minutes

std::string textOf(const json &line, const char *key)
{
    const auto found = line.find(key);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

StoryLine storyLineOf(const json &line, bool isOwn)
{
    StoryLine story{textOf(line, "time"), textOf(line, "host"), textOf(line, "event"), {}, isOwn};
    for (const auto &[key, value] : line.items()) {
        const bool isTold = key == "time" || key == "host" || key == "event" || key == "level" || key == "request_id";
        const auto text = value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
        if (!isTold && !text.empty()) {
            story.rest.append(story.rest.empty() ? "" : " ").append(key).append("=").append(text);
        }
    }
    return story;
}

} // namespace

std::optional<Story> storyOf(const std::vector<std::string> &lines, const std::string &requestId)
{
    Story story;
    std::vector<json> read;
    std::set<std::string> upstreams;
    std::set<std::string> minutes;
    std::set<std::string> hosts; // that handled the request
    for (const auto &text : lines) {
        auto line = json::parse(text, nullptr, false);
        if (!line.is_object()) {
            ++story.unreadable;
            continue;
        }
        if (textOf(line, "request_id") == requestId) {
            upstreams.insert(textOf(line, "upstream"));
            minutes.insert(textOf(line, "time").substr(0, minuteLength));
            hosts.insert(textOf(line, "host"));
        }
        read.push_back(std::move(line));
    }
    if (minutes.empty()) {
        return std::nullopt;
    }
    upstreams.erase("");
    const std::set<std::string> upstreamBeliefs = {"upstream_changed",
                                                   "upstream_leaving",
                                                   "limit_begun",
                                                   "limit_changed",
                                                   "limit_ended",
                                                   "limit_unreadable",
                                                   "backoff_begun",
                                                   "backoff_ended",
                                                   "backoff_unreadable",
                                                   "replica_restarted",
                                                   "ownership",
                                                   "owner_without_orders",
                                                   "report_failed",
                                                   "foreign_answer"};
    const std::set<std::string> hostBeliefs
        = {"store_lost", "store_regained", "store_era", "store_era_unsettled", "store_era_settled", "links_key_replaced", "host_stood_still"};
    for (const auto &line : read) {
        const bool isOwn = textOf(line, "request_id") == requestId;
        const auto event = textOf(line, "event");
        const bool isOfUpstream = upstreamBeliefs.contains(event) && upstreams.contains(textOf(line, "upstream"));
        const bool isOfHost = hostBeliefs.contains(event) && hosts.contains(textOf(line, "host"));
        const bool isAbout = (isOfUpstream || isOfHost) && minutes.contains(textOf(line, "time").substr(0, minuteLength));
        if (isOwn || isAbout) {
            story.lines.push_back(storyLineOf(line, isOwn));
        }
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), [](const StoryLine &a, const StoryLine &b) { return a.time < b.time; });
    return story;
}

std::vector<std::string> readLines(std::istream &in)
{
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        const auto begin = line.find('{');
        if (begin != std::string::npos) {
            lines.push_back(line.substr(begin));
        }
    }
    return lines;
}

} // namespace baobabstall::cli
