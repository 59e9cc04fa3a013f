#include <settings/json.h>

#include <algorithm>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

namespace baobabstall::settings {

namespace {

using nlohmann::json;

/// Watches a parse for what nlohmann accepts and this project does not. The parse goes on, but what it gives is thrown away.
class StrictWatch
{
public:
    explicit StrictWatch(const JsonOptions &options)
        : options_(options)
    { }

    bool operator()(int depth, json::parse_event_t event, const json &value)
    {
        if (!options_.uniqueKeys) {
            // No key is looked at.
        } else if (event == json::parse_event_t::object_start) {
            keys_.emplace_back();
        } else if (event == json::parse_event_t::object_end && !keys_.empty()) {
            keys_.pop_back();
        } else if (event == json::parse_event_t::key) {
            noteKey(value.get_ref<const std::string &>());
        }
        if (depth > options_.maxDepth) {
            complain("nested deeper than " + std::to_string(options_.maxDepth) + " levels");
            return false;
        }
        return true;
    }

    [[nodiscard]] const std::string &complaint() const { return complaint_; }

private:
    void noteKey(const std::string &key)
    {
        if (!keys_.empty() && !keys_.back().insert(key).second) {
            complain("the key \"" + printableText(key) + "\" stands twice in one object");
        }
    }

    void complain(std::string text)
    {
        if (complaint_.empty()) {
            complaint_ = std::move(text);
        }
    }

    JsonOptions options_;
    std::vector<std::set<std::string>> keys_; // of the objects that are open, outermost first
    std::string complaint_;
};

std::string lineAndColumn(std::string_view text, std::size_t byte)
{
    const auto before = text.substr(0, byte == 0 ? 0 : std::min(byte - 1, text.size()));
    const auto lines = std::count(before.begin(), before.end(), '\n');
    const auto lineStart = before.rfind('\n');
    const auto column = lineStart == std::string_view::npos ? before.size() : before.size() - lineStart - 1;
    return "line " + std::to_string(lines + 1) + ", column " + std::to_string(column + 1);
}

std::string countOf(std::size_t count, const char *noun)
{
    return std::to_string(count) + ' ' + noun + (count == 1 ? "" : "s");
}

} // namespace

std::optional<json> parseJson(std::string_view text, const std::string &name, const JsonOptions &options, core::Error &why)
{
    StrictWatch watch(options);
    try {
        const auto callback = [&watch](int depth, json::parse_event_t event, json &value) { return watch(depth, event, value); };
        json value = json::parse(text.begin(), text.end(), callback, true, options.comments);
        if (watch.complaint().empty()) {
            return value;
        }
        why.reason = name + ": " + watch.complaint();
    } catch (const json::parse_error &error) {
        why.reason = name + ": " + lineAndColumn(text, error.byte) + ": not valid JSON" + (options.comments ? " (comments are allowed)" : "");
    } catch (const json::exception &) {
        why.reason = name + ": not valid JSON: a number is out of range";
    }
    return std::nullopt;
}

std::string describeValue(const json &value)
{
    switch (value.type()) {
    case json::value_t::string:
        return "the text \"" + printableText(value.get_ref<const std::string &>()) + '"';
    case json::value_t::object:
        return "an object with " + countOf(value.size(), "key");
    case json::value_t::array:
        return "an array of " + countOf(value.size(), "value");
    case json::value_t::number_integer:
    case json::value_t::number_unsigned:
    case json::value_t::number_float:
        return "the number " + value.dump();
    default:
        return value.dump();
    }
}

std::string printableText(std::string_view text, std::size_t maxLength)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char lastPrintable = 0x7e;
    std::string result(text.substr(0, maxLength));
    const auto printable = [](unsigned char c) { return c >= firstPrintable && c <= lastPrintable; };
    std::replace_if(
        result.begin(), result.end(), [&](unsigned char c) { return !printable(c); }, '?');
    return text.size() > maxLength ? result + "..." : result;
}

} // namespace baobabstall::settings
