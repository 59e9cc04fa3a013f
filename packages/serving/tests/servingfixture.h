// Test fixture of the serving path: a codec with short field names, scripted upstreams on loopback, and callers that record every byte.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <serving/callers.h>
#include <serving/crashexchange.h>
#include <serving/forwarder.h>

namespace baobabstall::serving::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Fields of requests and responses: Id, Key, Deadline, Weights (MODEL/ADAPTER), Parts (shared ones), Tokens, Most-Tokens, After (last event), Resumes, Last,
/// Seal, Not-Run, Replica, Leaving, Backoff (ms), Limit (a second), Brittle (refusals a second). Set by the forwarder: To, Left, Revision, Workspace.
class FakeCodec : public Codec
{
public:
    std::optional<RequestMetadata> readRequest(std::span<const HeaderView> headers, core::Error &why) const override
    {
        RequestMetadata facts;
        for (const auto &[name, value] : headers) {
            if (name == "Id") {
                facts.id = RequestId(std::string(value));
            } else if (name == "Deadline") {
                facts.deadline = Milliseconds(std::stoll(std::string(value)));
            } else if (name == "Tokens") {
                facts.promptTokens = std::stod(std::string(value));
            } else if (name == "Most-Tokens") {
                facts.maxOutputTokens = std::stod(std::string(value));
            } else if (name == "Key") {
                facts.key = std::string(value);
            } else if (name == "After") {
                facts.lastEventId = std::stoull(std::string(value));
            } else if (name == "Resumes") {
                facts.resumes = RequestId(std::string(value));
            } else if (name == "Parts") {
                facts.sharedParts = partsOf(value);
            } else if (name == "Weights") {
                const auto slash = value.find('/');
                facts.weights = {BaseModel(std::string(value.substr(0, slash))), AdapterName(std::string(value.substr(slash + 1)))};
            }
        }
        why.reason = "no id";
        return facts.id.empty() ? std::nullopt : std::optional(facts);
    }
    static std::vector<core::PromptPart> partsOf(std::string_view text)
    {
        std::vector<core::PromptPart> parts;
        for (std::size_t comma = 0; !text.empty(); text.remove_prefix(std::min(text.size(), comma + 1))) {
            comma = std::min(text.size(), text.find(','));
            parts.emplace_back(std::string(text.substr(0, comma)));
        }
        return parts;
    }
    std::string_view requestIdField() const override { return "Id"; }
    bool isForwardedField(std::string_view field) const override { return field != "To" && field != "Secret"; }
    bool isWorkspaceField(std::string_view field) const override { return field == "Key" || field == "Workspace"; }
    void appendForwardHeaders(const ForwardHeaders &facts, std::string &head) const override
    {
        head += "To: " + facts.replica.value() + "\r\nLeft: " + std::to_string(facts.remaining.count()) + "\r\n";
        head += facts.workspace.empty() ? "" : "Workspace: " + facts.workspace.value() + "\r\n";
        head += facts.lastEventId ? "Last: " + std::to_string(*facts.lastEventId) + "\r\n" : "";
        head += facts.revision ? "Revision: " + std::to_string(facts.revision->value()) + "\r\n" : "";
    }
    ResponseMetadata readAnswer(int status, std::span<const HeaderView> headers) const override
    {
        ResponseMetadata facts;
        facts.isMisdirected = status == 421;
        facts.notRun = facts.isMisdirected;
        for (const auto &[name, value] : headers) {
            facts.id = name == "Id" ? RequestId(std::string(value)) : facts.id;
            facts.isSealed = facts.isSealed || name == "Seal";
            facts.notRun = facts.notRun || name == "Not-Run";
            facts.isLeaving = facts.isLeaving || name == "Leaving";
            facts.backoff = name == "Backoff" ? std::optional(Milliseconds(std::stoll(std::string(value)))) : facts.backoff;
            facts.requestLimit = name == "Limit" ? std::optional(std::stod(std::string(value))) : facts.requestLimit;
            facts.maxRefusals = name == "Brittle" ? std::optional(std::stod(std::string(value))) : facts.maxRefusals;
            facts.upstream = name == "Replica" ? UpstreamId(std::string(value)) : facts.upstream;
        }
        return facts;
    }
    std::optional<Configuration> readConfiguration(std::string_view, core::Error &) const override { return std::nullopt; }
    bool isConfigurationKey(std::string_view) const override { return false; }
    std::optional<RevisionUpdate> readRevision(std::string_view, std::string_view, core::Error &) const override { return std::nullopt; }
    std::optional<ReplicaRecord> readReplica(std::string_view, std::string_view, core::Error &) const override { return std::nullopt; }
    net::HttpRequest reportRequest(const UpstreamId &) const override { return {}; }
    /// The body is the start of the upstream's run.
    std::optional<ReplicaReport> readReport(const net::HttpResponse &answer, core::Error &) const override
    {
        ReplicaReport report;
        report.startTime = ReplicaStartTime(std::stoull(answer.body));
        return report;
    }
    net::HttpRequest orderRequest(const UpstreamId &, const Order &, const HostId &, core::Epoch) const override { return {}; }
    OrderOutcome readOrderAnswer(const net::HttpResponse &) const override { return OrderOutcome::Refused; }
};

/// Grants all weights immediately, unless isGranting is false.
class FakeResidency final : public ResidencySource
{
public:
    net::Task<std::optional<ResidencyGrant>> ensure(ResidencyRequest request, core::Error &why) override
    {
        ++calls;
        why = failure;
        requests.push_back(request);
        co_await waitAt(Wait::Weights);
        co_return isGranting || request.replica == alwaysGrantedAt
            ? std::optional(ResidencyGrant{request.minRevision, core::SteadyClock().now() + Milliseconds(10'000)})
            : std::nullopt;
    }
    net::Task<PrefillTurn> takePrefillTurn(PrefillRequest request) override
    {
        prefills.push_back(request);
        co_await waitAt(Wait::PrefillTurn);
        auto turn = std::make_unique<FakeTurn>();
        turn->residency = this;
        ++runningTurns;
        onTurnBegin();
        co_return turn;
    }
    net::Task<SendPermit> takeSendPermit(SendRequest request) override
    {
        co_await waitAt(Wait::SendPermit);
        if (request.scarce && onScarce) {
            co_return co_await onScarce(request);
        }
        if (request.limit.isUnknown()) {
            co_return onUntold(request.upstream);
        }
        if (onBrittlePermit && request.limit.maxRefusals) {
            co_return co_await onBrittlePermit(request);
        }
        co_return onSendPermit(request.upstream, request.limit, request.maxWait);
    }
    std::function<SendPermit(const UpstreamId &)> onUntold = [](const auto &) { return SendPermit{.isLimited = false}; }; // the host has just started
    std::function<net::Task<SendPermit>(SendRequest)> onScarce;        // of crowded plain services; empty: no owner counts their places
    std::function<net::Task<SendPermit>(SendRequest)> onBrittlePermit; // of upstreams that are brittle; empty: as for the others
    std::function<SendPermit(const UpstreamId &, const UpstreamLimits::Limit &, Milliseconds)> onSendPermit
        = [](const auto &...) { return SendPermit{.isGranted = true}; };
    net::Task<bool> takeProbe(std::vector<CrashCause> causes) override
    {
        co_await waitAt(Wait::Probe);
        co_return co_await onProbe(std::move(causes));
    }
    /// What a request waits for; onWait() is what that takes.
    enum class Wait : std::uint8_t { None, Weights, PrefillTurn, SendPermit, Probe };
    Wait longWait = Wait::None;
    std::function<net::Task<void>()> onWait;
    net::Task<void> waitAt(Wait wait)
    {
        if (wait == longWait) {
            co_await onWait();
        }
    }
    std::function<net::Task<bool>(std::vector<CrashCause>)> onProbe;
    [[nodiscard]] bool canOrder(const UpstreamId &) const override { return isGranting; }

    struct FakeTurn final : TurnHolder {
        ~FakeTurn() override
        {
            --residency->runningTurns;
            residency->onTurnEnd();
        }
        FakeResidency *residency = nullptr;
    };
    std::vector<PrefillRequest> prefills;
    int runningTurns = 0;
    std::function<void()> onTurnBegin = [] {};
    std::function<void()> onTurnEnd = [] {};

    bool isGranting = true;
    UpstreamId alwaysGrantedAt; // also when isGranting is false
    int calls = 0;
    std::vector<ResidencyRequest> requests;
    core::Error failure;
};

/// Knows the streams of this host, and those that a test adds as of others.
class FakeStreams final : public StreamDirectory
{
public:
    void announce(const RequestId &id, const StreamOrigin &origin, Instant) override { origins[id] = origin; }
    void handOver(const RequestId &id) override { handedOver.push_back(id); }
    void onBegun(const RequestId &id) override { begun.push_back(id); }
    void onEnded(const RequestId &id) override { ended.push_back(id); }
    net::Task<FoundStream> find(RequestId id, ServiceName /*service*/, Milliseconds /*patience*/) override
    {
        if (onFind) {
            co_await onFind();
        }
        if (onVersionsRead) {
            onVersionsRead();
        }
        co_return origins.contains(id) ? FoundStream{.origin = origins.at(id), .source = OriginSource::Told} : FoundStream();
    }

    std::function<net::Task<void>()> onFind; // what finding takes; empty: no time
    std::function<void()> onVersionsRead;    // the host learns which versions are named; empty: it is cut off
    std::map<RequestId, StreamOrigin> origins;
    std::vector<RequestId> handedOver;
    std::vector<RequestId> begun;
    std::vector<RequestId> ended;
};

/// A request as an upstream received it.
struct ReceivedRequest {
    std::string head;
    std::string body;
    [[nodiscard]] bool hasLine(const std::string &line) const { return head.find("\r\n" + line + "\r\n") != std::string::npos; }
};

/// Responds to each request with the next script; the last script is repeated.
class ScriptedUpstream
{
public:
    struct Script {
        std::vector<std::string> pieces; // written in sequence; "@ID" is replaced by the request id
        bool closes = false;             // closes the connection after the last piece
        bool resets = false;             // the same with a TCP reset
        Milliseconds delay{0};           // before each piece
        bool answersBeforeBody = false;  // responds once the request head is read
        std::string crashesOn{};         // a request whose head has this text gets `crashPieces`, then a TCP reset
        std::vector<std::string> crashPieces{};
    };

    ScriptedUpstream(asio::io_context &io, std::vector<Script> scripts)
        : io_(io)
        , scripts_(std::move(scripts))
        , acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(io_, accept(), asio::detached);
    }

    [[nodiscard]] net::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    /// When a faulty upstream writes the last refusal of a connection once more there.
    enum class Repeat : std::uint8_t { Never, WhileIdle, BeforeNextAnswer, InNextAnswer };

    Repeat repeat = Repeat::Never;
    std::vector<ReceivedRequest> requests;
    int running = 0; // requests that are being answered; one whose connection is closed counts on
    int mostRunning = 0;
    int connections = 0;
    int disconnects = 0; // connections that were closed while a response was due

private:
    net::Task<void> accept()
    {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(net::tuple);
            if (failed) {
                co_return;
            }
            ++connections;
            asio::co_spawn(io_, serve(std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
        }
    }

    net::Task<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string buffer;
        std::string refusal; // the last one of this connection
        while (true) {
            auto [failed, length] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(buffer), "\r\n\r\n", net::tuple);
            if (failed) {
                co_return;
            }
            ReceivedRequest request{"\r\n" + buffer.substr(0, length), {}};
            buffer.erase(0, length);
            const auto script = scripts_[std::min(nextScript_, scripts_.size() - 1)];
            ++nextScript_;
            const auto index = requests.size();
            requests.push_back(request);
            mostRunning = std::max(mostRunning, ++running);
            if (script.answersBeforeBody && !co_await answer(*socket, script, request, refusal)) {
                co_return;
            }
            const auto at = request.head.find("Content-Length: ");
            const std::size_t bodyLength = at == std::string::npos ? 0 : std::stoul(request.head.substr(at + 16));
            while (buffer.size() < bodyLength) {
                char bytes[4096];
                const auto [cut, count] = co_await socket->async_read_some(asio::buffer(bytes), net::tuple);
                if (cut) {
                    co_return;
                }
                buffer.append(bytes, count);
            }
            requests[index].body = buffer.substr(0, bodyLength);
            buffer.erase(0, bodyLength);
            if (!script.answersBeforeBody && !co_await answer(*socket, script, request, refusal)) {
                co_return;
            }
            --running;
        }
    }

    net::Task<bool> answer(tcp::socket &socket, Script script, const ReceivedRequest &request, std::string &refusal)
    {
        if (repeat == Repeat::BeforeNextAnswer && !refusal.empty()) {
            co_await asio::async_write(socket, asio::buffer(std::exchange(refusal, {})), net::tuple);
        } else if (repeat == Repeat::InNextAnswer && !refusal.empty()) {
            script.pieces.insert(script.pieces.begin() + 1, std::exchange(refusal, {}));
        }
        if (!script.crashesOn.empty() && request.head.find(script.crashesOn) != std::string::npos) {
            script.pieces = script.crashPieces;
            script.resets = true;
        }
        const auto at = request.head.find("\r\nId: ") + 6;
        const auto id = request.head.substr(at, request.head.find("\r\n", at) - at);
        for (auto piece : script.pieces) {
            if (script.delay.count() > 0) {
                co_await net::sleep(io_, script.delay);
                char next = 0;
                boost::system::error_code failed;
                socket.non_blocking(true, failed);
                socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, failed);
                if (failed != asio::error::would_block) {
                    ++disconnects;
                    co_return false;
                }
            }
            for (auto place = piece.find("@ID"); place != std::string::npos; place = piece.find("@ID")) {
                piece.replace(place, 3, id);
            }
            const auto [failed, count] = co_await asio::async_write(socket, asio::buffer(piece), net::tuple);
            if (failed) {
                co_return false;
            }
            if (piece.starts_with("HTTP/1.1 4") || piece.starts_with("HTTP/1.1 5")) {
                refusal = piece;
            }
        }
        if (repeat == Repeat::WhileIdle && !refusal.empty()) {
            constexpr Milliseconds pause{10};
            co_await net::sleep(io_, pause);
            co_await asio::async_write(socket, asio::buffer(std::exchange(refusal, {})), net::tuple);
        }
        if (script.resets) {
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        if (script.closes || script.resets) {
            socket.close();
            co_return false;
        }
        co_return true;
    }

    asio::io_context &io_;
    std::vector<Script> scripts_;
    std::size_t nextScript_ = 0;
    tcp::acceptor acceptor_;
};

/// The bytes that a caller received.
struct ReceivedResponse {
    std::string bytes;
    bool isClosed = false;
    [[nodiscard]] int status() const { return bytes.size() > 12 ? std::stoi(bytes.substr(9, 3)) : 0; }
    [[nodiscard]] bool contains(const std::string &text) const { return bytes.find(text) != std::string::npos; }
    [[nodiscard]] bool hasFinalChunk() const { return bytes.ends_with("0\r\n\r\n"); }
};

class ServingFixture : public ::testing::Test
{
protected:
    ServingFixture()
        : node_(io_, settings(), codec_, log())
        , forwarder_(node_)
        , server_(io_,
                  {.limits = [this] { return node_.routes->limits(); }, .onInvalidRequest = [this](int, std::string_view) { ++invalidRequests_; }},
                  [this](CallerConnection &caller, CallerRequest &request) { return forwarder_.handle(caller, request); })
    {
        node_.residency = &residency_;
        node_.streams = &streams_;
        streams_.onVersionsRead = [this] { node_.versionsReadAt = node_.now(); };
        residency_.onProbe = [this](std::vector<CrashCause> causes) { return crashExchange_.takeProbe(std::move(causes)); };
        core::Error why;
        address_ = *server_.listen({"127.0.0.1", 0}, why);
        asio::co_spawn(io_, tickCrashes(), asio::detached);
    }

    static settings::Settings settings()
    {
        settings::Settings settings;
        settings.host = HostId("entry-1");
        settings.zone = ZoneId("a");
        settings.hosting.ownerPlaces = 1;
        settings.hosting.learnPaces = 1;
        return settings;
    }

    static logging::Log log()
    {
        core::Error why;
        settings::Logging logging;
        logging.file = "/dev/null";
        return std::move(*logging::Log::open(logging, HostId("entry-1"), why));
    }

    /// Sets up one route "/" of host "h" to a service "s" with the given upstreams.
    void setUpService(Route route,
                      std::vector<std::vector<ScriptedUpstream::Script>> upstreams,
                      bool isEngine = false,
                      const std::vector<std::string> &versions = {})
    {
        route.host = "h";
        route.pathPrefix = "/";
        route.services = {{ServiceName("s"), 1}};
        Configuration configuration;
        configuration.version = ConfigVersion(1);
        configuration.routes = {route};
        ServiceSpec service;
        service.name = ServiceName("s");
        if (isEngine) {
            service.engine = EngineSpec{8, 100'000, 70'000, 8, 5, {ModelSpec{BaseModel("m"), 65'000, 12, Milliseconds(1), Milliseconds(1)}}};
        }
        configuration.services = {service};
        node_.routes = std::make_shared<const RouteTable>(configuration);
        for (auto &scripts : upstreams) {
            upstreams_.push_back(std::make_unique<ScriptedUpstream>(io_, std::move(scripts)));
            ReplicaRecord record;
            record.id = UpstreamId("r" + std::to_string(upstreams_.size()));
            record.service = ServiceName("s");
            record.address = upstreams_.back()->address();
            record.zone = ZoneId(upstreams_.size() == 1 ? "a" : "b"); // the first one is in the caller's zone, so it is tried first
            record.slots = 8;
            record.version = SoftwareVersion(versions.empty() ? "v1" : versions.at(upstreams_.size() - 1));
            if (isEngine) {
                record.models = {{BaseModel("m"), {}}};
            }
            node_.replicas.apply(record);
        }
        node_.versions.adopt({.coveredFor = VersionHistory::memory, .gone = {}}, node_.now()); // as of a host that runs for long
        node_.versions.update(node_.replicas, node_.now());
    }

    static Route route(RetryPolicy repeat, bool isStream, int maxReplicas)
    {
        Route route;
        route.retryPolicy = repeat;
        route.isStream = isStream;
        route.maxUpstreams = maxReplicas;
        route.timeout = Milliseconds(2'000);
        route.latencyObjective = Milliseconds(400);
        route.maxEventPause = Milliseconds(200);
        return route;
    }

    /// Sends `request` and reads until the server closes the connection, `until` was received, or four seconds have passed.
    ReceivedResponse sendRequest(std::string request, std::string until = {}, Milliseconds disconnectAfter = Milliseconds(0))
    {
        ReceivedResponse response;
        bool isDone = false;
        asio::co_spawn(io_, exchange(std::move(request), std::move(until), disconnectAfter, response, isDone), asio::detached);
        const auto end = node_.now() + Milliseconds(4'000);
        while (!isDone && node_.now() < end) {
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return response;
    }

    void runFor(Milliseconds time)
    {
        const auto end = node_.now() + time;
        while (node_.now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
    }

    static std::string getRequest(const std::string &id, const std::string &extraHeaders = {})
    {
        return "GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + extraHeaders + "\r\n";
    }
    static std::string completeResponse(const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n"; }
    static std::string chunk(const std::string &text)
    {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx", text.size());
        return std::string(size.data()) + "\r\n" + text + "\r\n";
    }
    static std::string streamHead() { return "HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"; }
    static constexpr auto finalChunk = "0\r\n\r\n";

    ScriptedUpstream &upstream(std::size_t number) { return *upstreams_.at(number - 1); }
    std::size_t requestCount() const
    {
        std::size_t count = 0;
        for (const auto &each : upstreams_) {
            count += each->requests.size();
        }
        return count;
    }

    asio::io_context io_;
    FakeCodec codec_;
    FakeResidency residency_;
    FakeStreams streams_;
    Node node_;
    HostGroups groups_;
    CrashExchange crashExchange_{node_, groups_};
    Forwarder forwarder_;
    CallerServer server_;
    net::Address address_;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
    int invalidRequests_ = 0;

private:
    net::Task<void> tickCrashes()
    {
        constexpr Milliseconds interval{100};
        while (true) {
            co_await net::sleep(io_, interval);
            crashExchange_.tick();
        }
    }

    net::Task<void> exchange(std::string request, std::string until, Milliseconds disconnectAfter, ReceivedResponse &response, bool &isDone)
    {
        tcp::socket socket(io_);
        co_await socket.async_connect(tcp::endpoint(asio::ip::make_address(address_.ip), address_.port), net::tuple);
        co_await asio::async_write(socket, asio::buffer(request), net::tuple);
        if (disconnectAfter.count() > 0) {
            co_await net::sleep(io_, disconnectAfter);
            socket.close();
            isDone = true;
            co_return;
        }
        char bytes[4096];
        while (until.empty() || !response.contains(until)) {
            const auto [failed, count] = co_await socket.async_read_some(asio::buffer(bytes), net::tuple);
            if (failed) {
                response.isClosed = true;
                break;
            }
            response.bytes.append(bytes, count);
        }
        isDone = true;
    }
};

} // namespace baobabstall::serving::tests
