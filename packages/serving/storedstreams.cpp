#include <serving/storedstreams.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include <core/hash.h>
#include <settings/json.h>

namespace baobabstall::serving {

namespace {

using nlohmann::json;

constexpr int hexadecimal = 16;
constexpr std::size_t digits = 2 * sizeof(std::uint64_t); // of one number
constexpr std::size_t numbers = 3;                        // of one stream: id, request, until

void appendNumber(std::string &text, std::uint64_t number)
{
    std::array<char, digits> buffer{};
    const auto [end, failed] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, hexadecimal);
    text.append(digits - static_cast<std::size_t>(end - buffer.data()), '0').append(buffer.data(), end);
}

std::optional<std::uint64_t> takeNumber(std::string_view &text)
{
    std::uint64_t number = 0;
    const auto field = text.substr(0, digits);
    const auto [end, failed] = std::from_chars(field.data(), field.data() + field.size(), number, hexadecimal);
    if (failed != std::errc() || end != field.data() + digits) {
        return std::nullopt;
    }
    text.remove_prefix(digits);
    return number;
}

} // namespace

std::uint64_t storedIdOf(const RequestId &id)
{
    return core::hashText(id.value(), 0);
}

std::string encodeStoredStreams(const std::vector<StoredStream> &streams)
{
    std::map<std::pair<ServiceName, SoftwareVersion>, std::string> groups;
    for (const auto &stream : streams) {
        auto &text = groups[{stream.service, stream.version}];
        appendNumber(text, stream.id);
        appendNumber(text, stream.request);
        appendNumber(text, static_cast<std::uint64_t>(std::max<std::int64_t>(0, stream.until)));
    }
    json value = json::array();
    for (const auto &[name, text] : groups) {
        value.push_back(json::array({name.first.value(), name.second.value(), text}));
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<StoredStream>> decodeStoredStreams(std::string_view text, core::Error &error)
{
    const auto value = settings::parseJson(text, "stored streams", {.comments = false}, error);
    error.step = core::Step::Log;
    if (!value) {
        return std::nullopt;
    }
    std::vector<StoredStream> streams;
    try {
        for (const auto &group : *value) {
            StoredStream stream;
            stream.service = ServiceName(group.at(0).get<std::string>());
            stream.version = SoftwareVersion(group.at(1).get<std::string>());
            const auto &list = group.at(2).get_ref<const std::string &>();
            for (std::string_view rest = list; !rest.empty();) {
                const auto id = takeNumber(rest);
                const auto request = takeNumber(rest);
                const auto until = takeNumber(rest);
                if (!id || !request || !until || std::cmp_greater(*until, std::numeric_limits<std::int64_t>::max())) {
                    error.reason
                        = "the stored streams contain one that is not " + std::to_string(numbers) + " numbers of " + std::to_string(digits) + " digits";
                    return std::nullopt;
                }
                stream.id = *id;
                stream.request = *request;
                stream.until = static_cast<std::int64_t>(*until);
                streams.push_back(stream);
            }
        }
    } catch (const json::exception &exception) {
        error.reason = std::string("the stored streams can't be read: ") + exception.what();
        return std::nullopt;
    }
    return streams;
}

void StoredStreams::assign(const std::vector<StoredStream> &streams, std::int64_t civilNow)
{
    streams_.clear();
    for (const auto &stream : streams) {
        if (stream.until + maxClockSkew < civilNow) {
            continue;
        }
        const StreamOrigin origin{stream.version, UpstreamId(), stream.service, stream.request, 0};
        if (const auto known = streams_.find(stream.id); known != streams_.end()) {
            known->second.isDoubtful = known->second.isDoubtful || known->second.origin != origin;
        } else if (streams_.size() < maxStreams) {
            streams_.emplace(stream.id, Entry{origin});
        }
    }
}

std::optional<StreamOrigin> StoredStreams::find(const RequestId &id) const
{
    const auto found = streams_.find(storedIdOf(id));
    return found == streams_.end() || found->second.isDoubtful ? std::nullopt : std::optional(found->second.origin);
}

} // namespace baobabstall::serving
