#include <engines/enginetable.h>

#include <charconv>

#include <engines/enginetableimpl.h>

namespace baobabstall::engines {

std::string EngineAdapterName::text() const
{
    return adapter.text() + '#' + std::to_string(epoch.value());
}

std::optional<EngineAdapterName> EngineAdapterName::parse(std::string_view text)
{
    const std::size_t separator = text.rfind('#');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(separator + 1);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    auto adapter = AdapterRef::parse(text.substr(0, separator));
    if (!adapter || error != std::errc() || end != digits.data() + digits.size() || number == 0) {
        return std::nullopt;
    }
    return EngineAdapterName{std::move(*adapter), Epoch(number)};
}

template class BasicEngineTable<DecayedFrequency>;

} // namespace baobabstall::engines
