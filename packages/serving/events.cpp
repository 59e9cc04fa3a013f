#include <serving/events.h>

#include <algorithm>
#include <charconv>

namespace baobabstall::serving {

namespace {

std::optional<std::uint64_t> parseId(std::string_view event)
{
    constexpr std::string_view prefix = "id:";
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        const auto lineEnd = event.find('\n');
        auto line = event.substr(0, lineEnd);
        event.remove_prefix(lineEnd == std::string_view::npos ? event.size() : lineEnd + 1);
        if (!line.starts_with(prefix)) {
            continue;
        }
        line.remove_prefix(prefix.size());
        line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
        std::uint64_t value = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc()) {
            id = value;
        }
    }
    return id;
}

} // namespace

void EventScanner::feed(std::string_view bytes)
{
    buffer_.erase(0, position_);
    searchPosition_ -= std::min(searchPosition_, position_);
    position_ = 0;
    buffer_.append(bytes);
}

std::optional<StreamEvent> EventScanner::next()
{
    for (std::size_t i = std::max(position_, searchPosition_); i < buffer_.size(); ++i) {
        i = buffer_.find('\n', i);
        if (i == std::string::npos) {
            break;
        }
        std::size_t lineStart = i + 1;
        if (lineStart < buffer_.size() && buffer_[lineStart] == '\r') {
            ++lineStart;
        }
        if (lineStart >= buffer_.size()) {
            searchPosition_ = i;
            return std::nullopt;
        }
        if (buffer_[lineStart] == '\n') {
            const auto bytes = std::string_view(buffer_).substr(position_, lineStart + 1 - position_);
            position_ = lineStart + 1;
            searchPosition_ = position_;
            return StreamEvent{bytes, parseId(bytes)};
        }
    }
    searchPosition_ = buffer_.size();
    return std::nullopt;
}

} // namespace baobabstall::serving
