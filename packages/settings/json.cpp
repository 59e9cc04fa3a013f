#include <settings/json.h>

#include <algorithm>
#include <unordered_set>
#include <vector>

#include <nlohmann/json.hpp>

namespace baobabstall::settings {

namespace {

using nlohmann::json;

/// Looks for what a plain parse accepts and this project does not, without building the value. A parse with a callback could do the same,
/// but takes a time that grows with the square of an object's size.
class StrictCheck : public json::json_sax_t
{
public:
    explicit StrictCheck(const JsonOptions &options)
        : options_(options)
    { }

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(json::number_integer_t /*value*/) override { return true; }
    bool number_unsigned(json::number_unsigned_t /*value*/) override { return true; }
    bool number_float(json::number_float_t /*value*/, const json::string_t & /*text*/) override { return true; }
    bool string(json::string_t & /*value*/) override { return true; }
    bool binary(json::binary_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return open(); }
    bool start_array(std::size_t /*size*/) override { return open(); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(json::string_t &key) override
    {
        if (options_.uniqueKeys && !keys_.back().insert(key).second) {
            complaint_ = "the key \"" + printableText(key) + "\" stands twice in one object";
            return false;
        }
        return true;
    }

    bool parse_error(std::size_t position, const std::string & /*token*/, const json::exception &error) override
    {
        const bool isSyntax = dynamic_cast<const json::parse_error *>(&error) != nullptr;
        complaint_ = isSyntax ? std::string() : "not valid JSON: a number is out of range";
        position_ = position;
        return false;
    }

    [[nodiscard]] const std::string &complaint() const { return complaint_; } // empty: wrong syntax at position()
    [[nodiscard]] std::size_t position() const { return position_; }

private:
    bool open()
    {
        keys_.emplace_back();
        if (keys_.size() > static_cast<std::size_t>(options_.maxDepth)) {
            complaint_ = "nested deeper than " + std::to_string(options_.maxDepth) + " levels";
            return false;
        }
        return true;
    }

    bool close()
    {
        keys_.pop_back();
        return true;
    }

    JsonOptions options_;
    std::vector<std::unordered_set<std::string>> keys_; // of the objects and arrays that are open, outermost first
    std::string complaint_;
    std::size_t position_ = 0;
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
    StrictCheck check(options);
    if (json::sax_parse(text.begin(), text.end(), &check, json::input_format_t::json, true, options.comments)) {
        return json::parse(text.begin(), text.end(), nullptr, false, options.comments);
    }
    if (check.complaint().empty()) {
        why.reason = name + ": " + lineAndColumn(text, check.position()) + ": not valid JSON" + (options.comments ? " (comments are allowed)" : "");
    } else {
        why.reason = name + ": " + check.complaint();
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
