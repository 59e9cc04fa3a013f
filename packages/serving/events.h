// serving/events.h: incremental parser that splits a text/event-stream into complete events. No I/O.
//
//   EventScanner scanner;
//   scanner.feed(bytes);
//   while (auto event = scanner.next()) { relay(event->bytes); last = event->id; }
//
// An event ends with an empty line. An incomplete event stays buffered until its end arrives, so only complete events are relayed even
// if the stream breaks off. StreamEvent::bytes points into the scanner's buffer and is valid until the next feed().
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabstall::serving {

struct StreamEvent {
    std::string_view bytes;          // including the empty line
    std::optional<std::uint64_t> id; // value of its last numeric "id" field
};

class EventScanner
{
public:
    static constexpr std::size_t maxEventBytes = 1024 * 1024; // of an incomplete event; isBroken() if it is larger

    void feed(std::string_view bytes);
    [[nodiscard]] std::optional<StreamEvent> next();
    [[nodiscard]] bool hasRest() const { return position_ < buffer_.size(); } // an incomplete event is buffered
    [[nodiscard]] std::size_t heldBytes() const { return buffer_.size(); }
    [[nodiscard]] bool isBroken() const { return buffer_.size() - position_ > maxEventBytes; }

private:
    std::string buffer_;
    std::size_t position_ = 0;       // start of the first event that next() has not returned
    std::size_t searchPosition_ = 0; // no unreturned event ends before this position
};

} // namespace baobabstall::serving
