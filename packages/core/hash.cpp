#include <core/hash.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace baobabstall::core {

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hashText(candidate, hashText(key, 0));
}

} // namespace baobabstall::core
