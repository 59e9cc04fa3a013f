// baobabstall/text.h: plain text for people.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace baobabstall::cli {

/// Rows of cells under a head, in columns as wide as their longest cell.
class Table
{
public:
    explicit Table(std::vector<std::string> head);

    void add(std::vector<std::string> row); // as many cells as the head
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// "2026-03-01T06:00:00.125Z"; "-" for 0.
[[nodiscard]] std::string timeText(std::int64_t civilMs);

/// A field of what a daemon answered, by JSON pointer, as text; "-" when it is missing. Never throws.
[[nodiscard]] std::string fieldText(const nlohmann::json &value, const std::string &pointer);

/// JSON for machines, in one line; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string jsonLine(const nlohmann::json &value);

} // namespace baobabstall::cli
