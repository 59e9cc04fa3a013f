// serving/events.h: finds whole events in a text/event-stream as its bytes come in. No I/O.
//
//   EventScanner scanner;
//   scanner.feed(bytes);
//   while (auto event = scanner.next()) { relay(event->bytes); last = event->id; }
//
// An event ends with an empty line. Bytes after the last one stay inside until the event is whole, so a stream that breaks in
// the middle of an event has relayed whole events only. bytes are views into the scanner, valid until the next feed().
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabstall::serving {

struct StreamEvent {
    std::string_view bytes;          // with the empty line
    std::optional<std::uint64_t> id; // of its "id" line
};

class EventScanner
{
public:
    static constexpr std::size_t maxEventBytes = 1024 * 1024; // over it isBroken()

    void feed(std::string_view bytes);
    [[nodiscard]] std::optional<StreamEvent> next();
    [[nodiscard]] bool hasRest() const { return at_ < buffer_.size(); } // a part of an event
    [[nodiscard]] bool isBroken() const { return buffer_.size() - at_ > maxEventBytes; }

private:
    std::string buffer_;
    std::size_t at_ = 0;       // begin of what was not given out
    std::size_t searched_ = 0; // no event ends before it
};

} // namespace baobabstall::serving
