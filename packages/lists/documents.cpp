#include <lists/documents.h>

#include <algorithm>
#include <cctype>
#include <initializer_list>

#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <settings/json.h>

namespace baobabstall::lists {

namespace {

using nlohmann::json;
using settings::describeValue;
using settings::printableText;

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxKeysOfCustomer = 16;
constexpr std::size_t maxVersionsOfAdapter = 64;
constexpr std::size_t maxItemsOfPlan = 1'000;
constexpr double maxShare = 1'000;
constexpr int maxInFlightOfPlan = 100'000;
constexpr std::string_view digestPrefix = "sha256:";
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr auto allowedName = "1 to 128 characters of A-Z a-z 0-9 . _ -";

bool fail(std::string &reason, const std::string &path, const std::string &found, const std::string &allowed)
{
    reason = (path.empty() ? std::string() : path + ": ") + "found " + found + "; allowed: " + allowed;
    return false;
}

/// Reads the fields of one JSON object; on failure the reason names the invalid field.
class FieldReader
{
public:
    FieldReader(const json &object, std::string path, std::string &reason)
        : object_(object)
        , path_(std::move(path))
        , reason_(reason)
    { }

    bool checkKeys(std::initializer_list<std::string_view> allowedKeys)
    {
        if (!object_.is_object()) {
            return fail(reason_, path_, describeValue(object_), "an object");
        }
        for (const auto &[key, value] : object_.items()) {
            if (std::find(allowedKeys.begin(), allowedKeys.end(), key) == allowedKeys.end()) {
                return fail(reason_, pathOf(printableText(key)), "an unknown key", joinKeys(allowedKeys));
            }
        }
        return true;
    }

    template<typename Tag>
    bool name(const char *key, core::Id<Tag> &into)
    {
        const json &value = field(key);
        if (!value.is_string() || !isValidEntryName(value.get_ref<const std::string &>())) {
            return fail(reason_, pathOf(key), describeField(key), allowedName);
        }
        into = core::Id<Tag>(value.get<std::string>());
        return true;
    }

    bool number(const char *key, double max, double &into)
    {
        const json &value = field(key);
        if (!value.is_number() || !(value.get<double>() > 0 && value.get<double>() <= max)) {
            return fail(reason_, pathOf(key), describeField(key), "a number above 0, at most " + std::to_string(static_cast<int>(max)));
        }
        into = value.get<double>();
        return true;
    }

    bool count(const char *key, int max, int &into)
    {
        const json &value = field(key);
        if (!value.is_number_integer() || value < 1 || value > max) {
            return fail(reason_, pathOf(key), describeField(key), "a whole number from 1 to " + std::to_string(max));
        }
        into = value.get<int>();
        return true;
    }

    /// An array of distinct strings that `parse` accepts.
    template<typename T, typename Parse>
    bool textSet(const char *key, std::size_t min, std::size_t max, const std::string &allowedItem, Parse parse, std::set<T> &into)
    {
        const json &value = field(key);
        const auto allowed = std::to_string(min) + " to " + std::to_string(max) + " different values, each " + allowedItem;
        if (!value.is_array() || value.size() < min || value.size() > max) {
            return fail(reason_, pathOf(key), describeField(key), "an array of " + allowed);
        }
        for (const auto &item : value) {
            const auto parsed = item.is_string() ? parse(item.get_ref<const std::string &>()) : std::optional<T>();
            if (!parsed || !into.insert(*parsed).second) {
                return fail(reason_, pathOf(key), describeValue(item) + (parsed ? " twice" : ""), allowed);
            }
        }
        return true;
    }

    [[nodiscard]] bool has(const char *key) const { return object_.contains(key); }
    [[nodiscard]] const json &field(const char *key) const
    {
        static const json missing;
        const auto found = object_.find(key);
        return found == object_.end() ? missing : *found;
    }
    [[nodiscard]] std::string describeField(const char *key) const { return has(key) ? describeValue(field(key)) : "nothing: the key is missing"; }
    [[nodiscard]] std::string pathOf(const std::string &key) const { return path_.empty() ? key : path_ + '.' + key; }

private:
    static std::string joinKeys(std::initializer_list<std::string_view> allowedKeys)
    {
        std::string text;
        for (const auto key : allowedKeys) {
            text += (text.empty() ? "" : ", ") + std::string(key);
        }
        return text;
    }

    const json &object_;
    std::string path_;
    std::string &reason_;
};

template<typename Tag>
std::optional<core::Id<Tag>> idOf(const std::string &text)
{
    return isValidEntryName(text) ? std::optional(core::Id<Tag>(text)) : std::nullopt;
}

template<typename T>
json textArray(const std::set<T> &items)
{
    json array = json::array();
    for (const auto &item : items) {
        array.push_back(item.value());
    }
    return array;
}

std::optional<PlanAdapter> readPlanAdapter(const json &value, const std::string &path, std::string &reason)
{
    PlanAdapter adapter;
    FieldReader fields(value, path, reason);
    const bool isValid = fields.checkKeys({"versions", "base_model"})
        && fields.textSet<core::AdapterVersion>("versions", 1, maxVersionsOfAdapter, allowedName, idOf<core::AdapterVersionTag>, adapter.versions)
        && fields.name("base_model", adapter.baseModel);
    return isValid ? std::optional(std::move(adapter)) : std::nullopt;
}

bool readPlanAdapters(FieldReader &fields, std::map<core::AdapterName, PlanAdapter> &into, std::string &reason)
{
    const json &adapters = fields.field("adapters");
    if (!adapters.is_object() || adapters.size() > maxItemsOfPlan) {
        return fail(reason, "adapters", fields.describeField("adapters"), "an object of at most " + std::to_string(maxItemsOfPlan) + " adapters");
    }
    for (const auto &[name, value] : adapters.items()) {
        if (!isValidEntryName(name)) {
            return fail(reason, "adapters", "the name \"" + printableText(name) + '"', allowedName);
        }
        auto adapter = readPlanAdapter(value, "adapters." + name, reason);
        if (!adapter) {
            return false;
        }
        into.emplace(name, std::move(*adapter));
    }
    return true;
}

template<EntryCodec Codec>
json writeList(const std::map<typename Codec::Id, typename Codec::Entry> &entries)
{
    json object = json::object();
    for (const auto &[id, entry] : entries) {
        object[id.value()] = Codec::write(entry);
    }
    return object;
}

template<EntryCodec Codec>
std::optional<ListDocument> readList(const json &entries, const std::string &name, core::Error &why)
{
    const std::string list(listNameText(Codec::list));
    if (!entries.is_object()) {
        fail(why.reason, name + ": " + list, describeValue(entries), "an object with one key for each entry");
        return std::nullopt;
    }
    std::map<typename Codec::Id, typename Codec::Entry> result;
    for (const auto &[id, value] : entries.items()) {
        std::string reason;
        auto entry = Codec::read(value, reason);
        if (!isValidEntryName(id)) {
            fail(reason, "", "the name \"" + printableText(id) + '"', allowedName);
            entry.reset();
        }
        if (!entry) {
            why.reason = name + ": " + reasonWithPath(Codec::list, printableText(id), reason);
            return std::nullopt;
        }
        result.emplace(id, std::move(*entry));
    }
    return ListDocument(std::move(result));
}

bool keysAreDistinct(const Customers &customers, const std::string &name, core::Error &why)
{
    std::map<KeyDigest, core::CustomerId> holders;
    for (const auto &[id, customer] : customers) {
        for (const auto &key : customer.keys) {
            const auto [holder, isNew] = holders.emplace(key, id);
            if (!isNew) {
                why.reason = name + ": customers." + id.value() + ".keys: found a key that " + holder->second.value()
                    + " holds too; allowed: keys of this customer only";
                return false;
            }
        }
    }
    return true;
}

/// The merge patch between two JSON values without nulls: removed keys become null, equal values are left out.
json mergePatch(const json &from, const json &to)
{
    if (!from.is_object() || !to.is_object()) {
        return to;
    }
    json patch = json::object();
    for (const auto &[key, value] : from.items()) {
        if (!to.contains(key)) {
            patch[key] = nullptr;
        }
    }
    for (const auto &[key, value] : to.items()) {
        const auto old = from.find(key);
        if (old == from.end()) {
            patch[key] = value;
        } else if (*old != value) {
            patch[key] = mergePatch(*old, value);
        }
    }
    return patch;
}

json documentJson(const ListDocument &document)
{
    json entries;
    if (const auto *customers = std::get_if<Customers>(&document)) {
        entries = writeList<CustomerCodec>(*customers);
    } else {
        entries = writeList<PlanCodec>(std::get<Plans>(document));
    }
    return json{{std::string(listNameText(listNameOf(document))), std::move(entries)}};
}

} // namespace

std::string_view listNameText(ListName list)
{
    return list == ListName::Customers ? "customers" : "plans";
}

std::optional<ListName> parseListName(std::string_view text)
{
    for (const auto list : {ListName::Customers, ListName::Plans}) {
        if (listNameText(list) == text) {
            return list;
        }
    }
    return std::nullopt;
}

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest{};
    ::SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

std::string keyDigestText(const KeyDigest &digest)
{
    constexpr unsigned nibbleBits = 4;
    constexpr unsigned nibbleMask = 0xf;
    std::string text(digestPrefix);
    for (const auto byte : digest) {
        text += hexDigits[byte >> nibbleBits];
        text += hexDigits[byte & nibbleMask];
    }
    return text;
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    KeyDigest digest{};
    if (!text.starts_with(digestPrefix) || text.size() != digestPrefix.size() + 2 * digest.size()) {
        return std::nullopt;
    }
    text.remove_prefix(digestPrefix.size());
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const auto high = hexDigits.find(text[2 * i]);
        const auto low = hexDigits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest[i] = static_cast<std::uint8_t>(high * hexDigits.size() + low);
    }
    return digest;
}

ListName listNameOf(const ListDocument &document)
{
    return std::holds_alternative<Customers>(document) ? ListName::Customers : ListName::Plans;
}

std::optional<ListDocument> parseListFile(std::string_view text, const std::string &name, core::Error &why)
{
    why = core::Error{.step = core::Step::Lists};
    const auto value = settings::parseJson(text, name, settings::JsonOptions{}, why);
    if (!value) {
        return std::nullopt;
    }
    if (!value->is_object() || value->size() != 1 || !parseListName(value->begin().key())) {
        fail(why.reason, name + ": the whole file", describeValue(*value), "an object with the one key \"customers\" or \"plans\"");
        return std::nullopt;
    }
    const json &entries = value->begin().value();
    auto document
        = parseListName(value->begin().key()) == ListName::Customers ? readList<CustomerCodec>(entries, name, why) : readList<PlanCodec>(entries, name, why);
    if (document && listNameOf(*document) == ListName::Customers && !keysAreDistinct(std::get<Customers>(*document), name, why)) {
        return std::nullopt;
    }
    return document;
}

std::string patchBetween(const ListDocument &from, const ListDocument &to)
{
    return mergePatch(documentJson(from), documentJson(to)).dump();
}

std::optional<Customer> CustomerCodec::read(const json &value, std::string &reason)
{
    Customer customer;
    FieldReader fields(value, "", reason);
    const auto parse = [](const std::string &text) { return parseKeyDigest(text); };
    const bool isValid = fields.checkKeys({"plan", "keys"}) && fields.name("plan", customer.plan)
        && fields.textSet<KeyDigest>("keys", 0, maxKeysOfCustomer, "\"sha256:\" and 64 lower-case hex digits", parse, customer.keys);
    return isValid ? std::optional(std::move(customer)) : std::nullopt;
}

json CustomerCodec::write(const Customer &customer)
{
    json keys = json::array();
    for (const auto &key : customer.keys) {
        keys.push_back(keyDigestText(key));
    }
    return json{{"plan", customer.plan.value()}, {"keys", std::move(keys)}};
}

std::optional<Plan> PlanCodec::read(const json &value, std::string &reason)
{
    Plan plan;
    FieldReader fields(value, "", reason);
    const bool isValid = fields.checkKeys({"share", "max_in_flight", "adapters", "services"}) && fields.number("share", maxShare, plan.share)
        && fields.count("max_in_flight", maxInFlightOfPlan, plan.maxInFlight) && readPlanAdapters(fields, plan.adapters, reason)
        && (!fields.has("services")
            || fields.textSet<core::ServiceName>("services", 0, maxItemsOfPlan, allowedName, idOf<core::ServiceNameTag>, plan.services));
    return isValid ? std::optional(std::move(plan)) : std::nullopt;
}

json PlanCodec::write(const Plan &plan)
{
    json adapters = json::object();
    for (const auto &[name, adapter] : plan.adapters) {
        adapters[name.value()] = {{"versions", textArray(adapter.versions)}, {"base_model", adapter.baseModel.value()}};
    }
    json written{{"share", plan.share}, {"max_in_flight", plan.maxInFlight}, {"adapters", std::move(adapters)}};
    if (!plan.services.empty()) {
        written["services"] = textArray(plan.services);
    }
    return written;
}

std::string reasonWithPath(ListName list, const std::string &entry, const std::string &reason)
{
    std::string text(listNameText(list));
    text.append(1, '.').append(entry);
    text.append(reason.starts_with("found") ? ": " : ".").append(reason);
    return text;
}

bool isValidEntryName(std::string_view text)
{
    const auto accepted = [](unsigned char c) { return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), accepted);
}

} // namespace baobabstall::lists
