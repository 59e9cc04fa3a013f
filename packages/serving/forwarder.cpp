#include <serving/forwarder.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <core/hash.h>
#include <net/answerstatus.h>
#include <serving/access.h>
#include <serving/connectionend.h>
#include <serving/events.h>
#include <serving/gracefulstop.h>
#include <serving/headtext.h>
#include <serving/ownerwait.h>
#include <serving/requestkey.h>
#include <serving/runproof.h>
#include <serving/scarceroom.h>
#include <serving/sendend.h>
#include <serving/watchdog.h>
#include <settings/json.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using core::Error;
using core::Step;

namespace {

constexpr std::size_t chunkBytes = 16 * 1024;
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024; // of a response that is not a stream; a larger one counts as truncated
constexpr std::uint32_t maxHeadBytes = 16 * 1024;          // of a response
constexpr std::size_t maxRefusalBytes = 64 * 1024;         // of the body of a refusal, which is read only for the connection to be used again
constexpr Milliseconds refusalBodyTimeout{100};            // the same

constexpr int maxChoices = 8;                      // upstream choices for one request, whether or not it is sent
constexpr int maxRelayedChoices = 2;               // the same of a request of another host, while no connection opens: this host may be cut off as well
constexpr int maxWeightsMisses = 2;                // after more responses that the upstream lacks weights reported as held, its owner counts as wrong
constexpr int maxForeignResponses = 2;             // responses to other requests that are discarded before the connection counts as out of sync
constexpr Milliseconds refusalTimeout{1'000};      // for a request without a route; needed only when the caller does not read
constexpr Milliseconds minSendTime{5};             // a request with less time left is not sent
constexpr double responseTimeoutShare = 0.75;      // of the latency objective; an unresponsive upstream is then given up if the request may go elsewhere
constexpr double streamResponseTimeoutShare = 1.2; // the same for streams: prefill of a long prompt may take the whole objective
constexpr Milliseconds minResponseTimeout{250};
constexpr double maxPrefillMs = 10'000;              // limit on the prefill time that a caller's headers imply: the longest deadline of both deployments
constexpr Milliseconds revisionGrace{1'000};         // after a new revision is published, before requests demand it; until then both revisions are accepted
constexpr Milliseconds overloadRetryAfter{300};      // Retry-After when all upstreams are overloaded: some requests have ended by then
constexpr Milliseconds unavailableRetryAfter{1'000}; // Retry-After when nothing can be served yet: a failed listing of the store has been retried by then
constexpr double residencyWaitShare = 0.85;          // of the remaining time, for waiting for weights; the rest is for the response
constexpr double residencyObjectiveShare = 0.6;      // of the remaining latency objective, for the same when another upstream holds the weights
constexpr double smallPromptShare = 1.0 / 8;         // of the prompt tokens that a replica may process at a time; a smaller prompt needs no turn
constexpr double turnWaitShare = 0.5;                // of the time until a request is late, for waiting for its turn; the rest is for its prefill
constexpr double lateTurnWaitShare = 0.1;            // the same of the remaining time of a request that is late
constexpr double permitWaitShare = 0.5;              // of the time until a request is late, for waiting for a permit when every upstream is limited
constexpr Milliseconds untoldWait{20};               // for a place at an upstream of which this host, just started, does not know whether it is brittle
constexpr int maxScarceRefusals = 2;                 // by owners of replicas of a crowded plain service
constexpr int maxPlacesAskedFor = 3;                 // at brittle upstreams; the request waits at the last
constexpr Milliseconds maxPermitDelay{250};          // a permit that this host comes to use later than this after its time is not used
constexpr Milliseconds maxPermitBlock{1'000};        // before the owner is asked again: the limit may have ended
constexpr double originWaitShare = 1.0 / 3;          // of the remaining time, for learning where a stream began
constexpr Milliseconds maxOriginWait{1'500};         // the same; callers leave after two seconds without an event
constexpr double shrinkingFill
    = 0.75; // running requests per slot; beyond it a version whose upstreams leave takes new streams only when no other has a free slot
constexpr Milliseconds unknownStreamRetryAfter{300};   // Retry-After when this host can't know a stream's version: another host may
constexpr Milliseconds maxQuotaWait{150};              // for the answer of the quota's owner: some round trips and a busy host
constexpr std::int64_t quotaWaitDivisor = 4;           // of the latency objective, for the same
constexpr std::string_view unknownKey = "unknown_key"; // reasons of refusals
constexpr std::string_view configurationUnproven = "configuration_unproven";
constexpr double freeSlotFill = 1; // running requests per slot; below it a request starts immediately

enum class ReadEnd : std::uint8_t { Head, Cut, Foreign };

/// State of one request, for the duration of Forwarder::handle().
class Exchange final : public StopListener
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
        if (!co_await readAndRoute()) {
            co_return;
        }
        caller_.onDisconnect([this] {
            isDisconnected_ = true;
            endSend(EndedBy::Caller);
        });
        watchdog_.arm(deadline_, [this] { onDeadline(); });
        const GracefulStop::Registration registration(node_.stop, *this);
        if (node_.stop.hasBegun()) {
            onStop();
        }
        const bool isRelayed = isCutNoticed() && co_await relay(RelaySource::maxPeers);
        if (!isRelayed && co_await findStreamVersion()) {
            co_await runAttempts();
        }
        watchdog_.disarm();
        stopWatchdog_.reset();
        releaseConnection(false);
        settleQuota();
        if (!isRefusedForStop_) {
            logRequest();
        }
    }

    void onStop() override
    {
        if (!isStoppable()) {
            return;
        }
        const auto until = isPassedOn() ? node_.stop.answerBy() : std::min(node_.stop.answerBy(), lastSendAt());
        if (node_.now() >= until) {
            onStopLimit();
            return;
        }
        if (!stopWatchdog_) {
            stopWatchdog_.emplace(node_.io);
        }
        stopWatchdog_->arm(until, [this] { onStopLimit(); });
    }

private:
    // ---- A host that stops ----

    /// Not when this host passes a response on, which it does for as long as it can.
    [[nodiscard]] bool isStoppable() const
    {
        const bool isBegun = (hasResponseBegun_ && (request_.relayedFrom == nullptr || isPassedOn())) || (relayTask_ != nullptr && relayTask_->hasBegun);
        return !isBegun && !isRefusedForStop_ && (status_ == 0 || hasResponseBegun_);
    }
    [[nodiscard]] bool isPassedOn() const { return isInFlight_ || relayTask_ != nullptr; }

    [[nodiscard]] Instant lastSendAt() const
    {
        const auto known = node_.runTimes.find(*service_);
        const auto expected = known == node_.runTimes.end() ? std::nullopt : known->second.expected(metadata_.maxOutputTokens, isResumable());
        return node_.stop.lastSendAt(readAt_, deadline_, expected);
    }

    /// Whether the host ends too soon for a request that is not sent yet.
    [[nodiscard]] bool isTooLateForStop() const { return node_.stop.hasBegun() && isStoppable() && !isPassedOn() && node_.now() >= lastSendAt(); }
    /// A wait before the request is sent, which a host that stops makes shorter.
    [[nodiscard]] Milliseconds boundedWait(Milliseconds wait) const
    {
        return node_.stop.hasBegun() && isStoppable() ? std::max(Milliseconds(0), std::min(wait, lastSendAt() - node_.now())) : wait;
    }

    void onStopLimit()
    {
        if (!isStoppable()) {
            return;
        }
        if (isPassedOn()) {
            if (node_.now() >= node_.stop.answerBy()) {
                isDeadlineReached_ = true; // what it does is not known in time
                endSend(EndedBy::Host);
            }
            return;
        }
        refuseForStop();
    }

    /// Whatever the request waits for: what it does after the wait finds that it has ended.
    void refuseForStop()
    {
        isRefusedForStop_ = true;
        refusalReason_ = reason_ = "stopping";
        constexpr int unavailable = 503;
        constexpr int late = 504;
        if (request_.relayedFrom != nullptr) {
            isDeclined_ = true;
            request_.relayedFrom->account = account();
            request_.relayedFrom->returnNow();
        } else {
            status_ = mayHaveRun_ ? late : unavailable;
            caller_.endWith(refusalHead(status_, mayHaveRun_ ? std::nullopt : std::optional(stopRetryAfter())));
        }
        logRequest();
        endSend(EndedBy::Host);
    }

    [[nodiscard]] Milliseconds stopRetryAfter() const { return std::max(overloadRetryAfter, node_.stop.untilUnbalanced(node_.now())); }

    // ---- Reading and routing ----

    net::Task<bool> readAndRoute()
    {
        Error why;
        const auto metadata = node_.codec.readRequest(request_.headers, why);
        if (metadata) {
            metadata_ = *metadata;
            caller_.nameRequest(metadata_.id);
        }
        deadline_ = request_.arrivedAt + refusalTimeout;
        routes_ = node_.routes;
        if (!routes_) {
            co_await refuse(503, "no_configuration", unavailableRetryAfter);
            logRequest();
            co_return false;
        }
        if (!metadata) {
            reasonDetail_ = why.reason;
            co_await refuse(400, "unreadable", std::nullopt);
            logRequest();
            co_return false;
        }
        route_ = routes_->find(request_.host, request_.target);
        if (route_ == nullptr && request_.relayedFrom != nullptr) { // this host's configuration is another one
            declineAtOnce("no_route");
            co_return false;
        }
        if (route_ == nullptr) {
            co_await refuse(404, "no_route", std::nullopt);
            logRequest();
            co_return false;
        }
        if (const auto access = accessOf(*routes_, *route_, metadata_.key, node_.isConfigurationProven()); !admits(access.verdict)) {
            co_await refuseAccess(access.verdict);
            co_return false;
        } else {
            setWorkspace(access.workspace);
        }
        service_ = &RouteTable::serviceOf(*route_, metadata_.id);
        serviceSpec_ = routes_->service(*service_);
        deadline_ = request_.arrivedAt + std::min(route_->timeout, metadata_.deadline.value_or(route_->timeout));
        lastEventId_ = metadata_.lastEventId;
        requestKey_ = requestKeyOf({request_.method, request_.host, request_.target, metadata_.caller, metadata_.weights.text(), request_.body});
        causes_.push_back({CrashCause::Kind::Request, requestKey_.value()});
        for (const auto &part : metadata_.sharedParts) {
            causes_.push_back({CrashCause::Kind::Part, part.value()});
        }
        crashesBefore_ = node_.crashes.knownCrashes(causes_.front());
        tries_ = triesHere();
        if (request_.relayedFrom != nullptr) {
            const auto &from = *request_.relayedFrom;
            excluded_ = from.sentTo;
            mayHaveRun_ = from.mayHaveRun && !from.tries; // a host that counts tries knows what ran elsewhere
            sendsBefore_ = from.sends;
            cuts_ = from.cuts;
        }
        if (request_.relayedFrom != nullptr && tries_.left() == 0) {
            declineAtOnce("no_tries_left");
            co_return false;
        }
        if (request_.relayedFrom != nullptr && request_.relayedFrom->hasBegun) {
            hasResponseBegun_ = true;
            lastEventId_ = request_.relayedFrom->lastEventId;
            version_ = request_.relayedFrom->version;
            lastWrite_ = node_.now();
            status_ = 200;
        }
        co_return co_await chargeQuota();
    }

    // ---- Workspaces ----

    void setWorkspace(const Workspace *workspace)
    {
        workspace_ = workspace == nullptr ? WorkspaceId() : workspace->name;
        rank_ = workspace == nullptr ? route_->priority : workspace->priority.value_or(route_->priority);
        quota_ = workspace == nullptr ? WorkspaceQuota() : workspace->quota;
        workspaceLabel_ = workspace == nullptr ? std::string() : std::string(routes_->labelOf(*workspace));
    }

    /// Charged where the caller arrived, before anything else waits: what counts is when requests are sent to this system.
    net::Task<bool> chargeQuota()
    {
        if (node_.quotas == nullptr || quota_.perSecond <= 0 || request_.relayedFrom != nullptr) {
            co_return true;
        }
        const double tokens = metadata_.namesTokens ? metadata_.promptTokens + metadata_.maxOutputTokens : quota_.flatTokens;
        const auto maxWait = std::min(maxQuotaWait, route_->latencyObjective / quotaWaitDivisor);
        const auto decision = co_await node_.quotas->take(workspace_, quota_.countsTokens ? tokens : 1, maxWait);
        if (decision.isGranted) {
            charge_ = decision.charge;
            co_return true;
        }
        constexpr int tooManyRequests = 429;
        co_await refuse(tooManyRequests, "over_quota", decision.retryAfter);
        logRequest();
        co_return false;
    }

    /// A charge counts only for what may run.
    void settleQuota()
    {
        constexpr int unauthorized = 401;
        constexpr int unavailable = 503;
        const bool isOwnAnswer = reason_ != std::string_view("upstream_status") && reason_ != std::string_view("relayed");
        const bool isRefused = isOwnAnswer && (status_ == unavailable || status_ == unauthorized);
        const bool isUnsent = status_ == 0 && tries_.used() == 0;
        if (charge_.amount > 0 && !mayHaveRun_ && !hasResponseBegun_ && (isRefused || isUnsent)) {
            node_.quotas->giveBack(std::exchange(charge_, {}));
        }
    }

    /// On arrival. Another host's configuration may be another one, so it decides what becomes of its request.
    net::Task<void> refuseAccess(AccessVerdict verdict)
    {
        const bool isUnproven = verdict == AccessVerdict::Unproven;
        const std::string_view reason = isUnproven ? configurationUnproven : unknownKey;
        if (request_.relayedFrom != nullptr) {
            declineAtOnce(reason);
            co_return;
        }
        constexpr int unauthorized = 401;
        constexpr int unavailable = 503;
        co_await refuse(isUnproven ? unavailable : unauthorized, reason, isUnproven ? std::optional(unavailableRetryAfter) : std::nullopt);
        logRequest();
    }

    /// Right before a send, by the configuration in force now.
    bool isAccessLost()
    {
        const auto routes = node_.routes;
        const auto access = accessOf(*routes, *route_, metadata_.key, node_.isConfigurationProven());
        const auto name = access.workspace == nullptr ? WorkspaceId() : access.workspace->name;
        isAccessLost_ = !admits(access.verdict) || name != workspace_;
        if (isAccessLost_) {
            refusalReason_ = access.verdict == AccessVerdict::Unproven ? configurationUnproven : unknownKey;
            isFinal_ = true;
        }
        return isAccessLost_;
    }

    /// Right before a send: the caller may have left though this host, being late, has not seen it yet.
    bool isGoneNow()
    {
        isDisconnected_ = isDisconnected_ || caller_.isGone();
        return isFinished();
    }

    /// Before anything was done for a relayed request.
    void declineAtOnce(std::string_view reason)
    {
        refusalReason_ = reason_ = reason;
        isDeclined_ = true;
        logRequest();
    }

    [[nodiscard]] Tries triesHere() const
    {
        if (request_.relayedFrom == nullptr) {
            return Tries(route_->maxUpstreams);
        }
        const auto &from = *request_.relayedFrom;
        const int left = route_->maxUpstreams - static_cast<int>(from.sentTo.size());
        return {from.sentTo, from.tries.value_or(from.mayBeSentElsewhere() ? 0 : left), route_->maxUpstreams};
    }

    [[nodiscard]] bool isEngine() const { return serviceSpec_ != nullptr && serviceSpec_->engine.has_value(); }
    [[nodiscard]] bool namesAdapter() const { return isEngine() && !metadata_.weights.adapter.empty(); }
    [[nodiscard]] Milliseconds timeLeft() const { return deadline_ - node_.now(); }
    [[nodiscard]] bool isFinished() const
    {
        return isRefusedForStop_ || isDisconnected_ || caller_.isDisconnected() || timeLeft() < minSendTime || isTooLateForStop();
    }

    // ---- Streams that go on ----

    [[nodiscard]] bool isResumable() const { return route_->retryPolicy == RetryPolicy::Resumable; }
    /// What a caller asks for again when it takes up a stream; its id and the last event differ.
    [[nodiscard]] std::uint64_t streamKey() const { return core::hashText(request_.host + " " + request_.target + " " + metadata_.caller, 0); }

    /// A stream that the caller takes up goes on at the software version that began it. Returns false when the request was refused, because
    /// this host can't know the version: a guess may mix events that don't fit together.
    net::Task<bool> findStreamVersion()
    {
        isTakenUp_ = isResumable() && (lastEventId_ || !metadata_.resumes.empty());
        if (!isTakenUp_ || hasResponseBegun_) {
            co_return true;
        }
        if (!metadata_.resumes.empty()) {
            service_ = &RouteTable::serviceOf(*route_, metadata_.resumes);
        }
        const auto begin = node_.now();
        const auto patience = std::min(maxOriginWait, Milliseconds(static_cast<std::int64_t>(static_cast<double>(timeLeft().count()) * originWaitShare)));
        found_ = co_await node_.streams->find(metadata_.resumes, *service_, boundedWait(patience));
        originWait_ = node_.now() - begin;
        const auto &origin = found_.origin;
        if (origin && (origin->request != streamKey() || !useService(origin->service))) {
            co_await refuse(503, "resumes_other_request", unavailableRetryAfter);
            co_return false;
        }
        if (origin) {
            version_ = origin->version;
            firstUpstream_ = origin->upstream;
        } else {
            version_ = node_.provenVersion(*service_, begin);
        }
        serviceSpec_ = routes_->service(*service_);
        if (!version_) {
            co_await refuse(503, metadata_.resumes.empty() ? "stream_not_named" : "stream_not_known", unknownStreamRetryAfter);
            co_return false;
        }
        co_return true;
    }

    /// The stream began at this service of the route, which may have several.
    bool useService(const ServiceName &name)
    {
        const auto share = std::find_if(route_->services.begin(), route_->services.end(), [&](const WeightedService &each) { return each.service == name; });
        if (share == route_->services.end()) {
            return false;
        }
        service_ = &share->service;
        return true;
    }

    /// Whether what the upstream would need for the request is for streams that go on: its version's upstreams leave.
    [[nodiscard]] bool isReserved(const ReplicaRecord &record) const
    {
        const bool needsAdapterSlot = namesAdapter() && !isHeld(record);
        return isResumable() && !version_ && node_.versions.isShrinking(*service_, record.version, node_.now())
            && (fillOf(record) >= shrinkingFill || needsAdapterSlot);
    }

    /// Tells other hosts at which version the stream begins, should its first event come from this upstream.
    void announceStream(const ReplicaRecord &replica)
    {
        if (isResumable() && !isTakenUp_ && !hasResponseBegun_) {
            node_.streams->announce(
                metadata_.id, {replica.version, replica.id, *service_, streamKey(), sendsBefore_ + sends_}, deadline_ + StreamRecords::extraLifetime);
            announcedVersion_ = replica.version;
        }
    }

    /// Whether the connection leads to the run of the upstream that its record names. An upstream may start again under its id at another
    /// version, while its record comes late.
    net::Task<bool> proveRun(const ReplicaRecord &replica)
    {
        if (!isResumable() || !isEngine() || connection_->provenRun == replica.startTime || replica.startTime.value() == 0) {
            co_return true;
        }
        const auto connection = connection_;
        bool isSilent = false;
        watchdog_.arm(std::min(deadline_, node_.now() + boundedWait(proofs_.patience(timeLeft()))), [this, &isSilent] {
            isSilent = true;
            cancelSend();
        });
        const auto report = co_await askReport(*connection, node_.codec, replica.id);
        watchdog_.arm(deadline_, [this] { onDeadline(); });
        if (isSilent) {
            proofs_.onSilent(replica.id);
        }
        if (report) {
            connection->provenRun = replica.startTime;
        }
        if (report && report->startTime > replica.startTime) {
            node_.outdatedRecords[replica.id] = replica.startTime;
            node_.log.info("upstream_record_outdated",
                           {{"upstream", replica.id}, {"version", replica.version}, {"record_start", replica.startTime}, {"start", report->startTime}});
            co_return false;
        }
        co_return report.has_value() && !isSilent;
    }

    // ---- Choosing an upstream ----

    [[nodiscard]] std::vector<Candidate> candidates() const { return candidates(tries_.left() > 0); }

    /// `mayBeNew`: also upstreams that the request was not sent to.
    [[nodiscard]] std::vector<Candidate> candidates(bool mayBeNew) const
    {
        std::vector<Candidate> found;
        const auto &model = metadata_.weights.model;
        const bool needsModel = isEngine() && !model.empty() && node_.replicas.holders(model) > 0;
        for (const auto &id : node_.replicas.usable(*service_)) {
            const auto *record = node_.replicas.find(id);
            const bool isExcluded = proofs_.isSilent(id) || std::find(excluded_.begin(), excluded_.end(), id) != excluded_.end();
            const bool isFull = serviceSpec_ != nullptr && serviceSpec_->maxConnections > 0 && node_.pool.openTo(id) >= connectionShare()
                && node_.chooser.localOccupancy(id).running >= connectionShare();
            const bool isHeldBack = isResumable() && !version_ && !node_.ledger.mayBegin(*service_, record->version);
            const bool isWrongVersion = isHeldBack || (version_ && record->version != *version_) || (isResumable() && node_.isOutdated(*record));
            const bool isBeyondTries = !mayBeNew && !tries_.has(id);
            if (isExcluded || isBeyondTries || isFull || isWrongVersion || !node_.maySend(id) || (needsModel && !record->holds(model))
                || (onlyHolders_ && !isHeld(*record))) {
                continue;
            }
            Candidate candidate{record, true, true};
            if (isEngine() && !metadata_.weights.model.empty()) {
                candidate.holdsWeights = isHeld(*record);
                candidate.canLoad = node_.residency->canOrder(id) && !node_.limits.isRateLimited(id);
            }
            found.push_back(candidate);
        }
        return found;
    }

    /// Connections that this host may open to an upstream, so that all hosts together stay below its limit.
    [[nodiscard]] int connectionShare() const
    {
        constexpr double requestShare = 0.9; // the rest is reserved for orders and reports
        constexpr int minShare = 2;
        return std::max(minShare, static_cast<int>(serviceSpec_->maxConnections * requestShare / node_.hostCount * hostImbalance));
    }
    static constexpr double hostImbalance = 1.6; // callers are distributed by hash, so some hosts get more than their share

    [[nodiscard]] bool isHeld(const ReplicaRecord &record) const
    {
        return record.holds(metadata_.weights) || record.id == firstUpstream_ || node_.leases.find(record.id, metadata_.weights, node_.now());
    }

    [[nodiscard]] std::uint64_t affinityKey() const
    {
        if (!isEngine()) {
            return 0;
        }
        const auto text = metadata_.weights.adapter.empty() ? metadata_.weights.model.value() + "#" + metadata_.promptPrefix : metadata_.weights.text();
        return core::hashText(text, 1) | 1;
    }

    [[nodiscard]] double fillOf(const ReplicaRecord &record) const
    {
        return static_cast<double>(node_.chooser.occupancy(record.id, node_.now()).running) / record.slots;
    }

    [[nodiscard]] double maxFill() const
    {
        if (isEngine()) {
            return node_.modelFills[*service_].most(claimant(), node_.now());
        }
        return (givesPlaces() ? node_.workTimes[*service_] : WorkTimes()).maxFill(route_->latencyObjective, node_.now());
    }

    /// Until the first upstream of the service accepts requests again; nullopt unless all of them back off or are at their limits.
    [[nodiscard]] std::optional<Milliseconds> shortestPause() const
    {
        std::optional<Milliseconds> shortest;
        for (const auto &id : node_.replicas.usable(*service_)) {
            const auto remaining = node_.remainingPause(id);
            shortest = shortest ? std::min(*shortest, remaining) : remaining;
        }
        return shortest && shortest->count() > 0 ? shortest : std::nullopt;
    }

    [[nodiscard]] PickRequest pickRequest(std::span<const Candidate> from) const
    {
        return {from, affinityKey(), node_.settings.zone, node_.paces.expectedFirst(*service_, metadata_.promptTokens)};
    }

    [[nodiscard]] Claimant claimant(bool isLate = false) const { return node_.claimant(*routes_, {rank_, workspace_, isLate}); }
    [[nodiscard]] bool givesPlaces() const { return node_.settings.hosting.ownerPlaces > 0; }

    /// Whether the request needs a place that the replica's owner gives: the plain service is crowded, and owners answer.
    [[nodiscard]] bool needsScarcePlace() const
    {
        return givesPlaces() && !isEngine() && !version_ && !isByOwnCount_ && node_.workTimes[*service_].isScarce(node_.now());
    }

    const ReplicaRecord *chooseUpstream()
    {
        if (scarceRefusals_ >= maxScarceRefusals) {
            refusalReason_ = "crowded";
            return nullptr;
        }
        auto all = candidates();
        all = all.empty() && proofs_.askAgain() ? candidates() : all;
        if (all.empty() && onlyHolders_) {
            return nullptr; // keep the reason from waiting for the weights
        }
        if (all.empty()) {
            refusalReason_ = scarceRefusals_ > 0 ? "crowded" : placesAskedFor_ > 0 && sends_ == 0 && !isUnconnected_ ? "upstream_brittle" : noCandidateReason();
            return nullptr;
        }
        if (announcedVersion_) { // other hosts know it already
            const auto isOther = [this](const Candidate &each) { return each.replica->version != *announcedVersion_; };
            if (!std::all_of(all.begin(), all.end(), isOther)) {
                std::erase_if(all, isOther);
            }
        }
        if (needsScarcePlace()) {
            return node_.chooser.draw({all, 0, node_.settings.zone}, node_.now())->replica;
        }
        auto open = all;
        std::erase_if(open, [this](const Candidate &each) { return isReserved(*each.replica); });
        const auto *best = open.size() < all.size() ? node_.chooser.pick(pickRequest(open), node_.now()) : nullptr;
        if (best == nullptr || fillOf(*best->replica) >= freeSlotFill) {
            best = node_.chooser.pick(pickRequest(all), node_.now());
        }
        if (!version_ && fillOf(*best->replica) >= maxFill()) { // a stream that goes on has no other upstreams; the upstream admits it first or refuses it
            refusalReason_ = isEngine() && fillOf(*best->replica) < ModelFill::mostFill ? "gave_way" : "crowded";
            return nullptr;
        }
        return best->replica;
    }

    [[nodiscard]] std::string_view noCandidateReason() const
    {
        const auto usable = node_.replicas.usable(*service_);
        const auto hasVersion = [this](const UpstreamId &id) { return !version_ || node_.replicas.find(id)->version == *version_; };
        if (usable.empty()) {
            return "no_upstream";
        }
        return std::any_of(usable.begin(), usable.end(), hasVersion) ? "no_other_upstream" : "version_not_served";
    }

    // ---- Attempts ----

    net::Task<void> runAttempts()
    {
        if (isEngine() && !metadata_.weights.model.empty()) {
            node_.addDemand(metadata_.weights.model);
        }
        for (int choice = 0; choice < maxChoices && !isFinished() && isAdmitted(); ++choice) {
            if (node_.stop.hasBegun()) {
                onStop(); // after a send that has ended
            }
            if (isCutNoticed() || (request_.relayedFrom != nullptr && isUnconnected_ && sends_ == 0 && choice >= maxRelayedChoices)) {
                break;
            }
            const auto *record = chooseUpstream();
            if (record == nullptr) {
                const auto isOver = [this] { return isFinished(); };
                const auto owned = co_await ownerWait_.untilOwned(node_.io, *node_.residency, boundedWait(OwnerWait::longest(timeLeft())), isOver);
                if (owned.empty()) {
                    break;
                }
                std::erase_if(excluded_, [&owned](const UpstreamId &id) { return std::find(owned.begin(), owned.end(), id) != owned.end(); });
                continue;
            }
            const ReplicaRecord replica = *record; // the table may change during co_await
            if (!co_await ensureWeights(replica)) {
                excluded_.push_back(replica.id);
                continue;
            }
            if (isFinished() || !node_.mayContact(replica.id)) {
                continue;
            }
            if (co_await sendTo(replica)) {
                co_return;
            }
            if (isCutNoticed() || !mayRetry()) {
                break;
            }
        }
        if (isCutNoticed()) {
            if (co_await relay(RelaySource::maxPeers)) {
                co_return;
            }
        } else if (isConnectionLost() && mayRelay() && co_await relay(1)) {
            co_return;
        }
        co_await fail();
    }

    // ---- Sending through another host ----

    [[nodiscard]] bool mayRelay()
    {
        const bool mayRepeat = (!mayHaveRun_ || route_->retryPolicy != RetryPolicy::AtMostOnce) && !isSuspect();
        return node_.relays != nullptr && request_.relayedFrom == nullptr && (!hasResponseBegun_ || isResumable()) && !isRelayTried_ && mayRepeat && !isFinal_
            && !isFinished() && tries_.left() > 0;
    }

    [[nodiscard]] bool isCutNoticed() { return mayRelay() && node_.relays->isNeeded(); }

    /// The last attempt failed in a way that tells of this host's own connections, perhaps.
    [[nodiscard]] bool isConnectionLost() const
    {
        return refusalReason_ == std::string_view("no_connection") || refusalReason_ == std::string_view("upstream_failed")
            || (refusalReason_ == std::string_view("no_other_upstream") && isUnconnected_);
    }

    /// Returns false when no peer took the request, so that this host may send it.
    net::Task<bool> relay(int maxPeers)
    {
        const bool mayHaveRunBefore = mayHaveRun_;
        const int triesBefore = tries_.used();
        RelayTask task(metadata_.id, tries_);
        task.deadline = deadline_;
        task.mayRepeat = route_->retryPolicy != RetryPolicy::AtMostOnce;
        task.isResumable = isResumable();
        task.maxPeers = maxPeers;
        task.sends = sends_;
        task.cuts = cuts_;
        task.spendRepeat = [this, &task] {
            cuts_ = task.cuts;
            return !isSuspect() && spendRepeat();
        };
        task.mayHaveRun = mayHaveRun_;
        task.hasBegun = hasResponseBegun_;
        task.lastEventId = hasResponseBegun_ ? lastEventId_ : std::nullopt;
        task.version = hasResponseBegun_ ? version_ : std::nullopt;
        task.status = status_;
        isRelayTried_ = true;
        relayTask_ = &task;
        if (announcedVersion_ && !hasResponseBegun_) {
            node_.streams->handOver(metadata_.id);
        }
        co_await node_.relays->relay(caller_, request_, task);
        relayTask_ = nullptr;
        sendsBefore_ += task.sends - sends_;
        relayedBy_ = task.host;
        cuts_ = task.cuts;
        mayHaveRun_ = task.mayHaveRun;
        hasResponseBegun_ = task.hasBegun;
        status_ = task.isAnswered || task.hasBegun ? task.status : 0;
        firstEvent_ = firstEvent_ ? firstEvent_ : task.firstBytes;
        if (task.isAnswered) {
            reason_ = "relayed";
            if (isSuccess(task.status)) {
                node_.retryBudgetFor(*service_).onSuccess(node_.now());
            }
            co_return true;
        }
        const bool isUntouched = !task.hasPassedOn && !isFinished() && tries_.used() == triesBefore && mayHaveRun_ == mayHaveRunBefore;
        if (!task.isTooLarge && !task.isFinal && isUntouched) {
            co_return false;
        }
        if (isDisconnected_) {
            finishDisconnected();
        }
        refusalReason_ = task.reason;
        reasonDetail_ = task.detail;
        retryAfter_ = task.retryAfter;
        co_await fail();
        co_return true;
    }

    /// Whether nothing the request has is known to crash upstreams. A probe, which finds out whether it still does, is sent once.
    [[nodiscard]] bool isAdmitted()
    {
        if (isProbe_ || isProbeDenied_) {
            return isProbe_ && sends_ == 0;
        }
        const auto now = node_.now();
        const auto admission = node_.crashes.admit(causes_, now);
        needsProbe_ = admission.needsProbe;
        if (admission.blockedFor) {
            const auto &verdict = *admission.verdict;
            refusalReason_ = verdict.cause.kind == CrashCause::Kind::Part ? "part_blamed" : "request_blamed";
            reasonDetail_ = std::to_string(verdict.crashes) + " crashes, the last " + std::to_string((now - verdict.lastCrash).count()) + " ms ago";
            retryAfter_ = admission.blockedFor;
        }
        return !admission.blockedFor;
    }

    /// Before a request that something blames is sent as a probe.
    net::Task<bool> takeProbe()
    {
        isProbe_ = co_await node_.residency->takeProbe(causes_);
        isProbeDenied_ = !isProbe_;
        if (isProbeDenied_) {
            refusalReason_ = "probe_denied";
            retryAfter_ = CrashWatch::minBlock;
        }
        co_return isProbe_;
    }

    net::Task<bool> ensureWeights(const ReplicaRecord &replica)
    {
        revision_.reset();
        if (!namesAdapter()) {
            co_return true;
        }
        const auto now = node_.now();
        const auto activeRevision = node_.activeRevision(metadata_.weights);
        const auto minRevision = activeRevision ? activeRevision->revision : AdapterRevision();
        if (activeRevision && now - activeRevision->since >= revisionGrace) {
            revision_ = activeRevision->revision;
        }
        const auto lease = node_.leases.find(replica.id, metadata_.weights, now);
        if (lease && lease->revision >= minRevision) {
            co_return true;
        }
        const auto timeUntilLate = request_.arrivedAt + route_->latencyObjective - now;
        const double maxWaitMs = isHeldByFreeUpstream(replica.id) ? static_cast<double>(timeUntilLate.count()) * residencyObjectiveShare
                                                                  : static_cast<double>(timeLeft().count()) * residencyWaitShare;
        const auto maxWait = boundedWait(Milliseconds(std::max<std::int64_t>(0, static_cast<std::int64_t>(maxWaitMs))));
        Error why;
        const auto grant = co_await node_.residency->ensure({replica.id, metadata_.weights, minRevision, maxWait, timeUntilLate, claimant()}, why);
        const auto took = node_.now() - now;
        residencyWait_ = residencyWait_ + took;
        node_.metrics.residencyWait.observe({grant ? "held" : "failed"}, took);
        if (!grant && replica.id == firstUpstream_ && why.step == Step::Peer) {
            co_return true; // its owner may have gone with the host that began the stream; the upstream refuses what it does not hold
        }
        if (!grant) {
            if (OwnerWait::isOwnerSilent(why)) {
                ownerWait_.onOwnerless(replica.id);
            }
            refusalReason_ = "weights_not_held";
            reasonDetail_ = why.reason;
            // Another preferred upstream would load the same weights once more, so try only upstreams that hold them, unless nobody could issue orders here.
            onlyHolders_ = onlyHolders_ || why.step == Step::Load;
            retryAfter_ = why.retryAfter;
            node_.log.info(
                "weights_not_held", why, {{"request_id", metadata_.id}, {"upstream", replica.id}, {"adapter", metadata_.weights.text()}, {"waited_ms", took}});
            co_return false;
        }
        if (grant->until > now) {
            node_.leases.grant(replica.id, metadata_.weights, grant->revision, grant->until);
        }
        co_return true;
    }

    [[nodiscard]] bool isHeldByFreeUpstream(const UpstreamId &excluded) const
    {
        const auto all = candidates();
        return std::any_of(all.begin(), all.end(), [&](const Candidate &each) {
            const auto &other = *each.replica;
            return other.id != excluded && each.holdsWeights && node_.chooser.occupancy(other.id, node_.now()).running < other.slots * freeSlotFill;
        });
    }

    /// Whether the request may be sent again, to another upstream or to the same one.
    [[nodiscard]] bool mayRetry()
    {
        if (isFinished() || isFinal_) {
            return false;
        }
        const bool mayRepeat = (!mayHaveRun_ || route_->retryPolicy != RetryPolicy::AtMostOnce) && !isSuspect();
        const bool hasUpstreamsLeft = tries_.left() > 0 || (mayRetrySame_ && !mayHaveRun_);
        if (!mayRepeat || !hasUpstreamsLeft) {
            return false;
        }
        if (wasSent_ && !spendRepeat()) {
            refusalReason_ = "retry_budget";
            return false;
        }
        return true;
    }

    /// Whether the retry budget allows one more arrival of the request, of which the host that the caller spoke to counts those of all hosts.
    bool spendRepeat()
    {
        const int arrivals = sends_ + tries_.used();
        if (paidAfter_ != arrivals) {
            if (!node_.retryBudgetFor(*service_).spend(1, node_.now())) {
                return false;
            }
            paidAfter_ = arrivals;
        }
        return true;
    }

    /// Whether the request itself is likely to crash upstreams: one crash alone is mostly the upstream's own.
    [[nodiscard]] bool isSuspect() const
    {
        constexpr int maxCrashes = 1; // after which the request is sent on
        return cuts_ > 0 && crashesBefore_ + cuts_ > maxCrashes;
    }

    // ---- One send ----

    /// Returns true when the caller has got its response, complete or truncated.
    net::Task<bool> sendTo(const ReplicaRecord &replica)
    {
        wasSent_ = false;
        mayRetrySame_ = false;
        endedBy_.reset();
        if (!co_await takeSendPermit(replica)) {
            if (std::exchange(isChosenAnew_, false)) {
                co_return false;
            }
            excluded_.push_back(replica.id);
            co_return false;
        }
        Error why;
        node_.chooser.beginSend(replica.id);
        node_.modelFills[*service_].onSend(claimant(), node_.now());
        if (namesAdapter()) {
            node_.adjustUseCount(replica.id, metadata_.weights, 1);
        }
        upstream_ = replica.id;
        beginPrefill(replica.id);
        co_await awaitPrefillTurn(replica.id);
        auto connection = node_.pool.takeIdle(replica.id, metadata_.id, node_.now());
        if (!connection) {
            connection = co_await node_.pool.open(
                replica.id, replica.address, [this](const ConnectionPtr &opening) { connection_ = opening; }, why);
            connection_ = nullptr;
            if (!connection) {
                excluded_.push_back(replica.id);
                refusalReason_ = "no_connection";
                isUnconnected_ = true;
                recordSend(replica, isFinished() ? SendOutcome::Abandoned : SendOutcome::NoAnswer, "not_connected", why.reason);
                co_return false;
            }
        }
        connection_ = connection;
        bool isAllowed = isAdmitted();
        if (isAllowed && needsProbe_ && !isProbe_) {
            isAllowed = co_await takeProbe();
        }
        if (isFinished() || !node_.mayContact(replica.id) || !isAllowed) {
            giveUpSend();
            recordSend(
                replica, SendOutcome::Abandoned, "not_sent", "the upstream left or asked for a backoff, the request was blamed, or it ended while connecting");
            releaseConnection(true);
            co_return false;
        }
        const bool isProven = co_await proveRun(replica);
        if (isProven && isGoneNow()) {
            giveUpSend();
            recordSend(replica, SendOutcome::Abandoned, "not_sent", "the caller has left, or its time is over");
            releaseConnection(true);
            co_return false;
        }
        if (isProven && isAccessLost()) {
            giveUpSend();
            recordSend(replica, SendOutcome::Abandoned, "not_sent", "the caller's key was withdrawn, or the configuration may be an old one");
            releaseConnection(true);
            co_return false;
        }
        if (!isProven || isFinished()) {
            giveUpSend();
            const bool isSilent = proofs_.isSilent(replica.id);
            const auto *detail
                = isSilent ? "the upstream didn't say in time which run it is" : "the upstream may have started again since its record was written";
            recordSend(replica, SendOutcome::Abandoned, "not_sent", detail);
            releaseConnection(false);
            if (!isSilent) {
                excluded_.push_back(replica.id);
            }
            refusalReason_ = isSilent ? "upstream_silent" : "upstream_restarted";
            co_return false;
        }
        tries_.add(replica.id);
        ++sends_;
        announceStream(replica);
        if (node_.stop.hasBegun()) {
            node_.log.info("sent_while_stopping", {{"request_id", metadata_.id}, {"latest_ms", lastSendAt() - node_.now()}, {"left_ms", timeLeft()}});
        }
        wasSent_ = true;
        isInFlight_ = true;
        sentAt_ = node_.now();
        beginWrite(replica);
        startResponseTimeout();
        co_return co_await readResponse(replica);
    }

    /// False: all hosts together have sent the upstream what it takes at present.
    net::Task<bool> takeSendPermit(const ReplicaRecord &replica)
    {
        hold_.reset();
        auto limit = node_.sendLimit(replica);
        if (!limit && node_.mayBeUntold() && !node_.limits.isHeard(replica.id)) {
            limit = UpstreamLimits::Limit{UpstreamLimits::unlimited, node_.now(), std::nullopt};
        }
        if (!limit) {
            co_return !needsScarcePlace() || co_await takeScarcePlace(replica);
        }
        const bool mayGoElsewhere = limit->isRate() ? hasUnlimitedCandidate() : ++placesAskedFor_ < maxPlacesAskedFor && candidates().size() > 1;
        auto permit = co_await node_.residency->takeSendPermit({.upstream = replica.id,
                                                                .limit = *limit,
                                                                .maxWait = limit->isUnknown() ? untoldWait
                                                                    : mayGoElsewhere          ? Milliseconds(0)
                                                                                              : permitWait(limit->isRate()),
                                                                .timeLeft = timeLeft(),
                                                                .tokens = isEngine() ? metadata_.promptTokens + metadata_.maxOutputTokens : 0});
        const auto begin = node_.now();
        if (limit->isUnknown() && !permit.isAnswered) {
            co_return co_await awaitFirstAnswer(replica);
        }
        if (limit->isUnknown() && !permit.isLimited) {
            const bool isUsable = !isFinished() && node_.mayContact(replica.id);
            co_return isUsable && (!needsScarcePlace() || co_await takeScarcePlace(replica));
        }
        if (!permit.isLimited) {
            node_.endLimit(replica.id);
            co_return true;
        }
        if (!permit.isGranted) {
            if (limit->isRate() || mayGoElsewhere || !permit.isAnswered) {
                node_.limits.block(replica.id, begin + std::min(permit.wait, maxPermitBlock));
            }
            refusalReason_ = limit->isRate() ? "upstream_limited" : "upstream_brittle";
            retryAfter_ = permit.wait;
            co_return false;
        }
        if (permit.wait.count() > 0) {
            co_await net::sleep(node_.io, permit.wait);
        }
        const bool isUsable = node_.now() - begin <= permit.wait + maxPermitDelay && !isFinished() && node_.mayContact(replica.id);
        hold_ = isUsable ? std::move(permit.hold) : nullptr;
        co_return isUsable;
    }

    /// False: the replica's owner refuses the request, or is silent and this host goes by its own count from now on.
    net::Task<bool> takeScarcePlace(const ReplicaRecord &replica)
    {
        auto permit = co_await node_.residency->takeSendPermit({.upstream = replica.id,
                                                                .limit = {UpstreamLimits::unlimited, node_.now(), std::nullopt},
                                                                .timeLeft = timeLeft(),
                                                                .scarce = ScarceTerms{.rank = rank_,
                                                                                      .mayRepeat = route_->retryPolicy != RetryPolicy::AtMostOnce,
                                                                                      .untilLate = request_.arrivedAt + route_->latencyObjective - node_.now(),
                                                                                      .work = node_.workTimes[*service_].expected(),
                                                                                      .spread = core::hashText(metadata_.id.value(), 0),
                                                                                      .isWanted = [this] { return !isFinished(); }}});
        if (!permit.isAnswered || !permit.isLimited) {
            isByOwnCount_ = isChosenAnew_ = true;
            co_return false;
        }
        if (!permit.isGranted) {
            refusalReason_ = "crowded";
            retryAfter_ = permit.wait;
            scarceRefusals_ += permit.wait < ScarceRoom::longestTurn ? 1 : maxScarceRefusals; // no turn is in sight
            co_return false;
        }
        const bool isUsable = !isFinished() && node_.mayContact(replica.id);
        hold_ = isUsable ? std::move(permit.hold) : nullptr;
        co_return isUsable;
    }

    /// Nobody can tell this host, just started, whether the upstream is brittle: its first request there finds out, others wait a while for the answer.
    net::Task<bool> awaitFirstAnswer(const ReplicaRecord &replica)
    {
        constexpr Milliseconds step{10};
        constexpr int waitDivisor = 2; // of the wait for a permit: where no owner answers, the service is mostly not brittle at all
        const auto until = node_.now() + Milliseconds(permitWait(true).count() / waitDivisor);
        const auto isBusy = [&] { return node_.chooser.localOccupancy(replica.id).running > 0 && !node_.limits.isHeard(replica.id); };
        while (isBusy() && node_.now() < until && !isFinished()) {
            co_await net::sleep(node_.io, step);
        }
        if (node_.sendLimit(replica)) {
            co_return co_await takeSendPermit(replica);
        }
        co_return !isFinished() && node_.mayContact(replica.id);
    }

    [[nodiscard]] Milliseconds permitWait(bool isRate) const
    {
        const auto now = node_.now();
        const auto timeUntilLate = request_.arrivedAt + route_->latencyObjective - now;
        double waitMs = std::max(0.0, static_cast<double>(timeUntilLate.count()) * permitWaitShare);
        if (!isRate && version_) { // a stream that goes on has no other upstreams to go to
            waitMs = static_cast<double>(timeLeft().count()) * permitWaitShare;
        } else if (!isRate && timeUntilLate.count() <= 0) {
            waitMs = static_cast<double>(timeLeft().count()) * lateTurnWaitShare;
        }
        return boundedWait(Milliseconds(static_cast<std::int64_t>(waitMs)));
    }

    [[nodiscard]] bool hasUnlimitedCandidate() const
    {
        const auto all = candidates();
        return std::any_of(all.begin(), all.end(), [this](const Candidate &each) { return !node_.limits.isRateLimited(each.replica->id); });
    }

    /// The owner of a brittle upstream counts what it refuses, also of requests without a permit.
    void tellRefused(const ReplicaRecord &replica)
    {
        if (!isEngine() && !response_.isLeaving) {
            node_.workTimes[*service_].onFull(node_.now());
        }
        const auto limit = response_.isLeaving ? std::nullopt : node_.sendLimit(replica);
        if (limit && limit->maxRefusals) {
            node_.metrics.brittleRefusals.add({service_->value()});
            if (node_.onRefused) {
                node_.onRefused(replica.id);
            }
        }
    }

    /// A prompt that is processed between the tokens of other streams delays them, so it waits for its turn within a part of the objective.
    net::Task<void> awaitPrefillTurn(UpstreamId replica)
    {
        const double limit = node_.prefillLimit(*service_);
        if (!isEngine() || !route_->isStream || limit <= 0 || metadata_.promptTokens < limit * smallPromptShare) {
            co_return;
        }
        const auto begin = node_.now();
        const auto timeUntilLate = request_.arrivedAt + route_->latencyObjective - begin;
        const bool isLate = timeUntilLate.count() <= 0;
        const double maxWaitMs = static_cast<double>(isLate ? timeLeft().count() : timeUntilLate.count()) * (isLate ? lateTurnWaitShare : turnWaitShare);
        turn_ = co_await node_.residency->takePrefillTurn(
            {std::move(replica), metadata_.promptTokens, boundedWait(Milliseconds(static_cast<std::int64_t>(maxWaitMs))), claimant(isLate)});
        turnWait_ = turnWait_ + (node_.now() - begin);
    }

    void beginWrite(const ReplicaRecord &replica)
    {
        auto &out = connection_->out;
        out.clear();
        out.append(request_.method).append(" ").append(request_.target).append(" HTTP/1.1\r\n");
        for (const auto &[name, value] : request_.headers) {
            const bool isOfWorkspaces = routes_->hasWorkspaces() && node_.codec.isWorkspaceField(name);
            if (!CallerRequest::isHopByHopHeader(name) && node_.codec.isForwardedField(name) && !isOfWorkspaces) {
                out.append(name).append(": ").append(value).append("\r\n");
            }
        }
        // A stream that goes on has no other upstreams to go to.
        ForwardHeaders headers{timeLeft(), replica.id, version_ ? 0 : rank_, revision_, lastEventId_, workspace_};
        node_.codec.appendForwardHeaders(headers, out);
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

    /// An unresponsive upstream is given up early when the request may go elsewhere; else it has until the request's deadline.
    void startResponseTimeout()
    {
        isResponseOverdue_ = false;
        const auto objective = Milliseconds(static_cast<std::int64_t>(static_cast<double>(route_->latencyObjective.count())
                                                                      * (route_->isStream ? streamResponseTimeoutShare : responseTimeoutShare)));
        const auto until = node_.now() + std::max(minResponseTimeout, objective);
        if (route_->retryPolicy == RetryPolicy::AtMostOnce || until >= deadline_) {
            watchdog_.arm(deadline_, [this] { onDeadline(); });
            return;
        }
        watchdog_.arm(until, [this] { onResponseTimeout(); });
    }

    void onResponseTimeout()
    {
        watchdog_.arm(deadline_, [this] { onDeadline(); });
        const bool canAfford = node_.retryBudgetFor(*service_).available(node_.now()) >= 1;
        if (canAfford && !hasResponseBegun_ && hasOtherUpstream()) {
            isResponseOverdue_ = true;
            endSend(EndedBy::Host);
        }
    }

    void onDeadline()
    {
        isDeadlineReached_ = true;
        endSend(EndedBy::Deadline);
    }

    /// The first to end a send is named in its line.
    void endSend(EndedBy who)
    {
        endedBy_ = endedBy_.value_or(who);
        cancelSend();
    }

    /// This host ends the send, unless its caller or its deadline has.
    void giveUpSend()
    {
        const bool isLate = !isRefusedForStop_ && timeLeft() < minSendTime;
        endedBy_ = isCallerFault() ? endedBy() : endedBy_.value_or(isLate ? EndedBy::Deadline : EndedBy::Host);
    }

    /// An upstream that ends a connection leaves this host's socket open.
    [[nodiscard]] EndedBy endedBy() const
    {
        if (endedBy_) {
            return *endedBy_;
        }
        if (isRefusedForStop_) {
            return EndedBy::Host;
        }
        if (isDisconnected_ || caller_.isDisconnected()) {
            return EndedBy::Caller;
        }
        if (isDeadlineReached_) {
            return EndedBy::Deadline;
        }
        return connection_ && !connection_->socket.is_open() ? EndedBy::Host : EndedBy::Upstream;
    }

    void cancelSend()
    {
        if (connection_) {
            connection_->abort();
        }
        if (relayTask_ != nullptr) {
            relayTask_->isCancelled = true;
            if (relayTask_->cancel) {
                relayTask_->cancel();
            }
        }
    }

    /// Returns the connection to the pool, or closes it.
    void releaseConnection(bool isReusable)
    {
        const auto connection = std::exchange(connection_, nullptr);
        if (!connection) {
            return;
        }
        isReusable = isReusable && connection->refused.size() < UpstreamConnection::maxRefused;
        if (isReusable && connection->socket.is_open() && !connection->isWriting && connection->buffer.size() == 0) {
            node_.pool.keep(upstream_, connection, node_.now());
        } else {
            node_.pool.drop(upstream_, connection);
        }
    }

    using Parser = http::response_parser<http::buffer_body>;

    net::Task<bool> readResponse(const ReplicaRecord &replica)
    {
        for (int foreign = 0; foreign <= maxForeignResponses; ++foreign) {
            Parser parser;
            parser.body_limit(boost::none);
            parser.header_limit(maxHeadBytes);
            const auto connection = connection_;
            auto [failed, count] = co_await http::async_read_header(connection->socket, connection->buffer, parser, net::tuple);
            if (failed) {
                if (!connection->isReused && !isCallerFault() && !isResponseOverdue_) { // a new connection that is reset at once leads nowhere
                    node_.reachability.onNoContact(replica.id, node_.now());
                }
                co_return onCut(replica, failed.message());
            }
            const auto &head = parser.get();
            responseHeaders_.clear();
            for (const auto &field : head) {
                responseHeaders_.push_back({{field.name_string().data(), field.name_string().size()}, {field.value().data(), field.value().size()}});
            }
            const int status = head.result_int();
            if (const auto fault = net::faultOfStatus(head.result_int())) {
                co_return onTruncated(replica, *fault);
            }
            response_ = node_.codec.readAnswer(status, responseHeaders_);
            node_.applyUpstreamState(replica, response_);
            if (connection->isReused) {
                node_.reachability.onAnswer(replica.id, node_.now());
            } else {
                node_.reachability.onConnected(replica.id, node_.now());
            }
            node_.crashes.onAnswered(replica.id, node_.now());
            applyKeepAlive(head);
            if (!response_.id.empty() && response_.id != metadata_.id) {
                node_.log.warn("foreign_answer", {{"request_id", metadata_.id}, {"upstream", replica.id}, {"answer_of", response_.id}, {"status", status}});
                node_.metrics.beliefChanges.add({"foreign_answer"});
                std::string ignored;
                if (!co_await readBody(parser, ignored)) {
                    endedBy_ = endedBy();
                    co_return onTruncated(replica, "a response to another request was truncated");
                }
                continue;
            }
            co_return co_await handleResponse(replica, parser, status);
        }
        co_return onTruncated(replica, "received only responses to other requests");
    }

    net::Task<bool> handleResponse(const ReplicaRecord &replica, Parser &parser, int status)
    {
        constexpr int minServerError = 500;
        const bool isGood = isSuccess(status);
        if (response_.notRun && response_.id.empty() && connection_->namesRefused) {
            co_return onTruncated(replica, "a refusal without request id on a connection whose refusals name it");
        }
        if (response_.notRun) {
            co_return co_await handleNotRun(replica, parser, status);
        }
        if (isPromise(status)) {
            co_return onTruncated(replica, "status " + std::to_string(status) + " of an answer that doesn't say that the request was not run");
        }
        if (isGood && (!response_.isSealed || response_.isContentEncoded || response_.id.empty())) {
            co_return onTruncated(replica, "a successful response without seal, request id or unencoded body");
        }
        if (isGood && hasResponseBegun_ && !isEventStream()) {
            co_return onTruncated(replica, "a response that is no event stream, to a stream that goes on");
        }
        if (isGood && route_->isStream) {
            co_return co_await relayStream(replica, parser, status);
        }
        std::string body;
        if (!co_await readBody(parser, body)) {
            co_return onCut(replica, "the response body was truncated: " + truncationReason_);
        }
        const bool isReusable = parser.keep_alive();
        if (hasResponseBegun_) { // resuming the stream returned an error
            connection_->refused.push_back(metadata_.id);
            recordSend(replica, SendOutcome::Failed, "failed", "status " + std::to_string(status) + " to a resumed stream");
            releaseConnection(isReusable);
            mayHaveRun_ = true;
            excluded_.push_back(replica.id);
            co_return false;
        }
        if (status >= minServerError && route_->retryPolicy != RetryPolicy::AtMostOnce && canRetryFailed()) {
            connection_->refused.push_back(metadata_.id);
            recordSend(replica, SendOutcome::Failed, "failed", "status " + std::to_string(status));
            releaseConnection(isReusable);
            mayHaveRun_ = true;
            excluded_.push_back(replica.id);
            co_return false;
        }
        recordSend(replica, status >= minServerError ? SendOutcome::Failed : SendOutcome::Succeeded, status >= minServerError ? "failed" : "good", {});
        releaseConnection(isReusable);
        if (isGood) {
            earnRepeat();
            recordServed(parser);
        }
        reason_ = isGood ? "served" : "upstream_status";
        status_ = status;
        co_await caller_.write(responseHead(status, body.size()) + body);
        co_return true;
    }

    [[nodiscard]] static bool isSuccess(int status)
    {
        constexpr int min = 200;
        constexpr int max = 299;
        return status >= min && status <= max;
    }

    [[nodiscard]] bool isEventStream() const
    {
        return std::any_of(responseHeaders_.begin(), responseHeaders_.end(), [](const HeaderView &field) {
            constexpr std::string_view type = "text/event-stream";
            return beast::iequals(field.name, "Content-Type") && beast::iequals(field.value.substr(0, type.size()), type);
        });
    }

    /// The host that pays for repeats earns them, too.
    void earnRepeat()
    {
        if (request_.relayedFrom == nullptr) {
            node_.retryBudgetFor(*service_).onSuccess(node_.now());
        }
    }

    /// Whether an upstream that has not had the request may get it, here or through the host that relays it.
    [[nodiscard]] bool hasOtherUpstream() const
    {
        const bool isTryLeft = tries_.left() > 0 || (request_.relayedFrom != nullptr && request_.relayedFrom->keptTries > 0);
        const auto all = candidates(isTryLeft);
        return isTryLeft && std::any_of(all.begin(), all.end(), [this](const Candidate &each) { return !tries_.has(each.replica->id); });
    }

    [[nodiscard]] bool canRetryFailed() { return node_.retryBudgetFor(*service_).available(node_.now()) >= 1 && hasOtherUpstream() && !isFinished(); }

    /// Callers take these statuses for "not run".
    [[nodiscard]] static bool isPromise(int status)
    {
        constexpr std::array promises = {408, 421, 429, 503};
        return std::find(promises.begin(), promises.end(), status) != promises.end();
    }

    net::Task<bool> handleNotRun(const ReplicaRecord &replica, Parser &parser, int status)
    {
        const auto connection = connection_;
        connection->refused.push_back(metadata_.id);
        connection->namesRefused = connection->namesRefused || !response_.id.empty();
        const bool isComplete = co_await drainRefusal(parser);
        const bool isReusable = isComplete && parser.keep_alive() && !response_.id.empty(); // a late copy without an id could be of any request
        constexpr int badRequest = 400;
        if (status == badRequest) {
            recordSend(replica, SendOutcome::NotRun, "not_run", "status 400");
            releaseConnection(isReusable);
            isFinal_ = true;
            refusalReason_ = "upstream_refused";
            if (hasResponseBegun_) {
                co_return false; // no second head
            }
            co_await refuse(badRequest, "upstream_refused", std::nullopt);
            co_return true;
        }
        if (response_.isMisdirected && !response_.upstream.empty() && response_.upstream != replica.id) {
            recordSend(replica, SendOutcome::NoAnswer, "not_run", "the address belongs to another upstream");
            releaseConnection(false);
            excluded_.push_back(replica.id);
            refusalReason_ = "address_reused";
            co_return false;
        }
        if (response_.isMisdirected) { // the upstream lacks the weights or the revision
            node_.leases.drop(replica.id, metadata_.weights);
            recordSend(replica, SendOutcome::NotRun, "not_run", "the upstream does not hold the weights");
            releaseConnection(isReusable);
            refusalReason_ = "weights_not_held";
            mayRetrySame_ = ++weightsMisses_ <= maxWeightsMisses && namesAdapter();
            if (!mayRetrySame_) {
                excluded_.push_back(replica.id);
            }
            co_return false;
        }
        tellRefused(replica);
        recordSend(replica, SendOutcome::Full, "not_run", "status " + std::to_string(status));
        releaseConnection(isReusable);
        refusalReason_ = "upstream_full";
        excluded_.push_back(replica.id);
        co_return false;
    }

    void applyKeepAlive(const http::response_header<> &head)
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
        std::array<char, chunkBytes> buffer{};
        ResponseBudget::Share share(node_.responseBudget);
        while (!parser.is_done()) {
            const auto bytes = co_await readSome(parser, buffer);
            if (!bytes) {
                co_return false;
            }
            const auto size = body.size() + bytes->size();
            if (size > maxResponseBytes || !share.resize(size)) {
                isTooLarge_ = true;
                truncationReason_ = size > maxResponseBytes ? "the body exceeds " + std::to_string(maxResponseBytes) + " bytes"
                                                            : "this host holds too many bytes of responses";
                co_return false;
            }
            body.append(*bytes);
        }
        co_return co_await endsWhole(parser);
    }

    /// After the last byte of a body. One without a length is whole only if its connection has ended in order.
    net::Task<bool> endsWhole(const Parser &parser)
    {
        const auto connection = connection_;
        const bool isWhole = !parser.need_eof() || (connection && co_await endsInOrder(connection));
        truncationReason_ = isWhole ? truncationReason_ : "its connection ended before the request was sent";
        co_return isWhole;
    }

    /// Reads the rest of a refusal when it is there or close: its status alone decides, and the caller may be served elsewhere meanwhile.
    net::Task<bool> drainRefusal(Parser &parser)
    {
        watchdog_.arm(std::min(deadline_, node_.now() + refusalBodyTimeout), [this] { cancelSend(); });
        std::array<char, chunkBytes> buffer{};
        std::size_t size = 0;
        while (!parser.is_done() && size <= maxRefusalBytes) {
            const auto bytes = co_await readSome(parser, buffer);
            if (!bytes) {
                break;
            }
            size += bytes->size();
        }
        watchdog_.arm(deadline_, [this] { onDeadline(); });
        co_return parser.is_done();
    }

    /// Returns decoded bytes of the body, possibly none, or nullopt when the body was truncated.
    net::Task<std::optional<std::string_view>> readSome(Parser &parser, std::array<char, chunkBytes> &buffer)
    {
        parser.get().body().data = buffer.data();
        parser.get().body().size = buffer.size();
        parser.get().body().more = true;
        const auto connection = connection_;
        if (!connection) {
            co_return std::nullopt;
        }
        auto [failed, count] = co_await http::async_read_some(connection->socket, connection->buffer, parser, net::tuple);
        if (failed && failed != http::error::need_buffer && failed != http::error::end_of_stream) {
            truncationReason_ = failed == http::error::buffer_overflow
                ? "the framing of the body exceeds " + std::to_string(UpstreamConnection::maxUnparsedBytes) + " bytes"
                : failed.message();
            co_return std::nullopt;
        }
        co_return std::string_view(buffer.data(), buffer.size() - parser.get().body().size);
    }

    // ---- Relaying the response ----

    [[nodiscard]] std::string responseHead(int status, std::optional<std::size_t> length)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
        head.append(statusText(status)).append("\r\n");
        for (const auto &[name, value] : responseHeaders_) {
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

    static void appendChunk(std::string &out, std::string_view bytes)
    {
        constexpr int hexBase = 16;
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexBase).ptr;
        out.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
    }

    net::Task<bool> relayStream(const ReplicaRecord &replica, Parser &parser, int status)
    {
        EventScanner scanner;
        ResponseBudget::Share share(node_.responseBudget);
        std::array<char, chunkBytes> buffer{};
        const std::string head = hasResponseBegun_ ? std::string() : responseHead(status, std::nullopt);
        while (!parser.is_done()) {
            const auto bytes = co_await readSome(parser, buffer);
            if (!bytes) {
                co_return onCut(replica, "the stream was cut: " + truncationReason_);
            }
            node_.reachability.onAnswer(replica.id, node_.now());
            scanner.feed(*bytes);
            std::string events;
            appendNewEvents(scanner, events);
            if (!events.empty() && !version_ && isResumable()) {
                version_ = replica.version;
            }
            if (!events.empty() && !co_await writeEvents(head, events)) {
                endedBy_ = endedBy_.value_or(EndedBy::Caller);
                recordSend(replica, SendOutcome::Abandoned, "caller_gone", {});
                releaseConnection(false);
                finishDisconnected();
                co_return true;
            }
            if (!share.resize(scanner.heldBytes())) {
                co_return onTruncated(replica, "this host holds too many bytes of responses");
            }
            if (scanner.isBroken()) {
                co_return onTruncated(replica, "an event exceeds " + std::to_string(EventScanner::maxEventBytes) + " bytes");
            }
        }
        if (!co_await endsWhole(parser)) {
            co_return onCut(replica, "the stream was cut: " + truncationReason_);
        }
        if (scanner.hasRest()) {
            co_return onCut(replica, "the stream ended in the middle of an event");
        }
        recordSend(replica, SendOutcome::Succeeded, "good", {});
        releaseConnection(parser.keep_alive());
        earnRepeat();
        recordServed(parser);
        status_ = status;
        reason_ = sends_ > 1 && events_ > 0 ? "served_after_repeat" : "served";
        node_.streams->onEnded(metadata_.id);
        co_await caller_.write((hasResponseBegun_ ? std::string() : head) + "0\r\n\r\n");
        co_return true;
    }

    /// Appends the complete events that the caller does not have yet, as one chunk.
    void appendNewEvents(EventScanner &scanner, std::string &out)
    {
        std::string newEvents;
        while (const auto event = scanner.next()) {
            if (event->id && lastEventId_ && *event->id <= *lastEventId_) {
                continue;
            }
            newEvents.append(event->bytes);
            ++events_;
            if (event->id) {
                lastEventId_ = event->id;
            }
        }
        if (!newEvents.empty()) {
            appendChunk(out, newEvents);
        }
    }

    net::Task<bool> writeEvents(const std::string &head, const std::string &events)
    {
        const auto now = node_.now();
        endPrefill(upstream_);
        if (node_.settings.hosting.learnPaces > 0) {
            node_.chooser.onEvent(upstream_, now);
        }
        if (!hasResponseBegun_) {
            hasResponseBegun_ = true;
            node_.streams->onBegun(metadata_.id);
            status_ = 200;
            firstEvent_ = now - request_.arrivedAt;
            if (isEngine() && sends_ == 1) {
                node_.prefillRates[*service_].add(metadata_.promptTokens, now - sentAt_);
            }
            node_.metrics.firstEvent.observe({service_->value()}, *firstEvent_);
            lastWrite_ = now;
            watchdog_.arm(deadline_, [this] { onDeadline(); });
            co_return co_await caller_.write(head + events);
        }
        const auto pause = now - lastWrite_;
        longestPause_ = std::max(longestPause_, pause);
        node_.metrics.eventPause.observe({service_->value()}, pause);
        lastWrite_ = now;
        co_return co_await caller_.write(events);
    }

    // ---- Failures ----

    /// A response that ends with its connection may lack its end, so it says nothing.
    void recordServed(const Parser &parser)
    {
        recordRun();
        if (!parser.need_eof()) {
            node_.crashes.onServed(causes_, node_.now());
        }
    }

    /// Of a response that began and ended with the latest send.
    void recordRun()
    {
        if (isTakenUp_ || sends_ != 1 || service_ == nullptr) {
            return;
        }
        const auto now = node_.now();
        const auto firstAt = firstEvent_ ? request_.arrivedAt + *firstEvent_ : now;
        node_.learnPace({upstream_, *service_, metadata_.promptTokens, 0, firstAt - sentAt_, now - firstAt, longestPause_, events_});
        if (!isEngine()) {
            node_.workTimes[*service_].add(now - sentAt_);
        }
        node_.runTimes[*service_].add({.untilFirst = firstAt - sentAt_, .rest = now - firstAt, .events = events_});
    }

    [[nodiscard]] bool isCallerFault() const { return isDisconnected_ || caller_.isDisconnected() || isDeadlineReached_; }

    /// Handles a send that ended without a complete response. Returns false: sendTo() has no response for the caller.
    bool onTruncated(const ReplicaRecord &replica, const std::string &reason)
    {
        giveUpSend();
        const bool wasSent = !connection_ || connection_->isWriting || connection_->written > 0 || !connection_->writeError;
        recordSend(replica,
                   isCallerFault()          ? SendOutcome::Abandoned
                       : isResponseOverdue_ ? SendOutcome::NoAnswer
                                            : SendOutcome::Failed,
                   "cut",
                   isResponseOverdue_ ? "no answer in time" : reason);
        releaseConnection(false);
        if (!isCallerFault()) {
            node_.reachability.onLost(replica.id, node_.now());
        }
        if (wasSent) {
            mayHaveRun_ = true;
        }
        excluded_.push_back(replica.id);
        refusalReason_ = "upstream_failed";
        reasonDetail_ = reason;
        return false;
    }

    /// The same, where the upstream broke off the response unless this host ended it itself.
    bool onCut(const ReplicaRecord &replica, const std::string &reason)
    {
        endedBy_ = isTooLarge_ ? EndedBy::Host : endedBy();
        if (isCallerFault() || isResponseOverdue_) {
            node_.crashes.onUnanswered(replica.id, causes_, sentAt_, node_.now());
        } else if (!isTooLarge_) {
            ++cuts_;
            node_.crashes.onCut(replica.id, causes_, sentAt_, node_.now());
        }
        return onTruncated(replica, reason);
    }

    void finishDisconnected() { reason_ = "caller_gone"; }

    net::Task<void> fail()
    {
        if (isRefusedForStop_) {
            co_return;
        }
        if (isTooLateForStop()) {
            refuseForStop();
            co_return;
        }
        if (request_.relayedFrom != nullptr && (request_.relayedFrom->tries || mayBeServedElsewhere()) && !isDisconnected_) {
            isDeclined_ = true;
            reason_ = refusalReason_;
            co_return;
        }
        if (reason_ == "caller_gone" || status_ != 0) {
            if (hasResponseBegun_ && reason_ != "caller_gone") {
                caller_.breakOff();
                const bool isVersionGone = refusalReason_ == std::string_view("version_not_served");
                reason_ = isDeadlineReached_ || timeLeft() < minSendTime ? "stream_late" : isVersionGone ? refusalReason_ : "stream_cut";
            }
            co_return;
        }
        if (isDisconnected_ || caller_.isDisconnected()) {
            finishDisconnected();
            co_return;
        }
        const bool isDeadlinePassed = timeLeft() < minSendTime;
        const auto retryAfter = retryAfterNow();
        if (isAccessLost_ && !mayHaveRun_) {
            const bool isUnproven = refusalReason_ == configurationUnproven;
            co_await refuse(isUnproven ? 503 : 401, refusalReason_, isUnproven ? std::optional(unavailableRetryAfter) : std::nullopt);
        } else if (mayHaveRun_) {
            co_await refuse(isDeadlinePassed ? 504 : 502, isDeadlinePassed ? "deadline" : refusalReason_, std::nullopt);
        } else {
            co_await refuse(503, isDeadlinePassed ? "deadline" : refusalReason_, retryAfter);
        }
    }

    /// When an upstream may take the request. Sets the reason when all of them pause.
    Milliseconds retryAfterNow()
    {
        if (const auto pause = shortestPause(); pause && timeLeft() >= minSendTime && !isAccessLost_) {
            refusalReason_ = "upstreams_pausing";
            retryAfter_ = pause;
        }
        return retryAfter_.value_or(isNothingServing() ? unavailableRetryAfter : overloadRetryAfter);
    }

    /// Of a relayed request: this host has sent nothing for a reason of its own.
    [[nodiscard]] bool mayBeServedElsewhere() const
    {
        return sends_ == 0 && (isRefusedForStop_ || isUnconnected_ || refusalReason_ == std::string_view("no_upstream"));
    }

public:
    /// Of a relayed request that has ended here.
    [[nodiscard]] RelayedFrom::Account account()
    {
        RelayedFrom::Account account;
        account.isDeclined = isDeclined_;
        account.sentTo = tries_.own();
        account.mayHaveRun = mayHaveRun_ && sends_ > 0;
        account.cuts = cuts_ - request_.relayedFrom->cuts;
        if (isDeclined_ && service_ != nullptr) {
            account.isFinal = sends_ == 0 && !mayBeServedElsewhere() && timeLeft() >= minSendTime;
            account.retryAfter = retryAfterNow();
        }
        account.reason = refusalReason_;
        if (hasResponseBegun_ && isResumable()) {
            account.lastEventId = lastEventId_;
            account.version = version_;
        }
        return account;
    }

private:
    [[nodiscard]] bool isNothingServing() const
    {
        return refusalReason_ == std::string_view("no_upstream") || refusalReason_ == std::string_view("version_not_served");
    }

    net::Task<void> refuse(int status, std::string_view reason, std::optional<Milliseconds> retryAfter)
    {
        if (isRefusedForStop_) {
            co_return;
        }
        status_ = status;
        reason_ = reason;
        co_await caller_.write(refusalHead(status, retryAfter));
    }

    [[nodiscard]] std::string refusalHead(int status, std::optional<Milliseconds> retryAfter) const
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
        head.append(statusText(status)).append("\r\n");
        if (!metadata_.id.empty()) {
            head.append(node_.codec.requestIdField()).append(": ").append(metadata_.id.value()).append("\r\n");
        }
        constexpr int unauthorized = 401;
        if (status == unauthorized) {
            head.append("WWW-Authenticate: Bearer\r\n");
        }
        if (retryAfter) {
            head.append("Retry-After: ").append(secondsText(*retryAfter)).append("\r\n");
        }
        if (isRefusedForStop_ || caller_.closesAfterResponse()) {
            head.append("Connection: close\r\n");
        }
        head.append("Content-Length: 0\r\n\r\n");
        return head;
    }

    // ---- Accounting and logging ----

    void beginPrefill(const UpstreamId &id)
    {
        if (isEngine()) {
            prefillMs_ = static_cast<int>(std::clamp(metadata_.promptTokens / node_.prefillRates[*service_].tokensPerMs(), 0.0, maxPrefillMs));
            node_.chooser.beginPrefill(id, prefillMs_);
        }
    }

    void endPrefill(const UpstreamId &id)
    {
        turn_.reset();
        node_.chooser.endPrefill(id, std::exchange(prefillMs_, 0));
    }

    void recordSend(const ReplicaRecord &replica, SendOutcome end, std::string_view outcome, const std::string &reason)
    {
        endPrefill(replica.id);
        hold_.reset();
        isInFlight_ = false;
        node_.chooser.endSend(replica.id, end, node_.now());
        if (namesAdapter()) {
            node_.adjustUseCount(replica.id, metadata_.weights, -1);
        }
        node_.metrics.sends.add({service_->value(), outcome});
        if (end != SendOutcome::Succeeded) {
            node_.log.info("send_ended",
                           {{"request_id", metadata_.id},
                            {"upstream", replica.id},
                            {"version", replica.version},
                            {"outcome", outcome},
                            {"why", reason},
                            {"ended_by", endedByText(endedBy())},
                            {"request_key", requestKey_},
                            {"shared_parts", partsText()},
                            {"events", events_},
                            {"send", wasSent_ ? sends_ : 0},
                            {"upstreams_tried", tries_.used()},
                            {"upstreams_allowed", tries_.allowed()},
                            {"relayed_for", request_.relayedFrom == nullptr ? HostId() : request_.relayedFrom->host},
                            {"took_ms", wasSent_ ? node_.now() - sentAt_ : Milliseconds(0)},
                            {"left_ms", timeLeft()},
                            {"upstreams_age_ms", node_.now() - node_.replicasReadAt}});
        }
    }

    [[nodiscard]] std::string partsText() const
    {
        std::string text;
        for (const auto &part : metadata_.sharedParts) {
            text.append(text.empty() ? "" : ",").append(settings::printableText(part.value()));
        }
        return text;
    }

    void logRequest()
    {
        const std::string_view service = service_ == nullptr ? std::string_view("none") : std::string_view(service_->value());
        const auto took = node_.now() - request_.arrivedAt;
        if (request_.relayedFrom == nullptr) { // the first host counts it
            node_.metrics.requests.add({service, std::to_string(status_), reason_});
        }
        if (service_ != nullptr && request_.relayedFrom == nullptr) {
            node_.metrics.requestDuration.observe({service}, took);
        }
        if (!workspaceLabel_.empty() && request_.relayedFrom == nullptr) {
            node_.metrics.workspaceRequests.add({workspaceLabel_, std::to_string(status_)});
            node_.metrics.workspaceDuration.observe({workspaceLabel_}, took);
        }
        if (isTakenUp_) {
            logTakenUpStream();
        }
        node_.log.info("request",
                       {{"request_id", metadata_.id},
                        {"service", service},
                        {"route", route_ == nullptr ? std::string_view() : std::string_view(route_->name)},
                        {"workspace", workspace_},
                        {"adapter", metadata_.weights.adapter},
                        {"upstream", upstream_},
                        {"relayed_by", relayedBy_},
                        {"relayed_for", request_.relayedFrom == nullptr ? HostId() : request_.relayedFrom->host},
                        {"resumes", settings::printableText(metadata_.resumes.value())},
                        {"status", status_},
                        {"reason", reason_},
                        {"detail", reasonDetail_},
                        {"sends", sends_},
                        {"events", events_},
                        {"took_ms", took},
                        {"weights_ms", residencyWait_},
                        {"turn_ms", turnWait_},
                        {"first_event_ms", firstEvent_.value_or(Milliseconds(-1))},
                        {"longest_pause_ms", longestPause_},
                        {"config", routes_ ? routes_->version() : ConfigVersion()},
                        {"config_read_ms_ago", node_.now() - node_.operatorsReadAt}});
    }

    void logTakenUpStream() const
    {
        constexpr Milliseconds justBegun{100};
        constexpr Milliseconds recent{1'000};
        const auto age = !found_.origin ? "unknown" : found_.age < justBegun ? "0.1" : found_.age < recent ? "1" : "more";
        node_.metrics.takenUpStreams.add({originSourceText(found_.source), age, reason_});
        node_.log.info("stream_taken_up",
                       {{"request_id", metadata_.id},
                        {"resumes", settings::printableText(metadata_.resumes.value())},
                        {"status", status_},
                        {"reason", reason_},
                        {"record", originSourceText(found_.source)},
                        {"asked", found_.asked},
                        {"answered", found_.answered},
                        {"origin_ms", originWait_},
                        {"age_ms", found_.age},
                        {"version", version_.value_or(SoftwareVersion())},
                        {"versions_read_ms_ago", node_.now() - node_.versionsReadAt},
                        {"began_at", firstUpstream_},
                        {"last_refusal", refusalReason_},
                        {"sends", sends_},
                        {"left_ms", timeLeft()}});
    }

    Node &node_;
    CallerConnection &caller_;
    CallerRequest &request_;
    Watchdog watchdog_;
    std::optional<Watchdog> stopWatchdog_; // while the host stops
    bool isRefusedForStop_ = false;
    const Instant readAt_ = node_.now(); // as a whole
    std::shared_ptr<const RouteTable> routes_;
    const Route *route_ = nullptr;
    const ServiceName *service_ = nullptr;
    const ServiceSpec *serviceSpec_ = nullptr;
    RequestMetadata metadata_;
    WorkspaceId workspace_;      // empty: the caller has none
    int rank_ = 0;               // of the workspace, else of the route
    WorkspaceQuota quota_;       // the same
    QuotaCharge charge_;         // given back when the request does not run
    std::string workspaceLabel_; // in metrics
    bool isAccessLost_ = false;  // since the request arrived
    RequestKey requestKey_;
    Instant deadline_;

    ConnectionPtr connection_;
    UpstreamId upstream_;
    Instant sentAt_;
    std::vector<HeaderView> responseHeaders_;
    ResponseMetadata response_;
    std::optional<AdapterRevision> revision_;
    std::optional<std::uint64_t> lastEventId_;
    bool isTakenUp_ = false;                          // the caller takes up a stream that began before
    std::optional<SoftwareVersion> version_;          // of a stream whose first event the caller has: it goes on there only
    FoundStream found_;                               // what is known of that stream
    Milliseconds originWait_;                         // for it
    UpstreamId firstUpstream_;                        // where the stream began that the caller takes up; empty: not known
    std::optional<SoftwareVersion> announcedVersion_; // where the stream may begin, as told to other hosts
    Tries tries_;                                     // of the request at upstreams, by all hosts
    int paidAfter_ = -1;                              // arrivals at upstreams when the retry budget was last charged
    bool isDeclined_ = false;                         // the host that relays the request through this one decides what becomes of it
    std::vector<UpstreamId> excluded_;                // upstreams that must not be chosen again
    RunProofs proofs_;                                // and those that are chosen again when no other is left
    OwnerWait ownerWait_;                             // the same, when an owner answers again
    bool mayRetrySame_ = false;                       // the last upstream did not run the request, but may after its weights are loaded again
    bool wasSent_ = false;                            // the last attempt sent the request
    bool isInFlight_ = false;                         // it has no outcome yet
    bool mayHaveRun_ = false;                         // the request may have run on an upstream
    bool isDisconnected_ = false;
    bool isDeadlineReached_ = false;
    bool isResponseOverdue_ = false;
    std::optional<EndedBy> endedBy_; // the current send; empty: nobody here
    bool isTooLarge_ = false;        // the response exceeds what this host holds
    std::vector<CrashCause> causes_; // what upstreams may crash on: the request itself, the parts of its prompt
    bool needsProbe_ = false;        // one of causes_ is blamed, and a probe is due
    bool isProbe_ = false;           // the request is the probe
    bool isProbeDenied_ = false;
    int crashesBefore_ = 0;          // of upstreams that earlier tries of the request were sent to, since the last success
    RelayTask *relayTask_ = nullptr; // while a peer has the request
    HostId relayedBy_;               // the peer that was asked last
    bool isUnconnected_ = false;     // a connection to an upstream could not be opened
    bool isRelayTried_ = false;      // by this host
    int sendsBefore_ = 0;            // by the host that relays the request through this one
    int cuts_ = 0;                   // sends that their upstream broke off, of all hosts
    int prefillMs_ = 0;              // of the current send, until its first event
    bool hasResponseBegun_ = false;  // the caller has received part of the response
    bool isFinal_ = false;
    bool onlyHolders_ = false; // choose only upstreams that hold the weights
    int sends_ = 0;
    int weightsMisses_ = 0;
    int events_ = 0;
    int status_ = 0;
    std::string_view reason_ = "unknown";
    std::string_view refusalReason_ = "no_upstream";
    std::optional<Milliseconds> retryAfter_; // when capacity is expected
    std::string reasonDetail_;
    std::string truncationReason_;
    Milliseconds residencyWait_;
    std::shared_ptr<void> hold_; // of the permit for a brittle upstream, while the request may be there
    int placesAskedFor_ = 0;     // at brittle upstreams
    int scarceRefusals_ = 0;     // by owners of replicas of a crowded plain service
    bool isByOwnCount_ = false;  // an owner was silent: this host judges by itself whether the request may be sent
    bool isChosenAnew_ = false;  // the same, just now
    PrefillTurn turn_;           // while the upstream processes the prompt
    Milliseconds turnWait_;      // for turns
    std::optional<Milliseconds> firstEvent_;
    Milliseconds longestPause_;
    Instant lastWrite_;
};

} // namespace

net::Task<void> Forwarder::handle(CallerConnection &caller, CallerRequest &request)
{
    Exchange exchange(node_, caller, request);
    co_await exchange.run();
    if (request.relayedFrom != nullptr) {
        request.relayedFrom->account = exchange.account();
    }
}

} // namespace baobabstall::serving
