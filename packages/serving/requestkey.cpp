#include <serving/requestkey.h>

#include <array>
#include <cstdio>

#include <core/hash.h>

namespace baobabstall::serving {

RequestKey requestKeyOf(const RequestIdentity &identity)
{
    constexpr std::uint64_t bodySeed = 1;
    std::string text;
    for (const auto part : {identity.method, identity.host, identity.target, identity.caller, identity.weights}) {
        text.append(std::to_string(part.size())).append(":").append(part); // with its length, so that no two identities give one text
    }
    text.append(std::to_string(core::hashText(identity.body, bodySeed)));
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(core::hashText(text, 0)));
    return RequestKey(std::string(digits.data()));
}

} // namespace baobabstall::serving
