// core/hash.h: the one hash that hosts must agree on. The result is the same on every host and in every release.
#pragma once

#include <cstdint>
#include <string_view>

namespace baobabstall::core {

/// 64-bit XXH3 of `text` with `seed`. Stable across processes; not for secrets.
[[nodiscard]] std::uint64_t hashText(std::string_view text, std::uint64_t seed);

/// The rendezvous weight of `candidate` for `key`: the candidate with the highest weight is the first choice.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace baobabstall::core
