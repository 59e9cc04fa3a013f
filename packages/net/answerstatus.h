// net/answerstatus.h: which statuses an answer can't have. No I/O.
//
//   if (const auto fault = faultOfStatus(0)) ... // "status 000, outside 100 to 599"
#pragma once

#include <optional>
#include <string>

namespace baobabstall::net {

/// Why an answer of this status is refused: it is interim (1xx), or outside 100 to 599. Nothing: it is not.
[[nodiscard]] std::optional<std::string> faultOfStatus(unsigned status);

} // namespace baobabstall::net
