#include <lists/records.h>

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::lists {

namespace {

using nlohmann::json;

constexpr std::size_t maxEntriesBytes = 192 * 1024; // of one part: leaves room for the other fields
constexpr int maxParts = 1'024;                     // of one group
constexpr std::size_t maxIdLength = 200;
constexpr std::size_t maxPublisherLength = 128;
constexpr std::size_t digestDigits = 16;

std::vector<json> splitEntries(const json &entries, std::string &tooLarge)
{
    std::vector<json> parts(1, json::object());
    std::size_t bytes = 0;
    for (const auto &[id, entry] : entries.items()) {
        constexpr std::size_t punctuation = 4; // two quotes, colon, comma
        const auto size = id.size() + entry.dump().size() + punctuation;
        if (size > maxEntriesBytes) {
            tooLarge = id;
        }
        if (bytes + size > maxEntriesBytes) {
            parts.push_back(json::object());
            bytes = 0;
        }
        parts.back()[id] = entry;
        bytes += size;
    }
    return parts;
}

json headerJson(const RecordHeader &header)
{
    json record{{"id", header.id},
                {"group", header.group},
                {"part", header.part},
                {"parts", header.parts},
                {"list", std::string(listNameText(header.list))},
                {"by", header.publisher}};
    if (header.kind == RecordKind::Change) {
        record["kind"] = "change";
        record["based_on"] = header.basedOn.value();
        return record;
    }
    record["kind"] = "snapshot";
    record["version"] = header.version.value();
    record["as_of"] = header.asOf.value();
    record["since_ms"] = header.sinceMs;
    record["digest"] = digestText(header.digest);
    return record;
}

const char *contentKey(RecordKind kind)
{
    return kind == RecordKind::Change ? "patch" : "document";
}

/// Reads the fields of a record one by one and stores the first error.
class RecordReader
{
public:
    RecordReader(const json &record, std::string &reason)
        : record_(record)
        , reason_(reason)
    { }

    std::string text(const char *key, std::size_t maxLength)
    {
        const auto found = record_.find(key);
        const bool isValid = found != record_.end() && found->is_string() && !found->get_ref<const std::string &>().empty()
            && found->get_ref<const std::string &>().size() <= maxLength;
        if (!isValid) {
            setError(key);
            return {};
        }
        auto value = found->get<std::string>();
        if (settings::printableText(value, maxLength) != value) {
            setError(key);
        }
        return value;
    }

    std::int64_t number(const char *key, std::int64_t min, std::int64_t max)
    {
        const auto found = record_.find(key);
        if (found == record_.end() || !found->is_number_integer() || *found < min || *found > max) {
            setError(key);
            return min;
        }
        return found->get<std::int64_t>();
    }

    core::Offset offset(const char *key)
    {
        constexpr std::int64_t maxOffset = INT64_MAX;
        return core::Offset(static_cast<std::uint64_t>(number(key, 0, maxOffset)));
    }

    std::uint64_t digest(const char *key)
    {
        constexpr int hex = 16;
        const auto digits = text(key, digestDigits);
        std::uint64_t value = 0;
        const auto *const end = digits.data() + digits.size();
        const auto result = std::from_chars(digits.data(), end, value, hex);
        if (digits.size() != digestDigits || result.ec != std::errc() || result.ptr != end) {
            setError(key);
        }
        return value;
    }

    void setError(const char *key)
    {
        if (reason_.empty()) {
            reason_ = "not a record of the lists: \"" + std::string(key) + "\" is missing or invalid";
        }
    }

    [[nodiscard]] bool isValid() const { return reason_.empty(); }

private:
    const json &record_;
    std::string &reason_;
};

void readKind(const json &record, RecordReader &reader, RecordHeader &header)
{
    constexpr std::size_t maxWordLength = 16;
    const auto list = parseListName(reader.text("list", maxWordLength));
    const auto kind = reader.text("kind", maxWordLength);
    if (!list) {
        reader.setError("list");
    }
    header.list = list.value_or(ListName::Customers);
    if (kind != "change" && kind != "snapshot") {
        reader.setError("kind");
    }
    header.kind = kind == "snapshot" ? RecordKind::Snapshot : RecordKind::Change;
    constexpr std::size_t changeKeys = 9;
    constexpr std::size_t snapshotKeys = 12;
    if (record.size() != (header.kind == RecordKind::Change ? changeKeys : snapshotKeys)) {
        reader.setError("kind");
    }
}

void readOffsets(RecordReader &reader, RecordHeader &header)
{
    if (header.kind == RecordKind::Change) {
        header.basedOn = reader.offset("based_on");
        return;
    }
    header.version = reader.offset("version");
    header.asOf = reader.offset("as_of");
    header.sinceMs = reader.number("since_ms", 0, INT64_MAX);
    header.digest = reader.digest("digest");
    if (header.version > header.asOf) {
        reader.setError("as_of");
    }
}

} // namespace

std::optional<std::vector<OutgoingRecord>> writeRecords(const RecordHeader &header, const json &entries, core::Error &why)
{
    std::string tooLarge;
    auto parts = splitEntries(entries, tooLarge);
    if (!tooLarge.empty() || parts.size() > maxParts) {
        const auto what = tooLarge.empty() ? std::string("the list") : "the entry " + tooLarge;
        why = core::Error{.step = core::Step::Lists, .reason = what + " is too large for the log", .refusal = core::Refusal::TooLarge};
        return std::nullopt;
    }
    std::vector<OutgoingRecord> records;
    RecordHeader partHeader = header;
    partHeader.parts = static_cast<int>(parts.size());
    for (auto &part : parts) {
        partHeader.part = static_cast<int>(records.size()) + 1;
        partHeader.id = header.group + '.' + std::to_string(partHeader.part);
        auto record = headerJson(partHeader);
        record[contentKey(header.kind)] = json{{std::string(listNameText(header.list)), std::move(part)}};
        records.push_back({partHeader.id, record.dump()});
    }
    return records;
}

std::optional<RecordHeader> readRecord(std::string_view text, json &entries, std::string &reason)
{
    core::Error why;
    reason.clear();
    auto record = settings::parseJson(text, "record", settings::JsonOptions{.comments = false}, why);
    if (!record || !record->is_object()) {
        reason = "not a record of the lists: " + (record ? std::string("not an object") : why.reason);
        return std::nullopt;
    }
    RecordHeader header;
    RecordReader reader(*record, reason);
    header.id = reader.text("id", maxIdLength);
    header.group = reader.text("group", maxIdLength);
    header.publisher = reader.text("by", maxPublisherLength);
    header.parts = static_cast<int>(reader.number("parts", 1, maxParts));
    header.part = static_cast<int>(reader.number("part", 1, header.parts));
    readKind(*record, reader, header);
    readOffsets(reader, header);
    const auto content = record->find(contentKey(header.kind));
    const std::string list(listNameText(header.list));
    if (content == record->end() || !content->is_object() || content->size() != 1 || !content->contains(list) || !(*content)[list].is_object()) {
        reader.setError(contentKey(header.kind));
    }
    if (!reader.isValid()) {
        return std::nullopt;
    }
    entries = std::move((*content)[list]);
    return header;
}

std::string digestText(std::uint64_t digest)
{
    constexpr int hex = 16;
    std::array<char, digestDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), digest, hex).ptr;
    const auto length = static_cast<std::size_t>(end - digits.data());
    return std::string(digestDigits - length, '0') + std::string(digits.data(), length);
}

} // namespace baobabstall::lists
