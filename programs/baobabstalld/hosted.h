// baobabstalld --hosted: the daemon on the users' platform.
#pragma once

#include <string>

/// Serves until SIGTERM. Gives the exit code.
int serveHosted(const std::string &settingsPath);
int checkHostedSettings(const std::string &settingsPath);
