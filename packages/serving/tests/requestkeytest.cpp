#include <gtest/gtest.h>

#include <serving/requestkey.h>

namespace baobabstall::serving::tests {
namespace {

constexpr RequestIdentity base{"POST", "h", "/x?page=1", "caller-1", "m/a", "body"};

TEST(RequestKey, is_the_same_for_tries_of_one_request_and_differs_with_caller_path_query_weights_and_body)
{
    EXPECT_EQ(requestKeyOf(base), requestKeyOf(base));
    RequestIdentity other = base;
    other.caller = "caller-2";
    EXPECT_NE(requestKeyOf(other), requestKeyOf(base));
    other = base;
    other.body = "Body";
    EXPECT_NE(requestKeyOf(other), requestKeyOf(base));
    other = base;
    other.target = "/x?page=2";
    EXPECT_NE(requestKeyOf(other), requestKeyOf(base));
    other = base;
    other.host = "h2";
    EXPECT_NE(requestKeyOf(other), requestKeyOf(base));
    other = base;
    other.weights = "m/b";
    EXPECT_NE(requestKeyOf(other), requestKeyOf(base));
    other = base;
    other.method = "GET";
    EXPECT_NE(requestKeyOf(other), requestKeyOf(base));
}

TEST(RequestKey, does_not_depend_on_where_one_field_ends_and_the_next_begins)
{
    const RequestIdentity a{"GET", "h", "/x", "12", "3", ""};
    const RequestIdentity b{"GET", "h", "/x", "1", "23", ""};
    EXPECT_NE(requestKeyOf(a), requestKeyOf(b));
}

// Pattern: a GET without a body, and a body of 1 MB.
TEST(RequestKey, has_a_fixed_length)
{
    const std::string large(std::size_t(1) << 20U, 'x');
    EXPECT_EQ(requestKeyOf({"GET", "h", "/x", "", "", ""}).value().size(), 16U);
    EXPECT_EQ(requestKeyOf({"POST", "h", "/x", "", "", large}).value().size(), 16U);
}

} // namespace
} // namespace baobabstall::serving::tests
