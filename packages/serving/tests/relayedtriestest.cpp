#include <algorithm>

#include <serving/relayexchange.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using ReplyText = std::vector<ScriptedUpstream::Script>;

/// A host with its own callers' port, its own links to the other hosts and its own view of the upstreams.
class RelayingHost
{
public:
    RelayingHost(asio::io_context &io, const std::string &name, const Codec &codec, logging::Log log, FakeResidency &residency, FakeStreams &streams)
        : node(io, settingsOf(name), codec, std::move(log))
        , forwarder(node)
        , exchange(node, forwarder, {.isCutOff = [this] { return isCutOff; }, .reaches = [this](const HostId &host) { return reaches(host); }})
        , links(io, {HostId(name), core::Incarnation(1), core::RegionId("r")}, "key", handlers())
    {
        core::Error why;
        address = *links.listen({"127.0.0.1", 0}, why);
        exchange.setLinks(links);
        node.relays = &exchange;
        node.residency = &residency;
        node.streams = &streams;
    }

    peers::LinkHandlers handlers()
    {
        peers::LinkHandlers handlers;
        handlers.onCall = [this](std::shared_ptr<peers::IncomingCall> call) -> net::Task<void> {
            ++calls;
            if (serveDelay.count() > 0) {
                co_await net::sleep(node.io, serveDelay);
            }
            if (!isSilent) {
                co_await exchange.serve(std::move(call));
            }
        };
        handlers.onNotice = [this](const HostId &from, const peers::Notice &notice) {
            if (const auto *credit = std::get_if<peers::RelayCreditNotice>(&notice.body)) {
                exchange.onCredit(from, *credit);
            }
        };
        return handlers;
    }

    static settings::Settings settingsOf(const std::string &name)
    {
        settings::Settings settings;
        settings.host = HostId(name);
        settings.zone = ZoneId("a");
        return settings;
    }

    bool isCutOff = false;
    std::function<bool(const HostId &)> reaches = [](const HostId &) { return true; };
    Milliseconds serveDelay{0};
    bool isSilent = false; // takes calls and says nothing
    int calls = 0;
    Node node;
    Forwarder forwarder;
    RelayExchange exchange;
    peers::Links links;
    net::Address address;
};

/// One host that reaches no upstream and has the callers, and three that send for it. Peers are asked in the order of their numbers.
class RelayedTriesTest : public ServingFixture
{
protected:
    static constexpr int peerCount = 3;

    RelayedTriesTest()
        : first_(io_, "first", codec_, log(), residency_, streams_)
        , firstServer_(io_,
                       {.limits = [this] { return first_.node.routes->limits(); }, .onInvalidRequest = [](int, std::string_view) {}},
                       [this](CallerConnection &caller, CallerRequest &request) { return first_.forwarder.handle(caller, request); })
    {
        for (int number = 1; number <= peerCount; ++number) {
            peers_.push_back(std::make_unique<RelayingHost>(io_, "peer-" + std::to_string(number), codec_, log(), residency_, streams_));
        }
        std::vector<GroupedHost> hosts = {{HostId("first"), ZoneId("a"), 0}};
        for (const auto &each : peers_) {
            const auto &name = each->node.settings.host;
            hosts.push_back({name, ZoneId("a"), 0});
            first_.links.setAddress(name, each->address);
            each->links.setAddress(HostId("first"), first_.address);
        }
        first_.exchange.setHosts(hosts);
        for (const auto &each : peers_) {
            each->exchange.setHosts(hosts);
        }
        first_.isCutOff = true;
        first_.reaches = [this](const HostId &host) {
            const auto next = std::find_if(peers_.begin(), peers_.end(), [](const auto &each) { return each->calls == 0; });
            return next != peers_.end() && (*next)->node.settings.host == host;
        };
        core::Error why;
        address_ = *firstServer_.listen({"127.0.0.1", 0}, why); // callers of the fixture use the host that is cut off
    }

    RelayingHost &peer(std::size_t number) { return *peers_.at(number - 1); }

    /// Peer n knows `perPeer` upstreams of its own: peer 1 has r1 and r2 of two, peer 2 has r3 and r4. So each send reaches another upstream.
    void setUpPeers(Route route, int perPeer, const std::vector<ReplyText> &scripts)
    {
        setUpService(std::move(route), scripts);
        first_.node.routes = node_.routes;
        for (std::size_t number = 1; number <= peers_.size(); ++number) {
            auto &node = peer(number).node;
            node.routes = node_.routes;
            for (int own = 1; own <= perPeer; ++own) {
                const auto index = (number - 1) * static_cast<std::size_t>(perPeer) + static_cast<std::size_t>(own);
                if (const auto *record = node_.replicas.find(UpstreamId("r" + std::to_string(index)))) {
                    node.replicas.apply(*record);
                }
            }
            node.versions.adopt({.coveredFor = VersionHistory::memory, .gone = {}}, node.now());
            node.versions.update(node.replicas, node.now());
        }
    }

    /// The upstreams that the request reached.
    [[nodiscard]] int reached() const
    {
        return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto &each) { return !each->requests.empty(); }));
    }

    void after(Milliseconds time, std::function<void()> action)
    {
        asio::co_spawn(
            io_,
            [this, time, action = std::move(action)]() -> net::Task<void> {
                co_await net::sleep(io_, time);
                action();
            },
            asio::detached);
    }

    static ReplyText cutAnswer() { return {{{"HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nContent-Length: 10\r\n\r\nhalf"}, false, true, Milliseconds(20)}}; }
    static ReplyText lateAnswer() { return {{{completeResponse("late")}, false, false, Milliseconds(700)}}; }

    RelayingHost first_;
    CallerServer firstServer_;
    std::vector<std::unique_ptr<RelayingHost>> peers_;
};

// Guards against a request that runs on more upstreams than its route allows, because no host counted what a lost peer had sent (issue 35, BUDGET).
TEST_F(RelayedTriesTest, a_peer_lost_after_it_has_sent_leaves_the_next_one_only_what_is_left)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 2), 2, {cutAnswer(), lateAnswer(), cutAnswer(), cutAnswer(), cutAnswer(), cutAnswer()});
    after(Milliseconds(150), [this] { peer(1).links.close(); });
    sendRequest(getRequest("q1"), "\r\n\r\n");
    runFor(Milliseconds(300));
    EXPECT_LE(reached(), 2);
}

} // namespace
} // namespace baobabstall::serving::tests
