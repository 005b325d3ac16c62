#pragma once

#include "configuration/settings.h"

#include <string>

namespace Daemon {

/// Runs an agent that carries callers' packets unchanged, until SIGTERM. \a settingsPath is read
/// again when it changes. Throws std::system_error or Poco::Exception if it can't start.
void runForwardingAgent(const Configuration::ForwardingAgentSettings &settings,
                        const std::string &settingsPath);

} // namespace Daemon
