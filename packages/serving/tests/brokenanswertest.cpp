#include "brokencontinuations.h"
#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using Script = ScriptedUpstream::Script;

class BrokenAnswerTest : public ServingFixture
{
protected:
    /// Two events of a stream from the first upstream, then its reset; all others answer as told.
    ReceivedResponse continueWith(const BrokenContinuation &broken)
    {
        const Script begun{{streamHead() + chunk(event(1)), chunk(event(2))}, false, true, Milliseconds(10)};
        const Script next{{broken.answer}, broken.closes};
        setUpService(route(RetryPolicy::Resumable, true, 3), {{begun}, {next}, {next}});
        return sendRequest("GET /x?" + std::to_string(broken.name.size()) + " HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n");
    }

    static void expectCutAfterTwoEvents(const ReceivedResponse &response, const std::string &name)
    {
        EXPECT_TRUE(response.isClosed) << name;
        EXPECT_TRUE(response.bytes.ends_with("\r\n\r\n" + chunk(event(1)) + chunk(event(2)))) << name << ": " << response.bytes;
    }
};

// Guards against an error's text or head amid a caller's stream, and streams that end as if they were complete, after the next replica failed (issue 35).
class BrokenContinuationTest : public BrokenAnswerTest, public ::testing::WithParamInterface<std::size_t>
{ };

TEST_P(BrokenContinuationTest, leaves_the_stream_cut_after_its_last_event)
{
    const auto broken = brokenContinuations().at(GetParam());
    expectCutAfterTwoEvents(continueWith(broken), broken.name);
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenContinuationTest, ::testing::Range<std::size_t>(0, brokenContinuations().size()));

struct BrokenOff {
    std::string name;
    std::string head;
    std::string body;
    bool isStream = false;
    bool endsWithConnection = false; // a FIN after the head ends the answer
};

// Guards against a 200 with an empty or short body that is framed as whole, after a replica closed in the middle of its answer (issue 35).
class BrokenOffAnswerTest : public BrokenAnswerTest, public ::testing::WithParamInterface<bool>
{
protected:
    void cutAtEachByte(const BrokenOff &answer)
    {
        const std::string whole = answer.head + answer.body;
        const bool resets = GetParam();
        std::vector<Script> scripts;
        for (std::size_t length = 0; length < whole.size(); ++length) {
            scripts.push_back({{whole.substr(0, length)}, !resets, resets});
        }
        setUpService(route(RetryPolicy::AtMostOnce, answer.isStream, 1), {scripts});
        for (std::size_t length = 0; length < whole.size(); ++length) {
            const bool isWhole = answer.endsWithConnection && !resets && length >= answer.head.size();
            const auto response
                = sendRequest("GET /x?" + std::to_string(length) + " HTTP/1.1\r\nHost: h\r\nId: q" + std::to_string(length) + "\r\nConnection: close\r\n\r\n");
            EXPECT_TRUE(response.isClosed);
            if (answer.isStream) {
                EXPECT_FALSE(response.hasFinalChunk() && response.status() == 200) << answer.name << " cut after " << length << " bytes: " << response.bytes;
            } else if (!isWhole) {
                EXPECT_EQ(response.status(), 502) << answer.name << " cut after " << length << " bytes: " << response.bytes;
            }
        }
    }
};

TEST_P(BrokenOffAnswerTest, with_a_length_is_no_success)
{
    cutAtEachByte({"with a length", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nContent-Length: 12\r\n\r\n", "hello, world"});
}

TEST_P(BrokenOffAnswerTest, in_chunks_is_no_success)
{
    cutAtEachByte(
        {"in chunks", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n10\r\n, and then world\r\n0\r\n\r\n"});
}

TEST_P(BrokenOffAnswerTest, without_a_length_is_whole_only_after_its_head_and_a_fin)
{
    cutAtEachByte({"without a length", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nContent-Type: text/plain\r\n\r\n", "hello", false, true});
}

TEST_P(BrokenOffAnswerTest, of_a_stream_has_no_end)
{
    cutAtEachByte({"stream", streamHead(), chunk(event(1)) + chunk(event(2)) + finalChunk, true});
}

INSTANTIATE_TEST_SUITE_P(FinAndReset, BrokenOffAnswerTest, ::testing::Bool());

} // namespace
} // namespace baobabstall::serving::tests
