#include <serving/events.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

std::vector<std::string> scanEvents(EventScanner &scanner, std::string_view bytes)
{
    scanner.feed(bytes);
    std::vector<std::string> events;
    while (const auto event = scanner.next()) {
        events.push_back((event->id ? std::to_string(*event->id) : "none") + ":" + std::string(event->bytes));
    }
    return events;
}

TEST(EventScanner, returns_complete_events_and_their_ids)
{
    EventScanner scanner;
    EXPECT_EQ(scanEvents(scanner, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), (std::vector<std::string>{"1:id: 1\ndata: a\n\n", "2:id: 2\ndata: b\n\n"}));
    EXPECT_FALSE(scanner.hasRest());
}

TEST(EventScanner, buffers_an_incomplete_event_until_its_end_arrives)
{
    EventScanner scanner;
    EXPECT_TRUE(scanEvents(scanner, "id: 7\nda").empty());
    EXPECT_TRUE(scanner.hasRest());
    EXPECT_TRUE(scanEvents(scanner, "ta: x\n").empty());
    EXPECT_EQ(scanEvents(scanner, "\n"), (std::vector<std::string>{"7:id: 7\ndata: x\n\n"}));
}

TEST(EventScanner, returns_the_same_events_wherever_the_bytes_are_split)
{
    const std::string stream = "weights: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    EventScanner unsplit;
    const auto expected = scanEvents(unsplit, stream);
    ASSERT_EQ(expected.size(), 3U);
    for (std::size_t split = 1; split < stream.size(); ++split) {
        EventScanner scanner;
        auto events = scanEvents(scanner, stream.substr(0, split));
        const auto remaining = scanEvents(scanner, stream.substr(split));
        events.insert(events.end(), remaining.begin(), remaining.end());
        EXPECT_EQ(events, expected) << "split at " << split;
    }
}

TEST(EventScanner, an_event_without_end_is_rejected_above_the_size_limit)
{
    EventScanner scanner;
    scanner.feed(std::string(EventScanner::maxEventBytes + 1, 'x'));
    EXPECT_FALSE(scanner.next());
    EXPECT_TRUE(scanner.isBroken());
}

} // namespace
} // namespace baobabstall::serving
