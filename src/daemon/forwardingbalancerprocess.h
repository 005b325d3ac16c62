#pragma once

#include "configuration/settings.h"

#include <string>

namespace Daemon {

/// Runs a balancer that carries callers' packets unchanged, until SIGTERM. \a settingsPath is read
/// again when it changes. Throws std::system_error or Poco::Exception if it can't start.
void runForwardingBalancer(const Configuration::ForwardingBalancerSettings &settings,
                           const std::string &settingsPath);

} // namespace Daemon
