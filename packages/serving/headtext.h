// serving/headtext.h: parts of the heads of responses as text. No I/O.
//
//   head.append(statusText(503)).append("\r\nRetry-After: ").append(secondsText(Milliseconds(250))).append("\r\n");
#pragma once

#include <string>
#include <string_view>

#include <core/clock.h>

namespace baobabstall::serving {

/// The usual phrase for an HTTP status.
[[nodiscard]] std::string_view statusText(int status);
/// In seconds with three decimals.
[[nodiscard]] std::string secondsText(core::Milliseconds time);

} // namespace baobabstall::serving
