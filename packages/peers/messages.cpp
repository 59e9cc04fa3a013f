#include <peers/messages.h>

#include <array>
#include <span>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace nlohmann {

template<typename Tag>
struct adl_serializer<baobabstall::core::Id<Tag>> {
    static void to_json(json &to, const baobabstall::core::Id<Tag> &from) { to = from.value(); }
    static void from_json(const json &from, baobabstall::core::Id<Tag> &to) { to = baobabstall::core::Id<Tag>(from.get<std::string>()); }
};

template<typename Tag>
struct adl_serializer<baobabstall::core::Ordinal<Tag>> {
    static void to_json(json &to, const baobabstall::core::Ordinal<Tag> &from) { to = from.value(); }
    static void from_json(const json &from, baobabstall::core::Ordinal<Tag> &to) { to = baobabstall::core::Ordinal<Tag>(from.get<std::uint64_t>()); }
};

template<>
struct adl_serializer<baobabstall::core::Error> {
    static void to_json(json &to, const baobabstall::core::Error &from)
    {
        to = {{"step", stepName(from.step)},
              {"peer", from.peer},
              {"reason", from.reason},
              {"type", refusalName(from.refusal)},
              {"outcome", outcomeName(from.outcome)}};
        if (from.retryAfter) {
            to["retry_after_ms"] = from.retryAfter->count();
        }
    }
    static void from_json(const json &from, baobabstall::core::Error &to)
    {
        using namespace baobabstall::core;
        to.step = stepOfName(from.at("step").get<std::string>()).value_or(Step::Peer);
        to.peer = from.at("peer").get<std::string>();
        to.reason = from.at("reason").get<std::string>();
        to.refusal = refusalOfName(from.at("type").get<std::string>()).value_or(Refusal::Internal);
        to.outcome = outcomeOfName(from.at("outcome").get<std::string>()).value_or(Outcome::Unknown);
        if (from.contains("retry_after_ms")) {
            to.retryAfter = Milliseconds(from.at("retry_after_ms").get<std::int64_t>());
        }
    }
};

} // namespace nlohmann

namespace baobabstall::peers {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Hello, host, incarnation, region, nonce)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Proof, mac)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProbeCall, engine, adapter, plan, share)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunCall, request, engine, adapter, plan, share, path, body, timeoutMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitCall, engine, adapter, waiting, victimRate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceCall, request, customer, key, partition, service, method, target, contentType, body, timeoutMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HintReply, residency, waitMs, fill, queue, freeSlots, accepting)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartedReply, ranAs, queueMs, stallMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DataReply, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GrantReply, permit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceReply, status, contentType, body, isReplay)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListsReply, snapshot)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayAccount, sentTo, cuts, isFinal, lastEventId, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Cancel, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WidthNotice, adapter, width, validMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PrefetchNotice, engine, adapter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LimitEndNotice, upstream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResidencyReply, revision, leaseMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaitingReply, expectedMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpstreamUses, upstream, adapters)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UsesNotice, uses)

void to_json(nlohmann::json &to, const LoadsNotice &from)
{
    to = {{"scope", from.scope}, {"loads", from.loads}};
    if (from.paces) {
        to["paces"] = *from.paces;
    }
}

void from_json(const nlohmann::json &from, LoadsNotice &to)
{
    from.at("scope").get_to(to.scope);
    from.at("loads").get_to(to.loads);
    if (from.contains("paces")) {
        to.paces = from.at("paces").get<std::vector<UpstreamPace>>();
    }
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StorePageNotice, topic, from, first, next, readTo, records, sentAt, ageMs)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SendRefusedNotice, upstream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BrittleNotice, upstreams)

void to_json(nlohmann::json &to, const ResidencyCall &from)
{
    to = {{"replica", from.replica},
          {"model", from.model},
          {"adapter", from.adapter},
          {"revision", from.revision},
          {"waitMs", from.waitMs},
          {"onTimeMs", from.onTimeMs}};
    if (from.rank != 0 || !from.workspace.empty()) {
        to.update({{"rank", from.rank}, {"workspace", from.workspace}});
    }
}

void from_json(const nlohmann::json &from, ResidencyCall &to)
{
    from.at("replica").get_to(to.replica);
    from.at("model").get_to(to.model);
    from.at("adapter").get_to(to.adapter);
    from.at("revision").get_to(to.revision);
    from.at("waitMs").get_to(to.waitMs);
    from.at("onTimeMs").get_to(to.onTimeMs);
    to.rank = from.value("rank", to.rank);
    to.workspace = from.value("workspace", to.workspace);
}

void to_json(nlohmann::json &to, const PrefillCall &from)
{
    to = {{"replica", from.replica}, {"promptTokens", from.promptTokens}, {"waitMs", from.waitMs}};
    if (from.rank != 0 || !from.workspace.empty() || from.isLate) {
        to.update({{"rank", from.rank}, {"workspace", from.workspace}, {"isLate", from.isLate}});
    }
}

void from_json(const nlohmann::json &from, PrefillCall &to)
{
    from.at("replica").get_to(to.replica);
    from.at("promptTokens").get_to(to.promptTokens);
    from.at("waitMs").get_to(to.waitMs);
    to.rank = from.value("rank", to.rank);
    to.workspace = from.value("workspace", to.workspace);
    to.isLate = from.value("isLate", to.isLate);
}

void to_json(nlohmann::json &to, const SendCall &from)
{
    to = {{"upstream", from.upstream},
          {"perSecond", from.perSecond},
          {"ageMs", from.ageMs},
          {"maxWaitMs", from.maxWaitMs},
          {"maxRefusals", from.maxRefusals},
          {"holdMs", from.holdMs},
          {"tokens", from.tokens}};
    if (from.workMs > 0) {
        to.update({{"workMs", from.workMs},
                   {"roundTripMs", from.roundTripMs},
                   {"untilLateMs", from.untilLateMs},
                   {"rank", from.rank},
                   {"mayRepeat", from.mayRepeat},
                   {"spread", from.spread}});
    }
}

void from_json(const nlohmann::json &from, SendCall &to)
{
    from.at("upstream").get_to(to.upstream);
    from.at("perSecond").get_to(to.perSecond);
    from.at("ageMs").get_to(to.ageMs);
    from.at("maxWaitMs").get_to(to.maxWaitMs);
    to.maxRefusals = from.value("maxRefusals", to.maxRefusals);
    to.holdMs = from.value("holdMs", to.holdMs);
    to.tokens = from.value("tokens", to.tokens);
    to.workMs = from.value("workMs", to.workMs);
    to.roundTripMs = from.value("roundTripMs", to.roundTripMs);
    to.untilLateMs = from.value("untilLateMs", to.untilLateMs);
    to.rank = from.value("rank", to.rank);
    to.mayRepeat = from.value("mayRepeat", to.mayRepeat);
    to.spread = from.value("spread", to.spread);
}

void to_json(nlohmann::json &to, const SendReply &from)
{
    to = {{"isLimited", from.isLimited}, {"isGranted", from.isGranted}, {"waitMs", from.waitMs}, {"isHeld", from.isHeld}};
}

void from_json(const nlohmann::json &from, SendReply &to)
{
    from.at("isLimited").get_to(to.isLimited);
    from.at("isGranted").get_to(to.isGranted);
    from.at("waitMs").get_to(to.waitMs);
    to.isHeld = from.value("isHeld", to.isHeld);
}

// Hosts tell each other many of these, so they are arrays without names of fields.
void to_json(nlohmann::json &to, const CrashCauseEntry &from)
{
    to = nlohmann::json::array({from.kind, from.id});
}

void from_json(const nlohmann::json &from, CrashCauseEntry &to)
{
    to = {from.at(0).get<int>(), from.at(1).get<std::string>()};
}

void to_json(nlohmann::json &to, const CrashVerdictEntry &from)
{
    to = nlohmann::json::array(
        {from.cause, from.state, from.sinceAgeMs, from.remainingMs, from.crashes, from.lastCrashAgeMs, from.lastUpstream, from.probesLeft});
}

void from_json(const nlohmann::json &from, CrashVerdictEntry &to)
{
    std::size_t place = 0;
    from.at(place++).get_to(to.cause);
    from.at(place++).get_to(to.state);
    from.at(place++).get_to(to.sinceAgeMs);
    from.at(place++).get_to(to.remainingMs);
    from.at(place++).get_to(to.crashes);
    from.at(place++).get_to(to.lastCrashAgeMs);
    from.at(place++).get_to(to.lastUpstream);
    from.at(place++).get_to(to.probesLeft);
}

// Every host sends these several times a second: numbers at the end that are 0 are left out.
void to_json(nlohmann::json &to, const QuotaAskEntry &from)
{
    to = nlohmann::json::array({from.workspace, from.held, from.urgent, from.inAdvance, from.least, from.returned, from.givenBack});
    while (to.size() > 1 && to.back() == 0) {
        to.erase(to.size() - 1);
    }
}

void from_json(const nlohmann::json &from, QuotaAskEntry &to)
{
    std::size_t place = 0;
    from.at(place++).get_to(to.workspace);
    for (auto *number : {&to.held, &to.urgent, &to.inAdvance, &to.least, &to.returned, &to.givenBack}) {
        if (place < from.size()) {
            from.at(place++).get_to(*number);
        }
    }
}

void to_json(nlohmann::json &to, const QuotaGrantEntry &from)
{
    to = nlohmann::json::array({from.workspace, from.granted});
    if (from.waitMs != 0) {
        to.push_back(from.waitMs);
    }
}

void from_json(const nlohmann::json &from, QuotaGrantEntry &to)
{
    constexpr std::size_t waitPlace = 2;
    from.at(0).get_to(to.workspace);
    from.at(1).get_to(to.granted);
    to.waitMs = from.size() > waitPlace ? from.at(waitPlace).get<std::int64_t>() : 0;
}

void to_json(nlohmann::json &to, const QuotaAskNotice &from)
{
    to = nlohmann::json::array({from.partition, from.session, from.sequence, from.answered, from.isInFallback ? 1 : 0, from.entries});
}

void from_json(const nlohmann::json &from, QuotaAskNotice &to)
{
    std::size_t place = 0;
    from.at(place++).get_to(to.partition);
    from.at(place++).get_to(to.session);
    from.at(place++).get_to(to.sequence);
    from.at(place++).get_to(to.answered);
    to.isInFallback = from.at(place++).get<int>() != 0;
    from.at(place++).get_to(to.entries);
}

void to_json(nlohmann::json &to, const QuotaGrantNotice &from)
{
    to = nlohmann::json::array({from.partition, from.session, from.sequence, from.entries});
}

void from_json(const nlohmann::json &from, QuotaGrantNotice &to)
{
    std::size_t place = 0;
    from.at(place++).get_to(to.partition);
    from.at(place++).get_to(to.session);
    from.at(place++).get_to(to.sequence);
    from.at(place++).get_to(to.entries);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashEntry, upstream, ageMs, cuts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashReportNotice, crashes, served, refused, held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashVerdictsNotice, verdicts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashProbeCall, causes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashProbeReply, isGranted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamOriginEntry, version, upstream, service, request, send)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamOriginNotice, id, origin, remainingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReachNotice, reaches)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamOriginCall, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamOriginReply, isKnown, origin, ageMs)

void to_json(nlohmann::json &to, const ErrorReply &from)
{
    to = {{"error", from.error}};
    if (from.relayed) {
        to["relayed"] = *from.relayed;
    }
}

void from_json(const nlohmann::json &from, ErrorReply &to)
{
    from.at("error").get_to(to.error);
    if (const auto relayed = from.find("relayed"); relayed != from.end()) {
        to.relayed = relayed->get<RelayAccount>();
    }
}

void to_json(nlohmann::json &to, const RelayCall &from)
{
    to = {{"id", from.id},
          {"method", from.method},
          {"target", from.target},
          {"host", from.host},
          {"fields", from.fields},
          {"body", from.body},
          {"ageMs", from.ageMs},
          {"sentTo", from.sentTo},
          {"sends", from.sends},
          {"mayHaveRun", from.mayHaveRun},
          {"hasBegun", from.hasBegun},
          {"lastEventId", from.lastEventId},
          {"version", from.version},
          {"tries", from.tries},
          {"keptTries", from.keptTries},
          {"cuts", from.cuts},
          {"confirms", from.confirms}};
}

void from_json(const nlohmann::json &from, RelayCall &to)
{
    from.at("id").get_to(to.id);
    from.at("method").get_to(to.method);
    from.at("target").get_to(to.target);
    from.at("host").get_to(to.host);
    from.at("fields").get_to(to.fields);
    from.at("body").get_to(to.body);
    from.at("ageMs").get_to(to.ageMs);
    from.at("sentTo").get_to(to.sentTo);
    from.at("sends").get_to(to.sends);
    from.at("mayHaveRun").get_to(to.mayHaveRun);
    from.at("hasBegun").get_to(to.hasBegun);
    from.at("lastEventId").get_to(to.lastEventId);
    from.at("version").get_to(to.version);
    to.tries = from.value("tries", to.tries);
    to.keptTries = from.value("keptTries", to.keptTries);
    to.cuts = from.value("cuts", to.cuts);
    to.confirms = from.value("confirms", to.confirms);
}

void to_json(nlohmann::json &to, const RelayCreditNotice &from)
{
    to = {{"id", from.id}, {"bytes", from.bytes}};
    if (from.ageMs >= 0) {
        to["ageMs"] = from.ageMs;
    }
}

void from_json(const nlohmann::json &from, RelayCreditNotice &to)
{
    from.at("id").get_to(to.id);
    from.at("bytes").get_to(to.bytes);
    to.ageMs = from.value("ageMs", to.ageMs);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RelayHeadReply, status, fields)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClockQuery, askedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClockAnswer, askedAt, clock)

namespace {

using nlohmann::json;

constexpr std::size_t maxFrameDepth = 8;      // nested arrays and objects in one frame
constexpr std::size_t maxFrameItems = 10'000; // elements of one array or object

void to_json(json &to, const ListsCall & /*call*/)
{
    to = json::object();
}

void from_json(const json & /*from*/, ListsCall & /*call*/) { }

void to_json(json &to, const EndReply & /*reply*/)
{
    to = json::object();
}

void from_json(const json & /*from*/, EndReply & /*reply*/) { }

/// A variant as [index, value].
template<typename Variant>
json variantToJson(const Variant &variant)
{
    json value;
    std::visit([&](const auto &alternative) { to_json(value, alternative); }, variant);
    return json::array({variant.index(), std::move(value)});
}

template<typename Variant, std::size_t index = 0>
Variant variantFromJson(std::size_t wantedIndex, const json &value)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (wantedIndex == index) {
            std::variant_alternative_t<index, Variant> alternative;
            from_json(value, alternative);
            return alternative;
        }
        return variantFromJson<Variant, index + 1>(wantedIndex, value);
    } else {
        throw std::out_of_range("unknown kind of message");
    }
}

template<typename Variant>
Variant variantFromJson(const json &pair)
{
    return variantFromJson<Variant>(pair.at(0).get<std::size_t>(), pair.at(1));
}

json toPayload(const Hello &hello)
{
    return hello;
}

json toPayload(const Proof &proof)
{
    return proof;
}

json toPayload(const Call &call)
{
    return json::array({call.id, variantToJson(call.body)});
}

json toPayload(const Reply &reply)
{
    return json::array({reply.id, variantToJson(reply.body)});
}

json toPayload(const Cancel &cancel)
{
    return cancel;
}

json toPayload(const Notice &notice)
{
    return variantToJson(notice.body);
}

std::string toBytes(const std::vector<std::uint8_t> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

Frame parseFrame(std::size_t kind, const json &payload)
{
    switch (kind) {
    case 0:
        return payload.get<Hello>();
    case 1:
        return payload.get<Proof>();
    case 3:
        return Call{payload.at(0).get<std::uint64_t>(), variantFromJson<CallBody>(payload.at(1))};
    case 4:
        return Reply{payload.at(0).get<std::uint64_t>(), variantFromJson<ReplyBody>(payload.at(1))};
    case 5:
        return payload.get<Cancel>();
    case 6:
        return Notice{variantFromJson<decltype(Notice::body)>(payload)};
    default:
        throw std::out_of_range("unknown kind of frame");
    }
}

constexpr std::size_t gossipKind = 2;

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte / 16];
        text += digits[byte % 16];
    }
    return text;
}

/// Each part is prefixed with its length, so that different lists of parts never yield the same text.
std::string proofInput(const Hello &own, const Hello &other)
{
    std::string text = "baobabstall link 1";
    for (const Hello *hello : {&own, &other}) {
        for (const std::string &part : {hello->host.value(), std::to_string(hello->incarnation.value()), hello->region.value(), hello->nonce}) {
            text += std::to_string(part.size()) + ':' + part;
        }
    }
    return text;
}

} // namespace

std::string encode(const Frame &frame)
{
    std::string bytes(1, static_cast<char>(frame.index()));
    std::visit(
        [&](const auto &alternative) {
            if constexpr (std::is_same_v<std::decay_t<decltype(alternative)>, Gossip>) {
                bytes += toBytes(toCbor(alternative.message));
            } else {
                bytes += toBytes(json::to_cbor(toPayload(alternative)));
            }
        },
        frame);
    return bytes;
}

std::optional<Frame> decode(std::string_view bytes, core::Error &error)
{
    error = core::Error{.step = core::Step::Peer, .reason = "malformed frame"};
    if (bytes.empty()) {
        return std::nullopt;
    }
    const auto kind = static_cast<std::size_t>(static_cast<unsigned char>(bytes.front()));
    const std::span payload(reinterpret_cast<const std::uint8_t *>(bytes.data()) + 1, bytes.size() - 1);
    if (kind == gossipKind) {
        auto message = fromCbor(payload, error);
        return message ? std::optional<Frame>(Gossip{std::move(*message)}) : std::nullopt;
    }
    if (!isBoundedCbor(payload, maxFrameDepth, maxFrameItems)) {
        return std::nullopt;
    }
    const json value = json::from_cbor(payload.begin(), payload.end(), true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    try {
        return parseFrame(kind, value);
    } catch (const std::exception &) {
        return std::nullopt; // a field is missing or has another type, or a kind is unknown
    }
}

bool isLastReply(const ReplyBody &body)
{
    if (const auto *permit = std::get_if<SendReply>(&body)) {
        return !permit->isHeld;
    }
    return !std::holds_alternative<StartedReply>(body) && !std::holds_alternative<DataReply>(body) && !std::holds_alternative<GrantReply>(body)
        && !std::holds_alternative<WaitingReply>(body) && !std::holds_alternative<RelayHeadReply>(body);
}

std::optional<std::string> makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return std::nullopt;
    }
    return toHex(bytes);
}

std::string makeProof(std::string_view key, const Hello &own, const Hello &other)
{
    const std::string text = proofInput(own, other);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac.data(), &length);
    return toHex(std::span(mac).first(length));
}

bool proofsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace baobabstall::peers
