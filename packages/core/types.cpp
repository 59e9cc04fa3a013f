#include <core/types.h>

#include <algorithm>
#include <cctype>

#include <core/hash.h>

namespace baobabstall::core {

namespace {

bool isNameText(std::string_view text)
{
    constexpr std::size_t maxLength = 128;
    return !text.empty() && text.size() <= maxLength
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-'; });
}

} // namespace

std::string AdapterRef::text() const
{
    return customer.value() + '/' + adapter.value() + '@' + version.value();
}

std::optional<AdapterRef> AdapterRef::parse(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto at = text.find('@', slash);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto customer = text.substr(0, slash);
    const auto adapter = text.substr(slash + 1, at - slash - 1);
    const auto version = text.substr(at + 1);
    if (!isNameText(customer) || !isNameText(adapter) || !isNameText(version)) {
        return std::nullopt;
    }
    return AdapterRef{CustomerId(std::string(customer)), AdapterName(std::string(adapter)), AdapterVersion(std::string(version))};
}

} // namespace baobabstall::core

std::size_t std::hash<baobabstall::core::AdapterRef>::operator()(const baobabstall::core::AdapterRef &ref) const noexcept
{
    using baobabstall::core::hashText;
    return hashText(ref.customer.value(), hashText(ref.adapter.value(), hashText(ref.version.value(), 0)));
}
