#include <workspaces/keytable.h>

#include <gtest/gtest.h>

namespace baobabstall::workspaces {
namespace {

TEST(KeyTable, a_key_opens_its_own_workspace_only)
{
    KeyTable table;
    EXPECT_TRUE(table.add("abcdefgh", KeyOwner(0)));
    EXPECT_TRUE(table.add("abcdefgi", KeyOwner(1)));
    EXPECT_EQ(table.find("abcdefgh"), KeyOwner(0));
    EXPECT_EQ(table.find("abcdefgi"), KeyOwner(1));
    for (const auto *other : {"", "abcdefg", "abcdefghi", "ABCDEFGH", "abcdefgh ", "x"}) {
        EXPECT_FALSE(table.find(other)) << other;
    }
}

TEST(KeyTable, a_key_of_two_workspaces_opens_neither_and_others_stay)
{
    KeyTable table;
    table.add("shared", KeyOwner(0));
    table.add("own", KeyOwner(0));
    table.add("shared", KeyOwner(1));
    table.add("shared", KeyOwner(0));
    EXPECT_FALSE(table.find("shared"));
    EXPECT_EQ(table.find("own"), KeyOwner(0));
    ASSERT_EQ(table.ambiguous().size(), 1U);
    EXPECT_EQ(table.ambiguous().front(), std::pair(KeyOwner(0), KeyOwner(1)));
}

TEST(KeyTable, the_same_key_twice_in_one_workspace_is_no_ambiguity)
{
    KeyTable table;
    table.add("k", KeyOwner(3));
    table.add("k", KeyOwner(3));
    EXPECT_EQ(table.find("k"), KeyOwner(3));
    EXPECT_EQ(table.size(), 1U);
}

TEST(KeyTable, empty_and_endless_texts_are_no_keys)
{
    KeyTable table;
    EXPECT_FALSE(table.add("", KeyOwner(0)));
    EXPECT_FALSE(table.add(std::string(KeyTable::maxKeyBytes + 1, 'k'), KeyOwner(0)));
    EXPECT_FALSE(table.find(std::string(KeyTable::maxKeyBytes + 1, 'k')));
    EXPECT_FALSE(table.find(""));
    EXPECT_EQ(table.size(), 0U);
}

TEST(KeyTable, forty_thousand_keys_are_found_and_fit_into_eight_megabytes)
{
    constexpr std::size_t workspaces = 2'000;
    constexpr std::size_t keysOfEach = 20;
    constexpr std::size_t maxBytes = 8'000'000;
    KeyTable table;
    const auto keyOf = [](std::size_t i) { return "kvwxyz0123456789" + std::to_string(i * 7'919); };
    for (std::size_t i = 0; i < workspaces * keysOfEach; ++i) {
        ASSERT_TRUE(table.add(keyOf(i), KeyOwner(i / keysOfEach)));
    }
    for (std::size_t i = 0; i < workspaces * keysOfEach; ++i) {
        ASSERT_EQ(table.find(keyOf(i)), KeyOwner(i / keysOfEach));
    }
    EXPECT_LT(table.bytes(), maxBytes);
}

} // namespace
} // namespace baobabstall::workspaces
