#include <cstdlib>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <settings/json.h>
#include <settings/settings.h>

namespace baobabstall::settings {

using testing::HasSubstr;

namespace {

nlohmann::json smallest()
{
    return nlohmann::json::parse(R"({
        "host": "entry-1", "zone": "nl-a", "region": "nl-centraal", "key_env": "BAOBABSTALL_KEY",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "[::1]:0"},
        "platform": {"address": "127.0.0.1:7000"}})");
}

/// The reason why `settings` are refused; empty when they are taken.
std::string refusal(const std::string &text)
{
    core::Error why;
    const auto settings = parseSettings(text, "daemon.json", why);
    return settings ? std::string() : why.reason;
}

std::string refusalWith(const std::string &pointer, const nlohmann::json &value)
{
    auto settings = smallest();
    settings[nlohmann::json::json_pointer(pointer)] = value;
    return refusal(settings.dump());
}

} // namespace

TEST(Settings, smallest_file_takes_every_default)
{
    core::Error why;
    const auto settings = parseSettings("// one entry host\n" + smallest().dump(), "daemon.json", why);
    ASSERT_TRUE(settings) << why.reason;
    EXPECT_EQ(settings->host.value(), "entry-1");
    EXPECT_EQ(settings->listen.operators, "[::1]:0");
    EXPECT_EQ(settings->loads.perSecond, Loads{}.perSecond);
    EXPECT_EQ(settings->stop.drainTimeout, Stop{}.drainTimeout);
}

TEST(Settings, values_given_are_read)
{
    auto file = smallest();
    file["loads"] = {{"per_second", 5}, {"concurrent", 3}, {"typical_ms", 300}};
    file["placement"] = {{"profile", "batches"}, {"widen_at", 0.5}};
    core::Error why;
    const auto settings = parseSettings(file.dump(), "daemon.json", why);
    ASSERT_TRUE(settings) << why.reason;
    EXPECT_EQ(settings->loads.perSecond, 5);
    EXPECT_EQ(settings->loads.concurrent, 3);
    EXPECT_EQ(settings->loads.typical, Milliseconds(300));
    EXPECT_EQ(settings->placement.profile, "batches");
    EXPECT_EQ(settings->placement.widenAt, 0.5);
}

TEST(Settings, a_refusal_names_file_key_finding_and_what_is_allowed)
{
    EXPECT_EQ(refusalWith("/loads/concurrent", 0), "daemon.json: loads.concurrent: found the number 0; allowed: a whole number from 1 to 10000");
    EXPECT_EQ(refusalWith("/loads/concurrent", 1.5), "daemon.json: loads.concurrent: found the number 1.5; allowed: a whole number from 1 to 10000");
    EXPECT_EQ(refusalWith("/loads/typical_ms", "fast"),
              "daemon.json: loads.typical_ms: found the text \"fast\"; allowed: a whole number from 1 to 3600000 (milliseconds)");
    EXPECT_EQ(refusalWith("/stop/drain_ms", 5), "daemon.json: stop.drain_ms: found an unknown key; allowed: drain_timeout_ms, not_ready_first_ms");
    EXPECT_EQ(refusalWith("/loads", nlohmann::json::array()), "daemon.json: loads: found an array of 0 values; allowed: an object");
}

TEST(Settings, missing_keys_are_named)
{
    auto file = smallest();
    file.erase("zone");
    EXPECT_THAT(refusal(file.dump()), HasSubstr("zone: found nothing: the key is missing; allowed: 1 to 128"));
    file = smallest();
    file.erase("listen");
    EXPECT_THAT(refusal(file.dump()), HasSubstr("listen.callers: found nothing"));
}

TEST(Settings, addresses_are_numeric)
{
    for (const auto *address : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "::1:80", "[127.0.0.1]:80", "1.2.3:80", ""}) {
        EXPECT_THAT(refusalWith("/listen/callers", address), HasSubstr("listen.callers: found the text")) << address;
    }
    EXPECT_THAT(refusalWith("/platform/address", "127.0.0.1:0"), HasSubstr("platform.address"));
}

TEST(Settings, fields_must_agree)
{
    EXPECT_THAT(refusalWith("/stop", {{"drain_timeout_ms", 120'000}}), HasSubstr("more than callers.request_timeout_ms, which is 120000"));
    EXPECT_THAT(refusalWith("/platform/log_wait_ms", 3'000), HasSubstr("platform.timeout_ms"));
    EXPECT_THAT(refusalWith("/membership/probe_timeout_ms", 500), HasSubstr("membership.probe_timeout_ms"));
    EXPECT_THAT(refusalWith("/placement/candidates", 9), HasSubstr("placement.max_candidates"));
    EXPECT_THAT(refusalWith("/key_file", "key"), HasSubstr("both key_file and key_env"));
    EXPECT_THAT(refusalWith("/key_env", ""), HasSubstr("neither key_file nor key_env"));
    EXPECT_THAT(refusalWith("/placement/profile", "fastest"), HasSubstr("\"stalls\" or \"batches\""));
    EXPECT_THAT(refusalWith("/logging/level", "loud"), HasSubstr("\"debug\", \"info\", \"warn\" or \"error\""));
}

TEST(Settings, text_that_is_no_settings_file_is_refused)
{
    EXPECT_THAT(refusal("{\n  \"host\": ,"), HasSubstr("daemon.json: line 2, column 11: not valid JSON"));
    EXPECT_THAT(refusal(""), HasSubstr("line 1, column 1"));
    EXPECT_THAT(refusal("[]"), HasSubstr("the whole file: found an array"));
    EXPECT_THAT(refusal(R"({"host":"a","host":"b"})"), HasSubstr("the key \"host\" stands twice"));
    EXPECT_THAT(refusal("{\"host\":\"\xff\"}"), HasSubstr("not valid JSON"));
    EXPECT_THAT(refusal("{\"h\":1e999}"), HasSubstr("not valid JSON: a number is out of range"));
    EXPECT_THAT(refusal(std::string(100'000, '[')), HasSubstr("nested deeper than 32 levels"));
    EXPECT_THAT(refusal(std::string(100'000, '[') + std::string(100'000, ']')), HasSubstr("nested deeper than 32 levels"));
}

TEST(Settings, messages_stay_printable)
{
    auto file = smallest();
    file["line\nbreak\x01"] = 1;
    EXPECT_THAT(refusal(file.dump()), HasSubstr("line?break?: found an unknown key"));
}

TEST(Settings, a_file_that_can_not_be_read_is_named)
{
    core::Error why;
    EXPECT_FALSE(loadSettings("/nonexistent/daemon.json", why));
    EXPECT_THAT(why.reason, HasSubstr("/nonexistent/daemon.json"));
    EXPECT_EQ(why.step, core::Step::Settings);
}

TEST(Key, comes_from_file_or_environment_and_is_long_enough)
{
    core::Error why;
    Settings settings;
    settings.keyEnv = "BAOBABSTALL_TEST_KEY";
    ::unsetenv("BAOBABSTALL_TEST_KEY");
    EXPECT_FALSE(loadKey(settings, why));
    ::setenv("BAOBABSTALL_TEST_KEY", " 0123456789abcdef \n", 1);
    EXPECT_EQ(loadKey(settings, why), "0123456789abcdef");
    ::setenv("BAOBABSTALL_TEST_KEY", "short", 1);
    EXPECT_FALSE(loadKey(settings, why));
    EXPECT_THAT(why.reason, Not(HasSubstr("short\"")));

    const std::string path = testing::TempDir() + "baobabstall-settings-key";
    std::ofstream(path) << "fedcba9876543210\n";
    settings.keyFile = path;
    EXPECT_EQ(loadKey(settings, why), "fedcba9876543210");
}

TEST(Settings, a_hosted_daemon_needs_no_key_and_checks_its_own_section)
{
    auto file = smallest();
    file.erase("key_env");
    core::Error why;
    EXPECT_FALSE(parseSettings(file.dump(), "daemon.json", why));
    file["hosting"]
        = {{"metrics", "127.0.0.1:9464"}, {"grace_s", 8}, {"drain_ms", 3'000}, {"retry_share", 0.2}, {"memory_mb", 120}, {"max_descriptors", 4'096}};
    file["ownership"] = {{"claim_delay_ms", 1'500}, {"lease_wait_ms", 3'000}};
    const auto settings = parseHostedSettings(file.dump(), "daemon.json", why);
    ASSERT_TRUE(settings) << why.reason;
    EXPECT_EQ(settings->hosting.graceSeconds, 8);
    EXPECT_EQ(settings->ownership.leaseWait, Milliseconds(3'000));
    EXPECT_EQ(settings->hosting.memoryMb, 120);
    EXPECT_EQ(settings->hosting.maxDescriptors, 4'096);
    EXPECT_EQ(settings->hosting.quotaTolerance, 0);
    file["hosting"].update({{"quota_window_s", 8}, {"quota_overage", 0.1}, {"quota_tolerance", 110'000}});
    const auto withQuota = parseHostedSettings(file.dump(), "daemon.json", why);
    ASSERT_TRUE(withQuota) << why.reason;
    EXPECT_EQ(withQuota->hosting.quotaWindowSeconds, 8);
    EXPECT_EQ(withQuota->hosting.quotaOverage, 0.1);
    EXPECT_EQ(withQuota->hosting.quotaTolerance, 110'000);
    file["hosting"]["quota_tolerance"] = -1;
    EXPECT_FALSE(parseHostedSettings(file.dump(), "daemon.json", why));
    EXPECT_NE(why.reason.find("hosting.quota_tolerance"), std::string::npos) << why.reason;
    file["hosting"]["quota_tolerance"] = 110'000;
    file["hosting"]["retry_share"] = 7;
    EXPECT_FALSE(parseHostedSettings(file.dump(), "daemon.json", why));
    EXPECT_EQ(why.reason, "daemon.json: hosting.retry_share: found the number 7; allowed: a number from 0 to 1");
}

} // namespace baobabstall::settings
