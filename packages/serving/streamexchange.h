// serving/streamexchange.h: tells other hosts where streams of this host began, and asks them where a stream began that a caller takes up. I/O; one
// thread. What is told to whom: streamrecords.h.
//
//   StreamExchange exchange(node, store, groups);
//   exchange.setLinks(links);
//   exchange.announce(id, origin, until);          // before the request is sent to its upstream
//   exchange.onBegun(id); exchange.onEnded(id);
//   auto found = co_await exchange.find(id, service, patience); // found.origin is nothing: neither a host that answers nor the store knows the stream
//   exchange.onVersionsRead(askedAt);              // all that the control topic named at that moment has been applied
//   exchange.tick();                               // every 100 ms
//   exchange.onNotice(notice); exchange.serve(call, body);   // from peers
#pragma once

#include <map>
#include <memory>
#include <set>

#include <peers/link.h>
#include <serving/node.h>
#include <serving/streamkeeper.h>
#include <serving/streamsearch.h>

namespace baobabstall::serving {

class StreamExchange final : public StreamDirectory
{
public:
    StreamExchange(Node &node, AbstractStore &store, const HostGroups &groups)
        : node_(node)
        , records_(node.settings.host, groups)
        , keeper_(node, store)
    { }

    void setLinks(peers::Links &links) { links_ = &links; }
    void announce(const RequestId &id, const StreamOrigin &origin, Instant until) override;
    void handOver(const RequestId &id) override { records_.handOver(id); }
    void onBegun(const RequestId &id) override { records_.onBegun(id); }
    void onEnded(const RequestId &id) override { records_.onEnded(id); }
    net::Task<FoundStream> find(RequestId id, ServiceName service, Milliseconds patience) override;
    void onVersionsRead(Instant askedAt);
    /// Stores the streams of services with several versions.
    void tick();
    void onNotice(const peers::StreamOriginNotice &notice);
    void serve(peers::IncomingCall &call, const peers::StreamOriginCall &request);
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    struct RunningSearch;

    net::Task<void> ask(std::shared_ptr<RunningSearch> running, HostId host, RequestId id);

    Node &node_;
    StreamRecords records_;
    peers::Links *links_ = nullptr;
    StreamKeeper keeper_;
    std::set<ServiceName> mixedServices_; // with several versions, as far as this host knew at the last tick
    std::map<RunningSearch *, std::weak_ptr<RunningSearch>> searches_;
};

} // namespace baobabstall::serving
