// baobabstall/commands.h: the commands of the operators' command line.
//
// Index
//   ExitCode        what scripts can rely on
//   Invocation      one call, its options read and checked
//   runCommand()    does it
#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <core/types.h>
#include <net/http.h>

namespace baobabstall::cli {

enum class ExitCode {
    Ok = 0,
    Refused = 1,     // a file with a fault, a refused publish, hosts that do not all have what is in force, an unknown request
    Usage = 2,       // wrong use of the command line
    Unreachable = 3, // platform or daemons can't be reached; nothing was changed
    Unknown = 4,     // a publish that may have taken effect: look with `show` before you try again
};

struct Invocation {
    std::string command;                 // check, publish, show, history, status, explain
    std::vector<std::string> arguments;  // of the command, their number checked
    net::Address platform;               // all but check
    std::string by;                      // publish
    std::optional<core::Offset> basedOn; // publish
    bool restore = false;                // publish
    bool json = false;
    std::size_t limit = 50; // history
};

/// Writes the result to `out`, faults to `err`.
[[nodiscard]] ExitCode runCommand(const Invocation &invocation, std::ostream &out, std::ostream &err);

} // namespace baobabstall::cli
