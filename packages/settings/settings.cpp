#include <settings/settings.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <tuple>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::settings {

namespace {

using nlohmann::json;

constexpr std::size_t minKeyBytes = 16;
constexpr std::size_t maxNameLength = 128;

// ---- Rules: what a value may be, and how a message says so ----

struct NumberRule {
    double min;
    double max;
};

struct TextRule {
    bool (*accepts)(std::string_view text);
    const char *allowed;
};

enum class Need : std::uint8_t { Optional, Required };

bool isName(std::string_view text)
{
    const auto accepted = [](unsigned char c) { return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), accepted);
}

bool isNumericAddress(std::string_view text, int minPort)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string ip(text.substr(0, colon));
    const std::string port(text.substr(colon + 1));
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(ip, error);
    if (error || address.is_v6() != bracketed) {
        return false;
    }
    constexpr std::size_t maxPortDigits = 5;
    constexpr int maxPort = 65535;
    const bool digits
        = !port.empty() && port.size() <= maxPortDigits && std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    return digits && std::stoi(port) >= minPort && std::stoi(port) <= maxPort;
}

constexpr TextRule nameText = {isName, "1 to 128 characters of A-Z a-z 0-9 . _ -"};
constexpr TextRule listenText
    = {[](std::string_view text) { return isNumericAddress(text, 0); }, "a numeric IP:PORT such as 10.0.0.5:4000; port 0 lets the kernel choose"};
constexpr TextRule peerText = {[](std::string_view text) { return isNumericAddress(text, 1); }, "a numeric IP:PORT such as 10.0.0.9:7000"};
constexpr TextRule profileText = {[](std::string_view text) { return text == "stalls" || text == "batches"; }, "\"stalls\" or \"batches\""};
constexpr TextRule claimsOfText = {[](std::string_view text) { return text == "run" || text == "host"; }, "\"run\" or \"host\""};
constexpr TextRule levelText = {[](std::string_view text) { return text == "debug" || text == "info" || text == "warn" || text == "error"; },
                                "\"debug\", \"info\", \"warn\" or \"error\""};
constexpr TextRule freeText = {[](std::string_view text) { return text.size() <= 4096; }, "text of at most 4096 characters"};

constexpr double day = 86'400'000;
constexpr NumberRule anyLength = {1, day};          // milliseconds
constexpr NumberRule shortLength = {1, 3'600'000};  // milliseconds
constexpr NumberRule lengthOrNone = {0, 3'600'000}; // milliseconds; 0: none
constexpr NumberRule byteCount = {256, 1'073'741'824};
constexpr NumberRule itemCount = {1, 1'000'000};

// ---- Tables: one line for each field ----

template<typename Struct, typename Member, typename Rule>
struct Field {
    const char *key;
    Member Struct::*member;
    Rule rule;
    Need need;
};

template<typename Struct, typename Member, typename Rule>
constexpr auto field(const char *key, Member Struct::*member, Rule rule, Need need = Need::Optional)
{
    return Field<Struct, Member, Rule>{key, member, rule, need};
}

struct SectionRule { };

template<typename Struct, typename Member>
constexpr auto section(const char *key, Member Struct::*member)
{
    return Field<Struct, Member, SectionRule>{key, member, {}, Need::Optional};
}

constexpr auto fieldsOf(const Listen *)
{
    return std::make_tuple(field("callers", &Listen::callers, listenText, Need::Required),
                           field("peers", &Listen::peers, listenText, Need::Required),
                           field("operators", &Listen::operators, listenText, Need::Required));
}

constexpr auto fieldsOf(const Platform *)
{
    return std::make_tuple(field("address", &Platform::address, peerText, Need::Required),
                           field("hosts_poll_ms", &Platform::hostsPoll, shortLength),
                           field("log_wait_ms", &Platform::logWait, shortLength),
                           field("timeout_ms", &Platform::timeout, shortLength),
                           field("retention_ms", &Platform::retention, NumberRule{1'000, 3650 * day}));
}

constexpr auto fieldsOf(const Callers *)
{
    return std::make_tuple(field("max_header_bytes", &Callers::maxHeaderBytes, byteCount),
                           field("max_body_bytes", &Callers::maxBodyBytes, byteCount),
                           field("max_connections", &Callers::maxConnections, itemCount),
                           field("receive_timeout_ms", &Callers::receiveTimeout, shortLength),
                           field("send_timeout_ms", &Callers::sendTimeout, shortLength),
                           field("request_timeout_ms", &Callers::requestTimeout, anyLength));
}

constexpr auto fieldsOf(const Membership *)
{
    return std::make_tuple(field("probe_interval_ms", &Membership::probeInterval, shortLength),
                           field("probe_timeout_ms", &Membership::probeTimeout, shortLength),
                           field("suspicion_ms", &Membership::suspicion, shortLength),
                           field("indirect_probes", &Membership::indirectProbes, NumberRule{0, 64}),
                           field("max_updates", &Membership::maxUpdates, NumberRule{1, 1'024}));
}

constexpr auto fieldsOf(const Ownership *)
{
    return std::make_tuple(field("handover_delay_ms", &Ownership::handoverDelay, shortLength),
                           field("call_partitions", &Ownership::callPartitions, NumberRule{1, 4'096}),
                           field("claim_delay_ms", &Ownership::claimDelay, NumberRule{0, 3'600'000}),
                           field("claims_of", &Ownership::claimsOf, claimsOfText),
                           field("lease_wait_ms", &Ownership::leaseWait, NumberRule{0, 3'600'000}),
                           field("minority_delay_ms", &Ownership::minorityDelay, NumberRule{0, 3'600'000}));
}

constexpr auto fieldsOf(const Placement *)
{
    return std::make_tuple(field("profile", &Placement::profile, profileText),
                           field("candidates", &Placement::candidates, NumberRule{1, 64}),
                           field("max_candidates", &Placement::maxCandidates, NumberRule{1, 1'024}),
                           field("widen_at", &Placement::widenAt, NumberRule{0.01, 1}),
                           field("popularity_half_life_ms", &Placement::popularityHalfLife, anyLength));
}

constexpr auto fieldsOf(const Loads *)
{
    return std::make_tuple(field("per_second", &Loads::perSecond, NumberRule{0.01, 10'000}),
                           field("concurrent", &Loads::concurrent, NumberRule{1, 10'000}),
                           field("typical_ms", &Loads::typical, shortLength),
                           field("timeout_ms", &Loads::timeout, shortLength),
                           field("spare_slots", &Loads::spareSlots, NumberRule{0, 1'024}));
}

constexpr auto fieldsOf(const Admission *)
{
    return std::make_tuple(field("engine_concurrency", &Admission::engineConcurrency, NumberRule{1, 4'096}),
                           field("max_queue", &Admission::maxQueue, NumberRule{1, 100'000}),
                           field("max_queue_wait_ms", &Admission::maxQueueWait, shortLength),
                           field("max_in_flight", &Admission::maxInFlight, NumberRule{1, 1'000'000}),
                           field("plan_burst", &Admission::planBurst, NumberRule{1, 1'000}));
}

constexpr auto fieldsOf(const Retries *)
{
    return std::make_tuple(field("max_attempts", &Retries::maxAttempts, NumberRule{1, 16}),
                           field("budget_share", &Retries::budgetShare, NumberRule{0, 1}),
                           field("budget_reserve", &Retries::budgetReserve, NumberRule{0, 1'000}));
}

constexpr auto fieldsOf(const Services *)
{
    return std::make_tuple(field("timeout_ms", &Services::timeout, anyLength),
                           field("max_answer_bytes", &Services::maxAnswerBytes, byteCount),
                           field("max_recorded_bytes", &Services::maxRecordedBytes, NumberRule{0, 131'072}));
}

constexpr auto fieldsOf(const Stop *)
{
    return std::make_tuple(field("drain_timeout_ms", &Stop::drainTimeout, anyLength),
                           field("not_ready_first_ms", &Stop::notReadyFirst, NumberRule{0, 600'000}));
}

constexpr auto fieldsOf(const Logging *)
{
    return std::make_tuple(field("level", &Logging::level, levelText),
                           field("file", &Logging::file, freeText),
                           field("lines_per_second", &Logging::linesPerSecond, NumberRule{1, 1'000'000}));
}

constexpr auto fieldsOf(const Hosting *)
{
    return std::make_tuple(field("metrics", &Hosting::metrics, peerText),
                           field("configuration_ms", &Hosting::configApply, shortLength),
                           field("drain_ms", &Hosting::drain, shortLength),
                           field("revocation_ms", &Hosting::revocation, lengthOrNone),
                           field("grace_s", &Hosting::graceSeconds, NumberRule{0.1, 3'600}),
                           field("retry_share", &Hosting::retryShare, NumberRule{0, 1}),
                           field("retry_slack", &Hosting::retrySlack, NumberRule{0, 1'000'000}),
                           field("quota_window_s", &Hosting::quotaWindowSeconds, NumberRule{0, 3'600}),
                           field("quota_overage", &Hosting::quotaOverage, NumberRule{0, 10}),
                           field("quota_tolerance", &Hosting::quotaTolerance, NumberRule{0, 1e12}),
                           field("link_mbps", &Hosting::linkMbps, NumberRule{0, 1'000'000}),
                           field("owner_places", &Hosting::ownerPlaces, NumberRule{0, 1}),
                           field("caller_order", &Hosting::callerOrder, NumberRule{0, 2}),
                           field("learn_paces", &Hosting::learnPaces, NumberRule{0, 1}),
                           field("memory_mb", &Hosting::memoryMb, NumberRule{0, 1'000'000}),
                           field("max_descriptors", &Hosting::maxDescriptors, NumberRule{0, 1'000'000}));
}

constexpr auto fieldsOf(const Settings *)
{
    return std::make_tuple(field("host", &Settings::host, nameText, Need::Required),
                           field("zone", &Settings::zone, nameText, Need::Required),
                           field("region", &Settings::region, nameText, Need::Required),
                           field("key_file", &Settings::keyFile, freeText),
                           field("key_env", &Settings::keyEnv, freeText),
                           section("listen", &Settings::listen),
                           section("platform", &Settings::platform),
                           section("callers", &Settings::callers),
                           section("membership", &Settings::membership),
                           section("ownership", &Settings::ownership),
                           section("placement", &Settings::placement),
                           section("loads", &Settings::loads),
                           section("admission", &Settings::admission),
                           section("retries", &Settings::retries),
                           section("services", &Settings::services),
                           section("stop", &Settings::stop),
                           section("logging", &Settings::logging),
                           section("hosting", &Settings::hosting));
}

// ---- Reader: walks a table, stops at the first fault ----

std::string numberText(double value)
{
    std::ostringstream text;
    text.precision(15);
    text << value;
    return text.str();
}

class Reader
{
public:
    Reader(std::string file, core::Error &why)
        : file_(std::move(file))
        , why_(why)
    { }

    bool fail(const std::string &path, const std::string &found, const std::string &allowed)
    {
        why_.step = core::Step::Settings;
        why_.reason = file_ + ": " + path + ": found " + found + "; allowed: " + allowed;
        return false;
    }

    template<typename Struct>
    bool readObject(const json &object, const std::string &path, Struct &into)
    {
        if (!object.is_object()) {
            return fail(path.empty() ? "the whole file" : path, describeValue(object), "an object");
        }
        const auto table = fieldsOf(static_cast<const Struct *>(nullptr));
        return std::apply([&](const auto &...fields) { return knowsKeys(object, path, {fields.key...}) && (readField(object, path, fields, into) && ...); },
                          table);
    }

private:
    static std::string joined(const std::string &path, const std::string &key) { return path.empty() ? key : path + '.' + key; }

    bool knowsKeys(const json &object, const std::string &path, std::initializer_list<std::string_view> known)
    {
        for (const auto &[key, value] : object.items()) {
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                std::string allowed;
                for (const auto name : known) {
                    allowed += (allowed.empty() ? "" : ", ") + std::string(name);
                }
                return fail(joined(path, printableText(key)), "an unknown key", allowed);
            }
        }
        return true;
    }

    template<typename Struct, typename Member, typename Rule>
    bool readField(const json &object, const std::string &path, const Field<Struct, Member, Rule> &field, Struct &into)
    {
        const auto found = object.find(field.key);
        const auto fieldPath = joined(path, field.key);
        if constexpr (std::is_same_v<Rule, SectionRule>) {
            return readObject(found == object.end() ? json::object() : *found, fieldPath, into.*field.member);
        } else if (found == object.end()) {
            return field.need == Need::Optional || fail(fieldPath, "nothing: the key is missing", allowedBy(field.rule, into.*field.member));
        } else {
            return readValue(*found, fieldPath, field.rule, into.*field.member);
        }
    }

    template<typename Text>
    bool readValue(const json &value, const std::string &path, const TextRule &rule, Text &into)
    {
        if (!value.is_string() || !rule.accepts(value.get_ref<const std::string &>())) {
            return fail(path, describeValue(value), rule.allowed);
        }
        into = Text(value.get<std::string>());
        return true;
    }

    template<typename Number>
    bool readValue(const json &value, const std::string &path, const NumberRule &rule, Number &into)
    {
        const bool rightType = std::is_same_v<Number, double> ? value.is_number() : value.is_number_integer();
        const double number = rightType ? value.get<double>() : std::nan("");
        if (!(number >= rule.min && number <= rule.max)) {
            return fail(path, describeValue(value), allowedBy(rule, into));
        }
        if constexpr (std::is_same_v<Number, Milliseconds>) {
            into = Milliseconds(value.get<std::int64_t>());
        } else {
            into = value.get<Number>();
        }
        return true;
    }

    template<typename Member>
    static std::string allowedBy(const TextRule &rule, const Member &)
    {
        return rule.allowed;
    }

    template<typename Number>
    static std::string allowedBy(const NumberRule &rule, const Number &)
    {
        const std::string kind = std::is_same_v<Number, double> ? "a number" : "a whole number";
        const std::string unit = std::is_same_v<Number, Milliseconds> ? " (milliseconds)" : "";
        return kind + " from " + numberText(rule.min) + " to " + numberText(rule.max) + unit;
    }

    std::string file_;
    core::Error &why_;
};

// ---- Checks over several fields ----

std::string milliseconds(Milliseconds length)
{
    return std::to_string(length.count());
}

enum class Mode : std::uint8_t { Product, Hosted };

bool fieldsAgree(const Settings &settings, Mode mode, Reader &reader)
{
    if (mode == Mode::Product && settings.keyFile.empty() == settings.keyEnv.empty()) {
        return reader.fail("key_file", settings.keyFile.empty() ? "neither key_file nor key_env" : "both key_file and key_env", "exactly one of the two");
    }
    if (settings.stop.drainTimeout <= settings.callers.requestTimeout) {
        return reader.fail("stop.drain_timeout_ms",
                           "the number " + milliseconds(settings.stop.drainTimeout),
                           "more than callers.request_timeout_ms, which is " + milliseconds(settings.callers.requestTimeout));
    }
    if (settings.platform.timeout <= settings.platform.logWait) {
        return reader.fail("platform.timeout_ms",
                           "the number " + milliseconds(settings.platform.timeout),
                           "more than platform.log_wait_ms, which is " + milliseconds(settings.platform.logWait));
    }
    if (settings.membership.probeTimeout >= settings.membership.probeInterval) {
        return reader.fail("membership.probe_timeout_ms",
                           "the number " + milliseconds(settings.membership.probeTimeout),
                           "less than membership.probe_interval_ms, which is " + milliseconds(settings.membership.probeInterval));
    }
    if (settings.placement.maxCandidates < settings.placement.candidates) {
        return reader.fail("placement.max_candidates",
                           "the number " + std::to_string(settings.placement.maxCandidates),
                           "at least placement.candidates, which is " + std::to_string(settings.placement.candidates));
    }
    return true;
}

std::optional<std::string> readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string content{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return content;
}

std::string trimmed(const std::string &text)
{
    constexpr auto space = " \t\r\n";
    const auto begin = text.find_first_not_of(space);
    return begin == std::string::npos ? std::string() : text.substr(begin, text.find_last_not_of(space) - begin + 1);
}

} // namespace

namespace {

std::optional<Settings> parse(std::string_view text, const std::string &name, Mode mode, core::Error &why)
{
    why = core::Error{.step = core::Step::Settings};
    const auto value = parseJson(text, name, JsonOptions{}, why);
    if (!value) {
        return std::nullopt;
    }
    Settings settings;
    Reader reader(name, why);
    if (!reader.readObject(*value, "", settings) || !fieldsAgree(settings, mode, reader)) {
        return std::nullopt;
    }
    return settings;
}

std::optional<Settings> load(const std::string &path, Mode mode, core::Error &why)
{
    const auto text = readWholeFile(path);
    if (!text) {
        why = core::Error{.step = core::Step::Settings, .reason = path + ": can't be read; give the path of a readable settings file"};
        return std::nullopt;
    }
    return parse(*text, path, mode, why);
}

} // namespace

std::optional<Settings> parseSettings(std::string_view text, const std::string &name, core::Error &why)
{
    return parse(text, name, Mode::Product, why);
}

std::optional<Settings> loadSettings(const std::string &path, core::Error &why)
{
    return load(path, Mode::Product, why);
}

std::optional<Settings> parseHostedSettings(std::string_view text, const std::string &name, core::Error &why)
{
    return parse(text, name, Mode::Hosted, why);
}

std::optional<Settings> loadHostedSettings(const std::string &path, core::Error &why)
{
    return load(path, Mode::Hosted, why);
}

std::optional<std::string> loadKey(const Settings &settings, core::Error &why)
{
    const bool fromFile = !settings.keyFile.empty();
    const std::string source = fromFile ? "key_file " + settings.keyFile : "environment variable " + settings.keyEnv;
    const auto environment = [&]() -> std::optional<std::string> {
        const char *value = std::getenv(settings.keyEnv.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
    const auto content = fromFile ? readWholeFile(settings.keyFile) : environment();
    if (!content) {
        why = core::Error{.step = core::Step::Settings, .reason = source + (fromFile ? ": can't be read" : ": not set")};
        return std::nullopt;
    }
    auto key = trimmed(*content);
    if (key.size() < minKeyBytes) {
        why = core::Error{.step = core::Step::Settings, .reason = source + ": the key is shorter than " + std::to_string(minKeyBytes) + " bytes"};
        return std::nullopt;
    }
    return key;
}

} // namespace baobabstall::settings
