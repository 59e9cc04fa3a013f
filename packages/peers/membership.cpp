#include <peers/membership.h>

#include <algorithm>
#include <bit>

#include <nlohmann/json.hpp>

#include <core/hash.h>

namespace baobabstall::peers {

namespace {

using core::Milliseconds;
using nlohmann::json;

constexpr int encodingVersion = 1;
constexpr std::size_t messageFields = 9;
constexpr std::size_t updateFields = 5;
constexpr std::size_t maxDepth = 3; // message, updates, update
constexpr int extraSends = 4;       // of an update, beyond the logarithm of the number of members

/// Parses CBOR without storing it, and stops at the first value beyond the bounds.
class BoundsCheck : public json::json_sax_t
{
public:
    BoundsCheck(std::size_t maxDepth, std::size_t maxItems)
        : maxDepth_(maxDepth)
        , maxItems_(maxItems)
    { }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t items) override { return enter(items); }
    bool key(string_t &) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t items) override { return enter(items); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const json::exception &) override { return false; }

private:
    bool enter(std::size_t items) { return ++depth_ <= maxDepth_ && items <= maxItems_; } // indefinite lengths are reported as the highest number of items
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t maxDepth_;
    std::size_t maxItems_;
    std::size_t depth_ = 0;
};

/// Severity of a state: with equal incarnation and refutation the more severe one wins.
int severity(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Leaving:
        return 1;
    case MemberState::Suspect:
        return 2;
    case MemberState::Dead:
        return 3;
    }
    return 0;
}

bool isAnswering(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Leaving;
}

bool wasHeardFrom(const Member &member)
{
    return member.incarnation.value() > 0;
}

bool supersedes(const MemberUpdate &update, const Member &known)
{
    auto received = std::tuple(update.incarnation, update.refutation, severity(update.state));
    return received > std::tuple(known.incarnation, known.refutation, severity(known.state));
}

MemberUpdate updateOf(const Member &member)
{
    return {member.host, member.zone, member.incarnation, member.refutation, member.state};
}

json encodeUpdate(const MemberUpdate &update)
{
    return json::array({update.host.value(), update.zone.value(), update.incarnation.value(), update.refutation, static_cast<int>(update.state)});
}

/// The two fields that only some kinds of message have.
struct BodyFields {
    std::uint64_t number = 0;
    std::string subject;
};

BodyFields fieldsOf(const Ping &ping)
{
    return {ping.sequence, ""};
}

BodyFields fieldsOf(const Ack &ack)
{
    return {ack.sequence, ack.subject.value()};
}

BodyFields fieldsOf(const PingRequest &request)
{
    return {request.sequence, request.subject.value()};
}

BodyFields fieldsOf(const SyncRequest &request)
{
    return {request.digest, ""};
}

BodyFields fieldsOf(const Sync &)
{
    return {};
}

bool isUnsigned(const json &value, std::uint64_t limit)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= limit;
}

std::optional<MemberUpdate> decodeUpdate(const json &from)
{
    constexpr auto lastState = static_cast<std::uint64_t>(MemberState::Leaving);
    if (!from.is_array() || from.size() != updateFields || !from[0].is_string() || !from[1].is_string()) {
        return {};
    }
    if (!isUnsigned(from[2], UINT64_MAX) || !isUnsigned(from[3], UINT32_MAX) || !isUnsigned(from[4], lastState)) {
        return {};
    }
    MemberUpdate update;
    update.host = HostId(from[0].get<std::string>());
    update.zone = ZoneId(from[1].get<std::string>());
    update.incarnation = Incarnation(from[2].get<std::uint64_t>());
    update.refutation = from[3].get<std::uint32_t>();
    update.state = static_cast<MemberState>(from[4].get<int>());
    return update.host.empty() ? std::nullopt : std::optional(update);
}

std::optional<std::variant<Ping, Ack, PingRequest, SyncRequest, Sync>> decodeBody(std::uint64_t kind, const BodyFields &fields)
{
    switch (kind) {
    case 0:
        return Ping{fields.number};
    case 1:
        return Ack{fields.number, HostId(fields.subject)};
    case 2:
        return PingRequest{fields.number, HostId(fields.subject)};
    case 3:
        return SyncRequest{fields.number};
    case 4:
        return Sync{};
    default:
        return {};
    }
}

bool hasMessageShape(const json &from)
{
    if (!from.is_array() || from.size() != messageFields || !from[3].is_string() || !from[8].is_array()) {
        return false;
    }
    bool numbers = isUnsigned(from[0], encodingVersion) && isUnsigned(from[1], UINT32_MAX) && isUnsigned(from[2], UINT64_MAX);
    return numbers && isUnsigned(from[4], UINT64_MAX) && isUnsigned(from[5], UINT32_MAX) && isUnsigned(from[6], UINT64_MAX) && isUnsigned(from[7], UINT64_MAX);
}

std::optional<MembershipMessage> decodeMessage(const json &from)
{
    if (!hasMessageShape(from) || from[0] != encodingVersion) {
        return {};
    }
    auto body = decodeBody(from[1].get<std::uint64_t>(), {from[2].get<std::uint64_t>(), from[3].get<std::string>()});
    if (!body) {
        return {};
    }
    MembershipMessage message;
    message.body = std::move(*body);
    message.incarnation = Incarnation(from[4].get<std::uint64_t>());
    message.refutation = from[5].get<std::uint32_t>();
    message.lists = {from[6].get<std::uint64_t>(), from[7].get<std::uint64_t>()};
    for (const auto &item : from[8]) {
        auto update = decodeUpdate(item);
        if (!update) {
            return {};
        }
        message.updates.push_back(std::move(*update));
    }
    return message;
}

} // namespace

bool isBoundedCbor(std::span<const std::uint8_t> bytes, std::size_t maxDepth, std::size_t maxItems)
{
    BoundsCheck check(maxDepth, maxItems);
    return json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor);
}

std::vector<std::uint8_t> toCbor(const MembershipMessage &message)
{
    auto fields = std::visit([](const auto &body) { return fieldsOf(body); }, message.body);
    json updates = json::array();
    for (const auto &update : message.updates) {
        updates.push_back(encodeUpdate(update));
    }
    return json::to_cbor(json::array({encodingVersion,
                                      message.body.index(),
                                      fields.number,
                                      fields.subject,
                                      message.incarnation.value(),
                                      message.refutation,
                                      message.lists.plans,
                                      message.lists.customers,
                                      std::move(updates)}));
}

std::optional<MembershipMessage> fromCbor(std::span<const std::uint8_t> bytes, core::Error &error)
{
    std::optional<MembershipMessage> message;
    if (isBoundedCbor(bytes, maxDepth, maxDecodedUpdates)) {
        message = decodeMessage(json::from_cbor(bytes.begin(), bytes.end(), true, false));
    }
    if (!message) {
        error = {core::Step::Peer, "", "malformed membership message", core::Refusal::Internal, core::Outcome::NotRun, {}};
    }
    return message;
}

Membership::Membership(Self self, settings::Membership settings, std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , currentSyncInterval_(settings.probeInterval)
{
    Entry entry;
    entry.member = {self_.host, self_.zone, self_.incarnation, 0, MemberState::Alive, Listing::NeverListed};
    queueUpdate(entry.member);
    entries_.emplace(self_.host, std::move(entry));
}

void Membership::setHostList(const std::vector<HostEntry> &hosts, Instant now)
{
    std::map<HostId, const HostEntry *> listed;
    for (const auto &host : hosts) {
        listed.emplace(host.host, &host);
        auto [found, added] = entries_.try_emplace(host.host);
        if (added) {
            found->second.member.host = host.host;
            found->second.since = now;
        }
        if (host.host != self_.host) {
            found->second.member.zone = host.zone;
        }
    }
    for (auto &[host, entry] : entries_) {
        auto found = listed.find(host);
        bool isListed = found != listed.end();
        bool wasListed = entry.member.listing != Listing::NeverListed;
        auto listing = isListed ? Listing::Listed : (wasListed ? Listing::Delisted : Listing::NeverListed);
        bool isLeaving = isListed && found->second->isLeaving;
        entry.isChanged |= listing != entry.member.listing || isLeaving != entry.isListedLeaving;
        entry.member.listing = listing;
        entry.isListedLeaving = isLeaving;
    }
}

std::vector<OutgoingMessage> Membership::onMessage(const HostId &from, const MembershipMessage &message, Instant now)
{
    Messages out;
    if (from == self_.host) {
        return out;
    }
    applySender(from, message, now);
    bool isCompleteView = std::holds_alternative<Sync>(message.body);
    for (const auto &update : message.updates) {
        applyUpdate(update, !isCompleteView, now);
    }
    std::visit([&](const auto &body) { handleBody(from, body, now, out); }, message.body);
    if (std::exchange(hasRefuted_, false)) {
        announceSelf(now, out);
    }
    return out;
}

std::vector<OutgoingMessage> Membership::tick(Instant now)
{
    Messages out;
    handlePause(now);
    checkProbes(now, out);
    expireMembers(now);
    if (now >= nextProbe_) {
        startProbe(now, out);
        nextProbe_ = now + settings_.probeInterval;
    }
    if (now >= nextSync_) {
        startSync(out);
        currentSyncInterval_ = hasSynced_ ? std::min(currentSyncInterval_ * 2, syncInterval) : settings_.probeInterval;
        nextSync_ = now + currentSyncInterval_;
    }
    return out;
}

std::vector<OutgoingMessage> Membership::leave(Instant now)
{
    Messages out;
    auto &own = self().member;
    own.state = MemberState::Leaving;
    ++own.refutation;
    self().isChanged = true;
    queueUpdate(own);
    announceSelf(now, out);
    return out;
}

/// Sends the update about this daemon to several peers at once.
void Membership::announceSelf(Instant now, Messages &out)
{
    for (const auto &host : pickRandomPeers(announcementPeers, self_.host, true)) {
        sendPing({host, HostId(), 0, now, false}, now, out);
    }
}

/// The time in which a suspicion and its refutation reach all members grows with the logarithm of their number.
Milliseconds Membership::suspicionTimeout() const
{
    auto rounds = static_cast<std::int64_t>(std::bit_width(entries_.size()));
    return settings_.suspicion * std::max(rounds, minSuspicionRounds) / minSuspicionRounds;
}

Instant Membership::nextTick() const
{
    auto next = std::min(nextProbe_, nextSync_);
    for (const auto &[sequence, probe] : probes_) {
        next = std::min(next, probe.deadline);
    }
    for (const auto &[host, entry] : entries_) {
        if (entry.member.state == MemberState::Suspect) {
            next = std::min(next, entry.since + suspicionTimeout());
        }
    }
    return next;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all;
    all.reserve(entries_.size());
    for (const auto &[host, entry] : entries_) {
        all.push_back(effectiveMember(entry));
    }
    return all;
}

std::vector<Member> Membership::live() const
{
    auto all = members();
    std::erase_if(all, [](const Member &member) { return member.state != MemberState::Alive; });
    return all;
}

std::optional<Member> Membership::findMember(const HostId &host) const
{
    auto found = entries_.find(host);
    return found == entries_.end() ? std::nullopt : std::optional(effectiveMember(found->second));
}

std::optional<MemberState> Membership::stateOf(const HostId &host) const
{
    auto member = findMember(host);
    return member ? std::optional(member->state) : std::nullopt;
}

std::map<HostId, ListVersions> Membership::listVersions() const
{
    std::map<HostId, ListVersions> all;
    for (const auto &[host, entry] : entries_) {
        if (wasHeardFrom(entry.member)) {
            all.emplace(host, host == self_.host ? ownListVersions_ : entry.lists);
        }
    }
    return all;
}

std::vector<Member> Membership::takeChanges()
{
    std::vector<Member> changes;
    for (auto &[host, entry] : entries_) {
        if (std::exchange(entry.isChanged, false)) {
            changes.push_back(effectiveMember(entry));
        }
    }
    return changes;
}

/// A host that the platform is about to remove counts as leaving even before it announces that.
Member Membership::effectiveMember(const Entry &entry) const
{
    auto member = entry.member;
    if (entry.isListedLeaving && member.state == MemberState::Alive) {
        member.state = MemberState::Leaving;
    }
    return member;
}

MembershipMessage Membership::makeMessage(Body body, const HostId &to)
{
    const auto &own = self().member;
    return {std::move(body), own.incarnation, own.refutation, ownListVersions_, takePendingUpdates(to)};
}

/// The update that the receiver itself has to refute, if any, then the updates that were sent least often.
std::vector<MemberUpdate> Membership::takePendingUpdates(const HostId &to)
{
    std::vector<MemberUpdate> updates;
    auto receiver = entries_.find(to);
    if (receiver != entries_.end() && wasHeardFrom(receiver->second.member) && !isAnswering(receiver->second.member)) {
        updates.push_back(updateOf(receiver->second.member));
    }
    std::vector<PendingUpdate *> candidates;
    for (auto &[host, pending] : pendingUpdates_) {
        if (host != to) {
            candidates.push_back(&pending);
        }
    }
    auto count = std::min(candidates.size(), static_cast<std::size_t>(settings_.maxUpdates));
    auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(candidates.begin(), end, candidates.end(), [](const PendingUpdate *a, const PendingUpdate *b) {
        return std::tie(a->sendCount, a->update.host) < std::tie(b->sendCount, b->update.host);
    });
    for (auto it = candidates.begin(); it != end; ++it) {
        updates.push_back((*it)->update);
        ++(*it)->sendCount;
    }
    std::erase_if(pendingUpdates_, [limit = maxSendCount()](const auto &item) { return item.second.sendCount >= limit; });
    return updates;
}

int Membership::maxSendCount() const
{
    return static_cast<int>(std::bit_width(entries_.size())) + extraSends;
}

/// Covers only members that answer: members that are dead here may already be removed elsewhere.
std::uint64_t Membership::digest() const
{
    std::string text;
    for (const auto &[host, entry] : entries_) {
        if (isAnswering(entry.member)) {
            text += host.value() + ' ' + std::to_string(entry.member.incarnation.value()) + ' ' + std::to_string(entry.member.refutation) + '\n';
        }
    }
    return core::hashText(text, 0);
}

void Membership::queueUpdate(const Member &member)
{
    pendingUpdates_[member.host] = {updateOf(member), 0};
}

/// Updates from a complete view are not spread further.
void Membership::applyUpdate(const MemberUpdate &update, bool shouldSpread, Instant now)
{
    if (update.host == self_.host) {
        refute(update);
        return;
    }
    auto found = entries_.find(update.host);
    bool isUnknown = found == entries_.end();
    if (isUnknown && (update.state == MemberState::Dead || update.incarnation.value() == 0)) {
        return;
    }
    auto &entry = isUnknown ? entries_[update.host] : found->second;
    if (!supersedes(update, entry.member)) {
        return;
    }
    entry.member.host = update.host;
    if (entry.member.zone.empty()) {
        entry.member.zone = update.zone;
    }
    entry.member.incarnation = update.incarnation;
    entry.member.refutation = update.refutation;
    entry.member.state = update.state;
    entry.since = now;
    entry.isChanged = true;
    if (shouldSpread) {
        queueUpdate(entry.member);
    }
}

/// A message proves that this incarnation of its sender is alive; a suspicion of the same incarnation has to be refuted by the sender itself.
void Membership::applySender(const HostId &from, const MembershipMessage &message, Instant now)
{
    applyUpdate({from, ZoneId(), message.incarnation, message.refutation, MemberState::Alive}, true, now);
    auto found = entries_.find(from);
    if (found != entries_.end()) {
        found->second.lists = message.lists;
    }
}

void Membership::refute(const MemberUpdate &update)
{
    auto &own = self().member;
    isOutdated_ |= update.incarnation > own.incarnation;
    bool isAboutThisIncarnation = update.incarnation == own.incarnation && update.refutation >= own.refutation;
    if (!isAboutThisIncarnation || update.state == own.state) {
        return;
    }
    own.refutation = update.refutation + 1;
    queueUpdate(own);
    hasRefuted_ = true;
}

void Membership::markSuspect(const HostId &host, Instant now)
{
    auto found = entries_.find(host);
    if (found == entries_.end() || !isAnswering(found->second.member)) {
        return;
    }
    auto &entry = found->second;
    entry.member.state = MemberState::Suspect;
    entry.since = now;
    entry.isChanged = true;
    queueUpdate(entry.member);
}

void Membership::handleBody(const HostId &from, const Ping &ping, Instant, Messages &out)
{
    out.push_back({from, makeMessage(Ack{ping.sequence, self_.host}, from)});
}

void Membership::handleBody(const HostId &, const Ack &ack, Instant, Messages &out)
{
    auto found = probes_.find(ack.sequence);
    if (found == probes_.end() || found->second.subject != ack.subject) {
        return;
    }
    auto probe = found->second;
    probes_.erase(found);
    if (!probe.requester.empty()) {
        out.push_back({probe.requester, makeMessage(Ack{probe.requesterSequence, probe.subject}, probe.requester)});
    }
}

void Membership::handleBody(const HostId &from, const PingRequest &request, Instant now, Messages &out)
{
    sendPing({request.subject, from, request.sequence, now, true}, now, out);
}

void Membership::handleBody(const HostId &from, const SyncRequest &request, Instant, Messages &out)
{
    auto message = makeMessage(Sync{}, from);
    if (request.digest != digest()) {
        message.updates.clear();
        for (const auto &[host, entry] : entries_) {
            if (wasHeardFrom(entry.member)) {
                message.updates.push_back(updateOf(entry.member));
            }
        }
    }
    out.push_back({from, std::move(message)});
}

void Membership::handleBody(const HostId &, const Sync &, Instant, Messages &)
{
    hasSynced_ = true;
}

void Membership::handlePause(Instant now)
{
    auto maxGap = settings_.probeInterval * 2 + settings_.probeTimeout;
    bool hasPaused = lastTick_ && now - *lastTick_ > maxGap;
    lastTick_ = now;
    if (!hasPaused) {
        return;
    }
    probes_.clear();
    nextSync_ = now;
    for (auto &[host, entry] : entries_) {
        if (entry.member.state == MemberState::Suspect) {
            entry.since = now;
        }
    }
}

void Membership::checkProbes(Instant now, Messages &out)
{
    std::vector<std::uint64_t> expired;
    for (auto &[sequence, probe] : probes_) {
        if (now < probe.deadline) {
            continue;
        }
        if (!probe.isIndirect) {
            startIndirectProbe(sequence, probe, now, out);
        }
        if (now >= probe.deadline) {
            expired.push_back(sequence);
        }
    }
    for (auto sequence : expired) {
        auto probe = probes_.extract(sequence).mapped();
        if (probe.requester.empty()) {
            markSuspect(probe.subject, now);
        }
    }
}

/// Leaves the deadline in the past when no peer can be asked.
void Membership::startIndirectProbe(std::uint64_t sequence, Probe &probe, Instant now, Messages &out)
{
    auto subject = entries_.find(probe.subject);
    bool isSuspected = subject == entries_.end() || !isAnswering(subject->second.member);
    if (isSuspected) {
        return;
    }
    for (const auto &host : pickRandomPeers(static_cast<std::size_t>(settings_.indirectProbes), probe.subject, true)) {
        out.push_back({host, makeMessage(PingRequest{sequence, probe.subject}, host)});
        probe.isIndirect = true;
        probe.deadline = now + settings_.probeTimeout * 2;
    }
}

void Membership::expireMembers(Instant now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto &[host, entry] = *it;
        auto age = now - entry.since;
        if (entry.member.state == MemberState::Suspect && age >= suspicionTimeout()) {
            entry.member.state = MemberState::Dead;
            entry.since = now;
            entry.isChanged = true;
            if (wasHeardFrom(entry.member)) {
                queueUpdate(entry.member);
            }
        }
        bool isExpired = entry.member.state == MemberState::Dead && entry.member.listing != Listing::Listed && age >= deadMemberRetention;
        it = isExpired ? entries_.erase(it) : std::next(it);
    }
}

void Membership::startProbe(Instant now, Messages &out)
{
    ++probeCount_;
    bool isDeadProbeTurn = probeCount_ % probesPerDeadProbe == 0;
    auto subject = isDeadProbeTurn ? deadProbeSubject() : suspectProbeSubject(now);
    if (!subject) {
        subject = nextProbeSubject();
    }
    if (!subject) {
        subject = deadProbeSubject();
    }
    if (subject) {
        sendPing({*subject, HostId(), 0, now, false}, now, out);
    }
}

void Membership::sendPing(Probe probe, Instant now, Messages &out)
{
    auto sequence = nextSequence_++;
    probe.deadline = now + settings_.probeTimeout;
    out.push_back({probe.subject, makeMessage(Ping{sequence}, probe.subject)});
    probes_.emplace(sequence, std::move(probe));
}

std::optional<HostId> Membership::nextProbeSubject()
{
    if (probeOrder_.empty()) {
        for (const auto &[host, entry] : entries_) {
            bool isCandidate = host != self_.host && entry.member.state != MemberState::Dead;
            if (isCandidate) {
                probeOrder_.push_back(host);
            }
        }
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
    }
    while (!probeOrder_.empty()) {
        auto host = std::move(probeOrder_.back());
        probeOrder_.pop_back();
        auto found = entries_.find(host);
        if (found != entries_.end() && found->second.member.state != MemberState::Dead) {
            return host;
        }
    }
    return {};
}

/// A suspect after half of its timeout, once per suspicion: its refutation may have been lost.
std::optional<HostId> Membership::suspectProbeSubject(Instant now)
{
    for (auto &[host, entry] : entries_) {
        bool isDue = entry.member.state == MemberState::Suspect && wasHeardFrom(entry.member) && now - entry.since >= suspicionTimeout() / 2;
        if (isDue && entry.recheckedSuspicion != entry.since) {
            entry.recheckedSuspicion = entry.since;
            return host;
        }
    }
    return {};
}

std::optional<HostId> Membership::deadProbeSubject()
{
    std::vector<HostId> dead;
    for (const auto &[host, entry] : entries_) {
        bool isCandidate = entry.member.state == MemberState::Dead && entry.member.listing == Listing::Listed;
        if (isCandidate) {
            dead.push_back(host);
        }
    }
    if (dead.empty()) {
        return {};
    }
    return dead[random_() % dead.size()];
}

void Membership::startSync(Messages &out)
{
    auto hosts = pickRandomPeers(1, self_.host, true);
    if (hosts.empty()) {
        hosts = pickRandomPeers(1, self_.host, false);
    }
    for (const auto &host : hosts) {
        auto message = makeMessage(SyncRequest{digest()}, host);
        message.updates.push_back(updateOf(self().member));
        out.push_back({host, std::move(message)});
    }
}

std::vector<HostId> Membership::pickRandomPeers(std::size_t count, const HostId &except, bool onlyAnswering)
{
    std::vector<HostId> hosts;
    for (const auto &[host, entry] : entries_) {
        bool isEligible = host != self_.host && host != except && (isAnswering(entry.member) || !onlyAnswering);
        if (isEligible) {
            hosts.push_back(host);
        }
    }
    std::shuffle(hosts.begin(), hosts.end(), random_);
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

} // namespace baobabstall::peers
