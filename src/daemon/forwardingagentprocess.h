#pragma once

#include "configuration/settings.h"

#include <string>

namespace Daemon {

/// Runs an agent that forwards callers' packets unchanged, until SIGTERM or SIGINT. Reloads
/// \a settingsPath when it changes and after SIGHUP. Throws std::system_error or Poco::Exception if
/// it can't start.
void runForwardingAgent(const Configuration::ForwardingAgentSettings &settings,
                        const std::string &settingsPath);

} // namespace Daemon
