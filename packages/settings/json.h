// settings/json.h: the one way this project reads JSON that others wrote: settings, lists, the platform's answers.
//
// Index
//   JsonOptions       comments or not, depth
//   parseJson()       strict: no duplicate keys, bounded depth, one line of reason
//   describeValue()   a value in a few printable words, for messages
//   printableText()   text that is safe in a log line, whatever bytes came in
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include <core/error.h>

namespace baobabstall::settings {

struct JsonOptions {
    bool comments = true;   // accept // and /* */; off for what machines write
    bool uniqueKeys = true; // refuse a key that stands twice in one object
    int maxDepth = 32;      // nesting over it is refused: later passes over the value are recursive
};

/// Reads one JSON value. Refuses text that is not UTF-8. Fills why.reason with "NAME: line 3, column 7: ...";
/// the caller sets why.step. Never throws on bad text.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text, const std::string &name, const JsonOptions &options, core::Error &why);

/// A value for a message: "the text \"abc\"", "the number 7", "an object with 3 keys".
[[nodiscard]] std::string describeValue(const nlohmann::json &value);

/// At most `maxLength` characters, with all but printable ASCII replaced by '?'.
[[nodiscard]] std::string printableText(std::string_view text, std::size_t maxLength = 60);

} // namespace baobabstall::settings
