#include <serving/forwarder.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <core/hash.h>
#include <serving/events.h>
#include <serving/watchdog.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using core::Error;
using core::Step;

namespace {

constexpr std::size_t chunkBytes = 16 * 1024;
constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024; // of an answer that is not a stream; over it the answer counts as cut
constexpr int maxChoices = 8;                            // of an upstream for one request, sends and others
constexpr int maxMisses = 2;                             // times that weights turn out to be missing where they were promised; their owner is wrong then
constexpr int maxForeignAnswers = 2;                     // answers to other requests that are read past before a connection counts as out of step
constexpr Milliseconds refusalTime{1'000};               // a request without a route is refused at once; only a caller that does not read makes it last
constexpr Milliseconds leastTime{5};                     // left of a request's time; with less a send is no real try
constexpr double patienceShare = 0.75;                   // of the objective; a silent upstream is given up then, if the request may go elsewhere
constexpr double streamPatienceShare = 1.2;              // the same for streams: a long prompt may take its objective to read
constexpr Milliseconds leastPatience{250};
constexpr double promptTokensPerMs = 38.1;   // that a replica reads, as the sheets of both deployments say
constexpr double longestReadingMs = 10'000;  // counted for one prompt, whatever its caller says: the longest deadline of both deployments
constexpr double crowdedEngine = 1.6;        // running for each slot; beyond it a request would wait longer than most objectives
constexpr Milliseconds revisionGrace{1'000}; // a newly named revision is asked for by name from here on; before it either is right
constexpr Milliseconds crowdedRetry{300};    // Retry-After when all are crowded: some requests have ended by then
constexpr Milliseconds unknownRetry{1'000};  // Retry-After when nothing can be served yet: a listing of the store that failed once is read again by then
constexpr double residencyShare = 0.85;      // of the time left that is spent on waiting for weights; the rest is for the answer
constexpr double residencyOnTime = 0.6;      // the same of what is left of the objective, where another upstream holds the weights
constexpr double roomyFill = 1;              // running for each slot; below it a request begins to run at once

enum class ReadEnd : std::uint8_t { Head, Cut, Foreign };

std::string_view statusText(int status)
{
    return http::obsolete_reason(static_cast<http::status>(status));
}

std::string secondsText(Milliseconds time)
{
    constexpr double msPerSecond = 1'000;
    std::array<char, 32> text{};
    const auto [end, failed]
        = std::to_chars(text.data(), text.data() + text.size(), static_cast<double>(time.count()) / msPerSecond, std::chars_format::fixed, 3);
    return {text.data(), end};
}

/// One request on its way. Lives in Forwarder::handle().
class Exchange
{
public:
    Exchange(Node &node, CallerConnection &caller, CallerRequest &request)
        : node_(node)
        , caller_(caller)
        , request_(request)
        , watchdog_(node.io)
    { }

    net::Task<void> run()
    {
        if (!co_await prepare()) {
            co_return;
        }
        caller_.onDisconnect([this] {
            isGone_ = true;
            cancelSend();
        });
        watchdog_.arm(limit_, [this] { onLimit(); });
        co_await tryAll();
        watchdog_.disarm();
        releaseConnection(false);
        logEnd();
    }

private:
    // ---- Reading and routing ----

    net::Task<bool> prepare()
    {
        Error why;
        const auto facts = node_.codec.readRequest(request_.headers, why);
        if (facts) {
            facts_ = *facts;
        }
        limit_ = request_.arrivedAt + refusalTime;
        routes_ = node_.routes;
        if (!routes_) {
            co_await refuse(503, "no_configuration", unknownRetry);
            logEnd();
            co_return false;
        }
        if (!facts) {
            reasonText_ = why.reason;
            co_await refuse(400, "unreadable", std::nullopt);
            logEnd();
            co_return false;
        }
        route_ = routes_->find(request_.host, request_.target);
        if (route_ == nullptr) {
            co_await refuse(404, "no_route", std::nullopt);
            logEnd();
            co_return false;
        }
        service_ = &RouteTable::serviceOf(*route_, facts_.id);
        spec_ = routes_->service(*service_);
        limit_ = request_.arrivedAt + std::min(route_->timeout, facts_.deadline.value_or(route_->timeout));
        lastEvent_ = facts_.lastEventId;
        if (isEngine() && !facts_.weights.model.empty()) {
            node_.addDemand(facts_.weights.model);
        }
        co_return true;
    }

    [[nodiscard]] bool isEngine() const { return spec_ != nullptr && spec_->engine.has_value(); }
    [[nodiscard]] bool namesAdapter() const { return isEngine() && !facts_.weights.adapter.empty(); }
    [[nodiscard]] Milliseconds left() const { return limit_ - node_.now(); }
    [[nodiscard]] bool isOver() const { return isGone_ || caller_.isDisconnected() || left() < leastTime; }

    // ---- Choosing ----

    [[nodiscard]] std::vector<Candidate> candidates() const
    {
        std::vector<Candidate> found;
        const auto &model = facts_.weights.model;
        const bool needsModel = isEngine() && !model.empty() && node_.replicas.holders(model) > 0;
        for (const auto &id : node_.replicas.usable(*service_)) {
            const auto *record = node_.replicas.find(id);
            const bool isTried = std::find(passed_.begin(), passed_.end(), id) != passed_.end();
            const bool isFull = spec_ != nullptr && spec_->maxConnections > 0 && node_.pool.openTo(id) >= connectionShare()
                && node_.chooser.localOccupancy(id).running >= connectionShare();
            if (isTried || isFull || (needsModel && !record->holds(model)) || (onlyHolders_ && !isHeld(*record))) {
                continue;
            }
            Candidate candidate{record, true, true};
            if (isEngine() && !facts_.weights.model.empty()) {
                candidate.holdsWeights = isHeld(*record);
                candidate.canLoad = node_.residency->canOrder(id);
            }
            found.push_back(candidate);
        }
        return found;
    }

    /// What one host may open to an upstream, so that all together stay below its limit.
    [[nodiscard]] int connectionShare() const
    {
        constexpr double used = 0.9; // the rest is for orders and reports
        constexpr int least = 2;
        return std::max(least, static_cast<int>(spec_->maxConnections * used / node_.hostCount * unevenHosts));
    }
    static constexpr double unevenHosts = 1.6; // callers are spread by hash, so some hosts have more than their part

    [[nodiscard]] bool isHeld(const ReplicaRecord &record) const
    {
        return record.holds(facts_.weights) || node_.leases.find(record.id, facts_.weights, node_.now());
    }

    [[nodiscard]] std::uint64_t home() const
    {
        if (!isEngine()) {
            return 0;
        }
        const auto text = facts_.weights.adapter.empty() ? facts_.weights.model.value() + "#" + facts_.promptPrefix : facts_.weights.text();
        return core::hashText(text, 1) | 1;
    }

    [[nodiscard]] double allowedFill() const
    {
        if (isEngine()) {
            return crowdedEngine;
        }
        constexpr double leastFill = 2;
        constexpr double typicalWorkMs = 60; // of a plain call, until a better figure is known
        return std::max(leastFill, static_cast<double>(route_->latencyObjective.count()) / typicalWorkMs);
    }

    const ReplicaRecord *choose()
    {
        const auto all = candidates();
        if (all.empty() && onlyHolders_) {
            return nullptr; // the refusal is that of the wait for weights
        }
        if (all.empty()) {
            refusal_ = node_.replicas.usable(*service_).empty() ? "no_upstream" : "no_other_upstream";
            return nullptr;
        }
        const auto *best = node_.chooser.pick({all, home(), node_.settings.zone}, node_.now());
        const double fill = static_cast<double>(node_.chooser.occupancy(best->replica->id, node_.now()).running) / best->replica->slots;
        if (fill >= allowedFill()) {
            refusal_ = "crowded";
            return nullptr;
        }
        return best->replica;
    }

    // ---- Trying ----

    net::Task<void> tryAll()
    {
        for (int choice = 0; choice < maxChoices && !isOver(); ++choice) {
            const auto *record = choose();
            if (record == nullptr) {
                break;
            }
            const ReplicaRecord replica = *record; // the book may change while this waits
            if (!co_await haveWeights(replica)) {
                passed_.push_back(replica.id);
                continue;
            }
            if (isOver() || !node_.replicas.isUsable(replica.id)) {
                continue;
            }
            if (co_await sendTo(replica)) {
                co_return;
            }
            if (!mayGoOn()) {
                break;
            }
        }
        co_await giveUp();
    }

    net::Task<bool> haveWeights(const ReplicaRecord &replica)
    {
        revision_.reset();
        if (!namesAdapter()) {
            co_return true;
        }
        const auto now = node_.now();
        const auto inForce = node_.activeRevision(facts_.weights);
        const auto atLeast = inForce ? inForce->revision : AdapterRevision();
        if (inForce && now - inForce->since >= revisionGrace) {
            revision_ = inForce->revision;
        }
        const auto lease = node_.leases.find(replica.id, facts_.weights, now);
        if (lease && lease->revision >= atLeast) {
            co_return true;
        }
        const auto onTime = request_.arrivedAt + route_->latencyObjective - now;
        const double patience
            = isHeldElsewhere(replica.id) ? static_cast<double>(onTime.count()) * residencyOnTime : static_cast<double>(left().count()) * residencyShare;
        const auto wait = Milliseconds(std::max<std::int64_t>(0, static_cast<std::int64_t>(patience)));
        Error why;
        const auto grant = co_await node_.residency->ensure({replica.id, facts_.weights, atLeast, wait, onTime}, why);
        const auto took = node_.now() - now;
        residencyWait_ = residencyWait_ + took;
        node_.metrics.residencyWait.observe({grant ? "held" : "failed"}, took);
        if (!grant) {
            refusal_ = "weights_not_held";
            reasonText_ = why.reason;
            // Another home would fetch the same weights once more: only one that holds them is tried, unless nobody could order here.
            onlyHolders_ = onlyHolders_ || why.step == Step::Load;
            retryAfter_ = why.retryAfter;
            node_.log.info(
                "weights_not_held", why, {{"request_id", facts_.id}, {"upstream", replica.id}, {"adapter", facts_.weights.text()}, {"waited_ms", took}});
            co_return false;
        }
        if (grant->until > now) {
            node_.leases.grant(replica.id, facts_.weights, grant->revision, grant->until);
        }
        co_return true;
    }

    [[nodiscard]] bool isHeldElsewhere(const UpstreamId &here) const
    {
        const auto all = candidates();
        return std::any_of(all.begin(), all.end(), [&](const Candidate &each) {
            const auto &other = *each.replica;
            return other.id != here && each.holdsWeights && node_.chooser.occupancy(other.id, node_.now()).running < other.slots * roomyFill;
        });
    }

    /// Whether another upstream, or the same one once more, may be asked after what happened.
    [[nodiscard]] bool mayGoOn()
    {
        if (isOver() || isFinal_) {
            return false;
        }
        const bool mayRepeat = !unknown_ || route_->retryPolicy != RetryPolicy::AtMostOnce;
        const bool hasReplicas = static_cast<int>(sentTo_.size()) < route_->maxUpstreams || (mayReturnTo_ && !unknown_);
        if (!mayRepeat || !hasReplicas) {
            return false;
        }
        if (wasSent_ && !node_.retryBudgetFor(*service_).spend(1, node_.now())) {
            refusal_ = "retry_budget";
            return false;
        }
        return true;
    }

    // ---- One send ----

    /// True when the caller has its answer, whole or cut.
    net::Task<bool> sendTo(const ReplicaRecord &replica)
    {
        wasSent_ = false;
        const bool isRepeated = std::find(sentTo_.begin(), sentTo_.end(), replica.id) != sentTo_.end();
        mayReturnTo_ = false;
        Error why;
        auto connection = node_.pool.takeIdle(replica.id, node_.now());
        node_.chooser.beginSend(replica.id);
        if (namesAdapter()) {
            node_.adjustUseCount(replica.id, facts_.weights, 1);
        }
        upstream_ = replica.id;
        if (!connection) {
            connection = co_await node_.pool.open(
                replica.id, replica.address, [this](const ConnectionPtr &opening) { connection_ = opening; }, why);
            connection_ = nullptr;
            if (!connection) {
                passed_.push_back(replica.id);
                refusal_ = "no_connection";
                noteSend(replica, isOver() ? SendOutcome::Abandoned : SendOutcome::NoAnswer, "not_connected", why.reason);
                co_return false;
            }
        }
        connection_ = connection;
        if (isOver() || !node_.replicas.isUsable(replica.id)) {
            noteSend(replica, SendOutcome::Abandoned, "not_sent", "the upstream left or the request ended while it connected");
            releaseConnection(true);
            co_return false;
        }
        if (!isRepeated) {
            sentTo_.push_back(replica.id);
        }
        ++sends_;
        wasSent_ = true;
        sentAt_ = node_.now();
        beginReading(replica.id);
        beginWrite(replica);
        setPatience();
        co_return co_await readAnswer(replica);
    }

    void beginWrite(const ReplicaRecord &replica)
    {
        auto &out = connection_->out;
        out.clear();
        out.append(request_.method).append(" ").append(request_.target).append(" HTTP/1.1\r\n");
        for (const auto &[name, value] : request_.headers) {
            if (!CallerRequest::isHopByHopHeader(name) && node_.codec.isForwardedField(name)) {
                out.append(name).append(": ").append(value).append("\r\n");
            }
        }
        ForwardHeaders facts{left(), replica.id, route_->priority, revision_, lastEvent_};
        node_.codec.appendForwardHeaders(facts, out);
        if (!request_.body.empty() || (request_.method != "GET" && request_.method != "HEAD")) {
            out.append("Content-Length: ").append(std::to_string(request_.body.size())).append("\r\n");
        }
        out.append("\r\n").append(request_.body);
        connection_->isWriting = true;
        connection_->written = 0;
        connection_->writeError = {};
        asio::async_write(connection_->socket, asio::buffer(out), [connection = connection_](error_code failed, std::size_t count) {
            connection->isWriting = false;
            connection->written = count;
            connection->writeError = failed;
        });
    }

    /// A silent upstream is given up early when the request may go elsewhere; else it has until the end.
    void setPatience()
    {
        isImpatient_ = false;
        const auto objective = Milliseconds(
            static_cast<std::int64_t>(static_cast<double>(route_->latencyObjective.count()) * (route_->isStream ? streamPatienceShare : patienceShare)));
        const auto until = node_.now() + std::max(leastPatience, objective);
        if (route_->retryPolicy == RetryPolicy::AtMostOnce || until >= limit_) {
            watchdog_.arm(limit_, [this] { onLimit(); });
            return;
        }
        watchdog_.arm(until, [this] { onPatience(); });
    }

    void onPatience()
    {
        watchdog_.arm(limit_, [this] { onLimit(); });
        const bool hasReplicas = static_cast<int>(sentTo_.size()) < route_->maxUpstreams;
        const bool canAfford = node_.retryBudgetFor(*service_).available(node_.now()) >= 1;
        if (hasReplicas && canAfford && !hasBegun_ && candidates().size() > 1) {
            isImpatient_ = true;
            cancelSend();
        }
    }

    void onLimit()
    {
        isLate_ = true;
        cancelSend();
    }

    void cancelSend()
    {
        if (connection_) {
            connection_->close();
        }
    }

    /// Gives the connection back, or ends it.
    void releaseConnection(bool isReusable)
    {
        const auto connection = std::exchange(connection_, nullptr);
        if (!connection) {
            return;
        }
        if (isReusable && connection->socket.is_open() && !connection->isWriting && connection->buffer.size() == 0) {
            node_.pool.keep(upstream_, connection, node_.now());
        } else {
            node_.pool.drop(upstream_, connection);
        }
    }

    using Parser = http::response_parser<http::buffer_body>;

    net::Task<bool> readAnswer(const ReplicaRecord &replica)
    {
        for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
            Parser parser;
            parser.body_limit(boost::none);
            const auto connection = connection_;
            auto [failed, count] = co_await http::async_read_header(connection->socket, connection->buffer, parser, net::tuple);
            if (failed) {
                co_return onCut(replica, failed.message());
            }
            const auto &head = parser.get();
            answerHeaders_.clear();
            for (const auto &field : head) {
                answerHeaders_.push_back({{field.name_string().data(), field.name_string().size()}, {field.value().data(), field.value().size()}});
            }
            const int status = head.result_int();
            answer_ = node_.codec.readAnswer(status, answerHeaders_);
            noteKeepAlive(head);
            if (!answer_.id.empty() && answer_.id != facts_.id) {
                node_.log.warn("foreign_answer", {{"request_id", facts_.id}, {"upstream", replica.id}, {"answer_of", answer_.id}, {"status", status}});
                node_.metrics.beliefChanges.add({"foreign_answer"});
                std::string ignored;
                if (!co_await readBody(parser, ignored)) {
                    co_return onCut(replica, "an answer to another request was cut");
                }
                continue;
            }
            co_return co_await takeAnswer(replica, parser, status);
        }
        co_return onCut(replica, "only answers to other requests came");
    }

    net::Task<bool> takeAnswer(const ReplicaRecord &replica, Parser &parser, int status)
    {
        constexpr int okFrom = 200;
        constexpr int okTo = 299;
        constexpr int serverErrors = 500;
        const bool isOk = status >= okFrom && status <= okTo;
        if (answer_.notRun) {
            co_return co_await takeNotRun(replica, parser, status);
        }
        if (isOk && (!answer_.isSealed || answer_.isContentEncoded || answer_.id.empty())) {
            co_return onCut(replica, "a success without the upstream's seal, id or plain body");
        }
        if (isOk && route_->isStream) {
            co_return co_await relayStream(replica, parser, status);
        }
        std::string body;
        if (!co_await readBody(parser, body)) {
            co_return onCut(replica, "the answer's body was cut");
        }
        const bool isReusable = parser.get().keep_alive();
        if (hasBegun_) { // the stream that was to go on elsewhere ended in an error
            noteSend(replica, SendOutcome::Failed, "failed", "status " + std::to_string(status) + " to a stream that goes on");
            releaseConnection(isReusable);
            unknown_ = true;
            co_return false;
        }
        if (status >= serverErrors && route_->retryPolicy != RetryPolicy::AtMostOnce && canRepeatFailed()) {
            noteSend(replica, SendOutcome::Failed, "failed", "status " + std::to_string(status));
            releaseConnection(isReusable);
            unknown_ = true;
            passed_.push_back(replica.id);
            co_return false;
        }
        noteSend(replica, status >= serverErrors ? SendOutcome::Failed : SendOutcome::Succeeded, status >= serverErrors ? "failed" : "good", {});
        releaseConnection(isReusable);
        if (isOk) {
            node_.retryBudgetFor(*service_).onSuccess(node_.now());
        }
        reason_ = isOk ? "served" : "upstream_status";
        status_ = status;
        co_await caller_.write(answerHead(status, body.size()) + body);
        co_return true;
    }

    [[nodiscard]] bool canRepeatFailed()
    {
        return static_cast<int>(sentTo_.size()) < route_->maxUpstreams && node_.retryBudgetFor(*service_).available(node_.now()) >= 1 && candidates().size() > 1
            && !isOver();
    }

    net::Task<bool> takeNotRun(const ReplicaRecord &replica, Parser &parser, int status)
    {
        std::string body;
        const bool isWhole = co_await readBody(parser, body);
        const bool isReusable = isWhole && parser.get().keep_alive();
        constexpr int badRequest = 400;
        if (status == badRequest) {
            noteSend(replica, SendOutcome::NotRun, "not_run", "status 400");
            releaseConnection(isReusable);
            isFinal_ = true;
            co_await refuse(badRequest, "upstream_refused", std::nullopt);
            co_return true;
        }
        if (answer_.isMisdirected && !answer_.upstream.empty() && answer_.upstream != replica.id) {
            noteSend(replica, SendOutcome::NoAnswer, "not_run", "another upstream has the address");
            releaseConnection(false);
            passed_.push_back(replica.id);
            refusal_ = "address_reused";
            co_return false;
        }
        if (answer_.isMisdirected) { // it lacks the weights or the revision
            node_.leases.drop(replica.id, facts_.weights);
            noteSend(replica, SendOutcome::NotRun, "not_run", "the upstream does not hold the weights");
            releaseConnection(isReusable);
            refusal_ = "weights_not_held";
            mayReturnTo_ = ++misses_ <= maxMisses && namesAdapter();
            if (!mayReturnTo_) {
                passed_.push_back(replica.id);
            }
            co_return false;
        }
        noteSend(replica, SendOutcome::Full, "not_run", "status " + std::to_string(status));
        releaseConnection(isReusable);
        refusal_ = "upstream_full";
        passed_.push_back(replica.id);
        co_return false;
    }

    void noteKeepAlive(const http::response_header<> &head)
    {
        const auto value = head["Keep-Alive"];
        const auto at = value.find("timeout=");
        if (at == beast::string_view::npos) {
            return;
        }
        constexpr std::size_t nameLength = 8;
        int seconds = 0;
        std::from_chars(value.data() + at + nameLength, value.data() + value.size(), seconds);
        constexpr int msPerSecond = 1'000;
        if (seconds > 0) {
            connection_->keepFor = Milliseconds(std::int64_t(seconds) * msPerSecond);
        }
    }

    net::Task<bool> readBody(Parser &parser, std::string &body)
    {
        std::array<char, chunkBytes> data{};
        while (!parser.is_done()) {
            const auto piece = co_await readPiece(parser, data);
            if (!piece || body.size() > maxAnswerBytes) {
                co_return false;
            }
            body.append(*piece);
        }
        co_return true;
    }

    /// Some decoded bytes of the body; may be none. Nothing when it was cut.
    net::Task<std::optional<std::string_view>> readPiece(Parser &parser, std::array<char, chunkBytes> &data)
    {
        parser.get().body().data = data.data();
        parser.get().body().size = data.size();
        parser.get().body().more = true;
        const auto connection = connection_;
        if (!connection) {
            co_return std::nullopt;
        }
        auto [failed, count] = co_await http::async_read_some(connection->socket, connection->buffer, parser, net::tuple);
        if (failed && failed != http::error::need_buffer && failed != http::error::end_of_stream) {
            cutReason_ = failed.message();
            co_return std::nullopt;
        }
        co_return std::string_view(data.data(), data.size() - parser.get().body().size);
    }

    // ---- Relaying ----

    [[nodiscard]] std::string answerHead(int status, std::optional<std::size_t> length)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
        head.append(statusText(status)).append("\r\n");
        for (const auto &[name, value] : answerHeaders_) {
            if (!CallerRequest::isHopByHopHeader(name)) {
                head.append(name).append(": ").append(value).append("\r\n");
            }
        }
        if (length) {
            head.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
        } else {
            head.append("Transfer-Encoding: chunked\r\n");
        }
        if (caller_.closesAfterResponse()) {
            head.append("Connection: close\r\n");
        }
        head.append("\r\n");
        return head;
    }

    static void addChunk(std::string &out, std::string_view bytes)
    {
        constexpr int hexBase = 16;
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexBase).ptr;
        out.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
    }

    net::Task<bool> relayStream(const ReplicaRecord &replica, Parser &parser, int status)
    {
        EventScanner scanner;
        std::array<char, chunkBytes> data{};
        const std::string head = hasBegun_ ? std::string() : answerHead(status, std::nullopt);
        while (!parser.is_done()) {
            const auto piece = co_await readPiece(parser, data);
            if (!piece) {
                co_return onCut(replica, "the stream was cut: " + cutReason_);
            }
            scanner.feed(*piece);
            std::string events;
            takeEvents(scanner, events);
            if (!events.empty() && !co_await writeEvents(head, events)) {
                noteSend(replica, SendOutcome::Abandoned, "caller_gone", {});
                releaseConnection(false);
                finishGone();
                co_return true;
            }
            if (scanner.isBroken()) {
                co_return onCut(replica, "an event is longer than " + std::to_string(EventScanner::maxEventBytes) + " bytes");
            }
        }
        if (scanner.hasRest()) {
            co_return onCut(replica, "the stream ended within an event");
        }
        noteSend(replica, SendOutcome::Succeeded, "good", {});
        releaseConnection(parser.get().keep_alive());
        node_.retryBudgetFor(*service_).onSuccess(node_.now());
        status_ = status;
        reason_ = sends_ > 1 && events_ > 0 ? "served_after_repeat" : "served";
        co_await caller_.write((hasBegun_ ? std::string() : head) + "0\r\n\r\n");
        co_return true;
    }

    /// Whole events that the caller does not have yet, as one chunk.
    void takeEvents(EventScanner &scanner, std::string &out)
    {
        std::string fresh;
        while (const auto event = scanner.next()) {
            if (event->id && lastEvent_ && *event->id <= *lastEvent_) {
                continue;
            }
            fresh.append(event->bytes);
            ++events_;
            if (event->id) {
                lastEvent_ = event->id;
            }
        }
        if (!fresh.empty()) {
            addChunk(out, fresh);
        }
    }

    net::Task<bool> writeEvents(const std::string &head, const std::string &events)
    {
        const auto now = node_.now();
        endReading(upstream_);
        if (!hasBegun_) {
            hasBegun_ = true;
            status_ = 200;
            firstEvent_ = now - request_.arrivedAt;
            node_.metrics.firstEvent.observe({service_->value()}, *firstEvent_);
            lastWrite_ = now;
            watchdog_.arm(limit_, [this] { onLimit(); });
            co_return co_await caller_.write(head + events);
        }
        const auto pause = now - lastWrite_;
        longestPause_ = std::max(longestPause_, pause);
        node_.metrics.eventPause.observe({service_->value()}, pause);
        lastWrite_ = now;
        co_return co_await caller_.write(events);
    }

    // ---- Failing ----

    /// A send that ended without a whole answer. True when nothing more can be done for the caller.
    bool onCut(const ReplicaRecord &replica, const std::string &reason)
    {
        const bool wasSent = !connection_ || connection_->isWriting || connection_->written > 0 || !connection_->writeError;
        const bool isCallers = isGone_ || caller_.isDisconnected() || isLate_;
        noteSend(replica,
                 isCallers          ? SendOutcome::Abandoned
                     : isImpatient_ ? SendOutcome::NoAnswer
                                    : SendOutcome::Failed,
                 "cut",
                 isImpatient_ ? "no answer in time" : reason);
        releaseConnection(false);
        if (wasSent) {
            unknown_ = true;
        }
        passed_.push_back(replica.id);
        refusal_ = "upstream_failed";
        reasonText_ = reason;
        return false;
    }

    void finishGone() { reason_ = "caller_gone"; }

    net::Task<void> giveUp()
    {
        if (reason_ == "caller_gone" || status_ != 0) {
            if (hasBegun_ && reason_ != "caller_gone") {
                caller_.abort();
                reason_ = isLate_ || left() < leastTime ? "stream_late" : "stream_cut";
            }
            co_return;
        }
        if (isGone_ || caller_.isDisconnected()) {
            finishGone();
            co_return;
        }
        const bool isTimeUp = left() < leastTime;
        if (unknown_) {
            co_await refuse(isTimeUp ? 504 : 502, isTimeUp ? "deadline" : refusal_, std::nullopt);
        } else {
            co_await refuse(
                503, isTimeUp ? "deadline" : refusal_, retryAfter_.value_or(refusal_ == std::string_view("no_upstream") ? unknownRetry : crowdedRetry));
        }
    }

    net::Task<void> refuse(int status, std::string_view reason, std::optional<Milliseconds> retryAfter)
    {
        status_ = status;
        reason_ = reason;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
        head.append(statusText(status)).append("\r\n");
        if (!facts_.id.empty()) {
            head.append(node_.codec.requestIdField()).append(": ").append(facts_.id.value()).append("\r\n");
        }
        if (retryAfter) {
            head.append("Retry-After: ").append(secondsText(*retryAfter)).append("\r\n");
        }
        if (caller_.closesAfterResponse()) {
            head.append("Connection: close\r\n");
        }
        head.append("Content-Length: 0\r\n\r\n");
        co_await caller_.write(std::move(head));
    }

    // ---- Telling ----

    void beginReading(const UpstreamId &id)
    {
        if (isEngine()) {
            readingMs_ = static_cast<int>(std::clamp(facts_.promptTokens / promptTokensPerMs, 0.0, longestReadingMs));
            node_.chooser.beginPrefill(id, readingMs_);
        }
    }

    void endReading(const UpstreamId &id) { node_.chooser.endPrefill(id, std::exchange(readingMs_, 0)); }

    void noteSend(const ReplicaRecord &replica, SendOutcome end, std::string_view outcome, const std::string &reason)
    {
        endReading(replica.id);
        node_.chooser.endSend(replica.id, end, node_.now());
        if (namesAdapter()) {
            node_.adjustUseCount(replica.id, facts_.weights, -1);
        }
        node_.metrics.sends.add({service_->value(), outcome});
        if (end != SendOutcome::Succeeded) {
            node_.log.info("send_ended",
                           {{"request_id", facts_.id},
                            {"upstream", replica.id},
                            {"outcome", outcome},
                            {"why", reason},
                            {"took_ms", node_.now() - sentAt_},
                            {"left_ms", left()},
                            {"upstreams_age_ms", node_.now() - node_.replicasReadAt}});
        }
    }

    void logEnd()
    {
        const std::string_view service = service_ == nullptr ? std::string_view("none") : std::string_view(service_->value());
        const auto took = node_.now() - request_.arrivedAt;
        node_.metrics.requests.add({service, std::to_string(status_), reason_});
        if (service_ != nullptr) {
            node_.metrics.requestDuration.observe({service}, took);
        }
        node_.log.info("request",
                       {{"request_id", facts_.id},
                        {"service", service},
                        {"route", route_ == nullptr ? std::string_view() : std::string_view(route_->name)},
                        {"adapter", facts_.weights.adapter},
                        {"upstream", upstream_},
                        {"status", status_},
                        {"reason", reason_},
                        {"detail", reasonText_},
                        {"sends", sends_},
                        {"events", events_},
                        {"took_ms", took},
                        {"weights_ms", residencyWait_},
                        {"first_event_ms", firstEvent_.value_or(Milliseconds(-1))},
                        {"longest_pause_ms", longestPause_},
                        {"config", routes_ ? routes_->version() : ConfigVersion()}});
    }

    Node &node_;
    CallerConnection &caller_;
    CallerRequest &request_;
    Watchdog watchdog_;
    std::shared_ptr<const RouteTable> routes_;
    const Route *route_ = nullptr;
    const ServiceName *service_ = nullptr;
    const ServiceSpec *spec_ = nullptr;
    RequestMetadata facts_;
    Instant limit_;

    ConnectionPtr connection_;
    UpstreamId upstream_;
    Instant sentAt_;
    std::vector<HeaderView> answerHeaders_;
    ResponseMetadata answer_;
    std::optional<AdapterRevision> revision_;
    std::optional<std::uint64_t> lastEvent_;
    std::vector<UpstreamId> sentTo_; // distinct upstreams that were sent the request
    std::vector<UpstreamId> passed_; // not to be chosen again
    bool mayReturnTo_ = false;       // the last upstream did not run it for a reason that can be mended
    bool wasSent_ = false;           // the last choice led to a send
    bool unknown_ = false;           // it may have run somewhere
    bool isGone_ = false;
    bool isLate_ = false;
    bool isImpatient_ = false;
    int readingMs_ = 0;     // of the send that is out, until its first event
    bool hasBegun_ = false; // the caller has a part of the answer
    bool isFinal_ = false;
    bool onlyHolders_ = false; // only upstreams that hold the weights may still be chosen
    int sends_ = 0;
    int misses_ = 0;
    int events_ = 0;
    int status_ = 0;
    std::string_view reason_ = "unknown";
    std::string_view refusal_ = "no_upstream";
    std::optional<Milliseconds> retryAfter_; // when room is expected
    std::string reasonText_;
    std::string cutReason_;
    Milliseconds residencyWait_;
    std::optional<Milliseconds> firstEvent_;
    Milliseconds longestPause_;
    Instant lastWrite_;
};

} // namespace

net::Task<void> Forwarder::handle(CallerConnection &caller, CallerRequest &request)
{
    Exchange exchange(node_, caller, request);
    co_await exchange.run();
}

} // namespace baobabstall::serving
