#include <serving/events.h>

#include <algorithm>
#include <charconv>

namespace baobabstall::serving {

namespace {

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
        std::uint64_t number = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), number).ec == std::errc()) {
            id = number;
        }
    }
    return id;
}

} // namespace

void EventScanner::feed(std::string_view bytes)
{
    buffer_.erase(0, at_);
    searched_ -= std::min(searched_, at_);
    at_ = 0;
    buffer_.append(bytes);
}

std::optional<StreamEvent> EventScanner::next()
{
    for (std::size_t from = std::max(at_, searched_); from < buffer_.size(); ++from) {
        from = buffer_.find('\n', from);
        if (from == std::string::npos) {
            break;
        }
        std::size_t after = from + 1;
        if (after < buffer_.size() && buffer_[after] == '\r') {
            ++after;
        }
        if (after >= buffer_.size()) {
            searched_ = from;
            return std::nullopt;
        }
        if (buffer_[after] == '\n') {
            const auto bytes = std::string_view(buffer_).substr(at_, after + 1 - at_);
            at_ = after + 1;
            searched_ = at_;
            return StreamEvent{bytes, idOf(bytes)};
        }
    }
    searched_ = buffer_.size();
    return std::nullopt;
}

} // namespace baobabstall::serving
