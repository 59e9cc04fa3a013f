#include "text.h"

#include <algorithm>
#include <array>
#include <ctime>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::cli {

Table::Table(std::vector<std::string> head)
    : rows_{std::move(head)}
{ }

void Table::add(std::vector<std::string> row)
{
    rows_.push_back(std::move(row));
}

void Table::print(std::ostream &out) const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto &row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(i + 1 < row.size() ? widths[i] - row[i].size() + gap : 0, ' ');
        }
        out << line << '\n';
    }
}

std::string timeText(std::int64_t civilMs)
{
    constexpr std::int64_t msPerSecond = 1'000;
    constexpr std::size_t textSize = 32;
    if (civilMs <= 0) {
        return "-";
    }
    const std::time_t seconds = civilMs / msPerSecond;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, textSize> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(msPerSecond + civilMs % msPerSecond).substr(1);
    return std::string(text.data(), length) + '.' + fraction + 'Z';
}

std::string fieldText(const nlohmann::json &value, const std::string &pointer)
{
    constexpr std::size_t maxLength = 200;
    const nlohmann::json::json_pointer path(pointer);
    if (!value.contains(path) || value.at(path).is_null()) {
        return "-";
    }
    const auto &field = value.at(path);
    const auto text = field.is_string() ? field.get<std::string>() : jsonLine(field);
    return text.empty() ? "-" : settings::printableText(text, maxLength);
}

std::string jsonLine(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace baobabstall::cli
