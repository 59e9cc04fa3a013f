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
constexpr std::size_t maxDepth = 3;   // message, updates, update
constexpr int extraTransmissions = 4; // of a rumour, beyond the logarithm of the members' number

/// Reads CBOR without keeping it, and gives up at the first thing beyond the bounds.
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
    bool enter(std::size_t items) { return ++depth_ <= maxDepth_ && items <= maxItems_; } // an open end has the highest number of items
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t maxDepth_;
    std::size_t maxItems_;
    std::size_t depth_ = 0;
};

/// How bad a state is: at equal incarnation and refutation the worse news stands.
int rank(MemberState state)
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

bool answers(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Leaving;
}

bool wasHeardOf(const Member &member)
{
    return member.incarnation.value() > 0;
}

bool isNews(const MemberUpdate &update, const Member &known)
{
    auto told = std::tuple(update.incarnation, update.refutation, rank(update.state));
    return told > std::tuple(known.incarnation, known.refutation, rank(known.state));
}

MemberUpdate updateOf(const Member &member)
{
    return {member.host, member.zone, member.incarnation, member.refutation, member.state};
}

json encodeUpdate(const MemberUpdate &update)
{
    return json::array({update.host.value(), update.zone.value(), update.incarnation.value(), update.refutation, static_cast<int>(update.state)});
}

/// The two fields that only some kinds of message have: a number and a host.
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

bool isUnsigned(const json &value, std::uint64_t most)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}

std::optional<MemberUpdate> decodeUpdate(const json &from)
{
    constexpr auto worst = static_cast<std::uint64_t>(MemberState::Leaving);
    if (!from.is_array() || from.size() != updateFields || !from[0].is_string() || !from[1].is_string()) {
        return {};
    }
    if (!isUnsigned(from[2], UINT64_MAX) || !isUnsigned(from[3], UINT32_MAX) || !isUnsigned(from[4], worst)) {
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

std::optional<Message> decodeMessage(const json &from)
{
    if (!hasMessageShape(from) || from[0] != encodingVersion) {
        return {};
    }
    auto body = decodeBody(from[1].get<std::uint64_t>(), {from[2].get<std::uint64_t>(), from[3].get<std::string>()});
    if (!body) {
        return {};
    }
    Message message;
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

std::vector<std::uint8_t> toCbor(const Message &message)
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

std::optional<Message> fromCbor(std::span<const std::uint8_t> bytes, core::Error &why)
{
    std::optional<Message> message;
    if (isBoundedCbor(bytes, maxDepth, maxUpdatesDecoded)) {
        message = decodeMessage(json::from_cbor(bytes.begin(), bytes.end(), true, false));
    }
    if (!message) {
        why = {core::Step::Peer, "", "malformed membership message", core::Refusal::Internal, core::Outcome::NotRun, {}};
    }
    return message;
}

Membership::Membership(Self self, settings::Membership settings, std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , syncWait_(settings.probeInterval)
{
    Entry entry;
    entry.member = {self_.host, self_.zone, self_.incarnation, 0, MemberState::Alive, Listing::Never};
    spread(entry.member);
    entries_.emplace(self_.host, std::move(entry));
}

void Membership::hostList(const std::vector<HostEntry> &hosts, Instant now)
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
        bool wasListed = entry.member.listing != Listing::Never;
        auto listing = isListed ? Listing::Listed : (wasListed ? Listing::Gone : Listing::Never);
        bool leaving = isListed && found->second->leaving;
        entry.changed |= listing != entry.member.listing || leaving != entry.listedLeaving;
        entry.member.listing = listing;
        entry.listedLeaving = leaving;
    }
}

std::vector<Outgoing> Membership::onMessage(const HostId &from, const Message &message, Instant now)
{
    Messages out;
    if (from == self_.host) {
        return out;
    }
    learnSender(from, message, now);
    bool isWholeView = std::holds_alternative<Sync>(message.body);
    for (const auto &update : message.updates) {
        learn(update, !isWholeView, now);
    }
    std::visit([&](const auto &body) { answer(from, body, now, out); }, message.body);
    if (std::exchange(objected_, false)) {
        tellSome(now, out);
    }
    return out;
}

std::vector<Outgoing> Membership::tick(Instant now)
{
    Messages out;
    notePause(now);
    checkProbes(now, out);
    expireMembers(now);
    if (now >= nextProbe_) {
        startProbe(now, out);
        nextProbe_ = now + settings_.probeInterval;
    }
    if (now >= nextSync_) {
        startSync(out);
        syncWait_ = synced_ ? std::min(syncWait_ * 2, syncInterval) : settings_.probeInterval;
        nextSync_ = now + syncWait_;
    }
    return out;
}

std::vector<Outgoing> Membership::leave(Instant now)
{
    Messages out;
    auto &own = self().member;
    own.state = MemberState::Leaving;
    ++own.refutation;
    self().changed = true;
    spread(own);
    tellSome(now, out);
    return out;
}

/// News about this daemon itself starts at several peers at once.
void Membership::tellSome(Instant now, Messages &out)
{
    for (const auto &host : pick(ownNewsPeers, self_.host, true)) {
        sendPing({host, HostId(), 0, now, false}, now, out);
    }
}

/// Suspicion and objection reach all members in a time that grows with the logarithm of their number.
Milliseconds Membership::suspicionTime() const
{
    auto rounds = static_cast<std::int64_t>(std::bit_width(entries_.size()));
    return settings_.suspicion * std::max(rounds, suspicionRounds) / suspicionRounds;
}

Instant Membership::nextTick() const
{
    auto next = std::min(nextProbe_, nextSync_);
    for (const auto &[sequence, probe] : probes_) {
        next = std::min(next, probe.deadline);
    }
    for (const auto &[host, entry] : entries_) {
        if (entry.member.state == MemberState::Suspect) {
            next = std::min(next, entry.since + suspicionTime());
        }
    }
    return next;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all;
    all.reserve(entries_.size());
    for (const auto &[host, entry] : entries_) {
        all.push_back(viewOf(entry));
    }
    return all;
}

std::vector<Member> Membership::live() const
{
    auto all = members();
    std::erase_if(all, [](const Member &member) { return member.state != MemberState::Alive; });
    return all;
}

std::optional<Member> Membership::memberOf(const HostId &host) const
{
    auto found = entries_.find(host);
    return found == entries_.end() ? std::nullopt : std::optional(viewOf(found->second));
}

std::optional<MemberState> Membership::stateOf(const HostId &host) const
{
    auto member = memberOf(host);
    return member ? std::optional(member->state) : std::nullopt;
}

std::map<HostId, ListVersions> Membership::listVersions() const
{
    std::map<HostId, ListVersions> all;
    for (const auto &[host, entry] : entries_) {
        if (wasHeardOf(entry.member)) {
            all.emplace(host, host == self_.host ? lists_ : entry.lists);
        }
    }
    return all;
}

std::vector<Member> Membership::takeChanges()
{
    std::vector<Member> changes;
    for (auto &[host, entry] : entries_) {
        if (std::exchange(entry.changed, false)) {
            changes.push_back(viewOf(entry));
        }
    }
    return changes;
}

/// A host that the platform takes away soon counts as leaving, also before it says so.
Member Membership::viewOf(const Entry &entry) const
{
    auto member = entry.member;
    if (entry.listedLeaving && member.state == MemberState::Alive) {
        member.state = MemberState::Leaving;
    }
    return member;
}

Message Membership::wrap(Body body, const HostId &to)
{
    const auto &own = self().member;
    return {std::move(body), own.incarnation, own.refutation, lists_, takeRumours(to)};
}

/// The least told rumours; and first of all what the receiver itself should object to.
std::vector<MemberUpdate> Membership::takeRumours(const HostId &to)
{
    std::vector<MemberUpdate> updates;
    auto receiver = entries_.find(to);
    if (receiver != entries_.end() && wasHeardOf(receiver->second.member) && !answers(receiver->second.member)) {
        updates.push_back(updateOf(receiver->second.member));
    }
    std::vector<Rumour *> order;
    for (auto &[host, rumour] : rumours_) {
        if (host != to) {
            order.push_back(&rumour);
        }
    }
    auto count = std::min(order.size(), static_cast<std::size_t>(settings_.maxUpdates));
    auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), end, order.end(), [](const Rumour *a, const Rumour *b) {
        return std::tie(a->sent, a->update.host) < std::tie(b->sent, b->update.host);
    });
    for (auto at = order.begin(); at != end; ++at) {
        updates.push_back((*at)->update);
        ++(*at)->sent;
    }
    std::erase_if(rumours_, [most = transmissions()](const auto &item) { return item.second.sent >= most; });
    return updates;
}

int Membership::transmissions() const
{
    return static_cast<int>(std::bit_width(entries_.size())) + extraTransmissions;
}

/// Of the members that answer: those that this daemon holds for dead may be forgotten elsewhere.
std::uint64_t Membership::digest() const
{
    std::string text;
    for (const auto &[host, entry] : entries_) {
        if (answers(entry.member)) {
            text += host.value() + ' ' + std::to_string(entry.member.incarnation.value()) + ' ' + std::to_string(entry.member.refutation) + '\n';
        }
    }
    return core::hashText(text, 0);
}

void Membership::spread(const Member &member)
{
    rumours_[member.host] = {updateOf(member), 0};
}

/// What a whole view tells is not news to others.
void Membership::learn(const MemberUpdate &update, bool isRumour, Instant now)
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
    if (!isNews(update, entry.member)) {
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
    entry.changed = true;
    if (isRumour) {
        spread(entry.member);
    }
}

/// Its message proves that this run of the sender lives; a doubt about this very run it has to refute itself.
void Membership::learnSender(const HostId &from, const Message &message, Instant now)
{
    learn({from, ZoneId(), message.incarnation, message.refutation, MemberState::Alive}, true, now);
    auto found = entries_.find(from);
    if (found != entries_.end()) {
        found->second.lists = message.lists;
    }
}

void Membership::refute(const MemberUpdate &update)
{
    auto &own = self().member;
    outdated_ |= update.incarnation > own.incarnation;
    bool concerns = update.incarnation == own.incarnation && update.refutation >= own.refutation;
    if (!concerns || update.state == own.state) {
        return;
    }
    own.refutation = update.refutation + 1;
    spread(own);
    objected_ = true;
}

void Membership::suspect(const HostId &host, Instant now)
{
    auto found = entries_.find(host);
    if (found == entries_.end() || !answers(found->second.member)) {
        return;
    }
    auto &entry = found->second;
    entry.member.state = MemberState::Suspect;
    entry.since = now;
    entry.changed = true;
    spread(entry.member);
}

void Membership::answer(const HostId &from, const Ping &ping, Instant, Messages &out)
{
    out.push_back({from, wrap(Ack{ping.sequence, self_.host}, from)});
}

void Membership::answer(const HostId &, const Ack &ack, Instant, Messages &out)
{
    auto found = probes_.find(ack.sequence);
    if (found == probes_.end() || found->second.subject != ack.subject) {
        return;
    }
    auto probe = found->second;
    probes_.erase(found);
    if (!probe.askedBy.empty()) {
        out.push_back({probe.askedBy, wrap(Ack{probe.askedSequence, probe.subject}, probe.askedBy)});
    }
}

void Membership::answer(const HostId &from, const PingRequest &request, Instant now, Messages &out)
{
    sendPing({request.subject, from, request.sequence, now, true}, now, out);
}

void Membership::answer(const HostId &from, const SyncRequest &request, Instant, Messages &out)
{
    auto message = wrap(Sync{}, from);
    if (request.digest != digest()) {
        message.updates.clear();
        for (const auto &[host, entry] : entries_) {
            if (wasHeardOf(entry.member)) {
                message.updates.push_back(updateOf(entry.member));
            }
        }
    }
    out.push_back({from, std::move(message)});
}

void Membership::answer(const HostId &, const Sync &, Instant, Messages &)
{
    synced_ = true;
}

void Membership::notePause(Instant now)
{
    auto longest = settings_.probeInterval * 2 + settings_.probeTimeout;
    bool paused = lastTick_ && now - *lastTick_ > longest;
    lastTick_ = now;
    if (!paused) {
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
    std::vector<std::uint64_t> over;
    for (auto &[sequence, probe] : probes_) {
        if (now < probe.deadline) {
            continue;
        }
        if (!probe.indirect) {
            askOthers(sequence, probe, now, out);
        }
        if (now >= probe.deadline) {
            over.push_back(sequence);
        }
    }
    for (auto sequence : over) {
        auto probe = probes_.extract(sequence).mapped();
        if (probe.askedBy.empty()) {
            suspect(probe.subject, now);
        }
    }
}

/// Leaves the deadline in the past when there is nobody to ask.
void Membership::askOthers(std::uint64_t sequence, Probe &probe, Instant now, Messages &out)
{
    auto subject = entries_.find(probe.subject);
    bool isDoubted = subject == entries_.end() || !answers(subject->second.member);
    if (isDoubted) {
        return;
    }
    for (const auto &host : pick(static_cast<std::size_t>(settings_.indirectProbes), probe.subject, true)) {
        out.push_back({host, wrap(PingRequest{sequence, probe.subject}, host)});
        probe.indirect = true;
        probe.deadline = now + settings_.probeTimeout * 2;
    }
}

void Membership::expireMembers(Instant now)
{
    for (auto at = entries_.begin(); at != entries_.end();) {
        auto &[host, entry] = *at;
        auto age = now - entry.since;
        if (entry.member.state == MemberState::Suspect && age >= suspicionTime()) {
            entry.member.state = MemberState::Dead;
            entry.since = now;
            entry.changed = true;
            if (wasHeardOf(entry.member)) {
                spread(entry.member);
            }
        }
        bool isForgotten = entry.member.state == MemberState::Dead && entry.member.listing != Listing::Listed && age >= forgetAfter;
        at = isForgotten ? entries_.erase(at) : std::next(at);
    }
}

void Membership::startProbe(Instant now, Messages &out)
{
    ++probeCount_;
    bool isDeadsTurn = probeCount_ % deadProbeEvery == 0;
    auto subject = isDeadsTurn ? deadSubject() : suspectSubject(now);
    if (!subject) {
        subject = nextSubject();
    }
    if (!subject) {
        subject = deadSubject();
    }
    if (subject) {
        sendPing({*subject, HostId(), 0, now, false}, now, out);
    }
}

void Membership::sendPing(Probe probe, Instant now, Messages &out)
{
    auto sequence = nextSequence_++;
    probe.deadline = now + settings_.probeTimeout;
    out.push_back({probe.subject, wrap(Ping{sequence}, probe.subject)});
    probes_.emplace(sequence, std::move(probe));
}

std::optional<HostId> Membership::nextSubject()
{
    if (order_.empty()) {
        for (const auto &[host, entry] : entries_) {
            bool wanted = host != self_.host && entry.member.state != MemberState::Dead;
            if (wanted) {
                order_.push_back(host);
            }
        }
        std::shuffle(order_.begin(), order_.end(), random_);
    }
    while (!order_.empty()) {
        auto host = std::move(order_.back());
        order_.pop_back();
        auto found = entries_.find(host);
        if (found != entries_.end() && found->second.member.state != MemberState::Dead) {
            return host;
        }
    }
    return {};
}

/// A suspect whose time is half over, once: the objection may have got lost on its way.
std::optional<HostId> Membership::suspectSubject(Instant now)
{
    for (auto &[host, entry] : entries_) {
        bool isDue = entry.member.state == MemberState::Suspect && wasHeardOf(entry.member) && now - entry.since >= suspicionTime() / 2;
        if (isDue && entry.checkedSince != entry.since) {
            entry.checkedSince = entry.since;
            return host;
        }
    }
    return {};
}

std::optional<HostId> Membership::deadSubject()
{
    std::vector<HostId> dead;
    for (const auto &[host, entry] : entries_) {
        bool wanted = entry.member.state == MemberState::Dead && entry.member.listing == Listing::Listed;
        if (wanted) {
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
    auto hosts = pick(1, self_.host, true);
    if (hosts.empty()) {
        hosts = pick(1, self_.host, false);
    }
    for (const auto &host : hosts) {
        auto message = wrap(SyncRequest{digest()}, host);
        message.updates.push_back(updateOf(self().member));
        out.push_back({host, std::move(message)});
    }
}

std::vector<HostId> Membership::pick(std::size_t count, const HostId &except, bool onlyAnswering)
{
    std::vector<HostId> hosts;
    for (const auto &[host, entry] : entries_) {
        bool isEligible = host != self_.host && host != except && (answers(entry.member) || !onlyAnswering);
        if (isEligible) {
            hosts.push_back(host);
        }
    }
    std::shuffle(hosts.begin(), hosts.end(), random_);
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

} // namespace baobabstall::peers
