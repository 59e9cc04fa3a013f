// baobabstall/story.h: one request's story out of the log lines of all hosts. No network.
//
//   const auto story = storyOf(lines, "9c41d07be2a35f68");
//
// A story has every line that names the request, and what the hosts in it came to believe or ordered about its upstreams and weights
// around that time, in order of time.
#pragma once

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace baobabstall::cli {

struct StoryLine {
    std::string time; // as logged; sorts as text
    std::string host;
    std::string event;
    std::string rest;   // the other fields, "name=value"
    bool isOwn = false; // names the request
};

struct Story {
    std::vector<StoryLine> lines;
    std::size_t unreadable = 0; // lines that are no JSON object
};

/// Nothing when no line names the request.
[[nodiscard]] std::optional<Story> storyOf(const std::vector<std::string> &lines, const std::string &requestId);
/// Lines of a log; text before the first "{" of a line (as collectors put there) is passed over.
[[nodiscard]] std::vector<std::string> readLines(std::istream &in);

} // namespace baobabstall::cli
