// Parses the files under examples/ with the same functions as the daemon.
#include <fstream>
#include <iterator>

#include <gtest/gtest.h>

#include <lists/documents.h>
#include <settings/settings.h>

namespace baobabstall::lists {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

class Examples : public testing::TestWithParam<std::string>
{
public:
    [[nodiscard]] static std::string path(const std::string &file) { return BAOBABSTALL_EXAMPLES "/" + GetParam() + '/' + file; }
};

} // namespace

TEST_P(Examples, are_valid)
{
    core::Error why;
    EXPECT_TRUE(settings::loadSettings(path("settings.json"), why)) << why.reason;
    const auto plans = parseListFile(readFile(path("plans.json")), "plans.json", why);
    ASSERT_TRUE(plans) << why.reason;
    const auto customers = parseListFile(readFile(path("customers.json")), "customers.json", why);
    ASSERT_TRUE(customers) << why.reason;
    for (const auto &[id, customer] : std::get<Customers>(*customers)) {
        EXPECT_TRUE(std::get<Plans>(*plans).contains(customer.plan)) << id.value();
    }
}

INSTANTIATE_TEST_SUITE_P(Deployments, Examples, testing::Values("vloerwerk", "swellcast"));

} // namespace baobabstall::lists
