#include <serving/access.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using Script = ScriptedUpstream::Script;

Workspace workspace(const std::string &name, std::vector<std::string> keys, std::optional<int> priority = std::nullopt)
{
    return {.name = WorkspaceId(name), .keys = std::move(keys), .priority = priority, .quota = {}};
}

class AccessTest : public ServingFixture
{
protected:
    void configure(std::uint64_t version, std::vector<Workspace> workspaces, bool isAnonymous = false)
    {
        Configuration next;
        next.version = ConfigVersion(version);
        auto all = route(RetryPolicy::AtMostOnce, false, 2);
        all.host = "h";
        all.pathPrefix = "/";
        all.services = {{ServiceName("s"), 1}};
        all.isAnonymous = isAnonymous;
        next.routes = {all};
        ServiceSpec service;
        service.name = ServiceName("s");
        if (isEngine_) {
            service.engine = EngineSpec{8, 100'000, 70'000, 8, 5, {ModelSpec{BaseModel("m"), 65'000, 12, Milliseconds(1), Milliseconds(1)}}};
        }
        next.services = {service};
        next.workspaces = std::move(workspaces);
        node_.routes = std::make_shared<const RouteTable>(next);
        node_.configurationProof.onRead(next.version, core::StoreEra(0));
    }
    void prove() { node_.configurationProof.onCaughtUp(node_.now(), core::StoreEra(0)); }
    void setUpUpstream(Milliseconds delay = Milliseconds(0))
    {
        setUpService(route(RetryPolicy::AtMostOnce, false, 2), {{Script{.pieces = {completeResponse("hello")}, .delay = delay}}}, isEngine_);
    }
    bool isEngine_ = false;
};

TEST_F(AccessTest, a_key_opens_its_workspace_and_the_upstream_gets_its_name_only)
{
    setUpUpstream();
    configure(2, {workspace("alpha", {"k1", "k2"}), workspace("beta", {"k3"})});
    const auto response = sendRequest(getRequest("q", "Key: k2\r\nWorkspace: beta\r\n"), "hello");
    EXPECT_EQ(response.status(), 200);
    const auto &head = upstream(1).requests.at(0).head;
    EXPECT_TRUE(upstream(1).requests.at(0).hasLine("Workspace: alpha"));
    EXPECT_EQ(head.find("k2"), std::string::npos);
    EXPECT_EQ(head.find("beta"), std::string::npos);
}

TEST_F(AccessTest, without_a_known_key_nothing_is_sent)
{
    setUpUpstream();
    configure(2, {workspace("alpha", {"k1"})});
    for (const auto *key : {"", "Key: k\r\n", "Key: k11\r\n", "Key: K1\r\n", "Workspace: alpha\r\n"}) {
        const auto response = sendRequest(getRequest("q", key), "\r\n\r\n");
        EXPECT_EQ(response.status(), 401) << key;
        EXPECT_TRUE(response.contains("WWW-Authenticate: Bearer\r\n"));
    }
    EXPECT_EQ(requestCount(), 0U);
}

TEST_F(AccessTest, an_anonymous_route_needs_no_key_and_passes_on_neither_a_key_nor_a_name_of_the_callers)
{
    setUpUpstream();
    configure(2, {workspace("alpha", {"k1"})}, true);
    EXPECT_EQ(sendRequest(getRequest("q1", "Workspace: alpha\r\n"), "hello").status(), 200);
    EXPECT_EQ(sendRequest(getRequest("q2", "Key: unknown\r\nWorkspace: alpha\r\n"), "hello").status(), 200);
    EXPECT_EQ(sendRequest(getRequest("q3", "Key: k1\r\nWorkspace: beta\r\n"), "hello").status(), 200);
    for (const auto &request : upstream(1).requests) {
        EXPECT_EQ(request.head.find("Key"), std::string::npos);
        EXPECT_EQ(request.head.find("beta"), std::string::npos);
    }
    EXPECT_EQ(upstream(1).requests.at(0).head.find("alpha"), std::string::npos);
    EXPECT_EQ(upstream(1).requests.at(1).head.find("alpha"), std::string::npos);
    EXPECT_TRUE(upstream(1).requests.at(2).hasLine("Workspace: alpha"));
}

// Deployments without workspaces are served as before: fields with these names are the callers' own.
TEST_F(AccessTest, without_workspaces_in_the_configuration_no_field_is_dropped_and_no_proof_is_needed)
{
    setUpUpstream();
    node_.settings.hosting.revocation = Milliseconds(1'000);
    EXPECT_EQ(sendRequest(getRequest("q", "Key: k\r\nWorkspace: w\r\n"), "hello").status(), 200);
    EXPECT_TRUE(upstream(1).requests.at(0).hasLine("Key: k"));
    EXPECT_TRUE(upstream(1).requests.at(0).hasLine("Workspace: w"));
}

// Guards against withdrawn keys that open a host which hears nobody.
TEST_F(AccessTest, a_host_without_a_fresh_proof_runs_no_request_with_a_key_and_takes_them_up_again_with_the_first_one)
{
    setUpUpstream();
    node_.settings.hosting.revocation = Milliseconds(400);
    configure(2, {workspace("alpha", {"k1"})});
    const auto refused = sendRequest(getRequest("q1", "Key: k1\r\n"), "\r\n\r\n");
    EXPECT_EQ(refused.status(), 503);
    EXPECT_TRUE(refused.contains("Retry-After: "));
    prove();
    EXPECT_EQ(sendRequest(getRequest("q2", "Key: k1\r\n"), "hello").status(), 200);
    runFor(Milliseconds(450));
    EXPECT_EQ(sendRequest(getRequest("q3", "Key: k1\r\n"), "\r\n\r\n").status(), 503);
    prove();
    EXPECT_EQ(sendRequest(getRequest("q4", "Key: k1\r\n"), "hello").status(), 200);
    EXPECT_EQ(requestCount(), 2U);
}

class AccessAtSendTest : public AccessTest
{
protected:
    AccessAtSendTest()
    {
        isEngine_ = true;
        setUpUpstream();
        residency_.longWait = FakeResidency::Wait::Weights;
    }
    ReceivedResponse send() { return sendRequest(getRequest("q", "Key: k1\r\nWeights: m/a1\r\n"), "\r\n\r\n"); }
};

TEST_F(AccessTest, callers_compete_for_weights_by_rank_and_workspace_only_where_the_configuration_names_workspaces)
{
    const std::string fields = "Key: k1\r\nWeights: m/a1\r\n";
    isEngine_ = true;
    setUpUpstream();
    (void)sendRequest(getRequest("q1", fields), "hello");
    ASSERT_EQ(residency_.requests.size(), 1U);
    EXPECT_EQ(residency_.requests.back().claimant, Claimant());
    configure(2, {workspace("alpha", {"k1"}, 5), workspace("beta", {"k2"}, 2)});
    (void)sendRequest(getRequest("q2", fields), "hello");
    ASSERT_EQ(residency_.requests.size(), 1U) << "leased";
    node_.leases.drop(residency_.requests.back().replica);
    (void)sendRequest(getRequest("q3", fields), "hello");
    ASSERT_EQ(residency_.requests.size(), 2U);
    EXPECT_EQ(residency_.requests.back().claimant.workspace, WorkspaceId("alpha"));
    EXPECT_EQ(residency_.requests.back().claimant.rank, 5) << "the route's priority is 0";
    node_.settings.hosting.callerOrder = 0;
    EXPECT_EQ(node_.claimant(*node_.routes, {5, WorkspaceId("alpha")}), Claimant());
}

// Guards against requests that run by a key that was withdrawn while they waited for weights.
TEST_F(AccessAtSendTest, a_key_that_is_withdrawn_during_a_wait_is_refused_at_the_send)
{
    configure(2, {workspace("alpha", {"k1"})});
    residency_.onWait = [this]() -> net::Task<void> {
        configure(3, {workspace("alpha", {"k2"})});
        co_return;
    };
    EXPECT_EQ(send().status(), 401);
    EXPECT_EQ(requestCount(), 0U);
}

TEST_F(AccessAtSendTest, a_key_that_moves_to_another_workspace_during_a_wait_does_not_run_for_the_first)
{
    configure(2, {workspace("alpha", {"k1"})});
    residency_.onWait = [this]() -> net::Task<void> {
        configure(3, {workspace("beta", {"k1"})});
        co_return;
    };
    EXPECT_EQ(send().status(), 401);
    EXPECT_EQ(requestCount(), 0U);
}

TEST_F(AccessAtSendTest, a_key_that_is_taken_away_and_given_back_during_a_wait_runs)
{
    configure(2, {workspace("alpha", {"k1"})});
    residency_.onWait = [this]() -> net::Task<void> {
        configure(3, {workspace("alpha", {})});
        configure(4, {workspace("alpha", {"k1"})});
        co_return;
    };
    EXPECT_EQ(send().status(), 200);
}

// Guards against requests that run after the host stood still, or heard nobody, while they waited.
TEST_F(AccessAtSendTest, a_proof_that_grows_too_old_during_a_wait_is_refused_at_the_send)
{
    node_.settings.hosting.revocation = Milliseconds(300);
    configure(2, {workspace("alpha", {"k1"})});
    prove();
    residency_.onWait = [this]() -> net::Task<void> { co_await net::sleep(io_, Milliseconds(350)); };
    const auto response = send();
    EXPECT_EQ(response.status(), 503);
    EXPECT_TRUE(response.contains("Retry-After: "));
    EXPECT_EQ(requestCount(), 0U);
}

TEST(RouteTableWorkspaces, a_key_of_two_workspaces_opens_neither_and_a_note_names_both_without_the_key)
{
    Configuration configuration;
    configuration.workspaces = {workspace("alpha", {"sesame", "k1"}), workspace("beta", {"sesame", "k2"})};
    const RouteTable table(configuration);
    EXPECT_EQ(table.workspaceOf("sesame"), nullptr);
    EXPECT_EQ(table.workspaceOf("k1")->name, WorkspaceId("alpha"));
    EXPECT_EQ(table.workspaceOf("k2")->name, WorkspaceId("beta"));
    ASSERT_EQ(table.refusedParts().size(), 1U);
    const auto &note = table.refusedParts().front();
    EXPECT_TRUE(note.find("alpha") != std::string::npos && note.find("beta") != std::string::npos && note.find("sesame") == std::string::npos) << note;
}

TEST(RouteTableWorkspaces, only_the_largest_have_metrics_of_their_own)
{
    Configuration configuration;
    configuration.workspaces.emplace();
    for (std::size_t i = 0; i < RouteTable::maxLabelledWorkspaces + 20; ++i) {
        configuration.workspaces->push_back(workspace("w" + std::to_string(i), {"k" + std::to_string(i)}));
        configuration.workspaces->back().quota.perSecond = static_cast<double>(i);
    }
    const RouteTable table(configuration);
    EXPECT_EQ(table.labelOf(*table.workspaceOf("k69")), "w69");
    EXPECT_EQ(table.labelOf(*table.workspaceOf("k19")), "other");
}

TEST(RouteTableWorkspaces, a_configuration_with_an_empty_list_admits_nobody_and_one_without_a_list_everybody)
{
    Configuration configuration;
    EXPECT_FALSE(RouteTable(configuration).hasWorkspaces());
    configuration.workspaces.emplace();
    const RouteTable table(configuration);
    EXPECT_EQ(accessOf(table, Route(), "k", true).verdict, AccessVerdict::UnknownKey);
}

} // namespace
} // namespace baobabstall::serving::tests
