#include <gtest/gtest.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <net/asio.h>
#include <net/http.h>

namespace baobabstall::net {

namespace {

std::vector<std::string> arrivedTexts;

[[gnu::noinline]] void take(std::initializer_list<std::string_view> texts)
{
    constexpr std::size_t maxSize = 100; // larger ones were never written
    for (const auto text : texts) {
        arrivedTexts.push_back(text.size() > maxSize ? "not a text" : std::string(text));
    }
}

Task<void> passLists(boost::asio::io_context &io, const std::string &value)
{
    for (int round = 0; round < 2; ++round) {
        co_await sleep(io, core::Milliseconds(1));
        take({"append", round == 0 ? "good" : "failed"});
        take({value});
    }
}

} // namespace

// On arm64, compilers before clang 16 pass initializer lists from coroutines as garbage: metrics and log lines threw, and no host owned an upstream.
TEST(CoroutineTest, InitializerListsArriveWhole)
{
    arrivedTexts.clear();
    boost::asio::io_context io;
    const std::string value = "value";
    boost::asio::co_spawn(io, passLists(io, value), [](const std::exception_ptr &) {});
    io.run();
    EXPECT_EQ(arrivedTexts, (std::vector<std::string>{"append", "good", "value", "append", "failed", "value"}));
}

} // namespace baobabstall::net
