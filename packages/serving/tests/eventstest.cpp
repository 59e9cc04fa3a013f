#include <serving/events.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

std::vector<std::string> eventsOf(EventScanner &scanner, std::string_view bytes)
{
    scanner.feed(bytes);
    std::vector<std::string> found;
    while (const auto event = scanner.next()) {
        found.push_back((event->id ? std::to_string(*event->id) : "none") + ":" + std::string(event->bytes));
    }
    return found;
}

TEST(EventScanner, finds_whole_events_and_their_ids)
{
    EventScanner scanner;
    EXPECT_EQ(eventsOf(scanner, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), (std::vector<std::string>{"1:id: 1\ndata: a\n\n", "2:id: 2\ndata: b\n\n"}));
    EXPECT_FALSE(scanner.hasRest());
}

TEST(EventScanner, keeps_a_part_of_an_event_until_it_is_whole)
{
    EventScanner scanner;
    EXPECT_TRUE(eventsOf(scanner, "id: 7\nda").empty());
    EXPECT_TRUE(scanner.hasRest());
    EXPECT_TRUE(eventsOf(scanner, "ta: x\n").empty());
    EXPECT_EQ(eventsOf(scanner, "\n"), (std::vector<std::string>{"7:id: 7\ndata: x\n\n"}));
}

TEST(EventScanner, the_same_events_come_out_wherever_the_bytes_are_split)
{
    const std::string stream = "weights: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    EventScanner whole;
    const auto expected = eventsOf(whole, stream);
    ASSERT_EQ(expected.size(), 3U);
    for (std::size_t split = 1; split < stream.size(); ++split) {
        EventScanner scanner;
        auto found = eventsOf(scanner, stream.substr(0, split));
        const auto more = eventsOf(scanner, stream.substr(split));
        found.insert(found.end(), more.begin(), more.end());
        EXPECT_EQ(found, expected) << "split at " << split;
    }
}

TEST(EventScanner, an_event_without_end_is_broken_at_the_bound)
{
    EventScanner scanner;
    scanner.feed(std::string(EventScanner::maxEventBytes + 1, 'x'));
    EXPECT_FALSE(scanner.next());
    EXPECT_TRUE(scanner.isBroken());
}

} // namespace
} // namespace baobabstall::serving
