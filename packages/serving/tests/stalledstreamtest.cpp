#include <algorithm>
#include <iterator>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

class StalledStreamTest : public ServingFixture
{
protected:
    /// Before another setUpService(). The answers of these are still on their way.
    void replaceUpstreams()
    {
        std::move(upstreams_.begin(), upstreams_.end(), std::back_inserter(formerUpstreams_));
        upstreams_.clear();
    }

    std::vector<std::unique_ptr<ScriptedUpstream>> formerUpstreams_;
};

constexpr int manyPieces = 200;
constexpr Milliseconds pieceInterval{20}; // 4 s for all of them, beyond each deadline here
constexpr Milliseconds margin{800};

std::vector<std::string> piecesAfter(const std::string &first, const std::string &piece)
{
    std::vector<std::string> pieces(manyPieces, piece);
    pieces.insert(pieces.begin(), first);
    return pieces;
}

// Guards against a stalled stream that never ends because a byte comes now and then (issue 49, reports of other operators).
TEST_F(StalledStreamTest, of_single_bytes_amid_an_event_is_cut_at_its_deadline)
{
    for (const std::string piece : {"x", ":\n", "\n"}) {
        replaceUpstreams();
        setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{{piecesAfter(streamHead() + chunk(event(1)), chunk(piece)), false, false, pieceInterval}}});
        const auto begin = node_.now();
        const auto response = sendRequest(getRequest("q", "Deadline: 500\r\n"));
        EXPECT_TRUE(response.isClosed);
        EXPECT_FALSE(response.hasFinalChunk());
        EXPECT_TRUE(response.contains(event(1)));
        EXPECT_LT(node_.now() - begin, Milliseconds(500) + margin);
    }
}

// The same before the first event, and for an answer that is no stream.
TEST_F(StalledStreamTest, without_a_first_event_or_of_a_plain_answer_is_a_504_at_the_deadline)
{
    for (const bool isStream : {true, false}) {
        replaceUpstreams();
        setUpService(route(RetryPolicy::AtMostOnce, isStream, 1), {{{piecesAfter(streamHead(), chunk("x")), false, false, pieceInterval}}});
        const auto begin = node_.now();
        EXPECT_EQ(sendRequest(getRequest("q", "Deadline: 500\r\n"), "\r\n\r\n").status(), 504);
        EXPECT_LT(node_.now() - begin, Milliseconds(500) + margin);
    }
}

} // namespace
} // namespace baobabstall::serving::tests
