#include <charconv>

#include <gtest/gtest.h>

#include <serving/newestconfiguration.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

/// Reads values that are a version number, and counts the attempts.
class CountingCodec final : public FakeCodec
{
public:
    std::optional<Configuration> readConfiguration(std::string_view value, core::Error &why) const override
    {
        ++attempts;
        std::uint64_t version = 0;
        if (std::from_chars(value.data(), value.data() + value.size(), version).ec != std::errc()) {
            why.reason = "not a number";
            return std::nullopt;
        }
        Configuration configuration;
        configuration.version = ConfigVersion(version);
        return configuration;
    }
    bool isConfigurationKey(std::string_view key) const override { return key == "config"; }

    mutable int attempts = 0;
};

std::optional<PlacedConfiguration> newestOf(const std::vector<StoreRecord> &records, const Codec &codec, int &unreadable)
{
    return newestConfiguration(records, codec, [&unreadable](const auto &, const auto &) { ++unreadable; });
}

// Guards against a host that is late because it reads every configuration of a backlog (issue 26, CONFIG).
TEST(NewestConfiguration, of_a_backlog_only_the_last_configuration_is_read)
{
    CountingCodec codec;
    int unreadable = 0;
    const auto newest = newestOf({{core::Offset(1), "config", "3"}, {core::Offset(2), "config", "4"}, {core::Offset(3), "other", "9"}}, codec, unreadable);
    ASSERT_TRUE(newest);
    EXPECT_EQ(newest->configuration.version, ConfigVersion(4));
    EXPECT_EQ(newest->offset, core::Offset(2));
    EXPECT_EQ(codec.attempts, 1);
    EXPECT_EQ(unreadable, 0);
}

TEST(NewestConfiguration, an_unreadable_configuration_leaves_the_one_before_it)
{
    CountingCodec codec;
    int unreadable = 0;
    const auto newest = newestOf({{core::Offset(1), "config", "3"}, {core::Offset(2), "config", "x"}}, codec, unreadable);
    ASSERT_TRUE(newest);
    EXPECT_EQ(newest->configuration.version, ConfigVersion(3));
    EXPECT_EQ(unreadable, 1);
    EXPECT_FALSE(newestOf({{core::Offset(1), "other", "3"}}, codec, unreadable));
}

} // namespace
} // namespace baobabstall::serving::tests
